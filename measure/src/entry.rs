//! An event-driven fake of callers, entry nodes and runners around the real decision code.
//!
//! Asserted throughout: a runner never has more requests than slots, nor more connections than its limit; a refused
//! request never starts; every request ends exactly once.

use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wasabiloft::{admission, clock, dispatch, id, roster, slots, verdict};

use crate::baseline;
use crate::load;
use crate::tally;

/// Data centres of the fake.
const DATA_CENTRES: usize = 3;
/// One way between a caller and an entry node.
const CALLER_US: u64 = 1_000;
/// One way within a data centre.
const NEAR_US: u64 = 200;
/// One way between data centres.
const FAR_US: u64 = 1_500;
/// The shell's tick.
const TICK_US: u64 = 10_000;
/// Spread of the service times.
const SIGMA: f64 = 0.5;
/// Connections of a runner, over all nodes.
const CONNECTIONS_MAX: u32 = 64;

/// Length of the windows in which refused and late requests are counted.
pub const WINDOW_MS: u64 = 200;

/// How entry nodes decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The library's decisions.
    Shares(dispatch::Settings),
    /// First in first out without limits.
    Fifo,
    /// Fixed equal shares by kind and node.
    Fixed,
}

/// The sizes of a run.
#[derive(Clone, Debug)]
pub struct Config {
    /// How entry nodes decide.
    pub policy: Policy,
    /// Entry nodes.
    pub nodes: usize,
    /// Runners of the service.
    pub runners: usize,
    /// Slots of a runner.
    pub slots: u32,
    /// Kinds of work.
    pub kinds: Vec<load::Kind>,
    /// Seed of all chance.
    pub seed: u64,
}

/// A stretch of the run with its own load.
#[derive(Clone, Debug)]
pub struct Phase {
    /// Its length.
    pub length_ms: u64,
    /// What each kind's mean load is multiplied by.
    pub factors: Vec<f64>,
    /// How callers spread over the entry nodes, by weight.
    pub node_weights: Vec<f64>,
}

/// What happened to the requests sent in one window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    /// Requests sent.
    pub sent: u64,
    /// Those of them that were refused or late.
    pub bad: u64,
}

/// Where the time of the decisions went, on the machine's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Requests that were started at once.
    pub started: u64,
    /// Time in the arrival and the end of a started request.
    pub started_ns: u64,
    /// Requests that were refused at once.
    pub refused: u64,
    /// Time in the arrival of a refused request.
    pub refused_ns: u64,
}

/// What a run showed.
#[derive(Debug)]
pub struct Outcome {
    /// By phase and kind, by the time of sending.
    pub tallies: Vec<Vec<tally::Tally>>,
    /// By phase, in windows of [`WINDOW_MS`].
    pub windows: Vec<Vec<Window>>,
    /// Messages between nodes.
    pub messages: u64,
    /// Their bytes.
    pub message_bytes: u64,
    /// Tokens given by one node to another.
    pub given: u64,
    /// Requests for tokens.
    pub asks: u64,
    /// Where the time went.
    pub cost: Cost,
}

enum Door {
    Shares(Box<dispatch::Service>),
    Fifo(baseline::Fifo),
    Fixed(baseline::Fixed),
}

enum Event {
    Send(usize),
    AtNode(u64),
    AtRunner(u64),
    Done(u64),
    AtNodeAgain(u64),
    Message(usize, roster::NodeId, slots::Message),
    Tick(usize),
}

struct Timed {
    at_us: u64,
    order: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.order) == (other.at_us, other.order)
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at_us, other.order).cmp(&(self.at_us, self.order))
    }
}

struct Request {
    kind: usize,
    phase: usize,
    node: usize,
    runner: usize,
    sent_us: u64,
    started_us: u64,
    deadline: clock::Instant,
}

#[derive(Clone, Debug, Default)]
struct Runner {
    assigned: u32,
    running: u32,
    waiting: VecDeque<u64>,
    open: Vec<u32>,
    used: Vec<u32>,
}

/// The fake.
pub struct Fleet {
    config: Config,
    phases: Vec<Phase>,
    phase: usize,
    phase_start_us: u64,
    now_us: u64,
    order: u64,
    events: BinaryHeap<Timed>,
    rng: SmallRng,
    doors: Vec<Door>,
    members: Vec<roster::NodeId>,
    runners: Vec<Runner>,
    runner_index: BTreeMap<id::Vm, usize>,
    requests: HashMap<u64, Request>,
    next_request: u64,
    outcome: Outcome,
}

/// Runs the phases one after the other.
pub fn run(config: Config, phases: Vec<Phase>) -> Outcome {
    let mut fleet = Fleet::new(config, phases);
    fleet.begin();
    while let Some(timed) = fleet.events.pop() {
        fleet.now_us = timed.at_us;
        fleet.change_phase();
        if fleet.phase >= fleet.phases.len() && fleet.requests.is_empty() {
            break;
        }
        fleet.step(timed.event);
    }
    fleet.count_tokens();
    fleet.outcome
}

impl Fleet {
    fn new(config: Config, phases: Vec<Phase>) -> Self {
        let vms: Vec<id::Vm> = (0..config.runners)
            .map(|index| id::Vm::from(format!("vm-{index}")))
            .collect();
        let members: Vec<roster::NodeId> = (0..config.nodes)
            .map(|index| roster::NodeId {
                node: id::Node::from(format!("entry-{index}")),
                incarnation: roster::Incarnation(1),
            })
            .collect();
        let doors = (0..config.nodes)
            .map(|index| door(&config, index, &vms, &members))
            .collect();
        let runner = Runner {
            open: vec![0; config.nodes],
            used: vec![0; config.nodes],
            ..Runner::default()
        };
        let tallies = vec![vec![tally::Tally::new(); config.kinds.len()]; phases.len()];
        Self {
            rng: SmallRng::seed_from_u64(config.seed),
            runners: vec![runner; config.runners],
            runner_index: vms.into_iter().zip(0..).collect(),
            outcome: Outcome {
                windows: windows(&phases),
                tallies,
                messages: 0,
                message_bytes: 0,
                given: 0,
                asks: 0,
                cost: Cost::default(),
            },
            config,
            phases,
            phase: 0,
            phase_start_us: 0,
            now_us: 0,
            order: 0,
            events: BinaryHeap::new(),
            doors,
            members,
            requests: HashMap::new(),
            next_request: 0,
        }
    }

    fn begin(&mut self) {
        for kind in 0..self.config.kinds.len() {
            self.plan_send(kind);
        }
        for node in 0..self.doors.len() {
            let roster = slots::Roster {
                version: 1,
                members: self.members.clone(),
                departed: Vec::new(),
            };
            let runners = self.runner_index.keys().map(|vm| dispatch::Runner {
                vm: vm.clone(),
                slots: self.config.slots,
                leaving: false,
            });
            let runners = runners.collect();
            let until = clock::Instant::from_ms(u64::MAX);
            self.input(node, dispatch::Input::Serving { until });
            self.input(node, dispatch::Input::Runners(runners));
            self.input(node, dispatch::Input::Roster(roster));
            let offset_us = self.rng.random_range(0..TICK_US);
            self.plan(offset_us, Event::Tick(node));
        }
    }

    fn count_tokens(&mut self) {
        for door in &self.doors {
            if let Door::Shares(service) = door {
                let counters = service.ledger().counters();
                assert_eq!(counters.duplicate_tokens, 0, "a token has one owner");
                self.outcome.given += counters.transferred;
                self.outcome.asks += counters.token_requests;
            }
        }
    }

    fn now(&self) -> clock::Instant {
        clock::Instant::from_ms(self.now_us / 1_000)
    }

    fn plan(&mut self, delay_us: u64, event: Event) {
        self.order += 1;
        self.events.push(Timed {
            at_us: self.now_us + delay_us,
            order: self.order,
            event,
        });
    }

    fn change_phase(&mut self) {
        while let Some(phase) = self.phases.get(self.phase) {
            let end_us = self.phase_start_us + phase.length_ms * 1_000;
            if self.now_us < end_us {
                return;
            }
            self.phase += 1;
            self.phase_start_us = end_us;
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Send(kind) => self.send(kind),
            Event::AtNode(request) => self.arrive(request),
            Event::AtRunner(request) => self.begin_work(request),
            Event::Done(request) => self.end_work(request),
            Event::AtNodeAgain(request) => self.finish(request),
            Event::Message(to, from, message) => {
                self.input(to, dispatch::Input::Message { from, message });
            }
            Event::Tick(node) => {
                self.input(node, dispatch::Input::Tick);
                self.plan(TICK_US, Event::Tick(node));
            }
        }
    }

    fn plan_send(&mut self, kind: usize) {
        let Some(phase) = self.phases.get(self.phase) else {
            return;
        };
        let slots = self.config.slots * self.config.runners as u32;
        let rate_per_s = self.config.kinds[kind].rate_per_s(slots) * phase.factors[kind];
        let gap_us = load::exponential(&mut self.rng, 1_000_000.0 / rate_per_s);
        self.plan(gap_us as u64, Event::Send(kind));
    }

    fn send(&mut self, kind: usize) {
        self.plan_send(kind);
        let Some(phase) = self.phases.get(self.phase) else {
            return;
        };
        let node = pick(&phase.node_weights, &mut self.rng);
        let deadline_ms = self.config.kinds[kind].deadline_ms - 2 * CALLER_US / 1_000;
        let id = self.next_request;
        self.next_request += 1;
        self.outcome.tallies[self.phase][kind].offered += 1;
        let window = (self.now_us - self.phase_start_us) / 1_000 / WINDOW_MS;
        self.outcome.windows[self.phase][window as usize].sent += 1;
        let request = Request {
            kind,
            phase: self.phase,
            node,
            runner: usize::MAX,
            sent_us: self.now_us,
            started_us: 0,
            deadline: self.now().after_ms(deadline_ms),
        };
        self.requests.insert(id, request);
        self.plan(CALLER_US, Event::AtNode(id));
    }

    fn arrive(&mut self, id: u64) {
        let request = &self.requests[&id];
        let node = request.node;
        let arrival = dispatch::Arrival {
            request: admission::RequestId::from(id),
            kind: admission::KindIndex::from(request.kind),
            deadline: request.deadline,
            idempotent: self.config.kinds[request.kind].idempotent,
            retry_after: None,
        };
        self.input(node, dispatch::Input::Arrive(arrival));
    }

    fn input(&mut self, node: usize, input: dispatch::Input) {
        let now = self.now();
        let mut outputs = Vec::new();
        let begun = time::Instant::now();
        let arrival = matches!(input, dispatch::Input::Arrive(_));
        let ending = matches!(input, dispatch::Input::Finish { .. });
        match &mut self.doors[node] {
            Door::Shares(service) => service.handle(now, input, &mut self.rng, &mut outputs),
            Door::Fifo(fifo) => {
                if let dispatch::Input::Arrive(arrival) = input {
                    outputs.push(fifo.arrive(arrival.request));
                }
            }
            Door::Fixed(fixed) => match input {
                dispatch::Input::Arrive(arrival) => outputs.extend(fixed.arrive(&arrival)),
                dispatch::Input::Finish { request, .. } => {
                    let request = &self.requests[&u64::from(request)];
                    let kind = admission::KindIndex::from(request.kind);
                    let vm = id::Vm::from(format!("vm-{}", request.runner));
                    fixed.finish(now, kind, &vm, &mut outputs);
                }
                _ => {}
            },
        }
        let spent_ns = begun.elapsed().as_nanos() as u64;
        if arrival {
            self.charge_arrival(&outputs, spent_ns);
        } else if ending {
            self.outcome.cost.started_ns += spent_ns;
        }
        self.carry_out(node, outputs);
    }

    fn charge_arrival(&mut self, outputs: &[dispatch::Output], spent_ns: u64) {
        let cost = &mut self.outcome.cost;
        match outputs.first() {
            Some(dispatch::Output::Refuse { .. }) => {
                cost.refused += 1;
                cost.refused_ns += spent_ns;
            }
            _ => {
                cost.started += 1;
                cost.started_ns += spent_ns;
            }
        }
    }

    fn carry_out(&mut self, node: usize, outputs: Vec<dispatch::Output>) {
        for output in outputs {
            match output {
                dispatch::Output::Start { request, vm } => {
                    self.start(node, u64::from(request), &vm)
                }
                dispatch::Output::Refuse { request, reason } => {
                    self.refuse(u64::from(request), reason);
                }
                dispatch::Output::Send { to, message } => self.post(node, &to, message),
            }
        }
    }

    fn post(&mut self, from: usize, to: &roster::NodeId, message: slots::Message) {
        let to = self.members.iter().position(|member| member == to);
        let to = to.expect("messages go to members");
        let bytes = postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len());
        self.outcome.messages += 1;
        self.outcome.message_bytes += bytes as u64;
        let sender = self.members[from].clone();
        self.plan(one_way_us(from, to), Event::Message(to, sender, message));
    }

    fn start(&mut self, node: usize, id: u64, vm: &id::Vm) {
        let runner = self.runner_index[vm];
        let limited = self.config.policy != Policy::Fifo;
        let request = self.requests.get_mut(&id);
        let request = request.expect("a refused or finished request never starts");
        assert_eq!(request.runner, usize::MAX, "a request starts once");
        request.runner = runner;
        request.started_us = self.now_us;
        let entry = &mut self.runners[runner];
        entry.assigned += 1;
        entry.used[node] += 1;
        entry.open[node] = entry.open[node].max(entry.used[node]);
        if limited {
            assert!(entry.assigned <= self.config.slots, "a runner's slots hold");
            assert!(
                entry.open.iter().sum::<u32>() <= CONNECTIONS_MAX,
                "a runner's connections hold"
            );
        }
        self.plan(one_way_us(node, runner), Event::AtRunner(id));
    }

    fn begin_work(&mut self, id: u64) {
        let runner = self.requests[&id].runner;
        if self.runners[runner].running >= self.config.slots {
            self.runners[runner].waiting.push_back(id);
            return;
        }
        self.runners[runner].running += 1;
        let service_ms = self.config.kinds[self.requests[&id].kind].service_ms;
        let service_us = load::log_normal(&mut self.rng, service_ms * 1_000.0, SIGMA);
        self.plan(service_us as u64, Event::Done(id));
    }

    fn end_work(&mut self, id: u64) {
        let (node, runner) = (self.requests[&id].node, self.requests[&id].runner);
        self.runners[runner].running -= 1;
        if let Some(next) = self.runners[runner].waiting.pop_front() {
            self.begin_work(next);
        }
        self.plan(one_way_us(node, runner), Event::AtNodeAgain(id));
    }

    fn finish(&mut self, id: u64) {
        let request = &self.requests[&id];
        let node = request.node;
        let runner = &mut self.runners[request.runner];
        runner.assigned -= 1;
        runner.used[node] -= 1;
        let latency_us = self.now_us + CALLER_US - request.sent_us;
        let in_time = latency_us <= self.config.kinds[request.kind].deadline_ms * 1_000;
        let slot_us = self.now_us - request.started_us;
        let (phase, sent_us) = (request.phase, request.sent_us);
        let (kind, started_us) = (request.kind, request.started_us);
        self.outcome.tallies[phase][kind].answer(latency_us, slot_us, in_time);
        self.occupy(kind, started_us, in_time);
        if !in_time {
            self.note_bad(phase, sent_us);
        }
        let ending = dispatch::Input::Finish {
            request: admission::RequestId::from(id),
            ending: dispatch::Ending::Answered,
        };
        self.input(node, ending);
        self.requests.remove(&id);
    }

    /// Divides a request's slot time among the phases.
    fn occupy(&mut self, kind: usize, started_us: u64, in_time: bool) {
        let mut start_us = 0;
        for (index, phase) in self.phases.iter().enumerate() {
            let end_us = start_us + phase.length_ms * 1_000;
            let overlap_us = self
                .now_us
                .min(end_us)
                .saturating_sub(started_us.max(start_us));
            self.outcome.tallies[index][kind].occupy(overlap_us, in_time);
            start_us = end_us;
        }
    }

    fn refuse(&mut self, id: u64, reason: verdict::Reason) {
        let request = self.requests.remove(&id);
        let request = request.expect("a request ends once");
        assert_eq!(
            request.runner,
            usize::MAX,
            "a started request is never refused"
        );
        let tally = &mut self.outcome.tallies[request.phase][request.kind];
        *tally.refused.entry(reason).or_insert(0) += 1;
        self.note_bad(request.phase, request.sent_us);
    }

    fn note_bad(&mut self, phase: usize, sent_us: u64) {
        let start_ms: u64 = self.phases[..phase]
            .iter()
            .map(|phase| phase.length_ms)
            .sum();
        let window = (sent_us / 1_000 - start_ms) / WINDOW_MS;
        self.outcome.windows[phase][window as usize].bad += 1;
    }
}

fn windows(phases: &[Phase]) -> Vec<Vec<Window>> {
    let count = |phase: &Phase| (phase.length_ms / WINDOW_MS + 1) as usize;
    phases
        .iter()
        .map(|phase| vec![Window::default(); count(phase)])
        .collect()
}

fn door(config: &Config, index: usize, vms: &[id::Vm], members: &[roster::NodeId]) -> Door {
    match config.policy {
        Policy::Shares(settings) => {
            let specs: Vec<_> = config.kinds.iter().map(|kind| kind.spec).collect();
            let service = dispatch::Service::new(members[index].clone(), &specs, settings);
            Door::Shares(Box::new(service))
        }
        Policy::Fifo => Door::Fifo(baseline::Fifo::new(vms.to_vec(), index)),
        Policy::Fixed => {
            let slots = vms
                .iter()
                .flat_map(|vm| vec![vm.clone(); config.slots as usize]);
            let mut free = vec![Vec::new(); config.kinds.len()];
            let mine = slots
                .enumerate()
                .filter(|(slot, _)| slot % config.nodes == index);
            for (count, (_, vm)) in mine.enumerate() {
                free[count % config.kinds.len()].push(vm);
            }
            Door::Fixed(baseline::Fixed::new(free))
        }
    }
}

/// One way between an entry node and a runner or another node; both are spread over the data centres in turn.
fn one_way_us(from: usize, to: usize) -> u64 {
    if from % DATA_CENTRES == to % DATA_CENTRES {
        NEAR_US
    } else {
        FAR_US
    }
}

fn pick(weights: &[f64], rng: &mut SmallRng) -> usize {
    let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left <= 0.0 {
            return index;
        }
    }
    weights.len() - 1
}
