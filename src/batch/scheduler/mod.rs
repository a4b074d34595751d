//! The holder of the batch duty: places tasks on workers and follows them to their ends.
//!
//! What runs is not written down before it starts: workers keep leases and refuse orders of older epochs, so a
//! successor raises the fence at each worker and reads there what runs and what has ended. Rows keep what workers
//! forget: ends that were acknowledged, failed runs, checkpoints, and which workers may run anything at all.

mod commands;
mod commit;
mod demand;
mod drain;
mod gang;
pub mod job;
mod message;
mod orphans;
mod plan;
mod reports;
mod stuck;
mod tickets;
mod worker_loss;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::batch::book;
use crate::batch::queue;
use crate::batch::record;
use crate::batch::{JobId, TaskId};
use crate::clock;
use crate::id;

pub use commands::{Refusal, StartOutcome};
pub use drain::Emptying;
pub use message::{Counts, Inheritance, Look, Output, Start, Terms};

/// Stops without an end are sent again after this long, in milliseconds; above the timeout of one call.
const STOP_AGAIN_MS: u64 = 400;

/// The holder's state.
#[derive(Debug)]
pub struct Holder {
    terms: Terms,
    /// Starts of tasks that predecessors may have started are numbered above theirs.
    run_base: u32,
    predecessor_may_act: bool,
    /// Whether a predecessor had recorded workers.
    has_predecessor: bool,
    began_at: clock::Instant,
    config: Arc<queue::Config>,
    jobs: HashMap<JobId, job::Job>,
    /// Jobs that aren't over.
    open: BTreeSet<JobId>,
    /// Cancellations whose job isn't known yet.
    early_cancels: BTreeSet<JobId>,
    workers: BTreeMap<id::Worker, book::Worker>,
    /// Workers of the predecessor that haven't answered yet.
    unresolved: BTreeMap<id::Worker, record::WorkerRow>,
    /// Since when lists of machines have not shown some of them.
    absent_since: BTreeMap<id::Worker, clock::Instant>,
    /// Runs of jobs that aren't known yet.
    unheard: orphans::Unheard,
    /// What is known of steps of queues with a policy.
    advised: HashMap<tickets::StepKey, tickets::Advised>,
    /// Services in which something changed since the last planning.
    stale: BTreeSet<id::Service>,
    changed: BTreeSet<JobId>,
    /// All work that arrived, by service.
    arrived: BTreeMap<id::Service, demand::Arrived>,
    rows: commit::Rows,
    outputs: Vec<Output>,
    counts: Counts,
}

impl Holder {
    /// A holder of an epoch, with the rows that it found.
    pub fn new(
        terms: Terms,
        epoch: u64,
        config: Arc<queue::Config>,
        rows: Inheritance,
        now: clock::Instant,
    ) -> Self {
        let mut holder = Self {
            terms,
            run_base: commands::run_base(epoch),
            predecessor_may_act: rows.predecessor_may_act,
            has_predecessor: !rows.workers.is_empty(),
            began_at: now,
            config,
            jobs: HashMap::new(),
            open: BTreeSet::new(),
            early_cancels: BTreeSet::new(),
            workers: BTreeMap::new(),
            unresolved: rows.workers.iter().cloned().collect(),
            absent_since: BTreeMap::new(),
            unheard: orphans::Unheard::default(),
            advised: HashMap::new(),
            stale: BTreeSet::new(),
            changed: BTreeSet::new(),
            arrived: BTreeMap::new(),
            rows: commit::Rows::new(rows.workers.into_iter().map(|(worker, _)| worker)),
            outputs: Vec::new(),
            counts: Counts::default(),
        };
        for (id, accepted) in rows.accepted {
            holder.adopt(id, accepted, true);
        }
        for (id, progress) in &rows.progress {
            if let Some(job) = holder.jobs.get_mut(id) {
                job.restore(progress);
                if job.state.is_final() {
                    holder.open.remove(id);
                }
            }
        }
        for id in rows.cancelled {
            holder.cancelled(id, now, 0);
        }
        holder
    }

    /// Takes in a job that was accepted since the holder began.
    pub fn accepted(&mut self, id: JobId, accepted: record::Accepted, now: clock::Instant) {
        self.adopt(id, accepted, false);
        self.take_over_runs(id, now);
        if self.early_cancels.remove(&id) {
            self.cancelled(id, now, 0);
        }
    }

    fn adopt(&mut self, id: JobId, accepted: record::Accepted, inherited: bool) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let service = accepted.queue.service.clone();
        if !inherited {
            let arrived = self.arrived.entry(service.clone()).or_default();
            arrived.add(&accepted.spec);
        }
        let mut job = job::Job::new(id, Arc::new(accepted), inherited);
        if job.accepted.spec.schedule.is_none() {
            job.open(0);
        }
        self.jobs.insert(id, job);
        self.open.insert(id);
        self.stale.insert(service);
    }

    /// Takes in a cancellation.
    pub fn cancelled(&mut self, id: JobId, now: clock::Instant, unix_ms: u64) {
        match self.jobs.get(&id) {
            None => {
                self.early_cancels.insert(id);
            }
            Some(job) if job.state.is_final() => {}
            Some(_) => {
                self.line(format!("cancel job={id}"));
                self.finish(id, record::State::Cancelled, now, unix_ms);
            }
        }
    }

    /// Ends a job and stops what runs of it.
    fn finish(&mut self, id: JobId, state: record::State, now: clock::Instant, unix_ms: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.state = state;
        job.ended_unix_ms = unix_ms;
        self.open.remove(&id);
        self.changed.insert(id);
        self.advised.retain(|(job, ..), _| *job != id);
        let live: Vec<TaskId> = job
            .tasks()
            .filter(|(_, task)| task.live.is_some())
            .map(|(task, _)| task)
            .collect();
        for task in live {
            self.stop(task, job::StopReason::Over, now);
        }
    }

    /// Takes in a version of the configuration.
    pub fn configured(&mut self, config: Arc<queue::Config>) {
        self.config = config;
        self.stale.extend(self.config.services.keys().cloned());
    }

    /// Takes in a worker's entry of the registry.
    pub fn listed(&mut self, listing: book::Listing, now: clock::Instant) {
        self.stale.insert(listing.service.clone());
        if let Some(worker) = self.workers.get_mut(&listing.worker) {
            if listing.leaving && !worker.listing.leaving {
                self.outputs.push(Output::Line(format!(
                    "worker leaves worker={}",
                    listing.worker
                )));
            }
            worker.listed = true;
            if listing.leaving {
                worker.leaving_since.get_or_insert(now);
            }
            worker.listing = listing;
            return;
        }
        if listing.leaving && !self.unresolved.contains_key(&listing.worker) {
            return;
        }
        self.line(format!(
            "worker listed worker={} service={} address={}",
            listing.worker, listing.service, listing.address
        ));
        let mut worker = book::Worker::new(listing.clone(), now);
        worker.leaving_since = listing.leaving.then_some(now);
        worker.recorded = self.rows.is_recorded(&listing.worker);
        self.rows.want(&listing.worker, &listing.service);
        self.workers.insert(listing.worker.clone(), worker);
        self.outputs.push(Output::Watch(listing));
    }

    /// Takes in that a worker's entry is gone from the registry, which proves nothing about what runs there.
    pub fn unlisted(&mut self, id: &id::Worker) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.listed = false;
        }
    }

    /// Makes a task whose run is over wait for its next start.
    fn release(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let spec = Arc::clone(&job.accepted);
        let Some(task) = job.task_mut(&id) else {
            return;
        };
        let Some(live) = task.live.take() else {
            return;
        };
        let need = plan::need(&spec.spec.steps[id.step as usize]);
        if let Some(worker) = self.workers.get_mut(&live.worker) {
            worker.vacate(&id, &need);
        }
        self.stale.insert(spec.queue.service.clone());
    }

    /// Asks for a run to be stopped.
    fn stop(&mut self, id: TaskId, reason: job::StopReason, now: clock::Instant) {
        let Some(live) = self
            .jobs
            .get_mut(&id.job)
            .and_then(|job| job.task_mut(&id))
            .and_then(|task| task.live.as_mut())
        else {
            return;
        };
        live.stop_reason = Some(reason);
        live.stop_sent_at = Some(now);
        let (worker, run) = (live.worker.clone(), live.run);
        self.line(format!(
            "stop task={id} run={run} worker={worker} reason={reason:?}"
        ));
        self.outputs.push(Output::Stop {
            worker,
            task: id,
            run,
        });
    }

    /// Moves time on: due occurrences, lapsed leases, stops that were not heard.
    pub fn tick(&mut self, now: clock::Instant, unix_ms: u64) {
        self.open_due(unix_ms);
        self.resolve_inherited(now);
        self.lapse(now);
        self.repeat_stops(now);
        self.watch_progress(now);
        self.forget_old(unix_ms);
    }

    fn open_due(&mut self, unix_ms: u64) {
        for id in &self.open {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            if job.accepted.spec.schedule.is_some() && job.open_due(unix_ms) {
                self.stale.insert(job.accepted.queue.service.clone());
            }
        }
    }

    fn repeat_stops(&mut self, now: clock::Instant) {
        let mut again = Vec::new();
        for (worker, book) in &self.workers {
            for id in &book.tasks {
                let live = self
                    .jobs
                    .get_mut(&id.job)
                    .and_then(|job| job.task_mut(id))
                    .and_then(|task| task.live.as_mut());
                let Some(live) = live else { continue };
                let due = live.stop_reason.is_some()
                    && live.stopped_at.is_none()
                    && live
                        .stop_sent_at
                        .is_none_or(|at| now.since_ms(at) >= STOP_AGAIN_MS);
                if due {
                    live.stop_sent_at = Some(now);
                    again.push((worker.clone(), *id, live.run));
                }
            }
        }
        for (worker, task, run) in again {
            self.outputs.push(Output::Stop { worker, task, run });
        }
    }

    fn forget_old(&mut self, unix_ms: u64) {
        // Twice the promised time, as callers' clocks and ours differ.
        let keep_ms = self.terms.status_ms * 2;
        let old: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| {
                job.stored.is_final()
                    && job.ended_unix_ms > 0
                    && job.ended_unix_ms + keep_ms < unix_ms
            })
            .map(|job| job.id)
            .take(commit::ROWS_MAX / 4)
            .collect();
        for id in old {
            self.jobs.remove(&id);
            self.rows.forget(id);
        }
    }

    fn line(&mut self, text: String) {
        self.outputs.push(Output::Line(text));
    }

    /// Takes what is to be done.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// The state of a job as callers may see it; `None` for one that isn't known here.
    pub fn state(&self, id: JobId) -> Option<record::State> {
        let job = self.jobs.get(&id)?;
        if job.stored.is_final() {
            return Some(job.stored);
        }
        if job.state == record::State::Cancelled {
            return Some(record::State::Cancelled);
        }
        if job.has_begun() {
            Some(record::State::Running)
        } else {
            Some(record::State::Queued)
        }
    }

    /// How many accepted jobs of a queue have no task that has started.
    pub fn waiting(&self, queue: &str) -> usize {
        self.open
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| job.accepted.queue.name == queue && !job.has_begun())
            .count()
    }

    /// Counters of what was done.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The workers.
    pub fn workers(&self) -> &BTreeMap<id::Worker, book::Worker> {
        &self.workers
    }

    /// The configuration.
    pub fn config(&self) -> &queue::Config {
        &self.config
    }
}
