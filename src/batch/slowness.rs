//! Decision whether this node runs slowly.
//!
//! Answers the load in which the VM of the leader gets a seventh of its usual processor for seconds: its timers fire tens
//! to hundreds of milliseconds late, and each message takes seven times as long, while other nodes run normally. A burst
//! of work also delays timers. It differs in that the process uses its usual share of the processor meanwhile, which
//! explains the delay.

use std::collections::VecDeque;

use crate::clock;

/// Interval of the timer whose lateness is measured, in milliseconds. A process that runs for 10 ms of every 70 ms is 50 ms
/// late with it; with a timer of 50 ms it was only 20 ms late, as busy nodes are.
pub const TIMER_MS: u64 = 20;
/// Minimum unexplained delay of a slow sample, in milliseconds; a healthy node on a shared host stays below.
const DELAY_MIN_MS: u64 = 30;
/// The same without a figure of processor time, in milliseconds. On half of a core with thousands of task starts in 2 s,
/// timers are 20 to 60 ms late and planning rounds take up to 20 ms.
const DELAY_MIN_UNKNOWN_MS: u64 = 90;
/// Minimum length of a planning round, and minimum age of a command not yet sent, that count as evidence together with a
/// late timer, in milliseconds; four times a healthy round.
const WORK_MIN_MS: u64 = 80;
/// A figure counts as evidence at this multiple of the node's own baseline; the slowdown is by seven times.
const BASELINE_FACTOR: u64 = 4;
/// The node counts as slow only if its delay is this multiple of the median of the other nodes.
const PEERS_FACTOR: u64 = 3;
/// Upper bound of a baseline, in milliseconds, so that a node that was busy for long is still found to be slow.
const BASELINE_MAX_MS: u64 = 60;
/// A baseline falls to half within this many samples without a higher figure; about 10 s.
const BASELINE_HALF_LIFE: u64 = 512;
/// A baseline approaches a higher figure by one part in this many with each sample, so that the first samples of a slow
/// node don't hide those that follow.
const BASELINE_RISE_DIVISOR: u64 = 16;
/// Sum of the delays of slow samples at which the node counts as slow, in milliseconds.
const EVIDENCE_MS: u64 = 200;
/// Maximum sum of delays that is kept, in milliseconds.
const EVIDENCE_MAX_MS: u64 = 600;
/// Maximum evidence of one sample, in milliseconds; below [`EVIDENCE_MS`], as one long stall is no slowdown.
const EVIDENCE_SAMPLE_MAX_MS: u64 = 150;
/// Samples after the start of the process that are no evidence; a process that starts is late.
const WARM_UP_SAMPLES: u32 = 100;
/// One long stall is no slowdown, so a slow node has at least this many slow samples.
const SLOW_SAMPLES_MIN: u32 = 2;
/// A sample that isn't slow removes its length divided by this from the evidence; a slow node's timers are late whenever
/// it works, not each time.
const DECAY_DIVISOR: u64 = 2;
/// A slow node counts as recovered after this time without a slow sample, in milliseconds.
const RECOVERED_MS: u64 = 3_000;
/// A node was slow recently for this long after its last slow sample, in milliseconds; above the length of a takeover and
/// the pause between two handovers of a leader.
const RECENT_MS: u64 = 5_000;
/// Time over which the reported delay is averaged, in milliseconds.
const AVERAGE_MS: u64 = 500;

/// What was measured between two firings of the timer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Time since the previous sample, in milliseconds.
    pub elapsed_ms: u64,
    /// How late the timer fired, in milliseconds.
    pub late_ms: u64,
    /// Processor time that the process received, in milliseconds; `None` if unknown.
    pub cpu_ms: Option<u64>,
    /// Longest planning round that ended, in milliseconds; 0 if there was none.
    pub round_ms: u64,
    /// Longest time that a command waited in this process before it was sent, in milliseconds.
    pub unsent_ms: u64,
}

/// A node's speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speed {
    /// The node runs as usual.
    Usual,
    /// There is some evidence that the node is slow; enough to prepare a handover.
    Suspected,
    /// The node is slow.
    Slow,
}

/// The figures behind a decision, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Average unexplained delay of the timer, in milliseconds.
    pub delay_ms: u64,
    /// Lateness of the timer in the newest slow sample, in milliseconds.
    pub late_ms: u64,
    /// Longest planning round in the newest slow sample, in milliseconds.
    pub round_ms: u64,
    /// Age of the oldest unsent command in the newest slow sample, in milliseconds.
    pub unsent_ms: u64,
    /// Baseline of the unexplained delay, in milliseconds.
    pub baseline_ms: u64,
}

/// A decaying maximum of the figures that were not slow.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    micros: u64,
}

impl Baseline {
    fn update(&mut self, ms: u64) {
        let decayed = self.micros - self.micros / (BASELINE_HALF_LIFE * 3 / 2);
        let micros = ms.min(BASELINE_MAX_MS) * 1_000;
        self.micros = decayed + micros.saturating_sub(decayed) / BASELINE_RISE_DIVISOR;
    }

    fn ms(self) -> u64 {
        self.micros / 1_000
    }

    fn limit_ms(self, minimum_ms: u64) -> u64 {
        minimum_ms.max(self.ms() * BASELINE_FACTOR)
    }
}

/// Decides from samples whether this node is slow.
#[derive(Clone, Debug)]
pub struct Detector {
    cpu_milli: u64,
    /// Length and unexplained delay of the newest samples, in milliseconds.
    recent: VecDeque<(u64, u64)>,
    /// Running average of the unexplained delay, in microseconds.
    average_micros: u64,
    late: Baseline,
    round: Baseline,
    unsent: Baseline,
    evidence_ms: u64,
    slow_samples: u32,
    samples: u32,
    slow_at: Option<clock::Instant>,
    is_slow: bool,
    figures: Figures,
}

impl Detector {
    /// Creates the detector of a node with this CPU capacity, in thousandths of a core.
    pub fn new(cpu_milli: u64) -> Self {
        Self {
            cpu_milli: cpu_milli.max(1),
            recent: VecDeque::new(),
            average_micros: 0,
            late: Baseline::default(),
            round: Baseline::default(),
            unsent: Baseline::default(),
            evidence_ms: 0,
            slow_samples: 0,
            samples: 0,
            slow_at: None,
            is_slow: false,
            figures: Figures::default(),
        }
    }

    /// Records a sample. `peers_delay_ms` is the median delay that the other nodes report; `None` if unknown.
    pub fn observe(&mut self, sample: Sample, peers_delay_ms: Option<u64>, now: clock::Instant) {
        let delay_ms = self.unexplained_ms(&sample);
        self.samples = self.samples.saturating_add(1);
        let evidence_ms = if self.samples > WARM_UP_SAMPLES {
            self.evidence_of(&sample, delay_ms)
                .min(EVIDENCE_SAMPLE_MAX_MS)
        } else {
            0
        };
        self.recent
            .push_back((sample.elapsed_ms, delay_ms.max(evidence_ms)));
        let mut kept_ms: u64 = self.recent.iter().map(|(elapsed, _)| elapsed).sum();
        while self.recent.len() > 1 && kept_ms > AVERAGE_MS {
            kept_ms -= self.recent.pop_front().map_or(0, |(elapsed, _)| elapsed);
        }
        if evidence_ms > 0 {
            self.evidence_ms = (self.evidence_ms + evidence_ms).min(EVIDENCE_MAX_MS);
            self.slow_samples += 1;
            self.figures = Figures {
                late_ms: sample.late_ms,
                round_ms: sample.round_ms,
                unsent_ms: sample.unsent_ms,
                ..self.figures
            };
        } else {
            let decay_ms = sample.elapsed_ms / DECAY_DIVISOR;
            self.evidence_ms = self.evidence_ms.saturating_sub(decay_ms);
            if self.evidence_ms == 0 {
                self.slow_samples = 0;
            }
            if self.evidence_ms == 0 && !self.is_slow {
                self.late.update(sample.late_ms);
                self.round.update(sample.round_ms);
                self.unsent.update(sample.unsent_ms);
                let weighted = self.average_micros * (BASELINE_HALF_LIFE - 1) + delay_ms * 1_000;
                self.average_micros = weighted / BASELINE_HALF_LIFE;
            }
        }
        self.figures.delay_ms = self.delay_ms();
        self.figures.baseline_ms = self.average_micros / 1_000;
        let exceeds_peers = peers_delay_ms.is_none_or(|peers| {
            self.evidence_ms > 0 && self.figures.delay_ms >= peers * PEERS_FACTOR
        });
        let is_proved = self.evidence_ms >= EVIDENCE_MS && self.slow_samples >= SLOW_SAMPLES_MIN;
        if is_proved && exceeds_peers {
            self.is_slow = true;
            if evidence_ms > 0 || self.slow_at.is_none() {
                self.slow_at = Some(now);
            }
        }
        let is_recovered = |at| now.since_ms(at) >= RECOVERED_MS;
        if self.evidence_ms < EVIDENCE_MS && self.slow_at.is_none_or(is_recovered) {
            self.is_slow = false;
        }
    }

    /// Returns the part of a timer's lateness that the processor time of the process doesn't explain, in milliseconds.
    ///
    /// At its usual share of the processor, the node would have needed `cpu_ms / share` for the work that it did.
    fn unexplained_ms(&self, sample: &Sample) -> u64 {
        let Some(cpu_ms) = sample.cpu_ms else {
            return sample.late_ms.saturating_sub(BASELINE_MAX_MS);
        };
        let usual_ms = cpu_ms * 1_000 / self.cpu_milli;
        sample.late_ms.saturating_sub(usual_ms)
    }

    /// Returns the evidence in a sample that the node is slow, in milliseconds; 0 for none.
    fn evidence_of(&self, sample: &Sample, delay_ms: u64) -> u64 {
        let baseline_ms = self.average_micros / 1_000;
        if sample.cpu_ms.is_some() && delay_ms >= DELAY_MIN_MS.max(baseline_ms * BASELINE_FACTOR) {
            return delay_ms;
        }
        // Some hosts count time that a VM didn't get as used. Then the same work takes far longer than it used to.
        let late_limit_ms = DELAY_MIN_UNKNOWN_MS.max(self.late.ms() * 3 / 2);
        let is_late = sample.late_ms >= late_limit_ms;
        let is_long = sample.round_ms >= self.round.limit_ms(WORK_MIN_MS)
            || sample.unsent_ms >= self.unsent.limit_ms(WORK_MIN_MS);
        if is_late && is_long {
            sample.late_ms - late_limit_ms / 2
        } else {
            0
        }
    }

    /// Returns the average unexplained delay of the timer over the last samples, in milliseconds.
    pub fn delay_ms(&self) -> u64 {
        let sum: u64 = self.recent.iter().map(|(_, delay)| delay).sum();
        sum / (self.recent.len().max(1) as u64)
    }

    /// Returns the node's speed.
    pub fn speed(&self) -> Speed {
        if self.is_slow {
            Speed::Slow
        } else if self.slow_samples > 0 && self.evidence_ms >= DELAY_MIN_MS {
            Speed::Suspected
        } else {
            Speed::Usual
        }
    }

    /// Returns whether the node is slow or was so in the last seconds, so that it doesn't claim the duty before others.
    pub fn was_slow(&self, now: clock::Instant) -> bool {
        self.is_slow || self.slow_at.is_some_and(|at| now.since_ms(at) < RECENT_MS)
    }

    /// Returns the figures behind the newest decision.
    pub fn figures(&self) -> Figures {
        self.figures
    }
}
