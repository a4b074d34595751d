//! Slots over several nodes: together they use all of an endpoint's slots, and never more.

use http::HeaderValue;
use tokio::task::JoinSet;
use wasabiloft::verdict::Verdict;
use wasabiloft_node::front;

use crate::caller;
use crate::cluster::Cluster;
use crate::endpoint::{self, Endpoint, Then};

/// Slots of an endpoint.
const SLOTS: usize = 8;
/// Time that a request may take which finds no slot, in milliseconds.
const SHORT_MS: u64 = 200;

#[tokio::test]
async fn nodes_together_use_all_slots_and_no_more() {
    let silent = Endpoint::start(|_, _| endpoint::raw("", Then::Hang)).await;
    let cluster = Cluster::with_nodes(3, vec![silent], &[]).await;
    let mut holding = JoinSet::new();
    for number in 0..2 * SLOTS {
        let statement = caller::statement(&number.to_string());
        let node = &cluster.nodes[number % cluster.nodes.len()];
        holding.spawn(caller::send(node.address(), statement));
    }
    cluster.endpoints[0].wait_for(SLOTS).await;
    let mut refused = JoinSet::new();
    for node in &cluster.nodes {
        let mut bill = caller::bill(None, "one too many");
        let short = HeaderValue::from(SHORT_MS);
        bill.headers_mut().insert(front::DEADLINE_HEADER, short);
        refused.spawn(caller::send(node.address(), bill));
    }
    while let Some(answer) = refused.join_next().await {
        let answer = answer.expect("the caller runs");
        assert_eq!(answer.verdict(), Verdict::NotRun, "{}", answer.reason());
    }
    let heard = cluster.endpoints[0].heard();
    assert!(heard.iter().all(|request| request.starts_with("GET")));
    assert_eq!(heard.len(), SLOTS);
    holding.shutdown().await;
    cluster.stop().await;
}
