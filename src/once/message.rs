//! Messages between nodes, and what they speak about.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::id;
use crate::once::hash;
use crate::once::view;
use crate::platform;
use crate::roster;
use crate::verdict;

/// Prefix of all claim rows in the platform's table.
const ROW_PREFIX: &str = "key";

/// An idempotency key within its service.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{service}/{text}")]
pub struct Key {
    /// The service.
    pub service: id::Service,
    /// The text of the caller's header.
    pub text: id::Key,
}

impl Key {
    /// The shard that the key falls into.
    pub fn shard(&self) -> view::Shard {
        let bits = hash::of(&[
            self.service.as_str().as_bytes(),
            self.text.as_str().as_bytes(),
        ]);
        view::Shard::new(bits)
    }

    /// The key of its row in the table.
    pub fn row_key(&self) -> id::Key {
        id::Key::from(format!("{}{}", row_prefix(self.shard()), self))
    }

    /// Reads the key back from its row's key.
    pub fn from_row_key(row_key: &id::Key) -> Option<Self> {
        let mut parts = row_key.as_str().splitn(4, '/');
        if parts.next() != Some(ROW_PREFIX) {
            return None;
        }
        parts.next()?;
        Some(Self {
            service: id::Service::from(parts.next()?),
            text: id::Key::from(parts.next()?),
        })
    }
}

/// The prefix of the rows of a shard.
pub fn row_prefix(shard: view::Shard) -> String {
    format!("{ROW_PREFIX}/{shard}/")
}

/// One attempt at a key, unique for all time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The node that received the request.
    pub asker: roster::NodeId,
    /// A number that the asker never uses twice.
    pub number: u64,
}

/// A request that was started under a key, or is about to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt.
    pub id: ClaimId,
    /// Its key.
    pub key: Key,
    /// Hash of method, path and body.
    pub fingerprint: u64,
}

/// A small answer that is returned again to repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if any.
    pub content_type: Option<String>,
    /// The body; an answer that is not UTF-8 is not kept.
    pub body: String,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// It truly did not run; the key is free again.
    NotRun,
    /// The endpoint answered; the answer is kept if it is small.
    Ran(Option<Answer>),
    /// The request left, and no whole answer came back.
    MayHaveRun,
}

impl End {
    /// Bytes of the answer that it carries.
    pub fn answer_bytes(&self) -> usize {
        match self {
            Self::Ran(Some(answer)) => answer.body.len(),
            Self::Ran(None) | Self::NotRun | Self::MayHaveRun => 0,
        }
    }

    /// Leaves out the answer.
    pub fn drop_answer(&mut self) {
        if let Self::Ran(answer) = self {
            *answer = None;
        }
    }
}

/// The content of a claim's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowValue {
    /// The attempt that holds the key.
    pub id: ClaimId,
    /// Hash of its request.
    pub fingerprint: u64,
    /// How it ended, if that is known.
    pub end: Option<End>,
}

/// The owner's reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The attempt may start.
    Granted,
    /// Another attempt is in progress.
    InProgress,
    /// An earlier attempt may have run.
    MayHaveRun,
    /// The key was used for another request.
    Mismatch,
    /// An earlier attempt ran; its answer, if it was kept.
    Ran(Option<Answer>),
    /// The owner can take no more keys.
    Full,
}

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the owner for a claim.
    Ask {
        /// The view by which the owner was picked.
        view: u64,
        /// The claim.
        claim: Claim,
    },
    /// The owner's reply to [`Message::Ask`].
    Reply {
        /// The attempt.
        id: ClaimId,
        /// The reply.
        reply: Reply,
    },
    /// Tells the owner how an attempt ended.
    Ended {
        /// The view by which the owner was picked.
        view: u64,
        /// The claim.
        claim: Claim,
        /// How it ended.
        end: End,
    },
    /// The owner knows how the attempt ended; it is not in the table yet.
    Noted {
        /// The attempt.
        id: ClaimId,
    },
    /// The claims are in the table, or free again, and need not be held any more.
    Written {
        /// The attempts.
        ids: Vec<ClaimId>,
    },
    /// The table has what there is to know of the attempt.
    Settled {
        /// The attempt.
        id: ClaimId,
    },
    /// Asks a member to hold a claim that is to be granted from memory.
    Hold {
        /// The view.
        view: u64,
        /// The claim.
        claim: Claim,
    },
    /// The sender holds the claim.
    Held {
        /// The attempt.
        id: ClaimId,
    },
    /// Ends grants from memory in a view that is about to be replaced.
    Seal {
        /// The view.
        view: u64,
    },
    /// The sender grants and holds nothing more from memory in this view, and what it held is in the table.
    Sealed {
        /// The view.
        view: u64,
    },
    /// The sender knows a newer view.
    NewView {
        /// Its number.
        view: u64,
    },
}

/// What a request may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is the first under its key: run it, then report its end.
    Run,
    /// An earlier attempt ran: return its answer.
    Replay(Answer),
    /// It must not run.
    Refuse(verdict::Verdict, verdict::Reason),
}

/// An input of [`crate::once::node::Once`].
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; due every few tens of milliseconds.
    Tick,
    /// The roster, whenever it changes.
    Roster(Vec<roster::NodeId>),
    /// A request with a key arrived.
    Ask {
        /// A number that this process never uses twice.
        number: u64,
        /// The key.
        key: Key,
        /// Hash of method, path and body.
        fingerprint: u64,
        /// When the caller gives up.
        deadline: clock::Instant,
    },
    /// A request that was told to run has ended, or the caller left before the decision.
    End {
        /// The request's number.
        number: u64,
        /// How it ended.
        end: End,
    },
    /// A message from another node.
    Peer {
        /// The sender.
        from: roster::NodeId,
        /// The message.
        message: Message,
    },
    /// The reply to [`Output::ReadRow`].
    Row {
        /// The row's key.
        key: id::Key,
        /// The row, if there is one.
        row: Option<platform::Row>,
    },
    /// The reply to [`Output::Scan`].
    Rows {
        /// The view that was asked with.
        view: u64,
        /// The prefix that was asked for.
        prefix: String,
        /// The key after which the answer begins.
        after: Option<id::Key>,
        /// The rows; none say that there are no more.
        rows: Vec<platform::Row>,
    },
    /// The process is about to end: nothing more is granted from memory, and the view will say so.
    Leave,
    /// The outcome of [`Output::Transact`].
    Outcome {
        /// Its token.
        token: u64,
        /// The outcome; `Unknown` only if it could not be settled.
        outcome: platform::Outcome,
    },
}

/// An output of [`crate::once::node::Once`].
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: roster::NodeId,
        /// The message.
        message: Message,
    },
    /// Commit a transaction and report its outcome.
    Transact {
        /// Names the transaction.
        token: u64,
        /// The transaction.
        txn: platform::Txn,
    },
    /// Read a row; a read that fails is not reported and asked for again.
    ReadRow {
        /// The row's key.
        key: id::Key,
    },
    /// Read up to `limit` rows; a read that fails is not reported and asked for again.
    Scan {
        /// The view, to be returned with the rows.
        view: u64,
        /// The prefix of their keys.
        prefix: String,
        /// Only rows after this key.
        after: Option<id::Key>,
        /// The most rows to return.
        limit: usize,
    },
    /// Tell a request what it may do.
    Decide {
        /// The request's number.
        number: u64,
        /// The decision.
        decision: Decision,
    },
}
