//! Gangs: tasks that only work together, so they are started and stopped as one.

use crate::batch::TaskId;
use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::{job, tasks};
use crate::clock;

impl Scheduler {
    /// Stops the rest of a gang of which one member has ended or could not be started.
    pub(super) fn break_gang(&mut self, id: TaskId, now: clock::Instant) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let state = job.occurrences.get(&id.occurrence);
        let step = state.and_then(|state| state.steps.get(id.step as usize));
        let members = step.into_iter().flat_map(tasks::Step::known);
        let members: Vec<TaskId> = members
            .filter(|(_, task)| {
                let active = task.active.as_ref();
                active.is_some_and(|active| active.stop_reason.is_none())
            })
            .map(|(index, _)| TaskId { index, ..id })
            .collect();
        for member in members {
            self.stop_task(member, job::StopReason::Gang, now);
        }
    }
}
