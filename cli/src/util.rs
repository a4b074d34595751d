//! What the commands share: errors, arguments and calls to an entry node.

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

/// Environment variable that names the entry node if `--node` doesn't.
const NODE_VARIABLE: &str = "WASABILOFT_NODE";
/// Exit code of a command that was called wrongly.
const EXIT_USAGE: u8 = 2;
/// Exit code of a command that failed.
const EXIT_FAILED: u8 = 1;

/// Why a command ended early.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The call is wrong.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong, or the usage text.
        message: String,
    },
    /// The command failed.
    #[snafu(display("wasabiloft: {message}"))]
    Failed {
        /// Why.
        message: String,
    },
}

impl Error {
    /// A wrong call.
    pub fn usage(message: &str) -> Self {
        Self::Usage {
            message: message.to_owned(),
        }
    }

    /// A failure, in the words of its cause.
    pub fn failed<E>(cause: E) -> Self
    where
        E: ToString,
    {
        Self::Failed {
            message: cause.to_string(),
        }
    }

    /// The process's exit code.
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

/// A parser of a command's arguments.
pub fn parser(argv: &[OsString]) -> lexopt::Parser {
    lexopt::Parser::from_args(argv.iter().cloned())
}

/// The entry node to call: the option's value, or else the environment's.
///
/// # Errors
///
/// If neither is given, or it is no address.
pub fn node_address(option: Option<&str>) -> Result<SocketAddr, Error> {
    let variable = std::env::var(NODE_VARIABLE).ok();
    let text = option.or(variable.as_deref()).ok_or_else(|| {
        Error::usage(&format!(
            "wasabiloft: name an entry node with --node IP:PORT or {NODE_VARIABLE}"
        ))
    })?;
    let parsed = text.parse();
    parsed.map_err(|_| Error::usage(&format!("wasabiloft: '{text}' is not IP:PORT")))
}

/// Runs an asynchronous command to its end.
///
/// # Errors
///
/// Those of the command, or if no runtime can be made.
pub fn block_on<F, T>(command: F) -> Result<T, Error>
where
    F: Future<Output = Result<T, Error>>,
{
    let runtime = tokio::runtime::Runtime::new().map_err(Error::failed)?;
    runtime.block_on(command)
}

/// The body of a call.
pub enum Body {
    /// None.
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

/// Calls an entry node.
///
/// # Errors
///
/// If no whole answer comes.
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

/// The text of an answer.
pub fn text(response: &Response<Bytes>) -> String {
    String::from_utf8_lossy(response.body()).into_owned()
}

/// The version in an answer's `ETag`.
pub fn version(response: &Response<Bytes>) -> Option<u64> {
    let tag = response.headers().get(http::header::ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}

/// Shows a command's usage text, as asked for.
pub fn help(usage: &str) -> ExitCode {
    print!("{usage}");
    ExitCode::SUCCESS
}

/// Reads a file.
///
/// # Errors
///
/// If it can't be read as text.
pub fn read_file(path: &Path) -> Result<String, Error> {
    let text = fs::read_to_string(path);
    text.map_err(|error| Error::failed(format!("{}: {error}", path.display())))
}

/// Reads a document from a file, with its text.
///
/// # Errors
///
/// If the file can't be read, or with all that is wrong with the document, a line each.
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

/// The document of a service as it is in force, with its version; `None` if there is none.
///
/// # Errors
///
/// If the node gives no answer, or one of another shape.
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

/// Writes a value as one line of JSON.
///
/// # Errors
///
/// If it can't be written so.
pub fn to_json<T>(value: &T) -> Result<String, Error>
where
    T: Serialize,
{
    serde_json::to_string(value).map_err(Error::failed)
}

/// The arguments of a command that only shows something.
pub struct ReadArgs {
    /// The entry node to ask.
    pub node: Option<String>,
    /// True to print JSON.
    pub json: bool,
}

/// Reads `--node` and `--json`; `None` if help is wanted.
///
/// # Errors
///
/// For any other argument.
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

/// Reads a JSON answer of an entry node.
///
/// # Errors
///
/// If no node is named, none answers, or the answer is a refusal or of another shape.
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

/// The name of an enum's variant as it stands in JSON; a dash for nothing.
///
/// # Errors
///
/// If the value can't be written as JSON.
pub fn name_of<T>(value: &T) -> Result<String, Error>
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

/// Reads a job from a TOML file.
///
/// # Errors
///
/// If it can't be read, has another shape or is malformed.
pub fn read_job(path: &Path) -> Result<job::Spec, Error> {
    let named = |error: String| Error::failed(format!("{}: {error}", path.display()));
    let text = read_file(path)?;
    let spec: job::Spec = toml::from_str(&text).map_err(|error| named(error.to_string()))?;
    spec.validate().map_err(|error| named(error.to_string()))?;
    Ok(spec)
}

/// The arguments of a command that compares a file with what is in force.
pub struct FileArgs {
    /// The entry node to ask.
    pub node: Option<String>,
    /// True to print JSON.
    pub json: bool,
    /// The file, if one is named.
    pub file: Option<PathBuf>,
}

/// Reads `--node`, `--json` and one file; `None` if help is wanted.
///
/// # Errors
///
/// For any other argument.
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
