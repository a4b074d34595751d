//! The HTTP server for callers and operators: accepts connections, and shuts down without aborting a request.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time;
use wasabiloft::drain::stop;

use crate::node;
use crate::sockets;

/// A connection is closed if the caller acknowledges no data and no probe for this long, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 5_000;
/// Interval between pings on an HTTP/2 connection with requests in progress, in milliseconds.
const PING_INTERVAL_MS: u64 = 2_000;
/// Timeout for receiving the head of a request, in milliseconds.
const HEAD_TIMEOUT_MS: u64 = 10_000;

/// Serves connections until the node stops.
///
/// A stopping node still accepts connections for [`stop::UNREADY_MS`] while it reports itself as not ready. Then it
/// accepts no more, asks callers to close theirs, and ends when every request in progress has been answered.
pub async fn run(listener: TcpListener, router: Router, shared: Arc<node::Shared>) {
    let graceful = graceful::GracefulShutdown::new();
    let mut connections = JoinSet::new();
    let unready_period = async {
        shared.stop.cancelled().await;
        time::sleep(Duration::from_millis(stop::UNREADY_MS)).await;
    };
    tokio::pin!(unready_period);
    loop {
        tokio::select! {
            () = &mut unready_period => break,
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
    sockets::set_options(&stream, Duration::from_millis(CALLER_TIMEOUT_MS));
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEAD_TIMEOUT_MS));
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(Duration::from_millis(PING_INTERVAL_MS))
        .keep_alive_timeout(Duration::from_millis(CALLER_TIMEOUT_MS));
    let service = TowerToHyperService::new(router);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // A connection error is ignored: it concerns only the caller.
    let _ = watcher.watch(connection.into_owned()).await;
}
