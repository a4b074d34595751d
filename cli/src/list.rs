//! The command `list`.

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
    --node IP:PORT    The entry node to ask; else WASABILOFT_NODE.
    --json            Print JSON.
    -h, --help        Show this text.
";

const HEADING: [&str; 3] = ["SERVICE", "TEAM", "VERSION"];

/// A line of a node's list of documents.
#[derive(Debug, Serialize, Deserialize)]
struct Listed {
    service: String,
    team: String,
    version: u64,
}

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    let Some(args) = util::read_args(argv)? else {
        return Ok(util::help(USAGE));
    };
    let listed: Vec<Listed> = util::get_json(args.node.as_deref(), "/-/documents")?;
    if args.json {
        println!("{}", util::to_json(&listed)?);
        return Ok(ExitCode::SUCCESS);
    }
    let rows = listed
        .into_iter()
        .map(|line| vec![line.service, line.team, line.version.to_string()]);
    table::print(&HEADING, &rows.collect::<Vec<_>>())?;
    Ok(ExitCode::SUCCESS)
}
