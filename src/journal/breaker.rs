//! Back-off with jitter after failed requests, and a circuit breaker for an outage.

use rand::Rng;

use crate::clock;

/// Failures in a row after which the platform counts as out.
pub const OPEN_AFTER_FAILURES: u32 = 3;
/// The longest wait after a first failure.
pub const BACKOFF_FIRST_MS: u64 = 100;
/// The longest wait of a small system after many failures.
pub const BACKOFF_MAX_MS: u64 = 2_000;
/// The longest wait grows with the roster, so that the system's tries during an outage stay bounded.
const BACKOFF_MAX_PER_NODE_MS: u64 = 25;

/// Says when the next request may be tried.
#[derive(Debug)]
pub struct Breaker {
    failures: u32,
    ready_at: clock::Instant,
    backoff_max_ms: u64,
}

impl Default for Breaker {
    fn default() -> Self {
        Self {
            failures: 0,
            ready_at: clock::Instant::ZERO,
            backoff_max_ms: BACKOFF_MAX_MS,
        }
    }
}

impl Breaker {
    /// Adapts the longest wait to a system of `nodes` nodes.
    pub fn set_sharers(&mut self, nodes: usize) {
        let nodes = u64::try_from(nodes).unwrap_or(u64::MAX);
        let grown_ms = nodes.saturating_mul(BACKOFF_MAX_PER_NODE_MS);
        self.backoff_max_ms = BACKOFF_MAX_MS.max(grown_ms);
    }

    /// The first moment at which a request may be tried.
    pub fn ready_at(&self) -> clock::Instant {
        self.ready_at
    }

    /// True while the platform counts as out; single requests are still tried.
    pub fn is_open(&self) -> bool {
        self.failures >= OPEN_AFTER_FAILURES
    }

    /// Counts a request that failed and waits for a random time, up to twice as long as before.
    pub fn on_failure<R>(&mut self, now: clock::Instant, rng: &mut R)
    where
        R: Rng,
    {
        let doublings = self.failures.min(16);
        let longest_ms = (BACKOFF_FIRST_MS << doublings).min(self.backoff_max_ms);
        let wait_ms = rng.random_range(longest_ms / 2..=longest_ms);
        self.failures = self.failures.saturating_add(1);
        self.ready_at = now.after_ms(wait_ms);
    }

    /// Counts a request that was answered; returns true if this ends an outage.
    pub fn on_success(&mut self) -> bool {
        let was_open = self.is_open();
        self.failures = 0;
        was_open
    }
}
