//! Implements the `list` command.

use std::ffi::OsString;
use std::process::ExitCode;

use serde::{Deserialize, Serialize};

use crate::table;
use crate::util;

const USAGE: &str = "\
Lists the documents in force: service, team and version.

Usage:
    wasabiloft list [--node IP:PORT] [--json]

Options:
    --node IP:PORT    The entry node to call; default: WASABILOFT_NODE.
    --json            Print JSON.
    -h, --help        Show this text.
";

const HEADING: [&str; 3] = ["SERVICE", "TEAM", "VERSION"];

/// Entry of a node's list of documents.
#[derive(Debug, Serialize, Deserialize)]
struct DocumentEntry {
    service: String,
    team: String,
    version: u64,
}

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    let Some(args) = util::read_args(argv)? else {
        return Ok(util::help(USAGE));
    };
    let documents: Vec<DocumentEntry> = util::get_json(args.node.as_deref(), "/-/documents")?;
    if args.json {
        println!("{}", util::to_json(&documents)?);
        return Ok(ExitCode::SUCCESS);
    }
    let rows = documents
        .into_iter()
        .map(|entry| vec![entry.service, entry.team, entry.version.to_string()]);
    table::print(&HEADING, &rows.collect::<Vec<_>>())?;
    Ok(ExitCode::SUCCESS)
}
