//! Planning: which waiting tasks start, in which order, and on which worker.

use crate::batch::scheduler::job;
use crate::batch::scheduler::{Output, Scheduler, Start};
use crate::batch::spec;
use crate::batch::worker_state;
use crate::batch::{JobId, TaskId};
use crate::clock;
use crate::id;
use crate::platform::Resources;
use std::sync::Arc;

/// Cost of a worker away from the task's data; a worker's share of free capacity costs at most 1000.
const REMOTE_COST: u64 = 10_000;
/// Cost of the worker on which the task failed before.
const FAILED_BEFORE_COST: u64 = 20_000;

/// Returns the capacity that a task of a step takes on a worker. A filler task takes no processor share.
pub(super) fn need(step: &spec::Step) -> Resources {
    Resources {
        cpu_milli: if step.best_effort {
            0
        } else {
            step.need.cpu_milli
        },
        ..step.need
    }
}

/// An occurrence with waiting tasks. The derived order is the scheduling order, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    class: Class,
    rank: u32,
    objective_unix_ms: u64,
    job: JobId,
    occurrence: u32,
}

/// Priority classes, in scheduling order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    /// Runs until it is cancelled, so every second without it is lost.
    LongRunning,
    /// Can still meet its objective.
    InTime,
    /// Can no longer meet its objective.
    Late,
}

/// Returns the priority class of an occurrence at a time.
pub(super) fn class(job: &job::Job, occurrence: u32, unix_ms: u64) -> Class {
    if job.accepted.spec.is_long_running() {
        return Class::LongRunning;
    }
    if unix_ms + job.critical_path_left_ms(occurrence) <= job.objective_unix_ms(occurrence) {
        Class::InTime
    } else {
        Class::Late
    }
}

impl Scheduler {
    /// Plans all services in which something changed, and starts every task that can be placed.
    pub fn plan(&mut self, now: clock::Instant, unix_ms: u64) {
        for service in std::mem::take(&mut self.dirty_services) {
            self.plan_service(&service, now, unix_ms);
        }
    }

    fn plan_service(&mut self, service: &id::Service, now: clock::Instant, unix_ms: u64) {
        let has_unresolved = self
            .unresolved
            .values()
            .any(|worker| worker.service == *service);
        let mut candidates = self.candidates(service, has_unresolved, now, unix_ms);
        candidates.sort_unstable();
        // After a task was not placed, tasks of the same service that need at least as much are skipped.
        let mut unplaced: Option<Resources> = None;
        for candidate in candidates {
            let Some(job) = self.jobs.get(&candidate.job) else {
                continue;
            };
            let accepted = Arc::clone(&job.accepted);
            for (step, spec) in (0_u32..).zip(&accepted.spec.steps) {
                let need = need(spec);
                let cannot_fit = unplaced.is_some_and(|unplaced| {
                    need.cpu_milli >= unplaced.cpu_milli
                        && need.memory_mib >= unplaced.memory_mib
                        && need.accelerators >= unplaced.accelerators
                });
                if cannot_fit {
                    continue;
                }
                let ids = self.waiting_tasks(candidate.job, candidate.occurrence, step, now);
                if ids.is_empty() {
                    continue;
                }
                if spec.gang {
                    self.start_gang(service, &ids, spec, now);
                    continue;
                }
                for id in ids {
                    if !self.start_task(service, id, spec, &need, now) {
                        self.request_tickets(service, &id, now);
                        let unconstrained = spec.label.is_none()
                            && spec.per_worker_max == 0
                            && accepted.queue.advice.is_none();
                        if unconstrained {
                            unplaced = Some(need);
                        }
                        break;
                    }
                }
            }
        }
    }

    fn candidates(
        &self,
        service: &id::Service,
        has_unresolved: bool,
        now: clock::Instant,
        unix_ms: u64,
    ) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for id in &self.open_jobs {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let must_wait = has_unresolved && (job.recovered || self.predecessor_may_act);
            if job.accepted.queue.service != *service || must_wait {
                continue;
            }
            for (&occurrence, occurrence_state) in &job.occurrences {
                let has_waiting = occurrence_state
                    .steps
                    .iter()
                    .flat_map(|step| &step.tasks)
                    .any(|task| task.is_waiting(now));
                if !has_waiting {
                    continue;
                }
                let objective_unix_ms = job.objective_unix_ms(occurrence);
                candidates.push(Candidate {
                    class: class(job, occurrence, unix_ms),
                    rank: job.accepted.queue.rank,
                    objective_unix_ms,
                    job: *id,
                    occurrence,
                });
            }
        }
        candidates
    }

    fn waiting_tasks(
        &self,
        job: JobId,
        occurrence: u32,
        step: u32,
        now: clock::Instant,
    ) -> Vec<TaskId> {
        let Some(job) = self.jobs.get(&job) else {
            return Vec::new();
        };
        if !job.is_step_ready(occurrence, step) {
            return Vec::new();
        }
        let Some(occurrence_state) = job.occurrences.get(&occurrence) else {
            return Vec::new();
        };
        (0_u32..)
            .zip(&occurrence_state.steps[step as usize].tasks)
            .filter(|(_, task)| task.is_waiting(now))
            .map(|(index, _)| TaskId {
                job: job.id,
                occurrence,
                step,
                index,
            })
            .collect()
    }

    fn start_task(
        &mut self,
        service: &id::Service,
        id: TaskId,
        step: &spec::Step,
        need: &Resources,
        now: clock::Instant,
    ) -> bool {
        let Some(worker) = self.choose_worker(service, id, step, need, None, now) else {
            return false;
        };
        let base = self.run_base;
        let run = self
            .jobs
            .get(&id.job)
            .and_then(|job| job.task(&id))
            .map_or(base, |task| task.last_run.max(base))
            + 1;
        self.send_start(&worker, id, run, need, now);
        true
    }

    fn send_start(
        &mut self,
        worker: &id::Worker,
        id: TaskId,
        run: u32,
        need: &Resources,
        now: clock::Instant,
    ) {
        let lease_ms = self.settings.lease_ms;
        let ticket = self.ticket(&id, worker, now);
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(until_ms) = state.lease_end_ms(now, lease_ms) else {
            return;
        };
        state.lease_until_ms = state.lease_until_ms.max(until_ms);
        state.reserve(id, need);
        let heard_ms = now.since_ms(state.last_response_at);
        let used_milli = state.used.cpu_milli;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let accepted = Arc::clone(&job.accepted);
        let Some(task) = job.task_mut(&id) else {
            return;
        };
        task.last_run = run;
        task.active = Some(job::ActiveRun {
            worker: worker.clone(),
            run,
            confirmed_at: None,
            stop_sent_at: None,
            stop_acked_at: None,
            stop_reason: None,
            percent: 0,
            percent_at: now,
            usage: 0,
            pace_percent: 100,
        });
        let checkpoint = task.checkpoint.clone();
        let failures = task.failed_runs.len();
        self.log(format!(
            "start task={id} run={run} worker={worker} heard_ms={heard_ms} used_milli={used_milli} failures={failures}"
        ));
        self.outputs.push(Output::Start(Start {
            worker: worker.clone(),
            task: id,
            run,
            until_ms,
            checkpoint,
            accepted,
            ticket,
        }));
    }

    /// Returns the best worker for a task, or `None` if no worker can take it.
    pub(super) fn choose_worker(
        &self,
        service: &id::Service,
        id: TaskId,
        step: &spec::Step,
        need: &Resources,
        rack: Option<&id::Rack>,
        now: clock::Instant,
    ) -> Option<id::Worker> {
        let task = self.jobs.get(&id.job)?.task(&id)?;
        let attempts_left = self
            .jobs
            .get(&id.job)?
            .accepted
            .queue
            .attempts_max
            .saturating_sub(u32::try_from(task.failed_runs.len()).unwrap_or(u32::MAX));
        // The last attempt waits for a healthy worker; if there is none, it is made on a suspect one.
        let can_retry =
            attempts_left > 1 || step.long_running || !self.has_healthy_worker(service, now);
        let fits = |worker: &worker_state::Worker| {
            worker.listing.service == *service
                && worker.is_usable(now)
                && has_label(worker, step)
                && self.can_place(worker, &id, step, need, now)
                // A suspect worker gets one task at a time, and only a task that can be retried.
                && (!worker.is_suspect() || (worker.tasks.is_empty() && can_retry))
        };
        self.workers
            .iter()
            .filter(|(_, worker)| fits(worker))
            .min_by_key(|(_, worker)| placement_cost(worker, task, step, need, rack))
            .map(|(id, _)| id.clone())
    }

    fn has_healthy_worker(&self, service: &id::Service, now: clock::Instant) -> bool {
        self.workers
            .values()
            .any(|worker| worker.listing.service == *service && worker.is_healthy(now))
    }

    /// Returns whether a worker has the free capacity for a task, and the policy of the queue and the spread of the
    /// step allow the task there.
    fn can_place(
        &self,
        worker: &worker_state::Worker,
        id: &TaskId,
        step: &spec::Step,
        need: &Resources,
        now: clock::Instant,
    ) -> bool {
        worker.has_capacity(need)
            && self.is_allowed(id, &worker.listing.worker, now)
            && (step.per_worker_max == 0
                || self.step_tasks_on(worker, id) < step.per_worker_max as usize)
    }

    /// Returns the number of tasks of the same step and occurrence on a worker.
    fn step_tasks_on(&self, worker: &worker_state::Worker, id: &TaskId) -> usize {
        worker
            .tasks
            .iter()
            .filter(|task| {
                task.job == id.job && task.occurrence == id.occurrence && task.step == id.step
            })
            .count()
    }

    /// Starts all tasks of a gang, or none.
    fn start_gang(
        &mut self,
        service: &id::Service,
        ids: &[TaskId],
        step: &spec::Step,
        now: clock::Instant,
    ) {
        if ids.len() < step.tasks as usize {
            return;
        }
        let need = need(step);
        let racks: Vec<id::Rack> = if step.same_rack {
            self.racks(service)
        } else {
            Vec::new()
        };
        let placement = racks
            .iter()
            .find_map(|rack| self.place_gang(service, ids, step, &need, Some(rack), now))
            .or_else(|| self.place_gang(service, ids, step, &need, None, now));
        let Some(placement) = placement else {
            if let Some(id) = ids.first() {
                self.request_tickets(service, id, now);
            }
            return;
        };
        let (mut run, mut checkpoint) = (self.run_base, None);
        for id in ids {
            if let Some(task) = self.jobs.get(&id.job).and_then(|job| job.task(id)) {
                run = run.max(task.last_run);
                checkpoint = checkpoint.or_else(|| task.checkpoint.clone());
            }
        }
        for (id, worker) in ids.iter().zip(&placement) {
            if let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(id)) {
                task.checkpoint.clone_from(&checkpoint);
            }
            self.send_start(worker, *id, run + 1, &need, now);
        }
    }

    fn racks(&self, service: &id::Service) -> Vec<id::Rack> {
        let mut racks: Vec<id::Rack> = self
            .workers
            .values()
            .filter(|worker| worker.listing.service == *service)
            .filter_map(|worker| worker.listing.rack.clone())
            .collect();
        racks.sort();
        racks.dedup();
        racks
    }

    /// Returns a worker for each member of a gang, all in `rack` if it is given.
    fn place_gang(
        &self,
        service: &id::Service,
        ids: &[TaskId],
        step: &spec::Step,
        need: &Resources,
        rack: Option<&id::Rack>,
        now: clock::Instant,
    ) -> Option<Vec<id::Worker>> {
        let mut free_workers: Vec<worker_state::Worker> = self
            .workers
            .values()
            .filter(|worker| {
                worker.listing.service == *service
                    && worker.is_usable(now)
                    && !worker.is_suspect()
                    && (rack.is_none() || worker.listing.rack.as_ref() == rack)
                    && has_label(worker, step)
            })
            .cloned()
            .collect();
        let mut placement = Vec::new();
        for id in ids {
            let worker = free_workers
                .iter_mut()
                .filter(|worker| self.can_place(worker, id, step, need, now))
                .min_by_key(|worker| worker.listing.size.cpu_milli - worker.used.cpu_milli)?;
            worker.reserve(*id, need);
            placement.push(worker.listing.worker.clone());
        }
        Some(placement)
    }
}

/// Returns whether a worker has the label that a step requires, if any.
fn has_label(worker: &worker_state::Worker, step: &spec::Step) -> bool {
    step.label
        .as_ref()
        .is_none_or(|label| worker.listing.labels.contains(label))
}

/// Returns the cost of placing a task on a worker: away from its data or rack, where it failed before, or with much
/// capacity left over that a larger task could use. Lower is better.
fn placement_cost(
    worker: &worker_state::Worker,
    task: &job::Task,
    step: &spec::Step,
    need: &Resources,
    rack: Option<&id::Rack>,
) -> u64 {
    let listing = &worker.listing;
    let is_remote = step
        .data_rack
        .as_ref()
        .is_some_and(|data| !listing.labels.contains(data))
        || rack.is_some_and(|rack| listing.rack.as_ref() != Some(rack));
    let failed_before = task.last_failed_on.as_ref() == Some(&listing.worker);
    let cpu_left = listing
        .size
        .cpu_milli
        .saturating_sub(worker.used.cpu_milli + need.cpu_milli);
    let left_share = cpu_left * 1_000 / listing.size.cpu_milli.max(1);
    u64::from(is_remote) * REMOTE_COST + u64::from(failed_before) * FAILED_BEFORE_COST + left_share
}
