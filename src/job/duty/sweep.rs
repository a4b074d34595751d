//! Periodic work: lease renewals, silent workers, lost calls and expired leases.

use super::task::Fence;
use super::{
    Action, CALL_TIMEOUT_MS, Call, Duty, Event, JobKey, LEASE_MARGIN_MS, Output, RENEW_MS,
    TASK_LEASE_MS, VmStatus, WorkerStatus,
};
use crate::clock;
use crate::document;
use crate::id;
use crate::job::row;
use crate::placement::WorkerKey;
use crate::platform;
use crate::quarantine;

/// Interval of sweeps, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 250;
/// Interval at which the inbox is read when no node reports a new row, in milliseconds.
const INBOX_INTERVAL_MS: u64 = 250;
/// Minimum margin added to a lease, in milliseconds.
const LEASE_MARGIN_MIN_MS: u64 = clock::SECOND_MS;
/// Time without contact after which a worker's leases are no longer renewed, in milliseconds.
const SILENCE_TIMEOUT_MS: u64 = 25 * clock::SECOND_MS;
/// Time for which a worker that had no capacity gets no new tasks, in milliseconds.
const FULL_BACKOFF_MS: u64 = 5 * clock::SECOND_MS;
/// Age up to which the end of a task counts as early, in milliseconds.
const EARLY_END_MS: u64 = 20 * clock::SECOND_MS;
/// Number of early ends with unknown results from which a worker gets no more tasks.
const EARLY_ENDS_MAX: u32 = 3;
/// Delay before a lost renewal is sent again, in milliseconds.
const RENEW_RETRY_MS: u64 = clock::SECOND_MS;
/// Maximum wait for the result of a task that no longer runs, in milliseconds.
const RESULT_WAIT_MS: u64 = 2 * clock::MINUTE_MS;
/// Maximum wait for proof of whether a task started, in milliseconds.
const PROOF_WAIT_MS: u64 = 3 * clock::MINUTE_MS;
/// Time in which the start of a job that must not run twice can be sent again, in milliseconds. It
/// is shorter than any reboot of a worker.
const START_RESEND_MS: u64 = 5 * clock::SECOND_MS;
/// Time after which the start of an urgent task that can run twice is no longer awaited, in
/// milliseconds.
const URGENT_START_WAIT_MS: u64 = 1_200;

/// Returns the margin added to a lease for clock drift between leader and worker, in milliseconds.
fn margin_ms(lease_ms: u64) -> u64 {
    (LEASE_MARGIN_MS * lease_ms / TASK_LEASE_MS).max(LEASE_MARGIN_MIN_MS)
}

impl Duty {
    /// Carries out the periodic work that is due.
    pub(super) fn sweep(&mut self) {
        let now = self.now.at;
        if now < self.next_sweep_at {
            return;
        }
        self.next_sweep_at = now.after_ms(SWEEP_INTERVAL_MS);
        self.refresh_workers();
        self.abandon_silent_workers();
        let mut keys: Vec<JobKey> = self.by_task.values().copied().collect();
        keys.sort();
        for key in keys {
            self.sweep_task(key);
        }
        self.renew();
        self.requeue_parked();
        if now >= self.next_inbox_read_at {
            self.next_inbox_read_at = now.after_ms(INBOX_INTERVAL_MS);
            self.outputs.push(Output::ReadInbox);
        }
    }

    /// Handles the platform's list of VMs.
    pub(super) fn apply_vms(&mut self, list: &platform::VmList) {
        self.vms_as_of_ms = list.as_of_ms;
        for vm in &list.vms {
            self.fleet.set_worker(&vm.vm, &vm.rack, vm.size);
            self.worker_records.add_worker(&vm.vm, &vm.rack);
            let status = VmStatus {
                state: vm.state,
                boots: vm.boots,
            };
            self.vms.insert(vm.vm.clone(), status);
        }
        self.remove_unlisted_workers(list);
        self.drain_listed(list);
        self.next_sweep_at = self.now.at;
        self.finish_load();
    }

    fn remove_unlisted_workers(&mut self, list: &platform::VmList) {
        if list.vms.len() == self.vms.len() {
            return;
        }
        let listed: std::collections::HashSet<&id::Vm> = list.vms.iter().map(|vm| &vm.vm).collect();
        self.vms.retain(|vm, _| listed.contains(vm));
        let unlisted: Vec<WorkerKey> = self
            .fleet
            .workers()
            .filter(|(_, worker)| worker.tasks.is_empty() && !listed.contains(&worker.vm))
            .map(|(key, _)| key)
            .collect();
        for key in unlisted {
            self.fleet.remove_worker(key);
            self.worker_status.remove(&key);
        }
    }

    /// Returns true if the worker was rebooted since the placement.
    ///
    /// This does not prove that the task is dead: a start that was sent again can have arrived
    /// after the reboot.
    pub(super) fn is_rebooted(&self, placement: &row::Placement) -> bool {
        let status = self.vms.get(&placement.worker);
        status.is_some_and(|status| status.boots > placement.boots)
    }

    /// Records a contact with a worker.
    pub(super) fn record_contact(&mut self, vm: &id::Vm) {
        let now = self.now.at;
        if let Some(status) = self
            .fleet
            .find(vm)
            .and_then(|key| self.worker_status.get_mut(&key))
        {
            status.last_seen_at = now;
            status.silent = false;
        }
    }

    /// Schedules the renewal of a short lease for the next sweep.
    pub(super) fn schedule_renewal(&mut self, key: JobKey) {
        let now = self.now.at;
        let Some(live) = &self.jobs[key].live else {
            return;
        };
        if live.lease_ms >= TASK_LEASE_MS {
            return;
        }
        if let Some(status) = self.worker_status.get_mut(&live.worker) {
            status.renew_at = now;
        }
    }

    /// Schedules the retry of a lost renewal.
    pub(super) fn retry_renewal(&mut self, vm: &id::Vm) {
        let at = self.now.at.after_ms(RENEW_RETRY_MS);
        if let Some(status) = self
            .fleet
            .find(vm)
            .and_then(|key| self.worker_status.get_mut(&key))
        {
            status.renew_at = status.renew_at.min(at);
        }
    }

    /// Records a task that ended soon after its start.
    ///
    /// Usage readings lag, and a worker on which every task fails looks empty until they arrive.
    pub(super) fn record_early_end(&mut self, key: JobKey) {
        let now = self.now.at;
        let Some(live) = &mut self.jobs[key].live else {
            return;
        };
        let early = live
            .start_sent_at
            .is_some_and(|at| now.since_ms(at) < EARLY_END_MS);
        if !early || live.ended_early {
            return;
        }
        live.ended_early = true;
        let worker = live.worker;
        if let Some(status) = self.worker_status.get_mut(&worker) {
            status.early_ends += 1;
        }
        self.refresh_worker(worker);
    }

    /// Places no new tasks for a while on a worker that rejected a start for lack of capacity.
    pub(super) fn mark_full(&mut self, worker: WorkerKey) {
        let at = self.now.at.after_ms(FULL_BACKOFF_MS);
        if let Some(status) = self.worker_status.get_mut(&worker) {
            status.full_until = at;
        }
        self.refresh_worker(worker);
    }

    /// Updates for all workers whether they accept tasks.
    pub(super) fn refresh_workers(&mut self) {
        let keys: Vec<WorkerKey> = self.fleet.workers().map(|(key, _)| key).collect();
        for key in keys {
            self.refresh_worker(key);
        }
    }

    /// Updates whether a worker accepts tasks, from its VM state, responses, records and drain.
    pub(super) fn refresh_worker(&mut self, key: WorkerKey) {
        let now = self.now.at;
        let vm = self.fleet.worker(key).vm.clone();
        let standing = self.worker_records.standing(now, &vm);
        let live = self
            .vms
            .get(&vm)
            .is_some_and(|status| status.state == platform::VmState::Live);
        let status = self.worker_status.entry(key).or_insert(WorkerStatus {
            renew_at: now,
            last_seen_at: now,
            as_of_ms: 0,
            silent: false,
            full_until: now,
            early_ends: 0,
        });
        let quarantined = matches!(standing, quarantine::Standing::Quarantined { .. });
        let unavailable =
            status.silent || now < status.full_until || status.early_ends >= EARLY_ENDS_MAX;
        let open = live && !unavailable && !quarantined && !self.draining.contains_key(&vm);
        self.fleet.set_open(key, open);
        let probation = standing == quarantine::Standing::Probation;
        self.fleet.set_probation(key, probation);
        self.fleet
            .set_suspect(key, !self.worker_records.is_trusted(&vm));
    }

    /// Abandons the tasks of silent workers, unless most workers are silent: then the fault is on
    /// this node.
    fn abandon_silent_workers(&mut self) {
        let now = self.now.at;
        let mut with_tasks = 0;
        let mut silent = Vec::new();
        for (key, worker) in self.fleet.workers() {
            let Some(status) = self
                .worker_status
                .get(&key)
                .filter(|_| !worker.tasks.is_empty())
            else {
                continue;
            };
            with_tasks += 1;
            if now.since_ms(status.last_seen_at) >= SILENCE_TIMEOUT_MS {
                silent.push(key);
            }
        }
        if silent.len() * 2 > with_tasks && with_tasks > 1 {
            return;
        }
        for key in silent {
            self.abandon_worker(key);
        }
    }

    fn abandon_worker(&mut self, worker: WorkerKey) {
        let Some(status) = self.worker_status.get_mut(&worker) else {
            return;
        };
        if !status.silent {
            status.silent = true;
            self.count(Event::WorkerSilent);
            self.refresh_worker(worker);
        }
        for job in self.jobs_on(worker) {
            self.abandon(job);
        }
    }

    /// Returns the jobs whose tasks may run on a worker.
    pub(super) fn jobs_on(&self, worker: WorkerKey) -> Vec<JobKey> {
        let tasks = self.fleet.worker(worker).tasks.iter();
        tasks
            .filter_map(|task| self.fleet.task(*task))
            .filter_map(|task| self.by_id.get(&task.job).copied())
            .filter(|key| {
                let live = self.jobs[*key].live.as_ref();
                live.is_some_and(|live| live.worker == worker)
            })
            .collect()
    }

    fn sweep_task(&mut self, key: JobKey) {
        let now = self.now.at;
        let job = &self.jobs[key];
        let (Some(live), Some(placement)) = (&job.live, job.row.state.placement()) else {
            return;
        };
        if !job.is_settled() {
            return;
        }
        if live.not_started.is_some() {
            self.settle_not_started(key);
        } else if let Some(abandoned_at) = live.abandoned_at {
            let since = abandoned_at.max(live.lease_sent_at);
            if now.since_ms(since) >= CALL_TIMEOUT_MS + live.lease_ms + margin_ms(live.lease_ms) {
                self.settle_lost(key, row::Reason::WorkerLost);
            }
        } else if let Some(stopped_at) = live.stopped_at {
            if now.since_ms(stopped_at) >= RESULT_WAIT_MS {
                self.settle_lost(key, row::Reason::ResultLost);
            }
        } else if self.is_rebooted(placement) {
            self.abandon(key);
        } else {
            self.sweep_calls(key);
        }
    }

    /// Starts waiting for the expiry of a task's lease.
    fn abandon(&mut self, key: JobKey) {
        let now = self.now.at;
        if let Some(live) = &mut self.jobs[key].live {
            live.abandoned_at.get_or_insert(now);
        }
    }

    /// Sends lost calls again as long as that is safe.
    fn sweep_calls(&mut self, key: JobKey) {
        let now = self.now.at;
        let job = &self.jobs[key];
        let Some(live) = &job.live else {
            return;
        };
        let is_due = live.retry_at.is_some_and(|at| now >= at);
        match &job.row.state {
            row::State::Stopping(_) if is_due => self.send_stop(key),
            row::State::Placed(_) if !live.confirmed => self.sweep_start(key, is_due),
            _ => {}
        }
    }

    fn sweep_start(&mut self, key: JobKey, is_due: bool) {
        let now = self.now.at;
        let spec = &self.jobs[key].row.spec;
        let idempotent = spec.idempotent;
        let urgent = spec.urgency == document::Urgency::Urgent;
        let Some(live) = &mut self.jobs[key].live else {
            return;
        };
        let waited_ms = now.since_ms(live.start_sent_at.unwrap_or(live.lease_sent_at));
        if idempotent && urgent && live.own_placement && waited_ms >= URGENT_START_WAIT_MS {
            live.abandoned_at = Some(now);
        } else if waited_ms >= PROOF_WAIT_MS {
            self.settle_lost(key, row::Reason::WorkerLost);
        } else if is_due && (idempotent || (live.own_placement && waited_ms < START_RESEND_MS)) {
            self.count(Event::StartRetry);
            self.send_start(key);
        }
    }

    /// Renews the leases of each worker's tasks in one call.
    fn renew(&mut self) {
        let now = self.now.at;
        let keys: Vec<WorkerKey> = self.fleet.workers().map(|(key, _)| key).collect();
        for key in keys {
            let Some(status) = self.worker_status.get_mut(&key) else {
                continue;
            };
            if status.silent || now < status.renew_at {
                continue;
            }
            status.renew_at = now.after_ms(RENEW_MS);
            self.renew_worker(key);
        }
    }

    fn renew_worker(&mut self, worker: WorkerKey) {
        let now = self.now.at;
        let mut tasks = Vec::new();
        for key in self.jobs_on(worker) {
            let job = &mut self.jobs[key];
            let (Some(placement), Some(live)) = (job.row.state.placement(), &mut job.live) else {
                continue;
            };
            let ended = live.abandoned_at.is_some() || live.stopped_at.is_some();
            if ended || !(live.confirmed || live.fence == Fence::Open) {
                continue;
            }
            live.lease_sent_at = now;
            live.lease_ms = TASK_LEASE_MS;
            tasks.push(placement.task.clone());
        }
        if tasks.is_empty() {
            return;
        }
        let renew = platform::RenewTasks {
            duty: self.settings.duty.clone(),
            epoch: self.settings.epoch,
            tasks,
            lease_ms: TASK_LEASE_MS,
        };
        let vm = self.fleet.worker(worker).vm.clone();
        let action = Action::Renew(renew);
        self.outputs.push(Output::Call(Call { vm, action }));
    }
}
