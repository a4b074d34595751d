//! The term of a leader: its beginning, its planning and what it learns.

use std::collections::BTreeMap;
use std::sync::Arc;

use wasabiloft::batch::scheduler::{RecoveredState, Scheduler, Settings};
use wasabiloft::batch::{authority, predecessors, queue, worker_state};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::search::faults::JOB_DELAY_MS;
use crate::search::node::{Claim, RENEW_INTERVAL_MS, Term, Timer};
use crate::search::platform::Standing;
use crate::search::runner;
use crate::search::shell;
use crate::search::world::{Event, POOL, World};

/// Length of the workers' leases, in milliseconds.
pub(super) const LEASE_MS: u64 = 4_000;

/// Maximum size of a row, in bytes; far above what the small jobs need.
const ROW_BYTES: u64 = 48_000;

impl World {
    pub(super) fn plan(&mut self, node: usize) {
        let now = self.now();
        let may_act = self.may_act(node);
        let Some(term) = &mut self.nodes[node].term else {
            return;
        };
        term.planned_ms = now.as_ms();
        if may_act {
            term.scheduler.plan(now, now.as_ms());
        }
        for output in term.scheduler.take_outputs() {
            self.execute(node, output);
        }
        self.commit(node);
    }

    /// Passes a change of the registry to a leader.
    pub fn registry_changed(
        &mut self,
        node: usize,
        worker: &id::Worker,
        listing: Option<worker_state::Listing>,
    ) {
        let now = self.now();
        if let Some(term) = &mut self.nodes[node].term {
            term.registry
                .apply(&mut term.scheduler, worker, listing, now);
            self.wake(node);
        }
    }

    /// Reads the changes of the jobs' table: those that were stored before reach the leader first.
    pub(super) fn read_jobs(&mut self, node: usize) {
        let (until_ms, state) = (self.now_ms, &self.nodes[node]);
        let event = Event::JobsRead {
            node,
            incarnation: state.incarnation,
            until_ms,
        };
        let at_ms = state.store_away_until_ms.max(until_ms) + JOB_DELAY_MS;
        self.push(at_ms, event);
    }

    pub(super) fn jobs_read(&mut self, node: usize, incarnation: u64, until_ms: u64) {
        let state = &mut self.nodes[node];
        if let Some(term) = &mut state.term
            && state.incarnation == incarnation
        {
            term.scheduler.jobs_read(Instant::from_ms(until_ms));
        }
    }

    /// Passes an accepted job to a leader.
    pub fn job_known(&mut self, node: usize, job: u64) {
        let now = self.now();
        let accepted = self.store.accepted.iter().find(|(id, _)| id.0 == job);
        let Some((job, accepted)) = accepted.cloned() else {
            return;
        };
        if let Some(term) = &mut self.nodes[node].term {
            term.scheduler.job_accepted(job, accepted, now);
            self.wake(node);
        }
    }

    pub(super) fn lead(&mut self, node: usize, claim: Claim, proven_at: Instant) {
        let Claim { epoch } = claim;
        let assumed = self.nodes[node].assumed.clone();
        let now = self.now();
        self.note(|| format!("n{node} leads epoch={epoch}"));
        let store = &self.store;
        let recovered = RecoveredState {
            accepted: store.accepted.clone(),
            progress: store.progress.clone().into_iter().collect(),
            workers: store.workers.clone().into_iter().collect(),
            earlier: assumed.earlier,
            ..RecoveredState::default()
        };
        let settings = Settings {
            lease_ms: LEASE_MS,
            lease_max_ms: runner::LEASE_MAX_MS,
            row_bytes: ROW_BYTES,
            status_ms: 120_000,
            quota_window_ms: Settings::QUOTA_WINDOW_DEFAULT_MS,
        };
        let service = queue::Service {
            enforces_capacity: true,
            spare: false,
        };
        let config = Arc::new(queue::Config {
            version: 1,
            services: [(id::Service::new(POOL), service)].into(),
            ..queue::Config::default()
        });
        let mut scheduler = Scheduler::new(settings, epoch, config, recovered, now);
        for listing in self.listings() {
            scheduler.worker_listed(listing, now);
        }
        let term = Term {
            epoch,
            scheduler,
            polls: BTreeMap::new(),
            channels: BTreeMap::new(),
            fleet: shell::Fleet::recover(&self.store.commands, now),
            version: self.nodes[node].known.0,
            in_flight: None,
            committed_ms: proven_at.as_ms(),
            next_commit_ms: 0,
            planned_ms: 0,
            plan_scheduled: false,
            registry: shell::Registry::default(),
            authority: authority::Authority::new(proven_at, now),
            wait: predecessors::Wait::new(assumed.clone(), now),
            standing: Standing {
                commits_only: true,
                assumed,
            },
        };
        self.nodes[node].claims = None;
        self.nodes[node].term = Some(term);
        self.limit_leases(node);
        self.push_timer(node, now.as_ms(), Timer::Tick);
        self.push_timer(node, now.as_ms(), Timer::Round);
        self.push_timer(node, now.as_ms() + RENEW_INTERVAL_MS, Timer::Commit);
    }
}
