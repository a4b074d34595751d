//! Readings of the workers' use: how tasks go and how they ended.

use super::entry;
use super::live::Fence;
use super::{Action, Call, Duty, Event, JobKey, Output};
use crate::clock;
use crate::estimate;
use crate::id;
use crate::job::row;
use crate::placement;
use crate::platform;
use crate::quarantine;

/// Failed tasks of one job after which it is over.
const FAILURES_MAX: u32 = 8;
/// Time that an unknown task is seen to run before it is stopped, in milliseconds; readings lag.
const ORPHAN_MS: u64 = 60 * clock::SECOND_MS;
/// What a task that was killed for memory is taken to need, against its peak.
const KILLED_NUMERATOR: u64 = 3;
/// Divisor of [`KILLED_NUMERATOR`].
const KILLED_DENOMINATOR: u64 = 2;

impl Duty {
    /// Takes the readings of all workers.
    pub(super) fn take_usage(&mut self, list: &platform::UsageList) {
        self.platform_ms = list.as_of_ms;
        self.close_fences(list.as_of_ms);
        if !self.load.is_done() {
            return;
        }
        self.has_usage = true;
        for usage in &list.workers {
            self.take_worker(usage);
        }
        self.predict_again();
        for usage in &list.workers {
            if let Some(worker) = self.fleet.find(&usage.vm) {
                self.relieve(worker);
            }
        }
        self.round_due = true;
    }

    /// Predicts anew what tasks need whose own use is not settled.
    fn predict_again(&mut self) {
        let keys: Vec<JobKey> = self.by_task.values().copied().collect();
        for key in keys {
            let Some(live) = &self.jobs[key].live else {
                continue;
            };
            let task = live.task;
            if self.fleet.task(task).is_some_and(|task| !task.is_settled()) {
                let need = self.need_of(key);
                self.fleet.set_need(task, need);
                self.charge_again(key);
            }
        }
    }

    /// Charges a task's team with what the task is now held to use.
    fn charge_again(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let Some(live) = &mut job.live else {
            return;
        };
        let Some(task) = self.fleet.task(live.task) else {
            return;
        };
        let charge = entry::charge_of(&task.load());
        self.ledger.refund(job.owner, &live.charge);
        self.ledger.charge(job.owner, &charge);
        live.charge = charge;
    }

    /// Dates the proofs that workers have heard this epoch.
    fn close_fences(&mut self, as_of_ms: u64) {
        for key in self.by_task.values() {
            if let Some(live) = &mut self.jobs[*key].live
                && live.fence == Fence::Heard
            {
                live.fence = Fence::ClosedAt(as_of_ms);
            }
        }
    }

    fn take_worker(&mut self, usage: &platform::Usage) {
        let Some(worker) = self.fleet.find(&usage.vm) else {
            return;
        };
        if let Some(link) = self.links.get_mut(&worker)
            && usage.as_of_ms > link.as_of_ms
        {
            link.as_of_ms = usage.as_of_ms;
            self.heard_from(&usage.vm);
        }
        for reading in &usage.tasks {
            match self.by_task.get(&reading.task).copied() {
                Some(key) => self.take_task(key, reading),
                None => self.take_orphan(&usage.vm, reading),
            }
        }
        self.rule_out_starts(worker, usage);
    }

    fn take_task(&mut self, key: JobKey, reading: &platform::TaskUsage) {
        self.observe(key, reading);
        self.task_runs(key);
        if !self.jobs[key].is_settled() {
            return;
        }
        match &reading.state {
            platform::TaskState::Running | platform::TaskState::Throttled => {}
            platform::TaskState::Finished => self.finished(key, reading),
            platform::TaskState::Failed(words) => self.failed(key, words),
            platform::TaskState::Checkpointed(name) => self.checkpointed(key, name),
            platform::TaskState::Stopped => {
                let reason = self.jobs[key].row.reason();
                let asked = matches!(self.jobs[key].row.state, row::State::Stopping(_));
                self.stopped(key, if asked { reason } else { row::Reason::Stopped });
            }
            platform::TaskState::LeaseLapsed => self.settle_lost(key, row::Reason::LeaseLapsed),
            platform::TaskState::OutOfMemory => self.killed(key),
        }
    }

    /// Takes a reading into the fleet's books and the team's account.
    fn observe(&mut self, key: JobKey, reading: &platform::TaskUsage) {
        let job = &mut self.jobs[key];
        let Some(live) = &mut job.live else {
            return;
        };
        let running = matches!(
            reading.state,
            platform::TaskState::Running | platform::TaskState::Throttled
        );
        if !running {
            return;
        }
        let observation = placement::Observation {
            used: reading.used,
            age_ms: reading.age_ms,
        };
        self.fleet.observe(live.task, &observation);
        let Some(task) = self.fleet.task(live.task) else {
            return;
        };
        if task.is_settled() && !live.learnt {
            live.learnt = true;
            self.learn(key, 1, 1);
        }
        self.charge_again(key);
    }

    /// Records a task's use for its class, its memory scaled by a fraction.
    fn learn(&mut self, key: JobKey, numerator: u64, denominator: u64) {
        let job = &self.jobs[key];
        let Some(task) = job
            .live
            .as_ref()
            .and_then(|live| self.fleet.task(live.task))
        else {
            return;
        };
        if task.last_reading_age_ms == 0 {
            return;
        }
        let sample = estimate::Sample {
            declared: job.row.spec.declared,
            used: platform::Resources {
                cpu_milli: task.cpu_milli as u64,
                memory_mib: task.peak_memory_mib as u64 * numerator / denominator,
                accelerators: 0,
            },
        };
        self.book.record(job.class, &sample);
    }

    fn finished(&mut self, key: JobKey, reading: &platform::TaskUsage) {
        let learnt = self.jobs[key].live.as_ref().is_some_and(|live| live.learnt);
        if !learnt {
            self.learn(key, 1, 1);
        }
        self.book.record_run(self.jobs[key].class, reading.age_ms);
        self.note_result(key, quarantine::Result::Succeeded);
        self.end(key, row::End::Finished, row::Reason::Finished);
    }

    fn failed(&mut self, key: JobKey, words: &str) {
        self.jobs[key].row.failures += 1;
        let job_is_bad = self.note_result(key, quarantine::Result::Failed);
        let job = &self.jobs[key];
        if job.row.reason() == row::Reason::Cancelled {
            self.end(key, row::End::Cancelled, row::Reason::Cancelled);
        } else if job_is_bad && job.row.spec.idempotent {
            self.park(key, row::Reason::FailsEverywhere, None);
        } else if job.row.spec.idempotent && job.row.failures < FAILURES_MAX {
            self.requeue(key, row::Reason::TaskFailed);
        } else {
            let end = row::End::Failed(words.to_owned());
            self.end(key, end, row::Reason::TaskFailed);
        }
    }

    /// Records a task's end for worker and job; true if the job fails everywhere.
    fn note_result(&mut self, key: JobKey, result: quarantine::Result) -> bool {
        let now = self.now.at;
        let job = &self.jobs[key];
        let Some(vm) = job
            .row
            .state
            .placement()
            .map(|placed| placed.worker.clone())
        else {
            return false;
        };
        let id = job.id.clone();
        let verdict = self.records.record(now, &vm, &id, result);
        for vm in &verdict.quarantined {
            self.count(Event::Quarantined);
            self.refresh_vm(vm);
        }
        for vm in &verdict.released {
            self.count(Event::Released);
            self.refresh_vm(vm);
        }
        self.refresh_vm(&vm);
        verdict.job_is_bad
    }

    fn refresh_vm(&mut self, vm: &id::Vm) {
        if let Some(worker) = self.fleet.find(vm) {
            self.refresh_worker(worker);
        }
    }

    fn checkpointed(&mut self, key: JobKey, name: &str) {
        let job = &mut self.jobs[key];
        job.row.checkpoint = Some(name.to_owned());
        let reason = job.row.reason();
        let asked = matches!(job.row.state, row::State::Stopping(_));
        match reason {
            row::Reason::Cancelled => {
                self.end(key, row::End::Cancelled, row::Reason::Cancelled);
            }
            _ if asked => {
                job.row.displacements += 1;
                self.settle_lost(key, reason);
            }
            _ => self.settle_lost(key, row::Reason::Stopped),
        }
    }

    /// Settles a task that was killed for memory; its class is held to need more from now on.
    fn killed(&mut self, key: JobKey) {
        self.learn(key, KILLED_NUMERATOR, KILLED_DENOMINATOR);
        let job = &mut self.jobs[key];
        job.row.failures += 1;
        if job.row.reason() == row::Reason::Cancelled {
            self.end(key, row::End::Cancelled, row::Reason::Cancelled);
        } else if job.row.spec.idempotent && job.row.failures < FAILURES_MAX {
            self.requeue(key, row::Reason::OutOfMemory);
        } else {
            let end = row::End::Failed("killed for memory".to_owned());
            self.end(key, end, row::Reason::OutOfMemory);
        }
    }

    /// Stops a task that runs though no job knows it, once readings can't be late any more.
    fn take_orphan(&mut self, vm: &id::Vm, reading: &platform::TaskUsage) {
        let now = self.now.at;
        let running = matches!(
            reading.state,
            platform::TaskState::Running | platform::TaskState::Throttled
        );
        if !running {
            self.orphans.remove(&reading.task);
            return;
        }
        let seen = *self.orphans.entry(reading.task.clone()).or_insert(now);
        if now.since_ms(seen) < ORPHAN_MS {
            return;
        }
        self.orphans.insert(reading.task.clone(), now);
        let operation = id::Operation::from(format!("orphan/{}", reading.task));
        let action = Action::Stop {
            task: reading.task.clone(),
            intent: self.intent(&operation, "stop"),
        };
        let vm = vm.clone();
        self.outputs.push(Output::Call(Call { vm, action }));
        self.count(Event::OrphanStopped);
    }

    /// Finds tasks that a predecessor placed and that are proven never to have started: the worker
    /// refuses the predecessor's calls, has not booted since the placement, and a later reading of it
    /// lists no such task.
    fn rule_out_starts(&mut self, worker: placement::WorkerKey, usage: &platform::Usage) {
        for key in self.jobs_on(worker) {
            let job = &mut self.jobs[key];
            let (Some(placed), Some(live)) = (job.row.state.placement(), &mut job.live) else {
                continue;
            };
            let Fence::ClosedAt(closed_ms) = live.fence else {
                continue;
            };
            let is_later = usage.as_of_ms >= closed_ms && self.vms_as_of_ms >= closed_ms;
            let listed = usage
                .tasks
                .iter()
                .any(|reading| reading.task == placed.task);
            let same_boot = self
                .vms
                .get(&placed.worker)
                .is_some_and(|status| status.boots == placed.boots);
            if is_later && !listed && same_boot {
                live.refused = Some(row::Reason::NotStarted);
                self.settle_refused(key);
            }
        }
    }

    /// Relieves a worker that runs short of memory.
    fn relieve(&mut self, worker: placement::WorkerKey) {
        match placement::pressure_action(&self.fleet, worker) {
            placement::PressureAction::None => {}
            placement::PressureAction::Throttle(task) => self.send_throttle(task),
            placement::PressureAction::Checkpoint(task) => self.checkpoint_for_memory(task),
        }
    }

    fn checkpoint_for_memory(&mut self, task: placement::TaskKey) {
        let Some(job) = self.fleet.task(task).map(|task| task.job.clone()) else {
            return;
        };
        let Some(key) = self.by_id.get(&job).copied() else {
            return;
        };
        self.displace(key, row::Reason::MemoryShort);
    }
}
