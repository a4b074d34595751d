//! Runs that make no progress while their worker answers.

use crate::batch::TaskId;
use crate::batch::pacing;
use crate::batch::scheduler::job;
use crate::batch::scheduler::{Holder, Output};
use crate::clock;
use crate::id;

/// A run whose progress stands still for this long is stuck, in milliseconds; two looks and a start-up.
const STUCK_MS: u64 = 1_500;
/// A hundredth of a long task takes longer; this many of them count as a standstill.
const STUCK_HUNDREDTHS: u64 = 4;

impl Holder {
    /// Stops runs that stand still, so that their tasks are started elsewhere.
    pub(super) fn watch_progress(&mut self, now: clock::Instant) {
        let mut stuck = Vec::new();
        for (worker, book) in &self.workers {
            for id in &book.tasks {
                if self.is_stuck(id, book.answered_at, now) {
                    stuck.push((worker.clone(), *id));
                }
            }
        }
        for (worker, id) in stuck {
            self.line(format!("run stands still task={id} worker={worker}"));
            if let Some(book) = self.workers.get_mut(&worker) {
                book.failed(id.job, now);
            }
            if let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(&id)) {
                task.avoid = Some(worker);
            }
            self.stop(id, job::StopReason::Stuck, now);
        }
    }

    fn is_stuck(&self, id: &TaskId, answered_at: clock::Instant, now: clock::Instant) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let step = &job.accepted.spec.steps[id.step as usize];
        let Some(live) = job.task(id).and_then(|task| task.live.as_ref()) else {
            return false;
        };
        let still_ms = STUCK_MS.max(step.estimate_ms * STUCK_HUNDREDTHS / 100);
        let arrived = live.percent >= 100 && step.lasting;
        live.known_at.is_some()
            && live.stop_reason.is_none()
            && live.pace == 100
            && !step.gang
            && !step.filler
            && !arrived
            && answered_at.since_ms(live.percent_at) >= still_ms
            && now.since_ms(live.percent_at) >= still_ms
    }

    /// Paces what fills beside serving tasks on a worker.
    pub(super) fn pace(&mut self, id: &id::Worker, now: clock::Instant) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let (mut serving, mut fillers) = (Vec::new(), Vec::new());
        for task in &worker.tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let step = &job.accepted.spec.steps[task.step as usize];
            let Some(live) = job.task(task).and_then(|task| task.live.as_ref()) else {
                continue;
            };
            if live.known_at.is_none() || live.stop_reason.is_some() {
                continue;
            }
            if step.tail_target_ms > 0 {
                serving.push((live.usage, step.tail_target_ms));
            } else if step.filler {
                fillers.push((*task, live.run, live.pace));
            }
        }
        for (task, run, pace) in fillers {
            let percent = pacing::next_share(pace, &serving);
            if percent == pace {
                continue;
            }
            if let Some(live) = self
                .jobs
                .get_mut(&task.job)
                .and_then(|job| job.task_mut(&task))
                .and_then(|task| task.live.as_mut())
            {
                live.pace = percent;
                live.percent_at = now;
            }
            self.line(format!(
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
