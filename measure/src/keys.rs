//! `measure keys`: at-most-once by idempotency key.

use std::ffi;

use lexopt::ValueExt;
use serde::Serialize;

use crate::keys_world;

const USAGE: &str = "\
Runs idempotency keys over eight nodes with faults, and checks that no key runs twice.

Usage:
    measure keys [options]

Options:
    --scene <name>    calm, faults, outage, cut, partition (default: faults)
    --seed <n>        First seed (default: 1)
    --seeds <n>       Number of seeds, one after the other (default: 1)
    --seconds <n>     Length of the part with faults (default: 30)
    --rate <n>        First attempts a second (default: 50)
    --nodes <n>       Entry VMs (default: 8)
    -h, --help        Show this text";

#[derive(Debug)]
struct Args {
    scene: String,
    seed: u64,
    seeds: u64,
    seconds: u64,
    rate: u64,
    nodes: usize,
}

/// What the runs of one call showed, added up.
#[derive(Debug, Default, Serialize)]
struct Summary {
    scene: String,
    seed: u64,
    seeds: u64,
    nodes: usize,
    attempts: u64,
    first: u64,
    first_ran: u64,
    outage_first: u64,
    outage_first_ran: u64,
    runs: u64,
    replays: u64,
    refusals: std::collections::BTreeMap<String, u64>,
    transactions_per_run: f64,
    rows_per_run: f64,
    transactions_per_s: f64,
    reads_per_s: f64,
    messages_per_attempt: f64,
    grant_wait_p50_ms: u64,
    grant_wait_p99_ms: u64,
    view_changes: u64,
    doubtful_shards: u64,
    violations: Vec<String>,
}

/// Runs the command.
pub fn run(argv: Vec<ffi::OsString>) -> Result<(), lexopt::Error> {
    let Some(args) = parse(argv)? else {
        println!("{USAGE}");
        return Ok(());
    };
    let summary = measure(&args);
    let text = serde_json::to_string(&summary).map_err(|error| error.to_string())?;
    println!("{text}");
    if summary.violations.is_empty() {
        Ok(())
    } else {
        Err("an invariant was broken".into())
    }
}

fn parse(argv: Vec<ffi::OsString>) -> Result<Option<Args>, lexopt::Error> {
    let mut args = Args {
        scene: "faults".to_string(),
        seed: 1,
        seeds: 1,
        seconds: 30,
        rate: 50,
        nodes: 8,
    };
    let mut parser = lexopt::Parser::from_args(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("scene") => args.scene = parser.value()?.string()?,
            lexopt::Arg::Long("seed") => args.seed = parser.value()?.parse()?,
            lexopt::Arg::Long("seeds") => args.seeds = parser.value()?.parse()?,
            lexopt::Arg::Long("seconds") => args.seconds = parser.value()?.parse()?,
            lexopt::Arg::Long("rate") => args.rate = parser.value()?.parse()?,
            lexopt::Arg::Long("nodes") => args.nodes = parser.value()?.parse()?,
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    if !["calm", "faults", "outage", "cut", "partition"].contains(&args.scene.as_str()) {
        return Err(format!("no scene is called '{}'", args.scene).into());
    }
    Ok(Some(args))
}

fn measure(args: &Args) -> Summary {
    let mut summary = Summary {
        scene: args.scene.clone(),
        seed: args.seed,
        seeds: args.seeds,
        nodes: args.nodes,
        ..Summary::default()
    };
    let mut transactions = 0;
    let mut rows = 0;
    let mut reads = 0;
    let mut messages = 0;
    let mut waits = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        let report = keys_world::run(plan(args), seed);
        transactions += report.transactions;
        rows += report.rows_written;
        reads += report.reads;
        messages += report.messages;
        waits.extend(&report.grant_wait_ms);
        add(&mut summary, report, seed);
    }
    waits.sort_unstable();
    let seconds = (2 * args.seconds * args.seeds) as f64;
    summary.transactions_per_run = ratio(transactions, summary.runs);
    summary.rows_per_run = ratio(rows, summary.runs);
    summary.transactions_per_s = transactions as f64 / seconds;
    summary.reads_per_s = reads as f64 / seconds;
    summary.messages_per_attempt = ratio(messages, summary.attempts);
    summary.grant_wait_p50_ms = percentile(&waits, 50);
    summary.grant_wait_p99_ms = percentile(&waits, 99);
    summary
}

fn add(summary: &mut Summary, report: keys_world::Report, seed: u64) {
    summary.attempts += report.attempts;
    summary.first += report.first;
    summary.first_ran += report.first_ran;
    summary.outage_first += report.outage_first;
    summary.outage_first_ran += report.outage_first_ran;
    summary.runs += report.runs;
    summary.replays += report.replays;
    summary.view_changes += report.view_changes;
    summary.doubtful_shards += report.doubtful;
    for (reason, count) in report.refusals {
        *summary.refusals.entry(reason).or_default() += count;
    }
    let named = report.violations.into_iter();
    summary
        .violations
        .extend(named.map(|text| format!("seed {seed}, {text}")));
}

fn plan(args: &Args) -> keys_world::Plan {
    let faulty_ms = args.seconds * 1_000;
    let mut plan = keys_world::Plan {
        nodes: args.nodes,
        faulty_ms,
        keys_per_s: args.rate,
        repeat: 0.3,
        loss: 0.0,
        duplicate: 0.0,
        reply_loss: 0.0,
        kill_every_ms: 0,
        pause_every_ms: 0,
        outages: Vec::new(),
        cut_nodes: Vec::new(),
        isolated_nodes: Vec::new(),
        settings: wasabiloft::idempotency::Settings::default(),
    };
    let outage = (faulty_ms / 3, faulty_ms);
    match args.scene.as_str() {
        "calm" => {}
        "outage" => plan.outages = vec![outage],
        _ => {
            plan.loss = 0.05;
            plan.duplicate = 0.05;
            plan.reply_loss = 0.05;
            plan.kill_every_ms = faulty_ms / 4;
            plan.pause_every_ms = faulty_ms / 4;
            plan.outages = vec![outage];
        }
    }
    if args.scene == "cut" {
        plan.cut_nodes = (0..args.nodes / 2).collect();
    }
    if args.scene == "partition" {
        plan.isolated_nodes = (0..args.nodes / 3).collect();
    }
    plan
}

fn ratio(count: u64, of: u64) -> f64 {
    count as f64 / of.max(1) as f64
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let at = sorted.len() * percent / 100;
    sorted.get(at).copied().unwrap_or_default()
}
