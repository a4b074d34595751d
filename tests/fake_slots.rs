//! A small fake of entry nodes that pass slots over a faulty network, with the runners' limit asserted.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wasabiloft::{clock, id, roster, slots};

/// Time without proof after which a node stops serving.
const ISOLATION_MS: u64 = 500;
/// The longest that a request runs.
const LONGEST_MS: u64 = 400;
/// Length of a step.
const STEP_MS: u64 = 10;
/// Slots of a runner.
const SLOTS: u32 = 8;

/// Which protection is switched off, to show that the assertions see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protection {
    AllOn,
    NoIsolation,
    NoRepeatCheck,
    NoWaitForLapse,
}

/// One disturbance.
#[derive(Clone, Debug)]
pub enum Action {
    Demand(usize, u32),
    Pause(usize, u64),
    Crash(usize),
    Leave(usize),
    Join,
    AddRunner,
    DropRunner(usize),
    Faults {
        lost: u32,
        repeated: u32,
        delay_ms: u64,
    },
    Wait(u64),
}

struct Node {
    me: roster::NodeId,
    ledger: slots::Ledger,
    demand: u32,
    paused_until: u64,
    alive: bool,
    serving_until: u64,
    running: Vec<(u64, slots::Token)>,
}

struct Flight {
    at: u64,
    from: roster::NodeId,
    to: roster::NodeId,
    message: slots::Message,
}

pub struct World {
    now: u64,
    rng: SmallRng,
    protection: Protection,
    nodes: Vec<Node>,
    flights: Vec<Flight>,
    roster: slots::Roster,
    runners: Vec<id::Vm>,
    born: u64,
    busy: BTreeMap<(id::Vm, u32), u64>,
    faults: (u32, u32, u64),
    pub overruns: u64,
}

impl World {
    pub fn new(seed: u64, nodes: usize, protection: Protection) -> Self {
        let mut world = Self {
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            protection,
            nodes: Vec::new(),
            flights: Vec::new(),
            roster: slots::Roster::default(),
            runners: vec![id::Vm::new("vm-0"), id::Vm::new("vm-1")],
            born: 2,
            busy: BTreeMap::new(),
            faults: (0, 0, 5),
            overruns: 0,
        };
        for _ in 0..nodes {
            world.start_node();
        }
        let members = world.nodes.iter().map(|node| node.me.clone()).collect();
        world.change_roster(members);
        world
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
                self.runners.push(id::Vm::from(format!("vm-{}", self.born)));
                self.born += 1;
            }
            Action::DropRunner(index) if self.runners.len() > 1 => {
                self.runners.remove(index % self.runners.len());
            }
            Action::DropRunner(_) => {}
            Action::Faults {
                lost,
                repeated,
                delay_ms,
            } => {
                self.faults = (*lost, *repeated, *delay_ms);
            }
            Action::Wait(ms) => self.run(*ms),
        }
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.evict();
            self.deliver();
            for index in 0..self.nodes.len() {
                if self.nodes[index].alive && self.nodes[index].paused_until <= self.now {
                    self.step(index);
                }
            }
        }
    }

    /// Ends all faults and waits until lost tokens must be back.
    pub fn heal(&mut self) {
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
        members.map(|node| node.ledger.held()).sum()
    }

    pub fn held_by(&self, index: usize) -> u32 {
        self.nodes[index].ledger.held()
    }

    pub fn total(&self) -> u32 {
        self.runners.len() as u32 * SLOTS
    }

    pub fn doubled(&self) -> u64 {
        let counters = self.nodes.iter().map(|node| node.ledger.counters());
        counters.map(|counters| counters.doubled).sum()
    }

    fn node(&mut self, index: usize) -> &mut Node {
        let count = self.nodes.len();
        &mut self.nodes[index % count]
    }

    fn is_member(&self, member: &roster::NodeId) -> bool {
        self.roster.members.contains(member)
    }

    fn start_node(&mut self) {
        self.born += 1;
        let me = roster::NodeId {
            node: id::Node::from(format!("entry-{}", self.born % 5)),
            incarnation: roster::Incarnation(self.born),
        };
        let settings = slots::Settings {
            longest_request_ms: LONGEST_MS,
            ..slots::Settings::default()
        };
        self.nodes.push(Node {
            ledger: slots::Ledger::new(me.clone(), settings),
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

    /// Removes members whose isolation has passed, and tells the others that they have lapsed.
    fn evict(&mut self) {
        let late = |node: &&Node| {
            let silent = !node.alive || node.paused_until > self.now;
            silent
                && (node.serving_until <= self.now || self.protection == Protection::NoWaitForLapse)
        };
        let gone: Vec<_> = self
            .nodes
            .iter()
            .filter(late)
            .map(|node| node.me.clone())
            .collect();
        for member in &gone {
            if self.is_member(member) {
                self.remove(member);
            }
        }
        let members = self.roster.members.clone();
        let over = |node: &&Node| {
            let stopped = !node.alive || node.serving_until <= self.now;
            !members.contains(&node.me) && (stopped || gone.contains(&node.me))
        };
        let lapsed: Vec<_> = self
            .nodes
            .iter()
            .filter(over)
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
        let due: Vec<Flight> = self
            .flights
            .extract_if(.., |flight| flight.at <= now)
            .collect();
        for flight in due {
            let to = self
                .nodes
                .iter()
                .position(|node| node.me == flight.to && node.alive);
            let Some(index) = to else {
                continue;
            };
            if self.nodes[index].paused_until > now {
                self.flights.push(Flight {
                    at: now + STEP_MS,
                    ..flight
                });
                continue;
            }
            let Flight { from, message, .. } = flight;
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

    /// Starts and ends requests, and checks that no slot of a runner is used twice.
    fn use_tokens(&mut self, index: usize) {
        let now = clock::Instant::from_ms(self.now);
        let node = &mut self.nodes[index];
        for (_, token) in node.running.extract_if(.., |(end, _)| *end <= now.as_ms()) {
            node.ledger.release(token);
        }
        self.input(index, slots::Input::Waiting(0));
        let node = &mut self.nodes[index];
        let wanted = (node.demand as usize).saturating_sub(node.running.len());
        for _ in 0..wanted {
            let keys: Vec<_> = node
                .ledger
                .runners()
                .filter(|key| node.ledger.free_of(*key) > 0)
                .collect();
            let Some(key) = keys.first().copied() else {
                return;
            };
            let Some(token) = node.ledger.take(now, key) else {
                return;
            };
            let vm = node
                .ledger
                .vm(key)
                .expect("a taken token names a runner")
                .clone();
            let end = self.now + self.rng.random_range(1..=LONGEST_MS);
            let place = (vm, token.slot());
            let taken = self
                .busy
                .insert(place, end)
                .is_some_and(|busy| busy > self.now);
            self.overruns += u64::from(taken);
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
        node.ledger.handle(now, input, &mut outputs);
        let from = node.me.clone();
        for slots::Output::Send { to, message } in outputs {
            self.send(&from, &to, message);
        }
    }

    fn send(&mut self, from: &roster::NodeId, to: &roster::NodeId, message: slots::Message) {
        let (lost, repeated, delay_ms) = self.faults;
        let copies = 1 + usize::from(self.rng.random_ratio(repeated, 100));
        for copy in 0..copies {
            if self.rng.random_ratio(lost, 100) {
                continue;
            }
            let mut message = message.clone();
            if let slots::Message::Give(give) = &mut message
                && copy > 0
                && self.protection == Protection::NoRepeatCheck
            {
                give.serial += 1_000_000 + self.now;
            }
            let at = self.now + self.rng.random_range(1..=delay_ms.max(1));
            self.flights.push(Flight {
                at,
                from: from.clone(),
                to: to.clone(),
                message,
            });
        }
    }
}
