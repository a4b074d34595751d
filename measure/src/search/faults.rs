//! Faults, and the lives and registry entries of the workers.

use wasabiloft::batch::{pools, waves, worker_state};
use wasabiloft::id;
use wasabiloft::platform::Resources;

use crate::search::history::{Cut, Fault, Kind};
use crate::search::node::Timer;
use crate::search::runner::Life;
use crate::search::shell;
use crate::search::world::{Entry, Event, Fate, POOL, Split, World};

/// Interval at which a worker writes its registry entry, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;
/// An entry that isn't written for this long is removed, in milliseconds.
const ENTRY_EXPIRY_MS: u64 = 3 * HEARTBEAT_MS;
/// Time until a leader learns of a change in the registry, in milliseconds.
const REGISTRY_DELAY_MS: u64 = 60;
/// Time until a leader learns of an accepted job, in milliseconds.
pub(super) const JOB_DELAY_MS: u64 = 10;
/// Announced time from the registration of a stop to its begin, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// Time for which a machine is unavailable for a move, in milliseconds.
const MOVE_MS: u64 = 1_500;
/// Deadline of a maintenance wave, in milliseconds.
const WAVE_DEADLINE_MS: u64 = 60_000;
/// The other pool.
const OTHER_POOL: &str = "ledger";

impl World {
    pub(super) fn apply(&mut self, fault: &Fault) {
        self.note(|| format!("* {:?}", fault.kind));
        let now_ms = self.now_ms;
        match fault.kind.clone() {
            Kind::Freeze {
                node,
                for_ms,
                first,
            } => {
                let state = &mut self.nodes[node];
                state.frozen_until_ms = state.frozen_until_ms.max(now_ms + for_ms);
                state.first = first;
                state.frozen_for_ms = for_ms;
                self.push_timer(node, now_ms, Timer::Wake);
            }
            Kind::Restart { node, for_ms } => self.restart_node(node, for_ms),
            Kind::Stop { node, for_ms } => self.stop_node(node, now_ms + for_ms),
            Kind::StepDown { node } => self.release_duty(node, "steps down"),
            Kind::Split {
                node,
                other,
                how,
                for_ms,
            } => self.splits.push(Split {
                node,
                other,
                how,
                until_ms: now_ms + for_ms,
            }),
            Kind::Partition {
                nodes,
                vms,
                writes_only,
                for_ms,
            } => self.partition(&nodes, &vms, writes_only, now_ms + for_ms),
            Kind::WritesRefused { node, for_ms } => {
                self.nodes[node].writes_refused_until_ms = now_ms + for_ms;
            }
            Kind::StoreSlow {
                node,
                delay_ms,
                for_ms,
            } => self.nodes[node].store_slow = (delay_ms, now_ms + for_ms),
            Kind::Cut {
                node,
                vm,
                how,
                for_ms,
            } => self.cut(node, vm, how, for_ms, false),
            Kind::Isolate { vm, how, for_ms } => self.cut(None, vm, how, for_ms, true),
            Kind::StoreAway { node, for_ms } => self.cut_store(node, now_ms + for_ms),
            Kind::Crash {
                vm,
                silent,
                for_ms,
                same_id,
            } => {
                if let Some(life) = &self.vms[vm].life {
                    self.vms[vm].next_id = same_id.then(|| life.id.clone());
                    self.end_life(vm, pools::State::Down, Some(for_ms));
                    self.vms[vm].is_silent = silent;
                    if !silent {
                        self.reset_calls(None, vm);
                    }
                }
            }
            Kind::Drain { vm, extra_ms } => {
                if let Some(life) = &mut self.vms[vm].life
                    && !life.leaving
                {
                    life.leaving = true;
                    let number = life.number;
                    self.write_entry(vm);
                    let at_ms = now_ms + DRAIN_MS + extra_ms;
                    self.push(at_ms, Event::Exit { vm, life: number });
                }
            }
            Kind::Unlist { vm } => {
                if let Some(life) = &self.vms[vm].life {
                    let worker = life.id.clone();
                    self.remove_entry(&worker);
                }
            }
            Kind::CloudAway { executes, for_ms } => {
                self.cloud.away = Some((executes, now_ms + for_ms));
            }
            Kind::CloudSlow { delay_ms, for_ms } => {
                self.cloud.slow = Some((delay_ms, now_ms + for_ms));
            }
            Kind::Wave { vm } => {
                let number = self.waves.len() as u64 + 1;
                self.waves.push(waves::Request {
                    number,
                    vms: vec![self.vms[vm].id.clone()],
                    deadline_ms: WAVE_DEADLINE_MS,
                    at_once_max: 1,
                });
            }
            Kind::Move { vm } => {
                let to = if self.vms[vm].pool.as_str() == POOL {
                    OTHER_POOL
                } else {
                    POOL
                };
                let id = self.vms[vm].id.clone();
                self.wanted.insert(id, id::Service::new(to));
            }
            Kind::HoldUp {
                message,
                vm,
                for_ms,
            } => self.fates.push(Fate {
                message,
                vm,
                hold_up_ms: Some(for_ms),
            }),
            Kind::Lose { message, vm } => self.fates.push(Fate {
                message,
                vm,
                hold_up_ms: None,
            }),
        }
    }

    fn partition(&mut self, nodes: &[usize], vms: &[usize], writes_only: bool, until_ms: u64) {
        let for_ms = until_ms - self.now_ms;
        for node in 0..self.nodes.len() {
            let is_inside = nodes.contains(&node);
            if is_inside && writes_only {
                self.nodes[node].writes_refused_until_ms = until_ms;
            } else if is_inside {
                self.cut_store(node, until_ms);
            }
            for vm in 0..self.vms.len() {
                if vms.contains(&vm) != is_inside {
                    self.cut(
                        Some(node),
                        vm,
                        Cut::Silent,
                        for_ms,
                        !is_inside && !writes_only,
                    );
                }
            }
            for other in (0..node).filter(|other| nodes.contains(other) != is_inside) {
                self.splits.push(Split {
                    node,
                    other,
                    how: Cut::Silent,
                    until_ms,
                });
            }
        }
    }

    pub(super) fn submit(&mut self, job: u64) {
        let setup = &self.history.setup;
        self.store.submit(job, setup.tasks, setup.task_ms);
        if job < setup.jobs {
            self.push(self.now_ms + setup.every_ms, Event::Submit(job + 1));
        }
        for node in 0..self.nodes.len() {
            let at_ms = self.nodes[node].store_away_until_ms.max(self.now_ms) + JOB_DELAY_MS;
            self.push(at_ms, Event::Job { node, job });
        }
    }

    pub(super) fn begin_life(&mut self, vm: usize, clock_ms: u64) {
        self.lives += 1;
        let number = self.lives;
        let state = &mut self.vms[vm];
        let id = state.next_id.take();
        let id = id.unwrap_or_else(|| id::Worker::new(&format!("w{vm}.{number}")));
        let setup = &self.history.setup;
        state.life = Some(Life::new(number, id.clone(), self.now_ms, clock_ms, setup));
        self.note(|| format!("worker {id} begins on vm{vm}"));
        // The heartbeats of the workers are spread over the interval.
        let phase_ms = if number as usize <= self.history.setup.vms {
            number * 400
        } else {
            HEARTBEAT_MS
        };
        self.write_entry(vm);
        let at_ms = self.now_ms + phase_ms;
        self.push(at_ms, Event::Heartbeat { vm, life: number });
    }

    /// Ends a worker; the machine is back after `back_ms`, if it comes back.
    pub fn end_life(&mut self, vm: usize, state: pools::State, back_ms: Option<u64>) {
        let Some(life) = self.vms[vm].life.take() else {
            return;
        };
        self.note(|| format!("worker {} ends on vm{vm}: {state:?}", life.id));
        let machine = &mut self.vms[vm];
        machine.state = state;
        machine.change += 1;
        machine.held.clear();
        machine.is_silent = false;
        let change = machine.change;
        if let Some(back_ms) = back_ms {
            self.push(self.now_ms + back_ms, Event::Back { vm, change });
        }
    }

    /// Ends a worker by a command; its entry is removed.
    pub fn end_life_by_command(&mut self, vm: usize, command: &shell::Command) {
        let Some(worker) = self.vms[vm].life.as_ref().map(|life| life.id.clone()) else {
            return;
        };
        match command {
            shell::Command::Move { to } => {
                self.vms[vm].next_pool = Some(to.clone());
                self.end_life(vm, pools::State::Moving, Some(MOVE_MS));
            }
            shell::Command::Upkeep { .. } => {
                self.end_life(vm, pools::State::Upkeep, Some(shell::MAINTENANCE_MS));
            }
        }
        self.reset_calls(None, vm);
        self.remove_entry(&worker);
    }

    pub(super) fn exit(&mut self, vm: usize, life: u64) {
        let current = self.vms[vm].life.as_ref();
        let Some(current) = current.filter(|current| current.number == life) else {
            return;
        };
        let worker = current.id.clone();
        self.end_life(vm, pools::State::Down, None);
        self.reset_calls(None, vm);
        self.remove_entry(&worker);
    }

    pub(super) fn heartbeat(&mut self, vm: usize, life: u64) {
        let current = self.vms[vm].life.as_ref().map(|life| life.number);
        if current != Some(life) {
            return;
        }
        let (now_ms, cuts) = (self.now_ms, &self.cuts);
        let is_cut = cuts
            .iter()
            .any(|cut| cut.vm == vm && cut.from_store && now_ms < cut.until_ms);
        if !is_cut {
            self.write_entry(vm);
        }
        self.push(now_ms + HEARTBEAT_MS, Event::Heartbeat { vm, life });
    }

    pub(super) fn write_entry(&mut self, vm: usize) {
        let machine = &self.vms[vm];
        let Some(life) = &machine.life else { return };
        let listing = life.listing(&machine.pool, vm);
        let (worker, written_ms) = (life.id.clone(), self.now_ms);
        let entry = Entry {
            listing: listing.clone(),
            written_ms,
        };
        self.entries.insert(worker.clone(), entry);
        let expiry = Event::EntryExpiry {
            worker: worker.clone(),
            written_ms,
        };
        self.push(written_ms + ENTRY_EXPIRY_MS, expiry);
        self.publish(&worker, Some(listing));
    }

    pub(super) fn remove_entry(&mut self, worker: &id::Worker) {
        if self.entries.remove(worker).is_some() {
            self.note(|| format!("entry of {worker} removed"));
            self.publish(worker, None);
        }
    }

    pub(super) fn publish(&mut self, worker: &id::Worker, listing: Option<worker_state::Listing>) {
        for node in 0..self.nodes.len() {
            let at_ms = self.nodes[node].store_away_until_ms.max(self.now_ms) + REGISTRY_DELAY_MS;
            let event = Event::Registry {
                node,
                worker: worker.clone(),
                listing: listing.clone(),
            };
            self.push(at_ms, event);
        }
    }

    /// Returns all registry entries.
    pub fn listings(&self) -> Vec<worker_state::Listing> {
        let entries = self.entries.values();
        entries.map(|entry| entry.listing.clone()).collect()
    }

    /// Returns the list of machines.
    pub fn machines(&self) -> Vec<pools::Machine> {
        let machines = self.vms.iter().map(|vm| pools::Machine {
            vm: vm.id.clone(),
            pool: vm.pool.clone(),
            state: vm.state,
            data_centre: id::DataCentre::new("z0"),
            rack: None,
            kind: String::new(),
            size: Resources {
                cpu_milli: self.history.setup.cores * 1_000,
                memory_mib: 16_000,
                accelerators: 0,
            },
            worker: vm.life.as_ref().map(|life| life.id.clone()),
        });
        machines.collect()
    }
}
