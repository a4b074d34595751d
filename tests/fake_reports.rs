//! Reports of workers.

use wasabiloft::batch::{TaskId, worker_state};

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
