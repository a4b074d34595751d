//! Settings of a worker, and what the spec of a task tells it to do.

/// CPU of a run whose spec names none, in thousandths of a core.
const CPU_DEFAULT_MILLI: u64 = 500;

/// Settings of a worker.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Duration of a run whose spec names none, in milliseconds.
    pub task_ms: u64,
    /// CPU capacity at first, in thousandths of a core.
    pub cpu_milli: u64,
    /// Whether the worker refuses starts that exceed its capacity.
    pub enforces_capacity: bool,
    /// Time that a stop takes, in milliseconds.
    pub stop_ms: u64,
    /// Speed of the worker's monotonic clock, in thousandths; the platform allows it to be 2 % slow.
    pub clock_milli: u64,
}

impl Settings {
    /// Returns the settings of a worker with 8 cores and an exact clock.
    pub fn new(task_ms: u64) -> Self {
        Self {
            task_ms,
            cpu_milli: 8_000,
            enforces_capacity: true,
            stop_ms: 0,
            clock_milli: 1_000,
        }
    }
}

/// Content of a task's spec, a list of the words `work_ms=N`, `cpu=N`, `lasts`, `fails` and `saves`.
#[derive(Clone, Copy, Debug)]
pub(super) struct TaskSpec {
    pub(super) duration_ms: u64,
    pub(super) cpu_milli: u64,
    pub(super) long_running: bool,
    pub(super) fails: bool,
    pub(super) saves: bool,
}

impl TaskSpec {
    pub(super) fn parse(spec: &str, task_ms: u64) -> Self {
        let mut task_spec = Self {
            duration_ms: task_ms,
            cpu_milli: CPU_DEFAULT_MILLI,
            long_running: false,
            fails: false,
            saves: false,
        };
        for word in spec.split(' ') {
            match word.split_once('=') {
                Some(("work_ms", text)) => task_spec.duration_ms = text.parse().unwrap_or(task_ms),
                Some(("cpu", text)) => {
                    task_spec.cpu_milli = text.parse().unwrap_or(CPU_DEFAULT_MILLI)
                }
                _ => {
                    task_spec.long_running |= word == "lasts";
                    task_spec.fails |= word == "fails";
                    task_spec.saves |= word == "saves";
                }
            }
        }
        task_spec
    }
}
