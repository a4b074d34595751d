//! What the documents ask of a pool.

use crate::{clock, document, id};

/// Milliseconds in a second of a document.
const SECOND_MS: u64 = clock::SECOND_MS;

/// Which role a pool plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Documents name it.
    Service,
    /// The shared spare pool.
    Spare,
    /// It has VMs, and no document names it.
    Orphan,
}

/// The needs of a pool, from all documents that name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Its role.
    pub role: Role,
    /// The service of the first document that names it.
    pub service: Option<id::Service>,
    /// Runners that it should have.
    pub runners: u32,
    /// Runners that must be in service at any moment.
    pub min_runners: u32,
    /// VMs that may be out for maintenance at once.
    pub max_at_once: u32,
    /// Length of a maintenance period, in milliseconds.
    pub period_ms: u64,
    /// Runner-milliseconds of absence that are borne in one period.
    pub absence_budget_ms: u64,
    /// The longest drain before operators are told, in milliseconds.
    pub drain_limit_ms: u64,
    /// True if no maintenance may begin.
    pub paused: bool,
}

impl Spec {
    /// The needs that one document states.
    pub fn of(document: &document::Document) -> Self {
        Self {
            role: Role::Service,
            service: Some(document.service.clone()),
            runners: document.capacity.runners,
            min_runners: document.availability.min_runners,
            max_at_once: document.maintenance.max_at_once,
            period_ms: u64::from(document.maintenance.period_days.max(1)) * clock::DAY_MS,
            absence_budget_ms: document
                .availability
                .absence_budget_min
                .saturating_mul(clock::MINUTE_MS),
            drain_limit_ms: document.maintenance.drain_limit_s.saturating_mul(SECOND_MS),
            paused: document.maintenance.paused,
        }
    }

    /// The needs of a pool that no document names.
    ///
    /// `min_runners` VMs stay in service: the reserve of the spare pool, none of an orphan.
    pub fn unnamed(role: Role, min_runners: u32, max_at_once: u32) -> Self {
        let defaults = document::Maintenance::default();
        Self {
            role,
            service: None,
            runners: 0,
            min_runners,
            max_at_once,
            period_ms: u64::from(defaults.period_days) * clock::DAY_MS,
            absence_budget_ms: u64::MAX,
            drain_limit_ms: defaults.drain_limit_s * SECOND_MS,
            paused: false,
        }
    }

    /// Adds the needs of another document that names the same pool: the stricter of each.
    pub fn tighten(&mut self, other: &Self) {
        self.runners = self.runners.max(other.runners);
        self.min_runners = self.min_runners.max(other.min_runners);
        self.max_at_once = self.max_at_once.min(other.max_at_once);
        self.period_ms = self.period_ms.min(other.period_ms);
        self.absence_budget_ms = self.absence_budget_ms.min(other.absence_budget_ms);
        self.drain_limit_ms = self.drain_limit_ms.max(other.drain_limit_ms);
        self.paused |= other.paused;
    }
}
