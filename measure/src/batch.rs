//! `measure batch`: what the scheduler of the batch duty costs its node while each pool in its turn is overloaded.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use wasabiloft::batch::scheduler::{
    Output, RecoveredState, Scheduler, Settings, Start, StartOutcome,
};
use wasabiloft::batch::{JobId, accounts, queue, record, spec, worker_state};
use wasabiloft::clock;
use wasabiloft::id;
use wasabiloft::platform::Resources;

use crate::util;

const USAGE: &str = "\
Measures the processor time that the scheduler's decisions take, by kind of call. Pools of equal size are loaded in turn.

Usage:
    measure batch [OPTIONS]

Options:
    --workers N      Workers of all pools; 1,100 if not given.
    --pools N        Pools; 4 if not given.
    --load-percent N Load of the pool whose turn it is, in percent of its capacity; 150 if not given.
    --accounts N     Client accounts that submit jobs by turns; none if not given.
    --seconds N      Simulated time; 20 if not given.
    --seed N         1 if not given.
";

/// Length of a pool's turn, in milliseconds.
const TURN_MS: u64 = 5_000;
/// Interval between planning rounds, in milliseconds.
const ROUND_MS: u64 = 5;
/// Interval between ticks, in milliseconds.
const TICK_MS: u64 = 50;
/// Interval between commits, in milliseconds.
const COMMIT_MS: u64 = 20;
/// Interval between polls of a worker without ends, in milliseconds.
const POLL_MS: u64 = 500;
/// Length of a task, in milliseconds.
const TASK_MS: u64 = 640;
/// Tasks of a step; a job has two steps.
const TASKS: u32 = 8;
/// Processor need of a task, in thousandths of a core.
const TASK_CPU_MILLI: u64 = 4_500;
/// Processor capacity of a worker, in thousandths of a core.
const WORKER_CPU_MILLI: u64 = 32_000;

struct Args {
    workers: usize,
    pools: usize,
    load_percent: u64,
    accounts: usize,
    seconds: u64,
    seed: u64,
}

/// Processor time of one kind of call.
#[derive(Default)]
struct Spent {
    calls: u64,
    total: Duration,
}

impl Spent {
    fn time<T, F>(&mut self, call: F) -> T
    where
        F: FnOnce() -> T,
    {
        let began_at = Instant::now();
        let result = call();
        self.total += began_at.elapsed();
        self.calls += 1;
        result
    }

    fn per_start_us(&self, starts: u64) -> f64 {
        self.total.as_secs_f64() * 1e6 / starts.max(1) as f64
    }
}

#[derive(Debug, Serialize)]
struct Summary {
    workers: usize,
    pools: usize,
    load_percent: u64,
    accounts: usize,
    seconds: u64,
    seed: u64,
    jobs: u64,
    starts: u64,
    done: u64,
    polls: u64,
    plan_us_per_start: f64,
    poll_us_per_start: f64,
    tick_us_per_start: f64,
    commit_us_per_start: f64,
    /// Thousandths of a core over the simulated time.
    core_milli: f64,
}

#[derive(Default)]
struct Worker {
    running: HashMap<wasabiloft::batch::TaskId, Start>,
    ended: Vec<worker_state::EndedRun>,
    last_number: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Poll,
    End(wasabiloft::batch::TaskId),
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
    util::print_json(&measure(&args))
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Args>, util::Error> {
    use lexopt::prelude::*;

    let mut args = Args {
        workers: 1_100,
        pools: 4,
        load_percent: 150,
        accounts: 0,
        seconds: 20,
        seed: 1,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("workers") => args.workers = parser.value()?.parse()?,
            Long("pools") => args.pools = parser.value()?.parse()?,
            Long("load-percent") => args.load_percent = parser.value()?.parse()?,
            Long("accounts") => args.accounts = parser.value()?.parse()?,
            Long("seconds") => args.seconds = parser.value()?.parse()?,
            Long("seed") => args.seed = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(Some(args))
}

fn service(pool: usize) -> id::Service {
    id::Service::new(&format!("pool-{pool}"))
}

fn account(number: usize) -> id::Account {
    id::Account::new(&format!("account-{number}"))
}

fn job(pool: usize, account: Option<id::Account>, now_ms: u64) -> record::Accepted {
    let step = |after: &[u32]| spec::Step {
        tasks: TASKS,
        need: Resources {
            cpu_milli: TASK_CPU_MILLI,
            memory_mib: 1_000,
            accelerators: 0,
        },
        estimate_ms: TASK_MS,
        after: after.to_vec(),
        ..spec::Step::default()
    };
    record::Accepted {
        account,
        queue: queue::Queue {
            name: format!("queue-{pool}"),
            service: service(pool),
            rank: 0,
            attempts_max: 3,
            stretch_milli: 1_600,
            target_ms: 600,
            advice: None,
        },
        spec: spec::Spec {
            text: "text".into(),
            steps: vec![step(&[]), step(&[0])],
            schedule: None,
        },
        submitted_unix_ms: now_ms,
        row_version: 0,
    }
}

fn scheduler(args: &Args, names: &[id::Worker]) -> Scheduler {
    let services = (0..args.pools).map(|pool| {
        let flags = queue::Service {
            enforces_capacity: true,
            spare: false,
        };
        (service(pool), flags)
    });
    let names_and_settings =
        (0..args.accounts).map(|number| (account(number), accounts::Account::default()));
    let (accounts, _) = accounts::Accounts::new(names_and_settings.collect(), Vec::new());
    let config = Arc::new(queue::Config {
        version: 1,
        accounts: (args.accounts > 0).then_some(accounts),
        services: services.collect(),
        ..queue::Config::default()
    });
    let settings = Settings {
        lease_ms: 4_000,
        lease_max_ms: 10_000,
        row_bytes: 48_000,
        status_ms: 120_000,
        quota_window_ms: Settings::QUOTA_WINDOW_DEFAULT_MS,
    };
    let now = clock::Instant::ZERO;
    let mut scheduler = Scheduler::new(settings, 1, config, RecoveredState::default(), now);
    for (number, name) in names.iter().enumerate() {
        scheduler.worker_listed(
            worker_state::Listing {
                worker: name.clone(),
                service: service(number % args.pools),
                address: ([127, 0, 0, 1], 1).into(),
                data_centre: id::DataCentre::new("a"),
                size: Resources {
                    cpu_milli: WORKER_CPU_MILLI,
                    memory_mib: 128_000,
                    accelerators: 0,
                },
                labels: Vec::new(),
                rack: None,
                leaving: false,
                started_unix_ms: None,
            },
            now,
        );
    }
    loop {
        let batch = scheduler.take_batch();
        if batch.rows() == 0 {
            return scheduler;
        }
        scheduler.batch_committed(&batch);
    }
}

fn measure(args: &Args) -> Summary {
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let names: Vec<id::Worker> = (0..args.workers)
        .map(|number| id::Worker::new(&format!("i-{number:06x}")))
        .collect();
    let positions: HashMap<id::Worker, usize> = names.iter().cloned().zip(0..).collect();
    let mut scheduler = scheduler(args, &names);
    let mut workers: Vec<Worker> = names.iter().map(|_| Worker::default()).collect();
    let mut events: BinaryHeap<Reverse<(u64, usize, Event)>> = BinaryHeap::new();
    for number in 0..args.workers {
        events.push(Reverse((rng.random_range(0..POLL_MS), number, Event::Poll)));
    }
    let (mut plan, mut poll, mut tick, mut commit) = <(Spent, Spent, Spent, Spent)>::default();
    let (mut jobs, mut starts) = (0, 0);
    let job_core_ms = u64::from(TASKS) * 2 * TASK_MS * TASK_CPU_MILLI;
    let pool_cores = args.workers as u64 / args.pools as u64 * WORKER_CPU_MILLI;
    let mut due = 0.0;
    for now_ms in (0..args.seconds * 1_000).step_by(1) {
        let now = clock::Instant::from_ms(now_ms);
        due += pool_cores as f64 * args.load_percent as f64 / 100.0 / job_core_ms as f64;
        while due >= 1.0 {
            due -= 1.0;
            jobs += 1;
            let pool = usize::try_from(now_ms / TURN_MS).unwrap_or(0) % args.pools;
            let account = (args.accounts > 0).then(|| account(jobs as usize % args.accounts));
            scheduler.job_accepted(JobId(rng.random()), job(pool, account, now_ms), now);
        }
        while let Some(Reverse((at_ms, _, _))) = events.peek()
            && *at_ms <= now_ms
        {
            let Some(Reverse((_, number, event))) = events.pop() else {
                break;
            };
            let worker = &mut workers[number];
            if let Event::End(task) = event {
                if let Some(start) = worker.running.remove(&task) {
                    worker.last_number += 1;
                    worker.ended.push(worker_state::EndedRun {
                        number: worker.last_number,
                        task,
                        run: start.run,
                        outcome: worker_state::Outcome::Done,
                        checkpoint: None,
                    });
                }
            } else {
                events.push(Reverse((now_ms + POLL_MS, number, Event::Poll)));
            }
            poll.time(|| {
                let Some(sent) = scheduler.next_poll(&names[number], now) else {
                    return;
                };
                worker.ended.retain(|end| end.number > sent.acknowledged);
                let report = worker_state::Report {
                    unreadable_runs: 0,
                    unreadable_ends: 0,
                    clock_ms: now_ms,
                    started_unix_ms: Some(1),
                    running: worker
                        .running
                        .values()
                        .map(|start| worker_state::Run {
                            task: start.task,
                            run: start.run,
                            checkpoint: None,
                            percent: 50,
                            usage: TASK_CPU_MILLI,
                        })
                        .collect(),
                    ended: worker.ended.clone(),
                };
                scheduler.poll_answered(&names[number], &report, now, now, now_ms);
            });
        }
        if now_ms.is_multiple_of(TICK_MS) {
            tick.time(|| {
                scheduler.tick(now, now_ms);
                scheduler.evict_long_running(now);
            });
        }
        if now_ms.is_multiple_of(COMMIT_MS) {
            commit.time(|| {
                let batch = scheduler.take_batch();
                scheduler.batch_committed(&batch);
            });
        }
        if now_ms.is_multiple_of(ROUND_MS) {
            plan.time(|| scheduler.plan(now, now_ms));
            for output in scheduler.take_outputs() {
                let Output::Start(start) = output else {
                    continue;
                };
                starts += 1;
                let number = positions[&start.worker];
                scheduler.start_answered(
                    &start.worker,
                    start.task,
                    start.run,
                    StartOutcome::Started,
                    now,
                );
                events.push(Reverse((now_ms + TASK_MS, number, Event::End(start.task))));
                workers[number].running.insert(start.task, start);
            }
        }
    }
    let total = plan.total + poll.total + tick.total + commit.total;
    Summary {
        workers: args.workers,
        pools: args.pools,
        load_percent: args.load_percent,
        accounts: args.accounts,
        seconds: args.seconds,
        seed: args.seed,
        jobs,
        starts,
        done: scheduler.counts().done,
        polls: poll.calls,
        plan_us_per_start: plan.per_start_us(starts),
        poll_us_per_start: poll.per_start_us(starts),
        tick_us_per_start: tick.per_start_us(starts),
        commit_us_per_start: commit.per_start_us(starts),
        core_milli: total.as_secs_f64() * 1e3 / args.seconds.max(1) as f64,
    }
}
