//! Quotas of client accounts: which tasks may start.
//!
//! A run counts from before its start is sent until its end is proven, so that commands without a response, commands
//! carried out late and runs that are being stopped never bring an account over its quota. A new leader learns from the
//! workers what runs; until all have answered, every task that a previous leader may have started counts.

use std::collections::{BTreeMap, BTreeSet};

use crate::batch::TaskId;
use crate::batch::accounts;
use crate::batch::order;
use crate::batch::record;
use crate::batch::scheduler::{Scheduler, plan};
use crate::batch::spec;
use crate::batch::worker_state;
use crate::id;
use crate::platform::Resources;

impl Scheduler {
    /// Applies the accounts of the configuration.
    pub(super) fn configure_accounts(&mut self) {
        let Some(accounts) = &self.config.accounts else {
            return;
        };
        for (name, account) in self.ledger.configure(accounts) {
            let limits = account.limits;
            self.log(format!(
                "account configured account={name} weight_milli={} limit_milli={} limit_mib={} limit_accelerators={}",
                account.weight_milli,
                limit_field(limits.cpu_milli),
                limit_field(limits.memory_mib),
                limit_field(limits.accelerators.map(u64::from)),
            ));
        }
    }

    /// Counts a run of a task for its account.
    pub(super) fn charge(&mut self, accepted: &record::Accepted, id: &TaskId) {
        if let Some(account) = &accepted.account {
            let need = accepted.spec.steps[id.step as usize].need;
            self.ledger.charge(account, &accepted.queue.service, &need);
        }
    }

    /// Ends the count of a run of a task.
    pub(super) fn refund(&mut self, accepted: &record::Accepted, id: &TaskId) {
        if let Some(account) = &accepted.account {
            let need = accepted.spec.steps[id.step as usize].need;
            self.ledger.refund(account, &accepted.queue.service, &need);
        }
    }

    /// Returns whether the quota of a job's account has room for `tasks` more tasks of a step, and logs when that changes.
    pub(super) fn quota_admits(
        &mut self,
        accepted: &record::Accepted,
        step: &spec::Step,
        tasks: usize,
    ) -> bool {
        let Some(account) = &accepted.account else {
            return true;
        };
        let mut need = Resources::default();
        for _ in 0..tasks {
            need = need.plus(&step.need);
        }
        let admitted = self.ledger.admits(account, &need);
        if let Some(change) = self.ledger.record_quota(account, admitted) {
            self.log_quota(account, change, &need);
        }
        admitted
    }

    fn log_quota(
        &mut self,
        account: &id::Account,
        change: accounts::QuotaChange,
        need: &Resources,
    ) {
        let Some(usage) = self.ledger.usage(account) else {
            return;
        };
        let what = match change {
            accounts::QuotaChange::Reached => "quota reached",
            accounts::QuotaChange::Left => "quota has room",
        };
        let (total, limits) = (usage.total(), usage.settings().limits);
        let line = format!(
            "{what} account={account} running_milli={} running_mib={} need_milli={} need_mib={} limit_milli={} limit_mib={}",
            total.cpu_milli,
            total.memory_mib,
            need.cpu_milli,
            need.memory_mib,
            limit_field(limits.cpu_milli),
            limit_field(limits.memory_mib),
        );
        self.log(line);
    }

    /// Counts the reported runs that have no capacity reserved, which run until their end is listed.
    pub(super) fn count_unexpected(&mut self, id: &id::Worker, report: &worker_state::Report) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let unexpected = report
            .running
            .iter()
            .filter(|run| !worker.tasks.contains(&run.task))
            .filter_map(|run| {
                let accepted = &self.jobs.get(&run.task.job)?.accepted;
                let step = accepted.spec.steps.get(run.task.step as usize)?;
                Some((accepted.account.clone()?, step.need))
            });
        let unexpected = unexpected.collect();
        self.ledger.set_unexpected(id, unexpected);
    }

    /// Returns the accounts with a job beyond their rate that has no run yet and can no longer meet its objective.
    pub fn late_accounts(&self, unix_ms: u64) -> BTreeSet<id::Account> {
        let mut late = BTreeSet::new();
        for job in self.open_jobs.iter().filter_map(|id| self.jobs.get(id)) {
            let Some(account) = &job.accepted.account else {
                continue;
            };
            let is_late = job.beyond_rate
                && !late.contains(account)
                && !job.has_begun()
                && job
                    .occurrences
                    .keys()
                    .any(|&occurrence| plan::class(job, occurrence, unix_ms) == order::Class::Late);
            if is_late {
                late.insert(account.clone());
            }
        }
        late
    }

    /// Counts the tasks that a previous leader may have started on workers that have not answered yet, up to the capacity
    /// of these workers.
    pub(super) fn count_unheard(&mut self) {
        if self.config.accounts.is_none() {
            return;
        }
        let mut startable: BTreeMap<(&id::Account, &id::Service), Resources> = BTreeMap::new();
        let open_jobs = self
            .open_jobs
            .iter()
            .filter(|_| !self.unresolved.is_empty());
        for id in open_jobs {
            let Some(job) = self.jobs.get(id).filter(|job| job.known_to_earlier) else {
                continue;
            };
            let Some(account) = &job.accepted.account else {
                continue;
            };
            let key = (account, &job.accepted.queue.service);
            let entry = startable.entry(key).or_default();
            for (&occurrence, state) in &job.occurrences {
                let steps = (0_u32..).zip(&state.steps);
                for (step, _) in steps.filter(|(step, _)| job.is_step_ready(occurrence, *step)) {
                    let need = &job.accepted.spec.steps[step as usize].need;
                    let idle = state.steps[step as usize].idle();
                    *entry = entry.plus(&need.times(u64::from(idle)));
                }
            }
        }
        let capacity = self.unheard_capacity();
        let mut unheard: BTreeMap<id::Account, Resources> = BTreeMap::new();
        for ((account, service), need) in startable {
            let Some(size) = capacity.get(service) else {
                continue;
            };
            let entry = unheard.entry(account.clone()).or_default();
            *entry = entry.plus(&Resources {
                cpu_milli: need.cpu_milli.min(size.cpu_milli),
                memory_mib: need.memory_mib.min(size.memory_mib),
                accelerators: need.accelerators.min(size.accelerators),
            });
        }
        let unknown = self.unknown_use();
        if unknown != Resources::default() {
            // A run doesn't tell its account, so it counts for every account until its job is known.
            for (account, _) in self.ledger.iter() {
                let entry = unheard.entry(account.clone()).or_default();
                *entry = entry.plus(&unknown);
            }
        }
        self.ledger.set_unheard(unheard);
    }

    /// Returns the capacity of the workers that have not answered yet, by service. One that is not in the registry counts
    /// as the largest of its service.
    fn unheard_capacity(&self) -> BTreeMap<&id::Service, Resources> {
        let mut largest: BTreeMap<&id::Service, Resources> = BTreeMap::new();
        for worker in self.workers.values() {
            let size = largest.entry(&worker.listing.service).or_default();
            *size = size.max(&worker.largest);
        }
        let mut capacity: BTreeMap<&id::Service, Resources> = BTreeMap::new();
        for (id, row) in &self.unresolved {
            let listed = self.workers.get(id).map(|worker| worker.largest);
            let size = listed.or(largest.get(&row.service).copied());
            let entry = capacity.entry(&row.service).or_default();
            *entry = entry.plus(&size.unwrap_or(Resources {
                cpu_milli: u64::MAX >> 16,
                memory_mib: u64::MAX >> 16,
                accelerators: u32::MAX >> 16,
            }));
        }
        capacity
    }

    /// Returns the most that runs of unknown jobs can use: what known runs leave of their workers, and of workers that
    /// have not answered while partitions of the job table are unread.
    fn unknown_use(&self) -> Resources {
        let mut unknown = Resources::default();
        if self.config.accounts.is_none() {
            return unknown;
        }
        let free = |worker: &worker_state::Worker| worker.largest.minus(&worker.used);
        for worker in self.workers.values() {
            if worker.unreserved.is_none() {
                unknown = unknown.plus(&free(worker));
            }
        }
        if self.unread_partitions() > 0 {
            for id in self.unresolved.keys() {
                let worker = self.workers.get(id).map(free);
                let any = || self.workers.values().map(|worker| worker.largest);
                let largest = any().max_by_key(|size| (size.cpu_milli, size.memory_mib));
                unknown = unknown.plus(&worker.or(largest).unwrap_or_default());
            }
        }
        unknown
    }
}

/// Returns a limit as a field of a log line.
fn limit_field(limit: Option<u64>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
}
