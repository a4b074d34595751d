//! A token bucket that keeps calls under a limit per second.

use crate::clock;

/// Share of a limit that one caller uses, in thousandths; the previous leader's last calls count against it too.
const USABLE_MILLI: u64 = 800;
/// Size of the bucket, in milliseconds of calls at the refill rate.
const BURST_MS: u64 = 200;

/// Limits the rate of calls; its tokens refill at a steady rate.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    per_s: u64,
    /// Tokens available at `filled_at`, in thousandths of a call.
    tokens_milli: u64,
    filled_at: clock::Instant,
}

impl RateLimiter {
    /// Creates a limiter with a full bucket for `limit_per_s` calls per second.
    pub fn new(limit_per_s: u64, now: clock::Instant) -> Self {
        let mut limiter = Self {
            per_s: 0,
            tokens_milli: 0,
            filled_at: now,
        };
        limiter.set_limit(limit_per_s);
        limiter.tokens_milli = limiter.capacity_milli();
        limiter
    }

    /// Changes the limit, in calls per second; the tokens in the bucket stay.
    pub fn set_limit(&mut self, limit_per_s: u64) {
        self.per_s = (limit_per_s * USABLE_MILLI / 1_000).max(1);
    }

    fn capacity_milli(&self) -> u64 {
        (self.per_s * BURST_MS).max(1_000)
    }

    /// Takes the token for one call; returns false if there is none.
    pub fn try_acquire(&mut self, now: clock::Instant) -> bool {
        let elapsed_ms = now.since_ms(self.filled_at);
        self.tokens_milli =
            (self.tokens_milli + elapsed_ms * self.per_s).min(self.capacity_milli());
        self.filled_at = now;
        let remaining = self.tokens_milli.checked_sub(1_000);
        self.tokens_milli = remaining.unwrap_or(self.tokens_milli);
        remaining.is_some()
    }
}
