//! HTTP routes for jobs: `/-/jobs` and `/-/jobs/JOB`.

use std::sync::Arc;

use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::{Json, Router, routing};
use serde::{Deserialize, Serialize};
use wasabiloft::id;
use wasabiloft::job::submission::{self, Answer, Refusal};
use wasabiloft::job::{Row, Spec, spec};

use crate::node;

/// Maximum number of jobs in a page of the list.
const PAGE_ROWS: usize = 200;

/// Returns the routes for jobs, to be nested under `/-`.
pub fn router() -> Router<Arc<node::Shared>> {
    Router::new()
        .route("/jobs", routing::get(list).post(submit))
        .route("/jobs/{job}", routing::get(get).delete(delete))
}

/// Query parameters of the list.
#[derive(Debug, Default, Deserialize)]
struct Cursor {
    /// The last job of the previous page; empty for the first page.
    #[serde(default)]
    after: String,
}

/// Query parameters that name the requester.
#[derive(Debug, Deserialize)]
struct Requester {
    team: id::Team,
}

/// An entry of the list of jobs.
#[derive(Debug, Serialize)]
struct Summary {
    job: id::Job,
    state: String,
    reason: String,
    submitted_unix_ms: u64,
}

/// The response body of a submission or deletion.
#[derive(Debug, Serialize)]
struct Outcome {
    job: id::Job,
    answer: String,
}

async fn list(State(shared): State<Arc<node::Shared>>, Query(cursor): Query<Cursor>) -> Response {
    let after = match cursor.after.as_str() {
        "" => String::new(),
        job => spec::row_key(&id::Job::from(job)).to_string(),
    };
    let page = shared
        .platform
        .page(spec::ROW_PREFIX, &after, PAGE_ROWS)
        .await;
    let Ok(rows) = page else {
        return (
            StatusCode::SERVICE_UNAVAILABLE,
            "the table does not answer\n",
        )
            .into_response();
    };
    let summaries: Vec<Summary> = rows
        .iter()
        .filter_map(|stored| {
            let row: Row = serde_json::from_str(&stored.value).ok()?;
            Some(Summary {
                job: row.spec.job(),
                state: row.state.name().to_string(),
                reason: row.reason().to_string(),
                submitted_unix_ms: row.submitted_unix_ms,
            })
        })
        .collect();
    Json(summaries).into_response()
}

async fn get(State(shared): State<Arc<node::Shared>>, Path(job): Path<id::Job>) -> Response {
    match read(&shared, &job).await {
        Ok(row) => Json(row).into_response(),
        Err(response) => response,
    }
}

async fn submit(State(shared): State<Arc<node::Shared>>, Json(spec): Json<Spec>) -> Response {
    if let Err(error) = spec.validate() {
        return (StatusCode::BAD_REQUEST, format!("{error}\n")).into_response();
    }
    let job = spec.job();
    match shared.jobs.submit(spec.clone()).await {
        Answer::Exists => match read(&shared, &job).await {
            Ok(row) => match submission::verify_same_spec(&row, &spec) {
                Ok(()) => respond(StatusCode::OK, job, "exists"),
                Err(refusal) => refused(job, refusal),
            },
            Err(response) => response,
        },
        answer => respond_answer(StatusCode::CREATED, job, answer),
    }
}

async fn delete(
    State(shared): State<Arc<node::Shared>>,
    Path(job): Path<id::Job>,
    Query(requester): Query<Requester>,
) -> Response {
    let row = match read(&shared, &job).await {
        Ok(row) => row,
        Err(response) => return response,
    };
    match submission::owner_request(&row, &requester.team) {
        Ok(entry) => {
            let answer = shared.jobs.cancel_or_remove(entry).await;
            respond_answer(StatusCode::ACCEPTED, job, answer)
        }
        Err(refusal) => refused(job, refusal),
    }
}

async fn read(shared: &node::Shared, job: &id::Job) -> Result<Row, Response> {
    let stored = shared.platform.row(&spec::row_key(job)).await;
    let stored = stored.map_err(|_| {
        (
            StatusCode::SERVICE_UNAVAILABLE,
            "the table does not answer\n",
        )
            .into_response()
    })?;
    let stored = stored.ok_or_else(|| refused(job.clone(), Refusal::UnknownJob))?;
    serde_json::from_str(&stored.value)
        .map_err(|_| (StatusCode::INTERNAL_SERVER_ERROR, "unreadable row\n").into_response())
}

fn respond_answer(success: StatusCode, job: id::Job, answer: Answer) -> Response {
    match answer {
        Answer::Accepted => respond(success, job, "accepted"),
        Answer::Exists => respond(StatusCode::OK, job, "exists"),
        Answer::Refused(refusal) => refused(job, refusal),
        Answer::Unknown => respond(StatusCode::BAD_GATEWAY, job, "unknown"),
    }
}

fn refused(job: id::Job, refusal: Refusal) -> Response {
    let status = match refusal {
        Refusal::QueueFull | Refusal::TeamQueueFull => StatusCode::TOO_MANY_REQUESTS,
        Refusal::StoreTimeout => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::Malformed => StatusCode::BAD_REQUEST,
        Refusal::KeyMismatch => StatusCode::CONFLICT,
        Refusal::NotOwner => StatusCode::FORBIDDEN,
        Refusal::UnknownJob => StatusCode::NOT_FOUND,
    };
    respond(status, job, &refusal.to_string())
}

fn respond(status: StatusCode, job: id::Job, answer: &str) -> Response {
    let answer = answer.to_owned();
    (status, Json(Outcome { job, answer })).into_response()
}
