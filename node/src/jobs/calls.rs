//! Calls to workers over the platform's HTTP interface.

use bytes::Bytes;
use http::{Response, StatusCode};
use wasabiloft::id;
use wasabiloft::job::duty::{Action, Call, CallResult};
use wasabiloft::platform as messages;

use crate::platform;

/// Makes one call to a worker, without retries.
pub async fn perform(platform: &platform::Client, call: &Call) -> CallResult {
    let vm = &call.vm;
    let answer = match &call.action {
        Action::Start(start) => platform.worker(vm, "tasks", start).await,
        Action::Renew(renew) => platform.worker(vm, "renew", renew).await,
        Action::Checkpoint { task, intent } => {
            task_call(platform, vm, task, "checkpoint", intent).await
        }
        Action::Throttle { task, intent } => {
            task_call(platform, vm, task, "throttle", intent).await
        }
        Action::Stop { task, intent } => task_call(platform, vm, task, "stop", intent).await,
    };
    answer.map_or(CallResult::Lost, |answer| result(&call.action, &answer))
}

async fn task_call(
    platform: &platform::Client,
    vm: &id::Vm,
    task: &id::Task,
    verb: &str,
    intent: &messages::Intent,
) -> Result<Response<Bytes>, platform::Error> {
    let path = format!("tasks/{task}/{verb}");
    platform.worker(vm, &path, intent).await
}

fn result(action: &Action, answer: &Response<Bytes>) -> CallResult {
    match answer.status() {
        StatusCode::OK => done(action, answer.body()),
        StatusCode::CONFLICT => CallResult::OlderEpoch,
        StatusCode::NOT_FOUND => CallResult::NotFound,
        _ => CallResult::Lost,
    }
}

fn done(action: &Action, body: &[u8]) -> CallResult {
    match action {
        Action::Start(_) => match serde_json::from_slice(body) {
            Ok(messages::StartAnswer::Started) => CallResult::Done,
            Ok(messages::StartAnswer::NoRoom) => CallResult::NoRoom,
            Err(_) => CallResult::Lost,
        },
        Action::Renew(_) => match serde_json::from_slice::<messages::RenewAnswer>(body) {
            Ok(answer) => CallResult::Renewed {
                unknown: answer.unknown,
            },
            Err(_) => CallResult::Lost,
        },
        Action::Checkpoint { .. } | Action::Throttle { .. } | Action::Stop { .. } => {
            CallResult::Done
        }
    }
}
