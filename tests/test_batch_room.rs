//! Tests of long-running tasks that wait for capacity.

use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wasabiloft::batch::{record, spec};
use wasabiloft::id;

use crate::fake_workers::{Faults, Simulation, accepted, listing, step};
use crate::fixed_seed;

/// Processor capacity of a simulated worker, in thousandths of a core.
const WORKER_MILLI: u64 = 4_000;
/// Longest accepted wait of a long-running task in a full pool, in milliseconds.
const WAIT_MAX_MS: u64 = 3_000;
/// Time without a disturbance after which the state is checked, in milliseconds.
const CALM_MS: u64 = 7_000;
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

/// Guards against a long-running task that waits for the pause of a suspect worker, which grows to 16 s, while no other
/// worker has room.
#[test]
fn a_long_running_task_starts_on_a_suspect_worker_if_all_others_are_full() {
    for failing_s in 12..28 {
        let mut sim = Simulation::new(2, Faults::default(), 1);
        sim.run(300);
        sim.submit(
            LONG_RUNNING,
            accepted(vec![long_running(1, WORKER_MILLI)], 2),
        );
        sim.run(500);
        for worker in sim.workers.values_mut() {
            worker.always_fails = true;
        }
        for id in 1..=failing_s {
            sim.submit(id, accepted(vec![step(1, &[])], 9));
            sim.run(1_000);
        }
        let suspects = sim.scheduler().workers().values();
        let suspects = suspects.filter(|worker| worker.is_suspect()).count();
        assert_eq!(suspects, 1);
        sim.submit(LONG_RUNNING + 1, accepted(vec![long_running(1, 3_000)], 2));
        sim.run(WAIT_MAX_MS);
        assert!(is_running(&sim, LONG_RUNNING + 1), "after {failing_s} s");
    }
}

/// Makes the workers that are not full suspect by two jobs that fail there, and leaves each a last attempt.
fn exhaust_attempts(sim: &mut Simulation) {
    for worker in sim.workers.values_mut() {
        worker.always_fails = true;
    }
    for id in 1..=2 {
        sim.submit(id, accepted(vec![step(1, &[])], 2));
    }
    sim.run(1_500);
    let workers = sim.scheduler().workers().values();
    assert!(workers.filter(|worker| worker.is_suspect()).count() == 1);
    for worker in sim.workers.values_mut() {
        worker.always_fails = false;
    }
}

/// Guards against free workers that get no task: a last attempt waited for a healthy worker, and tasks of other jobs
/// were skipped as if there were no room for them.
#[test]
fn a_last_attempt_that_waits_does_not_hide_free_workers_from_other_jobs() {
    let mut sim = Simulation::new(2, Faults::default(), 1);
    sim.run(300);
    sim.submit(LONG_RUNNING, accepted(vec![long_running(1, 3_000)], 2));
    sim.submit(LONG_RUNNING + 1, accepted(vec![long_running(1, 1_000)], 2));
    sim.run(500);
    exhaust_attempts(&mut sim);
    sim.submit(3, accepted(vec![step(1, &[])], 4));
    sim.run(6_000);
    assert_eq!(sim.state(3), Some(record::State::Completed));
}

/// Guards against last attempts that are never made: the only healthy worker was full of long-running tasks.
#[test]
fn a_last_attempt_does_not_wait_for_a_worker_that_long_running_tasks_fill() {
    let mut sim = Simulation::new(2, Faults::default(), 1);
    sim.run(300);
    sim.submit(
        LONG_RUNNING,
        accepted(vec![long_running(1, WORKER_MILLI)], 2),
    );
    sim.run(500);
    exhaust_attempts(&mut sim);
    sim.run(8_000);
    for id in 1..=2 {
        let is_final = sim.state(id).is_some_and(record::State::is_final);
        assert!(is_final, "job {id}");
    }
}

/// Guards against last attempts that are never made: the only healthy worker was draining.
#[test]
fn a_last_attempt_does_not_wait_for_a_draining_worker() {
    let mut last_attempts = 0;
    for seed in 1..=20 {
        let mut sim = Simulation::new(2, Faults::default(), seed);
        sim.run(300);
        sim.scheduler().set_draining(&id::Worker::new("w0"), true);
        exhaust_attempts(&mut sim);
        let is_open = |sim: &mut Simulation, id| sim.state(id) == Some(record::State::Running);
        let open: Vec<u64> = (1..=2).filter(|id| is_open(&mut sim, *id)).collect();
        last_attempts += open.len();
        sim.run(8_000);
        for id in open {
            assert!(!is_open(&mut sim, id), "seed {seed} job {id}");
        }
    }
    assert!(last_attempts > 0);
}

/// One randomised history: long-running and finite jobs, sick workers, drains, departures and takeovers, and then a
/// calm time in which only finite jobs arrive.
struct History {
    sim: Simulation,
    rng: SmallRng,
    draining: Vec<String>,
    /// Processor capacity that a task of each job takes, in thousandths of a core.
    needs_milli: Vec<(u64, u32, u64)>,
    next_job: u64,
}

impl History {
    fn new(seed: u64, faults: Faults) -> Self {
        let workers = 8;
        let mut history = Self {
            sim: Simulation::new(workers, faults, seed),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            draining: Vec::new(),
            needs_milli: Vec::new(),
            next_job: 1,
        };
        history.sim.run(300);
        for job in LONG_RUNNING..LONG_RUNNING + 4 {
            let tasks = history.rng.random_range(1..=3);
            let cpu_milli = history.rng.random_range(1..=4) * 1_000;
            let mut spec = long_running(tasks, cpu_milli);
            spec.need.memory_mib = 1_000;
            spec.per_worker_max = history.rng.random_range(0..=1);
            spec.unavailable_max = history.rng.random_bool(0.5).then_some(1);
            history.needs_milli.push((job, tasks, cpu_milli));
            history.sim.submit(job, accepted(vec![spec], 4));
        }
        history
    }

    fn submit_finite(&mut self, load: f64) {
        if self.rng.random_bool(load) {
            let tasks = self.rng.random_range(1..=12);
            let attempts_max = self.rng.random_range(2..=4);
            let job = accepted(vec![step(tasks, &[])], attempts_max);
            self.sim.submit(self.next_job, job);
            self.next_job += 1;
        }
    }

    fn disturb(&mut self) {
        let name = format!("w{}", self.rng.random_range(0..8));
        let worker = id::Worker::new(&name);
        match self.rng.random_range(0..6) {
            0 if self.draining.len() < 3 && !self.draining.contains(&name) => {
                self.draining.push(name);
                self.sim.scheduler().set_draining(&worker, true);
            }
            1 => {
                self.draining.retain(|draining| *draining != name);
                self.sim.scheduler().set_draining(&worker, false);
            }
            2 => {
                let state = self.sim.workers.get_mut(&name).expect("a known worker");
                state.always_fails = !state.always_fails;
            }
            3 if self.rng.random_bool(0.3) => {
                let predecessor_lives = self.rng.random_bool(0.5);
                self.sim.take_over(predecessor_lives);
                self.draining.clear();
            }
            _ => {}
        }
    }

    /// Returns the long-running tasks that wait although two workers have the capacity for one of them.
    fn waiting_with_room(&mut self) -> Vec<String> {
        let running = self.sim.running();
        let needs_milli = &self.needs_milli;
        let need_milli = |job: u64| {
            let known = needs_milli.iter().find(|(id, ..)| *id == job);
            known.map_or(1_000, |(_, _, milli)| *milli)
        };
        let mut waiting = Vec::new();
        for (job, tasks, milli) in needs_milli {
            let at_work = running
                .iter()
                .filter(|(task, _)| task.job.0 == *job)
                .count();
            if at_work >= *tasks as usize {
                continue;
            }
            let with_room = (0..8).map(|number| format!("w{number}")).filter(|name| {
                let on_worker = running.iter().filter(|(_, at)| at == name);
                let used: u64 = on_worker
                    .clone()
                    .map(|(task, _)| need_milli(task.job.0))
                    .sum();
                let has_same = on_worker.clone().any(|(task, _)| task.job.0 == *job);
                let fits = used + milli <= WORKER_MILLI && on_worker.count() < 4 && !has_same;
                fits && !self.draining.contains(name)
            });
            let with_room: Vec<String> = with_room.collect();
            if with_room.len() >= 2 {
                waiting.push(format!(
                    "job {job} {milli} at_work={at_work}/{tasks} {with_room:?}"
                ));
            }
        }
        waiting
    }

    /// Plays the history and returns the violations of its calm end.
    fn play(&mut self, load: f64) -> Vec<String> {
        for _ in 0..100 {
            self.submit_finite(load);
            if self.rng.random_bool(0.3) {
                self.disturb();
            }
            self.sim.run(100);
        }
        let sick: Vec<String> = self
            .sim
            .workers
            .iter()
            .filter(|(_, worker)| worker.always_fails)
            .map(|(name, _)| name.clone())
            .collect();
        self.sim.end_faults();
        for name in sick {
            self.sim
                .workers
                .get_mut(&name)
                .expect("a known worker")
                .always_fails = true;
        }
        let mut since = None;
        for round in 0..100 {
            self.submit_finite(load);
            self.sim.run(100);
            if round < 40 {
                continue;
            }
            let waiting = self.waiting_with_room();
            if waiting.is_empty() {
                since = None;
                continue;
            }
            let since_ms = *since.get_or_insert(self.sim.now_ms);
            if self.sim.now_ms - since_ms >= CALM_MS - 4_000 {
                return waiting;
            }
        }
        Vec::new()
    }
}

proptest! {
    #![proptest_config(fixed_seed(150))]

    #[test]
    fn no_long_running_task_waits_beside_free_workers_after_disturbances(
        seed in any::<u64>(), load in 0.1_f64..1.0
    ) {
        let faults = Faults { late: 20, lost: 20, partition: 4, crash: 6, takeover: 0, ..Faults::default() };
        let mut history = History::new(seed, faults);
        prop_assert_eq!(history.play(load), Vec::<String>::new());
    }
}

/// Keeps the listing of the simulation and the capacity above in line.
#[test]
fn simulated_workers_have_the_capacity_that_the_checks_assume() {
    assert_eq!(listing("w0").size.cpu_milli, WORKER_MILLI);
}
