//! Queues whose policy allows only some workers: which workers to ask about, and the tickets that starts carry.

use crate::batch::scheduler::{Output, Scheduler};
use crate::batch::worker_state;
use crate::batch::{JobId, TaskId};
use crate::clock;
use crate::id;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of workers in one advice request; the platform expects up to this many for a step.
const WORKERS_PER_REQUEST: usize = 30;
/// A ticket that is valid for less than this is not used, in milliseconds; covers the delivery of a start with its
/// retries.
const TICKET_MARGIN_MS: u64 = 800;
/// Pause before an unanswered advice request is sent again, in milliseconds.
const REQUEST_RETRY_MS: u64 = 200;

/// A step of a job's occurrence: job, occurrence, step.
pub(super) type StepKey = (JobId, u32, u32);

/// Known answers of a queue's policy for one step.
#[derive(Clone, Debug, Default)]
pub(super) struct StepTickets {
    /// Tickets and the time at which they expire, by worker.
    tickets: BTreeMap<id::Worker, (String, clock::Instant)>,
    /// Workers that the policy refuses; a refusal is permanent.
    refused: BTreeSet<id::Worker>,
    /// Whether an advice request is in flight.
    pending: bool,
    /// No advice request is sent before this moment.
    not_before: clock::Instant,
}

pub(super) fn step_key(id: &TaskId) -> StepKey {
    (id.job, id.occurrence, id.step)
}

impl Scheduler {
    /// Returns whether the queue's policy is known to allow a task on a worker.
    pub(super) fn is_allowed(&self, id: &TaskId, worker: &id::Worker, now: clock::Instant) -> bool {
        !self.has_policy(id) || self.ticket(id, worker, now).is_some()
    }

    fn has_policy(&self, id: &TaskId) -> bool {
        let job = self.jobs.get(&id.job);
        job.is_some_and(|job| job.accepted.queue.advice.is_some())
    }

    /// Returns a ticket with which a task can be started on a worker.
    pub(super) fn ticket(
        &self,
        id: &TaskId,
        worker: &id::Worker,
        now: clock::Instant,
    ) -> Option<String> {
        let (ticket, until) = self.step_tickets.get(&step_key(id))?.tickets.get(worker)?;
        (now.after_ms(TICKET_MARGIN_MS) < *until).then(|| ticket.clone())
    }

    /// Requests advice on workers for a step that found no place, if its queue has a policy.
    pub(super) fn request_tickets(
        &mut self,
        service: &id::Service,
        id: &TaskId,
        now: clock::Instant,
    ) {
        if !self.has_policy(id) {
            return;
        }
        let step = self.step_tickets.entry(step_key(id)).or_default();
        if step.pending || now < step.not_before {
            return;
        }
        let is_undecided = |worker: &&worker_state::Worker| {
            let name = &worker.listing.worker;
            let valid = step.tickets.get(name);
            let valid = valid.is_some_and(|(_, until)| now.after_ms(TICKET_MARGIN_MS) < *until);
            worker.listing.service == *service
                && worker.is_usable(now)
                && !valid
                && !step.refused.contains(name)
        };
        let mut undecided: Vec<&worker_state::Worker> =
            self.workers.values().filter(is_undecided).collect();
        // The workers with the least processor capacity in use first.
        undecided.sort_by_key(|worker| worker.used.cpu_milli);
        let workers: Vec<id::Worker> = undecided
            .into_iter()
            .take(WORKERS_PER_REQUEST)
            .map(|worker| worker.listing.worker.clone())
            .collect();
        if workers.is_empty() {
            return;
        }
        step.pending = true;
        self.outputs
            .push(Output::RequestTickets { task: *id, workers });
    }

    /// Handles the answer to [`Output::RequestTickets`]: the allowed workers with their tickets and the validity in
    /// milliseconds, or `None` if there was no answer.
    pub fn tickets_received(
        &mut self,
        task: &TaskId,
        requested: &[id::Worker],
        answer: Option<(Vec<(id::Worker, String)>, u64)>,
        now: clock::Instant,
    ) {
        let is_over = self
            .jobs
            .get(&task.job)
            .is_none_or(|job| job.state.is_final());
        if is_over {
            self.step_tickets.remove(&step_key(task));
            return;
        }
        let step = self.step_tickets.entry(step_key(task)).or_default();
        step.pending = false;
        match answer {
            None => step.not_before = now.after_ms(REQUEST_RETRY_MS),
            Some((allowed, valid_ms)) => {
                let until = now.after_ms(valid_ms);
                for worker in requested {
                    step.refused.insert(worker.clone());
                }
                for (worker, ticket) in allowed {
                    step.refused.remove(&worker);
                    step.tickets.insert(worker, (ticket, until));
                }
            }
        }
        if let Some(job) = self.jobs.get(&task.job) {
            self.dirty_services
                .insert(job.accepted.queue.service.clone());
        }
    }

    /// Removes a ticket that a worker refused.
    pub(super) fn remove_ticket(&mut self, id: &TaskId, worker: &id::Worker) {
        if let Some(step) = self.step_tickets.get_mut(&step_key(id)) {
            step.tickets.remove(worker);
        }
    }
}
