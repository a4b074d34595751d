//! Runners crash in turn, one of eight at a time. Jobs whose tasks ran there are given up, although no run has failed.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::json::Json;
use crate::record::Record;
use crate::runner::{Kind, Stopped};
use crate::world::{DEADLINE_MS, Plan, World};

/// Runners, of which one is down at a time: an eighth, below the 0.14 of the site file.
const RUNNERS: usize = 8;
/// Crashes.
const CRASHES: usize = 20;
/// Time between two crashes, in milliseconds.
const INTERVAL_MS: u64 = 1_500;
/// How long a runner is down, in milliseconds.
const DOWN_MS: u64 = 1_400;
/// Time for which a stopped task is certainly away, in milliseconds: a stop and a startup take longer.
const AWAY_MS: u64 = 300;
/// Jobs that last.
const LASTING: u64 = 6;

pub fn run(root: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let kind = Kind {
        label: "a".into(),
        cpu: 16_000,
    };
    let plan = Plan {
        nodes: 3,
        runners: vec![kind.clone(); RUNNERS],
        enforces: true,
    };
    let world = World::start(root, Arc::clone(record), &plan)?;
    let lasting = r#"{"spec":"lasts cpu=1300","steps":[{"count":5,"cpu":1300,"memMb":512,"estimateMs":900,"antiAffinity":2,"longRunning":true,"maxUnavailable":1}]}"#;
    let short = r#"{"spec":"work=800 cpu=1100","steps":[{"count":6,"cpu":1100,"memMb":512,"estimateMs":800}]}"#;
    let mut accepted = Vec::new();
    for number in 0..LASTING {
        let job = format!("{:016x}", 0xe0000 + number);
        if world.submit(&job, lasting) {
            accepted.push(job);
        }
    }
    thread::sleep(Duration::from_millis(2_000));
    let mut lives = RUNNERS;
    for crash in 0..CRASHES {
        let runner = &world.runners[crash % RUNNERS];
        if has_trouble {
            runner.crash();
        }
        for part in 0..5 {
            let job = format!("{:016x}", 0xf0000 + crash as u64 * 16 + part);
            if world.submit(&job, short) {
                accepted.push(job);
            }
            thread::sleep(Duration::from_millis(DOWN_MS / 5));
        }
        if has_trouble {
            lives += 1;
            runner.begin(&format!("i-{lives}"), &kind)?;
        }
        thread::sleep(Duration::from_millis(INTERVAL_MS - DOWN_MS));
    }
    thread::sleep(Duration::from_millis(8_000));
    let mut shown: BTreeMap<String, usize> = BTreeMap::new();
    let mut failed = Vec::new();
    for (number, job) in accepted.iter().enumerate() {
        let (_, body) = world.request(number % plan.nodes, "GET", job, "", DEADLINE_MS);
        let state = Json::parse(&body).map_or(String::new(), |body| body.word("state").to_owned());
        *shown.entry(state.clone()).or_default() += 1;
        if state == "failed" {
            record.line(&format!(
                "LOST: {job} is shown as failed; no run of it ended failed, and nobody cancelled it"
            ));
            failed.push(job.clone());
        }
    }
    let mut stops: Vec<_> = world
        .runners
        .iter()
        .flat_map(|runner| runner.stops())
        .collect();
    stops.sort_by_key(|stop| stop.at_ms);
    let mut unavailable = 0;
    for (index, stop) in stops.iter().enumerate() {
        let job = stop.task.split('.').next();
        // A task that was stopped so shortly before can't be at work again.
        let is_away = |other: &&Stopped| {
            other.task.split('.').next() == job
                && other.task != stop.task
                && other.at_ms + AWAY_MS >= stop.at_ms
        };
        if let Some(other) = stops[..index].iter().rev().find(is_away) {
            unavailable += 1;
            record.line(&format!(
                "AVAIL: {} is stopped at {} ms on {}, which is sound; {} was stopped at {} ms, and 1 may be away",
                stop.task, stop.at_ms, stop.runner, other.task, other.at_ms
            ));
        }
    }
    Ok(Verdict {
        is_broken: unavailable > 0,
        text: format!(
            "AVAIL: {unavailable} of {} stops of tasks at work while another of the step was away; LOST: {} of {} jobs are shown as failed without cause; all states: {shown:?}",
            stops.len(),
            failed.len(),
            accepted.len()
        ),
    })
}
