//! A simulation of entry VMs that transfer slots over a faulty network and that counts violations of the runners'
//! limits.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wasabiloft::{clock, id, roster, slots};

/// Time without proof of membership after which a node stops serving, in milliseconds.
const ISOLATION_MS: u64 = 500;
/// Maximum duration of a request, in milliseconds.
const REQUEST_MAX_MS: u64 = 400;
/// Time between two steps of the simulation, in milliseconds.
const STEP_MS: u64 = 10;
/// Slots of each runner.
const SLOTS: u32 = 8;

/// Which protection is disabled, to show that the assertions detect its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protection {
    AllEnabled,
    NoIsolation,
    NoDuplicateCheck,
    NoWaitForLapse,
}

/// An event injected into the simulation.
#[derive(Clone, Debug)]
pub enum Action {
    Demand(usize, u32),
    Pause(usize, u64),
    Crash(usize),
    Leave(usize),
    Join,
    AddRunner,
    RemoveRunner(usize),
    Faults {
        loss_percent: u32,
        duplicate_percent: u32,
        delay_ms: u64,
    },
    Wait(u64),
}

struct Node {
    me: roster::NodeId,
    allocator: slots::Allocator,
    demand: u32,
    paused_until: u64,
    alive: bool,
    serving_until: u64,
    running: Vec<(u64, slots::Token)>,
}

struct Delivery {
    at: u64,
    from: roster::NodeId,
    to: roster::NodeId,
    message: slots::Message,
}

pub struct Simulation {
    now: u64,
    rng: SmallRng,
    protection: Protection,
    nodes: Vec<Node>,
    deliveries: Vec<Delivery>,
    roster: slots::Roster,
    runners: Vec<id::Vm>,
    id_counter: u64,
    busy_until: BTreeMap<(id::Vm, u32), u64>,
    faults: (u32, u32, u64),
    pub double_uses: u64,
}

impl Simulation {
    pub fn new(seed: u64, nodes: usize, protection: Protection) -> Self {
        let mut simulation = Self {
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            protection,
            nodes: Vec::new(),
            deliveries: Vec::new(),
            roster: slots::Roster::default(),
            runners: vec![id::Vm::new("vm-0"), id::Vm::new("vm-1")],
            id_counter: 2,
            busy_until: BTreeMap::new(),
            faults: (0, 0, 5),
            double_uses: 0,
        };
        for _ in 0..nodes {
            simulation.start_node();
        }
        let members = simulation
            .nodes
            .iter()
            .map(|node| node.me.clone())
            .collect();
        simulation.change_roster(members);
        simulation
    }

    pub fn apply(&mut self, action: &Action) {
        match action {
            Action::Demand(node, demand) => self.node(*node).demand = *demand,
            Action::Pause(node, ms) => {
                let until = self.now + ms;
                self.node(*node).paused_until = until;
            }
            Action::Crash(node) => self.node(*node).alive = false,
            Action::Leave(node) => {
                let me = self.node(*node).me.clone();
                self.remove(&me);
            }
            Action::Join => self.join(),
            Action::AddRunner => {
                self.runners
                    .push(id::Vm::from(format!("vm-{}", self.id_counter)));
                self.id_counter += 1;
            }
            Action::RemoveRunner(index) if self.runners.len() > 1 => {
                self.runners.remove(index % self.runners.len());
            }
            Action::RemoveRunner(_) => {}
            Action::Faults {
                loss_percent,
                duplicate_percent,
                delay_ms,
            } => {
                self.faults = (*loss_percent, *duplicate_percent, *delay_ms);
            }
            Action::Wait(ms) => self.run(*ms),
        }
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.remove_expired();
            self.deliver();
            for index in 0..self.nodes.len() {
                if self.nodes[index].alive && self.nodes[index].paused_until <= self.now {
                    self.step(index);
                }
            }
        }
    }

    /// Ends all faults and runs long enough for lost tokens to be recovered.
    pub fn recover(&mut self) {
        self.faults = (0, 0, 5);
        for node in &mut self.nodes {
            node.paused_until = 0;
        }
        self.run(12_000);
    }

    pub fn held(&self) -> u32 {
        let members = self
            .nodes
            .iter()
            .filter(|node| node.alive && self.is_member(&node.me));
        members.map(|node| node.allocator.held()).sum()
    }

    pub fn held_by(&self, index: usize) -> u32 {
        self.nodes[index].allocator.held()
    }

    pub fn total(&self) -> u32 {
        self.runners.len() as u32 * SLOTS
    }

    pub fn duplicate_tokens(&self) -> u64 {
        let counters = self.nodes.iter().map(|node| node.allocator.counters());
        counters.map(|counters| counters.duplicate_tokens).sum()
    }

    fn node(&mut self, index: usize) -> &mut Node {
        let count = self.nodes.len();
        &mut self.nodes[index % count]
    }

    fn is_member(&self, member: &roster::NodeId) -> bool {
        self.roster.members.contains(member)
    }

    fn start_node(&mut self) {
        self.id_counter += 1;
        let me = roster::NodeId {
            node: id::Node::from(format!("entry-{}", self.id_counter % 5)),
            incarnation: roster::Incarnation(self.id_counter),
        };
        let settings = slots::Settings {
            longest_request_ms: REQUEST_MAX_MS,
            ..slots::Settings::default()
        };
        self.nodes.push(Node {
            allocator: slots::Allocator::new(me.clone(), settings),
            me,
            demand: 2,
            paused_until: 0,
            alive: true,
            serving_until: 0,
            running: Vec::new(),
        });
    }

    fn join(&mut self) {
        self.start_node();
        let mut members = self.roster.members.clone();
        members.push(self.nodes[self.nodes.len() - 1].me.clone());
        self.change_roster(members);
    }

    fn remove(&mut self, member: &roster::NodeId) {
        let mut members = self.roster.members.clone();
        members.retain(|entry| entry != member);
        if !members.is_empty() {
            self.change_roster(members);
        }
    }

    fn change_roster(&mut self, members: Vec<roster::NodeId>) {
        let old = std::mem::take(&mut self.roster.members);
        self.roster.departed.extend(old);
        self.roster
            .departed
            .retain(|member| !members.contains(member));
        self.roster.members = members;
        self.roster.version += 1;
    }

    fn runner_specs(&self) -> Vec<slots::RunnerSpec> {
        let runners = self.runners.iter();
        runners
            .map(|vm| slots::RunnerSpec {
                vm: vm.clone(),
                slots: SLOTS,
            })
            .collect()
    }

    /// Removes silent members whose serving period is over from the roster, and reports them as lapsed to all nodes.
    fn remove_expired(&mut self) {
        let is_expired = |node: &&Node| {
            let silent = !node.alive || node.paused_until > self.now;
            silent
                && (node.serving_until <= self.now || self.protection == Protection::NoWaitForLapse)
        };
        let expired: Vec<_> = self
            .nodes
            .iter()
            .filter(is_expired)
            .map(|node| node.me.clone())
            .collect();
        for member in &expired {
            if self.is_member(member) {
                self.remove(member);
            }
        }
        let members = self.roster.members.clone();
        let has_lapsed = |node: &&Node| {
            let stopped = !node.alive || node.serving_until <= self.now;
            !members.contains(&node.me) && (stopped || expired.contains(&node.me))
        };
        let lapsed: Vec<_> = self
            .nodes
            .iter()
            .filter(has_lapsed)
            .map(|node| node.me.clone())
            .collect();
        for index in 0..self.nodes.len() {
            for member in &lapsed {
                self.input(index, slots::Input::Lapsed(member.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<Delivery> = self
            .deliveries
            .extract_if(.., |delivery| delivery.at <= now)
            .collect();
        for delivery in due {
            let to = self
                .nodes
                .iter()
                .position(|node| node.me == delivery.to && node.alive);
            let Some(index) = to else {
                continue;
            };
            if self.nodes[index].paused_until > now {
                self.deliveries.push(Delivery {
                    at: now + STEP_MS,
                    ..delivery
                });
                continue;
            }
            let Delivery { from, message, .. } = delivery;
            self.input(index, slots::Input::Message { from, message });
        }
    }

    fn step(&mut self, index: usize) {
        if self.is_member(&self.nodes[index].me) {
            let until = match self.protection {
                Protection::NoIsolation => u64::MAX,
                _ => self.now + ISOLATION_MS,
            };
            self.use_tokens(index);
            self.nodes[index].serving_until = self.now + ISOLATION_MS;
            let until = clock::Instant::from_ms(until);
            self.input(index, slots::Input::Serving { until });
        } else {
            self.use_tokens(index);
        }
        self.input(index, slots::Input::Roster(self.roster.clone()));
        let runners = self.runner_specs();
        self.input(index, slots::Input::Runners(runners));
        let demand = self.nodes[index].demand * 1_000;
        let demand = slots::Demand {
            need_milli: vec![demand],
            used_milli: vec![0],
        };
        self.input(index, slots::Input::Demand(demand));
        self.input(index, slots::Input::Tick);
    }

    /// Starts and ends requests, and counts uses of a slot that is already in use.
    fn use_tokens(&mut self, index: usize) {
        let now = clock::Instant::from_ms(self.now);
        let node = &mut self.nodes[index];
        for (_, token) in node.running.extract_if(.., |(end, _)| *end <= now.as_ms()) {
            node.allocator.release(token);
        }
        self.input(index, slots::Input::Waiting(0));
        let node = &mut self.nodes[index];
        let wanted = (node.demand as usize).saturating_sub(node.running.len());
        for _ in 0..wanted {
            let keys: Vec<_> = node
                .allocator
                .runners()
                .filter(|key| node.allocator.free_of(*key) > 0)
                .collect();
            let Some(key) = keys.first().copied() else {
                return;
            };
            let Some(token) = node.allocator.acquire(now, key) else {
                return;
            };
            let vm = node
                .allocator
                .vm(key)
                .expect("an acquired token belongs to a known runner")
                .clone();
            let end = self.now + self.rng.random_range(1..=REQUEST_MAX_MS);
            let slot = (vm, token.slot());
            let in_use = self
                .busy_until
                .insert(slot, end)
                .is_some_and(|until| until > self.now);
            self.double_uses += u64::from(in_use);
            node.running.push((end, token));
        }
    }

    fn input(&mut self, index: usize, input: slots::Input) {
        let mut outputs = Vec::new();
        let now = clock::Instant::from_ms(self.now);
        let node = &mut self.nodes[index];
        if !node.alive || node.paused_until > self.now {
            return;
        }
        node.allocator.handle(now, input, &mut outputs);
        let from = node.me.clone();
        for slots::Output::Send { to, message } in outputs {
            self.send(&from, &to, message);
        }
    }

    fn send(&mut self, from: &roster::NodeId, to: &roster::NodeId, message: slots::Message) {
        let (loss_percent, duplicate_percent, delay_ms) = self.faults;
        let copies = 1 + usize::from(self.rng.random_ratio(duplicate_percent, 100));
        for copy in 0..copies {
            if self.rng.random_ratio(loss_percent, 100) {
                continue;
            }
            let mut message = message.clone();
            if let slots::Message::Transfer(transfer) = &mut message
                && copy > 0
                && self.protection == Protection::NoDuplicateCheck
            {
                transfer.serial += 1_000_000 + self.now;
            }
            let at = self.now + self.rng.random_range(1..=delay_ms.max(1));
            self.deliveries.push(Delivery {
                at,
                from: from.clone(),
                to: to.clone(),
                message,
            });
        }
    }
}
