//! Requests, replies and outcomes of a writer.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{Attempt, ROWS_MAX, Token};
use crate::id;
use crate::platform;

/// The final outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// Committed; the new versions are in the order of the writes.
    Committed(platform::Committed),
    /// Committed, but the reply was lost, so the new versions have to be read.
    CommittedUnseen,
    /// Refused by one of its checks; it has not been committed and never will be.
    Refused(platform::Refused),
}

/// A transaction whose final outcome is now known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// Token that [`super::Writer::submit`] returned.
    pub token: Token,
    /// Final outcome of the transaction.
    pub settled: Settled,
}

/// A request to send to the table immediately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Run a transaction and reply with [`Reply::Outcome`].
    Transact {
        /// Id that the reply has to carry.
        attempt: Attempt,
        /// Transaction of the group, including the journal row.
        txn: platform::Txn,
    },
    /// Read the journal row and reply with [`Reply::Row`].
    Read {
        /// Id that the reply has to carry.
        attempt: Attempt,
        /// Key of the journal row.
        key: id::Key,
    },
}

/// The table's reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Outcome of a transaction; a timeout or a broken connection is [`platform::Outcome::Unknown`].
    Outcome(platform::Outcome),
    /// Row that was read; `None` if it is absent.
    Row(Option<platform::Row>),
    /// The read failed or timed out.
    ReadFailed,
}

/// The error for a transaction that can't be submitted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The transaction has more rows than fit beside the journal row.
    #[snafu(display("the transaction touches {rows} rows, more than {}", ROWS_MAX))]
    TooManyRows {
        /// Number of rows that the transaction checks or writes.
        rows: usize,
    },
    /// Another process writes this incarnation's journal.
    #[snafu(display("another process writes the journal {key}"))]
    Fenced {
        /// Key of the journal row.
        key: id::Key,
    },
}

/// Counters of a writer since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests sent, including reads.
    pub requests: u64,
    /// Groups that committed.
    pub commits: u64,
    /// Submitted transactions that committed.
    pub transactions: u64,
    /// Submitted transactions that were refused.
    pub refusals: u64,
    /// Transactions sent whose reply was lost.
    pub unknowns: u64,
    /// Groups found to be committed after a lost reply.
    pub unseen_commits: u64,
    /// Transactions sent only so that an earlier one is refused.
    pub fences: u64,
    /// Groups sent again because one member was refused.
    pub regroups: u64,
}
