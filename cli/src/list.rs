//! The command `list`.

use std::ffi::OsString;
use std::process::ExitCode;

use http::{Method, StatusCode};
use serde::Deserialize;

use crate::util;

const USAGE: &str = "\
Lists the documents in force: service, team and version.

Usage:
    wasabiloft list [--node IP:PORT] [--json]

Options:
    --node IP:PORT    The entry node to ask; else WASABILOFT_NODE.
    --json            Print JSON.
    -h, --help        Show this text.
";

#[derive(Debug, Deserialize)]
struct Listed {
    service: String,
    team: String,
    version: u64,
}

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    use lexopt::prelude::*;

    let mut node = None;
    let mut json = false;
    let mut parser = util::parser(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("node") => node = Some(parser.value()?.string()?),
            Long("json") => json = true,
            Short('h') | Long("help") => return Ok(util::help(USAGE)),
            other => return Err(other.unexpected().into()),
        }
    }
    let address = util::node_address(node.as_deref())?;
    let call = util::call(address, Method::GET, "/-/documents", None, String::new());
    let response = util::block_on(call)?;
    if response.status() != StatusCode::OK {
        return Err(util::Error::failed(util::text(&response).trim()));
    }
    if json {
        println!("{}", util::text(&response));
        return Ok(ExitCode::SUCCESS);
    }
    let listed: Vec<Listed> =
        serde_json::from_slice(response.body()).map_err(util::Error::failed)?;
    for line in listed {
        println!("{:<24} {:<16} {}", line.service, line.team, line.version);
    }
    Ok(ExitCode::SUCCESS)
}
