//! Rows that the scheduler writes to the table, batched into few transactions.

use std::collections::{BTreeMap, BTreeSet};

use crate::batch::JobId;
use crate::batch::record;
use crate::batch::scheduler::{Scheduler, ends};
use crate::batch::waves;
use crate::id;

/// Maximum number of rows in a batch; the table accepts 100 including the duty's row and its check.
pub const ROWS_MAX: usize = 90;

/// Rows and acknowledgements that wait to be committed.
#[derive(Debug, Default)]
pub(super) struct PendingRows {
    recorded: BTreeSet<id::Worker>,
    added: BTreeMap<id::Worker, record::WorkerRow>,
    removed: BTreeSet<id::Worker>,
    forgotten_jobs: Vec<JobId>,
    handled_ends: ends::HandledEnds,
    waves: BTreeMap<u64, waves::Record>,
    machine_commands: BTreeMap<id::Vm, record::MachineRow>,
    /// Machines whose command was committed.
    committed_commands: Vec<id::Vm>,
}

impl PendingRows {
    pub(super) fn new(recorded: impl Iterator<Item = id::Worker>) -> Self {
        Self {
            recorded: recorded.collect(),
            ..Self::default()
        }
    }

    pub(super) fn is_recorded(&self, worker: &id::Worker) -> bool {
        self.recorded.contains(worker)
    }

    pub(super) fn add_worker(&mut self, worker: &id::Worker, service: &id::Service) {
        self.removed.remove(worker);
        if !self.is_recorded(worker) {
            let row = record::WorkerRow {
                service: service.clone(),
            };
            self.added.insert(worker.clone(), row);
        }
    }

    pub(super) fn remove_worker(&mut self, worker: &id::Worker) {
        self.added.remove(worker);
        self.handled_ends.forget(worker);
        if self.recorded.remove(worker) {
            self.removed.insert(worker.clone());
        }
    }

    pub(super) fn record_machine_command(&mut self, vm: id::Vm, command: record::MachineRow) {
        self.machine_commands.insert(vm, command);
    }

    pub(super) fn take_committed_commands(&mut self) -> Vec<id::Vm> {
        std::mem::take(&mut self.committed_commands)
    }

    pub(super) fn forget_job(&mut self, job: JobId) {
        self.forgotten_jobs.push(job);
    }

    /// Keeps the progress row of an id that was submitted again after its job had been removed.
    pub(super) fn keep_job(&mut self, job: JobId) {
        self.forgotten_jobs.retain(|forgotten| *forgotten != job);
    }

    pub(super) fn record_wave(&mut self, number: u64, record: waves::Record) {
        self.waves.insert(number, record);
    }

    pub(super) fn record_handled_end(
        &mut self,
        worker: &id::Worker,
        born_unix_ms: u64,
        number: u64,
        change: u64,
    ) {
        let runs = record::HandledRuns {
            started_unix_ms: born_unix_ms,
            number,
        };
        self.handled_ends.push(worker, runs, change);
    }
}

impl Scheduler {
    /// Returns the next batch to write. The caller has to commit it or give up the scheduler.
    ///
    /// An end is acknowledged in the batch after which no earlier change of a job is left to write.
    pub fn take_batch(&mut self) -> record::WriteBatch {
        let mut batch = record::WriteBatch::default();
        // Machine commands come first, because they are sent soon after they are persisted or not at all.
        while batch.rows() < ROWS_MAX {
            let Some(command) = self.pending_rows.machine_commands.pop_first() else {
                break;
            };
            batch.machine_commands.push(command);
        }
        while batch.rows() < ROWS_MAX {
            let Some(id) = self.changed_jobs.pop_first() else {
                break;
            };
            if let Some(job) = self.jobs.get(&id) {
                batch.progress.push((id, job.progress()));
            }
        }
        let pending = &mut self.pending_rows;
        while batch.rows() < ROWS_MAX {
            let Some((worker, row)) = pending.added.pop_first() else {
                break;
            };
            batch.workers_added.push((worker, row));
        }
        while batch.rows() < ROWS_MAX {
            let Some(worker) = pending.removed.pop_first() else {
                break;
            };
            batch.workers_removed.push(worker);
        }
        while batch.rows() < ROWS_MAX {
            let Some(job) = pending.forgotten_jobs.pop() else {
                break;
            };
            batch.jobs_deleted.push(job);
        }
        while batch.rows() < ROWS_MAX {
            let Some(wave) = pending.waves.pop_first() else {
                break;
            };
            batch.waves.push(wave);
        }
        batch.acknowledge = pending.handled_ends.take(&self.changed_jobs);
        batch
    }

    /// Records that a batch was committed.
    pub fn batch_committed(&mut self, batch: &record::WriteBatch) {
        for (id, progress) in &batch.progress {
            if let Some(job) = self.jobs.get_mut(id) {
                job.committed_state = progress.state;
            }
        }
        for (id, _) in &batch.workers_added {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.recorded = true;
                self.pending_rows.recorded.insert(id.clone());
                self.dirty_services.insert(worker.listing.service.clone());
            } else {
                self.pending_rows.removed.insert(id.clone());
            }
        }
        let committed = batch.machine_commands.iter().map(|(vm, _)| vm.clone());
        self.pending_rows.committed_commands.extend(committed);
        for (id, noted) in &batch.acknowledge {
            if let Some(worker) = self.workers.get_mut(id) {
                // A restarted worker numbers its ends from the start, so an old number would acknowledge other ends.
                if noted.started_unix_ms == worker.started_unix_ms {
                    worker.acknowledged = worker.acknowledged.max(noted.number);
                }
            }
        }
    }
}
