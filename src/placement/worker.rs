//! A worker's load: what its tasks use, are expected to use, and how sure that is.

use slotmap::new_key_type;

use super::WorkerKey;
use crate::clock;
use crate::estimate;
use crate::id;
use crate::platform;
use crate::quota;

new_key_type! {
    /// A task in a fleet.
    pub struct TaskKey;
}

/// Age from which a task's readings are taken for its settled use, in milliseconds.
pub const SETTLED_AGE_MS: u64 = 60_000;
/// Relative standard deviation of a settled task's memory.
const SETTLED_MEMORY_SD: f64 = 0.05;
/// Memory against the earlier peak from which a task is held to grow.
const GROWTH: f64 = 1.02;
/// Weight of a new reading of processor use.
const CPU_READING_WEIGHT: f64 = 0.3;
/// Share of its processor use that a throttled task keeps.
const THROTTLED_SHARE: f64 = 0.25;

/// Sums over a worker's tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Expected processor use, in thousandths of a core.
    pub cpu_milli: f64,
    /// Expected memory, in MiB.
    pub memory_mib: f64,
    /// Variance of the memory, from errors that the tasks do not share.
    pub memory_variance: f64,
    /// Standard deviation of the memory from errors that tasks of a class share, in MiB.
    pub memory_common_sd: f64,
    /// Whole accelerators.
    pub accelerators: u32,
    /// Tasks.
    pub tasks: u32,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: &Self) {
        self.cpu_milli += other.cpu_milli;
        self.memory_mib += other.memory_mib;
        self.memory_variance += other.memory_variance;
        self.memory_common_sd += other.memory_common_sd;
        self.accelerators += other.accelerators;
        self.tasks += other.tasks;
    }

    /// Takes another load off.
    pub fn remove(&mut self, other: &Self) {
        self.cpu_milli -= other.cpu_milli;
        self.memory_mib -= other.memory_mib;
        self.memory_variance = (self.memory_variance - other.memory_variance).max(0.0);
        self.memory_common_sd = (self.memory_common_sd - other.memory_common_sd).max(0.0);
        self.accelerators -= other.accelerators;
        self.tasks -= other.tasks;
    }

    /// Upper confidence bound of the memory, in MiB.
    pub fn memory_upper_mib(&self) -> f64 {
        let variance = self.memory_variance + self.memory_common_sd * self.memory_common_sd;
        self.memory_mib + estimate::CONFIDENCE_SD * variance.sqrt()
    }
}

impl From<&estimate::Need> for Load {
    fn from(need: &estimate::Need) -> Self {
        Self {
            cpu_milli: need.cpu_milli.mean,
            memory_mib: need.memory_mib.mean,
            memory_variance: need.memory_mib.variance,
            memory_common_sd: need.memory_mib.common_sd,
            accelerators: need.accelerators,
            tasks: 1,
        }
    }
}

/// One reading of a task, late by the platform's lag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// What it used.
    pub used: platform::Resources,
    /// Its age at the reading, in milliseconds.
    pub age_ms: u64,
}

/// A task on a worker.
#[derive(Clone, Debug)]
pub struct Task {
    /// Its job.
    pub job: id::Job,
    /// Its worker.
    pub worker: WorkerKey,
    /// Its class.
    pub class: estimate::ClassKey,
    /// What it was predicted to need.
    pub need: estimate::Need,
    /// Its team, by its index in the quota ledger.
    pub owner: quota::Owner,
    /// The most urgent go last when work is displaced.
    pub rank: u8,
    /// True if it can be stopped by a checkpoint and go on elsewhere.
    pub displaceable: bool,
    /// Times that the job was displaced before.
    pub displacements: u32,
    /// It is not displaced before this moment.
    pub protected_until: clock::Instant,
    /// It was started at this moment.
    pub started_at: clock::Instant,
    /// True once it was asked to stop.
    pub stopping: bool,
    /// True once the worker has let go of it.
    pub stopped: bool,
    /// True while it is throttled.
    pub throttled: bool,
    /// True if its last reading of memory was above all earlier ones.
    pub growing: bool,
    /// The largest memory that was read, in MiB; zero before the first reading.
    pub peak_memory_mib: f64,
    /// Mean processor use over its readings, in thousandths of a core.
    pub cpu_milli: f64,
    /// The last reading's memory, in MiB.
    pub last_memory_mib: f64,
    /// Age at the last reading, in milliseconds.
    pub read_age_ms: u64,
}

impl Task {
    /// Makes a task that has not been read yet.
    pub fn new(
        job: id::Job,
        worker: WorkerKey,
        class: estimate::ClassKey,
        need: estimate::Need,
        owner: quota::Owner,
        started_at: clock::Instant,
    ) -> Self {
        Self {
            job,
            worker,
            class,
            need,
            owner,
            rank: 0,
            displaceable: false,
            displacements: 0,
            protected_until: clock::Instant::ZERO,
            started_at,
            stopping: false,
            stopped: false,
            throttled: false,
            growing: false,
            peak_memory_mib: 0.0,
            cpu_milli: 0.0,
            last_memory_mib: 0.0,
            read_age_ms: 0,
        }
    }

    /// True once readings tell more than the prediction.
    pub fn is_settled(&self) -> bool {
        self.read_age_ms >= SETTLED_AGE_MS
    }

    pub(super) fn observe(&mut self, observation: &Observation) {
        let memory_mib = observation.used.memory_mib as f64;
        let cpu_milli = observation.used.cpu_milli as f64;
        let first = self.read_age_ms == 0;
        if observation.age_ms > self.read_age_ms {
            self.growing = memory_mib > self.peak_memory_mib * GROWTH;
        }
        self.peak_memory_mib = self.peak_memory_mib.max(memory_mib);
        self.last_memory_mib = memory_mib;
        self.read_age_ms = observation.age_ms.max(1);
        if first {
            self.cpu_milli = cpu_milli;
        } else if !self.throttled {
            self.cpu_milli += CPU_READING_WEIGHT * (cpu_milli - self.cpu_milli);
        }
    }

    /// What the task adds to its worker.
    pub fn load(&self) -> Load {
        if self.stopped {
            return Load::default();
        }
        let mut load = if self.is_settled() {
            self.settled_load()
        } else {
            self.early_load()
        };
        if self.throttled {
            load.cpu_milli *= THROTTLED_SHARE;
        }
        load
    }

    fn settled_load(&self) -> Load {
        let sd = SETTLED_MEMORY_SD * self.peak_memory_mib;
        Load {
            cpu_milli: self.cpu_milli,
            memory_mib: self.peak_memory_mib,
            memory_variance: sd * sd,
            memory_common_sd: 0.0,
            accelerators: self.need.accelerators,
            tasks: 1,
        }
    }

    fn early_load(&self) -> Load {
        let mut load = Load::from(&self.need);
        load.memory_mib = load.memory_mib.max(self.peak_memory_mib);
        load.cpu_milli = load.cpu_milli.max(self.cpu_milli);
        load
    }
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its name.
    pub vm: id::Vm,
    /// Its rack, by index.
    pub rack_index: usize,
    /// What it offers to tasks.
    pub size: platform::Resources,
    /// True if it may take new tasks.
    pub open: bool,
    /// True if it may take only single, idempotent trials.
    pub probation: bool,
    /// True if its last task failed: nothing goes there that must not run twice.
    pub suspect: bool,
    /// The sum of its tasks.
    pub load: Load,
    /// Its tasks.
    pub tasks: Vec<TaskKey>,
}

impl Worker {
    pub(super) fn new(vm: id::Vm, rack_index: usize, size: platform::Resources) -> Self {
        Self {
            vm,
            rack_index,
            size,
            open: true,
            probation: false,
            suspect: false,
            load: Load::default(),
            tasks: Vec::new(),
        }
    }

    /// Tells whether the memory and accelerators of `load` and `more` fit together.
    pub fn memory_fits(&self, load: &Load, more: &Load) -> bool {
        if load.accelerators + more.accelerators > self.size.accelerators {
            return false;
        }
        let size_mib = self.size.memory_mib as f64;
        let mean = load.memory_mib + more.memory_mib;
        if mean > size_mib {
            return false;
        }
        if load.tasks == 0 {
            return true;
        }
        let mut sum = *load;
        sum.add(more);
        sum.memory_upper_mib() <= size_mib
    }

    /// Tells whether the expected processor use of `load` and `more` fits together.
    pub fn cpu_fits(&self, load: &Load, more: &Load) -> bool {
        let size_milli = self.size.cpu_milli as f64;
        load.tasks == 0 || load.cpu_milli + more.cpu_milli <= size_milli
    }
}
