//! The inbox of the jobs duty: rows by which entry nodes tell its holder what they committed.
//!
//! A group commit writes one inbox row for all its requests, under a key that no one else uses, so that
//! it needs no precondition. The holder deletes the row once all that it asks for is committed.

use serde::{Deserialize, Serialize};

use crate::id;

/// Prefix of the keys of inbox rows.
pub const PREFIX: &str = "job-inbox/";

/// What an entry node asks of the holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// The job's row is new.
    Submitted(id::Job),
    /// The owner cancels the job.
    Cancel(id::Job),
    /// The owner removes the job, which has ended.
    Remove(id::Job),
}

impl Entry {
    /// The job.
    pub fn job(&self) -> &id::Job {
        match self {
            Self::Submitted(job) | Self::Cancel(job) | Self::Remove(job) => job,
        }
    }
}

/// The key of an entry node's inbox row; `sequence` counts within the node's incarnation.
pub fn row_key(node: &id::Node, incarnation: &str, sequence: u64) -> id::Key {
    id::Key::from(format!("{PREFIX}{node}/{incarnation}/{sequence:012}"))
}
