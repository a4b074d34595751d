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
        }
    }
}
