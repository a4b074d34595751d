//! Placement on a small fleet.

use proptest::prelude::*;
use wasabiloft::clock;
use wasabiloft::estimate;
use wasabiloft::id;
use wasabiloft::placement::{self, Choice, Displaceable, Fleet, PressureAction, Request, Task};
use wasabiloft::platform;
use wasabiloft::quota;

const NOW: clock::Instant = clock::Instant::ZERO;

struct Fixture {
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

fn fixture(workers: usize) -> Fixture {
    let mut fleet = Fleet::new(0);
    let workers = (0..workers)
        .map(|index| {
            let vm = id::Vm::from(format!("vm-{index}"));
            let rack = id::Rack::from(format!("rack-{}", index / 2));
            fleet.set_worker(&vm, &rack, size(10_000, 10_000))
        })
        .collect();
    let class = estimate::Estimates::default().class(&id::Team::from("team"), "class");
    Fixture {
        fleet,
        workers,
        class,
    }
}

impl Fixture {
    fn add(&mut self, worker: usize, cpu: u64, memory: u64, rank: u8) -> placement::TaskKey {
        let need = estimate::Need::exact(size(cpu, memory));
        let job = id::Job::from("team:job");
        let owner = quota::AccountIndex::default();
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
fn measured_use_replaces_the_prediction() {
    let mut fixture = fixture(1);
    let task = fixture.add(0, 9_000, 9_000, 0);
    let need = estimate::Need::exact(size(2_000, 2_000));
    assert_eq!(
        fixture.fleet.choose_free(&fixture.request(&need, false)),
        Choice::NoFit
    );
    fixture.read(task, 900, 900, 120_000);
    let worker = fixture.workers[0];
    let choice = fixture.fleet.choose_free(&fixture.request(&need, false));
    assert_eq!(choice, Choice::Fits { worker });
}

#[test]
fn an_uncertain_class_reserves_memory_for_its_error() {
    let mut fixture = fixture(1);
    fixture.add(0, 1_000, 6_000, 0);
    let mut need = estimate::Need::exact(size(1_000, 3_000));
    let request = fixture.request(&need, false);
    assert_ne!(fixture.fleet.choose_free(&request), Choice::NoFit);
    need.memory_mib.common_sd = 1_000.0;
    let request = fixture.request(&need, false);
    assert_eq!(fixture.fleet.choose_free(&request), Choice::NoFit);
}

#[test]
fn urgent_work_throttles_before_it_displaces() {
    let mut fixture = fixture(1);
    let batch = fixture.add(0, 9_500, 1_000, 0);
    let need = estimate::Need::exact(size(2_000, 1_000));
    let request = fixture.request(&need, true);
    assert_eq!(fixture.fleet.choose_free(&request), Choice::NoFit);
    let worker = fixture.workers[0];
    let tasks = vec![batch];
    let choice = fixture.fleet.choose_throttled(&request, 2);
    assert_eq!(choice, Choice::Throttle { worker, tasks });
    assert_eq!(fixture.fleet.choose_throttled(&request, 0), Choice::NoFit);
}

#[test]
fn the_cheapest_tasks_are_displaced_and_protected_ones_are_not() {
    let mut fixture = fixture(2);
    fixture.add(0, 1_000, 9_000, 0);
    let cheap = fixture.add(1, 1_000, 9_000, 0);
    let need = estimate::Need::exact(size(1_000, 5_000));
    let request = fixture.request(&need, true);
    let expensive = fixture.workers[0];
    let choice = fixture.fleet.choose_displacing(NOW, &request, |task| {
        Displaceable::AtCost(if task.worker == expensive { 2.0 } else { 1.0 })
    });
    let worker = fixture.workers[1];
    let tasks = vec![cheap];
    assert_eq!(choice, Choice::Displace { worker, tasks });
    let refused = fixture
        .fleet
        .choose_displacing(NOW, &request, |_| Displaceable::No);
    assert_eq!(refused, Choice::NoFit);
}

#[test]
fn a_class_is_spread_over_racks() {
    let mut fixture = fixture(4);
    let need = estimate::Need::exact(size(100, 100));
    let mut racks = Vec::new();
    for _ in 0..2 {
        let Choice::Fits { worker } = fixture.fleet.choose_free(&fixture.request(&need, true))
        else {
            panic!("no worker fits");
        };
        let index = fixture.workers.iter().position(|key| *key == worker);
        racks.push(fixture.fleet.worker(worker).rack_index);
        fixture.add(index.expect("a known worker"), 100, 100, 0);
    }
    assert_ne!(racks[0], racks[1]);
}

#[test]
fn memory_pressure_stops_the_batch_task_above_its_prediction() {
    let mut fixture = fixture(1);
    let within_prediction = fixture.add(0, 100, 4_000, 0);
    let urgent = fixture.add(0, 100, 1_000, 2);
    let above_prediction = fixture.add(0, 100, 1_000, 0);
    let worker = fixture.workers[0];
    fixture.read(within_prediction, 100, 4_000, 120_000);
    fixture.read(urgent, 100, 2_000, 120_000);
    fixture.read(above_prediction, 100, 3_000, 120_000);
    assert_eq!(
        placement::pressure_action(&fixture.fleet, worker),
        PressureAction::None
    );
    fixture.read(above_prediction, 100, 3_800, 125_000);
    assert_eq!(
        placement::pressure_action(&fixture.fleet, worker),
        PressureAction::Throttle(above_prediction)
    );
    fixture.read(above_prediction, 100, 3_990, 130_000);
    assert_eq!(
        placement::pressure_action(&fixture.fleet, worker),
        PressureAction::Checkpoint(above_prediction)
    );
}

proptest! {
    #![proptest_config(crate::fixed_seed(64))]

    /// Whatever tasks are added and removed, the committed load fits and is the sum of the tasks'
    /// loads.
    #[test]
    fn committed_load_never_exceeds_a_worker(steps in prop::collection::vec((1u64..4_000, 1u64..4_000, any::<bool>(), any::<prop::sample::Index>()), 1..80)) {
        let mut fixture = fixture(3);
        let mut tasks = Vec::new();
        for (cpu, memory, remove, index) in steps {
            if remove && !tasks.is_empty() {
                fixture.fleet.remove_task(tasks.swap_remove(index.index(tasks.len())));
                continue;
            }
            let need = estimate::Need::exact(size(cpu, memory));
            let choice = fixture.fleet.choose_free(&fixture.request(&need, false));
            if let Choice::Fits { worker } = choice {
                let worker = fixture.workers.iter().position(|key| *key == worker);
                tasks.push(fixture.add(worker.expect("a known worker"), cpu, memory, 0));
            }
        }
        let mut counted = 0;
        for (_, worker) in fixture.fleet.workers() {
            prop_assert!(worker.load.memory_mib <= 10_000.0 + 1e-6);
            prop_assert!(worker.load.cpu_milli <= 10_000.0 + 1e-6);
            prop_assert_eq!(worker.load.tasks as usize, worker.tasks.len());
            counted += worker.tasks.len();
        }
        prop_assert_eq!(counted, tasks.len());
    }
}
