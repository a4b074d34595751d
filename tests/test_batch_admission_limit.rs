//! Admission limits of accounts, replayed through uneven nodes with lost heartbeats.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wasabiloft::batch::accounts::{Account, Accounts, Limits};
use wasabiloft::batch::admission_limit::{Change, Gate, Limit, Limiter, Settings, exceeds_quota};
use wasabiloft::batch::spec;
use wasabiloft::clock::Instant;
use wasabiloft::id;
use wasabiloft::platform::Resources;

use crate::fake_workers;

const NODES: usize = 40;
/// Nodes with a strong processor, which send a heartbeat every 250 ms.
const STRONG: usize = 6;
const STEP_MS: u64 = 50;
const SETTINGS: Settings = Settings {
    window_ms: 4_000,
    overage_milli: 100,
    slack_jobs: 4,
};
const FLOOD_MS: std::ops::Range<u64> = 12_000..18_000;
/// When jobs of all accounts wait too long, as the pool is full.
const LATE_MS: std::ops::Range<u64> = 13_000..26_000;
const FLOOD_FACTOR: f64 = 6.6;
/// Share of the heartbeats that are lost.
const LOST: f64 = 0.15;
/// Time after which a follower repeats a heartbeat without a response, in milliseconds.
const REPEAT_MS: u64 = 500;
const RETRIES: u32 = 4;

fn name(number: usize) -> id::Account {
    id::Account::new(&format!("account-{number:02}"))
}

/// Returns 20 accounts with rates of 2 to 6 jobs a second; the first sends the flood.
fn accounts() -> Accounts {
    let account = |number: usize| Account {
        weight_milli: if number == 0 {
            6_000
        } else {
            2_000 + 200 * number as u64
        },
        ..Account::default()
    };
    let by_name: BTreeMap<_, _> = (0..20).map(|at| (name(at), account(at))).collect();
    Accounts::new(by_name, Vec::new()).0
}

struct Node {
    gate: Gate,
    beat_at_ms: u64,
    down_until_ms: u64,
}

#[derive(Default)]
struct Replay {
    /// Admitted submissions of the account that sends the flood, by half second.
    admitted: BTreeMap<u64, u64>,
    others_rejected: u64,
    flood_rejected: u64,
    cut_off_rejected: u64,
    cut_off_admitted: u64,
    changes: Vec<Change>,
    /// Heartbeats of all nodes without a strong processor, by second.
    beats: BTreeMap<u64, u64>,
}

/// Replays 40 s. The last node hears no reply of the leader from the middle of the flood on.
fn replay(seed: u64, steady_ms: u64) -> Replay {
    let mut rng = SmallRng::seed_from_u64(seed);
    let accounts = accounts();
    let mut limiter = Limiter::default();
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|number| Node {
            gate: Gate::default(),
            beat_at_ms: number as u64 * 50,
            down_until_ms: 0,
        })
        .collect();
    let mut seen = Replay::default();
    let mut returning: BTreeMap<u64, Vec<u32>> = BTreeMap::new();
    let cut_off_ms = FLOOD_MS.start + 2_000;
    for at_ms in (0..40_000).step_by(STEP_MS as usize) {
        let now = Instant::from_ms(at_ms);
        if rng.random_bool(0.02) {
            let victim = rng.random_range(0..NODES - 1);
            nodes[victim].gate = Gate::default();
            nodes[victim].down_until_ms = at_ms + rng.random_range(500..3_000);
        }
        let mut calls: Vec<(usize, u32)> = Vec::new();
        for (number, (_, account)) in accounts.iter().enumerate() {
            let factor = if number > 0 {
                0.9
            } else if FLOOD_MS.contains(&at_ms) {
                FLOOD_FACTOR
            } else {
                0.8
            };
            let expected = account.weight_milli as f64 / 1e6 * STEP_MS as f64 * factor;
            let extra = rng.random_bool(expected.fract());
            let count = expected as u64 + u64::from(extra);
            calls.extend((0..count).map(|_| (number, 0)));
        }
        let returned = returning.remove(&at_ms).unwrap_or_default();
        calls.extend(returned.into_iter().map(|tries| (0, tries)));
        for (account, tries) in calls {
            // Every eleventh call goes to a strong node, in place of one in forty.
            let at = loop {
                let at = if rng.random_bool(0.3) {
                    rng.random_range(0..STRONG)
                } else {
                    rng.random_range(0..NODES)
                };
                if nodes[at].down_until_ms <= at_ms {
                    break at;
                }
            };
            let node = &mut nodes[at];
            let account_name = name(account);
            let outcome = node.gate.admit(&account_name, rng.random(), now);
            let settings = accounts.get(&account_name).expect("known");
            if node.gate.offered(&SETTINGS, &account_name, settings, now) {
                node.beat_at_ms = at_ms;
            }
            let is_cut_off = at == NODES - 1 && at_ms >= cut_off_ms + 2_000;
            match outcome {
                Ok(()) if account == 0 => {
                    *seen.admitted.entry(at_ms / 500).or_default() += 1;
                    seen.cut_off_admitted += u64::from(is_cut_off);
                }
                Ok(()) => {}
                Err(wait_s) if account == 0 => {
                    seen.flood_rejected += 1;
                    seen.cut_off_rejected += u64::from(is_cut_off);
                    assert!((1..=5).contains(&wait_s), "{wait_s} s");
                    if tries < RETRIES {
                        let back_ms = at_ms + wait_s * 1_000;
                        returning.entry(back_ms).or_default().push(tries + 1);
                    }
                }
                Err(_) => seen.others_rejected += 1,
            }
        }
        for (number, node) in nodes.iter_mut().enumerate() {
            if node.beat_at_ms > at_ms || node.down_until_ms > at_ms {
                continue;
            }
            let regular_ms = if number < STRONG { 250 } else { 2_000 };
            if number >= STRONG {
                *seen.beats.entry(at_ms / 1_000).or_default() += 1;
            }
            let report = node.gate.report(&SETTINGS, now);
            let mut is_answered = false;
            if !rng.random_bool(LOST) {
                limiter.report(&format!("front-{number}"), report, now);
                let is_cut_off = number == NODES - 1 && at_ms >= cut_off_ms;
                if !is_cut_off && !rng.random_bool(LOST) {
                    node.gate.replied(limiter.limits(), limiter.nodes(now), now);
                    is_answered = true;
                }
            }
            node.beat_at_ms = if is_answered {
                at_ms + node.gate.heartbeat_ms(regular_ms, now)
            } else {
                at_ms + REPEAT_MS
            };
        }
        if limiter.is_due(now) {
            let late: BTreeSet<id::Account> = if LATE_MS.contains(&at_ms) {
                (0..20).map(name).collect()
            } else {
                BTreeSet::new()
            };
            let decisions = limiter.decide(&SETTINGS, &accounts, &late, steady_ms, now);
            for decision in decisions {
                assert_eq!(decision.account, name(0), "{decision:?}");
                seen.changes.push(decision.change);
            }
        }
    }
    seen
}

/// Guards against a flood that is admitted in full, and against limits that hit accounts within their rate.
#[test]
fn flood_approaches_its_rate_within_one_window_and_no_other_account_is_rejected() {
    let (mut sum, seeds) = (0.0, 20);
    for seed in 0..seeds {
        let seen = replay(seed, 60_000);
        let from = FLOOD_MS.start + 1_000 + SETTINGS.window_ms;
        let half_seconds = from / 500..(FLOOD_MS.end + 2_000) / 500;
        let span_s = (half_seconds.end - half_seconds.start) as f64 / 2.0;
        let admitted: u64 = half_seconds
            .map(|at| seen.admitted.get(&at).copied().unwrap_or(0))
            .sum();
        let rate = admitted as f64 / span_s / 6.0;
        let most = seen.beats.values().max().copied().unwrap_or(0);
        println!(
            "seed {seed}: {rate:.2} of the rate, {} rejected, at most {most} heartbeats a second, {:?}",
            seen.flood_rejected, seen.changes
        );
        assert!(
            (0.4..=2.0).contains(&rate),
            "seed {seed}: {rate} of its rate"
        );
        sum += rate;
        assert!(seen.flood_rejected > 50, "{}", seen.flood_rejected);
        assert_eq!(seen.others_rejected, 0, "seed {seed}");
        assert_eq!(seen.changes.first(), Some(&Change::Entered));
        assert_eq!(seen.changes.last(), Some(&Change::Left));
        assert!(seen.changes.len() <= 4, "{:?}", seen.changes);
        assert!(most <= 80, "{most} heartbeats in a second");
    }
    let mean = sum / f64::from(seeds as u32);
    println!("mean: {mean:.2} of the rate");
    assert!((0.8..=1.3).contains(&mean), "{mean} of the rate");
}

/// Guards against nodes that enforce a limit of which they no longer hear.
#[test]
fn node_without_a_fresh_reply_admits_all() {
    let mut admitted = 0;
    for seed in 0..20 {
        let seen = replay(seed, 60_000);
        assert_eq!(seen.cut_off_rejected, 0, "seed {seed}");
        admitted += seen.cut_off_admitted;
    }
    assert!(admitted > 0, "the cut-off node was offered nothing");
}

/// Guards against limits of accounts whose callers return together after an outage.
#[test]
fn no_limit_begins_soon_after_an_outage() {
    let seen = replay(1, 5_000);
    assert_eq!(seen.flood_rejected, 0);
}

#[test]
fn retry_after_is_spread_over_the_time_in_which_the_rate_has_room() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut gate = Gate::default();
    let limit = Limit {
        account: name(0),
        admitted_milli: 0,
        room_ms: 2_600,
    };
    gate.replied(vec![limit], 40, Instant::ZERO);
    let waits: BTreeSet<u64> = (0..100)
        .filter_map(|_| gate.admit(&name(0), rng.random(), Instant::ZERO).err())
        .collect();
    assert_eq!(waits, BTreeSet::from([1, 2, 3]));
    assert_eq!(gate.admit(&name(1), rng.random(), Instant::ZERO), Ok(()));
}

/// Guards against accepted jobs that can never start.
#[test]
fn task_or_gang_beyond_the_quota_is_found() {
    let limits = Limits {
        cpu_milli: Some(2_500),
        ..Limits::default()
    };
    let small = fake_workers::step(8, &[]);
    let large = spec::Step {
        need: Resources {
            cpu_milli: 3_000,
            ..small.need
        },
        ..small.clone()
    };
    let gang = spec::Step {
        gang: true,
        ..small.clone()
    };
    let step = |steps: Vec<spec::Step>| {
        let spec = spec::Spec {
            text: String::new(),
            steps,
            schedule: None,
        };
        exceeds_quota(&limits, &spec).map(|found| found.step)
    };
    assert_eq!(step(vec![small.clone()]), None);
    assert_eq!(step(vec![small.clone(), large]), Some(1));
    assert_eq!(step(vec![gang, small]), Some(0));
}
