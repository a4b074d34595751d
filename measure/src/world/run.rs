//! The run's loop: one event after the other.

use std::rc::Rc;

use rand::Rng;
use wasabiloft::fleet::Input;
use wasabiloft::platform;

use super::{Event, START_MS, World, holder};

impl World {
    /// Runs until every live VM has been maintained, or the limit.
    pub fn run(&mut self) {
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms > self.options.limit_ms {
                break;
            }
            self.now_ms = at_ms;
            let ticks = matches!(event, Event::Tick);
            self.step(event);
            if ticks && self.options.life.is_none() && self.finished() {
                break;
            }
        }
        self.totals.unfinished = self.unfinished();
    }

    fn finished(&mut self) -> bool {
        let quiet = self.check_finished();
        if quiet && self.totals.finished_ms.is_none() {
            self.totals.finished_ms = Some(self.now_ms);
        }
        quiet
    }

    fn check_finished(&self) -> bool {
        let faults = self
            .events
            .values()
            .any(|event| matches!(event, Event::Fault(_)));
        !faults && self.now_ms > self.options.list_ms && self.unfinished() == 0
    }

    fn step(&mut self, event: Event) {
        let changes = matches!(
            event,
            Event::Apply(_)
                | Event::Effect(_)
                | Event::BootEnds { .. }
                | Event::FailureEnds { .. }
                | Event::Fault(_)
                | Event::Fails(..)
        );
        match event {
            Event::Tick => self.tick(),
            Event::List => self.make_list(),
            Event::ListArrives(list) => {
                self.give_list(&list);
                if list.as_of_ms > self.list.as_of_ms {
                    self.list = list;
                }
            }
            Event::Apply(sent) => self.apply(sent),
            Event::Effect(call) => self.effect(call),
            Event::Announced {
                holder,
                node,
                vm,
                operation,
            } => self.announced(holder, node, vm, operation),
            Event::BootEnds { vm, boot } => self.boot_ends(&vm, boot),
            Event::FailureEnds { vm, failure } => self.failure_ends(&vm, failure),
            Event::Fault(fault) => self.strike(fault),
            Event::Fails(vm, lasts_ms) => self.fail(&vm, Some(lasts_ms)),
            Event::Edited(document, runners) => self.edited(document, runners),
            Event::Demand => self.tell_demand(),
            Event::TakeOver { old } => self.take_over(old),
            Event::Wake { holder } => {
                if self.awake(holder) {
                    let documents = self.documents.clone();
                    self.give(holder, Input::Documents(&documents));
                    self.give_roster();
                }
            }
            Event::NodeRemoved(node) => {
                self.nodes[node].rostered = false;
                self.give_roster();
            }
            Event::NodeReplaced(node) => {
                self.replace_node(node);
                self.give_roster();
            }
            told @ (Event::Settled { .. }
            | Event::Rows { .. }
            | Event::EffectDone { .. }
            | Event::Acknowledged { .. }
            | Event::Vacated { .. }) => self.tell(told),
        }
        if changes {
            self.check_pools();
        }
    }

    /// A message reaches a holder, at once or when it wakes.
    fn tell(&mut self, event: Event) {
        let holder = match &event {
            Event::Settled { holder, .. }
            | Event::Rows { holder }
            | Event::EffectDone { holder, .. }
            | Event::Acknowledged { holder, .. }
            | Event::Vacated { holder, .. } => *holder,
            _ => return,
        };
        match self.wait_ms(holder) {
            None => return,
            Some(0) => {}
            Some(wait_ms) => {
                self.at(wait_ms, event);
                return;
            }
        }
        match event {
            Event::Settled { token, settled, .. } => {
                let settled = &settled;
                self.give(holder, Input::Settled { token, settled });
            }
            Event::Rows { .. } => self.give_rows(holder),
            Event::EffectDone { vm, operation, .. } => {
                let (vm, operation) = (&vm, &operation);
                self.give(holder, Input::EffectDone { vm, operation });
            }
            Event::Acknowledged {
                node,
                incarnation,
                vm,
                operation,
                ..
            } => {
                let input = Input::Acknowledged {
                    vm: &vm,
                    operation: &operation,
                    member: &holder::member(node, incarnation),
                };
                self.give(holder, input);
            }
            Event::Vacated { vm, operation, .. } => {
                self.vms.get_mut(&vm).expect("it was asked for").jobs = false;
                let (vm, operation) = (&vm, &operation);
                self.give(holder, Input::Vacated { vm, operation });
            }
            _ => {}
        }
    }

    fn tick(&mut self) {
        self.totals.decided.1 += 1;
        if self.options.life.is_some() {
            self.add_up();
        }
        for holder in 0..self.holders.len() {
            if self.awake(holder) {
                self.give(holder, Input::Tick);
            }
        }
        self.at(self.options.tick_ms, Event::Tick);
    }

    fn make_list(&mut self) {
        let vms = self.vms.values().map(|vm| vm.listed.clone());
        let list = platform::VmList {
            as_of_ms: START_MS + self.now_ms,
            vms: vms.collect(),
        };
        let lag_ms = match self.now_ms < self.list_lag_until_ms {
            true => self.list_lag_ms,
            false => self.rng.random_range(200..2_000),
        };
        self.at(lag_ms, Event::ListArrives(Rc::new(list)));
        self.at(self.options.list_ms, Event::List);
    }
}
