//! Which waiting tasks start, in which order, and where.

use std::sync::Arc;

use crate::batch::book;
use crate::batch::scheduler::job;
use crate::batch::scheduler::{Holder, Output, Start};
use crate::batch::spec;
use crate::batch::{JobId, TaskId};
use crate::clock;
use crate::id;
use crate::platform::Resources;

/// Weight of a worker away from the task's data, against the share of a worker's room.
const FAR_WEIGHT: u64 = 10_000;
/// Weight of a worker on which the task failed before.
const AVOID_WEIGHT: u64 = 20_000;

/// Room that a task of a step takes on a worker.
pub(super) fn need(step: &spec::Step) -> Resources {
    Resources {
        cpu_milli: if step.filler { 0 } else { step.need.cpu_milli },
        ..step.need
    }
}

/// When a job's turn comes, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    class: Class,
    rank: u32,
    objective_unix_ms: u64,
    job: JobId,
    occurrence: u32,
}

/// Classes of work, first come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    /// Runs until it is cancelled, so that each second without it is lost.
    Lasting,
    /// Can still meet its objective.
    InTime,
    /// Can't meet it any more.
    Late,
}

/// The class of a job's occurrence at a moment.
pub(super) fn class(job: &job::Job, occurrence: u32, unix_ms: u64) -> Class {
    if job.accepted.spec.is_lasting() {
        return Class::Lasting;
    }
    if unix_ms + job.chain_left_ms(occurrence) <= job.objective_unix_ms(occurrence) {
        Class::InTime
    } else {
        Class::Late
    }
}

impl Holder {
    /// Starts what can be started.
    pub fn plan(&mut self, now: clock::Instant, unix_ms: u64) {
        for service in std::mem::take(&mut self.stale) {
            self.plan_service(&service, now, unix_ms);
        }
    }

    fn plan_service(&mut self, service: &id::Service, now: clock::Instant, unix_ms: u64) {
        let blocked = self
            .unresolved
            .values()
            .any(|worker| worker.service == *service);
        let mut turns = self.turns(service, blocked, now, unix_ms);
        turns.sort_unstable();
        // A task that found no place shows that none of at least its size will.
        let mut too_big: Option<Resources> = None;
        for turn in turns {
            let Some(job) = self.jobs.get(&turn.job) else {
                continue;
            };
            let accepted = Arc::clone(&job.accepted);
            for (step, spec) in (0_u32..).zip(&accepted.spec.steps) {
                let need = need(spec);
                let hopeless = too_big.is_some_and(|big| {
                    need.cpu_milli >= big.cpu_milli
                        && need.memory_mib >= big.memory_mib
                        && need.accelerators >= big.accelerators
                });
                if hopeless {
                    continue;
                }
                let ids = self.waiting_tasks(turn.job, turn.occurrence, step, now);
                if ids.is_empty() {
                    continue;
                }
                if spec.gang {
                    self.start_gang(service, &ids, spec, now);
                    continue;
                }
                for id in ids {
                    if !self.start(service, id, spec, &need, now) {
                        self.ask(service, &id, now);
                        let plain = spec.label.is_none()
                            && spec.per_worker_max == 0
                            && accepted.queue.advice.is_none();
                        if plain {
                            too_big = Some(need);
                        }
                        break;
                    }
                }
            }
        }
    }

    fn turns(
        &self,
        service: &id::Service,
        blocked: bool,
        now: clock::Instant,
        unix_ms: u64,
    ) -> Vec<Turn> {
        let mut turns = Vec::new();
        for id in &self.open {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let unsure = blocked && (job.inherited || self.predecessor_may_act);
            if job.accepted.queue.service != *service || unsure {
                continue;
            }
            for (&occurrence, open) in &job.occurrences {
                let waits = open
                    .steps
                    .iter()
                    .flat_map(|step| &step.tasks)
                    .any(|task| task.is_waiting(now));
                if !waits {
                    continue;
                }
                let objective_unix_ms = job.objective_unix_ms(occurrence);
                turns.push(Turn {
                    class: class(job, occurrence, unix_ms),
                    rank: job.accepted.queue.rank,
                    objective_unix_ms,
                    job: *id,
                    occurrence,
                });
            }
        }
        turns
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
        if !job.step_is_ready(occurrence, step) {
            return Vec::new();
        }
        let Some(open) = job.occurrences.get(&occurrence) else {
            return Vec::new();
        };
        (0_u32..)
            .zip(&open.steps[step as usize].tasks)
            .filter(|(_, task)| task.is_waiting(now))
            .map(|(index, _)| TaskId {
                job: job.id,
                occurrence,
                step,
                index,
            })
            .collect()
    }

    fn start(
        &mut self,
        service: &id::Service,
        id: TaskId,
        step: &spec::Step,
        need: &Resources,
        now: clock::Instant,
    ) -> bool {
        let Some(worker) = self.choose(service, id, step, need, None, now) else {
            return false;
        };
        let base = self.run_base;
        let run = self
            .jobs
            .get(&id.job)
            .and_then(|job| job.task(&id))
            .map_or(base, |task| task.run.max(base))
            + 1;
        self.send(&worker, id, run, need, now);
        true
    }

    fn send(
        &mut self,
        worker: &id::Worker,
        id: TaskId,
        run: u32,
        need: &Resources,
        now: clock::Instant,
    ) {
        let lease_ms = self.terms.lease_ms;
        let ticket = self.ticket(&id, worker, now);
        let Some(book) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(until_ms) = book.lease_end_ms(now, lease_ms) else {
            return;
        };
        book.lease_until_ms = book.lease_until_ms.max(until_ms);
        book.occupy(id, need);
        let heard_ms = now.since_ms(book.answered_at);
        let used_milli = book.used.cpu_milli;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let accepted = Arc::clone(&job.accepted);
        let Some(task) = job.task_mut(&id) else {
            return;
        };
        task.run = run;
        task.live = Some(job::Live {
            worker: worker.clone(),
            run,
            known_at: None,
            stop_sent_at: None,
            stopped_at: None,
            stop_reason: None,
            percent: 0,
            percent_at: now,
            usage: 0,
            pace: 100,
        });
        let checkpoint = task.checkpoint.clone();
        let failures = task.failed_runs.len();
        self.line(format!(
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

    /// The best worker for a task, if any has room.
    pub(super) fn choose(
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
        // With no sound worker to wait for, the last attempt is made on a doubtful one.
        let may_fail = attempts_left > 1 || step.lasting || !self.has_sound_worker(service, now);
        let fits = |worker: &book::Worker| {
            worker.listing.service == *service
                && worker.is_usable(now)
                && has_label(worker, step)
                && self.has_place(worker, &id, step, need, now)
                // A doubtful worker is tried with one task that may fail.
                && (!worker.is_doubtful() || (worker.tasks.is_empty() && may_fail))
        };
        self.workers
            .iter()
            .filter(|(_, worker)| fits(worker))
            .min_by_key(|(_, worker)| weight(worker, task, step, need, rack))
            .map(|(id, _)| id.clone())
    }

    fn has_sound_worker(&self, service: &id::Service, now: clock::Instant) -> bool {
        self.workers
            .values()
            .any(|worker| worker.listing.service == *service && worker.is_sound(now))
    }

    /// Whether a worker has room for a task, and its queue's policy and its step's spread let it go there.
    fn has_place(
        &self,
        worker: &book::Worker,
        id: &TaskId,
        step: &spec::Step,
        need: &Resources,
        now: clock::Instant,
    ) -> bool {
        worker.has_room(need)
            && self.is_allowed(id, &worker.listing.worker, now)
            && (step.per_worker_max == 0
                || self.count_on(worker, id) < step.per_worker_max as usize)
    }

    /// Tasks of the same step and occurrence on a worker.
    fn count_on(&self, worker: &book::Worker, id: &TaskId) -> usize {
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
        let places = racks
            .iter()
            .find_map(|rack| self.places(service, ids, step, &need, Some(rack), now))
            .or_else(|| self.places(service, ids, step, &need, None, now));
        let Some(places) = places else {
            if let Some(id) = ids.first() {
                self.ask(service, id, now);
            }
            return;
        };
        let (mut run, mut checkpoint) = (self.run_base, None);
        for id in ids {
            if let Some(task) = self.jobs.get(&id.job).and_then(|job| job.task(id)) {
                run = run.max(task.run);
                checkpoint = checkpoint.or_else(|| task.checkpoint.clone());
            }
        }
        for (id, worker) in ids.iter().zip(&places) {
            if let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(id)) {
                task.checkpoint.clone_from(&checkpoint);
            }
            self.send(worker, *id, run + 1, &need, now);
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

    /// Places for all members of a gang, on one rack if one is given.
    fn places(
        &self,
        service: &id::Service,
        ids: &[TaskId],
        step: &spec::Step,
        need: &Resources,
        rack: Option<&id::Rack>,
        now: clock::Instant,
    ) -> Option<Vec<id::Worker>> {
        let mut free: Vec<book::Worker> = self
            .workers
            .values()
            .filter(|worker| {
                worker.listing.service == *service
                    && worker.is_usable(now)
                    && !worker.is_doubtful()
                    && (rack.is_none() || worker.listing.rack.as_ref() == rack)
                    && has_label(worker, step)
            })
            .cloned()
            .collect();
        let mut places = Vec::new();
        for id in ids {
            let worker = free
                .iter_mut()
                .filter(|worker| self.has_place(worker, id, step, need, now))
                .min_by_key(|worker| worker.listing.size.cpu_milli - worker.used.cpu_milli)?;
            worker.occupy(*id, need);
            places.push(worker.listing.worker.clone());
        }
        Some(places)
    }
}

/// Whether a worker has the label that a step asks for, if it asks for one.
fn has_label(worker: &book::Worker, step: &spec::Step) -> bool {
    step.label
        .as_ref()
        .is_none_or(|label| worker.listing.labels.contains(label))
}

/// How ill a worker suits a task: away from its data, known to fail it, or with much room left that a larger task may need.
fn weight(
    worker: &book::Worker,
    task: &job::Task,
    step: &spec::Step,
    need: &Resources,
    rack: Option<&id::Rack>,
) -> u64 {
    let listing = &worker.listing;
    let far = step
        .data_rack
        .as_ref()
        .is_some_and(|data| !listing.labels.contains(data))
        || rack.is_some_and(|rack| listing.rack.as_ref() != Some(rack));
    let avoid = task.avoid.as_ref() == Some(&listing.worker);
    let left = listing
        .size
        .cpu_milli
        .saturating_sub(worker.used.cpu_milli + need.cpu_milli);
    let share = left * 1_000 / listing.size.cpu_milli.max(1);
    u64::from(far) * FAR_WEIGHT + u64::from(avoid) * AVOID_WEIGHT + share
}
