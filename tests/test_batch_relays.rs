//! Division of the workers among relays.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wasabiloft::batch::relays::{FrameAge, Relays, Route, Strength};
use wasabiloft::batch::{list_pause, recovery_pages};
use wasabiloft::clock::Instant;
use wasabiloft::id;

fn strength(data_centre: &str, cpu_milli: u64, link_mbps: u64) -> Strength {
    Strength {
        data_centre: id::DataCentre::new(data_centre),
        cpu_milli,
        link_kbit_per_s: link_mbps * 1_000,
    }
}

fn address(node: u16) -> SocketAddr {
    ([10, 0, 0, 1], 7_000 + node).into()
}

fn now() -> Instant {
    Instant::from_ms(10_000)
}

/// Routes `count` workers in turn over data centres until nothing changes, and returns the number on each route.
fn route_all(
    relays: &mut Relays,
    count: usize,
    at: Instant,
) -> BTreeMap<Option<SocketAddr>, usize> {
    let mut routes = BTreeMap::new();
    for _ in 0..2 {
        routes.clear();
        for number in 0..count {
            let worker = id::Worker::new(&format!("w{number}"));
            let data_centre = id::DataCentre::new(["a", "b", "c"][number % 3]);
            let route = match relays.route(&worker, &data_centre, at) {
                Route::Direct => None,
                Route::Relay(address) => Some(address),
            };
            *routes.entry(route).or_default() += 1;
        }
    }
    routes
}

#[test]
fn the_leader_of_a_small_fleet_uses_no_relay() {
    let mut relays = Relays::new(strength("a", 250, 1_000));
    for node in 0..7 {
        relays.heard(address(node), strength("a", 250, 1_000), now());
    }
    let routes = route_all(&mut relays, 56, now());
    assert_eq!(routes, [(None, 56)].into());
}

/// The load of hundreds of machines: 1,100 workers, 14 strong followers and many weak ones.
#[test]
fn a_large_fleet_is_spread_over_strong_nodes_near_the_workers() {
    let mut relays = Relays::new(strength("a", 500, 200));
    for node in 0..14 {
        let data_centre = ["a", "b", "c"][usize::from(node) % 3];
        relays.heard(address(node), strength(data_centre, 500, 200), now());
    }
    for node in 14..147 {
        let data_centre = ["a", "b", "c"][usize::from(node) % 3];
        relays.heard(address(node), strength(data_centre, 120, 20), now());
    }
    let routes = route_all(&mut relays, 1_100, now());
    assert_eq!(routes.get(&None), None, "the leader only decides");
    assert!(routes.len() <= 14, "{} connections", routes.len());
    let most = routes.values().max().copied().unwrap_or(0);
    assert!(most <= 125, "{most} workers on one relay");
    for number in 0..3_u16 {
        let worker = id::Worker::new(&format!("w{number}"));
        let name = ["a", "b", "c"][usize::from(number)];
        let data_centre = id::DataCentre::new(name);
        let Route::Relay(relay) = relays.route(&worker, &data_centre, now()) else {
            panic!("no relay");
        };
        assert_eq!(
            relay.port() % 3,
            (7_000 + number) % 3,
            "another data centre"
        );
    }
}

#[test]
fn a_thin_link_carries_few_workers() {
    let mut relays = Relays::new(strength("a", 120, 2));
    for node in 0..17 {
        relays.heard(address(node), strength("a", 120, 2), now());
    }
    let routes = route_all(&mut relays, 130, now());
    for (route, count) in &routes {
        assert!(*count <= 25, "{count} workers on {route:?}");
    }
}

#[test]
fn workers_of_a_failed_or_silent_relay_get_another_route() {
    let mut relays = Relays::new(strength("a", 20, 1_000));
    for node in 0..3 {
        relays.heard(address(node), strength("a", 250, 1_000), now());
    }
    let before = route_all(&mut relays, 100, now());
    assert!(before.len() >= 3, "{before:?}");
    relays.failed(address(0), now());
    let after = route_all(&mut relays, 100, now());
    assert_eq!(after.get(&Some(address(0))), None);
    assert_eq!(after.values().sum::<usize>(), 100);
    // Nobody is heard any more: the leader sends all commands itself.
    let later = now().after_ms(10_000);
    assert_eq!(route_all(&mut relays, 100, later), [(None, 100)].into());
    let (direct, relayed) = relays.counts();
    assert_eq!((direct, relayed), (100, 0));
}

#[test]
fn workers_leave_an_overloaded_leader_when_followers_appear() {
    let mut relays = Relays::new(strength("a", 120, 20));
    assert_eq!(route_all(&mut relays, 300, now()), [(None, 300)].into());
    for node in 0..10 {
        relays.heard(address(node), strength("a", 120, 20), now());
    }
    let routes = route_all(&mut relays, 300, now());
    let direct = routes.get(&None).copied().unwrap_or(0);
    assert!(direct <= 60, "{direct} of 300 workers on the leader");
    assert!(routes.values().all(|count| *count <= 60));
}

#[test]
fn a_long_list_is_read_less_often_on_a_weak_node() {
    let pause_ms = list_pause::pause_ms;
    assert_eq!(
        pause_ms(56, 15_000, 250, 1_000_000),
        list_pause::PAUSE_MIN_MS
    );
    let (machines, bytes) = (1_100, 275_000);
    let strong_ms = pause_ms(machines, bytes, 500, 200_000);
    let weak_ms = pause_ms(machines, bytes, 120, 20_000);
    assert!(strong_ms <= 300, "{strong_ms}");
    assert!((500..=1_000).contains(&weak_ms), "{weak_ms}");
    // 130 machines on 2 Mbit/s: a fifth of the link at most.
    let thin_ms = pause_ms(130, 32_000, 120, 2_000);
    assert!(32_000 * 8 * 1_000 / thin_ms <= 400_000, "{thin_ms}");
}

#[test]
fn rows_are_recovered_in_reads_that_the_link_carries() {
    for (link_mbps, seconds) in [(2, 1), (20, 1), (200, 1), (1_000, 1)] {
        let reads = recovery_pages::reads(link_mbps * 1_000);
        let bytes = u64::from(reads.rows_max) * 2_000 * reads.at_once as u64;
        assert!(
            bytes * 8 <= link_mbps * 1_000_000 * seconds,
            "{link_mbps} Mbit/s: {bytes} bytes at once"
        );
    }
    let wide = recovery_pages::reads(1_000_000);
    assert_eq!((wide.rows_max, wide.at_once), (500, 16));
}

/// The load of a leader whose own link is full: all relays time out within a second.
#[test]
fn relays_that_fail_together_are_kept() {
    let mut relays = Relays::new(strength("a", 20, 1_000));
    for node in 0..12 {
        relays.heard(address(node), strength("a", 250, 1_000), now());
    }
    let before = route_all(&mut relays, 600, now());
    let direct_before = before.get(&None).copied().unwrap_or(0);
    for node in 0..10 {
        relays.failed(address(node), now().after_ms(u64::from(node) * 50));
    }
    let after = route_all(&mut relays, 600, now().after_ms(600));
    let direct = after.get(&None).copied().unwrap_or(0);
    assert!(direct <= direct_before, "{direct} workers on the full link");
    assert!(after.len() >= 8, "{after:?}");
}

/// Commands that wait while a relay is suspended are refused, on any setting of the clocks, also after hours of drift.
#[test]
fn commands_older_than_a_second_are_refused() {
    for offset_ms in [0, 5_000, 90_000_000] {
        let mut age = FrameAge::default();
        let mut sent_ms = 100_000_000;
        // The receiver's clock runs 1 % fast.
        let received = |sent_ms: u64| sent_ms * 101 / 100 - offset_ms;
        for _ in 0..20_000 {
            sent_ms += 150;
            assert!(!age.is_stale(sent_ms, received(sent_ms) + sent_ms % 40));
        }
        assert!(!age.is_stale(sent_ms, received(sent_ms) + 700));
        assert!(age.is_stale(sent_ms, received(sent_ms) + 1_500));
        assert!(!age.is_stale(sent_ms + 1_500, received(sent_ms + 1_500)));
    }
}

/// Guards against commands that wait for a slow relay until they count as unanswered (250 ms).
#[test]
fn a_slow_relay_is_bypassed_and_comes_back() {
    let mut relays = Relays::new(strength("a", 20, 1_000));
    for node in 0..8 {
        relays.heard(address(node), strength("a", 250, 1_000), now());
    }
    let before = route_all(&mut relays, 300, now());
    let used: Vec<SocketAddr> = before.keys().copied().flatten().collect();
    assert!(used.len() >= 4, "{before:?}");
    let slow = used[0];
    let times = |slow_ms| -> Vec<(SocketAddr, u64)> {
        let time = |relay: &SocketAddr| (*relay, if *relay == slow { slow_ms } else { 8 });
        used.iter().map(time).collect()
    };
    assert_eq!(relays.measured(&times(90), 1, now()), [], "only busy");
    // A ping that is unanswered for 120 ms, when no command has been unanswered for 250 ms.
    assert_eq!(relays.measured(&times(120), 1, now()), [slow]);
    let after = route_all(&mut relays, 300, now());
    assert_eq!(after.get(&Some(slow)), None);
    assert_eq!(
        after.get(&None),
        before.get(&None),
        "on the leader's own link"
    );
    let back = now().after_ms(1_000);
    assert_eq!(relays.measured(&times(8), 1, back), []);
    let again = route_all(&mut relays, 400, back);
    assert!(again.contains_key(&Some(slow)), "{again:?}");
    // Still slow: the second pause is longer.
    assert_eq!(relays.measured(&times(300), 1, back), [slow]);
    assert_eq!(relays.measured(&times(300), 1, back.after_ms(1_500)), []);
    assert_eq!(
        relays.measured(&times(300), 1, back.after_ms(2_000)),
        [slow]
    );
}

/// A slow leader measures all relays as slow, and moving its workers would only cost it time.
#[test]
fn relays_are_not_bypassed_if_all_are_slow_or_the_leader_is() {
    let mut relays = Relays::new(strength("a", 20, 1_000));
    for node in 0..8 {
        relays.heard(address(node), strength("a", 250, 1_000), now());
    }
    route_all(&mut relays, 300, now());
    let all: Vec<(SocketAddr, u64)> = (0..8).map(|node| (address(node), 200)).collect();
    assert_eq!(relays.measured(&all, 1, now()), []);
    let one = [(address(0), 200)];
    assert_eq!(relays.measured(&one, 60, now()), []);
    assert_eq!(relays.measured(&one, 5, now()), [address(0)]);
}

/// A slow relay with all others full keeps its workers: the leader's own link is no better.
#[test]
fn a_slow_relay_without_replacement_is_kept() {
    let mut relays = Relays::new(strength("a", 20, 1_000));
    relays.heard(address(0), strength("a", 250, 1_000), now());
    let before = route_all(&mut relays, 40, now());
    assert_eq!(
        relays.measured(&[(address(0), 400)], 1, now()),
        [address(0)]
    );
    assert_eq!(route_all(&mut relays, 40, now()), before);
}
