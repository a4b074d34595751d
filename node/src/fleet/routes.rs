//! HTTP routes for the fleet's status and for operators' marks on VMs.

use std::sync::Arc;

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::{Json, Router, routing};
use serde::Deserialize;
use wasabiloft::fleet::{Input, planner, status};
use wasabiloft::id;
use wasabiloft::journal;
use wasabiloft::platform as messages;
use wasabiloft::pool::row;

use crate::node;
use crate::platform;

/// Returns the fleet's routes, to be nested under `/-`.
pub fn router() -> Router<Arc<node::Shared>> {
    Router::new()
        .route("/status", routing::get(pools))
        .route("/vms", routing::get(vms))
        .route("/vms/{vm}", routing::post(mark))
}

/// The request body that marks a VM.
#[derive(Debug, Deserialize)]
struct MarkRequest {
    /// The new mark; `null` clears it.
    mark: Option<row::Mark>,
}

async fn pools(State(shared): State<Arc<node::Shared>>) -> Json<Vec<status::Pool>> {
    Json(status(&shared).pools)
}

async fn vms(State(shared): State<Arc<node::Shared>>) -> Json<Vec<status::Vm>> {
    Json(status(&shared).vms)
}

/// Computes the fleet's status from the rows, the list and the documents that this node last read.
fn status(shared: &node::Shared) -> status::Fleet {
    let now = shared.clock.now();
    let mut planner = planner::Planner::new(super::settings(&shared.settings), 0);
    let view = Arc::clone(&shared.view.borrow());
    let documents = view.documents.values();
    let documents: Vec<_> = documents
        .map(|accepted| accepted.document.clone())
        .collect();
    let list = Arc::clone(&shared.fleet.list.borrow());
    let rows = Arc::clone(&shared.fleet.rows.borrow());
    let (pools, vms) = (&rows.pools, &rows.vms);
    planner.handle(now, Input::Documents(&documents));
    planner.handle(now, Input::List(&list));
    planner.handle(now, Input::Rows { pools, vms });
    planner.stored_status()
}

async fn mark(
    State(shared): State<Arc<node::Shared>>,
    Path(vm): Path<id::Vm>,
    Json(request): Json<MarkRequest>,
) -> Response {
    let stored = match shared.platform.row(&row::vm_key(&vm)).await {
        Ok(Some(stored)) => stored,
        Ok(None) => return (StatusCode::NOT_FOUND, "no such VM\n").into_response(),
        Err(error) => return unavailable(&error),
    };
    let Ok(mut row) = row::read_vm(&stored) else {
        return (
            StatusCode::INTERNAL_SERVER_ERROR,
            "the VM's row can't be read\n",
        )
            .into_response();
    };
    row.mark = request.mark;
    let txn = messages::Txn {
        checks: vec![messages::Check {
            key: stored.key.clone(),
            version: stored.version,
        }],
        writes: vec![messages::Write {
            key: stored.key,
            value: serde_json::to_string(&row).ok(),
        }],
    };
    match shared.control.submit(txn).await {
        Some(journal::Settled::Committed(_) | journal::Settled::CommittedUnseen) => {
            "marked\n".into_response()
        }
        Some(journal::Settled::Refused(_)) => {
            let message = "the VM has just changed; nothing was marked\n";
            (StatusCode::CONFLICT, message).into_response()
        }
        None => {
            let message = "the node stops; read the VM to see if it was marked\n";
            (StatusCode::SERVICE_UNAVAILABLE, message).into_response()
        }
    }
}

fn unavailable(error: &platform::Error) -> Response {
    let message = format!("{error}; nothing was marked\n");
    (StatusCode::SERVICE_UNAVAILABLE, message).into_response()
}
