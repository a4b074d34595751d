//! The `proxy` command.

use std::ffi::OsString;
use std::process::ExitCode;

use tokio::io::{AsyncBufReadExt, BufReader};
use wasabiloft_standins::proxy;

use crate::util;

const USAGE: &str = "\
Runs a fault-injecting TCP proxy until SIGTERM or the end of its standard input.

Usage:
    standin proxy TARGET

TARGET is IP:PORT. The first line of output is the proxy's address. Each line of input sets the fault:
    normal            Forward everything.
    delay MS          Delay each chunk in each direction.
    silence           Block open connections permanently; new ones work.
    one-way           Forward requests and block responses.
    black-hole        Forward nothing.
    cut               Close open connections and new ones.
    refuse            Reset open connections and refuse new ones.
    cut-after BYTES   Close each connection after this many bytes of responses.
";

pub fn run(argv: &[OsString]) -> Result<ExitCode, String> {
    use lexopt::prelude::*;

    let mut target = None;
    let mut parser = util::parser(argv);
    while let Some(arg) = parser.next().map_err(util::words)? {
        match arg {
            Value(value) if target.is_none() => target = Some(value.string().map_err(util::words)?),
            Short('h') | Long("help") => {
                print!("{USAGE}");
                return Ok(ExitCode::SUCCESS);
            }
            other => return Err(util::words(other.unexpected())),
        }
    }
    let target = util::address(&target.ok_or(USAGE)?)?;
    util::block_on(async {
        let proxy = proxy::Proxy::start(target).await.map_err(util::words)?;
        println!("{}", proxy.address());
        tokio::select! {
            read = apply_commands(&proxy) => read?,
            signal = util::wait_for_signal() => signal?,
        }
        proxy.stop().await;
        Ok(ExitCode::SUCCESS)
    })
}

async fn apply_commands(proxy: &proxy::Proxy) -> Result<(), String> {
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    let mut fault = proxy::Fault::default();
    while let Some(line) = lines.next_line().await.map_err(util::words)? {
        match parse_fault(fault, &line) {
            Ok(new) => {
                fault = new;
                proxy.set(fault);
            }
            Err(message) => eprintln!("{message}"),
        }
    }
    Ok(())
}

fn parse_fault(old: proxy::Fault, line: &str) -> Result<proxy::Fault, String> {
    let (name, value) = line.split_once(' ').unwrap_or((line, ""));
    let number = || {
        let parsed = value.trim().parse::<u64>();
        parsed.map_err(|_| format!("standin: '{value}' is not a number"))
    };
    let mut fault = proxy::Fault {
        silence_generation: old.silence_generation,
        ..proxy::Fault::default()
    };
    match name {
        "normal" => {}
        "delay" => fault.delay_ms = number()?,
        "silence" => fault.silence_generation += 1,
        "one-way" => fault.one_way = true,
        "black-hole" => fault.black_hole = true,
        "cut" => fault.cut = true,
        "refuse" => fault.refuse = true,
        "cut-after" => fault.cut_after_bytes = Some(number()?),
        other => return Err(format!("standin: unknown fault '{other}'")),
    }
    Ok(fault)
}
