//! Which node claims the batch duty first, and when a leader steps down.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wasabiloft::batch::succession;
use wasabiloft::clock::Instant;

const STRONG: u64 = 500;
const WEAK: u64 = 120;
/// A follower notices a dead leader at the latest after a heartbeat's interval, its timeout and a refused repeat.
const NOTICE_MS: u64 = 650;

#[test]
fn strong_node_claims_before_weak_one_notices() {
    let strong = succession::claim_delay_ms(STRONG, Some(STRONG));
    let weak = succession::claim_delay_ms(WEAK, Some(STRONG));
    assert_eq!(strong, 0);
    assert!(weak >= NOTICE_MS, "weak nodes wait {weak} ms");
}

#[test]
fn first_claim_goes_to_the_strongest() {
    let delays = [1_000, 500, 250, 120].map(|milli| succession::claim_delay_ms(milli, None));
    assert!(delays.is_sorted(), "{delays:?}");
    assert!(delays[3] - delays[1] >= 300, "{delays:?}");
}

#[test]
fn equal_nodes_never_wait_for_each_other() {
    for milli in [120, 250, 500, 2_000] {
        assert_eq!(succession::claim_delay_ms(milli, Some(milli)), 0);
        assert!(!succession::steps_down(milli, milli, u64::MAX / 2));
        assert_eq!(
            succession::heartbeat_ms(milli, Some(milli), true),
            succession::heartbeat_ms(milli, None, true)
        );
    }
}

#[test]
fn weak_leader_steps_down_but_not_at_once() {
    assert!(!succession::steps_down(WEAK, STRONG, 500));
    assert!(succession::steps_down(WEAK, STRONG, 5_000));
    assert!(!succession::steps_down(STRONG, WEAK, 5_000));
}

#[test]
fn weak_node_takes_over_when_no_strong_one_remains() {
    // After its claim the row holds its own capacity, so nodes of equal capacity no longer wait.
    assert!(succession::claim_delay_ms(WEAK, Some(STRONG)) < 1_000);
    assert_eq!(succession::claim_delay_ms(WEAK, Some(WEAK)), 0);
}

#[test]
fn node_without_a_stated_capacity_delays_no_claim() {
    assert_eq!(succession::claim_delay_ms(WEAK, Some(0)), 0);
    assert!(succession::claim_delay_ms(0, None) >= succession::claim_delay_ms(WEAK, None));
}

/// The load of 132 weak followers on a leader of half a core.
#[test]
fn weak_followers_send_few_heartbeats_unless_the_store_is_silent() {
    let per_s = |store_answers| 132_000 / succession::heartbeat_ms(120, Some(500), store_answers);
    assert!(per_s(true) <= 70, "{} heartbeats a second", per_s(true));
    // The configuration is proved often enough by the leader alone, within three quarters of two seconds.
    assert!(succession::heartbeat_ms(120, Some(500), false) <= 1_500 / 2 + 100);
}

/// Returns after how many milliseconds a row that nobody writes has been unchanged for 0.8 s, while some of the reads are
/// refused, in thousandths.
fn noticed_after_ms(refused_milli: u32, seed: u64) -> u64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut row = succession::RowWatch::default();
    let mut now = Instant::from_ms(10_000);
    let began_at = now;
    while row.unchanged_ms(7, now) < 800 && now.since_ms(began_at) < 60_000 {
        let is_soon = if rng.random_range(0..1_000) < refused_milli {
            row.refused(now)
        } else {
            row.read(7, now);
            true
        };
        now = now.after_ms(if is_soon { 100 } else { 250 });
    }
    now.since_ms(began_at)
}

/// Guards against a lost leader that nobody replaces for as long as the store refuses most calls, as each refused read hid
/// how long the row had been unchanged.
#[test]
fn a_lost_leader_is_noticed_while_most_reads_are_refused() {
    for seed in 0..1_000 {
        let after_ms = noticed_after_ms(600, seed);
        assert!(after_ms < 20_000, "{after_ms} ms with seed {seed}");
    }
    assert_eq!(noticed_after_ms(0, 1), 800);
}

/// Guards against a leader that is taken for lost since the store refused this node all reads for a while.
#[test]
fn the_time_around_refused_reads_does_not_count() {
    let mut row = succession::RowWatch::default();
    let now = Instant::from_ms(10_000);
    assert!(row.read(7, now));
    assert!(row.refused(now.after_ms(100)));
    assert!(!row.refused(now.after_ms(5_000)));
    assert!(!row.read(7, now.after_ms(9_000)));
    assert_eq!(row.unchanged_ms(7, now.after_ms(9_100)), 100);
    assert!(row.read(8, now.after_ms(9_200)));
    row.unanswered();
    assert!(row.read(8, now.after_ms(20_000)));
}
