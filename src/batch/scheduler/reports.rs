//! Polls of workers: the runs and ends they report, and runs that are missing from both.

use std::collections::{BTreeSet, HashMap};

use crate::batch::connections::{Connection, SHARED_POLL_WAIT_MS};
use crate::batch::record;
use crate::batch::scheduler::job;
use crate::batch::scheduler::release::Release;
use crate::batch::scheduler::{Poll, Scheduler, plan};
use crate::batch::worker_state;
use crate::batch::{JobId, TaskId};
use crate::clock;
use crate::id;
use crate::platform::Resources;

/// Maximum time that a worker can hold a poll until a run ends, in milliseconds; a quarter of the lease.
const WAIT_MS: u64 = 1_000;
/// The same while it is uncertain whether a run exists, in milliseconds.
const WAIT_UNCERTAIN_MS: u64 = 50;
/// The same while a task is tried there that may crash the worker, in milliseconds; ends the trial soon.
const WAIT_TRIAL_MS: u64 = 100;
/// The same while the worker has tasks, whose progress is followed closely, in milliseconds.
const WAIT_BUSY_MS: u64 = 500;
/// A run whose stop the worker hasn't acknowledged for this long is ended by its lease, in milliseconds; several attempts at
/// the stop, as the other runs on the worker end with it.
const STOP_OVERDUE_MS: u64 = 5_000;
/// Maximum number of ends in one report.
const ENDS_MAX: usize = 500;

/// How far the stops of a worker's runs have got.
#[derive(Clone, Copy, Debug, Default)]
struct Stops {
    /// The worker has acknowledged the stop of a run whose end it hasn't reported.
    has_acknowledged: bool,
    /// The worker hasn't acknowledged a stop for so long that only the end of its lease can end the run.
    has_overdue: bool,
}

/// Returns the number of a task's run that is under way; `None` if there is none.
fn task_run(jobs: &HashMap<JobId, job::Job>, id: &TaskId) -> Option<u32> {
    let task = jobs.get(&id.job)?.task(id)?;
    Some(task.active.as_ref()?.run)
}

impl Scheduler {
    /// Returns the contents of the next poll of a worker, or `None` if the worker is not known.
    pub fn next_poll(&mut self, id: &id::Worker, now: clock::Instant) -> Option<Poll> {
        let lease_ms = self.lease_ms(now);
        let stops = self.stops(id, now);
        let has_orphans = self.orphans.has_runs_on(id);
        let has_trial = self.has_trial(id);
        let worker = self.workers.get_mut(id)?;
        let tries_connection = worker.connections.is_trial_due(now);
        let mut until_ms = None;
        // An unanswered poll may have granted a lease. Further leases would delay the time at which all have lapsed.
        let has_runs = has_orphans || !worker.tasks.is_empty();
        let may_renew = !worker.unanswered && !tries_connection && !stops.has_overdue;
        if has_runs && may_renew && lease_ms > 0 {
            until_ms = worker.lease_end_ms(now, lease_ms);
        }
        if let Some(until_ms) = until_ms {
            worker.lease_until_ms = worker.lease_until_ms.max(until_ms);
        }
        let wait_ms = match (worker.adopted, stops.has_acknowledged) {
            (false, _) => 0,
            (true, true) => WAIT_UNCERTAIN_MS,
            (true, false) if has_trial => WAIT_TRIAL_MS,
            (true, false) if !worker.tasks.is_empty() => WAIT_BUSY_MS,
            (true, false) => WAIT_MS,
        };
        let (connection, wait_ms) = match worker.connections.for_commands() {
            Connection::Commands => (Connection::Polls, wait_ms),
            Connection::Polls if tries_connection => (Connection::Commands, 0),
            Connection::Polls => (Connection::Polls, wait_ms.min(SHARED_POLL_WAIT_MS)),
        };
        let is_responsive =
            !worker.unanswered && now.since_ms(worker.last_response_at) < worker_state::SILENT_MS;
        Some(Poll {
            started_unix_ms: worker.started_unix_ms,
            until_ms,
            // A restarted worker numbers its ends from the start, so nothing is acknowledged after it was silent.
            acknowledged: if is_responsive {
                worker.acknowledged
            } else {
                0
            },
            wait_ms,
            connection,
        })
    }

    /// Returns how far the stops of a worker's runs have got.
    fn stops(&self, id: &id::Worker, now: clock::Instant) -> Stops {
        let mut stops = Stops::default();
        let Some(worker) = self.workers.get(id) else {
            return stops;
        };
        let is_overdue = |at: clock::Instant| now.since_ms(at) >= STOP_OVERDUE_MS;
        let mut unexpected = worker.unexpected.values().flatten();
        stops.has_overdue = unexpected.any(|at| is_overdue(*at));
        for task in &worker.tasks {
            let task = self.jobs.get(&task.job).and_then(|job| job.task(task));
            let Some(active) = task.and_then(|task| task.active.as_ref()) else {
                continue;
            };
            if active.stop_acked_at.is_some() {
                stops.has_acknowledged = true;
            } else if active.confirmed_at.is_some() {
                stops.has_overdue |= active.stop_requested_at.is_some_and(is_overdue);
            }
        }
        stops
    }

    /// Handles a worker's answer to the poll that was sent at `sent_at`.
    pub fn poll_answered(
        &mut self,
        id: &id::Worker,
        report: &worker_state::Report,
        sent_at: clock::Instant,
        now: clock::Instant,
        unix_ms: u64,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let born_unix_ms = report.started_unix_ms.unwrap_or(worker.started_unix_ms);
        if worker.adopted && born_unix_ms != worker.started_unix_ms {
            self.restarted(id, report);
            self.begin_incarnation(id, report, now);
        }
        let lease_max_ms = self.settings.lease_max_ms;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.started_unix_ms = born_unix_ms;
        worker.unanswered = false;
        worker.on_response(report.clock_ms, now);
        let is_whole = report.unreadable_runs == 0 && report.unreadable_ends == 0;
        if worker.reports_whole != is_whole {
            worker.reports_whole = is_whole;
            self.log(format!(
                "report read worker={id} unreadable_runs={} unreadable_ends={}",
                report.unreadable_runs, report.unreadable_ends
            ));
        }
        self.counts.unreadable_rows +=
            u64::from(report.unreadable_runs) + u64::from(report.unreadable_ends);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.adopted {
            worker.adopted = true;
            // An earlier leader may have renewed its lease just before.
            let row = self.unresolved.remove(id);
            if row.is_some() {
                self.tenure.inherited_heard_at = now;
            }
            let lease_ms = if row.is_some_and(|row| row.restarted) {
                worker.restarted_at = Some(now);
                lease_max_ms
            } else {
                self.settings.lease_ms
            };
            worker.lease_until_ms = worker.lease_until_ms.max(report.clock_ms + lease_ms);
            self.log(format!(
                "worker adopted worker={id} runs={} ends={}",
                report.running.len(),
                report.ended.len()
            ));
        }
        let service = self.workers[id].listing.service.clone();
        self.dirty_services.insert(service);
        for run in &report.running {
            self.run_reported(id, run, now);
        }
        self.apply_ends(id, report, now, unix_ms);
        let is_whole = report.unreadable_runs == 0 && report.unreadable_ends == 0;
        // A run that the report seems to lack can be one that cannot be read.
        if is_whole && report.ended.len() < ENDS_MAX {
            self.release_missing(id, report, sent_at, now);
        }
        let unreserved = self.unreserved_use(id, report);
        self.count_unexpected(id, report);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unreserved = unreserved;
            if report.unreadable_runs == 0 && !worker.unexpected.is_empty() {
                let runs = report.running.iter().map(|run| (run.task, run.run));
                let reported: BTreeSet<(TaskId, u32)> = runs.collect();
                worker.unexpected.retain(|run, _| reported.contains(run));
            }
        }
        self.pace_fillers(id, now);
    }

    /// Returns the capacity of the reported runs that have none reserved, which take it until their end is listed.
    fn unreserved_use(&self, id: &id::Worker, report: &worker_state::Report) -> Option<Resources> {
        let worker = self.workers.get(id)?;
        if report.unreadable_runs > 0 {
            return None;
        }
        let mut total = Resources::default();
        for run in &report.running {
            if worker.tasks.contains(&run.task) {
                continue;
            }
            let steps = &self.jobs.get(&run.task.job)?.accepted.spec.steps;
            let step = steps.get(run.task.step as usize)?;
            total = total.plus(&plan::need(step));
        }
        Some(total)
    }

    /// Records that a poll was not answered.
    pub fn poll_failed(&mut self, id: &id::Worker) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unanswered = true;
        }
    }

    /// Handles all ends whose job is known. Those after the first whose job is still unknown are acknowledged only after
    /// that one, because a worker discards all ends up to the acknowledged number. Next to an end that cannot be read, none
    /// is acknowledged, and none after that of a job whose row cannot be decoded.
    fn apply_ends(
        &mut self,
        id: &id::Worker,
        report: &worker_state::Report,
        now: clock::Instant,
        unix_ms: u64,
    ) {
        let mut is_complete = report.unreadable_ends == 0;
        for end in &report.ended {
            let Some(worker) = self.workers.get(id) else {
                return;
            };
            let born_unix_ms = worker.started_unix_ms;
            let is_new = end.number > worker.handled && !worker.handled_ahead.contains(&end.number);
            let run = worker_state::Run {
                task: end.task,
                run: end.run,
                checkpoint: end.checkpoint.clone(),
                percent: 0,
                usage: 0,
            };
            // The end of a job whose row can't be decoded is left to a leader that can decode it.
            let is_held = self.is_held(end.task.job);
            if is_new && (is_held || self.keep_orphan(id, run, now)) {
                is_complete = false;
                continue;
            }
            let Some(worker) = self.workers.get_mut(id) else {
                return;
            };
            let moves = is_complete && end.number > worker.handled;
            if moves {
                worker.handled = end.number;
                worker.handled_ahead.remove(&end.number);
            } else if is_new {
                worker.handled_ahead.insert(end.number);
            }
            if is_new {
                self.apply_end(id, end, now, unix_ms);
            }
            if moves {
                let change = self.changed_rows.newest();
                self.pending_rows
                    .record_handled_end(id, born_unix_ms, end.number, change);
            }
        }
    }

    pub(super) fn run_reported(
        &mut self,
        id: &id::Worker,
        run: &worker_state::Run,
        now: clock::Instant,
    ) {
        if self.keep_orphan(id, run.clone(), now) {
            return;
        }
        let is_over = self
            .jobs
            .get(&run.task.job)
            .is_none_or(|job| job.state.is_final());
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            self.stop_unexpected(id, run.task, run.run, "unknown-job", now);
            return;
        };
        let accepted = job.accepted.clone();
        let Some(task) = job.task_mut(&run.task) else {
            self.stop_unexpected(id, run.task, run.run, "unknown-task", now);
            return;
        };
        task.last_run = task.last_run.max(run.run);
        task.has_begun = true;
        if let Some(checkpoint) = run.checkpoint.as_ref().filter(|text| !text.is_empty()) {
            task.checkpoint = Some(checkpoint.clone());
        }
        match &mut task.active {
            Some(active) if active.worker == *id && active.run == run.run => {
                active.confirmed_at.get_or_insert(now);
                if active.percent != run.percent {
                    active.percent = run.percent;
                    active.percent_at = now;
                }
                active.usage = run.usage;
                let must_stop = is_over && active.stop_reason.is_none();
                self.clear_survivor(id, &run.task);
                if must_stop {
                    self.stop_task(run.task, job::StopReason::Over, now);
                }
            }
            None if !task.done && !is_over => {
                self.check_outlived(id, &run.task, run.run, now);
                let Some(job) = self.jobs.get_mut(&run.task.job) else {
                    return;
                };
                let active = job::ActiveRun {
                    worker: id.clone(),
                    run: run.run,
                    confirmed_at: Some(now),
                    stop_requested_at: None,
                    stop_sent_at: None,
                    stop_acked_at: None,
                    stop_reason: None,
                    percent: run.percent,
                    percent_at: now,
                    usage: run.usage,
                    pace_percent: 100,
                };
                job.set_active(&run.task, active);
                self.charge(&accepted, &run.task);
                let need = plan::need(&accepted.spec.steps[run.task.step as usize]);
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.reserve(run.task, &need);
                }
            }
            _ => {
                let reason = if is_over { "job-over" } else { "run-elsewhere" };
                self.check_outlived(id, &run.task, run.run, now);
                self.stop_unexpected(id, run.task, run.run, reason, now);
            }
        }
    }

    /// Stops a run that should not exist.
    fn stop_unexpected(
        &mut self,
        worker: &id::Worker,
        task: TaskId,
        run: u32,
        reason: &str,
        now: clock::Instant,
    ) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.unexpected.entry((task, run)).or_insert(Some(now));
        }
        self.log(format!(
            "stop unexpected run task={task} run={run} worker={worker} reason={reason}"
        ));
        self.outputs.push(super::Output::Stop {
            worker: worker.clone(),
            task,
            run,
        });
    }

    /// Applies the outcome of an ended run to its task.
    fn apply_end(
        &mut self,
        id: &id::Worker,
        end: &worker_state::EndedRun,
        now: clock::Instant,
        unix_ms: u64,
    ) {
        let task = self.jobs.get(&end.task.job);
        let task = task.and_then(|job| job.task(&end.task));
        let was_done = task.is_some_and(|task| task.done);
        let was_active = self.close_run(id, end, now);
        let other = task_run(&self.jobs, &end.task);
        let line = format!(
            "end task={} run={} worker={id} how={:?} number={} active={was_active} was_done={was_done} other_run={}",
            end.task,
            end.run,
            end.outcome,
            end.number,
            other.unwrap_or(0)
        );
        self.log(line);
        if other.is_some() && end.outcome == worker_state::Outcome::Done {
            self.counts.outlived += 1;
        }
        let Some(job) = self.jobs.get(&end.task.job) else {
            return;
        };
        let Some(step) = job.accepted.spec.steps.get(end.task.step as usize) else {
            return;
        };
        let (gang, long_running) = (step.gang, step.long_running);
        match end.outcome {
            worker_state::Outcome::Done => {
                self.counts.done += 1;
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.on_run_succeeded();
                }
                if !long_running {
                    self.task_done(end.task, gang, now, unix_ms);
                }
            }
            worker_state::Outcome::Failed => {
                self.counts.failed += 1;
                self.task_failed(id, end, long_running, now, unix_ms);
            }
            worker_state::Outcome::Stopped
            | worker_state::Outcome::Lapsed
            | worker_state::Outcome::Broken
            | worker_state::Outcome::Alone => {
                self.counts.broken_off += 1;
            }
        }
        if gang && end.outcome != worker_state::Outcome::Done && was_active {
            self.break_gang(end.task, now);
        }
    }

    /// Releases an ended run, and returns whether it was the active run of its task.
    fn close_run(
        &mut self,
        id: &id::Worker,
        end: &worker_state::EndedRun,
        now: clock::Instant,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return false;
        };
        let Some(task) = job.task_mut(&end.task) else {
            return false;
        };
        task.last_run = task.last_run.max(end.run);
        task.has_begun = true;
        let was_active = task
            .active
            .as_ref()
            .is_some_and(|active| active.worker == *id && active.run == end.run);
        if let Some(checkpoint) = end.checkpoint.as_ref().filter(|text| !text.is_empty())
            && !task.done
        {
            task.checkpoint = Some(checkpoint.clone());
            self.task_changed(&end.task);
        }
        if was_active {
            self.release_task(end.task, Release::Reported, now);
        }
        was_active
    }

    fn task_done(&mut self, id: TaskId, gang: bool, now: clock::Instant, unix_ms: u64) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        job.mark_done(&id);
        let mut changed = vec![id];
        if gang {
            let members = job.accepted.spec.steps[id.step as usize].tasks;
            changed = (0..members).map(|index| TaskId { index, ..id }).collect();
            for member in &changed {
                job.mark_done(member);
            }
        }
        for task in &changed {
            self.task_changed(task);
        }
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let service = job.accepted.queue.service.clone();
        self.dirty_services.insert(service);
        if !job.state.is_final() && job.is_done() {
            let submitted_unix_ms = job.accepted.submitted_unix_ms;
            let objective_unix_ms = job.objective_unix_ms(id.occurrence);
            self.log(format!(
                "job done job={} took_ms={} objective_ms={}",
                id.job,
                unix_ms.saturating_sub(submitted_unix_ms),
                objective_unix_ms.saturating_sub(submitted_unix_ms)
            ));
            self.end_job(id.job, record::State::Completed, now, unix_ms);
        }
    }
}
