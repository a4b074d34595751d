//! A runner is cut off from the store, crashes behind the cut and starts again under its id as another kind. Its entry in the
//! store still describes the life before.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::runner::Kind;
use crate::world::{Plan, World};

/// Runners, of which one is cut off.
const RUNNERS: usize = 5;
/// How long the cut lasts, in milliseconds.
const CUT_MS: u64 = 5_000;
/// How long the runner needs to start again, in milliseconds.
const RESTART_MS: u64 = 400;

pub fn run(root: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let kind = Kind {
        label: "a".into(),
        cpu: 8_000,
    };
    let plan = Plan {
        nodes: 2,
        runners: vec![kind.clone(); RUNNERS],
        enforces: true,
    };
    let world = World::start(root, Arc::clone(record), &plan)?;
    // Each job asks for runners of kind a. Together they need all of the pool, and more.
    let body = r#"{"spec":"work=2000 cpu=2000","steps":[{"count":4,"cpu":2000,"memMb":512,"estimateMs":2000,"requires":"a"}]}"#;
    for number in 0..12 {
        world.submit(&format!("{:016x}", 0xa000 + number), body);
    }
    thread::sleep(Duration::from_millis(1_000));
    let runner = &world.runners[0];
    if has_trouble {
        let id = runner.id().unwrap_or_default();
        runner.set_registers(false);
        thread::sleep(Duration::from_millis(300));
        runner.crash_process();
        thread::sleep(Duration::from_millis(RESTART_MS));
        runner.begin(
            &id,
            &Kind {
                label: "b".into(),
                cpu: 8_000,
            },
        )?;
        thread::sleep(Duration::from_millis(CUT_MS - 300 - RESTART_MS));
        runner.set_registers(true);
    } else {
        thread::sleep(Duration::from_millis(CUT_MS));
    }
    thread::sleep(Duration::from_millis(4_000));
    let starts = world.starts.lock().unwrap().clone();
    let wrong: Vec<_> = starts
        .iter()
        .filter(|start| start.kind.label != "a")
        .collect();
    for start in &wrong {
        record.line(&format!(
            "ROUTE: {} was started at {} ms on {}, whose kind is {}; its step requires a",
            start.task, start.at_ms, start.runner, start.kind.label
        ));
    }
    Ok(Verdict {
        is_broken: !wrong.is_empty(),
        text: format!(
            "ROUTE: {} of {} starts on a runner without the required label",
            wrong.len(),
            starts.len()
        ),
    })
}
