//! The kinds of work and their arrivals.

use rand::Rng;
use rand::rngs::SmallRng;
use wasabiloft::admission;
use wasabiloft::document::Urgency;

/// A kind of work with its load.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Its urgency and share.
    pub spec: admission::KindSpec,
    /// Time from a caller's request to the deadline of its answer.
    pub deadline_ms: u64,
    /// Mean time at the endpoint.
    pub service_ms: f64,
    /// Mean demand, in thousandths of the service's slots.
    pub demand_milli: f64,
    /// True if it may be run twice.
    pub idempotent: bool,
}

impl Kind {
    /// Mean arrivals in a second.
    pub fn rate_per_s(&self, slots: u32) -> f64 {
        f64::from(slots) * self.demand_milli / self.service_ms
    }
}

/// The kinds of a reservations service: at five times its mean, each exceeds the pool together with the others.
pub fn cadenas() -> Vec<Kind> {
    vec![
        kind("reserve", Urgency::Urgent, 3, 1_000, 60.0, 180.0),
        kind("confirm-size", Urgency::Urgent, 1, 500, 25.0, 70.0),
        kind("search", Urgency::Normal, 2, 800, 40.0, 150.0),
        kind("reconcile", Urgency::Batch, 2, 4_000, 400.0, 150.0),
    ]
}

/// The kinds of a library service, with long exports among them.
pub fn tabua() -> Vec<Kind> {
    vec![
        kind("loan", Urgency::Urgent, 2, 1_000, 50.0, 150.0),
        kind("look-up", Urgency::Normal, 2, 800, 30.0, 150.0),
        kind("notice", Urgency::Normal, 1, 2_000, 120.0, 60.0),
        kind("export", Urgency::Batch, 3, 20_000, 2_000.0, 180.0),
    ]
}

fn kind(
    name: &'static str,
    urgency: Urgency,
    share: u32,
    deadline_ms: u64,
    service_ms: f64,
    demand_milli: f64,
) -> Kind {
    Kind {
        name,
        spec: admission::KindSpec { urgency, share },
        deadline_ms,
        service_ms,
        demand_milli,
        idempotent: urgency != Urgency::Urgent,
    }
}

/// A sample of an exponential distribution.
pub fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// A sample of a log-normal distribution with the given mean and spread.
pub fn log_normal(rng: &mut SmallRng, mean: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    mean * (sigma * normal - sigma * sigma / 2.0).exp()
}
