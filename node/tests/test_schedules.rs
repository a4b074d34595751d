//! Memory of the daemons beside accepted jobs with the largest numbers that their fields hold.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::task::JoinSet;

use crate::hosted::{self, Cluster, PREFIX, until};

/// Memory of a process at which the platform ends it, in KiB.
const MEMORY_KIB_MAX: u64 = 260 * 1_024;
/// Times at which a small job is submitted beside the others.
const SMALL_JOBS: u32 = 5;

/// Returns the most memory that a process has had so far, in KiB.
fn peak_memory_kib(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("a process");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|peak| peak.split_whitespace().next()?.parse().ok());
    peak.expect("a peak")
}

async fn submit(cluster: &Cluster, id: u64, body: &serde_json::Value) {
    let path = format!("{PREFIX}{id:016x}");
    until("the job is accepted", async || {
        let response = cluster.call(0, "POST", &path, &body.to_string()).await;
        response.status == 200
    })
    .await;
}

/// Asserts that no node has needed too much memory so far.
fn assert_peaks(cluster: &Cluster) {
    let nodes = cluster.nodes.iter();
    let peaks: Vec<u64> = nodes
        .map(|node| peak_memory_kib(node.process.id()))
        .collect();
    assert!(
        peaks.iter().all(|kib| *kib < MEMORY_KIB_MAX),
        "{peaks:?} KiB"
    );
}

/// Kills the leader and starts it again.
async fn lose_leader(cluster: &mut Cluster) {
    let leader = cluster.leader();
    let node = &mut cluster.nodes[leader];
    node.process.kill().expect("a process");
    node.process.wait().expect("its end");
    node.restart().expect("a process");
    cluster.until_ready(leader).await;
}

/// Submits jobs, and small ones beside them, which have to be completed; asserts that no leader needs too much memory for it,
/// nor one that takes over.
async fn assert_memory_is_bounded(jobs: u64, body: &serde_json::Value) {
    let mut cluster = Cluster::start(2, 3, 200).await;
    for id in 0..jobs {
        submit(&cluster, 0x1000 + id, body).await;
    }
    for round in 0..2 {
        for number in 0..SMALL_JOBS {
            let id = format!("{:016x}", 0x10 + round * SMALL_JOBS + number);
            assert_eq!(cluster.submit(1, &id, 2).await, 200);
            cluster.until_state(1, &id, "completed").await;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        assert_peaks(&cluster);
        if round == 0 {
            lose_leader(&mut cluster).await;
        }
    }
}

/// Guards against a schedule with millions of past times, whose occurrences were all opened at once.
#[tokio::test(flavor = "multi_thread")]
async fn the_longest_schedule_of_past_times_does_not_exceed_the_memory() {
    let body = json!({
        "spec": "work_ms=50", "repeatCount": u32::MAX, "intervalMs": 1,
        "steps": [{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 50}],
    });
    assert_memory_is_bounded(1, &body).await;
}

/// Guards against the same with many jobs, each of which has the most tasks.
#[tokio::test(flavor = "multi_thread")]
async fn many_of_the_largest_jobs_do_not_exceed_the_memory() {
    let body = json!({
        "spec": "work_ms=50", "repeatCount": u32::MAX,
        "steps": [{"count": 20_000, "cpu": 500, "memMb": 256, "estimateMs": 50}],
    });
    assert_memory_is_bounded(200, &body).await;
}

/// Number of jobs of [`STEPS`] steps each that callers submit; together they need more than the memory of a process.
const STEPPED_JOBS: u64 = 12_000;
/// Steps of such a job; about as many as a row holds.
const STEPS: usize = 120;
/// Callers that submit at the same time.
const CALLERS: u64 = 32;

/// Submits jobs one after another and returns the paths of those that were refused.
async fn submit_stepped(address: SocketAddr, ids: Vec<u64>, body: String) -> Vec<String> {
    let mut refused = Vec::new();
    for id in ids {
        let path = format!("{PREFIX}{id:016x}");
        let response = hosted::call(address, "POST", &path, &body).await;
        match response.status {
            200 => {}
            503 => {
                assert!(response.body.contains("retry-after"), "{}", response.body);
                refused.push(path);
            }
            status => panic!("status {status}: {}", response.body),
        }
    }
    refused
}

/// Guards against jobs that are accepted without limit, each of which the leader and its successors hold in memory. Those that
/// are refused don't exist, and small jobs beside them are accepted and completed.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_many_steps_are_refused_before_they_exceed_the_memory() {
    let mut cluster = Cluster::start(2, 3, 200).await;
    // No worker has the first step's label, so that the jobs stay.
    let mut steps = vec![json!({"count": 1, "cpu": 500, "memMb": 256, "requires": "none"})];
    steps.resize(
        STEPS,
        json!({"count": 1, "cpu": 500, "memMb": 256, "after": [0]}),
    );
    let body = json!({"spec": "work_ms=50", "steps": steps}).to_string();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let address = cluster.nodes[caller as usize % cluster.nodes.len()].address;
        let ids = (0x1_0000 + caller..0x1_0000 + STEPPED_JOBS).step_by(CALLERS as usize);
        callers.spawn(submit_stepped(address, ids.collect(), body.clone()));
    }
    let refused = callers.join_all().await.concat();
    let refused = refused.last().expect("more than fits was accepted");
    assert_peaks(&cluster);
    lose_leader(&mut cluster).await;
    for number in 0..SMALL_JOBS {
        let id = format!("{:016x}", 0x10 + number);
        assert_eq!(cluster.submit(1, &id, 2).await, 200);
        cluster.until_state(1, &id, "completed").await;
    }
    assert_peaks(&cluster);
    assert_eq!(cluster.call(1, "GET", refused, "").await.status, 410);
}
