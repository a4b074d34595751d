//! Faults of workers that take several steps: expired entries, planned stops and restarts.

use crate::proxy::Cut;
use crate::soak::faults::kind::Leave;
use crate::soak::faults::{inject_at, sleep};
use crate::soak::world::{HEARTBEAT_MS, Registration, World};

/// Time for which a worker serves after it announced its stop, in milliseconds; the platform's value.
const DRAIN_MS: u64 = 2_000;
/// Longest time without a process during a restart, in milliseconds.
const RESTART_MAX_MS: u64 = 800;
/// Interval between two checks whether a machine has another worker, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 20;

/// Returns the first worker with runs, in order from the given one on; that one if there is none.
fn first_busy(world: &World, from: usize) -> usize {
    let count = world.workers.len();
    let mut numbers = (from..from + count).map(|number| number % count);
    let busy = numbers.find(|number| !world.workers[*number].worker.state.is_empty());
    busy.unwrap_or(from)
}

/// Cuts a worker off from nodes and store until its entry has expired, and for the duration after that.
pub(super) async fn expire(
    world: &World,
    worker: usize,
    cut: Cut,
    silent_ms: u64,
    duration_ms: u64,
) {
    let worker = first_busy(world, worker);
    world.cut_from_store(worker, silent_ms);
    let cut_ms = 3 * HEARTBEAT_MS + duration_ms;
    inject_at(world.workers[worker].proxy.all(), cut.fault(), cut_ms).await;
    world.join_to_store(worker);
}

/// Restarts a worker's process under its id; meanwhile its port refuses connections.
pub(super) async fn restart(world: &World, worker: usize, duration_ms: u64) {
    let proxied = &world.workers[worker];
    let state = &proxied.worker.state;
    let (Some(id), _) = state.incarnation() else {
        return;
    };
    proxied.proxy.set(Cut::Refuses.fault());
    state.start_incarnation(Some(id));
    sleep(duration_ms.min(RESTART_MAX_MS)).await;
    proxied.proxy.set(crate::proxy::Fault::default());
}

/// Lets a worker announce its stop, lose its entry and exit; its machine comes back with another worker. A worker that is
/// cut off as well runs on until its entry has expired.
pub(super) async fn leave(world: &World, leave: Leave, duration_ms: u64) {
    let worker = first_busy(world, leave.worker);
    let proxied = &world.workers[worker];
    let state = &proxied.worker.state;
    let (Some(id), _) = state.incarnation() else {
        return;
    };
    let is_same = || state.incarnation().0.as_ref() == Some(&id);
    world.register(worker, Registration::Draining);
    match leave.cut {
        Some((cut, after_ms)) => {
            sleep(after_ms).await;
            world.cut_from_store(worker, leave.silent_ms);
            if is_same() {
                let cut_ms = 3 * HEARTBEAT_MS + duration_ms;
                inject_at(proxied.proxy.all(), cut.fault(), cut_ms).await;
            }
        }
        None => sleep(DRAIN_MS + duration_ms / 2).await,
    }
    if is_same() {
        world.register(worker, Registration::Removed);
        sleep(leave.gap_ms).await;
    }
    if is_same() {
        proxied.proxy.set(Cut::Refuses.fault());
        world.machines.state.stop(&proxied.machine, duration_ms);
        while state.incarnation().0.is_none() {
            sleep(CHECK_INTERVAL_MS).await;
        }
        proxied.proxy.set(crate::proxy::Fault::default());
    }
    world.join_to_store(worker);
}
