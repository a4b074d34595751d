//! `measure`: seeded measurements of the decision code, one JSON object a run.

mod config;
mod lease;
mod util;

use std::process::ExitCode;

/// A command: its name, what it measures, and what runs it.
type Command = (
    &'static str,
    &'static str,
    fn(lexopt::Parser) -> Result<(), util::Error>,
);

const COMMANDS: &[Command] = &[
    (
        "config",
        "Lag and cost of configuration changes.",
        config::run,
    ),
    (
        "lease",
        "Take-over of duties, paused holders, the end of an outage.",
        lease::run,
    ),
];

fn main() -> ExitCode {
    let mut argv = std::env::args_os().skip(1);
    let name = argv.next().unwrap_or_default();
    let command = COMMANDS.iter().find(|(known, _, _)| name == *known);
    let Some((_, _, run)) = command else {
        usage();
        return match name.to_str() {
            Some("--help" | "-h") => ExitCode::SUCCESS,
            _ => ExitCode::FAILURE,
        };
    };
    match run(lexopt::Parser::from_args(argv)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::FAILURE
        }
    }
}

fn usage() {
    println!("Measures the decision code; prints one JSON object a run.\n");
    println!("Usage:\n    measure COMMAND [OPTIONS]\n    measure COMMAND --help\n\nCommands:");
    for (name, summary, _) in COMMANDS {
        println!("    {name:<10}{summary}");
    }
}
