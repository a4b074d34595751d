//! Tombstones: rows in the place of jobs that were cancelled before they were stored.
//!
//! A caller can cancel a job whose submission got no answer. The submission's row may still be written: the store applies a
//! transaction late, or a node has the submission in a queue. So the cancellation writes a tombstone into the job's row before
//! it is acknowledged. Submissions expect that the row is absent, so that none of that id is written while the tombstone
//! exists, by whichever node.
//!
//! Anyone can cancel any id. Each node writes a bounded number of tombstones, and the leader removes them once no write can
//! be that late.

use std::collections::{BTreeMap, VecDeque};

use crate::batch::JobId;
use crate::clock;

/// Time for which a tombstone is kept, in milliseconds; twice the longest wait that a caller can request, and more than the
/// store delays a write.
pub const KEEP_MS: u64 = 180_000;
/// Maximum number of tombstones that a node writes within [`KEEP_MS`].
const WRITTEN_MAX: usize = 512;

/// Limits the tombstones that a node writes.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    written: VecDeque<clock::Instant>,
}

impl Budget {
    /// Takes one tombstone from the budget; returns false if it is used up.
    pub fn try_take(&mut self, now: clock::Instant) -> bool {
        let is_past = |at: &mut clock::Instant| now.since_ms(*at) >= KEEP_MS;
        while self.written.pop_front_if(is_past).is_some() {}
        let is_left = self.written.len() < WRITTEN_MAX;
        if is_left {
            self.written.push_back(now);
        }
        is_left
    }
}

/// The tombstones that a leader has to remove.
#[derive(Clone, Debug, Default)]
pub struct Tombstones {
    /// Version of the row, and when the leader learned of it.
    known: BTreeMap<JobId, (u64, clock::Instant)>,
}

impl Tombstones {
    /// Records the version of a tombstone's row.
    pub fn read(&mut self, job: JobId, version: u64, now: clock::Instant) {
        let known = self.known.get(&job);
        if known.is_none_or(|(before, _)| *before < version) {
            self.known.insert(job, (version, now));
        }
    }

    /// Removes and returns at most `max` tombstones that are no longer needed, with the versions of their rows.
    pub fn take_expired(&mut self, max: usize, now: clock::Instant) -> Vec<(JobId, u64)> {
        let is_expired =
            |_: &JobId, (_, at): &mut (u64, clock::Instant)| now.since_ms(*at) >= KEEP_MS;
        let expired = self.known.extract_if(.., is_expired).take(max);
        expired.map(|(job, (version, _))| (job, version)).collect()
    }

    /// Returns a tombstone whose row could not be removed, to be taken again after `retry_ms`.
    pub fn put_back(&mut self, job: JobId, version: u64, retry_ms: u64, now: clock::Instant) {
        let waited_ms = KEEP_MS.saturating_sub(retry_ms);
        let known_at = clock::Instant::from_ms(now.as_ms().saturating_sub(waited_ms));
        self.known.entry(job).or_insert((version, known_at));
    }
}
