//! Taking all jobs off a VM, for maintenance or a move.
//!
//! Jobs that can go on from a checkpoint stop by one. Others that may run twice are given time to finish and
//! are then stopped; those that must not run twice are waited for.

use super::{Duty, JobKey, Output, Vacating};
use crate::clock;
use crate::id;
use crate::job::row;
use crate::platform;

/// Time that a job without checkpoints is given to finish, in milliseconds.
const PATIENCE_MS: u64 = 5 * clock::MINUTE_MS;

impl Duty {
    /// Closes a VM and begins to take its jobs off.
    pub(super) fn vacate(&mut self, vm: &id::Vm) {
        let since = self.now.at;
        let vacating = self.vacating.entry(vm.clone()).or_insert(Vacating {
            since,
            reported: false,
            listed: false,
        });
        vacating.reported = false;
        vacating.listed = false;
        self.sweep_at = self.now.at;
    }

    /// Vacates the VMs that the platform lists as leaving, until it lists them as live again.
    pub(super) fn vacate_listed(&mut self, list: &platform::VmList) {
        let since = self.now.at;
        for vm in &list.vms {
            match vm.state {
                platform::VmState::Leaving => {
                    self.vacating.entry(vm.vm.clone()).or_insert(Vacating {
                        since,
                        reported: false,
                        listed: true,
                    });
                }
                platform::VmState::Live => {
                    let listed = self.vacating.get(&vm.vm).is_some_and(|one| one.listed);
                    if listed {
                        self.vacating.remove(&vm.vm);
                    }
                }
                platform::VmState::Rebooting | platform::VmState::Failed => {}
            }
        }
    }

    /// Opens a VM again.
    pub(super) fn release(&mut self, vm: &id::Vm) {
        self.vacating.remove(vm);
        self.sweep_at = self.now.at;
    }

    /// Stops what can be stopped on VMs that are being vacated, and reports those that are empty.
    pub(super) fn apply_vacates(&mut self) {
        let vms: Vec<(id::Vm, Vacating)> = self
            .vacating
            .iter()
            .filter(|(_, vacating)| !vacating.reported)
            .map(|(vm, vacating)| (vm.clone(), *vacating))
            .collect();
        for (vm, vacating) in vms {
            if self.empty_vm(&vm, &vacating) {
                self.outputs.push(Output::Vacated(vm.clone()));
                if let Some(vacating) = self.vacating.get_mut(&vm) {
                    vacating.reported = true;
                }
            }
        }
    }

    /// True once nothing of the system can run on the VM.
    fn empty_vm(&mut self, vm: &id::Vm, vacating: &Vacating) -> bool {
        let Some(worker) = self.fleet.find(vm) else {
            return true;
        };
        self.refresh_worker(worker);
        self.drop_reservations_on(worker);
        let patient = self.now.at.since_ms(vacating.since) < PATIENCE_MS;
        let jobs = self.jobs_on(worker);
        let mut empty = true;
        for key in jobs {
            empty &= self.empty_job(key, patient);
        }
        empty
    }

    /// True if the job's task is known to run no more.
    fn empty_job(&mut self, key: JobKey, patient: bool) -> bool {
        let job = &self.jobs[key];
        let Some(live) = &job.live else {
            return true;
        };
        if live.gone_at.is_some() {
            return true;
        }
        let spec = &job.row.spec;
        let may_stop = spec.is_displaceable() || (spec.idempotent && !patient);
        if let row::State::Placed(placement) = &job.row.state
            && may_stop
            && job.is_settled()
        {
            let placement = placement.clone();
            let task = live.task;
            self.change(key, row::State::Stopping(placement), row::Reason::Vacated);
            self.fleet.set_stopping(task);
        }
        false
    }

    fn drop_reservations_on(&mut self, worker: crate::placement::WorkerKey) {
        for key in self.reservations.clone() {
            let reservation = self.jobs[key].reservation.as_ref();
            if reservation.is_some_and(|reservation| reservation.worker == worker) {
                self.drop_reservation(key);
                self.queue_if_queued(key);
            }
        }
    }
}
