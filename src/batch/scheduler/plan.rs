//! Planning: which waiting tasks start, in which order, and on which worker.

use crate::batch::order;
use crate::batch::record;
use crate::batch::scheduler::{Output, Scheduler, Start};
use crate::batch::scheduler::{job, release, room};
use crate::batch::spec;
use crate::batch::worker_state;
use crate::batch::{JobId, TaskId};
use crate::clock;
use crate::id;
use crate::platform::Resources;
use std::sync::Arc;

/// Maximum number of a step's waiting tasks that are considered at a time; more than a pool starts at once.
const TASKS_CONSIDERED: usize = 1_000;

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

/// Returns the priority class of an occurrence at a time.
pub(super) fn class(job: &job::Job, occurrence: u32, unix_ms: u64) -> order::Class {
    if job.accepted.spec.is_long_running() {
        return order::Class::LongRunning;
    }
    let done_unix_ms = unix_ms.saturating_add(job.critical_path_left_ms(occurrence));
    if done_unix_ms <= job.objective_unix_ms(occurrence) {
        order::Class::InTime
    } else {
        order::Class::Late
    }
}

/// Returns whether a task with a need fits nowhere, because one that needs at most as much was not placed.
fn cannot_fit(need: &Resources, unplaced: Option<&Resources>) -> bool {
    unplaced.is_some_and(|unplaced| unplaced.fits_in(need))
}

/// Returns the smaller of two amounts of each resource.
fn smaller(first: &Resources, second: &Resources) -> Resources {
    Resources {
        cpu_milli: first.cpu_milli.min(second.cpu_milli),
        memory_mib: first.memory_mib.min(second.memory_mib),
        accelerators: first.accelerators.min(second.accelerators),
    }
}

/// Returns the estimated work of an occurrence's tasks that are neither done nor have a run, and the smallest need of a
/// step.
fn work_left(job: &job::Job, occurrence: u32) -> (order::Work, Resources) {
    let mut work = order::Work::default();
    let mut need_min: Option<Resources> = None;
    if let Some(state) = job.occurrences.get(&occurrence) {
        for (step, spec) in state.steps.iter().zip(&job.accepted.spec.steps) {
            let need = need(spec);
            let time_ms = spec.estimate_ms.saturating_mul(u64::from(step.idle()));
            work.add(&need, time_ms);
            need_min = Some(need_min.map_or(need, |min| smaller(&min, &need)));
        }
    }
    (work, need_min.unwrap_or_default())
}

impl Scheduler {
    /// Plans all services in which something changed, and starts every task that can be placed.
    pub fn plan(&mut self, now: clock::Instant, unix_ms: u64) {
        if !self.may_change_runs(now) {
            return;
        }
        self.give_up_crashing_jobs(now, unix_ms);
        self.prune_crashed_tasks();
        self.release_reservations(now);
        self.count_unheard();
        self.mark_rates(unix_ms);
        let mut dirty_services = std::mem::take(&mut self.dirty_services);
        let row_unread = record::WorkerRow::unreadable();
        if dirty_services.contains(&row_unread.service) {
            // The worker whose row could not be read held back the tasks of all services.
            dirty_services.extend(self.config.services.keys().cloned());
        }
        for service in dirty_services {
            self.plan_service(&service, now, unix_ms);
        }
    }

    fn plan_service(&mut self, service: &id::Service, now: clock::Instant, unix_ms: u64) {
        let has_unresolved = self
            .unresolved
            .values()
            .any(|worker| worker.may_run(service));
        let candidates = self.candidates(service, has_unresolved, unix_ms);
        if candidates.is_empty() {
            return;
        }
        let mut room = self.room(service, now);
        let needs = candidates.iter().map(|candidate| candidate.need_min);
        let need_min = needs
            .reduce(|first, second| smaller(&first, &second))
            .unwrap_or_default();
        let users = self.pool_uses(service, &room.used);
        let mut order = order::Order::new(&candidates, room.capacity, users);
        self.withhold_for_trials(&mut room, service, now);
        // After a task was not placed, tasks of the same service that need at least as much are skipped.
        let mut unplaced: Option<Resources> = None;
        'turns: while let Some(turn) = order.next_turn() {
            // Saves the rest of a long queue in a full pool.
            if cannot_fit(&need_min, unplaced.as_ref()) && self.crashed_tasks.is_empty() {
                break;
            }
            let Some(job) = self.jobs.get(&turn.job) else {
                continue;
            };
            let accepted = Arc::clone(&job.accepted);
            for (step, spec) in (0_u32..).zip(&accepted.spec.steps) {
                let need = need(spec);
                let cannot_fit = cannot_fit(&need, unplaced.as_ref());
                if cannot_fit && !self.has_suspects(turn.job) {
                    continue;
                }
                let mut ids = self.waiting_tasks(turn.job, turn.occurrence, step, now);
                if cannot_fit {
                    // Workers may be withheld for trials that have no room for other tasks.
                    ids.retain(|id| self.needs_trial(id));
                }
                if ids.is_empty() {
                    continue;
                }
                let at_once = if spec.gang { ids.len() } else { 1 };
                if !self.quota_admits(&accepted, spec, at_once) {
                    continue;
                }
                if spec.gang {
                    if self.start_gang(service, &ids, spec, &turn, now) {
                        for _ in &ids {
                            order.placed(&spec.need);
                        }
                    }
                    room = self.room(service, now);
                    self.withhold_for_trials(&mut room, service, now);
                    continue;
                }
                ids.sort_by_key(|id| !self.reservations.contains(id));
                for id in ids {
                    if !self.quota_admits(&accepted, spec, 1) {
                        break;
                    }
                    if self.start_task(&mut room, id, spec, &turn, now) {
                        if order.placed(&spec.need) {
                            continue 'turns;
                        }
                        continue;
                    }
                    self.request_tickets(service, &id, now);
                    let has_claim = self.needs_trial(&id)
                        || spec.long_running && self.reserve_worker(service, &id, spec, &need, now);
                    // Other tasks can use suspect workers.
                    if has_claim || self.waits_for_healthy_worker(&room, &id, spec, &need, now) {
                        continue;
                    }
                    // A larger task may have a reservation.
                    let unconstrained = !spec.long_running
                        && spec.label.is_none()
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

    fn candidates(
        &self,
        service: &id::Service,
        has_unresolved: bool,
        unix_ms: u64,
    ) -> Vec<order::Candidate> {
        let mut candidates = Vec::new();
        for id in self.open_jobs.of_service(service) {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let may_run_elsewhere = job.known_to_earlier
                && (has_unresolved || !self.tenure.are_inherited_proven(service));
            if may_run_elsewhere || !self.tenure.may_take_up(job) || self.is_held(*id) {
                continue;
            }
            for &occurrence in job.occurrences.keys() {
                if !job.has_startable(occurrence) {
                    continue;
                }
                let objective_unix_ms = job.objective_unix_ms(occurrence);
                let due_unix_ms = job.due_unix_ms(occurrence);
                let (work_left, need_min) = work_left(job, occurrence);
                candidates.push(order::Candidate {
                    class: class(job, occurrence, unix_ms),
                    account: job.accepted.account.clone(),
                    beyond_rate: job.beyond_rate,
                    rank: job.accepted.queue.rank,
                    objective_unix_ms,
                    span_ms: objective_unix_ms.saturating_sub(due_unix_ms),
                    work_left,
                    need_min,
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
        let spec = &job.accepted.spec.steps[step as usize];
        let considered = if spec.gang {
            usize::MAX
        } else {
            TASKS_CONSIDERED
        };
        let step_state = &occurrence_state.steps[step as usize];
        step_state
            .waiting(now)
            .filter(|(_, task)| self.tenure.may_start_again(task))
            .take(considered)
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
        room: &mut room::Room,
        id: TaskId,
        step: &spec::Step,
        turn: &order::Turn,
        now: clock::Instant,
    ) -> bool {
        let need = need(step);
        let worker = self
            .choose_worker(room, id, step, &need, now)
            .or_else(|| self.choose_trial_worker(room, id, step, &need, now));
        let Some(worker) = worker else {
            return false;
        };
        let base = self.run_base;
        let run = self
            .jobs
            .get(&id.job)
            .and_then(|job| job.task(&id))
            .map_or(base, |task| task.last_run.max(base))
            + 1;
        self.release_reservation(&id, "started");
        self.send_start(&worker, id, run, turn, now);
        room.reserve(&worker, need.cpu_milli);
        if self.needs_trial(&id) {
            room.begin_trial(&worker, id.job);
        }
        true
    }

    fn send_start(
        &mut self,
        worker: &id::Worker,
        id: TaskId,
        run: u32,
        turn: &order::Turn,
        now: clock::Instant,
    ) {
        let lease_ms = self.lease_ms(now);
        let ticket = self.ticket(&id, worker, now);
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let accepted = Arc::clone(&job.accepted);
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(until_ms) = state.lease_end_ms(now, lease_ms) else {
            return;
        };
        state.lease_until_ms = state.lease_until_ms.max(until_ms);
        state.reserve(id, &need(&accepted.spec.steps[id.step as usize]));
        state.on_start(now);
        let heard_ms = now.since_ms(state.last_response_at);
        let used_milli = state.used.cpu_milli;
        let started_unix_ms = state.started_unix_ms;
        let Some(task) = job.task_mut(&id) else {
            return;
        };
        task.last_run = run;
        let checkpoint = task.checkpoint.clone();
        let failures = task.failed_runs.len();
        let released = release::LogFields(task.released.as_ref(), now).to_string();
        let active = job::ActiveRun {
            worker: worker.clone(),
            run,
            confirmed_at: None,
            stop_requested_at: None,
            stop_sent_at: None,
            stop_acked_at: None,
            stop_reason: None,
            percent: 0,
            percent_at: now,
            usage: 0,
            pace_percent: 100,
        };
        job.set_active(&id, active);
        self.charge(&accepted, &id);
        self.log(format!(
            "start task={id} run={run} worker={worker} heard_ms={heard_ms} used_milli={used_milli} failures={failures} {released} {turn}"
        ));
        self.outputs.push(Output::Start(Start {
            worker: worker.clone(),
            task: id,
            run,
            started_unix_ms,
            until_ms,
            checkpoint,
            accepted,
            ticket,
        }));
    }

    /// Starts all tasks of a gang, or none; returns whether they were started.
    fn start_gang(
        &mut self,
        service: &id::Service,
        ids: &[TaskId],
        step: &spec::Step,
        turn: &order::Turn,
        now: clock::Instant,
    ) -> bool {
        if ids.len() < step.tasks as usize {
            return false;
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
            return false;
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
            self.send_start(worker, *id, run + 1, turn, now);
        }
        true
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
        let trials = self.trials();
        let mut free_workers: Vec<worker_state::Worker> = self
            .workers
            .values()
            .filter(|worker| {
                worker.listing.service == *service
                    && worker.is_usable(now)
                    && !worker.is_suspect()
                    && !trials.contains_key(&worker.listing.worker)
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
pub(super) fn has_label(worker: &worker_state::Worker, step: &spec::Step) -> bool {
    step.label
        .as_ref()
        .is_none_or(|label| worker.listing.labels.contains(label))
}
