//! Placement by itself: decisions a second and memory against workers and queue length.

use std::{ffi, time};

use lexopt::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use wasabiloft::clock;
use wasabiloft::document;
use wasabiloft::estimate;
use wasabiloft::id;
use wasabiloft::job;
use wasabiloft::placement;
use wasabiloft::platform;
use wasabiloft::quota;

const USAGE: &str = "\
Usage: measure placement [options]

Fills a fleet and then replaces tasks one by one, each with a decision; prints one JSON object.

Options:
    --workers N    workers [default: 1200]
    --decisions N  decisions [default: 100000]
    --displace     let each decision displace lower work in a full fleet
    --queued N     also load a holder with so many queued jobs and measure its memory [default: 0]
    --seed N       seed [default: 1]
";

/// Tasks of each worker in the filled fleet.
const TASKS_PER_WORKER: usize = 18;
/// Classes of jobs.
const CLASSES: usize = 104;

#[derive(Clone, Copy, Debug, Serialize)]
struct Options {
    workers: usize,
    decisions: usize,
    displace: bool,
    queued: usize,
    seed: u64,
}

#[derive(Debug, Serialize)]
struct Output {
    command: &'static str,
    options: Options,
    placed: usize,
    nowhere: usize,
    decisions_per_s: f64,
    fleet_kib: u64,
    queue_kib: u64,
    queue_bytes_per_job: f64,
}

/// Runs the command.
///
/// # Errors
///
/// A wrong option.
pub fn run(argv: Vec<ffi::OsString>) -> Result<(), lexopt::Error> {
    let Some(options) = parse(argv)? else {
        println!("{USAGE}");
        return Ok(());
    };
    let before_kib = resident_kib();
    let mut bench = Bench::new(&options);
    bench.fill();
    let fleet_kib = resident_kib().saturating_sub(before_kib);
    let begin = time::Instant::now();
    let placed = bench.replace();
    let seconds = begin.elapsed().as_secs_f64();
    let (queue_kib, queue_bytes_per_job) = queue_memory(options.queued);
    let output = Output {
        command: "placement",
        placed,
        nowhere: options.decisions - placed,
        decisions_per_s: options.decisions as f64 / seconds,
        fleet_kib,
        queue_kib,
        queue_bytes_per_job,
        options,
    };
    let text = serde_json::to_string(&output).map_err(|error| error.to_string())?;
    println!("{text}");
    Ok(())
}

fn parse(argv: Vec<ffi::OsString>) -> Result<Option<Options>, lexopt::Error> {
    let mut argv = lexopt::Parser::from_args(argv);
    let mut options = Options {
        workers: 1_200,
        decisions: 100_000,
        displace: false,
        queued: 0,
        seed: 1,
    };
    while let Some(argument) = argv.next()? {
        match argument {
            Long("workers") => options.workers = argv.value()?.parse()?,
            Long("decisions") => options.decisions = argv.value()?.parse()?,
            Long("displace") => options.displace = true,
            Long("queued") => options.queued = argv.value()?.parse()?,
            Long("seed") => options.seed = argv.value()?.parse()?,
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(options))
}

/// A fleet that is kept full.
struct Bench {
    options: Options,
    rng: SmallRng,
    fleet: placement::Fleet,
    book: estimate::Estimates,
    classes: Vec<estimate::ClassKey>,
    tasks: Vec<placement::TaskKey>,
    started: u64,
}

impl Bench {
    fn new(options: &Options) -> Self {
        let mut fleet = placement::Fleet::new(60);
        let size = platform::Resources {
            cpu_milli: 32_000,
            memory_mib: 128 * 1024,
            accelerators: 0,
        };
        for index in 0..options.workers {
            let vm = id::Vm::from(format!("vm-{index}"));
            let rack = id::Rack::from(format!("rack-{}", index / 4));
            fleet.set_worker(&vm, &rack, size);
        }
        let mut book = estimate::Estimates::default();
        let team = id::Team::from("team");
        let classes = (0..CLASSES)
            .map(|index| book.class(&team, &format!("class-{index}")))
            .collect();
        Self {
            options: *options,
            rng: SmallRng::seed_from_u64(options.seed),
            fleet,
            book,
            classes,
            tasks: Vec::new(),
            started: 0,
        }
    }

    fn need(&mut self) -> (estimate::ClassKey, estimate::Need) {
        let class = self.classes[self.rng.random_range(0..CLASSES)];
        let declared = platform::Resources {
            cpu_milli: self.rng.random_range(300..1_500),
            memory_mib: self.rng.random_range(1_000..4_000),
            accelerators: 0,
        };
        (class, self.book.predict(class, declared))
    }

    fn fill(&mut self) {
        for _ in 0..self.options.workers * TASKS_PER_WORKER {
            if !self.decide(0) {
                return;
            }
        }
    }

    /// Ends a task and decides on another, again and again; gives how many found a place.
    fn replace(&mut self) -> usize {
        let mut placed = 0;
        for _ in 0..self.options.decisions {
            if !self.options.displace {
                let index = self.rng.random_range(0..self.tasks.len());
                let task = self.tasks.swap_remove(index);
                self.fleet.remove_task(task);
            }
            let rank = u8::from(self.options.displace);
            placed += usize::from(self.decide(rank));
        }
        placed
    }

    fn decide(&mut self, rank: u8) -> bool {
        let (class, need) = self.need();
        let request = placement::Request {
            class,
            need: &need,
            urgent: rank > 0,
            idempotent: true,
            failed_on: &[],
        };
        let mut choice = placement::Choice::NoFit;
        if rank == 0 {
            choice = self.fleet.choose_free(&request);
        } else {
            let now = clock::Instant::from_ms(self.started);
            let found = self.fleet.choose_displacing(now, &request, |task| {
                placement::Displaceable::AtCost(1.0 + f64::from(task.displacements))
            });
            choice = if found == placement::Choice::NoFit {
                choice
            } else {
                found
            };
        }
        match choice {
            placement::Choice::Fits { worker } => self.start(class, need, worker),
            placement::Choice::Displace { worker, tasks } => {
                for task in tasks {
                    self.fleet.remove_task(task);
                }
                self.start(class, need, worker);
            }
            placement::Choice::Throttle { .. } | placement::Choice::NoFit => return false,
        }
        true
    }

    fn start(
        &mut self,
        class: estimate::ClassKey,
        need: estimate::Need,
        worker: placement::WorkerKey,
    ) {
        self.started += 1;
        let job = id::Job::from(format!("team:job-{}", self.started));
        let owner = quota::AccountIndex::default();
        let now = clock::Instant::from_ms(self.started);
        let mut task = placement::Task::new(job, worker, class, need, owner, now);
        task.displaceable = true;
        self.tasks.push(self.fleet.add_task(task));
    }
}

/// Memory of a holder that has so many queued jobs, in KiB and bytes a job.
fn queue_memory(queued: usize) -> (u64, f64) {
    if queued == 0 {
        return (0, 0.0);
    }
    let rows: Vec<platform::Row> = (0..queued).map(queued_row).collect();
    let now = job::duty::Now {
        at: clock::Instant::ZERO,
        unix_ms: 0,
    };
    let settings = job::duty::Settings {
        duty: id::Duty::from("jobs"),
        epoch: 1,
        runner_reserve_permille: 60,
    };
    let before_kib = resident_kib();
    let (mut duty, _) = job::duty::Duty::new(settings, now);
    for page in rows.chunks(500) {
        let input = job::duty::Input::Loaded {
            rows: page,
            last: false,
        };
        duty.handle(now, input);
    }
    let last = job::duty::Input::Loaded {
        rows: &[],
        last: true,
    };
    duty.handle(now, last);
    duty.handle(now, job::duty::Input::Estimates(None));
    duty.handle(now, job::duty::Input::Vms(&one_vm()));
    let kib = resident_kib().saturating_sub(before_kib);
    let jobs = duty.rows().count().max(1);
    (kib, kib as f64 * 1024.0 / jobs as f64)
}

fn queued_row(index: usize) -> platform::Row {
    let spec = job::Spec {
        team: id::Team::from(format!("team-{}", index % 26)),
        key: format!("job-{index}"),
        class: format!("class-{}", index % 4),
        urgency: document::Urgency::Batch,
        idempotent: true,
        checkpointable: true,
        declared: platform::Resources {
            cpu_milli: 1_000,
            memory_mib: 2_000,
            accelerators: 0,
        },
        declared_run_ms: 60_000,
        command: "rebuild --all".to_owned(),
    };
    let id = spec.job();
    let row = job::Row::new(spec, 0);
    platform::Row {
        key: job::spec::row_key(&id),
        version: 1,
        value: serde_json::to_string(&row).unwrap_or_default(),
    }
}

fn one_vm() -> platform::VmList {
    platform::VmList {
        as_of_ms: 0,
        vms: vec![platform::Vm {
            vm: id::Vm::from("vm-0"),
            rack: id::Rack::from("rack-0"),
            data_centre: id::DataCentre::from("dc-0"),
            region: id::Region::from("region-0"),
            home_pool: id::Pool::from("pool-0"),
            state: platform::VmState::Live,
            boots: 1,
            size: platform::Resources::default(),
            endpoint: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        }],
    }
}

/// The process's resident memory, in KiB; zero where the system does not tell.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
