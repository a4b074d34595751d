//! Sustained demand of a pool, smoothed so that changes within seconds move no VM.

use crate::clock;

/// Time constant of the average, in milliseconds.
pub const SMOOTHING_MS: u64 = 30 * clock::MINUTE_MS;
/// Average use of a pool's runners, in thousandths, above which the pool requests more runners.
pub const USE_MAX_MILLI: u64 = 900;
/// Demand must request a different number of VMs for this long before that number takes effect, in
/// milliseconds.
pub const SUSTAIN_MS: u64 = 30 * clock::MINUTE_MS;

/// Average demand of one pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    average_milli: f64,
    observed_at: Option<clock::Instant>,
    change_since: Option<clock::Instant>,
    extra: u32,
}

impl Demand {
    /// Records the current demand, in thousandths of a runner; `runners` is what the documents
    /// require.
    pub fn observe(&mut self, now: clock::Instant, used_milli: u64, runners: u32) {
        let elapsed_ms = self
            .observed_at
            .map_or(0, |previous| now.since_ms(previous));
        let weight = 1.0 - (-(elapsed_ms as f64) / SMOOTHING_MS as f64).exp();
        self.average_milli += weight * (used_milli as f64 - self.average_milli);
        self.observed_at = Some(now);
        let desired = self.desired_extra(runners);
        if desired == self.extra {
            self.change_since = None;
            return;
        }
        let since = *self.change_since.get_or_insert(now);
        if now.since_ms(since) >= SUSTAIN_MS {
            self.extra = desired;
            self.change_since = None;
        }
    }

    /// Returns the runners beyond the documents' that sustained demand requires.
    pub fn extra(&self) -> u32 {
        self.extra
    }

    /// Returns the runners that current demand requires, with a hysteresis of one runner on the way
    /// down.
    fn desired_extra(&self, runners: u32) -> u32 {
        let needed = (self.average_milli / USE_MAX_MILLI as f64).ceil() as u32;
        let desired = needed.saturating_sub(runners);
        if desired + 1 == self.extra {
            return self.extra;
        }
        desired
    }
}
