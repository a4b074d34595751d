//! The configuration that operators put in force: queues of jobs and the pools that serve them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id;

/// A queue of jobs, as a job keeps it from its acceptance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The service whose workers run its tasks.
    pub service: id::Service,
    /// 0 comes first.
    pub rank: u32,
    /// Failed runs of one task after which the job has failed.
    pub attempts_max: u32,
    /// A job's objective is this many thousandths of its longest chain of work, plus `target_ms`.
    pub stretch_milli: u64,
    /// See `stretch_milli`; in milliseconds.
    pub target_ms: u64,
    /// How the queue's policy limits workers, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<Advice>,
}

/// What it costs to ask which workers may run a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Fixed time of a call, in milliseconds.
    pub base_ms: u64,
    /// Time for each worker named, in milliseconds.
    pub per_worker_ms: u64,
    /// How long an answer is valid, in milliseconds.
    pub valid_ms: u64,
}

/// Where requests for a queue arrive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The host, lower case.
    pub host: String,
    /// The prefix of the path.
    pub prefix: String,
    /// The queue.
    pub queue: Queue,
}

/// A service in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Service {
    /// Whether its workers refuse what does not fit.
    pub guarded: bool,
    /// Whether its pool holds machines that are off.
    pub spare: bool,
}

/// A version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    /// Its number; rises.
    pub version: u64,
    /// The queues' routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: BTreeMap<id::Service, Service>,
    /// Most bytes of a request's body.
    pub body_bytes_max: usize,
    /// Connections without a request are closed after this long, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Config {
    /// The route with the longest prefix that matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
    }

    /// The queue of a name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.routes
            .iter()
            .map(|route| &route.queue)
            .find(|queue| queue.name == name)
    }

    /// The pool of machines that are off.
    pub fn spare_pool(&self) -> Option<&id::Service> {
        self.services
            .iter()
            .find(|(_, service)| service.spare)
            .map(|(name, _)| name)
    }
}
