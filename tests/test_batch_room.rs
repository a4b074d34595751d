//! Tests of long-running tasks that wait for capacity.

use wasabiloft::batch::spec;

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
