//! The tokens that one node holds, by runner.

use std::collections::BTreeMap;

use slotmap::SlotMap;

use crate::id;
use crate::slots::message;

/// The most slots that a runner may have.
pub const SLOTS_MAX: u32 = 64;

slotmap::new_key_type! {
    /// A runner that this node knows.
    pub struct RunnerKey;
}

/// A runner as the configuration and the platform's list describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerSpec {
    /// The VM that hosts the runner.
    pub vm: id::Vm,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// A runner's tokens on this node, as masks with one bit a slot.
#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) vm: id::Vm,
    pub(super) slots: u32,
    pub(super) owned: u64,
    pub(super) used: u64,
    pub(super) claimed: u64,
}

impl Runner {
    pub(super) fn free(&self) -> u64 {
        self.owned & !self.used & mask_of(self.slots)
    }

    pub(super) fn held(&self) -> u64 {
        self.owned | self.used
    }
}

/// A mask of the lowest slots.
pub(super) fn mask_of(slots: u32) -> u64 {
    match slots {
        0 => 0,
        SLOTS_MAX.. => u64::MAX,
        _ => (1 << slots) - 1,
    }
}

/// All runners that this node knows.
#[derive(Clone, Debug, Default)]
pub(super) struct Book {
    pub(super) runners: SlotMap<RunnerKey, Runner>,
    keys: BTreeMap<id::Vm, RunnerKey>,
}

impl Book {
    pub(super) fn key(&self, vm: &id::Vm) -> Option<RunnerKey> {
        self.keys.get(vm).copied()
    }

    /// Sets the runners that exist; those not listed lose their slots but keep their tokens.
    pub(super) fn list(&mut self, specs: &[RunnerSpec]) {
        for runner in self.runners.values_mut() {
            runner.slots = 0;
        }
        for spec in specs {
            let key = self.key_or_insert(&spec.vm);
            self.runners[key].slots = spec.slots.min(SLOTS_MAX);
        }
    }

    /// Adds tokens; returns those that were already held.
    pub(super) fn add(&mut self, tokens: &message::Tokens) -> u64 {
        let key = self.key_or_insert(&tokens.vm);
        let runner = &mut self.runners[key];
        let doubled = runner.owned & tokens.mask;
        runner.owned |= tokens.mask;
        doubled
    }

    /// Forgets runners that are not listed and have nothing in use.
    pub(super) fn prune(&mut self) {
        self.runners
            .retain(|_, runner| runner.slots > 0 || runner.used != 0);
        let runners = &self.runners;
        self.keys.retain(|_, key| runners.contains_key(*key));
    }

    /// Everything that is held.
    pub(super) fn holdings(&self) -> Vec<message::Tokens> {
        let held = self.runners.values().filter(|runner| runner.held() != 0);
        held.map(|runner| message::Tokens {
            vm: runner.vm.clone(),
            mask: runner.held(),
        })
        .collect()
    }

    /// Tokens held of listed runners.
    pub(super) fn held(&self) -> u32 {
        let masks = self.runners.values();
        masks
            .map(|runner| (runner.held() & mask_of(runner.slots)).count_ones())
            .sum()
    }

    /// Tokens free of listed runners.
    pub(super) fn free(&self) -> u32 {
        let masks = self.runners.values();
        masks.map(|runner| runner.free().count_ones()).sum()
    }

    /// Slots of listed runners, whoever holds them.
    pub(super) fn slots(&self) -> u32 {
        self.runners.values().map(|runner| runner.slots).sum()
    }

    fn key_or_insert(&mut self, vm: &id::Vm) -> RunnerKey {
        if let Some(key) = self.keys.get(vm) {
            return *key;
        }
        let key = self.runners.insert(Runner {
            vm: vm.clone(),
            slots: 0,
            owned: 0,
            used: 0,
            claimed: 0,
        });
        self.keys.insert(vm.clone(), key);
        key
    }
}
