//! A job as the holder runs it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::batch::record;
use crate::batch::{JobId, TaskId};
use crate::clock;
use crate::id;

/// A run that may be under way.
#[derive(Clone, Debug)]
pub struct Live {
    /// Where.
    pub worker: id::Worker,
    /// Which start of the task.
    pub run: u32,
    /// When the worker was known to have it.
    pub known_at: Option<clock::Instant>,
    /// When a stop was last sent.
    pub stop_sent_at: Option<clock::Instant>,
    /// When a stop was acknowledged.
    pub stopped_at: Option<clock::Instant>,
    /// Why it is stopped, if it is.
    pub stop_reason: Option<StopReason>,
    /// Newest progress, 0 to 100, and when it last changed.
    pub percent: u32,
    /// When the progress last changed.
    pub percent_at: clock::Instant,
    /// Newest usage figure.
    pub usage: u64,
    /// Share that it is paced to, 0 to 100.
    pub pace: u32,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The job was cancelled or has failed.
    Over,
    /// The worker is emptied.
    Vacate,
    /// Its start may or may not have arrived.
    Unsure,
    /// It makes no progress there.
    Stuck,
    /// More urgent work needs the place.
    Preempted,
    /// The rest of its gang ended.
    Gang,
}

/// A task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// The highest number of a start so far.
    pub run: u32,
    /// The run that may be under way.
    pub live: Option<Live>,
    /// Whether it is done.
    pub done: bool,
    /// Runs that failed.
    pub failed_runs: Vec<u32>,
    /// The newest checkpoint.
    pub checkpoint: Option<String>,
    /// No new start before this moment.
    pub not_before: clock::Instant,
    /// The worker where it last failed.
    pub avoid: Option<id::Worker>,
}

impl Task {
    /// Whether it can be started.
    pub fn is_waiting(&self, now: clock::Instant) -> bool {
        !self.done && self.live.is_none() && now >= self.not_before
    }
}

/// The tasks of one step.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// The tasks.
    pub tasks: Vec<Task>,
    /// How many are done.
    pub done: u32,
}

/// One repetition of a job's steps.
#[derive(Clone, Debug, Default)]
pub struct Occurrence {
    /// The steps.
    pub steps: Vec<Step>,
}

impl Occurrence {
    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.steps
            .iter()
            .all(|step| step.done as usize == step.tasks.len())
    }
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// What was accepted.
    pub accepted: Arc<record::Accepted>,
    /// Whether a predecessor may have started tasks of it.
    pub inherited: bool,
    /// Its occurrences that are due.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Its state.
    pub state: record::State,
    /// Its state as committed.
    pub stored: record::State,
    /// When it ended, in milliseconds since 1970.
    pub ended_unix_ms: u64,
    /// The longest chain of estimated work from each step on, in milliseconds.
    pub chains_ms: Vec<u64>,
}

impl Job {
    /// A job that no task of is known yet.
    pub fn new(id: JobId, accepted: Arc<record::Accepted>, inherited: bool) -> Self {
        let chains_ms = accepted.spec.chains_ms();
        Self {
            id,
            accepted,
            inherited,
            occurrences: BTreeMap::new(),
            state: record::State::Queued,
            stored: record::State::Queued,
            ended_unix_ms: 0,
            chains_ms,
        }
    }

    /// How many occurrences it has in all.
    pub fn occurrences_in_all(&self) -> u32 {
        self.accepted
            .spec
            .schedule
            .map_or(1, |schedule| schedule.occurrences.max(1))
    }

    /// When an occurrence's clock begins to run, in milliseconds since 1970.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        match &self.accepted.spec.schedule {
            Some(schedule) => schedule.due_unix_ms(occurrence),
            None => self.accepted.submitted_unix_ms,
        }
    }

    /// Opens an occurrence, with all its tasks waiting.
    pub fn open(&mut self, number: u32) -> &mut Occurrence {
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
                    })
                    .collect(),
            })
    }

    /// Opens the occurrences that are due; tells whether there are new ones.
    pub fn open_due(&mut self, unix_ms: u64) -> bool {
        let mut opened = false;
        let mut next = self
            .occurrences
            .keys()
            .next_back()
            .map_or(0, |last| last + 1);
        while next < self.occurrences_in_all()
            && (self.accepted.spec.schedule.is_none() || self.due_unix_ms(next) <= unix_ms)
        {
            self.open(next);
            next += 1;
            opened = true;
        }
        opened
    }

    /// A task.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        self.occurrences
            .get(&id.occurrence)?
            .steps
            .get(id.step as usize)?
            .tasks
            .get(id.index as usize)
    }

    /// A task, to be changed; opens its occurrence if a run of it proves that it was due.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let known = id.occurrence < self.occurrences_in_all()
            && (id.step as usize) < self.accepted.spec.steps.len();
        if !known {
            return None;
        }
        for number in 0..=id.occurrence {
            self.open(number);
        }
        self.occurrences
            .get_mut(&id.occurrence)?
            .steps
            .get_mut(id.step as usize)?
            .tasks
            .get_mut(id.index as usize)
    }

    /// Marks a task as done.
    pub fn mark_done(&mut self, id: &TaskId) {
        let Some(task) = self.task_mut(id) else {
            return;
        };
        if task.done {
            return;
        }
        task.done = true;
        task.checkpoint = None;
        if let Some(occurrence) = self.occurrences.get_mut(&id.occurrence) {
            occurrence.steps[id.step as usize].done += 1;
        }
    }

    /// Whether a step's turn has come.
    pub fn step_is_ready(&self, occurrence: u32, step: u32) -> bool {
        let Some(open) = self.occurrences.get(&occurrence) else {
            return false;
        };
        self.accepted.spec.steps[step as usize]
            .after
            .iter()
            .all(|&after| {
                let before = &open.steps[after as usize];
                before.done as usize == before.tasks.len()
            })
    }

    /// The longest chain of estimated work that is left in an occurrence, in milliseconds.
    pub fn chain_left_ms(&self, occurrence: u32) -> u64 {
        let Some(open) = self.occurrences.get(&occurrence) else {
            return 0;
        };
        let left = open
            .steps
            .iter()
            .zip(&self.chains_ms)
            .filter(|(step, _)| (step.done as usize) < step.tasks.len());
        left.map(|(_, &chain)| chain).max().unwrap_or(0)
    }

    /// When an occurrence has to be done to meet its objective, in milliseconds since 1970.
    pub fn objective_unix_ms(&self, occurrence: u32) -> u64 {
        let chain = self.chains_ms.iter().copied().max().unwrap_or(0);
        let queue = &self.accepted.queue;
        self.due_unix_ms(occurrence) + chain * queue.stretch_milli / 1_000 + queue.target_ms
    }

    /// Whether all tasks of all occurrences are done.
    pub fn is_done(&self) -> bool {
        self.occurrences.len() == self.occurrences_in_all() as usize
            && self.occurrences.values().all(Occurrence::is_done)
    }

    /// All tasks of open occurrences.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        let job = self.id;
        self.occurrences
            .iter()
            .flat_map(move |(&occurrence, open)| {
                open.steps
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

    /// Whether any task has been started.
    pub fn has_begun(&self) -> bool {
        self.tasks()
            .any(|(_, task)| task.done || task.run > 0 || task.live.is_some())
    }

    /// The row that keeps its progress.
    pub fn progress(&self) -> record::Progress {
        let mut progress = record::Progress {
            state: self.state,
            ended_unix_ms: self.ended_unix_ms,
            ..record::Progress::default()
        };
        if self.state.is_final() {
            return progress;
        }
        for (&occurrence, open) in &self.occurrences {
            for (step, tasks) in (0_u32..).zip(&open.steps) {
                let done = (0_u32..).zip(&tasks.tasks).filter(|(_, task)| task.done);
                let indexes: Vec<u32> = done.map(|(index, _)| index).collect();
                if !indexes.is_empty() {
                    progress.done.push(record::Done {
                        occurrence,
                        step,
                        indexes,
                    });
                }
            }
        }
        for (id, task) in self.tasks() {
            if !task.done && (!task.failed_runs.is_empty() || task.checkpoint.is_some()) {
                progress.tasks.push(record::TaskRecord {
                    occurrence: id.occurrence,
                    step: id.step,
                    index: id.index,
                    failed_runs: task.failed_runs.clone(),
                    checkpoint: task.checkpoint.clone(),
                });
            }
        }
        progress
    }

    /// Takes over the progress that a row keeps.
    pub fn restore(&mut self, progress: &record::Progress) {
        self.state = progress.state;
        self.stored = progress.state;
        self.ended_unix_ms = progress.ended_unix_ms;
        let id = self.id;
        for done in &progress.done {
            for &index in &done.indexes {
                self.mark_done(&TaskId {
                    job: id,
                    occurrence: done.occurrence,
                    step: done.step,
                    index,
                });
            }
        }
        for kept in &progress.tasks {
            let task = TaskId {
                job: id,
                occurrence: kept.occurrence,
                step: kept.step,
                index: kept.index,
            };
            if let Some(task) = self.task_mut(&task) {
                task.failed_runs.clone_from(&kept.failed_runs);
                task.checkpoint.clone_from(&kept.checkpoint);
            }
        }
    }
}
