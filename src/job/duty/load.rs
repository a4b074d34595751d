//! What a new holder learns from the rows, and what it reads of the inbox later on.

use super::entry::{Job, Write};
use super::live::{Fence, Live};
use super::{Duty, Event, JobKey, Output, TASK_LEASE_MS};
use crate::clock;
use crate::estimate;
use crate::id;
use crate::job::{inbox, row, spec};
use crate::placement;
use crate::platform;
use crate::quarantine;

/// Age of the oldest results that a new holder judges workers by, in milliseconds.
const RECALL_MS: u64 = 10 * clock::MINUTE_MS;

/// Rows that were read before all needed to judge them was known.
#[derive(Debug, Default)]
pub(super) struct Load {
    pages: Vec<platform::Row>,
    is_read: bool,
    has_estimates: bool,
    is_done: bool,
}

impl Load {
    /// True once every job is in memory.
    pub(super) fn is_done(&self) -> bool {
        self.is_done
    }
}

impl Duty {
    /// Takes a page of job rows.
    pub(super) fn loaded(&mut self, rows: &[platform::Row], last: bool) {
        self.load.pages.extend_from_slice(rows);
        if last {
            self.load.is_read = true;
            self.finish_load();
            return;
        }
        let after = self.load.pages.last().map(|row| row.key.clone());
        self.outputs.push(Output::Load { after });
    }

    /// Takes the sizes that predecessors learned.
    pub(super) fn take_estimates(&mut self, row: Option<&platform::Row>) {
        if let Some(row) = row {
            match serde_json::from_str::<estimate::Snapshot>(&row.value) {
                Ok(snapshot) => self.book.restore(snapshot),
                Err(_) => self.count(Event::RowUnreadable),
            }
        }
        self.load.has_estimates = true;
        self.finish_load();
    }

    /// Adopts all jobs once the rows, the learned sizes and the VMs are known.
    pub(super) fn finish_load(&mut self) {
        let ready = self.load.is_read && self.load.has_estimates && !self.vms.is_empty();
        if !ready || self.load.is_done {
            return;
        }
        self.load.is_done = true;
        for row in std::mem::take(&mut self.load.pages) {
            self.adopt(&row);
        }
        self.recall_results();
        self.outputs.push(Output::ReadInbox);
        self.round_due = true;
    }

    /// Rebuilds the records of workers from the newest entries of the jobs' histories.
    fn recall_results(&mut self) {
        let since_unix_ms = self.now.unix_ms.saturating_sub(RECALL_MS);
        let mut results = Vec::new();
        for job in self.jobs.values() {
            for change in &job.row.history {
                let result = match change.reason {
                    row::Reason::Finished => quarantine::Result::Succeeded,
                    row::Reason::TaskFailed => quarantine::Result::Failed,
                    _ => continue,
                };
                let Some(vm) = change.worker.clone() else {
                    continue;
                };
                if change.at_unix_ms >= since_unix_ms {
                    results.push((change.at_unix_ms, vm, job.id.clone(), result));
                }
            }
        }
        results.sort_by_key(|(at_unix_ms, ..)| *at_unix_ms);
        for (_, vm, job, result) in results {
            self.records.record(self.now.at, &vm, &job, result);
        }
    }

    /// Takes a job's row into memory and resumes what it says.
    fn adopt(&mut self, stored: &platform::Row) {
        let Some(key) = self.insert(stored) else {
            return;
        };
        let job = &self.jobs[key];
        let Some(placement) = job.row.state.placement().cloned() else {
            return;
        };
        let worker = self.worker_of(&placement.worker);
        self.adopt_live(key, worker);
        let stopping = matches!(self.jobs[key].row.state, row::State::Stopping(_));
        if stopping && !self.is_rebooted(&placement) {
            self.send_stop(key);
        }
    }

    fn adopt_live(&mut self, key: JobKey, worker: placement::WorkerKey) {
        let need = self.need_of(key);
        let rank = self.jobs[key].rank(self.now.unix_ms);
        let (task, charge) = self.book_task(key, worker, need, rank);
        let mut live = Live::new(task, worker, charge, self.now.at);
        live.own = false;
        live.lease_ms = TASK_LEASE_MS;
        let job = &mut self.jobs[key];
        if matches!(job.row.state, row::State::Placed(_)) {
            live.fence = Fence::Open;
        }
        self.set_live(key, live);
    }

    /// The worker of that name, made closed and without size if the platform does not list it.
    fn worker_of(&mut self, vm: &id::Vm) -> placement::WorkerKey {
        if let Some(worker) = self.fleet.find(vm) {
            return worker;
        }
        let rack = id::Rack::from("unknown");
        let worker = self
            .fleet
            .set_worker(vm, &rack, platform::Resources::default());
        self.fleet.set_open(worker, false);
        worker
    }

    /// Reads a row into memory; `None` if it is known or can't be read.
    fn insert(&mut self, stored: &platform::Row) -> Option<JobKey> {
        let id = spec::job_of_key(&stored.key)?;
        if self.by_id.contains_key(&id) {
            return None;
        }
        let Ok(row) = serde_json::from_str::<row::Row>(&stored.value) else {
            self.count(Event::RowUnreadable);
            return None;
        };
        let class = self.book.class(&row.spec.team, &row.spec.class);
        let owner = self.ledger.account_index(&row.spec.team);
        let job = Job {
            id: id.clone(),
            row,
            version: stored.version,
            write: Write::Settled,
            delete: false,
            class,
            owner,
            live: None,
            reservation: None,
        };
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        self.queue_if_queued(key);
        Some(key)
    }

    /// Puts a job into the queue if its state says so.
    pub(super) fn queue_if_queued(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        if job.row.state == row::State::Queued {
            self.queue.insert(key, job);
            self.round_due = true;
        }
    }

    /// Takes the inbox: reads the jobs that are new and notes what owners ask for.
    pub(super) fn read_inbox(&mut self, rows: &[platform::Row]) {
        let mut unknown = Vec::new();
        for stored in rows {
            if self.inbox.contains_key(&stored.key) {
                continue;
            }
            let Ok(entries) = serde_json::from_str::<Vec<inbox::Entry>>(&stored.value) else {
                self.count(Event::RowUnreadable);
                continue;
            };
            let jobs = entries.iter().map(inbox::Entry::job);
            unknown.extend(jobs.filter(|job| !self.by_id.contains_key(*job)).cloned());
            self.inbox.insert(stored.key.clone(), entries);
        }
        if unknown.is_empty() {
            self.note_requests();
        } else {
            self.outputs.push(Output::ReadJobs(unknown));
        }
    }

    /// Takes the rows of jobs that the inbox named.
    pub(super) fn read_jobs(&mut self, rows: &[platform::Row], absent: &[id::Job]) {
        for stored in rows {
            self.adopt(stored);
        }
        for entries in self.inbox.values_mut() {
            entries.retain(|entry| !absent.contains(entry.job()));
        }
        self.note_requests();
    }

    /// Turns the inbox's entries into requests on jobs.
    fn note_requests(&mut self) {
        for entry in self.inbox.values().flatten() {
            let Some(key) = self.by_id.get(entry.job()) else {
                continue;
            };
            match entry {
                inbox::Entry::Submitted(_) => {}
                inbox::Entry::Cancel(_) => {
                    self.cancels.insert(*key);
                }
                inbox::Entry::Remove(_) => {
                    self.removals.insert(*key);
                }
            }
        }
    }

    /// Marks inbox rows whose requests are all committed for deletion.
    pub(super) fn settle_inbox(&mut self) {
        if self.inbox.len() == self.inbox_done.len() {
            return;
        }
        let mut done = Vec::new();
        for (key, entries) in &self.inbox {
            if !self.inbox_done.contains(key) && entries.iter().all(|entry| self.is_met(entry)) {
                done.push(key.clone());
            }
        }
        self.inbox_done.extend(done);
    }

    fn is_met(&self, entry: &inbox::Entry) -> bool {
        let job = self
            .by_id
            .get(entry.job())
            .map(|key| (key, &self.jobs[*key]));
        match (entry, job) {
            (inbox::Entry::Submitted(_), job) => job.is_some(),
            (inbox::Entry::Remove(_) | inbox::Entry::Cancel(_), None) => true,
            (inbox::Entry::Cancel(_), Some((key, job))) => {
                !self.cancels.contains(key) && job.is_settled()
            }
            (inbox::Entry::Remove(_), Some((key, job))) => {
                !self.removals.contains(key) && job.is_settled()
            }
        }
    }
}
