//! The control component's task: drives [`wasabiloft::control::Control`] with messages, replies and ticks.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use rand::Rng;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft::clock as instants;
use wasabiloft::config;
use wasabiloft::control;
use wasabiloft::id;
use wasabiloft::journal;
use wasabiloft::lease;
use wasabiloft::platform as messages;
use wasabiloft::roster;

use crate::clock;
use crate::log;
use crate::peers;
use crate::platform;

/// Capacity of the queue of calls to the control component.
const CALLS_MAX: usize = 1_024;
/// Maximum time that a leaving node waits to release its duties and to leave the roster, in milliseconds.
const LEAVE_TIMEOUT_MS: u64 = 3_000;

/// The control component's state as the rest of the node sees it; every update replaces all of it.
#[derive(Clone, Debug)]
pub struct State {
    /// The version of the configuration in force.
    pub head: u64,
    /// Whether the node may serve requests, to be compared with the clock at each request.
    pub standing: config::ServingState,
    /// The documents in force, deleted ones included.
    pub documents: Arc<BTreeMap<id::Service, config::Version>>,
    /// The roster in force.
    pub roster: Arc<roster::Roster>,
    /// Members whose heartbeats arrive.
    pub live: Vec<roster::NodeId>,
    /// Leases held on duties, each with the instant before which an effect has to start.
    pub duties: Vec<(lease::Grant, instants::Instant)>,
    /// True while the table does not answer.
    pub table_unavailable: bool,
}

impl State {
    fn new() -> Self {
        Self {
            head: 0,
            standing: config::ServingState::Starting,
            documents: Arc::default(),
            roster: Arc::default(),
            live: Vec::new(),
            duties: Vec::new(),
            table_unavailable: false,
        }
    }
}

/// A call to the control component.
#[derive(Debug)]
enum Call {
    Submit(messages::Txn, oneshot::Sender<journal::Settled>),
    Edit(
        config::edit::Edit,
        u64,
        oneshot::Sender<config::edit::Status>,
    ),
    SetDuties(Vec<id::Duty>),
}

/// A handle to the control component; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    clock: clock::Clock,
    calls: mpsc::Sender<Call>,
    state: watch::Receiver<Arc<State>>,
}

impl Handle {
    /// Returns the last published state.
    pub fn state(&self) -> Arc<State> {
        Arc::clone(&self.state.borrow())
    }

    /// Returns a receiver that is notified of each published state.
    pub fn watch(&self) -> watch::Receiver<Arc<State>> {
        self.state.clone()
    }

    /// Returns the node's clock.
    pub fn clock(&self) -> clock::Clock {
        self.clock
    }

    /// Returns true if the node may serve a request that arrives now.
    pub fn may_serve(&self) -> bool {
        match self.state.borrow().standing {
            config::ServingState::ServingUntil(until) => self.clock.now() < until,
            config::ServingState::Starting | config::ServingState::Isolated => false,
        }
    }

    /// Returns true if an effect of a duty may start now; to be checked right before the effect.
    pub fn may_act(&self, grant: &lease::Grant) -> bool {
        let state = self.state.borrow();
        let held = state.duties.iter().find(|(held, _)| held == grant);
        held.is_some_and(|(_, act_before)| self.clock.now() < *act_before)
    }

    /// Submits a transaction and waits until it is settled; `None` if it could not be queued or the node stops.
    pub async fn submit(&self, txn: messages::Txn) -> Option<journal::Settled> {
        let (reply, settled) = oneshot::channel();
        self.calls.send(Call::Submit(txn, reply)).await.ok()?;
        settled.await.ok()
    }

    /// Edits a document and waits until the edit is accepted or refused, or for `wait_ms`.
    ///
    /// Returns `None` if the node stops; the edit can then still come into force.
    pub async fn edit(
        &self,
        edit: config::edit::Edit,
        wait_ms: u64,
    ) -> Option<config::edit::Status> {
        let (reply, status) = oneshot::channel();
        self.calls
            .send(Call::Edit(edit, wait_ms, reply))
            .await
            .ok()?;
        status.await.ok()
    }

    /// Sets the duties that exist in the system.
    pub async fn set_duties(&self, duties: Vec<id::Duty>) {
        // Fails only while the node stops.
        let _ = self.calls.send(Call::SetDuties(duties)).await;
    }
}

/// An edit whose outcome an operator waits for.
#[derive(Debug)]
struct PendingEdit {
    token: config::edit::Token,
    deadline: instants::Instant,
    reply: oneshot::Sender<config::edit::Status>,
}

/// The reply to a request to the table.
#[derive(Debug)]
struct TableReply(control::Input);

/// The control component with its connections, pending requests and callers.
#[derive(Debug)]
pub struct Driver {
    clock: clock::Clock,
    control: control::Control,
    links: Arc<peers::Links>,
    platform: platform::Client,
    calls: mpsc::Receiver<Call>,
    inbox: mpsc::Receiver<peers::Incoming<wasabiloft::peers::Message>>,
    state: watch::Sender<Arc<State>>,
    requests: JoinSet<TableReply>,
    submitted: HashMap<journal::Token, oneshot::Sender<journal::Settled>>,
    edits: Vec<PendingEdit>,
}

/// Creates the control component of a new incarnation; [`Driver::run`] drives it.
pub fn new(
    me: roster::Member,
    seeds: &[id::Node],
    links: Arc<peers::Links>,
    platform: platform::Client,
    inbox: mpsc::Receiver<peers::Incoming<wasabiloft::peers::Message>>,
) -> (Handle, Driver) {
    let clock = clock::Clock::new();
    let (calls_sender, calls) = mpsc::channel(CALLS_MAX);
    let (state, state_receiver) = watch::channel(Arc::new(State::new()));
    let mut control = control::Control::new(me, clock.now(), rand::rng().random());
    control.set_seeds(seeds);
    let handle = Handle {
        clock,
        calls: calls_sender,
        state: state_receiver,
    };
    let driver = Driver {
        clock,
        control,
        links,
        platform,
        calls,
        inbox,
        state,
        requests: JoinSet::new(),
        submitted: HashMap::new(),
        edits: Vec::new(),
    };
    (handle, driver)
}

impl Driver {
    /// Drives the control component until `stop`, then releases its duties and leaves the roster.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut leave_deadline: Option<time::Instant> = None;
        while !self.has_ended(leave_deadline) {
            let wake_at = self.clock.at(self.control.wake_at(self.clock.now()));
            let input = tokio::select! {
                () = stop.cancelled(), if leave_deadline.is_none() => {
                    self.control.leave();
                    let wait = std::time::Duration::from_millis(LEAVE_TIMEOUT_MS);
                    leave_deadline = Some(time::Instant::now() + wait);
                    Some(control::Input::Tick)
                }
                Some(incoming) = self.inbox.recv() => {
                    Some(control::Input::Message(incoming.message))
                }
                Some(reply) = self.requests.join_next(), if !self.requests.is_empty() => {
                    reply.ok().map(|TableReply(input)| input)
                }
                Some(call) = self.calls.recv() => {
                    self.handle_call(call);
                    Some(control::Input::Tick)
                }
                () = time::sleep_until(wake_at) => Some(control::Input::Tick),
            };
            if let Some(input) = input {
                self.handle(input);
            }
        }
        self.requests.shutdown().await;
    }

    fn has_ended(&self, leave_deadline: Option<time::Instant>) -> bool {
        leave_deadline
            .is_some_and(|deadline| self.control.has_left() || time::Instant::now() >= deadline)
    }

    fn handle_call(&mut self, call: Call) {
        match call {
            Call::Submit(txn, reply) => match self.control.submit(txn) {
                Ok(token) => drop(self.submitted.insert(token, reply)),
                // Dropping the reply channel reports the failure to the caller.
                Err(error) => log::warn("journal", &format!("transaction not queued: {error}")),
            },
            Call::Edit(edit, wait_ms, reply) => {
                let deadline = self.clock.now().after_ms(wait_ms);
                let token = self.control.edit(edit);
                self.edits.push(PendingEdit {
                    token,
                    deadline,
                    reply,
                });
            }
            Call::SetDuties(duties) => self.control.set_duties(&duties),
        }
    }

    fn handle(&mut self, input: control::Input) {
        let now = self.clock.now();
        let is_tick = matches!(input, control::Input::Tick);
        let outputs = self.control.handle(now, input);
        let changed = outputs
            .iter()
            .any(|output| matches!(output, control::Output::Applied(_)));
        if changed {
            self.on_applied();
        }
        for output in outputs {
            self.perform(output);
        }
        self.complete_edits(now);
        if is_tick || changed {
            self.publish(now, changed);
        }
    }

    fn on_applied(&mut self) {
        let roster = self.control.replica().roster();
        let idle_ms = 3 * self.control.peers().interval_ms();
        self.links.set_roster(roster, idle_ms);
        log::info(
            "config",
            &format!(
                "applied head={} nodes={}",
                self.control.replica().head(),
                roster.members.len()
            ),
        );
    }

    fn perform(&mut self, output: control::Output) {
        match output {
            control::Output::Send { to, message } => {
                self.links.send(&to.node, peers::Message::Control(message));
            }
            control::Output::Transact { attempt, txn } => {
                let platform = self.platform.clone();
                self.requests.spawn(async move {
                    let outcome = platform.transact(&txn).await;
                    TableReply(control::Input::Transacted { attempt, outcome })
                });
            }
            control::Output::Read { id, read } => {
                let platform = self.platform.clone();
                self.requests.spawn(async move {
                    let rows = read_rows(&platform, &read).await;
                    TableReply(control::Input::Read { id, rows })
                });
            }
            control::Output::Settled(settlement) => {
                if let Some(reply) = self.submitted.remove(&settlement.token) {
                    // Fails only if the caller no longer waits; the outcome is unaffected.
                    let _ = reply.send(settlement.settled);
                }
            }
            control::Output::Applied(_) => {}
        }
    }

    fn complete_edits(&mut self, now: instants::Instant) {
        for pending in std::mem::take(&mut self.edits) {
            let ended = match self.control.edit_status(pending.token) {
                Some(config::edit::Status::Accepted(_) | config::edit::Status::Raced(_)) => true,
                Some(_) => now >= pending.deadline,
                None => true,
            };
            if !ended {
                self.edits.push(pending);
                continue;
            }
            if let Some(status) = self.control.drop_edit(pending.token) {
                // Fails only if the operator no longer waits; the edit is unaffected.
                let _ = pending.reply.send(status);
            }
        }
    }

    fn publish(&self, now: instants::Instant, changed: bool) {
        let old = Arc::clone(&self.state.borrow());
        let replica = self.control.replica();
        let leases = self.control.leases();
        let duties = leases.grants(now).into_iter().filter_map(|grant| {
            let act_before = leases.act_deadline(&grant.duty)?;
            Some((grant, act_before))
        });
        let state = State {
            head: replica.head(),
            standing: self.control.serving_state(now),
            documents: match changed {
                true => Arc::new(replica.documents().clone()),
                false => Arc::clone(&old.documents),
            },
            roster: match changed {
                true => Arc::new(replica.roster().clone()),
                false => Arc::clone(&old.roster),
            },
            live: self.control.peers().live(now),
            duties: duties.collect(),
            table_unavailable: self.control.table_is_out(now),
        };
        self.state.send_replace(Arc::new(state));
        self.export_metrics();
    }

    fn export_metrics(&self) {
        let journal = self.control.journal_counters();
        let reads = self.control.read_counters();
        metrics::counter!("wasabiloft_journal_requests_total").absolute(journal.requests);
        metrics::counter!("wasabiloft_journal_commits_total").absolute(journal.commits);
        metrics::counter!("wasabiloft_journal_transactions_total").absolute(journal.transactions);
        metrics::counter!("wasabiloft_journal_refusals_total").absolute(journal.refusals);
        metrics::counter!("wasabiloft_journal_retries_total", "reason" => "no-reply")
            .absolute(journal.unknowns);
        metrics::counter!("wasabiloft_journal_retries_total", "reason" => "fence")
            .absolute(journal.fences);
        metrics::counter!("wasabiloft_journal_retries_total", "reason" => "regroup")
            .absolute(journal.regroups);
        metrics::counter!("wasabiloft_table_reads_total").absolute(reads.sent);
        metrics::counter!("wasabiloft_table_reads_failed_total").absolute(reads.failed);
    }
}

async fn read_rows(
    platform: &platform::Client,
    read: &control::Read,
) -> Option<Vec<messages::Row>> {
    let rows = match read {
        control::Read::Row(key) => platform.row(key).await.map(|row| row.into_iter().collect()),
        control::Read::Range(prefix) => platform.range(prefix).await,
    };
    rows.ok()
}
