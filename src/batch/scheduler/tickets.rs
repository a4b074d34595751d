//! Queues whose policy allows only some workers: which to ask about, and the tickets that starts carry.

use std::collections::{BTreeMap, BTreeSet};

use crate::batch::book;
use crate::batch::scheduler::{Holder, Output};
use crate::batch::{JobId, TaskId};
use crate::clock;
use crate::id;

/// Workers named in one question; the platform reckons with this many for a step.
const ASKED_AT_ONCE: usize = 30;
/// A ticket that is valid for less than this is not used, in milliseconds; a start's way with its repeats.
const TICKET_MARGIN_MS: u64 = 800;
/// Pause before a question without an answer is asked again, in milliseconds.
const ASK_AGAIN_MS: u64 = 200;

/// A step of a job's occurrence.
pub(super) type StepKey = (JobId, u32, u32);

/// What is known of the workers that may run a step.
#[derive(Clone, Debug, Default)]
pub(super) struct Advised {
    /// Tickets, with the moment at which they lapse.
    tickets: BTreeMap<id::Worker, (String, clock::Instant)>,
    /// Workers that may not; that does not change.
    refused: BTreeSet<id::Worker>,
    /// Whether a question is under way.
    pending: bool,
    /// No question before this moment.
    not_before: clock::Instant,
}

pub(super) fn key(id: &TaskId) -> StepKey {
    (id.job, id.occurrence, id.step)
}

impl Holder {
    /// Whether a queue's policy lets a task run on a worker, as far as is known.
    pub(super) fn is_allowed(&self, id: &TaskId, worker: &id::Worker, now: clock::Instant) -> bool {
        !self.has_policy(id) || self.ticket(id, worker, now).is_some()
    }

    fn has_policy(&self, id: &TaskId) -> bool {
        let job = self.jobs.get(&id.job);
        job.is_some_and(|job| job.accepted.queue.advice.is_some())
    }

    /// The ticket with which a task may start on a worker.
    pub(super) fn ticket(
        &self,
        id: &TaskId,
        worker: &id::Worker,
        now: clock::Instant,
    ) -> Option<String> {
        let (ticket, until) = self.advised.get(&key(id))?.tickets.get(worker)?;
        (now.after_ms(TICKET_MARGIN_MS) < *until).then(|| ticket.clone())
    }

    /// Asks about workers for a step that found no place, if its queue has a policy.
    pub(super) fn ask(&mut self, service: &id::Service, id: &TaskId, now: clock::Instant) {
        if !self.has_policy(id) {
            return;
        }
        let advised = self.advised.entry(key(id)).or_default();
        if advised.pending || now < advised.not_before {
            return;
        }
        let unknown = |worker: &&book::Worker| {
            let name = &worker.listing.worker;
            let valid = advised.tickets.get(name);
            let valid = valid.is_some_and(|(_, until)| now.after_ms(TICKET_MARGIN_MS) < *until);
            worker.listing.service == *service
                && worker.is_usable(now)
                && !valid
                && !advised.refused.contains(name)
        };
        let mut asked: Vec<&book::Worker> = self.workers.values().filter(unknown).collect();
        // Those with the most room first.
        asked.sort_by_key(|worker| worker.used.cpu_milli);
        let workers: Vec<id::Worker> = asked
            .into_iter()
            .take(ASKED_AT_ONCE)
            .map(|worker| worker.listing.worker.clone())
            .collect();
        if workers.is_empty() {
            return;
        }
        advised.pending = true;
        self.outputs.push(Output::Ask { task: *id, workers });
    }

    /// Takes in an answer: tickets of the workers that may run a task's step; `None` if there was no answer.
    pub fn advised(
        &mut self,
        task: &TaskId,
        asked: &[id::Worker],
        answer: Option<(Vec<(id::Worker, String)>, u64)>,
        now: clock::Instant,
    ) {
        let over = self
            .jobs
            .get(&task.job)
            .is_none_or(|job| job.state.is_final());
        if over {
            self.advised.remove(&key(task));
            return;
        }
        let advised = self.advised.entry(key(task)).or_default();
        advised.pending = false;
        match answer {
            None => advised.not_before = now.after_ms(ASK_AGAIN_MS),
            Some((allowed, valid_ms)) => {
                let until = now.after_ms(valid_ms);
                for worker in asked {
                    advised.refused.insert(worker.clone());
                }
                for (worker, ticket) in allowed {
                    advised.refused.remove(&worker);
                    advised.tickets.insert(worker, (ticket, until));
                }
            }
        }
        if let Some(job) = self.jobs.get(&task.job) {
            self.stale.insert(job.accepted.queue.service.clone());
        }
    }

    /// Forgets a ticket that a worker did not take.
    pub(super) fn drop_ticket(&mut self, id: &TaskId, worker: &id::Worker) {
        if let Some(advised) = self.advised.get_mut(&key(id)) {
            advised.tickets.remove(worker);
        }
    }
}
