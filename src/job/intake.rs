//! An entry node's side of jobs: group commit of submissions, cancellations and removals.
//!
//! A submission is answered when its row is committed. One that is refused never left this node, so it
//! was not stored. Batch work can fill only a part of the queue, so that a flood of it leaves room for
//! urgent work.

use std::collections::{BTreeMap, HashSet, VecDeque};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{inbox, row, spec};
use crate::clock;
use crate::document;
use crate::id;
use crate::platform;

/// Key of the row in which the holder publishes how many jobs are queued.
pub const BACKLOG_KEY: &str = "job-backlog";
/// Requests that one transaction takes; each may write one row, and all share one inbox row.
const REQUESTS_PER_TXN: usize = platform::TXN_ROWS_MAX / 2 - 1;
/// Least time between two transactions of one node, in milliseconds.
const COMMIT_INTERVAL_MS: u64 = 50;
/// Requests that may wait on one node.
const WAITING_MAX: usize = 4_096;
/// Requests that may wait while the next one is not urgent.
const WAITING_NOT_URGENT_MAX: usize = WAITING_MAX / 2;
/// Longest time that a request waits before it is refused, in milliseconds.
const WAIT_MS: u64 = 4 * clock::SECOND_MS;
/// Queued jobs of one team beyond which its submissions are refused.
const TEAM_QUEUED_MAX: u64 = 20_000;

/// A caller that waits for an answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(pub u64);

/// A transaction that waits for its outcome.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// Why a request was refused; it was not stored.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Refusal {
    /// Too many requests wait on this node.
    QueueFull,
    /// Too many jobs of the team are queued.
    TeamQueueFull,
    /// The table took no transactions in time.
    StoreTimeout,
    /// The submission is malformed.
    Malformed,
    /// The key was used for another job.
    KeyMismatch,
    /// The job belongs to another team.
    NotOwner,
    /// No such job.
    UnknownJob,
}

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Committed.
    Accepted,
    /// A job with this id exists: read its row and compare by [`compare`].
    Exists,
    /// Not stored.
    Refused(Refusal),
    /// May have been stored; the caller repeats it with the same key.
    Unknown,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send the transaction and report its settled outcome.
    Commit {
        /// Names it in [`Intake::settled`].
        token: Token,
        /// The transaction.
        txn: platform::Txn,
    },
    /// Answer a caller.
    Answer {
        /// The caller.
        caller: Caller,
        /// The answer.
        answer: Answer,
    },
    /// Tell the holder of the jobs duty to read its inbox now; it may be lost.
    Nudge,
}

/// How many jobs are queued, as the holder last published it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// By team.
    pub queued: BTreeMap<id::Team, u64>,
}

#[derive(Clone, Debug)]
enum Request {
    Submit(Box<row::Row>),
    Note(inbox::Entry),
}

#[derive(Clone, Debug)]
struct Waiting {
    caller: Caller,
    job: id::Job,
    since: clock::Instant,
    urgent: bool,
    request: Request,
}

#[derive(Clone, Debug)]
struct InFlight {
    token: Token,
    requests: Vec<Waiting>,
}

/// The submissions, cancellations and removals of one entry node.
#[derive(Clone, Debug)]
pub struct Intake {
    node: id::Node,
    incarnation: String,
    sequence: u64,
    waiting: VecDeque<Waiting>,
    in_flight: Option<InFlight>,
    backlog: Backlog,
    batch_max: usize,
    next_commit: clock::Instant,
}

impl Intake {
    /// Makes the intake of a node's incarnation.
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

    /// Takes the holder's published backlog.
    pub fn set_backlog(&mut self, backlog: Backlog) {
        self.backlog = backlog;
    }

    /// Requests that wait or are in flight.
    pub fn len(&self) -> usize {
        let in_flight = self.in_flight.as_ref();
        self.waiting.len() + in_flight.map_or(0, |sent| sent.requests.len())
    }

    /// True if no request waits or is in flight.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a submission.
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
        let waiting = Waiting {
            caller,
            job: spec.job(),
            since: now,
            urgent,
            request: Request::Submit(Box::new(row::Row::new(spec, now_unix_ms))),
        };
        self.push(now, waiting)
    }

    /// Takes a cancellation or removal that [`owner_request`] allowed.
    pub fn note(
        &mut self,
        now: clock::Instant,
        caller: Caller,
        entry: inbox::Entry,
    ) -> Vec<Output> {
        if self.waiting.len() >= WAITING_MAX {
            return vec![refused(caller, Refusal::QueueFull)];
        }
        let waiting = Waiting {
            caller,
            job: entry.job().clone(),
            since: now,
            urgent: false,
            request: Request::Note(entry),
        };
        self.push(now, waiting)
    }

    /// Refuses what has waited too long, and sends what waits.
    pub fn tick(&mut self, now: clock::Instant) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.waiting.retain(|waiting| {
            let late = now.since_ms(waiting.since) >= WAIT_MS;
            if late {
                outputs.push(refused(waiting.caller, Refusal::StoreTimeout));
            }
            !late
        });
        outputs.extend(self.flush(now));
        outputs
    }

    /// Takes the settled outcome of a transaction.
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
            platform::Outcome::Refused(refused) => self.eject(sent.requests, &refused.key),
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

    fn push(&mut self, now: clock::Instant, waiting: Waiting) -> Vec<Output> {
        self.waiting.push_back(waiting);
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

    /// Takes the urgent requests first; two submissions of one job never share a transaction.
    fn take_batch(&mut self) -> Vec<Waiting> {
        let mut batch: Vec<Waiting> = Vec::new();
        let mut jobs = HashSet::new();
        for urgent in [true, false] {
            let mut rest = VecDeque::with_capacity(self.waiting.len());
            for waiting in self.waiting.drain(..) {
                let room = batch.len() < self.batch_max;
                let next = waiting.urgent == urgent && room;
                if next && jobs.insert(waiting.job.clone()) {
                    batch.push(waiting);
                } else {
                    rest.push_back(waiting);
                }
            }
            self.waiting = rest;
        }
        batch
    }

    fn txn(&self, requests: &[Waiting]) -> platform::Txn {
        let mut txn = platform::Txn::default();
        let mut entries = Vec::with_capacity(requests.len());
        for waiting in requests {
            match &waiting.request {
                Request::Submit(row) => {
                    let key = spec::row_key(&waiting.job);
                    txn.checks.push(platform::Check {
                        key: key.clone(),
                        version: 0,
                    });
                    txn.writes.push(platform::Write {
                        key,
                        value: Some(to_json(row.as_ref())),
                    });
                    entries.push(inbox::Entry::Submitted(waiting.job.clone()));
                }
                Request::Note(entry) => entries.push(entry.clone()),
            }
        }
        txn.writes.push(platform::Write {
            key: inbox::row_key(&self.node, &self.incarnation, self.sequence),
            value: Some(to_json(&entries)),
        });
        txn
    }

    fn committed(&mut self, requests: Vec<Waiting>) -> Vec<Output> {
        self.batch_max = (self.batch_max * 2).min(REQUESTS_PER_TXN);
        let mut outputs = answer_all(&requests, Answer::Accepted);
        outputs.push(Output::Nudge);
        outputs
    }

    /// Answers the submission whose row exists already and sends the others again, in smaller
    /// batches, so that many repeats don't hold up what is new.
    fn eject(&mut self, requests: Vec<Waiting>, key: &id::Key) -> Vec<Output> {
        self.batch_max = (requests.len() / 2).max(1);
        let mut outputs = Vec::new();
        for waiting in requests.into_iter().rev() {
            let exists = waiting.is_submission() && spec::row_key(&waiting.job) == *key;
            if exists {
                outputs.extend(answer_all(&[waiting], Answer::Exists));
            } else {
                self.waiting.push_front(waiting);
            }
        }
        self.next_commit = clock::Instant::ZERO;
        outputs
    }
}

impl Waiting {
    fn is_submission(&self) -> bool {
        matches!(self.request, Request::Submit(_))
    }
}

/// Tells a repeated submission from another job under the same key.
///
/// # Errors
///
/// [`Refusal::KeyMismatch`] if the row holds another job.
pub fn compare(row: &row::Row, submitted: &spec::Spec) -> Result<(), Refusal> {
    if row.spec == *submitted {
        Ok(())
    } else {
        Err(Refusal::KeyMismatch)
    }
}

/// What an owner's deletion of a job asks of the holder: to remove one that has ended, to cancel any other.
///
/// # Errors
///
/// [`Refusal::NotOwner`] if the team is not the job's.
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

/// Writes a row's content; the types of this slice can always be written.
pub(crate) fn to_json<T>(value: &T) -> String
where
    T: Serialize,
{
    serde_json::to_string(value).expect("only maps with text keys are written")
}

fn refused(caller: Caller, refusal: Refusal) -> Output {
    Output::Answer {
        caller,
        answer: Answer::Refused(refusal),
    }
}

fn answer_all(requests: &[Waiting], answer: Answer) -> Vec<Output> {
    requests
        .iter()
        .map(|waiting| Output::Answer {
            caller: waiting.caller,
            answer,
        })
        .collect()
}
