//! Group commit of submissions, cancellations and removals on an entry node.
//!
//! A submission is accepted only once its row is committed. A refused submission is in no
//! transaction that can commit, so it is not stored. Non-urgent work can fill only a part of the
//! queue, so that an overload of batch work leaves capacity for urgent work.

use std::collections::{BTreeMap, HashSet, VecDeque};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{inbox, row, spec};
use crate::clock;
use crate::document;
use crate::id;
use crate::platform;

/// Key of the row in which the leader publishes how many jobs are queued.
pub const BACKLOG_KEY: &str = "job-backlog";
/// Maximum number of requests in one transaction; each can write one row, and all share one inbox
/// row.
const REQUESTS_PER_TXN: usize = platform::TXN_ROWS_MAX / 2 - 1;
/// Minimum interval between two transactions of a node, in milliseconds.
const COMMIT_INTERVAL_MS: u64 = 50;
/// Maximum number of requests that wait on a node.
const WAITING_MAX: usize = 4_096;
/// Number of waiting requests from which requests that are not urgent are refused.
const WAITING_NOT_URGENT_MAX: usize = WAITING_MAX / 2;
/// Maximum time that a request waits before it is refused, in milliseconds.
const WAIT_MAX_MS: u64 = 4 * clock::SECOND_MS;
/// Number of queued jobs of a team from which its submissions are refused.
const TEAM_QUEUED_MAX: u64 = 20_000;

/// Identifies a caller that waits for an answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(pub u64);

/// Identifies a transaction whose outcome is pending.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// Reason why a request was refused; a refused request is not stored.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Refusal {
    /// Too many requests wait on this node.
    QueueFull,
    /// Too many jobs of the team are queued.
    TeamQueueFull,
    /// The table accepted no transaction in time.
    StoreTimeout,
    /// The submission is malformed.
    Malformed,
    /// The key is already in use for a different job.
    KeyMismatch,
    /// The job belongs to another team.
    NotOwner,
    /// The job does not exist.
    UnknownJob,
}

/// Answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request is committed.
    Accepted,
    /// A job with this id exists; read its row and check it with [`verify_same_spec`].
    Exists,
    /// The request was refused and is not stored.
    Refused(Refusal),
    /// The request may have been stored; the caller retries it with the same key.
    Unknown,
}

/// Action that the caller of [`Batcher`] carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send the transaction and report its settled outcome.
    Commit {
        /// Identifies the transaction in [`Batcher::settled`].
        token: Token,
        /// Transaction to send.
        txn: platform::Txn,
    },
    /// Answer a caller.
    Answer {
        /// Caller that submitted the request.
        caller: Caller,
        /// Answer to its request.
        answer: Answer,
    },
    /// Notify the leader of the jobs duty to read its inbox now; the notification can be lost, and
    /// the leader also reads the inbox periodically.
    NotifyLeader,
}

/// Numbers of queued jobs, as last published by the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// Number of queued jobs by team.
    pub queued: BTreeMap<id::Team, u64>,
}

#[derive(Clone, Debug)]
enum Request {
    Submit(Box<row::Row>),
    CancelOrRemove(inbox::Entry),
}

#[derive(Clone, Debug)]
struct PendingRequest {
    caller: Caller,
    job: id::Job,
    since: clock::Instant,
    urgent: bool,
    request: Request,
}

#[derive(Clone, Debug)]
struct InFlight {
    token: Token,
    requests: Vec<PendingRequest>,
}

/// Queue of the submissions, cancellations and removals of one entry node, with one transaction in
/// flight.
#[derive(Clone, Debug)]
pub struct Batcher {
    node: id::Node,
    incarnation: String,
    sequence: u64,
    waiting: VecDeque<PendingRequest>,
    in_flight: Option<InFlight>,
    backlog: Backlog,
    batch_max: usize,
    next_commit: clock::Instant,
}

impl Batcher {
    /// Creates an empty queue for an incarnation of a node; the incarnation makes its inbox keys
    /// unique.
    pub fn new(node: id::Node, incarnation: String) -> Self {
        Self {
            node,
            incarnation,
            sequence: 0,
            waiting: VecDeque::new(),
            in_flight: None,
            backlog: Backlog::default(),
            batch_max: REQUESTS_PER_TXN,
            next_commit: clock::Instant::ZERO,
        }
    }

    /// Replaces the backlog with the one last published by the leader.
    pub fn set_backlog(&mut self, backlog: Backlog) {
        self.backlog = backlog;
    }

    /// Returns the number of requests that wait or are in flight.
    pub fn len(&self) -> usize {
        let in_flight = self.in_flight.as_ref();
        self.waiting.len() + in_flight.map_or(0, |sent| sent.requests.len())
    }

    /// Returns true if no request waits or is in flight.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Enqueues a submission, or refuses it if it is malformed or a queue is full.
    pub fn submit(
        &mut self,
        now: clock::Instant,
        now_unix_ms: u64,
        caller: Caller,
        spec: spec::Spec,
    ) -> Vec<Output> {
        let urgent = spec.urgency == document::Urgency::Urgent;
        if let Some(refusal) = self.refusal(&spec, urgent) {
            return vec![refused(caller, refusal)];
        }
        let pending = PendingRequest {
            caller,
            job: spec.job(),
            since: now,
            urgent,
            request: Request::Submit(Box::new(row::Row::new(spec, now_unix_ms))),
        };
        self.push(now, pending)
    }

    /// Enqueues a cancellation or removal that [`owner_request`] allowed.
    pub fn cancel_or_remove(
        &mut self,
        now: clock::Instant,
        caller: Caller,
        entry: inbox::Entry,
    ) -> Vec<Output> {
        if self.waiting.len() >= WAITING_MAX {
            return vec![refused(caller, Refusal::QueueFull)];
        }
        let pending = PendingRequest {
            caller,
            job: entry.job().clone(),
            since: now,
            urgent: false,
            request: Request::CancelOrRemove(entry),
        };
        self.push(now, pending)
    }

    /// Refuses requests that have waited too long and sends the next transaction.
    pub fn tick(&mut self, now: clock::Instant) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.waiting.retain(|pending| {
            let expired = now.since_ms(pending.since) >= WAIT_MAX_MS;
            if expired {
                outputs.push(refused(pending.caller, Refusal::StoreTimeout));
            }
            !expired
        });
        outputs.extend(self.flush(now));
        outputs
    }

    /// Handles the settled outcome of a transaction.
    pub fn settled(
        &mut self,
        now: clock::Instant,
        token: Token,
        outcome: &platform::Outcome,
    ) -> Vec<Output> {
        let Some(sent) = self.in_flight.take_if(|sent| sent.token == token) else {
            return Vec::new();
        };
        let mut outputs = match outcome {
            platform::Outcome::Committed(_) => self.committed(sent.requests),
            platform::Outcome::Refused(refused) => {
                self.handle_conflict(sent.requests, &refused.key)
            }
            platform::Outcome::Unknown => answer_all(&sent.requests, Answer::Unknown),
        };
        outputs.extend(self.flush(now));
        outputs
    }

    fn refusal(&self, spec: &spec::Spec, urgent: bool) -> Option<Refusal> {
        if spec.validate().is_err() {
            return Some(Refusal::Malformed);
        }
        let limit = if urgent {
            WAITING_MAX
        } else {
            WAITING_NOT_URGENT_MAX
        };
        if self.waiting.len() >= limit {
            return Some(Refusal::QueueFull);
        }
        let queued = self.backlog.queued.get(&spec.team).copied().unwrap_or(0);
        (queued >= TEAM_QUEUED_MAX).then_some(Refusal::TeamQueueFull)
    }

    fn push(&mut self, now: clock::Instant, pending: PendingRequest) -> Vec<Output> {
        self.waiting.push_back(pending);
        self.flush(now)
    }

    fn flush(&mut self, now: clock::Instant) -> Vec<Output> {
        if self.in_flight.is_some() || self.waiting.is_empty() || now < self.next_commit {
            return Vec::new();
        }
        let requests = self.take_batch();
        let token = Token(self.sequence);
        let txn = self.txn(&requests);
        self.sequence += 1;
        self.next_commit = now.after_ms(COMMIT_INTERVAL_MS);
        self.in_flight = Some(InFlight { token, requests });
        vec![Output::Commit { token, txn }]
    }

    /// Removes the next batch from the queue, urgent requests first; two requests for one job never
    /// share a transaction.
    fn take_batch(&mut self) -> Vec<PendingRequest> {
        let mut batch: Vec<PendingRequest> = Vec::new();
        let mut jobs = HashSet::new();
        for urgent in [true, false] {
            let mut remaining = VecDeque::with_capacity(self.waiting.len());
            for pending in self.waiting.drain(..) {
                let has_capacity = batch.len() < self.batch_max;
                let next = pending.urgent == urgent && has_capacity;
                if next && jobs.insert(pending.job.clone()) {
                    batch.push(pending);
                } else {
                    remaining.push_back(pending);
                }
            }
            self.waiting = remaining;
        }
        batch
    }

    fn txn(&self, requests: &[PendingRequest]) -> platform::Txn {
        let mut txn = platform::Txn::default();
        let mut entries = Vec::with_capacity(requests.len());
        for pending in requests {
            match &pending.request {
                Request::Submit(row) => {
                    let key = spec::row_key(&pending.job);
                    txn.checks.push(platform::Check {
                        key: key.clone(),
                        version: 0,
                    });
                    txn.writes.push(platform::Write {
                        key,
                        value: Some(to_json(row.as_ref())),
                    });
                    entries.push(inbox::Entry::Submitted(pending.job.clone()));
                }
                Request::CancelOrRemove(entry) => entries.push(entry.clone()),
            }
        }
        txn.writes.push(platform::Write {
            key: inbox::row_key(&self.node, &self.incarnation, self.sequence),
            value: Some(to_json(&entries)),
        });
        txn
    }

    fn committed(&mut self, requests: Vec<PendingRequest>) -> Vec<Output> {
        self.batch_max = (self.batch_max * 2).min(REQUESTS_PER_TXN);
        let mut outputs = answer_all(&requests, Answer::Accepted);
        outputs.push(Output::NotifyLeader);
        outputs
    }

    /// Answers the submission whose row already exists and queues the others again.
    ///
    /// The next batches are smaller, so that many repeated submissions do not delay new ones.
    fn handle_conflict(&mut self, requests: Vec<PendingRequest>, key: &id::Key) -> Vec<Output> {
        self.batch_max = (requests.len() / 2).max(1);
        let mut outputs = Vec::new();
        for pending in requests.into_iter().rev() {
            let exists = pending.is_submission() && spec::row_key(&pending.job) == *key;
            if exists {
                outputs.extend(answer_all(&[pending], Answer::Exists));
            } else {
                self.waiting.push_front(pending);
            }
        }
        self.next_commit = clock::Instant::ZERO;
        outputs
    }
}

impl PendingRequest {
    fn is_submission(&self) -> bool {
        matches!(self.request, Request::Submit(_))
    }
}

/// Distinguishes a repeated submission from a different job under the same key.
///
/// # Errors
///
/// Returns [`Refusal::KeyMismatch`] if the row holds a different job.
pub fn verify_same_spec(row: &row::Row, submitted: &spec::Spec) -> Result<(), Refusal> {
    if row.spec == *submitted {
        Ok(())
    } else {
        Err(Refusal::KeyMismatch)
    }
}

/// Returns the inbox entry for an owner's deletion of a job: a removal if the job has ended,
/// otherwise a cancellation.
///
/// # Errors
///
/// Returns [`Refusal::NotOwner`] if the job belongs to another team.
pub fn owner_request(row: &row::Row, team: &id::Team) -> Result<inbox::Entry, Refusal> {
    if row.spec.team != *team {
        return Err(Refusal::NotOwner);
    }
    let job = row.spec.job();
    match row.state {
        row::State::Ended(_) => Ok(inbox::Entry::Remove(job)),
        _ => Ok(inbox::Entry::Cancel(job)),
    }
}

/// Serialises the content of a row; the types of this module always serialise.
pub(crate) fn to_json<T>(value: &T) -> String
where
    T: Serialize,
{
    serde_json::to_string(value).expect("only maps with string keys are serialised")
}

fn refused(caller: Caller, refusal: Refusal) -> Output {
    Output::Answer {
        caller,
        answer: Answer::Refused(refusal),
    }
}

fn answer_all(requests: &[PendingRequest], answer: Answer) -> Vec<Output> {
    requests
        .iter()
        .map(|pending| Output::Answer {
            caller: pending.caller,
            answer,
        })
        .collect()
}
