//! Implements the `diff` command.

use std::ffi::OsString;
use std::process::ExitCode;

use wasabiloft::document::changes;

use crate::util;

const USAGE: &str = "\
Shows the differences between a file and the document in force, field by field.

Usage:
    wasabiloft diff [--node IP:PORT] [--json] FILE

Exits with 0 if there are no differences, else with 1.

Options:
    --node IP:PORT    The entry node to call; default: WASABILOFT_NODE.
    --json            Print JSON.
    -h, --help        Show this text.
";

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    let Some(args) = util::file_args(argv)? else {
        return Ok(util::help(USAGE));
    };
    let file = args.file.ok_or_else(|| util::Error::usage(USAGE))?;
    let (_, new) = util::read_document(&file)?;
    let address = util::node_address(args.node.as_deref())?;
    let in_force = util::block_on(util::document_in_force(address, &new.service))?;
    let changes = match &in_force {
        Some((_, old)) => changes::between(old, &new),
        None => changes::added(&new),
    };
    if args.json {
        println!("{}", util::to_json(&changes)?);
    } else {
        print_changes(&changes);
    }
    Ok(match changes.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

/// Prints one line per change: `~` for a changed field, `-` for a removed one and `+` for an added one.
pub fn print_changes(changes: &[changes::Change]) {
    for change in changes {
        let field = &change.field;
        match (&change.old, &change.new) {
            (Some(old), Some(new)) => println!("~ {field}: {old} -> {new}"),
            (Some(old), None) => println!("- {field}: {old}"),
            (None, Some(new)) => println!("+ {field}: {new}"),
            (None, None) => {}
        }
    }
}
