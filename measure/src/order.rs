//! `measure order`: which scheduling orders complete how many jobs in time while a pool is overloaded.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use wasabiloft::batch::JobId;
use wasabiloft::batch::order::{Candidate, Class, Order, Work};
use wasabiloft::platform::Resources;

use crate::util;

const USAGE: &str = "\
Replays an overloaded pool with several scheduling orders. Of each 20 s, 5 s have the stated load and 15 s a twentieth.
Estimates are off by a factor of 0.5 to 1.9; 3 of 100 tasks take seven times as long as others.

Usage:
    measure order [OPTIONS]

Options:
    --load-percent N Load of a burst, in percent of the pool's capacity; 300 if not given.
    --steady         The load lasts for the whole time, without pauses.
    --nominal        Objectives follow the usual durations of the tasks on the longest path; the actual ones if not given.
    --seconds N      Time with arrivals; 60 if not given.
    --seeds N        Replays, with seeds from 1; 5 if not given.
";

/// Tasks that run at the same time.
const SLOTS: usize = 400;
/// Interval between planning rounds, in milliseconds.
const ROUND_MS: u64 = 10;
/// Length of a cycle of a burst and a pause, in milliseconds.
const CYCLE_MS: f64 = 20_000.0;
/// Length of a burst, in milliseconds.
const BURST_MS: f64 = 5_000.0;
/// Mean work of a job, in tasks times milliseconds.
const MEAN_WORK_MS: f64 = 21_900.0;
/// Job's stretch, in thousandths of its longest path.
const STRETCH_MILLI: u64 = 1_600;
/// Constant part of a job's objective, in milliseconds.
const TARGET_MS: u64 = 600;
/// Value of a job that is done later than its objective, and within three times as much.
const LATE_VALUE: f64 = 0.07;

struct Args {
    load: f64,
    steady: bool,
    nominal: bool,
    seconds: u64,
    seeds: u64,
}

/// A scheduling order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Policy {
    /// By objective: the order before `batch::order`.
    Objective,
    /// By the time that is left beyond the longest path.
    Slack,
    /// As `Slack`; jobs that can't meet their objective given the queue before them yield.
    SlackFeasible,
    /// As `Objective`; jobs that can't meet their objective given the queue before them yield.
    ObjectiveFeasible,
    /// As `Objective`; if a job can't meet its objective given the queue before it, the largest one before it yields.
    ObjectiveLargestYields,
    /// By work that has not been started.
    Shortest,
    /// Jobs that have begun, then others, each by objective.
    BegunObjective,
    /// Jobs that have begun, then others, each by work that has not been started.
    BegunShortest,
    /// The order of `batch::order`.
    Chosen,
}

const POLICIES: [Policy; 9] = [
    Policy::Objective,
    Policy::Slack,
    Policy::SlackFeasible,
    Policy::ObjectiveFeasible,
    Policy::ObjectiveLargestYields,
    Policy::Shortest,
    Policy::BegunObjective,
    Policy::BegunShortest,
    Policy::Chosen,
];

#[derive(Clone, Debug)]
struct Step {
    estimate_ms: u64,
    durations_ms: Vec<u64>,
    started: usize,
    done: usize,
}

#[derive(Clone, Debug)]
struct Job {
    submitted_ms: u64,
    /// Objective by the estimates, which the scheduler knows.
    estimated_ms: u64,
    objective_ms: u64,
    steps: Vec<Step>,
    work_ms: u64,
    first_start_ms: Option<u64>,
    done_ms: Option<u64>,
}

impl Job {
    fn step(&self) -> usize {
        let done = |step: &Step| step.done == step.durations_ms.len();
        self.steps.iter().take_while(|step| done(step)).count()
    }

    fn is_waiting(&self) -> bool {
        let step = self.steps.get(self.step());
        step.is_some_and(|step| step.started < step.durations_ms.len())
    }

    fn path_left_ms(&self) -> u64 {
        let left = self.steps[self.step()..].iter();
        left.map(|step| step.estimate_ms).sum()
    }

    /// Returns the work that has not been started, in tasks times milliseconds.
    fn work_left_ms(&self) -> u64 {
        let work = |step: &Step| (step.durations_ms.len() - step.started) as u64 * step.estimate_ms;
        self.steps.iter().map(work).sum()
    }
}

#[derive(Debug, Serialize)]
struct Summary {
    policy: Policy,
    jobs: u64,
    /// Shares of jobs and of work done within the objective.
    in_time: f64,
    work_in_time: f64,
    /// Shares of the jobs with the largest tenth of works, and of the fifth below it.
    largest_tenth_in_time: f64,
    fifth_below_in_time: f64,
    value: f64,
    /// Longest time until a job was done, as a multiple of its objective.
    longest: f64,
    /// Longest time until the first task of a job was started, in milliseconds.
    longest_wait_ms: u64,
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the options are wrong.
pub fn run(argv: Vec<std::ffi::OsString>) -> Result<(), util::Error> {
    let Some(args) = parse(lexopt::Parser::from_args(argv))? else {
        print!("{USAGE}");
        return Ok(());
    };
    for policy in POLICIES {
        util::print_json(&measure(&args, policy))?;
    }
    Ok(())
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Args>, util::Error> {
    use lexopt::prelude::*;

    let mut args = Args {
        load: 3.0,
        steady: false,
        nominal: false,
        seconds: 60,
        seeds: 5,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("load-percent") => args.load = parser.value()?.parse::<f64>()? / 100.0,
            Long("steady") => args.steady = true,
            Long("nominal") => args.nominal = true,
            Long("seconds") => args.seconds = parser.value()?.parse()?,
            Long("seeds") => args.seeds = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(Some(args))
}

fn draw_job(rng: &mut SmallRng, submitted_ms: u64, nominal: bool) -> Job {
    let steps = match rng.random_range(0..100) {
        0..45 => 1,
        45..80 => 2,
        _ => 3,
    };
    let factor = 0.5 * (1.9_f64 / 0.5).powf(rng.random());
    let (mut path_ms, mut estimate_ms) = (0, 0);
    let draw_step = |_| {
        let estimate: u64 = rng.random_range(700..1_700);
        let tasks = (-(1.0 - rng.random::<f64>()).ln() * 7.5) as usize + 1;
        let usual_ms = estimate as f64 * factor;
        let duration = |_| {
            let tail = if rng.random_range(0..100) < 3 {
                7.0
            } else {
                1.0
            };
            (usual_ms * rng.random_range(0.8..1.2) * tail) as u64
        };
        let durations_ms: Vec<u64> = (0..tasks.min(40)).map(duration).collect();
        let longest_ms = durations_ms.iter().copied().max().unwrap_or(0);
        path_ms += if nominal { usual_ms as u64 } else { longest_ms };
        estimate_ms += estimate;
        Step {
            estimate_ms: estimate,
            durations_ms,
            started: 0,
            done: 0,
        }
    };
    let steps: Vec<Step> = (0..steps).map(draw_step).collect();
    let durations = steps.iter().flat_map(|step| &step.durations_ms);
    Job {
        submitted_ms,
        estimated_ms: submitted_ms + estimate_ms * STRETCH_MILLI / 1_000 + TARGET_MS,
        objective_ms: submitted_ms + path_ms * STRETCH_MILLI / 1_000 + TARGET_MS,
        work_ms: durations.sum(),
        steps,
        first_start_ms: None,
        done_ms: None,
    }
}

fn draw_jobs(args: &Args, seed: u64) -> Vec<Job> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    let mut at_ms = 0.0;
    while at_ms < (args.seconds * 1_000) as f64 {
        let is_burst = args.steady || at_ms % CYCLE_MS < BURST_MS;
        let load = if is_burst {
            args.load
        } else {
            args.load / 20.0
        };
        let per_ms = load * SLOTS as f64 / MEAN_WORK_MS;
        at_ms -= (1.0 - rng.random::<f64>()).ln() / per_ms;
        jobs.push(draw_job(&mut rng, at_ms as u64, args.nominal));
    }
    jobs
}

/// Returns the waiting jobs in the order in which they are placed.
fn order(jobs: &[Job], open: &[usize], policy: Policy, now_ms: u64) -> Vec<usize> {
    let waiting = open
        .iter()
        .copied()
        .filter(|index| jobs[*index].is_waiting());
    let is_late = |job: &Job| now_ms + job.path_left_ms() > job.estimated_ms;
    if policy == Policy::Chosen {
        let candidates: Vec<Candidate> = waiting
            .map(|index| {
                let job = &jobs[index];
                Candidate {
                    class: if is_late(job) {
                        Class::Late
                    } else {
                        Class::InTime
                    },
                    account: None,
                    beyond_rate: false,
                    rank: 0,
                    objective_unix_ms: job.estimated_ms,
                    span_ms: job.estimated_ms - job.submitted_ms,
                    work_left: Work {
                        cpu_milli_ms: job.work_left_ms() * 1_000,
                        memory_mib_ms: 0,
                    },
                    need_min: Resources::default(),
                    job: JobId(index as u64),
                    occurrence: 0,
                }
            })
            .collect();
        let capacity = Resources {
            cpu_milli: SLOTS as u64 * 1_000,
            memory_mib: 1,
            accelerators: 0,
        };
        let mut order = Order::new(&candidates, capacity, Vec::new());
        let next = || order.next_turn().map(|turn| turn.job.0 as usize);
        return std::iter::from_fn(next).collect();
    }
    let key = |index: usize| {
        let job = &jobs[index];
        let late = is_late(job);
        let by_begin = matches!(policy, Policy::BegunObjective | Policy::BegunShortest);
        let new = by_begin && !late && job.first_start_ms.is_none();
        let key_ms = match policy {
            Policy::Slack => job.estimated_ms - if late { 0 } else { job.path_left_ms() },
            Policy::SlackFeasible if !late => job.estimated_ms - job.path_left_ms(),
            Policy::Objective | Policy::BegunObjective => job.estimated_ms,
            Policy::ObjectiveFeasible | Policy::ObjectiveLargestYields if !late => job.estimated_ms,
            _ => job.work_left_ms(),
        };
        (late, new, key_ms, index)
    };
    let mut sorted: Vec<usize> = waiting.collect();
    sorted.sort_by_key(|index| key(*index));
    let yields = yielding(jobs, &sorted, policy, now_ms);
    sorted.sort_by_key(|index| (is_late(&jobs[*index]), yields.contains(index)));
    sorted
}

/// Returns the jobs in time that yield, because they or others can't meet their objective given the queue before them.
fn yielding(jobs: &[Job], sorted: &[usize], policy: Policy, now_ms: u64) -> Vec<usize> {
    let mut yielding = Vec::new();
    let mut before_ms = 0;
    let mut kept: BinaryHeap<(u64, usize)> = BinaryHeap::new();
    for &index in sorted {
        let job = &jobs[index];
        let work_ms = job.work_left_ms();
        let done_ms = now_ms + (before_ms + work_ms) / SLOTS as u64 + job.path_left_ms();
        let is_feasible = done_ms <= job.estimated_ms;
        if now_ms + job.path_left_ms() > job.estimated_ms {
            break;
        }
        match policy {
            Policy::SlackFeasible | Policy::ObjectiveFeasible if !is_feasible && before_ms > 0 => {
                yielding.push(index);
            }
            Policy::ObjectiveLargestYields => {
                before_ms += work_ms;
                kept.push((work_ms, index));
                if !is_feasible && let Some((work_ms, index)) = kept.pop() {
                    before_ms -= work_ms;
                    yielding.push(index);
                }
            }
            _ => before_ms += work_ms,
        }
    }
    yielding
}

fn replay(args: &Args, policy: Policy, seed: u64) -> Vec<Job> {
    let mut jobs = draw_jobs(args, seed);
    let mut ends: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    let (mut free, mut arrived, mut now_ms) = (SLOTS, 0, 0);
    let mut open: Vec<usize> = Vec::new();
    while arrived < jobs.len() || !open.is_empty() {
        now_ms += ROUND_MS;
        while jobs
            .get(arrived)
            .is_some_and(|job| job.submitted_ms <= now_ms)
        {
            open.push(arrived);
            arrived += 1;
        }
        let later = ends.split_off(&(now_ms + 1));
        for index in std::mem::replace(&mut ends, later).into_values().flatten() {
            free += 1;
            let job = &mut jobs[index];
            let step = job.step();
            job.steps[step].done += 1;
            if job.step() == job.steps.len() {
                job.done_ms = Some(now_ms);
            }
        }
        open.retain(|index| jobs[*index].done_ms.is_none());
        if free == 0 {
            continue;
        }
        for index in order(&jobs, &open, policy, now_ms) {
            let job = &mut jobs[index];
            let step = job.step();
            let step = &mut job.steps[step];
            while free > 0 && step.started < step.durations_ms.len() {
                let end_ms = now_ms + step.durations_ms[step.started].max(ROUND_MS);
                ends.entry(end_ms).or_default().push(index);
                step.started += 1;
                free -= 1;
                job.first_start_ms.get_or_insert(now_ms);
            }
        }
    }
    jobs
}

fn measure(args: &Args, policy: Policy) -> Summary {
    let jobs: Vec<Job> = (1..=args.seeds)
        .flat_map(|seed| replay(args, policy, seed))
        .collect();
    let mut works: Vec<Reverse<u64>> = jobs.iter().map(|job| Reverse(job.work_ms)).collect();
    works.sort_unstable();
    let (tenth, fifth) = (works[jobs.len() / 10].0, works[jobs.len() * 3 / 10].0);
    let took_ms = |job: &Job| job.done_ms.unwrap_or(u64::MAX) - job.submitted_ms;
    let span_ms = |job: &Job| job.objective_ms - job.submitted_ms;
    let in_time = |job: &&Job| took_ms(job) <= span_ms(job);
    let share = |min: u64, max: u64| {
        let of_size = || jobs.iter().filter(|job| (min..max).contains(&job.work_ms));
        of_size().filter(in_time).count() as f64 / of_size().count() as f64
    };
    let work =
        |jobs: &mut dyn Iterator<Item = &Job>| jobs.map(|job| job.work_ms as f64).sum::<f64>();
    let late = jobs
        .iter()
        .filter(|job| !in_time(job) && took_ms(job) <= 3 * span_ms(job));
    let late = late.count() as f64 / jobs.len() as f64;
    let lateness = jobs
        .iter()
        .map(|job| took_ms(job) as f64 / span_ms(job) as f64);
    let waits = jobs
        .iter()
        .map(|job| job.first_start_ms.unwrap_or(0) - job.submitted_ms);
    Summary {
        policy,
        jobs: jobs.len() as u64,
        in_time: share(0, u64::MAX),
        work_in_time: work(&mut jobs.iter().filter(in_time)) / work(&mut jobs.iter()),
        largest_tenth_in_time: share(tenth, u64::MAX),
        fifth_below_in_time: share(fifth, tenth),
        value: share(0, u64::MAX) + late * LATE_VALUE,
        longest: lateness.fold(0.0, f64::max),
        longest_wait_ms: waits.max().unwrap_or(0),
    }
}
