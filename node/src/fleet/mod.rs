//! The fleet on a node: rows and list of VMs, drains of what this node sends, and the fleet duty.
//!
//! Every node reads the rows of VMs and pools, so that requests go to the VMs that a service's pool
//! owns, and answers [`wasabiloft::drain::Ask`]. The one that holds the duty's lease runs the planner.

pub mod drains;
mod holder;
mod pages;
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

pub use pages::router;

/// The duty that owns all rows of VMs and pools.
pub const DUTY: &str = "fleet";
/// Reports of drains that wait for the holder.
const REPORTS_MAX: usize = 1_024;
/// How long a node serves without table and peers, in milliseconds.
const ISOLATION_MS: u64 = wasabiloft::config::FRESH_MS;

/// What the parts of the fleet on a node share.
#[derive(Debug)]
pub struct Fleet {
    /// Rows of VMs and pools, as this node read them last.
    pub rows: watch::Sender<Arc<rows::Rows>>,
    /// The platform's newest list.
    pub list: watch::Sender<Arc<platform::VmList>>,
    /// Messages of drains, from other nodes and from this one.
    pub drains: mpsc::Sender<peers::Incoming<drain::Message>>,
    /// Acknowledgements for the holder, each with the node that gave it.
    pub reports: broadcast::Sender<(roster::NodeId, drain::Report)>,
}

impl Fleet {
    /// Makes the shared part; `drains` is the inbox's other end.
    pub fn new(drains: mpsc::Sender<peers::Incoming<drain::Message>>) -> Self {
        Self {
            rows: watch::Sender::new(Arc::default()),
            list: watch::Sender::new(Arc::default()),
            drains,
            reports: broadcast::Sender::new(REPORTS_MAX),
        }
    }
}

/// The settings of the duty on a node.
fn settings(settings: &crate::settings::Settings) -> fleet::Settings {
    fleet::Settings {
        duty: id::Duty::from(DUTY),
        spare_pool: settings.fleet.spare_pool.clone(),
        spare_at_once: settings.fleet.spare_at_once,
        isolation_ms: ISOLATION_MS,
    }
}

/// The fleet duty, as the runner of duties sees it.
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
