//! How the progress of a job is divided among rows, whose size the store limits.
//!
//! The first row of a job holds its state and the progress of its first tasks. Tasks beyond those are in further rows, a
//! fixed number in each, so that the end of a task rewrites one row of bounded size however large the job is. Rows after
//! the first name the job's submission: what is left of an earlier job with the same id is ignored.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use crate::batch::record::Progress;
use crate::batch::{InvalidId, JobId, TaskId};

/// Maximum size of the record of a task that isn't done, in bytes, without failed runs, checkpoint and crashes.
const TASK_BYTES: u64 = 128;
/// Size of the number of a failed run in a record, in bytes.
const FAILED_RUN_BYTES: u64 = 11;
/// Space for the checkpoint and the crashes of a task, in bytes. A row that needs more leaves them out.
const EXTRA_BYTES: u64 = 512;
/// Space for the state and the names of the fields, in bytes.
const HEAD_BYTES: u64 = 512;

/// Names a row of a job's progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The job.
    pub job: JobId,
    /// Number of the row, from 0; the first one holds the job's state.
    pub part: u32,
}

impl fmt::Display for Key {
    /// Writes the job's id, and the row's number if it isn't the first.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.part {
            0 => write!(f, "{}", self.job),
            part => write!(f, "{}.{part}", self.job),
        }
    }
}

impl From<JobId> for Key {
    /// Returns the key of a job's first row.
    fn from(job: JobId) -> Self {
        Self { job, part: 0 }
    }
}

impl FromStr for Key {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let Some((job, part)) = text.split_once('.') else {
            return Ok(Self::from(text.parse::<JobId>()?));
        };
        let part: u32 = part.parse().map_err(|_| InvalidId)?;
        let key = Self {
            job: job.parse()?,
            part,
        };
        // Another spelling of a number names no row of ours.
        (key.to_string() == text).then_some(key).ok_or(InvalidId)
    }
}

/// The tasks of a job in the order in which rows hold them.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of tasks before each step, and in an occurrence.
    starts: Vec<u64>,
    tasks_per_row: u64,
}

impl Layout {
    /// Creates the layout of a job whose steps have these numbers of tasks, of which each may fail `attempts_max` times. A
    /// row has at most `row_bytes` bytes.
    pub fn new<S>(steps: S, attempts_max: u32, row_bytes: u64) -> Self
    where
        S: Iterator<Item = u32>,
    {
        let mut starts = vec![0];
        for tasks in steps {
            let before = starts.last().copied().unwrap_or(0);
            starts.push(before + u64::from(tasks));
        }
        let task_bytes = TASK_BYTES + EXTRA_BYTES + FAILED_RUN_BYTES * u64::from(attempts_max);
        Self {
            starts,
            tasks_per_row: (row_bytes.saturating_sub(HEAD_BYTES) / task_bytes).max(1),
        }
    }

    fn tasks_per_occurrence(&self) -> u64 {
        self.starts.last().copied().unwrap_or(0).max(1)
    }

    /// Returns the number of the row that holds a task.
    pub fn part(&self, task: &TaskId) -> u32 {
        let start = self.starts.get(task.step as usize).copied().unwrap_or(0);
        let occurrences = u64::from(task.occurrence) * self.tasks_per_occurrence();
        let position = occurrences + start + u64::from(task.index);
        u32::try_from(position / self.tasks_per_row).unwrap_or(u32::MAX)
    }

    /// Returns the last occurrence of which a row holds tasks.
    pub fn last_occurrence(&self, part: u32) -> u64 {
        let last = (u64::from(part) + 1) * self.tasks_per_row - 1;
        last / self.tasks_per_occurrence()
    }

    /// Iterates over the tasks that a row holds, in the order of occurrences and steps.
    pub fn tasks(&self, key: Key) -> impl Iterator<Item = TaskId> + '_ {
        let first = u64::from(key.part) * self.tasks_per_row;
        (first..first + self.tasks_per_row).map_while(move |position| {
            let occurrence = position / self.tasks_per_occurrence();
            let offset = position % self.tasks_per_occurrence();
            let step = self.starts.partition_point(|start| *start <= offset) - 1;
            Some(TaskId {
                job: key.job,
                occurrence: u32::try_from(occurrence).ok()?,
                step: u32::try_from(step).ok()?,
                index: u32::try_from(offset - self.starts.get(step)?).ok()?,
            })
        })
    }
}

/// The progress of a job as read from its rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// The first row; empty if it doesn't exist.
    pub first: Progress,
    /// The other rows, by number.
    pub further: BTreeMap<u32, Progress>,
}

impl Stored {
    /// Adds a row.
    pub fn insert(&mut self, part: u32, progress: Progress) {
        if part == 0 {
            self.first = progress;
        } else {
            self.further.insert(part, progress);
        }
    }

    /// Returns the keys of the rows beyond the first.
    pub fn further_keys(&self, job: JobId) -> impl Iterator<Item = Key> + '_ {
        self.further.keys().map(move |&part| Key { job, part })
    }
}

/// Removes checkpoints, and then crashes, from a row that would be too large with them: without them work is repeated, while
/// a row that the store refuses keeps all others waiting.
pub fn shrink(progress: &mut Progress, row_bytes: u64) {
    if is_within(progress, row_bytes) {
        return;
    }
    for task in &mut progress.tasks {
        task.checkpoint = None;
    }
    if is_within(progress, row_bytes) {
        return;
    }
    for task in &mut progress.tasks {
        task.crashes.clear();
    }
}

fn is_within(progress: &Progress, row_bytes: u64) -> bool {
    // Checkpoints and names are text, of which each byte takes up to six in JSON.
    let bytes = |text: &str| 6 * text.len() as u64;
    let tasks = progress.tasks.iter().map(|task| {
        let crashes = task.crashes.iter();
        let crashes = crashes.map(|crash| TASK_BYTES + bytes(crash.worker.as_str()));
        TASK_BYTES
            + FAILED_RUN_BYTES * task.failed_runs.len() as u64
            + task.checkpoint.as_deref().map_or(0, bytes)
            + crashes.sum::<u64>()
    });
    let estimate = HEAD_BYTES + tasks.sum::<u64>();
    estimate <= row_bytes
        || serde_json::to_vec(progress).is_ok_and(|row| row.len() as u64 <= row_bytes)
}
