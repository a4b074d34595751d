//! Health of one endpoint as observed by one node: outlier detection, ejection and readmission.

use crate::clock;

/// Weight of a new sample in the moving averages of the failure rate and the latency ratio.
const AVERAGE_GAIN: f64 = 0.1;
/// Number of consecutive failures that make an endpoint an outlier.
const CONSECUTIVE_FAILURES_MAX: u32 = 5;
/// Minimum number of samples before the averages are evaluated.
const SAMPLES_MIN: u64 = 20;
/// Failure rate above which an endpoint is an outlier, unless the others fail at a similar rate.
const FAILURE_RATE_MAX: f64 = 0.4;
/// Multiple of the median latency ratio above which an endpoint is an outlier.
const LATENCY_FACTOR_MAX: f64 = 3.0;
/// Duration of the first ejection, in milliseconds.
const EJECTION_MS: u64 = clock::SECOND_MS;
/// Maximum duration of an ejection, in milliseconds.
const EJECTION_MAX_MS: u64 = 30 * clock::SECOND_MS;
/// Number of consecutive successful probes that readmit an endpoint.
const PROBE_SUCCESSES_MIN: u32 = 3;

/// Outcome of an attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A complete answer was received.
    Answered {
        /// Time from send to answer, as a multiple of the mean service time of the request's kind.
        latency_ratio: f64,
    },
    /// The connection failed, the answer was truncated or malformed, or the endpoint returned a server error.
    Failed,
    /// No answer was received in time.
    TimedOut,
    /// The endpoint replied that it has no capacity and did not run the request.
    Refused,
    /// The caller disconnected; the outcome does not affect the endpoint's health.
    Abandoned,
}

/// State of an endpoint, which decides the requests it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Gets any request.
    Healthy,
    /// Gets no requests until this time.
    Ejected(clock::Instant),
    /// Gets one idempotent request at a time, as a probe.
    Probing {
        /// Number of consecutive successful probes so far.
        successes: u32,
        /// True while a probe is in progress.
        in_progress: bool,
    },
}

#[derive(Clone, Debug)]
pub(super) struct Health {
    pub(super) state: State,
    pub(super) latency_ratio: f64,
    failure_rate: f64,
    consecutive_failures: u32,
    samples: u64,
    ejections: u32,
}

/// Medians over all endpoints of the service, the baseline for outliers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Medians {
    pub(super) latency_ratio: f64,
    pub(super) failure_rate: f64,
}

impl Health {
    pub(super) fn new() -> Self {
        Self {
            state: State::Healthy,
            latency_ratio: 1.0,
            failure_rate: 0.0,
            consecutive_failures: 0,
            samples: 0,
            ejections: 0,
        }
    }

    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    pub(super) fn record(&mut self, outcome: Outcome) {
        let failure_sample = match outcome {
            Outcome::Answered { latency_ratio } => {
                self.latency_ratio += AVERAGE_GAIN * (latency_ratio - self.latency_ratio);
                0.0
            }
            Outcome::Failed | Outcome::TimedOut => 1.0,
            Outcome::Refused | Outcome::Abandoned => return,
        };
        self.samples += 1;
        self.failure_rate += AVERAGE_GAIN * (failure_sample - self.failure_rate);
        self.consecutive_failures = if failure_sample > 0.0 {
            self.consecutive_failures + 1
        } else {
            0
        };
    }

    /// Returns true if the endpoint performs clearly worse than the median.
    pub(super) fn is_outlier(&self, medians: Medians) -> bool {
        if self.consecutive_failures >= CONSECUTIVE_FAILURES_MAX {
            return true;
        }
        if self.samples < SAMPLES_MIN {
            return false;
        }
        let fails_often =
            self.failure_rate > FAILURE_RATE_MAX && self.failure_rate > 2.0 * medians.failure_rate;
        fails_often || self.latency_ratio > LATENCY_FACTOR_MAX * medians.latency_ratio
    }

    /// Ejects the endpoint for a duration that doubles with each ejection, up to [`EJECTION_MAX_MS`].
    pub(super) fn eject(&mut self, now: clock::Instant) {
        let factor = 1_u64 << self.ejections.min(10);
        let duration_ms = (EJECTION_MS * factor).min(EJECTION_MAX_MS);
        self.ejections += 1;
        self.state = State::Ejected(now.after_ms(duration_ms));
    }

    /// Records the outcome of a probe: readmits the endpoint, continues to probe it, or ejects it again.
    pub(super) fn end_probe(&mut self, now: clock::Instant, outcome: Outcome, medians: Medians) {
        let State::Probing { successes, .. } = self.state else {
            return;
        };
        match outcome {
            Outcome::Answered { latency_ratio }
                if latency_ratio <= LATENCY_FACTOR_MAX * medians.latency_ratio =>
            {
                self.state = State::Probing {
                    successes: successes + 1,
                    in_progress: false,
                };
                if successes + 1 >= PROBE_SUCCESSES_MIN {
                    self.readmit();
                }
            }
            Outcome::Refused | Outcome::Abandoned => {
                self.state = State::Probing {
                    successes,
                    in_progress: false,
                };
            }
            Outcome::Answered { .. } | Outcome::Failed | Outcome::TimedOut => self.eject(now),
        }
    }

    fn readmit(&mut self) {
        let ejections = self.ejections.saturating_sub(1);
        *self = Self {
            ejections,
            ..Self::new()
        };
    }
}
