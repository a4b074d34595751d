//! Ends that are acknowledged although no row holds them: the next leader starts their tasks again.

use std::collections::BTreeSet;

use wasabiloft::batch::scheduler::{RecoveredState, Scheduler};
use wasabiloft::batch::{JobId, TaskId, record, worker_state};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::fake_pair::starts;
use crate::fake_workers::{SERVICE, accepted, config, listing, settings, step};

fn task(job: u64) -> TaskId {
    TaskId {
        job: JobId(job),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn done(number: u64, job: u64) -> worker_state::EndedRun {
    worker_state::EndedRun {
        number,
        task: task(job),
        run: 1,
        outcome: worker_state::Outcome::Done,
        checkpoint: None,
    }
}

fn report(ended: Vec<worker_state::EndedRun>) -> worker_state::Report {
    worker_state::Report {
        clock_ms: 5,
        started_unix_ms: Some(1),
        running: Vec::new(),
        ended,
        unreadable_runs: 0,
        unreadable_ends: 0,
    }
}

/// Returns a scheduler of a second epoch with the workers `a` and `b`, both recorded and adopted.
fn scheduler(recovered: RecoveredState, now: Instant) -> Scheduler {
    let mut scheduler = Scheduler::new(settings(), 2, config(), recovered, now);
    for worker in ["a", "b"] {
        scheduler.worker_listed(listing(worker), now);
    }
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
    for worker in ["a", "b"] {
        scheduler.poll_answered(&id::Worker::new(worker), &report(vec![]), now, now, 0);
    }
    scheduler
}

/// Guards against a done task that starts again: the store refused the row of an end in the first of two batches, and the
/// second batch acknowledged a later end of the same worker, and with it that end.
#[test]
fn an_end_after_a_refused_row_is_not_acknowledged_by_a_later_batch() {
    const ENDS: u64 = 120;
    let now = Instant::from_ms(1_000);
    let a = id::Worker::new("a");
    let recovered = RecoveredState {
        accepted: (1..=ENDS)
            .map(|job| (JobId(job), accepted(vec![step(1, &[])], 3)))
            .collect(),
        ..RecoveredState::default()
    };
    let mut scheduler = scheduler(recovered, now);
    let ended = (1..=ENDS).map(|number| done(number, number)).collect();
    scheduler.poll_answered(&a, &report(ended), now, now, 0);

    let refused = JobId(1).to_string();
    let mut first = scheduler.take_batch();
    assert!(first.progress.len() < ENDS as usize, "not all in one batch");
    scheduler.rows_refused(&mut first, |_, key| key == refused);
    scheduler.batch_committed(&first);
    let second = scheduler.take_batch();
    scheduler.batch_committed(&second);
    let poll = scheduler.next_poll(&a, now.after_ms(10)).expect("a poll");
    assert_eq!(poll.acknowledged, 0, "no row holds the first end");

    // Once the row is written, all ends are acknowledged without a further one.
    scheduler.tick(now.after_ms(6_000), 0);
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
    scheduler.poll_answered(
        &a,
        &report(vec![]),
        now.after_ms(6_000),
        now.after_ms(6_010),
        0,
    );
    let poll = scheduler.next_poll(&a, now.after_ms(6_020));
    assert_eq!(poll.expect("a poll").acknowledged, ENDS);
}

/// Guards against a done task that starts again: the end of a task whose job's row can't be decoded was acknowledged, and a
/// leader that can decode the row starts the job from its beginning.
#[test]
fn the_end_of_a_job_whose_row_cannot_be_decoded_is_not_acknowledged() {
    let now = Instant::from_ms(1_000);
    let a = id::Worker::new("a");
    let recovered = RecoveredState {
        undecodable: vec![JobId(1)],
        ..RecoveredState::default()
    };
    let mut scheduler = scheduler(recovered, now);
    for after_ms in [10, 100] {
        let at = now.after_ms(after_ms);
        scheduler.poll_answered(&a, &report(vec![done(1, 1)]), at, at, 0);
        scheduler.jobs_read(at.after_ms(10));
    }
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
    let poll = scheduler.next_poll(&a, now.after_ms(200)).expect("a poll");
    assert_eq!(poll.acknowledged, 0);
}

/// Guards against a second run beside the first: this node stored a job before it led, and got the store's response
/// afterwards, while the job's partition can't be read. The previous leader has started the job on a worker that answers
/// nobody.
#[test]
fn a_job_of_a_partition_that_was_never_read_waits_for_workers_of_previous_leaders() {
    let now = Instant::from_ms(1_000);
    let row = record::WorkerRow::new(id::Service::new(SERVICE));
    let job = JobId(1);
    let recovered = RecoveredState {
        workers: vec![(id::Worker::new("silent"), row)],
        unread: BTreeSet::from([record::job_partition_number(job)]),
        ..RecoveredState::default()
    };
    let mut scheduler = scheduler(recovered, now);
    scheduler.job_accepted(job, accepted(vec![step(1, &[])], 3), now.after_ms(20));
    scheduler.plan(now.after_ms(20), 0);
    assert_eq!(starts(&mut scheduler), []);
    for after_ms in (100..4_800).step_by(100) {
        let at = now.after_ms(after_ms);
        for worker in ["a", "b"] {
            scheduler.poll_answered(&id::Worker::new(worker), &report(vec![]), at, at, 0);
        }
        scheduler.tick(at, 0);
    }
    scheduler.plan(now.after_ms(4_800), 0);
    assert_eq!(starts(&mut scheduler).len(), 1, "its leases have lapsed");
}
