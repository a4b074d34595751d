//! What the endpoints executed, seen from outside the system.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Header by which the load generator marks each request.
pub const REQUEST_ID_HEADER: &str = "request-id";

/// Counters over all endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that an endpoint started.
    pub started_total: u64,
    /// Requests that an endpoint finished.
    pub finished_total: u64,
    /// Requests that a planned stop of the endpoint cut.
    pub cut_total: u64,
    /// Requests that a failure of the endpoint's VM cut.
    pub crashed_total: u64,
    /// Requests that arrived while all slots were taken.
    pub over_slots_total: u64,
    /// Connections beyond the endpoint's limit.
    pub over_connections_total: u64,
}

/// Executions by request id, and counters.
#[derive(Debug, Default)]
pub struct Tally {
    executions: Mutex<HashMap<String, u32>>,
    counts: Mutex<Counts>,
}

impl Tally {
    /// Notes that a request was started.
    pub fn start(&self, request_id: &str) {
        self.count(|counts| counts.started_total += 1);
        let mut executions = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *executions.entry(request_id.to_owned()).or_default() += 1;
    }

    /// Changes the counters.
    pub fn count<F>(&self, change: F)
    where
        F: FnOnce(&mut Counts),
    {
        change(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// The counters.
    pub fn counts(&self) -> Counts {
        self.counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// How often each request was started.
    pub fn executions(&self) -> HashMap<String, u32> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
