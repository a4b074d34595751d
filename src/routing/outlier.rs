//! The health of one endpoint as one node sees it.

use crate::clock;

/// Weight of a new sample in the failure rate and in the slowness.
const GAIN: f64 = 0.1;
/// Failures in a row that make an endpoint an outlier.
const FAILURES_IN_ROW: u32 = 5;
/// Samples that are needed before rates are judged.
const SAMPLES_MIN: u64 = 20;
/// An endpoint that fails this part of its requests is an outlier, unless the others fail alike.
const FAILURE_RATE: f64 = 0.4;
/// An endpoint this many times as slow as the middle one is an outlier.
const SLOWNESS_RATIO: f64 = 3.0;
/// Length of the first ejection, in milliseconds.
const EJECT_MS: u64 = clock::SECOND_MS;
/// Length of the longest ejection, in milliseconds.
const EJECT_MAX_MS: u64 = 30 * clock::SECOND_MS;
/// Good probes in a row that readmit an endpoint.
const PROBES_GOOD: u32 = 3;

/// How an attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A whole answer came.
    Answered {
        /// Time from send to answer as a ratio to the kind's learned mean.
        slowness: f64,
    },
    /// The connection failed, the answer was cut or garbage, or the endpoint answered with a server error.
    Failed,
    /// No answer came in time.
    TimedOut,
    /// The endpoint said that it has no room and did not run the request.
    Refused,
    /// The caller went away; it says nothing about the endpoint.
    Abandoned,
}

/// What an endpoint may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Work.
    Healthy,
    /// Nothing until then.
    Ejected(clock::Instant),
    /// One request at a time.
    Probing {
        /// Good answers in a row so far.
        good: u32,
        /// True while a probe is under way.
        busy: bool,
    },
}

/// Health of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct Health {
    pub(super) state: State,
    pub(super) slowness: f64,
    failure_rate: f64,
    failures_in_row: u32,
    samples: u64,
    ejections: u32,
}

/// What the other endpoints look like.
#[derive(Clone, Copy, Debug)]
pub(super) struct Middle {
    pub(super) slowness: f64,
    pub(super) failure_rate: f64,
}

impl Health {
    pub(super) fn new() -> Self {
        Self {
            state: State::Healthy,
            slowness: 1.0,
            failure_rate: 0.0,
            failures_in_row: 0,
            samples: 0,
            ejections: 0,
        }
    }

    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    pub(super) fn record(&mut self, outcome: Outcome) {
        let failed = match outcome {
            Outcome::Answered { slowness } => {
                self.slowness += GAIN * (slowness - self.slowness);
                0.0
            }
            Outcome::Failed | Outcome::TimedOut => 1.0,
            Outcome::Refused | Outcome::Abandoned => return,
        };
        self.samples += 1;
        self.failure_rate += GAIN * (failed - self.failure_rate);
        self.failures_in_row = if failed > 0.0 {
            self.failures_in_row + 1
        } else {
            0
        };
    }

    /// Tells whether the endpoint does clearly worse than the middle one.
    pub(super) fn is_outlier(&self, middle: Middle) -> bool {
        if self.failures_in_row >= FAILURES_IN_ROW {
            return true;
        }
        if self.samples < SAMPLES_MIN {
            return false;
        }
        let fails =
            self.failure_rate > FAILURE_RATE && self.failure_rate > 2.0 * middle.failure_rate;
        fails || self.slowness > SLOWNESS_RATIO * middle.slowness
    }

    /// Ejects the endpoint for a time that doubles with each ejection.
    pub(super) fn eject(&mut self, now: clock::Instant) {
        let factor = 1_u64 << self.ejections.min(10);
        let length_ms = (EJECT_MS * factor).min(EJECT_MAX_MS);
        self.ejections += 1;
        self.state = State::Ejected(now.after_ms(length_ms));
    }

    /// Judges a probe that has ended.
    pub(super) fn end_probe(&mut self, now: clock::Instant, outcome: Outcome, middle: Middle) {
        let State::Probing { good, .. } = self.state else {
            return;
        };
        match outcome {
            Outcome::Answered { slowness } if slowness <= SLOWNESS_RATIO * middle.slowness => {
                self.state = State::Probing {
                    good: good + 1,
                    busy: false,
                };
                if good + 1 >= PROBES_GOOD {
                    self.readmit();
                }
            }
            Outcome::Refused | Outcome::Abandoned => {
                self.state = State::Probing { good, busy: false };
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
