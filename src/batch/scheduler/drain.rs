//! Draining workers before a move, maintenance or their departure, within the unavailability that long-running steps
//! tolerate.

use std::collections::BTreeMap;

use crate::batch::TaskId;
use crate::batch::scheduler::{Scheduler, job, plan, room, tasks};
use crate::clock;
use crate::id;
use crate::platform::Resources;

/// A task counts as available if its worker has answered within this time, in milliseconds; two polls.
const ANSWER_MAX_AGE_MS: u64 = 1_000;

/// No long-running task is evicted for this long after a takeover, in milliseconds. Stops that the previous leader
/// sent become visible after the longest duration of a stop and a poll.
const PREDECESSOR_STOPS_MS: u64 = 1_500;

/// A leaving worker keeps its long-running tasks for this long while other tasks of their steps are unavailable, in
/// milliseconds; half of the time that the platform grants.
const LEAVING_GRACE_MS: u64 = 1_000;

/// Progress of draining a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// The worker is not known or has not answered yet.
    Unknown,
    /// The worker has no runs.
    Empty,
    /// The worker still has runs.
    Busy,
}

impl Scheduler {
    /// Starts or ends draining a worker. A draining worker gets no new tasks, and its long-running tasks are evicted.
    pub fn set_draining(&mut self, id: &id::Worker, draining: bool) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.draining != draining
        {
            worker.draining = draining;
            let service = worker.listing.service.clone();
            self.dirty_services.insert(service);
        }
    }

    /// Returns whether a worker still has runs.
    pub fn drain_state(&self, id: &id::Worker) -> DrainState {
        match self.workers.get(id) {
            None => DrainState::Unknown,
            // A previous leader may have started tasks there.
            Some(worker) if !worker.adopted => DrainState::Unknown,
            Some(worker) if worker.tasks.is_empty() && !self.orphans.has_runs_on(id) => {
                DrainState::Empty
            }
            Some(_) => DrainState::Busy,
        }
    }

    /// Evicts long-running tasks from workers that are draining or leaving.
    pub fn evict_long_running(&mut self, now: clock::Instant) {
        // An earlier leader may have stopped tasks on a worker until it answered this one.
        let since = self.started_at.max(self.tenure.inherited_heard_at);
        let may_predecessor_stop =
            self.has_predecessor && now.since_ms(since) < PREDECESSOR_STOPS_MS;
        if may_predecessor_stop || !self.may_change_runs(now) {
            return;
        }
        let mut evictions = Vec::new();
        for worker in self.workers.values() {
            let is_urgent = worker
                .leaving_since
                .is_some_and(|since| now.since_ms(since) >= LEAVING_GRACE_MS);
            if worker.draining || worker.listing.leaving {
                evictions.extend(worker.tasks.iter().map(|task| (*task, is_urgent)));
            }
        }
        let mut rooms: BTreeMap<id::Service, room::Room> = BTreeMap::new();
        for (id, is_urgent) in evictions {
            let Some(job) = self.jobs.get(&id.job) else {
                continue;
            };
            let service = &job.accepted.queue.service;
            let room = rooms
                .entry(service.clone())
                .or_insert_with(|| self.room(service, now));
            if let Some((worker, need)) = self.eviction_target(room, &id, is_urgent, now) {
                // Held until the stop ends: neither waiting tasks nor further evictions can take the capacity.
                self.reservations.insert(id, worker, need);
                self.stop_task(id, job::StopReason::Vacate, now);
            }
        }
    }

    /// Returns the worker on which a long-running task fits after it is stopped, and the capacity that it takes there;
    /// `None` if it can't be stopped now.
    fn eviction_target(
        &self,
        room: &room::Room,
        id: &TaskId,
        is_urgent: bool,
        now: clock::Instant,
    ) -> Option<(id::Worker, Resources)> {
        let job = self.jobs.get(&id.job)?;
        let step = &job.accepted.spec.steps[id.step as usize];
        let running = job
            .task(id)
            .and_then(|task| task.active.as_ref())
            .is_some_and(|active| active.stop_reason.is_none() && active.confirmed_at.is_some());
        if !step.long_running || !running {
            return None;
        }
        let service = &job.accepted.queue.service;
        if self
            .unresolved
            .values()
            .any(|worker| worker.may_run(service))
        {
            return None;
        }
        let occurrence_state = job.occurrences.get(&id.occurrence)?;
        let step_state = &occurrence_state.steps[id.step as usize];
        let others = step_state.known().filter(|(index, _)| *index != id.index);
        let available = others.filter(|(_, task)| self.is_available(task, now));
        let unavailable = (step_state.count() as usize - 1).saturating_sub(available.count());
        // A leaving worker takes its tasks down with it, so after the grace period they are evicted even beyond the
        // tolerance. An eviction in progress on another worker finishes first, because it was allowed on the assumption
        // that the other tasks stay available.
        let stopping = step_state.known().any(|(_, task)| {
            task.active
                .as_ref()
                .is_some_and(|active| active.stop_reason == Some(job::StopReason::Vacate))
        });
        // Without a stated tolerance, one task at a time can be unavailable.
        let is_tolerated = unavailable < step.unavailable_max.map_or(1, |max| max as usize)
            || (is_urgent && !stopping);
        if !is_tolerated {
            return None;
        }
        // A lowered quota would keep the task from starting again.
        let account = job.accepted.account.as_ref();
        if account.is_some_and(|account| !self.ledger.admits(account, &Resources::default())) {
            return None;
        }
        let need = plan::need(step);
        let worker = self.choose_worker(room, *id, step, &need, now)?;
        Some((worker, need))
    }

    /// Returns whether a long-running task is available according to a recent answer of its worker.
    fn is_available(&self, task: &tasks::Task, now: clock::Instant) -> bool {
        let Some(active) = &task.active else {
            return false;
        };
        let answered = self
            .workers
            .get(&active.worker)
            .is_some_and(|worker| now.since_ms(worker.last_response_at) < ANSWER_MAX_AGE_MS);
        answered && active.percent >= 100 && active.stop_reason.is_none()
    }
}
