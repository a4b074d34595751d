//! Load balancing and outlier ejection among the endpoints of a service, on one node.
//!
//! Among the endpoints with a free slot, two are picked at random, and the one with the lower load and latency gets the
//! request. Endpoints that perform clearly worse than the others are ejected for a while, whether they are slow, fail,
//! or return malformed answers, however fast. The ejected part is limited, so that a fault of all endpoints ejects only
//! a few. Ejected endpoints are readmitted by probes. A leaving endpoint gets no new requests once it is listed as
//! leaving.
//!
//! # Examples
//!
//! ```
//! use rand::SeedableRng;
//! use wasabiloft::{clock, id, routing};
//!
//! let mut router = routing::Router::new();
//! let vm = id::Vm::new("vm-1");
//! router.set_endpoints(&[routing::EndpointSpec { vm: vm.clone(), leaving: false }]);
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
//! let choice = router.choose(clock::Instant::ZERO, &[vm], routing::Probe::Forbidden, &mut rng).unwrap();
//! router.finish(clock::Instant::ZERO, choice, routing::Outcome::Failed);
//! ```

mod outlier;

use std::collections::BTreeMap;

use rand::Rng;
use slotmap::SlotMap;

use crate::clock;
use crate::id;

pub use outlier::{Outcome, State};

/// Maximum part of a service's endpoints that can be ejected at once, in percent.
const EJECTED_MAX_PERCENT: usize = 34;

slotmap::new_key_type! {
    /// Identifies an endpoint in its [`Router`].
    pub struct EndpointKey;
}

/// Whether a request can be used as a probe of an ejected endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// The request is idempotent and can be a probe.
    Allowed,
    /// The request goes to healthy endpoints only.
    Forbidden,
}

/// An endpoint as the configuration and the platform's list describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSpec {
    /// VM that the endpoint runs on.
    pub vm: id::Vm,
    /// True if the endpoint must not get new requests.
    pub leaving: bool,
}

/// Counters since the start of the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of ejections.
    pub ejected: u64,
    /// Number of times that an outlier was not ejected because too many endpoints were ejected already.
    pub kept: u64,
    /// Number of readmissions after successful probes.
    pub readmitted: u64,
}

#[derive(Clone, Debug)]
struct Endpoint {
    vm: id::Vm,
    leaving: bool,
    in_flight: u32,
    health: outlier::Health,
}

/// Holds the endpoints of one service and selects one for each request.
#[derive(Clone, Debug, Default)]
pub struct Router {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    keys: BTreeMap<id::Vm, EndpointKey>,
    counters: Counters,
}

impl Router {
    /// Creates a router without endpoints.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the list of endpoints; the state of those that remain is kept.
    pub fn set_endpoints(&mut self, specs: &[EndpointSpec]) {
        let listed: BTreeMap<&id::Vm, bool> =
            specs.iter().map(|spec| (&spec.vm, spec.leaving)).collect();
        self.endpoints.retain(|_, endpoint| {
            endpoint.leaving = listed.get(&endpoint.vm).copied().unwrap_or(true);
            endpoint.in_flight > 0 || listed.contains_key(&endpoint.vm)
        });
        let endpoints = &self.endpoints;
        self.keys.retain(|_, key| endpoints.contains_key(*key));
        for (vm, leaving) in listed {
            if !self.keys.contains_key(vm) {
                let key = self.endpoints.insert(Endpoint::new(vm, leaving));
                self.keys.insert(vm.clone(), key);
            }
        }
    }

    /// Returns true if the endpoint can get any request: it is known, not leaving, and neither ejected nor being probed.
    pub fn is_healthy(&self, vm: &id::Vm) -> bool {
        let endpoint = self.keys.get(vm).map(|key| &self.endpoints[*key]);
        endpoint.is_some_and(|endpoint| !endpoint.leaving && !endpoint.needs_probe())
    }

    /// Selects an endpoint among candidates with a free slot, and counts the request as in flight.
    ///
    /// An endpoint that is due for a probe goes first if the request can be one; an endpoint gets one probe at a time.
    /// Returns `None` if no candidate is usable.
    pub fn choose<R>(
        &mut self,
        now: clock::Instant,
        candidates: &[id::Vm],
        probe: Probe,
        rng: &mut R,
    ) -> Option<EndpointKey>
    where
        R: Rng,
    {
        let keys = candidates.iter().filter_map(|vm| self.keys.get(vm));
        let usable: Vec<EndpointKey> = keys
            .copied()
            .filter(|key| self.endpoints[*key].is_usable(now, probe))
            .collect();
        let probe_target = usable
            .iter()
            .find(|key| self.endpoints[**key].needs_probe());
        let chosen = match probe_target {
            Some(key) => *key,
            None => self.cheaper_of_two(&usable, rng)?,
        };
        let endpoint = &mut self.endpoints[chosen];
        endpoint.in_flight += 1;
        endpoint.begin_probe();
        Some(chosen)
    }

    /// Removes a request from the count and updates the endpoint's health from the outcome.
    pub fn finish(&mut self, now: clock::Instant, key: EndpointKey, outcome: Outcome) {
        let medians = self.medians();
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        if matches!(endpoint.health.state, State::Probing { .. }) {
            endpoint.health.end_probe(now, outcome, medians);
            let is_healthy = endpoint.health.state == State::Healthy;
            self.counters.readmitted += u64::from(is_healthy);
            return;
        }
        endpoint.health.record(outcome);
        let is_healthy = endpoint.health.state == State::Healthy;
        if is_healthy && endpoint.health.is_outlier(medians) {
            self.eject(now, key);
        }
    }

    /// Returns the VM of an endpoint, or `None` if the endpoint is unknown.
    pub fn vm(&self, key: EndpointKey) -> Option<&id::Vm> {
        self.endpoints.get(key).map(|endpoint| &endpoint.vm)
    }

    /// Returns the state of a VM's endpoint, or `None` if the endpoint is unknown.
    pub fn state(&self, vm: &id::Vm) -> Option<State> {
        let key = self.keys.get(vm)?;
        Some(self.endpoints[*key].health.state)
    }

    /// Returns the number of this node's requests in flight at a VM's endpoint.
    pub fn in_flight(&self, vm: &id::Vm) -> u32 {
        let key = self.keys.get(vm);
        key.map_or(0, |key| self.endpoints[*key].in_flight)
    }

    /// Returns the counters since the start of the node.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn cheaper_of_two<R>(&self, usable: &[EndpointKey], rng: &mut R) -> Option<EndpointKey>
    where
        R: Rng,
    {
        if usable.is_empty() {
            return None;
        }
        let first = usable[rng.random_range(0..usable.len())];
        let second = usable[rng.random_range(0..usable.len())];
        let is_first_cheaper = self.endpoints[first].cost() <= self.endpoints[second].cost();
        Some(if is_first_cheaper { first } else { second })
    }

    fn eject(&mut self, now: clock::Instant, key: EndpointKey) {
        let ejected = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.health.state != State::Healthy)
            .count();
        if (ejected + 1) * 100 > self.endpoints.len() * EJECTED_MAX_PERCENT {
            self.counters.kept += 1;
            return;
        }
        self.counters.ejected += 1;
        self.endpoints[key].health.eject(now);
    }

    /// Returns the medians of the endpoints' latency ratios and failure rates.
    fn medians(&self) -> outlier::Medians {
        let health = || self.endpoints.values().map(|endpoint| &endpoint.health);
        outlier::Medians {
            latency_ratio: median(health().map(|entry| entry.latency_ratio).collect()),
            failure_rate: median(health().map(outlier::Health::failure_rate).collect()),
        }
    }
}

impl Endpoint {
    fn new(vm: &id::Vm, leaving: bool) -> Self {
        Self {
            vm: vm.clone(),
            leaving,
            in_flight: 0,
            health: outlier::Health::new(),
        }
    }

    fn is_usable(&self, now: clock::Instant, probe: Probe) -> bool {
        if self.leaving {
            return false;
        }
        match self.health.state {
            State::Healthy => true,
            _ if probe == Probe::Forbidden => false,
            State::Ejected(until) => now >= until && self.in_flight == 0,
            State::Probing { in_progress, .. } => !in_progress,
        }
    }

    fn needs_probe(&self) -> bool {
        self.health.state != State::Healthy
    }

    fn begin_probe(&mut self) {
        let successes = match self.health.state {
            State::Healthy => return,
            State::Ejected(_) => 0,
            State::Probing { successes, .. } => successes,
        };
        self.health.state = State::Probing {
            successes,
            in_progress: true,
        };
    }

    /// Returns the requests in flight, weighted by the endpoint's latency ratio and failure rate.
    fn cost(&self) -> f64 {
        let success_rate = (1.0 - self.health.failure_rate()).max(0.01);
        f64::from(self.in_flight + 1) * self.health.latency_ratio / success_rate
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let middle_index = values.len() / 2;
    *values
        .select_nth_unstable_by(middle_index, f64::total_cmp)
        .1
}
