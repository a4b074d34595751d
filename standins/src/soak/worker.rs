//! A worker of a soak, and what the registry shows of it.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::json;
use tokio::time;

use crate::hosted::Listening;
use crate::hosted::worker::Worker;
use crate::proxy::Group;

/// Interval at which a worker writes its entry, in milliseconds. The entry is removed after three intervals without.
pub const HEARTBEAT_MS: u64 = 1_000;

/// A worker and the proxies through which daemons reach it.
pub struct ProxiedWorker {
    /// The worker, listening on its own address.
    pub worker: Listening<Worker>,
    /// The proxies in front of it, by node number.
    pub proxy: Group,
    /// Name of its machine.
    pub machine: String,
    /// What the registry shows of it.
    entry: Mutex<Entry>,
}

/// What a worker writes to the registry.
#[derive(Debug, Default)]
struct Entry {
    /// The last change, with the id of the worker to which it applies; later workers of the machine are ready.
    registration: Option<(String, Registration)>,
    /// Since when the worker doesn't reach the store.
    unreachable_since: Option<time::Instant>,
}

/// What the registry shows of a worker whose machine is up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Registration {
    /// It takes work.
    #[default]
    Ready,
    /// It announced its stop.
    Draining,
    /// Its entry was removed.
    Removed,
}

impl Registration {
    /// Returns the state in the worker's entry; `None` without an entry.
    fn state(self) -> Option<&'static str> {
        match self {
            Self::Ready => Some("ready"),
            Self::Draining => Some("draining"),
            Self::Removed => None,
        }
    }
}

impl ProxiedWorker {
    /// Creates the worker of a machine; its entry shows it as ready.
    pub(super) fn new(worker: Listening<Worker>, proxy: Group, machine: String) -> Self {
        Self {
            worker,
            proxy,
            machine,
            entry: Mutex::default(),
        }
    }

    fn entry_state(&self) -> MutexGuard<'_, Entry> {
        self.entry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes what the registry shows of the worker that now runs on the machine.
    pub(super) fn register(&self, registration: Registration) {
        let (id, _) = self.worker.state.incarnation();
        self.entry_state().registration = id.map(|id| (id, registration));
    }

    /// Sets since when the worker doesn't reach the store.
    pub(super) fn set_unreachable_since(&self, since: Option<time::Instant>) {
        self.entry_state().unreachable_since = since;
    }

    /// Returns the worker's entry after this many heartbeats; `None` if it has none. `written` is its newest entry in the
    /// store.
    pub(super) fn entry(
        &self,
        pool: &str,
        id: &str,
        heartbeats: u64,
        written: Option<&String>,
    ) -> Option<String> {
        let worker = &self.worker.state;
        let entry = self.entry_state();
        let registration = match &entry.registration {
            Some((changed, registration)) if changed == id => *registration,
            _ => Registration::Ready,
        };
        let state = registration.state()?;
        if let Some(since) = entry.unreachable_since {
            let is_expired = since.elapsed() >= Duration::from_millis(3 * HEARTBEAT_MS);
            return written.filter(|_| !is_expired).cloned();
        }
        let (_, born) = worker.incarnation();
        let entry = json!({
            "service": pool, "address": self.worker.address, "zone": "andes", "version": "v1",
            "slots": 8, "state": state, "coldLeftMs": 0, "seq": heartbeats, "born": born, "clockMs": 1,
            "capacity": {"cpu": worker.cpu_milli(), "memMb": 16_000, "gpu": 0},
            "labels": ["a", "r1"],
        });
        Some(entry.to_string())
    }
}
