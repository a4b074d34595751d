//! Takeovers of the batch duty while the store refuses some partitions, or a share of all calls.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use wasabiloft::batch::{JobId, record};

use crate::hosted::{Cluster, PREFIX, until};

/// Partitions that are refused, of 16.
const REFUSED: u64 = 6;
/// For how long they are refused after the loss of the leader.
const OUTAGE: Duration = Duration::from_millis(7_000);
/// Jobs of the other partitions must begin within this time, and take 1 s.
const COMPLETES: Duration = Duration::from_millis(3_000);

/// Returns `count` ids of jobs in refused partitions, or in others, from a number on.
fn ids(first: u64, refused: bool, count: usize) -> Vec<String> {
    let ids = (first..).map(JobId);
    let chosen = ids.filter(|id| (record::job_partition_number(*id) < REFUSED) == refused);
    chosen.take(count).map(|id| id.to_string()).collect()
}

/// Returns whether any task was started more than once.
fn started_again(cluster: &Cluster) -> bool {
    let workers = cluster.workers.iter();
    workers
        .flat_map(|worker| worker.state.start_counts().into_values())
        .any(|starts| starts > 1)
}

/// Guards against a takeover that claims the duty again for each refused read, and against jobs of available partitions
/// that wait for the others. The leader is lost while the tasks of all jobs run.
#[tokio::test(flavor = "multi_thread")]
async fn a_takeover_leads_with_the_partitions_that_answer() {
    let mut cluster = Cluster::start(3, 4, 1_000).await;
    let (refused, open) = (ids(0xd00, true, 6), ids(0xd00, false, 6));
    for id in refused.iter().chain(&open) {
        assert_eq!(cluster.submit(0, id, 2).await, 200);
    }
    for id in refused.iter().chain(&open) {
        cluster.until_state(0, id, "running").await;
    }
    let first = cluster.leader();
    let epoch = cluster.epoch(first);
    let parts: BTreeSet<String> = (0..REFUSED).map(record::job_partition_name).collect();
    cluster.store.state.refuse_parts(parts);
    let refused_at = Instant::now();
    cluster.nodes[first].signal(Signal::KILL);
    until("the duty is taken over", async || {
        cluster.epoch(cluster.leader()) > epoch
    })
    .await;
    let second = cluster.leader();
    assert!(
        refused_at.elapsed() < Duration::from_millis(2_000),
        "{:?}",
        refused_at.elapsed()
    );
    let follower = 3 - first - second;
    let later = ids(0xe00, false, 6);
    let submitted_at = Instant::now();
    for id in &later {
        assert_eq!(cluster.submit(follower, id, 1).await, 200);
    }
    for id in open.iter().chain(&later) {
        cluster.until_state(second, id, "completed").await;
    }
    assert!(
        submitted_at.elapsed() < COMPLETES,
        "{:?}",
        submitted_at.elapsed()
    );
    for id in &refused {
        let state = cluster
            .call(second, "GET", &format!("{PREFIX}{id}"), "")
            .await;
        assert_eq!(state.status, 503, "{}", state.body);
        if refused_at.elapsed() > OUTAGE / 2 {
            break;
        }
    }
    tokio::time::sleep(OUTAGE.saturating_sub(refused_at.elapsed())).await;
    assert_eq!(cluster.epoch(cluster.leader()), epoch + 1, "one claim");
    cluster.store.state.refuse_parts(BTreeSet::new());
    let returned_at = Instant::now();
    for id in &refused {
        cluster.until_state(second, id, "completed").await;
    }
    assert!(
        returned_at.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        returned_at.elapsed()
    );
    assert!(!started_again(&cluster), "their runs were kept");
    let log = cluster.log(second);
    assert!(log.contains("partitions=10"), "{log}");
    // Partitions without jobs are read too, in any order.
    until("all partitions are read", async || {
        let log = cluster.log(second);
        log.matches("rows read late table=job").count() == 6
    })
    .await;
}

/// Guards against a takeover that starts anew for each refused read: with 0.6 of all calls refused, it would hardly
/// end.
#[tokio::test(flavor = "multi_thread")]
async fn a_takeover_completes_with_most_calls_refused() {
    let mut cluster = Cluster::start(3, 4, 1_000).await;
    let jobs = ids(0xd00, false, 12);
    for id in &jobs {
        assert_eq!(cluster.submit(0, id, 1).await, 200);
    }
    let first = cluster.leader();
    let epoch = cluster.epoch(first);
    cluster
        .store
        .state
        .refused_milli
        .store(600, Ordering::Relaxed);
    cluster.nodes[first].signal(Signal::KILL);
    until("the duty is taken over", async || {
        cluster.epoch(cluster.leader()) > epoch
    })
    .await;
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    let second = cluster.leader();
    assert_eq!(cluster.epoch(second), epoch + 1, "{}", cluster.log(second));
    cluster
        .store
        .state
        .refused_milli
        .store(0, Ordering::Relaxed);
    for id in &jobs {
        cluster.until_state(second, id, "completed").await;
    }
    assert!(!started_again(&cluster));
}
