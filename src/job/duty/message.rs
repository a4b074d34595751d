//! Messages of the jobs duty: what its shell tells it and what it asks for.

use derive_more::Display;

use crate::clock;
use crate::document;
use crate::estimate;
use crate::id;
use crate::job::intake;
use crate::job::row;
use crate::platform;

/// Key of the row in which a holder keeps learned sizes for its successors.
pub const ESTIMATES_KEY: &str = "job-estimates";

/// The time of an input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// On the monotonic clock; decides all waiting.
    pub at: clock::Instant,
    /// On the wall clock, in milliseconds since 1970; written into histories.
    pub unix_ms: u64,
}

/// Names a transaction of the duty.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// What the duty learns.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A page of job rows, in answer to [`Output::Load`].
    Loaded {
        /// The rows.
        rows: &'a [platform::Row],
        /// True if there are no more.
        last: bool,
    },
    /// The row of learned sizes, in answer to [`Output::ReadEstimates`]; `None` if there is none.
    Estimates(Option<&'a platform::Row>),
    /// All inbox rows, in answer to [`Output::ReadInbox`].
    Inbox(&'a [platform::Row]),
    /// Job rows, in answer to [`Output::ReadJobs`].
    Read {
        /// The rows that exist.
        rows: &'a [platform::Row],
        /// The jobs that have no row.
        absent: &'a [id::Job],
    },
    /// The settled outcome of a transaction.
    Settled {
        /// The transaction.
        token: Token,
        /// Its outcome; any but a commit ends this instance.
        outcome: &'a platform::Outcome,
    },
    /// The list of VMs.
    Vms(&'a platform::VmList),
    /// The use of all workers.
    Usage(&'a platform::UsageList),
    /// All documents in force.
    Documents(&'a [document::Document]),
    /// A worker's answer to a call.
    Replied(&'a Reply),
    /// Take all jobs off a VM and keep it free of them.
    Vacate(&'a id::Vm),
    /// The VM may take jobs again.
    Release(&'a id::Vm),
    /// An entry node says that the inbox has a new row.
    Nudge,
    /// Time has passed; due every [`super::TICK_MS`].
    Tick,
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The worker.
    pub vm: id::Vm,
    /// What is asked.
    pub action: Action,
}

/// What a worker is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a task.
    Start(platform::StartTask),
    /// Renew leases.
    Renew(platform::RenewTasks),
    /// Write a checkpoint and stop.
    Checkpoint {
        /// The task.
        task: id::Task,
        /// The decision.
        intent: platform::Intent,
    },
    /// Run with less processor time.
    Throttle {
        /// The task.
        task: id::Task,
        /// The decision.
        intent: platform::Intent,
    },
    /// Stop.
    Stop {
        /// The task.
        task: id::Task,
        /// The decision.
        intent: platform::Intent,
    },
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// Done: started, checkpointed and stopped, throttled or stopped.
    Done,
    /// The worker has no room.
    NoRoom,
    /// Leases are renewed, but for these tasks, which the worker does not run.
    Renewed {
        /// The tasks.
        unknown: Vec<id::Task>,
    },
    /// The worker does not know the task, or the platform not the worker.
    NotFound,
    /// The worker has heard a newer epoch.
    OlderEpoch,
    /// No answer came; it may have been done.
    Lost,
}

/// A worker's answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The call.
    pub call: Call,
    /// Its result.
    pub result: CallResult,
}

/// What the duty asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read a page of job rows, by key, after the given one.
    Load {
        /// The last key that is known.
        after: Option<id::Key>,
    },
    /// Read the row [`ESTIMATES_KEY`].
    ReadEstimates,
    /// Read all inbox rows.
    ReadInbox,
    /// Read these jobs' rows.
    ReadJobs(Vec<id::Job>),
    /// Send the transaction, with the lease's check, and report its settled outcome.
    Commit {
        /// Names it.
        token: Token,
        /// The transaction.
        txn: platform::Txn,
    },
    /// Call a worker, if the lease still holds, and report the reply.
    Call(Call),
    /// No job of the system is left on the VM.
    Vacated(id::Vm),
    /// The rows may differ from what this instance holds them for, or another holder has a newer epoch:
    /// drop this instance; a new one needs a greater epoch.
    StepDown,
    /// Count an event.
    Count(Event),
}

/// Events that are counted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Event {
    /// A job changed state for this reason.
    #[display("{_0}")]
    Change(row::Reason),
    /// A start was sent again because its reply was lost.
    #[display("start-retry")]
    StartRetry,
    /// A stop, checkpoint or renewal was lost.
    #[display("call-lost")]
    CallLost,
    /// A task was throttled.
    #[display("throttled")]
    Throttled,
    /// A worker was quarantined.
    #[display("quarantined")]
    Quarantined,
    /// A worker was cleared.
    #[display("released")]
    Released,
    /// A worker went silent, and its tasks' leases are waited out.
    #[display("worker-silent")]
    WorkerSilent,
    /// A task runs that no job knows.
    #[display("orphan-stopped")]
    OrphanStopped,
    /// A row could not be read.
    #[display("row-unreadable")]
    RowUnreadable,
    /// Room for urgent work did not come free in time.
    #[display("reservation-lapsed")]
    ReservationLapsed,
}

/// The write of learned sizes.
pub(super) fn estimates_write(snapshot: &estimate::Snapshot) -> platform::Write {
    platform::Write {
        key: id::Key::from(ESTIMATES_KEY),
        value: Some(intake::to_json(snapshot)),
    }
}

/// A published backlog's row.
pub(super) fn backlog_write(backlog: &intake::Backlog) -> platform::Write {
    platform::Write {
        key: id::Key::from(intake::BACKLOG_KEY),
        value: Some(intake::to_json(backlog)),
    }
}
