//! Submitted jobs: steps of tasks and their schedule.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::platform::Resources;

/// Maximum length of a job's text, in bytes.
pub const TEXT_BYTES_MAX: usize = 4_000;
/// Maximum number of steps of a job; bounds the state of one submission.
pub const STEPS_MAX: usize = 256;
/// Maximum number of tasks of a job over all steps; bounds the state of one submission.
pub const TASKS_MAX: u32 = 20_000;

/// A job as submitted by a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// What to run; only the workers interpret it.
    pub text: String,
    /// Steps in order; a step can only depend on earlier ones.
    pub steps: Vec<Step>,
    /// Schedule of a repeated job; `None` to run once, immediately.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// The schedule of a job that runs repeatedly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of times that the steps run.
    pub occurrences: u32,
    /// Due time of the first occurrence, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// Time between the due times of two occurrences, in milliseconds.
    pub interval_ms: u64,
}

impl Schedule {
    /// Returns the due time of an occurrence, in milliseconds since 1970.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_unix_ms
            .saturating_add(self.interval_ms.saturating_mul(u64::from(occurrence)))
    }
}

/// A step: tasks with the same requirements.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// Caller's rough estimate of a task's duration, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps that must be completed first, by position counted from 0.
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks form a gang, which can only run as a whole.
    pub gang: bool,
    /// Whether the tasks are faster on one rack.
    pub same_rack: bool,
    /// Label that the worker must have; `None` for any worker.
    pub label: Option<String>,
    /// Rack that stores the step's data, if known.
    pub data_rack: Option<String>,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    pub per_worker_max: u32,
    /// Whether several copies of a task can run at the same time.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Image that the tasks run; tasks of one image are assumed to behave similarly.
    pub image: Option<String>,
    /// Maximum tolerable tail latency of a serving task, in milliseconds; 0 for no limit.
    pub tail_target_ms: u64,
    /// Whether the tasks are best-effort and only use spare CPU time.
    #[serde(rename = "filler")]
    pub best_effort: bool,
    /// Maximum number of a long-running step's tasks that the scheduler's own actions can make unavailable at once;
    /// `None` for no limit.
    pub unavailable_max: Option<u32>,
}

/// Why a submission can't be accepted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Invalid {
    /// The text exceeds [`TEXT_BYTES_MAX`].
    #[snafu(display("spec is longer than {TEXT_BYTES_MAX} bytes"))]
    Text,
    /// The job has no steps, or more than [`STEPS_MAX`].
    #[snafu(display("a job has 1 to {STEPS_MAX} steps"))]
    Steps,
    /// A step has no tasks, or the job has more than [`TASKS_MAX`].
    #[snafu(display("step {step}: a job has 1 to {TASKS_MAX} tasks"))]
    Tasks {
        /// Position of the step at which the limit is violated, counted from 0.
        step: usize,
    },
    /// A step depends on itself, on a later step, or on one that never ends.
    #[snafu(display("step {step} waits for step {after}, which isn't an earlier step that ends"))]
    After {
        /// Position of the step, counted from 0.
        step: usize,
        /// Position of the step that it depends on.
        after: u32,
    },
}

impl Spec {
    /// Checks whether the job can be accepted.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] if a limit is exceeded, or if a step depends on one that doesn't precede it or never ends.
    pub fn check(&self) -> Result<(), Invalid> {
        if self.text.len() > TEXT_BYTES_MAX {
            return Err(Invalid::Text);
        }
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX {
            return Err(Invalid::Steps);
        }
        let mut tasks = 0_u32;
        for (index, step) in self.steps.iter().enumerate() {
            tasks = tasks.saturating_add(step.tasks);
            if step.tasks == 0 || tasks > TASKS_MAX {
                return Err(Invalid::Tasks { step: index });
            }
            for &after in &step.after {
                let ends = self
                    .steps
                    .get(after as usize)
                    .is_some_and(|dependency| !dependency.long_running);
                if !ends || after as usize >= index {
                    return Err(Invalid::After { step: index, after });
                }
            }
        }
        Ok(())
    }

    /// Returns whether the job has tasks that run until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns the estimated critical path from each step to the end of the job, in milliseconds.
    pub fn critical_paths_ms(&self) -> Vec<u64> {
        let mut paths_ms: Vec<u64> = self.steps.iter().map(|step| step.estimate_ms).collect();
        for index in (0..self.steps.len()).rev() {
            for &after in &self.steps[index].after {
                let path_ms = self.steps[after as usize]
                    .estimate_ms
                    .saturating_add(paths_ms[index]);
                let longest_ms = &mut paths_ms[after as usize];
                *longest_ms = (*longest_ms).max(path_ms);
            }
        }
        paths_ms
    }
}
