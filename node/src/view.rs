//! What the request path sees of the fleet: documents and the endpoints of their pools.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use wasabiloft::document;
use wasabiloft::id;

/// A document in force.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// Its version: that of its row.
    pub version: u64,
    /// Its text.
    pub text: String,
    /// Its content.
    pub document: document::Document,
}

/// An endpoint of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The VM whose runner it is.
    pub vm: id::Vm,
    /// Where it listens.
    pub address: SocketAddr,
    /// True if it takes no new work.
    pub leaving: bool,
}

/// Documents and endpoints; replaced whole at each change.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Documents by service.
    pub documents: HashMap<id::Service, Arc<Accepted>>,
    /// Endpoints by pool.
    pub endpoints: HashMap<id::Pool, Arc<Vec<Endpoint>>>,
}

impl View {
    /// The endpoints of a document's pool.
    pub fn endpoints_of(&self, document: &document::Document) -> Option<&Arc<Vec<Endpoint>>> {
        self.endpoints.get(&document.capacity.pool)
    }
}
