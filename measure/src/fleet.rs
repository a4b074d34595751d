//! `measure fleet`: roll-out time over its lower bound, and breaches under faults.

use std::ffi;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::world;

const USAGE: &str = "\
Measures maintenance waves of the fleet duty; prints one JSON object a run.

usage: measure fleet --shape cadenas|tabua|target [--packed] [--seed N]
       measure fleet --faults N [--seed N] [--threads N] [--without PROTECTION] [--verbose]

--shape   one roll-out without faults, its time over ceil(VMs / allowed at once) x (drain + reboot)
--packed  a pool's VMs lie in as few racks as possible, in place of one a rack
--faults  N runs of random fleets with random faults, one object for all of them
--without fencing|drain-proof|domain-reserve|checks|fencing-and-checks: does without a protection
--verbose prints each violation on standard error
";

/// How often the platform makes a new list, in milliseconds.
const LIST_MS: u64 = 2_000;

/// How a run is named by its arguments.
#[derive(Default)]
struct Args {
    shape: Option<String>,
    packed: bool,
    seed: u64,
    faults: Option<u64>,
    threads: u64,
    without: Option<world::Without>,
    verbose: bool,
    help: bool,
}

/// One roll-out.
#[derive(Serialize)]
struct RollOut {
    shape: String,
    packed: bool,
    seed: u64,
    vms: usize,
    pools: usize,
    bound_s: u64,
    finished_s: Option<u64>,
    ratio: Option<f64>,
    moves: u64,
    violations: usize,
    reboots: u64,
    unfinished: u64,
    cpu_us_a_tick: f64,
}

/// Many runs with faults.
#[derive(Default, Serialize)]
struct Faults {
    seed: u64,
    runs: u64,
    runs_with_violations: u64,
    violations: usize,
    runs_unfinished: u64,
    vms_unfinished: u64,
    faults: u64,
    reboots: u64,
    moves: u64,
    abandoned: u64,
    refused: u64,
    takeovers: u64,
    pauses: std::collections::BTreeMap<String, u64>,
}

/// Runs the command.
pub fn run(argv: Vec<ffi::OsString>) -> Result<(), lexopt::Error> {
    let args = parse(lexopt::Parser::from_args(argv))?;
    if args.help {
        println!("{USAGE}");
        return Ok(());
    }
    if let Some(runs) = args.faults {
        return with_faults(&args, runs);
    }
    match args.shape.as_deref() {
        Some(name) => roll_out(&args, name),
        None => Err(USAGE.into()),
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Args, lexopt::Error> {
    use lexopt::prelude::{Long, ValueExt};
    let mut args = Args {
        threads: 1,
        ..Args::default()
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("shape") => args.shape = Some(parser.value()?.string()?),
            Long("packed") => args.packed = true,
            Long("seed") => args.seed = parser.value()?.parse()?,
            Long("faults") => args.faults = Some(parser.value()?.parse()?),
            Long("threads") => args.threads = parser.value()?.parse::<u64>()?.max(1),
            Long("without") => args.without = Some(without(&parser.value()?.string()?)?),
            Long("help") => args.help = true,
            Long("verbose") => args.verbose = true,
            other => return Err(format!("{}\n{USAGE}", other.unexpected()).into()),
        }
    }
    Ok(args)
}

fn without(name: &str) -> Result<world::Without, lexopt::Error> {
    match name {
        "fencing" => Ok(world::Without::Fencing),
        "drain-proof" => Ok(world::Without::DrainProof),
        "domain-reserve" => Ok(world::Without::DomainReserve),
        "fencing-and-checks" => Ok(world::Without::FencingAndChecks),
        "checks" => Ok(world::Without::Checks),
        other => Err(format!("no protection is called {other}").into()),
    }
}

/// The deployments of the brief, and the target of two years.
pub fn shape(name: &str, packed: bool) -> Result<world::fleet::Shape, lexopt::Error> {
    let shape = |pools: Vec<u32>, spares, data_centres| world::fleet::Shape {
        pools,
        spares,
        spare_at_once: u32::max(2, spares / 5),
        data_centres,
        packed,
        slack: 3,
        max_at_once: 2,
        absence_budget_min: 600,
        drain_ms: 60_000,
        reboot_ms: 240_000,
    };
    match name {
        "cadenas" => Ok(shape(vec![8, 8, 8, 9, 9], 8, 3)),
        "tabua" => Ok(shape(vec![8, 8, 8, 8, 10], 8, 3)),
        "target" => {
            let mut pools = vec![14; 78];
            pools.extend([25, 25, 25]);
            Ok(shape(pools, 33, 5))
        }
        other => Err(format!("no shape is called {other}\n{USAGE}").into()),
    }
}

fn roll_out(args: &Args, name: &str) -> Result<(), lexopt::Error> {
    let shape = shape(name, args.packed)?;
    let mut world = world::World::new(world::Options {
        seed: args.seed,
        fleet: shape.clone(),
        faults: false,
        without: args.without,
        limit_ms: 24 * 3_600_000,
        tick_ms: 1_000,
        list_ms: LIST_MS,
        life: None,
    });
    world.run();
    report(args, &world.violations);
    let bound_ms = world::fleet::bound_ms(&shape);
    let finished_ms = world.totals.finished_ms;
    let vms = shape.pools.iter().sum::<u32>() + shape.spares;
    print(&RollOut {
        shape: name.to_owned(),
        packed: args.packed,
        seed: args.seed,
        vms: vms as usize,
        pools: shape.pools.len() + 1,
        bound_s: bound_ms / 1_000,
        finished_s: finished_ms.map(|finished_ms| finished_ms / 1_000),
        ratio: finished_ms.map(|finished_ms| finished_ms as f64 / bound_ms as f64),
        moves: world.totals.moves,
        violations: world.violations.len(),
        reboots: world.totals.reboots,
        unfinished: world.totals.unfinished,
        cpu_us_a_tick: world.totals.cpu_us_a_tick(),
    })
}

fn with_faults(args: &Args, runs: u64) -> Result<(), lexopt::Error> {
    let threads = args.threads.min(runs.max(1));
    let parts: Vec<Faults> = std::thread::scope(|scope| {
        let parts =
            (0..threads).map(|part| scope.spawn(move || part_of(args, runs, part, threads)));
        let parts: Vec<_> = parts.collect();
        let joined = parts.into_iter().map(|part| part.join());
        joined
            .map(|part| part.expect("a run does not panic"))
            .collect()
    });
    let mut sum = Faults {
        seed: args.seed,
        ..Faults::default()
    };
    for part in parts {
        sum.add(part);
    }
    print(&sum)
}

fn part_of(args: &Args, runs: u64, part: u64, threads: u64) -> Faults {
    let mut sum = Faults::default();
    for run in (part..runs).step_by(threads as usize) {
        let seed = args.seed.wrapping_add(run);
        let mut world = world::World::new(world::Options {
            seed,
            fleet: random_shape(seed),
            faults: true,
            without: args.without,
            limit_ms: 4 * 3_600_000,
            tick_ms: 1_000,
            list_ms: LIST_MS,
            life: None,
        });
        world.run();
        if args.verbose && !(world.violations.is_empty() && world.totals.unfinished == 0) {
            let unfinished = world.totals.unfinished;
            let status = serde_json::to_string(&world.status()).unwrap_or_default();
            eprintln!("seed {seed}: {unfinished} unfinished {status}");
        }
        report(args, &world.violations);
        sum.take(&world);
    }
    sum
}

/// A fleet of 2 to 4 pools, narrow enough for faults to matter.
fn random_shape(seed: u64) -> world::fleet::Shape {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let pools = rng.random_range(2..=4);
    world::fleet::Shape {
        pools: (0..pools).map(|_| rng.random_range(5..=10)).collect(),
        spares: rng.random_range(4..=10),
        spare_at_once: 2,
        data_centres: rng.random_range(2..=4),
        packed: rng.random_bool(0.3),
        slack: rng.random_range(1..=4),
        max_at_once: rng.random_range(1..=3),
        absence_budget_min: rng.random_range(60..=600),
        drain_ms: rng.random_range(5_000..60_000),
        reboot_ms: rng.random_range(60_000..240_000),
    }
}

impl Faults {
    fn take(&mut self, world: &world::World) {
        let totals = &world.totals;
        self.runs += 1;
        self.runs_with_violations += u64::from(!world.violations.is_empty());
        self.violations += world.violations.len();
        self.runs_unfinished += u64::from(totals.unfinished > 0);
        self.vms_unfinished += totals.unfinished;
        self.faults += totals.faults;
        self.reboots += totals.reboots;
        self.moves += totals.moves;
        self.abandoned += totals.abandoned;
        self.refused += totals.refused;
        self.takeovers += totals.takeovers;
        for (reason, count) in &totals.pauses {
            *self.pauses.entry(reason.clone()).or_default() += count;
        }
    }

    fn add(&mut self, other: Self) {
        self.runs += other.runs;
        self.runs_with_violations += other.runs_with_violations;
        self.violations += other.violations;
        self.runs_unfinished += other.runs_unfinished;
        self.vms_unfinished += other.vms_unfinished;
        self.faults += other.faults;
        self.reboots += other.reboots;
        self.moves += other.moves;
        self.abandoned += other.abandoned;
        self.refused += other.refused;
        self.takeovers += other.takeovers;
        for (reason, count) in other.pauses {
            *self.pauses.entry(reason).or_default() += count;
        }
    }
}

fn report(args: &Args, violations: &[String]) {
    if args.verbose {
        for violation in violations {
            eprintln!("{violation}");
        }
    }
}

fn print<T>(object: &T) -> Result<(), lexopt::Error>
where
    T: Serialize,
{
    let text = serde_json::to_string(object).map_err(|error| error.to_string())?;
    println!("{text}");
    Ok(())
}
