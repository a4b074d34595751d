//! Connections to endpoints, and single attempts of requests on them.
//!
//! Each connection carries one request at a time. A failed attempt reports exactly how far the request got: one that
//! the connection never accepted counts as not sent.

mod endpoint;
mod exchange;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::time;
use tokio_util::task::TaskTracker;
use wasabiloft::connection;
use wasabiloft::retry;

use crate::clock;

pub use exchange::{Answer, CompleteBody};

/// Holds the connections to all endpoints.
#[derive(Debug)]
pub struct Upstream {
    clock: clock::Clock,
    endpoints: Mutex<HashMap<SocketAddr, Arc<endpoint::Endpoint>>>,
    drivers: TaskTracker,
    connections_per_endpoint: Mutex<usize>,
}

impl Upstream {
    /// Creates an empty set of connections with a limit for each endpoint.
    pub fn new(clock: clock::Clock, connections_per_endpoint: usize) -> Self {
        Self {
            clock,
            endpoints: Mutex::default(),
            drivers: TaskTracker::new(),
            connections_per_endpoint: Mutex::new(connections_per_endpoint),
        }
    }

    /// Sends a request once and waits for its answer until the deadline.
    ///
    /// # Errors
    ///
    /// Returns a failure that says whether any byte of the request may have been sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        work: connection::RequestKind,
        deadline: time::Instant,
    ) -> Result<Answer, retry::Failure> {
        let endpoint = self.endpoint(address);
        let lease = endpoint.lease(&self.drivers, work, deadline).await?;
        exchange::run(lease, request, deadline).await
    }

    /// Sets the maximum number of connections to one endpoint.
    pub fn set_limit(&self, connections_per_endpoint: usize) {
        *lock(&self.connections_per_endpoint) = connections_per_endpoint;
        for endpoint in lock(&self.endpoints).values() {
            endpoint.set_limit(connections_per_endpoint);
        }
    }

    /// Closes connections that have been idle for too long, and removes unlisted endpoints once they have no
    /// connection.
    pub fn tick<F>(&self, is_listed: F)
    where
        F: Fn(SocketAddr) -> bool,
    {
        lock(&self.endpoints).retain(|address, endpoint| {
            let listed = is_listed(*address);
            if !listed {
                endpoint.retire();
            }
            endpoint.tick();
            listed || !endpoint.is_empty()
        });
    }

    /// Closes all connections and joins their tasks.
    pub async fn stop(&self) {
        for endpoint in lock(&self.endpoints).values() {
            endpoint.retire();
        }
        self.drivers.close();
        self.drivers.wait().await;
    }

    fn endpoint(&self, address: SocketAddr) -> Arc<endpoint::Endpoint> {
        let limit = *lock(&self.connections_per_endpoint);
        let mut endpoints = lock(&self.endpoints);
        let endpoint = endpoints
            .entry(address)
            .or_insert_with(|| Arc::new(endpoint::Endpoint::new(address, self.clock, limit)));
        Arc::clone(endpoint)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
