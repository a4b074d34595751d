//! Responses to callers; each has a verdict header.

use axum::body::Body;
use axum::response::{IntoResponse, Response};
use futures_util::StreamExt;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use wasabiloft::idempotency::message;
use wasabiloft::verdict;

use super::attempt;
use crate::upstream;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::PROXY_AUTHENTICATE,
];

/// The failure of a request: whether it ran, and the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the request ran, may have run, or did not run.
    pub verdict: verdict::Verdict,
    /// The cause, as it is sent to the caller.
    pub reason: verdict::Reason,
}

impl Failure {
    /// Creates the failure of a request that was refused before anything was sent to an endpoint.
    pub fn not_run(reason: verdict::Reason) -> Self {
        Self {
            verdict: verdict::Verdict::NotRun,
            reason,
        }
    }
}

/// Builds the response from an endpoint's answer.
pub fn answered(answered: attempt::Answered) -> Response {
    let (mut parts, body) = match answered.answer {
        upstream::Answer::Complete(response) => {
            let (parts, body) = response.into_parts();
            (parts, Body::from(body))
        }
        upstream::Answer::Streamed(parts, rest) => {
            let permit = answered.permit;
            // The stream owns the permit, so that the slot is held until the stream ends.
            let stream = rest.into_stream().map(move |chunk| {
                let _held = &permit;
                chunk
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

/// Builds the response from the stored answer of an earlier request with the same key.
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

/// Builds the response for a request that failed or was refused.
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

/// Asks an HTTP/1.1 caller to close the connection after this response.
pub fn close_connection(response: &mut Response) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

/// Removes hop-by-hop headers, those that `Connection` names, and `Content-Length`.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&named) {
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
