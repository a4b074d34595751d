//! The HTTP client of the platform: table, VMs and workers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::time;
use wasabiloft::fleet;
use wasabiloft::id;
use wasabiloft::platform;

/// Timeout for a call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;
/// Connections that are idle for longer are closed, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 5_000;

/// The error of a failed call.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No complete answer arrived in time; a write can have happened.
    #[snafu(display("platform gave no answer: {reason}"))]
    NoAnswer {
        /// The error from the HTTP client, or `timeout`.
        reason: String,
    },
    /// The platform answered with an unexpected status, or with a body that can't be parsed.
    #[snafu(display("platform answered {status}"))]
    Unexpected {
        /// The status of the answer; 200 if the body can't be parsed.
        status: StatusCode,
    },
}

/// A client of the platform; clones share its connections.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client of the platform at an address.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
            .build(connector);
        Self { address, inner }
    }

    /// Sends a transaction once, without retries.
    pub async fn transact(&self, txn: &platform::Txn) -> platform::Outcome {
        let Ok(response) = self.call(Method::POST, "/table/transact", Some(txn)).await else {
            return platform::Outcome::Unknown;
        };
        match response.status() {
            StatusCode::OK => parse_outcome(response.body(), platform::Outcome::Committed),
            StatusCode::CONFLICT => parse_outcome(response.body(), platform::Outcome::Refused),
            _ => platform::Outcome::Unknown,
        }
    }

    /// Reads all rows whose keys have a prefix, page by page.
    ///
    /// # Errors
    ///
    /// Returns an error if a page can't be read.
    pub async fn range(&self, prefix: &str) -> Result<Vec<platform::Row>, Error> {
        let mut rows: Vec<platform::Row> = Vec::new();
        loop {
            let after = rows.last().map_or("", |row| row.key.as_str());
            let path = format!("/table/range?prefix={prefix}&after={after}");
            let page: Vec<platform::Row> = self.get(&path).await?;
            if page.is_empty() {
                return Ok(rows);
            }
            rows.extend(page);
        }
    }

    /// Reads one page of the rows whose keys have a prefix and follow `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid answer.
    pub async fn page(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<platform::Row>, Error> {
        let path = format!("/table/range?prefix={prefix}&after={after}&limit={limit}");
        self.get(&path).await
    }

    /// Reads a row; `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid answer.
    pub async fn row(&self, key: &id::Key) -> Result<Option<platform::Row>, Error> {
        match self.get(&format!("/table/row?key={key}")).await {
            Ok(row) => Ok(Some(row)),
            Err(Error::Unexpected {
                status: StatusCode::NOT_FOUND,
            }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads the list of VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid answer.
    pub async fn vms(&self) -> Result<platform::VmList, Error> {
        self.get("/vms").await
    }

    /// Reads the resource usage of the workers' tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid answer.
    pub async fn usage(&self) -> Result<platform::UsageList, Error> {
        self.get("/workers/usage").await
    }

    /// Drains, reboots or resumes a VM; idempotent for the same intent.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer, or if the platform refuses the call, for example for an older epoch.
    pub async fn vm_effect(
        &self,
        vm: &id::Vm,
        effect: fleet::Effect,
        intent: &platform::Intent,
    ) -> Result<(), Error> {
        let path = format!("/vms/{vm}/{effect}");
        let response = self.call(Method::POST, &path, Some(intent)).await?;
        match response.status() {
            StatusCode::OK => Ok(()),
            status => Err(Error::Unexpected { status }),
        }
    }

    /// Calls a worker; returns its response with any status.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid answer.
    pub async fn worker<A>(
        &self,
        vm: &id::Vm,
        path: &str,
        body: &A,
    ) -> Result<Response<Bytes>, Error>
    where
        A: Serialize,
    {
        let path = format!("/workers/{vm}/{path}");
        self.call(Method::POST, &path, Some(body)).await
    }

    async fn get<T>(&self, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let response = self.call(Method::GET, path, None::<&()>).await?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(Error::Unexpected { status });
        }
        serde_json::from_slice(response.body()).map_err(|_| Error::Unexpected { status })
    }

    async fn call<A>(
        &self,
        method: Method,
        path: &str,
        body: Option<&A>,
    ) -> Result<Response<Bytes>, Error>
    where
        A: Serialize,
    {
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        match time::timeout(timeout, self.call_without_timeout(method, path, body)).await {
            Ok(answer) => answer,
            Err(_) => Err(no_answer("timeout")),
        }
    }

    async fn call_without_timeout<A>(
        &self,
        method: Method,
        path: &str,
        body: Option<&A>,
    ) -> Result<Response<Bytes>, Error>
    where
        A: Serialize,
    {
        let body = body.map(serde_json::to_vec).transpose();
        let body = body.map_err(|error| no_answer(&error.to_string()))?;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::from(body.unwrap_or_default()))
            .map_err(|error| no_answer(&error.to_string()))?;
        let response = self.inner.request(request).await;
        let response = response.map_err(|error| no_answer(&error.to_string()))?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await;
        let body = body.map_err(|error| no_answer(&error.to_string()))?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }
}

fn no_answer(reason: &str) -> Error {
    Error::NoAnswer {
        reason: reason.to_owned(),
    }
}

fn parse_outcome<T, F>(body: &[u8], constructor: F) -> platform::Outcome
where
    T: DeserializeOwned,
    F: FnOnce(T) -> platform::Outcome,
{
    serde_json::from_slice(body).map_or(platform::Outcome::Unknown, constructor)
}
