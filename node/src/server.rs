//! The callers' side: accepts connections, and closes them without cutting a request.

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

/// A caller that acknowledges nothing and answers no probe for this long is gone, in milliseconds.
const CALLER_SILENCE_MS: u64 = 5_000;
/// Time between two pings on an HTTP/2 connection with requests in progress, in milliseconds.
const PING_MS: u64 = 2_000;
/// The longest that a caller may take to send the head of a request, in milliseconds.
const HEAD_MAX_MS: u64 = 10_000;

/// Serves callers until the node stops: it goes on for a while as unready, then takes no new connections, then
/// tells callers to close theirs, and ends when every request in progress is answered.
pub async fn run(listener: TcpListener, router: Router, shared: Arc<node::Shared>) {
    let graceful = graceful::GracefulShutdown::new();
    let mut connections = JoinSet::new();
    let unready_over = async {
        shared.stop.cancelled().await;
        time::sleep(Duration::from_millis(stop::UNREADY_MS)).await;
    };
    tokio::pin!(unready_over);
    loop {
        tokio::select! {
            () = &mut unready_over => break,
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
    sockets::set_options(&stream, Duration::from_millis(CALLER_SILENCE_MS));
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEAD_MAX_MS));
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(Duration::from_millis(PING_MS))
        .keep_alive_timeout(Duration::from_millis(CALLER_SILENCE_MS));
    let service = TowerToHyperService::new(router);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // A broken connection is the caller's business.
    let _ = watcher.watch(connection.into_owned()).await;
}
