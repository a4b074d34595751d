//! Runs that make no progress while their worker answers, and the pacing of filler tasks.

use crate::batch::TaskId;
use crate::batch::pacing;
use crate::batch::scheduler::job;
use crate::batch::scheduler::{Output, Scheduler};
use crate::clock;
use crate::id;

/// A run without progress for this long is stuck, in milliseconds; covers two polls and a task's startup.
const STUCK_MS: u64 = 1_500;
/// Hundredths of a task's estimate without progress after which it is stuck; one hundredth of a long task can take
/// longer than the fixed limit.
const STUCK_PERCENT: u64 = 4;

impl Scheduler {
    /// Stops runs without progress, so that their tasks are started elsewhere.
    pub(super) fn stop_stuck_runs(&mut self, now: clock::Instant) {
        let mut stuck = Vec::new();
        for (worker, state) in &self.workers {
            for id in &state.tasks {
                if self.is_stuck(id, state.last_response_at, now) {
                    stuck.push((worker.clone(), *id));
                }
            }
        }
        for (worker, id) in stuck {
            self.log(format!("run stands still task={id} worker={worker}"));
            if let Some(state) = self.workers.get_mut(&worker) {
                state.on_run_failed(id.job, now);
            }
            if let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(&id)) {
                task.last_failed_on = Some(worker);
            }
            self.stop_task(id, job::StopReason::Stuck, now);
        }
    }

    fn is_stuck(&self, id: &TaskId, answered_at: clock::Instant, now: clock::Instant) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let step = &job.accepted.spec.steps[id.step as usize];
        let Some(active) = job.task(id).and_then(|task| task.active.as_ref()) else {
            return false;
        };
        let limit_ms = STUCK_MS.max(step.estimate_ms.saturating_mul(STUCK_PERCENT) / 100);
        let is_working = active.percent >= 100 && step.long_running;
        active.confirmed_at.is_some()
            && active.stop_reason.is_none()
            && active.pace_percent == 100
            && !step.gang
            && !step.best_effort
            && !is_working
            && answered_at.since_ms(active.percent_at) >= limit_ms
            && now.since_ms(active.percent_at) >= limit_ms
    }

    /// Adjusts the speed of filler tasks that share a worker with serving tasks.
    pub(super) fn pace_fillers(&mut self, id: &id::Worker, now: clock::Instant) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let (mut serving, mut fillers) = (Vec::new(), Vec::new());
        for task in &worker.tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let step = &job.accepted.spec.steps[task.step as usize];
            let Some(active) = job.task(task).and_then(|task| task.active.as_ref()) else {
                continue;
            };
            if active.confirmed_at.is_none() || active.stop_reason.is_some() {
                continue;
            }
            if step.tail_target_ms > 0 {
                serving.push((active.usage, step.tail_target_ms));
            } else if step.best_effort {
                fillers.push((*task, active.run, active.pace_percent));
            }
        }
        for (task, run, pace) in fillers {
            let percent = pacing::next_share(pace, &serving);
            if percent == pace {
                continue;
            }
            if let Some(active) = self
                .jobs
                .get_mut(&task.job)
                .and_then(|job| job.task_mut(&task))
                .and_then(|task| task.active.as_mut())
            {
                active.pace_percent = percent;
                active.percent_at = now;
            }
            self.log(format!(
                "pace task={task} run={run} worker={id} percent={percent} was={pace}"
            ));
            self.outputs.push(Output::Pace {
                worker: id.clone(),
                task,
                run,
                percent,
            });
        }
    }
}
