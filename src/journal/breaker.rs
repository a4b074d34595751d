//! Exponential backoff with jitter after failed requests, and a circuit breaker for outages.

use rand::Rng;

use crate::clock;

/// Consecutive failures after which the platform counts as unavailable.
pub const OPEN_AFTER_FAILURES: u32 = 3;
/// Longest wait after the first failure, in milliseconds.
pub const BACKOFF_FIRST_MS: u64 = 100;
/// Longest wait after many failures in a small system, in milliseconds.
pub const BACKOFF_MAX_MS: u64 = 2_000;
/// Longest wait per node of the system, in milliseconds; it grows with the roster so that the rate of attempts of the
/// whole system during an outage stays bounded.
const BACKOFF_MAX_PER_NODE_MS: u64 = 25;

/// Decides when the next request can be attempted.
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
    /// Adjusts the longest wait to a system of `nodes` nodes.
    pub fn set_node_count(&mut self, nodes: usize) {
        let nodes = u64::try_from(nodes).unwrap_or(u64::MAX);
        let scaled_ms = nodes.saturating_mul(BACKOFF_MAX_PER_NODE_MS);
        self.backoff_max_ms = BACKOFF_MAX_MS.max(scaled_ms);
    }

    /// Returns the earliest time at which a request can be attempted.
    pub fn ready_at(&self) -> clock::Instant {
        self.ready_at
    }

    /// Returns whether the platform counts as unavailable; single requests are still attempted.
    pub fn is_open(&self) -> bool {
        self.failures >= OPEN_AFTER_FAILURES
    }

    /// Records a failed request and delays the next one by a random time, whose maximum doubles with each failure.
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

    /// Records a request that got a response; returns true if this ends an outage.
    pub fn on_success(&mut self) -> bool {
        let was_open = self.is_open();
        self.failures = 0;
        was_open
    }
}
