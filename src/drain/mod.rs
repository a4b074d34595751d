//! Drains: of an endpoint that leaves, proven over all nodes, and of an entry VM that stops.
//!
//! * [`Ledger`]: on each node, what is in flight at each VM, and which VMs leave;
//! * [`Report`]: a node's acknowledgement, collected from every node of the roster by the VM's duty;
//! * [`stop`]: the stop of the entry VM itself.

pub mod stop;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::id;

/// Asks a node whether a VM that leaves still has work of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The VM.
    pub vm: id::Vm,
    /// The operation that drains it.
    pub operation: id::Operation,
}

/// A node's answer to [`Ask`]: from this moment on it sends the VM nothing new.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The VM.
    pub vm: id::Vm,
    /// The operation that drains it.
    pub operation: id::Operation,
    /// Requests of the node that the VM still works on, or may.
    pub in_flight: u32,
}

impl Report {
    /// True if the node has nothing in flight at the VM, and starts nothing new there.
    pub fn is_drained(&self) -> bool {
        self.in_flight == 0
    }
}

/// Messages of drains between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// See [`Ask`].
    Ask(Ask),
    /// See [`Report`].
    Report(Report),
    /// The drain is over; the VM may be sent work again once the list shows it live.
    Over(Ask),
}

/// What one node has in flight at each VM.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    in_flight: BTreeMap<id::Vm, u32>,
    listed: BTreeSet<id::Vm>,
    marked: BTreeMap<id::Vm, id::Operation>,
}

impl Ledger {
    /// Sets which VMs the platform's list or the operators' marks show as leaving.
    pub fn list<I>(&mut self, leaving: I)
    where
        I: IntoIterator<Item = id::Vm>,
    {
        self.listed = leaving.into_iter().collect();
    }

    /// Tells whether a VM must get nothing new.
    pub fn is_leaving(&self, vm: &id::Vm) -> bool {
        self.listed.contains(vm) || self.marked.contains_key(vm)
    }

    /// Counts a request in, right before its first byte is sent; false if the VM must get nothing new.
    pub fn start(&mut self, vm: &id::Vm) -> bool {
        if self.is_leaving(vm) {
            return false;
        }
        *self.in_flight.entry(vm.clone()).or_default() += 1;
        true
    }

    /// Counts a request out, when the VM can no longer be working on it.
    pub fn finish(&mut self, vm: &id::Vm) {
        if let Some(count) = self.in_flight.get_mut(vm) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(vm);
            }
        }
    }

    /// Requests in flight at a VM.
    pub fn in_flight(&self, vm: &id::Vm) -> u32 {
        self.in_flight.get(vm).copied().unwrap_or_default()
    }

    /// Answers [`Ask`]; the VM gets nothing new from here on.
    pub fn report(&mut self, ask: &Ask) -> Report {
        self.marked.insert(ask.vm.clone(), ask.operation.clone());
        Report {
            vm: ask.vm.clone(),
            operation: ask.operation.clone(),
            in_flight: self.in_flight(&ask.vm),
        }
    }

    /// Ends a drain; one that another operation has replaced stays.
    pub fn over(&mut self, ask: &Ask) {
        if self.marked.get(&ask.vm) == Some(&ask.operation) {
            self.marked.remove(&ask.vm);
        }
    }
}
