//! Graceful stop of an entry VM: it becomes unready, then closes its port, then ends once every request is answered.

use crate::clock;

/// Time for which a node reports itself unready before it closes its port, so that the load balancer notices, in
/// milliseconds.
pub const UNREADY_MS: u64 = 2_000;

/// Phase of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No stop was requested.
    Serving,
    /// Unready; requests are still accepted, and responses ask callers to close their connections.
    Unready,
    /// The port is closed; requests in progress finish.
    Closing,
    /// Nothing is in progress: the process can end.
    Done,
}

/// Tracks the graceful stop of this node.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    requested_at: Option<clock::Instant>,
}

impl Stop {
    /// Requests the stop; further calls have no effect.
    pub fn request(&mut self, now: clock::Instant) {
        self.requested_at.get_or_insert(now);
    }

    /// Returns the phase of the stop.
    ///
    /// `in_progress` is the number of requests in progress; `is_persisted` is true if all that must be stored before
    /// the process ends has been stored.
    pub fn phase(&self, now: clock::Instant, in_progress: usize, is_persisted: bool) -> Phase {
        let Some(requested_at) = self.requested_at else {
            return Phase::Serving;
        };
        if now.since_ms(requested_at) < UNREADY_MS {
            return Phase::Unready;
        }
        if in_progress > 0 || !is_persisted {
            return Phase::Closing;
        }
        Phase::Done
    }
}
