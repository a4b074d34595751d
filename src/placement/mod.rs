//! Placement: chooses workers for tasks by measured use with upper confidence bounds.
//!
//! A worker's load is the sum of its tasks' expected use and a bound on the error of that sum.
//! Usage reports lag, so a new task counts with the predicted need of its class until its readings
//! have settled. Memory is never committed beyond a worker's size; processor time can be, if other
//! tasks can be throttled.
//!
//! Workers are scanned as one dense table: a decision takes a few nanoseconds per worker.

mod choose;
mod pressure;
mod worker;

pub use choose::{Choice, Displaceable, Request};
pub use pressure::{PressureAction, pressure_action};
pub use worker::{Load, Observation, Task, TaskKey, Worker};

use std::collections::HashMap;

use slotmap::{SecondaryMap, SlotMap, new_key_type};

use crate::clock;
use crate::estimate;
use crate::id;
use crate::platform;

new_key_type! {
    /// Key of a worker in a [`Fleet`].
    pub struct WorkerKey;
}

/// Largest offered amount of each resource; a job that needs more can never run.
pub type Largest = platform::Resources;

/// All workers and their tasks.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    workers: SlotMap<WorkerKey, Worker>,
    by_name: HashMap<id::Vm, WorkerKey>,
    tasks: SlotMap<TaskKey, Task>,
    racks: HashMap<id::Rack, usize>,
    /// Number of tasks of each class per rack, by the rack's index.
    rack_counts: SecondaryMap<estimate::ClassKey, Vec<u32>>,
    /// Thousandths of each worker that are reserved for the runner of its pool's service.
    runner_reserve_permille: u64,
}

impl Fleet {
    /// Creates an empty fleet that reserves the given thousandths of each worker for its runner.
    pub fn new(runner_reserve_permille: u64) -> Self {
        Self {
            runner_reserve_permille,
            ..Self::default()
        }
    }

    /// Adds a worker, or updates the size and rack of a known one, which keeps its tasks.
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

    /// Removes a worker, which must have no tasks.
    pub fn remove_worker(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.by_name.remove(&worker.vm);
        }
    }

    /// Returns the key of the worker with that name.
    pub fn find(&self, vm: &id::Vm) -> Option<WorkerKey> {
        self.by_name.get(vm).copied()
    }

    /// Returns a worker; panics if it was removed.
    pub fn worker(&self, key: WorkerKey) -> &Worker {
        &self.workers[key]
    }

    /// Returns all workers with their keys.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter()
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns true if no worker is known.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Sets whether a worker takes new tasks.
    pub fn set_open(&mut self, key: WorkerKey, open: bool) {
        self.workers[key].open = open;
    }

    /// Sets whether a worker takes only one idempotent task at a time.
    pub fn set_probation(&mut self, key: WorkerKey, probation: bool) {
        self.workers[key].probation = probation;
    }

    /// Sets whether a worker counts as suspect because its last task failed.
    pub fn set_suspect(&mut self, key: WorkerKey, suspect: bool) {
        self.workers[key].suspect = suspect;
    }

    /// Returns a task, or `None` once it was removed.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.tasks.get(key)
    }

    /// Adds a task to its worker.
    pub fn add_task(&mut self, task: Task) -> TaskKey {
        let rack_index = self.workers[task.worker].rack_index;
        self.update_rack_count(task.class, rack_index, true);
        let worker = task.worker;
        let load = task.load();
        let key = self.tasks.insert(task);
        let worker = &mut self.workers[worker];
        worker.tasks.push(key);
        worker.load.add(&load);
        key
    }

    /// Removes a task from its worker and returns it.
    pub fn remove_task(&mut self, key: TaskKey) -> Option<Task> {
        let task = self.tasks.remove(key)?;
        let worker = &mut self.workers[task.worker];
        worker.tasks.retain(|other| *other != key);
        let rack_index = worker.rack_index;
        self.update_rack_count(task.class, rack_index, false);
        self.recompute_load(task.worker);
        Some(task)
    }

    /// Records a usage reading of a task.
    pub fn observe(&mut self, key: TaskKey, observation: &Observation) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        task.observe(observation);
        let worker = task.worker;
        self.recompute_load(worker);
    }

    /// Replaces the predicted need of a task.
    pub fn set_need(&mut self, key: TaskKey, need: estimate::Need) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        task.need = need;
        let worker = task.worker;
        self.recompute_load(worker);
    }

    /// Sets whether a task is throttled.
    pub fn set_throttled(&mut self, key: TaskKey, throttled: bool) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        task.throttled = throttled;
        let worker = task.worker;
        self.recompute_load(worker);
    }

    /// Protects a task from displacement until a given time.
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

    /// Releases a task's resources before its end is settled.
    pub fn set_stopped(&mut self, key: TaskKey) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        task.stopped = true;
        let worker = task.worker;
        self.recompute_load(worker);
    }

    /// Returns the largest amount of each resource that any worker offers.
    pub fn largest(&self) -> Largest {
        let mut largest = Largest::default();
        for worker in self.workers.values() {
            largest.cpu_milli = largest.cpu_milli.max(worker.size.cpu_milli);
            largest.memory_mib = largest.memory_mib.max(worker.size.memory_mib);
            largest.accelerators = largest.accelerators.max(worker.size.accelerators);
        }
        largest
    }

    /// Returns the size of the worker with most memory that could run `size` when empty.
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

    /// Recomputes a worker's load from its tasks, so that rounding errors do not accumulate.
    fn recompute_load(&mut self, key: WorkerKey) {
        let mut load = Load::default();
        for task in &self.workers[key].tasks {
            load.add(&self.tasks[*task].load());
        }
        self.workers[key].load = load;
    }

    fn update_rack_count(&mut self, class: estimate::ClassKey, rack_index: usize, increment: bool) {
        let Some(entry) = self.rack_counts.entry(class) else {
            return;
        };
        let counts = entry.or_default();
        if counts.len() <= rack_index {
            counts.resize(rack_index + 1, 0);
        }
        let count = &mut counts[rack_index];
        *count = if increment {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
    }

    /// Returns true if the task is still protected from displacement.
    fn is_protected(task: &Task, now: clock::Instant) -> bool {
        now < task.protected_until
    }
}
