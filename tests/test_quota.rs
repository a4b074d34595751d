//! Quotas and shares.

use wasabiloft::document;
use wasabiloft::id;
use wasabiloft::platform;
use wasabiloft::quota;

fn quota_of(cores: u64, memory_gib: u64, accelerators: u32) -> document::Quota {
    document::Quota {
        cores,
        memory_gib,
        accelerators,
    }
}

fn charge(cores: f64, memory_gib: f64) -> quota::Charge {
    quota::Charge {
        cpu_milli: cores * 1_000.0,
        memory_mib: memory_gib * 1_024.0,
        accelerators: 0.0,
    }
}

#[test]
fn a_share_is_that_of_the_scarcest_resource() {
    let mut ledger = quota::Ledger::default();
    let team = id::Team::from("cadenas");
    ledger.set_quota(&team, quota_of(10, 100, 0));
    let owner = ledger.owner(&team);
    ledger.charge(owner, &charge(1.0, 50.0));
    assert!((ledger.share(owner) - 0.5).abs() < 1e-9);
    assert!((ledger.share_with(owner, &charge(9.0, 0.0)) - 1.0).abs() < 1e-9);
    assert!((ledger.share_without(owner, &charge(1.0, 50.0))).abs() < 1e-9);
    ledger.refund(owner, &charge(1.0, 50.0));
    assert!(ledger.share(owner).abs() < 1e-9);
}

#[test]
fn a_team_without_quota_is_told_what_is_missing() {
    let mut ledger = quota::Ledger::default();
    let team = id::Team::from("cadenas");
    let mut declared = platform::Resources {
        cpu_milli: 1,
        memory_mib: 1,
        accelerators: 0,
    };
    let everything = Some(quota::Missing::Everything);
    assert_eq!(ledger.missing(&team, &declared), everything);
    ledger.set_quota(&team, quota_of(0, 10, 0));
    assert_eq!(ledger.missing(&team, &declared), everything);
    ledger.set_quota(&team, quota_of(10, 10, 0));
    assert_eq!(ledger.missing(&team, &declared), None);
    declared.accelerators = 1;
    let accelerators = Some(quota::Missing::Accelerators);
    assert_eq!(ledger.missing(&team, &declared), accelerators);
}

#[test]
fn the_common_level_counts_only_teams_with_use_and_never_exceeds_the_quota() {
    let mut ledger = quota::Ledger::default();
    let owners: Vec<quota::Owner> = ["a", "b", "c"]
        .iter()
        .map(|name| {
            let team = id::Team::from(*name);
            ledger.set_quota(&team, quota_of(10, 10, 0));
            ledger.owner(&team)
        })
        .collect();
    ledger.charge(owners[0], &charge(9.0, 1.0));
    ledger.charge(owners[1], &charge(3.0, 1.0));
    assert!((ledger.level() - 0.6).abs() < 1e-9);
    ledger.charge(owners[1], &charge(20.0, 1.0));
    assert!((ledger.level() - 1.0).abs() < 1e-9);
}
