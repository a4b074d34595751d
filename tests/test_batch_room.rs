//! Tests of long-running tasks that wait for capacity.

use wasabiloft::batch::spec;
use wasabiloft::id;

use crate::fake_workers::{Faults, Simulation, accepted, step};

/// Processor capacity of a simulated worker, in thousandths of a core.
const WORKER_MILLI: u64 = 4_000;
/// Longest accepted wait of a long-running task in a full pool, in milliseconds.
const WAIT_MAX_MS: u64 = 3_000;
/// Ids of long-running jobs in these tests start here.
const LONG_RUNNING: u64 = 1_000;

fn long_running(tasks: u32, cpu_milli: u64) -> spec::Step {
    let mut long_running = step(tasks, &[]);
    long_running.long_running = true;
    long_running.need.cpu_milli = cpu_milli;
    long_running
}

fn is_running(sim: &Simulation, job: u64) -> bool {
    sim.running().iter().any(|(task, _)| task.job.0 == job)
}

/// Guards against a long-running task that waits for ever: each piece of capacity that became free in a full pool was
/// given to a smaller task.
#[test]
fn a_long_running_task_starts_in_a_full_pool_with_a_backlog_of_smaller_tasks() {
    for seed in 1..=20 {
        let mut sim = Simulation::new(4, Faults::default(), seed);
        sim.run(300);
        sim.submit(1, accepted(vec![step(2_000, &[])], 9));
        sim.run(1_000);
        sim.submit(
            LONG_RUNNING,
            accepted(vec![long_running(1, WORKER_MILLI)], 2),
        );
        sim.run(WAIT_MAX_MS);
        assert!(is_running(&sim, LONG_RUNNING), "seed {seed}");
        assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    }
}

/// Guards against evictions that rely on the same capacity: of two tasks on draining workers one found no place.
#[test]
fn evictions_do_not_rely_on_the_same_free_capacity() {
    let mut sim = Simulation::new(3, Faults::default(), 1);
    sim.run(300);
    for job in [LONG_RUNNING, LONG_RUNNING + 1] {
        sim.submit(job, accepted(vec![long_running(1, 3_000)], 2));
    }
    sim.run(500);
    let now = sim.now();
    for (_, name) in sim.running() {
        sim.scheduler().set_draining(&id::Worker::new(&name), true);
    }
    sim.run(500);
    for job in [LONG_RUNNING, LONG_RUNNING + 1] {
        assert!(is_running(&sim, job), "job {job} since {now:?}");
    }
}

/// Guards against a task without a place after its eviction: smaller tasks took the capacity while it was stopped.
#[test]
fn smaller_tasks_do_not_take_the_capacity_that_an_eviction_relies_on() {
    let mut sim = Simulation::new(2, Faults::default(), 1);
    sim.run(300);
    sim.submit(
        LONG_RUNNING,
        accepted(vec![long_running(1, WORKER_MILLI)], 2),
    );
    sim.run(500);
    let (_, name) = sim.running()[0].clone();
    sim.scheduler().set_draining(&id::Worker::new(&name), true);
    sim.run(50);
    sim.submit(1, accepted(vec![step(2_000, &[])], 9));
    sim.run(300);
    assert!(is_running(&sim, LONG_RUNNING));
}
