//! Slots of endpoints: how many requests this node has at one endpoint at once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time;
use wasabiloft::verdict;

use crate::view;

/// How often a waiting request looks for a free slot, in milliseconds.
const POLL_MS: u64 = 2;

/// The slots of all endpoints.
#[derive(Debug)]
pub struct Slots {
    per_endpoint: usize,
    endpoints: Mutex<HashMap<SocketAddr, Arc<Semaphore>>>,
}

/// A slot at an endpoint, held while a request is on its way.
#[derive(Debug)]
pub struct Slot {
    /// The endpoint.
    pub endpoint: view::Endpoint,
    _permit: OwnedSemaphorePermit,
}

impl Slots {
    /// At most so many requests at once to one endpoint.
    pub fn new(per_endpoint: usize) -> Self {
        Self {
            per_endpoint,
            endpoints: Mutex::default(),
        }
    }

    /// Waits for a slot at an endpoint that is not leaving, at another than `avoid` if there is one.
    ///
    /// # Errors
    ///
    /// The reason for which the request was not sent.
    pub async fn acquire(
        &self,
        endpoints: &[view::Endpoint],
        avoid: Option<SocketAddr>,
        deadline: time::Instant,
    ) -> Result<Slot, verdict::Reason> {
        let usable: Vec<&view::Endpoint> = endpoints
            .iter()
            .filter(|endpoint| !endpoint.leaving)
            .collect();
        if usable.is_empty() {
            return Err(verdict::Reason::NoEndpoint);
        }
        let others = usable
            .iter()
            .filter(|endpoint| Some(endpoint.address) != avoid);
        let others: Vec<&view::Endpoint> = others.copied().collect();
        let candidates = if others.is_empty() { usable } else { others };
        loop {
            let free = candidates.iter().find_map(|endpoint| self.take(endpoint));
            if let Some(slot) = free {
                return Ok(slot);
            }
            if time::Instant::now() >= deadline {
                return Err(verdict::Reason::QueueTimeout);
            }
            time::sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    fn take(&self, endpoint: &view::Endpoint) -> Option<Slot> {
        let semaphore = {
            let mut endpoints = self
                .endpoints
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let semaphore = endpoints
                .entry(endpoint.address)
                .or_insert_with(|| Arc::new(Semaphore::new(self.per_endpoint)));
            Arc::clone(semaphore)
        };
        let permit = semaphore.try_acquire_owned().ok()?;
        Some(Slot {
            endpoint: endpoint.clone(),
            _permit: permit,
        })
    }
}
