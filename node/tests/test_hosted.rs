//! Tests the daemon on the users' platform: node processes with stand-ins for the platform's services.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::hosted::{Cluster, PREFIX, call, until};

const ID: &str = "00000000000000a1";
const OTHER: &str = "00000000000000a2";

#[tokio::test(flavor = "multi_thread")]
async fn a_job_runs_and_each_node_reports_its_state() {
    let cluster = Cluster::start(2, 2, 100).await;
    assert_eq!(cluster.submit(0, ID, 5).await, 200);
    assert_eq!(cluster.submit(1, ID, 5).await, 200, "the same job again");
    for node in 0..2 {
        cluster.until_state(node, ID, "completed").await;
    }
    let starts: u32 = cluster
        .workers
        .iter()
        .flat_map(|worker| worker.state.start_counts().into_values())
        .sum();
    assert_eq!(starts, 5);
    let unknown = cluster
        .call(1, "GET", &format!("{PREFIX}{OTHER}"), "")
        .await;
    assert_eq!(unknown.status, 410);
    let waiting = cluster.call(1, "GET", PREFIX, "").await;
    assert_eq!(
        (waiting.status, waiting.body.as_str()),
        (200, "{\"waiting\":0}")
    );
}

/// Returns the number of workers that the leader reaches by relays.
async fn relayed(cluster: &Cluster) -> String {
    let leader = cluster.leader();
    let metrics = call(cluster.nodes[leader].metrics, "GET", "/metrics", "").await;
    let prefix = "wasabiloft_workers_routed{route=\"relay\"} ";
    let value = metrics
        .body
        .lines()
        .find_map(|line| line.strip_prefix(prefix));
    value.unwrap_or("none").to_owned()
}

/// The leader's link is too thin for all workers. Two of the four relays are paused, then one is killed, while a job
/// runs through them.
#[tokio::test(flavor = "multi_thread")]
async fn relayed_tasks_survive_paused_and_killed_relays() {
    let mut cluster = Cluster::start_on_links(5, 6, 600, 160).await;
    until("relays are used", async || relayed(&cluster).await == "4").await;
    assert_eq!(cluster.submit(0, ID, 60).await, 200);
    let leader = cluster.leader();
    let followers: Vec<usize> = (0..5).filter(|node| *node != leader).collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    for &node in &followers[..2] {
        cluster.nodes[node].signal(Signal::STOP);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for &node in &followers[..2] {
        cluster.nodes[node].signal(Signal::CONT);
    }
    cluster.nodes[followers[2]].signal(Signal::KILL);
    cluster.until_state(leader, ID, "completed").await;
    let lapsed: usize = cluster
        .workers
        .iter()
        .map(|worker| worker.state.lapsed_count())
        .sum();
    assert_eq!(lapsed, 0, "leases were renewed by another route in time");
    assert!(
        cluster.log(leader).contains("relay: lost"),
        "no relay was lost"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_relay_hands_its_workers_over() {
    let mut cluster = Cluster::start_on_links(3, 4, 300, 160).await;
    until("relays are used", async || relayed(&cluster).await == "2").await;
    let leader = cluster.leader();
    assert_eq!(cluster.submit(leader, ID, 40).await, 200);
    let follower = (0..3).find(|node| *node != leader).expect("a follower");
    cluster.nodes[follower].signal(Signal::TERM);
    cluster.until_state(leader, ID, "completed").await;
    let starts: u32 = cluster
        .workers
        .iter()
        .flat_map(|worker| worker.state.start_counts().into_values())
        .sum();
    assert_eq!(starts, 40, "a task was started again");
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_specific_status_codes() {
    let cluster = Cluster::start(1, 1, 100).await;
    let path = format!("{PREFIX}{ID}");
    let no_queue = cluster.call(0, "GET", "/nothing/here", "").await;
    assert_eq!(no_queue.status, 404);
    let bad_id = cluster.call(0, "POST", &format!("{PREFIX}xyz"), "{}").await;
    assert_eq!(bad_id.status, 400);
    let no_json = cluster.call(0, "POST", &path, "steps").await;
    assert_eq!(no_json.status, 400);
    let forward = r#"{"spec":"","steps":[{"count":1,"cpu":1,"after":[0]}]}"#;
    let forward = cluster.call(0, "POST", &path, forward).await;
    assert_eq!(forward.status, 400);
    assert!(forward.body.contains("step 0 waits"), "{}", forward.body);
    let long = cluster.call(0, "POST", &path, &"x".repeat(20_000)).await;
    assert_eq!(long.status, 413);
    assert_eq!(cluster.call(0, "GET", &path, "").await.status, 410);
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_survive_the_loss_of_the_leader_and_start_no_task_twice() {
    let mut cluster = Cluster::start(2, 2, 1_500).await;
    assert_eq!(cluster.submit(0, ID, 4).await, 200);
    cluster.until_state(0, ID, "running").await;
    let leader = cluster.leader();
    cluster.nodes[leader].process.kill().expect("it is killed");
    let other = 1 - leader;
    cluster.until_state(other, ID, "completed").await;
    for worker in &cluster.workers {
        let twice = worker.state.start_counts();
        assert!(twice.values().all(|starts| *starts == 1), "{twice:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_response_of_the_store_is_resolved() {
    let cluster = Cluster::start(1, 1, 50).await;
    cluster
        .store
        .state
        .lost_responses
        .store(1, Ordering::Relaxed);
    assert_eq!(cluster.submit(0, ID, 1).await, 200);
    cluster.until_state(0, ID, "completed").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_store_is_unavailable_requests_are_refused_at_once_and_did_not_run() {
    let cluster = Cluster::start(1, 1, 50).await;
    cluster
        .store
        .state
        .unavailable
        .store(true, Ordering::Relaxed);
    let sent_at = Instant::now();
    let path = format!("{PREFIX}{ID}");
    let body = r#"{"spec":"","steps":[{"count":1,"cpu":1}]}"#;
    let refused = cluster.call(0, "POST", &path, body).await;
    assert_eq!(refused.status, 503);
    assert!(refused.body.ends_with("retry-after"), "{}", refused.body);
    assert!(
        sent_at.elapsed() < Duration::from_millis(1_000),
        "{:?}",
        sent_at.elapsed()
    );
    cluster
        .store
        .state
        .unavailable
        .store(false, Ordering::Relaxed);
    until("the job is unknown", async || {
        cluster.call(0, "GET", &path, "").await.status == 410
    })
    .await;
    assert!(cluster.workers[0].state.start_counts().is_empty());
    assert_eq!(cluster.submit(0, ID, 1).await, 200);
    cluster.until_state(0, ID, "completed").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_ends_and_stays_so() {
    let cluster = Cluster::start(2, 1, 60_000).await;
    assert_eq!(cluster.submit(0, ID, 2).await, 200);
    cluster.until_state(1, ID, "running").await;
    let path = format!("{PREFIX}{ID}");
    assert_eq!(cluster.call(1, "DELETE", &path, "").await.status, 200);
    cluster.until_state(0, ID, "cancelled").await;
    let unknown = format!("{PREFIX}{OTHER}");
    assert_eq!(cluster.call(0, "DELETE", &unknown, "").await.status, 410);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_queue_is_in_force_and_a_dropped_one_is_removed() {
    let cluster = Cluster::start(2, 1, 50).await;
    cluster.configure(2, &["/other/"]);
    for node in 0..2 {
        until("the new queue is in force", async || {
            cluster.call(node, "GET", "/other/", "").await.status == 200
        })
        .await;
        assert_eq!(cluster.call(node, "GET", PREFIX, "").await.status, 404);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn undecodable_registry_entries_are_ignored() {
    let cluster = Cluster::start(1, 1, 50).await;
    cluster.put("servers", "i-strange", "{\"service\":7}");
    cluster.store.state.put("servers", "i-bytes", "////");
    assert_eq!(cluster.submit(0, ID, 2).await, 200);
    cluster.until_state(0, ID, "completed").await;
    until("the entry is named in the log", async || {
        cluster.log(0).contains("entry i-strange can't be used")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_an_unresponsive_worker_run_on_another() {
    let cluster = Cluster::start(1, 2, 100).await;
    cluster.workers[0]
        .state
        .unresponsive
        .store(true, Ordering::Relaxed);
    assert_eq!(cluster.submit(0, ID, 4).await, 200);
    cluster.until_state(0, ID, "completed").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_hands_the_duty_over_and_ends_in_time() {
    let mut cluster = Cluster::start(2, 1, 100).await;
    assert_eq!(cluster.submit(0, ID, 1).await, 200);
    let leader = cluster.leader();
    let epoch = cluster.epoch(leader);
    cluster.nodes[leader].signal(Signal::HUP);
    cluster.nodes[leader].signal(Signal::TERM);
    let sent_at = Instant::now();
    let other = 1 - leader;
    assert_eq!(cluster.submit(other, OTHER, 1).await, 200);
    cluster.until_state(other, OTHER, "completed").await;
    until("the process has ended", async || {
        let ended = cluster.nodes[leader].process.try_wait();
        ended.expect("its state").is_some()
    })
    .await;
    assert!(
        sent_at.elapsed() < Duration::from_secs(6),
        "{:?}",
        sent_at.elapsed()
    );
    assert!(cluster.epoch(other) > epoch, "{}", cluster.log(other));
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_the_actions_of_the_leader() {
    let cluster = Cluster::start(2, 2, 50).await;
    assert_eq!(cluster.submit(0, ID, 5).await, 200);
    cluster.until_state(0, ID, "completed").await;
    let leader = &cluster.nodes[cluster.leader()];
    until("all starts and ends are counted", async || {
        let metrics = call(leader.metrics, "GET", "/metrics", "").await.body;
        [
            "wasabiloft_holds_duty 1",
            "wasabiloft_starts_total{outcome=\"started\"} 5",
            "wasabiloft_runs_ended_total{how=\"done\"} 5",
            "wasabiloft_workers{state=\"usable\"} 2",
            "wasabiloft_takeovers_total 1",
            "wasabiloft_jobs_waiting{queue=\"/quotes/\"} 0",
        ]
        .iter()
        .all(|line| metrics.contains(line))
    })
    .await;
}

/// A new leader reads its rows for longer than a leader may be silent; no other node takes over meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_reads_its_rows_slowly_keeps_the_duty() {
    let mut cluster = Cluster::start_on_links(3, 2, 200, 160).await;
    // The scheduler's own rows alone take that long to read, since the new leader doesn't wait for those of all jobs.
    let ids: Vec<String> = (0xb00..0xbd0).map(|id| format!("{id:016x}")).collect();
    for (number, id) in ids.iter().enumerate() {
        assert_eq!(cluster.submit(number % 3, id, 1).await, 200);
    }
    for id in &ids {
        cluster.until_state(0, id, "completed").await;
    }
    let first = cluster.leader();
    let epoch = cluster.epoch(first);
    cluster.store.state.delay_ms.store(110, Ordering::Relaxed);
    cluster.nodes[first].signal(Signal::KILL);
    until("the duty is taken over", async || {
        cluster.epoch(cluster.leader()) > epoch
    })
    .await;
    let second = cluster.leader();
    assert_eq!(
        cluster.epoch(second),
        epoch + 1,
        "taken over more than once"
    );
    let log = cluster.log(second);
    let loaded = log.split("loaded_ms=").last().unwrap_or_default();
    let loaded_ms: u64 = loaded
        .split(char::is_whitespace)
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    assert!(
        loaded_ms > 1_600,
        "read within {loaded_ms} ms, so nothing was tested"
    );
    cluster.store.state.delay_ms.store(0, Ordering::Relaxed);
    assert_eq!(cluster.submit(second, ID, 4).await, 200);
    cluster.until_state(second, ID, "completed").await;
}
