//! Stand-ins for the users' platform, speaking its HTTP protocol: the row store, the machine API and the workers; and
//! the daemon as a child process that uses them.

pub mod checker;
pub mod history;
pub mod machines;
pub mod process;
pub mod store;
pub mod worker;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::Router;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Locks a mutex, ignoring poisoning: the data stays usable after a panic in another test thread.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A stand-in with a running HTTP server. Dropping it stops the server.
#[derive(Debug)]
pub struct Listening<T> {
    /// Address of the server.
    pub address: SocketAddr,
    /// State shared with the request handlers.
    pub state: Arc<T>,
    task: JoinHandle<()>,
}

impl<T> Drop for Listening<T> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn listen<T>(state: Arc<T>, router: Router) -> std::io::Result<Listening<T>> {
    let serve = |listener, _| async move {
        // The task is aborted on drop, so a result of the server carries no information.
        let _ = axum::serve(listener, router).await;
    };
    listen_with(state, serve).await
}

async fn listen_with<T, F, S>(state: Arc<T>, serve: F) -> std::io::Result<Listening<T>>
where
    F: FnOnce(TcpListener, Arc<T>) -> S,
    S: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(serve(listener, Arc::clone(&state)));
    Ok(Listening {
        address,
        state,
        task,
    })
}
