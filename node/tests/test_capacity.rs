//! Tests daemons beside workers that don't guard their capacity.

use std::time::Duration;

use rustix::process::Signal;
use tokio::time;
use wasabiloft_standins::hosted::worker::Settings;

use crate::hosted::{Cluster, PREFIX, until};

const ID: &str = "00000000000000a1";
const OTHER: &str = "00000000000000a2";
/// Longer than the time after which a lower capacity counts.
const SHRUNK_MS: u64 = 5_500;

async fn start(workers: usize, task_ms: u64) -> Cluster {
    let settings = Settings {
        enforces_capacity: false,
        stop_ms: 200,
        ..Settings::new(task_ms)
    };
    Cluster::start_with(2, workers, settings, 1_000_000).await
}

fn violations(cluster: &Cluster) -> Vec<String> {
    let workers = cluster.workers.iter();
    workers
        .flat_map(|worker| worker.state.violations())
        .collect()
}

fn starts(cluster: &Cluster, worker: usize) -> usize {
    cluster.workers[worker].state.start_counts().len()
}

/// A worker that shrinks while it runs is started over its capacity, or gets no tasks once it has grown again.
#[tokio::test(flavor = "multi_thread")]
async fn a_shrunk_worker_is_not_started_over_its_capacity() {
    let cluster = start(2, 400).await;
    let mut jobs = Vec::new();
    let submit_next = async |jobs: &mut Vec<String>| {
        let id = format!("{:016x}", 0xc00 + jobs.len());
        assert_eq!(cluster.submit(jobs.len() % 2, &id, 24).await, 200);
        jobs.push(id);
    };
    submit_next(&mut jobs).await;
    until("both workers have tasks", async || {
        starts(&cluster, 0) > 0 && starts(&cluster, 1) > 0
    })
    .await;
    cluster.resize(0, 1_000);
    let shrunk_at = time::Instant::now();
    while shrunk_at.elapsed() < Duration::from_millis(SHRUNK_MS) {
        submit_next(&mut jobs).await;
        let id = jobs.last().expect("a job").clone();
        cluster.until_state(0, &id, "completed").await;
    }
    cluster.resize(0, 8_000);
    let before = starts(&cluster, 0);
    for _ in 0..4 {
        submit_next(&mut jobs).await;
    }
    for id in &jobs {
        cluster.until_state(0, id, "completed").await;
    }
    assert_eq!(violations(&cluster), Vec::<String>::new());
    let grown = starts(&cluster, 0) - before;
    assert!(grown > 16, "{grown} starts on the grown worker");
}

/// A new leader starts tasks in the place of runs that it is still stopping.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_leader_leaves_room_for_the_runs_that_it_stops() {
    let mut cluster = start(1, 60_000).await;
    assert_eq!(cluster.submit(0, ID, 16).await, 200);
    until("the worker is full", async || starts(&cluster, 0) == 16).await;
    assert_eq!(cluster.submit(0, OTHER, 16).await, 200);
    let leader = cluster.leader();
    let epoch = cluster.epoch(leader);
    cluster.nodes[leader].signal(Signal::STOP);
    let other = 1 - leader;
    let path = format!("{PREFIX}{ID}");
    assert_eq!(cluster.call(other, "DELETE", &path, "").await.status, 200);
    until("the other tasks have started", async || {
        starts(&cluster, 0) == 32
    })
    .await;
    assert!(cluster.epoch(other) > epoch, "no takeover");
    assert_eq!(violations(&cluster), Vec::<String>::new());
}
