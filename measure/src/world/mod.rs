//! Small fakes of table, VMs, entry VMs and lease holders around the real fleet duty.
//!
//! Events are handled in the order of their moments; every fault comes from the seed. Invariants are
//! checked at each commit and at each effect, and a violation ends up in [`World::violations`].

pub mod check;
mod faults;
pub mod fleet;
mod holder;
pub mod life;
mod run;
mod table;
mod vm;

use std::collections::BTreeMap;
use std::rc::Rc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wasabiloft::{document, id, journal, platform};

/// Platform's time at the start of each run: the second day of a period.
pub const START_MS: u64 = (28 * 700 + 1) * wasabiloft::clock::DAY_MS;

/// A protection that a run does without, to show that the invariants notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Without {
    /// The table takes transactions of older epochs, and VMs their effects.
    Fencing,
    /// Entry VMs are taken to have acknowledged at once.
    DrainProof,
    /// The duty believes each VM to be a failure domain of its own.
    DomainReserve,
    /// The table ignores the versions that transactions check.
    Checks,
    /// Neither fencing nor versions: what either would still hold together.
    FencingAndChecks,
}

impl Without {
    /// Tells whether older epochs are taken.
    pub fn fencing(self) -> bool {
        matches!(self, Self::Fencing | Self::FencingAndChecks)
    }

    /// Tells whether versions are ignored.
    pub fn checks(self) -> bool {
        matches!(self, Self::Checks | Self::FencingAndChecks)
    }
}

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of everything random.
    pub seed: u64,
    /// The fleet.
    pub fleet: fleet::Shape,
    /// True if faults are injected.
    pub faults: bool,
    /// The protection that is switched off.
    pub without: Option<Without>,
    /// The longest that a run may take, in milliseconds.
    pub limit_ms: u64,
    /// How often holders are given the time, in milliseconds.
    pub tick_ms: u64,
    /// How often the platform makes a new list, in milliseconds.
    pub list_ms: u64,
    /// Ordinary weeks, which run to the limit.
    pub life: Option<life::Life>,
}

/// An event and its moment.
enum Event {
    Tick,
    List,
    ListArrives(Rc<platform::VmList>),
    Apply(table::Sent),
    Settled {
        holder: usize,
        token: wasabiloft::fleet::Token,
        settled: journal::Settled,
    },
    Rows {
        holder: usize,
    },
    Effect(vm::Call),
    EffectDone {
        holder: usize,
        vm: id::Vm,
        operation: id::Operation,
    },
    Announced {
        holder: usize,
        node: usize,
        vm: id::Vm,
        operation: id::Operation,
    },
    Acknowledged {
        holder: usize,
        node: usize,
        incarnation: u64,
        vm: id::Vm,
        operation: id::Operation,
    },
    Vacated {
        holder: usize,
        vm: id::Vm,
        operation: id::Operation,
    },
    BootEnds {
        vm: id::Vm,
        boot: u64,
    },
    FailureEnds {
        vm: id::Vm,
        failure: u64,
    },
    Fault(faults::Fault),
    Fails(id::Vm, u64),
    Edited(usize, u32),
    Demand,
    TakeOver {
        old: usize,
    },
    Wake {
        holder: usize,
    },
    NodeRemoved(usize),
    NodeReplaced(usize),
}

/// The whole run.
pub struct World {
    options: Options,
    rng: SmallRng,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    last_event: u64,
    documents: Vec<document::Document>,
    table: table::Table,
    vms: BTreeMap<id::Vm, vm::Vm>,
    nodes: Vec<vm::Node>,
    holders: Vec<holder::Holder>,
    list: Rc<platform::VmList>,
    list_lag_ms: u64,
    list_lag_until_ms: u64,
    check: check::Check,
    /// What has happened.
    pub totals: Totals,
    /// Invariants that did not hold, with their moments.
    pub violations: Vec<String>,
}

/// Counts of one run.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// VMs rebooted.
    pub reboots: u64,
    /// VMs that changed pools.
    pub moves: u64,
    /// Drains that were given up.
    pub abandoned: u64,
    /// Transactions that were refused.
    pub refused: u64,
    /// Faults that were injected.
    pub faults: u64,
    /// Holders that took the duty over.
    pub takeovers: u64,
    /// Pauses by reason.
    pub pauses: BTreeMap<String, u64>,
    /// When the last VM had been maintained, in milliseconds from the start.
    pub finished_ms: Option<u64>,
    /// VMs that are live and not maintained at the end.
    pub unfinished: u64,
    /// VM-milliseconds of VMs in service in the spare pool.
    pub spare_vm_ms: u64,
    /// VM-milliseconds of VMs in service beyond what documents ask for.
    pub surplus_vm_ms: u64,
    /// VM-milliseconds of runners that were missing.
    pub missing_vm_ms: u64,
    /// Time that the decisions took, and how often they were given the time.
    pub decided: (std::time::Duration, u64),
}

impl Totals {
    /// Processor time of the decisions per tick, in microseconds.
    pub fn cpu_us_a_tick(&self) -> f64 {
        let (time, ticks) = self.decided;
        time.as_secs_f64() * 1e6 / ticks.max(1) as f64
    }
}

impl World {
    /// Makes the world of a run.
    pub fn new(options: Options) -> Self {
        let built = fleet::build(&options.fleet);
        let vms = built.vms.into_iter();
        let mut world = Self {
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            now_ms: 0,
            events: BTreeMap::new(),
            last_event: 0,
            documents: built.documents,
            table: table::Table::default(),
            vms: vms.map(|vm| (vm.vm.clone(), vm::Vm::new(vm))).collect(),
            nodes: (0..fleet::NODES).map(|_| vm::Node::default()).collect(),
            holders: Vec::new(),
            list: Rc::default(),
            list_lag_ms: 0,
            list_lag_until_ms: 0,
            check: check::Check::default(),
            totals: Totals::default(),
            violations: Vec::new(),
        };
        world.open_senders();
        world.add_holder();
        world.at(0, Event::List);
        world.at(0, Event::Tick);
        world.plan_faults();
        world.plan_life();
        world
    }

    fn at(&mut self, delay_ms: u64, event: Event) {
        self.last_event += 1;
        let key = (self.now_ms + delay_ms, self.last_event);
        self.events.insert(key, event);
    }

    /// What the newest holder says of the fleet.
    pub fn status(&self) -> wasabiloft::fleet::status::Fleet {
        let newest = self.holders.last().expect("a run begins with a holder");
        newest.planner.status()
    }

    fn violate(&mut self, text: String) {
        let now_ms = self.now_ms;
        self.violations.push(format!("{now_ms} ms: {text}"));
    }
}
