//! Cases of the review that can't be put as a day for the bench. Each runs a small deployment with and without the disruption,
//! by `TROUBLE`, and checks one rule by what clients, runners and the store have seen.
//!
//! Usage: review-3 CASE ROOT RECORD

mod http;
mod json;
mod record;
mod runner;
mod store;
mod world;

mod case_cancel;
mod case_idle;
mod case_kind;
mod case_lease;
mod case_waiting;

use std::env;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a case found.
pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

fn run() -> io::Result<Verdict> {
    let args: Vec<String> = env::args().skip(1).collect();
    let [case, root, path] = &args[..] else {
        return Err(io::Error::other("usage: review-3 CASE ROOT RECORD"));
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = Path::new(root).canonicalize()?;
    let record = Arc::new(Record::create(Path::new(path))?);
    record.line(&format!(
        "case {case}, {} disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let verdict = match case.as_str() {
        "cancel" => case_cancel::run(&root, &record, has_trouble),
        "idle" => case_idle::run(&root, &record, has_trouble),
        "lease" => case_lease::run(&root, &record, has_trouble),
        "kind" => case_kind::run(&root, &record, has_trouble),
        "waiting" => case_waiting::run(&root, &record, has_trouble),
        other => Err(io::Error::other(format!("no case {other}"))),
    };
    match &verdict {
        Ok(verdict) => record.line(&verdict.text),
        Err(error) => record.line(&format!("the case couldn't run: {error}")),
    }
    verdict
}

fn main() -> ExitCode {
    match run() {
        Ok(verdict) => {
            println!("{}", verdict.text);
            ExitCode::from(u8::from(verdict.is_broken))
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
