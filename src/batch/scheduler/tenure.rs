//! What a leader may start, by the newest moment at which it certainly led.
//!
//! A leader that was replaced and doesn't know it is refused by all workers that its successor has reached. On others it
//! could still start a task that its successor has started elsewhere, or knows to be done: a task whose run it takes for
//! ended although the run's worker hasn't reported so, or one of a job that the successor takes for new. Both wait until a
//! later commit succeeds.

use std::collections::BTreeMap;

use crate::batch::predecessors;
use crate::batch::record;
use crate::batch::scheduler::{Scheduler, job, tasks};
use crate::clock;
use crate::id;

/// Which ends of runs, and which new jobs, a later commit has confirmed.
#[derive(Debug, Default)]
pub(super) struct Tenure {
    /// When the newest successful commit was sent; `None` where nobody says, and nothing has to be confirmed.
    proven_at: Option<clock::Instant>,
    /// When a run of this leader was last taken for ended without a report of its worker.
    run_ended_at: clock::Instant,
    /// When a worker of earlier leaders was last taken for ended without its answer, by service.
    inherited_ended: BTreeMap<id::Service, clock::Instant>,
    /// The newest moment at which a worker of earlier leaders answered for the first time.
    pub(super) inherited_heard_at: clock::Instant,
}

impl Tenure {
    /// Records that a run was taken for ended without a report of its worker.
    pub(super) fn run_ended(&mut self, now: clock::Instant) {
        self.run_ended_at = self.run_ended_at.max(now);
    }

    /// Records that a worker of earlier leaders was taken for ended without its answer.
    pub(super) fn inherited_ended(&mut self, row: &record::WorkerRow, now: clock::Instant) {
        self.inherited_ended.insert(row.service.clone(), now);
    }

    fn is_proven(&self, at: clock::Instant) -> bool {
        self.proven_at.is_none_or(|proven_at| at <= proven_at)
    }

    /// Returns whether all that was taken for ended was so while this leader certainly led.
    fn is_all_proven(&self) -> bool {
        self.is_proven(self.run_ended_at)
            && self.inherited_ended.values().all(|at| self.is_proven(*at))
    }

    /// Returns whether a commit has confirmed that workers of earlier leaders have ended that may run tasks of a service.
    pub(super) fn are_inherited_proven(&self, service: &id::Service) -> bool {
        let unreadable = record::WorkerRow::unreadable().service;
        let ended = [service, &unreadable].map(|service| self.inherited_ended.get(service));
        ended.into_iter().flatten().all(|at| self.is_proven(*at))
    }

    /// Returns whether a successor would know that this leader may have started tasks of a job.
    pub(super) fn may_take_up(&self, job: &job::Job) -> bool {
        self.proven_at
            .is_none_or(|proven_at| job.known_at <= proven_at.after_ms(predecessors::NEW_JOBS_MS))
    }

    /// Returns whether no successor can know more of a task's last run.
    pub(super) fn may_start_again(&self, task: &tasks::Task) -> bool {
        task.released
            .as_ref()
            .is_none_or(|released| released.by.is_reported() || self.is_proven(released.at))
    }
}

impl Scheduler {
    /// Records that nobody had taken over before `at`, when the newest successful commit was sent. Returns whether starts may
    /// have waited for that.
    pub fn certainly_led(&mut self, at: clock::Instant, now: clock::Instant) -> bool {
        let previous = self.tenure.proven_at;
        if previous.is_some_and(|previous| at <= previous) {
            return false;
        }
        let was_old =
            previous.is_some_and(|previous| now.since_ms(previous) > predecessors::NEW_JOBS_MS);
        let has_waited = was_old || !self.tenure.is_all_proven();
        self.tenure.proven_at = Some(at);
        if has_waited {
            self.dirty_services
                .extend(self.config.services.keys().cloned());
        }
        has_waited
    }

    /// Returns whether workers of earlier leaders have neither answered nor been taken for ended.
    pub fn has_unresolved_workers(&self) -> bool {
        !self.unresolved.is_empty()
    }

    /// Returns whether starts wait for a commit that is sent from now on.
    pub fn awaits_commit(&self) -> bool {
        !self.tenure.is_all_proven()
    }
}
