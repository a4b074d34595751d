//! An endpoint that answers with raw bytes which the test sets.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// What the endpoint does after the bytes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    /// Keeps the connection for the next request.
    Keep,
    /// Closes the connection.
    Close,
    /// Sends nothing more and leaves the connection open.
    Hang,
}

/// The endpoint's answer to a request.
#[derive(Clone, Debug)]
pub struct Response {
    pub bytes: Vec<u8>,
    pub after: After,
}

/// Builds a complete answer with a content length.
pub fn complete(body: &str) -> Response {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    raw(&format!("{head}{body}"), After::Keep)
}

/// Builds an answer from the given bytes.
pub fn raw(text: &str, after: After) -> Response {
    Response {
        bytes: text.as_bytes().to_vec(),
        after,
    }
}

type Respond = dyn Fn(usize, &str) -> Response + Send + Sync;

/// A running endpoint.
pub struct Endpoint {
    address: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
    count: watch::Receiver<usize>,
    _tasks: JoinSet<()>,
}

impl Endpoint {
    /// Starts an endpoint that answers its n-th request with `respond(n, request)`.
    pub async fn start<F>(respond: F) -> Self
    where
        F: Fn(usize, &str) -> Response + Send + Sync + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let (counter, count) = watch::channel(0);
        let mut tasks = JoinSet::new();
        let shared = Arc::clone(&received);
        let respond: Arc<Respond> = Arc::new(respond);
        tasks.spawn(async move {
            let counter = Arc::new(counter);
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (received, respond, counter) = (
                    Arc::clone(&shared),
                    Arc::clone(&respond),
                    Arc::clone(&counter),
                );
                connections.spawn(async move {
                    serve(stream, &received, &*respond, &counter).await;
                });
            }
        });
        Self {
            address,
            received,
            count,
            _tasks: tasks,
        }
    }

    /// Returns the address where the endpoint listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests received so far, as text.
    pub fn received(&self) -> Vec<String> {
        self.received.lock().unwrap().clone()
    }

    /// Waits until the endpoint has received this number of requests.
    pub async fn wait_for(&self, requests: usize) {
        let mut count = self.count.clone();
        count.wait_for(|count| *count >= requests).await.unwrap();
    }
}

async fn serve(
    mut stream: TcpStream,
    received: &Mutex<Vec<String>>,
    respond: &Respond,
    counter: &watch::Sender<usize>,
) {
    while let Some(request) = read_request(&mut stream).await {
        let number = {
            let mut received = received.lock().unwrap();
            received.push(request.clone());
            received.len()
        };
        counter.send_modify(|count| *count = number);
        let response = respond(number, &request);
        if stream.write_all(&response.bytes).await.is_err() {
            return;
        }
        match response.after {
            After::Keep => {}
            After::Close => return,
            After::Hang => std::future::pending().await,
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.ok()?;
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).ok()?;
    let length = head.lines().find_map(|line| {
        line.to_lowercase()
            .strip_prefix("content-length: ")?
            .parse()
            .ok()
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(head + &String::from_utf8_lossy(&body))
}
