//! Jobs on a node: submissions of callers, and the jobs duty where this node holds its lease.

mod calls;
mod holder;
mod intake;
mod pages;

use std::sync::Arc;

use wasabiloft::id;

use crate::duties;
use crate::node;
use crate::view;

pub use intake::{Driver, Handle, new};
pub use pages::router;

/// The duty that owns all rows of jobs.
pub const DUTY: &str = "jobs";
/// Thousandths of each worker that are kept for the runner of its pool's service.
const RUNNER_RESERVE_PERMILLE: u64 = 60;

/// The jobs duty, as the runner of duties sees it.
#[derive(Debug)]
pub struct Duty {
    shared: Arc<node::Shared>,
}

impl Duty {
    /// The duty on a node.
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
        Box::pin(holder::run(Arc::clone(&self.shared), context))
    }
}

/// Milliseconds since 1970 on the wall clock, for histories.
fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
