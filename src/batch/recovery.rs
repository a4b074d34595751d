//! Reads of a new leader: which rows are missing, when each read is sent or repeated, and when the node may lead.
//!
//! Answers the load of a takeover while the store refuses some partitions for seconds, or most calls at random. Each
//! part is read by itself and what was read is kept, so a refused read costs only its own repetition.
//!
//! The budget is separate from that of renewals and commits, which are single calls in sequence: at most
//! [`Reads::new`]'s `at_once` reads are in progress, and repetitions are limited by their pauses. A part of the
//! scheduler's own partition is repeated after 50 ms on average, others after 150 ms. Where a fraction `q` of all calls
//! is refused, a part is unread after `n` calls with the probability `q^n`. Both own parts are read with 99.9 %
//! certainty after 7, 15 and 73 calls for `q` of 0.3, 0.6 and 0.9: 0.35 s, 0.75 s and 3.6 s, after which the node leads
//! within [`GRACE_MS`].

use std::collections::BTreeMap;

use crate::batch::record;
use crate::clock;

/// Time for which the job table's partitions are awaited once the scheduler's own rows are read, in milliseconds.
/// Covers several repetitions of a read; jobs of the other partitions wait no longer.
pub const GRACE_MS: u64 = 300;
/// Pause before the first repetition of a read, in milliseconds; doubles with each refusal.
const PAUSE_FIRST_MS: u64 = 25;
/// Longest pause for the scheduler's own rows, in milliseconds; nothing can be led before they are read.
const OWN_PAUSE_MAX_MS: u64 = 50;
/// Longest pause for a partition of the job table, in milliseconds: ten unavailable partitions cost 70 calls a second, and
/// their jobs wait a tenth of a second after the partition is back.
const JOBS_PAUSE_MAX_MS: u64 = 150;
/// A read without a response for this long no longer counts as one in progress, in milliseconds: it leaves the link
/// to other reads. Twice the time that a read takes on the node's link.
const SILENT_MS: u64 = 500;
/// A jitter of a thousand extends a pause to one and a half times its length, and a jitter of zero halves it.
const JITTER_MILLI: u64 = 1_000;

/// Rows that are read independently of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Part {
    /// Workers of previous leaders, in the scheduler's partition.
    Workers,
    /// Progress of all jobs, in the scheduler's partition.
    Progress,
    /// A partition of the job table, by its number.
    Jobs(u64),
}

impl Part {
    /// Returns whether the rows are in the scheduler's own partition.
    pub fn is_own(self) -> bool {
        match self {
            Self::Workers | Self::Progress => true,
            Self::Jobs(_) => false,
        }
    }

    fn pause_max_ms(self) -> u64 {
        if self.is_own() {
            OWN_PAUSE_MAX_MS
        } else {
            JOBS_PAUSE_MAX_MS
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Missing {
    /// Refused and unanswered reads since the last that succeeded.
    failures: u32,
    /// When the next read is sent.
    next_at: clock::Instant,
    /// When the read in progress was sent; `None` if there is none.
    sent_at: Option<clock::Instant>,
    /// When the part was first to be read.
    since: clock::Instant,
}

/// The reads of a new leader.
#[derive(Debug)]
pub struct Reads {
    at_once: usize,
    missing: BTreeMap<Part, Missing>,
    /// When the last part of the scheduler's own partition was read.
    own_read_at: Option<clock::Instant>,
    repeated: u64,
}

impl Reads {
    /// Creates the reads of all parts, at most `at_once` at the same time.
    pub fn new(at_once: usize, now: clock::Instant) -> Self {
        let mut reads = Self {
            at_once,
            missing: BTreeMap::new(),
            own_read_at: None,
            repeated: 0,
        };
        reads.add(Part::Workers, now);
        reads.add(Part::Progress, now);
        reads.read_jobs_again(now);
        reads
    }

    fn add(&mut self, part: Part, now: clock::Instant) {
        let sent_at = self.missing.get(&part).and_then(|missing| missing.sent_at);
        let missing = Missing {
            failures: 0,
            next_at: now,
            sent_at,
            since: now,
        };
        self.missing.insert(part, missing);
    }

    /// Adds all partitions of the job table, because changes of them were missed.
    pub fn read_jobs_again(&mut self, now: clock::Instant) {
        for partition in 0..record::JOB_PARTITIONS {
            self.add(Part::Jobs(partition), now);
        }
    }

    /// Returns the reads to send now, and records them as sent. Own rows come first, then parts that were refused least.
    pub fn take_due(&mut self, now: clock::Instant) -> Vec<Part> {
        let in_progress = self
            .missing
            .values()
            .filter_map(|missing| missing.sent_at)
            .filter(|at| now.since_ms(*at) < SILENT_MS)
            .count();
        let mut due: Vec<(bool, u32, clock::Instant, Part)> = self
            .missing
            .iter()
            .filter(|(_, missing)| missing.sent_at.is_none() && missing.next_at <= now)
            .map(|(part, missing)| (!part.is_own(), missing.failures, missing.next_at, *part))
            .collect();
        due.sort_unstable();
        due.truncate(self.at_once.saturating_sub(in_progress));
        let due: Vec<Part> = due.into_iter().map(|(.., part)| part).collect();
        for part in &due {
            if let Some(missing) = self.missing.get_mut(part) {
                missing.sent_at = Some(now);
                self.repeated += u64::from(missing.failures > 0);
            }
        }
        due
    }

    /// Returns when [`Reads::take_due`] has to be called next, unless a response arrives before.
    pub fn next_at(&self, now: clock::Instant) -> clock::Instant {
        let silent = |at: clock::Instant| at.after_ms(SILENT_MS);
        let in_progress = || self.missing.values().filter_map(|missing| missing.sent_at);
        let full = in_progress().filter(|at| silent(*at) > now).count() >= self.at_once;
        let next = if full {
            in_progress().map(silent).filter(|at| *at > now).min()
        } else {
            let waiting = self.missing.values();
            let waiting = waiting.filter(|missing| missing.sent_at.is_none());
            waiting.map(|missing| missing.next_at).min()
        };
        next.unwrap_or_else(|| now.after_ms(SILENT_MS))
    }

    /// Records that a page of a part was read and more pages follow.
    pub fn continued(&mut self, part: Part, now: clock::Instant) {
        if let Some(missing) = self.missing.get_mut(&part) {
            missing.sent_at = None;
            missing.failures = 0;
            missing.next_at = now;
        }
    }

    /// Records that a part was read to its end; returns how long it was missing, in milliseconds.
    pub fn completed(&mut self, part: Part, now: clock::Instant) -> u64 {
        let missing = self.missing.remove(&part);
        if part.is_own() && !self.missing.keys().any(|part| part.is_own()) {
            self.own_read_at = Some(now);
        }
        missing.map_or(0, |missing| now.since_ms(missing.since))
    }

    /// Records that a read was refused or got no response; `jitter_milli` is random, from 0 to 1,000.
    pub fn failed(&mut self, part: Part, jitter_milli: u64, now: clock::Instant) {
        let Some(missing) = self.missing.get_mut(&part) else {
            return;
        };
        let doubled_ms = PAUSE_FIRST_MS << missing.failures.min(8);
        let pause_ms = doubled_ms.min(part.pause_max_ms());
        missing.failures += 1;
        missing.sent_at = None;
        missing.next_at = now.after_ms(
            pause_ms * (JITTER_MILLI / 2 + jitter_milli.min(JITTER_MILLI)) / JITTER_MILLI,
        );
    }

    /// Returns whether the node may lead: its own rows are read, and the job table is read or was awaited long enough.
    pub fn may_lead(&self, now: clock::Instant) -> bool {
        self.own_read_at
            .is_some_and(|at| self.missing.is_empty() || now.since_ms(at) >= GRACE_MS)
    }

    /// Returns the latest time at which [`Reads::may_lead`] becomes true; `None` while own rows are missing.
    pub fn leads_at(&self) -> Option<clock::Instant> {
        self.own_read_at.map(|at| at.after_ms(GRACE_MS))
    }

    /// Returns whether everything is read.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }

    /// Returns the partitions of the job table that are not read.
    pub fn unread_partitions(&self) -> impl Iterator<Item = u64> {
        self.missing.keys().filter_map(|part| match part {
            Part::Jobs(partition) => Some(*partition),
            Part::Workers | Part::Progress => None,
        })
    }

    /// Returns how many reads were repetitions.
    pub fn repeated(&self) -> u64 {
        self.repeated
    }
}
