//! Answers to callers; each carries its verdict.

use axum::body::Body;
use axum::response::{IntoResponse, Response};
use futures_util::StreamExt;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use wasabiloft::idempotency::message;
use wasabiloft::verdict;

use super::attempt;
use crate::upstream;

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::PROXY_AUTHENTICATE,
];

/// A request that got no answer: what is known of it, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether it may have run.
    pub verdict: verdict::Verdict,
    /// Why it failed.
    pub reason: verdict::Reason,
}

impl Failure {
    /// A refusal before anything was sent.
    pub fn not_run(reason: verdict::Reason) -> Self {
        Self {
            verdict: verdict::Verdict::NotRun,
            reason,
        }
    }
}

/// The answer of an endpoint.
pub fn answered(answered: attempt::Answered) -> Response {
    let (mut parts, body) = match answered.answer {
        upstream::Answer::Whole(response) => {
            let (parts, body) = response.into_parts();
            (parts, Body::from(body))
        }
        upstream::Answer::Streamed(parts, rest) => {
            let permit = answered.permit;
            // The permit lasts as long as the stream.
            let stream = rest.into_stream().map(move |part| {
                let _held = &permit;
                part
            });
            (parts, Body::from_stream(stream))
        }
    };
    parts.headers = end_to_end(parts.headers);
    parts
        .headers
        .insert(verdict::VERDICT_HEADER, HeaderValue::from_static("ran"));
    Response::from_parts(parts, body)
}

/// The answer of an earlier attempt under the same key.
pub fn replayed(answer: message::Answer) -> Response {
    metrics::counter!("wasabiloft_key_replays_total").increment(1);
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let content_type = answer.content_type.and_then(|text| text.parse().ok());
    if let Some(content_type) = content_type {
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
    }
    let ran = HeaderValue::from_static("ran");
    response.headers_mut().insert(verdict::VERDICT_HEADER, ran);
    response
}

/// The answer to a request that failed or was refused.
pub fn failed(failure: Failure) -> Response {
    let reason = failure.reason.to_string();
    metrics::counter!("requests_failed_total", "reason" => reason.clone()).increment(1);
    let headers = [
        (verdict::VERDICT_HEADER, failure.verdict.to_string()),
        (verdict::REASON_HEADER, reason),
    ];
    let body = format!("{}: {}\n", failure.verdict, failure.reason);
    (status(failure), headers, body).into_response()
}

/// Tells an HTTP/1.1 caller to use another connection for its next request.
pub fn close_connection(response: &mut Response) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

/// Leaves out the headers that belong to one connection, and those that they name.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers
}

fn status(failure: Failure) -> StatusCode {
    match (failure.reason, failure.verdict) {
        (verdict::Reason::UnknownService, _) => StatusCode::NOT_FOUND,
        (verdict::Reason::BodyTooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (verdict::Reason::CallerGone, _) => StatusCode::BAD_REQUEST,
        (verdict::Reason::KeyInProgress | verdict::Reason::KeyAlreadyRan, _) => {
            StatusCode::CONFLICT
        }
        (verdict::Reason::KeyMismatch, _) => StatusCode::UNPROCESSABLE_ENTITY,
        (_, verdict::Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (verdict::Reason::AnswerTimeout, _) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
