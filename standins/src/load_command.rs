//! The command `load`.

use std::collections::{BTreeMap, HashMap};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use http::Method;
use serde::Serialize;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft_standins::client;
use wasabiloft_standins::deployment;
use wasabiloft_standins::load;

use crate::util;

const USAGE: &str = "\
Sends a deployment's load to entry nodes, checks the answers against the executions, and prints one JSON object.

Usage:
    standin load [OPTIONS] --platform IP:PORT --entry IP:PORT... DIR

Options:
    --platform IP:PORT    The stand-in platform, which knows the executions.
    --entry IP:PORT       An entry node; may be given several times.
    --run-s N             For how long; 10 if not given.
    --rate N              Requests of each kind, a second; 20 if not given.
    --service-us N        Mean time that an endpoint works on one; 5000 if not given.
    --flood KIND          SERVICE/KIND that floods in the second third of the run.
    --factor N            How much of its rate the flood is; 5 if not given.
    --seed N              Seed of the schedule; 1 if not given.
    -h, --help            Show this text.

Ends with 0 only if answers and executions agree.
";

struct Args {
    platform: String,
    entries: Vec<String>,
    dir: PathBuf,
    run_s: u64,
    rate: f64,
    service_us: u64,
    flood: Option<String>,
    factor: f64,
    seed: u64,
}

/// The result of a stream.
#[derive(Debug, Serialize)]
struct StreamResult {
    sent_total: u64,
    ran_total: u64,
    not_run_total: u64,
    may_have_run_total: u64,
    no_answer_total: u64,
    p50_us: u64,
    p99_us: u64,
    reasons: BTreeMap<String, u64>,
}

/// The result of a run.
#[derive(Debug, Serialize)]
struct Outcome {
    streams: BTreeMap<String, StreamResult>,
    #[serde(flatten)]
    breaches: load::Breaches,
}

pub fn run(argv: &[OsString]) -> Result<ExitCode, String> {
    let Some(args) = parse(argv).map_err(util::words)? else {
        print!("{USAGE}");
        return Ok(ExitCode::SUCCESS);
    };
    if args.entries.is_empty() || args.platform.is_empty() || args.dir.as_os_str().is_empty() {
        return Err(USAGE.to_owned());
    }
    let outcome = util::block_on(measure(&args))?;
    println!("{}", serde_json::to_string(&outcome).map_err(util::words)?);
    match outcome.breaches.is_clean() {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}

fn parse(argv: &[OsString]) -> Result<Option<Args>, lexopt::Error> {
    use lexopt::prelude::*;

    let mut args = Args {
        platform: String::new(),
        entries: Vec::new(),
        dir: PathBuf::new(),
        run_s: 10,
        rate: 20.0,
        service_us: 5_000,
        flood: None,
        factor: 5.0,
        seed: 1,
    };
    let mut parser = util::parser(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("platform") => args.platform = parser.value()?.string()?,
            Long("entry") => args.entries.push(parser.value()?.string()?),
            Long("run-s") => args.run_s = parser.value()?.parse()?,
            Long("rate") => args.rate = parser.value()?.parse()?,
            Long("service-us") => args.service_us = parser.value()?.parse()?,
            Long("flood") => args.flood = Some(parser.value()?.string()?),
            Long("factor") => args.factor = parser.value()?.parse()?,
            Long("seed") => args.seed = parser.value()?.parse()?,
            Value(value) => args.dir = PathBuf::from(value),
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(args))
}

async fn measure(args: &Args) -> Result<Outcome, String> {
    let platform = util::address(&args.platform)?;
    let entries: Result<Vec<SocketAddr>, String> = args
        .entries
        .iter()
        .map(|text| util::address(text))
        .collect();
    let stop = CancellationToken::new();
    let streams = streams(args)?;
    let sending = tokio::spawn(load::run(entries?, streams, args.seed, stop.clone()));
    time::sleep(Duration::from_secs(args.run_s)).await;
    stop.cancel();
    let answers = sending.await.map_err(util::words)?;
    let client = client::Client::default();
    let call = client.json(platform, Method::GET, "/executions", None::<&()>);
    let executions: HashMap<String, u32> = call.await.map_err(util::words)?;
    let breaches = answers.check(&executions);
    let streams = answers.streams.into_iter();
    let streams = streams.map(|(name, tally)| (name, result(tally))).collect();
    Ok(Outcome { streams, breaches })
}

fn streams(args: &Args) -> Result<Vec<load::Stream>, String> {
    let documents = deployment::read_documents(&args.dir).map_err(util::words)?;
    let mut streams = Vec::new();
    for (_, document) in &documents {
        for kind in &document.kinds {
            let mut stream = load::Stream::of(document, kind, args.rate);
            stream.service_us = args.service_us;
            if args.flood.as_ref() == Some(&stream.name) {
                stream.factors = vec![1.0, args.factor, 1.0];
                stream.step_ms = args.run_s * 1000 / 3;
            }
            streams.push(stream);
        }
    }
    Ok(streams)
}

fn result(tally: load::Tally) -> StreamResult {
    StreamResult {
        sent_total: tally.sent_total,
        ran_total: tally.ran_total,
        not_run_total: tally.not_run_total,
        may_have_run_total: tally.may_have_run_total,
        no_answer_total: tally.no_answer_total,
        p50_us: tally.quantile_us(0.5),
        p99_us: tally.quantile_us(0.99),
        reasons: tally.reasons,
    }
}
