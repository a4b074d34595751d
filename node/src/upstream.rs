//! Connections to endpoints: each carries one request at a time, and each endpoint's slots are limited.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;
use tokio::time;
use wasabiloft::verdict;

/// The longest that a connection may take to be made, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// A failed attempt: what is known of the request, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether it may have run.
    pub verdict: verdict::Verdict,
    /// Why it failed.
    pub reason: verdict::Reason,
}

type Sender = http1::SendRequest<Full<Bytes>>;

/// The connections of one endpoint.
#[derive(Debug)]
struct Connections {
    idle: Mutex<Vec<Sender>>,
    slots: Arc<Semaphore>,
}

/// All endpoints' connections.
#[derive(Debug)]
pub struct Upstream {
    endpoints: Mutex<HashMap<SocketAddr, Arc<Connections>>>,
    drivers: Mutex<JoinSet<()>>,
    slots_per_endpoint: usize,
}

/// A slot at an endpoint, held while a request is on its way.
#[derive(Debug)]
pub struct Slot {
    address: SocketAddr,
    connections: Arc<Connections>,
    _permit: OwnedSemaphorePermit,
}

impl Upstream {
    /// No connections yet; at most so many requests at once to one endpoint.
    pub fn new(slots_per_endpoint: usize) -> Self {
        Self {
            endpoints: Mutex::default(),
            drivers: Mutex::default(),
            slots_per_endpoint,
        }
    }

    /// Takes a free slot at an endpoint, if there is one.
    pub fn try_slot(&self, address: SocketAddr) -> Option<Slot> {
        let connections = self.connections(address);
        let permit = Arc::clone(&connections.slots).try_acquire_owned().ok()?;
        Some(Slot {
            address,
            connections,
            _permit: permit,
        })
    }

    /// Sends a request once and collects the whole answer.
    ///
    /// # Errors
    ///
    /// A [`Failure`] that says whether the request may have run.
    pub async fn send(
        &self,
        slot: Slot,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<Response<Bytes>, Failure> {
        let mut sender = self.ready_sender(&slot).await?;
        let exchange = exchange(&mut sender, request);
        let answer = time::timeout(Duration::from_millis(timeout_ms), exchange).await;
        match answer {
            Ok(Ok(response)) => {
                let mut idle = lock(&slot.connections.idle);
                idle.push(sender);
                Ok(response)
            }
            Ok(Err(failure)) => Err(failure),
            Err(_) => Err(Failure {
                verdict: verdict::Verdict::MayHaveRun,
                reason: verdict::Reason::AnswerTimeout,
            }),
        }
    }

    /// Drops all connections and joins their tasks.
    pub async fn stop(&self) {
        lock(&self.endpoints).clear();
        let mut drivers = std::mem::take(&mut *lock(&self.drivers));
        drivers.shutdown().await;
    }

    fn connections(&self, address: SocketAddr) -> Arc<Connections> {
        let mut endpoints = lock(&self.endpoints);
        let connections = endpoints.entry(address).or_insert_with(|| {
            Arc::new(Connections {
                idle: Mutex::default(),
                slots: Arc::new(Semaphore::new(self.slots_per_endpoint)),
            })
        });
        Arc::clone(connections)
    }

    async fn ready_sender(&self, slot: &Slot) -> Result<Sender, Failure> {
        while let Some(sender) = pop(&slot.connections) {
            if sender.is_ready() {
                return Ok(sender);
            }
        }
        self.connect(slot.address).await
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, Failure> {
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connect = TcpStream::connect(address);
        let Ok(Ok(stream)) = time::timeout(timeout, connect).await else {
            return Err(connect_failed());
        };
        // Without the option small requests wait for the other side's acknowledgement.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|_| connect_failed())?;
        let mut drivers = lock(&self.drivers);
        while drivers.try_join_next().is_some() {}
        drivers.spawn(async move {
            // The request on the connection gets the error.
            let _ = driver.await;
        });
        Ok(sender)
    }
}

fn pop(connections: &Connections) -> Option<Sender> {
    lock(&connections.idle).pop()
}

async fn exchange(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, Failure> {
    let lost = Failure {
        verdict: verdict::Verdict::MayHaveRun,
        reason: verdict::Reason::ConnectionLost,
    };
    let cut = Failure {
        verdict: verdict::Verdict::MayHaveRun,
        reason: verdict::Reason::AnswerCut,
    };
    let response = sender.send_request(request).await.map_err(|_| lost)?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|_| cut)?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}

fn connect_failed() -> Failure {
    Failure {
        verdict: verdict::Verdict::NotRun,
        reason: verdict::Reason::ConnectFailed,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
