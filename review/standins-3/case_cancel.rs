//! The store applies a job's row late and doesn't answer. The client gets no answer in time and cancels the job: it is told that
//! no such job exists. The row is applied after that.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::runner::Kind;
use crate::store::Late;
use crate::world::{DEADLINE_MS, Plan, World};

/// Time after the acknowledgement of a cancellation from which on nothing of the job starts, in milliseconds.
const CANCEL_MS: u64 = 3_000;
/// Time after the end of a disruption from which on nodes are in touch, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Delays of the writes, in milliseconds; the platform applies them 1 to 6 s late.
const DELAYS_MS: [u64; 6] = [4_500, 4_500, 4_500, 4_500, 4_500, 4_500];

pub fn run(root: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let kind = Kind {
        label: "a".into(),
        cpu: 8_000,
    };
    let plan = Plan {
        nodes: 3,
        runners: vec![kind; 4],
        enforces: true,
    };
    let world = World::start(root, Arc::clone(record), &plan)?;
    let steps: Vec<String> = (0..12)
        .map(|step| {
            let after = if step > 0 {
                format!(r#","after":[{}]"#, step - 1)
            } else {
                String::new()
            };
            format!(r#"{{"count":1,"cpu":1000,"memMb":512,"estimateMs":1500{after}}}"#)
        })
        .collect();
    let body = format!(
        r#"{{"spec":"work=1500 cpu=1000","steps":[{}]}}"#,
        steps.join(",")
    );
    let job = "00000000000d0001";
    let before = world.store.counts();
    let began_ms = record.now_ms();
    if has_trouble {
        let late = Late {
            table: "job".into(),
            delays_ms: DELAYS_MS.to_vec(),
        };
        world.store.set_late(Some(late));
    }
    let (status, _) = world.request(1, "POST", job, &body, DEADLINE_MS);
    world.store.set_late(None);
    let after = world.store.counts();
    let trouble_ended_ms = record.now_ms();
    record.line(&format!(
        "the hand-in was answered with {status}; in {} ms the store left {} of {} writes without an answer",
        trouble_ended_ms - began_ms,
        after.1 - before.1,
        after.0 - before.0
    ));
    let mut cancelled = None;
    for node in [1, 2, 0] {
        let (status, _) = world.request(node, "DELETE", job, "", DEADLINE_MS);
        if matches!(status, 200..=299 | 410) {
            cancelled = Some((status, record.now_ms()));
            break;
        }
        thread::sleep(Duration::from_millis(300));
    }
    let Some((answer, cancelled_ms)) = cancelled else {
        return Err(io::Error::other("the cancellation was not acknowledged"));
    };
    thread::sleep(Duration::from_millis(16_000));
    world.request(2, "GET", job, "", DEADLINE_MS);
    // The last late write is applied this long after the disruption's end at most.
    let last_ms = DELAYS_MS.iter().max().copied().unwrap_or(0);
    let calm_ms = if has_trouble {
        trouble_ended_ms + last_ms + CONTACT_MS
    } else {
        0
    };
    let starts = world.starts_of(job);
    let late: Vec<_> = starts
        .iter()
        .filter(|start| start.at_ms > (cancelled_ms + CANCEL_MS).max(calm_ms))
        .collect();
    for start in &late {
        record.line(&format!(
            "UNASKED: {} started {} ms after its job's cancelling was acknowledged",
            start.task,
            start.at_ms - cancelled_ms
        ));
    }
    Ok(Verdict {
        is_broken: !late.is_empty(),
        text: format!(
            "UNASKED: the cancelling was acknowledged with {answer}; of {} starts {} came later than {CANCEL_MS} ms after, by nodes in touch",
            starts.len(),
            late.len()
        ),
    })
}
