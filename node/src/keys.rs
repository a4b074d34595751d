//! Claims of idempotency keys: drives [`wasabiloft::idempotency`] with messages, reads, commits and requests.

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

/// Interval between ticks, in milliseconds.
const TICK_MS: u64 = 10;
/// Capacity of the queue of calls to the driver.
const CALLS_MAX: usize = 4_096;
/// Maximum time that a stopping node waits until the state that only it has is in the table, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 3_000;

/// A call to the driver.
#[derive(Debug)]
enum Call {
    Claim {
        number: u64,
        key: message::Key,
        fingerprint: u64,
        deadline: instants::Instant,
        reply: oneshot::Sender<message::Decision>,
    },
    End(u64, message::End),
}

/// A handle to the driver; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    calls: mpsc::Sender<Call>,
    next_number: Arc<AtomicU64>,
    ready: watch::Receiver<bool>,
}

impl Handle {
    /// Claims a key and waits for the decision; returns it with the request's number.
    pub async fn claim(
        &self,
        key: message::Key,
        fingerprint: u64,
        deadline: instants::Instant,
    ) -> (u64, message::Decision) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (reply, decision) = oneshot::channel();
        let call = Call::Claim {
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

    /// Reports how a request ended whose decision was to run.
    pub async fn end(&self, number: u64, end: message::End) {
        // Fails only while the node stops; the key's request then counts as one that may have run.
        let _ = self.calls.send(Call::End(number, end)).await;
    }

    /// Returns true if keys can be claimed.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }
}

/// The state machine of claims with its connections, pending reads and commits, and waiting requests.
#[derive(Debug)]
pub struct Driver {
    clock: clock::Clock,
    claims: node::Node,
    links: Arc<peers::Links>,
    platform: platform::Client,
    control: control::Handle,
    calls: mpsc::Receiver<Call>,
    inbox: mpsc::Receiver<peers::Incoming<message::Message>>,
    ready: watch::Sender<bool>,
    waiting: HashMap<u64, oneshot::Sender<message::Decision>>,
    pending: JoinSet<Option<Input>>,
}

/// Creates the handle and the driver of a new incarnation; [`Driver::run`] drives it.
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
        claims: node::Node::new(me, idempotency::Settings::default()),
        links,
        platform,
        control,
        calls,
        inbox,
        ready,
        waiting: HashMap::new(),
        pending: JoinSet::new(),
    };
    (handle, driver)
}

impl Driver {
    /// Drives the claims until `stop`, then until all are in the table or a time limit is reached.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut timer = time::interval(Duration::from_millis(TICK_MS));
        timer.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut state = self.control.watch();
        let mut stop_deadline: Option<time::Instant> = None;
        self.set_roster(&state.borrow_and_update().roster.clone());
        loop {
            let ended = stop_deadline.is_some_and(|deadline| time::Instant::now() >= deadline);
            if ended || self.claims.has_left() {
                break;
            }
            tokio::select! {
                () = stop.cancelled(), if stop_deadline.is_none() => {
                    stop_deadline = Some(time::Instant::now() + Duration::from_millis(STOP_TIMEOUT_MS));
                    self.handle(Input::Leave);
                }
                _ = timer.tick() => self.handle(Input::Tick),
                Some(call) = self.calls.recv() => self.handle_call(call),
                Some(incoming) = self.inbox.recv() => self.handle(Input::Peer {
                    from: incoming.from,
                    message: incoming.message,
                }),
                Some(reply) = self.pending.join_next() => {
                    if let Ok(Some(input)) = reply {
                        self.handle(input);
                    }
                }
                Ok(()) = state.changed() => {
                    let roster = Arc::clone(&state.borrow_and_update().roster);
                    self.set_roster(&roster);
                }
            }
        }
        if !self.claims.is_persisted() {
            log::warn(
                "keys",
                "stopped before all claims were written to the table",
            );
        }
        self.pending.shutdown().await;
    }

    fn set_roster(&mut self, roster: &roster::Roster) {
        let members = roster.members.iter().map(|member| member.id.clone());
        let members: Vec<roster::NodeId> = members.collect();
        self.handle(Input::Roster(members));
    }

    fn handle_call(&mut self, call: Call) {
        match call {
            Call::Claim {
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
        for output in self.claims.handle(self.clock.now(), input) {
            self.perform(output);
        }
        let ready = self.claims.is_ready();
        self.ready.send_if_modified(|old| {
            let changed = *old != ready;
            *old = ready;
            changed
        });
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => {
                self.links.send(&to.node, peers::Message::Keys(message));
            }
            Output::Transact { token, txn } => {
                metrics::counter!("wasabiloft_key_commits_total").increment(1);
                self.pending
                    .spawn(transact(self.control.clone(), token, txn));
            }
            Output::ReadRow { key } => {
                let platform = self.platform.clone();
                self.pending.spawn(async move {
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
                self.pending.spawn(async move {
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

    /// Sends a request its decision; a request whose caller has disconnected ends as not run.
    fn decide(&mut self, number: u64, decision: message::Decision) {
        let runs = decision == message::Decision::Run;
        let delivered = self
            .waiting
            .remove(&number)
            .map(|reply| reply.send(decision));
        if runs && !matches!(delivered, Some(Ok(()))) {
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
