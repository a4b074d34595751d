//! Implements the `apply` command.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::util;
use http::{Method, StatusCode};

const USAGE: &str = "\
Applies documents.

Usage:
    wasabiloft apply [--node IP:PORT] [--if-version N] FILE...

Each document is written only if its current version is still the expected one: the version given, or
else the one in force when the command starts.

Options:
    --node IP:PORT      The entry node to call; default: WASABILOFT_NODE.
    --if-version N      The expected current version; 0 for a new document.
    -h, --help          Show this text.
";

struct Args {
    node: Option<String>,
    if_version: Option<u64>,
    files: Vec<PathBuf>,
}

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    let Some(args) = parse(argv)? else {
        return Ok(util::help(USAGE));
    };
    if args.files.is_empty() {
        return Err(util::Error::usage(USAGE));
    }
    let address = util::node_address(args.node.as_deref())?;
    util::block_on(async {
        for file in &args.files {
            let applied = apply(address, file, args.if_version).await?;
            println!("{}: {applied}", file.display());
        }
        Ok(ExitCode::SUCCESS)
    })
}

fn parse(argv: &[OsString]) -> Result<Option<Args>, util::Error> {
    use lexopt::prelude::*;

    let mut args = Args {
        node: None,
        if_version: None,
        files: Vec::new(),
    };
    let mut parser = util::parser(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("node") => args.node = Some(parser.value()?.string()?),
            Long("if-version") => args.if_version = Some(parser.value()?.parse()?),
            Value(file) => args.files.push(PathBuf::from(file)),
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(args))
}

async fn apply(
    address: SocketAddr,
    file: &Path,
    if_version: Option<u64>,
) -> Result<String, util::Error> {
    let (text, document) = util::read_document(file)?;
    let expected_version = match if_version {
        Some(version) => version,
        None => {
            let in_force = util::document_in_force(address, &document.service).await?;
            in_force.map_or(0, |(version, _)| version)
        }
    };
    let path = format!("/-/documents/{}", document.service);
    let response = util::call(
        address,
        Method::PUT,
        &path,
        Some(expected_version),
        util::Body::Toml(text),
    )
    .await?;
    match (response.status(), util::version(&response)) {
        (StatusCode::OK, Some(version)) => Ok(format!("in force as version {version}")),
        (StatusCode::ACCEPTED, Some(version)) => Ok(format!(
            "committed as version {version}, not yet accepted by a majority of the nodes"
        )),
        _ => {
            let response_text = util::text(&response);
            let message = format!("{}: {}", file.display(), response_text.trim());
            Err(util::Error::failed(message))
        }
    }
}
