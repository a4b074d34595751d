//! Calls to the store that the leader makes for other nodes.
//!
//! Answers two loads. In an outage that hits some nodes only, their callers are served through the leader, in place of
//! being refused until they reach another node. While the store is slow, the leader writes the submissions of all nodes
//! in common transactions. A forwarded submission keeps its condition, so that it may also be sent directly without
//! running twice.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use axum::extract::{Query, State};
use axum::{Json, Router, routing};
use metrics::counter;
use serde::{Deserialize, Serialize};
use tokio::time;
use wasabiloft::batch::record;
use wasabiloft::batch::submissions::{Answer, ForwardOutcome, Pace, Reason, WRITER_HOLD_MS};
use wasabiloft::verdict::Verdict;
use wasabiloft_platform::{call, store};

use crate::batch::{shared, submissions};
use crate::clock;
use crate::log;

/// Timeout of the leader's call to the store, in milliseconds; the forwarding node waits a little longer.
const STORE_TIMEOUT_MS: u64 = 600;
/// Time for the way between the nodes, in milliseconds.
const HOP_MS: u64 = 150;
/// Part of a caller's remaining time that is reserved for the leader's reply, in milliseconds.
const RETURN_MS: u64 = 50;
/// The leader forwards nothing once the store has not answered it for this long, in milliseconds.
const LEADER_SILENT_MS: u64 = 1_000;

/// Timeout of telling a node that transactions are slow, in milliseconds.
const ANNOUNCE_TIMEOUT_MS: u64 = 400;

/// Name of a row.
#[derive(Debug, Serialize, Deserialize)]
struct RowName {
    table: String,
    part: String,
    key: String,
}

impl From<&store::Name> for RowName {
    fn from(name: &store::Name) -> Self {
        Self {
            table: name.table.clone(),
            part: name.part.clone(),
            key: name.key.clone(),
        }
    }
}

impl From<RowName> for store::Name {
    fn from(name: RowName) -> Self {
        Self::new(&name.table, &name.part, &name.key)
    }
}

/// A transaction whose values are text.
#[derive(Debug, Serialize, Deserialize)]
struct Forwarded {
    checks: Vec<(RowName, u64)>,
    writes: Vec<(RowName, String)>,
}

/// The leader's reply to a forwarded transaction.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WriteReply {
    /// Committed at this version.
    Applied(u64),
    /// A check failed.
    CheckFailed,
    /// Not committed; the verdict says whether it still can be.
    Failed(Verdict),
}

/// A row of the job table to write, in the same way as the rows of the leader's own callers.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    key: String,
    value: String,
    /// Version of the row of the job that a cancellation is for; a node of the previous version doesn't tell it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    job_version: Option<u64>,
    /// Time until the caller's deadline, in milliseconds.
    remaining_ms: u64,
}

impl Entry {
    /// Returns the row to write; `None` if it can't be decoded.
    fn item(self, now: wasabiloft::clock::Instant) -> Option<submissions::Item> {
        let key = record::JobKey::parse(&self.key)?;
        let accepted = match key {
            record::JobKey::Accepted(_) => Some(serde_json::from_str(&self.value).ok()?),
            record::JobKey::Cancelled(_) => None,
        };
        Some(submissions::Item {
            key,
            value: self.value.into_bytes(),
            accepted,
            job_version: self.job_version,
            deadline: now.after_ms(self.remaining_ms),
        })
    }
}

/// The leader's reply to forwarded entries.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum EntriesReply {
    /// The outcome of each entry, in order, and the leader's view of the store.
    Answered { answers: Vec<Answer>, pace: Pace },
    /// The node does not lead the duty or does not reach the store; it took no entry.
    NotWriter,
}

/// The leader's reply to a forwarded read.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReadReply {
    /// The row's content, if it exists.
    Row(Option<(String, u64)>),
    /// The store did not answer.
    Failed,
}

/// Nothing is forwarded for this long after the leader did not reply, in milliseconds, so that callers are refused at
/// once instead.
const NO_REPLY_PAUSE_MS: u64 = 1_000;

/// Remembers when the leader did not reply.
#[derive(Debug, Default)]
pub struct Breaker {
    paused_until_ms: AtomicU64,
}

impl Breaker {
    fn is_paused(&self) -> bool {
        clock::since_boot().as_ms() < self.paused_until_ms.load(Ordering::Relaxed)
    }

    fn no_reply(&self) {
        let until_ms = clock::since_boot().as_ms() + NO_REPLY_PAUSE_MS;
        self.paused_until_ms.store(until_ms, Ordering::Relaxed);
    }
}

/// Returns the routes that peers call.
pub fn router() -> Router<Arc<shared::Shared>> {
    Router::new()
        .route("/transact", routing::post(transact))
        .route("/submissions", routing::post(write_entries))
        .route("/slow", routing::post(announced_slow))
        .route("/row", routing::get(row))
}

fn reaches_store(shared: &shared::Shared) -> bool {
    shared.leadership().is_some() && shared.store_silent_ms() < LEADER_SILENT_MS
}

/// Commits a transaction of another node.
async fn transact(
    State(shared): State<Arc<shared::Shared>>,
    Json(forwarded): Json<Forwarded>,
) -> Json<WriteReply> {
    if !reaches_store(&shared) {
        return Json(WriteReply::Failed(Verdict::NotRun));
    }
    let transaction = store::Transaction {
        checks: forwarded
            .checks
            .into_iter()
            .map(|(name, version)| (name.into(), version))
            .collect(),
        writes: forwarded
            .writes
            .into_iter()
            .map(|(name, text)| (name.into(), text.into_bytes()))
            .collect(),
        ..store::Transaction::default()
    };
    counter!("wasabiloft_forwarded_total").increment(1);
    let reply = match shared.store.transact(&transaction, STORE_TIMEOUT_MS).await {
        Ok(store::CommitOutcome::Applied(version)) => WriteReply::Applied(version),
        Ok(store::CommitOutcome::CheckFailed(_)) => WriteReply::CheckFailed,
        Err(error) => WriteReply::Failed(error.verdict()),
    };
    Json(reply)
}

async fn row(
    State(shared): State<Arc<shared::Shared>>,
    Query(name): Query<RowName>,
) -> Json<ReadReply> {
    if !reaches_store(&shared) {
        return Json(ReadReply::Failed);
    }
    counter!("wasabiloft_forwarded_total").increment(1);
    let row = shared.store.row(&name.into(), STORE_TIMEOUT_MS).await;
    Json(match row {
        Ok(row) => ReadReply::Row(row.and_then(|row| {
            let text = String::from_utf8(row.value?).ok()?;
            Some((text, row.version))
        })),
        Err(_) => ReadReply::Failed,
    })
}

/// Takes the leader's announcement that transactions are slow.
async fn announced_slow(State(shared): State<Arc<shared::Shared>>) {
    shared.submissions.announced_slow();
}

/// Tells a node that transactions are slow; a node that misses it finds out by its own next transaction.
pub async fn announce_slow(shared: Arc<shared::Shared>, address: SocketAddr) {
    let client = shared.peers.to(address);
    if let Err(error) = client.post("/slow", &[], &(), ANNOUNCE_TIMEOUT_MS).await {
        log::info(
            "submissions",
            &format!("node not told address={address} reason={error}"),
        );
    }
}

/// Writes the entries of another node.
async fn write_entries(
    State(shared): State<Arc<shared::Shared>>,
    Json(entries): Json<Vec<Entry>>,
) -> Json<EntriesReply> {
    if !reaches_store(&shared) {
        return Json(EntriesReply::NotWriter);
    }
    counter!("wasabiloft_forwarded_total").increment(1);
    let now = clock::since_boot();
    let hold_until = time::Instant::now() + Duration::from_millis(WRITER_HOLD_MS);
    let mut receivers = Vec::new();
    for entry in entries {
        receivers.push(match entry.item(now) {
            Some(item) => Some(shared.submissions.add(item).await),
            None => None,
        });
    }
    let mut answers = Vec::new();
    for receiver in receivers {
        answers.push(match receiver {
            None => Answer::NotRun(Reason::StoreRefused),
            Some(receiver) => match time::timeout_at(hold_until, receiver).await {
                Ok(Ok(answer)) => answer,
                // The entry is in a queue or in a transaction, and may be written after this reply.
                Ok(Err(_)) | Err(_) => Answer::Pending,
            },
        });
    }
    let pace = shared.submissions.pace();
    Json(EntriesReply::Answered { answers, pace })
}

/// Returns the address of the leader if another node leads the duty and answers.
pub fn leader(shared: &shared::Shared) -> Option<SocketAddr> {
    let address: SocketAddr = shared.duty().duty?.address.parse().ok()?;
    (address != shared.settings().peers && !shared.forwarding.is_paused()).then_some(address)
}

/// Commits a transaction through the leader; returns whether its checks held.
///
/// # Errors
///
/// Fails with whether the transaction may have been committed, or may still be.
pub async fn commit(
    shared: &shared::Shared,
    transaction: &store::Transaction,
    timeout_ms: u64,
) -> Result<bool, Verdict> {
    let Some(address) = leader(shared) else {
        return Err(Verdict::NotRun);
    };
    let checks = transaction.checks.iter();
    let writes = transaction.writes.iter();
    let forwarded = Forwarded {
        checks: checks
            .map(|(name, version)| (RowName::from(name), *version))
            .collect(),
        // All values are JSON, which is text.
        writes: writes
            .map(|(name, value)| {
                let text = String::from_utf8_lossy(value).into_owned();
                (RowName::from(name), text)
            })
            .collect(),
    };
    let client = shared.peers.to(address);
    let timeout_ms = timeout_ms.min(STORE_TIMEOUT_MS + HOP_MS);
    let reply = client.post("/transact", &[], &forwarded, timeout_ms).await;
    match decode::<WriteReply>(shared, reply) {
        Ok(WriteReply::Applied(_)) => Ok(true),
        Ok(WriteReply::CheckFailed) => Ok(false),
        Ok(WriteReply::Failed(verdict)) => Err(verdict),
        Err(error) => Err(error.verdict),
    }
}

/// Passes entries to the leader, which writes them in transactions with the entries of other nodes.
pub async fn submissions(
    shared: &shared::Shared,
    items: &[Arc<submissions::Item>],
    timeout_ms: u64,
) -> ForwardOutcome {
    let Some(address) = leader(shared) else {
        return ForwardOutcome::Refused;
    };
    let now = clock::since_boot();
    let entry = |item: &Arc<submissions::Item>| {
        Some(Entry {
            key: item.key.text(),
            value: std::str::from_utf8(&item.value).ok()?.to_owned(),
            job_version: item.job_version,
            remaining_ms: item.deadline.since_ms(now).saturating_sub(RETURN_MS),
        })
    };
    // All values are JSON, which is text.
    let Some(entries) = items.iter().map(entry).collect::<Option<Vec<_>>>() else {
        return ForwardOutcome::Refused;
    };
    let client = shared.peers.to(address);
    let reply = client.post("/submissions", &[], &entries, timeout_ms).await;
    if let Ok(response) = &reply
        && response.status.is_client_error()
    {
        let status = response.status;
        log::info("front", &format!("leader takes no entries status={status}"));
        shared.forwarding.no_reply();
        return ForwardOutcome::Refused;
    }
    match decode::<EntriesReply>(shared, reply) {
        Ok(EntriesReply::Answered { answers, pace }) => ForwardOutcome::Answered(answers, pace),
        Ok(EntriesReply::NotWriter) => {
            shared.forwarding.no_reply();
            ForwardOutcome::Refused
        }
        Err(error) if error.verdict == Verdict::NotRun => ForwardOutcome::Refused,
        Err(_) => ForwardOutcome::NoResponse,
    }
}

/// Reads a row through the leader; fails if the leader or the store does not answer.
pub async fn read(
    shared: &shared::Shared,
    name: &store::Name,
    deadline: wasabiloft::clock::Instant,
) -> Result<Option<store::Row>, ()> {
    let timeout_ms = (STORE_TIMEOUT_MS + HOP_MS).min(deadline.since_ms(clock::since_boot()));
    let Some(address) = leader(shared).filter(|_| timeout_ms > 0) else {
        return Err(());
    };
    // Names contain only text, which always serializes.
    let query = serde_urlencoded::to_string(RowName::from(name)).unwrap_or_default();
    let client = shared.peers.to(address);
    let reply = client.get(&format!("/row?{query}"), timeout_ms).await;
    match decode::<ReadReply>(shared, reply) {
        Ok(ReadReply::Row(row)) => Ok(row.map(|(text, version)| store::Row {
            name: name.clone(),
            value: Some(text.into_bytes()),
            removed: false,
            version,
        })),
        Ok(ReadReply::Failed) | Err(_) => Err(()),
    }
}

fn decode<T>(
    shared: &shared::Shared,
    reply: Result<call::Response, call::NoAnswer>,
) -> Result<T, call::NoAnswer>
where
    T: serde::de::DeserializeOwned,
{
    let decoded = reply.and_then(|response| response.json());
    if let Err(error) = &decoded {
        log::info("front", &format!("leader forwards nothing reason={error}"));
        shared.forwarding.no_reply();
    }
    decoded
}
