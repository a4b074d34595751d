//! Holders of the duty: the shell around the real planner, with pauses and races.

use std::rc::Rc;

use rand::Rng;
use wasabiloft::fleet::{Input, Output, planner};
use wasabiloft::pool::row;
use wasabiloft::{clock, fleet, id, platform, roster};

use super::{Event, Without, World, table, vm};

/// A lease, and the margin after which another node takes over, in milliseconds.
pub const TAKE_OVER_MS: u64 = 10_000;

/// A holder, or one that still believes that it is.
pub struct Holder {
    /// The real decisions.
    pub planner: planner::Planner,
    /// The epoch of its lease.
    pub epoch: u64,
    /// Until when it is paused.
    pub paused_until_ms: u64,
    /// When it stops for good.
    pub dead_ms: u64,
    /// What its monotonic clock shows beyond the run's.
    pub offset_ms: u64,
    /// The list that it has seen last.
    pub view: Rc<platform::VmList>,
}

impl World {
    /// The newest node wins the duty.
    pub(super) fn add_holder(&mut self) {
        self.table.epoch += 1;
        let settings = fleet::Settings {
            duty: id::Duty::from("fleet"),
            spare_pool: id::Pool::from(super::fleet::SPARE),
            spare_at_once: self.options.fleet.spare_at_once,
            isolation_ms: vm::ISOLATION_MS,
        };
        let epoch = self.table.epoch;
        let holder = Holder {
            planner: planner::Planner::new(settings, epoch),
            epoch,
            paused_until_ms: 0,
            dead_ms: u64::MAX,
            offset_ms: self.rng.random_range(0..1_000_000_000),
            view: Rc::clone(&self.list),
        };
        self.holders.push(holder);
        let index = self.holders.len() - 1;
        let documents = self.documents.clone();
        self.give(index, Input::Documents(&documents));
        let list = Rc::clone(&self.list);
        if !list.vms.is_empty() {
            self.give(index, Input::List(&list));
        }
        self.give_roster();
        self.at(50, Event::Rows { holder: index });
    }

    /// Another node takes the duty over, when the table lets it.
    pub(super) fn take_over(&mut self, old: usize) {
        if self.table_out() {
            let wait_ms = self.table.out_until_ms - self.now_ms + TAKE_OVER_MS;
            self.at(wait_ms, Event::TakeOver { old });
            return;
        }
        if old + 1 == self.holders.len() {
            self.totals.takeovers += 1;
            self.add_holder();
        }
    }

    /// The holder stops or pauses; its successor races it when it wakes.
    pub(super) fn stop_holder(&mut self, lasts_ms: Option<u64>) {
        let old = self.holders.len() - 1;
        match lasts_ms {
            None => self.holders[old].dead_ms = self.now_ms,
            Some(lasts_ms) => {
                let wakes_ms = self.now_ms + lasts_ms;
                self.holders[old].paused_until_ms = wakes_ms;
                self.at(lasts_ms, Event::Wake { holder: old });
                if lasts_ms < TAKE_OVER_MS {
                    return;
                }
                self.holders[old].dead_ms = wakes_ms + 60_000;
            }
        }
        self.at(TAKE_OVER_MS, Event::TakeOver { old });
    }

    /// Tells whether a holder can act now.
    pub(super) fn awake(&self, holder: usize) -> bool {
        let state = &self.holders[holder];
        state.paused_until_ms <= self.now_ms && self.now_ms < state.dead_ms
    }

    /// For how long a holder's messages wait for it to wake; `None` if it never will.
    pub(super) fn wait_ms(&self, holder: usize) -> Option<u64> {
        let state = &self.holders[holder];
        let wait_ms = state.paused_until_ms.saturating_sub(self.now_ms);
        (self.now_ms + wait_ms < state.dead_ms).then_some(wait_ms)
    }

    pub(super) fn give_rows(&mut self, holder: usize) {
        if self.table_out() {
            let wait_ms = self.table.out_until_ms - self.now_ms + 10;
            self.at(wait_ms, Event::Rows { holder });
            return;
        }
        let pools = self.table.range(row::POOL_PREFIX);
        let vms = self.table.range(row::VM_PREFIX);
        let (pools, vms) = (&pools, &vms);
        self.give(holder, Input::Rows { pools, vms });
    }

    /// Gives all holders the roster of this moment.
    pub(super) fn give_roster(&mut self) {
        let nodes = self.nodes.iter().enumerate();
        let roster: Vec<roster::NodeId> = nodes
            .filter(|(_, node)| node.rostered)
            .map(|(index, node)| member(index, node.incarnation))
            .collect();
        for holder in 0..self.holders.len() {
            if self.awake(holder) {
                self.give(holder, Input::Roster(&roster));
            }
        }
    }

    pub(super) fn give_list(&mut self, list: &Rc<platform::VmList>) {
        for holder in 0..self.holders.len() {
            if self.awake(holder) && list.as_of_ms > self.holders[holder].view.as_of_ms {
                self.holders[holder].view = Rc::clone(list);
                let believed = self.believed(list);
                self.give(holder, Input::List(&believed));
            }
        }
    }

    /// What a run without domains makes of the list.
    fn believed(&self, list: &platform::VmList) -> platform::VmList {
        let mut list = list.clone();
        if self.options.without == Some(Without::DomainReserve) {
            for vm in &mut list.vms {
                vm.rack = id::Rack::from(vm.vm.as_str());
                vm.data_centre = id::DataCentre::from(vm.vm.as_str());
            }
        }
        list
    }

    /// Gives one input to a holder and carries out what it returns.
    pub(super) fn give(&mut self, holder: usize, input: Input<'_>) {
        let state = &mut self.holders[holder];
        let now = clock::Instant::from_ms(self.now_ms + state.offset_ms);
        let began = std::time::Instant::now();
        let outputs = state.planner.handle(now, input);
        self.totals.decided.0 += began.elapsed();
        for output in outputs {
            self.carry(holder, output);
        }
    }

    fn carry(&mut self, holder: usize, output: Output) {
        match output {
            Output::Commit { token, txn } => {
                let delay_ms = self.rng.random_range(2..20);
                let sent = table::Sent {
                    holder,
                    epoch: self.holders[holder].epoch,
                    token,
                    txn,
                    view: Rc::clone(&self.holders[holder].view),
                };
                self.at(delay_ms, Event::Apply(sent));
            }
            Output::Reload => self.at(20, Event::Rows { holder }),
            Output::Announce { vm, operation } => self.announce(holder, &vm, &operation),
            Output::Vacate { vm, operation } => {
                let delay_ms = self.rng.random_range(100..5_000);
                let event = Event::Vacated {
                    holder,
                    vm,
                    operation,
                };
                self.at(delay_ms, event);
            }
            Output::Effect { vm, effect, intent } => {
                let late = self.options.faults && self.rng.random_bool(0.05);
                let delay_ms = match late {
                    true => self.rng.random_range(1_000..20_000),
                    false => self.rng.random_range(2..50),
                };
                let call = vm::Call {
                    holder,
                    vm,
                    effect,
                    intent,
                };
                self.at(delay_ms, Event::Effect(call));
            }
            Output::Event(event) => self.count(event),
        }
    }

    fn announce(&mut self, holder: usize, vm: &id::Vm, operation: &id::Operation) {
        for node in 0..self.nodes.len() {
            let delay_ms = self.rng.random_range(2..50);
            let event = Event::Announced {
                holder,
                node,
                vm: vm.clone(),
                operation: operation.clone(),
            };
            self.at(delay_ms, event);
        }
    }

    fn count(&mut self, event: fleet::Event) {
        match event {
            fleet::Event::Paused { reason, .. } => {
                *self.totals.pauses.entry(reason.to_string()).or_default() += 1;
            }
            fleet::Event::DrainAbandoned { .. } => self.totals.abandoned += 1,
            fleet::Event::TxnRefused => self.totals.refused += 1,
            _ => {}
        }
    }
}

/// An entry VM in a roster.
pub fn member(index: usize, incarnation: u64) -> roster::NodeId {
    roster::NodeId {
        node: id::Node::from(format!("node-{index}")),
        incarnation: roster::Incarnation(incarnation),
    }
}
