//! Throttling of best-effort tasks, which use spare CPU time, on workers that also run serving tasks.

/// Tail latency above which best-effort tasks back off, in thousandths of the target; below 1,000 because the
/// measurements lag by half a second.
const BACKOFF_ABOVE_MILLI: u64 = 900;
/// Tail latency below which best-effort tasks speed up, in thousandths of the target.
const INCREASE_BELOW_MILLI: u64 = 600;
/// CPU share that one increase adds, in percent; small steps approach the limit without overshooting it far.
const INCREASE_PERCENT: u32 = 10;
/// Smallest CPU share above zero, in percent; a reduction below it gives 0.
const MIN_PERCENT: u32 = 10;

/// Returns the next CPU share of a best-effort task, in percent.
///
/// `serving` holds the tail latency and its target, both in milliseconds, of each serving task on the same worker.
/// The share halves when a tail latency comes near its target, and grows in steps while all are well below.
pub fn next_share(share: u32, serving: &[(u64, u64)]) -> u32 {
    let worst_milli = serving
        .iter()
        .map(|(tail_ms, target_ms)| tail_ms * 1_000 / target_ms.max(&1))
        .max()
        .unwrap_or(0);
    if worst_milli > BACKOFF_ABOVE_MILLI {
        let half = share / 2;
        return if half < MIN_PERCENT { 0 } else { half };
    }
    if worst_milli < INCREASE_BELOW_MILLI {
        return (share + INCREASE_PERCENT).min(100);
    }
    share
}
