//! HTTP interface for callers: routes requests to queues and jobs and builds the responses.

use std::sync::Arc;

use axum::Router;
use axum::body::{self, Body};
use axum::extract::State;
use axum::http::{HeaderMap, Method, Request, StatusCode, header};
use axum::response::{IntoResponse, Response};
use metrics::{counter, histogram};
use wasabiloft::batch::JobId;
use wasabiloft::batch::{queue, record, rejection};
use wasabiloft::id;
use wasabiloft_platform::submission;

use crate::batch::{admission, gauges, requests, shared};
use crate::clock;
use crate::log;

/// Maximum age of the configuration's last confirmation, in percent of the time within which a version must be in
/// force; the rest covers the request itself.
const CONFIG_AGE_MAX_PERCENT: u64 = 75;
/// Default time that a caller waits for the response, in milliseconds.
const DEADLINE_DEFAULT_MS: u64 = 3_000;
/// Part of a caller's wait that is reserved for sending the response, in milliseconds.
const RESPONSE_RESERVE_MS: u64 = 100;
/// Maximum wait that a caller can request, in milliseconds.
const DEADLINE_MAX_MS: u64 = 60_000;
/// Request header with the time that the caller waits, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Authentication scheme under which a request carries its account's key.
const KEY_SCHEME: &str = "Bearer";

/// Outcome of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request succeeded; holds the response body.
    Done(Vec<u8>),
    /// No route matches the host and path.
    NoQueue,
    /// The request carries no key that an account has, and the route needs one.
    Unauthorized,
    /// The job does not exist.
    NoJob,
    /// The request cannot be decoded or exceeds a limit; holds the message for the caller.
    Invalid(String),
    /// The body exceeds the size limit.
    TooLarge,
    /// The method is not supported for this path.
    BadMethod,
    /// A task of the job alone exceeds its account's quota, so the job was not stored; holds the message for the caller
    /// and the seconds after which the same job can be tried again.
    QuotaExceeded { message: String, wait_s: u64 },
    /// The account submits more than its rate, so the job was not stored; holds the seconds after which the caller
    /// should come back.
    RateExceeded { wait_s: u64 },
    /// The request did not run and never will; the caller can retry.
    NotRun(&'static str),
    /// The request may have run; repeating the same request tells whether it did.
    Unknown(&'static str),
}

/// Returns the router for callers' requests.
pub fn router() -> Router<Arc<shared::Shared>> {
    Router::new().fallback(handle)
}

/// Returns the configuration if it was recently confirmed to be the newest.
pub fn current_config(shared: &shared::Shared) -> Option<Arc<queue::Config>> {
    let configured = shared.current_config();
    let stale_ms = shared.settings().config_in_force_ms() * CONFIG_AGE_MAX_PERCENT / 100;
    let age_ms = clock::since_boot().since_ms(configured.confirmed_at?);
    configured.config.filter(|_| age_ms < stale_ms)
}

/// What a request was found to be about, for logs and metrics.
#[derive(Debug, Default)]
struct Subject {
    account: Option<id::Account>,
    is_submission: bool,
}

async fn handle(State(shared): State<Arc<shared::Shared>>, request: Request<Body>) -> Response {
    let began_at = clock::since_boot();
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let mut subject = Subject::default();
    let outcome = respond(
        &shared,
        &head.method,
        &head.headers,
        &path,
        body,
        began_at,
        &mut subject,
    )
    .await;
    let took_ms = clock::since_boot().since_ms(began_at);
    let (status, label) = status(&outcome);
    histogram!("wasabiloft_request_ms", "method" => head.method.to_string()).record(took_ms as f64);
    counter!("wasabiloft_requests_total", "outcome" => label).increment(1);
    let account_label = if subject.is_submission && status == StatusCode::OK {
        "accepted"
    } else {
        label
    };
    gauges::count_request(&shared, subject.account.as_ref(), account_label);
    let wait_s = wait_s(&shared, &outcome);
    if status != StatusCode::OK {
        let mut line = format!(
            "answer method={} path={path} status={} outcome={outcome:?} took_ms={took_ms}",
            head.method,
            status.as_u16()
        );
        if let Some(account) = &subject.account {
            line.push_str(&format!(" account={account}"));
        }
        if let Some(wait_s) = wait_s {
            line.push_str(&format!(" retry_after_s={wait_s}"));
        }
        log::info("front", &line);
    }
    let mut response = match outcome {
        Outcome::Done(body) => (status, body).into_response(),
        Outcome::Invalid(message) | Outcome::QuotaExceeded { message, .. } => {
            (status, message).into_response()
        }
        _ => status.into_response(),
    };
    let headers = response.headers_mut();
    if status == StatusCode::OK {
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/json"),
        );
    }
    if status == StatusCode::UNAUTHORIZED {
        headers.insert(
            header::WWW_AUTHENTICATE,
            header::HeaderValue::from_static(KEY_SCHEME),
        );
    }
    if let Some(wait_s) = wait_s {
        headers.insert(header::RETRY_AFTER, header::HeaderValue::from(wait_s));
    }
    if shared.stop.is_cancelled() {
        headers.insert(
            header::CONNECTION,
            header::HeaderValue::from_static("close"),
        );
    }
    response
}

/// Returns after how many seconds the caller should come back, if it is told to.
fn wait_s(shared: &shared::Shared, outcome: &Outcome) -> Option<u64> {
    match outcome {
        Outcome::QuotaExceeded { wait_s, .. } | Outcome::RateExceeded { wait_s } => Some(*wait_s),
        Outcome::NotRun(_) => Some(rejection::retry_after_s(
            shared.store_silent_ms(),
            rand::random(),
        )),
        _ => None,
    }
}

fn status(outcome: &Outcome) -> (StatusCode, &'static str) {
    match outcome {
        Outcome::Done(_) => (StatusCode::OK, "done"),
        Outcome::NoQueue => (StatusCode::NOT_FOUND, "no-queue"),
        Outcome::Unauthorized => (StatusCode::UNAUTHORIZED, "unauthorized"),
        Outcome::NoJob => (StatusCode::GONE, "no-job"),
        Outcome::Invalid(_) => (StatusCode::BAD_REQUEST, "invalid"),
        Outcome::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "too-large"),
        Outcome::BadMethod => (StatusCode::METHOD_NOT_ALLOWED, "bad-method"),
        Outcome::QuotaExceeded { .. } => (StatusCode::TOO_MANY_REQUESTS, "quota-exceeded"),
        Outcome::RateExceeded { .. } => (StatusCode::TOO_MANY_REQUESTS, "rate-exceeded"),
        Outcome::NotRun(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason),
        Outcome::Unknown(reason) => (StatusCode::GATEWAY_TIMEOUT, reason),
    }
}

async fn respond(
    shared: &Arc<shared::Shared>,
    method: &Method,
    headers: &HeaderMap,
    path: &str,
    body: Body,
    began_at: wasabiloft::clock::Instant,
    subject: &mut Subject,
) -> Outcome {
    subject.is_submission = *method == Method::POST;
    let config = shared.current_config().config;
    let body_max = config.as_ref().map_or(0, |config| config.body_bytes_max);
    // The whole request is read first, so that no refusal is sent while the caller is still sending.
    let body = match body::to_bytes(body, body_max.max(DEFAULT_BODY_BYTES_MAX)).await {
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
    let account = match config.access(route, key(headers)) {
        queue::Access::Open => None,
        queue::Access::Account(account) => Some(account),
        queue::Access::Denied => return Outcome::Unauthorized,
    };
    subject.account = account.cloned();
    if body.len() > config.body_bytes_max {
        return Outcome::TooLarge;
    }
    let deadline = began_at.after_ms(wait_limit_ms(headers));
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
            Ok(spec) => {
                let accepted = record::Accepted {
                    queue: route.queue.clone(),
                    account: account.cloned(),
                    spec,
                    submitted_unix_ms: clock::unix_ms(),
                    row_version: 0,
                };
                match (&config.accounts, account) {
                    (Some(accounts), Some(account)) => {
                        admission::submit(shared, accounts, account, job, accepted, deadline).await
                    }
                    _ => requests::submit(shared, job, accepted, deadline).await,
                }
            }
            Err(message) => Outcome::Invalid(message),
        },
        Method::GET => requests::state(shared, job, deadline).await,
        Method::DELETE => requests::cancel(shared, job, deadline).await,
        _ => Outcome::BadMethod,
    }
}

/// Returns the key that a request carries, if any.
fn key(headers: &HeaderMap) -> Option<&str> {
    let credentials = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = credentials.trim().split_once(' ')?;
    scheme
        .eq_ignore_ascii_case(KEY_SCHEME)
        .then_some(key.trim())
}

/// Body size limit in bytes until a configuration sets a larger one.
const DEFAULT_BODY_BYTES_MAX: usize = 262_144;

fn wait_limit_ms(headers: &HeaderMap) -> u64 {
    let stated = headers
        .get(DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.trim().parse::<u64>().ok());
    stated
        .unwrap_or(DEADLINE_DEFAULT_MS)
        .min(DEADLINE_MAX_MS)
        .saturating_sub(RESPONSE_RESERVE_MS)
}
