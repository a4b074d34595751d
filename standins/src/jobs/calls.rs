//! Calls of holders to workers, and what becomes of them on the way.

use rand::Rng;
use wasabiloft::job::duty;
use wasabiloft::platform;

use super::truth::Violation;
use super::{Event, World};

impl World {
    pub(super) fn call_arrives(&mut self, holder: usize, call: duty::Call) {
        let Some(index) = self.worker_index.get(&call.vm).copied() else {
            self.reply(holder, call, duty::CallResult::NotFound);
            return;
        };
        let worker = &self.workers[index];
        let down = worker.is_paused || worker.state != platform::VmState::Live;
        if down || self.rng.random_bool(self.settings.faults.lost_reply / 2.0) {
            self.reply_late(holder, call);
            return;
        }
        if !self.hear_epoch(index, &call) {
            self.reply(holder, call, duty::CallResult::OlderEpoch);
            return;
        }
        if let duty::Action::Checkpoint { .. } = &call.action {
            let (least, most) = self.settings.checkpoint_ms;
            let delay_ms = self.rng.random_range(least..=most);
            self.schedule(delay_ms, Event::CheckpointDone(holder, index, call));
            return;
        }
        let result = self.perform(index, &call);
        self.worker_changed(index);
        self.reply(holder, call, result);
    }

    pub(super) fn hear_epoch(&mut self, index: usize, call: &duty::Call) -> bool {
        let epoch = match &call.action {
            duty::Action::Start(start) => start.intent.epoch,
            duty::Action::Renew(renew) => renew.epoch,
            duty::Action::Checkpoint { intent, .. }
            | duty::Action::Throttle { intent, .. }
            | duty::Action::Stop { intent, .. } => intent.epoch,
        };
        let worker = &mut self.workers[index];
        if epoch < worker.newest_epoch && self.settings.protection.epoch_fence {
            return false;
        }
        worker.newest_epoch = worker.newest_epoch.max(epoch);
        true
    }

    pub(super) fn perform(&mut self, index: usize, call: &duty::Call) -> duty::CallResult {
        let now_ms = self.now_ms;
        match &call.action {
            duty::Action::Start(start) => self.start_task(index, start),
            duty::Action::Renew(renew) => {
                let worker = &mut self.workers[index];
                let mut unknown = renew.tasks.clone();
                unknown.retain(|task| !worker.renew(now_ms, task, renew.lease_ms));
                duty::CallResult::Renewed { unknown }
            }
            duty::Action::Throttle { task, .. } => {
                found(self.workers[index].throttle(now_ms, task))
            }
            duty::Action::Stop { task, .. } | duty::Action::Checkpoint { task, .. } => {
                let state = platform::TaskState::Stopped;
                let ended = self.workers[index].end(now_ms, task, state);
                let was_running = ended.is_some();
                self.ended(index, ended);
                found(was_running)
            }
        }
    }

    pub(super) fn start_task(
        &mut self,
        index: usize,
        start: &platform::StartTask,
    ) -> duty::CallResult {
        let operation = &start.intent.operation;
        let known = self.workers[index].operations.get(operation).copied();
        if let Some(answer) = known.filter(|_| self.settings.protection.operation_memory) {
            return start_result(answer);
        }
        let now_ms = self.now_ms;
        let Some(life) = self.truth.lives.get(&start.job) else {
            return duty::CallResult::NotFound;
        };
        let worker = &mut self.workers[index];
        let answer = worker.start(now_ms, &start.task, &start.job, life, start.lease_ms);
        worker.operations.insert(operation.clone(), answer);
        if answer == platform::StartAnswer::Started {
            self.report.starts += 1;
            let vacated = worker.is_vacated;
            self.truth.started(&start.job, now_ms);
            if vacated {
                let job = start.job.clone();
                self.truth.break_invariant(Violation::RanOnVacated { job });
            }
        }
        start_result(answer)
    }

    pub(super) fn checkpoint_done(&mut self, holder: usize, index: usize, call: duty::Call) {
        let duty::Action::Checkpoint { task, .. } = &call.action else {
            return;
        };
        let worker = &mut self.workers[index];
        if worker.is_paused {
            self.reply_late(holder, call);
            return;
        }
        let name = format!("checkpoint/{task}");
        let state = platform::TaskState::Checkpointed(name);
        let ended = worker.end(self.now_ms, task, state);
        let result = found(ended.is_some());
        self.ended(index, ended);
        self.worker_changed(index);
        self.reply(holder, call, result);
    }

    /// Sends a reply, which may be lost.
    pub(super) fn reply(&mut self, holder: usize, call: duty::Call, result: duty::CallResult) {
        if self.rng.random_bool(self.settings.faults.lost_reply / 2.0) {
            self.reply_late(holder, call);
            return;
        }
        let delay_ms = self.rng.random_range(1..4);
        let reply = duty::Reply { call, result };
        self.schedule(delay_ms, Event::ReplyArrives(holder, reply));
    }

    /// Has the caller time out.
    pub(super) fn reply_late(&mut self, holder: usize, call: duty::Call) {
        let result = duty::CallResult::Lost;
        let reply = duty::Reply { call, result };
        self.schedule(duty::CALL_TIMEOUT_MS, Event::ReplyArrives(holder, reply));
    }
}

fn found(yes: bool) -> duty::CallResult {
    if yes {
        duty::CallResult::Done
    } else {
        duty::CallResult::NotFound
    }
}

fn start_result(answer: platform::StartAnswer) -> duty::CallResult {
    match answer {
        platform::StartAnswer::Started => duty::CallResult::Done,
        platform::StartAnswer::NoRoom => duty::CallResult::NoRoom,
    }
}
