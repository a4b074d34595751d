//! `wasabiloftd`: the daemon of an entry node.

use std::env;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::signal::unix;
use wasabiloft_node::{batch, log, node, settings};
use wasabiloft_platform::settings as platform_settings;

const USAGE: &str = "\
Runs an entry node until SIGTERM or SIGINT.

Usage:
    wasabiloftd --config FILE
    wasabiloftd --check --config FILE
    wasabiloftd --platform [--config FILE]

The first line of output is the address for callers and operators.

Options:
    -c, --config FILE    The node's settings, in TOML.
    --platform           Run batch jobs on the users' platform; without --config,
                         WASABILOFT_CONFIG names the settings file.
    --check              Check the settings file and exit.
    -h, --help           Show this text.
";

struct Args {
    config: PathBuf,
    check: bool,
    platform: bool,
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
    let mut platform = false;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next().map_err(|error| error.to_string())? {
        match arg {
            Short('c') | Long("config") => {
                let value = parser.value().map_err(|error| error.to_string())?;
                config = Some(PathBuf::from(value));
            }
            Long("check") => check = true,
            Long("platform") => platform = true,
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected().to_string()),
        }
    }
    if platform && config.is_none() {
        config = env::var_os(platform_settings::PATH_VARIABLE).map(PathBuf::from);
    }
    let config = config.ok_or("--config FILE is missing; see --help")?;
    Ok(Some(Args {
        config,
        check,
        platform,
    }))
}

fn run(args: &Args) -> Result<(), String> {
    if args.platform {
        return run_on_platform(args);
    }
    let settings = read_settings(&args.config)?;
    if args.check {
        println!("{}: ok", args.config.display());
        return Ok(());
    }
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    runtime.block_on(serve(settings))
}

fn run_on_platform(args: &Args) -> Result<(), String> {
    if args.check {
        platform_settings::read(&args.config).map_err(|error| error.to_string())?;
        println!("{}: ok", args.config.display());
        return Ok(());
    }
    let _writer = log::to_stdout()?;
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| error.to_string())?;
    // A single thread is enough: the VMs of this platform have a fraction of one core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    runtime.block_on(batch::run(&args.config, metrics))
}

fn read_settings(path: &Path) -> Result<settings::Settings, String> {
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
