//! Implements the `vm` command.

use std::ffi::OsString;
use std::process::ExitCode;

use http::{Method, StatusCode};
use wasabiloft::fleet::status;

use crate::table;
use crate::util;

const USAGE: &str = "\
Shows the VMs, or sets the mark of a VM.

Usage:
    wasabiloft vm [--node IP:PORT] [--json]
    wasabiloft vm [--node IP:PORT] VM hold|first|out|clear

Marks:
    hold     Prevents new maintenance and moves of the VM.
    first    Maintains the VM next, even if it is not due.
    out      Drains the VM and keeps it out of service until the mark is cleared.
    clear    Removes the mark.

Options:
    --node IP:PORT    The entry node to call; default: WASABILOFT_NODE.
    --json            Print JSON.
    -h, --help        Show this text.
";

const HEADING: [&str; 8] = [
    "VM",
    "POOL",
    "RACK",
    "DATA CENTRE",
    "STAGE",
    "LIVE",
    "DUE",
    "MARK",
];
/// Marks that can be set on a VM.
const MARKS: [&str; 3] = ["hold", "first", "out"];

struct Args {
    node: Option<String>,
    json: bool,
    operands: Vec<String>,
}

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    let Some(args) = parse(argv)? else {
        return Ok(util::help(USAGE));
    };
    match args.operands.as_slice() {
        [] => show(&args),
        [vm, mark] => set_mark(&args, vm, mark),
        _ => Err(util::Error::usage(USAGE)),
    }
}

fn parse(argv: &[OsString]) -> Result<Option<Args>, util::Error> {
    use lexopt::prelude::*;

    let mut args = Args {
        node: None,
        json: false,
        operands: Vec::new(),
    };
    let mut parser = util::parser(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("node") => args.node = Some(parser.value()?.string()?),
            Long("json") => args.json = true,
            Value(operand) => args.operands.push(operand.string()?),
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(args))
}

fn show(args: &Args) -> Result<ExitCode, util::Error> {
    let vms: Vec<status::Vm> = util::get_json(args.node.as_deref(), "/-/vms")?;
    if args.json {
        println!("{}", util::to_json(&vms)?);
        return Ok(ExitCode::SUCCESS);
    }
    let rows: Result<Vec<_>, _> = vms.iter().map(row).collect();
    table::print(&HEADING, &rows?)?;
    Ok(ExitCode::SUCCESS)
}

fn row(vm: &status::Vm) -> Result<Vec<String>, util::Error> {
    let or_dash = |value: &Option<String>| value.clone().unwrap_or_else(|| "-".to_owned());
    Ok(vec![
        vm.row.vm.to_string(),
        vm.row.pool.to_string(),
        or_dash(&vm.rack.as_ref().map(ToString::to_string)),
        or_dash(&vm.data_centre.as_ref().map(ToString::to_string)),
        stage(vm)?,
        vm.live.to_string(),
        vm.due.to_string(),
        util::variant_name(&vm.row.mark)?,
    ])
}

fn stage(vm: &status::Vm) -> Result<String, util::Error> {
    let value = serde_json::to_value(&vm.row.stage).map_err(util::Error::failed)?;
    Ok(value["stage"].as_str().unwrap_or("-").to_owned())
}

fn set_mark(args: &Args, vm: &str, mark: &str) -> Result<ExitCode, util::Error> {
    let value = match mark {
        "clear" => serde_json::Value::Null,
        mark if MARKS.contains(&mark) => mark.into(),
        _ => return Err(util::Error::usage(USAGE)),
    };
    let address = util::node_address(args.node.as_deref())?;
    let body = serde_json::json!({ "mark": value }).to_string();
    let body = util::Body::Json(body);
    let path = format!("/-/vms/{vm}");
    let response = util::block_on(util::call(address, Method::POST, &path, None, body))?;
    match response.status() {
        StatusCode::OK => Ok(ExitCode::SUCCESS),
        _ => Err(util::Error::failed(util::text(&response).trim())),
    }
}
