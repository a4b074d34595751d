//! The entry VM's own processor, memory and accepted connections, shared among its services.
//!
//! The rule is the one of the slots: a service within its part of a resource is never refused because of the others, and
//! a service beyond it may borrow only what the others have lately not needed.

use std::collections::BTreeMap;

use crate::clock;
use crate::id;
use crate::verdict;

/// Time constant by which a service's remembered need fades, in milliseconds.
const NEED_FADE_MS: f64 = 2_000.0;
/// What is kept free for a service, as a multiple of its remembered need.
const NEED_MARGIN: f64 = 2.0;

/// A resource of the entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Resource {
    /// Requests in progress, which stand for processor time.
    Requests,
    /// Bytes of buffered bodies.
    MemoryBytes,
    /// Accepted connections.
    Connections,
}

/// The limits of one entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests in progress at once.
    pub requests: u64,
    /// Bytes of buffered bodies.
    pub memory_bytes: u64,
    /// Accepted connections.
    pub connections: u64,
}

/// One service's use of one resource.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    used: u64,
    need: f64,
    seen_at: clock::Instant,
}

impl Use {
    fn need_at(&self, now: clock::Instant) -> f64 {
        let age_ms = now.since_ms(self.seen_at) as f64;
        let faded = self.need * (-age_ms / NEED_FADE_MS).exp();
        faded.max(self.used as f64)
    }

    fn change(&mut self, now: clock::Instant, used: u64) {
        self.need = self.need_at(now).max(used as f64);
        self.seen_at = now;
        self.used = used;
    }
}

/// One resource, divided among the services.
#[derive(Clone, Debug)]
struct Division {
    limit: u64,
    uses: BTreeMap<id::Service, Use>,
}

impl Division {
    fn fits(&self, now: clock::Instant, service: &id::Service, amount: u64) -> bool {
        let part = self.limit as f64 / self.uses.len().max(1) as f64;
        let used = self.uses.get(service).map_or(0, |entry| entry.used);
        let total: u64 = self.uses.values().map(|entry| entry.used).sum();
        if total + amount > self.limit {
            return false;
        }
        if (used + amount) as f64 <= part {
            return true;
        }
        let kept: f64 = self
            .uses
            .iter()
            .filter(|(name, _)| *name != service)
            .map(|(_, entry)| kept_for(now, entry, part))
            .sum();
        (total + amount) as f64 + kept <= self.limit as f64
    }
}

/// What is kept free for a service within its part.
fn kept_for(now: clock::Instant, entry: &Use, part: f64) -> f64 {
    let need = (NEED_MARGIN * entry.need_at(now)).max(1.0);
    (need.min(part) - entry.used as f64).max(0.0)
}

/// The entry VM's resources and who uses them.
///
/// # Examples
///
/// ```
/// use wasabiloft::admission::intake;
/// use wasabiloft::{clock, id, verdict};
///
/// let limits = intake::Limits { requests: 4, memory_bytes: 1 << 20, connections: 16 };
/// let services = [id::Service::new("loans"), id::Service::new("notices")];
/// let mut intake = intake::Intake::new(limits, &services);
/// let now = clock::Instant::ZERO;
/// for _ in 0..3 {
///     intake.take(now, &services[0], intake::Resource::Requests, 1).unwrap();
/// }
/// let refused = intake.take(now, &services[0], intake::Resource::Requests, 1);
/// assert_eq!(refused, Err(verdict::Reason::NodeOverloaded));
/// assert_eq!(intake.take(now, &services[1], intake::Resource::Requests, 1), Ok(()));
/// ```
#[derive(Clone, Debug)]
pub struct Intake {
    divisions: BTreeMap<Resource, Division>,
}

impl Intake {
    /// Makes the book of an idle entry VM.
    pub fn new(limits: Limits, services: &[id::Service]) -> Self {
        let limits = [
            (Resource::Requests, limits.requests),
            (Resource::MemoryBytes, limits.memory_bytes),
            (Resource::Connections, limits.connections),
        ];
        let divisions = limits.map(|(resource, limit)| {
            let uses = services
                .iter()
                .map(|name| (name.clone(), Use::default()))
                .collect();
            (resource, Division { limit, uses })
        });
        Self {
            divisions: BTreeMap::from(divisions),
        }
    }

    /// Adds a service that was not known before.
    pub fn add_service(&mut self, service: &id::Service) {
        for division in self.divisions.values_mut() {
            division.uses.entry(service.clone()).or_default();
        }
    }

    /// Takes an amount of a resource for a service.
    ///
    /// # Errors
    ///
    /// [`verdict::Reason::NodeOverloaded`] if the amount would eat into what is kept for the other services;
    /// [`verdict::Reason::UnknownService`] if the service was never added.
    pub fn take(
        &mut self,
        now: clock::Instant,
        service: &id::Service,
        resource: Resource,
        amount: u64,
    ) -> Result<(), verdict::Reason> {
        let Some(division) = self.divisions.get_mut(&resource) else {
            return Err(verdict::Reason::NodeOverloaded);
        };
        let fits = division.fits(now, service, amount);
        let Some(entry) = division.uses.get_mut(service) else {
            return Err(verdict::Reason::UnknownService);
        };
        if !fits {
            return Err(verdict::Reason::NodeOverloaded);
        }
        entry.change(now, entry.used + amount);
        Ok(())
    }

    /// Gives an amount back.
    pub fn release(
        &mut self,
        now: clock::Instant,
        service: &id::Service,
        resource: Resource,
        amount: u64,
    ) {
        let division = self.divisions.get_mut(&resource);
        if let Some(entry) = division.and_then(|division| division.uses.get_mut(service)) {
            entry.change(now, entry.used.saturating_sub(amount));
        }
    }

    /// What a service uses of a resource.
    pub fn used(&self, service: &id::Service, resource: Resource) -> u64 {
        let division = self.divisions.get(&resource);
        division
            .and_then(|division| division.uses.get(service))
            .map_or(0, |entry| entry.used)
    }
}
