<<<<<<< HEAD
//! Seeded measurements of the decision code: one command a file, one JSON object a run.

mod fleet;
mod world;

/// A command: its name and what it runs with the arguments after its name.
type Command = (&'static str, fn(lexopt::Parser) -> Result<(), Error>);

/// What a command may fail with.
type Error = Box<dyn std::error::Error>;

/// The commands.
const COMMANDS: &[Command] = &[("fleet", fleet::run)];

fn main() -> std::process::ExitCode {
    let mut args = lexopt::Parser::from_env();
    let name = match args.value() {
        Ok(name) => name.to_string_lossy().into_owned(),
        Err(_) => String::new(),
    };
    let command = COMMANDS.iter().find(|(known, _)| *known == name);
    let Some((_, run)) = command else {
        let names: Vec<&str> = COMMANDS.iter().map(|(known, _)| *known).collect();
        eprintln!(
            "usage: measure COMMAND [OPTIONS]\ncommands: {}",
            names.join(", ")
        );
        return std::process::ExitCode::FAILURE;
    };
    match run(args) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure: {error}");
            std::process::ExitCode::FAILURE
=======
//! Seeded measurements of the decision code; each run prints one JSON object.

mod keys;
mod keys_world;

use std::env;
use std::process;

const USAGE: &str = "\
Measures the decision code; prints one JSON object a run.

Usage:
    measure <command> [options]

Commands:
    keys        At-most-once by idempotency key: store writes, outages, changes of owner.

Run `measure <command> --help` for its options.";

fn main() -> process::ExitCode {
    let mut args = env::args_os().skip(1);
    let command = args.next().unwrap_or_default();
    let argv: Vec<_> = args.collect();
    let done = match command.to_str() {
        Some("keys") => keys::run(argv),
        Some("--help" | "-h") => {
            println!("{USAGE}");
            return process::ExitCode::SUCCESS;
        }
        _ => {
            eprintln!("{USAGE}");
            return process::ExitCode::from(2);
        }
    };
    match done {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure: {error}");
            process::ExitCode::FAILURE
>>>>>>> main
        }
    }
}
