//! Evidence about one moment or one incarnation of a worker that is applied to another.

use std::collections::BTreeSet;

use wasabiloft::batch::scheduler::{Scheduler, StartOutcome};
use wasabiloft::batch::worker_state;
use wasabiloft::clock::Instant;

use crate::fake_pair::{self, TASK, starts};

/// Guards against a second run beside a start that is carried out late: the stop was acknowledged by the incarnation
/// before a restart under the same id, so the new incarnation still accepts the start.
#[test]
fn a_stop_acknowledged_before_a_restart_does_not_release_the_task() {
    let now = Instant::from_ms(1_000);
    let (mut scheduler, worker, _, run) = fake_pair::one_start(now);
    let unanswered = now.after_ms(750);
    scheduler.start_answered(&worker, TASK, run, StartOutcome::NoAnswer, unanswered);
    scheduler.stop_answered(&worker, TASK, run, now.after_ms(760));

    let (sent, answered) = (now.after_ms(770), now.after_ms(780));
    scheduler.poll_answered(
        &worker,
        &fake_pair::of_incarnation(2, &[]),
        sent,
        answered,
        0,
    );
    scheduler.plan(answered, 0);
    assert_eq!(
        starts(&mut scheduler),
        [],
        "the new incarnation knows no stop"
    );

    let (stopped, sent) = (now.after_ms(1_200), now.after_ms(1_210));
    scheduler.stop_answered(&worker, TASK, run, stopped);
    scheduler.poll_answered(
        &worker,
        &fake_pair::of_incarnation(2, &[]),
        sent,
        sent.after_ms(10),
        0,
    );
    scheduler.plan(sent.after_ms(10), 0);
    assert_eq!(starts(&mut scheduler).len(), 1);
}

/// Guards against a second run beside the first: a worker that no list has shown ended by a list from before its last
/// answer, because the poll after that answer failed.
#[test]
fn a_list_older_than_an_answer_does_not_end_a_worker_that_no_list_has_shown() {
    let now = Instant::from_ms(1_000);
    let (mut scheduler, worker, other, run) = fake_pair::one_start(now);
    scheduler.start_answered(&worker, TASK, run, StartOutcome::Started, now.after_ms(5));
    let shown = BTreeSet::from([&other]);
    let answer = |scheduler: &mut Scheduler, at: Instant| {
        scheduler.poll_answered(
            &worker,
            &fake_pair::of_incarnation(1, &[(TASK, run)]),
            at,
            at,
            0,
        );
        scheduler.poll_answered(&other, &fake_pair::of_incarnation(1, &[]), at, at, 0);
    };
    answer(&mut scheduler, now.after_ms(1_100));
    scheduler.poll_failed(&worker);
    scheduler.machines_listed(&shown, true, now.after_ms(1_105), now.after_ms(1_120));

    answer(&mut scheduler, now.after_ms(1_515));
    scheduler.poll_failed(&worker);
    scheduler.machines_listed(&shown, true, now.after_ms(1_510), now.after_ms(1_530));
    scheduler.plan(now.after_ms(1_530), 0);
    assert_eq!(starts(&mut scheduler), []);
    assert!(scheduler.workers().contains_key(&worker));
}

/// Guards against a response that was overtaken by a newer one and is taken for a restart, after which the tasks of a worker
/// that falls silent wait for the longest lease.
#[test]
fn a_clock_in_a_response_that_was_overtaken_proves_no_restart() {
    let now = Instant::from_ms(1_000);
    let (mut scheduler, worker, _, run) = fake_pair::one_start(now);
    let sent = now.after_ms(10);
    let answer = worker_state::Report {
        clock_ms: 500,
        ..fake_pair::of_incarnation(1, &[(TASK, run)])
    };
    scheduler.poll_answered(&worker, &answer, sent, now.after_ms(20), 0);
    let lease_until_ms = |scheduler: &Scheduler| scheduler.workers()[&worker].lease_until_ms;
    let before = lease_until_ms(&scheduler);
    scheduler.clock_answered(&worker, 490, sent, now.after_ms(25));
    assert_eq!(lease_until_ms(&scheduler), before);
    scheduler.clock_answered(&worker, 490, now.after_ms(30), now.after_ms(35));
    assert!(lease_until_ms(&scheduler) > before, "sent afterwards");
}
