//! Helpers shared by the commands: errors, arguments and calls to an entry node.

use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use wasabiloft::document;
use wasabiloft::id;
use wasabiloft::job;
use wasabiloft_standins::client;

/// Environment variable with the entry node's address, used if `--node` is absent.
const NODE_VARIABLE: &str = "WASABILOFT_NODE";
/// Exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;
/// Exit code for a command that failed.
const EXIT_FAILED: u8 = 1;

/// Error that ends a command.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The arguments are invalid.
    #[snafu(display("{message}"))]
    Usage {
        /// Description of the problem, or the usage text.
        message: String,
    },
    /// The command failed after its arguments were accepted.
    #[snafu(display("wasabiloft: {message}"))]
    Failed {
        /// Description of the failure.
        message: String,
    },
}

impl Error {
    /// Creates an error for invalid arguments.
    pub fn usage(message: &str) -> Self {
        Self::Usage {
            message: message.to_owned(),
        }
    }

    /// Creates an error for a failed command from the text of its cause.
    pub fn failed<E>(cause: E) -> Self
    where
        E: ToString,
    {
        Self::Failed {
            message: cause.to_string(),
        }
    }

    /// Returns the exit code of the process for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => EXIT_USAGE,
            Self::Failed { .. } => EXIT_FAILED,
        }
    }
}

impl From<lexopt::Error> for Error {
    fn from(error: lexopt::Error) -> Self {
        Self::usage(&format!("wasabiloft: {error}; see --help"))
    }
}

/// Creates a parser for a command's arguments.
pub fn parser(argv: &[OsString]) -> lexopt::Parser {
    lexopt::Parser::from_args(argv.iter().cloned())
}

/// Returns the address of the entry node to call, from the option or else from the environment.
///
/// # Errors
///
/// Returns a usage error if neither is given, or if the value is not an address.
pub fn node_address(option: Option<&str>) -> Result<SocketAddr, Error> {
    let variable = std::env::var(NODE_VARIABLE).ok();
    let text = option.or(variable.as_deref()).ok_or_else(|| {
        Error::usage(&format!(
            "wasabiloft: specify an entry node with --node IP:PORT or {NODE_VARIABLE}"
        ))
    })?;
    let parsed = text.parse();
    parsed.map_err(|_| Error::usage(&format!("wasabiloft: '{text}' is not IP:PORT")))
}

/// Runs an asynchronous command to completion.
///
/// # Errors
///
/// Returns the command's error, or an error if the runtime cannot be created.
pub fn block_on<F, T>(command: F) -> Result<T, Error>
where
    F: Future<Output = Result<T, Error>>,
{
    let runtime = tokio::runtime::Runtime::new().map_err(Error::failed)?;
    runtime.block_on(command)
}

/// Request body with its media type.
pub enum Body {
    /// No body.
    Empty,
    /// JSON text.
    Json(String),
    /// TOML text.
    Toml(String),
}

impl Body {
    fn media_type(&self) -> Option<&'static str> {
        match self {
            Self::Empty => None,
            Self::Json(_) => Some("application/json"),
            Self::Toml(_) => Some("application/toml"),
        }
    }

    fn into_text(self) -> String {
        match self {
            Self::Empty => String::new(),
            Self::Json(text) | Self::Toml(text) => text,
        }
    }
}

/// Sends a request to an entry node.
///
/// # Errors
///
/// Returns an error if no complete response arrives.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    if_match: Option<u64>,
    body: Body,
) -> Result<Response<Bytes>, Error> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    if let Some(version) = if_match {
        request = request.header(http::header::IF_MATCH, format!("\"{version}\""));
    }
    if let Some(media_type) = body.media_type() {
        request = request.header(http::header::CONTENT_TYPE, media_type);
    }
    let body = Full::from(body.into_text());
    let request = request.body(body).map_err(Error::failed)?;
    let client = client::Client::default();
    client.send(address, request).await.map_err(Error::failed)
}

/// Returns a response's body as text.
pub fn text(response: &Response<Bytes>) -> String {
    String::from_utf8_lossy(response.body()).into_owned()
}

/// Returns the version in a response's `ETag` header, if there is one.
pub fn version(response: &Response<Bytes>) -> Option<u64> {
    let tag = response.headers().get(http::header::ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}

/// Prints a command's usage text and returns success.
pub fn help(usage: &str) -> ExitCode {
    print!("{usage}");
    ExitCode::SUCCESS
}

/// Reads a text file.
///
/// # Errors
///
/// Returns an error if the file cannot be read as UTF-8 text.
pub fn read_file(path: &Path) -> Result<String, Error> {
    let text = fs::read_to_string(path);
    text.map_err(|error| Error::failed(format!("{}: {error}", path.display())))
}

/// Reads and validates a document from a file. Returns its text and the parsed document.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or an error with one line per problem in the document.
pub fn read_document(path: &Path) -> Result<(String, document::Document), Error> {
    let text = read_file(path)?;
    match document::check(&text) {
        Ok(document) => Ok((text, document)),
        Err(problems) => {
            let lines: Vec<_> = problems
                .iter()
                .map(|problem| format!("{}:{problem}", path.display()))
                .collect();
            Err(Error::failed(format!(
                "nothing was changed\n{}",
                lines.join("\n")
            )))
        }
    }
}

/// Fetches the document in force for a service and its version. Returns `None` if there is no document.
///
/// # Errors
///
/// Returns an error if the node does not respond or the response is not a document with a version.
pub async fn document_in_force(
    address: SocketAddr,
    service: &id::Service,
) -> Result<Option<(u64, document::Document)>, Error> {
    let path = format!("/-/documents/{service}");
    let response = call(address, Method::GET, &path, None, Body::Empty).await?;
    match (response.status(), version(&response)) {
        (StatusCode::NOT_FOUND, _) => Ok(None),
        (StatusCode::OK, Some(version)) => {
            let document = document::parse(&text(&response)).map_err(Error::failed)?;
            Ok(Some((version, document)))
        }
        _ => Err(Error::failed(text(&response).trim())),
    }
}

/// Serialises a value as one line of JSON.
///
/// # Errors
///
/// Returns an error if the value cannot be represented as JSON.
pub fn to_json<T>(value: &T) -> Result<String, Error>
where
    T: Serialize,
{
    serde_json::to_string(value).map_err(Error::failed)
}

/// Arguments of a read-only command without operands.
pub struct ReadArgs {
    /// Address of the entry node, if given.
    pub node: Option<String>,
    /// True if the output is JSON.
    pub json: bool,
}

/// Parses `--node` and `--json`. Returns `None` if help was requested.
///
/// # Errors
///
/// Returns a usage error for any other argument.
pub fn read_args(argv: &[OsString]) -> Result<Option<ReadArgs>, Error> {
    use lexopt::prelude::*;

    let mut args = ReadArgs {
        node: None,
        json: false,
    };
    let mut parser = parser(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("node") => args.node = Some(parser.value()?.string()?),
            Long("json") => args.json = true,
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(args))
}

/// Fetches a path from an entry node and parses the JSON response.
///
/// # Errors
///
/// Returns an error if no node is specified, if it does not respond, if the status is not 200, or if the body does not
/// match `T`.
pub fn get_json<T>(node: Option<&str>, path: &str) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let address = node_address(node)?;
    let response = block_on(call(address, Method::GET, path, None, Body::Empty))?;
    if response.status() != StatusCode::OK {
        return Err(Error::failed(text(&response).trim()));
    }
    serde_json::from_slice(response.body()).map_err(Error::failed)
}

/// Returns the name of an enum's variant as it is serialised in JSON, or a dash for null.
///
/// # Errors
///
/// Returns an error if the value cannot be serialised.
pub fn variant_name<T>(value: &T) -> Result<String, Error>
where
    T: Serialize,
{
    let value = serde_json::to_value(value).map_err(Error::failed)?;
    Ok(match &value {
        serde_json::Value::String(name) => name.clone(),
        serde_json::Value::Object(members) => {
            let name = members.keys().next();
            name.cloned().unwrap_or_else(|| "-".to_owned())
        }
        serde_json::Value::Null => "-".to_owned(),
        other => other.to_string(),
    })
}

/// Reads and validates a job from a TOML file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or parsed, or if the job is invalid.
pub fn read_job(path: &Path) -> Result<job::Spec, Error> {
    let with_path = |error: String| Error::failed(format!("{}: {error}", path.display()));
    let text = read_file(path)?;
    let spec: job::Spec = toml::from_str(&text).map_err(|error| with_path(error.to_string()))?;
    spec.validate()
        .map_err(|error| with_path(error.to_string()))?;
    Ok(spec)
}

/// Arguments of a command that compares a file with the document in force.
pub struct FileArgs {
    /// Address of the entry node, if given.
    pub node: Option<String>,
    /// True if the output is JSON.
    pub json: bool,
    /// Path of the file, if given.
    pub file: Option<PathBuf>,
}

/// Parses `--node`, `--json` and one file. Returns `None` if help was requested.
///
/// # Errors
///
/// Returns a usage error for any other argument.
pub fn file_args(argv: &[OsString]) -> Result<Option<FileArgs>, Error> {
    use lexopt::prelude::*;

    let mut args = FileArgs {
        node: None,
        json: false,
        file: None,
    };
    let mut parser = parser(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("node") => args.node = Some(parser.value()?.string()?),
            Long("json") => args.json = true,
            Value(value) if args.file.is_none() => args.file = Some(PathBuf::from(value)),
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(args))
}
