//! Implements the `status` command.

use std::ffi::OsString;
use std::process::ExitCode;

use wasabiloft::fleet::status;

use crate::table;
use crate::util;

const USAGE: &str = "\
Shows the pools: VMs in service, use of the absence budgets, and why a wave is paused.

Usage:
    wasabiloft status [--node IP:PORT] [--json]

Options:
    --node IP:PORT    The entry node to call; default: WASABILOFT_NODE.
    --json            Print JSON.
    -h, --help        Show this text.
";

const HEADING: [&str; 8] = [
    "POOL",
    "WANTED",
    "LEAST",
    "IN SERVICE",
    "OUT",
    "DUE",
    "ABSENT/BUDGET MIN",
    "WAVE",
];

/// Largest absence budget that a document can set, in runner-minutes. The spare pool has no document, so a larger value
/// is shown as no limit.
const BUDGET_MAX_MIN: u64 = 100_000_000;

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    let Some(args) = util::read_args(argv)? else {
        return Ok(util::help(USAGE));
    };
    let pools: Vec<status::Pool> = util::get_json(args.node.as_deref(), "/-/status")?;
    if args.json {
        println!("{}", util::to_json(&pools)?);
        return Ok(ExitCode::SUCCESS);
    }
    let rows: Vec<_> = pools.iter().map(row).collect();
    table::print(&HEADING, &rows)?;
    Ok(ExitCode::SUCCESS)
}

fn row(pool: &status::Pool) -> Vec<String> {
    let wave = match (&pool.paused, pool.due) {
        (Some(reason), _) => format!("paused: {reason}"),
        (None, 0) => "done".to_owned(),
        (None, _) => "runs".to_owned(),
    };
    vec![
        pool.pool.to_string(),
        pool.runners.to_string(),
        pool.min_runners.to_string(),
        pool.in_service.to_string(),
        pool.out.to_string(),
        pool.due.to_string(),
        absence_and_budget(pool),
        wave,
    ]
}

fn absence_and_budget(pool: &status::Pool) -> String {
    match pool.absence_budget_min {
        budget_min if budget_min > BUDGET_MAX_MIN => format!("{}/no limit", pool.absent_min),
        budget_min => format!("{}/{budget_min}", pool.absent_min),
    }
}
