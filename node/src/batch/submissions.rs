//! Writes submissions and cancellations: one task for the node, which owns the queues of
//! [`wasabiloft::batch::submissions`], sends their batches to the store or to the writer, and answers the callers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::StatusCode;
use metrics::{counter, histogram};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft::batch::record;
use wasabiloft::batch::submissions::{
    ANNOUNCE_MS, Action, Answer, Batch, BatchId, ForwardOutcome, Found, Outcome, POLL_MS, Pace,
    Path, Queues, Reason, Ticket, View,
};
use wasabiloft::verdict::Verdict;
use wasabiloft_platform::store;

use crate::batch::{forward, requests, shared};
use crate::clock;
use crate::log;

/// Maximum number of entries that wait to be taken by the task; more wait at their senders.
const CHANNEL_MAX: usize = 1_024;
/// A follower without a heartbeat for this long is not told about a slow store, in milliseconds; three of the slowest
/// heartbeats.
const FOLLOWER_SILENT_MS: u64 = 6_000;
/// Time without any response to this node after which the store counts as unavailable, in milliseconds; requests that
/// were not sent yet are then refused at once. Above the wait of the configuration's polls.
pub const STORE_UNAVAILABLE_MS: u64 = 1_300;

/// A row of the job table to write.
#[derive(Debug)]
pub struct Item {
    /// Key of the row.
    pub key: record::JobKey,
    /// Content of the row, as JSON.
    pub value: Vec<u8>,
    /// The decoded content; absent for a cancellation.
    pub accepted: Option<record::Accepted>,
    /// Version of the row of the job that a cancellation is for; absent for a submission.
    pub job_version: Option<u64>,
    /// When the caller stops waiting.
    pub deadline: wasabiloft::clock::Instant,
}

enum Command {
    Write(Arc<Item>, oneshot::Sender<Answer>),
    Announced(Pace),
}

/// Access to the task that writes submissions.
#[derive(Debug)]
pub struct Handle {
    sender: mpsc::Sender<Command>,
    receiver: Mutex<Option<mpsc::Receiver<Command>>>,
    pace: Mutex<Pace>,
    /// Nodes that sent a heartbeat to this node as leader, and when the last one came.
    followers: Mutex<HashMap<SocketAddr, wasabiloft::clock::Instant>>,
    /// Cancelled when no more entries come.
    pub closed: CancellationToken,
}

impl Default for Handle {
    fn default() -> Self {
        let (sender, receiver) = mpsc::channel(CHANNEL_MAX);
        Self {
            sender,
            receiver: Mutex::new(Some(receiver)),
            pace: Mutex::default(),
            followers: Mutex::default(),
            closed: CancellationToken::new(),
        }
    }
}

impl std::fmt::Debug for Command {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Write(item, _) => write!(f, "Write({})", item.key.text()),
            Self::Announced(pace) => write!(f, "Announced({pace:?})"),
        }
    }
}

impl Handle {
    /// Queues a row; the receiver gets its outcome, or an error if the task has ended.
    pub async fn add(&self, item: Item) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        // If the task has ended, the command is dropped with its sender, which the receiver notices.
        let _ = self
            .sender
            .send(Command::Write(Arc::new(item), sender))
            .await;
        receiver
    }

    /// Writes a row and returns the outcome.
    pub async fn write(&self, item: Item) -> Answer {
        self.add(item).await.await.unwrap_or(Answer::Unknown)
    }

    /// Records a follower's heartbeat.
    pub fn heard(&self, address: SocketAddr, now: wasabiloft::clock::Instant) {
        let followers = self.followers.lock();
        let mut followers = followers.unwrap_or_else(PoisonError::into_inner);
        followers.retain(|_, at| now.since_ms(*at) < FOLLOWER_SILENT_MS);
        followers.insert(address, now);
    }

    /// Returns this node's view of the store's transactions.
    pub fn pace(&self) -> Pace {
        *self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the leader's announcement that transactions are slow.
    pub fn announced_slow(&self) {
        let pace = Pace {
            is_slow: true,
            transaction_ms: 0,
        };
        // A full channel delays the announcement until the next one.
        let _ = self.sender.try_send(Command::Announced(pace));
    }
}

/// End of a call.
enum Done {
    Transaction(BatchId, Outcome),
    Forward(BatchId, ForwardOutcome),
    Read(Ticket, Option<Found>),
}

struct Writer {
    shared: Arc<shared::Shared>,
    queues: Queues,
    items: HashMap<Ticket, (Arc<Item>, oneshot::Sender<Answer>)>,
    calls: JoinSet<Done>,
    announcements: JoinSet<()>,
    announced_at: wasabiloft::clock::Instant,
}

/// Writes what is queued until the handle is closed.
pub async fn run(shared: Arc<shared::Shared>) {
    let receiver = shared.submissions.receiver.lock();
    let receiver = receiver.unwrap_or_else(PoisonError::into_inner).take();
    let Some(mut receiver) = receiver else {
        return;
    };
    let closed = shared.submissions.closed.clone();
    let mut writer = Writer {
        shared,
        queues: Queues::default(),
        items: HashMap::new(),
        calls: JoinSet::new(),
        announcements: JoinSet::new(),
        announced_at: wasabiloft::clock::Instant::ZERO,
    };
    loop {
        tokio::select! {
            () = closed.cancelled() => break,
            Some(command) = receiver.recv() => {
                writer.take(command);
                while let Ok(command) = receiver.try_recv() {
                    writer.take(command);
                }
            }
            Some(done) = writer.calls.join_next() => writer.ended(done),
            () = time::sleep(Duration::from_millis(POLL_MS)), if writer.queues.needs_poll() => {}
        }
        writer.poll();
    }
    writer.calls.shutdown().await;
    writer.announcements.shutdown().await;
}

impl Writer {
    fn take(&mut self, command: Command) {
        let now = clock::since_boot();
        match command {
            Command::Write(item, sender) if self.is_known(item.key) => {
                // The caller can be gone.
                let _ = sender.send(Answer::Exists);
            }
            Command::Write(item, sender) => {
                let ticket = self
                    .queues
                    .add(now, item.key, item.value.len(), item.deadline);
                self.items.insert(ticket, (item, sender));
            }
            Command::Announced(pace) => self.queues.announced(now, pace),
        }
    }

    /// Returns whether this node leads the duty and has read the row of a submission. While the store is slow, callers
    /// repeat submissions, and each repeat would make the transaction that it shares fail.
    fn is_known(&self, key: record::JobKey) -> bool {
        match key {
            record::JobKey::Accepted(job) => {
                let leadership = self.shared.leadership();
                leadership.is_some_and(|leadership| leadership.state(job).is_some())
            }
            record::JobKey::Cancelled(_) => false,
        }
    }

    fn ended(&mut self, done: Result<Done, tokio::task::JoinError>) {
        let now = clock::since_boot();
        match done {
            Ok(Done::Transaction(id, outcome)) => {
                self.queues
                    .transaction_ended(now, id, outcome, rand::random());
            }
            Ok(Done::Forward(id, outcome)) => self.queues.forward_ended(now, id, outcome),
            Ok(Done::Read(ticket, found)) => self.queues.read_ended(now, ticket, found),
            // The callers get an unknown outcome at their deadlines.
            Err(error) => log::warn("submissions", &format!("call failed reason={error}")),
        }
    }

    fn poll(&mut self) {
        let now = clock::since_boot();
        let view = View {
            can_forward: forward::leader(&self.shared).is_some(),
            store_away: self.shared.store_silent_ms() > STORE_UNAVAILABLE_MS,
        };
        for action in self.queues.poll(now, view) {
            match action {
                Action::Send(batch) => self.send(batch),
                Action::Read { ticket, timeout_ms } => {
                    if let Some((item, _)) = self.items.get(&ticket) {
                        let (shared, item) = (Arc::clone(&self.shared), Arc::clone(item));
                        self.calls.spawn(async move {
                            Done::Read(ticket, read(&shared, &item, timeout_ms).await)
                        });
                    }
                }
                Action::Answer(ticket, answer) => {
                    if let Some((_, sender)) = self.items.remove(&ticket) {
                        // The caller can be gone.
                        let _ = sender.send(answer);
                    }
                }
                Action::Forwarding(begins) => {
                    let what = if begins { "begins" } else { "ends" };
                    let transaction_ms = self.queues.pace(now).transaction_ms;
                    log::info(
                        "submissions",
                        &format!("forwarding {what} transaction_ms={transaction_ms}"),
                    );
                }
            }
        }
        self.announce(now);
        let pace = self.queues.pace(now);
        let shared_pace = self.shared.submissions.pace.lock();
        *shared_pace.unwrap_or_else(PoisonError::into_inner) = pace;
    }

    /// Tells all followers that transactions are slow if this node leads the duty.
    fn announce(&mut self, now: wasabiloft::clock::Instant) {
        while self.announcements.try_join_next().is_some() {}
        if now.since_ms(self.announced_at) < ANNOUNCE_MS
            || !self.queues.announces_slow(now)
            || self.shared.leadership().is_none()
        {
            return;
        }
        self.announced_at = now;
        let followers = self.shared.submissions.followers.lock();
        let followers = followers.unwrap_or_else(PoisonError::into_inner);
        log::info(
            "submissions",
            &format!("slow transactions announced nodes={}", followers.len()),
        );
        for &address in followers.keys() {
            let shared = Arc::clone(&self.shared);
            self.announcements
                .spawn(forward::announce_slow(shared, address));
        }
    }

    fn send(&mut self, batch: Batch) {
        let items = batch
            .tickets
            .iter()
            .filter_map(|ticket| self.items.get(ticket));
        let items: Vec<Arc<Item>> = items.map(|(item, _)| Arc::clone(item)).collect();
        let path = match batch.path {
            Path::Direct => "direct",
            Path::Forwarded => "forwarded",
        };
        counter!("wasabiloft_submissions_total", "path" => path).increment(items.len() as u64);
        histogram!("wasabiloft_submission_batch_entries", "path" => path)
            .record(items.len() as f64);
        histogram!("wasabiloft_submission_batch_age_ms", "path" => path)
            .record(batch.age_ms as f64);
        let shared = Arc::clone(&self.shared);
        self.calls.spawn(async move {
            let sent_at = clock::since_boot();
            let (done, label) = match batch.path {
                Path::Direct => {
                    let outcome = transact(&shared, &items, batch.timeout_ms).await;
                    let label = label(&outcome);
                    counter!("wasabiloft_submission_transactions_total", "outcome" => label)
                        .increment(1);
                    (Done::Transaction(batch.id, outcome), label)
                }
                Path::Forwarded => {
                    let outcome = forward::submissions(&shared, &items, batch.timeout_ms).await;
                    let label = match &outcome {
                        ForwardOutcome::Answered(..) => "answered",
                        ForwardOutcome::Refused => "refused",
                        ForwardOutcome::NoResponse => "no-response",
                    };
                    (Done::Forward(batch.id, outcome), label)
                }
            };
            if items.len() > 1 {
                log::info(
                    "submissions",
                    &format!(
                        "batch partition={} path={path} entries={} age_ms={} took_ms={} outcome={label}",
                        batch.partition,
                        items.len(),
                        batch.age_ms,
                        clock::since_boot().since_ms(sent_at)
                    ),
                );
            }
            done
        });
    }
}

fn label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Committed(_) => "committed",
        Outcome::CheckFailed { .. } => "check-failed",
        Outcome::Unavailable => "unavailable",
        Outcome::Overloaded => "overloaded",
        Outcome::Invalid => "invalid",
        Outcome::NoResponse => "no-response",
    }
}

/// Returns the text that names a reason in responses and logs.
pub fn reason_text(reason: Reason) -> &'static str {
    match reason {
        Reason::StoreAway => "store-away",
        Reason::StoreRefused => "store-refused",
        Reason::DeadlineTooShort => "deadline-too-short",
        Reason::Cancelled => "cancelled",
    }
}

fn name(key: record::JobKey) -> store::Name {
    let (record::JobKey::Accepted(job) | record::JobKey::Cancelled(job)) = key;
    store::Name::new(record::JOB_TABLE, &record::job_partition(job), &key.text())
}

/// Returns the row that an item's transaction checks, and its expected version: the row of a submission is absent, and the job
/// of a cancellation is the one that was read.
fn check(item: &Item) -> Option<(store::Name, u64)> {
    match item.key {
        record::JobKey::Accepted(_) => Some((name(item.key), 0)),
        record::JobKey::Cancelled(job) => {
            let version = item.job_version?;
            Some((name(record::JobKey::Accepted(job)), version))
        }
    }
}

/// Returns the outcome of a transaction whose checks failed, from the current state of all checked rows.
fn failed_checks(items: &[Arc<Item>], rows: &[store::Row]) -> Outcome {
    let (mut existing, mut cancelled) = (Vec::new(), Vec::new());
    for item in items {
        let Some((name, expected)) = check(item) else {
            continue;
        };
        let row = rows.iter().find(|row| row.name == name && !row.removed);
        if row.map_or(0, |row| row.version) == expected {
            continue;
        }
        match (item.key, row.map_or(Found::Nothing, found)) {
            (record::JobKey::Accepted(_), Found::Tombstone) => cancelled.push(item.key),
            _ => existing.push(item.key),
        }
    }
    Outcome::CheckFailed {
        existing,
        cancelled,
    }
}

/// Returns what a row of the job table holds.
pub fn found(row: &store::Row) -> Found {
    match row.value.as_deref().is_some_and(record::Tombstone::is_in) {
        true => Found::Tombstone,
        false => Found::Entry,
    }
}

/// Commits items of one partition in one transaction.
async fn transact(shared: &shared::Shared, items: &[Arc<Item>], timeout_ms: u64) -> Outcome {
    let mut transaction = store::Transaction::default();
    for item in items {
        transaction.checks.extend(check(item));
        let write = (name(item.key), item.value.clone());
        transaction.writes.push(write);
    }
    match shared.store.transact(&transaction, timeout_ms).await {
        Ok(store::CommitOutcome::Applied(version)) => {
            shared.record_store_response();
            for item in items {
                written(shared, item, version);
            }
            Outcome::Committed(version)
        }
        Ok(store::CommitOutcome::CheckFailed(rows)) => {
            shared.record_store_response();
            failed_checks(items, &rows)
        }
        Err(error) => {
            counter!("wasabiloft_store_retries_total").increment(1);
            failure(&error)
        }
    }
}

/// Returns the outcome of a transaction that failed with an error.
fn failure(error: &store::Error) -> Outcome {
    match error {
        store::Error::Refused { status } => match *status {
            StatusCode::SERVICE_UNAVAILABLE => Outcome::Unavailable,
            StatusCode::TOO_MANY_REQUESTS => Outcome::Overloaded,
            status if status.is_client_error() => Outcome::Invalid,
            // Only 503 and 429 promise that nothing was done.
            _ => Outcome::NoResponse,
        },
        error if error.verdict() == Verdict::NotRun => Outcome::Unavailable,
        _ => Outcome::NoResponse,
    }
}

/// Logs a row that this node committed and passes it to the scheduler if this node leads the duty.
fn written(shared: &shared::Shared, item: &Item, version: u64) {
    let leadership = shared.leadership();
    match (item.key, &item.accepted) {
        (record::JobKey::Accepted(job), Some(accepted)) => {
            let account = accepted.account.as_ref();
            let account = account.map_or_else(String::new, |name| format!(" account={name}"));
            let queue = &accepted.queue.name;
            log::info(
                "front",
                &format!("accept job={job} queue={queue}{account} version={version}"),
            );
            if let Some(leadership) = leadership {
                let accepted = record::Accepted {
                    row_version: version,
                    ..accepted.clone()
                };
                leadership.accepted(job, accepted);
            }
        }
        (record::JobKey::Accepted(_), None) => {}
        (record::JobKey::Cancelled(job), _) => {
            log::info("front", &format!("cancel job={job}"));
            if let Some(leadership) = leadership {
                leadership.cancelled(job);
            }
        }
    }
}

/// Returns what an item's row holds; `None` if that can't be read.
async fn read(shared: &shared::Shared, item: &Item, timeout_ms: u64) -> Option<Found> {
    let deadline = clock::since_boot().after_ms(timeout_ms);
    let row = requests::read(shared, &name(item.key), deadline).await;
    row.ok()
        .map(|row| row.as_ref().map_or(Found::Nothing, found))
}
