//! `measure config`: lag and cost of configuration changes.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use wasabiloft::clock;
use wasabiloft::config::edit;
use wasabiloft::control as decisions;
use wasabiloft::id;
use wasabiloft_standins::control;

use crate::util;

const USAGE: &str = "\
Measures how long changes of configuration take to be accepted and to be in force on every node, and what the
control part of a node costs. The run ends with an error if a node goes back or serves on what is outdated.

Usage:
    measure config [OPTIONS]

Options:
    --nodes N        Entry nodes; 8 if not given.
    --minutes N      Length of the steady part, in virtual minutes; 20 if not given.
    --changes N      Changes a day; 1600 if not given.
    --burst N        Changes at once, after the steady part; 0 if not given.
    --spread WAY     push, piggyback or announce; push if not given.
    --faults         Lose and delay messages, requests and replies, and cut a node off now and then.
    --seed N         1 if not given.
";

/// Services whose documents are changed.
const SERVICES: usize = 82;
/// The length of a document's text, in bytes.
const TEXT_BYTES: usize = 1_200;
/// The longest that the nodes may take to form a roster.
const FORM_MAX_MS: u64 = 20 * clock::MINUTE_MS;

struct Args {
    options: control::Options,
    minutes: u64,
    changes_per_day: u64,
    burst: usize,
    faults: bool,
}

/// Rates of one node.
#[derive(Debug, Serialize)]
struct PerNode {
    messages_per_s: f64,
    sent_bytes_per_s: f64,
    table_reads_per_s: f64,
    table_read_bytes_per_s: f64,
    table_writes_per_s: f64,
    cpu_core_percent: f64,
}

#[derive(Debug, Serialize)]
struct Summary {
    nodes: usize,
    seed: u64,
    spread: String,
    faults: bool,
    formed_after_ms: u64,
    changes: usize,
    raced: usize,
    unsettled: usize,
    made_to_accepted: util::Percentiles,
    made_to_in_force: util::Percentiles,
    accepted_to_in_force: util::Percentiles,
    longest_outdated_while_serving_ms: u64,
    burst_made_to_accepted: util::Percentiles,
    burst_made_to_in_force: util::Percentiles,
    peak_table_writes_per_s: u64,
    peak_table_reads_per_s: u64,
    per_node: PerNode,
}

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), util::Error> {
    let Some(args) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    let mut rng = SmallRng::seed_from_u64(args.options.seed);
    let mut world = control::World::new(args.options);
    let formed_after_ms = form(&mut world, args.options.nodes)?;
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
    let since = world.now();
    let before = traffic(&world);
    steady(&mut world, &mut rng, &args)?;
    let per_node = per_node(
        before,
        traffic(&world),
        args.options.nodes,
        world.now().since_ms(since),
    );
    let steady_edits = world.edits().len();
    burst(&mut world, &mut rng, args.burst)?;
    let (steady, bursts) = world.edits().split_at(steady_edits);
    let (peak_writes, peak_reads) = world.peak_per_s(since);
    util::print_json(&Summary {
        nodes: args.options.nodes,
        seed: args.options.seed,
        spread: format!("{:?}", args.options.spread).to_lowercase(),
        faults: args.faults,
        formed_after_ms,
        changes: world.edits().len(),
        raced: count(world.edits(), |status| {
            matches!(status, edit::Status::Raced(_))
        }),
        unsettled: count(world.edits(), |status| {
            !matches!(status, edit::Status::Raced(_) | edit::Status::Accepted(_))
        }),
        made_to_accepted: made_to_accepted(steady),
        made_to_in_force: made_to_in_force(steady),
        accepted_to_in_force: accepted_to_in_force(world.edits()),
        longest_outdated_while_serving_ms: world.longest_outdated_ms(),
        burst_made_to_accepted: made_to_accepted(bursts),
        burst_made_to_in_force: made_to_in_force(bursts),
        peak_table_writes_per_s: peak_writes,
        peak_table_reads_per_s: peak_reads,
        per_node,
    })
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Args>, util::Error> {
    use lexopt::prelude::*;

    let mut args = Args {
        options: control::Options {
            nodes: 8,
            seed: 1,
            duties: 0,
            spread: decisions::Spread::Push,
        },
        minutes: 20,
        changes_per_day: 1_600,
        burst: 0,
        faults: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("nodes") => args.options.nodes = parser.value()?.parse()?,
            Long("seed") => args.options.seed = parser.value()?.parse()?,
            Long("minutes") => args.minutes = parser.value()?.parse()?,
            Long("changes") => args.changes_per_day = parser.value()?.parse()?,
            Long("burst") => args.burst = parser.value()?.parse()?,
            Long("faults") => args.faults = true,
            Long("spread") => args.options.spread = parser.value()?.parse_with(spread)?,
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    args.options.duties = SERVICES;
    Ok(Some(args))
}

fn spread(name: &str) -> Result<decisions::Spread, &'static str> {
    match name {
        "push" => Ok(decisions::Spread::Push),
        "piggyback" => Ok(decisions::Spread::Piggyback),
        "announce" => Ok(decisions::Spread::Announce),
        _ => Err("not push, piggyback or announce"),
    }
}

/// Runs until all nodes are in the roster and know it; returns how long that took.
fn form(world: &mut control::World, nodes: usize) -> Result<u64, util::Error> {
    while world.now().as_ms() < FORM_MAX_MS {
        world.run_for(100)?;
        let whole = world
            .running()
            .iter()
            .all(|node| world.control(*node).replica().roster().members.len() == nodes);
        if whole {
            break;
        }
    }
    let formed_after_ms = world.now().as_ms();
    // The duties settle too before anything is counted.
    world.run_for(clock::MINUTE_MS)?;
    Ok(formed_after_ms)
}

fn steady(world: &mut control::World, rng: &mut SmallRng, args: &Args) -> Result<(), util::Error> {
    let end = world.now().after_ms(args.minutes * clock::MINUTE_MS);
    let mean_ms = clock::DAY_MS / args.changes_per_day.max(1);
    while world.now() < end {
        let wait_ms = rng
            .random_range(0..=2 * mean_ms)
            .min(end.since_ms(world.now()));
        world.run_for(wait_ms)?;
        if args.faults {
            disturb(world, rng);
        }
        change(world, rng);
    }
    for node in world.running() {
        world.cut(node, 0, true);
    }
    world.run_for(30 * clock::SECOND_MS)?;
    Ok(())
}

/// Cuts a node off from its peers, from the table or from both, and heals the others.
fn disturb(world: &mut control::World, rng: &mut SmallRng) {
    let running = world.running();
    for node in &running {
        world.cut(*node, 0, true);
    }
    let node = running[rng.random_range(0..running.len())];
    world.cut(node, rng.random_range(0..2), rng.random());
}

fn change(world: &mut control::World, rng: &mut SmallRng) {
    let running = world.running();
    let node = running[rng.random_range(0..running.len())];
    let service = id::Service::from(format!("service-{}", rng.random_range(0..SERVICES)));
    let documents = world.control(node).replica().documents();
    let if_match = documents.get(&service).map_or(0, |version| version.head);
    world.edit(node, &service, if_match, &"x".repeat(TEXT_BYTES));
}

fn burst(
    world: &mut control::World,
    rng: &mut SmallRng,
    changes: usize,
) -> Result<(), util::Error> {
    if changes == 0 {
        return Ok(());
    }
    for _ in 0..changes {
        change(world, rng);
    }
    world.run_for(2 * clock::MINUTE_MS)?;
    Ok(())
}

fn traffic(world: &control::World) -> control::Traffic {
    let mut sum = control::Traffic::default();
    for node in world.running() {
        let traffic = world.traffic(node);
        sum.messages += traffic.messages;
        sum.bytes += traffic.bytes;
        sum.writes += traffic.writes;
        sum.reads += traffic.reads;
        sum.read_bytes += traffic.read_bytes;
        sum.cpu_ns += traffic.cpu_ns;
    }
    sum
}

fn per_node(
    before: control::Traffic,
    after: control::Traffic,
    nodes: usize,
    passed_ms: u64,
) -> PerNode {
    let rate = |before: u64, after: u64| {
        (after - before) as f64 / nodes as f64 / (passed_ms as f64 / clock::SECOND_MS as f64)
    };
    PerNode {
        messages_per_s: rate(before.messages, after.messages),
        sent_bytes_per_s: rate(before.bytes, after.bytes),
        table_reads_per_s: rate(before.reads, after.reads),
        table_read_bytes_per_s: rate(before.read_bytes, after.read_bytes),
        table_writes_per_s: rate(before.writes, after.writes),
        cpu_core_percent: rate(before.cpu_ns, after.cpu_ns) / 1e9 * 100.0,
    }
}

fn count<F>(edits: &[control::Edit], is_counted: F) -> usize
where
    F: Fn(&edit::Status) -> bool,
{
    edits.iter().filter(|edit| is_counted(&edit.status)).count()
}

fn made_to_accepted(edits: &[control::Edit]) -> util::Percentiles {
    let accepted = edits.iter().filter_map(|edit| {
        let accepted_at = edit.accepted_at?;
        Some(accepted_at.since_ms(edit.made_at))
    });
    util::Percentiles::of(accepted.collect())
}

fn made_to_in_force(edits: &[control::Edit]) -> util::Percentiles {
    let lags = edits.iter().flat_map(|edit| {
        edit.in_force_at
            .values()
            .map(|at| at.since_ms(edit.made_at))
    });
    util::Percentiles::of(lags.collect())
}

fn accepted_to_in_force(edits: &[control::Edit]) -> util::Percentiles {
    let lags = edits
        .iter()
        .filter_map(|edit| Some((edit, edit.accepted_at?)));
    let lags = lags.flat_map(|(edit, accepted_at)| {
        edit.in_force_at
            .values()
            .map(move |at| at.since_ms(accepted_at))
    });
    util::Percentiles::of(lags.collect())
}
