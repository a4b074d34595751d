//! One request and its answer on one connection; a truncated answer is never reported as complete.

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

/// Answers up to this size are buffered completely before they are forwarded, in bytes.
const BUFFER_MAX_BYTES: usize = 64 * 1_024;
/// A streamed answer is aborted if no data arrives for this long, in milliseconds.
const STALL_TIMEOUT_MS: u64 = 5_000;

/// The body of an answer that was buffered completely.
pub type CompleteBody = Bytes;

/// An endpoint's answer.
#[derive(Debug)]
pub enum Answer {
    /// The complete answer.
    Complete(Response<CompleteBody>),
    /// The head of an answer and its body as a stream, which ends with an error if the answer is truncated.
    Streamed(response::Parts, StreamedBody),
}

/// The body of a streamed answer: its first part and the connection that the remainder arrives on.
#[derive(Debug)]
pub struct StreamedBody {
    first: Option<Bytes>,
    body: Incoming,
    lease: endpoint::Lease,
}

impl StreamedBody {
    /// Returns the body's chunks as a stream, which ends with an error if the answer is truncated.
    pub fn into_stream(self) -> impl stream::Stream<Item = Result<Bytes, io::Error>> {
        stream::try_unfold(Some(self), |state| async move {
            match state {
                Some(body) => body.next().await,
                None => Ok(None),
            }
        })
    }

    async fn next(mut self) -> Result<Option<(Bytes, Option<Self>)>, io::Error> {
        if let Some(first) = self.first.take() {
            return Ok(Some((first, Some(self))));
        }
        let timeout = Duration::from_millis(STALL_TIMEOUT_MS);
        match time::timeout(timeout, next_data(&mut self.body)).await {
            Ok(Ok(Some(data))) => {
                self.lease.record_activity();
                Ok(Some((data, Some(self))))
            }
            Ok(Ok(None)) => {
                self.lease.release().await;
                Ok(None)
            }
            Ok(Err(_)) => Err(stream_error("answer-cut")),
            Err(_) => {
                self.lease.time_out();
                Err(stream_error("answer-stalled"))
            }
        }
    }
}

/// Sends the request and waits for the answer, or for its first part if it is large.
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
    lease.record_activity();
    let (parts, body) = response.into_parts();
    if !is_head && !is_delimited(&parts) {
        return Err(may_have_run(verdict::Reason::AnswerCut));
    }
    collect(lease, parts, body, deadline).await
}

/// Buffers a small answer, or the first part of a large one.
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
                lease.release().await;
                let response = Response::from_parts(parts, collected.freeze());
                return Ok(Answer::Complete(response));
            }
            Ok(Err(_)) => return Err(may_have_run(verdict::Reason::AnswerCut)),
            Err(_) => {
                lease.time_out();
                return Err(may_have_run(verdict::Reason::AnswerTimeout));
            }
        }
        if collected.len() > BUFFER_MAX_BYTES {
            let body = StreamedBody {
                first: Some(collected.freeze()),
                body,
                lease,
            };
            return Ok(Answer::Streamed(parts, body));
        }
    }
}

/// Returns true if the head says where the body ends; otherwise a truncated answer can't be told from a
/// complete one.
fn is_delimited(parts: &response::Parts) -> bool {
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

fn stream_error(reason: &'static str) -> io::Error {
    metrics::counter!("wasabiloft_streams_cut_total", "reason" => reason).increment(1);
    io::Error::other(reason)
}
