//! `measure config` with faults.

use crate::measure;

#[test]
fn changes_under_faults_settle() {
    let args = ["config", "--nodes", "5", "--minutes", "10", "--burst", "20"];
    let result = measure(&[&args[..], &["--faults", "--seed", "7"]].concat());
    assert_eq!(result["unsettled"], 0);
    assert!(result["changes"].as_u64().expect("a count") > 20);
    let outdated_ms = result["longest_outdated_while_serving_ms"].as_u64();
    assert!(outdated_ms.expect("a duration") <= 7_000);
}

#[test]
fn every_way_of_spreading_settles() {
    for spread in ["push", "piggyback", "announce"] {
        let args = ["config", "--nodes", "4", "--minutes", "2", "--burst", "10"];
        let result = measure(&[&args[..], &["--spread", spread]].concat());
        assert_eq!(result["unsettled"], 0, "{spread}");
    }
}
