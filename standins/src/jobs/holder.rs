//! Holders of the jobs duty, their calls to workers and what goes wrong on the way.

use rand::Rng;
use wasabiloft::id;
use wasabiloft::job::{duty, inbox, spec};
use wasabiloft::platform;

use super::truth::Violation;
use super::worker::Ended;
use super::{Event, World};

/// Rows in a page.
const PAGE_ROWS: usize = 500;
/// Time for which a paused holder still takes inputs whose calls get stuck, in milliseconds.
const STUCK_MS: u64 = 1_000;
/// Time that a reboot takes, in milliseconds.
const REBOOT_MS: u64 = 60_000;

/// What keeps holders and workers from doing a thing twice; tests switch them off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Protection {
    /// Workers refuse calls of older epochs.
    pub epoch_fence: bool,
    /// The table refuses transactions of a holder whose lease was taken over.
    pub lease_check: bool,
    /// The table checks the versions of job rows.
    pub row_versions: bool,
    /// Workers remember the operations of starts.
    pub operation_memory: bool,
}

impl Default for Protection {
    fn default() -> Self {
        Self {
            epoch_fence: true,
            lease_check: true,
            row_versions: true,
            operation_memory: true,
        }
    }
}

/// A holder.
pub(super) struct Holder {
    duty: duty::Duty,
    epoch: u64,
    alive: bool,
    paused_ms: Option<(u64, u64)>,
}

impl World {
    /// The holder whose epoch is the newest, if it is up.
    pub(super) fn current_holder(&self) -> Option<usize> {
        let epoch = self.epoch;
        self.holders
            .iter()
            .position(|holder| holder.alive && holder.epoch == epoch)
    }

    /// The duty of the present holder.
    pub fn duty(&self) -> Option<&duty::Duty> {
        self.current_holder().map(|index| &self.holders[index].duty)
    }

    pub(super) fn tick_holders(&mut self) {
        for holder in 0..self.holders.len() {
            self.input(holder, duty::Input::Tick);
        }
    }

    pub(super) fn take_over(&mut self) {
        if self.settings.policy == super::Policy::FirstFit {
            return;
        }
        self.epoch += 1;
        let settings = duty::Settings {
            duty: id::Duty::from("jobs"),
            epoch: self.epoch,
            runner_reserve_permille: self.settings.runner_permille,
        };
        let (duty, outputs) = duty::Duty::new(settings, self.now());
        let holder = self.holders.len();
        self.holders.push(Holder {
            duty,
            epoch: self.epoch,
            alive: true,
            paused_ms: None,
        });
        self.outputs(holder, outputs);
        let documents = std::mem::take(&mut self.documents);
        self.input(holder, duty::Input::Documents(&documents));
        self.documents = documents;
        self.deliver_to(holder);
        for worker in 0..self.workers.len() {
            if self.workers[worker].is_vacated {
                let vm = self.workers[worker].vm.clone();
                self.input(holder, duty::Input::Vacate(&vm));
            }
        }
    }

    pub(super) fn crash(&mut self) {
        if let Some(holder) = self.current_holder() {
            self.holders[holder].alive = false;
            self.schedule(self.settings.takeover_ms, Event::TakeOver);
        }
    }

    pub(super) fn pause_holder(&mut self, length_ms: u64) {
        if let Some(holder) = self.current_holder() {
            self.holders[holder].paused_ms = Some((self.now_ms, self.now_ms + length_ms));
            self.schedule(self.settings.takeover_ms, Event::TakeOver);
        }
    }

    /// Gives a holder an input, unless it is down or paused.
    pub(super) fn input(&mut self, holder: usize, input: duty::Input<'_>) {
        let now = self.now();
        let one = &mut self.holders[holder];
        let paused = one
            .paused_ms
            .is_some_and(|(from_ms, to_ms)| (from_ms + STUCK_MS..to_ms).contains(&now.at.as_ms()));
        if !one.alive || paused {
            return;
        }
        let outputs = one.duty.handle(now, input);
        self.outputs(holder, outputs);
    }

    fn outputs(&mut self, holder: usize, outputs: Vec<duty::Output>) {
        for output in outputs {
            match output {
                duty::Output::Commit { token, txn } => {
                    let delay_ms = self.store_delay_ms();
                    self.schedule(delay_ms, Event::TxnArrives(holder, token, txn));
                }
                duty::Output::Call(call) => self.send_call(holder, call),
                duty::Output::Vacated(vm) => self.vacated(&vm),
                duty::Output::StepDown => self.step_down(holder),
                duty::Output::Count(event) => self.report.count(event),
                output => {
                    let delay_ms = self.store_delay_ms();
                    self.schedule(delay_ms, Event::ReadArrives(holder, Box::new(output)));
                }
            }
        }
    }

    fn step_down(&mut self, holder: usize) {
        let was_current = self.current_holder() == Some(holder);
        self.holders[holder].alive = false;
        if was_current {
            self.schedule(self.settings.takeover_ms, Event::TakeOver);
        }
    }

    /// A call leaves at once, or is stuck until the end of its holder's pause.
    fn send_call(&mut self, holder: usize, call: duty::Call) {
        let stuck_ms = match self.holders[holder].paused_ms {
            Some((_, to_ms)) if self.now_ms < to_ms => to_ms - self.now_ms,
            _ => 0,
        };
        let delay_ms = stuck_ms + self.rng.random_range(1..4);
        self.report.calls += 1;
        self.schedule(delay_ms, Event::CallArrives(holder, call));
    }

    pub(super) fn read_arrives(&mut self, holder: usize, output: &duty::Output) {
        match output {
            duty::Output::Load { after } => {
                let (rows, last) = self.page(after.as_ref());
                let rows = &rows;
                self.input(holder, duty::Input::Loaded { rows, last });
            }
            duty::Output::ReadInbox => {
                let rows: Vec<platform::Row> = self
                    .table
                    .range(id::Key::from(inbox::PREFIX)..)
                    .take_while(|(key, _)| key.as_str().starts_with(inbox::PREFIX))
                    .map(|(_, row)| row.clone())
                    .collect();
                self.input(holder, duty::Input::Inbox(&rows));
            }
            duty::Output::ReadEstimates => {
                let row = self.table.get(&id::Key::from(duty::ESTIMATES_KEY)).cloned();
                self.input(holder, duty::Input::Estimates(row.as_ref()));
            }
            duty::Output::ReadJobs(jobs) => self.read_rows(holder, jobs),
            _ => {}
        }
    }

    fn read_rows(&mut self, holder: usize, jobs: &[id::Job]) {
        let mut rows = Vec::new();
        let mut absent = Vec::new();
        for job in jobs {
            match self.table.get(&spec::row_key(job)) {
                Some(row) => rows.push(row.clone()),
                None => absent.push(job.clone()),
            }
        }
        let (rows, absent) = (&rows, &absent);
        self.input(holder, duty::Input::Read { rows, absent });
    }

    fn page(&self, after: Option<&id::Key>) -> (Vec<platform::Row>, bool) {
        let prefix = id::Key::from(spec::ROW_PREFIX);
        let from = after.unwrap_or(&prefix);
        let rows: Vec<platform::Row> = self
            .table
            .range(from.clone()..)
            .filter(|(key, _)| Some(*key) != after)
            .take_while(|(key, _)| key.as_str().starts_with(spec::ROW_PREFIX))
            .take(PAGE_ROWS)
            .map(|(_, row)| row.clone())
            .collect();
        let last = rows.len() < PAGE_ROWS;
        (rows, last)
    }

    pub(super) fn txn_arrives(&mut self, holder: usize, token: duty::Token, txn: &platform::Txn) {
        let current = self.holders[holder].epoch == self.epoch;
        let outcome = if current || !self.settings.protection.lease_check {
            self.report.duty_txns += 1;
            self.transact(txn)
        } else {
            platform::Outcome::Refused(platform::Refused {
                key: id::Key::from("duty/jobs"),
                version: self.epoch,
            })
        };
        let delay_ms = self.settle_delay_ms();
        self.schedule(delay_ms, Event::TxnSettled(holder, token, outcome));
    }

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

    fn hear_epoch(&mut self, index: usize, call: &duty::Call) -> bool {
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

    fn perform(&mut self, index: usize, call: &duty::Call) -> duty::CallResult {
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

    fn start_task(&mut self, index: usize, start: &platform::StartTask) -> duty::CallResult {
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

    /// Takes the ends of tasks into the truth.
    fn ended<I>(&mut self, index: usize, ended: I)
    where
        I: IntoIterator<Item = Ended>,
    {
        for end in ended {
            let now_ms = self.now_ms;
            self.report.ended(&end, self.workers[index].is_bad);
            self.truth.ended(&end.job, end.lost_ms);
            if self.settings.policy == super::Policy::FirstFit {
                self.baseline.ended(&end, &self.truth);
            }
            let Some(life) = self.truth.lives.get_mut(&end.job) else {
                continue;
            };
            match end.state {
                platform::TaskState::Checkpointed(_) => life.kept_ms = end.done_ms,
                platform::TaskState::Finished => life.finished_ms = Some(now_ms),
                _ => {}
            }
        }
    }

    /// Ends what is due on a worker and looks when something falls due next.
    pub(super) fn worker_changed(&mut self, index: usize) {
        if self.workers[index].is_paused {
            return;
        }
        let ended = self.workers[index].end_due(self.now_ms);
        self.ended(index, ended);
        let worker = &mut self.workers[index];
        worker.stamp += 1;
        let stamp = worker.stamp;
        if let Some(due_ms) = worker.next_due_ms(self.now_ms) {
            self.schedule_at(due_ms, Event::Worker(index, stamp));
        }
    }

    pub(super) fn worker_due(&mut self, index: usize, stamp: u64) {
        if self.workers[index].stamp == stamp {
            self.worker_changed(index);
        }
    }

    /// Sends a reply, which may be lost.
    fn reply(&mut self, holder: usize, call: duty::Call, result: duty::CallResult) {
        if self.rng.random_bool(self.settings.faults.lost_reply / 2.0) {
            self.reply_late(holder, call);
            return;
        }
        let delay_ms = self.rng.random_range(1..4);
        let reply = duty::Reply { call, result };
        self.schedule(delay_ms, Event::ReplyArrives(holder, reply));
    }

    /// Has the caller time out.
    fn reply_late(&mut self, holder: usize, call: duty::Call) {
        let result = duty::CallResult::Lost;
        let reply = duty::Reply { call, result };
        self.schedule(duty::CALL_TIMEOUT_MS, Event::ReplyArrives(holder, reply));
    }

    /// Freezes a worker with its tasks.
    pub(super) fn pause_worker(&mut self, index: usize, length_ms: u64) {
        if length_ms > 0 && self.workers[index].state == platform::VmState::Live {
            self.worker_changed(index);
            self.workers[index].is_paused = true;
            let jobs = self.jobs_running(index);
            self.truth.freeze(&jobs);
            self.schedule(length_ms, Event::PauseWorker(index, 0));
        } else if self.workers[index].is_paused {
            let jobs = self.jobs_running(index);
            self.workers[index].resume(self.now_ms);
            self.truth.thaw(&jobs);
            self.worker_changed(index);
            self.truth.check_thawed(&jobs);
        }
    }

    fn jobs_running(&self, index: usize) -> Vec<id::Job> {
        let running = self.workers[index].running();
        running.map(|task| task.job.clone()).collect()
    }

    pub(super) fn reboot(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        if worker.is_paused || worker.state != platform::VmState::Live {
            return;
        }
        worker.state = platform::VmState::Rebooting;
        let ended = worker.clear(self.now_ms);
        self.ended(index, ended);
        self.schedule(REBOOT_MS, Event::RebootDone(index));
    }

    pub(super) fn reboot_done(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        worker.boots += 1;
        worker.newest_epoch = 0;
        worker.state = platform::VmState::Live;
        if worker.is_vacated {
            self.schedule(0, Event::Release(index));
        }
    }

    pub(super) fn vacate(&mut self, index: usize) {
        let vm = self.workers[index].vm.clone();
        if let Some(holder) = self.current_holder() {
            self.input(holder, duty::Input::Vacate(&vm));
        }
    }

    fn vacated(&mut self, vm: &id::Vm) {
        let Some(index) = self.worker_index.get(vm).copied() else {
            return;
        };
        if self.workers[index].is_vacated {
            return;
        }
        self.workers[index].is_vacated = true;
        self.report.vacated += 1;
        if let Some(job) = self.jobs_running(index).first() {
            let job = job.clone();
            self.truth.break_invariant(Violation::RanOnVacated { job });
        }
        self.schedule(0, Event::Reboot(index));
    }

    pub(super) fn release(&mut self, index: usize) {
        self.workers[index].is_vacated = false;
        let vm = self.workers[index].vm.clone();
        if let Some(holder) = self.current_holder() {
            self.input(holder, duty::Input::Release(&vm));
        }
    }

    /// Starts what the baseline places.
    pub(super) fn tick_baseline(&mut self) {
        let mut baseline = std::mem::take(&mut self.baseline);
        let mut starts = Vec::new();
        baseline.place(&self.workers, &self.truth, &mut starts);
        self.baseline = baseline;
        for (index, job, task) in starts {
            let now_ms = self.now_ms;
            let life = &self.truth.lives[&job];
            let answer = self.workers[index].start(now_ms, &task, &job, life, u64::MAX / 2);
            if answer == platform::StartAnswer::Started {
                self.report.starts += 1;
                self.truth.started(&job, now_ms);
            } else {
                self.baseline.turned_away(&job);
            }
            self.worker_changed(index);
        }
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
