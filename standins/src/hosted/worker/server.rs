//! The worker's HTTP interface, with the faults of its responses. A connection ends with the incarnation that accepted it, as
//! that of a process does.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::{Extension, Json, Router, routing};
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use serde::Deserialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::sync::CancellationToken;

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

/// The incarnation that accepted a connection.
#[derive(Clone, Debug)]
pub(super) struct Accepted {
    pub(super) born_unix_ms: u64,
    /// Cancelled when the incarnation ends.
    pub(super) ended: CancellationToken,
}

/// Serves connections until the task is aborted.
pub(super) async fn serve(listener: TcpListener, worker: Arc<Worker>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, Arc::clone(&worker)));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(stream: TcpStream, worker: Arc<Worker>) {
    let accepted = worker.accept();
    let ended = accepted.ended.clone();
    let service = TowerToHyperService::new(router(&worker).layer(Extension(accepted)));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        () = ended.cancelled() => {}
        // The caller may close the connection at any time.
        _ = connection => {}
    }
}

/// Returns the worker's routes.
fn router(worker: &Arc<Worker>) -> Router {
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
    Extension(accepted): Extension<Accepted>,
    headers: HeaderMap,
    Json(start): Json<Start>,
) -> Response {
    let command = move |worker: &Worker| worker.start_run(&accepted, &headers, &start);
    execute(worker, command).await
}

async fn run_stop(
    State(worker): State<Arc<Worker>>,
    Extension(accepted): Extension<Accepted>,
    headers: HeaderMap,
    Json(stop): Json<Stop>,
) -> Response {
    let command = move |worker: &Worker| worker.stop_run(&accepted, &headers, &stop);
    execute(worker, command).await
}

async fn hold(
    State(worker): State<Arc<Worker>>,
    Extension(accepted): Extension<Accepted>,
    headers: HeaderMap,
    Json(hold): Json<Hold>,
) -> Response {
    let until = time::Instant::now() + Duration::from_millis(hold.wait_ms);
    if let Some(refused) = worker.begin_poll(&accepted, &headers, &hold) {
        return refused;
    }
    loop {
        worker.end_due_runs();
        if time::Instant::now() >= until || worker.has_ends() {
            let response = worker.report(&accepted, &headers);
            return answer(&worker, response).await;
        }
        time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}
