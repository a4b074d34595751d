//! Seeded measurements of the decision code; each run prints one JSON object.

mod fleet;
mod keys;
mod keys_world;
mod spare;
mod world;

use std::env;
use std::process;

const USAGE: &str = "\
Measures the decision code; prints one JSON object a run.

Usage:
    measure <command> [options]

Commands:
    fleet       Maintenance waves: roll-out time and breaches under faults.
    keys        At-most-once by idempotency key: store writes, outages, changes of owner.
    spare       The spare buffer held, and VM moves against the fewest with hindsight.

Run `measure <command> --help` for its options.";

fn main() -> process::ExitCode {
    let mut args = env::args_os().skip(1);
    let command = args.next().unwrap_or_default();
    let argv: Vec<_> = args.collect();
    let done = match command.to_str() {
        Some("fleet") => fleet::run(argv),
        Some("keys") => keys::run(argv),
        Some("spare") => spare::run(argv),
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
        }
    }
}
