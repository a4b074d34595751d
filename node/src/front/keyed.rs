//! Requests with an `Idempotency-Key`: at most one runs for each key.

use std::fmt::Write;
use std::sync::Arc;

use axum::response::Response;
use http::header;
use wasabiloft::id;
use wasabiloft::idempotency::hash;
use wasabiloft::idempotency::message;
use wasabiloft::verdict;

use super::Failure;
use super::answer;
use super::attempt;
use super::call;
use crate::node;
use crate::upstream;

/// The header in which callers send the key.
pub const HEADER: &str = "idempotency-key";
/// Maximum length of a key, in bytes.
const KEY_MAX_BYTES: usize = 128;
/// Maximum size of an answer that is stored and replayed to repeats, in bytes.
const ANSWER_MAX_BYTES: usize = 2_048;

/// Returns the key of a request; `None` if it has none, or if its kind is idempotent and needs none.
///
/// # Errors
///
/// Returns a failure if the key is empty, too long, or not text.
pub fn key_of(call: &call::Call) -> Result<Option<message::Key>, Failure> {
    let Some(value) = call.headers.get(HEADER) else {
        return Ok(None);
    };
    if call.kind().idempotent {
        return Ok(None);
    }
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > KEY_MAX_BYTES {
        return Err(Failure::not_run(verdict::Reason::KeyUnclaimed));
    }
    Ok(Some(message::Key {
        service: call.service().clone(),
        text: id::Key::from(escape(text)),
    }))
}

/// Weakens the verdict of a refusal before the claim: an earlier request with the key may have run.
pub fn before_claim(failure: Failure) -> Failure {
    Failure {
        verdict: verdict::Verdict::MayHaveRun,
        ..failure
    }
}

/// Claims the key, runs the request if it is the first, and answers.
///
/// It continues if the caller disconnects, so that a repeat gets the outcome.
pub async fn run(shared: &Arc<node::Shared>, call: call::Call, key: message::Key) -> Response {
    let task = claim_and_run(Arc::clone(shared), call, key);
    match shared.keyed_requests.spawn(task).await {
        Ok(response) => response,
        Err(_) => answer::failed(Failure {
            verdict: verdict::Verdict::MayHaveRun,
            reason: verdict::Reason::NodeStopping,
        }),
    }
}

async fn claim_and_run(shared: Arc<node::Shared>, call: call::Call, key: message::Key) -> Response {
    let fingerprint = hash::of(&[
        call.method.as_str().as_bytes(),
        call.uri.to_string().as_bytes(),
        &call.body,
    ]);
    let deadline = shared.clock.now().after_ms(call.remaining_ms());
    let (number, decision) = shared.keys.claim(key, fingerprint, deadline).await;
    match decision {
        message::Decision::Run => {}
        message::Decision::Replay(answer) => return answer::replayed(answer),
        message::Decision::Refuse(verdict, reason) => {
            return answer::failed(Failure { verdict, reason });
        }
    }
    let outcome = attempt::run(&shared, &call).await;
    shared.keys.end(number, end_of(&outcome)).await;
    match outcome {
        Ok(answered) => answer::answered(answered),
        Err(failure) => answer::failed(failure),
    }
}

fn end_of(outcome: &Result<attempt::Answered, Failure>) -> message::End {
    match outcome {
        Ok(answered) => message::End::Ran(storable(&answered.answer)),
        Err(failure) => match failure.verdict {
            verdict::Verdict::NotRun => message::End::NotRun,
            verdict::Verdict::Ran => message::End::Ran(None),
            verdict::Verdict::MayHaveRun => message::End::MayHaveRun,
        },
    }
}

/// Returns the answer to be stored for repeats, if it is complete, small and text.
fn storable(answer: &upstream::Answer) -> Option<message::Answer> {
    let upstream::Answer::Complete(response) = answer else {
        return None;
    };
    if response.body().len() > ANSWER_MAX_BYTES {
        return None;
    }
    let body = String::from_utf8(response.body().to_vec()).ok()?;
    let content_type = response.headers().get(header::CONTENT_TYPE);
    Some(message::Answer {
        status: response.status().as_u16(),
        content_type: content_type.and_then(|value| value.to_str().ok().map(str::to_owned)),
        body,
    })
}

/// Escapes bytes that have a meaning in row keys or queries as hexadecimal digits.
fn escape(text: &str) -> String {
    let mut escaped = String::new();
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => {
                escaped.push(char::from(byte));
            }
            _ => {
                // Writing to a `String` can't fail.
                let _ = write!(escaped, "~{byte:02x}");
            }
        }
    }
    escaped
}
