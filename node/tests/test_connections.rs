//! Silence, closed and refused connections, and endpoints that leave.

use std::net::{Ipv4Addr, TcpListener};

use http::StatusCode;
use wasabiloft::verdict::{Reason, Verdict};

use crate::caller;
use crate::cluster::Cluster;
use crate::endpoint::{Endpoint, Then, raw, whole};

const REFUSAL: &str =
    "HTTP/1.1 503 Busy\r\nwasabiloft-verdict: not-run\r\ncontent-length: 0\r\n\r\n";

#[tokio::test]
async fn silent_endpoint_gets_a_bill_once() {
    let mut endpoints = Vec::new();
    for _ in 0..2 {
        endpoints.push(Endpoint::start(|_, _| raw("", Then::Hang)).await);
    }
    let cluster = Cluster::start(endpoints).await;
    let answer = caller::send(cluster.address(), caller::bill(None, "7")).await;
    assert_eq!(answer.verdict(), Verdict::MayHaveRun);
    assert_eq!(answer.reason(), Reason::AnswerTimeout);
    let heard: usize = cluster.endpoints.iter().map(|one| one.heard().len()).sum();
    assert_eq!(heard, 1);
}

#[tokio::test]
async fn silent_endpoint_does_not_hold_up_idempotent_work() {
    let silent = Endpoint::start(|_, _| raw("", Then::Hang)).await;
    let quick = Endpoint::start(|_, _| whole("here")).await;
    let cluster = Cluster::start(vec![silent, quick]).await;
    let answer = caller::send(cluster.address(), caller::statement("a")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.text(), "here");
}

#[tokio::test]
async fn endpoint_that_lost_the_connection_gets_a_bill_once() {
    let endpoint = Endpoint::start(|_, _| raw("", Then::Close)).await;
    let cluster = Cluster::start(vec![endpoint]).await;
    let answer = caller::send(cluster.address(), caller::bill(None, "7")).await;
    assert_eq!(answer.verdict(), Verdict::MayHaveRun);
    assert_eq!(answer.reason(), Reason::ConnectionLost);
    assert_eq!(cluster.endpoints[0].heard().len(), 1);
}

#[tokio::test]
async fn dead_endpoint_is_passed_over() {
    let dead = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = dead.local_addr().unwrap();
    drop(dead);
    let endpoint = Endpoint::start(|_, _| whole("here")).await;
    let cluster = Cluster::with_nodes(1, vec![endpoint], &[address]).await;
    let answer = caller::send(cluster.address(), caller::bill(None, "7")).await;
    assert_eq!(answer.text(), "here");
}

#[tokio::test]
async fn refusal_of_an_endpoint_moves_a_bill_on() {
    let refusing = Endpoint::start(|_, _| raw(REFUSAL, Then::Keep)).await;
    let willing = Endpoint::start(|_, _| whole("here")).await;
    let cluster = Cluster::start(vec![refusing, willing]).await;
    let answer = caller::send(cluster.address(), caller::bill(None, "7")).await;
    assert_eq!(answer.text(), "here");
}

#[tokio::test]
async fn refusal_of_every_endpoint_is_not_run() {
    let refusing = Endpoint::start(|_, _| raw(REFUSAL, Then::Keep)).await;
    let cluster = Cluster::start(vec![refusing]).await;
    let answer = caller::send(cluster.address(), caller::bill(None, "7")).await;
    assert_eq!(answer.verdict(), Verdict::NotRun);
}

#[tokio::test]
async fn connections_that_the_endpoint_closes_lose_nothing() {
    let endpoint = Endpoint::start(|_, _| {
        let text = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        raw(text, Then::Close)
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
async fn leaving_endpoint_gets_nothing_new() {
    let mut endpoints = Vec::new();
    for _ in 0..2 {
        endpoints.push(Endpoint::start(|_, _| whole("ok")).await);
    }
    let cluster = Cluster::start(endpoints).await;
    let addresses: Vec<_> = cluster.endpoints.iter().map(Endpoint::address).collect();
    cluster.platform.leave(&addresses, 0);
    let mut before = cluster.endpoints[0].heard().len();
    let mut quiet = 0;
    let started_at = std::time::Instant::now();
    while quiet < 50 {
        caller::send(cluster.address(), caller::bill(None, "7")).await;
        let after = cluster.endpoints[0].heard().len();
        quiet = if after == before { quiet + 1 } else { 0 };
        before = after;
        assert!(started_at.elapsed().as_secs() < 3, "it still gets work");
    }
}
