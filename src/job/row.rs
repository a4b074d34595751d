//! The stored row of a job: its state, the reason for that state and its history.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::spec;
use crate::id;
use crate::platform;

/// Maximum number of entries in a history: the first one and the newest ones.
const HISTORY_MAX: usize = 24;

/// Reason for a change of a job's state; each reason is counted separately in the metrics.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Reason {
    /// The owner submitted the job.
    Submitted,
    /// A worker with enough free capacity was chosen for the job.
    Placed,
    /// The worker rejected the start for lack of capacity; the task did not start.
    NoRoom,
    /// The task is proven not to have started.
    NotStarted,
    /// The task was displaced by more urgent work.
    Displaced,
    /// The task was stopped because its team uses capacity borrowed from another team's quota, and
    /// that team needs it.
    GivenBack,
    /// The worker is drained for maintenance or a move.
    Vacated,
    /// The worker is short of memory.
    MemoryShort,
    /// The worker is gone or did not answer, and the lease of the task has expired.
    WorkerLost,
    /// The worker stopped the task because its lease expired.
    LeaseLapsed,
    /// The task ended, but its result did not arrive in time.
    ResultLost,
    /// The task failed.
    TaskFailed,
    /// The task was killed because it ran out of memory.
    OutOfMemory,
    /// The task was stopped by something other than the leader.
    Stopped,
    /// The job finished successfully.
    Finished,
    /// The owner cancelled the job.
    Cancelled,
    /// The job failed on several healthy workers in different racks.
    FailsEverywhere,
    /// The job is not idempotent, and its task may have run.
    MayHaveRun,
    /// No worker is large enough for the job.
    NoWorkerLargeEnough,
    /// No worker has enough accelerators for the job.
    NoAccelerator,
    /// The team has no quota for the job.
    NoQuota,
    /// The condition that kept the job from running no longer applies.
    MayRunNow,
}

/// A committed decision to start a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The worker that runs the task.
    pub worker: id::Vm,
    /// Name of the task; each placement of a job gets a new one.
    pub task: id::Task,
    /// Operation under which the worker is asked to start the task.
    pub operation: id::Operation,
    /// Epoch of the duty's lease under which the placement was decided.
    pub epoch: u64,
    /// Boot count of the worker when the placement was decided.
    pub boots: u64,
}

/// Final result of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The job finished successfully.
    Finished,
    /// The job failed; holds the error message of the worker.
    Failed(String),
    /// The owner cancelled the job.
    Cancelled,
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The job waits for a worker.
    Queued,
    /// A start is committed; the task may run.
    Placed(Placement),
    /// A checkpoint or stop is committed; the task may still run.
    Stopping(Placement),
    /// The job is held back: it cannot be placed on the current fleet or with the current quota,
    /// fails on every worker, or may already have run and must not run twice.
    Parked {
        /// Size of the largest worker, for a job that is too large; otherwise `None`.
        fits: Option<platform::Resources>,
    },
    /// The job has ended and only its removal can follow.
    Ended(End),
}

/// Name of a [`State`] without its data.
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
    /// Returns the name of the state.
    pub fn name(&self) -> StateName {
        match self {
            Self::Queued => StateName::Queued,
            Self::Placed(_) => StateName::Placed,
            Self::Stopping(_) => StateName::Stopping,
            Self::Parked { .. } => StateName::Parked,
            Self::Ended(_) => StateName::Ended,
        }
    }

    /// Returns the placement whose task may run, if any.
    pub fn placement(&self) -> Option<&Placement> {
        match self {
            Self::Placed(placement) | Self::Stopping(placement) => Some(placement),
            Self::Queued | Self::Parked { .. } | Self::Ended(_) => None,
        }
    }
}

/// History entry for one change of a job's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Wall-clock time of the change, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// State after the change.
    pub state: StateName,
    /// Reason for the change.
    pub reason: Reason,
    /// Worker of the placement that the change starts or leaves; `None` if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<id::Vm>,
}

/// Stored row of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The submitted specification; it never changes.
    pub spec: spec::Spec,
    /// Current state.
    pub state: State,
    /// Wall-clock time of the submission, in milliseconds since 1970.
    pub submitted_unix_ms: u64,
    /// Number of tasks placed so far.
    pub placements: u32,
    /// Number of tasks that failed so far.
    pub failures: u32,
    /// Number of tasks displaced so far.
    pub displacements: u32,
    /// Object name of the newest checkpoint; `None` before the first one.
    pub checkpoint: Option<String>,
    /// State changes, oldest first.
    pub history: Vec<Change>,
    /// Number of changes dropped from the history, all between its first and its second entry.
    pub history_dropped: u32,
}

/// A state transition that the state machine does not allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a job cannot change from state {from} to {to}"))]
pub struct TransitionError {
    from: StateName,
    to: StateName,
}

impl Row {
    /// Creates the row of a new submission, in state [`State::Queued`].
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

    /// Returns the reason for the current state.
    pub fn reason(&self) -> Reason {
        self.history
            .last()
            .map_or(Reason::Submitted, |change| change.reason)
    }

    /// Changes the state and appends the change to the history.
    ///
    /// # Errors
    ///
    /// Returns [`TransitionError`] if the state machine does not allow the transition; the row is
    /// unchanged.
    pub fn change(
        &mut self,
        now_unix_ms: u64,
        state: State,
        reason: Reason,
    ) -> Result<(), TransitionError> {
        let from = self.state.name();
        let to = state.name();
        snafu::ensure!(is_allowed(from, to), TransitionSnafu { from, to });
        let worker = state.placement().or(self.state.placement());
        let change = Change {
            at_unix_ms: now_unix_ms,
            state: to,
            reason,
            worker: worker.map(|placement| placement.worker.clone()),
        };
        self.state = state;
        self.push_history(change);
        Ok(())
    }

    fn push_history(&mut self, change: Change) {
        if self.history.len() == HISTORY_MAX {
            self.history.remove(1);
            self.history_dropped += 1;
        }
        self.history.push(change);
    }
}

/// Returns true if the state machine allows the transition; an ended job can only be removed.
fn is_allowed(from: StateName, to: StateName) -> bool {
    match from {
        StateName::Queued => matches!(to, StateName::Placed | StateName::Parked | StateName::Ended),
        StateName::Placed => to != StateName::Placed,
        StateName::Stopping => to != StateName::Placed,
        StateName::Parked => matches!(to, StateName::Queued | StateName::Ended),
        StateName::Ended => false,
    }
}
