//! A worker's load: measured and predicted use of its tasks, with the uncertainty.

use slotmap::new_key_type;

use super::WorkerKey;
use crate::clock;
use crate::estimate;
use crate::id;
use crate::platform;
use crate::quota;

new_key_type! {
    /// Key of a task in a [`Fleet`](super::Fleet).
    pub struct TaskKey;
}

/// Age from which a task's readings represent its settled use, in milliseconds.
pub const SETTLED_AGE_MS: u64 = 60_000;
/// Relative standard deviation of a settled task's memory.
const SETTLED_MEMORY_SD: f64 = 0.05;
/// A task counts as growing if its memory exceeds this multiple of its earlier peak.
const GROWTH_FACTOR: f64 = 1.02;
/// Weight of a new reading in the average of processor use.
const CPU_READING_WEIGHT: f64 = 0.3;
/// Share of its processor use that a throttled task keeps.
const THROTTLED_SHARE: f64 = 0.25;

/// Sum of the loads of a worker's tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Expected processor use, in thousandths of a core.
    pub cpu_milli: f64,
    /// Expected memory, in MiB.
    pub memory_mib: f64,
    /// Variance of the memory from errors that are independent between tasks, in MiB squared.
    pub memory_variance: f64,
    /// Standard deviation of the memory from errors that tasks of a class share, in MiB.
    pub memory_common_sd: f64,
    /// Number of accelerators; they are not shared.
    pub accelerators: u32,
    /// Number of tasks.
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

    /// Subtracts another load.
    pub fn remove(&mut self, other: &Self) {
        self.cpu_milli -= other.cpu_milli;
        self.memory_mib -= other.memory_mib;
        self.memory_variance = (self.memory_variance - other.memory_variance).max(0.0);
        self.memory_common_sd = (self.memory_common_sd - other.memory_common_sd).max(0.0);
        self.accelerators -= other.accelerators;
        self.tasks -= other.tasks;
    }

    /// Returns the upper confidence bound of the memory, in MiB.
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

/// A usage reading of a task; it lags behind by the platform's delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Resources in use at the reading.
    pub used: platform::Resources,
    /// Age of the task at the reading, in milliseconds.
    pub age_ms: u64,
}

/// A task on a worker.
#[derive(Clone, Debug)]
pub struct Task {
    /// Job of the task.
    pub job: id::Job,
    /// Worker that runs the task.
    pub worker: WorkerKey,
    /// Class of the job.
    pub class: estimate::ClassKey,
    /// Predicted need.
    pub need: estimate::Need,
    /// Quota account of the task's team.
    pub owner: quota::AccountIndex,
    /// Urgency; tasks of a higher rank are displaced last.
    pub rank: u8,
    /// True if the task can be checkpointed and continued on another worker.
    pub displaceable: bool,
    /// Number of earlier displacements of the job.
    pub displacements: u32,
    /// Time until which the task is not displaced.
    pub protected_until: clock::Instant,
    /// Time at which the task was started.
    pub started_at: clock::Instant,
    /// True once the task was requested to stop.
    pub stopping: bool,
    /// True once the worker has released the task's resources.
    pub stopped: bool,
    /// True while the task is throttled.
    pub throttled: bool,
    /// True if the last memory reading exceeded the earlier peak by more than the growth factor.
    pub growing: bool,
    /// Peak of the memory readings, in MiB; zero before the first reading.
    pub peak_memory_mib: f64,
    /// Moving average of processor use, in thousandths of a core.
    pub cpu_milli: f64,
    /// Memory at the last reading, in MiB.
    pub last_memory_mib: f64,
    /// Age of the task at the last reading, in milliseconds; zero before the first reading.
    pub last_reading_age_ms: u64,
}

impl Task {
    /// Creates a task without readings.
    pub fn new(
        job: id::Job,
        worker: WorkerKey,
        class: estimate::ClassKey,
        need: estimate::Need,
        owner: quota::AccountIndex,
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
            last_reading_age_ms: 0,
        }
    }

    /// Returns true once readings describe the task better than the prediction.
    pub fn is_settled(&self) -> bool {
        self.last_reading_age_ms >= SETTLED_AGE_MS
    }

    pub(super) fn observe(&mut self, observation: &Observation) {
        let memory_mib = observation.used.memory_mib as f64;
        let cpu_milli = observation.used.cpu_milli as f64;
        let first = self.last_reading_age_ms == 0;
        if observation.age_ms > self.last_reading_age_ms {
            self.growing = memory_mib > self.peak_memory_mib * GROWTH_FACTOR;
        }
        self.peak_memory_mib = self.peak_memory_mib.max(memory_mib);
        self.last_memory_mib = memory_mib;
        self.last_reading_age_ms = observation.age_ms.max(1);
        if first {
            self.cpu_milli = cpu_milli;
        } else if !self.throttled {
            self.cpu_milli += CPU_READING_WEIGHT * (cpu_milli - self.cpu_milli);
        }
    }

    /// Returns the load that the task adds to its worker.
    pub fn load(&self) -> Load {
        if self.stopped {
            return Load::default();
        }
        let mut load = if self.is_settled() {
            self.settled_load()
        } else {
            self.predicted_load()
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

    fn predicted_load(&self) -> Load {
        let mut load = Load::from(&self.need);
        load.memory_mib = load.memory_mib.max(self.peak_memory_mib);
        load.cpu_milli = load.cpu_milli.max(self.cpu_milli);
        load
    }
}

/// A worker with its tasks.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Name of the worker's VM.
    pub vm: id::Vm,
    /// Index of the worker's rack.
    pub rack_index: usize,
    /// Resources offered to tasks.
    pub size: platform::Resources,
    /// True if the worker takes new tasks.
    pub open: bool,
    /// True if the worker takes only one idempotent task at a time.
    pub probation: bool,
    /// True if the last task failed: no task that must not run twice is placed here.
    pub suspect: bool,
    /// Sum of the tasks' loads.
    pub load: Load,
    /// Keys of the tasks.
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

    /// Returns true if the memory and accelerators of `load` and `added` fit together.
    pub fn memory_fits(&self, load: &Load, added: &Load) -> bool {
        if load.accelerators + added.accelerators > self.size.accelerators {
            return false;
        }
        let size_mib = self.size.memory_mib as f64;
        let mean = load.memory_mib + added.memory_mib;
        if mean > size_mib {
            return false;
        }
        if load.tasks == 0 {
            return true;
        }
        let mut sum = *load;
        sum.add(added);
        sum.memory_upper_mib() <= size_mib
    }

    /// Returns true if the expected processor use of `load` and `added` fits together.
    pub fn cpu_fits(&self, load: &Load, added: &Load) -> bool {
        let size_milli = self.size.cpu_milli as f64;
        load.tasks == 0 || load.cpu_milli + added.cpu_milli <= size_milli
    }
}
