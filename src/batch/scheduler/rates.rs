//! Rates of client accounts: which jobs are within their account's rate, and what each account uses of a pool.
//!
//! Marks are not stored. A new leader marks all jobs that it recovered in the order of their submission, ended ones too,
//! and so comes to the same marks.

use std::sync::Arc;

use crate::batch::JobId;
use crate::batch::accounts;
use crate::batch::order;
use crate::batch::record;
use crate::batch::scheduler::Scheduler;
use crate::id;
use crate::platform::Resources;

impl Scheduler {
    /// Returns whether a job is subject to the rate of an account.
    pub(super) fn has_rate(&self, accepted: &record::Accepted) -> bool {
        self.config.accounts.is_some() && accepted.account.is_some()
    }

    /// Returns whether a job exceeds the rate of its account; `None` if the job is not known. A job is marked in the
    /// planning round after it arrives.
    pub fn is_beyond_rate(&self, id: JobId) -> Option<bool> {
        self.jobs.get(&id).map(|job| job.beyond_rate)
    }

    /// Counts the work of a job from which the demand on its pool is forecast.
    pub(super) fn count_submitted(&mut self, accepted: &record::Accepted) {
        let service = accepted.queue.service.clone();
        let submitted = self.submitted_work.entry(service).or_default();
        submitted.add(&accepted.spec);
    }

    /// Marks the jobs that arrived since the last call as within or beyond the rate of their account, in the order of
    /// their submission, and logs which accounts begin or cease to be beyond their rate.
    pub(super) fn mark_rates(&mut self, unix_ms: u64) {
        let mut unmarked = std::mem::take(&mut self.unmarked_jobs);
        let submitted = |id: &JobId| self.jobs.get(id).map(|job| job.accepted.submitted_unix_ms);
        unmarked.sort_by_cached_key(|id| (submitted(id), *id));
        for id in unmarked {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let accepted = Arc::clone(&job.accepted);
            let Some(account) = &accepted.account else {
                continue;
            };
            let weight_milli = weight_milli(&self.ledger, account);
            // The clock of an entry node may be ahead.
            let submitted_unix_ms = accepted.submitted_unix_ms.min(unix_ms);
            job.beyond_rate = self
                .rates
                .is_beyond(account, weight_milli, submitted_unix_ms);
            // Machines are not provided ahead for work beyond a rate.
            if !job.recovered && !job.beyond_rate {
                self.count_submitted(&accepted);
            }
        }
        for change in self.rates.changes(unix_ms) {
            let what = if change.beyond { "beyond" } else { "within" };
            self.log(format!(
                "account {what} rate account={} weight_milli={} window_ms={} jobs_beyond={}",
                change.account,
                weight_milli(&self.ledger, &change.account),
                self.settings.quota_window_ms,
                change.jobs_beyond,
            ));
        }
    }

    /// Returns what each account uses of a pool of which `used` is used in total; nothing without accounts.
    ///
    /// Jobs without an account count together as one of mean weight, so that a flood of them doesn't displace accounts.
    pub(super) fn pool_uses(&self, service: &id::Service, used: &Resources) -> Vec<order::PoolUse> {
        if self.config.accounts.is_none() {
            return Vec::new();
        }
        let mut uses = vec![order::PoolUse {
            account: None,
            used: *used,
            weight_milli: accounts::WEIGHT_DEFAULT_MILLI,
        }];
        for (account, usage) in self.ledger.iter() {
            let in_service = usage.in_service(service);
            uses[0].used = uses[0].used.minus(&in_service);
            uses.push(order::PoolUse {
                account: Some(account.clone()),
                used: in_service,
                weight_milli: usage.settings().weight_milli,
            });
        }
        let accounts = (uses.len() - 1) as u64;
        let weights: u64 = uses[1..].iter().map(|user| user.weight_milli).sum();
        if let Some(mean) = weights.checked_div(accounts) {
            uses[0].weight_milli = mean;
        }
        uses
    }
}

fn weight_milli(ledger: &accounts::Ledger, account: &id::Account) -> u64 {
    ledger
        .usage(account)
        .map_or(accounts::WEIGHT_DEFAULT_MILLI, |usage| {
            usage.settings().weight_milli
        })
}
