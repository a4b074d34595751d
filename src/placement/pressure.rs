//! Memory pressure on a worker: which task to throttle or checkpoint.

use super::{Fleet, Task, TaskKey, WorkerKey};

/// Share of a worker's memory from which the task furthest above its prediction is throttled, if it
/// still grows.
const THROTTLE_AT: f64 = 0.97;
/// Share of a worker's memory from which a task is checkpointed and stopped.
const CHECKPOINT_AT: f64 = 0.99;

/// Action against memory pressure on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PressureAction {
    /// No action is needed, or no task qualifies.
    None,
    /// Throttle the task, which slows its growth.
    Throttle(TaskKey),
    /// Checkpoint and stop the task.
    Checkpoint(TaskKey),
}

/// Returns the action for one worker, from its last readings and a lower bound for tasks that can
/// still grow.
///
/// The least urgent task is chosen; among equals, the one furthest above its prediction, so that
/// tasks within their predictions keep running.
pub fn pressure_action(fleet: &Fleet, key: WorkerKey) -> PressureAction {
    let worker = fleet.worker(key);
    let size_mib = worker.size.memory_mib as f64;
    let expected_mib = expected_memory_mib(fleet, key);
    if expected_mib >= CHECKPOINT_AT * size_mib {
        return checkpoint(fleet, key).map_or(PressureAction::None, PressureAction::Checkpoint);
    }
    if expected_mib >= THROTTLE_AT * size_mib {
        return throttle(fleet, key).map_or(PressureAction::None, PressureAction::Throttle);
    }
    PressureAction::None
}

/// Returns the expected current memory use of the worker's tasks, in MiB.
fn expected_memory_mib(fleet: &Fleet, key: WorkerKey) -> f64 {
    let tasks = fleet.worker(key).tasks.iter();
    tasks
        .filter_map(|task| fleet.task(*task))
        .filter(|task| !task.stopping && !task.stopped)
        .map(task_memory_mib)
        .sum()
}

/// Returns the last reading, or at least the lower bound of its class for a task that can still
/// grow.
fn task_memory_mib(task: &Task) -> f64 {
    let need = &task.need.memory_mib;
    let sd = need.variance.sqrt() + need.common_sd;
    let lower_bound_mib = (need.mean - sd).max(0.0);
    if task.is_settled() {
        task.last_memory_mib
    } else {
        task.last_memory_mib.max(lower_bound_mib)
    }
}

fn checkpoint(fleet: &Fleet, key: WorkerKey) -> Option<TaskKey> {
    pick(fleet, key, |task| task.displaceable)
}

fn throttle(fleet: &Fleet, key: WorkerKey) -> Option<TaskKey> {
    pick(fleet, key, |task| task.growing && !task.throttled)
}

fn pick<F>(fleet: &Fleet, key: WorkerKey, is_eligible: F) -> Option<TaskKey>
where
    F: Fn(&Task) -> bool,
{
    let candidates = fleet.worker(key).tasks.iter().copied();
    candidates
        .filter(|task| {
            fleet
                .task(*task)
                .is_some_and(|task| !task.stopping && !task.stopped && is_eligible(task))
        })
        .max_by(|left, right| {
            let left = eviction_order(&fleet.tasks[*left]);
            let right = eviction_order(&fleet.tasks[*right]);
            right.0.cmp(&left.0).then(left.1.total_cmp(&right.1))
        })
}

/// Returns the rank, and the memory above the prediction in MiB.
fn eviction_order(task: &Task) -> (u8, f64) {
    (task.rank, task.peak_memory_mib - task.need.memory_mib.mean)
}
