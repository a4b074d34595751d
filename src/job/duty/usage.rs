//! Usage readings of the workers: progress and results of tasks.

use super::job;
use super::task::Fence;
use super::{Action, Call, Duty, Event, JobKey, Output};
use crate::clock;
use crate::estimate;
use crate::id;
use crate::job::row;
use crate::placement;
use crate::platform;
use crate::quarantine;

/// Number of failed tasks after which a job fails.
const FAILURES_MAX: u32 = 8;
/// Time that an unknown task must be seen running before it is stopped, in milliseconds; usage
/// readings lag.
const ORPHAN_MS: u64 = 60 * clock::SECOND_MS;
/// Memory recorded for a task that ran out of memory, relative to its peak: numerator of the
/// factor.
const OOM_MEMORY_NUMERATOR: u64 = 3;
/// Denominator of the factor of [`OOM_MEMORY_NUMERATOR`].
const OOM_MEMORY_DENOMINATOR: u64 = 2;

impl Duty {
    /// Handles the usage readings of all workers.
    pub(super) fn apply_usage(&mut self, list: &platform::UsageList) {
        self.usage_as_of_ms = list.as_of_ms;
        self.close_fences(list.as_of_ms);
        if !self.load.is_done() {
            return;
        }
        self.has_usage = true;
        for usage in &list.workers {
            self.apply_worker_usage(usage);
        }
        self.update_predictions();
        for usage in &list.workers {
            if let Some(worker) = self.fleet.find(&usage.vm) {
                self.relieve_memory_pressure(worker);
            }
        }
        self.round_due = true;
    }

    /// Updates the predicted need of tasks whose own usage has not settled.
    fn update_predictions(&mut self) {
        let keys: Vec<JobKey> = self.by_task.values().copied().collect();
        for key in keys {
            let Some(live) = &self.jobs[key].live else {
                continue;
            };
            let task = live.task;
            if self.fleet.task(task).is_some_and(|task| !task.is_settled()) {
                let need = self.predicted_need(key);
                self.fleet.set_need(task, need);
                self.update_charge(key);
            }
        }
    }

    /// Charges a task's team with the current load of the task.
    fn update_charge(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let Some(live) = &mut job.live else {
            return;
        };
        let Some(task) = self.fleet.task(live.task) else {
            return;
        };
        let charge = job::charge_of(&task.load());
        self.quotas.refund(job.owner, &live.charge);
        self.quotas.charge(job.owner, &charge);
        live.charge = charge;
    }

    /// Records the platform time from which workers are known to have received this leader's epoch.
    fn close_fences(&mut self, as_of_ms: u64) {
        for key in self.by_task.values() {
            if let Some(live) = &mut self.jobs[*key].live
                && live.fence == Fence::Acknowledged
            {
                live.fence = Fence::ClosedAt(as_of_ms);
            }
        }
    }

    fn apply_worker_usage(&mut self, usage: &platform::Usage) {
        let Some(worker) = self.fleet.find(&usage.vm) else {
            return;
        };
        if let Some(status) = self.worker_status.get_mut(&worker)
            && usage.as_of_ms > status.as_of_ms
        {
            status.as_of_ms = usage.as_of_ms;
            self.record_contact(&usage.vm);
        }
        for reading in &usage.tasks {
            match self.by_task.get(&reading.task).copied() {
                Some(key) => self.apply_task_usage(key, reading),
                None => self.handle_orphan(&usage.vm, reading),
            }
        }
        self.rule_out_starts(worker, usage);
    }

    fn apply_task_usage(&mut self, key: JobKey, reading: &platform::TaskUsage) {
        self.observe(key, reading);
        self.confirm_running(key);
        if !self.jobs[key].is_settled() {
            return;
        }
        match &reading.state {
            platform::TaskState::Running | platform::TaskState::Throttled => {}
            platform::TaskState::Finished => self.finished(key, reading),
            platform::TaskState::Failed(message) => self.failed(key, message),
            platform::TaskState::Checkpointed(name) => self.checkpointed(key, name),
            platform::TaskState::Stopped => {
                let reason = self.jobs[key].row.reason();
                let stop_requested = matches!(self.jobs[key].row.state, row::State::Stopping(_));
                self.stopped(
                    key,
                    if stop_requested {
                        reason
                    } else {
                        row::Reason::Stopped
                    },
                );
            }
            platform::TaskState::LeaseLapsed => self.settle_lost(key, row::Reason::LeaseLapsed),
            platform::TaskState::OutOfMemory => self.ran_out_of_memory(key),
        }
    }

    /// Applies a usage reading to the fleet and to the quota accounting of the team.
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
        if task.is_settled() && !live.usage_recorded {
            live.usage_recorded = true;
            self.record_usage(key, 1, 1);
        }
        self.update_charge(key);
    }

    /// Records a task's usage for its class, with its memory multiplied by the given fraction.
    fn record_usage(&mut self, key: JobKey, numerator: u64, denominator: u64) {
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
        self.estimates.record(job.class, &sample);
    }

    fn finished(&mut self, key: JobKey, reading: &platform::TaskUsage) {
        let usage_recorded = self.jobs[key]
            .live
            .as_ref()
            .is_some_and(|live| live.usage_recorded);
        if !usage_recorded {
            self.record_usage(key, 1, 1);
        }
        self.estimates
            .record_run(self.jobs[key].class, reading.age_ms);
        self.record_result(key, quarantine::Result::Succeeded);
        self.end(key, row::End::Finished, row::Reason::Finished);
    }

    fn failed(&mut self, key: JobKey, message: &str) {
        self.jobs[key].row.failures += 1;
        let job_is_bad = self.record_result(key, quarantine::Result::Failed);
        let job = &self.jobs[key];
        if job.row.reason() == row::Reason::Cancelled {
            self.end(key, row::End::Cancelled, row::Reason::Cancelled);
        } else if job_is_bad && job.row.spec.idempotent {
            self.park(key, row::Reason::FailsEverywhere, None);
        } else if job.row.spec.idempotent && job.row.failures < FAILURES_MAX {
            self.requeue(key, row::Reason::TaskFailed);
        } else {
            let end = row::End::Failed(message.to_owned());
            self.end(key, end, row::Reason::TaskFailed);
        }
    }

    /// Records the result of a task for its worker and job; returns true if the job itself, not a
    /// worker, is found to be the cause of its failures.
    fn record_result(&mut self, key: JobKey, result: quarantine::Result) -> bool {
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
        let verdict = self.worker_records.record(now, &vm, &id, result);
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
        let stop_requested = matches!(job.row.state, row::State::Stopping(_));
        match reason {
            row::Reason::Cancelled => {
                self.end(key, row::End::Cancelled, row::Reason::Cancelled);
            }
            _ if stop_requested => {
                job.row.displacements += 1;
                self.settle_lost(key, reason);
            }
            _ => self.settle_lost(key, row::Reason::Stopped),
        }
    }

    /// Settles a task that ran out of memory; its class is predicted to need more from now on.
    fn ran_out_of_memory(&mut self, key: JobKey) {
        self.record_usage(key, OOM_MEMORY_NUMERATOR, OOM_MEMORY_DENOMINATOR);
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

    /// Stops a running task that belongs to no job, once the usage readings cannot be out of date
    /// any more.
    fn handle_orphan(&mut self, vm: &id::Vm, reading: &platform::TaskUsage) {
        let now = self.now.at;
        let running = matches!(
            reading.state,
            platform::TaskState::Running | platform::TaskState::Throttled
        );
        if !running {
            self.orphans.remove(&reading.task);
            return;
        }
        let first_seen = *self.orphans.entry(reading.task.clone()).or_insert(now);
        if now.since_ms(first_seen) < ORPHAN_MS {
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

    /// Settles tasks that a previous leader placed and that are proven never to have started.
    ///
    /// The proof is that the worker refuses the previous leader's calls, has not rebooted since the
    /// placement, and a later usage reading of the worker does not list the task.
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
                live.not_started = Some(row::Reason::NotStarted);
                self.settle_not_started(key);
            }
        }
    }

    /// Throttles or checkpoints a task of a worker that is short of memory.
    fn relieve_memory_pressure(&mut self, worker: placement::WorkerKey) {
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
