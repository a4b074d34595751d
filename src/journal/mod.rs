//! The journal of one incarnation of a node: ordered transactions, group commit and settled outcomes.
//!
//! Every transaction that a node sends checks the version of the node's own journal row and writes that row.
//! Therefore at most one of all copies of a transaction commits, and after a later transaction commits, an earlier
//! one whose reply was lost can't. A [`Writer`] has one transaction in progress at a time; transactions that are
//! submitted meanwhile are joined into the next one.
//!
//! A commit also renews the node's duty leases, see [`crate::lease`].

pub mod breaker;
mod group;
mod message;
pub mod pacing;

use std::collections::VecDeque;

use rand::Rng;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::clock;
use crate::id;
use crate::platform;
use crate::roster;

use group::{Group, Step};
pub use message::{Counters, Error, Reply, Request, Settled, Settlement};
use message::{FencedSnafu, TooManyRowsSnafu};

slotmap::new_key_type! {
    /// Identifies a submitted transaction until it is settled.
    pub struct Token;
}

/// Identifies one request to the table; replies to older requests are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(u64);

/// The content of a journal row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number of the newest committed group of transactions.
    pub group: u64,
}

/// Maximum number of rows of one submitted transaction; one row of the platform's limit is the journal's own.
pub const ROWS_MAX: usize = platform::TXN_ROWS_MAX - 1;

/// Queues, joins and settles the transactions of one incarnation of a node.
#[derive(Debug)]
pub struct Writer {
    key: id::Key,
    version: u64,
    entries: SlotMap<Token, platform::Txn>,
    waiting: VecDeque<Token>,
    group: Option<Group>,
    next_group: u64,
    next_attempt: u64,
    renewal_requested: bool,
    fenced: bool,
    renewed_at: Option<clock::Instant>,
    pacer: pacing::Pacer,
    breaker: breaker::Breaker,
    counters: Counters,
}

impl Writer {
    /// Creates the writer of a new incarnation, whose journal row is still absent.
    ///
    /// The first transaction only creates the row. So a late duplicate of it is harmless if the row has been deleted
    /// after the node ended.
    pub fn new(node: &roster::NodeId, now: clock::Instant) -> Self {
        Self {
            key: key(node),
            version: 0,
            entries: SlotMap::with_key(),
            waiting: VecDeque::new(),
            group: Some(Group::new(1, Vec::new())),
            next_group: 3,
            next_attempt: 1,
            renewal_requested: false,
            fenced: false,
            renewed_at: None,
            pacer: pacing::Pacer::new(pacing::WRITES_PER_S_MAX, now),
            breaker: breaker::Breaker::default(),
            counters: Counters::default(),
        }
    }

    /// Divides the write budget of the system among `nodes` nodes.
    pub fn set_roster_size(&mut self, nodes: usize) {
        self.pacer.set_node_count(nodes);
        self.breaker.set_node_count(nodes);
    }

    /// Queues a transaction; its outcome is returned later as a [`Settlement`].
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooManyRows`] if it checks or writes more than [`ROWS_MAX`] rows, and [`Error::Fenced`] if
    /// this incarnation can't write any more.
    pub fn submit(&mut self, txn: platform::Txn) -> Result<Token, Error> {
        let rows = group::rows(&txn);
        if rows > ROWS_MAX {
            return TooManyRowsSnafu { rows }.fail();
        }
        if self.fenced {
            return FencedSnafu {
                key: self.key.clone(),
            }
            .fail();
        }
        let token = self.entries.insert(txn);
        self.waiting.push_back(token);
        Ok(token)
    }

    /// Removes a transaction from the queue; returns false if a copy of it was already sent.
    pub fn withdraw(&mut self, token: Token) -> bool {
        let Some(position) = self.waiting.iter().position(|waiting| *waiting == token) else {
            return false;
        };
        self.waiting.remove(position);
        self.entries.remove(token);
        true
    }

    /// Requests a commit soon, with or without transactions, to renew the leases.
    ///
    /// Has no effect while a group is in progress, because its commit renews them.
    pub fn request_renewal(&mut self) {
        self.renewal_requested |= self.group.is_none();
    }

    /// Returns the time just before the newest committed transaction was sent, from which the node's leases run.
    pub fn renewed_at(&self) -> Option<clock::Instant> {
        self.renewed_at
    }

    /// Returns the last known version of the journal row.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of transactions that are not settled.
    pub fn pending(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is unavailable.
    pub fn in_outage(&self) -> bool {
        self.breaker.is_open()
    }

    /// Returns whether another process wrote this incarnation's row; the node then has to start a new incarnation.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns the counters since the start of the writer.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns whether a transaction that is submitted now would be sent immediately.
    pub fn is_ready(&self, now: clock::Instant) -> bool {
        self.group.is_none() && now >= self.ready_at(now)
    }

    /// Returns the next time at which [`Writer::poll`] can return a request; `None` while it awaits a reply or work.
    pub fn wake_at(&self, now: clock::Instant) -> Option<clock::Instant> {
        if self.fenced {
            return None;
        }
        match &self.group {
            Some(group) if group.in_flight.is_some() => None,
            Some(_) => Some(self.ready_at(now)),
            None if self.has_work() => Some(self.ready_at(now)),
            None => None,
        }
    }

    /// Returns the request to send now, if there is one.
    pub fn poll(&mut self, now: clock::Instant) -> Option<Request> {
        if self.fenced || now < self.ready_at(now) {
            return None;
        }
        if self.group.is_none() && self.has_work() {
            self.form_group();
        }
        let attempt = Attempt(self.next_attempt);
        let group = self.group.as_mut()?;
        if group.in_flight.is_some() {
            return None;
        }
        group.in_flight = Some(attempt);
        self.next_attempt += 1;
        self.counters.requests += 1;
        let request = match group.step {
            Step::Read => Request::Read {
                attempt,
                key: self.key.clone(),
            },
            Step::Fence => {
                self.counters.fences += 1;
                let txn = group::join(&self.key, self.version, group.number + 1, &[]);
                Request::Transact { attempt, txn }
            }
            Step::Send => {
                group.first_sent_at.get_or_insert(now);
                let members: Vec<&platform::Txn> = group
                    .members
                    .iter()
                    .filter_map(|token| self.entries.get(*token))
                    .collect();
                let txn = group::join(&self.key, self.version, group.number, &members);
                Request::Transact { attempt, txn }
            }
        };
        if matches!(request, Request::Transact { .. }) {
            self.pacer.take(now);
        }
        Some(request)
    }

    /// Applies the table's reply to a request and returns the transactions that it settles.
    pub fn on_reply<R>(
        &mut self,
        now: clock::Instant,
        rng: &mut R,
        attempt: Attempt,
        reply: Reply,
    ) -> Vec<Settlement>
    where
        R: Rng,
    {
        let Some(mut group) = self.group.take_if(|group| group.in_flight == Some(attempt)) else {
            return Vec::new();
        };
        group.in_flight = None;
        match reply {
            Reply::Outcome(platform::Outcome::Unknown) => {
                self.counters.unknowns += 1;
                match group.step {
                    Step::Fence => group.fence_in_doubt = true,
                    Step::Send | Step::Read => group.in_doubt = true,
                }
                self.retry_later(now, rng, group)
            }
            Reply::ReadFailed => self.retry_later(now, rng, group),
            Reply::Outcome(platform::Outcome::Committed(committed)) => {
                self.on_response(now, rng);
                self.on_committed(group, &committed)
            }
            Reply::Outcome(platform::Outcome::Refused(refused)) => {
                self.on_response(now, rng);
                self.on_refused(group, refused)
            }
            Reply::Row(row) => {
                self.on_response(now, rng);
                self.on_row(group, row)
            }
        }
    }

    fn has_work(&self) -> bool {
        self.renewal_requested || !self.waiting.is_empty()
    }

    fn ready_at(&self, now: clock::Instant) -> clock::Instant {
        self.breaker.ready_at().max(self.pacer.ready_at(now))
    }

    fn form_group(&mut self) {
        let count = group::joinable_prefix(
            self.waiting
                .iter()
                .filter_map(|token| self.entries.get(*token)),
        );
        let members = self.waiting.drain(..count).collect();
        self.renewal_requested = false;
        self.group = Some(Group::new(self.next_group, members));
        // The number in between is reserved for the group's fence transaction.
        self.next_group += 2;
    }

    fn on_response<R>(&mut self, now: clock::Instant, rng: &mut R)
    where
        R: Rng,
    {
        if self.breaker.on_success() {
            self.pacer.restart(now, rng);
        }
    }

    fn retry_later<R>(&mut self, now: clock::Instant, rng: &mut R, group: Group) -> Vec<Settlement>
    where
        R: Rng,
    {
        self.breaker.on_failure(now, rng);
        self.group = Some(group);
        Vec::new()
    }

    fn on_committed(&mut self, group: Group, committed: &platform::Committed) -> Vec<Settlement> {
        let Some(version) = committed.versions.first() else {
            return self.read_back(group);
        };
        self.version = *version;
        match group.step {
            Step::Fence => self.finish_refused(group),
            Step::Send | Step::Read => self.finish_committed(group, Some(&committed.versions[1..])),
        }
    }

    fn on_refused(&mut self, mut group: Group, refused: platform::Refused) -> Vec<Settlement> {
        if refused.key != self.key {
            group.refusal = Some(refused);
            if group.in_doubt {
                group.step = Step::Fence;
                self.group = Some(group);
                return Vec::new();
            }
            return self.finish_refused(group);
        }
        if group.in_doubt && !group.fence_in_doubt {
            self.version = refused.version;
            return self.finish_committed(group, None);
        }
        self.read_back(group)
    }

    fn on_row(&mut self, group: Group, row: Option<platform::Row>) -> Vec<Settlement> {
        let record = row
            .as_ref()
            .and_then(|row| serde_json::from_str::<Record>(&row.value).ok());
        let (Some(row), Some(record)) = (row, record) else {
            return self.stop_writing(group);
        };
        if record.group == group.number {
            self.version = row.version;
            return self.finish_committed(group, None);
        }
        if record.group == group.number + 1 {
            self.version = row.version;
            return self.finish_refused(group);
        }
        self.stop_writing(group)
    }

    fn read_back(&mut self, mut group: Group) -> Vec<Settlement> {
        group.step = Step::Read;
        self.group = Some(group);
        Vec::new()
    }

    /// Stops writing because another process uses this incarnation; unsettled transactions stay unsettled.
    fn stop_writing(&mut self, group: Group) -> Vec<Settlement> {
        self.fenced = true;
        self.group = Some(group);
        Vec::new()
    }

    fn finish_committed(&mut self, group: Group, versions: Option<&[u64]>) -> Vec<Settlement> {
        self.counters.commits += 1;
        self.counters.unseen_commits += u64::from(versions.is_none());
        self.renewed_at = self.renewed_at.max(group.first_sent_at);
        let mut settlements = Vec::new();
        let mut offset = 0;
        for token in group.members {
            let Some(txn) = self.entries.remove(token) else {
                continue;
            };
            let end = offset + txn.writes.len();
            let settled = match versions.and_then(|versions| versions.get(offset..end)) {
                Some(versions) => Settled::Committed(platform::Committed {
                    versions: versions.to_vec(),
                }),
                None => Settled::CommittedUnseen,
            };
            offset = end;
            settlements.push(Settlement { token, settled });
            self.counters.transactions += 1;
        }
        settlements
    }

    /// Settles the members that caused the refusal and queues the others again.
    fn finish_refused(&mut self, group: Group) -> Vec<Settlement> {
        let mut settlements = Vec::new();
        let mut others = Vec::new();
        for token in group.members {
            let refused = self.entries.get(token).zip(group.refusal.as_ref());
            let refused = refused.filter(|(txn, refused)| group::is_refused_by(txn, refused));
            let Some((_, refused)) = refused else {
                others.push(token);
                continue;
            };
            let settled = Settled::Refused(refused.clone());
            settlements.push(Settlement { token, settled });
            self.entries.remove(token);
            self.counters.refusals += 1;
        }
        if !others.is_empty() {
            self.counters.regroups += 1;
        }
        for token in others.into_iter().rev() {
            self.waiting.push_front(token);
        }
        settlements
    }
}

/// Returns the key of a node's journal row.
pub fn key(node: &roster::NodeId) -> id::Key {
    id::Key::from(format!("journal/{}/{}", node.node, node.incarnation))
}
