//! Requests with an idempotency key, sent to one node and to two.

use std::net::SocketAddr;

use http::StatusCode;
use wasabiloft::verdict::{Reason, Verdict};

use crate::caller;
use crate::cluster::Cluster;
use crate::endpoint::{After, Endpoint, complete, raw};

async fn numbering_endpoint() -> Endpoint {
    Endpoint::start(|number, _| complete(&format!("bill {number}"))).await
}

/// Sends a bill with a key, and repeats it until the key's owner has received the outcome of the first one.
async fn bill_until_ended(address: SocketAddr, key: &str) -> caller::Answer {
    loop {
        let answer = caller::send(address, caller::bill(Some(key), "7")).await;
        let in_progress =
            answer.verdict() != Verdict::Ran && answer.reason() == Reason::KeyInProgress;
        if !in_progress {
            return answer;
        }
        assert_eq!(answer.verdict(), Verdict::MayHaveRun);
    }
}

#[tokio::test]
async fn repeat_through_another_node_gets_the_first_answer() {
    let cluster = Cluster::with_nodes(2, vec![numbering_endpoint().await], &[]).await;
    for key in 0..10 {
        let key = format!("key {key}");
        let mut texts = Vec::new();
        for node in [0, 1, 0] {
            let answer = bill_until_ended(cluster.nodes[node].address(), &key).await;
            assert_eq!(answer.verdict(), Verdict::Ran, "{answer:?}");
            texts.push(answer.text().to_owned());
        }
        assert!(texts.iter().all(|text| *text == texts[0]), "{texts:?}");
    }
    assert_eq!(cluster.endpoints[0].received().len(), 10);
    cluster.stop().await;
}

#[tokio::test]
async fn repeat_of_a_lost_request_never_gets_not_run() {
    let endpoint = Endpoint::start(|_, _| raw("", After::Close)).await;
    let cluster = Cluster::with_nodes(2, vec![endpoint], &[]).await;
    let mut reasons = Vec::new();
    for node in [0, 1, 0, 1] {
        let answer = bill_until_ended(cluster.nodes[node].address(), "a").await;
        assert_eq!(answer.verdict(), Verdict::MayHaveRun);
        reasons.push(answer.reason());
    }
    assert_eq!(reasons[0], Reason::ConnectionLost);
    assert!(
        reasons[1..]
            .iter()
            .all(|reason| *reason == Reason::KeyMayHaveRun)
    );
    assert_eq!(cluster.endpoints[0].received().len(), 1);
}

#[tokio::test]
async fn repeat_in_progress_is_refused_and_the_first_continues() {
    let endpoint = Endpoint::start(|_, _| raw("", After::Hang)).await;
    let cluster = Cluster::start(vec![endpoint]).await;
    let address = cluster.address();
    let first = tokio::spawn(caller::send(address, caller::bill(Some("a"), "7")));
    cluster.endpoints[0].wait_for(1).await;
    let repeat = caller::send(address, caller::bill(Some("a"), "7")).await;
    assert_eq!(repeat.verdict(), Verdict::MayHaveRun);
    assert_eq!(repeat.reason(), Reason::KeyInProgress);
    let first = first.await.unwrap();
    assert_eq!(first.reason(), Reason::AnswerTimeout);
    assert_eq!(cluster.endpoints[0].received().len(), 1);
}

#[tokio::test]
async fn caller_that_disconnected_gets_its_answer_by_the_key() {
    let cluster = Cluster::start(vec![numbering_endpoint().await]).await;
    let address = cluster.address();
    let request = caller::bill(Some("a"), "7");
    let first = tokio::spawn(async move {
        let _ = caller::send(address, request).await;
    });
    cluster.endpoints[0].wait_for(1).await;
    first.abort();
    let answer = bill_until_ended(address, "a").await;
    assert_eq!(answer.text(), "bill 1");
    assert_eq!(cluster.endpoints[0].received().len(), 1);
}

#[tokio::test]
async fn key_of_another_request_is_refused() {
    let cluster = Cluster::start(vec![numbering_endpoint().await]).await;
    let address = cluster.address();
    caller::send(address, caller::bill(Some("a"), "7")).await;
    let other = caller::send(address, caller::bill(Some("a"), "8")).await;
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(other.reason(), Reason::KeyMismatch);
    assert_eq!(cluster.endpoints[0].received().len(), 1);
}
