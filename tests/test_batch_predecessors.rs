//! What a new leader assumes of the leaders before it, and what follows from it.

use std::collections::BTreeSet;

use proptest::{prop_assert, proptest};
use wasabiloft::batch::predecessors::{Assumed, CountedOn, Earlier, Left, Wait};
use wasabiloft::batch::scheduler::{self, IncarnationEnd, Output, RecoveredState, Scheduler};
use wasabiloft::batch::{JobId, authority, predecessors, record, worker_state};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::fake_workers::{LEASE_MS, SERVICE, accepted, config, listing, settings, step};

fn row(commits_only: bool, earlier: Earlier) -> record::Duty {
    record::Duty {
        holder: String::from("n1"),
        epoch: 4,
        commits_only,
        earlier,
        ..record::Duty::default()
    }
}

fn assume(row: &record::Duty, has_ended: bool, counted_on: Option<(u64, u64)>) -> Earlier {
    let counted_on = counted_on.map(|(epoch, at_ms)| CountedOn {
        epoch,
        at: Instant::from_ms(at_ms),
    });
    let now = Instant::from_ms(100_000);
    let left = Left::default();
    predecessors::assume(Some(row), has_ended, counted_on.as_ref(), &left, now).earlier
}

/// Guards against a usual wait of a node that the leader doesn't count on: the leader runs on while others confirm it.
#[test]
fn a_node_that_the_leader_does_not_count_on_waits_longer() {
    let relies = row(false, Earlier::Ended);
    assert_eq!(assume(&relies, false, None), Earlier::Unconfirmed);
    assert_eq!(
        assume(&relies, false, Some((3, 99_900))),
        Earlier::Unconfirmed
    );
    assert_eq!(
        assume(&relies, false, Some((4, 20_000))),
        Earlier::Unconfirmed
    );
    assert_eq!(assume(&relies, false, Some((4, 99_900))), Earlier::Lapsing);
    assert_eq!(assume(&relies, true, None), Earlier::Ended);
    assert_eq!(
        assume(&row(true, Earlier::Ended), false, None),
        Earlier::Lapsing
    );
    assert_eq!(
        predecessors::assume(None, false, None, &Left::default(), Instant::ZERO).earlier,
        Earlier::Ended
    );
}

/// Guards against a third leader that takes the end of the second for the end of the first.
#[test]
fn what_a_leader_waits_for_is_waited_for_by_the_next() {
    for earlier in [Earlier::Lapsing, Earlier::Unconfirmed] {
        let row = row(true, earlier);
        assert_eq!(assume(&row, true, None), earlier);
        assert!(assume(&row, false, Some((4, 99_900))) >= earlier);
    }
}

/// Guards against a row whose wait is lost on its way through the store.
#[test]
fn a_row_without_the_fields_says_that_its_leader_counts_on_followers() {
    let text = r#"{"holder":"n1","address":"a","incarnation":1,"epoch":4,"commits":2}"#;
    let row: record::Duty = serde_json::from_str(text).expect("a row");
    assert!(!row.commits_only);
    let text = serde_json::to_string(&self::row(true, Earlier::Unconfirmed)).expect("a row");
    let read: record::Duty = serde_json::from_str(&text).expect("a row");
    assert_eq!(read, self::row(true, Earlier::Unconfirmed));
}

proptest! {
    #![proptest_config(crate::fixed_seed(500))]

    /// Guards against two runs of a task: a node that the leader never heard, or forgot, takes over while the leader has no
    /// store and its followers confirm it.
    #[test]
    fn no_lease_outlasts_the_wait_of_a_node_that_the_leader_does_not_know(
        outage_ms in 1_000_u64..20_000,
        claimed_after_ms in 0_u64..20_000,
        granted_after_ms in 0_u64..700_000,
    ) {
        let at = Instant::from_ms;
        let mut leader = authority::Authority::new(at(990), at(1_000));
        let mut row = row(true, Earlier::Ended);
        let mut committed_ms = 990;
        let granted_ms = committed_ms + granted_after_ms;
        for now_ms in (1_250..=granted_ms).step_by(250) {
            leader.heard("n2", 7, Some(at(now_ms - 250)), at(now_ms));
            if now_ms < outage_ms {
                row.commits_only = leader.commits_only(at(now_ms));
                leader.committed(at(now_ms), row.commits_only);
                committed_ms = now_ms;
            }
        }
        let began_ms = committed_ms + claimed_after_ms;
        let assumed = predecessors::assume(Some(&row), false, None, &Left::default(), at(began_ms)).earlier;
        let acts_ms = began_ms + assumed.wait_ms(LEASE_MS);
        let left_ms = leader.leases_end(LEASE_MS).since_ms(at(granted_ms));
        let ended_ms = granted_ms + left_ms.min(LEASE_MS * 1_020 / 1_000) + 300;
        prop_assert!(ended_ms <= acts_ms.max(granted_ms + 300), "{ended_ms} {acts_ms} {assumed:?}");
    }

    /// Guards against a follower that comes back after it was forgotten, and takes the leader for one that counts on it.
    #[test]
    fn a_leader_forgets_no_follower_that_may_believe_to_be_counted_on(
        silent_from_ms in 2_000_u64..10_000,
        outage_ms in 10_000_u64..100_000,
        claimed_after_ms in 0_u64..60_000,
        granted_after_ms in 0_u64..100_000,
    ) {
        let at = Instant::from_ms;
        let mut leader = authority::Authority::new(at(990), at(1_000));
        let granted_ms = outage_ms + granted_after_ms;
        let (mut heard_ms, mut committed_ms) = (0, 0);
        for now_ms in (1_250..=granted_ms).step_by(250) {
            leader.heard("n2", 7, Some(at(now_ms - 250)), at(now_ms));
            if now_ms <= silent_from_ms {
                leader.heard("n3", 8, Some(at(now_ms - 250)), at(now_ms));
                heard_ms = now_ms;
            }
            if now_ms < outage_ms {
                leader.committed(at(now_ms), leader.commits_only(at(now_ms)));
                committed_ms = now_ms;
            }
        }
        let began_ms = committed_ms + claimed_after_ms;
        let counted_on = CountedOn { epoch: 4, at: at(heard_ms) };
        let assumed = predecessors::assume(
            Some(&row(false, Earlier::Ended)), false, Some(&counted_on), &Left::default(), at(began_ms),
        ).earlier;
        let acts_ms = began_ms + assumed.wait_ms(LEASE_MS);
        let left_ms = leader.leases_end(LEASE_MS).since_ms(at(granted_ms));
        let ended_ms = granted_ms + left_ms.min(LEASE_MS * 1_020 / 1_000) + 300;
        prop_assert!(ended_ms <= acts_ms.max(granted_ms + 300), "{ended_ms} {acts_ms} {assumed:?}");
    }
}

/// Returns what a node that leaves the leader of epoch 4 tells its successors, if that leader answered its heartbeat that was
/// sent at `answered_ms`.
fn leave(answered_ms: u64, left_ms: u64) -> Vec<u64> {
    let counted_on = CountedOn {
        epoch: 4,
        at: Instant::from_ms(answered_ms),
    };
    let mut left = Left::default();
    left.row_read(4, Some(&counted_on), Instant::from_ms(left_ms));
    assert_eq!(left.epochs().count(), 0, "it follows that leader");
    left.row_read(5, Some(&counted_on), Instant::from_ms(left_ms));
    left.epochs().collect()
}

fn unconfirmed(epochs: &[u64]) -> Assumed {
    Assumed {
        earlier: Earlier::Unconfirmed,
        unconfirmed: epochs.iter().copied().collect(),
    }
}

/// Guards against a service that waits for minutes for one worker that can't be reached, although a follower of the leader
/// before has left it.
#[test]
fn a_follower_that_has_left_the_leader_before_bounds_its_leases() {
    let now = Instant::from_ms(100_000);
    let row = row(false, Earlier::Ended);
    let assumed = predecessors::assume(Some(&row), false, None, &Left::default(), now);
    assert_eq!(assumed, unconfirmed(&[4]));
    let mut wait = Wait::new(assumed.clone(), now);
    assert!(!wait.left([3, 5], now), "other leaders");
    assert_eq!(wait.standing(true, LEASE_MS, now), assumed);
    let heard = now.after_ms(900);
    assert!(wait.left(leave(99_000, 99_500), heard));
    let usual_ms = scheduler::lease_expiry_ms(LEASE_MS);
    let before = wait.standing(true, LEASE_MS, heard.after_ms(usual_ms - 1));
    assert_eq!(before.earlier, Earlier::Lapsing);
    assert_eq!(before.unconfirmed, BTreeSet::new());
    let after = wait.standing(true, LEASE_MS, heard.after_ms(usual_ms));
    assert_eq!(after, Assumed::default());
}

/// Guards against a leader that is forgotten between two takeovers: each one has to be left by a follower of its own.
#[test]
fn each_leader_before_has_to_be_left_by_a_follower() {
    let now = Instant::from_ms(100_000);
    let mut row = row(false, Earlier::Unconfirmed);
    row.unconfirmed = BTreeSet::from([2]);
    let assumed = predecessors::assume(Some(&row), false, None, &Left::default(), now);
    assert_eq!(assumed, unconfirmed(&[2, 4]));
    let mut wait = Wait::new(assumed, now);
    assert!(!wait.left(leave(99_000, 99_500), now));
    assert_eq!(wait.standing(true, LEASE_MS, now), unconfirmed(&[2]));
    assert!(wait.left([2], now));

    // What a node has left itself needs no other.
    let counted_on = CountedOn { epoch: 2, at: now };
    let mut left = Left::default();
    left.row_read(3, Some(&counted_on), now);
    let assumed = predecessors::assume(Some(&row), true, None, &left, now);
    assert_eq!(assumed.earlier, Earlier::Lapsing);
    assert_eq!(assumed.unconfirmed, BTreeSet::new());
}

/// Guards against a row of an earlier version, or one that can't be decoded, that names no leaders to be left.
#[test]
fn leaders_whose_epochs_are_not_known_are_never_bounded() {
    let now = Instant::from_ms(100_000);
    let row = row(true, Earlier::Unconfirmed);
    let from_row = predecessors::assume(Some(&row), true, None, &Left::default(), now);
    for assumed in [from_row, Assumed::unknown()] {
        assert_eq!(assumed.earlier, Earlier::Unconfirmed);
        let mut wait = Wait::new(assumed, now);
        assert!(!wait.left(0..100, now));
        assert_eq!(
            wait.standing(true, LEASE_MS, now).earlier,
            Earlier::Unconfirmed
        );
    }
}

/// Guards against a follower that the leader may have forgotten.
#[test]
fn a_follower_that_was_silent_for_long_has_not_left_its_leader() {
    assert_eq!(leave(10_000, 39_999), [4]);
    assert!(leave(10_000, 40_000).is_empty());
}

proptest! {
    #![proptest_config(crate::fixed_seed(500))]

    /// Guards against two runs of a task: a leader without the store renews a lease although a follower has left it.
    #[test]
    fn no_lease_outlasts_the_wait_after_a_follower_has_left(
        outage_ms in 3_000_u64..20_000,
        follows_ms in 0_u64..40_000,
        heard_after_ms in 0_u64..5_000,
        granted_after_ms in 0_u64..700_000,
    ) {
        let at = Instant::from_ms;
        let mut leader = authority::Authority::new(at(990), at(1_000));
        // The follower goes on for a while after the store is lost; another one never leaves.
        let left_ms = outage_ms + follows_ms;
        let heard_ms = left_ms + heard_after_ms;
        let granted_ms = outage_ms + granted_after_ms;
        for now_ms in (1_250..=granted_ms).step_by(250) {
            leader.heard("n2", 7, Some(at(now_ms - 250)), at(now_ms));
            if now_ms <= left_ms {
                leader.heard("n3", 8, Some(at(now_ms - 250)), at(now_ms));
            }
            if now_ms < outage_ms {
                leader.committed(at(now_ms), leader.commits_only(at(now_ms)));
            }
        }
        prop_assert!(!leave(left_ms, left_ms).is_empty());
        let acts_ms = heard_ms + scheduler::lease_expiry_ms(LEASE_MS);
        let left_ms = leader.leases_end(LEASE_MS).since_ms(at(granted_ms));
        let ended_ms = granted_ms + left_ms.min(LEASE_MS * 1_020 / 1_000) + 300;
        prop_assert!(ended_ms <= acts_ms.max(granted_ms + 300), "{ended_ms} {acts_ms}");
    }
}

/// A scheduler with one worker that answers, and one of earlier leaders that doesn't.
fn successor(earlier: Earlier) -> (Scheduler, Instant) {
    let rows = RecoveredState {
        workers: vec![(
            id::Worker::new("unheard"),
            record::WorkerRow::new(id::Service::new(SERVICE)),
        )],
        earlier,
        ..RecoveredState::default()
    };
    let now = Instant::from_ms(1_000);
    let mut scheduler = Scheduler::new(settings(), 2, config(), rows, now);
    scheduler.worker_listed(listing("heard"), now);
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
    (scheduler, now)
}

/// Returns the jobs of which a planning round starts tasks.
fn started(scheduler: &mut Scheduler, at: Instant) -> Vec<JobId> {
    started_on("heard", scheduler, at)
}

/// Returns the same, after an answer of this worker.
fn started_on(worker: &str, scheduler: &mut Scheduler, at: Instant) -> Vec<JobId> {
    let report = worker_state::Report {
        unreadable_runs: 0,
        unreadable_ends: 0,
        clock_ms: at.as_ms(),
        started_unix_ms: Some(1),
        running: Vec::new(),
        ended: Vec::new(),
    };
    scheduler.poll_answered(&id::Worker::new(worker), &report, at, at, 0);
    scheduler.tick(at, 0);
    scheduler.plan(at, 0);
    let outputs = scheduler.take_outputs();
    let starts = outputs.into_iter().filter_map(|output| match output {
        Output::Start(start) => Some(start.task.job),
        _ => None,
    });
    starts.collect()
}

/// Guards against a double start: an earlier leader, without the store, has heard of a job from a front and starts it on a
/// worker that doesn't answer its successor. Jobs that no earlier leader takes up don't wait.
#[test]
fn jobs_that_an_earlier_leader_may_have_taken_up_wait_for_silent_workers() {
    for earlier in [Earlier::Lapsing, Earlier::Unconfirmed] {
        let (mut scheduler, now) = successor(earlier);
        scheduler.job_accepted(JobId(7), accepted(vec![step(1, &[])], 3), now.after_ms(6));
        assert_eq!(started(&mut scheduler, now.after_ms(7)), []);
        let known_at = now.after_ms(predecessors::NEW_JOBS_MS);
        scheduler.jobs_read(known_at);
        scheduler.job_accepted(
            JobId(8),
            accepted(vec![step(1, &[])], 3),
            known_at.after_ms(1),
        );
        assert_eq!(started(&mut scheduler, known_at.after_ms(2)), [JobId(8)]);
        let usual = now.after_ms(scheduler::lease_expiry_ms(LEASE_MS));
        let after_usual = started(&mut scheduler, usual);
        assert_eq!(after_usual.is_empty(), earlier == Earlier::Unconfirmed);
        let later = now.after_ms(earlier.wait_ms(LEASE_MS));
        let after_wait = started(&mut scheduler, later);
        assert!(after_usual.contains(&JobId(7)) || after_wait.contains(&JobId(7)));
    }
}

/// Guards against jobs that wait for minutes after a follower has said that it left the leader before.
#[test]
fn jobs_wait_for_the_usual_time_once_earlier_leaders_are_bounded() {
    let (mut scheduler, now) = successor(Earlier::Unconfirmed);
    scheduler.job_accepted(JobId(7), accepted(vec![step(1, &[])], 3), now.after_ms(6));
    let bounded = now.after_ms(900);
    scheduler.earlier_bounded(bounded);
    let usual = bounded.after_ms(scheduler::lease_expiry_ms(LEASE_MS));
    let before = Instant::from_ms(usual.as_ms() - 1);
    assert_eq!(started(&mut scheduler, before), []);
    assert_eq!(started(&mut scheduler, usual), [JobId(7)]);
}

/// Guards against tasks of a job that a leader without the store learned of after it may have been replaced.
#[test]
fn a_leader_takes_up_no_job_that_it_learns_of_long_after_its_newest_commit() {
    let (mut scheduler, now) = successor(Earlier::Ended);
    scheduler.certainly_led(now, now);
    let late = now.after_ms(predecessors::NEW_JOBS_MS + 1);
    scheduler.job_accepted(JobId(7), accepted(vec![step(1, &[])], 3), late);
    assert_eq!(started(&mut scheduler, late), []);
    assert_eq!(started(&mut scheduler, late.after_ms(10_000)), []);
    let committed = late.after_ms(10_001);
    assert!(scheduler.certainly_led(committed, committed));
    assert_eq!(started(&mut scheduler, committed), [JobId(7)]);
}

/// Guards against a worker taken for lapsed under a lease that an earlier leader renewed just before it was adopted.
#[test]
fn a_worker_that_falls_silent_after_its_adoption_has_the_leases_of_earlier_leaders() {
    let (mut scheduler, now) = successor(Earlier::Lapsing);
    assert_eq!(started(&mut scheduler, now.after_ms(5)), []);
    let worker = &scheduler.workers()[&id::Worker::new("heard")];
    assert!(!worker.is_lapsed(now.after_ms(LEASE_MS)));
}

/// Guards against a replaced leader that learns of its worker's end, and starts a task again that its successor has started
/// elsewhere or knows to be done.
#[test]
fn a_task_whose_worker_ended_starts_again_only_after_a_later_commit() {
    let (mut scheduler, now) = successor(Earlier::Ended);
    scheduler.certainly_led(now, now);
    let later = now.after_ms(scheduler::lease_expiry_ms(LEASE_MS));
    assert_eq!(started(&mut scheduler, later), []);
    scheduler.certainly_led(later, later);
    scheduler.job_accepted(JobId(7), accepted(vec![step(1, &[])], 3), later);
    assert_eq!(started(&mut scheduler, later.after_ms(2)), [JobId(7)]);
    scheduler.worker_listed(listing("other"), later);
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
    let ended_at = later.after_ms(500);
    let worker = id::Worker::new("heard");
    scheduler.incarnation_ended(&worker, IncarnationEnd::MachineWithout, ended_at);
    assert!(scheduler.awaits_commit());
    let none: [JobId; 0] = [];
    assert_eq!(
        started_on("other", &mut scheduler, ended_at.after_ms(1)),
        none
    );
    // This commit was sent before the end was known.
    scheduler.certainly_led(later.after_ms(499), ended_at.after_ms(10));
    assert_eq!(
        started_on("other", &mut scheduler, ended_at.after_ms(11)),
        none
    );
    scheduler.certainly_led(ended_at, ended_at.after_ms(20));
    assert!(!scheduler.awaits_commit());
    let after = started_on("other", &mut scheduler, ended_at.after_ms(21));
    assert_eq!(after, [JobId(7)]);
}
