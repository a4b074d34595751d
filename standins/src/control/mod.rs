//! Simulates the control parts of many nodes over a network and a table, in virtual time.
//!
//! Only the sockets and the platform are stand-ins; the decisions are made by the daemon's code. Every tick checks the
//! invariants, see [`Violation`]. A run is determined by its seed.

mod checks;
mod observe;
pub mod wire;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wasabiloft::clock;
use wasabiloft::config;
use wasabiloft::control;
use wasabiloft::id;
use wasabiloft::peers;
use wasabiloft::roster;

use crate::table;

pub use checks::{Edit, Violation};
pub use wire::Faults;

/// Identifies a process of the world; never reused for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeIndex(usize);

/// Traffic and processor time of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent to other nodes.
    pub messages: u64,
    /// Bytes of these messages, with [`wire::OVERHEAD_BYTES`] each.
    pub bytes: u64,
    /// Transactions sent to the table.
    pub writes: u64,
    /// Reads sent to the table.
    pub reads: u64,
    /// Bytes of rows read from the table.
    pub read_bytes: u64,
    /// Processor time of the decisions, in nanoseconds; the only value that the seed doesn't determine.
    pub cpu_ns: u64,
}

/// One process of a node.
#[derive(Debug)]
struct Node {
    control: control::Control,
    name: usize,
    group: u8,
    reaches_table: bool,
    clock_offset_ms: u64,
    paused_until: clock::Instant,
    has_ended: bool,
    tick_scheduled: bool,
    traffic: Traffic,
    applied: u64,
}

/// A scheduled event.
#[derive(Debug)]
enum Event {
    Tick(NodeIndex),
    Message {
        from: NodeIndex,
        to: NodeIndex,
        message: peers::Message,
    },
    Request(NodeIndex, wire::Request),
    Input(NodeIndex, Box<control::Input>),
}

/// Options of a world.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of nodes at the start.
    pub nodes: usize,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of duties that are divided among the nodes.
    pub duties: usize,
    /// How changes are distributed among the nodes.
    pub spread: control::Spread,
}

/// The simulated nodes, their network and the platform's table.
#[derive(Debug)]
pub struct World {
    now: clock::Instant,
    rng: SmallRng,
    options: Options,
    /// Faults currently injected into the network and the table.
    pub faults: Faults,
    /// Disables a protection: nodes that haven't heard from other nodes recently count as serving too.
    pub ignores_staleness: bool,
    table: table::Table,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(clock::Instant, u64)>>,
    pending: BTreeMap<u64, Event>,
    next_event: u64,
    checks: checks::Checks,
    requests_at: Vec<(clock::Instant, bool)>,
}

impl World {
    /// Creates a world whose nodes have just started with an empty table.
    pub fn new(options: Options) -> Self {
        let mut world = Self {
            now: clock::Instant::ZERO,
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            faults: Faults::default(),
            ignores_staleness: false,
            table: table::Table::default(),
            nodes: Vec::new(),
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            next_event: 0,
            checks: checks::Checks::default(),
            requests_at: Vec::new(),
        };
        for name in 0..options.nodes {
            world.start(name);
        }
        world
    }

    /// Starts a process of the node with the given number, at that node's address.
    pub fn start(&mut self, name: usize) -> NodeIndex {
        let index = NodeIndex(self.nodes.len());
        let incarnation = roster::Incarnation(self.rng.random());
        let port = u16::try_from(10_000 + name).unwrap_or(u16::MAX);
        let me = roster::Member {
            id: roster::NodeId {
                node: id::Node::from(format!("entry-{name}")),
                incarnation,
            },
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
            data_centre: id::DataCentre::from(format!("dc-{}", name % 5)),
        };
        let clock_offset_ms = self.rng.random_range(0..10_000_000);
        let local_now = self.now.after_ms(clock_offset_ms);
        let mut control = control::Control::new(me, local_now, self.rng.random());
        control.set_spread(self.options.spread);
        control.set_duties(&self.duties());
        self.nodes.push(Node {
            control,
            name,
            group: 0,
            reaches_table: true,
            clock_offset_ms,
            paused_until: clock::Instant::ZERO,
            has_ended: false,
            tick_scheduled: false,
            traffic: Traffic::default(),
            applied: 0,
        });
        self.schedule_tick(index, self.now);
        index
    }

    /// Ends a process without notice to other nodes.
    pub fn kill(&mut self, index: NodeIndex) {
        self.nodes[index.0].has_ended = true;
    }

    /// Pauses a process for `ms` milliseconds; its events are deferred until the end of the pause.
    pub fn pause(&mut self, index: NodeIndex, ms: u64) {
        let node = &mut self.nodes[index.0];
        node.paused_until = node.paused_until.max(self.now.after_ms(ms));
    }

    /// Sets the network group of a process, which can only exchange messages within its group, and whether its requests
    /// reach the table.
    pub fn cut(&mut self, index: NodeIndex, group: u8, reaches_table: bool) {
        let node = &mut self.nodes[index.0];
        node.group = group;
        node.reaches_table = reaches_table;
    }

    /// Returns whether a process accepts requests now.
    pub fn serves(&self, index: NodeIndex) -> bool {
        let node = &self.nodes[index.0];
        let local_now = self.now.after_ms(node.clock_offset_ms);
        let standing = node.control.serving_state(local_now);
        self.is_awake(index) && matches!(standing, config::ServingState::ServingUntil(_))
    }

    /// Submits an edit to a process and tracks its outcome.
    pub fn edit(&mut self, index: NodeIndex, service: &id::Service, if_match: u64, text: &str) {
        let edit = config::edit::Edit {
            service: service.clone(),
            text: Some(text.to_owned()),
            if_match,
        };
        let token = self.nodes[index.0].control.edit(edit);
        self.checks
            .track_edit(self.now, index, token, service, if_match);
    }

    /// Runs the world for `ms` milliseconds of virtual time.
    ///
    /// # Errors
    ///
    /// Returns the first violation of an invariant.
    pub fn run_for(&mut self, ms: u64) -> Result<(), Violation> {
        let end = self.now.after_ms(ms);
        while let Some(Reverse((at, _))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            let Some(Reverse((_, event_id))) = self.events.pop() else {
                break;
            };
            if let Some(event) = self.pending.remove(&event_id) {
                self.dispatch(event)?;
            }
        }
        self.now = end;
        Ok(())
    }

    fn dispatch(&mut self, event: Event) -> Result<(), Violation> {
        match event {
            Event::Tick(index) => {
                if let Some(event) = self.defer_if_paused(index, Event::Tick(index)) {
                    drop(event);
                    self.nodes[index.0].tick_scheduled = false;
                    self.handle_input(index, control::Input::Tick);
                    self.check(index)?;
                }
            }
            Event::Message { from, to, message } => {
                let event = Event::Message { from, to, message };
                if let Some(Event::Message { message, .. }) = self.defer_if_paused(to, event)
                    && self.nodes[from.0].group == self.nodes[to.0].group
                {
                    self.handle_input(to, control::Input::Message(message));
                }
            }
            Event::Request(index, request) => self.serve(index, request),
            Event::Input(index, input) => {
                if let Some(Event::Input(_, input)) =
                    self.defer_if_paused(index, Event::Input(index, input))
                {
                    self.handle_input(index, *input);
                }
            }
        }
        Ok(())
    }

    /// Returns the event if the process can handle it now. If the process is paused, defers the event to the end of the
    /// pause; if it has ended, drops the event.
    fn defer_if_paused(&mut self, index: NodeIndex, event: Event) -> Option<Event> {
        let node = &self.nodes[index.0];
        if node.has_ended {
            return None;
        }
        if self.is_awake(index) {
            return Some(event);
        }
        let until = node.paused_until;
        self.schedule(until, event);
        None
    }

    fn is_awake(&self, index: NodeIndex) -> bool {
        let node = &self.nodes[index.0];
        !node.has_ended && self.now >= node.paused_until
    }

    fn schedule(&mut self, at: clock::Instant, event: Event) {
        self.events.push(Reverse((at, self.next_event)));
        self.pending.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn schedule_tick(&mut self, index: NodeIndex, at: clock::Instant) {
        if !self.nodes[index.0].tick_scheduled {
            self.nodes[index.0].tick_scheduled = true;
            self.schedule(at, Event::Tick(index));
        }
    }

    fn handle_input(&mut self, index: NodeIndex, input: control::Input) {
        let node = &mut self.nodes[index.0];
        let local_now = self.now.after_ms(node.clock_offset_ms);
        let started = time::Instant::now();
        let outputs = node.control.handle(local_now, input);
        let wake_at = node.control.wake_at(local_now);
        let elapsed_ns = u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX);
        node.traffic.cpu_ns += elapsed_ns;
        let wait_ms = wake_at.since_ms(local_now);
        self.schedule_tick(index, self.now.after_ms(wait_ms));
        for output in outputs {
            self.handle_output(index, output);
        }
        self.checks
            .on_progress(self.now, index, &self.nodes[index.0].control);
    }

    fn check(&mut self, index: NodeIndex) -> Result<(), Violation> {
        let node = &mut self.nodes[index.0];
        let head = node.control.replica().head();
        if head < node.applied {
            return Err(Violation::WentBack {
                node: node.name,
                from: node.applied,
                to: head,
            });
        }
        node.applied = head;
        let loaded = self.nodes[index.0].control.replica().is_loaded();
        let serves = self.serves(index) || (self.ignores_staleness && loaded);
        let node = &self.nodes[index.0];
        self.checks
            .check_in_force(self.now, index, node.name, head, serves)?;
        let local_now = self.now.after_ms(node.clock_offset_ms);
        let held = node.control.leases().grants(local_now);
        let others = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index.0);
        for grant in &held {
            let other_holder = others.clone().find(|(_, other)| {
                let local_now = self.now.after_ms(other.clock_offset_ms);
                !other.has_ended
                    && other
                        .control
                        .leases()
                        .grant(local_now, &grant.duty)
                        .is_some()
            });
            if let Some((_, other_holder)) = other_holder {
                let duty = grant.duty.clone();
                return Err(Violation::TwoHolders {
                    duty,
                    one: node.name,
                    other: other_holder.name,
                });
            }
        }
        self.checks.record_grants(self.now, &held);
        Ok(())
    }
}
