//! An endpoint that answers raw bytes, as a test tells it.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// What follows the bytes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    /// The connection is kept.
    Keep,
    /// The connection is closed.
    Close,
    /// Nothing more comes, and the connection stays open.
    Hang,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Reaction {
    pub bytes: Vec<u8>,
    pub then: Then,
}

/// A whole answer with a length.
pub fn whole(body: &str) -> Reaction {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    raw(&format!("{head}{body}"), Then::Keep)
}

/// Any bytes.
pub fn raw(text: &str, then: Then) -> Reaction {
    Reaction {
        bytes: text.as_bytes().to_vec(),
        then,
    }
}

type React = dyn Fn(usize, &str) -> Reaction + Send + Sync;

/// A running endpoint.
pub struct Endpoint {
    address: SocketAddr,
    heard: Arc<Mutex<Vec<String>>>,
    count: watch::Receiver<usize>,
    _tasks: JoinSet<()>,
}

impl Endpoint {
    /// Starts an endpoint that answers its n-th request by `react(n, request)`.
    pub async fn start<F>(react: F) -> Self
    where
        F: Fn(usize, &str) -> Reaction + Send + Sync + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let heard = Arc::new(Mutex::new(Vec::new()));
        let (counter, count) = watch::channel(0);
        let mut tasks = JoinSet::new();
        let shared = Arc::clone(&heard);
        let react: Arc<React> = Arc::new(react);
        tasks.spawn(async move {
            let counter = Arc::new(counter);
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (heard, react, counter) = (
                    Arc::clone(&shared),
                    Arc::clone(&react),
                    Arc::clone(&counter),
                );
                connections.spawn(async move {
                    serve(stream, &heard, &*react, &counter).await;
                });
            }
        });
        Self {
            address,
            heard,
            count,
            _tasks: tasks,
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The requests that came in, as text.
    pub fn heard(&self) -> Vec<String> {
        self.heard.lock().unwrap().clone()
    }

    /// Waits until so many requests have come in.
    pub async fn wait_for(&self, requests: usize) {
        let mut count = self.count.clone();
        count.wait_for(|count| *count >= requests).await.unwrap();
    }
}

async fn serve(
    mut stream: TcpStream,
    heard: &Mutex<Vec<String>>,
    react: &React,
    counter: &watch::Sender<usize>,
) {
    while let Some(request) = read_request(&mut stream).await {
        let number = {
            let mut heard = heard.lock().unwrap();
            heard.push(request.clone());
            heard.len()
        };
        counter.send_modify(|count| *count = number);
        let reaction = react(number, &request);
        if stream.write_all(&reaction.bytes).await.is_err() {
            return;
        }
        match reaction.then {
            Then::Keep => {}
            Then::Close => return,
            Then::Hang => std::future::pending().await,
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
