//! `measure search`: searches for histories that break the rules, with the real decision code in a simulated deployment.

mod answers;
mod check;
mod commands;
mod commits;
mod draw;
mod exhaustive;
mod faults;
mod follower;
mod history;
mod network;
mod node;
mod platform;
mod release;
mod runner;
mod shell;
mod shrink;
mod term;
mod world;

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::util;

const USAGE: &str = "\
Searches for histories that run a task twice, or break another rule, with the batch scheduler in a simulated deployment.

Usage:
    measure search [OPTIONS]

Options:
    --nodes N        Nodes that can lead; 1 if not given.
    --runs N         Histories to draw; 1,000 if neither this nor --seconds is given.
    --seconds N      Draws histories for this long instead.
    --exhaustive N   Runs all histories of a small deployment with at most N faults instead.
    --threads N      1 if not given.
    --seed N         1 if not given.
    --without LIST   Names of faults that don't happen, separated by commas; with `fences`, workers carry out commands of
                     replaced leaders.
    --found N        Shrinks and prints at most so many histories, of different kinds; 8 if not given.
    --replay JSON    Runs this history and prints what happens instead.
";

struct Args {
    nodes: usize,
    runs: Option<u64>,
    seconds: Option<u64>,
    threads: u64,
    seed: u64,
    without: Vec<String>,
    found: usize,
    replay: Option<String>,
    exhaustive: Option<u32>,
}

impl Args {
    fn parse(argv: Vec<std::ffi::OsString>) -> Result<Option<Self>, util::Error> {
        use lexopt::prelude::{Long, Short, ValueExt};
        let mut args = Self {
            nodes: 1,
            runs: None,
            seconds: None,
            threads: 1,
            seed: 1,
            without: Vec::new(),
            found: 8,
            replay: None,
            exhaustive: None,
        };
        let mut parser = lexopt::Parser::from_args(argv);
        while let Some(arg) = parser.next()? {
            match arg {
                Long("nodes") => args.nodes = parser.value()?.parse()?,
                Long("runs") => args.runs = Some(parser.value()?.parse()?),
                Long("seconds") => args.seconds = Some(parser.value()?.parse()?),
                Long("exhaustive") => args.exhaustive = Some(parser.value()?.parse()?),
                Long("threads") => args.threads = parser.value()?.parse()?,
                Long("seed") => args.seed = parser.value()?.parse()?,
                Long("without") => {
                    let list = parser.value()?.string()?;
                    args.without = list.split(',').map(str::to_owned).collect();
                }
                Long("found") => args.found = parser.value()?.parse()?,
                Long("replay") => args.replay = Some(parser.value()?.string()?),
                Long("help") | Short('h') => return Ok(None),
                _ => return Err(arg.unexpected().into()),
            }
        }
        Ok(Some(args))
    }
}

/// A shrunk history that breaks a rule.
#[derive(Debug, Serialize)]
struct Found {
    rule: &'static str,
    at_ms: u64,
    seed: u64,
    run: u64,
    history: history::History,
    lines: Vec<String>,
}

#[derive(Debug, Serialize)]
struct Summary {
    seed: u64,
    nodes: usize,
    without: Vec<String>,
    runs: u64,
    /// Different states of an exhaustive search.
    #[serde(skip_serializing_if = "Option::is_none")]
    states: Option<u64>,
    /// Maximum number of faults in an exhaustive search.
    #[serde(skip_serializing_if = "Option::is_none")]
    depth: Option<u32>,
    violations: u64,
    by_rule: BTreeMap<&'static str, u64>,
    found: Vec<Found>,
}

/// Runs the command.
///
/// # Errors
///
/// Fails for an invalid command line or if the result can't be written.
pub fn run(argv: Vec<std::ffi::OsString>) -> Result<(), util::Error> {
    let Some(args) = Args::parse(argv)? else {
        print!("{USAGE}");
        return Ok(());
    };
    if let Some(text) = &args.replay {
        return replay(&serde_json::from_str(text)?);
    }
    let summary = match args.exhaustive {
        Some(depth) => search_all(&args, depth),
        None => search(&args),
    };
    util::print_json(&summary)
}

/// The result of a replay.
#[derive(Debug, Serialize)]
struct Replay {
    violations: Vec<String>,
    trace: Vec<String>,
}

fn replay(history: &history::History) -> Result<(), util::Error> {
    let mut world = world::World::new(history.clone(), true);
    world.run();
    let violations = world.checks.violations.iter();
    util::print_json(&Replay {
        violations: violations
            .map(|seen| format!("{} ms: {} {}", seen.at_ms, seen.rule, seen.text))
            .collect(),
        trace: world.trace.take().unwrap_or_default(),
    })
}

/// Histories of one thread that break a rule, by the number of the run.
struct Broken {
    run: u64,
    rule: &'static str,
    history: history::History,
}

fn search(args: &Args) -> Summary {
    let until = args
        .seconds
        .map(|seconds| Instant::now() + Duration::from_secs(seconds));
    let runs = args
        .runs
        .unwrap_or(if until.is_some() { u64::MAX } else { 1_000 });
    let threads = args.threads.max(1);
    let parts: Vec<(u64, Vec<Broken>)> = thread::scope(|scope| {
        let handles: Vec<_> = (0..threads)
            .map(|first| scope.spawn(move || search_part(args, first, runs, until)))
            .collect();
        let parts = handles.into_iter().map(thread::ScopedJoinHandle::join);
        parts
            .map(|part| part.unwrap_or_else(|panic| std::panic::resume_unwind(panic)))
            .collect()
    });
    let runs = parts.iter().map(|(runs, _)| runs).sum();
    let mut broken: Vec<Broken> = parts.into_iter().flat_map(|(_, broken)| broken).collect();
    broken.sort_by_key(|broken| broken.run);
    summary(args, runs, &broken)
}

fn search_all(args: &Args, depth: u32) -> Summary {
    let outcome = exhaustive::run(args.nodes, depth, args.threads.max(1));
    let broken = outcome.broken.into_iter();
    let mut broken: Vec<Broken> = broken
        .map(|(rule, history)| Broken {
            run: 0,
            rule,
            history,
        })
        .collect();
    broken.sort_by_key(|broken| broken.history.faults.len());
    Summary {
        states: Some(outcome.states),
        depth: Some(depth),
        ..summary(args, outcome.runs, &broken)
    }
}

fn summary(args: &Args, runs: u64, broken: &[Broken]) -> Summary {
    let mut by_rule: BTreeMap<&'static str, u64> = BTreeMap::new();
    for broken in broken {
        *by_rule.entry(broken.rule).or_default() += 1;
    }
    Summary {
        states: None,
        depth: None,
        seed: args.seed,
        nodes: args.nodes,
        without: args.without.clone(),
        runs,
        violations: broken.len() as u64,
        by_rule,
        found: shrink_all(args, broken),
    }
}

fn search_part(args: &Args, first: u64, runs: u64, until: Option<Instant>) -> (u64, Vec<Broken>) {
    let mut broken = Vec::new();
    let mut done = 0;
    let mut run = first;
    while run < runs && until.is_none_or(|until| Instant::now() < until) {
        let mut rng = SmallRng::seed_from_u64(args.seed.wrapping_mul(1 << 32).wrapping_add(run));
        let history = history::History::draw(&mut rng, args.nodes, &args.without);
        if let Some(violation) = shrink::first_violation(&history) {
            broken.push(Broken {
                run,
                rule: violation.rule,
                history,
            });
        }
        done += 1;
        run += args.threads.max(1);
    }
    (done, broken)
}

/// Shrinks broken histories; of those that consist of the same kinds of faults only the first is kept.
fn shrink_all(args: &Args, broken: &[Broken]) -> Vec<Found> {
    let mut found: Vec<Found> = Vec::new();
    let mut kinds: Vec<Vec<&'static str>> = Vec::new();
    for broken in broken {
        if found.len() >= args.found {
            break;
        }
        let history = shrink::shrink(&broken.history, broken.rule);
        let kind = shrink::signature(&history);
        if kinds.contains(&kind) {
            continue;
        }
        kinds.push(kind);
        let mut world = world::World::new(history.clone(), true);
        world.run();
        found.push(Found {
            rule: broken.rule,
            at_ms: world.now_ms,
            seed: args.seed,
            run: broken.run,
            history,
            lines: world.trace.take().unwrap_or_default(),
        });
    }
    found
}
