//! A node's share of the system's budget of table writes or reads.

use rand::Rng;

use crate::clock;

/// Transactions that the whole system may send in any second.
pub const WRITES_PER_S_MAX: u64 = 150;
/// Reads that the whole system may send in any second.
pub const READS_PER_S_MAX: u64 = 500;

/// Millionths of a request, the unit of a pacer's account.
const MICRO: u64 = 1_000_000;

/// A token bucket: two thirds of the node's share flow in steadily, one third may be saved for a burst.
#[derive(Debug)]
pub struct Pacer {
    budget_per_s: u64,
    sharers: u64,
    /// Millionths of a request that may be sent now.
    saved_micro: u64,
    /// The moment up to which `saved_micro` is counted.
    counted_at: clock::Instant,
}

impl Pacer {
    /// Makes a pacer for a system that has `budget_per_s` requests a second; the node is alone at first.
    pub fn new(budget_per_s: u64, now: clock::Instant) -> Self {
        Self {
            budget_per_s,
            sharers: 1,
            saved_micro: MICRO,
            counted_at: now,
        }
    }

    /// Shares the budget among `nodes` nodes.
    pub fn set_sharers(&mut self, nodes: usize) {
        self.sharers = u64::try_from(nodes).unwrap_or(u64::MAX).max(1);
        self.saved_micro = self.saved_micro.min(self.depth_micro());
    }

    /// The first moment, not before `now`, at which a request may be sent.
    pub fn ready_at(&self, now: clock::Instant) -> clock::Instant {
        let saved_micro = self.saved_micro_at(now);
        if saved_micro >= MICRO {
            return now;
        }
        let missing_micro = MICRO - saved_micro;
        now.max(self.counted_at)
            .after_ms(missing_micro.div_ceil(self.micro_per_ms()))
    }

    /// Counts a request that is sent now.
    pub fn take(&mut self, now: clock::Instant) {
        self.saved_micro = self.saved_micro_at(now).saturating_sub(MICRO);
        self.counted_at = self.counted_at.max(now);
    }

    /// Drops what is saved and waits for a random part of the node's interval, so that nodes start apart.
    pub fn restart<R>(&mut self, now: clock::Instant, rng: &mut R)
    where
        R: Rng,
    {
        self.saved_micro = 0;
        let interval_ms = (MICRO / self.micro_per_ms()).max(1);
        self.counted_at = now.after_ms(rng.random_range(0..interval_ms));
    }

    fn depth_micro(&self) -> u64 {
        (self.budget_per_s * MICRO / 3 / self.sharers).max(MICRO)
    }

    fn saved_micro_at(&self, now: clock::Instant) -> u64 {
        let gained_micro = now.since_ms(self.counted_at) * self.micro_per_ms();
        self.saved_micro
            .saturating_add(gained_micro)
            .min(self.depth_micro())
    }

    fn micro_per_ms(&self) -> u64 {
        let micro_per_s = self.budget_per_s * MICRO * 2 / 3 / self.sharers;
        (micro_per_s / clock::SECOND_MS).max(1)
    }
}
