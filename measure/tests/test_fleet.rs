//! Randomised runs of the fleet duty: no violation, unless a protection is switched off.

/// Runs `measure fleet` on fixed seeds and returns the runs with violations.
fn violated(args: &[&str]) -> u64 {
    let fixed = ["fleet", "--seed", "1000", "--threads", "2", "--faults"];
    let object = crate::measure(&[&fixed, args].concat());
    assert!(object["reboots"].as_u64() > Some(0), "{object}");
    object["runs_with_violations"].as_u64().expect("a count")
}

#[test]
fn faults_break_nothing() {
    assert_eq!(violated(&["16"]), 0);
}

#[test]
fn a_drain_without_proof_is_noticed() {
    assert!(violated(&["2", "--without", "drain-proof"]) > 0);
}

#[test]
fn a_wave_without_the_reserve_is_noticed() {
    assert!(violated(&["4", "--without", "domain-reserve"]) > 0);
}

#[test]
fn a_table_without_fencing_and_versions_is_noticed() {
    assert!(violated(&["16", "--without", "fencing-and-checks"]) > 0);
}
