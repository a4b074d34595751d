//! Implements the `job` command.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use http::{Method, StatusCode};
use indicatif::ProgressBar;
use serde::{Deserialize, Serialize};
use tokio::time;
use wasabiloft::job;

use crate::table;
use crate::util;

const USAGE: &str = "\
Submits, shows and cancels jobs.

Usage:
    wasabiloft job submit [--node IP:PORT] FILE...
    wasabiloft job list [--node IP:PORT] [--json]
    wasabiloft job show [--node IP:PORT] JOB
    wasabiloft job cancel [--node IP:PORT] --team TEAM JOB...
    wasabiloft job wait [--node IP:PORT] JOB...

A FILE holds one job in TOML: team, key, class, declared = { cpu_milli, memory_mib }, command, and optionally
urgency, idempotent, checkpointable, declared_run_ms. Submitting the same team and key again refers to the same job.
Cancelling a job that has ended removes it. 'wait' returns when all the jobs have ended, with 0 if all finished.

Options:
    --node IP:PORT    The entry node to call; default: WASABILOFT_NODE.
    --team TEAM       The team that owns the jobs.
    --json            Print JSON.
    -h, --help        Show this text.
";

const HEADING: [&str; 3] = ["JOB", "STATE", "REASON"];
/// Interval between polls of a job that `wait` waits for, in milliseconds.
const POLL_INTERVAL_MS: u64 = 500;

struct Args {
    node: Option<String>,
    team: Option<String>,
    json: bool,
    operands: Vec<String>,
}

/// Entry of a node's list of jobs.
#[derive(Debug, Serialize, Deserialize)]
struct JobEntry {
    job: String,
    state: String,
    reason: String,
    submitted_unix_ms: u64,
}

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    let Some(args) = parse(argv)? else {
        return Ok(util::help(USAGE));
    };
    let Some((action, names)) = args.operands.split_first() else {
        return Err(util::Error::usage(USAGE));
    };
    let address = util::node_address(args.node.as_deref())?;
    match (action.as_str(), names) {
        ("submit", [_, ..]) => submit(address, names),
        ("list", []) => list(address, args.json),
        ("show", [job]) => show(address, job),
        ("cancel", [_, ..]) => cancel(address, args.team.as_deref(), names),
        ("wait", [_, ..]) => util::block_on(wait(address, names)),
        _ => Err(util::Error::usage(USAGE)),
    }
}

fn parse(argv: &[OsString]) -> Result<Option<Args>, util::Error> {
    use lexopt::prelude::*;

    let mut args = Args {
        node: None,
        team: None,
        json: false,
        operands: Vec::new(),
    };
    let mut parser = util::parser(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("node") => args.node = Some(parser.value()?.string()?),
            Long("team") => args.team = Some(parser.value()?.string()?),
            Long("json") => args.json = true,
            Value(operand) => args.operands.push(operand.string()?),
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(args))
}

fn submit(address: SocketAddr, files: &[String]) -> Result<ExitCode, util::Error> {
    let mut specs = Vec::new();
    for file in files {
        specs.push((file, util::read_job(Path::new(file))?));
    }
    util::block_on(async {
        for (file, spec) in &specs {
            let body = util::Body::Json(util::to_json(spec)?);
            let response = util::call(address, Method::POST, "/-/jobs", None, body).await?;
            if !response.status().is_success() {
                let message = format!("{file}: {}", util::text(&response).trim());
                return Err(util::Error::failed(message));
            }
            println!("{}", spec.job());
        }
        Ok(ExitCode::SUCCESS)
    })
}

fn list(address: SocketAddr, json: bool) -> Result<ExitCode, util::Error> {
    let mut jobs: Vec<JobEntry> = Vec::new();
    loop {
        let after = jobs.last().map_or("", |entry| entry.job.as_str());
        let path = format!("/-/jobs?after={after}");
        let page: Vec<JobEntry> = util::get_json(Some(&address.to_string()), &path)?;
        if page.is_empty() {
            break;
        }
        jobs.extend(page);
    }
    if json {
        println!("{}", util::to_json(&jobs)?);
        return Ok(ExitCode::SUCCESS);
    }
    let rows = jobs
        .into_iter()
        .map(|entry| vec![entry.job, entry.state, entry.reason]);
    table::print(&HEADING, &rows.collect::<Vec<_>>())?;
    Ok(ExitCode::SUCCESS)
}

fn show(address: SocketAddr, job: &str) -> Result<ExitCode, util::Error> {
    let response = util::block_on(get(address, job))?;
    let value: serde_json::Value =
        serde_json::from_slice(response.as_bytes()).map_err(util::Error::failed)?;
    let pretty = serde_json::to_string_pretty(&value).map_err(util::Error::failed)?;
    println!("{pretty}");
    Ok(ExitCode::SUCCESS)
}

async fn get(address: SocketAddr, job: &str) -> Result<String, util::Error> {
    let path = format!("/-/jobs/{job}");
    let response = util::call(address, Method::GET, &path, None, util::Body::Empty).await?;
    match response.status() {
        StatusCode::OK => Ok(util::text(&response)),
        _ => Err(util::Error::failed(format!(
            "{job}: {}",
            util::text(&response).trim()
        ))),
    }
}

fn cancel(
    address: SocketAddr,
    team: Option<&str>,
    jobs: &[String],
) -> Result<ExitCode, util::Error> {
    let team = team.ok_or_else(|| {
        util::Error::usage("wasabiloft: name the team that owns the jobs with --team")
    })?;
    util::block_on(async {
        for job in jobs {
            let path = format!("/-/jobs/{job}?team={team}");
            let response =
                util::call(address, Method::DELETE, &path, None, util::Body::Empty).await?;
            if !response.status().is_success() {
                let message = format!("{job}: {}", util::text(&response).trim());
                return Err(util::Error::failed(message));
            }
        }
        Ok(ExitCode::SUCCESS)
    })
}

async fn wait(address: SocketAddr, jobs: &[String]) -> Result<ExitCode, util::Error> {
    let bar = ProgressBar::new(jobs.len() as u64);
    let mut all_finished = true;
    for job in jobs {
        let end = wait_for(address, job).await?;
        bar.inc(1);
        bar.suspend(|| println!("{job}\t{end}"));
        all_finished &= end == "finished";
    }
    bar.finish_and_clear();
    Ok(match all_finished {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

async fn wait_for(address: SocketAddr, job: &str) -> Result<String, util::Error> {
    loop {
        let row: job::Row =
            serde_json::from_str(&get(address, job).await?).map_err(util::Error::failed)?;
        if let job::State::Ended(end) = &row.state {
            return util::variant_name(end);
        }
        time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
