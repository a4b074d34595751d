//! `wasabiloft`, the operators' command-line tool. Each subcommand has its own module.

mod apply;
mod check;
mod dev;
mod dev_faults;
mod dev_watch;
mod diff;
mod explain;
mod get;
mod job;
mod keys;
mod list;
mod plan;
mod plot;
mod report;
mod status;
mod table;
mod util;
mod vm;

use std::ffi::OsString;
use std::process::ExitCode;

const USAGE: &str = "\
Manages the documents of services, jobs and VMs, and shows the state of the fleet.

Usage:
    wasabiloft COMMAND [ARGS]
    wasabiloft COMMAND --help

Commands:
    apply    Applies documents.
    check    Validates documents without a server.
    dev      Runs a whole deployment in one process.
    diff     Shows the differences between a file and the document in force.
    explain  Shows one job's history from the nodes' logs.
    get      Shows the document in force for a service.
    job      Submits, shows and cancels jobs.
    keys     Creates the keys and certificates of entry nodes.
    list     Lists the documents in force.
    plan     Shows what applying a document would change.
    report   Plots measurements as SVG.
    status   Shows pools, budgets and waves.
    vm       Shows the VMs, or marks one.
";

fn main() -> ExitCode {
    let argv: Vec<OsString> = std::env::args_os().skip(1).collect();
    let outcome = match argv.split_first() {
        Some((command, rest)) => run(&command.to_string_lossy(), rest),
        None => Err(util::Error::usage(USAGE)),
    };
    match outcome {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(command: &str, argv: &[OsString]) -> Result<ExitCode, util::Error> {
    match command {
        "apply" => apply::run(argv),
        "check" => check::run(argv),
        "dev" => dev::run(argv),
        "diff" => diff::run(argv),
        "explain" => explain::run(argv),
        "get" => get::run(argv),
        "job" => job::run(argv),
        "keys" => keys::run(argv),
        "list" => list::run(argv),
        "plan" => plan::run(argv),
        "report" => report::run(argv),
        "status" => status::run(argv),
        "vm" => vm::run(argv),
        "-h" | "--help" | "help" => {
            print!("{USAGE}");
            Ok(ExitCode::SUCCESS)
        }
        other => Err(util::Error::usage(&format!(
            "wasabiloft: unknown command '{other}'; see wasabiloft --help"
        ))),
    }
}
