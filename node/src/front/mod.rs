//! The proxy for callers' requests: matches the request's kind, forwards it, and puts a verdict on each response.

mod answer;
mod attempt;
mod call;
mod keyed;

use std::sync::Arc;

use axum::extract::{Request, State};
use axum::response::Response;
use tokio::time;
use wasabiloft::config;
use wasabiloft::verdict;

use crate::node;

pub use answer::Failure;
pub use attempt::Budgets;

/// The header with the remaining time for the answer, in milliseconds; callers send it, and endpoints receive it.
pub const DEADLINE_HEADER: &str = "wasabiloft-deadline-ms";

/// Handles one request of a caller.
pub async fn serve(State(shared): State<Arc<node::Shared>>, request: Request) -> Response {
    let arrived_at = time::Instant::now();
    let has_key = request.headers().contains_key(keyed::HEADER);
    let mut response = match forward(&shared, request, arrived_at).await {
        Ok(response) => response,
        Err(failure) if has_key => answer::failed(keyed::before_claim(failure)),
        Err(failure) => answer::failed(failure),
    };
    if shared.stop.is_cancelled() && response.version() < http::Version::HTTP_2 {
        answer::close_connection(&mut response);
    }
    response
}

async fn forward(
    shared: &Arc<node::Shared>,
    request: Request,
    arrived_at: time::Instant,
) -> Result<Response, Failure> {
    check_standing(shared)?;
    let call = call::read(shared, request, arrived_at).await?;
    match keyed::key_of(&call)? {
        Some(key) => Ok(keyed::run(shared, call, key).await),
        None => {
            let answered = attempt::run(shared, &call).await?;
            Ok(answer::answered(answered))
        }
    }
}

/// Refuses a request while the node can't prove that its configuration is current.
fn check_standing(shared: &node::Shared) -> Result<(), Failure> {
    if shared.control.may_serve() {
        return Ok(());
    }
    Err(Failure::not_run(match shared.control.state().standing {
        config::ServingState::Starting => verdict::Reason::NodeStarting,
        config::ServingState::Isolated | config::ServingState::ServingUntil(_) => {
            verdict::Reason::NodeIsolated
        }
    }))
}
