//! Tasks that crash the workers that start them.

use wasabiloft::batch::scheduler::IncarnationEnd;
use wasabiloft::batch::{JobId, TaskId, record};
use wasabiloft::id;

use crate::fake_workers::{Faults, Simulation, accepted, step};

/// How long after its start a deadly task crashes its worker, in milliseconds.
const CRASH_AFTER_MS: u64 = 10;

fn task(job: u64, index: u32) -> TaskId {
    TaskId {
        job: JobId(job),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// Returns a simulation whose workers are known, with the first task of each of the jobs being deadly.
fn sim(workers: usize, deadly_jobs: &[u64], seed: u64) -> Simulation {
    let mut sim = Simulation::new(workers, Faults::default(), seed);
    for job in deadly_jobs {
        sim.deadly.insert(task(*job, 0), CRASH_AFTER_MS);
    }
    sim.run(300);
    sim
}

/// Guards against BUDGET: a task that crashed worker after worker was started again each time.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    for seed in 1..=20 {
        let mut sim = sim(8, &[3], seed);
        for id in 1..=6 {
            sim.submit(id, accepted(vec![step(4, &[])], 3));
        }
        sim.run(20_000);
        assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        assert_eq!(sim.state(3), Some(record::State::Failed), "seed {seed}");
        let crashes = sim.crashed_under[&task(3, 0)];
        assert!(crashes <= 3, "seed {seed}: {crashes} workers crashed");
        for id in [1, 2, 4, 5, 6] {
            let state = sim.state(id);
            assert_eq!(state, Some(record::State::Completed), "job {id}");
        }
    }
}

/// Guards against giving up the jobs of tasks that share a worker with a deadly task, several times over.
#[test]
fn jobs_beside_deadly_tasks_are_completed() {
    for seed in 1..=10 {
        let deadly = [5, 10, 15, 20];
        let mut sim = sim(10, &deadly, seed);
        for id in 1..=24 {
            sim.submit(id, accepted(vec![step(3, &[]), step(2, &[0])], 3));
            sim.run(120);
        }
        sim.run(40_000);
        assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        for id in 1..=24 {
            let expected = if deadly.contains(&id) {
                record::State::Failed
            } else {
                record::State::Completed
            };
            assert_eq!(sim.state(id), Some(expected), "seed {seed} job {id}");
        }
    }
}

/// Guards against a limit that only the leader that counted the crashes knows.
#[test]
fn crashes_under_a_task_count_across_leaders() {
    for seed in 1..=10 {
        let mut sim = sim(8, &[2], seed);
        for id in 1..=3 {
            sim.submit(id, accepted(vec![step(4, &[])], 3));
        }
        for _ in 0..4 {
            sim.run(4_000);
            sim.take_over(false);
        }
        sim.run(20_000);
        assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        assert_eq!(sim.state(2), Some(record::State::Failed), "seed {seed}");
    }
}

/// Guards against a long-running task that is suspected for ever because its worker was lost.
#[test]
fn a_long_running_task_whose_workers_crashed_for_other_reasons_runs_on() {
    let mut sim = sim(4, &[], 1);
    let mut long_running = step(2, &[]);
    long_running.long_running = true;
    sim.submit(1, accepted(vec![long_running], 2));
    // Every second crash comes soon after a start and is held against the tasks, which outlive it before the next.
    for at_ms in [
        2_000, 12_000, 2_000, 12_000, 2_000, 12_000, 2_000, 12_000, 2_000,
    ] {
        sim.run(at_ms);
        for (_, name) in sim.running() {
            let until_ms = sim.now_ms + 100;
            let worker = sim.workers.get_mut(&name).expect("the worker");
            worker.crash(until_ms);
        }
        sim.run(300);
    }
    sim.run(8_000);
    assert_eq!(sim.running().len(), 2);
    assert_eq!(sim.state(1), Some(record::State::Running));
}

/// Guards against a long-running task that crashes worker after worker: it has no limit of failed attempts.
#[test]
fn a_long_running_task_that_crashes_its_workers_is_given_up() {
    let mut sim = sim(6, &[1], 1);
    let mut long_running = step(2, &[]);
    long_running.long_running = true;
    sim.submit(1, accepted(vec![long_running], 2));
    sim.run(30_000);
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    assert_eq!(sim.state(1), Some(record::State::Failed));
}

/// Guards against giving up a job after crashes that have another cause: most workers go down and up by turns.
#[test]
fn jobs_on_workers_that_go_down_by_turns_are_completed() {
    for seed in 1..=10 {
        let faults = Faults {
            crash: 10,
            ..Faults::default()
        };
        let mut sim = Simulation::new(8, faults, seed);
        sim.run(300);
        for id in 1..=40 {
            sim.submit(id, accepted(vec![step(3, &[])], 3));
            sim.run(200);
        }
        sim.end_faults();
        sim.run(20_000);
        for id in 1..=40 {
            let state = sim.state(id);
            assert_eq!(
                state,
                Some(record::State::Completed),
                "seed {seed} job {id}"
            );
        }
    }
}

/// Guards against suspects that wait for ever for a worker of their own while the pool is full of other work.
#[test]
fn a_suspect_task_is_tried_in_a_full_pool() {
    let mut sim = sim(3, &[2], 1);
    for id in 1..=60 {
        sim.submit(id, accepted(vec![step(4, &[])], 3));
    }
    sim.run(60_000);
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    for id in 1..=60 {
        let expected = if id == 2 {
            record::State::Failed
        } else {
            record::State::Completed
        };
        assert_eq!(sim.state(id), Some(expected), "job {id}");
    }
}

/// Guards against giving up a job whose trial ends with the rack that it runs in.
#[test]
fn a_trial_in_a_rack_that_goes_dark_gives_nothing_up() {
    let mut sim = sim(4, &[], 1);
    let mut long_running = step(4, &[]);
    long_running.long_running = true;
    long_running.per_worker_max = 1;
    sim.submit(1, accepted(vec![long_running.clone()], 2));
    sim.run(2_000);
    long_running.tasks = 1;
    sim.submit(2, accepted(vec![long_running.clone()], 2));
    sim.run(20);
    let place = |sim: &Simulation| {
        let runs = sim.running();
        let run = runs.into_iter().find(|(id, _)| id.job == JobId(2));
        id::Worker::new(&run.expect("a run").1)
    };
    let first = place(&sim);
    let now = sim.now();
    sim.scheduler()
        .incarnation_ended(&first, IncarnationEnd::MachineWithout, now);
    sim.workers
        .get_mut(first.as_str())
        .expect("known")
        .crash(u64::MAX);
    sim.run(20);
    assert_ne!(place(&sim), first, "tried on another worker");
    long_running.tasks = 2;
    sim.submit(3, accepted(vec![long_running], 2));
    sim.run(20);
    let names: Vec<String> = sim.workers.keys().cloned().collect();
    for name in names {
        let worker = id::Worker::new(&name);
        let now = sim.now();
        sim.scheduler()
            .incarnation_ended(&worker, IncarnationEnd::MachineWithout, now);
    }
    sim.run(200);
    assert_eq!(sim.state(2), Some(record::State::Running));
}
