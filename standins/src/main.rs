//! The `standin` program, which runs the stand-ins as processes.

mod load_command;
mod path_command;
mod platform_command;
mod proxy_command;
mod soak_command;
mod util;

use std::ffi::OsString;
use std::process::ExitCode;

const USAGE: &str = "\
Stand-ins for the systems that surround an entry VM.

Usage:
    standin COMMAND [ARGS]
    standin COMMAND --help

Commands:
    load        Sends a deployment's load to entry nodes, and checks the responses.
    path        Measures the latency that an entry node adds to a request.
    platform    Runs a deployment's platform with its endpoints and workers.
    proxy       Runs a fault-injecting TCP proxy.
    soak        Runs daemons on a platform with injected faults, and checks what callers and workers observe.
";

fn main() -> ExitCode {
    let argv: Vec<OsString> = std::env::args_os().skip(1).collect();
    let outcome = match argv.split_first() {
        Some((command, rest)) => run(&command.to_string_lossy(), rest),
        None => Err(USAGE.to_owned()),
    };
    match outcome {
        Ok(code) => code,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: &str, argv: &[OsString]) -> Result<ExitCode, String> {
    match command {
        "load" => load_command::run(argv),
        "path" => path_command::run(argv),
        "platform" => platform_command::run(argv),
        "proxy" => proxy_command::run(argv),
        "soak" => soak_command::run(argv),
        "-h" | "--help" => {
            print!("{USAGE}");
            Ok(ExitCode::SUCCESS)
        }
        other => Err(format!(
            "standin: unknown command '{other}'; see standin --help"
        )),
    }
}
