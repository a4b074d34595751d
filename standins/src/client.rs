//! A small HTTP client for JSON calls and for load.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// A call that failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No whole answer came.
    #[snafu(display("no answer from {address}: {reason}"))]
    NoAnswer {
        /// Who was called.
        address: SocketAddr,
        /// What the HTTP library says.
        reason: String,
    },
    /// The answer is of another shape.
    #[snafu(display("unexpected answer from {address}: {status} {body}"))]
    Unexpected {
        /// Who was called.
        address: SocketAddr,
        /// The status.
        status: u16,
        /// The body's text.
        body: String,
    },
}

/// The client; clones share its connections.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let inner = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Self { inner }
    }
}

impl Client {
    /// Sends a request and collects the whole answer.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`] if the connection failed or the answer was cut.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, Error> {
        let no_answer = |reason: String| Error::NoAnswer { address, reason };
        let response = self.inner.request(request).await;
        let response = response.map_err(|error| no_answer(describe(&error)))?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await;
        let body = body.map_err(|error| no_answer(error.to_string()))?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }

    /// Sends a JSON call and reads the JSON answer.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`], or [`Error::Unexpected`] for any status but 2xx and for another shape.
    pub async fn json<A, T>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&A>,
    ) -> Result<T, Error>
    where
        A: Serialize,
        T: DeserializeOwned,
    {
        let response = self.call(address, method, path, body).await?;
        let unexpected = || Error::Unexpected {
            address,
            status: response.status().as_u16(),
            body: String::from_utf8_lossy(response.body()).into_owned(),
        };
        if !response.status().is_success() {
            return Err(unexpected());
        }
        serde_json::from_slice(response.body()).map_err(|_| unexpected())
    }

    /// Sends a JSON call and gives the answer as it is.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`] if the connection failed or the answer was cut.
    pub async fn call<A>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&A>,
    ) -> Result<Response<Bytes>, Error>
    where
        A: Serialize,
    {
        let body = match body {
            Some(body) => serde_json::to_vec(body).unwrap_or_default(),
            None => Vec::new(),
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::from(body));
        match request {
            Ok(request) => self.send(address, request).await,
            Err(error) => Err(Error::NoAnswer {
                address,
                reason: error.to_string(),
            }),
        }
    }
}

fn describe(error: &legacy::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
