//! Jobs without a final state, indexed by the service that runs them.

use std::collections::{BTreeMap, BTreeSet};

use crate::batch::JobId;
use crate::id;

/// The open jobs of all services.
#[derive(Debug, Default)]
pub(super) struct OpenJobs {
    services: BTreeMap<id::Service, BTreeSet<JobId>>,
}

impl OpenJobs {
    pub(super) fn insert(&mut self, job: JobId, service: &id::Service) {
        self.services
            .entry(service.clone())
            .or_default()
            .insert(job);
    }

    pub(super) fn remove(&mut self, job: JobId, service: &id::Service) {
        if let Some(jobs) = self.services.get_mut(service) {
            jobs.remove(&job);
        }
    }

    /// Iterates over the open jobs of all services.
    pub(super) fn iter(&self) -> impl Iterator<Item = &JobId> {
        self.services.values().flatten()
    }

    /// Iterates over the open jobs of one service.
    pub(super) fn of_service(&self, service: &id::Service) -> impl Iterator<Item = &JobId> {
        self.services.get(service).into_iter().flatten()
    }
}
