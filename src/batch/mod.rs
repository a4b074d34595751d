//! Batch jobs: steps of tasks that run on the workers of a pool.
//!
//! Accepted jobs and their progress are rows of the platform's table; what runs at the moment is asked of the
//! workers, which keep leases and fences. One node at a time holds the duty of placing tasks; see [`holder`].

pub mod authority;
pub mod book;
pub mod budget;
pub mod pacing;
pub mod pools;
pub mod queue;
pub mod record;
pub mod scheduler;
pub mod spec;
pub mod succession;
pub mod waves;

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Digits of a job's id.
const JOB_ID_DIGITS: usize = 16;

/// The id of a job, chosen by the caller: 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Text that names no job or task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("not an id of a job or task"))]
pub struct BadId;

impl FromStr for JobId {
    type Err = BadId;

    fn from_str(text: &str) -> Result<Self, BadId> {
        let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != JOB_ID_DIGITS || !text.bytes().all(digit) {
            return Err(BadId);
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| BadId)
    }
}

/// A task of a job: its occurrence, step and index within the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Which repetition of the job, counted from 0.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u32,
    /// The task within its step, counted from 0.
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
    type Err = BadId;

    fn from_str(text: &str) -> Result<Self, BadId> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(BadId);
        let task = Self {
            job: next()?.parse()?,
            occurrence: next()?.parse().map_err(|_| BadId)?,
            step: next()?.parse().map_err(|_| BadId)?,
            index: next()?.parse().map_err(|_| BadId)?,
        };
        match parts.next() {
            None => Ok(task),
            Some(_) => Err(BadId),
        }
    }
}
