//! The graceful stop of an entry VM: unready first, then no new connections, then an end when all is answered.

use crate::clock;

/// How long a node shows itself as unready before it closes its port, so that the balancer notices, in milliseconds.
pub const UNREADY_MS: u64 = 2_000;

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No stop was asked for.
    Serving,
    /// Unready; requests are still taken, and answers tell callers to close their connections.
    Unready,
    /// The port is closed; requests in progress finish.
    Closing,
    /// Nothing is in progress: the process can end.
    Done,
}

/// A stop of this node.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    asked_at: Option<clock::Instant>,
}

impl Stop {
    /// Asks for the stop; a second call changes nothing.
    pub fn ask(&mut self, now: clock::Instant) {
        self.asked_at.get_or_insert(now);
    }

    /// How far the stop has come, given the requests in progress and what else must be written down first.
    pub fn phase(&self, now: clock::Instant, in_progress: usize, is_written: bool) -> Phase {
        let Some(asked_at) = self.asked_at else {
            return Phase::Serving;
        };
        if now.since_ms(asked_at) < UNREADY_MS {
            return Phase::Unready;
        }
        if in_progress > 0 || !is_written {
            return Phase::Closing;
        }
        Phase::Done
    }
}
