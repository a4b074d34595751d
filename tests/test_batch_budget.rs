//! The rate limiter keeps calls under a limit per second.

use wasabiloft::batch::rate_limit::RateLimiter;
use wasabiloft::clock::Instant;

fn acquire_all(limiter: &mut RateLimiter, from_ms: u64, to_ms: u64, step_ms: u64) -> u64 {
    let mut calls = 0;
    let mut at = from_ms;
    while at < to_ms {
        while limiter.try_acquire(Instant::from_ms(at)) {
            calls += 1;
        }
        at += step_ms;
    }
    calls
}

#[test]
fn no_second_exceeds_the_limit() {
    for limit in [1, 20, 64, 215] {
        for step_ms in [1, 50, 150, 700] {
            let mut limiter = RateLimiter::new(limit, Instant::from_ms(5));
            acquire_all(&mut limiter, 5, 3_005, step_ms);
            // After an idle time a full bucket adds to the refill rate.
            let calls = acquire_all(&mut limiter, 9_000, 10_000, step_ms);
            assert!(calls <= limit, "{calls} of {limit} every {step_ms} ms");
        }
    }
}

#[test]
fn most_of_the_limit_can_be_used() {
    let mut limiter = RateLimiter::new(200, Instant::ZERO);
    let calls = acquire_all(&mut limiter, 0, 10_000, 150);
    assert!(calls >= 1_500, "{calls} in 10 s");
}

#[test]
fn a_small_limit_still_lets_a_call_through() {
    let mut limiter = RateLimiter::new(0, Instant::ZERO);
    assert!(limiter.try_acquire(Instant::ZERO));
    assert!(!limiter.try_acquire(Instant::from_ms(10)));
    assert!(limiter.try_acquire(Instant::from_ms(2_000)));
}
