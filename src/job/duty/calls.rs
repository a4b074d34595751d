//! Calls to workers and their replies.

use super::task::Fence;
use super::{Action, Call, CallResult, Duty, Event, JobKey, Output, Reply, TASK_LEASE_MS};
use crate::clock;
use crate::document;
use crate::id;
use crate::job::row;
use crate::placement::TaskKey;
use crate::platform;

/// First lease of an urgent task that can run twice, in milliseconds. It is short, so that the task
/// can soon be started elsewhere when its worker does not respond; renewals extend it.
const URGENT_LEASE_MS: u64 = 5 * clock::SECOND_MS;
/// Delay before a lost start is sent again, in milliseconds.
const START_RETRY_MS: u64 = 300;
/// Delay before a lost stop is sent again, in milliseconds.
const STOP_RETRY_MS: u64 = clock::SECOND_MS;

impl Duty {
    /// Requests the start of a job's task; its placement is committed.
    pub(super) fn send_start(&mut self, key: JobKey) {
        let now = self.now.at;
        let job = &mut self.jobs[key];
        let (Some(placement), Some(live)) = (job.row.state.placement(), &mut job.live) else {
            return;
        };
        let spec = &job.row.spec;
        let short_lease = spec.idempotent && spec.urgency == document::Urgency::Urgent;
        let lease_ms = if short_lease {
            URGENT_LEASE_MS
        } else {
            TASK_LEASE_MS
        };
        live.start_sent_at.get_or_insert(now);
        live.start_sends += 1;
        live.lease_sent_at = now;
        live.lease_ms = live.lease_ms.max(lease_ms);
        live.retry_at = None;
        let throttle = std::mem::take(&mut live.throttle);
        let start = platform::StartTask {
            intent: platform::Intent {
                operation: placement.operation.clone(),
                duty: self.settings.duty.clone(),
                epoch: self.settings.epoch,
            },
            task: placement.task.clone(),
            job: job.id.clone(),
            declared: spec.declared,
            lease_ms,
            checkpoint: job.row.checkpoint.clone(),
            command: spec.command.clone(),
        };
        let vm = placement.worker.clone();
        for task in throttle {
            self.send_throttle(task);
        }
        let action = Action::Start(start);
        self.outputs.push(Output::Call(Call { vm, action }));
    }

    /// Requests the checkpoint or stop of a job's task; the decision is committed.
    pub(super) fn send_stop(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let cancelled = job.row.reason() == row::Reason::Cancelled;
        let checkpoint = !cancelled && job.row.spec.is_displaceable();
        let (Some(placement), Some(live)) = (job.row.state.placement(), &mut job.live) else {
            return;
        };
        live.retry_at = None;
        let placement = placement.clone();
        let task = placement.task;
        let action = if checkpoint {
            let intent = self.intent(&placement.operation, "checkpoint");
            Action::Checkpoint { task, intent }
        } else {
            let intent = self.intent(&placement.operation, "stop");
            Action::Stop { task, intent }
        };
        let vm = placement.worker;
        self.outputs.push(Output::Call(Call { vm, action }));
    }

    /// Requests the throttling of a task.
    pub(super) fn send_throttle(&mut self, task: TaskKey) {
        let Some(job) = self.fleet.task(task).map(|task| &task.job) else {
            return;
        };
        let Some(job) = self.by_id.get(job).map(|key| &self.jobs[*key]) else {
            return;
        };
        let Some(placement) = job.row.state.placement().cloned() else {
            return;
        };
        let intent = self.intent(&placement.operation, "throttle");
        let action = Action::Throttle {
            task: placement.task,
            intent,
        };
        self.outputs.push(Output::Call(Call {
            vm: placement.worker,
            action,
        }));
        self.fleet.set_throttled(task, true);
        self.count(Event::Throttled);
    }

    /// Handles a worker's reply.
    pub(super) fn handle_reply(&mut self, reply: &Reply) {
        match &reply.result {
            CallResult::OlderEpoch => {
                self.outputs.push(Output::StepDown);
                return;
            }
            CallResult::Lost => self.count(Event::CallLost),
            _ => self.record_contact(&reply.call.vm),
        }
        match &reply.call.action {
            Action::Start(start) => self.start_replied(&start.task, &reply.result),
            Action::Renew(_) if reply.result == CallResult::Lost => {
                self.retry_renewal(&reply.call.vm);
            }
            Action::Renew(renew) => self.renew_replied(&renew.tasks, &reply.result),
            Action::Checkpoint { task, .. } => self.stop_replied(task, &reply.result, false),
            Action::Stop { task, .. } => self.stop_replied(task, &reply.result, true),
            Action::Throttle { .. } => {}
        }
    }

    fn start_replied(&mut self, task: &id::Task, result: &CallResult) {
        let now = self.now.at;
        let Some(key) = self.by_task.get(task).copied() else {
            return;
        };
        let Some(live) = &mut self.jobs[key].live else {
            return;
        };
        match result {
            CallResult::Done => self.start_confirmed(key),
            CallResult::NotFound if !live.own_placement || live.start_sends > 1 => {
                live.abandoned_at = Some(now);
            }
            CallResult::NoRoom | CallResult::NotFound => {
                live.not_started = Some(row::Reason::NoRoom);
                let worker = live.worker;
                self.mark_full(worker);
                self.settle_not_started(key);
            }
            _ => {
                live.retry_at = Some(now.after_ms(START_RETRY_MS));
            }
        }
    }

    /// Records a confirmed start; a stop that overtook the start is sent again.
    fn start_confirmed(&mut self, key: JobKey) {
        self.confirm_running(key);
        self.schedule_renewal(key);
        let job = &mut self.jobs[key];
        if let (row::State::Stopping(_), Some(live)) = (&job.row.state, &mut job.live) {
            live.stopped_at = None;
            self.send_stop(key);
        }
    }

    /// Settles a task that is proven not to have started.
    pub(super) fn settle_not_started(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let Some(reason) = job.live.as_ref().and_then(|live| live.not_started) else {
            return;
        };
        if !job.is_settled() {
            return;
        }
        if job.row.reason() == row::Reason::Cancelled {
            self.end(key, row::End::Cancelled, row::Reason::Cancelled);
        } else {
            self.requeue(key, reason);
        }
    }

    fn renew_replied(&mut self, requested: &[id::Task], result: &CallResult) {
        let CallResult::Renewed { unknown } = result else {
            return;
        };
        for task in requested {
            let Some(key) = self.by_task.get(task).copied() else {
                continue;
            };
            if unknown.contains(task) {
                self.task_not_running(key);
            } else {
                self.confirm_running(key);
            }
        }
    }

    fn task_not_running(&mut self, key: JobKey) {
        let now = self.now.at;
        let Some(live) = &mut self.jobs[key].live else {
            return;
        };
        if live.fence == Fence::Open {
            self.resume_start(key);
            return;
        }
        if !live.confirmed {
            return;
        }
        live.stopped_at.get_or_insert(now);
        let task = live.task;
        self.fleet.set_stopped(task);
        self.record_early_end(key);
        self.round_due = true;
    }

    /// Resumes a previous leader's placement whose task the worker does not run.
    fn resume_start(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let idempotent = job.row.spec.idempotent;
        let Some(live) = &mut job.live else {
            return;
        };
        if idempotent {
            live.fence = Fence::None;
            self.send_start(key);
        } else {
            live.fence = Fence::Acknowledged;
        }
    }

    /// Records that a task is known to run.
    pub(super) fn confirm_running(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let placed = matches!(job.row.state, row::State::Placed(_));
        if let Some(live) = &mut job.live {
            live.confirmed = true;
            live.fence = Fence::None;
            if placed {
                live.retry_at = None;
            }
        }
    }

    fn stop_replied(&mut self, task: &id::Task, result: &CallResult, stopped: bool) {
        let now = self.now.at;
        let Some(key) = self.by_task.get(task).copied() else {
            return;
        };
        let job = &mut self.jobs[key];
        let settled = job.is_settled();
        let reason = job.row.reason();
        let Some(live) = &mut job.live else {
            return;
        };
        match result {
            CallResult::Done if stopped && settled => self.stopped(key, reason),
            CallResult::Done | CallResult::NotFound => {
                live.stopped_at.get_or_insert(now);
                let task = live.task;
                self.fleet.set_stopped(task);
                self.round_due = true;
            }
            _ => live.retry_at = Some(now.after_ms(STOP_RETRY_MS)),
        }
    }

    /// Settles a task that stopped for the given reason.
    pub(super) fn stopped(&mut self, key: JobKey, reason: row::Reason) {
        if reason == row::Reason::Cancelled {
            self.end(key, row::End::Cancelled, row::Reason::Cancelled);
        } else {
            self.settle_lost(key, reason);
        }
    }
}
