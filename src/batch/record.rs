//! Rows of the platform's table that hold the batch state: accepted jobs and their progress.
//!
//! | table | partition | key | written by |
//! |---|---|---|---|
//! | `job` | by the job's id | `ID` | any entry node, once; see [`tombstones`] |
//! | `job` | by the job's id | `ID.cancel` | any entry node |
//! | `progress` | `holder` | `ID`, `ID.N` | the scheduler; see [`progress_rows`] |
//! | `worker` | `holder` | the worker's id | the scheduler, before its first command to the worker |
//! | `wave` | `holder` | the wave's number | the scheduler |
//! | `machine` | `holder` | the VM | the scheduler, before each command for the VM |
//! | `duty` | `holder` | `holder` | the scheduler, with each of its transactions |

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::batch::JobId;
use crate::batch::predecessors;
use crate::batch::progress_rows;
use crate::batch::queue;
use crate::batch::spec;
#[expect(unused_imports, reason = "the table above links to it")]
use crate::batch::tombstones;
use crate::batch::waves;
use crate::id;

/// Name of the table of accepted jobs and cancellations.
pub const JOB_TABLE: &str = "job";
/// Name of the table of job progress.
pub const PROGRESS_TABLE: &str = "progress";
/// Name of the table of workers that can run tasks.
pub const WORKER_TABLE: &str = "worker";
/// Name of the table of maintenance waves.
pub const WAVE_TABLE: &str = "wave";
/// Name of the table of machines with a command to move or to start maintenance.
pub const MACHINE_TABLE: &str = "machine";
/// Name of the table of duties.
pub const DUTY_TABLE: &str = "duty";
/// Partition of all rows that the scheduler writes; its transactions check the duty's row, which is in it too.
pub const SCHEDULER_PARTITION: &str = "holder";
/// Key of the batch duty's row.
pub const DUTY_KEY: &str = "holder";
/// Number of partitions of the job table; a partition commits transactions one by one, in 8 ms each at best.
pub const JOB_PARTITIONS: u64 = 16;
/// Suffix of a cancellation's key, after the job id.
const CANCEL_SUFFIX: &str = ".cancel";

/// Returns the number of the partition of a job's rows.
pub fn job_partition_number(job: JobId) -> u64 {
    // The high bits of a multiplicative hash spread sequential ids.
    const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
    (job.0.wrapping_mul(GOLDEN) >> 32) % JOB_PARTITIONS
}

/// Returns the partition of a job's rows.
pub fn job_partition(job: JobId) -> String {
    job_partition_name(job_partition_number(job))
}

/// Returns the name of a partition of the job table.
pub fn job_partition_name(number: u64) -> String {
    format!("j{number}")
}

/// A parsed key of the job table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKey {
    /// Key of the row of an accepted job.
    Accepted(JobId),
    /// Key of the row of a job's cancellation.
    Cancelled(JobId),
}

impl JobKey {
    /// Parses a key; returns `None` if it has neither form.
    pub fn parse(key: &str) -> Option<Self> {
        match key.strip_suffix(CANCEL_SUFFIX) {
            Some(id) => id.parse().ok().map(Self::Cancelled),
            None => key.parse().ok().map(Self::Accepted),
        }
    }

    /// Formats the key as stored in the table.
    pub fn text(&self) -> String {
        match self {
            Self::Accepted(job) => job.to_string(),
            Self::Cancelled(job) => format!("{job}{CANCEL_SUFFIX}"),
        }
    }
}

/// The row of an accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Settings of the job's queue when the job was accepted.
    pub queue: queue::Queue,
    /// The account on whose behalf the job was submitted; absent if it was submitted without a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<id::Account>,
    /// Steps and schedule as submitted.
    pub spec: spec::Spec,
    /// Time of the submission on the entry node's clock, in milliseconds since 1970.
    pub submitted_unix_ms: u64,
    /// Version of the row that was read or written; 0 if it isn't known.
    #[serde(skip)]
    pub row_version: u64,
}

/// The row in the place of a job that was cancelled before it was stored; see [`tombstones`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tombstone {
    /// Time of the cancellation on the entry node's clock, in milliseconds since 1970.
    pub cancelled_unix_ms: u64,
}

impl Tombstone {
    /// Returns whether a job's row holds a tombstone.
    pub fn is_in(value: &[u8]) -> bool {
        serde_json::from_slice::<Self>(value).is_ok()
    }
}

/// The state of a job as reported to callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

impl State {
    /// Returns whether the job has ended.
    pub fn is_final(self) -> bool {
        match self {
            Self::Queued | Self::Running => false,
            Self::Completed | Self::Failed | Self::Cancelled => true,
        }
    }
}

/// The progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Progress {
    /// Current state of the job.
    pub state: State,
    /// End of the job, in milliseconds since 1970; 0 while it has not ended.
    pub ended_unix_ms: u64,
    /// Number below which all occurrences are finished; their tasks are in no row. Only in the first row.
    #[serde(skip_serializing_if = "is_none_finished")]
    pub finished_below: u32,
    /// Completed tasks, grouped by step.
    pub done: Vec<Done>,
    /// Records of tasks that are not completed.
    pub tasks: Vec<TaskRecord>,
    /// When the job was submitted, in milliseconds since 1970; names the job in rows after the first, else 0.
    #[serde(skip_serializing_if = "is_zero")]
    pub submitted_unix_ms: u64,
}

impl Progress {
    /// Returns the state that callers are told. Rows of earlier versions don't say that a job runs, but hold what its runs
    /// have left.
    pub fn told_state(&self) -> State {
        let has_begun = self.finished_below > 0
            || !self.done.is_empty()
            || self.tasks.iter().any(TaskRecord::has_begun);
        match self.state {
            State::Queued if has_begun => State::Running,
            state => state,
        }
    }
}

fn is_none_finished(finished_below: &u32) -> bool {
    *finished_below == 0
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The completed tasks of one step in one occurrence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// Repetition of the job, counted from 0.
    pub occurrence: u32,
    /// Position of the step in the job, counted from 0.
    pub step: u32,
    /// Positions of the completed tasks in the step, counted from 0.
    pub indexes: Vec<u32>,
}

/// The record of a task that is not completed: its failed runs and newest checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Repetition of the job, counted from 0.
    pub occurrence: u32,
    /// Position of the step in the job, counted from 0.
    pub step: u32,
    /// Position of the task in the step, counted from 0.
    pub index: u32,
    /// Numbers of the runs that failed.
    pub failed_runs: Vec<u32>,
    /// Newest checkpoint; absent if no run has saved one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
    /// Crashes of workers that are held against the task.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
}

impl TaskRecord {
    /// Returns whether a run of the task has begun. A crash is also held against a task whose start wasn't confirmed.
    pub fn has_begun(&self) -> bool {
        !self.failed_runs.is_empty()
            || self.checkpoint.is_some()
            || self.crashes.iter().any(|crash| crash.confirmed)
    }
}

/// The crash of a worker, held against a task that ran there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The worker that crashed.
    pub worker: id::Worker,
    /// Start of the incarnation that crashed, in milliseconds since 1970; 0 if not reported.
    pub worker_started_unix_ms: u64,
    /// How long the run had certainly been at work, in milliseconds.
    pub survived_ms: u64,
    /// Whether the worker had confirmed the start and has certainly crashed.
    pub confirmed: bool,
    /// Whether another job was given up for it since.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub explained: bool,
}

/// The row of the batch duty, which names its leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// Name of the node that leads the duty.
    pub holder: String,
    /// Address at which other nodes reach the leader.
    pub address: String,
    /// Incarnation of the leader; differs between two starts of a node.
    pub incarnation: u64,
    /// Fencing epoch, raised by one at each change of leader; workers refuse commands of older epochs.
    pub epoch: u64,
    /// Number of transactions of this leader; after a lost response it shows whose transaction was committed.
    pub commits: u64,
    /// CPU capacity of the node that is expected to lead, in thousandths of a core: the leader, or the stronger node
    /// for which the last leader stepped down.
    #[serde(default)]
    pub cpu_milli: u64,
    /// Incarnation of the node that claims the released duty before others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub successor: Option<u64>,
    /// Whether only commits prove to the leader that it leads; else confirmations of its followers do as well.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub commits_only: bool,
    /// What leaders before this one may still do.
    #[serde(default, skip_serializing_if = "predecessors::Earlier::is_ended")]
    pub earlier: predecessors::Earlier,
    /// Epochs of leaders before this one that may count on other followers.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub unconfirmed: BTreeSet<u64>,
}

/// The row of a worker that can run tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRow {
    /// Service whose tasks the worker runs; has no name if the row cannot be read.
    pub service: id::Service,
    /// Whether the worker has started again under its id lately. A lease that was granted on the clock of the earlier
    /// incarnation then has the greatest length that workers accept.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub restarted: bool,
}

impl WorkerRow {
    /// Returns the row of a worker of a service.
    pub fn new(service: id::Service) -> Self {
        Self {
            service,
            restarted: false,
        }
    }

    /// Returns the row of a worker whose row cannot be read.
    pub fn unreadable() -> Self {
        Self {
            service: id::Service::new(""),
            restarted: false,
        }
    }

    /// Returns whether the worker may run tasks of a service; one whose row cannot be read may run those of any.
    pub fn may_run(&self, service: &id::Service) -> bool {
        self.service == *service || self.service.as_str().is_empty()
    }
}

/// The row of the newest command for a machine, committed before the command is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRow {
    /// Time of the command on the store's clock, in milliseconds.
    pub at_ms: u64,
}

/// The position up to which a worker's ended runs were handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandledRuns {
    /// Incarnation of the worker that numbered the runs, by its start in milliseconds since 1970.
    pub started_unix_ms: u64,
    /// Number of the newest handled run.
    pub number: u64,
}

/// Changes of the scheduler's state that one transaction writes.
#[derive(Clone, Debug, Default)]
pub struct WriteBatch {
    /// Progress rows to write.
    pub progress: Vec<(progress_rows::Key, Progress)>,
    /// Workers to add before the first command is sent to them.
    pub workers_added: Vec<(id::Worker, WorkerRow)>,
    /// Workers to delete because they run nothing any more.
    pub workers_removed: Vec<id::Worker>,
    /// Records of maintenance waves to write.
    pub waves: Vec<(waves::Key, waves::Record)>,
    /// Machine commands that are sent after the commit.
    pub machine_commands: Vec<(id::Vm, MachineRow)>,
    /// Progress rows that are deleted because they are no longer needed.
    pub progress_deleted: Vec<progress_rows::Key>,
    /// Number of the first change of progress that each progress row writes.
    pub first_changes: BTreeMap<progress_rows::Key, u64>,
    /// Ended runs that can be acknowledged once the batch is committed.
    pub acknowledge: BTreeMap<id::Worker, HandledRuns>,
}

impl WriteBatch {
    /// Returns whether there is nothing to write or acknowledge.
    pub fn is_empty(&self) -> bool {
        self.rows() == 0 && self.acknowledge.is_empty()
    }

    /// Returns the number of rows that the batch writes or deletes.
    pub fn rows(&self) -> usize {
        self.progress.len()
            + self.workers_added.len()
            + self.workers_removed.len()
            + self.waves.len()
            + self.machine_commands.len()
            + self.progress_deleted.len()
    }
}
