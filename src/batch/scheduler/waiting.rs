//! Long-running tasks that wait for a worker: since when, and what keeps the workers of their service from taking them.

use std::collections::BTreeMap;
use std::fmt;

use crate::batch::TaskId;
use crate::batch::scheduler::{Scheduler, plan};
use crate::batch::worker_state;
use crate::clock;
use crate::id;

/// A wait is logged from this time on, in milliseconds; a start takes less while there is capacity.
const LOG_AFTER_MS: u64 = 1_000;
/// Interval between two log lines of one service, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Maximum number of a step's waiting tasks that are followed.
const TASKS_FOLLOWED: usize = 256;

/// The long-running tasks that wait.
#[derive(Debug, Default)]
pub(super) struct WaitingTasks {
    since: BTreeMap<TaskId, (id::Service, clock::Instant)>,
    logged_at: BTreeMap<id::Service, clock::Instant>,
}

/// Numbers of workers of a service that have the free capacity for a task, by the first reason that withholds them.
#[derive(Clone, Copy, Debug, Default)]
struct Workers {
    with_capacity: usize,
    free: usize,
    unheard: usize,
    silent: usize,
    leaving: usize,
    draining: usize,
    suspect: usize,
    paused: usize,
    label: usize,
    spread: usize,
    trial: usize,
    reserved: usize,
}

impl fmt::Display for Workers {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "with_capacity={} free={} unheard={} silent={} leaving={} draining={} suspect={} paused={} label={} \
             spread={} trial={} reserved={}",
            self.with_capacity,
            self.free,
            self.unheard,
            self.silent,
            self.leaving,
            self.draining,
            self.suspect,
            self.paused,
            self.label,
            self.spread,
            self.trial,
            self.reserved
        )
    }
}

impl Scheduler {
    /// Follows the long-running tasks that wait, and logs the one of each service that has waited longest.
    pub(super) fn check_waiting(&mut self, now: clock::Instant) {
        let mut waiting = BTreeMap::new();
        for id in self.open_jobs.iter() {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            if !job.accepted.spec.is_long_running() {
                continue;
            }
            for (&occurrence, state) in &job.occurrences {
                for (step, spec) in (0_u32..).zip(&job.accepted.spec.steps) {
                    let tasks = &state.steps[step as usize];
                    if !spec.long_running
                        || tasks.idle() == 0
                        || !job.is_step_ready(occurrence, step)
                    {
                        continue;
                    }
                    for (index, _) in tasks.idle_tasks().take(TASKS_FOLLOWED) {
                        let task = TaskId {
                            job: *id,
                            occurrence,
                            step,
                            index,
                        };
                        let earlier = self.waiting.since.get(&task);
                        let since = earlier.map_or(now, |(_, since)| *since);
                        waiting.insert(task, (job.accepted.queue.service.clone(), since));
                    }
                }
            }
        }
        self.waiting.since = waiting;
        let mut longest: BTreeMap<id::Service, (clock::Instant, TaskId)> = BTreeMap::new();
        for (task, (service, since)) in &self.waiting.since {
            let entry = longest.entry(service.clone()).or_insert((*since, *task));
            *entry = (*entry).min((*since, *task));
        }
        for (service, (since, task)) in longest {
            let logged_at = self.waiting.logged_at.get(&service);
            let is_due = logged_at.is_none_or(|at| now.since_ms(*at) >= LOG_INTERVAL_MS);
            if is_due && now.since_ms(since) >= LOG_AFTER_MS {
                self.waiting.logged_at.insert(service.clone(), now);
                self.log_waiting(&service, &task, since, now);
            }
        }
    }

    fn log_waiting(
        &mut self,
        service: &id::Service,
        id: &TaskId,
        since: clock::Instant,
        now: clock::Instant,
    ) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let step = &job.accepted.spec.steps[id.step as usize];
        let need = plan::need(step);
        let mut workers = Workers::default();
        for worker in self.workers.values() {
            if worker.listing.service != *service || !worker.has_capacity(&need) {
                continue;
            }
            workers.with_capacity += 1;
            let counter = if !worker.adopted || !worker.recorded {
                &mut workers.unheard
            } else if worker.silent_ms(now) >= worker_state::SILENT_MS {
                &mut workers.silent
            } else if worker.listing.leaving || !worker.listed {
                &mut workers.leaving
            } else if worker.draining {
                &mut workers.draining
            } else if worker.is_suspect() {
                &mut workers.suspect
            } else if now < worker.paused_until {
                &mut workers.paused
            } else if !plan::has_label(worker, step) {
                &mut workers.label
            } else if !self.can_spread(worker, id, step) {
                &mut workers.spread
            } else if self.has_trial(&worker.listing.worker) {
                &mut workers.trial
            } else if !self.can_place(worker, id, step, &need, now) {
                &mut workers.reserved
            } else {
                &mut workers.free
            };
            *counter += 1;
        }
        let unresolved = self.unresolved.values();
        let unresolved = unresolved.filter(|row| row.may_run(service)).count();
        let count = self.long_running_waiting(service);
        self.log(format!(
            "long-running task waits task={id} service={service} waits_ms={} need_milli={} count={count} \
             reservation={} {workers} unresolved={unresolved}",
            now.since_ms(since),
            need.cpu_milli,
            self.reservations.contains(id)
        ));
    }

    /// Returns the number of long-running tasks of a service that wait for a worker.
    pub fn long_running_waiting(&self, service: &id::Service) -> usize {
        let waiting = self.waiting.since.values();
        waiting.filter(|(waits_on, _)| waits_on == service).count()
    }
}
