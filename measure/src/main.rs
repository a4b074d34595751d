//! Seeded measurements of the decision code; each run prints one JSON object.

mod baseline;
mod entry;
mod fleet;
mod flood;
mod keys;
mod keys_world;
mod load;
mod slots;
mod tally;
mod util;
mod world;

use std::env;
use std::process;

const USAGE: &str = "\
Measures the decision code; prints one JSON object a run.

Usage:
    measure <command> [options]

Commands:
    fleet       Maintenance waves: roll-out time and breaches under faults.
    flood       What the other kinds keep while some kinds flood in.
    keys        At-most-once by idempotency key: store writes, outages, changes of owner.
    slots       Slot use of many entry nodes against one ideal queue.

Run `measure <command> --help` for its options.";

fn main() -> process::ExitCode {
    let mut args = env::args_os().skip(1);
    let command = args.next().unwrap_or_default();
    let argv: Vec<_> = args.collect();
    let done = match command.to_str() {
        Some("fleet") => fleet::run(argv),
        Some("flood") => flood::run(argv),
        Some("keys") => keys::run(argv),
        Some("slots") => slots::run(argv),
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
