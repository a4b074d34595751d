//! Four hopeless jobs fail on all runners of a pool, which then stays idle while a sound job waits.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::runner::Kind;
use crate::world::{DEADLINE_MS, Plan, World};

const RUNNERS: usize = 3;
/// Processor capacity of a runner, in thousandths of a core.
const CPU: u64 = 16_000;
/// Sound jobs before the hopeless ones, which are then 4 of 81: below the 0.05 of the site file.
const SOUND: u64 = 76;
/// Tasks of each hopeless job.
const HOPELESS_TASKS: [u32; 4] = [8, 16, 16, 8];
/// Time after the end of the traffic at which jobs are asked for, in milliseconds: `finish_s`.
const FINISH_MS: u64 = 14_000;
/// Time for which a job has nothing running, in milliseconds.
const IDLE_MS: u64 = 3_000;

pub fn run(root: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let kind = Kind {
        label: "a".into(),
        cpu: CPU,
    };
    let plan = Plan {
        nodes: 3,
        runners: vec![kind; RUNNERS],
        enforces: true,
    };
    let world = World::start(root, Arc::clone(record), &plan)?;
    let sound = r#"{"spec":"work=200 cpu=2000","steps":[{"count":1,"cpu":2000,"memMb":512,"estimateMs":200}]}"#;
    for number in 0..SOUND {
        world.submit(&format!("{:016x}", 0x10000 + number), sound);
        thread::sleep(Duration::from_millis(15));
    }
    thread::sleep(Duration::from_millis(400));
    if has_trouble {
        for (number, tasks) in (0..).zip(HOPELESS_TASKS) {
            let hopeless = format!(
                r#"{{"spec":"work=300 cpu=1000 fails","steps":[{{"count":{tasks},"cpu":1000,"memMb":512,"estimateMs":300}}]}}"#
            );
            world.submit(&format!("{:016x}", 0x20000 + number), &hopeless);
        }
    }
    thread::sleep(Duration::from_millis(500));
    let last = "0000000000030000";
    if !world.submit(last, sound) {
        return Err(io::Error::other("the last job was not accepted"));
    }
    let traffic_ended_ms = record.now_ms();
    let (mut idle_ms, mut since_ms) = (0, traffic_ended_ms);
    while record.now_ms() < traffic_ended_ms + FINISH_MS {
        thread::sleep(Duration::from_millis(20));
        let used: u64 = world.runners.iter().map(|runner| runner.used_cpu()).sum();
        let now_ms = record.now_ms();
        let is_idle = used * 2 < CPU * RUNNERS as u64 && world.starts_of(last).is_empty();
        idle_ms = if is_idle {
            idle_ms + now_ms - since_ms
        } else {
            0
        };
        since_ms = now_ms;
    }
    let (_, state) = world.request(0, "GET", last, "", DEADLINE_MS);
    let begun_ms = world
        .starts_of(last)
        .first()
        .map(|start| start.at_ms - traffic_ended_ms);
    record.line(&format!("the last job has waited for {idle_ms} ms by then, with under half of the capacity in use; begun after {begun_ms:?} ms"));
    Ok(Verdict {
        is_broken: idle_ms >= IDLE_MS,
        text: format!(
            "LOST: a sound job had nothing running for {idle_ms} ms while under half of the capacity was in use; {state}"
        ),
    })
}
