//! Drives the decisions of idempotency keys: messages, the table, and requests that wait for a claim.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft::clock as instants;
use wasabiloft::idempotency;
use wasabiloft::idempotency::message;
use wasabiloft::idempotency::message::{Input, Output};
use wasabiloft::idempotency::node;
use wasabiloft::journal;
use wasabiloft::platform as messages;
use wasabiloft::roster;
use wasabiloft::verdict;

use crate::clock;
use crate::control;
use crate::log;
use crate::peers;
use crate::platform;

/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 10;
/// Calls that may wait.
const CALLS_MAX: usize = 4_096;
/// The longest that a stopping node waits until what it alone knows is in the table, in milliseconds.
const STOP_MAX_MS: u64 = 3_000;

/// A call to the driver.
#[derive(Debug)]
enum Call {
    Ask {
        number: u64,
        key: message::Key,
        fingerprint: u64,
        deadline: instants::Instant,
        reply: oneshot::Sender<message::Decision>,
    },
    End(u64, message::End),
}

/// A handle for requests; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    calls: mpsc::Sender<Call>,
    next_number: Arc<AtomicU64>,
    ready: watch::Receiver<bool>,
}

impl Handle {
    /// Asks for a claim and waits for the decision; returns the request's number with it.
    pub async fn ask(
        &self,
        key: message::Key,
        fingerprint: u64,
        deadline: instants::Instant,
    ) -> (u64, message::Decision) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (reply, decision) = oneshot::channel();
        let call = Call::Ask {
            number,
            key,
            fingerprint,
            deadline,
            reply,
        };
        let unclaimed =
            message::Decision::Refuse(verdict::Verdict::MayHaveRun, verdict::Reason::KeyUnclaimed);
        if self.calls.send(call).await.is_err() {
            return (number, unclaimed);
        }
        (number, decision.await.unwrap_or(unclaimed))
    }

    /// Reports how a request ended that was told to run.
    pub async fn end(&self, number: u64, end: message::End) {
        // Fails only while the node stops; the key then counts as one that may have run.
        let _ = self.calls.send(Call::End(number, end)).await;
    }

    /// True if keyed requests can flow.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }
}

/// The decisions with all that they need.
#[derive(Debug)]
pub struct Driver {
    clock: clock::Clock,
    once: node::Node,
    links: Arc<peers::Links>,
    platform: platform::Client,
    control: control::Handle,
    calls: mpsc::Receiver<Call>,
    inbox: mpsc::Receiver<peers::Incoming<message::Message>>,
    ready: watch::Sender<bool>,
    waiting: HashMap<u64, oneshot::Sender<message::Decision>>,
    io: JoinSet<Option<Input>>,
}

/// Makes the part of a new incarnation; [`Driver::run`] drives it.
pub fn new(
    me: roster::NodeId,
    links: Arc<peers::Links>,
    platform: platform::Client,
    control: control::Handle,
    inbox: mpsc::Receiver<peers::Incoming<message::Message>>,
) -> (Handle, Driver) {
    let (calls_sender, calls) = mpsc::channel(CALLS_MAX);
    let (ready, ready_receiver) = watch::channel(false);
    let handle = Handle {
        calls: calls_sender,
        next_number: Arc::default(),
        ready: ready_receiver,
    };
    let driver = Driver {
        clock: control.clock(),
        once: node::Node::new(me, idempotency::Settings::default()),
        links,
        platform,
        control,
        calls,
        inbox,
        ready,
        waiting: HashMap::new(),
        io: JoinSet::new(),
    };
    (handle, driver)
}

impl Driver {
    /// Drives the decisions until `stop`, and then until all is written down, for a limited time.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut timer = time::interval(Duration::from_millis(TICK_MS));
        timer.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut state = self.control.watch();
        let mut stop_by: Option<time::Instant> = None;
        self.set_roster(&state.borrow_and_update().roster.clone());
        loop {
            let ended = stop_by.is_some_and(|by| time::Instant::now() >= by);
            if ended || self.once.has_left() {
                break;
            }
            tokio::select! {
                () = stop.cancelled(), if stop_by.is_none() => {
                    stop_by = Some(time::Instant::now() + Duration::from_millis(STOP_MAX_MS));
                    self.handle(Input::Leave);
                }
                _ = timer.tick() => self.handle(Input::Tick),
                Some(call) = self.calls.recv() => self.call(call),
                Some(incoming) = self.inbox.recv() => self.handle(Input::Peer {
                    from: incoming.from,
                    message: incoming.message,
                }),
                Some(done) = self.io.join_next() => {
                    if let Ok(Some(input)) = done {
                        self.handle(input);
                    }
                }
                Ok(()) = state.changed() => {
                    let roster = Arc::clone(&state.borrow_and_update().roster);
                    self.set_roster(&roster);
                }
            }
        }
        if !self.once.is_persisted() {
            log::warn("keys", "stopped before all keys were in the table");
        }
        self.io.shutdown().await;
    }

    fn set_roster(&mut self, roster: &roster::Roster) {
        let members = roster.members.iter().map(|member| member.id.clone());
        let members: Vec<roster::NodeId> = members.collect();
        self.handle(Input::Roster(members));
    }

    fn call(&mut self, call: Call) {
        match call {
            Call::Ask {
                number,
                key,
                fingerprint,
                deadline,
                reply,
            } => {
                self.waiting.insert(number, reply);
                self.handle(Input::Request {
                    number,
                    key,
                    fingerprint,
                    deadline,
                });
            }
            Call::End(number, end) => self.handle(Input::End { number, end }),
        }
    }

    fn handle(&mut self, input: Input) {
        for output in self.once.handle(self.clock.now(), input) {
            self.act(output);
        }
        let ready = self.once.is_ready();
        self.ready.send_if_modified(|old| {
            let changed = *old != ready;
            *old = ready;
            changed
        });
    }

    fn act(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => {
                self.links.send(&to.node, peers::Message::Keys(message));
            }
            Output::Transact { token, txn } => {
                metrics::counter!("wasabiloft_key_commits_total").increment(1);
                self.io.spawn(transact(self.control.clone(), token, txn));
            }
            Output::ReadRow { key } => {
                let platform = self.platform.clone();
                self.io.spawn(async move {
                    let row = platform.row(&key).await.ok()?;
                    Some(Input::Row { key, row })
                });
            }
            Output::Scan {
                view,
                prefix,
                after,
                limit,
            } => {
                let platform = self.platform.clone();
                self.io.spawn(async move {
                    let from = after.as_ref().map_or("", |key| key.as_str());
                    let rows = platform.page(&prefix, from, limit).await.ok()?;
                    Some(Input::Rows {
                        view,
                        prefix,
                        after,
                        rows,
                    })
                });
            }
            Output::Decide { number, decision } => self.decide(number, decision),
        }
    }

    /// Tells a request its decision; one whose caller left does not run.
    fn decide(&mut self, number: u64, decision: message::Decision) {
        let runs = decision == message::Decision::Run;
        let told = self
            .waiting
            .remove(&number)
            .map(|reply| reply.send(decision));
        if runs && !matches!(told, Some(Ok(()))) {
            self.handle(Input::End {
                number,
                end: message::End::NotRun,
            });
        }
    }
}

async fn transact(control: control::Handle, token: u64, txn: messages::Txn) -> Option<Input> {
    let outcome = match control.submit(txn).await {
        Some(journal::Settled::Committed(committed)) => messages::Outcome::Committed(committed),
        Some(journal::Settled::Refused(refused)) => messages::Outcome::Refused(refused),
        Some(journal::Settled::CommittedUnseen) | None => messages::Outcome::Unknown,
    };
    Some(Input::Outcome { token, outcome })
}
