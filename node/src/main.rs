//! `wasabiloftd`: the daemon of an entry node.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::signal::unix;
use wasabiloft_node::node;
use wasabiloft_node::settings;

const USAGE: &str = "\
Runs an entry node until SIGTERM or SIGINT.

Usage:
    wasabiloftd --config FILE
    wasabiloftd --check --config FILE

The first line that it prints is the address for callers and operators.

Options:
    -c, --config FILE    The node's settings, in TOML.
    --check              Read the settings, say what is wrong with them, and end.
    -h, --help           Show this text.
";

struct Args {
    config: PathBuf,
    check: bool,
}

fn main() -> ExitCode {
    let outcome = match parse_args() {
        Ok(Some(args)) => run(&args),
        Ok(None) => {
            print!("{USAGE}");
            Ok(())
        }
        Err(message) => Err(message),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("wasabiloftd: {message}");
            ExitCode::FAILURE
        }
    }
}

fn parse_args() -> Result<Option<Args>, String> {
    use lexopt::prelude::*;

    let mut config = None;
    let mut check = false;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next().map_err(|error| error.to_string())? {
        match arg {
            Short('c') | Long("config") => {
                let value = parser.value().map_err(|error| error.to_string())?;
                config = Some(PathBuf::from(value));
            }
            Long("check") => check = true,
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected().to_string()),
        }
    }
    let config = config.ok_or("--config FILE is missing; see --help")?;
    Ok(Some(Args { config, check }))
}

fn run(args: &Args) -> Result<(), String> {
    let settings = read(&args.config)?;
    if args.check {
        println!("{}: ok", args.config.display());
        return Ok(());
    }
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    runtime.block_on(serve(settings))
}

fn read(path: &Path) -> Result<settings::Settings, String> {
    settings::read(path).map_err(|error| error.to_string())
}

async fn serve(settings: settings::Settings) -> Result<(), String> {
    let mut terminate =
        unix::signal(unix::SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt =
        unix::signal(unix::SignalKind::interrupt()).map_err(|error| error.to_string())?;
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| error.to_string())?;
    let node = node::Node::start(settings, metrics)
        .await
        .map_err(|error| error.to_string())?;
    println!("{}", node.address());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop().await;
    Ok(())
}
