//! The active configuration: queues of jobs and the pools that serve them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::batch::accounts;
use crate::id;

/// A job queue's settings; a job keeps the settings that were active when it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue, unique in the configuration.
    pub name: String,
    /// Service whose workers run the queue's tasks.
    pub service: id::Service,
    /// Scheduling rank; 0 is scheduled first.
    pub rank: u32,
    /// Failed runs of one task after which the whole job fails.
    pub attempts_max: u32,
    /// Thousandths of a job's critical path; the job's objective is their product plus `target_ms`.
    pub stretch_milli: u64,
    /// Constant part of a job's objective, in milliseconds; see `stretch_milli`.
    pub target_ms: u64,
    /// Timing of the queue's placement policy; absent if all workers are allowed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<Advice>,
}

/// The timing of calls that ask the placement policy which workers can run a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Fixed duration of a call, in milliseconds.
    pub base_ms: u64,
    /// Additional duration for each worker in the call, in milliseconds.
    pub per_worker_ms: u64,
    /// How long a response stays valid, in milliseconds.
    pub valid_ms: u64,
}

/// Maps a host and a path prefix to a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Host name in lower case; matched without regard to case.
    pub host: String,
    /// Prefix that a request's path must have.
    pub prefix: String,
    /// Queue that receives matching requests.
    pub queue: Queue,
    /// Whether callers need no key, although the configuration has accounts.
    pub anonymous: bool,
}

/// The settings of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Service {
    /// Whether the service's workers refuse tasks that exceed their capacity.
    pub enforces_capacity: bool,
    /// Whether the service's pool is the spare pool, whose machines are powered off.
    pub spare: bool,
}

/// A version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    /// Version number; increases with each change.
    pub version: u64,
    /// Routes of all queues.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Client accounts; `None` if the configuration has none, and callers need no key.
    pub accounts: Option<accounts::Accounts>,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: usize,
    /// Idle time after which a connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Whom a request is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access<'a> {
    /// No account: the route is open to callers without a key, or the configuration has no accounts.
    Open,
    /// The account whose key the request carries.
    Account(&'a id::Account),
    /// The key is missing, or no account has it.
    Denied,
}

impl Config {
    /// Returns whom a request on a route is made for, by its key if it carries one.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        let Some(accounts) = &self.accounts else {
            return Access::Open;
        };
        match key.and_then(|key| accounts.authenticate(key)) {
            Some(account) => Access::Account(account),
            None if route.anonymous => Access::Open,
            None => Access::Denied,
        }
    }

    /// Returns the matching route with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the first queue with the given name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.routes
            .iter()
            .map(|route| &route.queue)
            .find(|queue| queue.name == name)
    }

    /// Returns the service whose pool is the spare pool.
    pub fn spare_pool(&self) -> Option<&id::Service> {
        self.services
            .iter()
            .find(|(_, service)| service.spare)
            .map(|(name, _)| name)
    }
}
