//! Measures how late this process runs, decides from it whether the node is slow, and excuses the workers for the time in
//! which the process itself didn't run.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::time;
use wasabiloft::batch::slowness;

use crate::batch::{leadership, shared};
use crate::clock;
use crate::log;

/// Lateness of the timer from which on the time doesn't count as silence of the workers, in milliseconds; a busy leader's
/// timers are up to 60 ms late.
const STALL_MIN_MS: u64 = 100;

/// Figures of this process since the previous sample, and the decision whether it is slow.
#[derive(Debug)]
pub struct Meter {
    detector: Mutex<slowness::Detector>,
    round_ms: AtomicU64,
    unsent_ms: AtomicU64,
}

impl Meter {
    /// Creates the meter of a node with this CPU capacity, in thousandths of a core.
    pub fn new(cpu_milli: u64) -> Self {
        Self {
            detector: Mutex::new(slowness::Detector::new(cpu_milli)),
            round_ms: AtomicU64::new(0),
            unsent_ms: AtomicU64::new(0),
        }
    }

    /// Locks and returns the detector.
    pub fn detector(&self) -> MutexGuard<'_, slowness::Detector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the length of a planning round, in milliseconds.
    pub fn record_round(&self, ms: u64) {
        self.round_ms.fetch_max(ms, Ordering::Relaxed);
    }

    /// Records how long a command waited in this process before it was sent, in milliseconds.
    pub fn record_unsent(&self, ms: u64) {
        self.unsent_ms.fetch_max(ms, Ordering::Relaxed);
    }

    /// Returns the average delay of the timer that the process's own work doesn't explain, in milliseconds.
    pub fn delay_ms(&self) -> u64 {
        self.detector().delay_ms()
    }

    /// Returns whether this node is slow or was so in the last seconds.
    pub fn was_slow(&self) -> bool {
        self.detector().was_slow(clock::since_boot())
    }
}

/// Returns the processor time that this process has used, in milliseconds.
fn cpu_ms() -> u64 {
    let used = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(used.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(used.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
}

/// Takes samples until the node stops, and hands the duty over if this node leads it and is slow.
pub async fn run(shared: Arc<shared::Shared>) {
    let mut sampled_at = clock::since_boot();
    let mut cpu_before_ms = cpu_ms();
    let mut was_slow = false;
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            () = time::sleep(Duration::from_millis(slowness::TIMER_MS)) => {}
        }
        let now = clock::since_boot();
        let cpu_now_ms = cpu_ms();
        let elapsed_ms = now.since_ms(sampled_at);
        let sample = slowness::Sample {
            elapsed_ms,
            late_ms: elapsed_ms.saturating_sub(slowness::TIMER_MS),
            cpu_ms: Some(cpu_now_ms.saturating_sub(cpu_before_ms)),
            round_ms: shared.meter.round_ms.swap(0, Ordering::Relaxed),
            unsent_ms: shared.meter.unsent_ms.swap(0, Ordering::Relaxed),
        };
        (sampled_at, cpu_before_ms) = (now, cpu_now_ms);
        let leadership = shared.leadership();
        let peers_delay_ms = leadership
            .as_ref()
            .and_then(|leadership| leadership.handover().peers_delay_ms(now));
        let (speed, figures) = {
            let mut detector = shared.meter.detector();
            detector.observe(sample, peers_delay_ms, now);
            (detector.speed(), detector.figures())
        };
        let is_slow = speed == slowness::Speed::Slow;
        if is_slow != was_slow {
            log::info(
                "duty",
                &format!(
                    "node slow={is_slow} delay_ms={} late_ms={} round_ms={} unsent_ms={} baseline_ms={} peers_delay_ms={}",
                    figures.delay_ms,
                    figures.late_ms,
                    figures.round_ms,
                    figures.unsent_ms,
                    figures.baseline_ms,
                    peers_delay_ms.map_or(-1, u64::cast_signed),
                ),
            );
            was_slow = is_slow;
        }
        if let Some(leadership) = leadership {
            if sample.late_ms >= STALL_MIN_MS {
                leadership.scheduler().excuse_silence(sample.late_ms);
            }
            hand_over(&shared, &leadership, speed, figures, now);
        }
    }
}

fn hand_over(
    shared: &shared::Shared,
    leadership: &leadership::Leadership,
    speed: slowness::Speed,
    figures: slowness::Figures,
    now: wasabiloft::clock::Instant,
) {
    let mut handover = leadership.handover();
    let Some(successor) = handover.update(speed, figures.delay_ms, now) else {
        return;
    };
    let peers_delay_ms = handover.peers_delay_ms(now).unwrap_or(0);
    drop(handover);
    metrics::counter!("wasabiloft_handovers_total").increment(1);
    metrics::histogram!("wasabiloft_handover_delay_ms").record(figures.delay_ms as f64);
    log::info(
        "duty",
        &format!(
            "hands over epoch={} successor={} prepared={} delay_ms={} late_ms={} round_ms={} unsent_ms={} baseline_ms={} \
             peers_delay_ms={peers_delay_ms} successor_delay_ms={}",
            leadership.epoch,
            successor.node,
            successor.prepared,
            figures.delay_ms,
            figures.late_ms,
            figures.round_ms,
            figures.unsent_ms,
            figures.baseline_ms,
            successor.delay_ms,
        ),
    );
    shared.set_successor(successor.incarnation);
    leadership.hand_over(successor);
}
