//! What workers report: runs, ends, and what is missing from both.

use std::collections::HashMap;

use crate::batch::TaskId;
use crate::batch::book;
use crate::batch::record;
use crate::batch::scheduler::job;
use crate::batch::scheduler::{Holder, Look, plan};
use crate::clock;
use crate::id;

/// A worker that may have news waits this long at most for an end, in milliseconds; a quarter of the lease.
const WAIT_MS: u64 = 1_000;
/// The same while it isn't known whether a run is there, in milliseconds.
const WAIT_UNSURE_MS: u64 = 50;
/// The same while tasks are followed closely, in milliseconds.
const WAIT_WATCHED_MS: u64 = 500;
/// Most ends that a worker lists at once.
const ENDS_MAX: usize = 500;
/// Pause before a task whose run failed is started again, in milliseconds; lets a crash of its worker show first.
const FAILED_PAUSE_MS: u64 = 20;

impl Holder {
    /// What the next look at a worker says; `None` once the worker isn't in the book.
    pub fn look(&mut self, id: &id::Worker, now: clock::Instant) -> Option<Look> {
        let lease_ms = self.terms.lease_ms;
        let unsure = self.has_unsure_runs(id);
        let unheard = self.unheard.is_on(id);
        let worker = self.workers.get_mut(id)?;
        let mut until_ms = None;
        // An unanswered look may have given a lease; more of them would put off the moment at which all have lapsed.
        if (unheard || !worker.tasks.is_empty()) && !worker.unanswered {
            until_ms = worker.lease_end_ms(now, lease_ms);
        }
        if let Some(until_ms) = until_ms {
            worker.lease_until_ms = worker.lease_until_ms.max(until_ms);
        }
        let wait_ms = match (worker.adopted, unsure) {
            (false, _) => 0,
            (true, true) => WAIT_UNSURE_MS,
            (true, false) if !worker.tasks.is_empty() => WAIT_WATCHED_MS,
            (true, false) => WAIT_MS,
        };
        let known = !worker.unanswered && now.since_ms(worker.answered_at) < book::SILENT_MS;
        Some(Look {
            until_ms,
            // A restarted worker counts its ends anew, so after a silence nothing is acknowledged blindly.
            acknowledged: if known { worker.acknowledged } else { 0 },
            wait_ms,
        })
    }

    fn has_unsure_runs(&self, id: &id::Worker) -> bool {
        self.workers.get(id).is_some_and(|worker| {
            worker.tasks.iter().any(|task| {
                self.jobs
                    .get(&task.job)
                    .and_then(|job| job.task(task))
                    .and_then(|task| task.live.as_ref())
                    .is_some_and(|live| live.stopped_at.is_some())
            })
        })
    }

    /// Takes in a worker's answer to a look that was sent at `sent_at`.
    pub fn reported(
        &mut self,
        id: &id::Worker,
        report: &book::Report,
        sent_at: clock::Instant,
        now: clock::Instant,
        unix_ms: u64,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let born_unix_ms = report.born_unix_ms.unwrap_or(worker.born_unix_ms);
        if worker.adopted && born_unix_ms != worker.born_unix_ms {
            worker.noted = 0;
            worker.acknowledged = 0;
            worker.lease_until_ms = 0;
            self.unheard.forget_worker(id);
            self.line(format!("worker restarted under its id worker={id}"));
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.born_unix_ms = born_unix_ms;
        worker.unanswered = false;
        worker.heard(report.clock_ms, now);
        if !worker.adopted {
            worker.adopted = true;
            self.unresolved.remove(id);
            self.line(format!(
                "worker adopted worker={id} runs={} ends={}",
                report.running.len(),
                report.ends.len()
            ));
        }
        let service = self.workers[id].listing.service.clone();
        self.stale.insert(service);
        for run in &report.running {
            self.running(id, run, now);
        }
        let complete = self.all_ended(id, &report.ends, now, unix_ms);
        if complete && report.ends.len() < ENDS_MAX {
            self.find_missing(id, report, sent_at);
        }
        self.pace(id, now);
    }

    /// Takes in that a look had no answer.
    pub fn unanswered(&mut self, id: &id::Worker) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unanswered = true;
        }
    }

    /// Takes in ends up to the first whose job may still be heard of; tells whether it took all.
    fn all_ended(
        &mut self,
        id: &id::Worker,
        ends: &[book::End],
        now: clock::Instant,
        unix_ms: u64,
    ) -> bool {
        let mut complete = true;
        for end in ends {
            let run = book::Run {
                task: end.task,
                run: end.run,
                checkpoint: end.checkpoint.clone(),
                percent: 0,
                usage: 0,
            };
            if self.keep_unheard(id, run, now) {
                complete = false;
            } else if complete {
                self.ended(id, end, now, unix_ms);
            }
        }
        complete
    }

    pub(super) fn running(&mut self, id: &id::Worker, run: &book::Run, now: clock::Instant) {
        if self.keep_unheard(id, run.clone(), now) {
            return;
        }
        let over = self
            .jobs
            .get(&run.task.job)
            .is_none_or(|job| job.state.is_final());
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            self.stop_stray(id, run.task, run.run, "unknown-job");
            return;
        };
        let accepted = job.accepted.clone();
        let Some(task) = job.task_mut(&run.task) else {
            self.stop_stray(id, run.task, run.run, "unknown-task");
            return;
        };
        task.run = task.run.max(run.run);
        if let Some(checkpoint) = run.checkpoint.as_ref().filter(|text| !text.is_empty()) {
            task.checkpoint = Some(checkpoint.clone());
        }
        match &mut task.live {
            Some(live) if live.worker == *id && live.run == run.run => {
                live.known_at.get_or_insert(now);
                if live.percent != run.percent {
                    live.percent = run.percent;
                    live.percent_at = now;
                }
                live.usage = run.usage;
                if over && live.stop_reason.is_none() {
                    self.stop(run.task, job::StopReason::Over, now);
                }
            }
            None if !task.done && !over => {
                task.live = Some(job::Live {
                    worker: id.clone(),
                    run: run.run,
                    known_at: Some(now),
                    stop_sent_at: None,
                    stopped_at: None,
                    stop_reason: None,
                    percent: run.percent,
                    percent_at: now,
                    usage: run.usage,
                    pace: 100,
                });
                let need = plan::need(&accepted.spec.steps[run.task.step as usize]);
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.occupy(run.task, &need);
                }
            }
            _ => {
                let why = if over { "job-over" } else { "run-elsewhere" };
                self.stop_stray(id, run.task, run.run, why);
            }
        }
    }

    /// Stops a run that shouldn't be there.
    fn stop_stray(&mut self, worker: &id::Worker, task: TaskId, run: u32, why: &str) {
        self.line(format!(
            "stop stray task={task} run={run} worker={worker} reason={why}"
        ));
        self.outputs.push(super::Output::Stop {
            worker: worker.clone(),
            task,
            run,
        });
    }

    fn ended(&mut self, id: &id::Worker, end: &book::End, now: clock::Instant, unix_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if end.number <= worker.noted {
            return;
        }
        worker.noted = end.number;
        let life = worker.born_unix_ms;
        self.rows.note(id, life, end.number);
        let ours = self.close_run(id, end);
        self.line(format!(
            "end task={} run={} worker={id} how={:?} number={}",
            end.task, end.run, end.how, end.number
        ));
        let Some(job) = self.jobs.get(&end.task.job) else {
            return;
        };
        let Some(step) = job.accepted.spec.steps.get(end.task.step as usize) else {
            return;
        };
        let (gang, lasting) = (step.gang, step.lasting);
        match end.how {
            book::How::Done => {
                self.counts.done += 1;
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.succeeded();
                }
                if !lasting {
                    self.done(end.task, gang, now, unix_ms);
                }
            }
            book::How::Failed => {
                self.counts.failed += 1;
                self.failed(id, end, lasting, now, unix_ms);
            }
            book::How::Stopped | book::How::Lapsed | book::How::Broken | book::How::Alone => {
                self.counts.broken_off += 1;
            }
        }
        if gang && end.how != book::How::Done && ours {
            self.break_gang(end.task, now);
        }
    }

    /// Frees what an ended run held; tells whether it was the run that we followed.
    fn close_run(&mut self, id: &id::Worker, end: &book::End) -> bool {
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return false;
        };
        let Some(task) = job.task_mut(&end.task) else {
            return false;
        };
        task.run = task.run.max(end.run);
        if let Some(checkpoint) = end.checkpoint.as_ref().filter(|text| !text.is_empty())
            && !task.done
        {
            task.checkpoint = Some(checkpoint.clone());
            self.changed.insert(end.task.job);
        }
        let ours = task
            .live
            .as_ref()
            .is_some_and(|live| live.worker == *id && live.run == end.run);
        if ours {
            self.release(end.task);
        }
        ours
    }

    fn done(&mut self, id: TaskId, gang: bool, now: clock::Instant, unix_ms: u64) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        self.changed.insert(id.job);
        job.mark_done(&id);
        if gang {
            let members = job.accepted.spec.steps[id.step as usize].tasks;
            for index in 0..members {
                job.mark_done(&TaskId { index, ..id });
            }
        }
        let service = job.accepted.queue.service.clone();
        self.stale.insert(service);
        if !job.state.is_final() && job.is_done() {
            let began = job.accepted.submitted_unix_ms;
            let objective = job.objective_unix_ms(id.occurrence);
            self.line(format!(
                "job done job={} took_ms={} objective_ms={}",
                id.job,
                unix_ms.saturating_sub(began),
                objective.saturating_sub(began)
            ));
            self.finish(id.job, record::State::Completed, now, unix_ms);
        }
    }

    fn failed(
        &mut self,
        id: &id::Worker,
        end: &book::End,
        lasting: bool,
        now: clock::Instant,
        unix_ms: u64,
    ) {
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return;
        };
        let attempts_max = job.accepted.queue.attempts_max;
        let Some(task) = job.task_mut(&end.task) else {
            return;
        };
        // A task that has failed elsewhere too is more likely to be at fault than its workers.
        let failed_elsewhere = task.avoid.as_ref().is_some_and(|before| before != id);
        if !failed_elsewhere && let Some(worker) = self.workers.get_mut(id) {
            worker.failed(end.task.job, now);
        }
        task.avoid = Some(id.clone());
        task.not_before = now.after_ms(FAILED_PAUSE_MS);
        if lasting || task.done {
            return;
        }
        if !task.failed_runs.contains(&end.run) {
            task.failed_runs.push(end.run);
        }
        self.changed.insert(end.task.job);
        let failures = self.failures(&end.task);
        let over = self
            .jobs
            .get(&end.task.job)
            .is_some_and(|job| job.state.is_final());
        if !over && failures >= attempts_max as usize {
            self.line(format!(
                "job failed job={} task={} failures={failures} attempts_max={attempts_max}",
                end.task.job, end.task
            ));
            self.finish(end.task.job, record::State::Failed, now, unix_ms);
        }
    }

    /// Failed runs of a task, or of its gang.
    fn failures(&self, id: &TaskId) -> usize {
        let Some(job) = self.jobs.get(&id.job) else {
            return 0;
        };
        if !job.accepted.spec.steps[id.step as usize].gang {
            return job.task(id).map_or(0, |task| task.failed_runs.len());
        }
        let step = &job.occurrences[&id.occurrence].steps[id.step as usize];
        let runs: std::collections::BTreeSet<u32> = step
            .tasks
            .iter()
            .flat_map(|task| task.failed_runs.iter().copied())
            .collect();
        runs.len()
    }

    /// Releases tasks whose run the worker surely doesn't have: neither runs nor ended, in an answer to a look that
    /// was sent after the run was known there or was stopped there.
    fn find_missing(&mut self, id: &id::Worker, report: &book::Report, sent_at: clock::Instant) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let there: HashMap<TaskId, u32> = report
            .running
            .iter()
            .map(|run| (run.task, run.run))
            .collect();
        let mut missing = Vec::new();
        for task in &worker.tasks {
            let live = self
                .jobs
                .get(&task.job)
                .and_then(|job| job.task(task))
                .and_then(|task| task.live.as_ref());
            let Some(live) = live else { continue };
            if there.get(task) == Some(&live.run) {
                continue;
            }
            let settled = live.known_at.is_some_and(|at| at < sent_at)
                || live.stopped_at.is_some_and(|at| at < sent_at);
            if settled {
                missing.push(*task);
            }
        }
        for task in missing {
            self.line(format!("run missing task={task} worker={id}"));
            self.counts.lost += 1;
            self.release(task);
        }
    }
}
