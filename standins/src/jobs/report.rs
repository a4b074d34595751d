//! What a run measured.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wasabiloft::clock;
use wasabiloft::document;
use wasabiloft::id;
use wasabiloft::job::duty;
use wasabiloft::platform;

use super::truth::Truth;
use super::worker::{Ended, Worker};

/// Times from submission to start, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Waits {
    /// Jobs that were accepted.
    pub jobs: u64,
    /// Jobs that have not started.
    pub not_started: u64,
    /// Median; jobs that have not started count as waiting longest.
    pub p50_ms: Option<u64>,
    /// 99th percentile.
    pub p99_ms: Option<u64>,
    /// 99.9th percentile.
    pub p999_ms: Option<u64>,
    /// The longest.
    pub max_ms: Option<u64>,
}

/// A run's measurements.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Length of the run, in milliseconds.
    pub length_ms: u64,
    /// Submissions that were refused.
    pub refused: u64,
    /// Submissions whose outcome is unknown to the caller.
    pub unknown: u64,
    /// Jobs that finished.
    pub finished: u64,
    /// Tasks that started.
    pub starts: u64,
    /// Calls to workers.
    pub calls: u64,
    /// Transactions of entry nodes.
    pub intake_txns: u64,
    /// Transactions of holders.
    pub duty_txns: u64,
    /// Rows written by both.
    pub rows_written: u64,
    /// Tasks killed for memory.
    pub memory_evictions: u64,
    /// Tasks that failed on bad workers.
    pub failed_on_bad_workers: u64,
    /// VMs that were vacated.
    pub vacated: u64,
    /// Work that was done and lost, in seconds.
    pub lost_s: f64,
    /// Mean use of the fleet's scarcer resource while it was sampled.
    pub use_mean: f64,
    /// Mean use of memory.
    pub memory_use_mean: f64,
    /// Mean use of processor time.
    pub cpu_use_mean: f64,
    /// Each team's mean part of the fleet by its scarcer resource.
    pub team_parts: BTreeMap<String, f64>,
    /// Waits of urgent jobs.
    pub urgent: Waits,
    /// Waits of normal jobs.
    pub normal: Waits,
    /// Waits of batch jobs.
    pub batch: Waits,
    /// Counted events.
    pub events: BTreeMap<String, u64>,
    #[serde(skip)]
    sample_from_ms: u64,
    #[serde(skip)]
    samples: u64,
}

impl Report {
    /// Samples use only from this moment on.
    pub(super) fn sample_from(&mut self, from_ms: u64) {
        self.sample_from_ms = from_ms;
    }

    pub(super) fn count(&mut self, event: duty::Event) {
        *self.events.entry(event.to_string()).or_insert(0) += 1;
    }

    pub(super) fn ended(&mut self, end: &Ended, is_bad: bool) {
        match &end.state {
            platform::TaskState::Finished => self.finished += 1,
            platform::TaskState::OutOfMemory => self.memory_evictions += 1,
            platform::TaskState::Failed(_) if is_bad => self.failed_on_bad_workers += 1,
            _ => {}
        }
        self.lost_s += end.lost_ms / clock::SECOND_MS as f64;
    }

    /// Samples the fleet's use.
    pub(super) fn sample(&mut self, now_ms: u64, workers: &[Worker], truth: &Truth) {
        if now_ms < self.sample_from_ms {
            return;
        }
        self.samples += 1;
        let whole = Whole::of(workers);
        let mut memory = 0.0;
        let mut cpu = 0.0;
        let mut teams: BTreeMap<&id::Team, (f64, f64)> = BTreeMap::new();
        for worker in workers {
            memory += worker.memory_mib(now_ms) as f64;
            cpu += worker.cpu_milli();
            for task in worker.running() {
                let Some(life) = truth.lives.get(&task.job) else {
                    continue;
                };
                let used = teams.entry(&life.submission.spec.team).or_default();
                used.0 += task.real.cpu_milli as f64;
                used.1 += task.real.memory_mib as f64;
            }
        }
        let (cpu, memory) = (cpu / whole.cpu_milli, memory / whole.memory_mib);
        self.cpu_use_mean += cpu;
        self.memory_use_mean += memory;
        self.use_mean += cpu.max(memory);
        for (team, used) in teams {
            let part = (used.0 / whole.cpu_milli).max(used.1 / whole.memory_mib);
            *self.team_parts.entry(team.to_string()).or_insert(0.0) += part;
        }
    }

    /// Turns sums into means.
    pub(super) fn close(&mut self, now_ms: u64, truth: &Truth) {
        self.length_ms = now_ms;
        let samples = self.samples.max(1) as f64;
        self.use_mean /= samples;
        self.cpu_use_mean /= samples;
        self.memory_use_mean /= samples;
        for part in self.team_parts.values_mut() {
            *part /= samples;
        }
        self.urgent = waits(truth.waits_ms(document::Urgency::Urgent));
        self.normal = waits(truth.waits_ms(document::Urgency::Normal));
        self.batch = waits(truth.waits_ms(document::Urgency::Batch));
    }
}

/// What all workers offer to tasks.
struct Whole {
    cpu_milli: f64,
    memory_mib: f64,
}

impl Whole {
    fn of(workers: &[Worker]) -> Self {
        let cpu = workers.iter().map(|worker| worker.limit.cpu_milli as f64);
        let memory = workers.iter().map(|worker| worker.limit.memory_mib as f64);
        Self {
            cpu_milli: cpu.sum(),
            memory_mib: memory.sum(),
        }
    }
}

fn waits(mut waits_ms: Vec<Option<u64>>) -> Waits {
    waits_ms.sort_by_key(|wait| wait.unwrap_or(u64::MAX));
    let at = |permille: usize| {
        let index = (waits_ms.len() * permille).div_ceil(1000).max(1) - 1;
        waits_ms.get(index).copied().flatten()
    };
    Waits {
        jobs: waits_ms.len() as u64,
        not_started: waits_ms.iter().filter(|wait| wait.is_none()).count() as u64,
        p50_ms: at(500),
        p99_ms: at(990),
        p999_ms: at(999),
        max_ms: waits_ms.last().copied().flatten(),
    }
}
