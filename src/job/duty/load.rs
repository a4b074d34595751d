//! Recovery of a new leader's state from the rows, and reading of the inbox.

use super::job::{Job, WriteState};
use super::task::{Fence, Live};
use super::{Duty, Event, JobKey, Output, TASK_LEASE_MS};
use crate::clock;
use crate::estimate;
use crate::id;
use crate::job::{inbox, row, spec};
use crate::placement;
use crate::platform;
use crate::quarantine;

/// Maximum age of the results from which a new leader rebuilds the records of workers, in
/// milliseconds.
const RESULT_HISTORY_MS: u64 = 10 * clock::MINUTE_MS;

/// Rows read before everything needed to process them was available.
#[derive(Debug, Default)]
pub(super) struct Load {
    pages: Vec<platform::Row>,
    all_pages_read: bool,
    has_estimates: bool,
    is_done: bool,
}

impl Load {
    /// Returns true once every job is in memory.
    pub(super) fn is_done(&self) -> bool {
        self.is_done
    }
}

impl Duty {
    /// Handles a page of job rows.
    pub(super) fn apply_page(&mut self, rows: &[platform::Row], last: bool) {
        self.load.pages.extend_from_slice(rows);
        if last {
            self.load.all_pages_read = true;
            self.finish_load();
            return;
        }
        let after = self.load.pages.last().map(|row| row.key.clone());
        self.outputs.push(Output::Load { after });
    }

    /// Restores the size estimates of previous leaders.
    pub(super) fn restore_estimates(&mut self, row: Option<&platform::Row>) {
        if let Some(row) = row {
            match serde_json::from_str::<estimate::Snapshot>(&row.value) {
                Ok(snapshot) => self.estimates.restore(snapshot),
                Err(_) => self.count(Event::RowUnreadable),
            }
        }
        self.load.has_estimates = true;
        self.finish_load();
    }

    /// Recovers all jobs once the rows, the size estimates and the VMs are known.
    pub(super) fn finish_load(&mut self) {
        let ready = self.load.all_pages_read && self.load.has_estimates && !self.vms.is_empty();
        if !ready || self.load.is_done {
            return;
        }
        self.load.is_done = true;
        for row in std::mem::take(&mut self.load.pages) {
            self.recover_job(&row);
        }
        self.rebuild_worker_records();
        self.outputs.push(Output::ReadInbox);
        self.round_due = true;
    }

    /// Rebuilds the failure records of workers from the recent entries of the jobs' histories.
    fn rebuild_worker_records(&mut self) {
        let since_unix_ms = self.now.unix_ms.saturating_sub(RESULT_HISTORY_MS);
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
            self.worker_records.record(self.now.at, &vm, &job, result);
        }
    }

    /// Adds a job to memory from its row and resumes its task.
    fn recover_job(&mut self, stored: &platform::Row) {
        let Some(key) = self.insert(stored) else {
            return;
        };
        let job = &self.jobs[key];
        let Some(placement) = job.row.state.placement().cloned() else {
            return;
        };
        let worker = self.worker_or_placeholder(&placement.worker);
        self.recover_task(key, worker);
        let stopping = matches!(self.jobs[key].row.state, row::State::Stopping(_));
        if stopping && !self.is_rebooted(&placement) {
            self.send_stop(key);
        }
    }

    fn recover_task(&mut self, key: JobKey, worker: placement::WorkerKey) {
        let need = self.predicted_need(key);
        let rank = self.jobs[key].rank(self.now.unix_ms);
        let (task, charge) = self.allocate_task(key, worker, need, rank);
        let mut live = Live::new(task, worker, charge, self.now.at);
        live.own_placement = false;
        live.lease_ms = TASK_LEASE_MS;
        let job = &mut self.jobs[key];
        if matches!(job.row.state, row::State::Placed(_)) {
            live.fence = Fence::Open;
        }
        self.set_live(key, live);
    }

    /// Returns the worker of a VM; if the platform does not list the VM, adds one that has no
    /// capacity and accepts no tasks.
    fn worker_or_placeholder(&mut self, vm: &id::Vm) -> placement::WorkerKey {
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

    /// Adds a job to memory from its row; returns `None` if the job is already known or the row
    /// cannot be parsed.
    fn insert(&mut self, stored: &platform::Row) -> Option<JobKey> {
        let id = spec::job_of_key(&stored.key)?;
        if self.by_id.contains_key(&id) {
            return None;
        }
        let Ok(row) = serde_json::from_str::<row::Row>(&stored.value) else {
            self.count(Event::RowUnreadable);
            return None;
        };
        let class = self.estimates.class(&row.spec.team, &row.spec.class);
        let owner = self.quotas.account_index(&row.spec.team);
        let job = Job {
            id: id.clone(),
            row,
            version: stored.version,
            write_state: WriteState::Settled,
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

    /// Adds a job to the queue if its state is queued.
    pub(super) fn queue_if_queued(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        if job.row.state == row::State::Queued {
            self.queue.insert(key, job);
            self.round_due = true;
        }
    }

    /// Handles the inbox rows: requests the rows of unknown jobs and collects the owners' requests.
    pub(super) fn apply_inbox(&mut self, rows: &[platform::Row]) {
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
            self.collect_requests();
        } else {
            self.outputs.push(Output::ReadJobs(unknown));
        }
    }

    /// Handles the rows of jobs that the inbox named.
    pub(super) fn apply_jobs(&mut self, rows: &[platform::Row], absent: &[id::Job]) {
        for stored in rows {
            self.recover_job(stored);
        }
        for entries in self.inbox.values_mut() {
            entries.retain(|entry| !absent.contains(entry.job()));
        }
        self.collect_requests();
    }

    /// Collects the cancellations and removals from the inbox entries.
    fn collect_requests(&mut self) {
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
            if !self.inbox_done.contains(key)
                && entries.iter().all(|entry| self.is_fulfilled(entry))
            {
                done.push(key.clone());
            }
        }
        self.inbox_done.extend(done);
    }

    fn is_fulfilled(&self, entry: &inbox::Entry) -> bool {
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
