//! Drains of endpoints, confirmed by every node, and the graceful stop of an entry VM.
//!
//! * [`Tracker`]: counts a node's requests in flight at each VM, and holds which VMs are leaving;
//! * [`Report`]: a node's acknowledgement, collected from every node of the roster by the duty that owns the VM;
//! * [`stop`]: the graceful stop of the entry VM itself.

pub mod stop;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::id;

/// Asks a node to stop sending requests to a leaving VM, and how many it still has in flight there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// VM that is being drained.
    pub vm: id::Vm,
    /// Operation that drains the VM.
    pub operation: id::Operation,
}

/// A node's response to [`Ask`]: from then on the node sends the VM no new requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// VM that is being drained.
    pub vm: id::Vm,
    /// Operation that drains the VM.
    pub operation: id::Operation,
    /// Number of the node's requests that the VM is, or may be, still processing.
    pub in_flight: u32,
}

impl Report {
    /// Returns true if the node has no requests in flight at the VM; it also sends no new ones.
    pub fn is_drained(&self) -> bool {
        self.in_flight == 0
    }
}

/// A message about a drain between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Starts the drain on the receiving node, see [`Ask`].
    Ask(Ask),
    /// Responds to an [`Ask`], see [`Report`].
    Report(Report),
    /// Ends the drain; the VM can get requests again once the platform's list shows it as live.
    Over(Ask),
}

/// Tracks one node's requests in flight at each VM, and the VMs that get no new requests.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    in_flight: BTreeMap<id::Vm, u32>,
    leaving_vms: BTreeSet<id::Vm>,
    draining: BTreeMap<id::Vm, id::Operation>,
}

impl Tracker {
    /// Replaces the set of VMs that are leaving according to the platform's list or the operators' marks.
    pub fn set_leaving<I>(&mut self, leaving: I)
    where
        I: IntoIterator<Item = id::Vm>,
    {
        self.leaving_vms = leaving.into_iter().collect();
    }

    /// Returns true if the VM must not get new requests.
    pub fn is_leaving(&self, vm: &id::Vm) -> bool {
        self.leaving_vms.contains(vm) || self.draining.contains_key(vm)
    }

    /// Counts a request as in flight, or returns false if the VM must not get new requests.
    ///
    /// Called right before the first byte of the request is sent.
    pub fn start(&mut self, vm: &id::Vm) -> bool {
        if self.is_leaving(vm) {
            return false;
        }
        *self.in_flight.entry(vm.clone()).or_default() += 1;
        true
    }

    /// Removes a request from the count, once the VM can no longer be processing it.
    pub fn finish(&mut self, vm: &id::Vm) {
        if let Some(count) = self.in_flight.get_mut(vm) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(vm);
            }
        }
    }

    /// Returns the number of the node's requests in flight at the VM.
    pub fn in_flight(&self, vm: &id::Vm) -> u32 {
        self.in_flight.get(vm).copied().unwrap_or_default()
    }

    /// Marks the VM as draining and returns the response to [`Ask`]; the VM gets no new requests from now on.
    pub fn report(&mut self, ask: &Ask) -> Report {
        self.draining.insert(ask.vm.clone(), ask.operation.clone());
        Report {
            vm: ask.vm.clone(),
            operation: ask.operation.clone(),
            in_flight: self.in_flight(&ask.vm),
        }
    }

    /// Ends the drain, unless another operation has replaced it.
    pub fn end(&mut self, ask: &Ask) {
        if self.draining.get(&ask.vm) == Some(&ask.operation) {
            self.draining.remove(&ask.vm);
        }
    }
}
