//! The fleet on a node: the rows and the list of VMs, drains of this node's requests, and the fleet duty.
//!
//! Every node reads the rows of VMs and pools, so that requests go to the VMs that a service's pool
//! owns, and answers [`wasabiloft::drain::Ask`]. The duty's leader runs the planner.

pub mod drains;
mod leader;
mod routes;
pub mod rows;

use std::sync::Arc;

use tokio::sync::{broadcast, mpsc, watch};
use wasabiloft::drain;
use wasabiloft::fleet;
use wasabiloft::id;
use wasabiloft::platform;
use wasabiloft::roster;

use crate::duties;
use crate::node;
use crate::peers;
use crate::view;

pub use routes::router;

/// The duty whose leader manages all rows of VMs and pools.
pub const DUTY: &str = "fleet";
/// Capacity of the queue of drain reports to the leader.
const REPORTS_MAX: usize = 1_024;
/// How long a node serves while it reaches neither table nor peers, in milliseconds.
const ISOLATION_MS: u64 = wasabiloft::config::FRESH_MS;

/// Holds the fleet state that the tasks of a node share.
#[derive(Debug)]
pub struct Fleet {
    /// Rows of VMs and pools from this node's last read.
    pub rows: watch::Sender<Arc<rows::Rows>>,
    /// The platform's list of VMs from this node's last read.
    pub list: watch::Sender<Arc<platform::VmList>>,
    /// Inbox of drain messages, from other nodes and from this one.
    pub drains: mpsc::Sender<peers::Incoming<drain::Message>>,
    /// Drain reports for the duty's leader, each with the node that sent it.
    pub reports: broadcast::Sender<(roster::NodeId, drain::Report)>,
}

impl Fleet {
    /// Creates the shared state; `drains` sends to the inbox of [`drains::run`].
    pub fn new(drains: mpsc::Sender<peers::Incoming<drain::Message>>) -> Self {
        Self {
            rows: watch::Sender::new(Arc::default()),
            list: watch::Sender::new(Arc::default()),
            drains,
            reports: broadcast::Sender::new(REPORTS_MAX),
        }
    }
}

/// Returns the planner's settings for a node.
fn settings(settings: &crate::settings::Settings) -> fleet::Settings {
    fleet::Settings {
        duty: id::Duty::from(DUTY),
        spare_pool: settings.fleet.spare_pool.clone(),
        spare_at_once: settings.fleet.spare_at_once,
        isolation_ms: ISOLATION_MS,
    }
}

/// Implements [`duties::Duty`] for the fleet.
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
