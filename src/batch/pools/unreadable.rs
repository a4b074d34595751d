//! Machines whose entry in the platform's list cannot be read.

use std::collections::BTreeSet;

use crate::batch::pools::{Machine, State};
use crate::id;

/// The machines with an entry that cannot be read. Such an entry does not prove that its machine is gone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Unreadable {
    named: BTreeSet<id::Vm>,
    /// Whether there is an entry whose machine is not known; any machine that the list lacks can be the one.
    has_unnamed: bool,
}

impl Unreadable {
    /// Adds an entry; `vm` is its machine, if its name can be read.
    pub fn add(&mut self, vm: Option<id::Vm>) {
        match vm {
            Some(vm) => {
                self.named.insert(vm);
            }
            None => self.has_unnamed = true,
        }
    }

    /// Returns whether all entries could be read.
    pub fn is_empty(&self) -> bool {
        self.named.is_empty() && !self.has_unnamed
    }

    /// Returns whether a machine that the list lacks can have an entry that cannot be read.
    pub fn may_include(&self, vm: &id::Vm) -> bool {
        self.has_unnamed || self.named.contains(vm)
    }

    /// Adds to a list the machines that can be in it unreadably, as the list `before` showed them.
    pub fn keep_from(&self, before: &[Machine], list: &mut Vec<Machine>) {
        if self.is_empty() {
            return;
        }
        let present: BTreeSet<id::Vm> = list.iter().map(|machine| machine.vm.clone()).collect();
        let kept = before
            .iter()
            .filter(|machine| !present.contains(&machine.vm) && self.may_include(&machine.vm));
        list.extend(kept.map(|machine| Machine {
            state: State::Unreadable,
            ..machine.clone()
        }));
    }
}
