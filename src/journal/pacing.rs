//! Rate limiting of a node's table writes or reads to its share of the system's budget.

use rand::Rng;

use crate::clock;

/// Maximum number of transactions that the whole system sends in any second.
pub const WRITES_PER_S_MAX: u64 = 150;
/// Maximum number of reads that the whole system sends in any second.
pub const READS_PER_S_MAX: u64 = 500;

/// Tokens of one request; a token is a millionth of a request.
const MICRO: u64 = 1_000_000;

/// A token bucket: two thirds of the node's share are the refill rate, one third is the burst size.
#[derive(Debug)]
pub struct Pacer {
    budget_per_s: u64,
    node_count: u64,
    /// Tokens in the bucket at `counted_at`, in millionths of a request.
    tokens_micro: u64,
    /// Time up to which the refill is included in `tokens_micro`.
    counted_at: clock::Instant,
}

impl Pacer {
    /// Creates a pacer for a system with a budget of `budget_per_s` requests per second and, at first, one node.
    pub fn new(budget_per_s: u64, now: clock::Instant) -> Self {
        Self {
            budget_per_s,
            node_count: 1,
            tokens_micro: MICRO,
            counted_at: now,
        }
    }

    /// Divides the budget among `nodes` nodes.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.node_count = u64::try_from(nodes).unwrap_or(u64::MAX).max(1);
        self.tokens_micro = self.tokens_micro.min(self.burst_micro());
    }

    /// Returns the earliest time, not before `now`, at which a request can be sent.
    pub fn ready_at(&self, now: clock::Instant) -> clock::Instant {
        let tokens_micro = self.tokens_micro_at(now);
        if tokens_micro >= MICRO {
            return now;
        }
        let missing_micro = MICRO - tokens_micro;
        now.max(self.counted_at)
            .after_ms(missing_micro.div_ceil(self.micro_per_ms()))
    }

    /// Takes the tokens for a request that is sent now.
    pub fn take(&mut self, now: clock::Instant) {
        self.tokens_micro = self.tokens_micro_at(now).saturating_sub(MICRO);
        self.counted_at = self.counted_at.max(now);
    }

    /// Empties the bucket and delays the refill by a random part of the interval between two requests, so that nodes
    /// don't start at the same time.
    pub fn restart<R>(&mut self, now: clock::Instant, rng: &mut R)
    where
        R: Rng,
    {
        self.tokens_micro = 0;
        let interval_ms = (MICRO / self.micro_per_ms()).max(1);
        self.counted_at = now.after_ms(rng.random_range(0..interval_ms));
    }

    fn burst_micro(&self) -> u64 {
        (self.budget_per_s * MICRO / 3 / self.node_count).max(MICRO)
    }

    fn tokens_micro_at(&self, now: clock::Instant) -> u64 {
        let refill_micro = now.since_ms(self.counted_at) * self.micro_per_ms();
        self.tokens_micro
            .saturating_add(refill_micro)
            .min(self.burst_micro())
    }

    fn micro_per_ms(&self) -> u64 {
        let micro_per_s = self.budget_per_s * MICRO * 2 / 3 / self.node_count;
        (micro_per_s / clock::SECOND_MS).max(1)
    }
}
