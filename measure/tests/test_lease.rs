//! `measure lease`, a short run.

use crate::measure;

#[test]
fn duties_are_taken_over_within_ten_virtual_seconds() {
    let result = measure(&["lease", "--nodes", "4", "--duties", "12", "--rounds", "3"]);
    let vacant_ms = result["vacant_after_death"]["max_ms"].as_u64();
    assert!(vacant_ms.expect("a duration") < 10_000);
    let writes = result["after_outage_peak_writes_per_s"].as_u64();
    assert!(writes.expect("a count") < 150);
}
