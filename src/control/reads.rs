//! Reads of the table: paced, one of a kind at a time, and few while the table is out.

use std::collections::VecDeque;

use rand::Rng;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::clock;
use crate::id;
use crate::journal;
use crate::roster;

slotmap::new_key_type! {
    /// Names a read that waits for its reply.
    pub struct ReadId;
}

/// What is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// One row.
    Row(id::Key),
    /// All rows with a prefix.
    Range(String),
}

/// Why it is read.
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
    /// A holder's journal row.
    Holder(roster::NodeId),
    /// The own journal row.
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
            Self::Holder(node) => Read::Row(journal::key(node)),
        }
    }

    /// Reads that others wait for go first.
    fn is_urgent(&self) -> bool {
        matches!(self, Self::Head | Self::HeadForEdit | Self::Journal(..))
    }
}

/// What was read and what came of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads sent.
    pub sent: u64,
    /// Reads that failed or timed out.
    pub failed: u64,
}

/// A read on its way.
#[derive(Debug)]
struct Sent {
    purpose: Purpose,
    sent_at: clock::Instant,
}

/// The reads that are wanted and those on their way.
#[derive(Debug)]
pub(super) struct Reads {
    waiting: VecDeque<Purpose>,
    sent: SlotMap<ReadId, Sent>,
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

    /// Wants a read, unless the same one is wanted or on its way already.
    pub(super) fn want(&mut self, purpose: Purpose) {
        let on_its_way = self.sent.values().any(|sent| sent.purpose == purpose);
        if on_its_way || self.waiting.contains(&purpose) {
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
        let id = self.sent.insert(Sent {
            purpose,
            sent_at: now,
        });
        Some((id, read))
    }

    /// The next moment at which a read may be sent; `None` while nothing is wanted.
    pub(super) fn wake_at(&self, now: clock::Instant) -> Option<clock::Instant> {
        (!self.waiting.is_empty()).then(|| self.ready_at(now))
    }

    /// Ends a read; returns its purpose and when it was sent.
    pub(super) fn done<R>(
        &mut self,
        now: clock::Instant,
        rng: &mut R,
        id: ReadId,
        answered: bool,
    ) -> Option<(Purpose, clock::Instant)>
    where
        R: Rng,
    {
        let sent = self.sent.remove(id)?;
        if !answered {
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
