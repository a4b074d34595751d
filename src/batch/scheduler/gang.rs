//! Gangs: tasks that only work together, so they are started and stopped as one.

use crate::batch::TaskId;
use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::job;
use crate::clock;

impl Scheduler {
    /// Stops the rest of a gang of which one member has ended or could not be started.
    pub(super) fn break_gang(&mut self, id: TaskId, now: clock::Instant) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let members: Vec<TaskId> = job
            .tasks()
            .filter(|(other, task)| {
                other.occurrence == id.occurrence
                    && other.step == id.step
                    && task
                        .active
                        .as_ref()
                        .is_some_and(|active| active.stop_reason.is_none())
            })
            .map(|(other, _)| other)
            .collect();
        for member in members {
            self.stop_task(member, job::StopReason::Gang, now);
        }
    }
}
