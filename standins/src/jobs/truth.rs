//! What really happened to jobs, whatever the rows say, and the invariants on it.

use std::collections::{BTreeMap, BTreeSet};

use snafu::Snafu;
use wasabiloft::document;
use wasabiloft::id;

use super::Submission;

/// An invariant that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Violation {
    /// A job that must not run twice was started twice.
    #[snafu(display("{job} is not idempotent and was started twice"))]
    StartedTwice {
        /// The job.
        job: id::Job,
    },
    /// Two tasks of one job ran at once.
    #[snafu(display("two tasks of {job} ran at once"))]
    RanAtOnce {
        /// The job.
        job: id::Job,
    },
    /// An accepted job has no row.
    #[snafu(display("{job} was accepted and has no row"))]
    Vanished {
        /// The job.
        job: id::Job,
    },
    /// A refused job has a row.
    #[snafu(display("{job} was refused and has a row"))]
    RefusedButStored {
        /// The job.
        job: id::Job,
    },
    /// A task ran on a VM that was reported vacated.
    #[snafu(display("{job} ran on a VM that was reported vacated"))]
    RanOnVacated {
        /// The job.
        job: id::Job,
    },
}

/// One job's life.
#[derive(Clone, Debug)]
pub(super) struct Life {
    pub(super) submission: Submission,
    pub(super) submitted_ms: u64,
    pub(super) accepted_ms: Option<u64>,
    pub(super) first_start_ms: Option<u64>,
    pub(super) finished_ms: Option<u64>,
    pub(super) starts: u32,
    pub(super) running: u32,
    /// Work that the newest checkpoint holds, in milliseconds.
    pub(super) kept_ms: f64,
    /// Work that was done and lost, in milliseconds.
    pub(super) lost_ms: f64,
}

/// All jobs' lives.
#[derive(Clone, Debug, Default)]
pub(super) struct Truth {
    pub(super) lives: BTreeMap<id::Job, Life>,
    accepted: BTreeSet<id::Job>,
    refused: BTreeSet<id::Job>,
    violation: Option<Violation>,
}

impl Truth {
    pub(super) fn submitted(&mut self, job: &id::Job, submission: &Submission, now_ms: u64) {
        self.lives.entry(job.clone()).or_insert_with(|| Life {
            submission: submission.clone(),
            submitted_ms: now_ms,
            accepted_ms: None,
            first_start_ms: None,
            finished_ms: None,
            starts: 0,
            running: 0,
            kept_ms: 0.0,
            lost_ms: 0.0,
        });
    }

    pub(super) fn accept(&mut self, job: &id::Job, now_ms: u64) {
        if let Some(life) = self.lives.get_mut(job) {
            life.accepted_ms.get_or_insert(now_ms);
        }
        self.refused.remove(job);
        self.accepted.insert(job.clone());
    }

    pub(super) fn refuse(&mut self, job: &id::Job) {
        if !self.accepted.contains(job) {
            self.refused.insert(job.clone());
        }
    }

    pub(super) fn removed(&mut self, job: &id::Job) {
        self.accepted.remove(job);
    }

    pub(super) fn accepted(&self) -> impl Iterator<Item = &id::Job> {
        self.accepted.iter()
    }

    pub(super) fn refused(&self) -> impl Iterator<Item = &id::Job> {
        self.refused.iter()
    }

    /// Takes the start of a task.
    pub(super) fn started(&mut self, job: &id::Job, now_ms: u64) {
        let Some(life) = self.lives.get_mut(job) else {
            return;
        };
        life.first_start_ms.get_or_insert(now_ms);
        life.starts += 1;
        life.running += 1;
        if life.starts > 1 && !life.submission.spec.idempotent {
            self.violation = Some(Violation::StartedTwice { job: job.clone() });
        } else if life.running > 1 {
            self.violation = Some(Violation::RanAtOnce { job: job.clone() });
        }
    }

    /// Takes the end of a task.
    pub(super) fn ended(&mut self, job: &id::Job, lost_ms: f64) {
        if let Some(life) = self.lives.get_mut(job) {
            life.running = life.running.saturating_sub(1);
            life.lost_ms += lost_ms;
        }
    }

    /// Takes the freeze of a worker: its tasks do nothing.
    pub(super) fn freeze(&mut self, jobs: &[id::Job]) {
        for job in jobs {
            self.ended(job, 0.0);
        }
    }

    /// Takes the end of a freeze.
    pub(super) fn thaw(&mut self, jobs: &[id::Job]) {
        for job in jobs {
            if let Some(life) = self.lives.get_mut(job) {
                life.running += 1;
            }
        }
    }

    /// Checks that no task went on beside its job's next one.
    pub(super) fn check_thawed(&mut self, jobs: &[id::Job]) {
        for job in jobs {
            if self.lives.get(job).is_some_and(|life| life.running > 1) {
                self.violation = Some(Violation::RanAtOnce { job: job.clone() });
            }
        }
    }

    pub(super) fn break_invariant(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    pub(super) fn violation(&self) -> Option<Violation> {
        self.violation.clone()
    }

    /// Times from submission to the first start of jobs of an urgency, in milliseconds.
    pub(super) fn waits_ms(&self, urgency: document::Urgency) -> Vec<Option<u64>> {
        self.lives
            .values()
            .filter(|life| life.submission.spec.urgency == urgency && life.accepted_ms.is_some())
            .map(|life| life.first_start_ms.map(|at| at - life.submitted_ms))
            .collect()
    }
}
