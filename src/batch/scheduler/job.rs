//! Scheduling state of a job, its occurrences, steps and tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::batch::progress_rows;
use crate::batch::record;
use crate::batch::scheduler::release;
use crate::batch::{JobId, TaskId};
use crate::clock;
use crate::id;

/// A run that was started and is not known to have ended.
#[derive(Clone, Debug)]
pub struct ActiveRun {
    /// The worker that the start was sent to.
    pub worker: id::Worker,
    /// Number of this start of the task.
    pub run: u32,
    /// When the worker first confirmed that it has the run; `None` until then.
    pub confirmed_at: Option<clock::Instant>,
    /// When a stop was first requested.
    pub stop_requested_at: Option<clock::Instant>,
    /// When a stop was last sent.
    pub stop_sent_at: Option<clock::Instant>,
    /// When the worker acknowledged a stop.
    pub stop_acked_at: Option<clock::Instant>,
    /// Why the run is being stopped; `None` if it is not.
    pub stop_reason: Option<StopReason>,
    /// Newest reported progress, 0 to 100.
    pub percent: u32,
    /// When the progress last changed.
    pub percent_at: clock::Instant,
    /// Newest reported usage: thousandths of a core, or the tail latency in milliseconds of a serving task.
    pub usage: u64,
    /// Share of its full speed that the run is limited to, 0 to 100.
    pub pace_percent: u32,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The job was cancelled or has failed.
    Over,
    /// The worker is being drained.
    Vacate,
    /// The outcome of the start is uncertain.
    Unsure,
    /// The run makes no progress.
    Stuck,
    /// More urgent work needs the capacity.
    Preempted,
    /// Another member of the gang ended or could not be started.
    Gang,
}

/// Scheduling state of a task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Highest run number used so far; 0 before the first start.
    pub last_run: u32,
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

impl Task {
    /// Returns whether the task can be started at `now`.
    pub fn is_waiting(&self, now: clock::Instant) -> bool {
        !self.done && self.active.is_none() && now >= self.not_before
    }
}

/// Scheduling state of the tasks of one step.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// The tasks, by index.
    pub tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks that are neither done nor have an active run.
    pub idle: u32,
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
        self.steps
            .iter()
            .all(|step| step.done as usize == step.tasks.len())
    }
}

/// Scheduling state of a job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id that the caller chose for the job.
    pub id: JobId,
    /// The submitted spec and the job's queue at that time.
    pub accepted: Arc<record::Accepted>,
    /// Whether the job was read at startup.
    pub recovered: bool,
    /// Whether a previous leader may have started tasks of the job, as it was read at startup or stored soon after.
    pub known_to_earlier: bool,
    /// When this leader learned of the job.
    pub known_at: clock::Instant,
    /// Whether the job exceeds the rate of its account.
    pub beyond_rate: bool,
    /// Occurrences that are due or of which a run is known, by number.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Current state, which may not be committed yet.
    pub state: record::State,
    /// Last committed state.
    pub committed_state: record::State,
    /// When the job ended, in milliseconds since 1970; 0 before.
    pub ended_unix_ms: u64,
    /// Which progress row holds which task.
    pub layout: progress_rows::Layout,
    /// Numbers of the progress rows that may exist.
    pub rows: BTreeSet<u32>,
    /// Longest path of estimated work from each step to the end, in milliseconds.
    pub critical_paths_ms: Vec<u64>,
}

impl Job {
    /// Creates a job without any known run.
    ///
    /// Its progress rows have at most `row_bytes` bytes each.
    pub fn new(
        id: JobId,
        accepted: Arc<record::Accepted>,
        recovered: bool,
        row_bytes: u64,
    ) -> Self {
        let critical_paths_ms = accepted.spec.critical_paths_ms();
        let steps = accepted.spec.steps.iter().map(|step| step.tasks);
        let layout = progress_rows::Layout::new(steps, accepted.queue.attempts_max, row_bytes);
        Self {
            id,
            accepted,
            recovered,
            known_to_earlier: recovered,
            known_at: clock::Instant::ZERO,
            beyond_rate: false,
            occurrences: BTreeMap::new(),
            state: record::State::Queued,
            committed_state: record::State::Queued,
            ended_unix_ms: 0,
            layout,
            rows: BTreeSet::new(),
            critical_paths_ms,
        }
    }

    /// Returns the total number of occurrences; 1 for a job without a schedule.
    pub fn occurrence_count(&self) -> u32 {
        self.accepted
            .spec
            .schedule
            .map_or(1, |schedule| schedule.occurrences.max(1))
    }

    /// Returns the start of an occurrence's objective, in milliseconds since 1970: its scheduled time, or the time of
    /// submission.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        match &self.accepted.spec.schedule {
            Some(schedule) => schedule.due_unix_ms(occurrence),
            None => self.accepted.submitted_unix_ms,
        }
    }

    /// Adds an occurrence with all its tasks waiting, unless it exists.
    pub fn open_occurrence(&mut self, number: u32) -> &mut Occurrence {
        let spec = &self.accepted.spec;
        self.occurrences
            .entry(number)
            .or_insert_with(|| Occurrence {
                steps: spec
                    .steps
                    .iter()
                    .map(|step| Step {
                        tasks: vec![Task::default(); step.tasks as usize],
                        done: 0,
                        idle: step.tasks,
                    })
                    .collect(),
            })
    }

    /// Adds the occurrences that are due and returns whether there are new ones.
    pub fn open_due(&mut self, unix_ms: u64) -> bool {
        let mut opened = false;
        let mut next = self
            .occurrences
            .keys()
            .next_back()
            .map_or(0, |last| last + 1);
        while next < self.occurrence_count()
            && (self.accepted.spec.schedule.is_none() || self.due_unix_ms(next) <= unix_ms)
        {
            self.open_occurrence(next);
            next += 1;
            opened = true;
        }
        opened
    }

    /// Returns a task, or `None` if its occurrence is not due or the spec has no such task.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        self.occurrences
            .get(&id.occurrence)?
            .steps
            .get(id.step as usize)?
            .tasks
            .get(id.index as usize)
    }

    /// Returns a task for changes. Adds its occurrence and all earlier ones, since a run of the task proves that it
    /// was due.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let known = id.occurrence < self.occurrence_count()
            && (id.step as usize) < self.accepted.spec.steps.len();
        if !known {
            return None;
        }
        for number in 0..=id.occurrence {
            self.open_occurrence(number);
        }
        self.occurrences
            .get_mut(&id.occurrence)?
            .steps
            .get_mut(id.step as usize)?
            .tasks
            .get_mut(id.index as usize)
    }

    /// Marks a task as done and drops its checkpoint.
    pub fn mark_done(&mut self, id: &TaskId) {
        let Some(task) = self.task_mut(id) else {
            return;
        };
        if task.done {
            return;
        }
        task.done = true;
        task.checkpoint = None;
        let was_idle = task.active.is_none();
        if let Some(step) = self.step_mut(id) {
            step.done += 1;
            step.idle -= u32::from(was_idle);
        }
    }

    /// Records that a run of a task is under way.
    pub fn set_active(&mut self, id: &TaskId, run: ActiveRun) {
        let Some(task) = self.task_mut(id) else {
            return;
        };
        let was_idle = task.active.replace(run).is_none() && !task.done;
        if let Some(step) = self.step_mut(id) {
            step.idle -= u32::from(was_idle);
        }
    }

    /// Removes and returns the active run of a task.
    pub fn take_active(&mut self, id: &TaskId) -> Option<ActiveRun> {
        let task = self.task_mut(id)?;
        let run = task.active.take()?;
        let is_idle = !task.done;
        if let Some(step) = self.step_mut(id) {
            step.idle += u32::from(is_idle);
        }
        Some(run)
    }

    fn step_mut(&mut self, id: &TaskId) -> Option<&mut Step> {
        self.occurrences
            .get_mut(&id.occurrence)?
            .steps
            .get_mut(id.step as usize)
    }

    /// Returns whether a long-running task is at work.
    pub fn is_working(&self, id: &TaskId) -> bool {
        let step = &self.accepted.spec.steps[id.step as usize];
        let active = self.task(id).and_then(|task| task.active.as_ref());
        step.long_running && active.is_some_and(|active| active.percent >= 100)
    }

    /// Returns whether a step of an occurrence can start and has tasks without a run.
    pub fn has_startable(&self, occurrence: u32) -> bool {
        let Some(occurrence_state) = self.occurrences.get(&occurrence) else {
            return false;
        };
        (0_u32..)
            .zip(&occurrence_state.steps)
            .any(|(number, step)| step.idle > 0 && self.is_step_ready(occurrence, number))
    }

    /// Returns whether all steps that a step depends on are done.
    pub fn is_step_ready(&self, occurrence: u32, step: u32) -> bool {
        let Some(occurrence_state) = self.occurrences.get(&occurrence) else {
            return false;
        };
        self.accepted.spec.steps[step as usize]
            .after
            .iter()
            .all(|&after| {
                let before = &occurrence_state.steps[after as usize];
                before.done as usize == before.tasks.len()
            })
    }

    /// Returns the longest path of estimated work that is left in an occurrence, in milliseconds.
    pub fn critical_path_left_ms(&self, occurrence: u32) -> u64 {
        let Some(occurrence_state) = self.occurrences.get(&occurrence) else {
            return 0;
        };
        let left = occurrence_state
            .steps
            .iter()
            .zip(&self.critical_paths_ms)
            .filter(|(step, _)| (step.done as usize) < step.tasks.len());
        left.map(|(_, &chain)| chain).max().unwrap_or(0)
    }

    /// Returns the time by which an occurrence has to be done to meet its objective, in milliseconds since 1970.
    pub fn objective_unix_ms(&self, occurrence: u32) -> u64 {
        let chain = self.critical_paths_ms.iter().copied().max().unwrap_or(0);
        let queue = &self.accepted.queue;
        self.due_unix_ms(occurrence) + chain * queue.stretch_milli / 1_000 + queue.target_ms
    }

    /// Returns whether all tasks of all occurrences are done.
    pub fn is_done(&self) -> bool {
        self.occurrences.len() == self.occurrence_count() as usize
            && self.occurrences.values().all(Occurrence::is_done)
    }

    /// Iterates over the tasks of all occurrences that were added.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        let job = self.id;
        self.occurrences
            .iter()
            .flat_map(move |(&occurrence, occurrence_state)| {
                occurrence_state
                    .steps
                    .iter()
                    .enumerate()
                    .flat_map(move |(step, tasks)| {
                        tasks.tasks.iter().enumerate().map(move |(index, task)| {
                            let id = TaskId {
                                job,
                                occurrence,
                                step: u32::try_from(step).unwrap_or(u32::MAX),
                                index: u32::try_from(index).unwrap_or(u32::MAX),
                            };
                            (id, task)
                        })
                    })
            })
    }

    /// Returns whether any task has been started.
    pub fn has_started(&self) -> bool {
        self.tasks()
            .any(|(_, task)| task.done || task.last_run > 0 || task.active.is_some())
    }

    /// Returns a progress row that persists a part of the job's state.
    pub fn progress(&self, part: u32) -> record::Progress {
        let mut progress = record::Progress::default();
        if part == 0 {
            progress.state = self.state;
            progress.ended_unix_ms = self.ended_unix_ms;
        } else {
            progress.submitted_unix_ms = self.accepted.submitted_unix_ms;
        }
        if self.state.is_final() {
            return progress;
        }
        let key = progress_rows::Key { job: self.id, part };
        for id in self.layout.tasks(key) {
            // Occurrences that are not due have no progress, and none is due after them.
            if !self.occurrences.contains_key(&id.occurrence) {
                break;
            }
            let Some(task) = self.task(&id) else {
                continue;
            };
            let has_record = !task.failed_runs.is_empty()
                || task.checkpoint.is_some()
                || !task.crashes.is_empty();
            if task.done {
                match progress.done.last_mut() {
                    Some(last) if (last.occurrence, last.step) == (id.occurrence, id.step) => {
                        last.indexes.push(id.index);
                    }
                    _ => progress.done.push(record::Done {
                        occurrence: id.occurrence,
                        step: id.step,
                        indexes: vec![id.index],
                    }),
                }
            } else if has_record {
                progress.tasks.push(record::TaskRecord {
                    occurrence: id.occurrence,
                    step: id.step,
                    index: id.index,
                    failed_runs: task.failed_runs.clone(),
                    checkpoint: task.checkpoint.clone(),
                    crashes: task.crashes.clone(),
                });
            }
        }
        progress
    }

    /// Restores the state from the progress rows. Returns the numbers of rows that have to be written, as the progress of
    /// their tasks was read from another row.
    pub fn restore(&mut self, stored: &progress_rows::Stored) -> BTreeSet<u32> {
        let first = &stored.first;
        self.state = first.state;
        self.committed_state = first.state;
        self.ended_unix_ms = first.ended_unix_ms;
        let mut moved = self.restore_row(0, first);
        self.rows.insert(0);
        let submitted_unix_ms = self.accepted.submitted_unix_ms;
        for (&part, progress) in &stored.further {
            self.rows.insert(part);
            // A row of an earlier job with the same id tells nothing.
            if progress.submitted_unix_ms == submitted_unix_ms {
                moved.extend(self.restore_row(part, progress));
            }
        }
        moved
    }

    fn restore_row(&mut self, part: u32, progress: &record::Progress) -> BTreeSet<u32> {
        let job = self.id;
        let mut moved = BTreeSet::new();
        for done in &progress.done {
            for &index in &done.indexes {
                let task = TaskId {
                    job,
                    occurrence: done.occurrence,
                    step: done.step,
                    index,
                };
                self.mark_done(&task);
                moved.insert(self.layout.part(&task));
            }
        }
        for saved in &progress.tasks {
            let id = TaskId {
                job,
                occurrence: saved.occurrence,
                step: saved.step,
                index: saved.index,
            };
            if let Some(task) = self.task_mut(&id).filter(|task| !task.done) {
                task.failed_runs.clone_from(&saved.failed_runs);
                task.checkpoint.clone_from(&saved.checkpoint);
                task.crashes.clone_from(&saved.crashes);
                moved.insert(self.layout.part(&id));
            }
        }
        moved.remove(&part);
        moved
    }
}
