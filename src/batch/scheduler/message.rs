//! What the holder is given, and what it wants done.

use std::sync::Arc;

use crate::batch::book;
use crate::batch::record;
use crate::batch::{JobId, TaskId};
use crate::id;

/// Bounds of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Length of the leases given to workers, in milliseconds.
    pub lease_ms: u64,
    /// How long ended jobs stay known, in milliseconds.
    pub status_ms: u64,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The worker.
    pub worker: id::Worker,
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: u32,
    /// End of the lease, on the worker's clock.
    pub until_ms: u64,
    /// The checkpoint to go on from.
    pub checkpoint: Option<String>,
    /// What to run, with its queue.
    pub accepted: Arc<record::Accepted>,
    /// The ticket of a queue with a policy.
    pub ticket: Option<String>,
}

/// What the holder wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Start a run.
    Start(Start),
    /// Stop a run.
    Stop {
        /// The worker.
        worker: id::Worker,
        /// The task.
        task: TaskId,
        /// Which start of it.
        run: u32,
    },
    /// Ask which workers a queue's policy allows for a task's step.
    Ask {
        /// A task of the step.
        task: TaskId,
        /// The workers.
        workers: Vec<id::Worker>,
    },
    /// Let a run work at a share of its speed.
    Pace {
        /// The worker.
        worker: id::Worker,
        /// The task.
        task: TaskId,
        /// Which start of it.
        run: u32,
        /// The share, 0 to 100.
        percent: u32,
    },
    /// Begin to look at a worker.
    Watch(book::Listing),
    /// A worker's life has ended; stop looking.
    Forget(id::Worker),
    /// A newer holder's fence was met: this one is superseded.
    Superseded,
    /// A line for the log.
    Line(String),
}

/// What to send with the next look at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Look {
    /// The lease's new end, on the worker's clock; `None` gives no lease.
    pub until_ms: Option<u64>,
    /// Ends up to this number may be forgotten.
    pub acknowledged: u64,
    /// How long the worker may wait for an end, in milliseconds.
    pub wait_ms: u64,
}

/// The rows that a holder begins with.
#[derive(Clone, Debug, Default)]
pub struct Inheritance {
    /// Accepted jobs.
    pub accepted: Vec<(JobId, record::Accepted)>,
    /// Cancellations.
    pub cancelled: Vec<JobId>,
    /// Progress.
    pub progress: Vec<(JobId, record::Progress)>,
    /// Workers that may run tasks.
    pub workers: Vec<(id::Worker, record::WorkerRow)>,
    /// Whether the predecessor may still be giving orders, to workers that haven't met the new fence.
    pub predecessor_may_act: bool,
}

/// Counters of what the holder did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Runs that ended done.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that were stopped, lapsed, or ended with another.
    pub broken_off: u64,
    /// Runs that a worker lost without telling of an end.
    pub lost: u64,
}
