//! Helpers shared by the commands.

use std::ffi::OsString;
use std::net::SocketAddr;

use tokio::signal::unix;

/// Returns a parser for a command's arguments.
pub fn parser(argv: &[OsString]) -> lexopt::Parser {
    lexopt::Parser::from_args(argv.iter().cloned())
}

/// Formats an error with the program's name.
pub fn words<E>(error: E) -> String
where
    E: ToString,
{
    format!("standin: {}", error.to_string())
}

/// Parses an address of the form `IP:PORT`.
pub fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("standin: '{text}' is not IP:PORT"))
}

/// Runs an asynchronous command to completion on a new runtime.
pub fn block_on<F, T>(command: F) -> Result<T, String>
where
    F: Future<Output = Result<T, String>>,
{
    let runtime = tokio::runtime::Runtime::new().map_err(words)?;
    runtime.block_on(command)
}

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_signal() -> Result<(), String> {
    let mut terminate = unix::signal(unix::SignalKind::terminate()).map_err(words)?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt()).map_err(words)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
