//! Failed runs: when their task starts again, and when its job has failed.

use std::collections::BTreeSet;

use crate::batch::TaskId;
use crate::batch::record;
use crate::batch::scheduler::{Scheduler, tasks};
use crate::batch::worker_state;
use crate::clock;
use crate::id;

/// Pause before a task whose run failed is started again, in milliseconds; a crash of its worker is detected first.
const FAILED_PAUSE_MS: u64 = 20;

impl Scheduler {
    /// Counts a failed run against its task and its worker.
    pub(super) fn task_failed(
        &mut self,
        id: &id::Worker,
        end: &worker_state::EndedRun,
        long_running: bool,
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
        // A task that has failed on another worker too is more likely to be at fault than the worker.
        let failed_elsewhere = task
            .last_failed_on
            .as_ref()
            .is_some_and(|worker| worker != id);
        if !failed_elsewhere && let Some(worker) = self.workers.get_mut(id) {
            worker.on_run_failed(end.task.job, now);
        }
        task.last_failed_on = Some(id.clone());
        task.not_before = now.after_ms(FAILED_PAUSE_MS);
        if long_running || task.done {
            return;
        }
        if !task.failed_runs.contains(&end.run) {
            task.failed_runs.push(end.run);
        }
        self.task_changed(&end.task);
        let failures = self.failed_run_count(&end.task);
        let is_over = self
            .jobs
            .get(&end.task.job)
            .is_some_and(|job| job.state.is_final());
        if !is_over && failures >= attempts_max as usize {
            self.log(format!(
                "job failed job={} task={} failures={failures} attempts_max={attempts_max}",
                end.task.job, end.task
            ));
            self.end_job(end.task.job, record::State::Failed, now, unix_ms);
        }
    }

    /// Returns the number of failed runs of a task, or of its gang.
    fn failed_run_count(&self, id: &TaskId) -> usize {
        let Some(job) = self.jobs.get(&id.job) else {
            return 0;
        };
        if !job.accepted.spec.steps[id.step as usize].gang {
            return job.task(id).map_or(0, |task| task.failed_runs.len());
        }
        let state = job.occurrences.get(&id.occurrence);
        let step = state.and_then(|state| state.steps.get(id.step as usize));
        let members = step.into_iter().flat_map(tasks::Step::known);
        let runs: BTreeSet<u32> = members
            .flat_map(|(_, task)| task.failed_runs.iter().copied())
            .collect();
        runs.len()
    }
}
