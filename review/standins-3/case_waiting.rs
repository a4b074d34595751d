//! One of ten runners answers starts with 503 while its other answers are good, and the others are full. The jobs whose starts
//! it refuses wait, but the count of waiting jobs leaves them out.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::json::Json;
use crate::record::Record;
use crate::runner::Kind;
use crate::world::{DEADLINE_MS, Plan, World};

/// Runners, of which one is sick: the largest share in the site file is 0.1.
const RUNNERS: usize = 10;
/// How long the runner is sick, in milliseconds; as long as in the site file.
const SICK_MS: u64 = 6_500;
/// Jobs that wait.
const JOBS: u64 = 8;
/// Age from which on jobs count for the rule, in milliseconds: `visible_ms` and 2 s.
const AGE_MS: u64 = 5_000;

pub fn run(root: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let kind = Kind {
        label: "a".into(),
        cpu: 8_000,
    };
    let plan = Plan {
        nodes: 3,
        runners: vec![kind; RUNNERS],
        enforces: true,
    };
    let world = World::start(root, Arc::clone(record), &plan)?;
    let sick = &world.runners[0];
    if has_trouble {
        sick.set_sick(true);
    }
    let sick_at_ms = record.now_ms();
    // Each of these tasks fills a runner for longer than the case takes.
    let large = format!(
        r#"{{"spec":"work=20000 cpu=7900","steps":[{{"count":{},"cpu":7900,"memMb":512,"estimateMs":20000}}]}}"#,
        RUNNERS - 1
    );
    world.submit("00000000000b0000", &large);
    thread::sleep(Duration::from_millis(300));
    let small = r#"{"spec":"work=15000 cpu=1000","steps":[{"count":1,"cpu":1000,"memMb":512,"estimateMs":15000}]}"#;
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let job = format!("{:016x}", 0xc0000 + number);
        if world.submit(&job, small) {
            accepted.push((job, record.now_ms()));
        }
    }
    let last_ms = accepted.last().map_or(0, |(_, at_ms)| *at_ms);
    let left_ms = (last_ms + AGE_MS + 100).saturating_sub(record.now_ms());
    thread::sleep(Duration::from_millis(left_ms));
    let mut broken = Vec::new();
    for node in 0..plan.nodes {
        let asked_ms = record.now_ms();
        let (status, body) = world.request(node, "GET", "", "", DEADLINE_MS);
        let shown = Json::parse(&body).and_then(|body| body.get("waiting")?.as_u64());
        let is_waiting = |(job, at_ms): &&(String, u64)| {
            asked_ms >= at_ms + AGE_MS && world.starts_of(job).is_empty()
        };
        let waiting = accepted.iter().filter(is_waiting).count() as u64;
        record.line(&format!(
            "{waiting} jobs older than {AGE_MS} ms haven't begun; {} shows {shown:?}",
            world.nodes[node].name
        ));
        if status == 200 && shown.is_some_and(|shown| shown * 2 < waiting) {
            broken.push(format!(
                "{} shows {} of {waiting}",
                world.nodes[node].name,
                shown.unwrap_or(0)
            ));
        }
    }
    record.line(&format!(
        "the runner was sick for {} ms by then",
        record.now_ms() - sick_at_ms
    ));
    let left_ms = (sick_at_ms + SICK_MS).saturating_sub(record.now_ms());
    thread::sleep(Duration::from_millis(left_ms));
    if has_trouble {
        sick.set_sick(false);
    }
    thread::sleep(Duration::from_millis(1_500));
    Ok(Verdict {
        is_broken: !broken.is_empty(),
        text: format!(
            "MIXED: waiting jobs under half: {}",
            if broken.is_empty() {
                "none".into()
            } else {
                broken.join("; ")
            }
        ),
    })
}
