//! Rejected callers that come back, replayed over an outage of the store.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wasabiloft::batch::rejection;

/// Attempts that a caller makes in all.
const ATTEMPTS: u32 = 5;
/// Callers that arrive in each second.
const ARRIVALS_PER_S: u64 = 200;
/// Time that callers of one second take to arrive, in milliseconds.
const SECOND_MS: u64 = 1_000;

/// Replays an outage that begins at second 0; returns the share of its callers that are served after it, and the
/// largest number of callers that return in one second, as a multiple of the arrivals.
fn replay<F>(outage_s: u64, mut retry_after_s: F) -> (f64, f64)
where
    F: FnMut(u64) -> u64,
{
    let outage_ms = outage_s * SECOND_MS;
    let mut served = 0_u64;
    let mut returns = vec![0_u64; 64];
    let arrivals = outage_s * ARRIVALS_PER_S;
    for caller in 0..arrivals {
        let mut at_ms = caller * SECOND_MS / ARRIVALS_PER_S;
        for _ in 0..ATTEMPTS {
            if at_ms >= outage_ms {
                served += 1;
                returns[usize::try_from((at_ms - outage_ms) / SECOND_MS).expect("small")] += 1;
                break;
            }
            at_ms += retry_after_s(at_ms) * SECOND_MS;
        }
    }
    let peak = returns.iter().max().copied().unwrap_or(0);
    (
        served as f64 / arrivals as f64,
        peak as f64 / ARRIVALS_PER_S as f64,
    )
}

#[test]
fn callers_of_a_long_outage_outlast_it_and_return_spread_out() {
    let mut rng = SmallRng::seed_from_u64(5);
    let (served, peak) = replay(9, |outage_ms| {
        rejection::retry_after_s(outage_ms, rng.random())
    });
    assert!(served >= 0.95, "served {served}");
    assert!(peak <= 4.0, "{peak} times the arrivals in one second");
    let (fixed, _) = replay(9, |_| 1);
    assert!(fixed < served, "a fixed wait serves {fixed}");
}

#[test]
fn callers_of_a_short_outage_come_back_soon() {
    let mut rng = SmallRng::seed_from_u64(6);
    for outage_ms in [0, 300, 1_500] {
        let wait_s = rejection::retry_after_s(outage_ms, rng.random());
        assert!((1..=2).contains(&wait_s), "{wait_s} s after {outage_ms} ms");
    }
    for outage_ms in (0..60_000).step_by(250) {
        let wait_s = rejection::retry_after_s(outage_ms, rng.random());
        assert!(wait_s <= 6, "{wait_s} s after {outage_ms} ms");
    }
}
