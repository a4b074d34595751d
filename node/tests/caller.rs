//! A caller that opens a connection for each request.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use wasabiloft::verdict;

/// A response; the body is `None` if it was truncated.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Option<Bytes>,
}

impl Answer {
    /// Returns the verdict from its header.
    pub fn verdict(&self) -> verdict::Verdict {
        let text = self.headers[verdict::VERDICT_HEADER].to_str().unwrap();
        text.parse().unwrap()
    }

    /// Returns the reason from its header.
    pub fn reason(&self) -> verdict::Reason {
        let text = self.headers[verdict::REASON_HEADER].to_str().unwrap();
        text.parse().unwrap()
    }

    /// Returns the body as text.
    pub fn text(&self) -> &str {
        std::str::from_utf8(self.body.as_ref().unwrap()).unwrap()
    }
}

/// Sends a request and reads the response.
pub async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Answer {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    let exchange = async move {
        let response = sender.send_request(request).await.unwrap();
        let (parts, body) = response.into_parts();
        let body = body.collect().await.ok();
        Answer {
            status: parts.status,
            headers: parts.headers,
            body: body.map(|body| body.to_bytes()),
        }
    };
    tokio::pin!(exchange);
    tokio::select! {
        answer = &mut exchange => answer,
        _ = driver => exchange.await,
    }
}

/// Builds a request that is not idempotent, with an idempotency key if one is given.
pub fn bill(key: Option<&str>, body: &str) -> Request<Full<Bytes>> {
    let mut builder = Request::post("/billing/bills").header("host", "entry");
    if let Some(key) = key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(Full::from(body.to_owned())).unwrap()
}

/// Builds an idempotent request.
pub fn statement(name: &str) -> Request<Full<Bytes>> {
    let path = format!("/billing/statements/{name}");
    let builder = Request::get(path).header("host", "entry");
    builder.body(Full::default()).unwrap()
}
