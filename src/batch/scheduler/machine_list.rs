//! The list of machines as evidence about workers: which have ended because no machine runs them any more.
//!
//! A list shows the state at some moment between its request and its response. It proves nothing about a worker that
//! answered or got a start after the request was sent; the next list does.

use std::collections::BTreeSet;

use crate::batch::scheduler::worker_loss::IncarnationEnd;
use crate::batch::scheduler::{Output, Scheduler};
use crate::clock;
use crate::id;

/// A worker that no list has shown yet has ended if it is missing for this long, in milliseconds; longer than two
/// intervals between lists.
const MISSING_MS: u64 = 400;
/// A worker is in the list of machines this long after it was first seen, in milliseconds.
const LISTED_AFTER_MS: u64 = 1_000;

impl Scheduler {
    /// Applies a list of machines that was requested at `requested_at` and names the workers in `current`.
    ///
    /// A list that is not whole, as entries of it can't be read, proves nothing about workers that no list has shown.
    pub fn machines_listed(
        &mut self,
        current: &BTreeSet<&id::Worker>,
        is_whole: bool,
        requested_at: clock::Instant,
        now: clock::Instant,
    ) {
        let (mut ended, mut contradicted) = (Vec::new(), Vec::new());
        for (id, worker) in &mut self.workers {
            if current.contains(id) {
                worker.on_machine = true;
                worker.contradicts_list = false;
                continue;
            }
            if !worker.on_machine {
                continue;
            }
            if worker.is_unheard_since(requested_at) {
                ended.push(id.clone());
            } else if !std::mem::replace(&mut worker.contradicts_list, true) {
                contradicted.push(id.clone());
            }
        }
        for id in ended {
            self.incarnation_ended(&id, IncarnationEnd::MachineWithout, now);
        }
        for id in contradicted {
            self.outputs.push(Output::Log(format!(
                "worker answers without a machine worker={id} list_ms={}",
                now.since_ms(requested_at)
            )));
        }
        if is_whole {
            self.end_unlisted(current, requested_at, now);
        }
    }

    /// Ends workers that no list has shown: those of the previous leader, and those that ended before any list showed
    /// them.
    ///
    /// A worker that has just started can be missing from one list, so it has to be missing from two lists some time
    /// apart.
    fn end_unlisted(
        &mut self,
        current: &BTreeSet<&id::Worker>,
        requested_at: clock::Instant,
        now: clock::Instant,
    ) {
        let silent = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                worker.adopted
                    && worker.unanswered
                    && worker.is_unheard_since(requested_at)
                    && now.since_ms(worker.joined_at) >= LISTED_AFTER_MS
            })
            .map(|(id, _)| id);
        let missing: BTreeSet<id::Worker> = self
            .unresolved
            .keys()
            .chain(silent)
            .filter(|worker| !current.contains(worker))
            .cloned()
            .collect();
        self.missing_since
            .retain(|worker, _| missing.contains(worker));
        for worker in missing {
            let since = *self.missing_since.entry(worker.clone()).or_insert(now);
            if now.since_ms(since) < MISSING_MS {
                continue;
            }
            self.missing_since.remove(&worker);
            if let Some(row) = self.unresolved.remove(&worker) {
                self.log(format!("worker of previous leader gone worker={worker}"));
                self.tenure.inherited_ended(&row, now);
                self.dirty_services.insert(row.service);
            }
            if self.workers.contains_key(&worker) {
                self.incarnation_ended(&worker, IncarnationEnd::MachineWithout, now);
            } else {
                self.pending_rows.remove_worker(&worker);
            }
        }
    }
}
