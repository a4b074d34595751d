//! Ends: which jobs wait to be written, and which ended runs can be acknowledged.
//!
//! Answers the load in which more ends arrive than one transaction can hold, for seconds. Jobs are written in the order
//! of their changes, and an end is acknowledged with the transaction that writes the last change up to it. An end thus
//! waits for the changes before it, and never for those that arrive after it.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::batch::JobId;
use crate::batch::record;
use crate::id;

/// Jobs whose progress row has to be written, by their first change since the row was last written.
#[derive(Debug, Default)]
pub(super) struct ChangedJobs {
    by_change: BTreeMap<u64, JobId>,
    changes: HashMap<JobId, u64>,
    /// Number of the newest change.
    newest: u64,
}

impl ChangedJobs {
    pub(super) fn insert(&mut self, job: JobId) {
        self.newest += 1;
        let newest = self.newest;
        self.changes.entry(job).or_insert_with(|| {
            self.by_change.insert(newest, job);
            newest
        });
    }

    pub(super) fn pop_first(&mut self) -> Option<JobId> {
        let (_, job) = self.by_change.pop_first()?;
        self.changes.remove(&job);
        Some(job)
    }

    /// Returns the number of the newest change.
    pub(super) fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns whether all changes up to a number were taken to be written.
    fn is_taken(&self, change: u64) -> bool {
        self.by_change
            .first_key_value()
            .is_none_or(|(first, _)| change < *first)
    }
}

/// Handled ends that are not acknowledged yet, by worker.
#[derive(Debug, Default)]
pub(super) struct HandledEnds {
    workers: BTreeMap<id::Worker, VecDeque<HandledEnd>>,
}

#[derive(Clone, Copy, Debug)]
struct HandledEnd {
    runs: record::HandledRuns,
    /// The newest change when the end had been handled.
    change: u64,
}

impl HandledEnds {
    /// Records that the ends of a worker up to `runs` were handled, after the changes up to `change`.
    pub(super) fn push(&mut self, worker: &id::Worker, runs: record::HandledRuns, change: u64) {
        let ends = self.workers.entry(worker.clone()).or_default();
        if ends.back().is_some_and(|last| last.change == change) {
            ends.pop_back();
        }
        ends.push_back(HandledEnd { runs, change });
    }

    pub(super) fn forget(&mut self, worker: &id::Worker) {
        self.workers.remove(worker);
    }

    /// Removes and returns the newest end of each worker of which all changes were taken to be written.
    pub(super) fn take(
        &mut self,
        changed: &ChangedJobs,
    ) -> BTreeMap<id::Worker, record::HandledRuns> {
        let mut taken = BTreeMap::new();
        self.workers.retain(|worker, ends| {
            let ready = ends.partition_point(|end| changed.is_taken(end.change));
            if let Some(end) = ends.drain(..ready).next_back() {
                taken.insert(worker.clone(), end.runs);
            }
            !ends.is_empty()
        });
        taken
    }
}
