//! Parking of jobs that cannot run on the current fleet and quota.
//!
//! Such jobs are detected in the first round that considers them, parked with the size that would
//! fit, and queued again once the fleet or quota allows them.

use super::{Duty, JobKey};
use crate::clock;
use crate::estimate;
use crate::job::row;
use crate::platform;
use crate::quota;

/// Interval at which parked jobs are checked again, in milliseconds.
const RECHECK_MS: u64 = 10 * clock::SECOND_MS;

/// Reason why a job cannot be placed, and the size that would fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Unplaceable {
    pub(super) reason: row::Reason,
    pub(super) fits: Option<platform::Resources>,
}

impl Duty {
    /// Returns why the job can never run on this fleet with its team's quota, if so.
    pub(super) fn unplaceable(&self, key: JobKey) -> Option<Unplaceable> {
        let spec = &self.jobs[key].row.spec;
        match self.quotas.missing(&spec.team, &spec.declared) {
            Some(quota::Missing::Everything | quota::Missing::Accelerators) => {
                return Some(Unplaceable {
                    reason: row::Reason::NoQuota,
                    fits: None,
                });
            }
            None => {}
        }
        if self.fleet.largest_for(&self.estimated_size(key)).is_some() {
            return None;
        }
        let largest = self.fleet.largest();
        let reason = if spec.declared.accelerators > largest.accelerators {
            row::Reason::NoAccelerator
        } else {
            row::Reason::NoWorkerLargeEnough
        };
        Some(Unplaceable {
            reason,
            fits: Some(largest),
        })
    }

    /// Returns the expected size of the job: the mean usage of its class, or the declared size if
    /// the class is unknown.
    fn estimated_size(&self, key: JobKey) -> platform::Resources {
        let job = &self.jobs[key];
        let declared = job.row.spec.declared;
        if !self.estimates.is_known(job.class) {
            return declared;
        }
        let need = self.estimates.predict(job.class, declared);
        platform::Resources {
            cpu_milli: need.cpu_milli.mean as u64,
            memory_mib: need.memory_mib.mean as u64,
            accelerators: declared.accelerators,
        }
    }

    /// Returns the predicted need of the job's next task, limited to the size of the largest
    /// suitable worker.
    pub(super) fn predicted_need(&self, key: JobKey) -> estimate::Need {
        let job = &self.jobs[key];
        let mut need = self.estimates.predict(job.class, job.row.spec.declared);
        if let Some(largest) = self.fleet.largest_for(&self.estimated_size(key)) {
            let cpu = &mut need.cpu_milli;
            cpu.mean = cpu.mean.min(largest.cpu_milli as f64);
            let memory = &mut need.memory_mib;
            memory.mean = memory.mean.min(largest.memory_mib as f64);
        }
        need
    }

    /// Queues parked jobs again that can now be placed.
    pub(super) fn requeue_parked(&mut self) {
        let now = self.now.at;
        if now < self.next_recheck_at || !self.has_quotas {
            return;
        }
        self.next_recheck_at = now.after_ms(RECHECK_MS);
        let parked: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_settled() && is_parked_for_size(&job.row))
            .map(|(key, _)| key)
            .collect();
        for key in parked {
            if self.unplaceable(key).is_none() {
                self.change(key, row::State::Queued, row::Reason::MayRunNow);
            }
        }
    }
}

fn is_parked_for_size(row: &row::Row) -> bool {
    let reason = row.reason();
    matches!(row.state, row::State::Parked { .. })
        && matches!(
            reason,
            row::Reason::NoQuota | row::Reason::NoAccelerator | row::Reason::NoWorkerLargeEnough
        )
}
