//! Answers to orders: which runs exist, which surely don't, and which may.

use crate::batch::TaskId;
use crate::batch::scheduler::job;
use crate::batch::scheduler::{Holder, Output};
use crate::clock;
use crate::id;

/// Numbers of starts that each epoch has for itself; a successor numbers above its predecessors.
const RUNS_A_EPOCH: u32 = 64;
/// A worker that didn't answer an order gets no new task for this long, in milliseconds.
const NO_ANSWER_PAUSE_MS: u64 = 300;
/// A worker that says it is unwell gets no new task for this long, in milliseconds.
const UNWELL_PAUSE_MS: u64 = 500;
/// Pause before a start that was refused as malformed is tried again, in milliseconds.
const MALFORMED_PAUSE_MS: u64 = 1_000;

/// The first number of starts that an epoch uses, less one.
pub(super) fn run_base(epoch: u64) -> u32 {
    u32::try_from(epoch.saturating_sub(1))
        .unwrap_or(u32::MAX)
        .saturating_mul(RUNS_A_EPOCH)
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has met a newer epoch.
    Fenced,
    /// A run of this or a higher number was stopped or has ended there.
    Superseded,
    /// The lease was already over.
    Late,
    /// It has no room.
    NoRoom,
    /// The ticket is missing or not valid.
    Ticket,
    /// It is unwell; it did nothing.
    Unwell,
    /// It could not read the order.
    Malformed,
    /// Another life of the worker answers there.
    OtherLife,
}

/// What came of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is there.
    Started,
    /// It was refused; `sends` counts how often it was sent, and only the last had this answer.
    Refused {
        /// Why.
        reason: Refusal,
        /// Sends in all.
        sends: u32,
    },
    /// No send was answered: the run may be there, or may yet come.
    NoAnswer,
    /// No send left this node.
    NotSent,
}

impl Holder {
    /// Takes in what came of a start.
    pub fn start_answered(
        &mut self,
        worker: &id::Worker,
        id: TaskId,
        run: u32,
        outcome: StartOutcome,
        now: clock::Instant,
    ) {
        match outcome {
            StartOutcome::Refused {
                reason: Refusal::Fenced,
                ..
            } => self.outputs.push(Output::Superseded),
            StartOutcome::Refused {
                reason: Refusal::OtherLife,
                ..
            } => {
                self.life_ended(worker, "other-life");
                return;
            }
            _ => {}
        }
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(&id)) else {
            return;
        };
        let Some(live) = task
            .live
            .as_mut()
            .filter(|live| live.worker == *worker && live.run == run)
        else {
            return;
        };
        match outcome {
            StartOutcome::Started => {
                live.known_at.get_or_insert(now);
                live.percent_at = now;
                return;
            }
            StartOutcome::Refused {
                reason: Refusal::Superseded | Refusal::Late,
                sends,
            } if sends > 1 => {
                // An earlier send may have run; the next look tells.
                live.known_at.get_or_insert(now);
                return;
            }
            StartOutcome::Refused { sends: 1, .. } | StartOutcome::NotSent => {}
            StartOutcome::Refused { .. } | StartOutcome::NoAnswer => {
                if let Some(book) = self.workers.get_mut(worker) {
                    book.paused_until = now.after_ms(NO_ANSWER_PAUSE_MS);
                }
                self.unsure(id, now);
                return;
            }
        }
        self.refused(worker, id, outcome, now);
    }

    /// Stops a run that may or may not have started, so that the task can be started elsewhere.
    fn unsure(&mut self, id: TaskId, now: clock::Instant) {
        let gang = self
            .jobs
            .get(&id.job)
            .is_some_and(|job| job.accepted.spec.steps[id.step as usize].gang);
        self.stop(id, job::StopReason::Unsure, now);
        if gang {
            self.break_gang(id, now);
        }
    }

    fn refused(
        &mut self,
        worker: &id::Worker,
        id: TaskId,
        outcome: StartOutcome,
        now: clock::Instant,
    ) {
        self.line(format!(
            "start refused task={id} worker={worker} outcome={outcome:?}"
        ));
        let mut pause_ms = 0;
        if let Some(book) = self.workers.get_mut(worker) {
            match outcome {
                StartOutcome::Refused {
                    reason: Refusal::NoRoom,
                    ..
                } => book.refused(now),
                StartOutcome::Refused {
                    reason: Refusal::Unwell,
                    ..
                } => book.paused_until = now.after_ms(UNWELL_PAUSE_MS),
                StartOutcome::NotSent => book.paused_until = now.after_ms(NO_ANSWER_PAUSE_MS),
                StartOutcome::Refused {
                    reason: Refusal::Malformed,
                    ..
                } => pause_ms = MALFORMED_PAUSE_MS,
                _ => {}
            }
        }
        if let StartOutcome::Refused {
            reason: Refusal::Ticket,
            ..
        } = outcome
        {
            self.drop_ticket(&id, worker);
        }
        self.release(id);
        if let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(&id)) {
            task.not_before = now.after_ms(pause_ms);
        }
        let gang = self
            .jobs
            .get(&id.job)
            .is_some_and(|job| job.accepted.spec.steps[id.step as usize].gang);
        if gang {
            self.break_gang(id, now);
        }
    }

    /// Takes in that a worker acknowledged a stop: the run ends, or never comes.
    pub fn stop_answered(
        &mut self,
        worker: &id::Worker,
        id: TaskId,
        run: u32,
        now: clock::Instant,
    ) {
        let live = self
            .jobs
            .get_mut(&id.job)
            .and_then(|job| job.task_mut(&id))
            .and_then(|task| task.live.as_mut());
        if let Some(live) = live.filter(|live| live.worker == *worker && live.run == run) {
            live.stopped_at.get_or_insert(now);
        }
    }
}
