//! Jobs under load and faults, with the real decisions before a world in memory.

use std::ffi;

use lexopt::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use wasabiloft::clock;
use wasabiloft::document;
use wasabiloft_standins::jobs;

const USAGE: &str = "\
Usage: measure jobs [options]

Runs a seeded world of workers and jobs and prints one JSON object. Ends with an error if an invariant
does not hold: at most once, nothing vanishes, a refused submission was not stored.

Options:
    --scenario S   urgent, flood, pack, shares, bad, ageing, cancel, crashes or faults
                   [default: urgent]
    --policy P     learned or first-fit [default: learned]
    --workers N    workers [default: 50]
    --teams N      teams [default: 5]
    --minutes N    simulated minutes [default: 20]
    --seed N       seed [default: 1]
    --error F      how far declared sizes are off, both ways [default: 10]
";

/// Simulated time before use is sampled, in milliseconds.
const WARM_UP_MS: u64 = 5 * clock::MINUTE_MS;
/// Simulated time at the end in which nothing is submitted, in milliseconds.
const COOL_DOWN_MS: u64 = 15 * clock::SECOND_MS;
/// Classes of each team.
const CLASSES: usize = 3;
/// Mean run time of batch jobs, in milliseconds.
const BATCH_RUN_MS: u64 = 4 * clock::MINUTE_MS;
/// Mean run time of urgent jobs, in milliseconds.
const URGENT_RUN_MS: u64 = 30 * clock::SECOND_MS;

#[derive(Clone, Debug, Serialize)]
struct Options {
    scenario: String,
    policy: jobs::Policy,
    workers: usize,
    teams: usize,
    minutes: u64,
    seed: u64,
    error: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            scenario: "urgent".to_owned(),
            policy: jobs::Policy::Learned,
            workers: 50,
            teams: 5,
            minutes: 20,
            seed: 1,
            error: 10.0,
        }
    }
}

#[derive(Debug, Serialize)]
struct Output {
    command: &'static str,
    options: Options,
    submitted: u64,
    writes_per_job: f64,
    rows_per_job: f64,
    share_error_max: f64,
    states: std::collections::BTreeMap<String, u64>,
    report: jobs::Report,
}

/// Runs the command.
///
/// # Errors
///
/// A wrong option, or an invariant that does not hold.
pub fn run(argv: Vec<ffi::OsString>) -> Result<(), lexopt::Error> {
    let Some(options) = parse(argv)? else {
        println!("{USAGE}");
        return Ok(());
    };
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let settings = settings(&options)?;
    let mut world = jobs::World::new(settings.clone());
    world.sample_from(WARM_UP_MS);
    let submitted = fill(&options, &settings, &mut rng, &mut world);
    let until_ms = options.minutes * clock::MINUTE_MS;
    world
        .run_until(until_ms)
        .map_err(|violation| violation.to_string())?;
    let output = output(options, &settings, submitted, &world);
    let text = serde_json::to_string(&output).map_err(|error| error.to_string())?;
    println!("{text}");
    Ok(())
}

fn parse(argv: Vec<ffi::OsString>) -> Result<Option<Options>, lexopt::Error> {
    let mut argv = lexopt::Parser::from_args(argv);
    let mut options = Options::default();
    while let Some(argument) = argv.next()? {
        match argument {
            Long("scenario") => options.scenario = argv.value()?.parse()?,
            Long("policy") => options.policy = policy(&argv.value()?.string()?)?,
            Long("workers") => options.workers = argv.value()?.parse()?,
            Long("teams") => options.teams = argv.value()?.parse()?,
            Long("minutes") => options.minutes = argv.value()?.parse()?,
            Long("seed") => options.seed = argv.value()?.parse()?,
            Long("error") => options.error = argv.value()?.parse()?,
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(options))
}

fn policy(word: &str) -> Result<jobs::Policy, lexopt::Error> {
    match word {
        "learned" => Ok(jobs::Policy::Learned),
        "first-fit" => Ok(jobs::Policy::FirstFit),
        other => Err(format!("unknown policy '{other}'").into()),
    }
}

fn settings(options: &Options) -> Result<jobs::Settings, lexopt::Error> {
    let mut settings = jobs::Settings::new(options.seed, options.workers);
    settings.teams = options.teams;
    settings.policy = options.policy;
    match options.scenario.as_str() {
        "urgent" | "flood" | "pack" | "ageing" | "cancel" => {}
        "shares" => {
            settings.quota_weights = (0..options.teams as u64).map(|team| 1 + team % 3).collect();
        }
        "bad" => settings.faults.bad_workers = (options.workers / 10).max(4),
        "crashes" => {
            settings.faults = jobs::Faults {
                outage_ms: None,
                worker_pause_every_ms: 0,
                ..faults(options)
            };
        }
        "faults" => settings.faults = faults(options),
        other => return Err(format!("unknown scenario '{other}'").into()),
    }
    Ok(settings)
}

fn faults(options: &Options) -> jobs::Faults {
    jobs::Faults {
        lost_reply: 0.02,
        crash_every_ms: 3 * clock::MINUTE_MS,
        pause_every_ms: 4 * clock::MINUTE_MS,
        reboot_every_ms: 2 * clock::MINUTE_MS,
        worker_pause_every_ms: 2 * clock::MINUTE_MS,
        bad_workers: 4,
        outage_ms: Some((6 * clock::MINUTE_MS, 7 * clock::MINUTE_MS)),
        until_ms: options.minutes * clock::MINUTE_MS,
    }
}

/// Submissions a second that keep the fleet full with jobs of a mean run time, times a factor.
fn full_rate(options: &Options, run_ms: u64, factor: f64) -> f64 {
    let tasks = options.workers as f64 * 18.0;
    factor * tasks * clock::SECOND_MS as f64 / run_ms as f64
}

fn flow(options: &Options, urgency: document::Urgency, run_ms: u64, part: f64) -> jobs::Flow {
    jobs::Flow {
        urgency,
        from_ms: clock::SECOND_MS,
        until_ms: options.minutes * clock::MINUTE_MS - COOL_DOWN_MS,
        per_s: full_rate(options, run_ms, part),
        run_ms,
        displaceable: 0.9,
        team: None,
    }
}

/// Submits what the scenario asks for; gives the number of jobs.
fn fill(
    options: &Options,
    settings: &jobs::Settings,
    rng: &mut SmallRng,
    world: &mut jobs::World,
) -> u64 {
    let mut workload = jobs::Workload::new(rng, settings, CLASSES, options.error);
    let mut flows = vec![backlog(options), batch(options)];
    let urgent = flow(options, document::Urgency::Urgent, URGENT_RUN_MS, 0.05);
    match options.scenario.as_str() {
        "pack" | "bad" | "cancel" => {}
        "shares" => flows.push(deep(options)),
        "flood" => flows.extend(urgent_bursts(options, &urgent)),
        "ageing" => {
            flows.push(jobs::Flow {
                displaceable: 1.0,
                per_s: full_rate(options, URGENT_RUN_MS, 0.5),
                ..urgent
            });
            flows.push(archive(options));
        }
        _ => flows.push(urgent),
    }
    let mut submitted = 0;
    for flow in &flows {
        submitted += workload.submit(rng, world, flow);
    }
    if options.scenario == "cancel" {
        cancel_wave(world, settings, submitted);
    }
    submitted
}

/// A queue that is deep from the start.
fn backlog(options: &Options) -> jobs::Flow {
    jobs::Flow {
        until_ms: 21 * clock::SECOND_MS,
        per_s: options.workers as f64 * 2.0,
        ..flow(options, document::Urgency::Batch, BATCH_RUN_MS, 1.0)
    }
}

/// Enough work for every team to have some queued at all times.
fn deep(options: &Options) -> jobs::Flow {
    flow(options, document::Urgency::Batch, BATCH_RUN_MS, 3.0)
}

fn batch(options: &Options) -> jobs::Flow {
    flow(options, document::Urgency::Batch, BATCH_RUN_MS, 1.1)
}

/// Five times the mean for ten seconds in each minute, a twentieth of it in between.
fn urgent_bursts(options: &Options, mean: &jobs::Flow) -> Vec<jobs::Flow> {
    let mut flows = Vec::new();
    for minute in 5..options.minutes {
        let from_ms = minute * clock::MINUTE_MS;
        let burst_ms = 10 * clock::SECOND_MS;
        flows.push(jobs::Flow {
            from_ms,
            until_ms: from_ms + burst_ms,
            per_s: mean.per_s * 5.0,
            ..*mean
        });
        flows.push(jobs::Flow {
            from_ms: from_ms + burst_ms,
            until_ms: from_ms + clock::MINUTE_MS,
            per_s: mean.per_s / 20.0,
            ..*mean
        });
    }
    flows
}

/// Long rebuilds of one team.
fn archive(options: &Options) -> jobs::Flow {
    jobs::Flow {
        from_ms: clock::MINUTE_MS,
        until_ms: 2 * clock::MINUTE_MS,
        per_s: 0.2,
        run_ms: options.minutes * clock::MINUTE_MS / 6,
        displaceable: 1.0,
        team: Some(0),
        ..flow(options, document::Urgency::Batch, BATCH_RUN_MS, 1.0)
    }
}

/// Cancels half of all jobs at one moment.
fn cancel_wave(world: &mut jobs::World, settings: &jobs::Settings, submitted: u64) {
    for number in (1..=submitted).step_by(2) {
        for team in 0..settings.teams {
            let job = format!("{}:job-{number}", jobs::Settings::team(team));
            world.cancel_at(6 * clock::MINUTE_MS, &job.into());
        }
    }
}

fn output(
    options: Options,
    settings: &jobs::Settings,
    submitted: u64,
    world: &jobs::World,
) -> Output {
    let report = world.report();
    let accepted = (report.urgent.jobs + report.normal.jobs + report.batch.jobs).max(1) as f64;
    Output {
        command: "jobs",
        submitted,
        writes_per_job: (report.intake_txns + report.duty_txns) as f64 / accepted,
        rows_per_job: report.rows_written as f64 / accepted,
        share_error_max: share_error_max(settings, &report),
        states: world.states(),
        report,
        options,
    }
}

/// The largest distance between a team's part of what was used and its part by quota, against the latter.
fn share_error_max(settings: &jobs::Settings, report: &jobs::Report) -> f64 {
    let total: f64 = report.team_parts.values().sum();
    let mut largest: f64 = 0.0;
    for team in 0..settings.teams {
        let name = jobs::Settings::team(team).to_string();
        let part = report.team_parts.get(&name).copied().unwrap_or(0.0) / total.max(f64::EPSILON);
        let quota = settings.quota_part(team);
        largest = largest.max((part - quota).abs() / quota);
    }
    largest
}
