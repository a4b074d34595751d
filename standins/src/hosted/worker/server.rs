//! The worker's HTTP interface, with the faults of its responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::{Json, Router, routing};
use serde::Deserialize;
use tokio::time;

use super::Worker;

/// Interval at which a long poll is checked, in milliseconds.
const POLL_MS: u64 = 5;
/// Time for which a response is withheld, longer than any caller waits.
const WITHHELD: Duration = Duration::from_secs(60);

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Start {
    pub(super) task: String,
    pub(super) run_id: u32,
    pub(super) spec: String,
    pub(super) until_ms: u64,
    pub(super) fence_token: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Stop {
    pub(super) task: String,
    pub(super) run_id: u32,
    pub(super) fence_token: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Hold {
    pub(super) fence_token: u64,
    #[serde(default)]
    pub(super) until_ms: u64,
    #[serde(default)]
    pub(super) ack_index: u64,
    #[serde(default)]
    pub(super) wait_ms: u64,
}

/// Returns the worker's routes.
pub(super) fn router(worker: &Arc<Worker>) -> Router {
    Router::new()
        .route("/run-start", routing::post(run_start))
        .route("/run-stop", routing::post(run_stop))
        .route("/hold", routing::post(hold))
        .with_state(Arc::clone(worker))
}

async fn answer(worker: &Worker, response: Response) -> Response {
    if worker.unresponsive.load(Ordering::Relaxed) {
        time::sleep(WITHHELD).await;
    }
    response
}

/// Decrements the number of commands to execute late; returns whether this is one.
fn is_late(remaining: &AtomicU32) -> bool {
    let decrement = |remaining: u32| remaining.checked_sub(1);
    remaining
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
        .is_ok()
}

/// Executes a command, or, if the fault applies, executes it late and doesn't respond.
async fn execute<F>(worker: Arc<Worker>, command: F) -> Response
where
    F: FnOnce(&Worker) -> Response + Send + 'static,
{
    if is_late(&worker.late_commands) {
        let delay_ms = worker.late_ms.load(Ordering::Relaxed);
        let received_by = worker.incarnation();
        // A task of its own, as the caller gives up first and its disconnect must not cancel the command.
        tokio::spawn(async move {
            time::sleep(Duration::from_millis(delay_ms)).await;
            // A process that ends takes the commands that it has received with it.
            if worker.incarnation() == received_by {
                // No caller waits for the response.
                let _ = command(&worker);
            }
        });
        time::sleep(WITHHELD).await;
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    let response = command(&worker);
    answer(&worker, response).await
}

async fn run_start(
    State(worker): State<Arc<Worker>>,
    headers: HeaderMap,
    Json(start): Json<Start>,
) -> Response {
    execute(worker, move |worker| worker.start_run(&headers, &start)).await
}

async fn run_stop(
    State(worker): State<Arc<Worker>>,
    headers: HeaderMap,
    Json(stop): Json<Stop>,
) -> Response {
    execute(worker, move |worker| worker.stop_run(&headers, &stop)).await
}

async fn hold(
    State(worker): State<Arc<Worker>>,
    headers: HeaderMap,
    Json(hold): Json<Hold>,
) -> Response {
    let until = time::Instant::now() + Duration::from_millis(hold.wait_ms);
    if let Some(refused) = worker.begin_poll(&headers, &hold) {
        return refused;
    }
    loop {
        worker.end_due_runs();
        if time::Instant::now() >= until || worker.has_ends() {
            let response = worker.report(&headers);
            return answer(&worker, response).await;
        }
        time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}
