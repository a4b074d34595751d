//! The choice of an endpoint for a request, on one node.
//!
//! Among the endpoints where a slot is free, two are picked at random and the one with less work and quicker answers
//! gets the request. Endpoints that do clearly worse than the others are ejected for a while, whether they are slow,
//! fail, or answer garbage, however fast; never more than a part of them, so that a fault of all of them ejects few.
//! Ejected endpoints come back by probes. A leaving endpoint gets nothing new from the moment that it is listed so.
//!
//! # Examples
//!
//! ```
//! use rand::SeedableRng;
//! use wasabiloft::{clock, id, routing};
//!
//! let mut router = routing::Router::new();
//! let vm = id::Vm::new("vm-1");
//! router.list(&[routing::EndpointSpec { vm: vm.clone(), leaving: false }]);
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

/// The largest part of a service's endpoints that may be ejected, in percent.
const EJECTED_MAX_PERCENT: usize = 34;

slotmap::new_key_type! {
    /// An endpoint that this node knows.
    pub struct EndpointKey;
}

/// Whether a request may serve as a probe of an ejected endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// It may: it is idempotent.
    Allowed,
    /// It goes to healthy endpoints only.
    Forbidden,
}

/// An endpoint as the configuration and the platform's list describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Its VM.
    pub vm: id::Vm,
    /// True if it must get nothing new.
    pub leaving: bool,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Endpoints ejected.
    pub ejected: u64,
    /// Outliers that were kept because too many were ejected already.
    pub kept: u64,
    /// Endpoints readmitted after probes.
    pub readmitted: u64,
}

/// One endpoint.
#[derive(Clone, Debug)]
struct Endpoint {
    vm: id::Vm,
    leaving: bool,
    in_flight: u32,
    health: outlier::Health,
}

/// The endpoints of one service.
#[derive(Clone, Debug, Default)]
pub struct Router {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    keys: BTreeMap<id::Vm, EndpointKey>,
    counters: Counters,
}

impl Router {
    /// Makes a router that knows no endpoint.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the endpoints that exist; what is known of those that stay is kept.
    pub fn list(&mut self, specs: &[EndpointSpec]) {
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

    /// Tells whether an endpoint may get any request.
    pub fn is_healthy(&self, vm: &id::Vm) -> bool {
        let endpoint = self.keys.get(vm).map(|key| &self.endpoints[*key]);
        endpoint.is_some_and(|endpoint| !endpoint.leaving && !endpoint.needs_probe())
    }

    /// Picks an endpoint among candidates that have a free slot, and counts the request in.
    ///
    /// An endpoint that is due for a probe goes first if the request may be one, one request at a time. Returns `None` if
    /// no candidate may be used.
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
            .filter(|key| self.endpoints[*key].may_use(now, probe))
            .collect();
        let due = usable
            .iter()
            .find(|key| self.endpoints[**key].needs_probe());
        let chosen = match due {
            Some(key) => *key,
            None => self.lighter_of_two(&usable, rng)?,
        };
        let endpoint = &mut self.endpoints[chosen];
        endpoint.in_flight += 1;
        endpoint.begin_probe();
        Some(chosen)
    }

    /// Counts a request out and learns from how it ended.
    pub fn finish(&mut self, now: clock::Instant, key: EndpointKey, outcome: Outcome) {
        let middle = self.middle();
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        if matches!(endpoint.health.state, State::Probing { .. }) {
            endpoint.health.end_probe(now, outcome, middle);
            let healthy = endpoint.health.state == State::Healthy;
            self.counters.readmitted += u64::from(healthy);
            return;
        }
        endpoint.health.record(outcome);
        let healthy = endpoint.health.state == State::Healthy;
        if healthy && endpoint.health.is_outlier(middle) {
            self.eject(now, key);
        }
    }

    /// The VM of an endpoint.
    pub fn vm(&self, key: EndpointKey) -> Option<&id::Vm> {
        self.endpoints.get(key).map(|endpoint| &endpoint.vm)
    }

    /// The state of an endpoint.
    pub fn state(&self, vm: &id::Vm) -> Option<State> {
        let key = self.keys.get(vm)?;
        Some(self.endpoints[*key].health.state)
    }

    /// Requests that this node has in progress at an endpoint.
    pub fn in_flight(&self, vm: &id::Vm) -> u32 {
        let key = self.keys.get(vm);
        key.map_or(0, |key| self.endpoints[*key].in_flight)
    }

    /// Counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn lighter_of_two<R>(&self, usable: &[EndpointKey], rng: &mut R) -> Option<EndpointKey>
    where
        R: Rng,
    {
        if usable.is_empty() {
            return None;
        }
        let first = usable[rng.random_range(0..usable.len())];
        let second = usable[rng.random_range(0..usable.len())];
        let lighter = self.endpoints[first].cost() <= self.endpoints[second].cost();
        Some(if lighter { first } else { second })
    }

    fn eject(&mut self, now: clock::Instant, key: EndpointKey) {
        let out = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.health.state != State::Healthy)
            .count();
        if (out + 1) * 100 > self.endpoints.len() * EJECTED_MAX_PERCENT {
            self.counters.kept += 1;
            return;
        }
        self.counters.ejected += 1;
        self.endpoints[key].health.eject(now);
    }

    /// The middle endpoint's slowness and failure rate.
    fn middle(&self) -> outlier::Middle {
        let health = || self.endpoints.values().map(|endpoint| &endpoint.health);
        outlier::Middle {
            slowness: median(health().map(|entry| entry.slowness).collect()),
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

    fn may_use(&self, now: clock::Instant, probe: Probe) -> bool {
        if self.leaving {
            return false;
        }
        match self.health.state {
            State::Healthy => true,
            _ if probe == Probe::Forbidden => false,
            State::Ejected(until) => now >= until && self.in_flight == 0,
            State::Probing { busy, .. } => !busy,
        }
    }

    fn needs_probe(&self) -> bool {
        self.health.state != State::Healthy
    }

    fn begin_probe(&mut self) {
        let good = match self.health.state {
            State::Healthy => return,
            State::Ejected(_) => 0,
            State::Probing { good, .. } => good,
        };
        self.health.state = State::Probing { good, busy: true };
    }

    /// The work that waits here, weighted by how slowly it is done and by how often it fails.
    fn cost(&self) -> f64 {
        let done = (1.0 - self.health.failure_rate()).max(0.01);
        f64::from(self.in_flight + 1) * self.health.slowness / done
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}
