//! A job's row in the platform's table: its state, the reason for it and its history.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::spec;
use crate::id;
use crate::platform;

/// Changes that a history keeps: the first one and the newest.
const HISTORY_MAX: usize = 24;

/// Why a job's state changed; each is a counter.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Reason {
    /// Its owner submitted it.
    Submitted,
    /// A worker has room for it.
    Placed,
    /// The worker had no room after all; the task did not start.
    NoRoom,
    /// The task is proven not to have started.
    NotStarted,
    /// More urgent work takes its place.
    Displaced,
    /// Its team gives back what it borrowed from another's quota.
    GivenBack,
    /// Its worker is vacated for maintenance or a move.
    Vacated,
    /// Its worker runs short of memory.
    MemoryShort,
    /// Its worker is gone, and the task's lease has been waited out.
    WorkerLost,
    /// The worker stopped the task because its lease lapsed.
    LeaseLapsed,
    /// The task ended, and its result was not learnt in time.
    ResultLost,
    /// The task failed.
    TaskFailed,
    /// The task was killed for memory.
    OutOfMemory,
    /// Someone else stopped the task.
    Stopped,
    /// It finished.
    Finished,
    /// Its owner cancelled it.
    Cancelled,
    /// It failed on several good workers of different racks.
    FailsEverywhere,
    /// It is not idempotent, and its task may have run.
    MayHaveRun,
    /// No worker is large enough.
    NoWorkerLargeEnough,
    /// No worker has enough accelerators.
    NoAccelerator,
    /// Its team has no quota for it.
    NoQuota,
    /// What kept it from running has changed.
    MayRunNow,
}

/// A committed start of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The worker.
    pub worker: id::Vm,
    /// The task; a job's next task has another name.
    pub task: id::Task,
    /// The operation under which the worker is asked to start it.
    pub operation: id::Operation,
    /// The epoch of the duty that decided it.
    pub epoch: u64,
    /// The worker's boots when it was decided.
    pub boots: u64,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// Well.
    Finished,
    /// Badly, with the worker's words.
    Failed(String),
    /// Its owner cancelled it.
    Cancelled,
}

/// A job's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Waits for a worker.
    Queued,
    /// A start is committed: its task may run.
    Placed(Placement),
    /// A checkpoint or stop is committed: its task may still run.
    Stopping(Placement),
    /// Can't run as things are.
    Parked {
        /// What would fit, for a job that is too large.
        fits: Option<platform::Resources>,
    },
    /// Over.
    Ended(End),
}

/// The name of a state.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum StateName {
    /// [`State::Queued`].
    Queued,
    /// [`State::Placed`].
    Placed,
    /// [`State::Stopping`].
    Stopping,
    /// [`State::Parked`].
    Parked,
    /// [`State::Ended`].
    Ended,
}

impl State {
    /// The state's name.
    pub fn name(&self) -> StateName {
        match self {
            Self::Queued => StateName::Queued,
            Self::Placed(_) => StateName::Placed,
            Self::Stopping(_) => StateName::Stopping,
            Self::Parked { .. } => StateName::Parked,
            Self::Ended(_) => StateName::Ended,
        }
    }

    /// The task that may run, if any.
    pub fn placement(&self) -> Option<&Placement> {
        match self {
            Self::Placed(placement) | Self::Stopping(placement) => Some(placement),
            Self::Queued | Self::Parked { .. } | Self::Ended(_) => None,
        }
    }
}

/// One change of a job's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Wall-clock time, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// The new state.
    pub state: StateName,
    /// Why.
    pub reason: Reason,
    /// The worker that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<id::Vm>,
}

/// A job's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// What was submitted.
    pub spec: spec::Spec,
    /// The state.
    pub state: State,
    /// Wall-clock time of the submission, in milliseconds since 1970.
    pub submitted_unix_ms: u64,
    /// Tasks that were placed so far.
    pub placements: u32,
    /// Tasks that failed so far.
    pub failures: u32,
    /// Tasks that were displaced so far.
    pub displacements: u32,
    /// The newest checkpoint, by its object's name.
    pub checkpoint: Option<String>,
    /// Changes of state, oldest first.
    pub history: Vec<Change>,
    /// Changes that the history left out, between its first and its second.
    pub history_dropped: u32,
}

/// A change of state that is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a job can't go from {from} to {to}"))]
pub struct TransitionError {
    from: StateName,
    to: StateName,
}

impl Row {
    /// The row of a new submission.
    pub fn new(spec: spec::Spec, now_unix_ms: u64) -> Self {
        let submitted = Change {
            at_unix_ms: now_unix_ms,
            state: StateName::Queued,
            reason: Reason::Submitted,
            worker: None,
        };
        Self {
            spec,
            state: State::Queued,
            submitted_unix_ms: now_unix_ms,
            placements: 0,
            failures: 0,
            displacements: 0,
            checkpoint: None,
            history: vec![submitted],
            history_dropped: 0,
        }
    }

    /// The reason for the present state.
    pub fn reason(&self) -> Reason {
        self.history
            .last()
            .map_or(Reason::Submitted, |change| change.reason)
    }

    /// Changes the state and writes it into the history.
    ///
    /// # Errors
    ///
    /// [`TransitionError`] if the state machine has no such step; the row is unchanged.
    pub fn change(
        &mut self,
        now_unix_ms: u64,
        state: State,
        reason: Reason,
    ) -> Result<(), TransitionError> {
        let from = self.state.name();
        let to = state.name();
        snafu::ensure!(is_step(from, to), TransitionSnafu { from, to });
        let worker = state.placement().or(self.state.placement());
        let change = Change {
            at_unix_ms: now_unix_ms,
            state: to,
            reason,
            worker: worker.map(|placement| placement.worker.clone()),
        };
        self.state = state;
        self.remember(change);
        Ok(())
    }

    fn remember(&mut self, change: Change) {
        if self.history.len() == HISTORY_MAX {
            self.history.remove(1);
            self.history_dropped += 1;
        }
        self.history.push(change);
    }
}

/// The steps of the state machine; an ended job can only be removed.
fn is_step(from: StateName, to: StateName) -> bool {
    match from {
        StateName::Queued => matches!(to, StateName::Placed | StateName::Parked | StateName::Ended),
        StateName::Placed => to != StateName::Placed,
        StateName::Stopping => to != StateName::Placed,
        StateName::Parked => matches!(to, StateName::Queued | StateName::Ended),
        StateName::Ended => false,
    }
}
