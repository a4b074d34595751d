//! Scheduling state of a job and its occurrences.
//!
//! A schedule can have many more occurrences than run at a time, and any number of them can be due at once. Only a bounded
//! number that wait are open, besides those with runs; finished ones are kept as numbers.

use std::collections::{BTreeMap, BTreeSet};
use std::iter;
use std::sync::Arc;

use crate::batch::progress_rows;
use crate::batch::ranges::Ranges;
use crate::batch::record;
use crate::batch::scheduler::tasks::{self, Occurrence, Step, Task};
use crate::batch::spec;
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
    /// Open occurrences by number: those that were found to be due, or of which a run is known, until they are finished.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Occurrences of which all tasks are done.
    finished: Ranges,
    /// Number below which all occurrences were opened.
    opened_below: u32,
    /// Number below which all occurrences are finished by the first progress row.
    recorded_below: u32,
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
            finished: Ranges::default(),
            opened_below: 0,
            recorded_below: 0,
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

    /// Opens an occurrence with all its tasks waiting, unless it is open or finished.
    pub fn open_occurrence(&mut self, number: u32) {
        if self.finished.contains(number) {
            return;
        }
        let steps = &self.accepted.spec.steps;
        self.occurrences
            .entry(number)
            .or_insert_with(|| Occurrence {
                steps: steps.iter().map(|step| Step::new(step.tasks)).collect(),
            });
    }

    /// Opens occurrences that are due, as long as fewer than `waiting_max` open ones have no run; returns whether it opened
    /// one.
    pub fn open_due(&mut self, unix_ms: u64, waiting_max: usize) -> bool {
        if !self.is_due(unix_ms) {
            return false;
        }
        let waiting = self.occurrences.values();
        let mut waiting = waiting.filter(|state| !state.is_active()).count();
        let mut opened = false;
        while self.is_due(unix_ms) && waiting < waiting_max {
            self.open_occurrence(self.opened_below);
            self.opened_below += 1;
            waiting += 1;
            opened = true;
        }
        opened
    }

    /// Passes over occurrences that are open or finished, and returns whether the next one is due.
    fn is_due(&mut self, unix_ms: u64) -> bool {
        loop {
            if let Some(last) = self.finished.last_of(self.opened_below) {
                self.opened_below = last.saturating_add(1);
            } else if self.occurrences.contains_key(&self.opened_below) {
                self.opened_below += 1;
            } else {
                break;
            }
        }
        self.opened_below < self.occurrence_count()
            && self.due_unix_ms(self.opened_below) <= unix_ms
    }

    /// Returns a task, or `None` if its occurrence is not open or finished, or the spec has no such task.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        match self.occurrences.get(&id.occurrence) {
            Some(state) => state.steps.get(id.step as usize)?.get(id.index),
            None => {
                let step = self.accepted.spec.steps.get(id.step as usize)?;
                let exists = id.index < step.tasks;
                (exists && self.finished.contains(id.occurrence)).then_some(&tasks::DONE)
            }
        }
    }

    /// Returns a task for changes, or `None` if its occurrence is finished or the spec has no such task. Opens its occurrence,
    /// since a run of the task proves that it was due.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        self.step_mut(id)?.get_mut(id.index)
    }

    fn step_mut(&mut self, id: &TaskId) -> Option<&mut Step> {
        let step = self.accepted.spec.steps.get(id.step as usize)?;
        if id.occurrence >= self.occurrence_count() || id.index >= step.tasks {
            return None;
        }
        self.open_occurrence(id.occurrence);
        let state = self.occurrences.get_mut(&id.occurrence)?;
        state.steps.get_mut(id.step as usize)
    }

    /// Keeps no more than the number of an occurrence that is finished.
    fn close_finished(&mut self, occurrence: u32) {
        let state = self.occurrences.get(&occurrence);
        if state.is_some_and(|state| state.is_done() && !state.is_active()) {
            self.occurrences.remove(&occurrence);
            self.finished.insert(occurrence);
        }
    }

    /// Marks a task as done and drops its checkpoint.
    pub fn mark_done(&mut self, id: &TaskId) {
        if let Some(step) = self.step_mut(id) {
            step.mark_done(id.index);
            self.close_finished(id.occurrence);
        }
    }

    /// Records that a run of a task is under way.
    pub fn set_active(&mut self, id: &TaskId, run: ActiveRun) {
        if let Some(step) = self.step_mut(id) {
            step.set_active(id.index, run);
        }
    }

    /// Removes and returns the active run of a task.
    pub fn take_active(&mut self, id: &TaskId) -> Option<ActiveRun> {
        let state = self.occurrences.get_mut(&id.occurrence)?;
        let run = state
            .steps
            .get_mut(id.step as usize)?
            .take_active(id.index)?;
        self.close_finished(id.occurrence);
        Some(run)
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
            .any(|(number, step)| step.idle() > 0 && self.is_step_ready(occurrence, number))
    }

    /// Returns whether all steps that a step depends on are done.
    pub fn is_step_ready(&self, occurrence: u32, step: u32) -> bool {
        let Some(occurrence_state) = self.occurrences.get(&occurrence) else {
            return false;
        };
        self.accepted.spec.steps[step as usize]
            .after
            .iter()
            .all(|&after| occurrence_state.steps[after as usize].is_done())
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
            .filter(|(step, _)| !step.is_done());
        left.map(|(_, &chain)| chain).max().unwrap_or(0)
    }

    /// Returns the time by which an occurrence has to be done to meet its objective, in milliseconds since 1970.
    pub fn objective_unix_ms(&self, occurrence: u32) -> u64 {
        let chain = self.critical_paths_ms.iter().copied().max().unwrap_or(0);
        let queue = &self.accepted.queue;
        let stretched_ms = chain.saturating_mul(queue.stretch_milli) / 1_000;
        self.due_unix_ms(occurrence)
            .saturating_add(stretched_ms)
            .saturating_add(queue.target_ms)
    }

    /// Returns whether all tasks of all occurrences are done.
    pub fn is_done(&self) -> bool {
        // One with runs under way is still open.
        let open = self.occurrences.values();
        let done = open.filter(|state| state.is_done()).count() as u64;
        self.finished.count() + done == u64::from(self.occurrence_count())
    }

    /// Iterates over the tasks of open occurrences that have a state of their own.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        let job = self.id;
        let occurrences = self.occurrences.iter();
        occurrences.flat_map(move |(&occurrence, state)| {
            let steps = (0_u32..).zip(&state.steps);
            steps.flat_map(move |(step, tasks)| {
                tasks.known().map(move |(index, task)| {
                    let id = TaskId {
                        job,
                        occurrence,
                        step,
                        index,
                    };
                    (id, task)
                })
            })
        })
    }

    /// Returns whether a run of any task has begun, as far as is known. A start that was refused, or wasn't answered, is none.
    pub fn has_begun(&self) -> bool {
        let open = self.occurrences.values();
        self.state == record::State::Running
            || self.finished.count() > 0
            || open.flat_map(|state| &state.steps).any(Step::has_begun)
    }

    /// Keeps only what the state of an ended job and the removal of its rows need. Returns whether it did: a run may still be
    /// under way.
    pub fn trim(&mut self) -> bool {
        if self.tasks().any(|(_, task)| task.active.is_some()) {
            return false;
        }
        let accepted = Arc::make_mut(&mut self.accepted);
        accepted.spec = spec::Spec::default();
        self.occurrences = BTreeMap::new();
        self.finished = Ranges::default();
        self.layout = progress_rows::Layout::new(iter::empty(), 0, 0);
        self.critical_paths_ms = Vec::new();
        true
    }

    /// Returns a progress row that persists a part of the job's state.
    pub fn progress(&self, part: u32) -> record::Progress {
        let mut progress = record::Progress::default();
        if part == 0 {
            progress.state = self.state;
            if !self.state.is_final() && self.has_begun() {
                progress.state = record::State::Running;
            }
            progress.ended_unix_ms = self.ended_unix_ms;
            if !self.state.is_final() {
                progress.finished_below = self.finished.first_missing();
            }
        } else {
            progress.submitted_unix_ms = self.accepted.submitted_unix_ms;
        }
        if self.state.is_final() {
            return progress;
        }
        let key = progress_rows::Key { job: self.id, part };
        for id in self.layout.tasks(key) {
            if id.occurrence < progress.finished_below {
                continue;
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

    /// Returns the number of the progress row that records the end of a task. The first row records all tasks of a further one
    /// that is no longer needed.
    pub fn row_to_write(&self, id: &TaskId) -> u32 {
        let part = self.layout.part(id);
        if self.is_row_below(part, self.finished.first_missing()) {
            0
        } else {
            part
        }
    }

    /// Returns whether all tasks of a row are of occurrences below a number.
    fn is_row_below(&self, part: u32, occurrence: u32) -> bool {
        self.layout.last_occurrence(part) < u64::from(occurrence)
    }

    /// Returns whether there are further rows that are not needed once the first row is written.
    pub fn has_finished_rows(&self) -> bool {
        let first = self.rows.range(1..).next();
        first.is_some_and(|&part| self.is_row_below(part, self.finished.first_missing()))
    }

    /// Records the number below which all occurrences are finished by the first row.
    pub fn record_finished(&mut self, finished_below: u32) {
        self.recorded_below = self.recorded_below.max(finished_below);
    }

    /// Removes and returns the numbers of the further rows that are no longer needed.
    pub fn take_finished_rows(&mut self) -> Vec<u32> {
        let further = self.rows.range(1..).copied();
        let finished: Vec<u32> = further
            .take_while(|&part| self.is_row_below(part, self.recorded_below))
            .collect();
        for part in &finished {
            self.rows.remove(part);
        }
        finished
    }

    /// Restores the state from the progress rows. Returns the numbers of rows that have to be written, as the progress of
    /// their tasks was read from another row.
    pub fn restore(&mut self, stored: &progress_rows::Stored) -> BTreeSet<u32> {
        let first = &stored.first;
        self.state = first.state;
        self.committed_state = first.state;
        self.ended_unix_ms = first.ended_unix_ms;
        self.finished = Ranges::below(first.finished_below);
        self.opened_below = first.finished_below;
        self.recorded_below = first.finished_below;
        self.occurrences
            .retain(|number, _| *number >= first.finished_below);
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
                task.has_begun = saved.has_begun();
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
