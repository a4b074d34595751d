//! The store's HTTP interface, with the faults of its responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::{Json, Router, routing};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::time;

use crate::hosted::lock;
use crate::hosted::store::view::View;
use crate::hosted::store::{Row, Store, Transaction};

/// Delay of a late write, in milliseconds; longer than any caller waits for the response.
const LATE_WRITE_DELAY_MS: u64 = 1_600;

/// What serves the requests of one caller.
#[derive(Clone, Debug)]
struct Server {
    store: Arc<Store>,
    view: Arc<View>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Page {
    rows: Vec<Box<RawValue>>,
    more_pages: bool,
    record_version: u64,
    now_ms: u64,
}

impl Server {
    /// Returns rows as the caller sees them.
    fn page(&self, rows: Vec<Row>, more_pages: bool, record_version: u64) -> Page {
        let rows = rows.into_iter().map(|mut row| {
            let value = row.value.as_deref();
            let seen = value.and_then(|value| self.view.seen(value));
            row.value = seen.or(row.value.take());
            row.wire()
        });
        Page {
            rows: rows.collect(),
            more_pages,
            record_version,
            now_ms: self.store.now_ms(),
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Range {
    table: String,
    part: String,
    #[serde(default)]
    from: String,
    #[serde(default = "rows_max")]
    limit: usize,
}

fn rows_max() -> usize {
    500
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Feed {
    table: String,
    after: u64,
    wait_ms: u64,
}

/// Returns the routes of a store for a caller with a view of its own.
pub(super) fn router(store: Arc<Store>, view: Arc<View>) -> Router {
    Router::new()
        .route("/rows-tx", routing::post(transact))
        .route("/rows-get", routing::get(range))
        .route("/rows-feed", routing::get(feed))
        .with_state(Server { store, view })
}

/// Decrements a fault counter; returns whether the fault applies.
pub(super) fn consume_fault(remaining: &AtomicU32) -> bool {
    let decrement = |remaining: u32| remaining.checked_sub(1);
    remaining
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
        .is_ok()
}

async fn transact(
    State(server): State<Server>,
    Json(mut transaction): Json<Transaction>,
) -> Response {
    let store = Arc::clone(&server.store);
    if !transaction.is_within_limits() {
        return StatusCode::BAD_REQUEST.into_response();
    }
    for row in &mut transaction.writes {
        let value = row.value.as_deref();
        let stored = value.and_then(|value| server.view.stored(value));
        row.value = stored.or(row.value.take());
    }
    let mut rows = transaction
        .expect_rev
        .iter()
        .chain(&transaction.writes)
        .chain(&transaction.remove);
    let part = rows.next().map(|row| row.part.as_str());
    if store.refuses(part) || part.is_some_and(|part| server.view.refuses(part)) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if let Some(row) = transaction.writes.first() {
        *lock(&store.transactions)
            .entry(row.table.clone())
            .or_default() += 1;
        if !store.wait_for_partition(&row.part).await {
            return StatusCode::TOO_MANY_REQUESTS.into_response();
        }
    }
    store.delay_response().await;
    if store.writes_late(&transaction) {
        // Applied in a separate task, as the caller gives up first and its disconnect must not cancel the write.
        tokio::spawn(async move {
            time::sleep(Duration::from_millis(LATE_WRITE_DELAY_MS)).await;
            // No caller waits for the result.
            let _ = store.apply(transaction);
        });
        time::sleep(Duration::from_secs(60)).await;
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    let outcome = store.apply(transaction);
    if consume_fault(&store.lost_responses) {
        // Longer than any caller waits for a response.
        time::sleep(Duration::from_secs(60)).await;
    }
    let (status, rows, record_version) = match outcome {
        Ok(version) => (StatusCode::OK, Vec::new(), version),
        Err(rows) => (StatusCode::PRECONDITION_FAILED, rows, 0),
    };
    let page = server.page(rows, false, record_version);
    (status, Json(page)).into_response()
}

async fn range(State(server): State<Server>, Query(range): Query<Range>) -> Response {
    let store = &server.store;
    if store.refuses(Some(&range.part)) || server.view.refuses(&range.part) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    store.delay_response().await;
    let rows = lock(&store.rows);
    let found: Vec<Row> = rows
        .rows
        .values()
        .filter(|row| {
            row.table == range.table
                && row.part == range.part
                && row.key >= range.from
                && !row.deleted
        })
        .cloned()
        .collect();
    let version = rows.version;
    drop(rows);
    let more_pages = found.len() > range.limit;
    let found = found.into_iter().take(range.limit).collect();
    Json(server.page(found, more_pages, version)).into_response()
}

async fn feed(State(server): State<Server>, Query(feed): Query<Feed>) -> Response {
    let store = &server.store;
    let wait = Duration::from_millis(feed.wait_ms);
    let until = time::Instant::now() + wait;
    if store.refuses(None) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    loop {
        let changed = store.changed.notified();
        if store.unavailable.load(Ordering::Relaxed) {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        if feed.after < store.compacted_version.load(Ordering::Relaxed) {
            return StatusCode::GONE.into_response();
        }
        let (rows, version) = store.changes(&feed.table, feed.after);
        let expired = time::Instant::now() >= until;
        if !rows.is_empty() || expired {
            return Json(server.page(rows, false, version)).into_response();
        }
        // The next iteration checks for both a change and the end of the wait.
        let _ = time::timeout_at(until, changed).await;
    }
}
