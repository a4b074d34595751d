//! The leader's side: a connection to a relay.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use wasabiloft::batch::JobId;
use wasabiloft::batch::connections::Connection;
use wasabiloft::verdict::Verdict;
use wasabiloft_platform::call;

use crate::batch::relay::TEXTS_MAX;
use crate::batch::relay::message::{
    Command, Failure, Replies, Request, Requests, Response, Target,
};
use crate::clock;
use crate::sockets;

/// Timeout of opening the connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Interval of signs of life while no commands are sent, in milliseconds.
const PING_MS: u64 = 150;
/// A relay that sends nothing for this long has failed, in milliseconds; two signs of life and their delays.
const RELAY_SILENT_MS: u64 = 500;
/// Time for which commands are collected before a frame is sent, in milliseconds; a planning round.
const BATCH_MS: u64 = 3;
/// Maximum number of commands in a frame.
const BATCH_MAX: usize = 256;
/// Additional time that a relayed response takes, in milliseconds.
const REPLY_MARGIN_MS: u64 = 250;

type Outcome = Result<Response, Failure>;

/// A connection to a relay.
#[derive(Debug)]
pub struct Link {
    requests: mpsc::Sender<Request>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Outcome>>>,
    next_number: AtomicU64,
    /// Jobs of which the relay got the text.
    jobs: Mutex<HashSet<JobId>>,
    /// Response time of the newest answered ping, in milliseconds.
    response_ms: AtomicU64,
    /// When the oldest unanswered ping was sent, in milliseconds since boot; 0 if all are answered.
    unanswered_ms: AtomicU64,
    /// Cancelled when the relay has failed.
    pub failed: CancellationToken,
    /// Cancelled when the relay stops and takes no further commands.
    pub stopping: CancellationToken,
}

impl Link {
    /// Creates a link and the queue of its requests, which [`run`] sends.
    pub fn new() -> (Arc<Self>, mpsc::Receiver<Request>) {
        let (requests, queue) = mpsc::channel(BATCH_MAX * 4);
        let link = Self {
            requests,
            waiting: Mutex::default(),
            next_number: AtomicU64::new(0),
            jobs: Mutex::default(),
            response_ms: AtomicU64::new(0),
            unanswered_ms: AtomicU64::new(0),
            failed: CancellationToken::new(),
            stopping: CancellationToken::new(),
        };
        (Arc::new(link), queue)
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<Outcome>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the response time of the relay itself, without that of any worker, in milliseconds: of the newest answered
    /// ping, or the age of an unanswered one.
    pub fn response_ms(&self, now: wasabiloft::clock::Instant) -> u64 {
        let unanswered_ms = match self.unanswered_ms.load(Ordering::Relaxed) {
            0 => 0,
            sent_ms => now.as_ms().saturating_sub(sent_ms),
        };
        self.response_ms.load(Ordering::Relaxed).max(unanswered_ms)
    }

    /// Returns whether the relay got no start of a job yet, and records that it gets one.
    pub fn is_first_start(&self, job: JobId) -> bool {
        let mut jobs = self.jobs.lock().unwrap_or_else(PoisonError::into_inner);
        if jobs.len() >= TEXTS_MAX {
            jobs.clear();
        }
        jobs.insert(job)
    }

    /// Sends a command by the relay and waits for its outcome.
    ///
    /// # Errors
    ///
    /// Fails if the worker gave no usable response, or if the relay failed.
    pub async fn call(
        &self,
        target: Target,
        command: Command,
        epoch: u64,
        timeout_ms: u64,
        connection: Connection,
    ) -> Outcome {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (reply, outcome) = oneshot::channel();
        self.waiting().insert(number, reply);
        let request = Request {
            number,
            target,
            epoch,
            timeout_ms,
            connection,
            command,
        };
        if self.requests.try_send(request).is_err() {
            self.waiting().remove(&number);
            self.failed.cancel();
            return Err(failure(
                Verdict::NotRun,
                "the relay's queue is closed or full",
            ));
        }
        let response = async {
            tokio::select! {
                biased;
                outcome = outcome => outcome.ok(),
                () = self.failed.cancelled() => None,
            }
        };
        match call::timeout_while_running(timeout_ms + REPLY_MARGIN_MS, response).await {
            Some(Some(outcome)) => outcome,
            Some(None) => {
                self.waiting().remove(&number);
                Err(failure(Verdict::MayHaveRun, "the relay failed"))
            }
            None => {
                self.waiting().remove(&number);
                self.failed.cancel();
                Err(failure(Verdict::MayHaveRun, "the relay did not reply"))
            }
        }
    }

    /// Records a sent or answered ping; pings are answered in order.
    fn record_ping(&self, pings: &VecDeque<u64>, response_ms: Option<u64>) {
        let oldest_ms = pings.front().copied().unwrap_or(0);
        self.unanswered_ms.store(oldest_ms, Ordering::Relaxed);
        if let Some(response_ms) = response_ms {
            self.response_ms.store(response_ms, Ordering::Relaxed);
        }
    }

    fn resolve(&self, replies: Replies) {
        if replies.stopping {
            self.stopping.cancel();
        }
        let mut waiting = self.waiting();
        for reply in replies.replies {
            if let Some(caller) = waiting.remove(&reply.number) {
                // The caller may have given up at the same moment.
                let _ = caller.send(reply.outcome);
            }
        }
    }
}

fn failure(verdict: Verdict, reason: &str) -> Failure {
    Failure {
        verdict,
        disconnected: false,
        reason: reason.into(),
    }
}

/// Connects to a relay and exchanges frames with it until it fails; returns why.
pub async fn run(
    link: Arc<Link>,
    address: SocketAddr,
    mut queue: mpsc::Receiver<Request>,
) -> String {
    let reason = exchange(&link, address, &mut queue).await;
    link.failed.cancel();
    reason
}

async fn exchange(link: &Link, address: SocketAddr, queue: &mut mpsc::Receiver<Request>) -> String {
    let connect = TcpStream::connect(address);
    let stream = match time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connect).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return error.to_string(),
        Err(_) => return String::from("no connection in time"),
    };
    sockets::set_options(&stream, Duration::from_millis(RELAY_SILENT_MS));
    let (mut sink, mut frames) = Framed::new(stream, super::codec()).split();
    // The relay measures the age of commands from its first frame, which therefore has to be answered in time.
    let hello = Requests {
        sent_ms: clock::since_boot().as_ms(),
        requests: Vec::new(),
    };
    let hello = match postcard::to_stdvec(&hello) {
        Ok(hello) => Bytes::from(hello),
        Err(error) => return error.to_string(),
    };
    let answered = time::timeout(Duration::from_millis(RELAY_SILENT_MS), async {
        sink.send(hello).await.is_ok() && matches!(frames.next().await, Some(Ok(_)))
    });
    if !matches!(answered.await, Ok(true)) {
        return String::from("first frame not answered");
    }
    let mut heard_at = time::Instant::now();
    // A relay answers a frame without commands at once, by a frame without replies.
    let mut pings = VecDeque::new();
    let mut ping = time::interval(Duration::from_millis(PING_MS));
    ping.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        let mut batch = Vec::new();
        tokio::select! {
            // Frames that wait to be read come before the check for silence.
            biased;
            () = link.failed.cancelled() => return String::from("no reply in time"),
            frame = frames.next() => {
                let Some(Ok(frame)) = frame else {
                    return String::from("connection closed");
                };
                heard_at = time::Instant::now();
                match postcard::from_bytes::<Replies>(&frame) {
                    Ok(replies) => {
                        if replies.replies.is_empty() {
                            let now_ms = clock::since_boot().as_ms();
                            let sent_ms = pings.pop_front().unwrap_or(now_ms);
                            link.record_ping(&pings, Some(now_ms.saturating_sub(sent_ms)));
                        }
                        link.resolve(replies);
                    }
                    Err(error) => return error.to_string(),
                }
                continue;
            }
            count = queue.recv_many(&mut batch, BATCH_MAX) => {
                if count == 0 {
                    return String::from("no longer needed");
                }
                time::sleep(Duration::from_millis(BATCH_MS)).await;
                while batch.len() < BATCH_MAX && let Ok(request) = queue.try_recv() {
                    batch.push(request);
                }
            }
            _ = ping.tick() => {
                if heard_at.elapsed() > Duration::from_millis(RELAY_SILENT_MS) {
                    return String::from("silent");
                }
                if link.stopping.is_cancelled() && link.waiting().is_empty() {
                    return String::from("stops");
                }
            }
        }
        let sent_ms = clock::since_boot().as_ms();
        if batch.is_empty() {
            pings.push_back(sent_ms);
            link.record_ping(&pings, None);
        }
        let frame = Requests {
            sent_ms,
            requests: batch,
        };
        let frame = match postcard::to_stdvec(&frame) {
            Ok(frame) => Bytes::from(frame),
            Err(error) => return error.to_string(),
        };
        let sent = time::timeout(Duration::from_millis(RELAY_SILENT_MS), sink.send(frame)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return String::from("connection broken");
        }
    }
}
