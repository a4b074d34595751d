//! The view of the request path: the documents in force and the endpoints of their pools.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use wasabiloft::document;
use wasabiloft::id;

/// A document in force.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// The version of the document's row.
    pub version: u64,
    /// The text as the operator wrote it.
    pub text: String,
    /// The parsed text.
    pub document: document::Document,
}

/// An endpoint that serves requests of a pool's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The VM of the endpoint's runner.
    pub vm: id::Vm,
    /// The address where the runner listens.
    pub address: SocketAddr,
    /// True if the endpoint accepts no new requests.
    pub leaving: bool,
}

/// Documents and endpoints; every change replaces the whole view.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Documents in force, by service.
    pub documents: HashMap<id::Service, Arc<Accepted>>,
    /// Endpoints, by the pool that owns their VM.
    pub endpoints: HashMap<id::Pool, Arc<Vec<Endpoint>>>,
}

impl View {
    /// Returns the endpoints of a document's pool; `None` if it has none.
    pub fn endpoints_of(&self, document: &document::Document) -> Option<&Arc<Vec<Endpoint>>> {
        self.endpoints.get(&document.capacity.pool)
    }
}
