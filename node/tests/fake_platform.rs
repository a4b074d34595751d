//! A platform for tests: a table, and a list of VMs that the test sets.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use axum::Json;
use axum::Router;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing;
use serde::Deserialize;
use wasabiloft::platform;
use wasabiloft_standins::server;
use wasabiloft_standins::table;

#[derive(Debug, Default)]
struct Inner {
    table: table::Table,
    vms: platform::VmList,
}

type Shared = Arc<Mutex<Inner>>;

/// A running platform.
pub struct FakePlatform {
    server: server::Server,
    inner: Shared,
}

impl FakePlatform {
    /// Starts a platform with one VM for each endpoint.
    pub async fn start(endpoints: &[SocketAddr]) -> Self {
        let inner = Shared::default();
        inner.lock().unwrap().vms = list(endpoints, None);
        let router = Router::new()
            .route("/vms", routing::get(vms))
            .route("/table/transact", routing::post(transact))
            .route("/table/row", routing::get(row))
            .route("/table/range", routing::get(range))
            .with_state(Arc::clone(&inner));
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = server::Server::start(address, router).await.unwrap();
        Self { server, inner }
    }

    /// Returns the address where the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Lists one of the VMs, given by its index, as leaving.
    pub fn set_leaving(&self, endpoints: &[SocketAddr], leaving: usize) {
        self.inner.lock().unwrap().vms = list(endpoints, Some(leaving));
    }
}

fn list(endpoints: &[SocketAddr], leaving: Option<usize>) -> platform::VmList {
    let vm = |(index, endpoint): (usize, &SocketAddr)| platform::Vm {
        vm: format!("vm-{index}").into(),
        rack: "rack-1".into(),
        data_centre: "dc-1".into(),
        region: "region-1".into(),
        home_pool: "billing".into(),
        state: match leaving == Some(index) {
            true => platform::VmState::Leaving,
            false => platform::VmState::Live,
        },
        boots: 1,
        size: platform::Resources::default(),
        endpoint: *endpoint,
    };
    platform::VmList {
        as_of_ms: 1,
        vms: endpoints.iter().enumerate().map(vm).collect(),
    }
}

async fn vms(State(shared): State<Shared>) -> Json<platform::VmList> {
    Json(shared.lock().unwrap().vms.clone())
}

async fn transact(State(shared): State<Shared>, Json(txn): Json<platform::Txn>) -> Response {
    match shared.lock().unwrap().table.transact(&txn) {
        Ok(committed) => Json(committed).into_response(),
        Err(refused) => (StatusCode::CONFLICT, Json(refused)).into_response(),
    }
}

#[derive(Deserialize)]
struct RowQuery {
    key: String,
}

async fn row(State(shared): State<Shared>, Query(query): Query<RowQuery>) -> Response {
    match shared.lock().unwrap().table.row(&query.key.into()) {
        Some(row) => Json(row).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[derive(Deserialize)]
struct RangeQuery {
    prefix: String,
    #[serde(default)]
    after: String,
    limit: Option<usize>,
}

async fn range(
    State(shared): State<Shared>,
    Query(query): Query<RangeQuery>,
) -> Json<Vec<platform::Row>> {
    let limit = query.limit.unwrap_or(100);
    let inner = shared.lock().unwrap();
    Json(inner.table.range(&query.prefix, &query.after, limit))
}
