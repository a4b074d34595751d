//! Rejection: when a caller whose request did not run should come back.
//!
//! Answers the load of an outage of the store. Callers keep arriving while nothing can be accepted, and each has a few
//! attempts. If all came back after the same short time, those of the first seconds would use up their attempts during
//! the outage, and the rest would return in one wave.

/// Shortest time to wait, in seconds; the header that carries it has no smaller unit.
const WAIT_MIN_S: u64 = 1;
/// Longest time to wait before the spread, in seconds; above it a caller would miss the end of the outage by too much.
const WAIT_MAX_S: u64 = 4;
/// The wait is spread over up to this share of itself, in hundredths.
const SPREAD_PERCENT: u64 = 50;

/// Returns after how many seconds a caller should come back, `outage_ms` after the last sign of the store.
///
/// An outage of unknown length is expected to last as long again as it has lasted. `random` spreads the callers.
pub fn retry_after_s(outage_ms: u64, random: u64) -> u64 {
    let expected_s = (outage_ms / 1_000).clamp(WAIT_MIN_S, WAIT_MAX_S);
    let spread_s = (expected_s * SPREAD_PERCENT).div_ceil(100);
    expected_s + random % (spread_s + 1)
}
