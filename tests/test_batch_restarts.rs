//! Workers that start again under their id, and a change of leader afterwards: a lease that was granted on the clock of the
//! earlier incarnation has the greatest length on the new one.

use std::collections::BTreeMap;

use wasabiloft::batch::record;
use wasabiloft::batch::scheduler::{RecoveredState, Scheduler};
use wasabiloft::batch::worker_state;
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::fake_pair::{self, JOB, TASK, starts};
use crate::fake_workers::{accepted, config, listing, settings, step};

type Rows = BTreeMap<id::Worker, record::WorkerRow>;

/// When a successor's leases for ordinary workers have lapsed, and when those of the greatest length have, in milliseconds
/// after its beginning.
const ORDINARY_MS: u64 = 4_600;
const GREATEST_MS: u64 = 10_800;

fn commit(scheduler: &mut Scheduler, rows: &mut Rows) {
    let batch = scheduler.take_batch();
    rows.extend(batch.workers_added.iter().cloned());
    scheduler.batch_committed(&batch);
}

/// Returns a scheduler whose worker `a` has started again under its id while a start was under way.
fn restarted(rows: &mut Rows, now: Instant) -> Scheduler {
    let mut scheduler = Scheduler::new(settings(), 1, config(), RecoveredState::default(), now);
    scheduler.worker_listed(listing("a"), now);
    commit(&mut scheduler, rows);
    let a = id::Worker::new("a");
    scheduler.poll_answered(&a, &fake_pair::running(&[]), now, now, 0);
    scheduler.job_accepted(JOB, accepted(vec![step(1, &[])], 3), now);
    scheduler.plan(now, 0);
    assert_eq!(starts(&mut scheduler).len(), 1);
    let later = now.after_ms(50);
    scheduler.poll_answered(&a, &fake_pair::of_incarnation(2, &[]), later, later, 0);
    scheduler
}

fn successor(rows: &Rows, now: Instant) -> Scheduler {
    let recovered = RecoveredState {
        accepted: vec![(JOB, accepted(vec![step(1, &[])], 3))],
        workers: rows.clone().into_iter().collect(),
        ..RecoveredState::default()
    };
    let mut scheduler = Scheduler::new(settings(), 2, config(), recovered, now);
    for worker in ["a", "b"] {
        scheduler.worker_listed(listing(worker), now);
    }
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
    scheduler
}

/// Returns when the successor starts the task on worker `b`, in milliseconds after `now`, while `a` answers nothing.
fn started_after_ms(scheduler: &mut Scheduler, now: Instant) -> Option<u64> {
    (10..20_000).step_by(10).find(|after_ms| {
        let at = now.after_ms(*after_ms);
        let report = fake_pair::running(&[]);
        scheduler.poll_answered(&id::Worker::new("b"), &report, at, at, 0);
        scheduler.tick(at, 0);
        scheduler.plan(at, 0);
        !starts(scheduler).is_empty()
    })
}

/// Guards against a second run beside the first: a start on the clock of the earlier incarnation gave the new one a lease of
/// the greatest length, and a new leader didn't know of the restart.
#[test]
fn a_successor_waits_for_the_longest_lease_of_a_worker_that_started_again() {
    let now = Instant::from_ms(1_000);
    let mut rows = Rows::new();
    let mut first = restarted(&mut rows, now);
    commit(&mut first, &mut rows);
    let now = now.after_ms(200);
    let mut second = successor(&rows, now);
    let after_ms = started_after_ms(&mut second, now).expect("a start");
    let longest_ms = settings().lease_max_ms;
    assert!(after_ms > longest_ms, "started after {after_ms} ms");
    assert!(after_ms <= GREATEST_MS, "started after {after_ms} ms");
}

/// Guards against the same if the worker answers the new leader once, and then nobody.
#[test]
fn a_successor_that_heard_a_worker_once_waits_for_the_longest_lease_from_before_its_restart() {
    let now = Instant::from_ms(1_000);
    let mut rows = Rows::new();
    let mut first = restarted(&mut rows, now);
    commit(&mut first, &mut rows);
    let now = now.after_ms(200);
    let mut second = successor(&rows, now);
    let a = id::Worker::new("a");
    let report = fake_pair::of_incarnation(2, &[(TASK, 1)]);
    scheduler_heard(&mut second, &a, &report, now);
    let after_ms = started_after_ms(&mut second, now).expect("a start");
    let longest_ms = settings().lease_max_ms;
    assert!(after_ms > longest_ms, "started after {after_ms} ms");
    assert!(after_ms <= GREATEST_MS, "started after {after_ms} ms");
}

fn scheduler_heard(
    scheduler: &mut Scheduler,
    worker: &id::Worker,
    report: &wasabiloft::batch::worker_state::Report,
    at: Instant,
) {
    scheduler.poll_answered(worker, report, at, at, 0);
    assert!(scheduler.next_poll(worker, at.after_ms(1)).is_some());
    scheduler.poll_failed(worker);
}

/// Guards against a start on a worker that started again before its row says so: a successor wouldn't wait for it.
#[test]
fn a_worker_that_started_again_gets_no_task_before_its_row_says_so() {
    let now = Instant::from_ms(1_000);
    let mut rows = Rows::new();
    let mut scheduler = restarted(&mut rows, now);
    let other = wasabiloft::batch::JobId(2);
    let later = now.after_ms(60);
    scheduler.job_accepted(other, accepted(vec![step(1, &[])], 3), later);
    scheduler.plan(later, 0);
    assert_eq!(starts(&mut scheduler), []);
    commit(&mut scheduler, &mut rows);
    scheduler.plan(later, 0);
    assert_eq!(starts(&mut scheduler).len(), 1);
}

/// Guards against takeovers that wait for the longest lease for good.
#[test]
fn a_successor_waits_the_ordinary_time_once_the_longest_lease_has_lapsed() {
    let now = Instant::from_ms(1_000);
    let mut rows = Rows::new();
    let mut first = restarted(&mut rows, now);
    let a = id::Worker::new("a");
    let end = now.after_ms(30_000);
    for after_ms in (100..=30_000).step_by(100) {
        let at = now.after_ms(after_ms);
        first.poll_answered(&a, &fake_pair::of_incarnation(2, &[]), at, at, 0);
        first.tick(at, 0);
        commit(&mut first, &mut rows);
    }
    let mut second = successor(&rows, end);
    let after_ms = started_after_ms(&mut second, end).expect("a start");
    assert!(after_ms <= ORDINARY_MS, "started after {after_ms} ms");
}

/// Guards against a task that requires what the earlier incarnation of a worker was, or that has no room on the next one: until its
/// registry entry is its own, nothing is known of its labels and its capacity (review/13).
#[test]
fn a_worker_that_started_again_gets_no_task_before_its_entry_is_its_own() {
    let now = Instant::from_ms(1_000);
    let mut rows = Rows::new();
    let mut scheduler = Scheduler::new(settings(), 1, config(), RecoveredState::default(), now);
    let entry_of = |started_unix_ms, kind: &str| worker_state::Listing {
        labels: vec![kind.to_owned(), "r1".to_owned()],
        started_unix_ms: Some(started_unix_ms),
        ..listing("a")
    };
    scheduler.worker_listed(entry_of(1, "large"), now);
    commit(&mut scheduler, &mut rows);
    let a = id::Worker::new("a");
    scheduler.poll_answered(&a, &fake_pair::of_incarnation(1, &[]), now, now, 0);
    let required = |kind: &str| {
        let mut step = step(1, &[]);
        step.label = Some(kind.to_owned());
        accepted(vec![step], 3)
    };
    scheduler.job_accepted(JOB, required("large"), now);
    scheduler.plan(now, 0);
    assert_eq!(starts(&mut scheduler).len(), 1);

    let later = now.after_ms(500);
    scheduler.poll_answered(&a, &fake_pair::of_incarnation(2, &[]), later, later, 0);
    commit(&mut scheduler, &mut rows);
    for (job, kind) in [(2, "large"), (3, "small")] {
        scheduler.job_accepted(wasabiloft::batch::JobId(job), required(kind), later);
    }
    scheduler.plan(later, 0);
    assert_eq!(starts(&mut scheduler), []);

    scheduler.worker_listed(entry_of(2, "small"), later);
    scheduler.plan(later, 0);
    assert_eq!(starts(&mut scheduler).len(), 1);
}
