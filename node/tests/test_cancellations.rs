//! Cancellations that the store applies late, and those of jobs whose rows it applies late.

use std::time::Duration;

use tokio::time;
use wasabiloft::batch::{JobId, record};

use crate::hosted::{Cluster, PREFIX, until};

const ID: &str = "00000000000000c1";
const OTHER_ID: &str = "00000000000000c2";
/// After this time, the transaction of the cancellation is at the store, in milliseconds.
const SENT_MS: u64 = 300;
/// The store has applied late transactions within this time, in milliseconds.
const LATE_MS: u64 = 3_000;

/// A cancellation that the store applies after its job was removed cancels the next job of the same id.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_cancellation_does_not_cancel_a_later_job_of_the_same_id() {
    let cluster = Cluster::start(1, 1, 60_000).await;
    let store = &cluster.store.state;
    assert_eq!(cluster.submit(0, ID, 1).await, 200);
    until("the task runs", async || {
        cluster.workers[0].state.running_count() == 1
    })
    .await;
    store.write_late(record::JOB_TABLE, 1);
    let path = format!("{PREFIX}{ID}");
    let cancel = cluster.call(0, "DELETE", &path, "");
    let submit_again = async {
        time::sleep(Duration::from_millis(SENT_MS)).await;
        let id: JobId = ID.parse().expect("an id");
        let part = record::job_partition(id);
        let row = store.get(record::JOB_TABLE, &part, ID).expect("a row");
        store.put_in(record::JOB_TABLE, &part, ID, &row);
        part
    };
    let (response, part) = tokio::join!(cancel, submit_again);
    time::sleep(Duration::from_millis(LATE_MS)).await;
    let cancellation = record::JobKey::Cancelled(ID.parse().expect("an id"));
    let row = store.get(record::JOB_TABLE, &part, &cancellation.text());
    assert_eq!(row, None, "the later job is cancelled");
    assert_ne!(response.status, 200, "{}", response.body);
    assert_eq!(cluster.workers[0].state.running_count(), 1);
    // A cancellation of the later job is not held back by the failed one.
    assert_eq!(cluster.call(0, "DELETE", &path, "").await.status, 200);
    until("the task ends", async || {
        cluster.workers[0].state.running_count() == 0
    })
    .await;
}

/// A job whose submission the store applies late is cancelled at another node before that, and must not run (review/12).
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_is_cancelled_before_its_row_is_applied_never_runs() {
    let cluster = Cluster::start(2, 1, 60_000).await;
    let store = &cluster.store.state;
    store.write_late(record::JOB_TABLE, 1);
    let path = format!("{PREFIX}{ID}");
    let cancel = async {
        time::sleep(Duration::from_millis(SENT_MS)).await;
        cluster.call(1, "DELETE", &path, "").await.status
    };
    let (submitted, cancelled) = tokio::join!(cluster.submit(0, ID, 1), cancel);
    assert_eq!((submitted, cancelled), (503, 410));
    for node in 0..2 {
        assert_eq!(cluster.submit(node, ID, 1).await, 503);
        assert_eq!(cluster.call(node, "GET", &path, "").await.status, 410);
        assert_eq!(cluster.call(node, "DELETE", &path, "").await.status, 410);
    }
    time::sleep(Duration::from_millis(LATE_MS)).await;
    assert_eq!(cluster.workers[0].state.start_counts().len(), 0);
    assert_eq!(cluster.call(0, "GET", &path, "").await.status, 410);
    // The tombstone holds nothing else up.
    assert_eq!(cluster.submit(1, OTHER_ID, 1).await, 200);
    until("the other task runs", async || {
        cluster.workers[0].state.running_count() == 1
    })
    .await;
}

/// A submission waits at its node, which the store refuses, while another node is told to cancel the job.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_is_cancelled_while_its_node_holds_it_never_runs() {
    let cluster = Cluster::start(2, 1, 60_000).await;
    let store = &cluster.store.state;
    let id: JobId = ID.parse().expect("an id");
    let part = record::job_partition(id);
    store.refuse_parts([part].into());
    let path = format!("{PREFIX}{ID}");
    let cancel = async {
        time::sleep(Duration::from_millis(SENT_MS)).await;
        store.refuse_parts([].into());
        cluster.call(1, "DELETE", &path, "").await.status
    };
    let (submitted, cancelled) = tokio::join!(cluster.submit(0, ID, 1), cancel);
    // Whichever was first, the caller is told what holds.
    match cancelled {
        200 => assert_eq!(submitted, 200),
        410 => assert_ne!(submitted, 200),
        status => panic!("{status}"),
    }
    time::sleep(Duration::from_millis(LATE_MS)).await;
    assert!(cluster.workers[0].state.is_empty());
}
