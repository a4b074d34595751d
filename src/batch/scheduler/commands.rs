//! Outcomes of commands: which runs exist, which certainly do not, and which are uncertain.

use serde::{Deserialize, Serialize};

use crate::batch::TaskId;
use crate::batch::connections::{Connection, Exchange};
use crate::batch::scheduler::job;
use crate::batch::scheduler::release::Release;
use crate::batch::scheduler::worker_loss::IncarnationEnd;
use crate::batch::scheduler::{Output, Scheduler};
use crate::clock;
use crate::id;

/// Number of starts that each epoch can number; a new leader numbers its starts above those of its predecessors.
const RUNS_PER_EPOCH: u32 = 64;
/// A worker that did not answer a command gets no new tasks for this long, in milliseconds.
const NO_ANSWER_PAUSE_MS: u64 = 300;
/// A worker that reports itself as unwell gets no new tasks for this long, in milliseconds.
const UNWELL_PAUSE_MS: u64 = 500;
/// Pause before a start that was refused as malformed is retried, in milliseconds.
const MALFORMED_PAUSE_MS: u64 = 1_000;

/// Returns the number after which an epoch numbers its starts.
pub(super) fn run_base(epoch: u64) -> u32 {
    u32::try_from(epoch.saturating_sub(1))
        .unwrap_or(u32::MAX)
        .saturating_mul(RUNS_PER_EPOCH)
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The worker has received a command of a newer epoch.
    Fenced,
    /// A run of the task with this or a higher number was stopped or has ended on the worker.
    Superseded,
    /// The lease granted with the start had already expired.
    Late,
    /// The worker lacks free capacity.
    NoRoom,
    /// The ticket is missing or invalid.
    Ticket,
    /// The worker is overloaded or unavailable; it did nothing.
    Unwell,
    /// The worker could not parse the command.
    Malformed,
    /// Another incarnation of the worker answers at the address.
    OtherLife,
}

/// Outcome of a start command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker has the run.
    Started,
    /// The worker refused the start. `sends` counts the attempts; only the last one is known to be refused.
    Refused {
        /// Why the last attempt was refused.
        reason: Refusal,
        /// Total number of attempts.
        sends: u32,
    },
    /// No attempt was answered: the run can exist, or can still start.
    NoAnswer,
    /// No attempt left this node.
    NotSent,
}

impl Scheduler {
    /// Returns whether a start is still to be sent: its run wasn't taken for ended, or stopped, while it waited.
    pub fn is_start_due(&self, worker: &id::Worker, id: &TaskId, run: u32) -> bool {
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        let active = task.and_then(|task| task.active.as_ref());
        active.is_some_and(|active| {
            active.worker == *worker && active.run == run && active.stop_reason.is_none()
        })
    }

    /// Returns the connection for commands to a worker.
    pub fn command_connection(&self, id: &id::Worker) -> Connection {
        let worker = self.workers.get(id);
        worker.map_or_else(Connection::default, |worker| {
            worker.connections.for_commands()
        })
    }

    /// Records what became of a command or a poll on its connection to a worker.
    pub fn connection_used(
        &mut self,
        id: &id::Worker,
        connection: Connection,
        exchange: Exchange,
        now: clock::Instant,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.connections.record(connection, exchange, now) {
            return;
        }
        let line = match worker.connections.for_commands() {
            Connection::Commands => "takes further connections",
            Connection::Polls => "takes no further connection",
        };
        self.log(format!("worker {line} worker={id}"));
    }

    /// Handles the clock in a worker's response to a command that was sent at `sent_at`, in milliseconds.
    pub fn clock_answered(
        &mut self,
        id: &id::Worker,
        clock_ms: u64,
        sent_at: clock::Instant,
        now: clock::Instant,
    ) {
        let lease_max_ms = self.settings.lease_max_ms;
        let has_restarted = self
            .workers
            .get_mut(id)
            .is_some_and(|worker| worker.on_clock(clock_ms, lease_max_ms, sent_at, now));
        if has_restarted {
            self.log(format!(
                "worker's clock went back worker={id} clock_ms={clock_ms}"
            ));
            self.record_restart(id, now);
        }
    }

    /// Handles the outcome of a start command.
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
                self.incarnation_ended(worker, IncarnationEnd::OtherLife, now);
                return;
            }
            _ => {}
        }
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(&id)) else {
            return;
        };
        let Some(active) = task
            .active
            .as_mut()
            .filter(|active| active.worker == *worker && active.run == run)
        else {
            return;
        };
        match outcome {
            StartOutcome::Started => {
                active.confirmed_at.get_or_insert(now);
                active.percent_at = now;
                task.has_begun = true;
                if let Some(state) = self.workers.get_mut(worker) {
                    state.on_start_confirmed(now);
                }
                return;
            }
            StartOutcome::Refused {
                reason: Refusal::Superseded | Refusal::Late,
                sends,
            } if sends > 1 => {
                // An earlier attempt may have started the run; the next poll shows whether it did.
                active.confirmed_at.get_or_insert(now);
                return;
            }
            StartOutcome::Refused { sends: 1, .. } | StartOutcome::NotSent => {}
            StartOutcome::Refused { .. } | StartOutcome::NoAnswer => {
                if let Some(state) = self.workers.get_mut(worker) {
                    state.paused_until = now.after_ms(NO_ANSWER_PAUSE_MS);
                }
                self.stop_uncertain(id, now);
                return;
            }
        }
        self.start_refused(worker, id, outcome, now);
    }

    /// Stops a run that may have started, so that the task can be started elsewhere once the worker has confirmed the
    /// stop.
    fn stop_uncertain(&mut self, id: TaskId, now: clock::Instant) {
        let gang = self
            .jobs
            .get(&id.job)
            .is_some_and(|job| job.accepted.spec.steps[id.step as usize].gang);
        self.stop_task(id, job::StopReason::Unsure, now);
        if gang {
            self.break_gang(id, now);
        }
    }

    fn start_refused(
        &mut self,
        worker: &id::Worker,
        id: TaskId,
        outcome: StartOutcome,
        now: clock::Instant,
    ) {
        self.log(format!(
            "start refused task={id} worker={worker} outcome={outcome:?}"
        ));
        let mut pause_ms = 0;
        if let Some(state) = self.workers.get_mut(worker) {
            match outcome {
                StartOutcome::Refused {
                    reason: Refusal::NoRoom,
                    ..
                } => state.on_refusal(now),
                StartOutcome::Refused {
                    reason: Refusal::Unwell,
                    ..
                } => state.paused_until = now.after_ms(UNWELL_PAUSE_MS),
                StartOutcome::NotSent => state.paused_until = now.after_ms(NO_ANSWER_PAUSE_MS),
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
            self.remove_ticket(&id, worker);
        }
        self.release_task(id, Release::NotStarted, now);
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

    /// Records that a worker acknowledged a stop: the run ends, or is never started.
    pub fn stop_answered(
        &mut self,
        worker: &id::Worker,
        id: TaskId,
        run: u32,
        now: clock::Instant,
    ) {
        let active = self
            .jobs
            .get_mut(&id.job)
            .and_then(|job| job.task_mut(&id))
            .and_then(|task| task.active.as_mut());
        if let Some(active) = active.filter(|active| active.worker == *worker && active.run == run)
        {
            active.stop_acked_at.get_or_insert(now);
        }
        let state = self.workers.get_mut(worker);
        if let Some(stop) = state.and_then(|state| state.unexpected.get_mut(&(id, run))) {
            *stop = None;
        }
    }
}
