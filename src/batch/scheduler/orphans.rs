//! Orphan runs: runs of jobs that this scheduler does not know yet, because a previous leader read the job first.
//!
//! A job is stored before any of its tasks starts. A read of the job table that begins after a worker reported the run
//! therefore returns the job. Until such a read is complete, the run is not stopped and its end is not counted.

use crate::batch::scheduler::Scheduler;
use crate::batch::worker_state;
use crate::batch::{JobId, TaskId};
use crate::clock;
use crate::id;
use std::collections::HashMap;

/// Runs of jobs that are not known yet.
#[derive(Debug, Default)]
pub(super) struct Orphans {
    jobs: HashMap<JobId, OrphanRuns>,
    /// All jobs that were stored before this moment are known.
    known_until: clock::Instant,
}

#[derive(Debug)]
struct OrphanRuns {
    since: clock::Instant,
    runs: HashMap<(id::Worker, TaskId), worker_state::Run>,
}

impl Orphans {
    /// Returns whether an unknown job can still be found in the job table.
    pub(super) fn can_find(&self, job: JobId) -> bool {
        self.jobs
            .get(&job)
            .is_none_or(|orphan_runs| self.is_read_pending(orphan_runs))
    }

    fn is_read_pending(&self, orphan_runs: &OrphanRuns) -> bool {
        self.known_until <= orphan_runs.since
    }

    /// Keeps a run until its job is known, and returns whether it is the first of the job.
    pub(super) fn keep(
        &mut self,
        worker: &id::Worker,
        run: worker_state::Run,
        now: clock::Instant,
    ) -> bool {
        let is_first = !self.jobs.contains_key(&run.task.job);
        let orphan_runs = self.jobs.entry(run.task.job).or_insert(OrphanRuns {
            since: now,
            runs: HashMap::new(),
        });
        orphan_runs.runs.insert((worker.clone(), run.task), run);
        is_first
    }

    /// Returns whether a worker has a run whose job can still be found.
    pub(super) fn has_runs_on(&self, worker: &id::Worker) -> bool {
        self.jobs
            .values()
            .filter(|orphan_runs| self.is_read_pending(orphan_runs))
            .any(|orphan_runs| orphan_runs.runs.keys().any(|(on, _)| on == worker))
    }

    /// Drops the runs of a worker whose incarnation has ended.
    pub(super) fn forget_worker(&mut self, worker: &id::Worker) {
        for orphan_runs in self.jobs.values_mut() {
            orphan_runs.runs.retain(|(on, _), _| on != worker);
        }
    }

    fn take(&mut self, job: JobId) -> Option<OrphanRuns> {
        self.jobs.remove(&job)
    }
}

impl Scheduler {
    /// Records that all jobs that were stored before `until` are known.
    pub fn jobs_read(&mut self, until: clock::Instant) {
        self.orphans.known_until = self.orphans.known_until.max(until);
    }

    /// Applies the runs of a job that was just added.
    pub(super) fn apply_orphans(&mut self, job: JobId, now: clock::Instant) {
        let Some(orphan_runs) = self.orphans.take(job) else {
            return;
        };
        self.log(format!(
            "job found after its runs job={job} runs={} waited_ms={}",
            orphan_runs.runs.len(),
            now.since_ms(orphan_runs.since)
        ));
        for ((worker, _), run) in orphan_runs.runs {
            self.run_reported(&worker, &run, now);
        }
    }

    /// Keeps a run or an end whose job can still be found, and returns whether it did.
    pub(super) fn keep_orphan(
        &mut self,
        worker: &id::Worker,
        run: worker_state::Run,
        now: clock::Instant,
    ) -> bool {
        let (job, task) = (run.task.job, run.task);
        if self.jobs.contains_key(&job) || !self.orphans.can_find(job) {
            return false;
        }
        if self.orphans.keep(worker, run, now) {
            self.log(format!("run of unknown job task={task} worker={worker}"));
        }
        true
    }
}
