//! The command `check`.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use wasabiloft::document;

use crate::util;

const USAGE: &str = "\
Says what is wrong with documents, without a server.

Usage:
    wasabiloft check FILE...

Prints a line for each error, FILE:LINE: what is wrong and what is allowed. The files are also checked
against one another. Ends with 0 if there are no errors, else with 1.
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
    let mut sound = Vec::new();
    for file in files {
        match document::check(&util::read_file(file)?) {
            Ok(document) => sound.push((file, document)),
            Err(problems) => {
                let named = problems
                    .iter()
                    .map(|problem| format!("{}:{problem}", file.display()));
                lines.extend(named);
            }
        }
    }
    let documents: Vec<_> = sound.iter().map(|(_, document)| document).collect();
    for (index, message) in document::check_conflicts(&documents) {
        lines.push(format!("{}:1: {message}", sound[index].0.display()));
    }
    Ok(lines)
}
