//! Learned service times.

/// Weight of a new sample in the mean.
const MEAN_GAIN: f64 = 0.05;
/// The quantile that [`ServiceTime::high_ms`] follows.
const HIGH_QUANTILE: f64 = 0.95;
/// Step of the quantile's estimate, as a part of the mean.
const HIGH_STEP: f64 = 0.05;

/// The learned time that a kind's requests hold a slot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceTime {
    mean_ms: f64,
    high_ms: f64,
    samples: u64,
}

impl ServiceTime {
    /// Learns from one finished request.
    pub fn record(&mut self, busy_ms: f64) {
        self.samples += 1;
        if self.samples == 1 {
            self.mean_ms = busy_ms;
            self.high_ms = busy_ms;
            return;
        }
        let gain = MEAN_GAIN.max(1.0 / self.samples as f64);
        self.mean_ms += gain * (busy_ms - self.mean_ms);
        self.move_high(busy_ms);
    }

    /// The mean, in milliseconds; zero before the first sample.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// A high quantile, in milliseconds; zero before the first sample.
    pub fn high_ms(&self) -> f64 {
        self.high_ms.max(self.mean_ms)
    }

    fn move_high(&mut self, busy_ms: f64) {
        let step = HIGH_STEP * self.mean_ms;
        if busy_ms > self.high_ms {
            self.high_ms += step * HIGH_QUANTILE;
        } else {
            self.high_ms -= step * (1.0 - HIGH_QUANTILE);
        }
    }
}
