//! Jobs without a final state, indexed by the service that runs them.

use std::collections::BTreeMap;

use crate::batch::JobId;
use crate::id;

/// The open jobs of all services.
#[derive(Debug, Default)]
pub(super) struct OpenJobs {
    /// The jobs with the memory that each takes, in bytes.
    services: BTreeMap<id::Service, BTreeMap<JobId, u64>>,
    bytes: u64,
}

impl OpenJobs {
    pub(super) fn insert(&mut self, job: JobId, service: &id::Service, bytes: u64) {
        let jobs = self.services.entry(service.clone()).or_default();
        let before = jobs.insert(job, bytes).unwrap_or(0);
        self.bytes = self.bytes + bytes - before;
    }

    pub(super) fn remove(&mut self, job: JobId, service: &id::Service) {
        if let Some(jobs) = self.services.get_mut(service) {
            self.bytes -= jobs.remove(&job).unwrap_or(0);
        }
    }

    /// Returns the memory that all open jobs take, in bytes.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Iterates over the open jobs of all services.
    pub(super) fn iter(&self) -> impl Iterator<Item = &JobId> {
        self.services.values().flat_map(BTreeMap::keys)
    }

    /// Iterates over the open jobs of one service.
    pub(super) fn of_service(&self, service: &id::Service) -> impl Iterator<Item = &JobId> {
        self.services
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::keys)
    }
}
