//! A job in the holder's memory, and the steps that every change of its row goes through.

use super::live::{Live, Reservation};
use super::{Duty, Event, JobKey, placement};
use crate::clock;
use crate::document;
use crate::estimate;
use crate::id;
use crate::job::row;
use crate::placement::{TaskKey, WorkerKey};
use crate::platform;
use crate::quota;

/// Wait from which batch work counts as normal work, in milliseconds.
const AGED_MS: u64 = 10 * clock::MINUTE_MS;
/// Wait from which a job may go before its team's urgent work, in milliseconds.
const PROMOTED_MS: u64 = 20 * clock::MINUTE_MS;
/// Time that a task runs undisturbed after its job was displaced once, in milliseconds; doubled each
/// time.
const UNDISTURBED_MS: u64 = 30 * clock::SECOND_MS;
/// Displacements after which the undisturbed time stays the same.
const UNDISTURBED_DOUBLINGS_MAX: u32 = 4;

/// Whether a job's row is being written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Write {
    /// The table has it as memory has it.
    Settled,
    /// It waits for the next transaction.
    Waiting,
    /// It is in a transaction that has not settled.
    InFlight,
}

/// A job.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) id: id::Job,
    pub(super) row: row::Row,
    pub(super) version: u64,
    pub(super) write: Write,
    pub(super) delete: bool,
    pub(super) class: estimate::ClassKey,
    pub(super) owner: quota::AccountIndex,
    pub(super) live: Option<Live>,
    pub(super) reservation: Option<Reservation>,
}

impl Job {
    /// True if the row may be changed now.
    pub(super) fn is_settled(&self) -> bool {
        self.write == Write::Settled && !self.delete
    }

    /// Batch work 0, normal work 1, urgent work 2.
    pub(super) fn power(&self) -> u8 {
        match self.row.spec.urgency {
            document::Urgency::Urgent => 2,
            document::Urgency::Normal => 1,
            document::Urgency::Batch => 0,
        }
    }

    /// The job's power, but that old batch work counts as normal.
    pub(super) fn rank(&self, now_unix_ms: u64) -> u8 {
        let waited_ms = now_unix_ms.saturating_sub(self.row.submitted_unix_ms);
        self.power().max(u8::from(waited_ms >= AGED_MS))
    }

    /// True if it has waited so long that it may go before its team's urgent work.
    pub(super) fn is_overdue(&self, now_unix_ms: u64) -> bool {
        now_unix_ms.saturating_sub(self.row.submitted_unix_ms) >= PROMOTED_MS
    }

    /// How long its next task runs undisturbed, in milliseconds.
    pub(super) fn undisturbed_ms(&self) -> u64 {
        match self.row.displacements.min(UNDISTURBED_DOUBLINGS_MAX) {
            0 => 0,
            times => UNDISTURBED_MS << (times - 1),
        }
    }
}

impl Duty {
    /// Changes a job's row and has it written.
    pub(super) fn change(&mut self, key: JobKey, state: row::State, reason: row::Reason) {
        let unix_ms = self.now.unix_ms;
        let job = &mut self.jobs[key];
        self.queue.remove(key, job);
        if job.row.change(unix_ms, state, reason).is_err() {
            return;
        }
        job.write = Write::Waiting;
        if job.row.state == row::State::Queued {
            self.queue.insert(key, job);
        }
        let urgent = job.row.spec.urgency == document::Urgency::Urgent;
        self.pipeline.push(key, urgent);
        self.count(Event::Change(reason));
        self.round_due = true;
    }

    /// Takes a task into memory.
    pub(super) fn set_live(&mut self, key: JobKey, live: Live) {
        let job = &mut self.jobs[key];
        let crew = self.crews.entry(job.owner).or_default();
        crew.live += 1;
        crew.urgent += u32::from(job.row.spec.urgency == document::Urgency::Urgent);
        crew.promoted += u32::from(live.promoted);
        if let Some(placement) = job.row.state.placement() {
            self.by_task.insert(placement.task.clone(), key);
        }
        job.live = Some(live);
    }

    /// Ends a job's task in memory and takes its use off the team's account.
    pub(super) fn drop_live(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let Some(live) = job.live.take() else {
            return;
        };
        if let Some(placement) = job.row.state.placement() {
            self.by_task.remove(&placement.task);
        }
        let crew = self.crews.entry(job.owner).or_default();
        crew.live -= 1;
        crew.urgent -= u32::from(job.row.spec.urgency == document::Urgency::Urgent);
        crew.promoted -= u32::from(live.promoted);
        self.ledger.refund(job.owner, &live.charge);
        self.fleet.remove_task(live.task);
        if live.ended_early
            && let Some(link) = self.links.get_mut(&live.worker)
        {
            link.early_ends = link.early_ends.saturating_sub(1);
        }
        self.round_due = true;
    }

    /// Puts a job whose task is over back into the queue.
    pub(super) fn requeue(&mut self, key: JobKey, reason: row::Reason) {
        self.drop_live(key);
        self.change(key, row::State::Queued, reason);
    }

    /// Ends a job.
    pub(super) fn end(&mut self, key: JobKey, end: row::End, reason: row::Reason) {
        self.drop_live(key);
        self.drop_reservation(key);
        self.change(key, row::State::Ended(end), reason);
    }

    /// Parks a job.
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

    /// Settles a task of which it is not known whether it ran or to what end.
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

    /// Frees the room that was kept for a job.
    pub(super) fn drop_reservation(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let Some(reservation) = job.reservation.take() else {
            return;
        };
        self.ledger.refund(job.owner, &reservation.charge);
        self.fleet.remove_task(reservation.task);
        self.reservations.retain(|other| *other != key);
    }

    /// Removes a job from memory, after its row is deleted.
    pub(super) fn forget(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.remove(key) {
            self.by_id.remove(&job.id);
            self.records.remove_job(&job.id);
        }
    }

    /// Asks for all owners' cancellations to be carried out.
    pub(super) fn apply_cancels(&mut self) {
        let keys: Vec<JobKey> = self.cancels.iter().copied().collect();
        for key in keys {
            if self.apply_cancel(key) {
                self.cancels.remove(&key);
            }
        }
    }

    /// Cancels one job; false if it must be tried again once its row has settled.
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
                job.write = Write::Waiting;
                self.pipeline.push(key, false);
            }
        }
    }

    /// Adds a task to the fleet's books and charges it.
    pub(super) fn book_task(
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
        task.protected_until = at.after_ms(job.undisturbed_ms());
        let charge = charge_of(&placement::Load::from(&need));
        self.ledger.charge(job.owner, &charge);
        (self.fleet.add_task(task), charge)
    }
}

/// What a load is charged with.
pub(super) fn charge_of(load: &placement::Load) -> quota::Charge {
    quota::Charge {
        cpu_milli: load.cpu_milli,
        memory_mib: load.memory_mib,
        accelerators: f64::from(load.accelerators),
    }
}
