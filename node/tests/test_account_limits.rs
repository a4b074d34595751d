//! Client accounts on complete nodes: keys, quotas that exclude a job, and what the nodes tell each other.

use std::net::SocketAddr;

use serde_json::json;

use crate::hosted::{self, Cluster, PREFIX, Response, until};

const KEY: &str = "chains-key";
const ID: &str = "00000000000000a1";

fn accounts(quota_milli: u64) -> serde_json::Value {
    json!([{
        "name": "chains", "apiKeys": [KEY], "weight": 5.0, "priority": 0,
        "maxCount": {"cpu": quota_milli, "memMb": 0, "gpu": 0},
    }])
}

async fn submit(cluster: &Cluster, id: &str, cpu_milli: u64, key: &str) -> Response {
    let body = json!({"spec": "text", "steps": [
        {"count": 1, "cpu": 100, "memMb": 64, "estimateMs": 300},
        {"count": 1, "cpu": cpu_milli, "memMb": 64, "estimateMs": 300, "after": [0]},
    ]});
    let credentials = format!("Bearer {key}");
    hosted::call_with(
        cluster.nodes[0].address,
        "POST",
        &format!("{PREFIX}{id}"),
        &body.to_string(),
        &[("authorization", &credentials)],
    )
    .await
}

async fn until_version(cluster: &Cluster, version: u64) {
    let wanted = format!("in force version={version}");
    until("the version is in force", async || {
        (0..cluster.nodes.len()).all(|node| cluster.log(node).contains(&wanted))
    })
    .await;
}

/// Guards against accepted jobs that can never run, and against a rejection of a job that is stored.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_beyond_its_accounts_quota_is_rejected_unless_it_is_stored() {
    let cluster = Cluster::start(2, 2, 50).await;
    cluster.configure_accounts(20, &accounts(1_000));
    until_version(&cluster, 20).await;
    assert_eq!(submit(&cluster, ID, 800, "other").await.status, 401);
    assert_eq!(submit(&cluster, ID, 800, KEY).await.status, 200);
    let rejected = submit(&cluster, "00000000000000a2", 1_200, KEY).await;
    assert_eq!(rejected.status, 429);
    assert!(
        rejected.body.contains("step 1 needs 1200"),
        "{}",
        rejected.body
    );
    assert!(rejected.body.contains("retry-after"), "{}", rejected.body);
    cluster.configure_accounts(30, &accounts(500));
    until_version(&cluster, 30).await;
    let repeated = submit(&cluster, ID, 800, KEY).await;
    assert_eq!(repeated.status, 200, "{}", repeated.body);
    assert_eq!(
        submit(&cluster, "00000000000000a3", 800, KEY).await.status,
        429
    );
    // Lines are written after the response.
    until("both rejections are logged", async || {
        let log = cluster.log(0);
        assert!(!log.contains(KEY), "a key in the log");
        let lines = log.lines().filter(|line| {
            line.contains("QuotaExceeded") && line.contains("account=chains retry_after_s=4")
        });
        lines.count() == 2
    })
    .await;
    let metrics = hosted::call(cluster.nodes[0].metrics, "GET", "/metrics", "").await;
    for line in [
        "wasabiloft_account_requests_total{account=\"none\",outcome=\"unauthorized\"} 1",
        "wasabiloft_account_requests_total{account=\"chains\",outcome=\"accepted\"} 2",
        "wasabiloft_account_requests_total{account=\"chains\",outcome=\"quota-exceeded\"} 2",
    ] {
        assert!(metrics.body.contains(line), "{line}\n{}", metrics.body);
    }
}

/// Guards against messages that followers of earlier versions, or without accounts, don't expect.
#[tokio::test(flavor = "multi_thread")]
async fn heartbeats_carry_limits_only_if_the_follower_reports_submissions() {
    let cluster = Cluster::start(1, 1, 50).await;
    until("a leader", async || cluster.epoch(0) > 0).await;
    let metrics = cluster.nodes[0].metrics;
    let peers = SocketAddr::new(metrics.ip(), metrics.port() - 1);
    let json = [("content-type", "application/json")];
    let old = json!({"config_version": 1, "store_silent_ms": 10, "cpu_milli": 120});
    let reply = hosted::call_with(peers, "POST", "/beat", &old.to_string(), &json).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert!(!reply.body.contains("admission"), "{}", reply.body);
    let offered = json!([{"account": "chains", "in_window": 3, "recent": 1}]);
    let new = json!({
        "config_version": 1, "store_silent_ms": 10, "cpu_milli": 120,
        "offered": {"node": "front-9", "accounts": offered},
    });
    let reply = hosted::call_with(peers, "POST", "/beat", &new.to_string(), &json).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert!(
        reply.body.contains("\"admission\":{\"nodes\":1}"),
        "{}",
        reply.body
    );
}
