//! Tests of the measurements: short runs with fixed seeds, whose invariants must hold.

mod test_config;
mod test_fleet;
mod test_lease;
mod test_search;

use std::process::Command;

/// Runs a command of `measure` and returns the object that it prints.
fn measure(args: &[&str]) -> serde_json::Value {
    let output = Command::new(env!("CARGO_BIN_EXE_measure"))
        .args(args)
        .output()
        .expect("the program starts");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{args:?}: {errors}");
    serde_json::from_slice(&output.stdout).expect("it prints one JSON object")
}
