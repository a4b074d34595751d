//! The command `platform`.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use wasabiloft_standins::deployment;
use wasabiloft_standins::platform;

use crate::util;

const USAGE: &str = "\
Runs a deployment's platform, with endpoints and workers, until SIGTERM.

Usage:
    standin platform [--listen IP:PORT] [--seed N] DIR

The first line that it prints is its address. Faults are switched by PUT /faults.

Options:
    --listen IP:PORT    Where to listen; 127.0.0.1 and a port of the system's choice if not given.
    --seed N            Seed of the faults; 1 if not given.
    -h, --help          Show this text.
";

pub fn run(argv: &[OsString]) -> Result<ExitCode, String> {
    use lexopt::prelude::*;

    let mut listen = "127.0.0.1:0".to_owned();
    let mut seed = 1;
    let mut dir = None;
    let mut parser = util::parser(argv);
    while let Some(arg) = parser.next().map_err(util::words)? {
        match arg {
            Long("listen") => {
                listen = parser
                    .value()
                    .and_then(|v| v.string())
                    .map_err(util::words)?
            }
            Long("seed") => {
                seed = parser
                    .value()
                    .and_then(|v| v.parse())
                    .map_err(util::words)?
            }
            Value(value) if dir.is_none() => dir = Some(PathBuf::from(value)),
            Short('h') | Long("help") => {
                print!("{USAGE}");
                return Ok(ExitCode::SUCCESS);
            }
            other => return Err(util::words(other.unexpected())),
        }
    }
    let dir = dir.ok_or(USAGE)?;
    util::block_on(serve(&listen, seed, &dir))?;
    Ok(ExitCode::SUCCESS)
}

async fn serve(listen: &str, seed: u64, dir: &Path) -> Result<(), String> {
    let listen = util::address(listen)?;
    let deployment = deployment::read(dir).map_err(util::words)?;
    let platform = platform::Platform::start(listen, &deployment, seed)
        .await
        .map_err(util::words)?;
    println!("{}", platform.address());
    util::wait_for_signal().await?;
    platform.stop().await;
    Ok(())
}
