//! Callers' requests: from the document's kind to one endpoint and back, with a verdict on each answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time;
use wasabiloft::config;
use wasabiloft::document;
use wasabiloft::id;
use wasabiloft::verdict;

use crate::node;
use crate::upstream;
use crate::view;

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::PROXY_AUTHENTICATE,
];
/// How often a waiting request looks for a free slot, in milliseconds.
const SLOT_POLL_MS: u64 = 2;

/// Answers one caller's request.
pub async fn serve(State(shared): State<Arc<node::Shared>>, request: Request) -> Response {
    let arrived_at = Instant::now();
    match forward(&shared, request, arrived_at).await {
        Ok(response) => answered(response),
        Err(failure) => failed(failure),
    }
}

struct Target {
    accepted: Arc<view::Accepted>,
    kind: usize,
    endpoints: Arc<Vec<view::Endpoint>>,
    path: String,
}

impl Target {
    fn kind(&self) -> &document::Kind {
        &self.accepted.document.kinds[self.kind]
    }
}

async fn forward(
    shared: &node::Shared,
    request: Request,
    arrived_at: Instant,
) -> Result<Response<Bytes>, upstream::Failure> {
    check_standing(shared)?;
    let target = find_target(shared, &request)?;
    let (parts, body) = request.into_parts();
    let limit_bytes = usize::try_from(target.kind().body_max_kib * 1024).unwrap_or(usize::MAX);
    let body = read_body(body, limit_bytes).await?;
    let deadline_ms = target.kind().deadline_ms;
    let slot = wait_for_slot(shared, &target, arrived_at, deadline_ms).await?;
    let mut upstream_request = Request::new(Full::from(body));
    *upstream_request.method_mut() = parts.method;
    *upstream_request.uri_mut() = target.path.parse().unwrap_or_default();
    *upstream_request.headers_mut() = end_to_end(parts.headers);
    let left_ms = deadline_ms.saturating_sub(elapsed_ms(arrived_at)).max(1);
    let upstream = &shared.upstream;
    upstream.send(slot, upstream_request, left_ms).await
}

/// Refuses while the node can't prove that its configuration is current.
fn check_standing(shared: &node::Shared) -> Result<(), upstream::Failure> {
    if shared.control.may_serve() {
        return Ok(());
    }
    Err(not_run(match shared.control.state().standing {
        config::Standing::Starting => verdict::Reason::NodeStarting,
        config::Standing::Isolated | config::Standing::ServingUntil(_) => {
            verdict::Reason::NodeIsolated
        }
    }))
}

fn find_target(shared: &node::Shared, request: &Request) -> Result<Target, upstream::Failure> {
    let unknown = || not_run(verdict::Reason::UnknownService);
    let path = request.uri().path();
    let rest = path.strip_prefix('/').ok_or_else(unknown)?;
    let (service, _) = rest.split_once('/').ok_or_else(unknown)?;
    let rest = &path[service.len() + 1..];
    let view = shared.view.borrow();
    let accepted = view.documents.get(&id::Service::new(service));
    let accepted = Arc::clone(accepted.ok_or_else(unknown)?);
    let kinds = &accepted.document.kinds;
    let kind = kinds
        .iter()
        .position(|kind| kind.matches(request.method().as_str(), rest));
    let kind = kind.ok_or_else(unknown)?;
    let endpoints = view.endpoints_of(&accepted.document);
    let endpoints = endpoints.ok_or_else(|| not_run(verdict::Reason::NoEndpoint))?;
    Ok(Target {
        kind,
        endpoints: Arc::clone(endpoints),
        path: request
            .uri()
            .path_and_query()
            .map_or(rest, |path| path.as_str())
            .to_owned(),
        accepted,
    })
}

async fn read_body(body: Body, limit_bytes: usize) -> Result<Bytes, upstream::Failure> {
    match Limited::new(body, limit_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(not_run(verdict::Reason::BodyTooLarge))
        }
        Err(_) => Err(not_run(verdict::Reason::CallerGone)),
    }
}

async fn wait_for_slot(
    shared: &node::Shared,
    target: &Target,
    arrived_at: Instant,
    deadline_ms: u64,
) -> Result<upstream::Slot, upstream::Failure> {
    loop {
        let usable = target.endpoints.iter().filter(|endpoint| !endpoint.leaving);
        for endpoint in usable {
            if let Some(slot) = shared.upstream.try_slot(endpoint.address) {
                return Ok(slot);
            }
        }
        if elapsed_ms(arrived_at) >= deadline_ms {
            return Err(not_run(verdict::Reason::QueueTimeout));
        }
        time::sleep(Duration::from_millis(SLOT_POLL_MS)).await;
    }
}

fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}

fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers
}

fn not_run(reason: verdict::Reason) -> upstream::Failure {
    upstream::Failure {
        verdict: verdict::Verdict::NotRun,
        reason,
    }
}

fn answered(response: Response<Bytes>) -> Response {
    let (mut parts, body) = response.into_parts();
    parts.headers = end_to_end(parts.headers);
    let said = parts.headers.get(verdict::VERDICT_HEADER);
    let refused = said.is_some_and(|said| said == "not-run");
    if !refused {
        parts
            .headers
            .insert(verdict::VERDICT_HEADER, HeaderValue::from_static("ran"));
    }
    Response::from_parts(parts, Body::from(body))
}

fn failed(failure: upstream::Failure) -> Response {
    let reason = failure.reason.to_string();
    metrics::counter!("requests_failed_total", "reason" => reason.clone()).increment(1);
    let headers = [
        (verdict::VERDICT_HEADER, failure.verdict.to_string()),
        (verdict::REASON_HEADER, reason),
    ];
    let body = format!("{}: {}\n", failure.verdict, failure.reason);
    (status(failure), headers, body).into_response()
}

fn status(failure: upstream::Failure) -> StatusCode {
    match (failure.reason, failure.verdict) {
        (verdict::Reason::UnknownService, _) => StatusCode::NOT_FOUND,
        (verdict::Reason::BodyTooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (verdict::Reason::CallerGone, _) => StatusCode::BAD_REQUEST,
        (_, verdict::Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (verdict::Reason::AnswerTimeout, _) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
