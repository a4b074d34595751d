//! `measure lease`: take-over of duties, paused holders, and the table's load at an outage's end.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use wasabiloft::clock;
use wasabiloft::control as decisions;
use wasabiloft_standins::control;

use crate::util;

const USAGE: &str = "\
Measures how long a duty is without a holder after its node died, after a graceful stop and after a pause, and what
reaches the table when an outage ends. The run ends with an error if two nodes hold a duty at once.

Usage:
    measure lease [OPTIONS]

Options:
    --nodes N        Entry nodes; 8 if not given.
    --duties N       Duties; 98 if not given.
    --rounds N       Nodes that die, that pause, and outages; 20 if not given.
    --faults         Lose and delay messages, requests and replies.
    --seed N         1 if not given.
";

/// The longest that the nodes may take to form a roster.
const FORM_MAX_MS: u64 = 20 * clock::MINUTE_MS;
/// Time in which a roster and its duties settle again.
const SETTLE_MS: u64 = 40 * clock::SECOND_MS;

struct Args {
    options: control::Options,
    rounds: u64,
    faults: bool,
}

#[derive(Debug, Serialize)]
struct Summary {
    nodes: usize,
    duties: usize,
    seed: u64,
    rounds: u64,
    faults: bool,
    vacant_after_death: util::Percentiles,
    vacant_after_pause: util::Percentiles,
    vacant_in_calm: util::Percentiles,
    outage_end_vacant: util::Percentiles,
    outage_peak_writes_per_s: u64,
    outage_peak_reads_per_s: u64,
    after_outage_peak_writes_per_s: u64,
    after_outage_peak_reads_per_s: u64,
    duties_of_busiest_node: usize,
    takeovers_at_outage_end: u64,
}

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), util::Error> {
    let Some(args) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    let mut rng = SmallRng::seed_from_u64(args.options.seed);
    let mut world = control::World::new(args.options);
    form(&mut world, args.options.nodes)?;
    if args.faults {
        world.faults = control::Faults {
            messages_lost: 5,
            messages_late: 2,
            requests_lost: 2,
            replies_lost: 2,
            requests_slow: 2,
            table_out: false,
        };
    }
    let busiest = busiest(&world);
    let mut calm = Vec::new();
    let mut deaths = Vec::new();
    let mut pauses = Vec::new();
    for _ in 0..args.rounds {
        world.take_longest_vacancy_ms();
        world.run_for(SETTLE_MS)?;
        calm.push(world.take_longest_vacancy_ms());
        deaths.push(die(&mut world, &mut rng)?);
        pauses.push(pause(&mut world, &mut rng)?);
    }
    let mut outages = Outages::default();
    for _ in 0..args.rounds.min(5) {
        outage(&mut world, &mut rng, &mut outages)?;
    }
    util::print_json(&Summary {
        nodes: args.options.nodes,
        duties: args.options.duties,
        seed: args.options.seed,
        rounds: args.rounds,
        faults: args.faults,
        vacant_after_death: util::Percentiles::of(deaths),
        vacant_after_pause: util::Percentiles::of(pauses),
        vacant_in_calm: util::Percentiles::of(calm),
        outage_end_vacant: util::Percentiles::of(outages.vacant_ms),
        outage_peak_writes_per_s: outages.during.0,
        outage_peak_reads_per_s: outages.during.1,
        after_outage_peak_writes_per_s: outages.after.0,
        after_outage_peak_reads_per_s: outages.after.1,
        duties_of_busiest_node: busiest,
        takeovers_at_outage_end: outages.takeovers,
    })
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Args>, util::Error> {
    use lexopt::prelude::*;

    let mut args = Args {
        options: control::Options {
            nodes: 8,
            seed: 1,
            duties: 98,
            spread: decisions::Spread::Push,
        },
        rounds: 20,
        faults: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("nodes") => args.options.nodes = parser.value()?.parse()?,
            Long("duties") => args.options.duties = parser.value()?.parse()?,
            Long("rounds") => args.rounds = parser.value()?.parse()?,
            Long("faults") => args.faults = true,
            Long("seed") => args.options.seed = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(args))
}

fn form(world: &mut control::World, nodes: usize) -> Result<(), util::Error> {
    while world.now().as_ms() < FORM_MAX_MS {
        world.run_for(100)?;
        let first = world.running()[0];
        if world.control(first).replica().roster().members.len() == nodes {
            break;
        }
    }
    world.run_for(2 * SETTLE_MS)?;
    Ok(())
}

fn busiest(world: &control::World) -> usize {
    let held = world
        .running()
        .into_iter()
        .map(|node| world.held(node).len());
    held.max().unwrap_or(0)
}

fn any(world: &control::World, rng: &mut SmallRng) -> control::NodeIndex {
    let running = world.running();
    running[rng.random_range(0..running.len())]
}

/// Lets a node die and, once its duties are taken over, replaces it.
fn die(world: &mut control::World, rng: &mut SmallRng) -> Result<u64, util::Error> {
    let node = any(world, rng);
    world.kill(node);
    world.run_for(SETTLE_MS / 2)?;
    let vacant_ms = world.take_longest_vacancy_ms();
    world.start(world.name(node));
    world.run_for(SETTLE_MS)?;
    Ok(vacant_ms)
}

fn pause(world: &mut control::World, rng: &mut SmallRng) -> Result<u64, util::Error> {
    world.take_longest_vacancy_ms();
    let node = any(world, rng);
    world.pause(node, rng.random_range(1_000..20_000));
    world.run_for(SETTLE_MS)?;
    Ok(world.take_longest_vacancy_ms())
}

/// What happened in outages.
#[derive(Debug, Default)]
struct Outages {
    during: (u64, u64),
    after: (u64, u64),
    vacant_ms: Vec<u64>,
    takeovers: u64,
}

fn outage(
    world: &mut control::World,
    rng: &mut SmallRng,
    outages: &mut Outages,
) -> Result<(), util::Error> {
    let epochs_before = world.epochs();
    let begin = world.now();
    world.faults.table_out = true;
    world.run_for(rng.random_range(clock::MINUTE_MS..4 * clock::MINUTE_MS))?;
    let during = world.peak_per_s(begin);
    world.take_longest_vacancy_ms();
    let end = world.now();
    world.faults.table_out = false;
    // The duties are held again soon after the end.
    let mut vacant_ms = 0;
    while world.vacant() > 0 && vacant_ms < SETTLE_MS {
        world.run_for(100)?;
        vacant_ms += 100;
    }
    world.run_for(SETTLE_MS)?;
    let after = world.peak_per_s(end);
    outages.during = (
        outages.during.0.max(during.0),
        outages.during.1.max(during.1),
    );
    outages.after = (outages.after.0.max(after.0), outages.after.1.max(after.1));
    outages.vacant_ms.push(vacant_ms);
    outages.takeovers += world.epochs() - epochs_before;
    world.take_longest_vacancy_ms();
    Ok(())
}
