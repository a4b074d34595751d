//! The command `apply`.

use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use http::{Method, StatusCode};
use wasabiloft::document;

use crate::util;

const USAGE: &str = "\
Puts documents in force.

Usage:
    wasabiloft apply [--node IP:PORT] [--if-version N] FILE...

Each document is written only if its version is still the one that was read: the version given, or
else the one in force when the command starts.

Options:
    --node IP:PORT      The entry node to ask; else WASABILOFT_NODE.
    --if-version N      The version that was read; 0 for a new document.
    -h, --help          Show this text.
";

struct Args {
    node: Option<String>,
    if_version: Option<u64>,
    files: Vec<PathBuf>,
}

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    let Some(args) = parse(argv)? else {
        print!("{USAGE}");
        return Ok(ExitCode::SUCCESS);
    };
    if args.files.is_empty() {
        return Err(util::Error::usage(USAGE));
    }
    let address = util::node_address(args.node.as_deref())?;
    util::block_on(async {
        for file in &args.files {
            let version = apply(address, file, args.if_version).await?;
            println!("{}: written as version {version}", file.display());
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
) -> Result<u64, util::Error> {
    let named = |error: String| util::Error::failed(format!("{}: {error}", file.display()));
    let text = fs::read_to_string(file).map_err(|error| named(error.to_string()))?;
    let document = document::parse(&text).map_err(|error| named(error.to_string()))?;
    let path = format!("/-/documents/{}", document.service);
    let read_version = match if_version {
        Some(version) => version,
        None => current_version(address, &path).await?,
    };
    let response = util::call(address, Method::PUT, &path, Some(read_version), text).await?;
    match (response.status(), util::version(&response)) {
        (StatusCode::OK, Some(version)) => Ok(version),
        _ => Err(named(util::text(&response).trim().to_owned())),
    }
}

async fn current_version(address: SocketAddr, path: &str) -> Result<u64, util::Error> {
    let response = util::call(address, Method::GET, path, None, String::new()).await?;
    Ok(util::version(&response).unwrap_or(0))
}
