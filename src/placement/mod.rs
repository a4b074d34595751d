//! Placement: which worker takes a task, judged by real use with upper confidence bounds.
//!
//! Every worker's load is the sum of its tasks' expected use and a bound on the error of that sum; usage
//! lags, so a new task counts with what its class is predicted to need until readings of it have settled.
//! Memory may never be promised beyond a worker's size; processor time may, when others can be throttled.
//!
//! Workers are scanned as one dense table: a decision costs a few nanoseconds a worker.

mod choose;
mod pressure;
mod worker;

pub use choose::{Choice, Displaceable, Request};
pub use pressure::{Relief, relieve};
pub use worker::{Load, Observation, Task, TaskKey, Worker};

use std::collections::HashMap;

use slotmap::{SecondaryMap, SlotMap, new_key_type};

use crate::clock;
use crate::estimate;
use crate::id;
use crate::platform;

new_key_type! {
    /// A worker in a [`Fleet`].
    pub struct WorkerKey;
}

/// Sizes that the fleet can offer at most, for jobs that can never run.
pub type Largest = platform::Resources;

/// All workers and their tasks.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    workers: SlotMap<WorkerKey, Worker>,
    by_name: HashMap<id::Vm, WorkerKey>,
    tasks: SlotMap<TaskKey, Task>,
    racks: HashMap<id::Rack, usize>,
    /// Tasks of a class on each rack, by the rack's index.
    spread: SecondaryMap<estimate::ClassKey, Vec<u32>>,
    /// Thousandths of each worker that are kept for the runner of its pool's service.
    runner_reserve_permille: u64,
}

impl Fleet {
    /// Makes an empty fleet that keeps the given thousandths of each worker for its runner.
    pub fn new(runner_reserve_permille: u64) -> Self {
        Self {
            runner_reserve_permille,
            ..Self::default()
        }
    }

    /// Takes a worker's size and place; a known worker keeps its tasks.
    pub fn set_worker(
        &mut self,
        vm: &id::Vm,
        rack: &id::Rack,
        size: platform::Resources,
    ) -> WorkerKey {
        let next = self.racks.len();
        let rack_index = *self.racks.entry(rack.clone()).or_insert(next);
        let offered = self.offered(size);
        if let Some(key) = self.by_name.get(vm) {
            let worker = &mut self.workers[*key];
            worker.size = offered;
            worker.rack_index = rack_index;
            return *key;
        }
        let worker = Worker::new(vm.clone(), rack_index, offered);
        let key = self.workers.insert(worker);
        self.by_name.insert(vm.clone(), key);
        key
    }

    fn offered(&self, size: platform::Resources) -> platform::Resources {
        let keep = 1000 - self.runner_reserve_permille;
        platform::Resources {
            cpu_milli: size.cpu_milli * keep / 1000,
            memory_mib: size.memory_mib * keep / 1000,
            accelerators: size.accelerators,
        }
    }

    /// Forgets a worker that has no tasks.
    pub fn remove_worker(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.by_name.remove(&worker.vm);
        }
    }

    /// The worker of that name.
    pub fn find(&self, vm: &id::Vm) -> Option<WorkerKey> {
        self.by_name.get(vm).copied()
    }

    /// A worker.
    pub fn worker(&self, key: WorkerKey) -> &Worker {
        &self.workers[key]
    }

    /// All workers.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter()
    }

    /// The number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// True if no worker is known.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Opens or closes a worker for new tasks.
    pub fn set_open(&mut self, key: WorkerKey, open: bool) {
        self.workers[key].open = open;
    }

    /// Says whether a worker takes only single, idempotent trials.
    pub fn set_probation(&mut self, key: WorkerKey, probation: bool) {
        self.workers[key].probation = probation;
    }

    /// Says whether a worker's last task failed.
    pub fn set_suspect(&mut self, key: WorkerKey, suspect: bool) {
        self.workers[key].suspect = suspect;
    }

    /// A task.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.tasks.get(key)
    }

    /// Adds a task to a worker.
    pub fn add_task(&mut self, task: Task) -> TaskKey {
        let rack_index = self.workers[task.worker].rack_index;
        self.count_class(task.class, rack_index, true);
        let worker = task.worker;
        let load = task.load();
        let key = self.tasks.insert(task);
        let worker = &mut self.workers[worker];
        worker.tasks.push(key);
        worker.load.add(&load);
        key
    }

    /// Removes a task.
    pub fn remove_task(&mut self, key: TaskKey) -> Option<Task> {
        let task = self.tasks.remove(key)?;
        let worker = &mut self.workers[task.worker];
        worker.tasks.retain(|other| *other != key);
        let rack_index = worker.rack_index;
        self.count_class(task.class, rack_index, false);
        self.sum_up(task.worker);
        Some(task)
    }

    /// Takes a reading of a task.
    pub fn observe(&mut self, key: TaskKey, observation: &Observation) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        task.observe(observation);
        let worker = task.worker;
        self.sum_up(worker);
    }

    /// Takes a better prediction of a task's need.
    pub fn set_need(&mut self, key: TaskKey, need: estimate::Need) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        task.need = need;
        let worker = task.worker;
        self.sum_up(worker);
    }

    /// Marks a task as throttled or not.
    pub fn set_throttled(&mut self, key: TaskKey, throttled: bool) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        task.throttled = throttled;
        let worker = task.worker;
        self.sum_up(worker);
    }

    /// Keeps a task from being displaced before a moment.
    pub fn protect(&mut self, key: TaskKey, until: clock::Instant) {
        if let Some(task) = self.tasks.get_mut(key) {
            task.protected_until = task.protected_until.max(until);
        }
    }

    /// Marks a task as about to stop, so that it is not chosen again.
    pub fn set_stopping(&mut self, key: TaskKey) {
        if let Some(task) = self.tasks.get_mut(key) {
            task.stopping = true;
        }
    }

    /// Frees what the task holds, though its end is not yet settled.
    pub fn set_stopped(&mut self, key: TaskKey) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        task.stopped = true;
        let worker = task.worker;
        self.sum_up(worker);
    }

    /// The largest size that any worker offers, each resource by itself.
    pub fn largest(&self) -> Largest {
        let mut largest = Largest::default();
        for worker in self.workers.values() {
            largest.cpu_milli = largest.cpu_milli.max(worker.size.cpu_milli);
            largest.memory_mib = largest.memory_mib.max(worker.size.memory_mib);
            largest.accelerators = largest.accelerators.max(worker.size.accelerators);
        }
        largest
    }

    /// The size of the largest worker by memory that could take `size` were it empty.
    pub fn largest_for(&self, size: &platform::Resources) -> Option<platform::Resources> {
        let fits = |offered: &platform::Resources| {
            size.cpu_milli <= offered.cpu_milli
                && size.memory_mib <= offered.memory_mib
                && size.accelerators <= offered.accelerators
        };
        let sizes = self.workers.values().map(|worker| worker.size);
        sizes
            .filter(fits)
            .max_by_key(|offered| (offered.memory_mib, offered.cpu_milli))
    }

    /// Sums a worker's load anew, so that rounding errors don't add up.
    fn sum_up(&mut self, key: WorkerKey) {
        let mut load = Load::default();
        for task in &self.workers[key].tasks {
            load.add(&self.tasks[*task].load());
        }
        self.workers[key].load = load;
    }

    fn count_class(&mut self, class: estimate::ClassKey, rack_index: usize, up: bool) {
        let Some(entry) = self.spread.entry(class) else {
            return;
        };
        let counts = entry.or_default();
        if counts.len() <= rack_index {
            counts.resize(rack_index + 1, 0);
        }
        let count = &mut counts[rack_index];
        *count = if up {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
    }

    /// Tasks that may not be displaced before this moment are protected.
    fn is_protected(task: &Task, now: clock::Instant) -> bool {
        now < task.protected_until
    }
}
