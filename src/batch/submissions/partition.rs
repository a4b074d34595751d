//! The queue of one partition: which entries share a transaction, by which path they go, and which are given up.

use std::collections::VecDeque;

use super::{Action, Answer, BatchId, Path, Reason, Ticket, View};
use crate::batch::record;
use crate::clock;

/// Maximum number of checks and writes in a transaction, as the store allows.
const STORE_ENTRIES_MAX: usize = 100;
/// Maximum size of the values in a transaction, in bytes of base64; leaves a twentieth of the store's limit of 1 MB for the
/// names of the rows.
const VALUE_BYTES_MAX: usize = 950_000;
/// An entry that waited for this long precedes entries with earlier deadlines, in milliseconds, so that none starves.
const AGE_MAX_MS: u64 = 2_000;
/// Measured durations are used for this long, in milliseconds.
const DURATION_EXPIRY_MS: u64 = 3_000;
/// Number of measured durations that are kept.
const DURATIONS_MAX: usize = 8;
/// Maximum number of transactions of a partition in flight while they are fast. The second one saves the round trip
/// between two transactions; more would only wait at the store.
const IN_FLIGHT_FAST_MAX: usize = 2;
/// The same while they are slow: the next transaction collects what arrives meanwhile.
const IN_FLIGHT_SLOW_MAX: usize = 1;
/// Minimum age of a transaction for its response to count as overdue, in milliseconds; it then no longer delays the next.
/// Above a transaction of 0.5 s, as no slow one has been measured when the store has just become slow.
const OVERDUE_MIN_MS: u64 = 700;
/// Maximum number of calls to the writer in flight for a partition; they wait at the writer, not at the store.
pub(super) const FORWARDED_IN_FLIGHT_MAX: usize = 4;
/// Range of the pause after a refused transaction, in milliseconds; it doubles with each refusal.
const BACKOFF_MIN_MS: u64 = 40;
const BACKOFF_MAX_MS: u64 = 160;
/// After refusals for this long the next attempt goes to the writer, in milliseconds: the store may refuse this node only.
const REFUSED_FORWARD_MS: u64 = 120;
/// A partition counts as unavailable after this many refusals in a row over this time, in milliseconds. With 0.3 of all
/// calls refused at random, 2 in 1,000 submissions are given up.
const UNAVAILABLE_REFUSALS: u32 = 5;
const UNAVAILABLE_MS: u64 = 400;
/// Timeout of a read that is followed by another transaction, in milliseconds.
const READ_TIMEOUT_MS: u64 = 400;
/// Minimum time before the deadline for which a read is worth its call, in milliseconds.
const READ_MIN_MS: u64 = 20;
/// Rows are known to exist for this long, in milliseconds: several attempts of a caller, and far below the time for which
/// the rows of an ended job are kept.
const KNOWN_ROWS_EXPIRY_MS: u64 = 10_000;
/// Maximum number of known rows.
const KNOWN_ROWS_MAX: usize = 2_048;
/// Refusals before a pause of this length are not counted with later ones, in milliseconds.
const REFUSALS_EXPIRY_MS: u64 = 1_000;

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) ticket: Ticket,
    pub(super) key: record::JobKey,
    pub(super) value_bytes: usize,
    pub(super) added_at: clock::Instant,
    pub(super) deadline: clock::Instant,
    /// Whether a transaction with the entry may have been committed, or may still be.
    pub(super) may_have_run: bool,
    /// Whether the entry is sent in a transaction of its own.
    pub(super) alone: bool,
    /// Whether the entry's row is read for the last time, as the deadline leaves no time for a transaction.
    pub(super) last_read: bool,
    /// Whether the caller was answered while the entry was in flight.
    pub(super) answered: bool,
}

impl Entry {
    pub(super) fn due_at(&self) -> clock::Instant {
        self.deadline.min(self.added_at.after_ms(AGE_MAX_MS))
    }

    pub(super) fn store_entries(&self) -> usize {
        // The row, and the condition on the job's row.
        match self.key {
            record::JobKey::Accepted(_) | record::JobKey::Cancelled(_) => 2,
        }
    }
}

#[derive(Debug)]
pub(super) struct InFlight {
    pub(super) id: BatchId,
    pub(super) path: Path,
    pub(super) sent_at: clock::Instant,
    pub(super) entries: Vec<Entry>,
    /// Whether the batch was counted as slow before its response.
    pub(super) counted_slow: bool,
}

/// Durations of recent transactions.
#[derive(Debug, Default)]
pub(super) struct Durations {
    pub(super) recent: VecDeque<(clock::Instant, u64)>,
}

impl Durations {
    pub(super) fn record(&mut self, now: clock::Instant, duration_ms: u64) {
        if self.recent.len() >= DURATIONS_MAX {
            self.recent.pop_front();
        }
        self.recent.push_back((now, duration_ms));
    }

    pub(super) fn sorted(&self, now: clock::Instant) -> Vec<u64> {
        let fresh = |at: clock::Instant| now.since_ms(at) < DURATION_EXPIRY_MS;
        let recent = self.recent.iter().filter(|(at, _)| fresh(*at));
        let mut recent: Vec<u64> = recent.map(|(_, duration_ms)| *duration_ms).collect();
        recent.sort_unstable();
        recent
    }

    /// Returns the median, which a single lost response doesn't change.
    pub(super) fn median_ms(&self, now: clock::Instant) -> u64 {
        let recent = self.sorted(now);
        recent.get(recent.len() / 2).copied().unwrap_or(0)
    }

    /// Returns the minimum: the time that a transaction takes if none of other nodes waits before it.
    pub(super) fn least_ms(&self, now: clock::Instant) -> u64 {
        self.sorted(now).first().copied().unwrap_or(0)
    }
}

/// Rows that are known to exist. While the store is slow, callers repeat submissions whose row has just been written;
/// each would make the transaction that it shares fail.
#[derive(Debug, Default)]
pub(super) struct KnownRows {
    recent: VecDeque<(clock::Instant, record::JobKey)>,
}

impl KnownRows {
    pub(super) fn extend<I>(&mut self, now: clock::Instant, keys: I)
    where
        I: IntoIterator<Item = record::JobKey>,
    {
        self.recent.extend(keys.into_iter().map(|key| (now, key)));
        let excess = self.recent.len().saturating_sub(KNOWN_ROWS_MAX);
        self.recent.drain(..excess);
    }

    pub(super) fn contains(&self, now: clock::Instant, key: record::JobKey) -> bool {
        let is_recent = |at: clock::Instant| now.since_ms(at) < KNOWN_ROWS_EXPIRY_MS;
        let mut recent = self
            .recent
            .iter()
            .rev()
            .take_while(|(at, _)| is_recent(*at));
        recent.any(|(_, known)| *known == key)
    }
}

/// What applies to all partitions in one poll.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    pub(super) now: clock::Instant,
    pub(super) view: View,
    pub(super) is_slow: bool,
    pub(super) median_ms: u64,
    pub(super) least_ms: u64,
}

/// A row of refusals because the partition is unavailable.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unavailable {
    refusals: u32,
    since: clock::Instant,
    last_at: clock::Instant,
}

#[derive(Debug, Default)]
pub(super) struct Partition {
    pub(super) waiting: Vec<Entry>,
    pub(super) in_flight: Vec<InFlight>,
    pub(super) reading: Vec<Entry>,
    /// Number of refusals since the last transaction that the store took.
    pub(super) refusals: u32,
    /// Refusals because the partition is unavailable, since the last transaction that the store took.
    pub(super) unavailable: Option<Unavailable>,
    pub(super) retry_at: clock::Instant,
    /// Whether the next attempt goes to the writer because the store did not answer this node.
    pub(super) forward_next: bool,
}

impl Partition {
    /// Returns the entries of a row.
    pub(super) fn of_row(&self, key: record::JobKey) -> impl Iterator<Item = &Entry> {
        let in_flight = self.in_flight.iter().flat_map(|batch| &batch.entries);
        let live = self.waiting.iter().chain(&self.reading).chain(in_flight);
        live.filter(move |entry| entry.key == key)
    }

    /// Answers an entry that is no longer in a queue.
    pub(super) fn give_up(&mut self, entry: &Entry, reason: Reason, actions: &mut Vec<Action>) {
        // Another attempt of the same job can still be written, so the job can't be reported as not run.
        let may_run = entry.may_have_run || self.of_row(entry.key).next().is_some();
        if entry.may_have_run {
            let same = self
                .waiting
                .iter_mut()
                .filter(|other| other.key == entry.key);
            same.for_each(|other| other.may_have_run = true);
        }
        if !entry.answered {
            let answer = if may_run {
                Answer::Unknown
            } else {
                Answer::NotRun(reason)
            };
            actions.push(Action::Answer(entry.ticket, answer));
        }
    }

    /// Answers callers whose deadline passed while their entry was in flight.
    pub(super) fn answer_in_flight(&mut self, now: clock::Instant, actions: &mut Vec<Action>) {
        for entry in self
            .in_flight
            .iter_mut()
            .flat_map(|batch| &mut batch.entries)
        {
            if !entry.answered && entry.deadline <= now {
                entry.answered = true;
                actions.push(Action::Answer(entry.ticket, Answer::Unknown));
            }
        }
    }

    /// Returns the number of transactions that can be sent now.
    pub(super) fn free(&self, terms: &Terms) -> usize {
        if terms.now < self.retry_at {
            return 0;
        }
        let overdue_ms = OVERDUE_MIN_MS.max(2 * terms.median_ms);
        let direct = self
            .in_flight
            .iter()
            .filter(|batch| batch.path == Path::Direct);
        let (overdue, on_time): (Vec<_>, Vec<_>) =
            direct.partition(|batch| terms.now.since_ms(batch.sent_at) > overdue_ms);
        let max = if terms.is_slow {
            IN_FLIGHT_SLOW_MAX
        } else {
            IN_FLIGHT_FAST_MAX
        };
        let by_total = (max + 1).saturating_sub(overdue.len() + on_time.len());
        max.saturating_sub(on_time.len()).min(by_total)
    }

    pub(super) fn path(&self, terms: &Terms) -> Option<Path> {
        let View {
            can_forward,
            store_away,
        } = terms.view;
        if can_forward && (terms.is_slow || store_away || self.forward_next) {
            Some(Path::Forwarded)
        } else {
            (!store_away).then_some(Path::Direct)
        }
    }

    /// Returns when a transaction that is sent next will probably have been committed.
    pub(super) fn expected_end(&self, terms: &Terms) -> clock::Instant {
        let in_flight = self.in_flight.iter().map(|batch| batch.sent_at);
        let free_at = match self.path(terms) {
            Some(Path::Direct) if self.free(terms) == 0 => {
                let ends_at = in_flight.min().map(|at| at.after_ms(terms.least_ms));
                ends_at.unwrap_or(terms.now).max(self.retry_at)
            }
            _ => terms.now,
        };
        free_at.max(terms.now).after_ms(terms.least_ms)
    }

    /// Gives up the waiting entries that can't be written in time.
    pub(super) fn give_up_late(&mut self, terms: &Terms, actions: &mut Vec<Action>) {
        let end = self.expected_end(terms);
        let unreachable = terms.view.store_away && !terms.view.can_forward;
        let in_flight = self.in_flight.iter().flat_map(|batch| &batch.entries);
        let written: Vec<record::JobKey> = in_flight.map(|entry| entry.key).collect();
        let is_late = |entry: &Entry| {
            // A transaction in flight with the same row decides for this entry too.
            entry.deadline <= terms.now
                || (end > entry.deadline && !written.contains(&entry.key))
                || (unreachable && !entry.may_have_run)
        };
        let (late, waiting) = self.waiting.drain(..).partition(is_late);
        self.waiting = waiting;
        let late: Vec<Entry> = late;
        for mut entry in late {
            let remaining_ms = entry.deadline.since_ms(terms.now);
            if entry.may_have_run && remaining_ms >= READ_MIN_MS {
                entry.last_read = true;
                actions.push(Action::Read {
                    ticket: entry.ticket,
                    timeout_ms: remaining_ms,
                });
                self.reading.push(entry);
                continue;
            }
            let reason = if unreachable {
                Reason::StoreAway
            } else if self.unavailable.is_some() {
                Reason::StoreRefused
            } else {
                Reason::DeadlineTooShort
            };
            self.give_up(&entry, reason, actions);
        }
    }

    /// Removes the entries of the next batch from the queue, most urgent first.
    pub(super) fn take_batch(&mut self) -> Vec<Entry> {
        self.waiting
            .sort_by_key(|entry| (entry.due_at(), entry.ticket));
        let mut taken: Vec<Entry> = Vec::new();
        let mut left = Vec::new();
        let (mut store_entries, mut value_bytes) = (0, 0);
        for entry in std::mem::take(&mut self.waiting) {
            let in_flight = self.in_flight.iter().flat_map(|batch| &batch.entries);
            // Two entries of one row can't be in one transaction, and the second needs none if the first is written.
            let is_same = in_flight.chain(&taken).any(|other| other.key == entry.key);
            let fits = store_entries + entry.store_entries() <= STORE_ENTRIES_MAX
                && value_bytes + entry.value_bytes <= VALUE_BYTES_MAX
                && !entry.alone
                && !taken.first().is_some_and(|first| first.alone);
            if is_same || !(fits || taken.is_empty()) {
                left.push(entry);
                continue;
            }
            store_entries += entry.store_entries();
            value_bytes += entry.value_bytes;
            taken.push(entry);
        }
        self.waiting = left;
        taken
    }

    /// Answers an entry whose row is known to exist, and all others of the same row.
    pub(super) fn exists(&mut self, entry: &Entry, answer: Answer, actions: &mut Vec<Action>) {
        self.settle(entry, answer, Answer::Exists, actions);
    }

    /// Answers a submission whose row is known to hold a tombstone, and all others of the same row. No earlier attempt was
    /// written, and none will be.
    pub(super) fn cancelled(&mut self, entry: &Entry, actions: &mut Vec<Action>) {
        let answer = Answer::NotRun(Reason::Cancelled);
        self.settle(entry, answer, answer, actions);
    }

    fn settle(&mut self, entry: &Entry, answer: Answer, others: Answer, actions: &mut Vec<Action>) {
        if !entry.answered {
            actions.push(Action::Answer(entry.ticket, answer));
        }
        let same = self.waiting.extract_if(.., |other| other.key == entry.key);
        actions.extend(same.map(|other| Action::Answer(other.ticket, others)));
    }

    pub(super) fn put_back(&mut self, entries: Vec<Entry>) {
        let unanswered = entries.into_iter().filter(|entry| !entry.answered);
        self.waiting.extend(unanswered);
    }

    /// Counts a refusal because the partition is unavailable; returns whether its entries are given up.
    pub(super) fn refused(&mut self, now: clock::Instant, random: u64) -> bool {
        self.back_off(now, random);
        let is_recent = |before: &Unavailable| now.since_ms(before.last_at) < REFUSALS_EXPIRY_MS;
        let first = Unavailable {
            refusals: 0,
            since: now,
            last_at: now,
        };
        let before = self.unavailable.filter(is_recent).unwrap_or(first);
        let refusals = before.refusals + 1;
        self.unavailable = Some(Unavailable {
            refusals,
            since: before.since,
            last_at: now,
        });
        let refused_ms = now.since_ms(before.since);
        self.forward_next = refused_ms >= REFUSED_FORWARD_MS;
        refusals >= UNAVAILABLE_REFUSALS && refused_ms >= UNAVAILABLE_MS
    }

    /// Pauses after a refusal or a missing response.
    pub(super) fn back_off(&mut self, now: clock::Instant, random: u64) {
        let pause_ms = (BACKOFF_MIN_MS << self.refusals.min(8)).min(BACKOFF_MAX_MS);
        self.retry_at = now.after_ms(pause_ms / 2 + random % (pause_ms / 2 + 1));
        self.refusals += 1;
    }

    /// Marks entries whose transaction may have been committed, and all others of the same rows.
    pub(super) fn mark_unknown(&mut self, entries: &mut [Entry]) {
        for entry in entries {
            entry.may_have_run = true;
            let same = self
                .waiting
                .iter_mut()
                .filter(|other| other.key == entry.key);
            same.for_each(|other| other.may_have_run = true);
        }
    }

    /// Reads the rows of entries whose transaction got no response. Most were committed, and reads don't wait for the
    /// partition's transactions.
    pub(super) fn resolve(
        &mut self,
        now: clock::Instant,
        mut entries: Vec<Entry>,
        actions: &mut Vec<Action>,
    ) {
        self.mark_unknown(&mut entries);
        for entry in entries.into_iter().filter(|entry| !entry.answered) {
            actions.push(Action::Read {
                ticket: entry.ticket,
                timeout_ms: entry.deadline.since_ms(now).min(READ_TIMEOUT_MS),
            });
            self.reading.push(entry);
        }
    }
}
