//! The inbox of the jobs duty: rows through which entry nodes report to its leader what they
//! committed.
//!
//! A group commit writes one inbox row for all of its requests, under a key that no other writer
//! uses, so the write needs no precondition. The leader deletes the row once everything that it
//! requests is committed.

use serde::{Deserialize, Serialize};

use crate::id;

/// Prefix of the keys of inbox rows.
pub const PREFIX: &str = "job-inbox/";

/// A request from an entry node to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// A new job was submitted and its row is committed.
    Submitted(id::Job),
    /// The owner cancels the job.
    Cancel(id::Job),
    /// The owner removes the job's row; the job has already ended.
    Remove(id::Job),
}

impl Entry {
    /// Returns the job that the entry refers to.
    pub fn job(&self) -> &id::Job {
        match self {
            Self::Submitted(job) | Self::Cancel(job) | Self::Remove(job) => job,
        }
    }
}

/// Returns the key of an entry node's inbox row; `sequence` counts from 0 within the node's
/// incarnation.
pub fn row_key(node: &id::Node, incarnation: &str, sequence: u64) -> id::Key {
    id::Key::from(format!("{PREFIX}{node}/{incarnation}/{sequence:012}"))
}
