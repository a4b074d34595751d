//! Placement: which worker takes a task.
//!
//! Answers the load in which most of a pool is full and thousands of tasks are started a second. The usable workers are
//! sorted by free capacity once a round, so that finding the one that a task fills best takes a search in place of a
//! comparison of all workers, and a task that fits nowhere is recognised at once.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};

use crate::batch::scheduler::{Scheduler, plan, tasks};
use crate::batch::spec;
use crate::batch::worker_state;
use crate::batch::{JobId, TaskId};
use crate::clock;
use crate::id;
use crate::platform::Resources;

/// Cost of a worker away from the task's data; a worker's share of free capacity costs at most 1000.
const REMOTE_COST: u64 = 10_000;
/// Cost of the worker on which the task failed before.
const FAILED_BEFORE_COST: u64 = 20_000;
/// A worker seen for less than this may be going down and up by turns, in milliseconds.
const JUST_JOINED_MS: u64 = 5_000;
/// Divisor of a service's usable workers that gives the largest number of workers with trials.
const TRIALS_DIVISOR: usize = 2;

/// The workers of a service that can take tasks, by free processor capacity in thousandths of a core.
#[derive(Debug, Default)]
pub(super) struct Room {
    by_free: BTreeSet<(u64, id::Worker)>,
    free: BTreeMap<id::Worker, u64>,
    /// Total capacity of the workers.
    pub(super) capacity: Resources,
    /// Capacity that tasks used on the workers when the round began.
    pub(super) used: Resources,
    /// Healthy workers with the capacity that their long-running tasks leave, computed when first needed.
    healthy: OnceCell<Vec<(id::Worker, Resources)>>,
    /// Suspect workers that can get a long-running task although their pause has not ended.
    open_to_trial: Vec<id::Worker>,
    /// Jobs of which a suspect task is tried apart from other jobs, by worker.
    trials: BTreeMap<id::Worker, JobId>,
    /// Workers that take only trials of suspect tasks.
    withheld: BTreeSet<id::Worker>,
}

impl Room {
    fn insert(&mut self, worker: &worker_state::Worker) {
        let size = worker.listing.size.cpu_milli;
        let free = size.saturating_sub(worker.used.cpu_milli);
        self.capacity = self.capacity.plus(&worker.listing.size);
        self.used = self.used.plus(&worker.used);
        let id = worker.listing.worker.clone();
        self.by_free.insert((free, id.clone()));
        self.free.insert(id, free);
    }

    /// Returns whether a worker takes a task of a job; `is_trial` if the task has to be tried.
    fn admits(&self, worker: &id::Worker, job: JobId, is_trial: bool) -> bool {
        match self.trials.get(worker) {
            Some(tried) => *tried == job,
            None if is_trial => self.trials.len() < self.trials_max(),
            None => !self.withheld.contains(worker),
        }
    }

    fn trials_max(&self) -> usize {
        (self.free.len() / TRIALS_DIVISOR).max(1)
    }

    /// Records that a trial of a job begins on a worker.
    pub(super) fn begin_trial(&mut self, worker: &id::Worker, job: JobId) {
        self.trials.insert(worker.clone(), job);
    }

    /// Iterates over the workers without a trial that can be withheld for one; over none at the limit of trials.
    pub(super) fn untried(&self) -> impl Iterator<Item = &id::Worker> {
        let is_full = self.trials.len() + self.withheld.len() >= self.trials_max();
        self.free.keys().filter(move |worker| {
            !is_full && !self.trials.contains_key(*worker) && !self.withheld.contains(*worker)
        })
    }

    /// Keeps a worker for trials.
    pub(super) fn withhold(&mut self, worker: id::Worker) {
        self.withheld.insert(worker);
    }

    /// Takes capacity of a worker for a task that was placed there.
    pub(super) fn reserve(&mut self, worker: &id::Worker, cpu_milli: u64) {
        if let Some(free) = self.free.get_mut(worker) {
            self.by_free.remove(&(*free, worker.clone()));
            *free = free.saturating_sub(cpu_milli);
            self.by_free.insert((*free, worker.clone()));
        }
    }

    /// Iterates over the workers with the free processor capacity for a task, the fullest first.
    fn fitting(&self, cpu_milli: u64) -> impl Iterator<Item = &id::Worker> {
        let first = (cpu_milli, id::Worker::new(""));
        self.by_free.range(first..).map(|(_, worker)| worker)
    }
}

impl Scheduler {
    /// Returns the workers of a service that can take tasks now.
    pub(super) fn room(&self, service: &id::Service, now: clock::Instant) -> Room {
        let mut room = Room {
            trials: self.trials(),
            ..Room::default()
        };
        room.trials.retain(|worker, _| {
            self.workers
                .get(worker)
                .is_some_and(|worker| worker.listing.service == *service)
        });
        for worker in self.workers.values() {
            if worker.listing.service != *service {
                continue;
            }
            if worker.is_usable(now) {
                room.insert(worker);
            } else if worker.is_open_to_trial(now) {
                room.open_to_trial.push(worker.listing.worker.clone());
            }
        }
        room
    }

    /// Returns the best worker for a task, or `None` if no worker can take it.
    pub(super) fn choose_worker(
        &self,
        room: &Room,
        id: TaskId,
        step: &spec::Step,
        need: &Resources,
        now: clock::Instant,
    ) -> Option<id::Worker> {
        let task = self.jobs.get(&id.job)?.task(&id)?;
        let can_retry = !self.waits_for_healthy_worker(room, &id, step, need, now);
        let is_trial = self.needs_trial(&id);
        let fits = |worker: &&worker_state::Worker| {
            plan::has_label(worker, step)
                && room.admits(&worker.listing.worker, id.job, is_trial)
                && (!is_trial || self.can_begin_trial(worker, id.job))
                && self.can_place(worker, &id, step, need, now)
                // A suspect worker gets one task at a time, and only a task that can be retried.
                && (!worker.is_suspect() || (can_retry && self.can_try(worker)))
        };
        let mut fitting = room
            .fitting(need.cpu_milli)
            .filter_map(|worker| self.workers.get(worker))
            .filter(fits);
        let has_preference = step.data_rack.is_some() || task.last_failed_on.is_some();
        let best = if is_trial {
            fitting.min_by_key(|worker| trial_cost(worker, now))
        } else if has_preference {
            fitting.min_by_key(|worker| placement_cost(worker, task, step, need))
        } else {
            fitting.next()
        };
        best.map(|worker| worker.listing.worker.clone())
    }

    /// Returns whether a task is on its last attempt, which waits for a healthy worker as long as the tasks that end by
    /// themselves can make room for it on one.
    pub(super) fn waits_for_healthy_worker(
        &self,
        room: &Room,
        id: &TaskId,
        step: &spec::Step,
        need: &Resources,
        now: clock::Instant,
    ) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let failed_runs = job.task(id).map_or(0, |task| task.failed_runs.len());
        let attempts_left = (job.accepted.queue.attempts_max as usize).saturating_sub(failed_runs);
        if attempts_left > 1 || step.long_running {
            return false;
        }
        self.has_healthy_worker(room, *id, step, need, now)
    }

    /// Returns whether a healthy worker can take a task, at the latest once the tasks there have ended that end by themselves.
    fn has_healthy_worker(
        &self,
        room: &Room,
        id: TaskId,
        step: &spec::Step,
        need: &Resources,
        now: clock::Instant,
    ) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let healthy = room
            .healthy
            .get_or_init(|| self.healthy_workers(&job.accepted.queue.service, now));
        healthy.iter().any(|(worker, size)| {
            let worker = self.workers.get(worker);
            need.fits_in(size) && worker.is_some_and(|worker| plan::has_label(worker, step))
        })
    }

    /// Returns the healthy workers of a service, with the capacity that their long-running tasks leave.
    fn healthy_workers(
        &self,
        service: &id::Service,
        now: clock::Instant,
    ) -> Vec<(id::Worker, Resources)> {
        let workers = self.workers.values().filter(|worker| {
            worker.listing.service == *service && worker.is_healthy(now) && !worker.draining
        });
        let with_size = workers.map(|worker| {
            let mut size = worker.listing.size;
            for task in &worker.tasks {
                let job = self.jobs.get(&task.job);
                let step = job.map(|job| &job.accepted.spec.steps[task.step as usize]);
                if let Some(step) = step.filter(|step| step.long_running) {
                    size = size.minus(&plan::need(step));
                }
            }
            (worker.listing.worker.clone(), size)
        });
        with_size.collect()
    }

    /// Returns a suspect worker that can take a task during its pause, or `None` if there is none.
    ///
    /// The pauses of suspect workers grow far beyond the time that a long-running task may be down, or that a sound job may wait
    /// beside an idle pool. So a long-running task that fits on no other worker doesn't wait for their end, and neither does
    /// another task if no healthy worker is left for it.
    pub(super) fn choose_trial_worker(
        &self,
        room: &Room,
        id: TaskId,
        step: &spec::Step,
        need: &Resources,
        now: clock::Instant,
    ) -> Option<id::Worker> {
        // A worker that fails all that it starts would take the tasks that wait for room on others.
        if !step.long_running && self.has_healthy_worker(room, id, step, need, now) {
            return None;
        }
        let last_failed_on = self.jobs.get(&id.job)?.task(&id)?.last_failed_on.as_ref();
        let is_trial = self.needs_trial(&id);
        room.open_to_trial
            .iter()
            .filter_map(|worker| self.workers.get(worker))
            .filter(|worker| {
                plan::has_label(worker, step)
                    && room.admits(&worker.listing.worker, id.job, is_trial)
                    && (!is_trial || self.can_begin_trial(worker, id.job))
                    && self.can_place(worker, &id, step, need, now)
                    && self.can_try(worker)
            })
            .map(|worker| &worker.listing.worker)
            .min_by_key(|worker| last_failed_on == Some(worker))
            .cloned()
    }

    /// Returns whether a suspect worker has no trial under way.
    ///
    /// Long-running tasks that are at work are no trials: they would keep the worker from ever getting one.
    fn can_try(&self, worker: &worker_state::Worker) -> bool {
        worker.tasks.iter().all(|id| {
            let job = self.jobs.get(&id.job);
            job.is_some_and(|job| job.is_working(id))
        })
    }

    /// Returns whether a worker has the free capacity for a task, and the policy of the queue and the spread of the
    /// step allow the task there.
    pub(super) fn can_place(
        &self,
        worker: &worker_state::Worker,
        id: &TaskId,
        step: &spec::Step,
        need: &Resources,
        now: clock::Instant,
    ) -> bool {
        let mut need = *need;
        for (_, reserved) in self.reservations.others_on(&worker.listing.worker, id) {
            need = need.plus(reserved);
        }
        worker.has_capacity(&need)
            && self.can_spread(worker, id, step)
            && self.is_allowed(id, &worker.listing.worker, now)
    }

    /// Returns whether the spread of a step allows one more of its tasks on a worker.
    pub(super) fn can_spread(
        &self,
        worker: &worker_state::Worker,
        id: &TaskId,
        step: &spec::Step,
    ) -> bool {
        step.per_worker_max == 0 || self.step_tasks_on(worker, id) < step.per_worker_max as usize
    }

    /// Returns the number of tasks of the same step and occurrence on a worker, or with a reservation there.
    fn step_tasks_on(&self, worker: &worker_state::Worker, id: &TaskId) -> usize {
        let reserved = self.reservations.others_on(&worker.listing.worker, id);
        let reserved = reserved.map(|(task, _)| task);
        worker
            .tasks
            .iter()
            .chain(reserved.filter(|task| !worker.tasks.contains(task)))
            .filter(|task| {
                task.job == id.job && task.occurrence == id.occurrence && task.step == id.step
            })
            .count()
    }
}

/// Returns the cost of trying a task on a worker that it may crash. Lower is better: a worker that has been up for a
/// while, so that a crash has no other cause, with little other work.
fn trial_cost(worker: &worker_state::Worker, now: clock::Instant) -> (bool, usize, u64) {
    let has_just_joined = now.since_ms(worker.joined_at) < JUST_JOINED_MS;
    (has_just_joined, worker.tasks.len(), worker.used.cpu_milli)
}

/// Returns the cost of placing a task on a worker: away from its data, where it failed before, or with much capacity
/// left over that a larger task could use. Lower is better.
fn placement_cost(
    worker: &worker_state::Worker,
    task: &tasks::Task,
    step: &spec::Step,
    need: &Resources,
) -> u64 {
    let listing = &worker.listing;
    let is_remote = step
        .data_rack
        .as_ref()
        .is_some_and(|data| !listing.labels.contains(data));
    let failed_before = task.last_failed_on.as_ref() == Some(&listing.worker);
    let cpu_left = listing
        .size
        .cpu_milli
        .saturating_sub(worker.used.cpu_milli + need.cpu_milli);
    let left_share = cpu_left * 1_000 / listing.size.cpu_milli.max(1);
    u64::from(is_remote) * REMOTE_COST + u64::from(failed_before) * FAILED_BEFORE_COST + left_share
}
