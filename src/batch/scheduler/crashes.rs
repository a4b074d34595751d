//! Tasks that may crash the workers that start them.
//!
//! Answers the load in which a few tasks end each worker that starts them, together with all that runs there. A worker's
//! crash is held against the tasks that it had started recently. A task that crashes are held against is tried apart:
//! on a worker where everything else has been at work for a while, and where nothing of another job starts until the
//! task has outlived its crashes. Crashes during trials show which task is at fault; its job is given up, and the crashes
//! of its workers are explained to the tasks that shared them.

use std::collections::{BTreeMap, BTreeSet};

use crate::batch::record;
use crate::batch::scheduler::{Scheduler, job, plan, room, tasks};
use crate::batch::worker_state;
use crate::batch::{JobId, TaskId};
use crate::clock;
use crate::id;

/// A run that has been at work for this long is not expected to crash its worker any more, in milliseconds.
const PROVEN_MS: u64 = 300;
/// A crash this long after a run began is not held against its task, in milliseconds: tasks crash the workers that start
/// them, and long runs see crashes that have other causes.
const HELD_AGAINST_MS: u64 = 5_000;
/// Workers of a rack that crash together, with none left, from which on the rack is the cause.
const DARK_RACK_MIN: usize = 2;
/// Crashes under a task that other jobs can explain. A task that shares the workers of others that crash them may be one
/// of them itself.
const EXPLAINED_MAX: usize = 2;
/// Crashes under a task, the last of them during a trial, after which its job is given up.
const CRASHES_TRIED: usize = 2;
/// The same while workers crash for other reasons too.
const CRASHES_TRIED_IN_OUTAGE: usize = 3;
/// After a worker crashed on which nothing had just begun, workers count as crashing for other reasons for this long, in
/// milliseconds.
const OUTAGE_MS: u64 = 30_000;
/// Crashes under a task after which its job is given up even if no trial was possible.
const CRASHES_MAX: usize = 4;
/// The same if fewer than [`CRASHES_TRIED`] of its starts were confirmed. The platform allows a task two starts after
/// the third crash.
const CRASHES_MAX_UNCONFIRMED: usize = 5;
/// Longest time for which a trial keeps other jobs from its worker, in milliseconds; shorter than a long-running task may
/// wait.
const TRIAL_MAX_MS: u64 = 2_000;

/// Returns whether crashes are held against a task, so that it is tried apart from other jobs.
///
/// One crash of a worker counts only if the task had just begun; workers crash for other reasons too.
pub(super) fn is_suspect(task: &tasks::Task) -> bool {
    unexplained(task) > 1
        || task
            .crashes
            .iter()
            .any(|crash| !crash.explained && crash.survived_ms < PROVEN_MS)
}

/// Returns the number of crashes held against a task that no other job was given up for.
fn unexplained(task: &tasks::Task) -> usize {
    task.crashes.iter().filter(|crash| !crash.explained).count()
}

/// Returns how long a suspect task has to be at work until it has outlived its crashes, in milliseconds: twice as long as
/// it survived before, and longer.
fn outlived_ms(task: &tasks::Task) -> u64 {
    let survived_ms = task.crashes.iter().map(|crash| crash.survived_ms).max();
    survived_ms.unwrap_or(0) * 2 + PROVEN_MS
}

/// Returns how long a suspect task has to be at work until its trial is over, in milliseconds.
fn trial_ms(task: &tasks::Task) -> u64 {
    outlived_ms(task).min(TRIAL_MAX_MS)
}

/// Returns the number of crashes under a task whose start was confirmed.
fn confirmed(task: &tasks::Task) -> usize {
    task.crashes.iter().filter(|crash| crash.confirmed).count()
}

/// Returns for how long a run has certainly been at work, in milliseconds: from the confirmation of its start to its
/// worker's last report.
pub(super) fn at_work_ms(active: &job::ActiveRun, worker: &worker_state::Worker) -> u64 {
    active
        .confirmed_at
        .map_or(0, |at| worker.last_response_at.since_ms(at))
}

/// Returns whether a task is suspect and its run on a worker has not outlived its trial.
fn is_on_trial(task: &tasks::Task, worker: &worker_state::Worker) -> bool {
    is_suspect(task)
        && task
            .active
            .as_ref()
            .is_some_and(|active| at_work_ms(active, worker) < trial_ms(task))
}

impl Scheduler {
    /// Holds a worker's crash against the tasks that it had started recently, before their runs are released.
    ///
    /// `tasks` are the tasks that ran there. A worker that fell silent until its leases lapsed has not certainly crashed.
    pub(super) fn worker_crashed(
        &mut self,
        id: &id::Worker,
        worker: &worker_state::Worker,
        tasks: &[TaskId],
        is_certain: bool,
    ) {
        let at = worker.last_response_at;
        if tasks.iter().all(|task| self.is_proven(worker, task)) {
            self.unprovoked_crash_at = Some(at);
        }
        if let Some(rack) = &worker.listing.rack {
            *self.crashed_in_rack.entry(rack.clone()).or_default() += 1;
        }
        for task in tasks {
            let Some((mut crash, alone)) = self.evidence(id, worker, task, tasks) else {
                continue;
            };
            crash.confirmed &= is_certain;
            let confirmed = crash.confirmed;
            let Some(state) = self
                .jobs
                .get_mut(&task.job)
                .and_then(|job| job.task_mut(task))
            else {
                continue;
            };
            let in_trial = is_suspect(state) && alone;
            state.crashes.push(crash);
            let crashes = state.crashes.len();
            self.crashed_tasks.insert(*task);
            let is_over_limit = crashes >= CRASHES_MAX_UNCONFIRMED
                || (crashes >= CRASHES_MAX && self::confirmed(state) >= CRASHES_TRIED);
            if is_over_limit {
                self.accused_tasks.insert(*task, None);
            } else if in_trial && confirmed {
                self.accused_tasks.insert(*task, Some(at));
            }
            if is_suspect(state) {
                self.task_changed(task);
            }
            if crashes > 1 {
                self.log(format!(
                    "worker crashed again under task={task} worker={id} crashes={crashes} in_trial={in_trial} confirmed={confirmed}"
                ));
            }
        }
    }

    /// Returns the crash to hold against a task, and whether no other job's task can have caused it.
    fn evidence(
        &self,
        id: &id::Worker,
        worker: &worker_state::Worker,
        task: &TaskId,
        tasks: &[TaskId],
    ) -> Option<(record::Crash, bool)> {
        let job = self.jobs.get(&task.job)?;
        if job.state.is_final() {
            return None;
        }
        let state = job.task(task)?;
        let active = state.active.as_ref()?;
        let survived_ms = at_work_ms(active, worker);
        if state.done || survived_ms >= HELD_AGAINST_MS {
            return None;
        }
        let alone = survived_ms < trial_ms(state)
            && tasks
                .iter()
                .filter(|other| other.job != task.job)
                .all(|other| self.is_proven(worker, other));
        let crash = record::Crash {
            worker: id.clone(),
            worker_started_unix_ms: worker.started_unix_ms,
            survived_ms,
            confirmed: active.confirmed_at.is_some(),
            explained: false,
        };
        Some((crash, alone))
    }

    /// Fails the jobs whose tasks crash their workers, and clears the tasks that shared a worker with them.
    ///
    /// Comes after all crashes that were noticed together, as they show whether workers crash for other reasons.
    pub(super) fn give_up_crashing_jobs(&mut self, now: clock::Instant, unix_ms: u64) {
        for (rack, crashed) in std::mem::take(&mut self.crashed_in_rack) {
            let is_dark = crashed >= DARK_RACK_MIN
                && !self.workers.values().any(|worker| {
                    worker.listing.rack.as_ref() == Some(&rack) && !worker.unanswered
                });
            if is_dark {
                self.unprovoked_crash_at = Some(now);
                self.log(format!("rack dark rack={rack} workers={crashed}"));
            }
        }
        for (id, tried_at) in std::mem::take(&mut self.accused_tasks) {
            let in_outage = tried_at.is_some_and(|at| {
                self.unprovoked_crash_at
                    .is_some_and(|outage_at| at.since_ms(outage_at) < OUTAGE_MS)
            });
            let needed = match (tried_at, in_outage) {
                (None, _) => 0,
                (Some(_), true) => CRASHES_TRIED_IN_OUTAGE,
                (Some(_), false) => CRASHES_TRIED,
            };
            let Some(job) = self.jobs.get(&id.job).filter(|job| !job.state.is_final()) else {
                continue;
            };
            let Some(task) = job.task(&id).filter(|task| confirmed(task) >= needed) else {
                continue;
            };
            let crashes = &task.crashes;
            let caused: BTreeSet<(id::Worker, u64)> = crashes
                .iter()
                .filter(|crash| !crash.explained && crash.survived_ms < PROVEN_MS)
                .map(|crash| (crash.worker.clone(), crash.worker_started_unix_ms))
                .collect();
            let crashes = crashes.len();
            self.counts.given_up += 1;
            let cleared = self.explain(id.job, &caused);
            self.log(format!(
                "job given up job={} reason=crashes-workers task={id} crashes={crashes} in_outage={in_outage} cleared={cleared}",
                id.job
            ));
            self.end_job(id.job, record::State::Failed, now, unix_ms);
        }
    }

    /// Marks the crashes that a job caused as explained for the other tasks that they were held against, and returns
    /// the number of tasks that are no longer suspect.
    fn explain(&mut self, culprit: JobId, caused: &BTreeSet<(id::Worker, u64)>) -> usize {
        let mut cleared = 0;
        let mut changed_tasks = Vec::new();
        for id in &self.crashed_tasks {
            let job = self.jobs.get_mut(&id.job).filter(|_| id.job != culprit);
            let Some(task) = job.and_then(|job| job.task_mut(id)) else {
                continue;
            };
            let (was_suspect, crashes) = (is_suspect(task), task.crashes.len());
            let is_caused = |crash: &record::Crash| {
                caused.contains(&(crash.worker.clone(), crash.worker_started_unix_ms))
            };
            // A task that had been at work for a while didn't cause the crash; one that had just begun may crash workers too.
            task.crashes
                .retain(|crash| crash.survived_ms < PROVEN_MS || !is_caused(crash));
            let explained = task.crashes.iter().filter(|crash| crash.explained).count();
            let shared = task
                .crashes
                .iter_mut()
                .filter(|crash| !crash.explained && is_caused(crash));
            let mut changed = 0;
            for crash in shared.take(EXPLAINED_MAX.saturating_sub(explained)) {
                crash.explained = true;
                changed += 1;
            }
            let is_changed = changed > 0 || task.crashes.len() < crashes;
            cleared += usize::from(was_suspect && !is_suspect(task));
            if is_changed {
                changed_tasks.push(*id);
            }
        }
        for task in &changed_tasks {
            self.task_changed(task);
        }
        cleared
    }

    /// Forgets the crashes that were held against a long-running task which has outlived them.
    pub(super) fn clear_survivor(&mut self, worker: &id::Worker, id: &TaskId) {
        if !self.crashed_tasks.contains(id) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let long_running = job.accepted.spec.steps[id.step as usize].long_running;
        let Some(worker) = self.workers.get(worker).filter(|_| long_running) else {
            return;
        };
        let Some(task) = job.task_mut(id) else {
            return;
        };
        let has_survived = task
            .active
            .as_ref()
            .is_some_and(|active| at_work_ms(active, worker) >= outlived_ms(task));
        if has_survived {
            task.crashes.clear();
            self.crashed_tasks.remove(id);
            self.task_changed(id);
            self.log(format!("task outlived its crashes task={id}"));
        }
    }

    /// Forgets the tasks that need no trial any more, because they are done or their job has ended.
    pub(super) fn prune_crashed_tasks(&mut self) {
        let jobs = &self.jobs;
        self.crashed_tasks.retain(|id| {
            jobs.get(&id.job)
                .filter(|job| !job.state.is_final())
                .and_then(|job| job.task(id))
                .is_some_and(|task| !task.done && !task.crashes.is_empty())
        });
    }

    /// Returns the jobs that are being tried, by worker.
    pub(super) fn trials(&self) -> BTreeMap<id::Worker, JobId> {
        let on_trial = self.crashed_tasks.iter().filter_map(|id| {
            let task = self.jobs.get(&id.job)?.task(id)?;
            let active = task.active.as_ref()?;
            let worker = self.workers.get(&active.worker)?;
            is_on_trial(task, worker).then(|| (active.worker.clone(), id.job))
        });
        on_trial.collect()
    }

    /// Returns whether a task has to be tried apart from other jobs.
    pub(super) fn needs_trial(&self, id: &TaskId) -> bool {
        self.crashed_tasks.contains(id)
            && self
                .jobs
                .get(&id.job)
                .and_then(|job| job.task(id))
                .is_some_and(is_suspect)
    }

    /// Returns whether any task of a job has to be tried.
    pub(super) fn has_suspects(&self, job: JobId) -> bool {
        let first = TaskId {
            job,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        self.crashed_tasks
            .range(first..)
            .take_while(|id| id.job == job)
            .any(|id| self.needs_trial(id))
    }

    /// Returns whether a trial of a job can begin on a worker: all runs of other jobs there are proven.
    pub(super) fn can_begin_trial(&self, worker: &worker_state::Worker, job: JobId) -> bool {
        worker
            .tasks
            .iter()
            .filter(|id| id.job != job)
            .all(|id| self.is_proven(worker, id))
    }

    fn is_proven(&self, worker: &worker_state::Worker, id: &TaskId) -> bool {
        self.jobs
            .get(&id.job)
            .and_then(|job| job.task(id))
            .and_then(|task| task.active.as_ref())
            .is_none_or(|active| at_work_ms(active, worker) >= PROVEN_MS)
    }

    /// Returns whether a suspect task is tried on a worker.
    pub(super) fn has_trial(&self, id: &id::Worker) -> bool {
        self.workers.get(id).is_some_and(|worker| {
            worker
                .tasks
                .iter()
                .filter(|task| self.crashed_tasks.contains(task))
                .filter_map(|task| self.jobs.get(&task.job)?.task(task))
                .any(|task| is_on_trial(task, worker))
        })
    }

    /// Withholds workers from other tasks, so that trials that wait can begin there: for each job the worker on which its
    /// task will fit soonest. As it gets no other tasks, the choice stays the same from round to round.
    pub(super) fn withhold_for_trials(
        &self,
        room: &mut room::Room,
        service: &id::Service,
        now: clock::Instant,
    ) {
        let mut waiting: BTreeMap<JobId, &TaskId> = BTreeMap::new();
        for id in &self.crashed_tasks {
            let is_waiting = self.jobs.get(&id.job).is_some_and(|job| {
                job.accepted.queue.service == *service
                    && job.is_step_ready(id.occurrence, id.step)
                    && !job.accepted.spec.steps[id.step as usize].gang
                    && job
                        .task(id)
                        .is_some_and(|task| task.is_waiting(now) && is_suspect(task))
            });
            if is_waiting {
                waiting.entry(id.job).or_insert(id);
            }
        }
        for id in waiting.into_values() {
            let Some(job) = self.jobs.get(&id.job) else {
                continue;
            };
            let step = &job.accepted.spec.steps[id.step as usize];
            let need = plan::need(step);
            let soonest = room
                .untried()
                .filter_map(|worker| self.workers.get(worker))
                .filter(|worker| {
                    !worker.is_suspect()
                        && plan::has_label(worker, step)
                        && self.can_spread(worker, id, step)
                        && self.is_allowed(id, &worker.listing.worker, now)
                })
                .filter_map(|worker| {
                    let ready_ms = self.time_to_capacity_ms(worker, id, &need, now)?;
                    Some((ready_ms, worker.tasks.len(), &worker.listing.worker))
                })
                .min();
            if let Some((_, _, worker)) = soonest {
                let worker = worker.clone();
                room.withhold(worker);
            }
        }
    }
}
