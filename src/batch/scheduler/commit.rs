//! What the holder writes to the table, joined into few transactions.

use std::collections::{BTreeMap, BTreeSet};

use crate::batch::JobId;
use crate::batch::record;
use crate::batch::scheduler::Holder;
use crate::batch::waves;
use crate::id;

/// Most rows of one batch; the table takes 100 with the duty's row and its check.
pub const ROWS_MAX: usize = 90;

/// Rows of workers and acknowledgements that wait to be committed.
#[derive(Debug, Default)]
pub(super) struct Rows {
    recorded: BTreeSet<id::Worker>,
    wanted: BTreeMap<id::Worker, record::WorkerRow>,
    dropped: BTreeSet<id::Worker>,
    forgotten: Vec<JobId>,
    noted: BTreeMap<id::Worker, record::Noted>,
    waves: BTreeMap<u64, waves::Record>,
    ordered: BTreeMap<id::Vm, record::Ordered>,
    /// Machines whose order was committed.
    cleared: Vec<id::Vm>,
}

impl Rows {
    pub(super) fn new(recorded: impl Iterator<Item = id::Worker>) -> Self {
        Self {
            recorded: recorded.collect(),
            ..Self::default()
        }
    }

    pub(super) fn is_recorded(&self, worker: &id::Worker) -> bool {
        self.recorded.contains(worker)
    }

    pub(super) fn want(&mut self, worker: &id::Worker, service: &id::Service) {
        self.dropped.remove(worker);
        if !self.is_recorded(worker) {
            let row = record::WorkerRow {
                service: service.clone(),
            };
            self.wanted.insert(worker.clone(), row);
        }
    }

    pub(super) fn drop_worker(&mut self, worker: &id::Worker) {
        self.wanted.remove(worker);
        self.noted.remove(worker);
        if self.recorded.remove(worker) {
            self.dropped.insert(worker.clone());
        }
    }

    pub(super) fn record_order(&mut self, vm: id::Vm, ordered: record::Ordered) {
        self.ordered.insert(vm, ordered);
    }

    pub(super) fn take_cleared(&mut self) -> Vec<id::Vm> {
        std::mem::take(&mut self.cleared)
    }

    pub(super) fn forget(&mut self, job: JobId) {
        self.forgotten.push(job);
    }

    pub(super) fn record_wave(&mut self, number: u64, record: waves::Record) {
        self.waves.insert(number, record);
    }

    pub(super) fn note(&mut self, worker: &id::Worker, born_unix_ms: u64, number: u64) {
        let noted = record::Noted {
            born_unix_ms,
            number,
        };
        self.noted.insert(worker.clone(), noted);
    }
}

impl Holder {
    /// Takes what has to be written; it must be committed, or the holder given up.
    ///
    /// Ends are acknowledged only with a batch that holds all changes made by them.
    pub fn take_batch(&mut self) -> record::Batch {
        let mut batch = record::Batch::default();
        // First, as orders are sent soon after they are written down, or not at all.
        while batch.rows() < ROWS_MAX {
            let Some(order) = self.rows.ordered.pop_first() else {
                break;
            };
            batch.ordered.push(order);
        }
        while batch.rows() < ROWS_MAX {
            let Some(id) = self.changed.pop_first() else {
                break;
            };
            if let Some(job) = self.jobs.get(&id) {
                batch.progress.push((id, job.progress()));
            }
        }
        let rows = &mut self.rows;
        while batch.rows() < ROWS_MAX {
            let Some((worker, row)) = rows.wanted.pop_first() else {
                break;
            };
            batch.workers_added.push((worker, row));
        }
        while batch.rows() < ROWS_MAX {
            let Some(worker) = rows.dropped.pop_first() else {
                break;
            };
            batch.workers_removed.push(worker);
        }
        while batch.rows() < ROWS_MAX {
            let Some(job) = rows.forgotten.pop() else {
                break;
            };
            batch.forgotten.push(job);
        }
        while batch.rows() < ROWS_MAX {
            let Some(wave) = rows.waves.pop_first() else {
                break;
            };
            batch.waves.push(wave);
        }
        if self.changed.is_empty() {
            batch.acknowledge = std::mem::take(&mut rows.noted);
        }
        batch
    }

    /// Takes in that a batch was committed.
    pub fn committed(&mut self, batch: &record::Batch) {
        for (id, progress) in &batch.progress {
            if let Some(job) = self.jobs.get_mut(id) {
                job.stored = progress.state;
            }
        }
        for (id, _) in &batch.workers_added {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.recorded = true;
                self.rows.recorded.insert(id.clone());
                self.stale.insert(worker.listing.service.clone());
            } else {
                self.rows.dropped.insert(id.clone());
            }
        }
        let cleared = batch.ordered.iter().map(|(vm, _)| vm.clone());
        self.rows.cleared.extend(cleared);
        for (id, noted) in &batch.acknowledge {
            if let Some(worker) = self.workers.get_mut(id) {
                // A restarted worker's numbers mean other ends.
                if noted.born_unix_ms == worker.born_unix_ms {
                    worker.acknowledged = worker.acknowledged.max(noted.number);
                }
            }
        }
    }
}
