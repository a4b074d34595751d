//! Silent endpoints, closed and refused connections, and endpoints that are leaving.

use std::net::{Ipv4Addr, TcpListener};

use http::StatusCode;
use wasabiloft::verdict::{Reason, Verdict};

use crate::caller;
use crate::cluster::Cluster;
use crate::endpoint::{After, Endpoint, complete, raw};

const REFUSAL: &str =
    "HTTP/1.1 503 Busy\r\nwasabiloft-verdict: not-run\r\ncontent-length: 0\r\n\r\n";

#[tokio::test]
async fn silent_endpoint_gets_a_bill_once() {
    let mut endpoints = Vec::new();
    for _ in 0..2 {
        endpoints.push(Endpoint::start(|_, _| raw("", After::Hang)).await);
    }
    let cluster = Cluster::start(endpoints).await;
    let answer = caller::send(cluster.address(), caller::bill(None, "7")).await;
    assert_eq!(answer.verdict(), Verdict::MayHaveRun);
    assert_eq!(answer.reason(), Reason::AnswerTimeout);
    let received: usize = cluster
        .endpoints
        .iter()
        .map(|one| one.received().len())
        .sum();
    assert_eq!(received, 1);
}

#[tokio::test]
async fn silent_endpoint_does_not_block_idempotent_requests() {
    let silent = Endpoint::start(|_, _| raw("", After::Hang)).await;
    let quick = Endpoint::start(|_, _| complete("here")).await;
    let cluster = Cluster::start(vec![silent, quick]).await;
    let answer = caller::send(cluster.address(), caller::statement("a")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.text(), "here");
}

#[tokio::test]
async fn endpoint_that_lost_the_connection_gets_a_bill_once() {
    let endpoint = Endpoint::start(|_, _| raw("", After::Close)).await;
    let cluster = Cluster::start(vec![endpoint]).await;
    let answer = caller::send(cluster.address(), caller::bill(None, "7")).await;
    assert_eq!(answer.verdict(), Verdict::MayHaveRun);
    assert_eq!(answer.reason(), Reason::ConnectionLost);
    assert_eq!(cluster.endpoints[0].received().len(), 1);
}

#[tokio::test]
async fn dead_endpoint_is_skipped() {
    let dead = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = dead.local_addr().unwrap();
    drop(dead);
    let endpoint = Endpoint::start(|_, _| complete("here")).await;
    let cluster = Cluster::with_nodes(1, vec![endpoint], &[address]).await;
    let answer = caller::send(cluster.address(), caller::bill(None, "7")).await;
    assert_eq!(answer.text(), "here");
}

#[tokio::test]
async fn bill_refused_by_an_endpoint_is_retried_on_another() {
    let refusing = Endpoint::start(|_, _| raw(REFUSAL, After::Keep)).await;
    let accepting = Endpoint::start(|_, _| complete("here")).await;
    let cluster = Cluster::start(vec![refusing, accepting]).await;
    let answer = caller::send(cluster.address(), caller::bill(None, "7")).await;
    assert_eq!(answer.text(), "here");
}

#[tokio::test]
async fn refusal_of_every_endpoint_is_not_run() {
    let refusing = Endpoint::start(|_, _| raw(REFUSAL, After::Keep)).await;
    let cluster = Cluster::start(vec![refusing]).await;
    let answer = caller::send(cluster.address(), caller::bill(None, "7")).await;
    assert_eq!(answer.verdict(), Verdict::NotRun);
}

#[tokio::test]
async fn connections_closed_by_the_endpoint_lose_no_answers() {
    let endpoint = Endpoint::start(|_, _| {
        let text = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        raw(text, After::Close)
    })
    .await;
    let cluster = Cluster::start(vec![endpoint]).await;
    let mut ran = 0;
    for _ in 0..50 {
        let answer = caller::send(cluster.address(), caller::bill(None, "7")).await;
        assert_ne!(answer.verdict(), Verdict::NotRun);
        ran += usize::from(answer.verdict() == Verdict::Ran);
    }
    assert!(ran >= 45, "{ran} of 50");
}

#[tokio::test]
async fn leaving_endpoint_gets_no_new_requests() {
    let mut endpoints = Vec::new();
    for _ in 0..2 {
        endpoints.push(Endpoint::start(|_, _| complete("ok")).await);
    }
    let cluster = Cluster::start(endpoints).await;
    let addresses: Vec<_> = cluster.endpoints.iter().map(Endpoint::address).collect();
    cluster.platform.set_leaving(&addresses, 0);
    let mut before = cluster.endpoints[0].received().len();
    let mut unchanged = 0;
    let started_at = std::time::Instant::now();
    while unchanged < 50 {
        caller::send(cluster.address(), caller::bill(None, "7")).await;
        let after = cluster.endpoints[0].received().len();
        unchanged = if after == before { unchanged + 1 } else { 0 };
        before = after;
        assert!(
            started_at.elapsed().as_secs() < 3,
            "the leaving endpoint still gets requests"
        );
    }
}
