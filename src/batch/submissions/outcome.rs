//! Outcomes of entries, of transactions and of calls to the writer.

use serde::{Deserialize, Serialize};

use crate::batch::record;

/// Why an entry was given up without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The store has not responded to this node for a while.
    StoreAway,
    /// The store refuses the transactions of the partition, or this entry.
    StoreRefused,
    /// A transaction takes longer than the caller waits.
    DeadlineTooShort,
    /// The job was cancelled before it was stored.
    Cancelled,
}

/// Outcome of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The row was written, at this version.
    Committed(u64),
    /// The row exists already.
    Exists,
    /// The row was not written and never will be.
    NotRun(Reason),
    /// The row may have been written, or may still be.
    Unknown,
    /// The entry is in the writer's queue or in a transaction. Sent between nodes only.
    Pending,
}

/// Outcome of a transaction.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// All entries were written, at this version.
    Committed(u64),
    /// Nothing was written, since checks failed.
    CheckFailed {
        /// Entries whose row exists, and cancellations whose job has been removed.
        existing: Vec<record::JobKey>,
        /// Submissions whose row holds a tombstone.
        cancelled: Vec<record::JobKey>,
    },
    /// Nothing was written: the store is unavailable.
    Unavailable,
    /// Nothing was written: too many transactions or calls are waiting.
    Overloaded,
    /// Nothing was written: the store does not accept an entry.
    Invalid,
    /// The transaction may have been committed, or may still be.
    NoResponse,
}

/// What the row of an entry holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// There is no row.
    Nothing,
    /// The entry was written.
    Entry,
    /// The job of a submission was cancelled before it was stored.
    Tombstone,
}

/// Outcome of a call to the writer.
#[derive(Clone, Debug)]
pub enum ForwardOutcome {
    /// The outcome of each entry, in the order of the batch, and the writer's view of the store.
    Answered(Vec<Answer>, Pace),
    /// No entry was taken.
    Refused,
    /// The entries may have been written, or may still be.
    NoResponse,
}

/// A node's view of the store's transactions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// Whether transactions are slow.
    pub is_slow: bool,
    /// Their usual duration, in milliseconds; 0 if none was measured lately.
    pub transaction_ms: u64,
}
