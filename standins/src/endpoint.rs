//! A runner's endpoint: limited slots and connections, and a tally of what it executed.

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

/// Requests that an endpoint works on at once.
pub const SLOTS: u32 = 8;
/// Connections that an endpoint accepts.
pub const CONNECTIONS: u32 = 64;
/// Header that says how long the request takes, in microseconds.
pub const SERVICE_TIME_HEADER: &str = "service-time-us";
/// Header that says how large the answer's padding is, in bytes.
pub const ANSWER_BYTES_HEADER: &str = "answer-bytes";
/// How long a request takes that does not say.
const SERVICE_TIME_DEFAULT_US: u64 = 5_000;
/// How much longer a slow endpoint takes.
const SLOW_FACTOR: u32 = 10;

/// How an endpoint behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// As it should.
    #[default]
    Normal,
    /// Ten times slower.
    Slow,
    /// Fails everything at once, after having started it.
    FailFast,
    /// Takes requests and never answers.
    Silent,
    /// Drops connections: the VM is down for a reboot that was asked for.
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
    /// If the address can't be bound.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes its behaviour.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Ends it; its connections are dropped.
    pub async fn stop(self) {
        self.task.abort();
        // The task was told to end; how it ended is of no interest.
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
                    open(stream, &shared, &mut connections);
                }
            }
            _ = connections.join_next(), if !connections.is_empty() => {}
            changed = mode.changed() => {
                if changed.is_err() {
                    return;
                }
                let mode = *mode.borrow_and_update();
                if mode.is_down() {
                    go_down(mode, &shared, &mut connections).await;
                }
            }
        }
    }
}

async fn go_down(mode: Mode, shared: &Shared, connections: &mut JoinSet<()>) {
    let cut = u64::from(shared.busy.load(Ordering::SeqCst));
    shared.tally.count(|counts| match mode {
        Mode::Crashed => counts.crashed_total += cut,
        _ => counts.cut_total += cut,
    });
    connections.shutdown().await;
}

fn open(stream: TcpStream, shared: &Arc<Shared>, connections: &mut JoinSet<()>) {
    if shared.mode.borrow().is_down() {
        return;
    }
    if connections.len() >= CONNECTIONS as usize {
        shared
            .tally
            .count(|counts| counts.over_connections_total += 1);
        return;
    }
    // Without the option small answers wait for the other side's acknowledgement.
    let _ = stream.set_nodelay(true);
    let shared = Arc::clone(shared);
    connections.spawn(async move {
        let service = service::service_fn(|request| answer(request, Arc::clone(&shared)));
        let builder = auto::Builder::new(TokioExecutor::new());
        // A broken connection is the other side's business.
        let _ = builder
            .serve_connection(TokioIo::new(stream), service)
            .await;
    });
}

/// Holds a slot until dropped.
struct Slot {
    shared: Arc<Shared>,
}

impl Slot {
    fn take(shared: &Arc<Shared>) -> Option<Self> {
        let taken = shared.busy.fetch_add(1, Ordering::SeqCst);
        let slot = Self {
            shared: Arc::clone(shared),
        };
        (taken < SLOTS).then_some(slot)
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
    let Some(slot) = Slot::take(&shared) else {
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
