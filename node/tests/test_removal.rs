//! Removal of the rows of ended jobs.

use std::path::Path;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use wasabiloft::batch::{JobId, record};
use wasabiloft_standins::soak::Options;
use wasabiloft_standins::soak::scenario::Scenario;

const ENDED: &str = "00000000000000d1";
const AGAIN: &str = "00000000000000d2";
/// Time for which the state of an ended job can be queried, in milliseconds; its rows are removed after twice that.
const STATUS_MS: u64 = 1_500;

/// Returns the row of an accepted job.
fn row(scenario: &Scenario, job: &str) -> Option<String> {
    let id: JobId = job.parse().expect("an id");
    let store = &scenario.world.store.state;
    store.get(record::JOB_TABLE, &record::job_partition(id), job)
}

/// Guards against the removal of a job that was submitted again under the id of an ended one, by a leader that doesn't know
/// it: a late removal would lose the job.
#[tokio::test(flavor = "multi_thread")]
async fn the_row_of_a_job_that_was_submitted_again_is_kept() {
    let options = Options {
        nodes: 2,
        machines: 4,
        wave: false,
        job_status_ms: STATUS_MS,
        ..Options::new(Path::new(env!("CARGO_BIN_EXE_wasabiloftd")).to_owned(), 1)
    };
    let scenario = Scenario::start(&options).await.expect("a scenario");
    for job in [ENDED, AGAIN] {
        let submitted = scenario.submit(job, 1, "work_ms=20 cpu=700").await;
        submitted.expect("a job");
        scenario
            .until("the job is completed", async || {
                scenario.state(job).await.as_deref() == Some("completed")
            })
            .await
            .expect("a completed job");
    }
    // Submitted again by a node, while the leader still knows the ended job.
    let text = STANDARD.decode(row(&scenario, AGAIN).expect("a row"));
    let mut accepted: serde_json::Value =
        serde_json::from_slice(&text.expect("base64")).expect("a job");
    let submitted_ms = accepted["submitted_unix_ms"].as_u64().expect("a time");
    accepted["submitted_unix_ms"] = (submitted_ms + STATUS_MS).into();
    let id: JobId = AGAIN.parse().expect("an id");
    let part = record::job_partition(id);
    let value = STANDARD.encode(accepted.to_string());
    let store = &scenario.world.store.state;
    store.put_in(record::JOB_TABLE, &part, AGAIN, &value);
    scenario
        .until("the other job's row is removed", async || {
            row(&scenario, ENDED).is_none()
        })
        .await
        .expect("a removal");
    scenario.pause(STATUS_MS).await;
    assert_eq!(row(&scenario, AGAIN), Some(value));
}
