//! Tests daemons beside rows of their own tables that they cannot decode.

use rustix::process::Signal;
use std::time::Duration;
use tokio::time;
use wasabiloft::batch::record;

use crate::hosted::{Cluster, until};

const ID: &str = "00000000000000e1";
const OTHER: &str = "00000000000000e2";
/// A new leader starts waiting tasks within this time, in milliseconds.
const STARTS_MS: u64 = 3_000;

/// A task that was done runs again, because the row that says so can't be decoded.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_progress_cannot_be_decoded_does_not_run_again() {
    let mut cluster = Cluster::start(1, 1, 50).await;
    assert_eq!(cluster.submit(0, ID, 1).await, 200);
    cluster.until_state(0, ID, "completed").await;
    cluster.nodes[0].signal(Signal::KILL);
    let ended = cluster.nodes[0].process.wait();
    assert!(ended.is_ok());
    let store = &cluster.store.state;
    let odd = "e30h";
    store.put_in(record::PROGRESS_TABLE, record::SCHEDULER_PARTITION, ID, odd);
    cluster.nodes[0].restart().expect("the daemon starts");
    cluster.until_ready(0).await;
    assert_eq!(cluster.submit(0, OTHER, 1).await, 200);
    cluster.until_state(0, OTHER, "completed").await;
    time::sleep(Duration::from_millis(STARTS_MS)).await;
    let starts = cluster.workers[0].state.start_counts();
    let repeated = starts.iter().find(|(_, count)| **count > 1);
    assert_eq!(repeated, None, "started again");
    until("the job is named in the log", async || {
        cluster.log(0).contains(&format!("job held job={ID} "))
    })
    .await;
    let store = &cluster.store.state;
    let row = store.get(record::PROGRESS_TABLE, record::SCHEDULER_PARTITION, ID);
    assert_eq!(row.as_deref(), Some(odd), "the row was overwritten");
}
