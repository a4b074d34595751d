//! One request and its answer on one connection; a cut answer never passes for whole.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http::{Request, Response, StatusCode, header, response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use tokio::time;
use wasabiloft::retry;
use wasabiloft::verdict;

use super::endpoint;

/// Answers up to this size are collected before a byte of them is passed on, in bytes.
const WHOLE_MAX_BYTES: usize = 64 * 1_024;
/// A streamed answer from which nothing comes for this long is cut, in milliseconds.
const STALL_MS: u64 = 5_000;

/// A whole answer's body.
pub type WholeBody = Bytes;

/// An endpoint's answer.
#[derive(Debug)]
pub enum Answer {
    /// It is whole.
    Whole(Response<WholeBody>),
    /// Its head and first part are here; the rest follows, or an error if it is cut.
    Streamed(response::Parts, Rest),
}

/// A streamed answer: what has come, and where the rest comes from.
#[derive(Debug)]
pub struct Rest {
    first: Option<Bytes>,
    body: Incoming,
    lease: endpoint::Lease,
}

impl Rest {
    /// The body's parts; ends with an error if the answer is cut.
    pub fn into_stream(self) -> impl stream::Stream<Item = Result<Bytes, io::Error>> {
        stream::try_unfold(Some(self), |state| async move {
            match state {
                Some(rest) => rest.next().await,
                None => Ok(None),
            }
        })
    }

    async fn next(mut self) -> Result<Option<(Bytes, Option<Self>)>, io::Error> {
        if let Some(first) = self.first.take() {
            return Ok(Some((first, Some(self))));
        }
        let stall = Duration::from_millis(STALL_MS);
        match time::timeout(stall, next_data(&mut self.body)).await {
            Ok(Ok(Some(data))) => {
                self.lease.proven();
                Ok(Some((data, Some(self))))
            }
            Ok(Ok(None)) => {
                self.lease.give_back().await;
                Ok(None)
            }
            Ok(Err(_)) => Err(cut("answer-cut")),
            Err(_) => {
                self.lease.time_out();
                Err(cut("answer-stalled"))
            }
        }
    }
}

/// Sends the request and waits for the answer.
pub async fn run(
    mut lease: endpoint::Lease,
    request: Request<Full<Bytes>>,
    deadline: time::Instant,
) -> Result<Answer, retry::Failure> {
    let is_head = request.method() == http::Method::HEAD;
    let Some(sender) = lease.sender() else {
        return Err(failure(
            retry::Progress::NothingSent,
            verdict::Reason::ConnectionLost,
        ));
    };
    let sent = sender.try_send_request(request);
    let response = match time::timeout_at(deadline, sent).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            let progress = match error.take_message() {
                Some(_) => retry::Progress::NothingSent,
                None => retry::Progress::MaybeSent,
            };
            return Err(failure(progress, verdict::Reason::ConnectionLost));
        }
        Err(_) => {
            lease.time_out();
            return Err(may_have_run(verdict::Reason::AnswerTimeout));
        }
    };
    lease.proven();
    let (parts, body) = response.into_parts();
    if !is_head && !has_end(&parts) {
        return Err(may_have_run(verdict::Reason::AnswerCut));
    }
    collect(lease, parts, body, deadline).await
}

/// Collects a small answer, or the first part of a large one.
async fn collect(
    lease: endpoint::Lease,
    parts: response::Parts,
    mut body: Incoming,
    deadline: time::Instant,
) -> Result<Answer, retry::Failure> {
    let mut collected = BytesMut::new();
    loop {
        match time::timeout_at(deadline, next_data(&mut body)).await {
            Ok(Ok(Some(data))) => collected.extend_from_slice(&data),
            Ok(Ok(None)) => {
                lease.give_back().await;
                let whole = Response::from_parts(parts, collected.freeze());
                return Ok(Answer::Whole(whole));
            }
            Ok(Err(_)) => return Err(may_have_run(verdict::Reason::AnswerCut)),
            Err(_) => {
                lease.time_out();
                return Err(may_have_run(verdict::Reason::AnswerTimeout));
            }
        }
        if collected.len() > WHOLE_MAX_BYTES {
            let rest = Rest {
                first: Some(collected.freeze()),
                body,
                lease,
            };
            return Ok(Answer::Streamed(parts, rest));
        }
    }
}

/// Tells whether an answer says where its body ends; without that a cut one looks whole.
fn has_end(parts: &response::Parts) -> bool {
    let no_body = parts.status.is_informational()
        || parts.status == StatusCode::NO_CONTENT
        || parts.status == StatusCode::NOT_MODIFIED;
    no_body
        || parts.headers.contains_key(header::CONTENT_LENGTH)
        || parts.headers.contains_key(header::TRANSFER_ENCODING)
}

async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
        if body.is_end_stream() {
            break;
        }
    }
    Ok(None)
}

fn failure(progress: retry::Progress, reason: verdict::Reason) -> retry::Failure {
    retry::Failure { progress, reason }
}

fn may_have_run(reason: verdict::Reason) -> retry::Failure {
    failure(retry::Progress::MaybeSent, reason)
}

fn cut(reason: &'static str) -> io::Error {
    metrics::counter!("wasabiloft_streams_cut_total", "reason" => reason).increment(1);
    io::Error::other(reason)
}
