//! Releases of tasks: a run is taken for ended, so that its task can start again. Each release keeps what it relied on.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use crate::batch::TaskId;
use crate::batch::scheduler::worker_loss::IncarnationEnd;
use crate::batch::scheduler::{Scheduler, plan};
use crate::batch::worker_state;
use crate::clock;
use crate::id;

/// Why a run was taken for ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    /// The worker reported its end.
    Reported,
    /// It was missing from a report that must list it.
    Missing,
    /// Its start was refused, or didn't leave this node.
    NotStarted,
    /// The incarnation of its worker has ended.
    IncarnationEnded(IncarnationEnd),
    /// The lease of its worker has lapsed.
    LeaseLapsed,
}

impl Release {
    /// Returns whether the worker reported it to this leader. A worker reports nothing to a leader once it has the fence of a
    /// newer epoch; without a report, a successor may know more of the run.
    pub fn is_reported(self) -> bool {
        match self {
            Self::Reported | Self::NotStarted => true,
            // A run can also be missing because its worker has started again.
            Self::Missing | Self::IncarnationEnded(_) | Self::LeaseLapsed => false,
        }
    }

    /// Returns the name that the log gives to the reason.
    pub fn label(self) -> &'static str {
        match self {
            Self::Reported => "reported",
            Self::Missing => "missing",
            Self::NotStarted => "not-started",
            Self::IncarnationEnded(end) => end.label(),
            Self::LeaseLapsed => "lease-lapsed",
        }
    }
}

/// The newest release of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Released {
    /// The worker that had the run.
    pub worker: id::Worker,
    /// Number of the run.
    pub run: u32,
    /// Why the run was taken for ended.
    pub by: Release,
    /// When it was taken for ended.
    pub at: clock::Instant,
}

/// The newest release of a task as log fields.
pub(super) struct LogFields<'a>(pub Option<&'a Released>, pub clock::Instant);

impl fmt::Display for LogFields<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self(None, _) => write!(formatter, "released=none"),
            Self(Some(released), now) => write!(
                formatter,
                "released={} released_run={} released_worker={} released_ms={}",
                released.by.label(),
                released.run,
                released.worker,
                now.since_ms(released.at)
            ),
        }
    }
}

impl Scheduler {
    /// Releases a task whose run has ended, and its capacity, so that the task waits for its next start.
    pub(super) fn release_task(&mut self, id: TaskId, by: Release, now: clock::Instant) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let spec = Arc::clone(&job.accepted);
        let Some(active) = job.take_active(&id) else {
            return;
        };
        if !by.is_reported() {
            self.tenure.run_ended(now);
        }
        if let Some(task) = job.task_mut(&id) {
            task.released = Some(Released {
                worker: active.worker.clone(),
                run: active.run,
                by,
                at: now,
            });
        }
        self.refund(&spec, &id);
        let need = plan::need(&spec.spec.steps[id.step as usize]);
        if let Some(worker) = self.workers.get_mut(&active.worker) {
            worker.release(&id, &need);
        }
        self.dirty_services.insert(spec.queue.service.clone());
    }

    /// Logs and counts a run that is at work although it was taken for ended, so that its task may run twice.
    pub(super) fn check_outlived(
        &mut self,
        worker: &id::Worker,
        id: &TaskId,
        run: u32,
        now: clock::Instant,
    ) {
        let Some(task) = self.jobs.get(&id.job).and_then(|job| job.task(id)) else {
            return;
        };
        let released = task.released.as_ref();
        let Some(released) =
            released.filter(|released| released.worker == *worker && released.run == run)
        else {
            return;
        };
        let line = format!(
            "run outlived its release task={id} run={run} worker={worker} {} active={}",
            LogFields(Some(released), now),
            task.active.is_some()
        );
        self.counts.outlived += 1;
        self.log(line);
    }

    /// Releases tasks whose run a worker certainly does not have: it is neither running nor ended in the answer to a
    /// poll that was sent after the run was confirmed or its stop was acknowledged.
    pub(super) fn release_missing(
        &mut self,
        id: &id::Worker,
        report: &worker_state::Report,
        sent_at: clock::Instant,
        now: clock::Instant,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let running: HashMap<TaskId, u32> = report
            .running
            .iter()
            .map(|run| (run.task, run.run))
            .collect();
        let mut missing = Vec::new();
        for task in &worker.tasks {
            let active = self
                .jobs
                .get(&task.job)
                .and_then(|job| job.task(task))
                .and_then(|task| task.active.as_ref());
            let Some(active) = active else { continue };
            if running.get(task) == Some(&active.run) {
                continue;
            }
            let must_be_listed = active.confirmed_at.is_some_and(|at| at < sent_at)
                || active.stop_acked_at.is_some_and(|at| at < sent_at);
            if must_be_listed {
                missing.push(*task);
            }
        }
        for task in missing {
            self.log(format!("run missing task={task} worker={id}"));
            self.counts.lost += 1;
            self.release_task(task, Release::Missing, now);
        }
    }
}
