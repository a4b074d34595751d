//! VMs and entry VMs as they truly are.

use std::collections::BTreeSet;

use rand::Rng;
use wasabiloft::{fleet, id, platform};

use super::fleet::DEADLINE_MS;
use super::{Event, Without, World};

/// An entry VM stops by itself when it has been cut off for this long, in milliseconds.
pub const ISOLATION_MS: u64 = 5_000;

/// An effect on its way.
pub struct Call {
    /// The holder that sent it.
    pub holder: usize,
    /// The VM.
    pub vm: id::Vm,
    /// What it asks for.
    pub effect: fleet::Effect,
    /// The decision.
    pub intent: platform::Intent,
}

/// A VM.
pub struct Vm {
    /// As the platform would list it now.
    pub listed: platform::Vm,
    /// When it failed, in milliseconds of the run.
    pub failed_ms: Option<u64>,
    /// Counts its failures.
    pub failure: u64,
    /// Counts reboots that were asked for.
    pub boot: u64,
    /// True while jobs run on it.
    pub jobs: bool,
    /// Moments until which each entry VM may send to it.
    pub sending_until_ms: Vec<u64>,
    operations: BTreeSet<id::Operation>,
    epoch: u64,
}

impl Vm {
    /// A live VM.
    pub fn new(listed: platform::Vm) -> Self {
        Self {
            listed,
            failed_ms: None,
            failure: 0,
            boot: 0,
            jobs: true,
            sending_until_ms: vec![u64::MAX; super::fleet::NODES],
            operations: BTreeSet::new(),
            epoch: 0,
        }
    }

    /// Tells whether it truly runs and takes work.
    pub fn live(&self) -> bool {
        self.listed.state == platform::VmState::Live
    }
}

/// An entry VM.
#[derive(Default)]
pub struct Node {
    /// Its incarnation.
    pub incarnation: u64,
    /// When it was cut off.
    pub cut_ms: Option<u64>,
    /// True while the roster lists it.
    pub rostered: bool,
}

impl World {
    /// Lets every entry VM send to every VM.
    pub(super) fn open_senders(&mut self) {
        for node in &mut self.nodes {
            node.rostered = true;
        }
    }

    /// Entry VMs learn that a VM is back in service.
    pub(super) fn reopen(&mut self, vm: &id::Vm) {
        let reachable: Vec<bool> = self
            .nodes
            .iter()
            .map(|node| node.cut_ms.is_none())
            .collect();
        let vm = self.vms.get_mut(vm).expect("only known VMs have rows");
        vm.jobs = true;
        for (until_ms, reachable) in vm.sending_until_ms.iter_mut().zip(reachable) {
            if reachable {
                *until_ms = u64::MAX;
            }
        }
    }

    /// Tells whether any entry VM or job may still use a VM.
    pub(super) fn in_use(&self, vm: &id::Vm) -> bool {
        let vm = &self.vms[vm];
        let now_ms = self.now_ms;
        vm.jobs
            || vm
                .sending_until_ms
                .iter()
                .any(|&until_ms| until_ms > now_ms)
    }

    /// An entry VM hears that a VM drains: it finishes what is in progress and acknowledges.
    pub(super) fn announced(
        &mut self,
        holder: usize,
        node: usize,
        vm: id::Vm,
        operation: id::Operation,
    ) {
        if self.nodes[node].cut_ms.is_some() || !self.nodes[node].rostered {
            return;
        }
        let finishes_ms = self.now_ms + self.rng.random_range(0..=self.options.fleet.drain_ms);
        let until_ms = &mut self
            .vms
            .get_mut(&vm)
            .expect("only known VMs drain")
            .sending_until_ms[node];
        if *until_ms == u64::MAX {
            *until_ms = finishes_ms;
        }
        let wait_ms = match self.options.without {
            Some(Without::DrainProof) => 0,
            _ => until_ms.saturating_sub(self.now_ms),
        };
        let incarnation = self.nodes[node].incarnation;
        let event = Event::Acknowledged {
            holder,
            node,
            incarnation,
            vm,
            operation,
        };
        self.at(wait_ms + 1, event);
    }

    /// An entry VM is cut off: it hears nothing, and stops by itself in time.
    pub(super) fn cut_node(&mut self, node: usize) {
        if self.nodes[node].cut_ms.is_some() {
            return;
        }
        self.nodes[node].cut_ms = Some(self.now_ms);
        let ends_ms = self.now_ms + ISOLATION_MS + DEADLINE_MS;
        for vm in self.vms.values_mut() {
            let until_ms = &mut vm.sending_until_ms[node];
            *until_ms = (*until_ms).min(ends_ms);
        }
        let removed_ms = self.rng.random_range(5_000..20_000);
        self.at(removed_ms, Event::NodeRemoved(node));
        let replaced_ms = removed_ms + self.rng.random_range(30_000..120_000);
        self.at(replaced_ms, Event::NodeReplaced(node));
    }

    /// A new process takes an entry VM's place; it has read the rows before it serves.
    pub(super) fn replace_node(&mut self, node: usize) {
        self.nodes[node].incarnation += 1;
        self.nodes[node].cut_ms = None;
        self.nodes[node].rostered = true;
        let rows: Vec<_> = self.table.vms().collect();
        for row in rows {
            if row.stage == wasabiloft::pool::row::Stage::InService {
                let vm = self.vms.get_mut(&row.vm).expect("only known VMs have rows");
                vm.sending_until_ms[node] = u64::MAX;
            }
        }
    }

    /// An effect reaches a VM.
    pub(super) fn effect(&mut self, call: Call) {
        let vm = self
            .vms
            .get_mut(&call.vm)
            .expect("only known VMs are called");
        let fenced = !self.options.without.is_some_and(Without::fencing);
        let down = vm.listed.state == platform::VmState::Failed;
        if down || (fenced && call.intent.epoch < vm.epoch) {
            return;
        }
        vm.epoch = vm.epoch.max(call.intent.epoch);
        if vm.operations.insert(call.intent.operation.clone()) {
            self.carry_out(&call.vm, call.effect);
        }
        let lost = self.options.faults && self.rng.random_bool(0.1);
        if !lost {
            let reply_ms = self.rng.random_range(2..20);
            let event = Event::EffectDone {
                holder: call.holder,
                vm: call.vm,
                operation: call.intent.operation,
            };
            self.at(reply_ms, event);
        }
    }

    fn carry_out(&mut self, name: &id::Vm, effect: fleet::Effect) {
        let state = self.vms[name].listed.state;
        match effect {
            fleet::Effect::Drain => self.set_state(name, platform::VmState::Leaving),
            fleet::Effect::Resume if state == platform::VmState::Leaving => {
                self.set_state(name, platform::VmState::Live);
            }
            fleet::Effect::Resume => {}
            fleet::Effect::Reboot => self.reboot(name),
        }
    }

    fn reboot(&mut self, name: &id::Vm) {
        self.check_reboot(name);
        self.set_state(name, platform::VmState::Rebooting);
        self.totals.reboots += 1;
        let stays_down = self.options.faults && self.rng.random_bool(0.02);
        let vm = self.vms.get_mut(name).expect("checked by the caller");
        vm.boot += 1;
        let boot = vm.boot;
        let lasts_ms = match stays_down {
            true => 10 * self.options.fleet.reboot_ms,
            false => self.options.fleet.reboot_ms,
        };
        let vm = name.clone();
        self.at(lasts_ms, Event::BootEnds { vm, boot });
    }

    pub(super) fn boot_ends(&mut self, name: &id::Vm, boot: u64) {
        let vm = self.vms.get_mut(name).expect("it was rebooted");
        if vm.boot == boot && vm.listed.state == platform::VmState::Rebooting {
            vm.listed.state = platform::VmState::Live;
            vm.listed.boots += 1;
        }
    }

    /// A VM fails, for a while or for good.
    pub(super) fn fail(&mut self, name: &id::Vm, lasts_ms: Option<u64>) {
        let vm = self.vms.get_mut(name).expect("faults name known VMs");
        if vm.failed_ms.is_some() {
            return;
        }
        vm.failed_ms = Some(self.now_ms);
        vm.failure += 1;
        vm.jobs = false;
        vm.listed.state = platform::VmState::Failed;
        for until_ms in &mut vm.sending_until_ms {
            *until_ms = (*until_ms).min(self.now_ms + DEADLINE_MS);
        }
        let failure = vm.failure;
        if let Some(lasts_ms) = lasts_ms {
            let vm = name.clone();
            self.at(lasts_ms, Event::FailureEnds { vm, failure });
        }
    }

    pub(super) fn failure_ends(&mut self, name: &id::Vm, failure: u64) {
        let vm = self.vms.get_mut(name).expect("it failed");
        if vm.failure != failure {
            return;
        }
        vm.failed_ms = None;
        vm.listed.state = platform::VmState::Live;
        vm.listed.boots += 1;
        let mut rows = self.table.vms();
        let serves =
            rows.any(|row| row.vm == *name && row.stage == wasabiloft::pool::row::Stage::InService);
        drop(rows);
        if serves {
            self.reopen(name);
        }
    }

    fn set_state(&mut self, name: &id::Vm, state: platform::VmState) {
        let vm = self.vms.get_mut(name).expect("checked by the caller");
        vm.listed.state = state;
    }
}
