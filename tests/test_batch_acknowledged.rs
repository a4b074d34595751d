//! Ends that are acknowledged although no row holds them: the next leader starts their tasks again.

use wasabiloft::batch::scheduler::{RecoveredState, Scheduler};
use wasabiloft::batch::{JobId, TaskId, worker_state};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::fake_workers::{config, listing, settings};

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
