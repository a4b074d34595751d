//! At most one holder of a lease acts at a time, and a lost holder is replaced.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wasabiloft::clock;
use wasabiloft::id;
use wasabiloft::journal;
use wasabiloft::lease;
use wasabiloft::platform;
use wasabiloft::roster;

use crate::fake_table;

const NODES: usize = 4;
const DUTIES: usize = 6;
const STEP_MS: u64 = 20;

/// A node with its journal and leases; its clock has a random offset.
struct Node {
    name: usize,
    id: roster::NodeId,
    writer: journal::Writer,
    leases: lease::Leases,
    clock_offset_ms: u64,
    paused_until_ms: u64,
    dead: bool,
    /// Whether a newer incarnation has the node's name; the old process can still run.
    replaced: bool,
    pending: BTreeMap<journal::Token, (id::Duty, platform::Txn)>,
    /// Grant of an effect that was decided before a pause and starts after it.
    delayed_grant: Option<lease::Grant>,
}

impl Node {
    fn new(name: usize, incarnation: u64, offset_ms: u64, now: clock::Instant) -> Self {
        let id = roster::NodeId {
            node: id::Node::from(format!("entry-{name}")),
            incarnation: roster::Incarnation(incarnation),
        };
        let now = now.after_ms(offset_ms);
        let mut leases = lease::Leases::new(id.clone(), now);
        let duties: Vec<id::Duty> = (0..DUTIES).map(duty).collect();
        leases.set_duties(&duties);
        let mut writer = journal::Writer::new(&id, now);
        writer.set_roster_size(NODES);
        Self {
            name,
            id,
            writer,
            leases,
            clock_offset_ms: offset_ms,
            paused_until_ms: 0,
            dead: false,
            replaced: false,
            pending: BTreeMap::new(),
            delayed_grant: None,
        }
    }

    fn now(&self, real: clock::Instant) -> clock::Instant {
        real.after_ms(self.clock_offset_ms)
    }

    fn is_awake(&self, real: clock::Instant) -> bool {
        !self.dead && real.as_ms() >= self.paused_until_ms
    }
}

fn duty(number: usize) -> id::Duty {
    id::Duty::from(format!("pool-{number}"))
}

/// Simulated nodes, their table and a platform that fences effects by epoch.
struct World {
    rng: SmallRng,
    link: fake_table::Link,
    nodes: Vec<Node>,
    real: clock::Instant,
    /// Newest epoch whose effect the platform received, and the node that acted.
    effects: BTreeMap<id::Duty, (u64, roster::NodeId)>,
    /// When each duty was last held by any node.
    held_at: BTreeMap<id::Duty, clock::Instant>,
    fences_effects: bool,
    pauses_holders: bool,
    longest_gap_ms: u64,
}

impl World {
    fn new(seed: u64, faults: fake_table::Faults) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut link = fake_table::Link::default();
        link.faults = faults;
        let real = clock::Instant::ZERO;
        let nodes = (0..NODES)
            .map(|name| Node::new(name, 1, rng.random_range(0..1_000_000), real))
            .collect();
        Self {
            rng,
            link,
            nodes,
            real,
            effects: BTreeMap::new(),
            held_at: BTreeMap::new(),
            fences_effects: true,
            pauses_holders: true,
            longest_gap_ms: 0,
        }
    }

    fn step(&mut self) -> Result<(), String> {
        self.real = self.real.after_ms(STEP_MS);
        let live: Vec<roster::NodeId> = self
            .nodes
            .iter()
            .filter(|node| node.is_awake(self.real) && !node.replaced)
            .map(|node| node.id.clone())
            .collect();
        for number in 0..self.nodes.len() {
            if self.nodes[number].is_awake(self.real) {
                self.act(number)?;
                self.poll(number, &live);
            }
        }
        for (number, attempt, reply) in self.link.deliver(self.real, &mut self.rng) {
            if self.nodes[number].is_awake(self.real) {
                self.reply(number, attempt, reply);
            }
        }
        self.check_holders()
    }

    fn poll(&mut self, number: usize, live: &[roster::NodeId]) {
        let node = &mut self.nodes[number];
        let now = node.now(self.real);
        let is_out = (self.link.faults.outage_ms.0..self.link.faults.outage_ms.1)
            .contains(&self.real.as_ms());
        if !is_out && self.real.as_ms().is_multiple_of(1_000) {
            node.leases.on_table_response(now, now);
        }
        for action in node.leases.poll(now, live) {
            match action {
                lease::Action::Renew => node.writer.request_renewal(),
                lease::Action::ReadRows if is_out => {}
                lease::Action::ReadRows => node
                    .leases
                    .on_rows(now, &self.link.table.range(lease::prefix())),
                lease::Action::ReadJournal(_) if is_out => {}
                lease::Action::ReadJournal(holder) => {
                    let row = self.link.table.row(&journal::key(&holder));
                    node.leases
                        .on_journal(now, &holder, row.map_or(0, |row| row.version));
                }
                lease::Action::Change { duty, txn } => {
                    let token = node.writer.submit(txn.clone()).expect("two rows fit");
                    node.pending.insert(token, (duty, txn));
                }
            }
        }
        if let Some(request) = node.writer.poll(now) {
            self.link.send(self.real, &mut self.rng, number, request);
        }
    }

    fn reply(&mut self, number: usize, attempt: journal::Attempt, reply: journal::Reply) {
        let node = &mut self.nodes[number];
        let now = node.now(self.real);
        let commits = node.writer.counters().commits;
        let settlements = node.writer.on_reply(now, &mut self.rng, attempt, reply);
        if let Some(renewed_at) = node.writer.renewed_at()
            && node.writer.counters().commits > commits
        {
            node.leases.on_commit(now, renewed_at);
        }
        for settlement in settlements {
            if let Some((duty, txn)) = node.pending.remove(&settlement.token) {
                node.leases
                    .on_settled(now, &duty, &txn, &settlement.settled);
            }
        }
    }

    /// Starts an effect of a node, with a random pause between its decision and the effect.
    fn act(&mut self, number: usize) -> Result<(), String> {
        let real = self.real;
        let node = &mut self.nodes[number];
        if let Some(grant) = node.delayed_grant.take() {
            return self.effect(number, &grant);
        }
        let now = node.now(real);
        let Some(grant) = node.leases.grants(now).into_iter().next() else {
            return Ok(());
        };
        if node.leases.still_holds(now, &grant) {
            if self.pauses_holders && self.rng.random_ratio(1, 200) {
                node.delayed_grant = Some(grant);
                node.paused_until_ms = real.as_ms() + self.rng.random_range(100..20_000);
                return Ok(());
            }
            return self.effect(number, &grant);
        }
        Ok(())
    }

    fn effect(&mut self, number: usize, grant: &lease::Grant) -> Result<(), String> {
        let id = self.nodes[number].id.clone();
        let seen = self.effects.get(&grant.duty);
        match seen {
            Some((epoch, _)) if grant.epoch < *epoch => {
                if self.fences_effects {
                    return Ok(());
                }
                Err(format!(
                    "{id} acts for {} under old epoch {}",
                    grant.duty, grant.epoch
                ))
            }
            Some((epoch, other)) if grant.epoch == *epoch && *other != id => Err(format!(
                "{id} and {other} act for {} under one epoch",
                grant.duty
            )),
            _ => {
                self.effects.insert(grant.duty.clone(), (grant.epoch, id));
                Ok(())
            }
        }
    }

    /// Checks that no two nodes hold a duty at once and measures how long a duty has no holder.
    fn check_holders(&mut self) -> Result<(), String> {
        for duty in (0..DUTIES).map(duty) {
            let holds = |node: &&Node| {
                !node.dead && node.leases.grant(node.now(self.real), &duty).is_some()
            };
            let holders: Vec<&Node> = self.nodes.iter().filter(holds).collect();
            if holders.len() > 1 {
                return Err(format!(
                    "{} and {} hold {duty}",
                    holders[0].id, holders[1].id
                ));
            }
            if holders.len() == 1 {
                let since = self.held_at.insert(duty, self.real).unwrap_or(self.real);
                self.longest_gap_ms = self.longest_gap_ms.max(self.real.since_ms(since));
            }
        }
        Ok(())
    }

    fn run_until(&mut self, ms: u64) -> Result<(), String> {
        while self.real.as_ms() < ms {
            self.step()?;
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(crate::fixed_seed(32))]

    #[test]
    fn one_holder_acts_at_a_time(seed in any::<u64>(), lost in 0u32..20, out_ms in 0u64..30_000) {
        let faults = fake_table::Faults {
            request_lost: lost,
            reply_lost: lost,
            repeated: 5,
            slow: 5,
            outage_ms: (30_000, 30_000 + out_ms),
        };
        let mut world = World::new(seed, faults);
        for round in 0..8 {
            prop_assert_eq!(world.run_until((round + 1) * 10_000), Ok(()));
            // Replaces a node at its address while its old process can still be paused.
            let number = world.rng.random_range(0..world.nodes.len());
            let offset_ms = world.rng.random_range(0..1_000_000);
            let real = world.real;
            let old_paused_ms = real.as_ms() + world.rng.random_range(0..20_000);
            let name = world.nodes[number].name;
            world.nodes[number].replaced = true;
            world.nodes[number].paused_until_ms = old_paused_ms;
            world.nodes.push(Node::new(name, round + 2, offset_ms, real));
        }
        world.link.faults = fake_table::Faults::default();
        prop_assert_eq!(world.run_until(120_000), Ok(()));
        prop_assert_eq!(world.held_at.len(), DUTIES);
    }

    #[test]
    fn a_lost_holder_is_replaced_in_time(seed in any::<u64>()) {
        let mut world = World::new(seed, fake_table::Faults::default());
        world.pauses_holders = false;
        prop_assert_eq!(world.run_until(20_000), Ok(()));
        let number = world.rng.random_range(0..NODES);
        world.nodes[number].dead = true;
        world.longest_gap_ms = 0;
        prop_assert_eq!(world.run_until(60_000), Ok(()));
        prop_assert_eq!(world.held_at.len(), DUTIES);
        prop_assert!(world.longest_gap_ms < 10_000, "{} ms", world.longest_gap_ms);
    }
}

#[test]
fn without_the_duty_check_a_takeover_results_in_two_holders() {
    let fails = |seed: &u64| {
        let faults = fake_table::Faults {
            reply_lost: 20,
            slow: 20,
            ..Default::default()
        };
        let mut world = World::new(*seed, faults);
        world.link.table.unchecked_prefix = Some("duty/");
        world.run_until(120_000).is_err()
    };
    assert!((0..10).any(|seed| fails(&seed)));
}

#[test]
fn without_the_platforms_fence_a_paused_holder_acts_after_its_lease() {
    let fails = |seed: &u64| {
        let mut world = World::new(*seed, fake_table::Faults::default());
        world.fences_effects = false;
        world.run_until(120_000).is_err()
    };
    assert!((0..10).any(|seed| fails(&seed)));
}

#[test]
fn a_holder_stops_before_its_lease_ends() {
    let holder = Node::new(0, 1, 0, clock::Instant::ZERO).id;
    let row = lease::Row {
        holder,
        epoch: 1,
        lease_ms: lease::LEASE_MS,
    };
    let sent_at = clock::Instant::from_ms(100);
    let last_ms = lease::LEASE_MS - lease::SAFETY_MARGIN_MS - 1;
    assert!(lease::may_act(&row, sent_at, sent_at.after_ms(last_ms)));
    assert!(!lease::may_act(
        &row,
        sent_at,
        sent_at.after_ms(last_ms + 1)
    ));
}
