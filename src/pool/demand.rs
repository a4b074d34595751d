//! Sustained demand of a pool, smoothed so that swings of seconds move no VM.

use crate::clock;

/// Time constant of the average, in milliseconds.
pub const SMOOTHING_MS: u64 = 30 * clock::MINUTE_MS;
/// The share of its runners, in thousandths, that a pool may use on average before it asks for more.
pub const BUSY_MAX_MILLI: u64 = 900;
/// Demand must ask for the same or more VMs for this long before one is moved.
pub const SUSTAIN_MS: u64 = 30 * clock::MINUTE_MS;

/// The average demand of one pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    average_milli: f64,
    seen_at: Option<clock::Instant>,
    above_since: Option<clock::Instant>,
    extra: u32,
}

impl Demand {
    /// Takes in what the pool would use now, in thousandths of a runner; `runners` is what its documents state.
    pub fn observe(&mut self, now: clock::Instant, used_milli: u64, runners: u32) {
        let passed_ms = self.seen_at.map_or(0, |seen| now.since_ms(seen));
        let weight = 1.0 - (-(passed_ms as f64) / SMOOTHING_MS as f64).exp();
        self.average_milli += weight * (used_milli as f64 - self.average_milli);
        self.seen_at = Some(now);
        let wanted = self.wanted(runners);
        if wanted == self.extra {
            self.above_since = None;
            return;
        }
        let since = *self.above_since.get_or_insert(now);
        if now.since_ms(since) >= SUSTAIN_MS {
            self.extra = wanted;
            self.above_since = None;
        }
    }

    /// Runners beyond the documents' that sustained demand asks for.
    pub fn extra(&self) -> u32 {
        self.extra
    }

    /// The wish of this moment, with one runner of hysteresis on the way down.
    fn wanted(&self, runners: u32) -> u32 {
        let needed = (self.average_milli / BUSY_MAX_MILLI as f64).ceil() as u32;
        let wanted = needed.saturating_sub(runners);
        if wanted + 1 == self.extra {
            return self.extra;
        }
        wanted
    }
}
