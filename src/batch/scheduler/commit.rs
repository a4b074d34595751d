//! Rows that the scheduler writes to the table, batched into few transactions.

use std::collections::{BTreeMap, BTreeSet};

use crate::batch::progress_rows;
use crate::batch::record;
use crate::batch::scheduler::{Scheduler, ends};
use crate::batch::waves;
use crate::batch::{JobId, TaskId};
use crate::id;

/// Maximum number of rows in a batch; the table accepts 100 including the duty's row and its check.
pub const ROWS_MAX: usize = 90;

/// Rows and acknowledgements that wait to be committed.
#[derive(Debug, Default)]
pub(super) struct PendingRows {
    recorded: BTreeSet<id::Worker>,
    added: BTreeMap<id::Worker, record::WorkerRow>,
    removed: BTreeSet<id::Worker>,
    obsolete_progress: Vec<progress_rows::Key>,
    handled_ends: ends::HandledEnds,
    waves: BTreeMap<waves::Key, waves::Record>,
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
            let row = record::WorkerRow::new(service.clone());
            self.added.insert(worker.clone(), row);
        }
    }

    /// Writes the row of a worker again.
    pub(super) fn update_worker(&mut self, worker: &id::Worker, row: record::WorkerRow) {
        self.added.insert(worker.clone(), row);
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

    pub(super) fn delete_progress(&mut self, rows: impl Iterator<Item = progress_rows::Key>) {
        self.obsolete_progress.extend(rows);
    }

    /// Keeps the first progress row of an id that was submitted again after its job had been removed.
    pub(super) fn keep_job(&mut self, job: JobId) {
        self.keep_progress(job.into());
    }

    fn keep_progress(&mut self, row: progress_rows::Key) {
        self.obsolete_progress.retain(|obsolete| *obsolete != row);
    }

    pub(super) fn record_wave(&mut self, key: waves::Key, record: waves::Record) {
        self.waves.insert(key, record);
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
        let row_bytes = self.settings.row_bytes;
        // Machine commands come first, because they are sent soon after they are persisted or not at all.
        while batch.rows() < ROWS_MAX {
            let Some(command) = self.pending_rows.machine_commands.pop_first() else {
                break;
            };
            batch.machine_commands.push(command);
        }
        while batch.rows() < ROWS_MAX {
            let Some((change, row)) = self.changed_rows.pop_first() else {
                break;
            };
            if self.is_held(row.job) {
                continue;
            }
            let Some(job) = self.jobs.get_mut(&row.job) else {
                continue;
            };
            // An ended job needs no more than its state.
            if row.part == 0 || !job.state.is_final() {
                let mut progress = job.progress(row.part);
                progress_rows::shrink(&mut progress, row_bytes);
                job.rows.insert(row.part);
                self.pending_rows.keep_progress(row);
                batch.progress.push((row, progress));
                batch.first_changes.insert(row, change);
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
            let Some(row) = pending.obsolete_progress.pop() else {
                break;
            };
            batch.progress_deleted.push(row);
        }
        while batch.rows() < ROWS_MAX {
            let Some(wave) = pending.waves.pop_first() else {
                break;
            };
            batch.waves.push(wave);
        }
        batch.acknowledge = pending.handled_ends.take(&self.changed_rows);
        batch
    }

    /// Takes rows of a batch that the store refuses for good, by table and key, out of it.
    ///
    /// Progress is written again later; until then, neither the batch's ends nor later ones are acknowledged. A worker or machine
    /// whose row is refused isn't used.
    pub fn rows_refused<F>(&mut self, batch: &mut record::WriteBatch, is_refused: F)
    where
        F: Fn(&str, &str) -> bool,
    {
        let is_refused_progress =
            |row: &progress_rows::Key| is_refused(record::PROGRESS_TABLE, &row.to_string());
        let refused = batch.first_changes.iter();
        let refused: Vec<(u64, progress_rows::Key)> = refused
            .filter(|(row, _)| is_refused_progress(row))
            .map(|(row, change)| (*change, *row))
            .collect();
        for &(change, row) in &refused {
            self.changed_rows.refuse(row, change);
        }
        if let Some(&(first, _)) = refused.iter().min() {
            let ends = std::mem::take(&mut batch.acknowledge);
            self.pending_rows.handled_ends.put_back(ends, first);
        }
        batch.progress.retain(|(row, _)| !is_refused_progress(row));
        batch
            .workers_added
            .retain(|(worker, _)| !is_refused(record::WORKER_TABLE, worker.as_str()));
        batch
            .machine_commands
            .retain(|(vm, _)| !is_refused(record::MACHINE_TABLE, vm.as_str()));
    }

    /// Deletes the rows of an ended job but for the one that holds its state.
    pub(super) fn delete_further_progress(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            let further = job.rows.split_off(&1);
            let keys = further
                .into_iter()
                .map(|part| progress_rows::Key { job: id, part });
            self.pending_rows.delete_progress(keys);
        }
    }

    /// Records that the progress of a task has changed.
    pub(super) fn task_changed(&mut self, id: &TaskId) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let part = job.row_to_write(id);
        // A job with progress has a first row, by which callers learn its state without the leader.
        if !job.rows.contains(&0) {
            self.changed_rows.insert(id.job.into());
        }
        if job.has_finished_rows() {
            self.changed_rows.insert(id.job.into());
        }
        self.changed_rows
            .insert(progress_rows::Key { job: id.job, part });
    }

    /// Deletes the further rows of a job whose occurrences are all finished by its first row.
    pub(super) fn delete_finished_progress(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            let keys = job.take_finished_rows().into_iter();
            let keys = keys.map(|part| progress_rows::Key { job: id, part });
            self.pending_rows.delete_progress(keys);
        }
    }

    /// Records that a batch was committed.
    pub fn batch_committed(&mut self, batch: &record::WriteBatch) {
        for (row, progress) in &batch.progress {
            let Some(job) = self.jobs.get_mut(&row.job).filter(|_| row.part == 0) else {
                continue;
            };
            job.committed_state = progress.state;
            if progress.state.is_final() {
                self.delete_further_progress(row.job);
            } else {
                job.record_finished(progress.finished_below);
                self.delete_finished_progress(row.job);
            }
        }
        for (id, _) in &batch.workers_added {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.recorded = !self.pending_rows.added.contains_key(id);
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
