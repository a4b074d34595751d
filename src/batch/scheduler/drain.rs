//! Emptying workers before a move, an upkeep or their departure, within what lasting steps tolerate.

use crate::batch::TaskId;
use crate::batch::scheduler::{Holder, job, plan};
use crate::clock;
use crate::id;

/// A task counts as at work if its worker has answered within this time, in milliseconds; two looks.
const HEARD_MS: u64 = 1_000;

/// After a takeover no lasting task is moved for this long, in milliseconds: stops of the predecessor show after a
/// stop's longest time and a look.
const PREDECESSOR_STOPS_MS: u64 = 1_500;

/// A worker that leaves keeps its lasting tasks this long while others of their steps are away, in milliseconds; half
/// of the time that the platform grants.
const LEAVING_PATIENCE_MS: u64 = 1_000;

/// How far a worker is emptied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Emptying {
    /// It isn't in the book, or hasn't answered yet.
    Unknown,
    /// Nothing runs there.
    Empty,
    /// Something still runs there.
    Busy,
}

impl Holder {
    /// Stops giving new tasks to a worker, and moves its lasting tasks away.
    pub fn vacate(&mut self, id: &id::Worker, on: bool) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.vacating != on
        {
            worker.vacating = on;
            let service = worker.listing.service.clone();
            self.stale.insert(service);
        }
    }

    /// How far a worker is emptied.
    pub fn emptying(&self, id: &id::Worker) -> Emptying {
        match self.workers.get(id) {
            None => Emptying::Unknown,
            // A predecessor may have started tasks there.
            Some(worker) if !worker.adopted => Emptying::Unknown,
            Some(worker) if worker.tasks.is_empty() && !self.unheard.is_on(id) => Emptying::Empty,
            Some(_) => Emptying::Busy,
        }
    }

    /// Moves lasting tasks off workers that are emptied or leave.
    pub fn move_lasting(&mut self, now: clock::Instant) {
        if self.has_predecessor && now.since_ms(self.began_at) < PREDECESSOR_STOPS_MS {
            return;
        }
        let mut moving = Vec::new();
        for worker in self.workers.values() {
            let hurries = worker
                .leaving_since
                .is_some_and(|since| now.since_ms(since) >= LEAVING_PATIENCE_MS);
            if worker.vacating || worker.listing.leaving {
                moving.extend(worker.tasks.iter().map(|task| (*task, hurries)));
            }
        }
        for (id, hurries) in moving {
            if self.may_move(&id, hurries, now) {
                self.stop(id, job::StopReason::Vacate, now);
            }
        }
    }

    /// Whether a lasting task may be stopped to be started elsewhere.
    fn may_move(&self, id: &TaskId, hurries: bool, now: clock::Instant) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let step = &job.accepted.spec.steps[id.step as usize];
        let running = job
            .task(id)
            .and_then(|task| task.live.as_ref())
            .is_some_and(|live| live.stop_reason.is_none() && live.known_at.is_some());
        if !step.lasting || !running {
            return false;
        }
        let service = &job.accepted.queue.service;
        if self
            .unresolved
            .values()
            .any(|worker| worker.service == *service)
        {
            return false;
        }
        let need = plan::need(step);
        if self.choose(service, *id, step, &need, None, now).is_none() {
            return false;
        }
        let Some(open) = job.occurrences.get(&id.occurrence) else {
            return false;
        };
        let away = (0_u32..)
            .zip(&open.steps[id.step as usize].tasks)
            .filter(|(index, task)| *index != id.index && !self.is_at_work(task, now))
            .count();
        // A worker that is about to go takes its tasks with it; but a stop that is under way elsewhere goes first, as
        // it was allowed on the strength of the others.
        let stopping = open.steps[id.step as usize].tasks.iter().any(|task| {
            task.live
                .as_ref()
                .is_some_and(|live| live.stop_reason == Some(job::StopReason::Vacate))
        });
        // Without a stated tolerance one at a time.
        away < step.unavailable_max.map_or(1, |max| max as usize) || (hurries && !stopping)
    }

    /// Whether a lasting task is at work, as far as its worker has told lately.
    fn is_at_work(&self, task: &job::Task, now: clock::Instant) -> bool {
        let Some(live) = &task.live else {
            return false;
        };
        let heard = self
            .workers
            .get(&live.worker)
            .is_some_and(|worker| now.since_ms(worker.answered_at) < HEARD_MS);
        heard && live.percent >= 100 && live.stop_reason.is_none()
    }
}
