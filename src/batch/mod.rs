//! Batch jobs: steps of tasks that run on the workers of a pool.
//!
//! Accepted jobs and their progress are stored as rows of the platform's table. The set of running tasks is not
//! stored: the scheduler polls the workers, which enforce leases and fencing epochs. One node at a time leads the
//! duty of placing tasks; see [`scheduler`].

pub mod account_rates;
pub mod accounts;
pub mod admission_limit;
pub mod authority;
pub mod connections;
pub mod handover;
pub mod job_memory;
pub mod list_pause;
pub mod machine_commands;
pub mod order;
pub mod pacing;
pub mod pools;
pub mod predecessors;
pub mod progress_rows;
pub mod queue;
pub mod ranges;
pub mod rate_limit;
pub mod record;
pub mod recovery;
pub mod recovery_pages;
pub mod rejection;
pub mod relays;
pub mod slowness;
pub mod spec;
pub mod submissions;
pub mod succession;
pub mod tombstones;
pub mod waves;
pub mod worker_state;

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
pub mod scheduler;

/// Hexadecimal digits of a job id's text form.
const JOB_ID_DIGITS: usize = 16;

/// A job id, chosen by the caller and written as 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The error for text that is not a valid job or task id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("not a valid job or task id"))]
pub struct InvalidId;

impl FromStr for JobId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != JOB_ID_DIGITS || !text.bytes().all(digit) {
            return Err(InvalidId);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| InvalidId)
    }
}

/// Identifies a task of a job by occurrence, step and index within the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Repetition of the job, counted from 0.
    pub occurrence: u32,
    /// Position of the step in the job, counted from 0.
    pub step: u32,
    /// Position of the task in its step, counted from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.occurrence, self.step, self.index
        )
    }
}

impl FromStr for TaskId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(InvalidId);
        let task = Self {
            job: next()?.parse()?,
            occurrence: next()?.parse().map_err(|_| InvalidId)?,
            step: next()?.parse().map_err(|_| InvalidId)?,
            index: next()?.parse().map_err(|_| InvalidId)?,
        };
        match parts.next() {
            None => Ok(task),
            Some(_) => Err(InvalidId),
        }
    }
}
