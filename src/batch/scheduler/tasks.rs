//! Scheduling state of tasks.
//!
//! A step can have many more tasks than run at a time. Only those have a state of their own that were started, or of which
//! something was recorded; the others wait, or are done.

use std::collections::BTreeMap;
use std::iter;

use crate::batch::ranges::Ranges;
use crate::batch::record;
use crate::batch::scheduler::job::ActiveRun;
use crate::batch::scheduler::release;
use crate::clock;
use crate::id;

/// Scheduling state of a task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Highest run number used so far; 0 before the first start was sent. A start that was sent may have been refused.
    pub last_run: u32,
    /// Whether a worker has confirmed or reported a run of the task.
    pub has_begun: bool,
    /// The run that can be under way; `None` if there is none.
    pub active: Option<ActiveRun>,
    /// Whether a run of the task has completed; it is never started again.
    pub done: bool,
    /// Numbers of the runs that failed.
    pub failed_runs: Vec<u32>,
    /// Newest checkpoint, from which the next run continues; `None` if there is none.
    pub checkpoint: Option<String>,
    /// The task is not started before this moment.
    pub not_before: clock::Instant,
    /// Worker on which the task failed or got stuck most recently.
    pub last_failed_on: Option<id::Worker>,
    /// Crashes of workers that are held against the task.
    pub crashes: Vec<record::Crash>,
    /// The newest run that was taken for ended, with the reason.
    pub released: Option<release::Released>,
}

/// A task that was never started.
static UNTOUCHED: Task = Task::without_runs(false);
/// A task that is done and of which nothing else is known.
pub(super) static DONE: Task = Task::without_runs(true);

impl Task {
    const fn without_runs(done: bool) -> Self {
        Self {
            last_run: 0,
            has_begun: false,
            active: None,
            done,
            failed_runs: Vec::new(),
            checkpoint: None,
            not_before: clock::Instant::ZERO,
            last_failed_on: None,
            crashes: Vec::new(),
            released: None,
        }
    }

    /// Returns whether the task can be started at `now`.
    pub fn is_waiting(&self, now: clock::Instant) -> bool {
        !self.done && self.active.is_none() && now >= self.not_before
    }
}

/// Scheduling state of the tasks of one step.
#[derive(Clone, Debug, Default)]
pub struct Step {
    count: u32,
    /// Tasks with a state of their own, by index.
    known: BTreeMap<u32, Task>,
    /// Tasks that are done.
    done: Ranges,
    /// Number of tasks with an active run.
    active: u32,
    /// Number of tasks that are neither done nor have an active run.
    idle: u32,
}

impl Step {
    /// Creates the state of a step of which no task was started.
    pub fn new(count: u32) -> Self {
        Self {
            count,
            idle: count,
            ..Self::default()
        }
    }

    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done.count() == u64::from(self.count)
    }

    /// Returns the number of tasks.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the number of tasks with an active run.
    pub fn active(&self) -> u32 {
        self.active
    }

    /// Returns the number of tasks that are neither done nor have an active run.
    pub fn idle(&self) -> u32 {
        self.idle
    }

    /// Returns whether a run of a task has begun, as far as is known.
    pub fn has_begun(&self) -> bool {
        self.done.count() > 0 || self.known.values().any(|task| task.has_begun)
    }

    /// Returns a task, if the step has it.
    pub fn get(&self, index: u32) -> Option<&Task> {
        if index >= self.count {
            return None;
        }
        let untouched = || match self.done.contains(index) {
            true => &DONE,
            false => &UNTOUCHED,
        };
        Some(self.known.get(&index).unwrap_or_else(untouched))
    }

    /// Returns a task for changes, if the step has it. [`Step::mark_done`], [`Step::set_active`] and [`Step::take_active`]
    /// change what is counted.
    pub fn get_mut(&mut self, index: u32) -> Option<&mut Task> {
        let task = self.get(index)?;
        let (is_known, done) = (self.known.contains_key(&index), task.done);
        if !is_known {
            self.known.insert(index, Task::without_runs(done));
        }
        self.known.get_mut(&index)
    }

    /// Iterates over the tasks with a state of their own, by index.
    pub fn known(&self) -> impl Iterator<Item = (u32, &Task)> {
        self.known.iter().map(|(index, task)| (*index, task))
    }

    /// Iterates over the tasks that are neither done nor have an active run, by index.
    pub fn idle_tasks(&self) -> impl Iterator<Item = (u32, &Task)> {
        let mut next = 0;
        let unfinished = iter::from_fn(move || {
            let done = self.done.last_of(next);
            let index = done.map_or(next, |last| last.saturating_add(1));
            next = index.saturating_add(1);
            Some((index, self.get(index)?))
        });
        let idle = unfinished.filter(|(_, task)| task.active.is_none());
        idle.take(self.idle as usize)
    }

    /// Iterates over the tasks that can be started at `now`, by index.
    pub fn waiting(&self, now: clock::Instant) -> impl Iterator<Item = (u32, &Task)> {
        self.idle_tasks()
            .filter(move |(_, task)| task.is_waiting(now))
    }

    /// Returns the number of tasks that can be started at `now`.
    pub fn waiting_count(&self, now: clock::Instant) -> u32 {
        let is_held = |task: &&Task| !task.done && task.active.is_none() && now < task.not_before;
        let held = self.known.values().filter(is_held).count();
        self.idle
            .saturating_sub(u32::try_from(held).unwrap_or(u32::MAX))
    }

    /// Marks a task as done and drops its checkpoint.
    pub fn mark_done(&mut self, index: u32) {
        if index >= self.count || !self.done.insert(index) {
            return;
        }
        let Some(task) = self.known.get_mut(&index) else {
            self.idle -= 1;
            return;
        };
        task.done = true;
        task.checkpoint = None;
        if task.active.is_none() {
            self.idle -= 1;
            self.known.remove(&index);
        }
    }

    /// Records that a run of a task is under way.
    pub fn set_active(&mut self, index: u32, run: ActiveRun) {
        let Some(task) = self.get_mut(index) else {
            return;
        };
        let (was_active, done) = (task.active.replace(run).is_some(), task.done);
        if !was_active {
            self.active += 1;
            self.idle -= u32::from(!done);
        }
    }

    /// Removes and returns the active run of a task.
    pub fn take_active(&mut self, index: u32) -> Option<ActiveRun> {
        let task = self.known.get_mut(&index)?;
        let run = task.active.take()?;
        self.active -= 1;
        if task.done {
            self.known.remove(&index);
        } else {
            self.idle += 1;
        }
        Some(run)
    }
}

/// Scheduling state of one repetition of a job's steps.
#[derive(Clone, Debug, Default)]
pub struct Occurrence {
    /// The steps, in the order of the job's spec.
    pub steps: Vec<Step>,
}

impl Occurrence {
    /// Returns whether all tasks of the occurrence are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    /// Returns whether a task of the occurrence has an active run.
    pub fn is_active(&self) -> bool {
        self.steps.iter().any(|step| step.active() > 0)
    }
}
