//! Callers' requests: which queue they mean, what they ask, and the answer.

use std::sync::Arc;

use axum::Router;
use axum::body::{self, Body};
use axum::extract::State;
use axum::http::{HeaderMap, Method, Request, StatusCode, header};
use axum::response::{IntoResponse, Response};
use metrics::{counter, histogram};
use wasabiloft::batch::JobId;
use wasabiloft::batch::queue;
use wasabiloft_platform::submission;

use crate::batch::{requests, shared};
use crate::clock;
use crate::log;

/// A configuration without proof for this share of the time in which a version must be in force isn't used, in
/// hundredths; the rest covers the request itself.
const STALE_PERCENT: u64 = 75;
/// How long a caller waits for an answer if it doesn't say, in milliseconds.
const DEADLINE_DEFAULT_MS: u64 = 3_000;
/// Kept of a caller's time for the answer's way back, in milliseconds.
const ANSWER_WAY_MS: u64 = 100;
/// The longest time that a caller can ask for, in milliseconds.
const DEADLINE_MAX_MS: u64 = 60_000;
/// When a caller whose request was refused may come back, in seconds; the header knows no shorter time.
const RETRY_AFTER_S: &str = "1";
/// The caller's header that says how long it waits, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// What a request came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Done; the body is the answer's.
    Done(Vec<u8>),
    /// There is no such queue.
    NoQueue,
    /// There is no such job.
    NoJob,
    /// It can't be read, or exceeds a bound.
    Invalid(String),
    /// The body is too large.
    TooLarge,
    /// The method means nothing here.
    BadMethod,
    /// It did not run and never will; the caller may come back.
    NotRun(&'static str),
    /// It may have run; the same request again tells.
    Unknown(&'static str),
}

/// The callers' routes.
pub fn router() -> Router<Arc<shared::Shared>> {
    Router::new().fallback(handle)
}

/// The configuration, if it is known to be the newest.
pub fn current_config(shared: &shared::Shared) -> Option<Arc<queue::Config>> {
    let configured = shared.configured();
    let stale_ms = shared.settings().config_apply_ms * STALE_PERCENT / 100;
    let age_ms = clock::since_boot().since_ms(configured.confirmed_at?);
    configured.config.filter(|_| age_ms < stale_ms)
}

async fn handle(State(shared): State<Arc<shared::Shared>>, request: Request<Body>) -> Response {
    let began_at = clock::since_boot();
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let outcome = answer(&shared, &head.method, &head.headers, &path, body, began_at).await;
    let took_ms = clock::since_boot().since_ms(began_at);
    let (status, label) = status(&outcome);
    histogram!("wasabiloft_request_ms", "method" => head.method.to_string()).record(took_ms as f64);
    counter!("wasabiloft_requests_total", "outcome" => label).increment(1);
    if status != StatusCode::OK {
        log::info(
            "front",
            &format!(
                "answer method={} path={path} status={} outcome={outcome:?} took_ms={took_ms}",
                head.method,
                status.as_u16()
            ),
        );
    }
    let mut response = match outcome {
        Outcome::Done(body) => (status, body).into_response(),
        Outcome::Invalid(message) => (status, message).into_response(),
        _ => status.into_response(),
    };
    let headers = response.headers_mut();
    if status == StatusCode::OK {
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/json"),
        );
    }
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(
            header::RETRY_AFTER,
            header::HeaderValue::from_static(RETRY_AFTER_S),
        );
    }
    if shared.stop.is_cancelled() {
        headers.insert(
            header::CONNECTION,
            header::HeaderValue::from_static("close"),
        );
    }
    response
}

fn status(outcome: &Outcome) -> (StatusCode, &'static str) {
    match outcome {
        Outcome::Done(_) => (StatusCode::OK, "done"),
        Outcome::NoQueue => (StatusCode::NOT_FOUND, "no-queue"),
        Outcome::NoJob => (StatusCode::GONE, "no-job"),
        Outcome::Invalid(_) => (StatusCode::BAD_REQUEST, "invalid"),
        Outcome::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "too-large"),
        Outcome::BadMethod => (StatusCode::METHOD_NOT_ALLOWED, "bad-method"),
        Outcome::NotRun(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason),
        Outcome::Unknown(reason) => (StatusCode::GATEWAY_TIMEOUT, reason),
    }
}

async fn answer(
    shared: &Arc<shared::Shared>,
    method: &Method,
    headers: &HeaderMap,
    path: &str,
    body: Body,
    began_at: wasabiloft::clock::Instant,
) -> Outcome {
    let config = shared.configured().config;
    let body_max = config.as_ref().map_or(0, |config| config.body_bytes_max);
    // The whole request is read before anything is decided, so that a refusal never meets a caller that still sends.
    let body = match body::to_bytes(body, body_max.max(DEFAULT_BODY_MAX)).await {
        Ok(body) => body,
        Err(_) => return Outcome::TooLarge,
    };
    let Some(config) = current_config(shared) else {
        return Outcome::NotRun("config-unknown");
    };
    let host = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = host.map_or("", |host| host.split(':').next().unwrap_or(host));
    let Some(route) = config.route(host, path) else {
        return Outcome::NoQueue;
    };
    if body.len() > config.body_bytes_max {
        return Outcome::TooLarge;
    }
    let deadline = began_at.after_ms(patience_ms(headers));
    let rest = &path[route.prefix.len()..];
    if rest.is_empty() {
        return match *method {
            Method::GET => requests::waiting(shared, &route.queue.name, deadline).await,
            _ => Outcome::BadMethod,
        };
    }
    let Ok(job) = rest.parse::<JobId>() else {
        return match *method {
            Method::POST => {
                Outcome::Invalid("a job's id is 16 lower-case hexadecimal digits".into())
            }
            _ => Outcome::NoJob,
        };
    };
    match *method {
        Method::POST => match submission::decode(&body) {
            Ok(spec) => requests::submit(shared, job, &route.queue, spec, deadline).await,
            Err(message) => Outcome::Invalid(message),
        },
        Method::GET => requests::state(shared, job, deadline).await,
        Method::DELETE => requests::cancel(shared, job, deadline).await,
        _ => Outcome::BadMethod,
    }
}

/// Most bytes of a body that is read before a configuration says otherwise.
const DEFAULT_BODY_MAX: usize = 262_144;

fn patience_ms(headers: &HeaderMap) -> u64 {
    let stated = headers
        .get(DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.trim().parse::<u64>().ok());
    stated
        .unwrap_or(DEADLINE_DEFAULT_MS)
        .min(DEADLINE_MAX_MS)
        .saturating_sub(ANSWER_WAY_MS)
}
