//! Calls to the store that the leader makes for a node that the store turns away.
//!
//! Answers the load of an outage that hits some nodes only: their callers are served through the leader, in place of
//! being refused until they reach another node. A forwarded transaction keeps its conditions, so that it may also be
//! sent directly without running twice.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use axum::extract::{Query, State};
use axum::{Json, Router, routing};
use serde::{Deserialize, Serialize};
use wasabiloft::verdict::Verdict;
use wasabiloft_platform::{call, store};

use crate::batch::shared;
use crate::clock;
use crate::log;

/// Timeout of the leader's call to the store, in milliseconds; the forwarding node waits a little longer.
const STORE_TIMEOUT_MS: u64 = 600;
/// Time for the way between the nodes, in milliseconds.
const HOP_MS: u64 = 150;
/// The leader forwards nothing once the store has not answered it for this long, in milliseconds.
const LEADER_SILENT_MS: u64 = 1_000;

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
        .route("/row", routing::get(row))
}

fn reaches_store(shared: &shared::Shared) -> bool {
    shared.leadership().is_some() && shared.store_silent_ms() < LEADER_SILENT_MS
}

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
    metrics::counter!("wasabiloft_forwarded_total").increment(1);
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
    metrics::counter!("wasabiloft_forwarded_total").increment(1);
    let row = shared.store.row(&name.into(), STORE_TIMEOUT_MS).await;
    Json(match row {
        Ok(row) => ReadReply::Row(row.and_then(|row| {
            let text = String::from_utf8(row.value?).ok()?;
            Some((text, row.version))
        })),
        Err(_) => ReadReply::Failed,
    })
}

fn leader(shared: &shared::Shared) -> Option<SocketAddr> {
    let address: SocketAddr = shared.duty().duty?.address.parse().ok()?;
    (address != shared.settings().peers && !shared.forwarding.is_paused()).then_some(address)
}

/// Commits a transaction through the leader.
///
/// # Errors
///
/// Returns whether the transaction may have been committed, or may still be.
pub async fn write(
    shared: &shared::Shared,
    transaction: &store::Transaction,
    deadline: wasabiloft::clock::Instant,
) -> Result<store::CommitOutcome, Verdict> {
    let timeout_ms = (STORE_TIMEOUT_MS + HOP_MS).min(deadline.since_ms(clock::since_boot()));
    let Some(address) = leader(shared).filter(|_| timeout_ms > 0) else {
        return Err(Verdict::NotRun);
    };
    let mut writes = Vec::new();
    for (name, value) in &transaction.writes {
        let Ok(text) = std::str::from_utf8(value) else {
            return Err(Verdict::NotRun);
        };
        writes.push((name.into(), text.to_owned()));
    }
    let forwarded = Forwarded {
        checks: transaction
            .checks
            .iter()
            .map(|(name, version)| (name.into(), *version))
            .collect(),
        writes,
    };
    let client = shared.peers.to(address);
    let reply = client.post("/transact", &[], &forwarded, timeout_ms).await;
    match decode::<WriteReply>(shared, reply) {
        Ok(WriteReply::Applied(version)) => Ok(store::CommitOutcome::Applied(version)),
        Ok(WriteReply::CheckFailed) => Ok(store::CommitOutcome::CheckFailed(Vec::new())),
        Ok(WriteReply::Failed(verdict)) => Err(verdict),
        Err(error) => Err(error.verdict),
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
