//! The tokens that this node holds, by runner.

use std::collections::BTreeMap;

use slotmap::SlotMap;

use crate::id;
use crate::slots::message;

/// Maximum number of slots of a runner, limited by the 64 bits of a token mask.
pub const SLOTS_MAX: u32 = 64;

slotmap::new_key_type! {
    /// Identifies a runner known to this node; valid only on this node.
    pub struct RunnerKey;
}

/// Describes a runner as given by the configuration and the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerSpec {
    /// The VM that hosts the runner.
    pub vm: id::Vm,
    /// Maximum number of requests that the runner serves concurrently.
    pub slots: u32,
}

/// The tokens of a runner on this node, as masks with one bit per slot.
#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) vm: id::Vm,
    pub(super) slots: u32,
    pub(super) owned: u64,
    pub(super) used: u64,
    /// Slots that the current assignment has already been applied to.
    pub(super) applied: u64,
}

impl Runner {
    pub(super) fn free(&self) -> u64 {
        self.owned & !self.used & slot_mask(self.slots)
    }

    pub(super) fn held(&self) -> u64 {
        self.owned | self.used
    }
}

/// Returns a mask of the lowest `slots` slots.
pub(super) fn slot_mask(slots: u32) -> u64 {
    match slots {
        0 => 0,
        SLOTS_MAX.. => u64::MAX,
        _ => (1 << slots) - 1,
    }
}

/// All runners known to this node, with the tokens held of each.
#[derive(Clone, Debug, Default)]
pub(super) struct Holdings {
    pub(super) runners: SlotMap<RunnerKey, Runner>,
    keys: BTreeMap<id::Vm, RunnerKey>,
}

impl Holdings {
    pub(super) fn key(&self, vm: &id::Vm) -> Option<RunnerKey> {
        self.keys.get(vm).copied()
    }

    /// Sets the runners of the service; runners not listed get zero slots but keep their tokens.
    pub(super) fn set_runners(&mut self, specs: &[RunnerSpec]) {
        for runner in self.runners.values_mut() {
            runner.slots = 0;
        }
        for spec in specs {
            let key = self.key_or_insert(&spec.vm);
            self.runners[key].slots = spec.slots.min(SLOTS_MAX);
        }
    }

    /// Adds tokens and returns the mask of those that this node already owned.
    pub(super) fn add_tokens(&mut self, tokens: &message::Tokens) -> u64 {
        let key = self.key_or_insert(&tokens.vm);
        let runner = &mut self.runners[key];
        let duplicates = runner.owned & tokens.mask;
        runner.owned |= tokens.mask;
        duplicates
    }

    /// Removes runners that are not listed and have no token in use.
    pub(super) fn prune(&mut self) {
        self.runners
            .retain(|_, runner| runner.slots > 0 || runner.used != 0);
        let runners = &self.runners;
        self.keys.retain(|_, key| runners.contains_key(*key));
    }

    /// Returns all held tokens, by runner.
    pub(super) fn tokens(&self) -> Vec<message::Tokens> {
        let held = self.runners.values().filter(|runner| runner.held() != 0);
        held.map(|runner| message::Tokens {
            vm: runner.vm.clone(),
            mask: runner.held(),
        })
        .collect()
    }

    /// Returns the number of held tokens of listed runners.
    pub(super) fn held(&self) -> u32 {
        let runners = self.runners.values();
        runners
            .map(|runner| (runner.held() & slot_mask(runner.slots)).count_ones())
            .sum()
    }

    /// Returns the number of free tokens of listed runners.
    pub(super) fn free(&self) -> u32 {
        let runners = self.runners.values();
        runners.map(|runner| runner.free().count_ones()).sum()
    }

    /// Returns the number of slots of listed runners, on whichever node their tokens are.
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
            applied: 0,
        });
        self.keys.insert(vm.clone(), key);
        key
    }
}
