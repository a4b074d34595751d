//! Seeded measurements of the decision code; each run prints one JSON object.

mod baseline;
mod batch;
mod config;
mod entry;
mod fleet;
mod flood;
mod jobs;
mod keys;
mod keys_world;
mod lease;
mod load;
mod order;
mod placement;
mod retry;
mod search;
mod slots;
mod spare;
mod tally;
mod util;
mod world;

use std::env;
use std::error;
use std::process;

const USAGE: &str = "\
Measures the decision code; prints one JSON object a run.

Usage:
    measure <command> [options]

Commands:
    batch       Processor time of the batch scheduler while each pool in turn is overloaded.
    config      Configuration changes: lag, store reads and writes, messages, bytes and CPU a node.
    fleet       Maintenance waves: roll-out time and breaches under faults.
    flood       What the other kinds keep while some kinds flood in.
    jobs        Jobs under load and faults: waits, use, shares, lost work, store writes.
    keys        At-most-once by idempotency key: store writes, outages, changes of owner.
    lease       Duties: time to take over, paused holders, store load at an outage's end.
    order       Jobs done in time by several scheduling orders while a pool is overloaded.
    placement   Placement decisions a second and memory against workers and queue length.
    retry       Attempts per request while endpoints fail, and in a storm of repeats.
    search      Searches for histories that break the rules, with faults of every kind.
    slots       Slot use of many entry nodes against one ideal queue.
    spare       The spare buffer held, and VM moves against the fewest with hindsight.

Run `measure <command> --help` for its options.";

fn main() -> process::ExitCode {
    let mut args = env::args_os().skip(1);
    let command = args.next().unwrap_or_default();
    let argv: Vec<_> = args.collect();
    let done: Result<(), Box<dyn error::Error>> = match command.to_str() {
        Some("batch") => batch::run(argv).map_err(Into::into),
        Some("config") => config::run(lexopt::Parser::from_args(argv)).map_err(Into::into),
        Some("fleet") => fleet::run(argv).map_err(Into::into),
        Some("flood") => flood::run(argv).map_err(Into::into),
        Some("jobs") => jobs::run(argv).map_err(Into::into),
        Some("keys") => keys::run(argv).map_err(Into::into),
        Some("lease") => lease::run(lexopt::Parser::from_args(argv)).map_err(Into::into),
        Some("order") => order::run(argv).map_err(Into::into),
        Some("placement") => placement::run(argv).map_err(Into::into),
        Some("retry") => retry::run(argv).map_err(Into::into),
        Some("search") => search::run(argv).map_err(Into::into),
        Some("slots") => slots::run(argv).map_err(Into::into),
        Some("spare") => spare::run(argv).map_err(Into::into),
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
