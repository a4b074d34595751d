//! `measure slots`: slot use of many entry nodes against one ideal queue.

use std::ffi;

use lexopt::prelude::*;
use serde::Serialize;
use wasabiloft::{dispatch, slots};

use crate::entry;
use crate::load;
use crate::util;

const USAGE: &str = "\
Sends uneven load through the entry nodes and prints how much of the slots it used.

Three runs with the same load: slots that follow demand, slots that stay where they were dealt, and one
node that holds them all. The busiest node changes every 2 s.

Usage:
    measure slots [OPTIONS]

Options:
    --load-milli N    Load in thousandths of the slots. [default: 900]
    --busy-milli N    Thousandths of the load that come to the busiest node. [default: 700]
    --runners N       Runners of 8 slots. [default: 10]
    --nodes N         Entry nodes. [default: 8]
    --seed N          Seed of all chance. [default: 1]
";

/// Length of a turn, in milliseconds.
const TURN_MS: u64 = 2_000;
/// Turns of a run, the first of which only warms up.
const TURNS: usize = 9;

struct Args {
    load_milli: f64,
    busy_milli: f64,
    runners: usize,
    nodes: usize,
    seed: u64,
}

/// What one way of holding slots reached.
#[derive(Serialize)]
struct Reached {
    slot_use: f64,
    good_part: f64,
    p99_ms: f64,
    message_bytes_per_node_s: f64,
}

/// The result of the command.
#[derive(Serialize)]
struct Report {
    command: &'static str,
    seed: u64,
    load_milli: f64,
    busy_milli: f64,
    by_demand: Reached,
    fixed: Reached,
    ideal: Reached,
    by_demand_of_ideal: f64,
    fixed_of_ideal: f64,
}

/// Runs the command.
///
/// # Errors
///
/// If the command line is wrong.
pub fn run(argv: Vec<ffi::OsString>) -> Result<(), util::Error> {
    let Some(args) = parse(argv)? else {
        println!("{USAGE}");
        return Ok(());
    };
    let by_demand = reach(&args, args.nodes, slots::Rebalancing::ByDemand);
    let fixed = reach(&args, args.nodes, slots::Rebalancing::Fixed);
    let ideal = reach(&args, 1, slots::Rebalancing::Fixed);
    util::print_json(&Report {
        command: "slots",
        seed: args.seed,
        load_milli: args.load_milli,
        busy_milli: args.busy_milli,
        by_demand_of_ideal: util::round(by_demand.slot_use / ideal.slot_use),
        fixed_of_ideal: util::round(fixed.slot_use / ideal.slot_use),
        by_demand,
        fixed,
        ideal,
    })
}

fn parse(argv: Vec<ffi::OsString>) -> Result<Option<Args>, lexopt::Error> {
    let mut args = Args {
        load_milli: 900.0,
        busy_milli: 700.0,
        runners: 10,
        nodes: 8,
        seed: 1,
    };
    let mut parser = lexopt::Parser::from_args(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("load-milli") => args.load_milli = parser.value()?.parse()?,
            Long("busy-milli") => args.busy_milli = parser.value()?.parse()?,
            Long("runners") => args.runners = parser.value()?.parse()?,
            Long("nodes") => args.nodes = parser.value()?.parse()?,
            Long("seed") => args.seed = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(args))
}

fn reach(args: &Args, nodes: usize, passing: slots::Rebalancing) -> Reached {
    let mut kind = load::cadenas().remove(0);
    kind.demand_milli = args.load_milli;
    let settings = dispatch::Settings {
        passing,
        ..dispatch::Settings::default()
    };
    let config = entry::Config {
        policy: entry::Policy::Shares(settings),
        nodes,
        runners: args.runners,
        slots: 8,
        kinds: vec![kind],
        seed: args.seed,
    };
    let phases = (0..TURNS)
        .map(|turn| turn_phase(args, nodes, turn))
        .collect();
    let outcome = entry::run(config, phases);
    summary(args, nodes, &outcome)
}

fn turn_phase(args: &Args, nodes: usize, turn: usize) -> entry::Phase {
    let others = (1_000.0 - args.busy_milli) / (nodes.max(2) - 1) as f64;
    let mut node_weights = vec![others; nodes];
    node_weights[turn * 3 % nodes] = args.busy_milli;
    entry::Phase {
        length_ms: TURN_MS,
        factors: vec![1.0],
        node_weights,
    }
}

fn summary(args: &Args, nodes: usize, outcome: &entry::Outcome) -> Reached {
    let tallies = || outcome.tallies.iter().skip(1).map(|phase| &phase[0]);
    let offered: u64 = tallies().map(|tally| tally.offered).sum();
    let good: u64 = tallies().map(|tally| tally.good).sum();
    let good_us: u64 = tallies().map(|tally| tally.good_slot_us).sum();
    let slots = 8.0 * args.runners as f64;
    let capacity_us = slots * (TURN_MS * 1_000) as f64 * (TURNS - 1) as f64;
    let seconds = (TURN_MS as usize * TURNS) as f64 / 1_000.0;
    let bytes = outcome.message_bytes as f64 / seconds / nodes as f64;
    Reached {
        slot_use: util::round(good_us as f64 / capacity_us),
        good_part: util::round(good as f64 / offered.max(1) as f64),
        p99_ms: tallies().map(|tally| tally.p99_ms()).fold(0.0, f64::max),
        message_bytes_per_node_s: util::round(bytes),
    }
}
