//! What goes in and out of a writer.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{Attempt, ROWS_MAX, Token};
use crate::id;
use crate::platform;

/// The settled outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It happened; the new versions are in the order of its writes.
    Committed(platform::Committed),
    /// It happened, but the reply was lost: the new versions have to be read.
    CommittedUnseen,
    /// One of its checks failed; it did not happen and never will.
    Refused(platform::Refused),
}

/// A transaction whose outcome is now known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// The transaction.
    pub token: Token,
    /// Its outcome.
    pub settled: Settled,
}

/// A request to be sent to the table at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Run a transaction and answer with [`Reply::Outcome`].
    Transact {
        /// Names the request.
        attempt: Attempt,
        /// The transaction.
        txn: platform::Txn,
    },
    /// Read the journal row and answer with [`Reply::Row`].
    Read {
        /// Names the request.
        attempt: Attempt,
        /// The row's key.
        key: id::Key,
    },
}

/// The table's reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The outcome of a transaction; a time-out or a broken connection is [`platform::Outcome::Unknown`].
    Outcome(platform::Outcome),
    /// The row that was read; `None` if it is absent.
    Row(Option<platform::Row>),
    /// The read failed or timed out.
    ReadFailed,
}

/// A transaction that can't be submitted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The transaction has more rows than fit beside the journal row.
    #[snafu(display("the transaction touches {rows} rows, more than {}", ROWS_MAX))]
    TooManyRows {
        /// Its rows.
        rows: usize,
    },
    /// Another process writes this incarnation's journal.
    #[snafu(display("another process writes the journal {key}"))]
    Fenced {
        /// The journal row.
        key: id::Key,
    },
}

/// What a writer has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests sent, reads included.
    pub requests: u64,
    /// Groups that committed.
    pub commits: u64,
    /// Submitted transactions that committed.
    pub transactions: u64,
    /// Submitted transactions that were refused.
    pub refusals: u64,
    /// Replies that were lost.
    pub unknowns: u64,
    /// Groups that were found committed after a lost reply.
    pub unseen_commits: u64,
    /// Transactions sent only to shut out an earlier one.
    pub fences: u64,
    /// Groups sent again because one member was refused.
    pub regroups: u64,
}
