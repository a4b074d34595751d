//! Jobs drawn at random: classes with their real sizes, and declarations that are far off.

use rand::Rng;
use rand::rngs::SmallRng;
use wasabiloft::document;
use wasabiloft::job::spec;
use wasabiloft::platform;

use super::{Settings, Submission, World};

/// A steady flow of submissions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flow {
    /// The jobs' urgency.
    pub urgency: document::Urgency,
    /// First moment, in milliseconds.
    pub from_ms: u64,
    /// Last moment, in milliseconds.
    pub until_ms: u64,
    /// Submissions a second.
    pub per_s: f64,
    /// Mean run time, in milliseconds.
    pub run_ms: u64,
    /// Part of the jobs that may run twice and can go on from a checkpoint.
    pub displaceable: f64,
    /// The team that submits them; any if none is named.
    pub team: Option<usize>,
}

#[derive(Clone, Debug)]
struct Class {
    team: usize,
    name: String,
    real: platform::Resources,
    declared: platform::Resources,
}

/// Classes of jobs of all teams.
#[derive(Clone, Debug)]
pub struct Workload {
    classes: Vec<Class>,
    jobs: u64,
}

impl Workload {
    /// Draws `per_team` classes for each team; declarations are off by up to `error`, both ways.
    pub fn new(rng: &mut SmallRng, settings: &Settings, per_team: usize, error: f64) -> Self {
        let mut classes = Vec::new();
        for team in 0..settings.teams {
            for index in 0..per_team {
                classes.push(class(rng, settings, team, index, error));
            }
        }
        Self { classes, jobs: 0 }
    }

    /// Draws one job.
    pub fn draw(&mut self, rng: &mut SmallRng, flow: &Flow) -> Submission {
        let class = loop {
            let class = &self.classes[rng.random_range(0..self.classes.len())];
            if flow.team.is_none_or(|team| team == class.team) {
                break class;
            }
        };
        self.jobs += 1;
        let displaceable = rng.random_bool(flow.displaceable);
        let name = format!("{}-{:?}", class.name, flow.urgency).to_lowercase();
        let spec = spec::Spec {
            team: Settings::team(class.team),
            key: format!("job-{}", self.jobs),
            class: name,
            urgency: flow.urgency,
            idempotent: displaceable,
            checkpointable: displaceable,
            declared: class.declared,
            declared_run_ms: flow.run_ms,
            command: String::new(),
        };
        Submission {
            spec,
            real: scaled(&class.real, rng.random_range(0.85..1.15)),
            run_ms: exponential(rng, flow.run_ms as f64).clamp(2_000.0, 1e9) as u64,
            fails: false,
        }
    }

    /// Submits a flow to a world; gives the number of jobs.
    pub fn submit(&mut self, rng: &mut SmallRng, world: &mut World, flow: &Flow) -> u64 {
        let mut at_ms = flow.from_ms as f64;
        let mut count = 0;
        loop {
            at_ms += exponential(rng, 1_000.0 / flow.per_s);
            if at_ms >= flow.until_ms as f64 {
                return count;
            }
            let submission = self.draw(rng, flow);
            world.submit_at(at_ms as u64, submission);
            count += 1;
        }
    }
}

fn class(rng: &mut SmallRng, settings: &Settings, team: usize, index: usize, error: f64) -> Class {
    let real = platform::Resources {
        cpu_milli: settings.size.cpu_milli * rng.random_range(20..100) / 1_000,
        memory_mib: settings.size.memory_mib * rng.random_range(20..80) / 1_000,
        accelerators: 0,
    };
    let off = (rng.random_range(-1.0..1.0) * error.ln()).exp();
    let mut declared = scaled(&real, off);
    declared.cpu_milli = declared.cpu_milli.min(settings.size.cpu_milli * 9 / 10);
    declared.memory_mib = declared.memory_mib.min(settings.size.memory_mib * 9 / 10);
    Class {
        team,
        name: format!("class-{index}"),
        real,
        declared,
    }
}

fn scaled(size: &platform::Resources, factor: f64) -> platform::Resources {
    platform::Resources {
        cpu_milli: ((size.cpu_milli as f64 * factor) as u64).max(1),
        memory_mib: ((size.memory_mib as f64 * factor) as u64).max(1),
        accelerators: size.accelerators,
    }
}

fn exponential<R>(rng: &mut R, mean: f64) -> f64
where
    R: Rng,
{
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    -uniform.ln() * mean
}
