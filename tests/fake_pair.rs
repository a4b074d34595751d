//! A scheduler with two workers, `a` and `b`, and what they report.

use wasabiloft::batch::scheduler::{Output, RecoveredState, Scheduler};
use wasabiloft::batch::{JobId, TaskId, worker_state};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::fake_workers::{accepted, config, listing, settings, step};

/// The job of the one task.
pub const JOB: JobId = JobId(1);
/// The one task.
pub const TASK: TaskId = TaskId {
    job: JOB,
    occurrence: 0,
    step: 0,
    index: 0,
};

/// Returns a scheduler that has sent the start of the one task.
pub fn scheduler(now: Instant) -> Scheduler {
    let mut scheduler = Scheduler::new(settings(), 1, config(), RecoveredState::default(), now);
    for worker in ["a", "b"] {
        scheduler.worker_listed(listing(worker), now);
    }
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
    for worker in ["a", "b"] {
        scheduler.poll_answered(&id::Worker::new(worker), &running(&[]), now, now, 0);
    }
    scheduler.job_accepted(JOB, accepted(vec![step(1, &[])], 3), now);
    scheduler.plan(now, 0);
    scheduler
}

/// Returns such a scheduler, the worker that got the start, and the other one.
pub fn one_start(now: Instant) -> (Scheduler, id::Worker, id::Worker, u32) {
    let mut scheduler = scheduler(now);
    let (worker, run) = starts(&mut scheduler).remove(0);
    let other = id::Worker::new(if worker.as_str() == "a" { "b" } else { "a" });
    (scheduler, worker, other, run)
}

/// Returns the starts that the scheduler has sent since the last call, each with its worker and number.
pub fn starts(scheduler: &mut Scheduler) -> Vec<(id::Worker, u32)> {
    let outputs = scheduler.take_outputs().into_iter();
    outputs
        .filter_map(|output| match output {
            Output::Start(start) => Some((start.worker, start.run)),
            _ => None,
        })
        .collect()
}

/// Returns the report of a worker with some runs in progress, each given by its task and number, and no ends.
pub fn running(runs: &[(TaskId, u32)]) -> worker_state::Report {
    of_incarnation(1, runs)
}

/// Returns the same for an incarnation that started at a time, in milliseconds since 1970.
pub fn of_incarnation(started_unix_ms: u64, runs: &[(TaskId, u32)]) -> worker_state::Report {
    worker_state::Report {
        clock_ms: 5,
        started_unix_ms: Some(started_unix_ms),
        running: runs
            .iter()
            .map(|(task, run)| worker_state::Run {
                task: *task,
                run: *run,
                checkpoint: None,
                percent: 10,
                usage: 0,
            })
            .collect(),
        ended: Vec::new(),
        unreadable_runs: 0,
        unreadable_ends: 0,
    }
}
