//! Faults of a run: correlated failures, outages, pauses, cuts and edited documents.

use rand::Rng;
use rand::seq::IndexedRandom;
use wasabiloft::id;

use super::{Event, World};

/// No fault is injected after this moment, so that what can be finished is finished.
const LAST_MS: u64 = 40 * 60_000;

/// A fault.
#[derive(Clone, Copy)]
pub enum Fault {
    Vm,
    Rack,
    DataCentre,
    Outage,
    SlowList,
    HolderDies,
    HolderPauses,
    NodeCut,
    MinRaised,
    MinLowered,
    CapacityRaised,
    CapacityLowered,
}

/// All kinds, the commoner ones more than once.
const FAULTS: [Fault; 18] = [
    Fault::Vm,
    Fault::Vm,
    Fault::Vm,
    Fault::Rack,
    Fault::Rack,
    Fault::DataCentre,
    Fault::Outage,
    Fault::Outage,
    Fault::SlowList,
    Fault::HolderDies,
    Fault::HolderDies,
    Fault::HolderPauses,
    Fault::HolderPauses,
    Fault::NodeCut,
    Fault::MinRaised,
    Fault::MinLowered,
    Fault::CapacityRaised,
    Fault::CapacityLowered,
];

impl World {
    /// Draws the run's faults.
    pub(super) fn plan_faults(&mut self) {
        if !self.options.faults {
            return;
        }
        let count = self.rng.random_range(4..=12);
        for _ in 0..count {
            let at_ms = self.rng.random_range(1_000..LAST_MS);
            let fault = *FAULTS.choose(&mut self.rng).expect("there are faults");
            self.at(at_ms, Event::Fault(fault));
        }
    }

    /// A fault strikes.
    pub(super) fn strike(&mut self, fault: Fault) {
        self.totals.faults += 1;
        match fault {
            Fault::Vm => self.fail_where(|drawn, vm| drawn.vm == vm.vm),
            Fault::Rack => self.fail_where(|drawn, vm| drawn.rack == vm.rack),
            Fault::DataCentre => self.fail_where(|drawn, vm| drawn.data_centre == vm.data_centre),
            Fault::Outage => {
                let lasts_ms = self.rng.random_range(5_000..300_000);
                self.table.out_until_ms = self.now_ms + lasts_ms;
            }
            Fault::SlowList => {
                self.list_lag_ms = self.rng.random_range(5_000..90_000);
                self.list_lag_until_ms = self.now_ms + self.rng.random_range(30_000..300_000);
            }
            Fault::HolderDies => self.stop_holder(None),
            Fault::HolderPauses => {
                let lasts_ms = self.rng.random_range(1_000..60_000);
                self.stop_holder(Some(lasts_ms));
            }
            Fault::NodeCut => {
                let node = self.rng.random_range(0..self.nodes.len());
                self.cut_node(node);
            }
            Fault::MinRaised
            | Fault::MinLowered
            | Fault::CapacityRaised
            | Fault::CapacityLowered => self.edit(fault),
        }
    }

    fn fail_where<F>(&mut self, together: F)
    where
        F: Fn(&wasabiloft::platform::Vm, &wasabiloft::platform::Vm) -> bool,
    {
        let names: Vec<id::Vm> = self.vms.keys().cloned().collect();
        let drawn = names.choose(&mut self.rng).expect("a fleet has VMs");
        let drawn = self.vms[drawn].listed.clone();
        let hit = names
            .iter()
            .filter(|name| together(&drawn, &self.vms[*name].listed));
        let hit: Vec<id::Vm> = hit.cloned().collect();
        let lasts_ms = match self.rng.random_bool(0.1) {
            true => None,
            false => Some(self.rng.random_range(30_000..1_800_000)),
        };
        for name in hit {
            self.fail(&name, lasts_ms);
        }
    }

    /// An operator edits a document.
    fn edit(&mut self, fault: Fault) {
        let index = self.rng.random_range(0..self.documents.len());
        let document = &mut self.documents[index];
        let min_runners = &mut document.availability.min_runners;
        let runners = &mut document.capacity.runners;
        match fault {
            Fault::MinRaised => *min_runners = (*min_runners + 1).min(*runners),
            Fault::MinLowered => *min_runners = (*min_runners - 1).max(1),
            Fault::CapacityRaised => *runners += 1,
            Fault::CapacityLowered => {
                *runners = (*runners - 1).max(1);
                *min_runners = (*min_runners).min(*runners);
            }
            _ => return,
        }
        self.give_documents();
    }

    /// Gives all holders the documents of this moment.
    pub(super) fn give_documents(&mut self) {
        let documents = self.documents.clone();
        for holder in 0..self.holders.len() {
            if self.awake(holder) {
                let input = wasabiloft::fleet::Input::Documents(&documents);
                self.give(holder, input);
            }
        }
    }
}
