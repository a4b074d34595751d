//! Listeners for callers, readiness checks, peers and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful;
use hyper_util::service::TowerToHyperService;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time;

use crate::batch::{front, gauges, peers, relay, shared};
use crate::log;
use crate::sockets;

/// Timeout for receiving the head of a request, in milliseconds; above the idle timeout that operators configure
/// because it also limits the pause between two requests.
const HEAD_TIMEOUT_MS: u64 = 20_000;
/// Time without acknowledgements and probe responses after which a connection counts as dead, in milliseconds.
const CONNECTION_TIMEOUT_MS: u64 = 5_000;
/// Maximum number of connections waiting to be accepted; after another node stops, its callers reconnect all at once.
const BACKLOG: i32 = 1_024;
/// Pause after a failed accept, in milliseconds; file descriptors can be exhausted for a moment.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Binds all listeners and starts to serve them.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn start(shared: &Arc<shared::Shared>, tasks: &mut JoinSet<()>) -> Result<(), String> {
    let settings = shared.settings();
    let listen = |address| bind(address).map_err(|error| format!("{address}: {error}"));
    let callers = listen(settings.callers)?;
    let ready = listen(settings.ready)?;
    let peers = listen(settings.peers)?;
    let metrics = listen(settings.metrics)?;
    let relay = listen(settings.relay)?;
    tasks.spawn(relay::server::serve(relay, Arc::clone(shared)));
    let routes = [
        (callers, front::router()),
        (ready, Router::new().route("/ready", routing::get(is_ready))),
        (peers, peers::router()),
        (
            metrics,
            Router::new().route("/metrics", routing::get(show_metrics)),
        ),
    ];
    for (listener, router) in routes {
        let router = router.with_state(Arc::clone(shared));
        tasks.spawn(serve(listener, router, Arc::clone(shared)));
    }
    Ok(())
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

async fn is_ready(State(shared): State<Arc<shared::Shared>>) -> StatusCode {
    if !shared.stop.is_cancelled() && front::current_config(&shared).is_some() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn show_metrics(State(shared): State<Arc<shared::Shared>>) -> String {
    gauges::set(&shared);
    shared.metrics.run_upkeep();
    shared.metrics.render()
}

/// Serves a listener.
///
/// After the stop it keeps serving for a while because callers reuse their connections and the load balancer opens new
/// ones. Then each connection closes after the response in progress.
async fn serve(listener: TcpListener, router: Router, shared: Arc<shared::Shared>) {
    let graceful = graceful::GracefulShutdown::new();
    let mut connections = JoinSet::new();
    let drain_period_over = async {
        shared.stop.cancelled().await;
        time::sleep(Duration::from_millis(super::DRAIN_PERIOD_MS)).await;
    };
    tokio::pin!(drain_period_over);
    loop {
        tokio::select! {
            () = &mut drain_period_over => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(stream, router.clone(), graceful.watcher()));
                }
                Err(error) => {
                    log::warn("server", &format!("accept failed reason={error}"));
                    time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            },
            _ = connections.join_next(), if !connections.is_empty() => {}
        }
    }
    drop(listener);
    graceful.shutdown().await;
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(stream: TcpStream, router: Router, watcher: graceful::Watcher) {
    sockets::set_options(&stream, Duration::from_millis(CONNECTION_TIMEOUT_MS));
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEAD_TIMEOUT_MS));
    let service = TowerToHyperService::new(router);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    if let Err(error) = watcher.watch(connection).await {
        metrics::counter!("wasabiloft_connections_broken_total").increment(1);
        if error.is_incomplete_message() {
            log::warn("server", &format!("connection broken reason={error}"));
        }
    }
}
