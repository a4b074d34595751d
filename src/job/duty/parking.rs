//! Jobs that can't run as things are: found at once, shown with what would fit, tried again on change.

use super::{Duty, JobKey};
use crate::clock;
use crate::estimate;
use crate::job::row;
use crate::platform;
use crate::quota;

/// Interval at which parked jobs are judged anew, in milliseconds.
const RECHECK_MS: u64 = 10 * clock::SECOND_MS;

/// Why a job can't run, and what would fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Obstacle {
    pub(super) reason: row::Reason,
    pub(super) fits: Option<platform::Resources>,
}

impl Duty {
    /// What keeps the job from ever running on this fleet with its team's quota.
    pub(super) fn obstacle(&self, key: JobKey) -> Option<Obstacle> {
        let spec = &self.jobs[key].row.spec;
        match self.ledger.missing(&spec.team, &spec.declared) {
            Some(quota::Missing::Everything | quota::Missing::Accelerators) => {
                return Some(Obstacle {
                    reason: row::Reason::NoQuota,
                    fits: None,
                });
            }
            None => {}
        }
        if self.fleet.largest_for(&self.size_of(key)).is_some() {
            return None;
        }
        let largest = self.fleet.largest();
        let reason = if spec.declared.accelerators > largest.accelerators {
            row::Reason::NoAccelerator
        } else {
            row::Reason::NoWorkerLargeEnough
        };
        Some(Obstacle {
            reason,
            fits: Some(largest),
        })
    }

    /// What the job is held to need: what its class was seen to use, or else what is declared.
    fn size_of(&self, key: JobKey) -> platform::Resources {
        let job = &self.jobs[key];
        let declared = job.row.spec.declared;
        if !self.book.is_known(job.class) {
            return declared;
        }
        let need = self.book.predict(job.class, declared);
        platform::Resources {
            cpu_milli: need.cpu_milli.mean as u64,
            memory_mib: need.memory_mib.mean as u64,
            accelerators: declared.accelerators,
        }
    }

    /// What the job's next task is predicted to need, at most what the largest worker for it has.
    pub(super) fn need_of(&self, key: JobKey) -> estimate::Need {
        let job = &self.jobs[key];
        let mut need = self.book.predict(job.class, job.row.spec.declared);
        if let Some(largest) = self.fleet.largest_for(&self.size_of(key)) {
            let cpu = &mut need.cpu_milli;
            cpu.mean = cpu.mean.min(largest.cpu_milli as f64);
            let memory = &mut need.memory_mib;
            memory.mean = memory.mean.min(largest.memory_mib as f64);
        }
        need
    }

    /// Queues parked jobs again whose obstacle is gone.
    pub(super) fn sweep_parked(&mut self) {
        let now = self.now.at;
        if now < self.parking_at || !self.has_quotas {
            return;
        }
        self.parking_at = now.after_ms(RECHECK_MS);
        let parked: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_settled() && is_parked_for_size(&job.row))
            .map(|(key, _)| key)
            .collect();
        for key in parked {
            if self.obstacle(key).is_none() {
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
