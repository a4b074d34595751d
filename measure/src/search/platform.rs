//! The platform's store and machine interface.

use std::collections::{BTreeMap, BTreeSet};

use wasabiloft::batch::{JobId, pools, predecessors, progress_rows, queue, record, spec, waves};
use wasabiloft::id;
use wasabiloft::platform::Resources;

use crate::search::history::Message;
use crate::search::shell::{Command, CommandOutcome};
use crate::search::world::{Answer, Event, LATENCY_MS, POOL, World};

/// Time that a transaction takes, in milliseconds.
const TRANSACTION_MS: u64 = 8;
/// Time that the list of machines takes, in milliseconds.
const LIST_MS: u64 = 10;
/// The VM of messages that belong to none.
pub const ANY_VM: usize = usize::MAX;

/// A transaction that is conditional on the version of the duty's row.
#[derive(Clone, Debug)]
pub struct Transaction {
    /// The node that sends it.
    pub node: usize,
    /// Version that the row must have.
    pub version: u64,
    /// Epoch that the row gets.
    pub epoch: u64,
    /// Identifies the transaction; its repetitions carry the same.
    pub token: u64,
    /// The rows.
    pub batch: record::WriteBatch,
    /// CPU of the node, in thousandths of a core.
    pub cpu_milli: u64,
    /// Whether the duty is released.
    pub releases: bool,
    /// What the row says of its leader.
    pub standing: Standing,
}

/// What the duty's row says of its leader, apart from who it is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Whether only commits prove to the leader that it leads.
    pub commits_only: bool,
    /// What the next leader has to assume of those before it.
    pub assumed: predecessors::Assumed,
}

/// The rows of the store.
#[derive(Debug, Default)]
pub struct Store {
    /// Version of the duty's row.
    pub version: u64,
    /// The node that leads.
    pub holder: Option<usize>,
    /// Epoch of the duty.
    pub epoch: u64,
    /// CPU of the node that leads, or led last, in thousandths of a core.
    pub cpu_milli: u64,
    /// What the row says of its leader.
    pub standing: Standing,
    token: u64,
    /// Accepted jobs.
    pub accepted: Vec<(JobId, record::Accepted)>,
    /// Progress of jobs.
    pub progress: BTreeMap<progress_rows::Key, record::Progress>,
    /// Workers that can run tasks.
    pub workers: BTreeMap<id::Worker, record::WorkerRow>,
    /// Newest command of each machine.
    pub commands: BTreeMap<id::Vm, record::MachineRow>,
    /// Progress of waves.
    pub waves: BTreeMap<waves::Key, waves::Record>,
}

impl Store {
    /// Stores a job.
    pub fn submit(&mut self, job: u64, tasks: u32, task_ms: u64) {
        let step = spec::Step {
            tasks,
            need: Resources {
                cpu_milli: 1_000,
                memory_mib: 1_000,
                accelerators: 0,
            },
            estimate_ms: task_ms,
            ..spec::Step::default()
        };
        let accepted = record::Accepted {
            account: None,
            queue: queue::Queue {
                name: "quotes".into(),
                service: id::Service::new(POOL),
                rank: 0,
                attempts_max: 3,
                stretch_milli: 1_600,
                target_ms: 600,
                advice: None,
            },
            spec: spec::Spec {
                text: "text".into(),
                steps: vec![step],
                schedule: None,
            },
            submitted_unix_ms: 0,
            row_version: 0,
        };
        self.accepted.push((JobId(job), accepted));
    }

    /// Applies a transaction and returns the answer.
    fn apply(&mut self, transaction: &Transaction) -> Answer {
        if transaction.token == self.token {
            return Answer::Committed(self.version);
        }
        if transaction.version != self.version {
            return Answer::CheckFailed;
        }
        self.version += 1;
        self.token = transaction.token;
        self.holder = Some(transaction.node).filter(|_| !transaction.releases);
        self.epoch = transaction.epoch;
        self.cpu_milli = transaction.cpu_milli;
        self.standing = transaction.standing.clone();
        let batch = &transaction.batch;
        self.progress.extend(batch.progress.iter().cloned());
        self.workers.extend(batch.workers_added.iter().cloned());
        for worker in &batch.workers_removed {
            self.workers.remove(worker);
        }
        self.commands.extend(batch.machine_commands.iter().cloned());
        self.waves.extend(batch.waves.iter().cloned());
        Answer::Committed(self.version)
    }
}

/// The machine interface.
#[derive(Debug, Default)]
pub struct Cloud {
    /// Whether it carries out commands while it doesn't answer, and until when.
    pub away: Option<(bool, u64)>,
    /// Delay of its answers, and until when, in milliseconds.
    pub slow: Option<(u64, u64)>,
    done: BTreeSet<(usize, u64)>,
}

impl World {
    /// Returns when a message that leaves a node towards the platform arrives there, or one towards the node.
    fn platform_ms(&self, node: usize, latency_ms: u64) -> u64 {
        let away_until_ms = self.nodes[node].store_away_until_ms;
        (self.now_ms + latency_ms).max(away_until_ms + LATENCY_MS)
    }

    /// Returns by how much the store's answers to a node are late, in milliseconds.
    pub fn store_delay_ms(&self, node: usize) -> u64 {
        let (delay_ms, until_ms) = self.nodes[node].store_slow;
        if self.now_ms < until_ms { delay_ms } else { 0 }
    }

    /// Sends a transaction.
    pub fn transact(&mut self, node: usize, call: u64, transaction: Transaction) {
        if self.now_ms < self.nodes[node].writes_refused_until_ms {
            let answer = Answer::Failed { refused: true };
            let event = Event::ToNode { node, call, answer };
            self.push(self.now_ms + 2 * LATENCY_MS, event);
            return;
        }
        let at_ms = self.platform_ms(node, LATENCY_MS);
        let event = Event::ToStore {
            node,
            call,
            transaction,
        };
        self.deliver(Message::Commit, ANY_VM, at_ms - self.now_ms, event);
    }

    /// Carries out a transaction.
    pub fn at_store(&mut self, node: usize, call: u64, transaction: Transaction) {
        let answer = self.store.apply(&transaction);
        let latency_ms = TRANSACTION_MS + self.store_delay_ms(node);
        let at_ms = self.platform_ms(node, latency_ms);
        let event = Event::ToNode { node, call, answer };
        self.deliver(Message::CommitAnswer, ANY_VM, at_ms - self.now_ms, event);
    }

    /// Sends a command to the machine interface, or a request for the list.
    pub fn call_cloud(&mut self, node: usize, call: u64, command: Option<(usize, Command)>) {
        let vm = command.as_ref().map_or(ANY_VM, |(vm, _)| *vm);
        let at_ms = self.platform_ms(node, LATENCY_MS);
        let latency_ms = at_ms - self.now_ms;
        let event = Event::ToCloud {
            node,
            call,
            epoch: self.nodes[node].epoch(),
            command,
        };
        if vm == ANY_VM {
            self.push(at_ms, event);
        } else {
            self.deliver(Message::Command, vm, latency_ms, event);
        }
    }

    /// Carries out a call of the machine interface.
    pub fn at_cloud(
        &mut self,
        node: usize,
        call: u64,
        epoch: u64,
        command: Option<(usize, Command)>,
    ) {
        // A call that was given up reset its connection, so that what the network had held up is lost.
        if command.is_some() && !self.nodes[node].is_open(call) {
            self.note(|| format!("call {call} of n{node} is lost with its connection"));
            return;
        }
        let now_ms = self.now_ms;
        let away = self.cloud.away.filter(|(_, until_ms)| now_ms < *until_ms);
        if away.is_some_and(|(executes, _)| !executes || command.is_none()) {
            return;
        }
        let slow = self.cloud.slow.filter(|(_, until_ms)| now_ms < *until_ms);
        let delay_ms = slow.map_or(LIST_MS, |(delay_ms, _)| delay_ms);
        let (message, vm, answer) = match command {
            None => (Message::List, ANY_VM, Answer::List(self.machines())),
            Some((vm, command)) => {
                self.checks.commanded(vm, epoch, node, now_ms);
                let outcome = self.carry_out(vm, &command);
                self.note(|| format!("{command:?} of vm{vm} by n{node}: {outcome:?}"));
                (Message::CommandAnswer, vm, Answer::Commanded(outcome))
            }
        };
        if away.is_none() {
            let at_ms = self.platform_ms(node, delay_ms);
            let event = Event::ToNode { node, call, answer };
            self.deliver(message, vm, at_ms - now_ms, event);
        }
    }

    fn carry_out(&mut self, vm: usize, command: &Command) -> CommandOutcome {
        let is_done = match command {
            Command::Move { to } => self.vms[vm].pool == *to,
            Command::Upkeep { wave } => self.cloud.done.contains(&(vm, *wave)),
        };
        if is_done {
            return CommandOutcome::Yes;
        }
        if let Command::Upkeep { wave } = command {
            let request = self.waves.iter().find(|request| request.number == *wave);
            if !request.is_some_and(|request| request.vms.contains(&self.vms[vm].id)) {
                return CommandOutcome::NotOfWave;
            }
        }
        let is_leaving = self.vms[vm].life.as_ref().is_none_or(|life| life.leaving);
        if self.vms[vm].state != pools::State::Up || is_leaving {
            return CommandOutcome::Busy;
        }
        if let Command::Upkeep { wave } = command {
            self.cloud.done.insert((vm, *wave));
        }
        self.end_life_by_command(vm, command);
        CommandOutcome::Yes
    }
}
