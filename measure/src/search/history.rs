//! Histories: a small deployment and the faults that happen in it, drawn from a seed or written as JSON.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Durations from which those of drawn faults are chosen, in milliseconds: around the leases, timeouts and heartbeats.
pub(super) const DURATIONS_MS: [u64; 10] = [
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
    /// When the last node starts, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub joins_ms: u64,
    /// The last so many nodes have less CPU than the others, so that they send fewer heartbeats and claim later.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub weak_nodes: u64,
    /// Length of the history, in milliseconds.
    #[serde(default = "run_default_ms", skip_serializing_if = "is_run_default")]
    pub run_ms: u64,
}

/// Length of most histories, in milliseconds.
pub const RUN_MS: u64 = 17_000;

fn run_default_ms() -> u64 {
    RUN_MS
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_run_default(run_ms: &u64) -> bool {
    *run_ms == RUN_MS
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_zero(value: &u64) -> bool {
    *value == 0
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
    /// A node's process is asked to stop, so that a leader releases the duty, and starts again.
    Stop { node: usize, for_ms: u64 },
    /// A leader releases the duty in favour of another node and goes on as a follower.
    StepDown { node: usize },
    /// Heartbeats between two nodes get no response; with a one-way cut, those of `node` still arrive.
    Split {
        node: usize,
        other: usize,
        how: Cut,
        for_ms: u64,
    },
    /// These nodes and workers are cut off from all others and from the platform, or the platform refuses their nodes'
    /// transactions only.
    Partition {
        nodes: Vec<usize>,
        vms: Vec<usize>,
        writes_only: bool,
        for_ms: u64,
    },
    /// The store refuses a node's transactions and answers its reads.
    WritesRefused { node: usize, for_ms: u64 },
    /// The store's answers to a node are late.
    StoreSlow {
        node: usize,
        delay_ms: u64,
        for_ms: u64,
    },
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

impl Kind {
    /// Returns the fault's name, as in its JSON form; a restart under the same id is `same-id`.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Freeze { .. } => "freeze",
            Self::Restart { .. } => "restart",
            Self::Stop { .. } => "stop",
            Self::StepDown { .. } => "step-down",
            Self::Split { .. } => "split",
            Self::Partition { .. } => "partition",
            Self::WritesRefused { .. } => "writes-refused",
            Self::StoreSlow { .. } => "store-slow",
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

    /// Returns the highest number of a node that the fault affects.
    fn last_node(&self) -> usize {
        match self {
            Self::Freeze { node, .. }
            | Self::Restart { node, .. }
            | Self::Stop { node, .. }
            | Self::StepDown { node }
            | Self::StoreAway { node, .. }
            | Self::WritesRefused { node, .. }
            | Self::StoreSlow { node, .. }
            | Self::Cut {
                node: Some(node), ..
            } => *node,
            Self::Split { node, other, .. } => *node.max(other),
            Self::Partition { nodes, .. } => nodes.iter().copied().max().unwrap_or(0),
            _ => 0,
        }
    }

    /// Returns shorter or simpler forms.
    fn simpler(&self) -> Vec<Self> {
        let mut simpler = Vec::new();
        for shorter_ms in DURATIONS_MS {
            let mut kind = self.clone();
            let (Self::Freeze { for_ms, .. }
            | Self::Restart { for_ms, .. }
            | Self::Stop { for_ms, .. }
            | Self::Split { for_ms, .. }
            | Self::Partition { for_ms, .. }
            | Self::WritesRefused { for_ms, .. }
            | Self::StoreSlow { for_ms, .. }
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
                nodes: (self.setup.nodes - 1).max(1),
                ..self.setup.clone()
            },
            Setup {
                joins_ms: 0,
                ..self.setup.clone()
            },
            Setup {
                weak_nodes: 0,
                ..self.setup.clone()
            },
            Setup {
                run_ms: RUN_MS,
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
            let last = self.faults.iter().map(|fault| fault.kind.last_node()).max();
            let uses_others = last.is_some_and(|last| last >= setup.nodes);
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
