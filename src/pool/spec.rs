//! Requirements on a pool from the documents.

use crate::{clock, document, id};

/// Milliseconds in a second; documents state some limits in seconds.
const SECOND_MS: u64 = clock::SECOND_MS;

/// Role of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Serves a service: documents name it.
    Service,
    /// The spare pool that all services share.
    Spare,
    /// Owns VMs, but no document names it.
    Orphan,
}

/// Requirements on a pool, combined from all documents that name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Role of the pool.
    pub role: Role,
    /// Service of the first document that names the pool.
    pub service: Option<id::Service>,
    /// Runners that the pool should have.
    pub runners: u32,
    /// Runners that must be in service at any time.
    pub min_runners: u32,
    /// Most VMs that can be out for maintenance at once.
    pub max_at_once: u32,
    /// Length of a maintenance period, in milliseconds.
    pub period_ms: u64,
    /// Absence allowed in one period, in runner-milliseconds.
    pub absence_budget_ms: u64,
    /// Drain duration after which operators are notified, in milliseconds.
    pub drain_limit_ms: u64,
    /// True if no maintenance can begin.
    pub paused: bool,
}

impl Spec {
    /// Returns the requirements of one document.
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

    /// Returns the requirements on a pool that no document names.
    ///
    /// `min_runners` VMs stay in service: the reserve for the spare pool, none for an orphan.
    pub fn without_documents(role: Role, min_runners: u32, max_at_once: u32) -> Self {
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

    /// Merges the requirements of another document that names the same pool, keeping the stricter
    /// of each.
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
