//! Implements the `plan` command.

use std::ffi::OsString;
use std::process::ExitCode;

use serde::Serialize;
use wasabiloft::document;
use wasabiloft::document::changes;
use wasabiloft::fleet::status;

use crate::diff;
use crate::util;

const USAGE: &str = "\
Shows what applying a document would change, and the consequences for the current fleet.

Usage:
    wasabiloft plan [--node IP:PORT] [--json] FILE

Options:
    --node IP:PORT    The entry node to call; default: WASABILOFT_NODE.
    --json            Print JSON.
    -h, --help        Show this text.
";

/// Changes that applying a document would make, and their consequences.
#[derive(Debug, Serialize)]
struct Plan {
    changes: Vec<changes::Change>,
    #[serde(rename = "follows")]
    consequences: Vec<String>,
}

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    let Some(args) = util::file_args(argv)? else {
        return Ok(util::help(USAGE));
    };
    let file = args.file.ok_or_else(|| util::Error::usage(USAGE))?;
    let (_, new) = util::read_document(&file)?;
    let address = util::node_address(args.node.as_deref())?;
    let old = util::block_on(util::document_in_force(address, &new.service))?;
    let old = old.map(|(_, document)| document);
    let pools: Vec<status::Pool> = util::get_json(args.node.as_deref(), "/-/status")?;
    let plan = Plan {
        changes: match &old {
            Some(old) => changes::between(old, &new),
            None => changes::added(&new),
        },
        consequences: consequences(old.as_ref(), &new, &pools),
    };
    if args.json {
        println!("{}", util::to_json(&plan)?);
        return Ok(ExitCode::SUCCESS);
    }
    diff::print_changes(&plan.changes);
    for line in &plan.consequences {
        println!("{line}");
    }
    Ok(ExitCode::SUCCESS)
}

fn consequences(
    old: Option<&document::Document>,
    new: &document::Document,
    pools: &[status::Pool],
) -> Vec<String> {
    let mut lines = Vec::new();
    let pool = pools.iter().find(|pool| pool.pool == new.capacity.pool);
    let current = pool.map_or(0, |pool| pool.in_service + pool.out);
    let target = new.capacity.runners;
    match target.cmp(&current) {
        std::cmp::Ordering::Greater => {
            lines.push(format!(
                "{} VMs will come from the spare pool",
                target - current
            ));
        }
        std::cmp::Ordering::Less => {
            lines.push(format!(
                "{} VMs will go to the spare pool",
                current - target
            ));
        }
        std::cmp::Ordering::Equal => {}
    }
    let in_service = pool.map_or(0, |pool| pool.in_service);
    if in_service < new.availability.min_runners {
        let min_runners = new.availability.min_runners;
        lines.push(format!(
            "the pool has {in_service} in service, less than min_runners, {min_runners}: its waves pause"
        ));
    }
    let previous = old.filter(|old| old.capacity.pool != new.capacity.pool);
    if let Some(old) = previous {
        let (from, to) = (&old.capacity.pool, &new.capacity.pool);
        lines.push(format!("the service leaves pool {from} for pool {to}"));
    }
    lines
}
