//! Quotas and dominant shares.

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
fn the_share_is_that_of_the_dominant_resource() {
    let mut accounts = quota::Accounts::default();
    let team = id::Team::from("cadenas");
    accounts.set_quota(&team, quota_of(10, 100, 0));
    let account_index = accounts.account_index(&team);
    accounts.charge(account_index, &charge(1.0, 50.0));
    assert!((accounts.share(account_index) - 0.5).abs() < 1e-9);
    assert!((accounts.share_with(account_index, &charge(9.0, 0.0)) - 1.0).abs() < 1e-9);
    assert!((accounts.share_without(account_index, &charge(1.0, 50.0))).abs() < 1e-9);
    accounts.refund(account_index, &charge(1.0, 50.0));
    assert!(accounts.share(account_index).abs() < 1e-9);
}

#[test]
fn the_missing_quota_is_reported() {
    let mut accounts = quota::Accounts::default();
    let team = id::Team::from("cadenas");
    let mut declared = platform::Resources {
        cpu_milli: 1,
        memory_mib: 1,
        accelerators: 0,
    };
    let everything = Some(quota::Missing::Everything);
    assert_eq!(accounts.missing(&team, &declared), everything);
    accounts.set_quota(&team, quota_of(0, 10, 0));
    assert_eq!(accounts.missing(&team, &declared), everything);
    accounts.set_quota(&team, quota_of(10, 10, 0));
    assert_eq!(accounts.missing(&team, &declared), None);
    declared.accelerators = 1;
    let accelerators = Some(quota::Missing::Accelerators);
    assert_eq!(accounts.missing(&team, &declared), accelerators);
}

#[test]
fn the_fair_share_counts_only_teams_with_use_and_never_exceeds_the_quota() {
    let mut accounts = quota::Accounts::default();
    let account_indices: Vec<quota::AccountIndex> = ["a", "b", "c"]
        .iter()
        .map(|name| {
            let team = id::Team::from(*name);
            accounts.set_quota(&team, quota_of(10, 10, 0));
            accounts.account_index(&team)
        })
        .collect();
    accounts.charge(account_indices[0], &charge(9.0, 1.0));
    accounts.charge(account_indices[1], &charge(3.0, 1.0));
    assert!((accounts.fair_share() - 0.6).abs() < 1e-9);
    accounts.charge(account_indices[1], &charge(20.0, 1.0));
    assert!((accounts.fair_share() - 1.0).abs() < 1e-9);
}
