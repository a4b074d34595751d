//! `measure`: seeded measurements of the decision code, one JSON object a run.

mod baseline;
mod fleet;
mod flood;
mod load;
mod slots;
mod tally;
mod util;

use std::process::ExitCode;

const USAGE: &str = "\
Measures wasabiloft's decisions against small fakes and prints one JSON object.

Usage:
    measure COMMAND [OPTIONS]
    measure COMMAND --help

Commands:
    flood    What the other kinds keep while some kinds flood in.
    slots    Slot use of many entry nodes against one ideal queue.
";

fn main() -> ExitCode {
    let mut argv = std::env::args().skip(1);
    let command = argv.next().unwrap_or_default();
    let rest: Vec<String> = argv.collect();
    let result = match command.as_str() {
        "flood" => flood::run(&rest),
        "slots" => slots::run(&rest),
        "--help" | "-h" => Ok(USAGE.to_owned()),
        _ => Err(util::Error::Usage {
            message: USAGE.to_owned(),
        }),
    };
    match result {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
