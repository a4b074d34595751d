//! Implements the `get` command.

use std::ffi::OsString;
use std::process::ExitCode;

use http::{Method, StatusCode};

use crate::util;

const USAGE: &str = "\
Shows the document in force for a service.

Usage:
    wasabiloft get [--node IP:PORT] SERVICE

Options:
    --node IP:PORT    The entry node to call; default: WASABILOFT_NODE.
    -h, --help        Show this text.
";

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    use lexopt::prelude::*;

    let mut node = None;
    let mut service = None;
    let mut parser = util::parser(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("node") => node = Some(parser.value()?.string()?),
            Value(name) if service.is_none() => service = Some(name.string()?),
            Short('h') | Long("help") => return Ok(util::help(USAGE)),
            other => return Err(other.unexpected().into()),
        }
    }
    let service = service.ok_or_else(|| util::Error::usage(USAGE))?;
    let address = util::node_address(node.as_deref())?;
    let path = format!("/-/documents/{service}");
    let response = util::block_on(util::call(
        address,
        Method::GET,
        &path,
        None,
        util::Body::Empty,
    ))?;
    if response.status() != StatusCode::OK {
        return Err(util::Error::failed(util::text(&response).trim()));
    }
    print!("{}", util::text(&response));
    Ok(ExitCode::SUCCESS)
}
