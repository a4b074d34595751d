//! A runner's endpoint with limited slots and connections, which tallies the requests that it executes.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time;
use wasabiloft::verdict;

use crate::tally;

/// Limit of requests that an endpoint executes concurrently.
pub const SLOTS: u32 = 8;
/// Limit of open connections of an endpoint.
pub const CONNECTIONS: u32 = 64;
/// Request header with the service time, in microseconds.
pub const SERVICE_TIME_HEADER: &str = "service-time-us";
/// Request header with the size of the response's padding, in bytes.
pub const ANSWER_BYTES_HEADER: &str = "answer-bytes";
/// Service time of a request without the header, in microseconds.
const SERVICE_TIME_DEFAULT_US: u64 = 5_000;
/// Factor by which a slow endpoint's service time is longer.
const SLOW_FACTOR: u32 = 10;

/// Behaviour of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Executes requests and responds.
    #[default]
    Normal,
    /// Takes ten times the service time.
    Slow,
    /// Starts each request and fails it immediately.
    FailFast,
    /// Starts requests and never responds.
    Silent,
    /// Drops connections: the VM is down for a requested reboot.
    Down,
    /// Drops connections: the VM has failed.
    Crashed,
}

impl Mode {
    fn is_down(self) -> bool {
        matches!(self, Self::Down | Self::Crashed)
    }
}

/// A running endpoint.
#[derive(Debug)]
pub struct Endpoint {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    task: JoinHandle<()>,
}

struct Shared {
    name: String,
    tally: Arc<tally::Tally>,
    mode: watch::Receiver<Mode>,
    busy: AtomicU32,
}

impl Endpoint {
    /// Starts an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(
        name: &str,
        address: SocketAddr,
        tally: Arc<tally::Tally>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (mode, mode_changes) = watch::channel(Mode::Normal);
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            tally,
            mode: mode_changes,
            busy: AtomicU32::new(0),
        });
        let task = tokio::spawn(accept(listener, shared));
        Ok(Self {
            address,
            mode,
            task,
        })
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the endpoint's behaviour.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Stops the endpoint and drops its connections.
    pub async fn stop(self) {
        self.task.abort();
        // The task was aborted, so its result is ignored.
        let _ = self.task.await;
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    let mut mode = shared.mode.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    serve_connection(stream, &shared, &mut connections);
                }
            }
            _ = connections.join_next(), if !connections.is_empty() => {}
            changed = mode.changed() => {
                if changed.is_err() {
                    return;
                }
                let mode = *mode.borrow_and_update();
                if mode.is_down() {
                    drop_connections(mode, &shared, &mut connections).await;
                }
            }
        }
    }
}

async fn drop_connections(mode: Mode, shared: &Shared, connections: &mut JoinSet<()>) {
    let cut = u64::from(shared.busy.load(Ordering::SeqCst));
    shared.tally.count(|counts| match mode {
        Mode::Crashed => counts.crashed_total += cut,
        _ => counts.cut_total += cut,
    });
    connections.shutdown().await;
}

fn serve_connection(stream: TcpStream, shared: &Arc<Shared>, connections: &mut JoinSet<()>) {
    if shared.mode.borrow().is_down() {
        return;
    }
    if connections.len() >= CONNECTIONS as usize {
        shared
            .tally
            .count(|counts| counts.over_connections_total += 1);
        return;
    }
    // With Nagle's algorithm, small responses wait for the peer's acknowledgement.
    let _ = stream.set_nodelay(true);
    let shared = Arc::clone(shared);
    connections.spawn(async move {
        let service = service::service_fn(|request| answer(request, Arc::clone(&shared)));
        let builder = auto::Builder::new(TokioExecutor::new());
        // Errors of a connection are the client's to handle.
        let _ = builder
            .serve_connection(TokioIo::new(stream), service)
            .await;
    });
}

/// A slot of an endpoint, released on drop.
struct Slot {
    shared: Arc<Shared>,
}

impl Slot {
    fn acquire(shared: &Arc<Shared>) -> Option<Self> {
        let busy = shared.busy.fetch_add(1, Ordering::SeqCst);
        let slot = Self {
            shared: Arc::clone(shared),
        };
        (busy < SLOTS).then_some(slot)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn answer(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if request.method() == Method::OPTIONS {
        return Ok(Response::new(Full::default()));
    }
    let Some(slot) = Slot::acquire(&shared) else {
        shared.tally.count(|counts| counts.over_slots_total += 1);
        return Ok(not_run());
    };
    let request_id = text_header(&request, tally::REQUEST_ID_HEADER).unwrap_or_default();
    let service_us =
        number_header(&request, SERVICE_TIME_HEADER).unwrap_or(SERVICE_TIME_DEFAULT_US);
    let answer_bytes = number_header(&request, ANSWER_BYTES_HEADER).unwrap_or(0);
    let Ok(body) = request.into_body().collect().await else {
        return Ok(not_run());
    };
    let body_bytes = body.to_bytes().len();
    shared.tally.start(&request_id);
    let mode = *shared.mode.borrow();
    let service = Duration::from_micros(service_us);
    match mode {
        Mode::Normal if service.is_zero() => {}
        Mode::Normal => time::sleep(service).await,
        Mode::Slow => time::sleep(service * SLOW_FACTOR).await,
        Mode::FailFast => return Ok(failed()),
        Mode::Silent | Mode::Down | Mode::Crashed => std::future::pending().await,
    }
    shared.tally.count(|counts| counts.finished_total += 1);
    drop(slot);
    Ok(finished(
        &shared.name,
        &request_id,
        body_bytes,
        answer_bytes,
    ))
}

fn finished(
    vm: &str,
    request_id: &str,
    body_bytes: usize,
    answer_bytes: u64,
) -> Response<Full<Bytes>> {
    let padding = "x".repeat(usize::try_from(answer_bytes).unwrap_or(0));
    let body = serde_json::json!({
        "request_id": request_id,
        "vm": vm,
        "body_bytes": body_bytes,
        "padding": padding,
    });
    Response::new(Full::from(body.to_string()))
}

fn failed() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from("failed"));
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

fn not_run() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from("no free slot"));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let verdict = http::HeaderValue::from_static("not-run");
    response
        .headers_mut()
        .insert(verdict::VERDICT_HEADER, verdict);
    response
}

fn text_header(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn number_header(request: &Request<Incoming>, name: &str) -> Option<u64> {
    text_header(request, name)?.parse().ok()
}
