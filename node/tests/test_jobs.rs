//! Jobs on complete nodes with the stand-in platform: submitted, run, resubmitted, cancelled, removed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use wasabiloft::document::Urgency;
use wasabiloft::id;
use wasabiloft::job::{Reason, Row, Spec};
use wasabiloft::platform;
use wasabiloft_node::documents;

use crate::caller;
use crate::test_nodes::Fleet;

/// Interval between reads of a job, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;
/// Timeout for a job to reach a state, in milliseconds.
const WAIT_TIMEOUT_MS: u64 = 60_000;

fn spec(team: &str, key: &str, command: &str) -> Spec {
    Spec {
        team: id::Team::from(team),
        key: key.to_owned(),
        class: "rebuild".to_owned(),
        urgency: Urgency::Normal,
        idempotent: false,
        checkpointable: false,
        declared: platform::Resources {
            cpu_milli: 500,
            memory_mib: 512,
            accelerators: 0,
        },
        declared_run_ms: 100,
        command: command.to_owned(),
    }
}

fn request(method: Method, path: &str, body: String) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "node")
        .header("content-type", "application/json")
        .body(Full::from(body))
        .expect("invalid request")
}

async fn submit(node: SocketAddr, spec: &Spec) -> StatusCode {
    let body = serde_json::to_string(spec).expect("cannot serialise the spec");
    let sent = caller::send(node, request(Method::POST, "/-/jobs", body));
    sent.await.status
}

async fn delete(node: SocketAddr, job: &id::Job, team: &str) -> StatusCode {
    let path = format!("/-/jobs/{job}?team={team}");
    let sent = caller::send(node, request(Method::DELETE, &path, String::new()));
    sent.await.status
}

async fn get(node: SocketAddr, job: &id::Job) -> Option<Row> {
    let path = format!("/-/jobs/{job}");
    let answer = caller::send(node, request(Method::GET, &path, String::new())).await;
    match answer.status {
        StatusCode::OK => serde_json::from_str(answer.text()).ok(),
        _ => None,
    }
}

/// Waits until a job's row, or its absence, meets a condition, and returns the row.
async fn wait_for<F>(node: SocketAddr, job: &id::Job, is_met: F) -> Option<Row>
where
    F: Fn(Option<&Row>) -> bool,
{
    let wait = async {
        loop {
            let row = get(node, job).await;
            if is_met(row.as_ref()) {
                return row;
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    };
    let limit = Duration::from_millis(WAIT_TIMEOUT_MS);
    tokio::time::timeout(limit, wait)
        .await
        .expect("timeout waiting for the job")
}

fn has(reason: Reason) -> impl Fn(Option<&Row>) -> bool {
    move |row| row.is_some_and(|row| row.reason() == reason)
}

/// Starts a fleet with a document in force; returns it with the team that owns the document.
async fn start() -> (Fleet, String) {
    let fleet = Fleet::start().await;
    let written = fleet.write(0, 0).await;
    assert!(matches!(written, documents::EditOutcome::Accepted(_)));
    let team = fleet.team();
    (fleet, team)
}

#[tokio::test]
async fn a_job_runs_once_and_stays_until_its_owner_removes_it() {
    let (fleet, team) = start().await;
    let nodes: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.address()).collect();
    let mut spec = spec(&team, "survey", "run_ms=200");
    let job = spec.job();
    assert_eq!(submit(nodes[0], &spec).await, StatusCode::CREATED);
    assert_eq!(submit(nodes[1], &spec).await, StatusCode::OK);
    let row = wait_for(nodes[2], &job, has(Reason::Finished)).await;
    let row = row.expect("the job has no row");
    let mut reasons: Vec<Reason> = row.history.iter().map(|change| change.reason).collect();
    // A worker in maintenance refuses the start, so the history can have pairs of placed and no-room before the start.
    while let Some(refused) = reasons.iter().position(|reason| *reason == Reason::NoRoom) {
        assert_eq!(reasons[refused - 1], Reason::Placed);
        reasons.drain(refused - 1..=refused);
    }
    assert_eq!(
        reasons,
        [Reason::Submitted, Reason::Placed, Reason::Finished]
    );
    assert_eq!(fleet.starts_of(&job), 1);
    spec.command = "another".to_owned();
    assert_eq!(submit(nodes[1], &spec).await, StatusCode::CONFLICT);
    assert_eq!(
        delete(nodes[0], &job, "stranger").await,
        StatusCode::FORBIDDEN
    );
    assert_eq!(delete(nodes[0], &job, &team).await, StatusCode::ACCEPTED);
    wait_for(nodes[1], &job, |row| row.is_none()).await;
    assert_eq!(fleet.platform.starts_of_jobs().get(&job), Some(&1));
    fleet.stop().await;
}

#[tokio::test]
async fn a_running_job_is_cancelled_and_one_that_never_fits_is_parked() {
    let (fleet, team) = start().await;
    let node = fleet.nodes[0].address();
    let long = spec(&team, "long", "run_ms=600000");
    let mut large = spec(&team, "large", "run_ms=1");
    large.declared.memory_mib = 100_000_000;
    assert_eq!(submit(node, &long).await, StatusCode::CREATED);
    assert_eq!(submit(node, &large).await, StatusCode::CREATED);
    wait_for(node, &large.job(), has(Reason::NoWorkerLargeEnough)).await;
    wait_for(node, &long.job(), has(Reason::Placed)).await;
    assert_eq!(delete(node, &long.job(), &team).await, StatusCode::ACCEPTED);
    wait_for(node, &long.job(), |row| {
        row.is_some_and(|row| row.state.name().to_string() == "ended")
    })
    .await;
    fleet.stop().await;
}
