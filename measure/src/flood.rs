//! `measure flood`: what the other kinds keep while some kinds flood in.

use std::collections::BTreeMap;
use std::ffi;

use lexopt::prelude::*;
use serde::Serialize;
use wasabiloft::{admission, dispatch, verdict};

use crate::entry;
use crate::load;
use crate::util;

const USAGE: &str = "\
Floods one service with some kinds of work and prints what each kind kept.

The run: 5 s to warm up, 15 s of mean load, 15 s of flood, 10 s of mean load. Ratios compare the flood
with the mean load of the same run; goodput counts whole answers in time. The fleet has recovered at the
end of the last 200 ms in which more than a hundredth of the requests was refused or late.

Usage:
    measure flood [OPTIONS]

Options:
    --flood KIND=FACTOR   A kind and what its load is multiplied by; may be repeated.
    --swing               In place of a flood: each kind in turn at 5 times its mean for 3 s, the others at 1/20.
    --load NAME           cadenas or tabua. [default: cadenas]
    --policy NAME         shares, fifo or fixed. [default: shares]
    --headroom MILLI      Thousandths of the slots that long flooding kinds leave free. [default: the library's]
    --runners N           Runners of 8 slots. [default: 10]
    --nodes N             Entry nodes. [default: 8]
    --seed N              Seed of all chance. [default: 1]
";

/// Lengths of the phases, in milliseconds: to warm up, mean load, flood, mean load.
const PHASES_MS: [u64; 4] = [5_000, 15_000, 15_000, 10_000];
/// Length of one kind's turn in a swing, in milliseconds.
const SWING_MS: u64 = 3_000;
/// What a kind's load is multiplied by in its turn, and outside of it.
const SWING_FACTORS: (f64, f64) = (5.0, 0.05);

struct Args {
    floods: Vec<(String, f64)>,
    swing: bool,
    load: String,
    policy: String,
    headroom: admission::Headroom,
    runners: usize,
    nodes: usize,
    seed: u64,
}

/// What one kind kept.
#[derive(Serialize)]
struct Kept {
    kind: &'static str,
    flooded: bool,
    offered: u64,
    good: u64,
    base_good_part: f64,
    good_part: f64,
    goodput_ratio: f64,
    base_p99_ms: f64,
    p99_ms: f64,
    p99_ratio: f64,
    refused: BTreeMap<verdict::Reason, u64>,
}

/// The result of a run.
#[derive(Serialize)]
struct Report {
    command: &'static str,
    policy: String,
    load: String,
    seed: u64,
    floods: Vec<(String, f64)>,
    kinds: Vec<Kept>,
    worst_goodput_ratio: f64,
    worst_p99_ratio: f64,
    flooded_goodput_of_capacity: f64,
    recovered_after_ms: u64,
    refusal_cost_of_served: f64,
    message_bytes_per_node_s: f64,
    tokens_passed_per_s: f64,
    asks_per_s: f64,
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
    let config = config(&args)?;
    let phases = phases(&args, &config)?;
    let outcome = entry::run(config.clone(), phases.clone());
    util::print_json(&report(&args, &config, &phases, &outcome))
}

fn parse(argv: Vec<ffi::OsString>) -> Result<Option<Args>, lexopt::Error> {
    let mut args = Args {
        floods: Vec::new(),
        swing: false,
        load: "cadenas".to_owned(),
        policy: "shares".to_owned(),
        headroom: admission::Headroom::default(),
        runners: 10,
        nodes: 8,
        seed: 1,
    };
    let mut parser = lexopt::Parser::from_args(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("flood") => args.floods.push(flood(&parser.value()?.string()?)?),
            Long("swing") => args.swing = true,
            Long("load") => args.load = parser.value()?.string()?,
            Long("policy") => args.policy = parser.value()?.string()?,
            Long("headroom") => {
                args.headroom = admission::Headroom {
                    long_milli: parser.value()?.parse()?,
                }
            }
            Long("runners") => args.runners = parser.value()?.parse()?,
            Long("nodes") => args.nodes = parser.value()?.parse()?,
            Long("seed") => args.seed = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(args))
}

fn flood(text: &str) -> Result<(String, f64), lexopt::Error> {
    let wrong = || lexopt::Error::from(format!("--flood wants KIND=FACTOR, not {text}"));
    let (kind, factor) = text.split_once('=').ok_or_else(wrong)?;
    let factor = factor.parse().map_err(|_| wrong())?;
    Ok((kind.to_owned(), factor))
}

fn config(args: &Args) -> Result<entry::Config, lexopt::Error> {
    let settings = dispatch::Settings {
        headroom: args.headroom,
        ..dispatch::Settings::default()
    };
    let policy = match args.policy.as_str() {
        "shares" => entry::Policy::Shares(settings),
        "fifo" => entry::Policy::Fifo,
        "fixed" => entry::Policy::Fixed,
        other => return usage(format!("no policy is called {other}")),
    };
    let kinds = match args.load.as_str() {
        "cadenas" => load::cadenas(),
        "tabua" => load::tabua(),
        other => return usage(format!("no load is called {other}")),
    };
    Ok(entry::Config {
        policy,
        nodes: args.nodes,
        runners: args.runners,
        slots: 8,
        kinds,
        seed: args.seed,
    })
}

fn usage<T>(message: String) -> Result<T, lexopt::Error> {
    Err(message.into())
}

fn phases(args: &Args, config: &entry::Config) -> Result<Vec<entry::Phase>, lexopt::Error> {
    let phase = |length_ms, factors| entry::Phase {
        length_ms,
        factors,
        node_weights: vec![1.0; config.nodes],
    };
    let mean = vec![1.0; config.kinds.len()];
    let mut phases = vec![
        phase(PHASES_MS[0], mean.clone()),
        phase(PHASES_MS[1], mean.clone()),
    ];
    if args.swing {
        for turn in 0..config.kinds.len() {
            let mut factors = vec![SWING_FACTORS.1; config.kinds.len()];
            factors[turn] = SWING_FACTORS.0;
            phases.push(phase(SWING_MS, factors));
        }
    } else {
        let mut factors = mean.clone();
        for (name, factor) in &args.floods {
            match config.kinds.iter().position(|kind| kind.name == name) {
                Some(index) => factors[index] = *factor,
                None => return usage(format!("no kind is called {name}")),
            }
        }
        phases.push(phase(PHASES_MS[2], factors));
    }
    phases.push(phase(PHASES_MS[3], mean));
    Ok(phases)
}

fn report(
    args: &Args,
    config: &entry::Config,
    phases: &[entry::Phase],
    outcome: &entry::Outcome,
) -> Report {
    let last = phases.len() - 1;
    let kinds: Vec<Kept> = (0..config.kinds.len())
        .map(|kind| kept(config, phases, outcome, kind))
        .collect();
    let others = || kinds.iter().filter(|kept| !kept.flooded);
    let cost = outcome.cost;
    let refused_ns = cost.refused_ns as f64 / cost.refused.max(1) as f64;
    let started_ns = cost.started_ns as f64 / cost.started.max(1) as f64;
    let seconds = phases.iter().map(|phase| phase.length_ms).sum::<u64>() as f64 / 1_000.0;
    let bytes = outcome.message_bytes as f64 / seconds / config.nodes as f64;
    Report {
        command: "flood",
        policy: args.policy.clone(),
        load: args.load.clone(),
        seed: args.seed,
        floods: args.floods.clone(),
        worst_goodput_ratio: others()
            .map(|kept| kept.goodput_ratio)
            .fold(f64::INFINITY, f64::min),
        worst_p99_ratio: others().map(|kept| kept.p99_ratio).fold(0.0, f64::max),
        flooded_goodput_of_capacity: util::round(of_capacity(config, phases, outcome)),
        recovered_after_ms: recovered_after_ms(outcome, last),
        refusal_cost_of_served: util::round(refused_ns / started_ns),
        message_bytes_per_node_s: util::round(bytes),
        tokens_passed_per_s: util::round(outcome.given as f64 / seconds),
        asks_per_s: util::round(outcome.asks as f64 / seconds),
        kinds,
    }
}

/// What a kind kept over all phases between the first mean load and the last one.
fn kept(
    config: &entry::Config,
    phases: &[entry::Phase],
    outcome: &entry::Outcome,
    kind: usize,
) -> Kept {
    let base = &outcome.tallies[1][kind];
    let middle = 2..phases.len() - 1;
    let worst = middle
        .clone()
        .map(|phase| &outcome.tallies[phase][kind])
        .max_by(|a, b| a.p99_ms().total_cmp(&b.p99_ms()))
        .unwrap_or(base);
    let tallies = || middle.clone().map(|phase| &outcome.tallies[phase][kind]);
    let offered = tallies().map(|tally| tally.offered).sum::<u64>();
    let good = tallies().map(|tally| tally.good).sum::<u64>();
    let good_part = good as f64 / offered.max(1) as f64;
    let mut refused = BTreeMap::new();
    for (reason, count) in tallies().flat_map(|tally| &tally.refused) {
        *refused.entry(*reason).or_insert(0) += count;
    }
    Kept {
        kind: config.kinds[kind].name,
        flooded: phases[2..phases.len() - 1]
            .iter()
            .any(|phase| phase.factors[kind] > 1.0),
        offered,
        good,
        base_good_part: util::round(base.good_part()),
        good_part: util::round(good_part),
        goodput_ratio: util::round(good_part / base.good_part()),
        base_p99_ms: base.p99_ms(),
        p99_ms: worst.p99_ms(),
        p99_ratio: util::round(worst.p99_ms() / base.p99_ms()),
        refused,
    }
}

/// The end of the last window of a phase in which more than a hundredth of the requests was refused or late.
fn recovered_after_ms(outcome: &entry::Outcome, phase: usize) -> u64 {
    let windows = &outcome.windows[phase];
    let bad = windows
        .iter()
        .rposition(|window| window.bad * 100 > window.sent);
    bad.map_or(0, |index| (index as u64 + 1) * entry::WINDOW_MS)
}

/// The good slot time of flooded kinds against what the other kinds leave of the pool, or against all that was offered
/// if that is less; zero if the others leave nothing.
fn of_capacity(config: &entry::Config, phases: &[entry::Phase], outcome: &entry::Outcome) -> f64 {
    let slots = config.slots as f64 * config.runners as f64;
    let (mut good_us, mut possible_us) = (0.0, 0.0);
    for (index, phase) in phases.iter().enumerate().take(phases.len() - 1).skip(2) {
        let mut left_us: f64 = slots * phase.length_ms as f64 * 1_000.0;
        let mut offered_us = 0.0;
        for (kind, tally) in outcome.tallies[index].iter().enumerate() {
            if phase.factors[kind] > 1.0 {
                let base = &outcome.tallies[1][kind];
                offered_us += tally.offered as f64 * base.mean_slot_us();
                good_us += tally.good_slot_us as f64;
            } else {
                left_us -= tally.slot_us as f64;
            }
        }
        possible_us += left_us.max(0.0).min(offered_us);
    }
    if possible_us > 0.0 {
        good_us / possible_us
    } else {
        0.0
    }
}
