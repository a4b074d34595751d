//! Drain of VMs for maintenance or a move.
//!
//! Tasks that can resume from a checkpoint are checkpointed and stopped. Other tasks that can run
//! twice are given time to finish and are then stopped. Tasks that must not run twice are awaited.

use super::{Drain, Duty, JobKey, Output};
use crate::clock;
use crate::id;
use crate::job::row;
use crate::platform;

/// Time that a job without checkpoints is given to finish, in milliseconds.
const DRAIN_GRACE_MS: u64 = 5 * clock::MINUTE_MS;

impl Duty {
    /// Starts the drain of a VM; no new tasks are placed on it.
    pub(super) fn start_drain(&mut self, vm: &id::Vm) {
        let since = self.now.at;
        let drain = self.draining.entry(vm.clone()).or_insert(Drain {
            since,
            reported: false,
            listed: false,
        });
        drain.reported = false;
        drain.listed = false;
        self.next_sweep_at = self.now.at;
    }

    /// Drains the VMs that the platform lists as leaving, until it lists them as live again.
    pub(super) fn drain_listed(&mut self, list: &platform::VmList) {
        let since = self.now.at;
        for vm in &list.vms {
            match vm.state {
                platform::VmState::Leaving => {
                    self.draining.entry(vm.vm.clone()).or_insert(Drain {
                        since,
                        reported: false,
                        listed: true,
                    });
                }
                platform::VmState::Live => {
                    let listed = self.draining.get(&vm.vm).is_some_and(|drain| drain.listed);
                    if listed {
                        self.draining.remove(&vm.vm);
                    }
                }
                platform::VmState::Rebooting | platform::VmState::Failed => {}
            }
        }
    }

    /// Ends the drain of a VM.
    pub(super) fn end_drain(&mut self, vm: &id::Vm) {
        self.draining.remove(vm);
        self.next_sweep_at = self.now.at;
    }

    /// Stops the tasks that can be stopped on draining VMs and reports VMs that are empty.
    pub(super) fn apply_drains(&mut self) {
        let vms: Vec<(id::Vm, Drain)> = self
            .draining
            .iter()
            .filter(|(_, drain)| !drain.reported)
            .map(|(vm, drain)| (vm.clone(), *drain))
            .collect();
        for (vm, drain) in vms {
            if self.drain_vm(&vm, &drain) {
                self.outputs.push(Output::Drained(vm.clone()));
                if let Some(drain) = self.draining.get_mut(&vm) {
                    drain.reported = true;
                }
            }
        }
    }

    /// Returns true once no task of the system can run on the VM.
    fn drain_vm(&mut self, vm: &id::Vm, drain: &Drain) -> bool {
        let Some(worker) = self.fleet.find(vm) else {
            return true;
        };
        self.refresh_worker(worker);
        self.drop_reservations_on(worker);
        let in_grace = self.now.at.since_ms(drain.since) < DRAIN_GRACE_MS;
        let jobs = self.jobs_on(worker);
        let mut empty = true;
        for key in jobs {
            empty &= self.drain_job(key, in_grace);
        }
        empty
    }

    /// Returns true if the job's task is known to have stopped.
    fn drain_job(&mut self, key: JobKey, in_grace: bool) -> bool {
        let job = &self.jobs[key];
        let Some(live) = &job.live else {
            return true;
        };
        if live.stopped_at.is_some() {
            return true;
        }
        let spec = &job.row.spec;
        let may_stop = spec.is_displaceable() || (spec.idempotent && !in_grace);
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
