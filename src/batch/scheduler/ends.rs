//! Ends: which progress rows wait to be written, and which ended runs can be acknowledged.
//!
//! Answers the load in which more ends arrive than one transaction can hold, for seconds. Rows are written in the order
//! of their changes, and an end is acknowledged with the transaction that writes the last change up to it. An end thus
//! waits for the changes before it, and never for those that arrive after it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::batch::progress_rows;
use crate::batch::record;
use crate::id;

/// Progress rows that have to be written, by their first change since they were last written.
#[derive(Debug, Default)]
pub(super) struct ChangedRows {
    by_change: BTreeSet<(u64, progress_rows::Key)>,
    changes: HashMap<progress_rows::Key, u64>,
    /// Rows that the store refused, by the first change that they would have written.
    refused: BTreeSet<(u64, progress_rows::Key)>,
    /// Number of the newest change.
    newest: u64,
}

impl ChangedRows {
    pub(super) fn insert(&mut self, row: progress_rows::Key) {
        self.newest += 1;
        let newest = self.newest;
        self.changes.entry(row).or_insert_with(|| {
            self.by_change.insert((newest, row));
            newest
        });
    }

    /// Removes and returns the row with the oldest change, and the number of that change.
    pub(super) fn pop_first(&mut self) -> Option<(u64, progress_rows::Key)> {
        let (change, row) = self.by_change.pop_first()?;
        self.changes.remove(&row);
        Some((change, row))
    }

    /// Returns the number of the newest change.
    pub(super) fn newest(&self) -> u64 {
        self.newest
    }

    /// Records that the store refused a row of which `change` was the first change.
    pub(super) fn refuse(&mut self, row: progress_rows::Key, change: u64) {
        self.refused.insert((change, row));
    }

    /// Queues refused rows to be written again.
    pub(super) fn retry_refused(&mut self) {
        for (change, row) in std::mem::take(&mut self.refused) {
            self.changes.entry(row).or_insert_with(|| {
                self.by_change.insert((change, row));
                change
            });
        }
    }

    /// Returns whether all changes up to a number were taken to be written.
    fn is_taken(&self, change: u64) -> bool {
        let is_before = |rows: &BTreeSet<(u64, progress_rows::Key)>| {
            rows.first().is_none_or(|(first, _)| change < *first)
        };
        is_before(&self.by_change) && is_before(&self.refused)
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

    /// Puts ends back that were taken, because the store refused a row of which `change` was the first change. They are the
    /// oldest ones of their workers.
    pub(super) fn put_back(
        &mut self,
        ends: BTreeMap<id::Worker, record::HandledRuns>,
        change: u64,
    ) {
        for (worker, runs) in ends {
            let ends = self.workers.entry(worker).or_default();
            ends.push_front(HandledEnd { runs, change });
        }
    }

    pub(super) fn forget(&mut self, worker: &id::Worker) {
        self.workers.remove(worker);
    }

    /// Removes and returns the newest end of each worker of which all changes were taken to be written.
    pub(super) fn take(
        &mut self,
        changed: &ChangedRows,
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
