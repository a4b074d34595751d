//! Jobs on a node: callers' submissions, and the jobs duty while this node is its leader.

mod calls;
mod leader;
mod routes;
mod submission;

use std::sync::Arc;

use wasabiloft::id;

use crate::duties;
use crate::node;
use crate::view;

pub use routes::router;
pub use submission::{Driver, Handle, new};

/// The duty whose leader alone writes the rows of jobs.
pub const DUTY: &str = "jobs";
/// Share of each worker that is reserved for the runner of its pool's service, in thousandths.
const RUNNER_RESERVE_PERMILLE: u64 = 60;

/// Implements [`duties::Duty`] for jobs.
#[derive(Debug)]
pub struct Duty {
    shared: Arc<node::Shared>,
}

impl Duty {
    /// Creates the duty of one node.
    pub fn new(shared: Arc<node::Shared>) -> Self {
        Self { shared }
    }
}

impl duties::Duty for Duty {
    fn names(&self, _view: &view::View) -> Vec<id::Duty> {
        vec![id::Duty::from(DUTY)]
    }

    fn covers(&self, duty: &id::Duty) -> bool {
        duty.as_str() == DUTY
    }

    fn run(&self, context: duties::Context) -> duties::Task {
        Box::pin(leader::run(Arc::clone(&self.shared), context))
    }
}

/// Returns the wall-clock time in milliseconds since 1970, as job histories record it.
fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
