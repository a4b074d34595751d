//! The command `check`.

use std::ffi::OsString;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use wasabiloft::document;

use crate::util;

const USAGE: &str = "\
Says what is wrong with documents, without a server.

Usage:
    wasabiloft check FILE...

Prints a line for each error. Ends with 0 if there are none, else with 1.
";

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    use lexopt::prelude::*;

    let mut files = Vec::new();
    let mut parser = util::parser(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Value(file) => files.push(PathBuf::from(file)),
            Short('h') | Long("help") => {
                print!("{USAGE}");
                return Ok(ExitCode::SUCCESS);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    if files.is_empty() {
        return Err(util::Error::usage(USAGE));
    }
    let mut code = ExitCode::SUCCESS;
    for file in &files {
        let text = fs::read_to_string(file);
        let text =
            text.map_err(|error| util::Error::failed(format!("{}: {error}", file.display())))?;
        if let Err(error) = document::parse(&text) {
            println!("{}: {error}", file.display());
            code = ExitCode::FAILURE;
        }
    }
    Ok(code)
}
