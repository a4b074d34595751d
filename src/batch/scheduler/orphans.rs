//! Orphan runs: runs of jobs that this scheduler does not know yet, because a previous leader read the job first, or
//! because the job's partition has not been read since the takeover.
//!
//! A job is stored before any of its tasks starts. A read of the job's partition that begins after a worker reported the
//! run therefore returns the job. Until such a read is complete, the run is not stopped and its end is not counted.

use crate::batch::predecessors;
use crate::batch::record;
use crate::batch::scheduler::Scheduler;
use crate::batch::worker_state;
use crate::batch::{JobId, TaskId};
use crate::clock;
use crate::id;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Runs of jobs that are not known yet.
#[derive(Debug, Default)]
pub(super) struct Orphans {
    jobs: HashMap<JobId, OrphanRuns>,
    /// Jobs with runs on each worker.
    by_worker: BTreeMap<id::Worker, BTreeSet<JobId>>,
    /// For each partition, the moment before which all stored jobs are known; zero without an entry.
    known_until: BTreeMap<u64, clock::Instant>,
    /// Partitions that have to be read as a whole, since changes of them may have been missed.
    unread: BTreeSet<u64>,
    /// Partitions that were never read.
    never_read: BTreeSet<u64>,
}

#[derive(Debug)]
struct OrphanRuns {
    since: clock::Instant,
    runs: HashMap<(id::Worker, TaskId), worker_state::Run>,
}

impl Orphans {
    /// Creates the state of a scheduler that has read all partitions but some.
    pub(super) fn new(unread: BTreeSet<u64>) -> Self {
        Self {
            never_read: unread.clone(),
            unread,
            ..Self::default()
        }
    }

    /// Returns whether an unknown job can still be found in the job table.
    pub(super) fn can_find(&self, job: JobId) -> bool {
        self.jobs
            .get(&job)
            .is_none_or(|orphan_runs| self.is_read_pending(job, orphan_runs))
    }

    fn is_read_pending(&self, job: JobId, orphan_runs: &OrphanRuns) -> bool {
        let partition = record::job_partition_number(job);
        let known_until = self.known_until.get(&partition);
        known_until.is_none_or(|known_until| *known_until <= orphan_runs.since)
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
        let jobs = self.by_worker.entry(worker.clone()).or_default();
        jobs.insert(run.task.job);
        orphan_runs.runs.insert((worker.clone(), run.task), run);
        is_first
    }

    /// Returns whether a worker has a run whose job can still be found.
    pub(super) fn has_runs_on(&self, worker: &id::Worker) -> bool {
        let jobs = self.by_worker.get(worker);
        jobs.is_some_and(|jobs| {
            jobs.iter().any(|job| {
                let orphan_runs = self.jobs.get(job);
                orphan_runs.is_some_and(|orphan_runs| self.is_read_pending(*job, orphan_runs))
            })
        })
    }

    /// Drops the runs of a worker whose incarnation has ended.
    pub(super) fn forget_worker(&mut self, worker: &id::Worker) {
        for job in self.by_worker.remove(worker).unwrap_or_default() {
            if let Some(orphan_runs) = self.jobs.get_mut(&job) {
                orphan_runs.runs.retain(|(on, _), _| on != worker);
            }
        }
    }

    /// Returns the number of partitions that have to be read as a whole.
    pub(super) fn unread_count(&self) -> usize {
        self.unread.len()
    }

    /// Returns whether changes of a partition that was read before may have been missed since.
    pub(super) fn misses_changes(&self) -> bool {
        !self.unread.is_subset(&self.never_read)
    }

    /// Returns whether all jobs of a partition are known that were stored before some time.
    pub(super) fn is_read(&self, partition: u64) -> bool {
        !self.unread.contains(&partition)
    }

    /// Returns whether a partition was not read since the scheduler started.
    pub(super) fn is_never_read(&self, partition: u64) -> bool {
        self.never_read.contains(&partition)
    }

    fn take(&mut self, job: JobId) -> Option<OrphanRuns> {
        let orphan_runs = self.jobs.remove(&job)?;
        for (worker, _) in orphan_runs.runs.keys() {
            if let Some(jobs) = self.by_worker.get_mut(worker) {
                jobs.remove(&job);
                if jobs.is_empty() {
                    self.by_worker.remove(worker);
                }
            }
        }
        Some(orphan_runs)
    }

    fn known(&mut self, partition: u64, until: clock::Instant) {
        let known_until = self.known_until.entry(partition).or_default();
        *known_until = (*known_until).max(until);
    }

    /// Records that a partition was read as a whole, and returns whether it is the first time.
    pub(super) fn partition_read(&mut self, partition: u64, began_at: clock::Instant) -> bool {
        self.unread.remove(&partition);
        self.known(partition, began_at);
        self.never_read.remove(&partition)
    }
}

impl Scheduler {
    /// Records that all changes of the job table that were stored before `until` are known, except of the partitions
    /// that have to be read as a whole.
    pub fn jobs_read(&mut self, until: clock::Instant) {
        for partition in 0..record::JOB_PARTITIONS {
            if self.orphans.is_read(partition) {
                self.orphans.known(partition, until);
            }
        }
        let earlier_end = self.started_at.after_ms(predecessors::NEW_JOBS_MS);
        if until >= earlier_end && !self.orphans.misses_changes() {
            self.knows_earlier_jobs = true;
        }
    }

    /// Records that changes of the job table may have been missed, so that all its partitions have to be read again.
    pub fn job_changes_missed(&mut self) {
        self.orphans.unread = (0..record::JOB_PARTITIONS).collect();
    }

    /// Returns the number of partitions of the job table that have to be read as a whole.
    pub fn unread_partitions(&self) -> usize {
        self.orphans.unread_count()
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
        // Of a task's runs only the newest can be running, because it was started after the others had ended. The
        // ends of the others are in the workers' next reports.
        let mut newest: BTreeMap<TaskId, (id::Worker, worker_state::Run)> = BTreeMap::new();
        for ((worker, task), run) in orphan_runs.runs {
            let known = newest.get(&task);
            if known.is_none_or(|(_, known)| known.run < run.run) {
                newest.insert(task, (worker, run));
            }
        }
        for (worker, run) in newest.into_values() {
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
