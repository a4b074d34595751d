//! What falls due by time: lease renewals, silent workers, lost calls, leases that are waited out.

use super::entry::Fence;
use super::{
    Action, CALL_TIMEOUT_MS, Call, Duty, Event, JobKey, LEASE_MARGIN_MS, Link, Output, RENEW_MS,
    TASK_LEASE_MS, VmStatus,
};
use crate::clock;
use crate::document;
use crate::id;
use crate::job::row;
use crate::placement::WorkerKey;
use crate::platform;
use crate::quarantine;

/// Interval of sweeps, in milliseconds.
const SWEEP_MS: u64 = 250;
/// Interval at which the inbox is read when no node says that it has a new row, in milliseconds.
const INBOX_MS: u64 = 250;
/// Silence after which a worker's leases are no longer renewed, in milliseconds.
const SILENT_MS: u64 = 25 * clock::SECOND_MS;
/// Time for which a worker that had no room is not asked again, in milliseconds.
const FULL_MS: u64 = 5 * clock::SECOND_MS;
/// Age before which the end of a task is early, in milliseconds.
const EARLY_END_MS: u64 = 20 * clock::SECOND_MS;
/// Early ends with unknown results from which a worker takes no more tasks.
const EARLY_ENDS_MAX: u32 = 3;
/// Wait before a lost renewal is sent again, in milliseconds.
const RENEW_RETRY_MS: u64 = clock::SECOND_MS;
/// Wait for the result of a task that runs no more, in milliseconds.
const RESULT_WAIT_MS: u64 = 2 * clock::MINUTE_MS;
/// Wait for proof of whether a task started, in milliseconds.
const PROOF_WAIT_MS: u64 = 3 * clock::MINUTE_MS;
/// Time in which the start of a job that must not run twice may be sent again, in milliseconds; no
/// worker reboots as fast.
const RESEND_MS: u64 = 5 * clock::SECOND_MS;
/// Time after which an urgent task that may run twice is no longer waited for, in milliseconds.
const URGENT_START_WAIT_MS: u64 = 2 * clock::SECOND_MS;

impl Duty {
    /// Does all that is due.
    pub(super) fn sweep(&mut self) {
        let now = self.now.at;
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now.after_ms(SWEEP_MS);
        self.refresh_workers();
        self.find_silent();
        let mut keys: Vec<JobKey> = self.by_task.values().copied().collect();
        keys.sort();
        for key in keys {
            self.sweep_task(key);
        }
        self.renew();
        self.sweep_parked();
        if now >= self.inbox_at {
            self.inbox_at = now.after_ms(INBOX_MS);
            self.outputs.push(Output::ReadInbox);
        }
    }

    /// Takes the list of VMs.
    pub(super) fn take_vms(&mut self, list: &platform::VmList) {
        self.vms_as_of_ms = list.as_of_ms;
        for vm in &list.vms {
            self.fleet.set_worker(&vm.vm, &vm.rack, vm.size);
            self.records.add_worker(&vm.vm, &vm.rack);
            let status = VmStatus {
                state: vm.state,
                boots: vm.boots,
            };
            self.vms.insert(vm.vm.clone(), status);
        }
        self.forget_vms(list);
        self.vacate_listed(list);
        self.sweep_at = self.now.at;
        self.finish_load();
    }

    fn forget_vms(&mut self, list: &platform::VmList) {
        if list.vms.len() == self.vms.len() {
            return;
        }
        let listed: std::collections::HashSet<&id::Vm> = list.vms.iter().map(|vm| &vm.vm).collect();
        self.vms.retain(|vm, _| listed.contains(vm));
        let gone: Vec<WorkerKey> = self
            .fleet
            .workers()
            .filter(|(_, worker)| worker.tasks.is_empty() && !listed.contains(&worker.vm))
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.fleet.remove_worker(key);
            self.links.remove(&key);
        }
    }

    /// True if the worker was booted again since the placement.
    ///
    /// The task is not certainly dead: a start that was sent again may have come after the boot.
    pub(super) fn is_rebooted(&self, placement: &row::Placement) -> bool {
        let status = self.vms.get(&placement.worker);
        status.is_some_and(|status| status.boots > placement.boots)
    }

    /// Notes a sign of life of a worker.
    pub(super) fn heard_from(&mut self, vm: &id::Vm) {
        let now = self.now.at;
        if let Some(link) = self.fleet.find(vm).and_then(|key| self.links.get_mut(&key)) {
            link.alive_at = now;
            link.silent = false;
        }
    }

    /// Renews a task's lease at the next sweep.
    pub(super) fn renew_soon(&mut self, key: JobKey) {
        let now = self.now.at;
        let Some(live) = &self.jobs[key].live else {
            return;
        };
        if live.lease_ms >= TASK_LEASE_MS {
            return;
        }
        if let Some(link) = self.links.get_mut(&live.worker) {
            link.renew_at = now;
        }
    }

    /// Sends a lost renewal again soon.
    pub(super) fn renew_again(&mut self, vm: &id::Vm) {
        let at = self.now.at.after_ms(RENEW_RETRY_MS);
        if let Some(link) = self.fleet.find(vm).and_then(|key| self.links.get_mut(&key)) {
            link.renew_at = link.renew_at.min(at);
        }
    }

    /// Notes a task that was gone soon after its start: readings lag, and a worker that fails all it starts
    /// looks empty until they come.
    pub(super) fn note_early_end(&mut self, key: JobKey) {
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
        if let Some(link) = self.links.get_mut(&worker) {
            link.early_ends += 1;
        }
        self.refresh_worker(worker);
    }

    /// Leaves a worker alone for a while that had no room for a start.
    pub(super) fn worker_is_full(&mut self, worker: WorkerKey) {
        let at = self.now.at.after_ms(FULL_MS);
        if let Some(link) = self.links.get_mut(&worker) {
            link.full_until = at;
        }
        self.refresh_worker(worker);
    }

    /// Opens and closes workers by all that is known of them.
    pub(super) fn refresh_workers(&mut self) {
        let keys: Vec<WorkerKey> = self.fleet.workers().map(|(key, _)| key).collect();
        for key in keys {
            self.refresh_worker(key);
        }
    }

    /// Opens or closes one worker.
    pub(super) fn refresh_worker(&mut self, key: WorkerKey) {
        let now = self.now.at;
        let vm = self.fleet.worker(key).vm.clone();
        let standing = self.records.standing(now, &vm);
        let live = self
            .vms
            .get(&vm)
            .is_some_and(|status| status.state == platform::VmState::Live);
        let link = self.links.entry(key).or_insert(Link {
            renew_at: now,
            alive_at: now,
            as_of_ms: 0,
            silent: false,
            full_until: now,
            early_ends: 0,
        });
        let quarantined = matches!(standing, quarantine::Standing::Quarantined { .. });
        let busy = link.silent || now < link.full_until || link.early_ends >= EARLY_ENDS_MAX;
        let open = live && !busy && !quarantined && !self.vacating.contains_key(&vm);
        self.fleet.set_open(key, open);
        let probation = standing == quarantine::Standing::Probation;
        self.fleet.set_probation(key, probation);
        self.fleet.set_suspect(key, !self.records.is_trusted(&vm));
    }

    /// Gives up the tasks of workers that are silent, unless most are: then the fault is here.
    fn find_silent(&mut self) {
        let now = self.now.at;
        let mut busy = 0;
        let mut silent = Vec::new();
        for (key, worker) in self.fleet.workers() {
            let Some(link) = self.links.get(&key).filter(|_| !worker.tasks.is_empty()) else {
                continue;
            };
            busy += 1;
            if now.since_ms(link.alive_at) >= SILENT_MS {
                silent.push(key);
            }
        }
        if silent.len() * 2 > busy && busy > 1 {
            return;
        }
        for key in silent {
            self.abandon_worker(key);
        }
    }

    fn abandon_worker(&mut self, worker: WorkerKey) {
        let Some(link) = self.links.get_mut(&worker) else {
            return;
        };
        if !link.silent {
            link.silent = true;
            self.count(Event::WorkerSilent);
            self.refresh_worker(worker);
        }
        for job in self.jobs_on(worker) {
            self.abandon(job);
        }
    }

    /// The jobs whose tasks may run on a worker.
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
        if live.refused.is_some() {
            self.settle_refused(key);
        } else if let Some(abandoned_at) = live.abandoned_at {
            let since = abandoned_at.max(live.lease_sent_at);
            if now.since_ms(since) >= CALL_TIMEOUT_MS + live.lease_ms + LEASE_MARGIN_MS {
                self.settle_lost(key, row::Reason::WorkerLost);
            }
        } else if let Some(gone_at) = live.gone_at {
            if now.since_ms(gone_at) >= RESULT_WAIT_MS {
                self.settle_lost(key, row::Reason::ResultLost);
            }
        } else if self.is_rebooted(placement) {
            self.abandon(key);
        } else {
            self.sweep_calls(key);
        }
    }

    /// Begins to wait a task's lease out.
    fn abandon(&mut self, key: JobKey) {
        let now = self.now.at;
        if let Some(live) = &mut self.jobs[key].live {
            live.abandoned_at.get_or_insert(now);
        }
    }

    /// Sends lost calls again, as long as that is safe.
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
        if idempotent && urgent && live.own && waited_ms >= URGENT_START_WAIT_MS {
            live.abandoned_at = Some(now);
        } else if waited_ms >= PROOF_WAIT_MS {
            self.settle_lost(key, row::Reason::WorkerLost);
        } else if is_due && (idempotent || (live.own && waited_ms < RESEND_MS)) {
            self.count(Event::StartRetry);
            self.send_start(key);
        }
    }

    /// Renews the leases of each worker's tasks in one call.
    fn renew(&mut self) {
        let now = self.now.at;
        let keys: Vec<WorkerKey> = self.fleet.workers().map(|(key, _)| key).collect();
        for key in keys {
            let Some(link) = self.links.get_mut(&key) else {
                continue;
            };
            if link.silent || now < link.renew_at {
                continue;
            }
            link.renew_at = now.after_ms(RENEW_MS);
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
            let ended = live.abandoned_at.is_some() || live.gone_at.is_some();
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
