//! Capacity that is reserved for single tasks, so that no other task takes it before they can start.
//!
//! A long-running task that fits on no worker of a full pool gets a reservation on the worker whose tasks leave the
//! capacity soonest. A reservation is held until its task starts, on that worker or on another, or until the worker can
//! no longer take it.

use std::collections::{BTreeMap, BTreeSet};

use crate::batch::TaskId;
use crate::batch::scheduler::{Scheduler, job, plan, tasks};
use crate::batch::spec;
use crate::batch::worker_state;
use crate::clock;
use crate::id;
use crate::platform::Resources;

/// Workers of a service for each task that can wait with a reservation; the capacity held back stays a small share.
const WORKERS_PER_RESERVATION: usize = 8;
/// Maximum number of waiting tasks of a service with a reservation; bounds the time that one round of planning takes.
const RESERVATIONS_MAX: usize = 16;
/// Time until a worker for a reservation is searched again after none was found, in milliseconds.
const SEARCH_PAUSE_MS: u64 = 200;

#[derive(Debug)]
struct Reservation {
    worker: id::Worker,
    need: Resources,
}

/// The reservations of all services.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    by_task: BTreeMap<TaskId, Reservation>,
    by_worker: BTreeMap<id::Worker, BTreeSet<TaskId>>,
    /// No worker is searched for a service's tasks before this moment.
    search_not_before: BTreeMap<id::Service, clock::Instant>,
}

impl Reservations {
    /// Reserves capacity of a worker for a task, in place of an earlier reservation of the task.
    pub(super) fn insert(&mut self, task: TaskId, worker: id::Worker, need: Resources) {
        self.remove(&task);
        self.by_worker
            .entry(worker.clone())
            .or_default()
            .insert(task);
        self.by_task.insert(task, Reservation { worker, need });
    }

    /// Removes a task's reservation and returns its worker.
    pub(super) fn remove(&mut self, task: &TaskId) -> Option<id::Worker> {
        let reservation = self.by_task.remove(task)?;
        if let Some(tasks) = self.by_worker.get_mut(&reservation.worker) {
            tasks.remove(task);
            if tasks.is_empty() {
                self.by_worker.remove(&reservation.worker);
            }
        }
        Some(reservation.worker)
    }

    pub(super) fn contains(&self, task: &TaskId) -> bool {
        self.by_task.contains_key(task)
    }

    /// Iterates over the tasks with a reservation on a worker, except one, with the capacity reserved for each.
    pub(super) fn others_on(
        &self,
        worker: &id::Worker,
        except: &TaskId,
    ) -> impl Iterator<Item = (&TaskId, &Resources)> {
        let tasks = self.by_worker.get(worker).into_iter().flatten();
        tasks
            .filter(move |task| *task != except)
            .filter_map(|task| Some((task, &self.by_task.get(task)?.need)))
    }
}

impl Scheduler {
    /// Reserves a worker for a long-running task that fits on none now, and returns whether the task has a reservation.
    pub(super) fn reserve_worker(
        &mut self,
        service: &id::Service,
        id: &TaskId,
        step: &spec::Step,
        need: &Resources,
        now: clock::Instant,
    ) -> bool {
        if self.reservations.contains(id) {
            return true;
        }
        let not_before = self.reservations.search_not_before.get(service);
        if not_before.is_some_and(|at| now < *at) || !self.allows_reservation(service) {
            return false;
        }
        let trials = self.trials();
        let soonest = self
            .workers
            .values()
            .filter(|worker| {
                worker.listing.service == *service
                    && !trials.contains_key(&worker.listing.worker)
                    && can_hold(worker, now)
                    && plan::has_label(worker, step)
                    && self.can_spread(worker, id, step)
                    && self.is_allowed(id, &worker.listing.worker, now)
            })
            .filter_map(|worker| {
                let ready_ms = self.time_to_capacity_ms(worker, id, need, now)?;
                Some((ready_ms, &worker.listing.worker))
            })
            .min();
        let Some((ready_ms, worker)) = soonest else {
            self.reservations
                .search_not_before
                .insert(service.clone(), now.after_ms(SEARCH_PAUSE_MS));
            return false;
        };
        let worker = worker.clone();
        self.log(format!(
            "reserve worker={worker} task={id} need_milli={} ready_ms={ready_ms}",
            need.cpu_milli
        ));
        self.reservations.insert(*id, worker, *need);
        true
    }

    /// Returns whether another task of a service may hold a reservation.
    fn allows_reservation(&self, service: &id::Service) -> bool {
        let held = self.reservations.by_worker.iter().filter(|(worker, _)| {
            let worker = self.workers.get(*worker);
            worker.is_some_and(|worker| worker.listing.service == *service)
        });
        let held: usize = held.map(|(_, tasks)| tasks.len()).sum();
        let workers = self.workers.values();
        let workers = workers.filter(|worker| worker.listing.service == *service);
        let max = workers.count() / WORKERS_PER_RESERVATION;
        held < max.clamp(1, RESERVATIONS_MAX)
    }

    /// Returns the expected time until enough tasks on a worker have ended that `id` fits, or `None` if the tasks that
    /// end by themselves don't leave enough.
    pub(super) fn time_to_capacity_ms(
        &self,
        worker: &worker_state::Worker,
        id: &TaskId,
        need: &Resources,
        now: clock::Instant,
    ) -> Option<u64> {
        let mut used = worker.used;
        for (_, reserved) in self.reservations.others_on(&worker.listing.worker, id) {
            used = used.plus(reserved);
        }
        let mut ending: Vec<(u64, Resources)> = worker
            .tasks
            .iter()
            .filter_map(|task| {
                let job = self.jobs.get(&task.job)?;
                let step = &job.accepted.spec.steps[task.step as usize];
                let left_ms = time_left_ms(job.task(task)?, step, now)?;
                Some((left_ms, plan::need(step)))
            })
            .collect();
        ending.sort_unstable_by_key(|(left_ms, _)| *left_ms);
        let mut ending = ending.into_iter();
        let mut ready_ms = 0;
        while !used.plus(need).fits_in(&worker.listing.size) {
            let (left_ms, freed) = ending.next()?;
            used = used.minus(&freed);
            ready_ms = left_ms;
        }
        Some(ready_ms)
    }

    /// Releases the reservations whose task no longer needs them or whose worker can no longer take a task.
    pub(super) fn release_reservations(&mut self, now: clock::Instant) {
        let stale: Vec<(TaskId, &str)> = self
            .reservations
            .by_task
            .iter()
            .filter_map(|(id, reservation)| {
                let worker = self.workers.get(&reservation.worker);
                if !worker.is_some_and(|worker| can_hold(worker, now)) {
                    return Some((*id, "worker-withheld"));
                }
                let job = self.jobs.get(&id.job);
                let job = job.filter(|job| !job.state.is_final());
                let task = job.and_then(|job| job.task(id));
                match task.map(|task| (task.done, &task.active)) {
                    None | Some((true, _)) => Some((*id, "over")),
                    Some((false, None)) => None,
                    Some((false, Some(active))) => {
                        let vacates = active.stop_reason == Some(job::StopReason::Vacate);
                        (!vacates).then_some((*id, "started"))
                    }
                }
            })
            .collect();
        for (id, reason) in stale {
            self.release_reservation(&id, reason);
        }
    }

    /// Releases the reservation of a task, if it has one.
    pub(super) fn release_reservation(&mut self, id: &TaskId, reason: &str) {
        if let Some(worker) = self.reservations.remove(id) {
            self.log(format!("release worker={worker} task={id} reason={reason}"));
        }
    }
}

/// Returns whether a worker can be expected to take a task once it has the capacity.
fn can_hold(worker: &worker_state::Worker, now: clock::Instant) -> bool {
    worker.is_healthy(now) && worker.recorded && !worker.draining
}

/// Returns the expected time until a task leaves its worker, or `None` if it doesn't end by itself.
fn time_left_ms(task: &tasks::Task, step: &spec::Step, now: clock::Instant) -> Option<u64> {
    let active = task.active.as_ref()?;
    if active.stop_reason.is_some() {
        return Some(0);
    }
    if step.long_running {
        return None;
    }
    let left_ms = step
        .estimate_ms
        .saturating_mul(u64::from(100 - active.percent.min(100)))
        / 100;
    Some(left_ms.saturating_sub(now.since_ms(active.percent_at)))
}
