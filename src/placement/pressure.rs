//! Relief of a worker that runs short of memory: which task to throttle or to checkpoint.

use super::{Fleet, Task, TaskKey, WorkerKey};

/// Share of a worker's memory from which its largest overuser is throttled, if it still grows.
const THROTTLE_AT: f64 = 0.97;
/// Share of a worker's memory from which a task is stopped by a checkpoint.
const CHECKPOINT_AT: f64 = 0.99;

/// What to do about a shortage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relief {
    /// Nothing.
    None,
    /// Throttle the task, which slows its growth.
    Throttle(TaskKey),
    /// Stop the task by a checkpoint.
    Checkpoint(TaskKey),
}

/// Judges one worker by its last readings and the bound of what they miss.
///
/// The task that goes is the least urgent; among equals the one furthest above its prediction, so that the
/// tasks which keep to theirs are left alone.
pub fn relieve(fleet: &Fleet, key: WorkerKey) -> Relief {
    let worker = fleet.worker(key);
    let size_mib = worker.size.memory_mib as f64;
    let expected_mib = expected(fleet, key);
    if expected_mib >= CHECKPOINT_AT * size_mib {
        return checkpoint(fleet, key).map_or(Relief::None, Relief::Checkpoint);
    }
    if expected_mib >= THROTTLE_AT * size_mib {
        return throttle(fleet, key).map_or(Relief::None, Relief::Throttle);
    }
    Relief::None
}

/// Memory that the worker's tasks are expected to use by now, in MiB.
fn expected(fleet: &Fleet, key: WorkerKey) -> f64 {
    let tasks = fleet.worker(key).tasks.iter();
    tasks
        .filter_map(|task| fleet.task(*task))
        .filter(|task| !task.stopping && !task.stopped)
        .map(expected_of)
        .sum()
}

/// What was read, or for a task that may still grow what its class is sure to use.
fn expected_of(task: &Task) -> f64 {
    let need = &task.need.memory_mib;
    let sd = need.variance.sqrt() + need.common_sd;
    let sure_mib = (need.mean - sd).max(0.0);
    if task.is_settled() {
        task.last_memory_mib
    } else {
        task.last_memory_mib.max(sure_mib)
    }
}

fn checkpoint(fleet: &Fleet, key: WorkerKey) -> Option<TaskKey> {
    pick(fleet, key, |task| task.displaceable)
}

fn throttle(fleet: &Fleet, key: WorkerKey) -> Option<TaskKey> {
    pick(fleet, key, |task| task.growing && !task.throttled)
}

fn pick<F>(fleet: &Fleet, key: WorkerKey, may: F) -> Option<TaskKey>
where
    F: Fn(&Task) -> bool,
{
    let candidates = fleet.worker(key).tasks.iter().copied();
    candidates
        .filter(|task| {
            fleet
                .task(*task)
                .is_some_and(|task| !task.stopping && !task.stopped && may(task))
        })
        .max_by(|left, right| {
            let left = order(&fleet.tasks[*left]);
            let right = order(&fleet.tasks[*right]);
            right.0.cmp(&left.0).then(left.1.total_cmp(&right.1))
        })
}

/// Rank, and memory above the prediction in MiB.
fn order(task: &Task) -> (u8, f64) {
    (task.rank, task.peak_memory_mib - task.need.memory_mib.mean)
}
