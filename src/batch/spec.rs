//! What a caller submits: steps of tasks, and when they run.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::platform::Resources;

/// Most bytes of a job's text.
pub const TEXT_BYTES_MAX: usize = 4_000;
/// Most steps of a job; bounds the state of one submission.
pub const STEPS_MAX: usize = 256;
/// Most tasks of a job, over all steps; bounds the state of one submission.
pub const TASKS_MAX: u32 = 20_000;

/// A submitted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// What to run; the workers' business.
    pub text: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// When it runs; `None` for once, at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// A job that runs repeatedly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// How often the steps run.
    pub occurrences: u32,
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
}

impl Schedule {
    /// When an occurrence is due, in milliseconds since 1970.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_unix_ms
            .saturating_add(self.interval_ms.saturating_mul(u64::from(occurrence)))
    }
}

/// A step: tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// How many tasks.
    pub tasks: u32,
    /// What each needs.
    pub need: Resources,
    /// The caller's rough estimate of a task's duration, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks only work together.
    pub gang: bool,
    /// Whether the tasks are faster on one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack where the data lies.
    pub data_rack: Option<String>,
    /// The most tasks of the step on one worker; 0 for no bound.
    pub per_worker_max: u32,
    /// Whether copies of a task may run at the same time.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<String>,
    /// Bound of the tail latency that a serving task's users tolerate, in milliseconds; 0 for none.
    pub tail_target_ms: u64,
    /// Whether the tasks use leftover processor time only.
    pub filler: bool,
    /// How many tasks of a lasting step may be unavailable by our own actions; `None` for no bound.
    pub unavailable_max: Option<u32>,
}

/// Why a submission can't be accepted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Invalid {
    /// The text is too long.
    #[snafu(display("spec is longer than {TEXT_BYTES_MAX} bytes"))]
    Text,
    /// There are no steps, or too many.
    #[snafu(display("a job has 1 to {STEPS_MAX} steps"))]
    Steps,
    /// A step has no tasks, or the job has too many.
    #[snafu(display("step {step}: a job has 1 to {TASKS_MAX} tasks"))]
    Tasks {
        /// The step.
        step: usize,
    },
    /// A step waits for itself, a later step, or one that never ends.
    #[snafu(display("step {step} waits for step {after}, which isn't an earlier step that ends"))]
    After {
        /// The step.
        step: usize,
        /// The step that it names.
        after: u32,
    },
}

impl Spec {
    /// Tells whether the job can be accepted.
    ///
    /// # Errors
    ///
    /// If a bound is exceeded or a step waits for one that doesn't precede it.
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
                let earlier = self
                    .steps
                    .get(after as usize)
                    .is_some_and(|named| !named.lasting);
                if !earlier || after as usize >= index {
                    return Err(Invalid::After { step: index, after });
                }
            }
        }
        Ok(())
    }

    /// Whether the job has tasks that run until it is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// The longest chain of estimated work from each step to the end, in milliseconds.
    pub fn chains_ms(&self) -> Vec<u64> {
        let mut chains: Vec<u64> = self.steps.iter().map(|step| step.estimate_ms).collect();
        for index in (0..self.steps.len()).rev() {
            for &after in &self.steps[index].after {
                let through = self.steps[after as usize].estimate_ms + chains[index];
                let chain = &mut chains[after as usize];
                *chain = (*chain).max(through);
            }
        }
        chains
    }
}
