//! Implements the `check` command.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use wasabiloft::document;

use crate::util;

const USAGE: &str = "\
Validates documents without a server.

Usage:
    wasabiloft check FILE...

Prints one line for each error, FILE:LINE: the problem and the allowed values. The files are also checked
against each other. Exits with 0 if there are no errors, else with 1.
";

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    use lexopt::prelude::*;

    let mut files = Vec::new();
    let mut parser = util::parser(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Value(file) => files.push(PathBuf::from(file)),
            Short('h') | Long("help") => return Ok(util::help(USAGE)),
            other => return Err(other.unexpected().into()),
        }
    }
    if files.is_empty() {
        return Err(util::Error::usage(USAGE));
    }
    let lines = check(&files)?;
    for line in &lines {
        println!("{line}");
    }
    Ok(match lines.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

fn check(files: &[PathBuf]) -> Result<Vec<String>, util::Error> {
    let mut lines = Vec::new();
    let mut valid = Vec::new();
    for file in files {
        match document::check(&util::read_file(file)?) {
            Ok(document) => valid.push((file, document)),
            Err(problems) => {
                let problem_lines = problems
                    .iter()
                    .map(|problem| format!("{}:{problem}", file.display()));
                lines.extend(problem_lines);
            }
        }
    }
    let documents: Vec<_> = valid.iter().map(|(_, document)| document).collect();
    for (index, message) in document::check_conflicts(&documents) {
        lines.push(format!("{}:1: {message}", valid[index].0.display()));
    }
    Ok(lines)
}
