//! Submission of jobs on a node: one task commits the callers' requests in batches.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft::id;
use wasabiloft::job::submission::{
    Answer, BACKLOG_KEY, Backlog, Batcher, Caller, Output, Refusal, Token,
};
use wasabiloft::job::{Spec, inbox};
use wasabiloft::journal;
use wasabiloft::platform as messages;

use crate::control;
use crate::platform;

/// Interval between ticks of the batcher, in milliseconds.
const TICK_MS: u64 = 25;
/// Interval between reads of the backlog row, in milliseconds.
const BACKLOG_INTERVAL_MS: u64 = 5_000;
/// Capacity of the queue of requests to the task; further ones are refused.
const REQUESTS_MAX: usize = 8_192;

/// A caller's request.
#[derive(Debug)]
enum Request {
    Submit(Box<Spec>),
    CancelOrRemove(inbox::Entry),
}

/// Sends requests to the node's [`Driver`].
#[derive(Debug)]
pub struct Handle {
    requests: mpsc::Sender<(Request, oneshot::Sender<Answer>)>,
    notify_leader: std::sync::Arc<Notify>,
}

impl Handle {
    /// Submits a job and waits for the answer.
    pub async fn submit(&self, spec: Spec) -> Answer {
        self.request(Request::Submit(Box::new(spec))).await
    }

    /// Cancels or removes a job and waits for the answer.
    pub async fn cancel_or_remove(&self, entry: inbox::Entry) -> Answer {
        self.request(Request::CancelOrRemove(entry)).await
    }

    /// Completes when this node has committed something that the duty's leader has to read.
    pub async fn inbox_changed(&self) {
        self.notify_leader.notified().await;
    }

    async fn request(&self, request: Request) -> Answer {
        let (reply, answer) = oneshot::channel();
        match self.requests.try_send((request, reply)) {
            Ok(()) => answer.await.unwrap_or(Answer::Unknown),
            Err(_) => Answer::Refused(Refusal::QueueFull),
        }
    }
}

/// The task behind a [`Handle`].
#[derive(Debug)]
pub struct Driver {
    batcher: Batcher,
    requests: mpsc::Receiver<(Request, oneshot::Sender<Answer>)>,
    notify_leader: std::sync::Arc<Notify>,
    callers: HashMap<Caller, oneshot::Sender<Answer>>,
    next_caller: u64,
}

/// Creates the handle and the driver for one incarnation of a node.
pub fn new(node: id::Node, incarnation: String) -> (Handle, Driver) {
    let (sender, requests) = mpsc::channel(REQUESTS_MAX);
    let notify_leader = std::sync::Arc::new(Notify::new());
    let handle = Handle {
        requests: sender,
        notify_leader: std::sync::Arc::clone(&notify_leader),
    };
    let driver = Driver {
        batcher: Batcher::new(node, incarnation),
        requests,
        notify_leader,
        callers: HashMap::new(),
        next_caller: 0,
    };
    (handle, driver)
}

/// The result of a spawned commit or read.
enum Completion {
    Settled(Token, messages::Outcome),
    Backlog(Option<Backlog>),
}

impl Driver {
    /// Handles requests until `stop`, then waits until all that are in flight are settled.
    pub async fn run(
        mut self,
        control: control::Handle,
        platform: platform::Client,
        stop: CancellationToken,
    ) {
        let mut pending = JoinSet::new();
        let mut tick = time::interval(Duration::from_millis(TICK_MS));
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut backlog = time::interval(Duration::from_millis(BACKLOG_INTERVAL_MS));
        loop {
            let outputs = tokio::select! {
                () = stop.cancelled(), if self.batcher.is_empty() && pending.is_empty() => return,
                _ = tick.tick() => self.batcher.tick(control.clock().now()),
                _ = backlog.tick() => {
                    if !self.batcher.is_empty() {
                        pending.spawn(read_backlog(platform.clone()));
                    }
                    continue;
                }
                Some((request, reply)) = self.requests.recv() => {
                    self.accept(request, reply, control.clock().now())
                }
                Some(Ok(completion)) = pending.join_next() => match completion {
                    Completion::Settled(token, outcome) => {
                        self.batcher.settled(control.clock().now(), token, &outcome)
                    }
                    Completion::Backlog(backlog) => {
                        self.batcher.set_backlog(backlog.unwrap_or_default());
                        continue;
                    }
                },
            };
            self.perform(outputs, &control, &mut pending);
        }
    }

    fn accept(
        &mut self,
        request: Request,
        reply: oneshot::Sender<Answer>,
        now: wasabiloft::clock::Instant,
    ) -> Vec<Output> {
        let caller = Caller(self.next_caller);
        self.next_caller += 1;
        self.callers.insert(caller, reply);
        match request {
            Request::Submit(spec) => self.batcher.submit(now, super::unix_ms(), caller, *spec),
            Request::CancelOrRemove(entry) => self.batcher.cancel_or_remove(now, caller, entry),
        }
    }

    fn perform(
        &mut self,
        outputs: Vec<Output>,
        control: &control::Handle,
        pending: &mut JoinSet<Completion>,
    ) {
        for output in outputs {
            match output {
                Output::Commit { token, txn } => {
                    pending.spawn(commit(control.clone(), token, txn));
                }
                Output::Answer { caller, answer } => self.answer(caller, answer),
                Output::NotifyLeader => self.notify_leader.notify_one(),
            }
        }
    }

    fn answer(&mut self, caller: Caller, answer: Answer) {
        if let Answer::Refused(refusal) = answer {
            let reason = refusal.to_string();
            metrics::counter!("wasabiloft_job_refusals_total", "reason" => reason).increment(1);
        }
        if let Some(reply) = self.callers.remove(&caller) {
            // Fails only if the caller has disconnected.
            let _ = reply.send(answer);
        }
    }
}

async fn commit(control: control::Handle, token: Token, txn: messages::Txn) -> Completion {
    let row_count = txn.writes.len();
    let outcome = match control.submit(txn).await {
        Some(journal::Settled::Committed(committed)) => messages::Outcome::Committed(committed),
        Some(journal::Settled::CommittedUnseen) => {
            messages::Outcome::Committed(messages::Committed {
                versions: vec![0; row_count],
            })
        }
        Some(journal::Settled::Refused(refused)) => messages::Outcome::Refused(refused),
        None => messages::Outcome::Unknown,
    };
    Completion::Settled(token, outcome)
}

async fn read_backlog(platform: platform::Client) -> Completion {
    let row = platform.row(&id::Key::from(BACKLOG_KEY)).await;
    let row = row.ok().flatten();
    Completion::Backlog(row.and_then(|row| serde_json::from_str(&row.value).ok()))
}
