//! Inputs and outputs of the jobs duty.

use derive_more::Display;

use crate::clock;
use crate::document;
use crate::estimate;
use crate::id;
use crate::job::row;
use crate::job::submission;
use crate::platform;

/// Key of the row that stores the size estimates for the next leader.
pub const ESTIMATES_KEY: &str = "job-estimates";

/// Time of an input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time; all timeouts are based on it.
    pub at: clock::Instant,
    /// Wall-clock time, in milliseconds since 1970; written into job histories.
    pub unix_ms: u64,
}

/// Identifies a transaction of the duty.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// Input of the duty.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A page of job rows, in answer to [`Output::Load`].
    Loaded {
        /// Rows of the page.
        rows: &'a [platform::Row],
        /// True for the last page.
        last: bool,
    },
    /// The row of size estimates, in answer to [`Output::ReadEstimates`]; `None` if there is none.
    Estimates(Option<&'a platform::Row>),
    /// All inbox rows, in answer to [`Output::ReadInbox`].
    Inbox(&'a [platform::Row]),
    /// Job rows, in answer to [`Output::ReadJobs`].
    Read {
        /// Rows that exist.
        rows: &'a [platform::Row],
        /// Jobs that have no row.
        absent: &'a [id::Job],
    },
    /// The settled outcome of a transaction.
    Settled {
        /// The transaction.
        token: Token,
        /// Its outcome; anything but a commit ends this instance.
        outcome: &'a platform::Outcome,
    },
    /// The platform's list of VMs.
    Vms(&'a platform::VmList),
    /// The resource usage of all workers.
    Usage(&'a platform::UsageList),
    /// All documents in force.
    Documents(&'a [document::Document]),
    /// A worker's reply to a call.
    Replied(&'a Reply),
    /// Drain a VM: remove its jobs and place no new ones on it.
    Drain(&'a id::Vm),
    /// End the drain of a VM, so that jobs can be placed on it again.
    EndDrain(&'a id::Vm),
    /// An entry node reports a new row in the inbox.
    InboxChanged,
    /// Time has passed; sent every [`super::TICK_MS`].
    Tick,
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The worker to call.
    pub vm: id::Vm,
    /// The requested action.
    pub action: Action,
}

/// Action requested from a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a task.
    Start(platform::StartTask),
    /// Renew the leases of tasks.
    Renew(platform::RenewTasks),
    /// Write a checkpoint of the task and stop it.
    Checkpoint {
        /// Task to checkpoint.
        task: id::Task,
        /// Intent of the committed decision.
        intent: platform::Intent,
    },
    /// Limit the processor time of the task.
    Throttle {
        /// Task to throttle.
        task: id::Task,
        /// Intent of the request.
        intent: platform::Intent,
    },
    /// Stop the task.
    Stop {
        /// Task to stop.
        task: id::Task,
        /// Intent of the committed decision.
        intent: platform::Intent,
    },
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The action is done: the task was started, checkpointed and stopped, throttled or stopped.
    Done,
    /// The worker has not enough free capacity.
    NoRoom,
    /// The leases are renewed, except those of the given tasks.
    Renewed {
        /// Tasks that the worker does not run.
        unknown: Vec<id::Task>,
    },
    /// The worker does not know the task, or the platform does not know the worker.
    NotFound,
    /// The worker has already received a newer epoch.
    OlderEpoch,
    /// No reply arrived; the action may have been done.
    Lost,
}

/// A worker's reply to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The call that is answered.
    pub call: Call,
    /// Result of the call.
    pub result: CallResult,
}

/// Action requested by the duty.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read the page of job rows whose keys follow the given one.
    Load {
        /// Last key read so far; `None` requests the first page.
        after: Option<id::Key>,
    },
    /// Read the row [`ESTIMATES_KEY`].
    ReadEstimates,
    /// Read all inbox rows.
    ReadInbox,
    /// Read the rows of these jobs.
    ReadJobs(Vec<id::Job>),
    /// Send the transaction with a check of the lease and report its settled outcome.
    Commit {
        /// Identifies the transaction in [`Input::Settled`].
        token: Token,
        /// Transaction to send.
        txn: platform::Txn,
    },
    /// Call a worker if the lease is still held, and report the reply.
    Call(Call),
    /// The VM is drained: none of its tasks runs any more.
    Drained(id::Vm),
    /// Drop this instance: the rows may differ from its state in memory, or a leader with a newer
    /// epoch exists. A new instance needs a greater epoch.
    StepDown,
    /// Count an event.
    Count(Event),
}

/// Event that is counted in the metrics.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Event {
    /// A job changed its state for this reason.
    #[display("{_0}")]
    Change(row::Reason),
    /// A start was sent again because its reply was lost.
    #[display("start-retry")]
    StartRetry,
    /// No reply to a call to a worker arrived.
    #[display("call-lost")]
    CallLost,
    /// A task was throttled.
    #[display("throttled")]
    Throttled,
    /// A worker was quarantined.
    #[display("quarantined")]
    Quarantined,
    /// A worker was released from quarantine.
    #[display("released")]
    Released,
    /// A worker stopped responding; its tasks are lost once their leases expire.
    #[display("worker-silent")]
    WorkerSilent,
    /// A running task that belongs to no job was stopped.
    #[display("orphan-stopped")]
    OrphanStopped,
    /// A row could not be parsed.
    #[display("row-unreadable")]
    RowUnreadable,
    /// Capacity reserved for a job did not become free in time.
    #[display("reservation-lapsed")]
    ReservationLapsed,
}

/// Returns the write of the size estimates.
pub(super) fn estimates_write(snapshot: &estimate::Snapshot) -> platform::Write {
    platform::Write {
        key: id::Key::from(ESTIMATES_KEY),
        value: Some(submission::to_json(snapshot)),
    }
}

/// Returns the write of the published backlog.
pub(super) fn backlog_write(backlog: &submission::Backlog) -> platform::Write {
    platform::Write {
        key: id::Key::from(submission::BACKLOG_KEY),
        value: Some(submission::to_json(backlog)),
    }
}
