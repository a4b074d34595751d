//! Quotas of client accounts: which tasks may start.
//!
//! A run counts from before its start is sent until its end is proven, so that commands without a response, commands
//! carried out late and runs that are being stopped never bring an account over its quota. A new leader learns from the
//! workers what runs; until all have answered, every task that a previous leader may have started counts.

use std::collections::{BTreeMap, BTreeSet};

use crate::batch::TaskId;
use crate::batch::accounts;
use crate::batch::record;
use crate::batch::scheduler::Scheduler;
use crate::batch::spec;
use crate::batch::worker_state;
use crate::id;
use crate::platform::Resources;

impl Scheduler {
    /// Applies the accounts of the configuration.
    pub(super) fn configure_accounts(&mut self) {
        if let Some(accounts) = &self.config.accounts {
            self.ledger.configure(accounts);
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
        let limit = |limit: Option<u64>| limit.map_or("none".to_owned(), |limit| limit.to_string());
        let line = format!(
            "{what} account={account} running_milli={} running_mib={} need_milli={} need_mib={} limit_milli={} limit_mib={}",
            total.cpu_milli,
            total.memory_mib,
            need.cpu_milli,
            need.memory_mib,
            limit(limits.cpu_milli),
            limit(limits.memory_mib),
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

    /// Counts all tasks that a previous leader may have started on workers that have not answered yet.
    pub(super) fn count_unheard(&mut self) {
        let services: BTreeSet<&id::Service> =
            self.unresolved.values().map(|row| &row.service).collect();
        let mut unheard: BTreeMap<id::Account, Resources> = BTreeMap::new();
        if !services.is_empty() && self.config.accounts.is_some() {
            for id in self.open_jobs.iter() {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                let Some(account) = &job.accepted.account else {
                    continue;
                };
                if !job.recovered || !services.contains(&job.accepted.queue.service) {
                    continue;
                }
                let entry = unheard.entry(account.clone()).or_default();
                for (task, state) in job.tasks() {
                    let may_run = !state.done
                        && state.active.is_none()
                        && job.is_step_ready(task.occurrence, task.step);
                    if may_run {
                        *entry = entry.plus(&job.accepted.spec.steps[task.step as usize].need);
                    }
                }
            }
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
