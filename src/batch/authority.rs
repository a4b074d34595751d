//! Whether a leader may still send commands.
//!
//! A follower takes the duty over only after a heartbeat got no response within its timeout, so a process that stood still
//! for that long may have been replaced. Such a leader sends nothing to workers and machines until a commit that it sent
//! afterwards has succeeded. What it decided before it stood still ends in time: the lease of a start or a renewal counts from
//! its decision, and a successor waits for the longest lease from its own beginning, which is later.

use crate::clock;

/// Timeout of a follower's heartbeat, in milliseconds; far above a round trip and the pauses of a busy leader.
pub const HEARTBEAT_TIMEOUT_MS: u64 = 400;

/// A leader's authority over workers and machines.
#[derive(Clone, Copy, Debug)]
pub struct Authority {
    /// When this process was last seen to run.
    ran_at: clock::Instant,
    /// When this process ran again after it had stood still; `None` once a later commit has succeeded.
    resumed_at: Option<clock::Instant>,
}

impl Authority {
    /// Creates the authority of a leader whose claim has been committed.
    pub fn new(now: clock::Instant) -> Self {
        Self {
            ran_at: now,
            resumed_at: None,
        }
    }

    /// Records that the process runs, and returns for how long it stood still if it lost its authority by that, in
    /// milliseconds.
    pub fn observe(&mut self, now: clock::Instant) -> Option<u64> {
        let stalled_ms = now.since_ms(self.ran_at);
        self.ran_at = self.ran_at.max(now);
        if stalled_ms < HEARTBEAT_TIMEOUT_MS {
            return None;
        }
        self.resumed_at = Some(now);
        Some(stalled_ms)
    }

    /// Records that a commit that was sent at `sent_at` has succeeded. Returns whether the authority is thereby regained.
    pub fn committed(&mut self, sent_at: clock::Instant) -> bool {
        let regained = self.resumed_at.is_some_and(|resumed| resumed <= sent_at);
        if regained {
            self.resumed_at = None;
        }
        regained
    }

    /// Returns whether the leader may send commands, as of the last observation.
    pub fn may_act(&self) -> bool {
        self.resumed_at.is_none()
    }
}
