//! The registry's entries of workers: which are used, and which are listed no more.

use crate::batch::scheduler::{Output, Scheduler};
use crate::batch::worker_state;
use crate::clock;
use crate::id;

impl Scheduler {
    /// Adds or updates a worker from its registry entry.
    pub fn worker_listed(&mut self, listing: worker_state::Listing, now: clock::Instant) {
        self.dirty_services.insert(listing.service.clone());
        if let Some(worker) = self.workers.get_mut(&listing.worker) {
            if listing.leaving && !worker.listing.leaving {
                self.outputs.push(Output::Log(format!(
                    "worker leaves worker={}",
                    listing.worker
                )));
            }
            worker.listed = true;
            if listing.leaving {
                worker.leaving_since.get_or_insert(now);
            }
            worker.update(listing);
            return;
        }
        if listing.leaving && !self.unresolved.contains_key(&listing.worker) {
            return;
        }
        self.log(format!(
            "worker listed worker={} service={} address={}",
            listing.worker, listing.service, listing.address
        ));
        let mut worker = worker_state::Worker::new(listing.clone(), now);
        worker.leaving_since = listing.leaving.then_some(now);
        worker.recorded = self.pending_rows.is_recorded(&listing.worker);
        self.pending_rows
            .add_worker(&listing.worker, &listing.service);
        self.workers.insert(listing.worker.clone(), worker);
        self.outputs.push(Output::StartPolling(listing));
    }

    /// Returns whether an entry names a worker to use: the configuration names its service, or the worker was used before.
    pub fn may_use(&self, listing: &worker_state::Listing) -> bool {
        let services = &self.config.services;
        services.is_empty()
            || services.contains_key(&listing.service)
            || self.workers.contains_key(&listing.worker)
            || self.unresolved.contains_key(&listing.worker)
    }

    /// Records that a worker is no longer in the registry. Its tasks are kept, as this does not prove that they ended.
    pub fn worker_unlisted(&mut self, id: &id::Worker) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.listed = false;
        }
    }

    /// Records that a worker's registry entry cannot be read. It gets no new tasks until an entry can be read again, and
    /// its tasks are kept.
    pub fn worker_unreadable(&mut self, id: &id::Worker) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.readable = false;
        }
    }
}
