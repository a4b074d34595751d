//! The node's intake of jobs: one task that commits what callers ask for, in groups.

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

/// Time between two looks at what waits, in milliseconds.
const TICK_MS: u64 = 25;
/// Time between two reads of the backlog, in milliseconds.
const BACKLOG_MS: u64 = 5_000;
/// Requests that may wait for the task.
const REQUESTS_MAX: usize = 8_192;

/// What a caller asks for.
#[derive(Debug)]
enum Request {
    Submit(Box<Spec>),
    Note(inbox::Entry),
}

/// The handle of a node's intake.
#[derive(Debug)]
pub struct Handle {
    requests: mpsc::Sender<(Request, oneshot::Sender<Answer>)>,
    nudge: std::sync::Arc<Notify>,
}

impl Handle {
    /// Submits a job.
    pub async fn submit(&self, spec: Spec) -> Answer {
        self.ask(Request::Submit(Box::new(spec))).await
    }

    /// Cancels or removes a job.
    pub async fn note(&self, entry: inbox::Entry) -> Answer {
        self.ask(Request::Note(entry)).await
    }

    /// Completes when this node has committed something for the holder.
    pub async fn nudged(&self) {
        self.nudge.notified().await;
    }

    async fn ask(&self, request: Request) -> Answer {
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
    intake: Batcher,
    requests: mpsc::Receiver<(Request, oneshot::Sender<Answer>)>,
    nudge: std::sync::Arc<Notify>,
    callers: HashMap<Caller, oneshot::Sender<Answer>>,
    next_caller: u64,
}

/// Makes the intake of a node's incarnation.
pub fn new(node: id::Node, incarnation: String) -> (Handle, Driver) {
    let (sender, requests) = mpsc::channel(REQUESTS_MAX);
    let nudge = std::sync::Arc::new(Notify::new());
    let handle = Handle {
        requests: sender,
        nudge: std::sync::Arc::clone(&nudge),
    };
    let driver = Driver {
        intake: Batcher::new(node, incarnation),
        requests,
        nudge,
        callers: HashMap::new(),
        next_caller: 0,
    };
    (handle, driver)
}

/// What a spawned task brought.
enum Done {
    Settled(Token, messages::Outcome),
    Backlog(Option<Backlog>),
}

impl Driver {
    /// Takes requests until `stop`, and then settles what is in flight.
    pub async fn run(
        mut self,
        control: control::Handle,
        platform: platform::Client,
        stop: CancellationToken,
    ) {
        let mut pending = JoinSet::new();
        let mut tick = time::interval(Duration::from_millis(TICK_MS));
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut backlog = time::interval(Duration::from_millis(BACKLOG_MS));
        loop {
            let outputs = tokio::select! {
                () = stop.cancelled(), if self.intake.is_empty() && pending.is_empty() => return,
                _ = tick.tick() => self.intake.tick(control.clock().now()),
                _ = backlog.tick() => {
                    if !self.intake.is_empty() {
                        pending.spawn(read_backlog(platform.clone()));
                    }
                    continue;
                }
                Some((request, reply)) = self.requests.recv() => {
                    self.take(request, reply, control.clock().now())
                }
                Some(Ok(done)) = pending.join_next() => match done {
                    Done::Settled(token, outcome) => {
                        self.intake.settled(control.clock().now(), token, &outcome)
                    }
                    Done::Backlog(backlog) => {
                        self.intake.set_backlog(backlog.unwrap_or_default());
                        continue;
                    }
                },
            };
            self.act(outputs, &control, &mut pending);
        }
    }

    fn take(
        &mut self,
        request: Request,
        reply: oneshot::Sender<Answer>,
        now: wasabiloft::clock::Instant,
    ) -> Vec<Output> {
        let caller = Caller(self.next_caller);
        self.next_caller += 1;
        self.callers.insert(caller, reply);
        match request {
            Request::Submit(spec) => self.intake.submit(now, super::unix_ms(), caller, *spec),
            Request::Note(entry) => self.intake.cancel_or_remove(now, caller, entry),
        }
    }

    fn act(
        &mut self,
        outputs: Vec<Output>,
        control: &control::Handle,
        pending: &mut JoinSet<Done>,
    ) {
        for output in outputs {
            match output {
                Output::Commit { token, txn } => {
                    pending.spawn(commit(control.clone(), token, txn));
                }
                Output::Answer { caller, answer } => self.answer(caller, answer),
                Output::NotifyLeader => self.nudge.notify_one(),
            }
        }
    }

    fn answer(&mut self, caller: Caller, answer: Answer) {
        if let Answer::Refused(refusal) = answer {
            let reason = refusal.to_string();
            metrics::counter!("wasabiloft_job_refusals_total", "reason" => reason).increment(1);
        }
        if let Some(reply) = self.callers.remove(&caller) {
            // Fails only if the caller has left.
            let _ = reply.send(answer);
        }
    }
}

async fn commit(control: control::Handle, token: Token, txn: messages::Txn) -> Done {
    let writes = txn.writes.len();
    let outcome = match control.submit(txn).await {
        Some(journal::Settled::Committed(committed)) => messages::Outcome::Committed(committed),
        Some(journal::Settled::CommittedUnseen) => {
            messages::Outcome::Committed(messages::Committed {
                versions: vec![0; writes],
            })
        }
        Some(journal::Settled::Refused(refused)) => messages::Outcome::Refused(refused),
        None => messages::Outcome::Unknown,
    };
    Done::Settled(token, outcome)
}

async fn read_backlog(platform: platform::Client) -> Done {
    let row = platform.row(&id::Key::from(BACKLOG_KEY)).await;
    let row = row.ok().flatten();
    Done::Backlog(row.and_then(|row| serde_json::from_str(&row.value).ok()))
}
