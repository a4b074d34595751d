//! A small HTTP server on a loopback address, stopped and joined by its owner.

use std::io;
use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<io::Result<()>>,
}

impl Server {
    /// Starts to serve a router.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops it without waiting for open connections.
    pub async fn stop(self) {
        self.stop.cancel();
        self.task.abort();
        // The task was told to end; how it ended is of no interest.
        let _ = self.task.await;
    }
}
