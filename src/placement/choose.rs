//! Chooses a worker for one task.

use super::{Fleet, Load, Task, TaskKey, Worker, WorkerKey};
use crate::clock;
use crate::estimate;

/// Weight of each task of the same class on the worker's rack, relative to a worker's full load.
const SPREAD_WEIGHT: f64 = 0.05;
/// Score penalty for a worker on which the job has failed.
const FAILED_WORKER_PENALTY: f64 = 10.0;

/// A request to place one task.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Class of the job.
    pub class: estimate::ClassKey,
    /// Predicted need of the task.
    pub need: &'a estimate::Need,
    /// True to prefer the emptiest worker instead of the fullest one that fits.
    pub urgent: bool,
    /// False if the task must not run twice; it is then kept off workers on probation and suspect
    /// workers.
    pub idempotent: bool,
    /// Workers on which the job has failed; used only if no other worker fits.
    pub failed_on: &'a [WorkerKey],
}

/// Where a task can be placed.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// The worker has free capacity.
    Fits {
        /// Chosen worker.
        worker: WorkerKey,
    },
    /// The worker has free memory, and enough processor time once these tasks are throttled.
    Throttle {
        /// Chosen worker.
        worker: WorkerKey,
        /// Tasks to throttle.
        tasks: Vec<TaskKey>,
    },
    /// The worker has enough capacity once these tasks are checkpointed and stopped.
    Displace {
        /// Chosen worker.
        worker: WorkerKey,
        /// Tasks to stop.
        tasks: Vec<TaskKey>,
    },
    /// No worker has enough capacity.
    NoFit,
}

/// Whether a task can be displaced, and at what cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Displaceable {
    /// The task cannot be displaced.
    No,
    /// The task can be displaced at this cost; the cheapest tasks go first.
    AtCost(f64),
}

impl Fleet {
    /// Finds a worker with free capacity.
    pub fn choose_free(&self, request: &Request<'_>) -> Choice {
        match self.best(request, |worker, added| {
            worker.memory_fits(&worker.load, added) && worker.cpu_fits(&worker.load, added)
        }) {
            Some(worker) => Choice::Fits { worker },
            None => Choice::NoFit,
        }
    }

    /// Finds a worker with free memory on which throttling tasks of a lower rank frees enough
    /// processor time.
    pub fn choose_throttled(&self, request: &Request<'_>, rank: u8) -> Choice {
        let fits = |worker: &Worker, added: &Load| {
            worker.memory_fits(&worker.load, added)
                && self.throttle_set(worker, added, rank).is_some()
        };
        let Some(worker) = self.best(request, fits) else {
            return Choice::NoFit;
        };
        let added = Load::from(request.need);
        let tasks = self
            .throttle_set(&self.workers[worker], &added, rank)
            .unwrap_or_default();
        Choice::Throttle { worker, tasks }
    }

    /// Finds the worker on which displacing tasks makes enough capacity at the lowest cost.
    ///
    /// `cost` is called for each task that can be checkpointed and is not protected.
    pub fn choose_displacing<F>(
        &self,
        now: clock::Instant,
        request: &Request<'_>,
        cost: F,
    ) -> Choice
    where
        F: Fn(&Task) -> Displaceable,
    {
        let added = Load::from(request.need);
        let mut best: Option<(f64, WorkerKey, Vec<TaskKey>)> = None;
        for (key, worker) in &self.workers {
            if !is_eligible(worker, request, key) || !size_fits(worker, &added) {
                continue;
            }
            let limit = best
                .as_ref()
                .map_or(f64::INFINITY, |(lowest, _, _)| *lowest);
            if let Some((total_cost, tasks)) = self.victims(now, worker, &added, limit, &cost) {
                best = Some((total_cost, key, tasks));
            }
        }
        match best {
            Some((_, worker, tasks)) => Choice::Displace { worker, tasks },
            None => Choice::NoFit,
        }
    }

    /// Returns the worker with the best score among those that accept the request and fit.
    fn best<F>(&self, request: &Request<'_>, fits: F) -> Option<WorkerKey>
    where
        F: Fn(&Worker, &Load) -> bool,
    {
        let added = Load::from(request.need);
        let counts = self.rack_counts.get(request.class).map(Vec::as_slice);
        let mut best: Option<(f64, WorkerKey)> = None;
        for (key, worker) in &self.workers {
            if !worker.open || !fits(worker, &added) {
                continue;
            }
            if !accepts_request(worker, request) {
                continue;
            }
            let score = score(key, worker, &added, request, counts.unwrap_or_default());
            if best.is_none_or(|(highest, _)| score > highest) {
                best = Some((score, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns tasks of a lower rank whose throttling frees enough processor time.
    fn throttle_set(&self, worker: &Worker, added: &Load, rank: u8) -> Option<Vec<TaskKey>> {
        let mut excess_milli =
            worker.load.cpu_milli + added.cpu_milli - worker.size.cpu_milli as f64;
        let mut tasks = Vec::new();
        for key in &worker.tasks {
            if excess_milli <= 0.0 {
                break;
            }
            let task = &self.tasks[*key];
            if task.rank < rank && !task.throttled && !task.stopped {
                excess_milli -= task.load().cpu_milli * 0.75;
                tasks.push(*key);
            }
        }
        (excess_milli <= 0.0).then_some(tasks)
    }

    /// Returns the cheapest tasks whose end makes enough capacity, if they cost less than `limit`.
    fn victims<F>(
        &self,
        now: clock::Instant,
        worker: &Worker,
        added: &Load,
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
            if let Displaceable::AtCost(task_cost) = cost(task) {
                candidates.push((task_cost, *key));
            }
        }
        candidates.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut load = worker.load;
        let mut total_cost = 0.0;
        let mut tasks = Vec::new();
        for (task_cost, key) in candidates {
            load.remove(&self.tasks[key].load());
            total_cost += task_cost;
            tasks.push(key);
            if total_cost >= limit {
                return None;
            }
            if worker.memory_fits(&load, added) && worker.cpu_fits(&load, added) {
                return Some((total_cost, tasks));
            }
        }
        None
    }
}

fn is_eligible(worker: &Worker, request: &Request<'_>, key: WorkerKey) -> bool {
    worker.open
        && !worker.probation
        && accepts_request(worker, request)
        && !request.failed_on.contains(&key)
}

/// A worker on probation takes a single task that is idempotent and not urgent, as it can be lost;
/// a suspect worker takes no task that must not run twice.
fn accepts_request(worker: &Worker, request: &Request<'_>) -> bool {
    if worker.probation {
        return request.idempotent && !request.urgent && worker.load.tasks == 0;
    }
    request.idempotent || !worker.suspect
}

fn size_fits(worker: &Worker, added: &Load) -> bool {
    worker.memory_fits(&Load::default(), added) && added.cpu_milli <= worker.size.cpu_milli as f64
}

/// Urgent tasks go to the worker with most free capacity, so that they run at full speed. Other
/// tasks go to the worker with least capacity left over, so that large tasks still fit elsewhere.
/// Both spread the tasks of a class over the racks.
fn score(
    key: WorkerKey,
    worker: &Worker,
    added: &Load,
    request: &Request<'_>,
    counts: &[u32],
) -> f64 {
    let cpu = (worker.load.cpu_milli + added.cpu_milli) / worker.size.cpu_milli.max(1) as f64;
    let memory = (worker.load.memory_mib + added.memory_mib) / worker.size.memory_mib.max(1) as f64;
    let spread = f64::from(counts.get(worker.rack_index).copied().unwrap_or(0));
    let probation_bonus = if worker.probation { 1.0 } else { 0.0 };
    let failed_penalty = if request.failed_on.contains(&key) {
        FAILED_WORKER_PENALTY
    } else {
        0.0
    };
    let accelerator_waste =
        f64::from(worker.size.accelerators.min(1)) * f64::from(u8::from(added.accelerators == 0));
    let fill = cpu.max(memory) - (cpu - memory).abs() * 0.5;
    let fit = if request.urgent { -fill } else { fill };
    fit - SPREAD_WEIGHT * spread.min(8.0) + probation_bonus - failed_penalty - accelerator_waste
}
