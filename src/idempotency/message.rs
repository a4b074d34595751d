//! Messages between nodes, the types that they carry, and the inputs and outputs of the state machine.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::id;
use crate::idempotency::hash;
use crate::idempotency::view;
use crate::platform;
use crate::roster;
use crate::verdict;

/// Prefix of the keys of all claim rows in the platform's table.
const ROW_PREFIX: &str = "key";

/// An idempotency key within its service.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{service}/{text}")]
pub struct Key {
    /// The service that the request addresses.
    pub service: id::Service,
    /// The value of the caller's `Idempotency-Key` header.
    pub text: id::Key,
}

impl Key {
    /// Returns the shard that the key hashes to.
    pub fn shard(&self) -> view::Shard {
        let bits = hash::of(&[
            self.service.as_str().as_bytes(),
            self.text.as_str().as_bytes(),
        ]);
        view::Shard::new(bits)
    }

    /// Returns the key of its row in the table.
    pub fn row_key(&self) -> id::Key {
        id::Key::from(format!("{}{}", row_prefix(self.shard()), self))
    }

    /// Parses the key from its row's key; `None` if the row is not a claim.
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

/// Returns the prefix of the row keys of a shard.
pub fn row_prefix(shard: view::Shard) -> String {
    format!("{ROW_PREFIX}/{shard}/")
}

/// Identifies one attempt at a key; never reused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The node that received the request.
    #[serde(rename = "asker")]
    pub requester: roster::NodeId,
    /// A number that the incarnation of the requester never reuses.
    pub number: u64,
}

/// The claim of an attempt on its key, requested or granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt that makes the claim.
    pub id: ClaimId,
    /// The claimed key.
    pub key: Key,
    /// Hash of the request's method, path and body.
    pub fingerprint: u64,
}

/// A small answer that is stored and returned to repeated requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The content type; `None` if the endpoint sent none.
    pub content_type: Option<String>,
    /// The body; an answer whose body is not UTF-8 is not stored.
    pub body: String,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The attempt is known not to have run; the key is free again.
    NotRun,
    /// The endpoint answered; the answer is stored if it is small.
    Ran(Option<Answer>),
    /// The request was sent, but no complete answer arrived.
    MayHaveRun,
}

impl End {
    /// Returns the size of the stored answer's body, in bytes.
    pub fn answer_bytes(&self) -> usize {
        match self {
            Self::Ran(Some(answer)) => answer.body.len(),
            Self::Ran(None) | Self::NotRun | Self::MayHaveRun => 0,
        }
    }

    /// Drops the stored answer.
    pub fn drop_answer(&mut self) {
        if let Self::Ran(answer) = self {
            *answer = None;
        }
    }
}

/// The content of a claim's row, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowValue {
    /// The attempt that holds the key.
    pub id: ClaimId,
    /// Hash of the method, path and body of its request.
    pub fingerprint: u64,
    /// How the attempt ended; `None` if that is not known.
    pub end: Option<End>,
}

/// The owner's reply to a claim request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The claim is granted; the attempt can start.
    Granted,
    /// Another attempt at the key is in progress.
    InProgress,
    /// An earlier attempt at the key may have run.
    MayHaveRun,
    /// The key was used for a request with another fingerprint.
    Mismatch,
    /// An earlier attempt ran; carries its answer if that was stored.
    Ran(Option<Answer>),
    /// The owner has reached its limit of keys.
    Full,
}

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a claim from the key's owner.
    #[serde(rename = "Ask")]
    ClaimRequest {
        /// The number of the view that determined the owner.
        view: u64,
        /// The requested claim.
        claim: Claim,
    },
    /// The owner's reply to [`Message::ClaimRequest`].
    Reply {
        /// The attempt that requested the claim.
        id: ClaimId,
        /// The owner's decision.
        reply: Reply,
    },
    /// Reports to the owner how an attempt ended.
    Ended {
        /// The number of the view that determined the owner.
        view: u64,
        /// The claim of the attempt.
        claim: Claim,
        /// How the attempt ended.
        end: End,
    },
    /// The owner has received the end of the attempt, which is not in the table yet.
    #[serde(rename = "Noted")]
    EndReceived {
        /// The attempt that ended.
        id: ClaimId,
    },
    /// The claims are in the table, or their keys are free again; replicas of them can be deleted.
    #[serde(rename = "Written")]
    DeleteReplicas {
        /// The attempts that made the claims.
        ids: Vec<ClaimId>,
    },
    /// The end of the attempt is committed to the table, or needs no row.
    #[serde(rename = "Settled")]
    EndCommitted {
        /// The attempt that ended.
        id: ClaimId,
    },
    /// Asks a member to store a replica of a claim that is to be granted from memory.
    #[serde(rename = "Hold")]
    Replicate {
        /// The number of the view in which the claim is to be granted.
        view: u64,
        /// The claim to store.
        claim: Claim,
    },
    /// The sender has stored a replica of the claim.
    #[serde(rename = "Held")]
    Replicated {
        /// The attempt that made the claim.
        id: ClaimId,
    },
    /// Asks a member to stop granting claims from memory in a view that is about to be replaced.
    Seal {
        /// The number of the view to seal.
        view: u64,
    },
    /// The sender grants and replicates no more claims from memory in this view, and its replicas are in the table.
    Sealed {
        /// The number of the sealed view.
        view: u64,
    },
    /// Reports that the sender knows a newer view.
    NewView {
        /// The number of the newer view.
        view: u64,
    },
}

/// Whether a request can run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request holds the claim on its key: run it, then report its end.
    Run,
    /// An earlier attempt ran: return its stored answer.
    Replay(Answer),
    /// The request must not run; carries the verdict and reason to return.
    Refuse(verdict::Verdict, verdict::Reason),
}

/// An input of [`crate::idempotency::node::Node`].
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; expected every few tens of milliseconds.
    Tick,
    /// The members of the roster, whenever they change.
    Roster(Vec<roster::NodeId>),
    /// A keyed request arrived.
    Request {
        /// A number that this process never reuses.
        number: u64,
        /// The idempotency key.
        key: Key,
        /// Hash of the request's method, path and body.
        fingerprint: u64,
        /// The caller's deadline.
        deadline: clock::Instant,
    },
    /// A request that was allowed to run has ended, or its caller disconnected before the decision.
    End {
        /// The number of the request.
        number: u64,
        /// How the request ended.
        end: End,
    },
    /// A message from another node.
    Peer {
        /// The node that sent the message.
        from: roster::NodeId,
        /// The received message.
        message: Message,
    },
    /// The reply to [`Output::ReadRow`].
    Row {
        /// The key of the row.
        key: id::Key,
        /// The row; `None` if it does not exist.
        row: Option<platform::Row>,
    },
    /// The reply to [`Output::Scan`].
    Rows {
        /// The number of the view given with the scan.
        view: u64,
        /// The prefix given with the scan.
        prefix: String,
        /// The key given with the scan; the rows follow it.
        after: Option<id::Key>,
        /// The rows found; empty if there are no more.
        rows: Vec<platform::Row>,
    },
    /// The process is shutting down: it grants no more claims from memory and records its departure in the view.
    Leave,
    /// The outcome of [`Output::Transact`].
    Outcome {
        /// The token of the transaction.
        token: u64,
        /// The outcome; `Unknown` only if it could not be determined.
        outcome: platform::Outcome,
    },
}

/// An output of [`crate::idempotency::node::Node`].
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message; delivery is not guaranteed.
    Send {
        /// The node that receives the message.
        to: roster::NodeId,
        /// The message to send.
        message: Message,
    },
    /// Commit a transaction and report its outcome.
    Transact {
        /// Identifies the transaction in its outcome.
        token: u64,
        /// The transaction to commit.
        txn: platform::Txn,
    },
    /// Read a row; a failed read is not reported, and the read is requested again later.
    ReadRow {
        /// The key of the row.
        key: id::Key,
    },
    /// Read up to `limit` rows; a failed read is not reported, and the read is requested again later.
    Scan {
        /// The number of the view, to be returned with the rows.
        view: u64,
        /// The prefix of the row keys.
        prefix: String,
        /// Start after this key; `None` to start with the first row.
        after: Option<id::Key>,
        /// The maximum number of rows to return.
        limit: usize,
    },
    /// Pass the decision to a waiting request.
    Decide {
        /// The number of the request.
        number: u64,
        /// Whether the request can run.
        decision: Decision,
    },
}
