//! `measure spare`: the spare buffer held, and VM moves against the fewest with hindsight.

use std::collections::BTreeMap;
use std::ffi;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use wasabiloft::{clock, id, pool};

use crate::world::{self, fleet, life};

const USAGE: &str = "\
Measures the spare buffer and the moves of ordinary weeks; prints one JSON object a run.

usage: measure spare [--shape cadenas|tabua] [--days N] [--spares N] [--seed N] [--runs N]

Each run has failures, restarts, a lost rack, a lost data centre, edits of capacity and demand that swings
between five times and a twentieth of its mean, all at the rates of the target per VM. The hindsight
knows every failure and edit, and moves a VM only for a failure longer than the planner's patience, for
an edit, or to refill the spare pool; it takes the VM that fails last.
";

/// Hours of a day, for VM-hours.
const HOUR_MS: f64 = clock::HOUR_MS as f64;

struct Args {
    shape: String,
    days: u64,
    spares: u32,
    seed: u64,
    runs: u64,
    help: bool,
}

/// One run.
#[derive(Serialize)]
struct Run {
    shape: String,
    seed: u64,
    days: u64,
    spares: u32,
    spare_vm_hours: f64,
    surplus_vm_hours: f64,
    domain_and_step_vm_hours: f64,
    spare_over_domain_and_step: f64,
    spare_a_pool_vm_hours: f64,
    spare_over_spare_a_pool: f64,
    missing_vm_hours: f64,
    moves: u64,
    fewest_moves: u64,
    moves_over_fewest: f64,
    unfinished: u64,
    violations: usize,
}

/// Runs the command.
pub fn run(argv: Vec<ffi::OsString>) -> Result<(), lexopt::Error> {
    let args = parse(lexopt::Parser::from_args(argv))?;
    if args.help {
        println!("{USAGE}");
        return Ok(());
    }
    for run in 0..args.runs {
        let text = serde_json::to_string(&one(&args, args.seed + run)?);
        println!("{}", text.map_err(|error| error.to_string())?);
    }
    Ok(())
}

fn parse(mut parser: lexopt::Parser) -> Result<Args, lexopt::Error> {
    use lexopt::prelude::{Long, ValueExt};
    let mut args = Args {
        shape: "cadenas".to_owned(),
        days: 26,
        spares: 8,
        seed: 0,
        runs: 1,
        help: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("shape") => args.shape = parser.value()?.string()?,
            Long("days") => args.days = parser.value()?.parse()?,
            Long("spares") => args.spares = parser.value()?.parse()?,
            Long("seed") => args.seed = parser.value()?.parse()?,
            Long("runs") => args.runs = parser.value()?.parse()?,
            Long("help") => args.help = true,
            other => return Err(other.unexpected()),
        }
    }
    Ok(args)
}

fn one(args: &Args, seed: u64) -> Result<Run, lexopt::Error> {
    let mut shape = crate::fleet::shape(&args.shape, false)?;
    shape.spares = args.spares;
    let built = fleet::build(&shape);
    let mut rng = SmallRng::seed_from_u64(!seed);
    let life = life::draw(&mut rng, &built, args.days);
    let fewest_moves = hindsight(&shape, &built, &life);
    let limit_ms = args.days * clock::DAY_MS;
    let mut world = world::World::new(world::Options {
        seed,
        fleet: shape.clone(),
        faults: false,
        without: None,
        limit_ms,
        tick_ms: 20_000,
        list_ms: 20_000,
        life: Some(life),
    });
    world.run();
    let totals = &world.totals;
    let hours = |vm_ms: u64| vm_ms as f64 / HOUR_MS;
    let reserve = u64::from(wanted(&shape)) * limit_ms;
    let own = u64::from(spare_a_pool(&shape, &built)) * limit_ms;
    let held = totals.spare_vm_ms + totals.surplus_vm_ms;
    Ok(Run {
        shape: args.shape.clone(),
        seed,
        days: args.days,
        spares: args.spares,
        spare_vm_hours: hours(totals.spare_vm_ms),
        surplus_vm_hours: hours(totals.surplus_vm_ms),
        domain_and_step_vm_hours: hours(reserve),
        spare_over_domain_and_step: held as f64 / reserve as f64,
        spare_a_pool_vm_hours: hours(own),
        spare_over_spare_a_pool: held as f64 / own as f64,
        missing_vm_hours: hours(totals.missing_vm_ms),
        moves: totals.moves,
        fewest_moves,
        moves_over_fewest: totals.moves as f64 / fewest_moves.max(1) as f64,
        unfinished: totals.unfinished,
        violations: world.violations.len(),
    })
}

/// VMs of the largest rack and of one step of a wave.
fn wanted(shape: &fleet::Shape) -> u32 {
    fleet::RACK_VMS + shape.max_at_once
}

/// Spare VMs if each pool had its own for its largest rack and one step.
fn spare_a_pool(shape: &fleet::Shape, built: &fleet::Built) -> u32 {
    let pools = built.documents.iter().map(|document| {
        let mut racks: BTreeMap<&id::Rack, u32> = BTreeMap::new();
        let pool = &document.capacity.pool;
        for vm in built.vms.iter().filter(|vm| vm.home_pool == *pool) {
            *racks.entry(&vm.rack).or_default() += 1;
        }
        racks.into_values().max().unwrap_or(0) + shape.max_at_once
    });
    pools.sum()
}

/// The fleet as somebody would run it who knows all that will happen.
struct Hindsight<'a> {
    /// The pool of each VM.
    owner: BTreeMap<&'a id::Vm, id::Pool>,
    /// Runners by pool.
    runners: BTreeMap<id::Pool, u32>,
    /// Failures that last longer than the planner's patience.
    failures: Vec<&'a life::Failure>,
    moves: u64,
}

fn hindsight(shape: &fleet::Shape, built: &fleet::Built, life: &life::Life) -> u64 {
    let owners = built.vms.iter().map(|vm| (&vm.vm, vm.home_pool.clone()));
    let documents = built.documents.iter();
    let asked =
        documents.map(|document| (document.capacity.pool.clone(), document.capacity.runners));
    let long = |failure: &&life::Failure| failure.lasts_ms > pool::moves::REPLACE_AFTER_MS;
    let mut known = Hindsight {
        owner: owners.collect(),
        runners: asked.collect(),
        failures: life.failures.iter().filter(long).collect(),
        moves: 0,
    };
    let mut moments: Vec<u64> = life.edits.iter().map(|edit| edit.at_ms).collect();
    for failure in &known.failures {
        moments.push(failure.from_ms);
        moments.push(failure.from_ms + failure.lasts_ms);
    }
    moments.sort_unstable();
    for at_ms in moments {
        for edit in life.edits.iter().filter(|edit| edit.at_ms == at_ms) {
            known
                .runners
                .insert(fleet::pool(edit.document), edit.runners);
        }
        known.fill(at_ms);
        known.refill(at_ms, wanted(shape));
    }
    known.moves
}

impl<'a> Hindsight<'a> {
    fn up(&self, vm: &id::Vm, at_ms: u64) -> bool {
        !self.failures.iter().any(|failure| {
            failure.vm == *vm
                && (failure.from_ms..failure.from_ms + failure.lasts_ms).contains(&at_ms)
        })
    }

    fn serving(&self, pool: &id::Pool, at_ms: u64) -> Vec<&'a id::Vm> {
        let owned = self.owner.iter().filter(|(_, owner)| *owner == pool);
        owned
            .map(|(vm, _)| *vm)
            .filter(|vm| self.up(vm, at_ms))
            .collect()
    }

    /// When a VM fails next.
    fn next_failure(&self, vm: &id::Vm, at_ms: u64) -> u64 {
        let later = self
            .failures
            .iter()
            .filter(|failure| failure.vm == *vm && failure.from_ms > at_ms);
        later
            .map(|failure| failure.from_ms)
            .min()
            .unwrap_or(u64::MAX)
    }

    /// Moves VMs to the pools that lack some, from a surplus or else from the spare pool.
    fn fill(&mut self, at_ms: u64) {
        for (to, runners) in self.runners.clone() {
            while (self.serving(&to, at_ms).len() as u32) < runners {
                let donor = self
                    .surplus_vm(at_ms)
                    .or_else(|| self.last_to_fail(&spare(), at_ms));
                let Some(vm) = donor else { break };
                self.owner.insert(vm, to.clone());
                self.moves += 1;
            }
        }
    }

    /// Moves surplus VMs to the spare pool while it holds less than `wanted`.
    fn refill(&mut self, at_ms: u64, wanted: u32) {
        while (self.serving(&spare(), at_ms).len() as u32) < wanted {
            let Some(vm) = self.surplus_vm(at_ms) else {
                break;
            };
            self.owner.insert(vm, spare());
            self.moves += 1;
        }
    }

    /// The VM that fails last, of the pools that have more than they need.
    fn surplus_vm(&self, at_ms: u64) -> Option<&'a id::Vm> {
        let pools = self
            .runners
            .iter()
            .filter(|(pool, runners)| self.serving(pool, at_ms).len() as u32 > **runners);
        let candidates = pools.filter_map(|(pool, _)| self.last_to_fail(pool, at_ms));
        candidates.max_by_key(|vm| self.next_failure(vm, at_ms))
    }

    fn last_to_fail(&self, pool: &id::Pool, at_ms: u64) -> Option<&'a id::Vm> {
        let serving = self.serving(pool, at_ms).into_iter();
        serving.max_by_key(|vm| self.next_failure(vm, at_ms))
    }
}

fn spare() -> id::Pool {
    id::Pool::from(fleet::SPARE)
}
