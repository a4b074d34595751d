//! Inputs and outputs of the scheduler.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::batch::connections::Connection;
use crate::batch::predecessors;
use crate::batch::progress_rows;
use crate::batch::record;
use crate::batch::worker_state;
use crate::batch::{JobId, TaskId};
use crate::clock;
use crate::id;

/// Deployment settings of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Length of the leases granted to workers, in milliseconds.
    pub lease_ms: u64,
    /// Longest lease that a worker accepts, in milliseconds; it shortens longer ones.
    pub lease_max_ms: u64,
    /// Maximum size of a row that the store accepts, in bytes.
    pub row_bytes: u64,
    /// Time for which the state of an ended job can be queried, in milliseconds.
    pub status_ms: u64,
    /// Window of the accounts' rates, in milliseconds: an account that was idle can submit the jobs of one window at once.
    pub quota_window_ms: u64,
}

impl Settings {
    /// Window of the accounts' rates in a deployment that states none, in milliseconds.
    pub const QUOTA_WINDOW_DEFAULT_MS: u64 = 5_000;
}

/// A command to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The worker to start it on.
    pub worker: id::Worker,
    /// The task to start.
    pub task: TaskId,
    /// Number of this start of the task.
    pub run: u32,
    /// Incarnation of the worker that the start is for, by its start in milliseconds since 1970; 0 if it doesn't report that.
    pub started_unix_ms: u64,
    /// End of the lease granted with the start, in milliseconds on that incarnation's clock.
    pub until_ms: u64,
    /// Checkpoint to continue from; `None` starts from the beginning.
    pub checkpoint: Option<String>,
    /// The accepted job, with its spec and queue.
    pub accepted: Arc<record::Accepted>,
    /// Ticket for the worker; `None` if the queue has no policy.
    pub ticket: Option<String>,
}

/// An action that the caller has to carry out for the scheduler.
#[derive(Clone, Debug)]
pub enum Output {
    /// Start a run, with retries, and report the outcome.
    Start(Start),
    /// Stop a run.
    Stop {
        /// The worker that has the run.
        worker: id::Worker,
        /// The task to stop.
        task: TaskId,
        /// Number of the run; also blocks runs with lower numbers.
        run: u32,
    },
    /// Ask which workers a queue's policy allows for a task's step.
    RequestTickets {
        /// A task of the step.
        task: TaskId,
        /// The workers to ask about.
        workers: Vec<id::Worker>,
    },
    /// Limit the speed of a run.
    Pace {
        /// The worker that has the run.
        worker: id::Worker,
        /// The task to limit.
        task: TaskId,
        /// Number of the run.
        run: u32,
        /// Share of the full speed, 0 to 100.
        percent: u32,
    },
    /// Start to poll a worker.
    StartPolling(worker_state::Listing),
    /// Stop polling a worker, because its incarnation has ended.
    StopPolling(id::Worker),
    /// A worker has the fence of a newer epoch, so this scheduler is superseded.
    Superseded,
    /// Write a line to the log.
    Log(String),
}

/// Contents of the next poll of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// Incarnation of the worker that gets the lease and the acknowledgement, by its start in milliseconds since 1970; 0 if it
    /// doesn't report that. Another one is only asked for its report.
    pub started_unix_ms: u64,
    /// New end of the lease, in milliseconds on the incarnation's clock; `None` does not renew it.
    pub until_ms: Option<u64>,
    /// The incarnation can discard its ends up to this number.
    pub acknowledged: u64,
    /// How long the worker can wait for a run to end before it answers, in milliseconds.
    pub wait_ms: u64,
    /// Connection of the poll; [`Connection::Commands`] only tries whether the worker takes it.
    pub connection: Connection,
}

/// Rows that a new scheduler recovers from the store.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// Accepted jobs.
    pub accepted: Vec<(JobId, record::Accepted)>,
    /// Jobs with a cancellation.
    pub cancelled: Vec<JobId>,
    /// Committed progress rows of jobs.
    pub progress: Vec<(progress_rows::Key, record::Progress)>,
    /// Workers that can have runs of a previous leader.
    pub workers: Vec<(id::Worker, record::WorkerRow)>,
    /// What earlier leaders may still do at workers that have not received the new fence.
    pub earlier: predecessors::Earlier,
    /// Jobs whose row exists but cannot be decoded.
    pub undecodable: Vec<JobId>,
    /// Jobs with a progress row that cannot be decoded.
    pub undecodable_progress: Vec<JobId>,
    /// Numbers of the partitions of the job table that were not read.
    pub unread: BTreeSet<u64>,
}

/// Rows of a partition of the job table that was read while the scheduler was running.
#[derive(Clone, Debug, Default)]
pub struct PartitionRows {
    /// Number of the partition.
    pub partition: u64,
    /// Accepted jobs.
    pub accepted: Vec<(JobId, record::Accepted)>,
    /// Jobs with a cancellation.
    pub cancelled: Vec<JobId>,
    /// Jobs whose row exists but cannot be decoded.
    pub undecodable: Vec<JobId>,
    /// When the read began: it returns all jobs that were stored before.
    pub began_at: clock::Instant,
}

/// Counters of ended runs since the scheduler started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Runs that completed.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that were stopped, whose lease lapsed, or that ended with another member of their gang.
    pub broken_off: u64,
    /// Runs that disappeared with their worker or without a report of their end.
    pub lost: u64,
    /// Workers that ended with tasks on them, without a command and without an announced stop.
    pub workers_crashed: u64,
    /// Jobs that were given up because their tasks crash workers.
    pub given_up: u64,
    /// Reports of runs that were at work although they had been taken for ended, or that completed their task while another
    /// run of it was under way.
    pub outlived: u64,
    /// Rows of workers' reports that cannot be read.
    pub unreadable_rows: u64,
}
