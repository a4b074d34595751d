//! What a leader may still do: a new leader holds off from machines that the previous leader commanded recently, and a
//! leader that stood still sends nothing.

use proptest::{prop_assert, proptest};
use wasabiloft::batch::{authority, machine_commands, scheduler};
use wasabiloft::clock::Instant;

const LEASE_MS: u64 = 3_000;

proptest! {
    #![proptest_config(crate::fixed_seed(500))]

    /// Guards against two leaders commanding one machine within a lease: the previous leader's clock lags by a
    /// response's delay, and it sends its command as late as it is allowed to.
    #[test]
    fn commands_of_two_leaders_are_a_lease_apart(
        commanded_ms in 10_000_u64..50_000,
        lag_ms in 0_u64..=400,
        wait_ms in 0_u64..5_000,
        send_delay_ms in 0_u64..=300,
        read_after_ms in 0_u64..6_000,
    ) {
        let written_ms = commanded_ms - lag_ms;
        let sent = machine_commands::may_send(Instant::from_ms(0), Instant::from_ms(wait_ms));
        if sent {
            let arrives_ms = commanded_ms + wait_ms + send_delay_ms;
            let read_ms = commanded_ms + read_after_ms;
            let next_ms = read_ms + machine_commands::holdoff_ms(written_ms, read_ms, LEASE_MS);
            prop_assert!(next_ms >= arrives_ms + LEASE_MS || read_ms >= arrives_ms + LEASE_MS);
        }
    }
}

#[test]
fn machines_without_a_recent_command_have_no_holdoff() {
    assert_eq!(machine_commands::holdoff_ms(1_000, 20_000, LEASE_MS), 0);
    assert!(machine_commands::holdoff_ms(19_000, 20_000, LEASE_MS) >= 2_000);
}

#[test]
fn a_command_that_waited_too_long_is_not_sent() {
    let written = Instant::from_ms(100);
    assert!(machine_commands::may_send(written, Instant::from_ms(130)));
    assert!(!machine_commands::may_send(
        written,
        Instant::from_ms(1_200)
    ));
}

/// Guards against commands of a leader that stood still: its successor doesn't expect them any more.
#[test]
fn a_leader_that_stood_still_sends_nothing_until_a_later_commit_succeeds() {
    let at = Instant::from_ms;
    let mut authority = authority::Authority::new(at(990), at(1_000));
    assert_eq!(authority.observe(at(1_300)), None);
    assert!(authority.may_act());
    assert_eq!(authority.observe(at(4_800)), Some(3_500));
    assert!(!authority.may_act());
    assert!(
        !authority.committed(at(1_200), true),
        "sent before it stood still"
    );
    assert_eq!(authority.observe(at(4_850)), None);
    assert!(!authority.may_act());
    assert!(authority.committed(at(4_810), false));
    assert!(authority.may_act());
}

proptest! {
    #![proptest_config(crate::fixed_seed(500))]

    /// Guards against two runs of a task: a start or a lease that the previous leader decided before it stood still lapses
    /// before its successor takes the worker for lapsed, however late it arrives.
    #[test]
    fn what_a_frozen_leader_decided_lapses_before_its_successor_acts(
        decided_ms in 0_u64..1_000,
        frozen_ms in authority::HEARTBEAT_TIMEOUT_MS..6_000,
        claimed_after_ms in authority::HEARTBEAT_TIMEOUT_MS..3_000,
        arrival_ms in 0_u64..8_000,
        worker_clock_milli in 980_u64..=1_000,
    ) {
        // The leader stands still right after its decision; its follower's heartbeat times out before the claim.
        let decided_at = Instant::from_ms(decided_ms);
        let mut leader = authority::Authority::new(decided_at, decided_at);
        let resumed_ms = decided_ms + frozen_ms;
        leader.observe(Instant::from_ms(resumed_ms));
        prop_assert!(!leader.may_act(), "it decides nothing more");
        let successor_acts_ms = decided_ms + claimed_after_ms + scheduler::lease_expiry_ms(LEASE_MS);
        let lapses_ms = decided_ms + LEASE_MS * 1_000 / worker_clock_milli;
        let stopped_ms = lapses_ms + 200;
        // A command that arrives after its lease is refused as late.
        prop_assert!(arrival_ms >= LEASE_MS * 1_000 / worker_clock_milli || stopped_ms < successor_acts_ms);
    }
}

/// Length of the workers' leases, in milliseconds.
const WORKER_LEASE_MS: u64 = 4_000;

/// Returns when a lease that is granted at `now` has certainly ended on a slow worker.
fn lease_ended_ms(leader: &authority::Authority, now: Instant) -> u64 {
    let left_ms = leader.leases_end(WORKER_LEASE_MS).since_ms(now);
    now.as_ms() + left_ms.min(WORKER_LEASE_MS * 1_020 / 1_000) + 300
}

/// Guards against two runs of a task: a leader that doesn't reach the store runs on and renews leases, while its successor
/// waits for those that were granted before its own beginning.
#[test]
fn a_leader_without_the_store_grants_no_lease_beyond_its_successors_wait() {
    let at = Instant::from_ms;
    let leader = authority::Authority::new(at(990), at(1_000));
    for now_ms in (1_000..9_000).step_by(50) {
        let successor_acts_ms = 990 + scheduler::lease_expiry_ms(WORKER_LEASE_MS);
        let ended_ms = lease_ended_ms(&leader, at(now_ms));
        assert!(ended_ms <= successor_acts_ms.max(now_ms + 300), "{now_ms}");
    }
}

/// Guards against leases that lapse everywhere while the store answers nobody, in which case nobody can take over.
#[test]
fn leases_are_renewed_while_all_followers_confirm() {
    let at = Instant::from_ms;
    let mut leader = authority::Authority::new(at(990), at(1_000));
    // The store answers until then.
    let outage_ms = 3_750;
    for now_ms in (1_250..20_000).step_by(250) {
        let confirmed_at = at(now_ms - 250);
        if now_ms <= outage_ms {
            leader.committed(at(now_ms), leader.commits_only(at(now_ms)));
        }
        leader.heard("n2", 7, Some(confirmed_at), at(now_ms));
        leader.heard("n3", 8, Some(confirmed_at), at(now_ms));
        let left_ms = leader.leases_end(WORKER_LEASE_MS).since_ms(at(now_ms));
        let may_renew = now_ms < 4_000 || left_ms >= 3_900;
        assert!(may_renew, "{now_ms} {left_ms}");
    }
}

/// Guards against a claim of a follower's ended process that is committed late, while its next process confirms the leader.
#[test]
fn an_ended_incarnation_of_a_follower_is_waited_for_until_a_later_commit() {
    let at = Instant::from_ms;
    let mut leader = authority::Authority::new(at(990), at(1_000));
    leader.committed(at(4_000), false);
    leader.heard("n2", 7, Some(at(4_000)), at(4_100));
    leader.heard("n2", 8, None, at(8_000));
    leader.heard("n2", 8, Some(at(8_000)), at(8_250));
    let end = leader.leases_end(WORKER_LEASE_MS);
    assert!(end.as_ms() <= 4_000 + scheduler::lease_expiry_ms(WORKER_LEASE_MS));
    leader.committed(at(8_300), false);
    leader.heard("n2", 8, Some(at(9_000)), at(9_250));
    let end = leader.leases_end(WORKER_LEASE_MS);
    assert!(end.as_ms() > 9_000 + WORKER_LEASE_MS);
}

proptest! {
    #![proptest_config(crate::fixed_seed(500))]

    /// Guards against leases that outlast a successor's wait: a follower takes over at any time after its newest
    /// confirmation, while others go on confirming.
    #[test]
    fn a_lease_ends_before_the_successor_of_a_follower_that_fell_silent_acts(
        silent_from_ms in 2_000_u64..30_000,
        claimed_after_ms in 0_u64..10_000,
        granted_after_ms in 0_u64..10_000,
        restarts in proptest::bool::ANY,
    ) {
        let at = Instant::from_ms;
        let mut leader = authority::Authority::new(at(990), at(1_000));
        let granted_ms = silent_from_ms + granted_after_ms;
        // The store is away from the beginning; a commit before has said that the leader counts on its followers.
        leader.committed(at(1_000), false);
        let mut confirmed_ms = 0;
        for now_ms in (1_250..=granted_ms).step_by(250) {
            let confirmed_at = at(now_ms - 250);
            leader.heard("n2", 7, Some(confirmed_at), at(now_ms));
            if now_ms <= silent_from_ms {
                leader.heard("n3", 8, Some(confirmed_at), at(now_ms));
                confirmed_ms = now_ms - 250;
            } else if restarts && now_ms > silent_from_ms + 1_000 {
                leader.heard("n3", 9, None, at(now_ms));
            }
        }
        // The newest response that it confirmed was sent before it claimed.
        let began_ms = confirmed_ms + claimed_after_ms;
        let successor_acts_ms = began_ms + scheduler::lease_expiry_ms(WORKER_LEASE_MS);
        let ended_ms = lease_ended_ms(&leader, at(granted_ms));
        prop_assert!(ended_ms <= successor_acts_ms.max(granted_ms + 300));
    }

    /// Guards against silent changes of the bound: a follower that stops doesn't hold the others back.
    #[test]
    fn a_stopped_follower_is_not_waited_for(stopped_ms in 3_000_u64..10_000) {
        let at = Instant::from_ms;
        let mut leader = authority::Authority::new(at(990), at(1_000));
        leader.committed(at(1_000), false);
        leader.heard("n3", 8, Some(at(1_100)), at(1_200));
        leader.stopped("n3", 8);
        let now = at(stopped_ms + 9_000);
        leader.heard("n2", 7, Some(at(now.as_ms() - 250)), now);
        prop_assert!(leader.leases_end(WORKER_LEASE_MS).since_ms(now) > 3_900);
    }
}
