//! The choice of a worker for one task.

use super::{Fleet, Load, Task, TaskKey, Worker, WorkerKey};
use crate::clock;
use crate::estimate;

/// Weight of each task of the same class on the worker's rack, against a share of the worker.
const SPREAD_WEIGHT: f64 = 0.05;
/// Penalty for a worker on which the job has failed.
const FAILED_THERE: f64 = 10.0;

/// What is asked of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The job's class.
    pub class: estimate::ClassKey,
    /// What the task needs.
    pub need: &'a estimate::Need,
    /// True to seek the emptiest worker in place of the fullest that fits.
    pub urgent: bool,
    /// False if the task must not go to a worker that is only on trial.
    pub idempotent: bool,
    /// Workers on which the job has failed; used only if nothing else fits.
    pub failed_on: &'a [WorkerKey],
}

/// Where a task may go.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// The worker has room.
    Fits {
        /// The worker.
        worker: WorkerKey,
    },
    /// The worker has memory, and processor time once these tasks are throttled.
    Throttle {
        /// The worker.
        worker: WorkerKey,
        /// The tasks to throttle.
        tasks: Vec<TaskKey>,
    },
    /// The worker has room once these tasks are stopped by a checkpoint.
    Displace {
        /// The worker.
        worker: WorkerKey,
        /// The tasks to stop.
        tasks: Vec<TaskKey>,
    },
    /// No worker has room.
    Nowhere,
}

/// How willingly a task is displaced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Displaceable {
    /// Not at all.
    No,
    /// At this cost; the cheapest go first.
    At(f64),
}

impl Fleet {
    /// Finds a worker that has room.
    pub fn choose_free(&self, request: &Request<'_>) -> Choice {
        match self.best(request, |worker, more| {
            worker.memory_fits(&worker.load, more) && worker.cpu_fits(&worker.load, more)
        }) {
            Some(worker) => Choice::Fits { worker },
            None => Choice::Nowhere,
        }
    }

    /// Finds a worker with room in memory whose tasks of lower rank can be throttled.
    pub fn choose_throttled(&self, request: &Request<'_>, rank: u8) -> Choice {
        let fits = |worker: &Worker, more: &Load| {
            worker.memory_fits(&worker.load, more)
                && self.throttle_set(worker, more, rank).is_some()
        };
        let Some(worker) = self.best(request, fits) else {
            return Choice::Nowhere;
        };
        let more = Load::from(request.need);
        let tasks = self
            .throttle_set(&self.workers[worker], &more, rank)
            .unwrap_or_default();
        Choice::Throttle { worker, tasks }
    }

    /// Finds the worker that has room once tasks are displaced at the least cost.
    ///
    /// `cost` is asked for each task that can stop by a checkpoint and is not protected.
    pub fn choose_displacing<F>(
        &self,
        now: clock::Instant,
        request: &Request<'_>,
        cost: F,
    ) -> Choice
    where
        F: Fn(&Task) -> Displaceable,
    {
        let more = Load::from(request.need);
        let mut best: Option<(f64, WorkerKey, Vec<TaskKey>)> = None;
        for (key, worker) in &self.workers {
            if !is_eligible(worker, request, key) || !size_fits(worker, &more) {
                continue;
            }
            let limit = best.as_ref().map_or(f64::INFINITY, |(least, _, _)| *least);
            if let Some((sum, tasks)) = self.victims(now, worker, &more, limit, &cost) {
                best = Some((sum, key, tasks));
            }
        }
        match best {
            Some((_, worker, tasks)) => Choice::Displace { worker, tasks },
            None => Choice::Nowhere,
        }
    }

    /// The eligible worker with the best score among those that fit.
    fn best<F>(&self, request: &Request<'_>, fits: F) -> Option<WorkerKey>
    where
        F: Fn(&Worker, &Load) -> bool,
    {
        let more = Load::from(request.need);
        let counts = self.spread.get(request.class).map(Vec::as_slice);
        let mut best: Option<(f64, WorkerKey)> = None;
        for (key, worker) in &self.workers {
            if !worker.open || !fits(worker, &more) {
                continue;
            }
            if !is_trusted(worker, request) {
                continue;
            }
            let score = score(key, worker, &more, request, counts.unwrap_or_default());
            if best.is_none_or(|(most, _)| score > most) {
                best = Some((score, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Tasks of lower rank whose throttling frees enough processor time.
    fn throttle_set(&self, worker: &Worker, more: &Load, rank: u8) -> Option<Vec<TaskKey>> {
        let mut over = worker.load.cpu_milli + more.cpu_milli - worker.size.cpu_milli as f64;
        let mut tasks = Vec::new();
        for key in &worker.tasks {
            if over <= 0.0 {
                break;
            }
            let task = &self.tasks[*key];
            if task.rank < rank && !task.throttled && !task.stopped {
                over -= task.load().cpu_milli * 0.75;
                tasks.push(*key);
            }
        }
        (over <= 0.0).then_some(tasks)
    }

    /// The cheapest tasks whose end makes room, if they cost less than `limit`.
    fn victims<F>(
        &self,
        now: clock::Instant,
        worker: &Worker,
        more: &Load,
        limit: f64,
        cost: &F,
    ) -> Option<(f64, Vec<TaskKey>)>
    where
        F: Fn(&Task) -> Displaceable,
    {
        let mut candidates: Vec<(f64, TaskKey)> = Vec::new();
        for key in &worker.tasks {
            let task = &self.tasks[*key];
            if !task.displaceable || task.stopping || Self::is_protected(task, now) {
                continue;
            }
            if let Displaceable::At(price) = cost(task) {
                candidates.push((price, *key));
            }
        }
        candidates.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut load = worker.load;
        let mut sum = 0.0;
        let mut tasks = Vec::new();
        for (price, key) in candidates {
            load.remove(&self.tasks[key].load());
            sum += price;
            tasks.push(key);
            if sum >= limit {
                return None;
            }
            if worker.memory_fits(&load, more) && worker.cpu_fits(&load, more) {
                return Some((sum, tasks));
            }
        }
        None
    }
}

fn is_eligible(worker: &Worker, request: &Request<'_>, key: WorkerKey) -> bool {
    worker.open
        && !worker.probation
        && is_trusted(worker, request)
        && !request.failed_on.contains(&key)
}

/// A worker on trial takes one task that may be lost, a suspect one none that must not run twice.
fn is_trusted(worker: &Worker, request: &Request<'_>) -> bool {
    if worker.probation {
        return request.idempotent && !request.urgent && worker.load.tasks == 0;
    }
    request.idempotent || !worker.suspect
}

fn size_fits(worker: &Worker, more: &Load) -> bool {
    worker.memory_fits(&Load::default(), more) && more.cpu_milli <= worker.size.cpu_milli as f64
}

/// Urgent work goes where most is free, so that it runs at full speed; other work goes where least is
/// left over, so that room for large tasks remains. Both keep a class's tasks apart over the racks.
fn score(
    key: WorkerKey,
    worker: &Worker,
    more: &Load,
    request: &Request<'_>,
    counts: &[u32],
) -> f64 {
    let cpu = (worker.load.cpu_milli + more.cpu_milli) / worker.size.cpu_milli.max(1) as f64;
    let memory = (worker.load.memory_mib + more.memory_mib) / worker.size.memory_mib.max(1) as f64;
    let spread = f64::from(counts.get(worker.rack_index).copied().unwrap_or(0));
    let trial = if worker.probation { 1.0 } else { 0.0 };
    let failed = if request.failed_on.contains(&key) {
        FAILED_THERE
    } else {
        0.0
    };
    let waste =
        f64::from(worker.size.accelerators.min(1)) * f64::from(u8::from(more.accelerators == 0));
    let fill = cpu.max(memory) - (cpu - memory).abs() * 0.5;
    let fit = if request.urgent { -fill } else { fill };
    fit - SPREAD_WEIGHT * spread.min(8.0) + trial - failed - waste
}
