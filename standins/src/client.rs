//! A small HTTP client for JSON calls and load generation.

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

/// Error of a failed call.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No complete response arrived.
    #[snafu(display("no response from {address}: {reason}"))]
    NoAnswer {
        /// Address of the server.
        address: SocketAddr,
        /// Error message of the HTTP library.
        reason: String,
    },
    /// The response has another status than 2xx, or its body can't be decoded.
    #[snafu(display("unexpected response from {address}: status {status}, body {body}"))]
    Unexpected {
        /// Address of the server.
        address: SocketAddr,
        /// HTTP status code.
        status: u16,
        /// Body, decoded as UTF-8 with replacement characters.
        body: String,
    },
}

/// An HTTP client; clones share a connection pool.
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
    /// Sends a request and collects the complete response.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`] if the connection failed or the response was cut off.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, Error> {
        let no_response = |reason: String| Error::NoAnswer { address, reason };
        let response = self.inner.request(request).await;
        let response = response.map_err(|error| no_response(error_with_source(&error)))?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await;
        let body = body.map_err(|error| no_response(error.to_string()))?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }

    /// Sends a JSON call and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`], or [`Error::Unexpected`] for a status other than 2xx or a body that can't be decoded.
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

    /// Sends a JSON call and returns the raw response.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`] if the connection failed or the response was cut off.
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

fn error_with_source(error: &legacy::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
