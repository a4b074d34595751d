//! Submissions to a slow store, with node processes and stand-ins for the platform's services.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time;

use crate::hosted::{Cluster, PREFIX, call, until};

const NODES: usize = 6;
/// Number of jobs submitted while the store is slow, 60 a second.
const JOBS: usize = 180;
const PAUSE_MS: u64 = 1_000 / 60;

/// Guards against one transaction for each submission while a partition commits two transactions a second.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_share_the_transactions_of_a_slow_store() {
    let cluster = Cluster::start(NODES, 1, 50).await;
    let store = &cluster.store.state;
    store.transaction_ms.store(480, Ordering::Relaxed);
    let before = store.transactions("job");
    let mut calls = JoinSet::new();
    for number in 0..JOBS {
        let address = cluster.nodes[number % NODES].address;
        calls.spawn(async move {
            let path = format!("{PREFIX}{:016x}", 0xc00 + number);
            let body = r#"{"spec":"","steps":[{"count":1,"cpu":1}]}"#;
            call(address, "POST", &path, body).await.status
        });
        time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
    let statuses = calls.join_all().await;
    let transactions = store.transactions("job") - before;
    let count = |status: u16| statuses.iter().filter(|found| **found == status).count();
    let (accepted, refused, unknown) = (count(200), count(503), count(504));
    println!(
        "accepted {accepted}, refused {refused}, unknown {unknown}, {transactions} transactions"
    );
    assert_eq!(refused, 0, "callers with 3 s were refused");
    assert!(accepted >= JOBS * 95 / 100, "{accepted} of {JOBS} accepted");
    assert!(transactions < JOBS as u64, "{transactions} transactions");
    store.transaction_ms.store(0, Ordering::Relaxed);
    let logs = |cluster: &Cluster| -> String { (0..NODES).map(|node| cluster.log(node)).collect() };
    until("forwarding ends", async || {
        let logs = logs(&cluster);
        let begins = logs.matches("forwarding begins").count();
        begins > 0 && logs.matches("forwarding ends").count() == begins
    })
    .await;
    let logs = logs(&cluster);
    assert!(
        logs.contains("batch partition="),
        "no batch of several entries"
    );
    for number in 0..JOBS {
        let line = format!("accept job={:016x} queue=", 0xc00 + number);
        assert!(logs.matches(&line).count() <= 1, "{line} more than once");
    }
    let lines = logs.matches("accept job=").count();
    assert!(
        lines >= accepted,
        "{lines} lines for {accepted} accepted jobs"
    );
}
