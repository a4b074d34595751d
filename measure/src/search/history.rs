//! Histories: a small deployment and the faults that happen in it, drawn from a seed or written as JSON.

use std::fmt;

use rand::Rng;
use serde::{Deserialize, Serialize};

/// Latest time of a drawn fault, in milliseconds.
const FAULT_LAST_MS: u64 = 9_000;
/// Times of drawn faults are multiples of this, in milliseconds.
const GRID_MS: u64 = 50;
/// Durations from which those of drawn faults are chosen, in milliseconds: around the leases, timeouts and heartbeats.
const DURATIONS_MS: [u64; 10] = [
    150, 400, 800, 1_500, 2_500, 3_500, 4_500, 5_500, 7_000, 9_000,
];

/// The deployment in which a history takes place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setup {
    /// Nodes that can lead; the first leads at the beginning.
    pub nodes: usize,
    /// Machines, each with one worker.
    pub vms: usize,
    /// Time that a message between a node and a worker takes, in milliseconds.
    pub latency_ms: u64,
    /// Cores of a worker; each task takes one.
    pub cores: u64,
    /// Number of jobs.
    pub jobs: u64,
    /// Interval between two jobs, in milliseconds.
    pub every_ms: u64,
    /// Tasks of a job.
    pub tasks: u32,
    /// Duration of a task, in milliseconds.
    pub task_ms: u64,
    /// When the first job is submitted, in milliseconds.
    pub submit_ms: u64,
    /// Whether the clocks of the workers are 2 % slow.
    pub slow_clocks: bool,
    /// Whether the workers carry out commands of replaced leaders, which the platform forbids; shows that the checks work.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub unfenced: bool,
}

/// How a path is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cut {
    /// Bytes wait until the cut ends.
    Silent,
    /// Bytes towards the node wait until the cut ends.
    OneWay,
    /// Connections are reset and new ones refused.
    Refused,
}

/// Kinds of messages whose delivery a history can change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// A start on its way to a worker.
    Start,
    /// A stop on its way to a worker.
    Stop,
    /// A poll on its way to a worker.
    Poll,
    /// A worker's answer to any command.
    Answer,
    /// A list of machines on its way to a node.
    List,
    /// A command on its way to the machine interface.
    Command,
    /// The machine interface's answer to a command.
    CommandAnswer,
    /// A transaction on its way to the store.
    Commit,
    /// The store's answer to a transaction.
    CommitAnswer,
}

/// What a process handles first when it wakes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum First {
    /// Messages in the order of their arrival, before timers.
    #[default]
    Answers,
    /// Timers that are due.
    Timers,
    /// New jobs and changes of the registry, and what is decided on them.
    Feeds,
}

/// What happens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "what")]
pub enum Kind {
    /// A node stands still.
    Freeze {
        node: usize,
        for_ms: u64,
        first: First,
    },
    /// A node's process ends and starts again.
    Restart { node: usize, for_ms: u64 },
    /// A worker is cut off from a node, or from all.
    Cut {
        node: Option<usize>,
        vm: usize,
        how: Cut,
        for_ms: u64,
    },
    /// A worker is cut off from all nodes and from the store.
    Isolate { vm: usize, how: Cut, for_ms: u64 },
    /// A node is cut off from the store and the machine interface.
    StoreAway { node: usize, for_ms: u64 },
    /// A worker crashes; connections to it are reset, or hang.
    Crash {
        vm: usize,
        silent: bool,
        for_ms: u64,
        same_id: bool,
    },
    /// A worker announces its stop and exits this long after the announced time.
    Drain { vm: usize, extra_ms: u64 },
    /// A worker's registry entry disappears until its next heartbeat.
    Unlist { vm: usize },
    /// The machine interface doesn't answer; it carries out the commands that it had received, or receives none.
    CloudAway { executes: bool, for_ms: u64 },
    /// The machine interface answers late.
    CloudSlow { delay_ms: u64, for_ms: u64 },
    /// Operators request the maintenance of a machine.
    Wave { vm: usize },
    /// Demand requires that a machine is moved to another pool.
    Move { vm: usize },
    /// The next such message is delayed.
    HoldUp {
        message: Message,
        vm: usize,
        for_ms: u64,
    },
    /// The next such message is lost.
    Lose { message: Message, vm: usize },
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// When it happens, in milliseconds.
    pub at_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub kind: Kind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>6} ms  {:?}", self.at_ms, self.kind)
    }
}

/// A deployment and its faults; a run of it is deterministic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The deployment.
    pub setup: Setup,
    /// The faults.
    pub faults: Vec<Fault>,
}

fn duration_ms<R>(rng: &mut R) -> u64
where
    R: Rng,
{
    DURATIONS_MS[rng.random_range(0..DURATIONS_MS.len())]
}

fn cut<R>(rng: &mut R) -> Cut
where
    R: Rng,
{
    [Cut::Silent, Cut::OneWay, Cut::Refused][rng.random_range(0..3)]
}

fn message<R>(rng: &mut R) -> Message
where
    R: Rng,
{
    const ALL: [Message; 9] = [
        Message::Start,
        Message::Stop,
        Message::Poll,
        Message::Answer,
        Message::List,
        Message::Command,
        Message::CommandAnswer,
        Message::Commit,
        Message::CommitAnswer,
    ];
    ALL[rng.random_range(0..ALL.len())]
}

impl Kind {
    /// Draws a fault that affects a VM, if it affects any.
    fn draw<R>(rng: &mut R, nodes: usize, vm: usize) -> Self
    where
        R: Rng,
    {
        let node = rng.random_range(0..nodes);
        let for_ms = duration_ms(rng);
        match rng.random_range(0..15) {
            0 => Self::Freeze {
                node,
                for_ms,
                first: [First::Answers, First::Timers, First::Feeds][rng.random_range(0..3)],
            },
            1 if nodes > 1 => Self::Restart { node, for_ms },
            2 => Self::Cut {
                node: rng.random::<bool>().then_some(node),
                vm,
                how: cut(rng),
                for_ms,
            },
            3 | 4 => Self::Isolate {
                vm,
                how: cut(rng),
                for_ms,
            },
            5 => Self::StoreAway { node, for_ms },
            6 | 7 => Self::Crash {
                vm,
                silent: rng.random(),
                for_ms,
                same_id: rng.random(),
            },
            8 => Self::Drain {
                vm,
                extra_ms: for_ms,
            },
            9 => Self::Unlist { vm },
            10 => Self::CloudAway {
                executes: rng.random(),
                for_ms,
            },
            11 => Self::CloudSlow {
                delay_ms: rng.random_range(1..15) * 100,
                for_ms,
            },
            12 => Self::Wave { vm },
            13 => Self::Move { vm },
            _ if rng.random() => Self::HoldUp {
                message: message(rng),
                vm,
                for_ms,
            },
            _ => Self::Lose {
                message: message(rng),
                vm,
            },
        }
    }

    /// Draws a fault of the first leader that lasts long enough for a successor.
    fn draw_of_leader<R>(rng: &mut R) -> Self
    where
        R: Rng,
    {
        let for_ms = [2_500, 3_500, 4_500, 5_500][rng.random_range(0..4)];
        if rng.random_bool(0.3) {
            return Self::StoreAway { node: 0, for_ms };
        }
        Self::Freeze {
            node: 0,
            for_ms,
            first: [First::Answers, First::Timers, First::Feeds][rng.random_range(0..3)],
        }
    }

    /// Returns the fault's name, as in its JSON form; a restart under the same id is `same-id`.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Freeze { .. } => "freeze",
            Self::Restart { .. } => "restart",
            Self::Cut { .. } => "cut",
            Self::Isolate { .. } => "isolate",
            Self::StoreAway { .. } => "store-away",
            Self::Crash { same_id: true, .. } => "same-id",
            Self::Crash { .. } => "crash",
            Self::Drain { .. } => "drain",
            Self::Unlist { .. } => "unlist",
            Self::CloudAway { .. } => "cloud-away",
            Self::CloudSlow { .. } => "cloud-slow",
            Self::Wave { .. } => "wave",
            Self::Move { .. } => "move",
            Self::HoldUp { .. } => "hold-up",
            Self::Lose { .. } => "lose",
        }
    }

    /// Returns shorter or simpler forms.
    fn simpler(&self) -> Vec<Self> {
        let mut simpler = Vec::new();
        for shorter_ms in DURATIONS_MS {
            let mut kind = self.clone();
            let (Self::Freeze { for_ms, .. }
            | Self::Restart { for_ms, .. }
            | Self::Cut { for_ms, .. }
            | Self::Isolate { for_ms, .. }
            | Self::StoreAway { for_ms, .. }
            | Self::Crash { for_ms, .. }
            | Self::Drain {
                extra_ms: for_ms, ..
            }
            | Self::CloudAway { for_ms, .. }
            | Self::CloudSlow { for_ms, .. }
            | Self::HoldUp { for_ms, .. }) = &mut kind
            else {
                break;
            };
            if shorter_ms >= *for_ms {
                break;
            }
            *for_ms = shorter_ms;
            simpler.push(kind);
        }
        simpler
    }
}

impl History {
    /// Draws a history with one to six faults, none of them named in `without`.
    pub fn draw<R>(rng: &mut R, nodes: usize, without: &[String]) -> Self
    where
        R: Rng,
    {
        let mut at_ms = rng.random_range(2..60) * GRID_MS;
        // Many short tasks are started all the time; few long ones run long enough to be seen twice.
        let (jobs, every_ms, tasks, task_ms) = [
            (1, 0, 1, 9_000),
            (1, 0, 8, 9_000),
            (1, 0, 30, 700),
            (30, 300, 1, 700),
            (20, 400, 2, 1_500),
            (12, 500, 2, 5_000),
        ][rng.random_range(0..6)];
        let setup = Setup {
            nodes,
            vms: rng.random_range(2..=3),
            latency_ms: [1, 20][rng.random_range(0..2)],
            cores: [2, 8][rng.random_range(0..2)],
            jobs,
            every_ms,
            tasks,
            task_ms,
            submit_ms: (at_ms + rng.random_range(0..60) * GRID_MS).saturating_sub(1_000),
            slow_clocks: rng.random(),
            unfenced: without.iter().any(|name| name == "fences"),
        };
        let mut vm = rng.random_range(0..setup.vms);
        let mut faults = Vec::new();
        if nodes > 1 && rng.random_bool(0.7) {
            // Only a leader in trouble has a successor; others matter while both act.
            let kind = Kind::draw_of_leader(rng);
            if !without.iter().any(|name| name == kind.name()) {
                faults.push(Fault { at_ms, kind });
            }
            at_ms += rng.random_range(0..40) * GRID_MS;
        }
        for _ in 0..rng.random_range(1..=6) {
            // Faults of the same worker, shortly after each other, interact most.
            if rng.random_bool(0.3) {
                vm = rng.random_range(0..setup.vms);
            }
            let kind = Kind::draw(rng, nodes, vm);
            if !without.iter().any(|name| name == kind.name()) {
                faults.push(Fault { at_ms, kind });
            }
            let pause_ms = match rng.random_range(0..3) {
                0 => rng.random_range(0..10) * GRID_MS,
                1 => rng.random_range(0..40) * GRID_MS,
                _ => rng.random_range(0..100) * GRID_MS,
            };
            at_ms = (at_ms + pause_ms).min(FAULT_LAST_MS);
        }
        Self { setup, faults }
    }

    /// Returns histories that are a step shorter or simpler, the largest steps first.
    pub fn simpler(&self) -> Vec<Self> {
        let mut simpler = Vec::new();
        for index in 0..self.faults.len() {
            let mut history = self.clone();
            history.faults.remove(index);
            simpler.push(history);
        }
        let setups = [
            Setup {
                nodes: 1,
                ..self.setup.clone()
            },
            Setup {
                latency_ms: 1,
                ..self.setup.clone()
            },
            Setup {
                jobs: 1,
                ..self.setup.clone()
            },
            Setup {
                jobs: self.setup.jobs / 2 + 1,
                ..self.setup.clone()
            },
            Setup {
                tasks: 1,
                ..self.setup.clone()
            },
            Setup {
                slow_clocks: false,
                ..self.setup.clone()
            },
        ];
        for setup in setups {
            let uses_others = self.faults.iter().any(|fault| match fault.kind {
                Kind::Freeze { node, .. }
                | Kind::Restart { node, .. }
                | Kind::StoreAway { node, .. }
                | Kind::Cut {
                    node: Some(node), ..
                } => node >= setup.nodes,
                _ => false,
            });
            if setup != self.setup && !uses_others {
                simpler.push(Self {
                    setup,
                    faults: self.faults.clone(),
                });
            }
        }
        for (index, fault) in self.faults.iter().enumerate() {
            for kind in fault.kind.simpler() {
                let mut history = self.clone();
                history.faults[index].kind = kind;
                simpler.push(history);
            }
        }
        simpler
    }
}
