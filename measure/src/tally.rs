//! Counts of what callers saw.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use wasabiloft::verdict;

/// The longest latency that is told apart, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;

/// What the callers of one kind saw in one phase.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests sent.
    pub offered: u64,
    /// Whole answers in time.
    pub good: u64,
    /// Answers after the deadline.
    pub late: u64,
    /// Refusals, by reason.
    pub refused: BTreeMap<verdict::Reason, u64>,
    /// Slot time within the phase of good requests, whenever they were sent.
    pub good_slot_us: u64,
    /// Slot time within the phase of all requests, whenever they were sent.
    pub slot_us: u64,
    answered_slot_us: u64,
    latency_us: Histogram<u64>,
}

impl Tally {
    /// Counts nothing yet.
    pub fn new() -> Self {
        let latency_us = Histogram::new_with_max(LATENCY_MAX_US, 3);
        Self {
            offered: 0,
            good: 0,
            late: 0,
            refused: BTreeMap::new(),
            good_slot_us: 0,
            slot_us: 0,
            answered_slot_us: 0,
            latency_us: latency_us.expect("the histogram's bounds are constants"),
        }
    }

    /// Counts an answer; tells whether it was in time.
    pub fn answer(&mut self, latency_us: u64, slot_us: u64, in_time: bool) {
        self.latency_us.saturating_record(latency_us);
        self.answered_slot_us += slot_us;
        if in_time {
            self.good += 1;
        } else {
            self.late += 1;
        }
    }

    /// Counts the part of a request's slot time that lies in the phase.
    pub fn occupy(&mut self, slot_us: u64, in_time: bool) {
        self.slot_us += slot_us;
        if in_time {
            self.good_slot_us += slot_us;
        }
    }

    /// The part of the requests that were answered in time.
    pub fn good_part(&self) -> f64 {
        self.good as f64 / self.offered.max(1) as f64
    }

    /// The 99th percentile of the latency of answers, in milliseconds.
    pub fn p99_ms(&self) -> f64 {
        self.latency_us.value_at_quantile(0.99) as f64 / 1_000.0
    }

    /// The mean slot time of a request, in microseconds.
    pub fn mean_slot_us(&self) -> f64 {
        self.answered_slot_us as f64 / (self.good + self.late).max(1) as f64
    }
}
