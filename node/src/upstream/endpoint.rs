//! The connection pool of one endpoint: opens, leases and closes connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use slotmap::SecondaryMap;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wasabiloft::connection;
use wasabiloft::retry;
use wasabiloft::verdict;

use crate::clock;
use crate::sockets;

/// Timeout for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// A connection with data or a keepalive probe unacknowledged for this long is closed, in milliseconds.
const ACK_TIMEOUT_MS: u64 = 1_000;

/// A connection that can't take a request this long after its answer's last byte is closed, in milliseconds.
const READY_TIMEOUT_MS: u64 = 10;

type Sender = http1::SendRequest<Full<Bytes>>;
type Driver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// Holds the connections to one endpoint.
#[derive(Debug)]
pub struct Endpoint {
    address: SocketAddr,
    clock: clock::Clock,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug)]
struct State {
    pool: connection::Pool,
    idle: SecondaryMap<connection::Key, Sender>,
    closers: SecondaryMap<connection::Key, CancellationToken>,
}

impl State {
    /// Closes the connections that the pool marked; one that was never opened is removed at once.
    fn close(&mut self) {
        for key in self.pool.take_closing() {
            self.idle.remove(key);
            match self.closers.get(key) {
                Some(closer) => closer.cancel(),
                None => self.pool.closed(key),
            }
        }
    }
}

impl Endpoint {
    /// Creates an endpoint without connections.
    pub fn new(address: SocketAddr, clock: clock::Clock, limit: usize) -> Self {
        Self {
            address,
            clock,
            state: Mutex::new(State {
                pool: connection::Pool::new(limit),
                idle: SecondaryMap::new(),
                closers: SecondaryMap::new(),
            }),
            changed: Notify::new(),
        }
    }

    /// Leases a connection for one request; opens one if none is idle.
    pub async fn lease(
        self: &Arc<Self>,
        drivers: &TaskTracker,
        work: connection::RequestKind,
        deadline: time::Instant,
    ) -> Result<Lease, retry::Failure> {
        loop {
            let changed = self.changed.notified();
            if let Some(lease) = self.try_lease(drivers, work).await? {
                return Ok(lease);
            }
            if time::timeout_at(deadline, changed).await.is_err() {
                return Err(not_sent(verdict::Reason::QueueTimeout));
            }
        }
    }

    /// Sets the maximum number of connections.
    pub fn set_limit(&self, limit: usize) {
        self.update(|pool| pool.set_limit(limit));
    }

    /// Closes idle connections now, and busy ones once their requests have ended.
    pub fn retire(&self) {
        self.update(connection::Pool::retire_all);
    }

    /// Closes connections that have been idle for too long.
    pub fn tick(&self) {
        let now = self.clock.now();
        self.update(|pool| pool.tick(now));
    }

    /// Returns true if there is no connection.
    pub fn is_empty(&self) -> bool {
        super::lock(&self.state).pool.is_empty()
    }

    async fn try_lease(
        self: &Arc<Self>,
        drivers: &TaskTracker,
        work: connection::RequestKind,
    ) -> Result<Option<Lease>, retry::Failure> {
        loop {
            let choice = {
                let mut state = super::lock(&self.state);
                let choice = state.pool.choose(self.clock.now(), work);
                state.close();
                choice
            };
            let mut lease = match choice {
                connection::Choice::Wait => return Ok(None),
                connection::Choice::Use(key) | connection::Choice::Open(key) => Lease {
                    endpoint: Arc::clone(self),
                    key,
                    sender: super::lock(&self.state).idle.remove(key),
                    ended: false,
                },
            };
            if let connection::Choice::Open(_) = choice {
                self.open(drivers, &mut lease).await?;
                return Ok(Some(lease));
            }
            let usable = lease.sender.as_ref();
            if usable.is_some_and(|sender| sender.is_ready() && !sender.is_closed()) {
                return Ok(Some(lease));
            }
            // The connection was closed while idle; dropping the lease frees its place in the pool.
        }
    }

    async fn open(
        self: &Arc<Self>,
        drivers: &TaskTracker,
        lease: &mut Lease,
    ) -> Result<(), retry::Failure> {
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connected = time::timeout(timeout, connect(self.address)).await;
        let Ok(Some((sender, driver))) = connected else {
            metrics::counter!("wasabiloft_connect_failures_total").increment(1);
            return Err(not_sent(verdict::Reason::ConnectFailed));
        };
        let closer = CancellationToken::new();
        {
            let mut state = super::lock(&self.state);
            state.closers.insert(lease.key, closer.clone());
            state.pool.opened(self.clock.now(), lease.key);
        }
        lease.sender = Some(sender);
        drivers.spawn(drive(Arc::clone(self), lease.key, driver, closer));
        Ok(())
    }

    fn update<F>(&self, update: F)
    where
        F: FnOnce(&mut connection::Pool),
    {
        let mut state = super::lock(&self.state);
        update(&mut state.pool);
        state.close();
        drop(state);
        self.changed.notify_waiters();
    }

    fn closed(&self, key: connection::Key) {
        let mut state = super::lock(&self.state);
        state.closers.remove(key);
        state.idle.remove(key);
        state.pool.closed(key);
        drop(state);
        self.changed.notify_waiters();
    }
}

/// A connection leased to one request; dropping it without a result reports a failure to the pool.
#[derive(Debug)]
pub struct Lease {
    endpoint: Arc<Endpoint>,
    key: connection::Key,
    sender: Option<Sender>,
    ended: bool,
}

impl Lease {
    /// Returns the connection's sender; `None` if the connection could not be opened.
    pub fn sender(&mut self) -> Option<&mut Sender> {
        self.sender.as_mut()
    }

    /// Records that data arrived from the endpoint.
    pub fn record_activity(&self) {
        let now = self.endpoint.clock.now();
        super::lock(&self.endpoint.state)
            .pool
            .record_received(now, self.key);
    }

    /// Returns the connection to the pool after a complete answer.
    pub async fn release(mut self) {
        let Some(mut sender) = self.sender.take() else {
            return;
        };
        let timeout = Duration::from_millis(READY_TIMEOUT_MS);
        let ready = time::timeout(timeout, sender.ready()).await;
        let ready = matches!(ready, Ok(Ok(())));
        let now = self.endpoint.clock.now();
        let key = self.key;
        self.ended = true;
        super::lock(&self.endpoint.state).idle.insert(key, sender);
        self.endpoint.update(|pool| pool.release(now, key, ready));
    }

    /// Reports a timeout of the request, so that the pool closes the connection.
    pub fn time_out(mut self) {
        self.ended = true;
        let key = self.key;
        let mut suspect = false;
        self.endpoint.update(|pool| suspect = pool.time_out(key));
        if suspect {
            metrics::counter!("wasabiloft_endpoint_suspected_total").increment(1);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.ended {
            let key = self.key;
            self.endpoint.update(|pool| pool.fail(key));
        }
    }
}

async fn connect(address: SocketAddr) -> Option<(Sender, Driver)> {
    let stream = TcpStream::connect(address).await.ok()?;
    sockets::set_options(&stream, Duration::from_millis(ACK_TIMEOUT_MS));
    http1::handshake(TokioIo::new(stream)).await.ok()
}

/// Drives a connection until it ends or `closer` is cancelled.
async fn drive(
    endpoint: Arc<Endpoint>,
    key: connection::Key,
    driver: Driver,
    closer: CancellationToken,
) {
    tokio::select! {
        // The request on the connection receives the error.
        _ = driver => {}
        () = closer.cancelled() => {}
    }
    endpoint.closed(key);
}

fn not_sent(reason: verdict::Reason) -> retry::Failure {
    retry::Failure {
        progress: retry::Progress::NothingSent,
        reason,
    }
}
