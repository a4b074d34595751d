//! A caller's request with its complete body and its kind.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::Request;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Uri};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time;
use wasabiloft::connection;
use wasabiloft::document;
use wasabiloft::id;
use wasabiloft::verdict;

use super::Failure;
use super::answer;
use crate::node;
use crate::view;

/// A request with its service and kind.
#[derive(Debug)]
pub struct Call {
    /// The service's document.
    pub accepted: Arc<view::Accepted>,
    /// The index of its kind in the document.
    pub kind: usize,
    /// The HTTP method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub uri: Uri,
    /// The end-to-end headers, which are forwarded.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// When the answer has to be complete or, if it is streamed, its first part has to be read.
    pub deadline: time::Instant,
}

impl Call {
    /// Returns the kind of the request.
    pub fn kind(&self) -> &document::Kind {
        &self.accepted.document.kinds[self.kind]
    }

    /// Returns the service that is called.
    pub fn service(&self) -> &id::Service {
        &self.accepted.document.service
    }

    /// Returns whether the request is idempotent, which decides the connections it may use.
    pub fn work(&self) -> connection::RequestKind {
        match self.kind().idempotent {
            true => connection::RequestKind::Idempotent,
            false => connection::RequestKind::NonIdempotent,
        }
    }

    /// Returns the time until the deadline, in milliseconds.
    pub fn remaining_ms(&self) -> u64 {
        let remaining = self
            .deadline
            .saturating_duration_since(time::Instant::now());
        u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
    }

    /// Builds the request that is sent to an endpoint.
    pub fn upstream_request(&self) -> http::Request<Full<Bytes>> {
        let mut request = http::Request::new(Full::from(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request.headers_mut().insert(
            super::DEADLINE_HEADER,
            HeaderValue::from(self.remaining_ms()),
        );
        request
    }
}

/// Finds the kind of a request and reads its body, up to the kind's limit.
pub async fn read(
    shared: &node::Shared,
    request: Request,
    arrived_at: time::Instant,
) -> Result<Call, Failure> {
    let (parts, body) = request.into_parts();
    let (accepted, kind) = find_kind(shared, &parts)?;
    let spec = &accepted.document.kinds[kind];
    let deadline_ms = deadline_ms(&parts.headers, spec.deadline_ms);
    let deadline = arrived_at + Duration::from_millis(deadline_ms);
    let limit_bytes = usize::try_from(spec.body_max_kib * 1_024).unwrap_or(usize::MAX);
    let body = read_body(body, limit_bytes, deadline).await?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = path
        .parse()
        .map_err(|_| Failure::not_run(verdict::Reason::UnknownService))?;
    Ok(Call {
        accepted,
        kind,
        method: parts.method,
        uri,
        headers: answer::end_to_end(parts.headers),
        body,
        deadline,
    })
}

fn find_kind(
    shared: &node::Shared,
    parts: &http::request::Parts,
) -> Result<(Arc<view::Accepted>, usize), Failure> {
    let unknown = Failure::not_run(verdict::Reason::UnknownService);
    let path = parts.uri.path().strip_prefix('/').ok_or(unknown)?;
    let slash = path.find('/').ok_or(unknown)?;
    let (service, rest) = path.split_at(slash);
    let view = shared.view.borrow();
    let accepted = view.documents.get(&id::Service::new(service));
    let accepted = Arc::clone(accepted.ok_or(unknown)?);
    let mut kinds = accepted.document.kinds.iter();
    let kind = kinds.position(|kind| kind.matches(parts.method.as_str(), rest));
    let kind = kind.ok_or(unknown)?;
    Ok((accepted, kind))
}

/// Returns the shorter of the caller's deadline and the kind's, in milliseconds.
fn deadline_ms(headers: &HeaderMap, kind_ms: u64) -> u64 {
    let caller_deadline = headers.get(super::DEADLINE_HEADER);
    let caller_deadline = caller_deadline.and_then(|value| value.to_str().ok()?.parse().ok());
    caller_deadline.map_or(kind_ms, |caller_ms: u64| caller_ms.min(kind_ms))
}

async fn read_body(
    body: Body,
    limit_bytes: usize,
    deadline: time::Instant,
) -> Result<Bytes, Failure> {
    let collected = Limited::new(body, limit_bytes).collect();
    match time::timeout_at(deadline, collected).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Failure::not_run(verdict::Reason::BodyTooLarge))
        }
        Ok(Err(_)) => Err(Failure::not_run(verdict::Reason::CallerGone)),
        Err(_) => Err(Failure::not_run(verdict::Reason::DeadlineTooShort)),
    }
}
