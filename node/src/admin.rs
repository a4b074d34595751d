//! Operators' HTTP routes: documents, fleet and jobs.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing;
use serde::Serialize;
use wasabiloft::document;
use wasabiloft::id;

use crate::documents;
use crate::fleet;
use crate::jobs;
use crate::node;

/// Returns the operators' routes, to be nested under `/-`.
pub fn router() -> Router<Arc<node::Shared>> {
    Router::new()
        .merge(fleet::router())
        .merge(jobs::router())
        .route("/documents", routing::get(list))
        .route("/documents/{service}", routing::get(get).put(put))
}

/// An entry of the list of documents.
#[derive(Debug, Serialize)]
struct Summary {
    service: id::Service,
    team: id::Team,
    version: u64,
}

async fn list(State(shared): State<Arc<node::Shared>>) -> Json<Vec<Summary>> {
    let view = shared.view.borrow();
    let mut summaries: Vec<_> = view
        .documents
        .values()
        .map(|accepted| Summary {
            service: accepted.document.service.clone(),
            team: accepted.document.team.clone(),
            version: accepted.version,
        })
        .collect();
    summaries.sort_by(|a, b| a.service.cmp(&b.service));
    Json(summaries)
}

async fn get(
    State(shared): State<Arc<node::Shared>>,
    Path(service): Path<id::Service>,
) -> Response {
    match shared.view.borrow().documents.get(&service) {
        Some(accepted) => (
            [(header::ETAG, etag(accepted.version))],
            accepted.text.clone(),
        )
            .into_response(),
        None => (StatusCode::NOT_FOUND, "no such service\n").into_response(),
    }
}

async fn put(
    State(shared): State<Arc<node::Shared>>,
    Path(service): Path<id::Service>,
    headers: HeaderMap,
    text: String,
) -> Response {
    let document = match document::parse(&text) {
        Ok(document) => document,
        Err(error) => return (StatusCode::BAD_REQUEST, format!("{error}\n")).into_response(),
    };
    if document.service != service {
        let message = format!("the document is of service {}\n", document.service);
        return (StatusCode::BAD_REQUEST, message).into_response();
    }
    if let Some(message) = conflict(&shared, &document) {
        return (
            StatusCode::CONFLICT,
            format!("{message}; nothing was changed\n"),
        )
            .into_response();
    }
    let Some(read_version) = read_version(&headers) else {
        let message = "If-Match must carry the version that was read, or \"0\"\n";
        return (StatusCode::PRECONDITION_REQUIRED, message).into_response();
    };
    let outcome = documents::write(&shared.control, &service, read_version, &text).await;
    respond(outcome)
}

/// Checks a document against those of the other services in force; returns the first problem.
fn conflict(shared: &node::Shared, document: &document::Document) -> Option<String> {
    let view = shared.view.borrow();
    let in_force = view.documents.values().map(|accepted| &accepted.document);
    let mut documents: Vec<_> = in_force
        .filter(|other| other.service != document.service)
        .collect();
    documents.push(document);
    let own = documents.len() - 1;
    let problems = document::check_conflicts(&documents).into_iter();
    let mut own_problems = problems.filter(|(index, _)| *index == own);
    own_problems.next().map(|(_, message)| message)
}

fn respond(outcome: documents::EditOutcome) -> Response {
    match outcome {
        documents::EditOutcome::Accepted(version) => {
            ([(header::ETAG, etag(version))], "accepted\n").into_response()
        }
        documents::EditOutcome::Pending(version) => {
            let message = "committed, and pending until a majority of the nodes has it\n";
            let headers = [(header::ETAG, etag(version))];
            (StatusCode::ACCEPTED, headers, message).into_response()
        }
        documents::EditOutcome::Raced(version) => {
            let message =
                format!("the document is at version {version} by now; nothing was changed\n");
            (StatusCode::PRECONDITION_FAILED, message).into_response()
        }
        documents::EditOutcome::NotRun => {
            let message = "the platform gives no answer; nothing was changed\n";
            (StatusCode::SERVICE_UNAVAILABLE, message).into_response()
        }
        documents::EditOutcome::MayHaveRun => {
            let message = "the platform gave no answer; read the document to see if it changed\n";
            (StatusCode::GATEWAY_TIMEOUT, message).into_response()
        }
    }
}

fn etag(version: u64) -> String {
    format!("\"{version}\"")
}

fn read_version(headers: &HeaderMap) -> Option<u64> {
    let tag = headers.get(header::IF_MATCH)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}
