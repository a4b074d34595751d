//! Slots over several nodes: together the nodes use all slots of an endpoint, and never more.

use http::HeaderValue;
use tokio::task::JoinSet;
use wasabiloft::verdict::Verdict;
use wasabiloft_node::front;

use crate::caller;
use crate::cluster::Cluster;
use crate::endpoint::{self, After, Endpoint};

/// Number of slots of an endpoint.
const SLOTS: usize = 8;
/// Deadline of the requests that must find no slot, in milliseconds.
const SHORT_DEADLINE_MS: u64 = 200;

#[tokio::test]
async fn nodes_together_use_all_slots_and_no_more() {
    let silent = Endpoint::start(|_, _| endpoint::raw("", After::Hang)).await;
    let cluster = Cluster::with_nodes(3, vec![silent], &[]).await;
    let mut occupying = JoinSet::new();
    for number in 0..2 * SLOTS {
        let statement = caller::statement(&number.to_string());
        let node = &cluster.nodes[number % cluster.nodes.len()];
        occupying.spawn(caller::send(node.address(), statement));
    }
    cluster.endpoints[0].wait_for(SLOTS).await;
    let mut refused = JoinSet::new();
    for node in &cluster.nodes {
        let mut bill = caller::bill(None, "one too many");
        let deadline = HeaderValue::from(SHORT_DEADLINE_MS);
        bill.headers_mut().insert(front::DEADLINE_HEADER, deadline);
        refused.spawn(caller::send(node.address(), bill));
    }
    while let Some(answer) = refused.join_next().await {
        let answer = answer.expect("the caller failed");
        assert_eq!(answer.verdict(), Verdict::NotRun, "{}", answer.reason());
    }
    let received = cluster.endpoints[0].received();
    assert!(received.iter().all(|request| request.starts_with("GET")));
    assert_eq!(received.len(), SLOTS);
    occupying.shutdown().await;
    cluster.stop().await;
}
