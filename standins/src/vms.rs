//! The platform's VMs: their states, drains and reboots, and the lagging list.

use std::collections::{HashMap, VecDeque};

use wasabiloft::clock;
use wasabiloft::id;
use wasabiloft::platform;

/// How long old pictures of the list are kept, in milliseconds.
const HISTORY_MS: u64 = 120_000;

/// What a call about a VM met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Done, now or by an earlier call of the same operation.
    Done,
    /// The duty's epoch is older than one seen before.
    OldEpoch,
    /// No such VM.
    Unknown,
}

/// The VMs.
#[derive(Debug)]
pub struct Vms {
    vms: Vec<platform::Vm>,
    index: HashMap<id::Vm, usize>,
    reboots: Vec<(clock::Instant, id::Vm)>,
    operations: HashMap<id::Operation, ()>,
    epochs: HashMap<id::Duty, u64>,
    history: VecDeque<platform::VmList>,
    reboot_ms: u64,
    /// Reboots that were begun.
    pub reboots_total: u64,
    /// VMs that stay down after a reboot.
    pub stuck: Vec<id::Vm>,
}

impl Vms {
    /// Starts with VMs that are all as they say.
    pub fn new(vms: Vec<platform::Vm>, reboot_ms: u64) -> Self {
        let index = vms
            .iter()
            .enumerate()
            .map(|(index, vm)| (vm.vm.clone(), index))
            .collect();
        Self {
            vms,
            index,
            reboots: Vec::new(),
            operations: HashMap::new(),
            epochs: HashMap::new(),
            history: VecDeque::new(),
            reboot_ms,
            reboots_total: 0,
            stuck: Vec::new(),
        }
    }

    /// The VMs as they are now.
    pub fn now(&self) -> &[platform::Vm] {
        &self.vms
    }

    /// Ends the reboots that are due; gives the VMs that came back.
    pub fn tick(&mut self, now: clock::Instant) -> Vec<id::Vm> {
        let (due, waiting) = std::mem::take(&mut self.reboots)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.reboots = waiting;
        let mut back = Vec::new();
        for (_, vm) in due {
            if self.stuck.contains(&vm) {
                self.set_state(&vm, platform::VmState::Failed);
            } else {
                self.boot(&vm);
                back.push(vm);
            }
        }
        self.remember(now);
        back
    }

    /// The list as it was `lag_ms` ago.
    pub fn list(&self, now: clock::Instant, lag_ms: u64) -> platform::VmList {
        let wanted_ms = now.as_ms().saturating_sub(lag_ms);
        let old = self
            .history
            .iter()
            .rev()
            .find(|list| list.as_of_ms <= wanted_ms);
        match old.or(self.history.front()) {
            Some(list) if lag_ms > 0 => list.clone(),
            _ => self.picture(now),
        }
    }

    /// Tells a VM to take no new work.
    pub fn drain(&mut self, vm: &id::Vm, intent: &platform::Intent) -> Answer {
        self.once(vm, intent, |vms, vm| {
            vms.set_state(vm, platform::VmState::Leaving);
        })
    }

    /// Takes back a drain.
    pub fn resume(&mut self, vm: &id::Vm, intent: &platform::Intent) -> Answer {
        self.once(vm, intent, |vms, vm| {
            if vms.state(vm) == Some(platform::VmState::Leaving) {
                vms.set_state(vm, platform::VmState::Live);
            }
        })
    }

    /// Reboots a VM.
    pub fn reboot(
        &mut self,
        vm: &id::Vm,
        intent: &platform::Intent,
        now: clock::Instant,
    ) -> Answer {
        let back_at = now.after_ms(self.reboot_ms);
        self.once(vm, intent, |vms, vm| {
            vms.set_state(vm, platform::VmState::Rebooting);
            vms.reboots_total += 1;
            vms.reboots.push((back_at, vm.clone()));
        })
    }

    /// Lets a VM fail or come back, as nobody asked for.
    pub fn force(&mut self, vm: &id::Vm, state: platform::VmState) {
        match state {
            platform::VmState::Live => self.boot(vm),
            other => self.set_state(vm, other),
        }
    }

    fn once<F>(&mut self, vm: &id::Vm, intent: &platform::Intent, effect: F) -> Answer
    where
        F: FnOnce(&mut Self, &id::Vm),
    {
        if !self.index.contains_key(vm) {
            return Answer::Unknown;
        }
        let newest = self.epochs.entry(intent.duty.clone()).or_default();
        if intent.epoch < *newest {
            return Answer::OldEpoch;
        }
        *newest = intent.epoch;
        if self
            .operations
            .insert(intent.operation.clone(), ())
            .is_none()
        {
            effect(self, vm);
        }
        Answer::Done
    }

    /// The state of a VM.
    pub fn state(&self, vm: &id::Vm) -> Option<platform::VmState> {
        let index = *self.index.get(vm)?;
        Some(self.vms[index].state)
    }

    fn set_state(&mut self, vm: &id::Vm, state: platform::VmState) {
        if let Some(&index) = self.index.get(vm) {
            self.vms[index].state = state;
        }
    }

    fn boot(&mut self, vm: &id::Vm) {
        if let Some(&index) = self.index.get(vm) {
            self.vms[index].state = platform::VmState::Live;
            self.vms[index].boots += 1;
        }
    }

    fn remember(&mut self, now: clock::Instant) {
        let picture = self.picture(now);
        self.history.push_back(picture);
        while self
            .history
            .front()
            .is_some_and(|list| list.as_of_ms + HISTORY_MS < now.as_ms())
        {
            self.history.pop_front();
        }
    }

    fn picture(&self, now: clock::Instant) -> platform::VmList {
        platform::VmList {
            as_of_ms: now.as_ms(),
            vms: self.vms.clone(),
        }
    }
}
