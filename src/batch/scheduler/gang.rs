//! Gangs: tasks that only work together, so that they start and end as one.

use crate::batch::TaskId;
use crate::batch::scheduler::Holder;
use crate::batch::scheduler::job;
use crate::clock;

impl Holder {
    /// Stops the rest of a gang of which one member has ended or could not be started.
    pub(super) fn break_gang(&mut self, id: TaskId, now: clock::Instant) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let rest: Vec<TaskId> = job
            .tasks()
            .filter(|(other, task)| {
                other.occurrence == id.occurrence
                    && other.step == id.step
                    && task
                        .live
                        .as_ref()
                        .is_some_and(|live| live.stop_reason.is_none())
            })
            .map(|(other, _)| other)
            .collect();
        for member in rest {
            self.stop(member, job::StopReason::Gang, now);
        }
    }
}
