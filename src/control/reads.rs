//! Reads of the table: rate-limited, deduplicated by purpose, and reduced while the table is unavailable.

use std::collections::VecDeque;

use rand::Rng;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::clock;
use crate::id;
use crate::journal;
use crate::roster;

slotmap::new_key_type! {
    /// Identifies a read that waits for its reply.
    pub struct ReadId;
}

/// The rows that a read requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// One row.
    Row(id::Key),
    /// All rows with a prefix.
    Range(String),
}

/// The reason for a read, which selects the handler of its rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// The head.
    Head,
    /// The head, for an edit.
    HeadForEdit,
    /// A changed row, to reach a head.
    Changed { head: u64, key: id::Key },
    /// The roster, before all documents are read to reach a head.
    Roster { head: u64 },
    /// All documents.
    Documents { head: u64 },
    /// All duties.
    Duties,
    /// The journal row of a lease holder.
    LeaseHolder(roster::NodeId),
    /// This node's journal row.
    Journal(journal::Attempt, id::Key),
}

impl Purpose {
    fn read(&self) -> Read {
        match self {
            Self::Head | Self::HeadForEdit => Read::Row(id::Key::new(crate::config::HEAD_KEY)),
            Self::Changed { key, .. } | Self::Journal(_, key) => Read::Row(key.clone()),
            Self::Roster { .. } => Read::Row(id::Key::new(roster::KEY)),
            Self::Documents { .. } => Read::Range(String::from(crate::config::DOCUMENT_PREFIX)),
            Self::Duties => Read::Range(String::from(crate::lease::prefix())),
            Self::LeaseHolder(node) => Read::Row(journal::key(node)),
        }
    }

    /// Returns true for reads that other work waits for; they are sent first.
    fn is_urgent(&self) -> bool {
        matches!(self, Self::Head | Self::HeadForEdit | Self::Journal(..))
    }
}

/// Counts of the table reads, since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads sent.
    pub sent: u64,
    /// Reads that failed or timed out.
    pub failed: u64,
}

/// A read that waits for its reply.
#[derive(Debug)]
struct InFlight {
    purpose: Purpose,
    sent_at: clock::Instant,
}

/// The queued reads and the reads in flight.
#[derive(Debug)]
pub(super) struct Reads {
    waiting: VecDeque<Purpose>,
    sent: SlotMap<ReadId, InFlight>,
    pacer: journal::pacing::Pacer,
    breaker: journal::breaker::Breaker,
    counters: Counters,
}

impl Reads {
    pub(super) fn new(now: clock::Instant) -> Self {
        Self {
            waiting: VecDeque::new(),
            sent: SlotMap::with_key(),
            pacer: journal::pacing::Pacer::new(journal::pacing::READS_PER_S_MAX, now),
            breaker: journal::breaker::Breaker::default(),
            counters: Counters::default(),
        }
    }

    pub(super) fn set_roster_size(&mut self, nodes: usize) {
        self.pacer.set_node_count(nodes);
        self.breaker.set_node_count(nodes);
    }

    /// Queues a read, unless the same one is already queued or in flight.
    pub(super) fn request(&mut self, purpose: Purpose) {
        let in_flight = self.sent.values().any(|sent| sent.purpose == purpose);
        if in_flight || self.waiting.contains(&purpose) {
            return;
        }
        if purpose.is_urgent() {
            self.waiting.push_front(purpose);
        } else {
            self.waiting.push_back(purpose);
        }
    }

    pub(super) fn poll(&mut self, now: clock::Instant) -> Option<(ReadId, Read)> {
        let busy = self.breaker.is_open() && !self.sent.is_empty();
        if busy || now < self.ready_at(now) {
            return None;
        }
        let purpose = self.waiting.pop_front()?;
        self.pacer.take(now);
        self.counters.sent += 1;
        let read = purpose.read();
        let id = self.sent.insert(InFlight {
            purpose,
            sent_at: now,
        });
        Some((id, read))
    }

    /// Returns the earliest time at which the next read can be sent; `None` while no read is queued.
    pub(super) fn wake_at(&self, now: clock::Instant) -> Option<clock::Instant> {
        (!self.waiting.is_empty()).then(|| self.ready_at(now))
    }

    /// Removes a completed read; returns its purpose and when it was sent.
    pub(super) fn complete<R>(
        &mut self,
        now: clock::Instant,
        rng: &mut R,
        id: ReadId,
        succeeded: bool,
    ) -> Option<(Purpose, clock::Instant)>
    where
        R: Rng,
    {
        let sent = self.sent.remove(id)?;
        if !succeeded {
            self.counters.failed += 1;
            self.breaker.on_failure(now, rng);
        } else if self.breaker.on_success() {
            self.pacer.restart(now, rng);
        }
        Some((sent.purpose, sent.sent_at))
    }

    pub(super) fn counters(&self) -> Counters {
        self.counters
    }

    fn ready_at(&self, now: clock::Instant) -> clock::Instant {
        self.breaker.ready_at().max(self.pacer.ready_at(now))
    }
}
