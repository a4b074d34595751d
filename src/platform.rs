//! The platform's edge: messages to and from its table, object store, VMs and workers.
//!
//! These types are also the JSON bodies of the platform's HTTP interface:
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /table/transact` | [`Txn`] | 200 [`Committed`]; 409 [`Refused`] |
//! | `GET /table/row?key=K` | | 200 [`Row`]; 404 |
//! | `GET /table/range?prefix=P&after=K&limit=N` | | 200 `[Row]`, by key, keys after `K` only |
//! | `PUT`/`GET`/`DELETE /objects/NAME` | bytes | 200; 404 |
//! | `GET /vms` | | 200 [`VmList`] |
//! | `POST /vms/ID/drain`, `/vms/ID/resume`, `/vms/ID/reboot` | [`Intent`] | 200; 409 (older epoch); 404 |
//! | `GET /workers/usage` | | 200 [`UsageList`] |
//! | `POST /workers/ID/tasks` | [`StartTask`] | 200 [`StartAnswer`]; 409 (older epoch) |
//! | `POST /workers/ID/renew` | [`RenewTasks`] | 200 [`RenewAnswer`] |
//! | `POST /workers/ID/tasks/TASK/checkpoint`, `/throttle`, `/stop` | [`Intent`] | 200; 404; 409 |

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;

/// The most rows that one transaction may check or write.
pub const TXN_ROWS_MAX: usize = 100;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: id::Key,
    /// Raised by the table at each write of the row; 1 for a new row, never reused after a delete.
    pub version: u64,
    /// The row's content, JSON text by convention.
    pub value: String,
}

/// A precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row that is checked.
    pub key: id::Key,
    /// The version that it must have; 0 says that it must be absent.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row that is written.
    pub key: id::Key,
    /// The new content; `None` deletes the row.
    pub value: Option<String>,
}

/// A transaction: all checks hold and all writes happen, or nothing does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// Preconditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub writes: Vec<Write>,
}

/// The answer to a committed transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// The new versions, in the order of the writes; 0 for a delete.
    pub versions: Vec<u64>,
}

/// The answer to a transaction whose precondition failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The first row whose check failed.
    pub key: id::Key,
    /// The version that it has; 0 if it is absent.
    pub version: u64,
}

/// What is known of a transaction that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It happened.
    Committed(Committed),
    /// A precondition failed; it did not happen and never will.
    Refused(Refused),
    /// No reply came: it may have happened, or may yet.
    Unknown,
}

/// The state of a VM as the platform sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// Up and taking work.
    Live,
    /// Told to take no new work, or about to go.
    Leaving,
    /// Down for a reboot that was asked for.
    Rebooting,
    /// Down without having been asked.
    Failed,
}

/// Size of a VM or need of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM.
    pub vm: id::Vm,
    /// Its rack.
    pub rack: id::Rack,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Its region.
    pub region: id::Region,
    /// The pool that it is bought for; used only while the table has no row for the VM.
    pub home_pool: id::Pool,
    /// Its state.
    pub state: VmState,
    /// Raised at each boot.
    pub boots: u64,
    /// Its size.
    pub size: Resources,
    /// Where its runner listens.
    pub endpoint: SocketAddr,
}

/// The lagging list of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The platform's own time of this picture, in milliseconds; never goes back.
    pub as_of_ms: u64,
    /// The VMs, by id.
    pub vms: Vec<Vm>,
}

/// Names the decision behind an effect, so that it can be repeated and fenced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The operation; a repeat of the same one has no further effect.
    pub operation: id::Operation,
    /// The duty in whose name it is done.
    pub duty: id::Duty,
    /// The epoch of the duty's lease; one older than the newest seen is refused.
    pub epoch: u64,
}

/// Asks a worker to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// The decision; a repeat of the same operation is the same start.
    pub intent: Intent,
    /// The task.
    pub task: id::Task,
    /// Its job.
    pub job: id::Job,
    /// What the job's owner declares that it needs.
    pub declared: Resources,
    /// The lease: the worker stops the task by itself when it is not renewed for this long.
    pub lease_ms: u64,
    /// The checkpoint to go on from, by its object's name.
    pub checkpoint: Option<String>,
    /// What to run; the platform's business.
    pub command: String,
}

/// A worker's answer to [`StartTask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartAnswer {
    /// The task runs, or ran already under this operation.
    Started,
    /// The worker has no room; the task did not start and never will under this operation.
    NoRoom,
}

/// Renews the leases of tasks on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewTasks {
    /// The duty in whose name it is done.
    pub duty: id::Duty,
    /// The epoch of the duty's lease.
    pub epoch: u64,
    /// The tasks.
    pub tasks: Vec<id::Task>,
    /// The new length of each lease, from the worker's receipt.
    pub lease_ms: u64,
}

/// A worker's answer to [`RenewTasks`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewAnswer {
    /// Tasks that the worker does not run.
    pub unknown: Vec<id::Task>,
}

/// The state of a task on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Runs.
    Running,
    /// Runs with less processor time.
    Throttled,
    /// Stopped after writing a checkpoint, by its object's name.
    Checkpointed(String),
    /// Ended well.
    Finished,
    /// Ended badly, with the worker's words.
    Failed(String),
    /// Stopped because it was told to.
    Stopped,
    /// Stopped because its lease lapsed.
    LeaseLapsed,
    /// Killed for memory.
    OutOfMemory,
}

/// The use of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// The task.
    pub task: id::Task,
    /// Its job.
    pub job: id::Job,
    /// Its state.
    pub state: TaskState,
    /// What it uses.
    pub used: Resources,
    /// Its age since its start, in milliseconds.
    pub age_ms: u64,
}

/// The use of one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The worker.
    pub vm: id::Vm,
    /// The platform's time of this reading, in milliseconds; it lags.
    pub as_of_ms: u64,
    /// Its tasks; ended ones stay listed for some minutes.
    pub tasks: Vec<TaskUsage>,
}

/// The use of all workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageList {
    /// The platform's own time of this answer, in milliseconds.
    pub as_of_ms: u64,
    /// The workers, by id.
    pub workers: Vec<Usage>,
}
