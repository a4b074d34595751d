//! A whole entry node: starts its parts, and stops and joins them.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use hyper_util::service::TowerToHyperService;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft::id;
use wasabiloft::platform as messages;

use crate::admin;
use crate::documents;
use crate::front;
use crate::log;
use crate::platform;
use crate::settings;
use crate::upstream;
use crate::view;

/// How often documents and VMs are read from the platform, in milliseconds.
const POLL_MS: u64 = 500;
/// Slots of each endpoint that one of the eight entry nodes uses.
const SLOTS_PER_ENDPOINT: usize = 1;

/// What the parts of a node share.
#[derive(Debug)]
pub struct Shared {
    /// The node's settings.
    pub settings: settings::Settings,
    /// The platform's client.
    pub platform: platform::Client,
    /// Connections to endpoints.
    pub upstream: upstream::Upstream,
    /// Documents and endpoints, as the request path sees them.
    pub view: watch::Sender<Arc<view::View>>,
    /// Cancelled when the node is told to stop.
    pub stop: CancellationToken,
    metrics: PrometheusHandle,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    address: SocketAddr,
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// If an address can't be bound.
    pub async fn start(
        settings: settings::Settings,
        metrics: PrometheusHandle,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            platform: platform::Client::new(settings.platform),
            upstream: upstream::Upstream::new(SLOTS_PER_ENDPOINT),
            view: watch::Sender::new(Arc::default()),
            stop: CancellationToken::new(),
            settings,
            metrics,
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, Arc::clone(&shared)));
        tasks.spawn(poll(Arc::clone(&shared)));
        log::info(
            "node",
            &format!("started name={} address={address}", shared.settings.name),
        );
        Ok(Self {
            address,
            shared,
            tasks,
        })
    }

    /// Where callers and operators reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// True once it knows its documents and endpoints.
    pub fn is_ready(&self) -> bool {
        is_ready(&self.shared)
    }

    /// Takes no new requests, lets those in progress finish, and joins all tasks.
    pub async fn stop(mut self) {
        self.shared.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        self.shared.upstream.stop().await;
        log::info(
            "node",
            &format!("stopped name={}", self.shared.settings.name),
        );
    }
}

fn is_ready(shared: &Shared) -> bool {
    let view = shared.view.borrow();
    !shared.stop.is_cancelled() && !view.endpoints.is_empty()
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let router = router(Arc::clone(&shared));
    let graceful = graceful::GracefulShutdown::new();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => break,
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, router.clone(), graceful.watcher()));
                }
            }
            _ = connections.join_next(), if !connections.is_empty() => {}
        }
    }
    drop(listener);
    graceful.shutdown().await;
    while connections.join_next().await.is_some() {}
}

async fn serve(stream: TcpStream, router: Router, watcher: graceful::Watcher) {
    // Without the option small answers wait for the other side's acknowledgement.
    let _ = stream.set_nodelay(true);
    let builder = auto::Builder::new(TokioExecutor::new());
    let service = TowerToHyperService::new(router);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // A broken connection is the caller's business.
    let _ = watcher.watch(connection.into_owned()).await;
}

fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/healthz", routing::get(|| async { "ok\n" }))
        .route("/readyz", routing::get(ready))
        .route("/metrics", routing::get(metrics_text))
        .nest("/-", admin::router())
        .fallback(front::serve)
        .with_state(shared)
}

async fn ready(State(shared): State<Arc<Shared>>) -> (StatusCode, &'static str) {
    match is_ready(&shared) {
        true => (StatusCode::OK, "ready\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

async fn metrics_text(State(shared): State<Arc<Shared>>) -> String {
    shared.metrics.render()
}

async fn poll(shared: Arc<Shared>) {
    let mut timer = time::interval(Duration::from_millis(POLL_MS));
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            _ = timer.tick() => {}
        }
        if let Err(error) = refresh(&shared).await {
            log::warn("node", &format!("could not refresh: {error}"));
        }
    }
}

async fn refresh(shared: &Shared) -> Result<(), platform::Error> {
    let documents = documents::read_all(&shared.platform).await?;
    let list = shared.platform.vms().await?;
    let view = view::View {
        documents,
        endpoints: endpoints(&list),
    };
    shared.view.send_replace(Arc::new(view));
    Ok(())
}

fn endpoints(list: &messages::VmList) -> HashMap<id::Pool, Arc<Vec<view::Endpoint>>> {
    let mut pools: HashMap<id::Pool, Vec<view::Endpoint>> = HashMap::new();
    for vm in &list.vms {
        let up = matches!(
            vm.state,
            messages::VmState::Live | messages::VmState::Leaving
        );
        if up {
            let pool = pools.entry(vm.home_pool.clone()).or_default();
            pool.push(view::Endpoint {
                vm: vm.vm.clone(),
                address: vm.endpoint,
                leaving: vm.state == messages::VmState::Leaving,
            });
        }
    }
    pools
        .into_iter()
        .map(|(pool, endpoints)| (pool, Arc::new(endpoints)))
        .collect()
}
