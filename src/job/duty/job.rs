//! A job in the memory of the leader, and the changes of its row.

use super::task::{Live, Reservation};
use super::{Duty, Event, JobKey, placement};
use crate::clock;
use crate::document;
use crate::estimate;
use crate::id;
use crate::job::row;
use crate::placement::{TaskKey, WorkerKey};
use crate::platform;
use crate::quota;

/// Waiting time from which batch work is ranked as normal work, in milliseconds.
const AGING_WAIT_MS: u64 = 10 * clock::MINUTE_MS;
/// Waiting time from which a job can go before its team's urgent work, in milliseconds.
const PROMOTION_WAIT_MS: u64 = 20 * clock::MINUTE_MS;
/// Time for which a task cannot be displaced after one displacement of its job, in milliseconds;
/// doubles with each further displacement.
const PROTECTION_MS: u64 = 30 * clock::SECOND_MS;
/// Number of displacements after which the protection no longer grows.
const PROTECTION_DOUBLINGS_MAX: u32 = 4;

/// Progress of writing a changed row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteState {
    /// The table and memory hold the same row.
    Settled,
    /// The row waits for the next transaction.
    Waiting,
    /// The row is part of a transaction whose outcome is unknown.
    InFlight,
}

/// A job and its task, if one may run.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) id: id::Job,
    pub(super) row: row::Row,
    pub(super) version: u64,
    pub(super) write_state: WriteState,
    pub(super) delete: bool,
    pub(super) class: estimate::ClassKey,
    pub(super) owner: quota::AccountIndex,
    pub(super) live: Option<Live>,
    pub(super) reservation: Option<Reservation>,
}

impl Job {
    /// Returns true if no write of the row is pending, so that it can be changed.
    pub(super) fn is_settled(&self) -> bool {
        self.write_state == WriteState::Settled && !self.delete
    }

    /// Returns the rank by urgency: 0 for batch work, 1 for normal work, 2 for urgent work.
    pub(super) fn base_rank(&self) -> u8 {
        match self.row.spec.urgency {
            document::Urgency::Urgent => 2,
            document::Urgency::Normal => 1,
            document::Urgency::Batch => 0,
        }
    }

    /// Returns the rank for scheduling: the base rank, except that batch work past
    /// [`AGING_WAIT_MS`] is ranked as normal work.
    pub(super) fn rank(&self, now_unix_ms: u64) -> u8 {
        let waited_ms = now_unix_ms.saturating_sub(self.row.submitted_unix_ms);
        self.base_rank().max(u8::from(waited_ms >= AGING_WAIT_MS))
    }

    /// Returns true if the job has waited long enough to go before its team's urgent work.
    pub(super) fn is_due_for_promotion(&self, now_unix_ms: u64) -> bool {
        now_unix_ms.saturating_sub(self.row.submitted_unix_ms) >= PROMOTION_WAIT_MS
    }

    /// Returns the time for which the job's next task cannot be displaced, in milliseconds.
    pub(super) fn protection_ms(&self) -> u64 {
        match self.row.displacements.min(PROTECTION_DOUBLINGS_MAX) {
            0 => 0,
            displacements => PROTECTION_MS << (displacements - 1),
        }
    }
}

impl Duty {
    /// Changes the state of a job and queues its row for writing.
    pub(super) fn change(&mut self, key: JobKey, state: row::State, reason: row::Reason) {
        let unix_ms = self.now.unix_ms;
        let job = &mut self.jobs[key];
        self.queue.remove(key, job);
        if job.row.change(unix_ms, state, reason).is_err() {
            return;
        }
        job.write_state = WriteState::Waiting;
        if job.row.state == row::State::Queued {
            self.queue.insert(key, job);
        }
        let urgent = job.row.spec.urgency == document::Urgency::Urgent;
        self.pipeline.push(key, urgent);
        self.count(Event::Change(reason));
        self.round_due = true;
    }

    /// Attaches a task to a job and counts it for the team.
    pub(super) fn set_live(&mut self, key: JobKey, live: Live) {
        let job = &mut self.jobs[key];
        let counts = self.team_tasks.entry(job.owner).or_default();
        counts.live += 1;
        counts.urgent += u32::from(job.row.spec.urgency == document::Urgency::Urgent);
        counts.promoted += u32::from(live.promoted);
        if let Some(placement) = job.row.state.placement() {
            self.by_task.insert(placement.task.clone(), key);
        }
        job.live = Some(live);
    }

    /// Detaches the task of a job, refunds its charge to the team and frees its capacity.
    pub(super) fn drop_live(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let Some(live) = job.live.take() else {
            return;
        };
        if let Some(placement) = job.row.state.placement() {
            self.by_task.remove(&placement.task);
        }
        let counts = self.team_tasks.entry(job.owner).or_default();
        counts.live -= 1;
        counts.urgent -= u32::from(job.row.spec.urgency == document::Urgency::Urgent);
        counts.promoted -= u32::from(live.promoted);
        self.quotas.refund(job.owner, &live.charge);
        self.fleet.remove_task(live.task);
        if live.ended_early
            && let Some(status) = self.worker_status.get_mut(&live.worker)
        {
            status.early_ends = status.early_ends.saturating_sub(1);
        }
        self.round_due = true;
    }

    /// Returns a job whose task is over to the queue.
    pub(super) fn requeue(&mut self, key: JobKey, reason: row::Reason) {
        self.drop_live(key);
        self.change(key, row::State::Queued, reason);
    }

    /// Ends a job and frees its capacity.
    pub(super) fn end(&mut self, key: JobKey, end: row::End, reason: row::Reason) {
        self.drop_live(key);
        self.drop_reservation(key);
        self.change(key, row::State::Ended(end), reason);
    }

    /// Parks a job and frees its capacity; `fits` is the size of the largest worker for a job that
    /// is too large.
    pub(super) fn park(
        &mut self,
        key: JobKey,
        reason: row::Reason,
        fits: Option<platform::Resources>,
    ) {
        self.drop_live(key);
        self.drop_reservation(key);
        self.change(key, row::State::Parked { fits }, reason);
    }

    /// Settles a task whose execution or result is unknown.
    pub(super) fn settle_lost(&mut self, key: JobKey, reason: row::Reason) {
        let job = &self.jobs[key];
        if self.cancels.contains(&key) || job.row.reason() == row::Reason::Cancelled {
            self.end(key, row::End::Cancelled, row::Reason::MayHaveRun);
        } else if job.row.spec.idempotent {
            self.requeue(key, reason);
        } else {
            self.park(key, row::Reason::MayHaveRun, None);
        }
    }

    /// Frees the capacity reserved for a job.
    pub(super) fn drop_reservation(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let Some(reservation) = job.reservation.take() else {
            return;
        };
        self.quotas.refund(job.owner, &reservation.charge);
        self.fleet.remove_task(reservation.task);
        self.reservations.retain(|other| *other != key);
    }

    /// Removes a job from memory after its row was deleted.
    pub(super) fn remove_job(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.remove(key) {
            self.by_id.remove(&job.id);
            self.worker_records.remove_job(&job.id);
        }
    }

    /// Applies the pending cancellations.
    pub(super) fn apply_cancels(&mut self) {
        let keys: Vec<JobKey> = self.cancels.iter().copied().collect();
        for key in keys {
            if self.apply_cancel(key) {
                self.cancels.remove(&key);
            }
        }
    }

    /// Cancels a job; returns false if it must be retried, because its row is being written or its
    /// start is unanswered.
    fn apply_cancel(&mut self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(key) else {
            return true;
        };
        let at = self.now.at;
        let starting = job.live.as_ref().is_some_and(|live| live.is_starting(at));
        if !job.is_settled() || starting {
            return false;
        }
        match &job.row.state {
            row::State::Queued | row::State::Parked { .. } => {
                self.end(key, row::End::Cancelled, row::Reason::Cancelled);
            }
            row::State::Placed(_) if job.live.as_ref().is_some_and(Live::is_unsent) => {
                self.end(key, row::End::Cancelled, row::Reason::Cancelled);
            }
            row::State::Placed(placement) => {
                let placement = placement.clone();
                self.change(key, row::State::Stopping(placement), row::Reason::Cancelled);
            }
            row::State::Stopping(placement) => {
                if job.row.reason() != row::Reason::Cancelled {
                    let placement = placement.clone();
                    self.change(key, row::State::Stopping(placement), row::Reason::Cancelled);
                }
            }
            row::State::Ended(_) => {}
        }
        true
    }

    /// Deletes the rows of ended jobs that their owners removed.
    pub(super) fn apply_removals(&mut self) {
        let keys: Vec<JobKey> = self.removals.iter().copied().collect();
        for key in keys {
            let Some(job) = self.jobs.get_mut(key) else {
                self.removals.remove(&key);
                continue;
            };
            if !job.is_settled() {
                continue;
            }
            self.removals.remove(&key);
            if matches!(job.row.state, row::State::Ended(_)) {
                job.delete = true;
                job.write_state = WriteState::Waiting;
                self.pipeline.push(key, false);
            }
        }
    }

    /// Adds a task to the fleet and charges its team.
    pub(super) fn allocate_task(
        &mut self,
        key: JobKey,
        worker: WorkerKey,
        need: estimate::Need,
        rank: u8,
    ) -> (TaskKey, quota::Charge) {
        let job = &self.jobs[key];
        let at = self.now.at;
        let mut task = placement::Task::new(job.id.clone(), worker, job.class, need, job.owner, at);
        task.rank = rank;
        task.displaceable = job.row.spec.is_displaceable();
        task.displacements = job.row.displacements;
        task.protected_until = at.after_ms(job.protection_ms());
        let charge = charge_of(&placement::Load::from(&need));
        self.quotas.charge(job.owner, &charge);
        (self.fleet.add_task(task), charge)
    }
}

/// Returns the quota charge for a load.
pub(super) fn charge_of(load: &placement::Load) -> quota::Charge {
    quota::Charge {
        cpu_milli: load.cpu_milli,
        memory_mib: load.memory_mib,
        accelerators: f64::from(load.accelerators),
    }
}
