//! Batching of submissions and cancellations: what is written in which transaction, by which path, and when to give up.
//!
//! Answers the load of a slow or rate-limited store, whose partitions commit transactions one by one: with 0.5 s for
//! each, submissions written one by one exceed what a partition takes, and most are refused or time out. A node sends an
//! entry at once if nothing of its partition is in flight; otherwise it joins the next transaction. While transactions
//! are slow, nodes pass their entries on to one writer, as a single node has too few of them to share transactions.
//!
//! A submission is written on the condition that its row is absent. It may therefore be sent again, and by several
//! paths, without being accepted twice. Once it was part of a transaction without a response, it is never reported as
//! not run, because the transaction may still be committed, unless a tombstone is found in its row. A cancellation is
//! written on the condition that the row of its job is the one that was read, so that a late one doesn't cancel a later
//! job of the same id.

mod outcome;
mod partition;

use std::collections::BTreeMap;

use crate::batch::record;
use crate::clock;
pub use outcome::{Answer, ForwardOutcome, Found, Outcome, Pace, Reason};
use partition::{Durations, Entry, FORWARDED_IN_FLIGHT_MAX, InFlight, KnownRows, Partition, Terms};

/// Transactions count as slow above this duration, in milliseconds; 12 times the duration without load.
pub const SLOW_MS: u64 = 100;
/// Transactions count as fast again below this duration, in milliseconds; the distance to [`SLOW_MS`] avoids flapping.
const FAST_MS: u64 = 50;
/// A node without news of the transactions' duration for this long assumes that they are fast, in milliseconds.
const SLOW_EXPIRY_MS: u64 = 2_000;
/// Timeout of a transaction while they are fast, in milliseconds.
const TIMEOUT_FAST_MS: u64 = 900;
/// Range of the timeout while they are slow, in milliseconds: above a second of waiting transactions and one more.
const TIMEOUT_SLOW_MIN_MS: u64 = 1_600;
const TIMEOUT_SLOW_MAX_MS: u64 = 2_500;
/// Time for which the writer holds a call before it answers that entries are pending, in milliseconds; covers a
/// transaction of 0.5 s in flight and the next one.
pub const WRITER_HOLD_MS: u64 = 1_100;
/// Timeout of a call to the writer, in milliseconds; a writer that is alive answers within its hold.
const FORWARD_TIMEOUT_MS: u64 = WRITER_HOLD_MS + 300;
/// Interval at which the writer tells the other nodes that transactions are slow, in milliseconds; nodes without
/// submissions would otherwise forget it and try the store themselves.
pub const ANNOUNCE_MS: u64 = 1_500;
/// Interval of [`Queues::poll`] while there is something to watch, in milliseconds; about a transaction without load.
pub const POLL_MS: u64 = 10;

/// Identifies an entry within one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Identifies a batch within one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId(pub u64);

/// Where a batch is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// To the store, in one transaction.
    Direct,
    /// To the writer, which adds the entries to its own queues.
    Forwarded,
}

/// What a node knows about its paths.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Whether another node is known as writer and answers.
    pub can_forward: bool,
    /// Whether the store has not responded to this node for a while.
    pub store_away: bool,
}

/// A step for the caller of [`Queues::poll`].
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a batch and report its outcome.
    Send(Batch),
    /// Read an entry's row and report whether it exists.
    Read {
        /// The entry.
        ticket: Ticket,
        /// Timeout of the read, in milliseconds.
        timeout_ms: u64,
    },
    /// Answer an entry; its ticket is no longer used, except in a batch in flight.
    Answer(Ticket, Answer),
    /// Entries are passed on to the writer from now on, or no longer.
    Forwarding(bool),
}

/// Entries of one partition that are sent together.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Identifies the batch in the report of its outcome.
    pub id: BatchId,
    /// The partition of the job table.
    pub partition: String,
    /// Where to send it.
    pub path: Path,
    /// The entries, most urgent first.
    pub tickets: Vec<Ticket>,
    /// Timeout of the call, in milliseconds.
    pub timeout_ms: u64,
    /// Time that the oldest entry has waited, in milliseconds.
    pub age_ms: u64,
}

/// The queues of one node, one for each partition of the job table.
#[derive(Debug, Default)]
pub struct Queues {
    partitions: BTreeMap<String, Partition>,
    known: KnownRows,
    durations: Durations,
    is_slow: bool,
    is_forwarding: bool,
    /// When the last sign of the transactions' duration was seen.
    news_at: clock::Instant,
    last_number: u64,
    actions: Vec<Action>,
}

impl Queues {
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds an entry with a value of `value_bytes`; its answer follows from [`Queues::poll`].
    pub fn add(
        &mut self,
        now: clock::Instant,
        key: record::JobKey,
        value_bytes: usize,
        deadline: clock::Instant,
    ) -> Ticket {
        let ticket = Ticket(self.next_number());
        let (record::JobKey::Accepted(job) | record::JobKey::Cancelled(job)) = key;
        if self.known.contains(now, key) {
            self.actions.push(Action::Answer(ticket, Answer::Exists));
            return ticket;
        }
        let partition = self
            .partitions
            .entry(record::job_partition(job))
            .or_default();
        let may_have_run = partition.of_row(key).any(|entry| entry.may_have_run);
        partition.waiting.push(Entry {
            ticket,
            key,
            value_bytes: value_bytes.div_ceil(3) * 4,
            added_at: now,
            deadline,
            may_have_run,
            alone: false,
            last_read: false,
            answered: false,
        });
        ticket
    }

    /// Returns this node's view of the store's transactions.
    pub fn pace(&self, now: clock::Instant) -> Pace {
        Pace {
            is_slow: self.is_slow,
            transaction_ms: self.durations.median_ms(now),
        }
    }

    /// Returns whether the writer tells all nodes that transactions are slow. A single lost response is no reason.
    pub fn announces_slow(&self, now: clock::Instant) -> bool {
        let in_flight = self
            .partitions
            .values()
            .flat_map(|partition| &partition.in_flight);
        let late = in_flight.filter(|batch| batch.counted_slow).count();
        self.is_slow && (late > 1 || self.durations.median_ms(now) >= SLOW_MS)
    }

    /// Applies the writer's view of the store's transactions.
    pub fn announced(&mut self, now: clock::Instant, pace: Pace) {
        if pace.transaction_ms > 0 {
            self.durations.record(now, pace.transaction_ms);
        }
        self.is_slow = pace.is_slow;
        self.news_at = now;
    }

    /// Returns whether [`Queues::poll`] must be called at intervals of [`POLL_MS`].
    pub fn needs_poll(&self) -> bool {
        let busy = |partition: &Partition| {
            !(partition.waiting.is_empty()
                && partition.in_flight.is_empty()
                && partition.reading.is_empty())
        };
        self.is_slow || self.is_forwarding || self.partitions.values().any(busy)
    }

    /// Returns what to do now. Must be called after each other call.
    pub fn poll(&mut self, now: clock::Instant, view: View) -> Vec<Action> {
        self.check_pace(now);
        let terms = Terms {
            now,
            view,
            is_slow: self.is_slow,
            median_ms: self.durations.median_ms(now),
            least_ms: self.durations.least_ms(now),
        };
        let transaction_timeout_ms = if self.is_slow {
            (3 * terms.median_ms).clamp(TIMEOUT_SLOW_MIN_MS, TIMEOUT_SLOW_MAX_MS)
        } else {
            TIMEOUT_FAST_MS
        };
        let mut actions = std::mem::take(&mut self.actions);
        let is_forwarding = self.is_slow && view.can_forward;
        if is_forwarding != self.is_forwarding {
            self.is_forwarding = is_forwarding;
            actions.push(Action::Forwarding(is_forwarding));
        }
        for (name, partition) in &mut self.partitions {
            partition.answer_in_flight(now, &mut actions);
            partition.give_up_late(&terms, &mut actions);
            while let Some(path) = partition.path(&terms) {
                let forwarded = |batch: &&InFlight| batch.path == Path::Forwarded;
                let forwarded = partition.in_flight.iter().filter(forwarded).count();
                let (is_free, timeout_ms) = match path {
                    Path::Direct => (partition.free(&terms) > 0, transaction_timeout_ms),
                    Path::Forwarded => (forwarded < FORWARDED_IN_FLIGHT_MAX, FORWARD_TIMEOUT_MS),
                };
                let entries = if is_free {
                    partition.take_batch()
                } else {
                    Vec::new()
                };
                let Some(oldest) = entries.iter().map(|entry| entry.added_at).min() else {
                    break;
                };
                self.last_number += 1;
                let id = BatchId(self.last_number);
                actions.push(Action::Send(Batch {
                    id,
                    partition: name.clone(),
                    path,
                    tickets: entries.iter().map(|entry| entry.ticket).collect(),
                    timeout_ms,
                    age_ms: now.since_ms(oldest),
                }));
                partition.in_flight.push(InFlight {
                    id,
                    path,
                    sent_at: now,
                    entries,
                    counted_slow: false,
                });
            }
        }
        actions
    }

    /// Counts transactions that have been in flight for long as slow, and forgets old news.
    fn check_pace(&mut self, now: clock::Instant) {
        let mut has_forwarded = false;
        let batches = self
            .partitions
            .values_mut()
            .flat_map(|partition| &mut partition.in_flight);
        for batch in batches {
            has_forwarded |= batch.path == Path::Forwarded;
            if batch.path == Path::Direct
                && !batch.counted_slow
                && now.since_ms(batch.sent_at) >= SLOW_MS
            {
                batch.counted_slow = true;
                self.is_slow = true;
                self.news_at = now;
            }
        }
        if !has_forwarded && now.since_ms(self.news_at) > SLOW_EXPIRY_MS {
            self.is_slow = false;
        }
    }

    fn end_batch(&mut self, id: BatchId) -> Option<(&mut Partition, InFlight)> {
        self.partitions.values_mut().find_map(|partition| {
            let at = partition
                .in_flight
                .iter()
                .position(|batch| batch.id == id)?;
            let batch = partition.in_flight.remove(at);
            Some((partition, batch))
        })
    }

    /// Records the duration of a transaction that the store processed.
    fn measured(&mut self, now: clock::Instant, duration_ms: u64) {
        self.durations.record(now, duration_ms);
        self.news_at = now;
        if duration_ms >= SLOW_MS {
            self.is_slow = true;
        } else if self.durations.median_ms(now) < FAST_MS {
            self.is_slow = false;
        }
    }

    /// Applies the outcome of a transaction; `random` spreads the pauses after a refusal.
    pub fn transaction_ended(
        &mut self,
        now: clock::Instant,
        id: BatchId,
        outcome: Outcome,
        random: u64,
    ) {
        let mut actions = std::mem::take(&mut self.actions);
        let Some((partition, mut batch)) = self.end_batch(id) else {
            self.actions = actions;
            return;
        };
        let duration_ms = now.since_ms(batch.sent_at);
        let is_taken = matches!(outcome, Outcome::Committed(_) | Outcome::CheckFailed { .. });
        let is_overloaded = matches!(outcome, Outcome::Overloaded);
        if is_taken {
            partition.refusals = 0;
            partition.unavailable = None;
            partition.forward_next = false;
            partition.retry_at = now;
        }
        let mut known = Vec::new();
        match outcome {
            Outcome::Committed(version) => {
                known.extend(batch.entries.iter().map(|entry| entry.key));
                for entry in &batch.entries {
                    partition.exists(entry, Answer::Committed(version), &mut actions);
                }
            }
            Outcome::CheckFailed {
                existing: rows,
                cancelled,
            } => {
                let is_cancelled = |entry: &mut Entry| cancelled.contains(&entry.key);
                let cancelled: Vec<Entry> = batch.entries.extract_if(.., is_cancelled).collect();
                for entry in &cancelled {
                    partition.cancelled(entry, &mut actions);
                }
                let only = batch.entries.len() == 1 && cancelled.is_empty();
                let failed = |entry: &Entry| only || rows.contains(&entry.key);
                let (existing, mut rest): (Vec<_>, Vec<_>) =
                    batch.entries.into_iter().partition(failed);
                // Without a row to blame, each entry is checked by itself.
                let is_unexplained = existing.is_empty() && cancelled.is_empty();
                rest.iter_mut()
                    .for_each(|entry| entry.alone |= is_unexplained);
                // A failed check of a cancellation says nothing of its own row.
                let submitted = existing.iter().map(|entry| entry.key);
                let submitted = submitted.filter(|key| matches!(key, record::JobKey::Accepted(_)));
                known.extend(submitted);
                for entry in &existing {
                    partition.exists(entry, Answer::Exists, &mut actions);
                }
                partition.put_back(rest);
            }
            Outcome::Overloaded => {
                partition.back_off(now, random);
                partition.put_back(batch.entries);
            }
            Outcome::Unavailable => {
                if partition.refused(now, random) {
                    let (unknown, refused): (Vec<_>, Vec<_>) = batch
                        .entries
                        .into_iter()
                        .partition(|entry| entry.may_have_run);
                    partition.put_back(unknown);
                    for entry in &refused {
                        partition.give_up(entry, Reason::StoreRefused, &mut actions);
                    }
                } else {
                    partition.put_back(batch.entries);
                }
            }
            Outcome::Invalid if batch.entries.len() > 1 => {
                batch
                    .entries
                    .iter_mut()
                    .for_each(|entry| entry.alone = true);
                partition.put_back(batch.entries);
            }
            Outcome::Invalid => {
                for entry in &batch.entries {
                    partition.give_up(entry, Reason::StoreRefused, &mut actions);
                }
            }
            Outcome::NoResponse => {
                partition.back_off(now, random);
                partition.forward_next = true;
                partition.resolve(now, batch.entries, &mut actions);
            }
        }
        self.known.extend(now, known);
        if is_taken {
            self.measured(now, duration_ms);
        } else if is_overloaded {
            self.is_slow = true;
            self.news_at = now;
        }
        self.actions = actions;
    }

    /// Applies the outcome of a call to the writer.
    pub fn forward_ended(&mut self, now: clock::Instant, id: BatchId, outcome: ForwardOutcome) {
        let mut actions = std::mem::take(&mut self.actions);
        let Some((partition, batch)) = self.end_batch(id) else {
            self.actions = actions;
            return;
        };
        partition.forward_next = false;
        let mut announced = None;
        match outcome {
            ForwardOutcome::Answered(answers, pace) => {
                announced = Some(pace);
                let answers = answers
                    .into_iter()
                    .chain(std::iter::repeat(Answer::Unknown));
                for (mut entry, answer) in batch.entries.into_iter().zip(answers) {
                    match answer {
                        Answer::Committed(_) | Answer::Exists => {
                            partition.exists(&entry, answer, &mut actions);
                        }
                        Answer::Pending => {
                            let mut entries = vec![entry];
                            partition.mark_unknown(&mut entries);
                            partition.put_back(entries);
                        }
                        Answer::NotRun(Reason::Cancelled) => {
                            partition.cancelled(&entry, &mut actions);
                        }
                        Answer::NotRun(reason) => partition.give_up(&entry, reason, &mut actions),
                        Answer::Unknown => {
                            entry.may_have_run = true;
                            partition.give_up(&entry, Reason::StoreRefused, &mut actions);
                        }
                    }
                }
            }
            ForwardOutcome::Refused => partition.put_back(batch.entries),
            ForwardOutcome::NoResponse => partition.resolve(now, batch.entries, &mut actions),
        }
        if let Some(pace) = announced {
            self.announced(now, pace);
        }
        self.actions = actions;
    }

    /// Applies the outcome of reading an entry's row; `None` if the read failed.
    pub fn read_ended(&mut self, now: clock::Instant, ticket: Ticket, found: Option<Found>) {
        let mut actions = std::mem::take(&mut self.actions);
        let mut existing = None;
        for partition in self.partitions.values_mut() {
            let at = partition
                .reading
                .iter()
                .position(|entry| entry.ticket == ticket);
            let Some(entry) = at.map(|at| partition.reading.remove(at)) else {
                continue;
            };
            match found {
                Some(Found::Entry) => {
                    partition.exists(&entry, Answer::Exists, &mut actions);
                    existing = Some(entry.key);
                }
                Some(Found::Tombstone) => partition.cancelled(&entry, &mut actions),
                Some(Found::Nothing) | None if entry.last_read => {
                    partition.give_up(&entry, Reason::StoreRefused, &mut actions);
                }
                Some(Found::Nothing) | None => partition.waiting.push(entry),
            }
        }
        self.known.extend(now, existing);
        self.actions = actions;
    }
}
