//! A small HTTP server that its owner stops and joins.

use std::io;
use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<io::Result<()>>,
}

impl Server {
    /// Binds the address and starts to serve a router.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(address: SocketAddr, router: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let task = tokio::spawn(async move {
            axum::serve(listener, router)
                .with_graceful_shutdown(stopped.cancelled_owned())
                .await
        });
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server without waiting for open connections.
    pub async fn stop(self) {
        self.stop.cancel();
        self.task.abort();
        // The task was aborted, so its result is ignored.
        let _ = self.task.await;
    }
}
