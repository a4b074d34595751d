//! The control parts of many nodes over a simulated network and table, in virtual time.
//!
//! Only the sockets and the platform are stand-ins; the decisions are those of the daemon. What must always hold
//! is checked at every tick, see [`Breach`]. Everything follows from the seed.

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

pub use checks::{Breach, Edit};
pub use wire::Faults;

/// Names a node of the world; never used again for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeIndex(usize);

/// What a node's shell has sent and spent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent to other nodes.
    pub messages: u64,
    /// Bytes of these, with [`wire::OVERHEAD_BYTES`] each.
    pub bytes: u64,
    /// Transactions sent to the table.
    pub writes: u64,
    /// Reads sent to the table.
    pub reads: u64,
    /// Bytes of rows read from the table.
    pub read_bytes: u64,
    /// Processor time of the decisions, in nanoseconds; the only figure that the seed does not fix.
    pub cpu_ns: u64,
}

/// One process of a node.
#[derive(Debug)]
struct Node {
    control: control::Control,
    name: usize,
    group: u8,
    hears_table: bool,
    clock_ahead_ms: u64,
    paused_until: clock::Instant,
    ended: bool,
    ticking: bool,
    traffic: Traffic,
    applied: u64,
}

/// Something on its way.
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

/// How a world is made.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Nodes at the start.
    pub nodes: usize,
    /// The seed of all that is random.
    pub seed: u64,
    /// Duties that the nodes share out.
    pub duties: usize,
    /// How changes travel.
    pub spread: control::Spread,
}

/// Nodes, their network and the platform's table.
#[derive(Debug)]
pub struct World {
    now: clock::Instant,
    rng: SmallRng,
    options: Options,
    /// The faults that the network and the table have now.
    pub faults: Faults,
    /// Switches a protection off: nodes that have heard nobody lately count as serving too.
    pub assumes_fresh: bool,
    table: table::Table,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(clock::Instant, u64)>>,
    bodies: BTreeMap<u64, Event>,
    next_event: u64,
    checks: checks::Checks,
    requests_at: Vec<(clock::Instant, bool)>,
}

impl World {
    /// Makes a world whose nodes have just started with an empty table.
    pub fn new(options: Options) -> Self {
        let mut world = Self {
            now: clock::Instant::ZERO,
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            faults: Faults::default(),
            assumes_fresh: false,
            table: table::Table::default(),
            nodes: Vec::new(),
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            next_event: 0,
            checks: checks::Checks::default(),
            requests_at: Vec::new(),
        };
        for name in 0..options.nodes {
            world.start(name);
        }
        world
    }

    /// Starts a process of the node with this number, at that node's address.
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
        let clock_ahead_ms = self.rng.random_range(0..10_000_000);
        let here = self.now.after_ms(clock_ahead_ms);
        let mut control = control::Control::new(me, here, self.rng.random());
        control.set_spread(self.options.spread);
        control.set_duties(&self.duties());
        self.nodes.push(Node {
            control,
            name,
            group: 0,
            hears_table: true,
            clock_ahead_ms,
            paused_until: clock::Instant::ZERO,
            ended: false,
            ticking: false,
            traffic: Traffic::default(),
            applied: 0,
        });
        self.tick_at(index, self.now);
        index
    }

    /// Ends a process without a word.
    pub fn kill(&mut self, index: NodeIndex) {
        self.nodes[index.0].ended = true;
    }

    /// Stops a process for a while; what arrives meanwhile waits.
    pub fn pause(&mut self, index: NodeIndex, ms: u64) {
        let node = &mut self.nodes[index.0];
        node.paused_until = node.paused_until.max(self.now.after_ms(ms));
    }

    /// Sets which nodes hear each other, those of one group, and whether a process hears the table.
    pub fn cut(&mut self, index: NodeIndex, group: u8, hears_table: bool) {
        let node = &mut self.nodes[index.0];
        node.group = group;
        node.hears_table = hears_table;
    }

    /// Whether a process takes requests now.
    pub fn serves(&self, index: NodeIndex) -> bool {
        let node = &self.nodes[index.0];
        let here = self.now.after_ms(node.clock_ahead_ms);
        let standing = node.control.serving_state(here);
        self.is_awake(index) && matches!(standing, config::ServingState::ServingUntil(_))
    }

    /// Hands an edit to a process and follows it.
    pub fn edit(&mut self, index: NodeIndex, service: &id::Service, if_match: u64, text: &str) {
        let edit = config::edit::Edit {
            service: service.clone(),
            text: Some(text.to_owned()),
            if_match,
        };
        let token = self.nodes[index.0].control.edit(edit);
        self.checks
            .follow(self.now, index, token, service, if_match);
    }

    /// Runs the world for a while.
    ///
    /// # Errors
    ///
    /// The first breach of what must always hold.
    pub fn run_for(&mut self, ms: u64) -> Result<(), Breach> {
        let end = self.now.after_ms(ms);
        while let Some(Reverse((at, _))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            let Some(Reverse((_, body))) = self.events.pop() else {
                break;
            };
            if let Some(event) = self.bodies.remove(&body) {
                self.happen(event)?;
            }
        }
        self.now = end;
        Ok(())
    }

    fn happen(&mut self, event: Event) -> Result<(), Breach> {
        match event {
            Event::Tick(index) => {
                if let Some(event) = self.put_off(index, Event::Tick(index)) {
                    drop(event);
                    self.nodes[index.0].ticking = false;
                    self.input(index, control::Input::Tick);
                    self.check(index)?;
                }
            }
            Event::Message { from, to, message } => {
                let event = Event::Message { from, to, message };
                if let Some(Event::Message { message, .. }) = self.put_off(to, event)
                    && self.nodes[from.0].group == self.nodes[to.0].group
                {
                    self.input(to, control::Input::Message(message));
                }
            }
            Event::Request(index, request) => self.serve(index, request),
            Event::Input(index, input) => {
                if let Some(Event::Input(_, input)) =
                    self.put_off(index, Event::Input(index, input))
                {
                    self.input(index, *input);
                }
            }
        }
        Ok(())
    }

    /// Returns the event if the process can take it now; if it is paused, the event waits for its end.
    fn put_off(&mut self, index: NodeIndex, event: Event) -> Option<Event> {
        let node = &self.nodes[index.0];
        if node.ended {
            return None;
        }
        if self.is_awake(index) {
            return Some(event);
        }
        let until = node.paused_until;
        self.at(until, event);
        None
    }

    fn is_awake(&self, index: NodeIndex) -> bool {
        let node = &self.nodes[index.0];
        !node.ended && self.now >= node.paused_until
    }

    fn at(&mut self, at: clock::Instant, event: Event) {
        self.events.push(Reverse((at, self.next_event)));
        self.bodies.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn tick_at(&mut self, index: NodeIndex, at: clock::Instant) {
        if !self.nodes[index.0].ticking {
            self.nodes[index.0].ticking = true;
            self.at(at, Event::Tick(index));
        }
    }

    fn input(&mut self, index: NodeIndex, input: control::Input) {
        let node = &mut self.nodes[index.0];
        let here = self.now.after_ms(node.clock_ahead_ms);
        let started = time::Instant::now();
        let outputs = node.control.handle(here, input);
        let wake_at = node.control.wake_at(here);
        let spent = u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX);
        node.traffic.cpu_ns += spent;
        let wait_ms = wake_at.since_ms(here);
        self.tick_at(index, self.now.after_ms(wait_ms));
        for output in outputs {
            self.output(index, output);
        }
        self.checks
            .on_progress(self.now, index, &self.nodes[index.0].control);
    }

    fn check(&mut self, index: NodeIndex) -> Result<(), Breach> {
        let node = &mut self.nodes[index.0];
        let head = node.control.replica().head();
        if head < node.applied {
            return Err(Breach::WentBack {
                node: node.name,
                from: node.applied,
                to: head,
            });
        }
        node.applied = head;
        let loaded = self.nodes[index.0].control.replica().is_loaded();
        let serves = self.serves(index) || (self.assumes_fresh && loaded);
        let node = &self.nodes[index.0];
        self.checks
            .check_force(self.now, index, node.name, head, serves)?;
        let here = self.now.after_ms(node.clock_ahead_ms);
        let held = node.control.leases().grants(here);
        let others = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index.0);
        for grant in &held {
            let rival = others.clone().find(|(_, other)| {
                let here = self.now.after_ms(other.clock_ahead_ms);
                !other.ended && other.control.leases().grant(here, &grant.duty).is_some()
            });
            if let Some((_, rival)) = rival {
                let duty = grant.duty.clone();
                return Err(Breach::TwoHolders {
                    duty,
                    one: node.name,
                    other: rival.name,
                });
            }
        }
        self.checks.note_holder(self.now, &held);
        Ok(())
    }
}
