//! Placement on a small fleet.

use proptest::prelude::*;
use wasabiloft::clock;
use wasabiloft::estimate;
use wasabiloft::id;
use wasabiloft::placement::{self, Choice, Displaceable, Fleet, Relief, Request, Task};
use wasabiloft::platform;
use wasabiloft::quota;

const NOW: clock::Instant = clock::Instant::ZERO;

struct Bench {
    fleet: Fleet,
    workers: Vec<placement::WorkerKey>,
    class: estimate::ClassKey,
}

fn size(cpu_milli: u64, memory_mib: u64) -> platform::Resources {
    platform::Resources {
        cpu_milli,
        memory_mib,
        accelerators: 0,
    }
}

fn bench(workers: usize) -> Bench {
    let mut fleet = Fleet::new(0);
    let workers = (0..workers)
        .map(|index| {
            let vm = id::Vm::from(format!("vm-{index}"));
            let rack = id::Rack::from(format!("rack-{}", index / 2));
            fleet.set_worker(&vm, &rack, size(10_000, 10_000))
        })
        .collect();
    let class = estimate::Book::default().class(&id::Team::from("team"), "class");
    Bench {
        fleet,
        workers,
        class,
    }
}

impl Bench {
    fn add(&mut self, worker: usize, cpu: u64, memory: u64, rank: u8) -> placement::TaskKey {
        let need = estimate::Need::exact(size(cpu, memory));
        let job = id::Job::from("team:job");
        let owner = quota::Owner::default();
        let mut task = Task::new(job, self.workers[worker], self.class, need, owner, NOW);
        task.rank = rank;
        task.displaceable = true;
        self.fleet.add_task(task)
    }

    fn read(&mut self, task: placement::TaskKey, cpu: u64, memory: u64, age_ms: u64) {
        let observation = placement::Observation {
            used: size(cpu, memory),
            age_ms,
        };
        self.fleet.observe(task, &observation);
    }

    fn request<'a>(&self, need: &'a estimate::Need, urgent: bool) -> Request<'a> {
        Request {
            class: self.class,
            need,
            urgent,
            idempotent: true,
            failed_on: &[],
        }
    }
}

#[test]
fn real_use_counts_and_not_what_was_declared() {
    let mut bench = bench(1);
    let task = bench.add(0, 9_000, 9_000, 0);
    let need = estimate::Need::exact(size(2_000, 2_000));
    assert_eq!(
        bench.fleet.choose_free(&bench.request(&need, false)),
        Choice::Nowhere
    );
    bench.read(task, 900, 900, 120_000);
    let worker = bench.workers[0];
    let choice = bench.fleet.choose_free(&bench.request(&need, false));
    assert_eq!(choice, Choice::Fits { worker });
}

#[test]
fn a_doubtful_class_leaves_room_for_its_error() {
    let mut bench = bench(1);
    bench.add(0, 1_000, 6_000, 0);
    let mut need = estimate::Need::exact(size(1_000, 3_000));
    let request = bench.request(&need, false);
    assert_ne!(bench.fleet.choose_free(&request), Choice::Nowhere);
    need.memory_mib.common_sd = 1_000.0;
    let request = bench.request(&need, false);
    assert_eq!(bench.fleet.choose_free(&request), Choice::Nowhere);
}

#[test]
fn urgent_work_throttles_before_it_displaces() {
    let mut bench = bench(1);
    let batch = bench.add(0, 9_500, 1_000, 0);
    let need = estimate::Need::exact(size(2_000, 1_000));
    let request = bench.request(&need, true);
    assert_eq!(bench.fleet.choose_free(&request), Choice::Nowhere);
    let worker = bench.workers[0];
    let tasks = vec![batch];
    let choice = bench.fleet.choose_throttled(&request, 2);
    assert_eq!(choice, Choice::Throttle { worker, tasks });
    assert_eq!(bench.fleet.choose_throttled(&request, 0), Choice::Nowhere);
}

#[test]
fn the_cheapest_tasks_are_displaced_and_protected_ones_are_not() {
    let mut bench = bench(2);
    bench.add(0, 1_000, 9_000, 0);
    let cheap = bench.add(1, 1_000, 9_000, 0);
    let need = estimate::Need::exact(size(1_000, 5_000));
    let request = bench.request(&need, true);
    let dear = bench.workers[0];
    let choice = bench.fleet.choose_displacing(NOW, &request, |task| {
        Displaceable::At(if task.worker == dear { 2.0 } else { 1.0 })
    });
    let worker = bench.workers[1];
    let tasks = vec![cheap];
    assert_eq!(choice, Choice::Displace { worker, tasks });
    let refused = bench
        .fleet
        .choose_displacing(NOW, &request, |_| Displaceable::No);
    assert_eq!(refused, Choice::Nowhere);
}

#[test]
fn a_class_is_spread_over_racks() {
    let mut bench = bench(4);
    let need = estimate::Need::exact(size(100, 100));
    let mut racks = Vec::new();
    for _ in 0..2 {
        let Choice::Fits { worker } = bench.fleet.choose_free(&bench.request(&need, true)) else {
            panic!("no room");
        };
        let index = bench.workers.iter().position(|key| *key == worker);
        racks.push(bench.fleet.worker(worker).rack_index);
        bench.add(index.expect("a known worker"), 100, 100, 0);
    }
    assert_ne!(racks[0], racks[1]);
}

#[test]
fn a_worker_short_of_memory_loses_the_batch_task_that_overuses() {
    let mut bench = bench(1);
    let modest = bench.add(0, 100, 4_000, 0);
    let urgent = bench.add(0, 100, 1_000, 2);
    let greedy = bench.add(0, 100, 1_000, 0);
    let worker = bench.workers[0];
    bench.read(modest, 100, 4_000, 120_000);
    bench.read(urgent, 100, 2_000, 120_000);
    bench.read(greedy, 100, 3_000, 120_000);
    assert_eq!(placement::relieve(&bench.fleet, worker), Relief::None);
    bench.read(greedy, 100, 3_800, 125_000);
    assert_eq!(
        placement::relieve(&bench.fleet, worker),
        Relief::Throttle(greedy)
    );
    bench.read(greedy, 100, 3_990, 130_000);
    assert_eq!(
        placement::relieve(&bench.fleet, worker),
        Relief::Checkpoint(greedy)
    );
}

proptest! {
    #![proptest_config(crate::fixed_seed(64))]

    /// Whatever comes and goes, what is promised fits, and sums are those of the tasks.
    #[test]
    fn promises_never_exceed_a_worker(steps in prop::collection::vec((1u64..4_000, 1u64..4_000, any::<bool>(), any::<prop::sample::Index>()), 1..80)) {
        let mut bench = bench(3);
        let mut tasks = Vec::new();
        for (cpu, memory, remove, index) in steps {
            if remove && !tasks.is_empty() {
                bench.fleet.remove_task(tasks.swap_remove(index.index(tasks.len())));
                continue;
            }
            let need = estimate::Need::exact(size(cpu, memory));
            let choice = bench.fleet.choose_free(&bench.request(&need, false));
            if let Choice::Fits { worker } = choice {
                let worker = bench.workers.iter().position(|key| *key == worker);
                tasks.push(bench.add(worker.expect("a known worker"), cpu, memory, 0));
            }
        }
        let mut counted = 0;
        for (_, worker) in bench.fleet.workers() {
            prop_assert!(worker.load.memory_mib <= 10_000.0 + 1e-6);
            prop_assert!(worker.load.cpu_milli <= 10_000.0 + 1e-6);
            prop_assert_eq!(worker.load.tasks as usize, worker.tasks.len());
            counted += worker.tasks.len();
        }
        prop_assert_eq!(counted, tasks.len());
    }
}
