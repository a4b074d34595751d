//! Runs of jobs that this holder hasn't heard of: a predecessor heard of the job first.
//!
//! A job is stored before any task of it starts. So a run that a worker shows belongs to a job that a reading of the
//! job table begun after that must contain; until then its end isn't counted and it isn't stopped.

use std::collections::HashMap;

use crate::batch::book;
use crate::batch::scheduler::Holder;
use crate::batch::{JobId, TaskId};
use crate::clock;
use crate::id;

/// Runs of jobs that nobody has told of yet.
#[derive(Debug, Default)]
pub(super) struct Unheard {
    jobs: HashMap<JobId, Waiting>,
    /// All jobs that were stored before this moment are known.
    heard_until: clock::Instant,
}

#[derive(Debug)]
struct Waiting {
    since: clock::Instant,
    runs: HashMap<(id::Worker, TaskId), book::Run>,
}

impl Unheard {
    /// Whether a job that a worker tells of may still be heard of.
    pub(super) fn may_come(&self, job: JobId) -> bool {
        self.jobs
            .get(&job)
            .is_none_or(|waiting| self.is_open(waiting))
    }

    fn is_open(&self, waiting: &Waiting) -> bool {
        self.heard_until <= waiting.since
    }

    /// Keeps a run until its job is heard of; tells whether the job is new.
    pub(super) fn keep(
        &mut self,
        worker: &id::Worker,
        run: book::Run,
        now: clock::Instant,
    ) -> bool {
        let new = !self.jobs.contains_key(&run.task.job);
        let waiting = self.jobs.entry(run.task.job).or_insert(Waiting {
            since: now,
            runs: HashMap::new(),
        });
        waiting.runs.insert((worker.clone(), run.task), run);
        new
    }

    /// Whether a worker has a run whose job may still be heard of.
    pub(super) fn is_on(&self, worker: &id::Worker) -> bool {
        self.jobs
            .values()
            .filter(|waiting| self.is_open(waiting))
            .any(|waiting| waiting.runs.keys().any(|(on, _)| on == worker))
    }

    /// Drops the runs of a worker whose life has ended.
    pub(super) fn forget_worker(&mut self, worker: &id::Worker) {
        for waiting in self.jobs.values_mut() {
            waiting.runs.retain(|(on, _), _| on != worker);
        }
    }

    fn take(&mut self, job: JobId) -> Option<Waiting> {
        self.jobs.remove(&job)
    }
}

impl Holder {
    /// Notes that all jobs are known that were stored before a moment.
    pub fn jobs_heard(&mut self, until: clock::Instant) {
        self.unheard.heard_until = self.unheard.heard_until.max(until);
    }

    /// Takes over the runs of a job that was just heard of.
    pub(super) fn take_over_runs(&mut self, job: JobId, now: clock::Instant) {
        let Some(waiting) = self.unheard.take(job) else {
            return;
        };
        self.line(format!(
            "job heard of after its runs job={job} runs={} waited_ms={}",
            waiting.runs.len(),
            now.since_ms(waiting.since)
        ));
        for ((worker, _), run) in waiting.runs {
            self.running(&worker, &run, now);
        }
    }

    /// Keeps a run or an end of a job that may still be heard of; tells whether it did.
    pub(super) fn keep_unheard(
        &mut self,
        worker: &id::Worker,
        run: book::Run,
        now: clock::Instant,
    ) -> bool {
        let (job, task) = (run.task.job, run.task);
        if self.jobs.contains_key(&job) || !self.unheard.may_come(job) {
            return false;
        }
        if self.unheard.keep(worker, run, now) {
            self.line(format!(
                "run of a job not heard of task={task} worker={worker}"
            ));
        }
        true
    }
}
