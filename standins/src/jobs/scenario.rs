//! What a world is made of: its size, what fails and what is submitted.

use rand::Rng;
use serde::{Deserialize, Serialize};
use wasabiloft::clock;
use wasabiloft::document;
use wasabiloft::id;
use wasabiloft::job::spec;
use wasabiloft::platform;

use super::Event;
use super::holder;

/// How jobs are placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// By learned use, shares and urgency.
    #[default]
    Learned,
    /// First fit by declared size, first in first out.
    FirstFit,
}

/// What fails.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Chance that a worker's or the table's reply is lost.
    pub lost_reply: f64,
    /// Mean time between crashes of the holder, in milliseconds; zero for none.
    pub crash_every_ms: u64,
    /// Mean time between pauses of the holder past its lease, in milliseconds; zero for none.
    pub pause_every_ms: u64,
    /// Mean time between reboots of some worker, in milliseconds; zero for none.
    pub reboot_every_ms: u64,
    /// Mean time between pauses of some worker past its tasks' leases, in milliseconds; zero for none.
    pub worker_pause_every_ms: u64,
    /// Workers that fail all they start, from the first on.
    pub bad_workers: usize,
    /// First and last moment of an outage of the table, in milliseconds.
    pub outage_ms: Option<(u64, u64)>,
    /// The length of time in which faults come, in milliseconds.
    pub until_ms: u64,
}

impl Faults {
    pub(super) fn outage_left_ms(&self, now_ms: u64) -> u64 {
        match self.outage_ms {
            Some((from_ms, to_ms)) if now_ms >= from_ms => to_ms.saturating_sub(now_ms),
            _ => 0,
        }
    }

    /// The faults' events, drawn at random.
    pub(super) fn events<R>(&self, rng: &mut R, settings: &Settings) -> Vec<(u64, Event)>
    where
        R: Rng,
    {
        let mut events = Vec::new();
        for at_ms in self.moments(rng, self.crash_every_ms) {
            events.push((at_ms, Event::Crash));
        }
        for at_ms in self.moments(rng, self.pause_every_ms) {
            events.push((at_ms, Event::Pause(20 * clock::SECOND_MS)));
        }
        for at_ms in self.moments(rng, self.reboot_every_ms) {
            events.push((at_ms, Event::Reboot(rng.random_range(0..settings.workers))));
        }
        for at_ms in self.moments(rng, self.worker_pause_every_ms) {
            let worker = rng.random_range(0..settings.workers);
            events.push((at_ms, Event::PauseWorker(worker, 90 * clock::SECOND_MS)));
        }
        events
    }

    fn moments<R>(&self, rng: &mut R, every_ms: u64) -> Vec<u64>
    where
        R: Rng,
    {
        let mut moments = Vec::new();
        if every_ms == 0 {
            return moments;
        }
        let mut draw = || rng.random_range(every_ms / 2..=every_ms * 3 / 2);
        let mut at_ms = draw();
        while at_ms < self.until_ms {
            moments.push(at_ms);
            at_ms += draw();
        }
        moments
    }
}

/// The world's size and ways.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seed of all that is random.
    pub seed: u64,
    /// Workers.
    pub workers: usize,
    /// Workers in a rack.
    pub rack_size: usize,
    /// Racks in a data centre.
    pub racks_per_data_centre: usize,
    /// The size of a worker.
    pub size: platform::Resources,
    /// Accelerators of every eighth worker.
    pub accelerators: u32,
    /// Teams, each with the same quota unless `quotas` says otherwise.
    pub teams: usize,
    /// Each team's weight in the quotas; one for teams that it leaves out.
    pub quota_weights: Vec<u64>,
    /// Entry nodes that take submissions.
    pub entry_nodes: usize,
    /// How late readings are, in milliseconds.
    pub usage_lag_ms: u64,
    /// Shortest and longest time that a checkpoint takes, in milliseconds.
    pub checkpoint_ms: (u64, u64),
    /// Time from a holder's loss to its successor, in milliseconds.
    pub takeover_ms: u64,
    /// Thousandths of each worker that its runner uses.
    pub runner_permille: u64,
    /// How jobs are placed.
    pub policy: Policy,
    /// Protections that are on.
    pub protection: holder::Protection,
    /// What fails.
    pub faults: Faults,
}

impl Settings {
    /// A fleet of workers of 32 cores and 128 GiB, four to a rack.
    pub fn new(seed: u64, workers: usize) -> Self {
        Self {
            seed,
            workers,
            rack_size: 4,
            racks_per_data_centre: workers.div_ceil(12).max(1),
            size: platform::Resources {
                cpu_milli: 32_000,
                memory_mib: 128 * 1024,
                accelerators: 0,
            },
            accelerators: 2,
            teams: 5,
            quota_weights: Vec::new(),
            entry_nodes: 3,
            usage_lag_ms: 30 * clock::SECOND_MS,
            checkpoint_ms: (150, 600),
            takeover_ms: 4 * clock::SECOND_MS,
            runner_permille: 60,
            policy: Policy::Learned,
            protection: holder::Protection::default(),
            faults: Faults::default(),
        }
    }

    /// The name of a team.
    pub fn team(index: usize) -> id::Team {
        id::Team::from(format!("team-{index}"))
    }

    /// A team's part of the fleet by its quota.
    pub fn quota_part(&self, team: usize) -> f64 {
        let total: u64 = (0..self.teams).map(|index| self.weight(index)).sum();
        self.weight(team) as f64 / total as f64
    }

    fn weight(&self, team: usize) -> u64 {
        self.quota_weights.get(team).copied().unwrap_or(1)
    }

    /// One document a team; the quotas add up to the fleet.
    pub(super) fn documents(&self) -> Vec<document::Document> {
        (0..self.teams).map(|team| self.document(team)).collect()
    }

    fn document(&self, team: usize) -> document::Document {
        let keep = (1000 - self.runner_permille) as f64 / 1000.0;
        let part = self.quota_part(team) * self.workers as f64 * keep;
        document::Document {
            service: id::Service::from(format!("service-{team}")),
            team: Self::team(team),
            capacity: document::Capacity {
                pool: id::Pool::from(format!("pool-{team}")),
                runners: 8,
                slots_per_runner: 8,
                connections_per_runner: 64,
            },
            availability: document::Availability {
                min_runners: 6,
                absence_budget_min: 600,
            },
            maintenance: document::Maintenance::default(),
            quota: document::Quota {
                cores: (part * self.size.cpu_milli as f64 / 1000.0).round() as u64,
                memory_gib: (part * self.size.memory_mib as f64 / 1024.0).round() as u64,
                accelerators: self.accelerators,
            },
            kinds: Vec::new(),
        }
    }
}

/// A job and what it really does.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// What is submitted.
    pub spec: spec::Spec,
    /// What its tasks really use.
    pub real: platform::Resources,
    /// How long it really runs with all the processor time it wants, in milliseconds.
    pub run_ms: u64,
    /// True if it fails wherever it runs.
    pub fails: bool,
}
