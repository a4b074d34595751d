//! Messages to and from the platform's table, object store, VMs and workers.
//!
//! These types are also the JSON bodies of the platform's HTTP interface:
//!
//! | request | body | response |
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

/// Maximum number of rows that one transaction can check or write.
pub const TXN_ROWS_MAX: usize = 100;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: id::Key,
    /// Incremented by the table at each write of the row; 1 for a new row, never reused after a delete.
    pub version: u64,
    /// The row's content, JSON text by convention.
    pub value: String,
}

/// A precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The checked row's key.
    pub key: id::Key,
    /// The version that the row must have; 0 requires that it is absent.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The written row's key.
    pub key: id::Key,
    /// The new content; `None` deletes the row.
    pub value: Option<String>,
}

/// A transaction: if all checks hold, all writes are applied atomically; otherwise none is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// Preconditions, which must all hold.
    pub checks: Vec<Check>,
    /// Writes, applied only if all checks hold.
    pub writes: Vec<Write>,
}

/// The response to a committed transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// The new versions, in the order of the writes; 0 for a delete.
    pub versions: Vec<u64>,
}

/// The response to a transaction whose precondition failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The first row whose check failed.
    pub key: id::Key,
    /// The row's current version; 0 if it is absent.
    pub version: u64,
}

/// The known outcome of a transaction that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The transaction committed.
    Committed(Committed),
    /// A precondition failed; the transaction did not commit and never will.
    Refused(Refused),
    /// No reply came: the transaction may have committed or may still commit.
    Unknown,
}

/// The state of a VM as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// Up and accepting work.
    Live,
    /// Instructed to accept no new work, or about to shut down.
    Leaving,
    /// Down for a requested reboot.
    Rebooting,
    /// Down without a request.
    Failed,
}

/// The size of a VM or the resources that a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Number of whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// Returns the sum of two amounts, at most the largest number.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns a multiple of the amount, at most the largest number.
    pub fn times(&self, count: u64) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self
                .accelerators
                .saturating_mul(u32::try_from(count).unwrap_or(u32::MAX)),
        }
    }

    /// Returns what is left without another amount, at least nothing.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger of each amount.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns whether every amount is at most that of `size`.
    pub fn fits_in(&self, size: &Self) -> bool {
        self.cpu_milli <= size.cpu_milli
            && self.memory_mib <= size.memory_mib
            && self.accelerators <= size.accelerators
    }
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's id.
    pub vm: id::Vm,
    /// Its rack.
    pub rack: id::Rack,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Its region.
    pub region: id::Region,
    /// The pool for which the VM was bought; used only while the table has no row for the VM.
    pub home_pool: id::Pool,
    /// Its state.
    pub state: VmState,
    /// Boot counter, incremented at each boot.
    pub boots: u64,
    /// Its size.
    pub size: Resources,
    /// The address on which its runner listens.
    pub endpoint: SocketAddr,
}

/// The platform's list of VMs, which lags behind the actual state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The platform's own time of this list, in milliseconds; never decreases.
    pub as_of_ms: u64,
    /// The VMs, sorted by id.
    pub vms: Vec<Vm>,
}

/// Identifies the decision behind a command, so that the command is idempotent and can be fenced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The operation; repeating the same one has no further effect.
    pub operation: id::Operation,
    /// The duty whose leader issued the command.
    pub duty: id::Duty,
    /// The epoch of the duty's lease; an epoch older than the newest one seen is refused.
    pub epoch: u64,
}

/// Requests that a worker start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// The decision; repeating the same operation starts nothing new.
    pub intent: Intent,
    /// The task.
    pub task: id::Task,
    /// Its job.
    pub job: id::Job,
    /// The resources that the job's owner declares the task needs.
    pub declared: Resources,
    /// Lease duration, in milliseconds; the worker stops the task by itself if the lease is not renewed for this long.
    pub lease_ms: u64,
    /// The object name of the checkpoint to resume from; `None` starts the task from the beginning.
    pub checkpoint: Option<String>,
    /// The command to run, interpreted only by the platform.
    pub command: String,
}

/// A worker's response to [`StartTask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartAnswer {
    /// The task is running, or already ran under this operation.
    Started,
    /// The worker lacks free capacity; the task did not start and never will under this operation.
    NoRoom,
}

/// Renews the leases of tasks on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewTasks {
    /// The duty whose leader issued the command.
    pub duty: id::Duty,
    /// The epoch of the duty's lease.
    pub epoch: u64,
    /// The tasks.
    pub tasks: Vec<id::Task>,
    /// The new duration of each lease, in milliseconds from when the worker receives the renewal.
    pub lease_ms: u64,
}

/// A worker's response to [`RenewTasks`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewAnswer {
    /// Tasks that the worker does not run.
    pub unknown: Vec<id::Task>,
}

/// The state of a task on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Running normally.
    Running,
    /// Running with reduced processor time.
    Throttled,
    /// Stopped after writing a checkpoint, given by its object name.
    Checkpointed(String),
    /// Ended successfully.
    Finished,
    /// Ended with an error, given by the worker's message.
    Failed(String),
    /// Stopped on request.
    Stopped,
    /// Stopped because its lease expired.
    LeaseLapsed,
    /// Killed because memory ran out.
    OutOfMemory,
}

/// The resource usage of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// The task.
    pub task: id::Task,
    /// Its job.
    pub job: id::Job,
    /// Its state.
    pub state: TaskState,
    /// The resources that the task uses.
    pub used: Resources,
    /// Time since the task started, in milliseconds.
    pub age_ms: u64,
}

/// The resource usage of one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The worker.
    pub vm: id::Vm,
    /// The platform's time of this measurement, in milliseconds; it lags behind the present.
    pub as_of_ms: u64,
    /// Its tasks; ended tasks stay listed for some minutes.
    pub tasks: Vec<TaskUsage>,
}

/// The resource usage of all workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageList {
    /// The platform's own time of this response, in milliseconds.
    pub as_of_ms: u64,
    /// The workers, sorted by id.
    pub workers: Vec<Usage>,
}
