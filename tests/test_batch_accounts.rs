//! Keys and quotas of client accounts.

use std::collections::BTreeMap;

use proptest::prelude::*;
use wasabiloft::batch::{accounts, queue, record};
use wasabiloft::id;

use crate::fake_workers::{Faults, Simulation, accepted, config, step};
use crate::fixed_seed;

/// Time within which all jobs of a simulation are done after its faults, in milliseconds.
const DONE_MS: u64 = 60_000;

fn account(name: &str) -> id::Account {
    id::Account::new(name)
}

fn limited_to(cores: u64) -> accounts::Account {
    accounts::Account {
        limits: accounts::Limits {
            cpu_milli: Some(cores * 1_000),
            ..accounts::Limits::default()
        },
        ..accounts::Account::default()
    }
}

/// Returns accounts with one key each, which is `key-` and the name.
fn accounts_of(settings: &[(&str, accounts::Account)]) -> accounts::Accounts {
    let by_name: BTreeMap<id::Account, accounts::Account> = settings
        .iter()
        .map(|(name, settings)| (account(name), *settings))
        .collect();
    let keys = settings.iter().map(|(name, _)| {
        let digest = accounts::KeyDigest::new(&format!("key-{name}"));
        (digest, account(name))
    });
    let keys = keys.collect();
    accounts::Accounts::new(by_name, keys).0
}

fn configured(settings: &[(&str, accounts::Account)]) -> queue::Config {
    queue::Config {
        accounts: Some(accounts_of(settings)),
        ..(*config()).clone()
    }
}

fn job_of(name: &str, tasks: u32) -> record::Accepted {
    record::Accepted {
        account: Some(account(name)),
        ..accepted(vec![step(tasks, &[])], 9)
    }
}

/// Guards against a key that authenticates an account that doesn't have it, or no longer does, and against two keys
/// whose digests begin alike.
#[test]
fn only_present_keys_authenticate() {
    let names: Vec<String> = (0..2_000).map(|number| format!("a{number}")).collect();
    let settings: Vec<(&str, accounts::Account)> = names
        .iter()
        .map(|name| (name.as_str(), accounts::Account::default()))
        .collect();
    let all = accounts_of(&settings);
    for name in &names {
        assert_eq!(
            all.authenticate(&format!("key-{name}")),
            Some(&account(name))
        );
        assert_eq!(all.authenticate(&format!("key-{name}x")), None);
    }
    let rest = accounts_of(&settings[1..]);
    assert_eq!(rest.authenticate("key-a0"), None, "revoked");
    assert_eq!(rest.authenticate(""), None);
}

/// Guards against a key that changes its account with the order in which accounts are stated.
#[test]
fn a_shared_key_belongs_to_the_first_account_by_name() {
    let by_name: BTreeMap<id::Account, accounts::Account> = ["b", "a"]
        .into_iter()
        .map(|name| (account(name), accounts::Account::default()))
        .collect();
    let key = accounts::KeyDigest::new("both");
    let keys = vec![(key, account("b")), (key, account("a"))];
    let (accounts, shared) = accounts::Accounts::new(by_name, keys);
    assert_eq!(accounts.authenticate("both"), Some(&account("a")));
    assert_eq!(shared, [account("b")]);
}

/// Guards against keys in log lines that print a configuration.
#[test]
fn keys_do_not_appear_in_debug_output() {
    let text = format!("{:?}", configured(&[("a", accounts::Account::default())]));
    assert!(!text.contains("key-a"), "{text}");
}

fn route(anonymous: bool) -> queue::Route {
    queue::Route {
        host: "counter.example".into(),
        prefix: "/quotes/".into(),
        queue: crate::fake_workers::queue(2),
        anonymous,
    }
}

/// Guards against calls without an account's key on a closed route, and against closing routes of configurations
/// without accounts.
#[test]
fn access_follows_the_route_and_the_key() {
    let open = queue::Config::default();
    assert_eq!(open.access(&route(false), None), queue::Access::Open);
    let closed = configured(&[("a", accounts::Account::default())]);
    let a = account("a");
    let key = Some("key-a");
    assert_eq!(closed.access(&route(false), None), queue::Access::Denied);
    assert_eq!(
        closed.access(&route(false), Some("other")),
        queue::Access::Denied
    );
    assert_eq!(
        closed.access(&route(false), key),
        queue::Access::Account(&a)
    );
    assert_eq!(closed.access(&route(true), None), queue::Access::Open);
    assert_eq!(closed.access(&route(true), key), queue::Access::Account(&a));
    let without_accounts = configured(&[]);
    assert_eq!(
        without_accounts.access(&route(false), key),
        queue::Access::Denied
    );
}

/// Guards against starts beyond a quota while the pool has room, and against an account that keeps another from its
/// work.
#[test]
fn an_account_runs_up_to_its_quota_beside_others() {
    let mut sim = Simulation::new(8, Faults::default(), 1);
    sim.configure(configured(&[("a", limited_to(3)), ("b", limited_to(0))]));
    sim.run(300);
    sim.submit(1, job_of("a", 60));
    sim.submit(
        2,
        record::Accepted {
            account: None,
            ..job_of("a", 20)
        },
    );
    let mut most = 0;
    for _ in 0..200 {
        sim.run(10);
        most = most.max(sim.running_of(&account("a")).cpu_milli);
    }
    assert_eq!(most, 3_000);
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    sim.run(DONE_MS);
    for job in [1, 2] {
        assert_eq!(sim.state(job), Some(record::State::Completed), "job {job}");
    }
}

/// Guards against starts above a quota that falls far below what runs, and against ending what runs.
#[test]
fn a_quota_that_falls_starts_nothing_more_and_ends_nothing() {
    let mut sim = Simulation::new(4, Faults::default(), 2);
    sim.configure(configured(&[("a", limited_to(12))]));
    sim.run(300);
    sim.submit(1, job_of("a", 200));
    sim.run(400);
    let before = sim.running();
    assert!(before.len() > 4, "{before:?}");
    sim.configure(configured(&[("a", limited_to(2))]));
    sim.run(20);
    let after = sim.running();
    assert!(after.iter().all(|task| before.contains(task)));
    for _ in 0..300 {
        let running = sim.running_of(&account("a")).cpu_milli;
        let started = sim.started;
        sim.run(10);
        assert!(running < 2_000 || sim.started - started <= 2);
    }
    assert_eq!(sim.scheduler().counts().broken_off, 0);
    assert!(sim.running_of(&account("a")).cpu_milli <= 2_000);
}

proptest! {
    #![proptest_config(fixed_seed(24))]

    /// Guards against a start above a quota with lost, late and repeated commands, crashes, cut workers, stops that take
    /// time, and new leaders that haven't heard of all runs, beside predecessors that still act.
    #[test]
    fn no_start_exceeds_a_quota_under_faults(
        seed in 0..1_000_000_u64,
        cores in 2..7_u64,
        late in 0..30_u32,
        lost in 0..60_u32,
        takeover in 0..4_u32,
    ) {
        let faults = Faults {
            late,
            lost,
            takeover,
            partition: 2,
            crash: 1,
            stop_ms: 200,
            ..Faults::default()
        };
        let mut sim = Simulation::new(6, faults, seed);
        let settings = [("a", limited_to(cores)), ("b", limited_to(2 * cores))];
        sim.configure(configured(&settings));
        for job in 0..12 {
            let name = if job % 2 == 0 { "a" } else { "b" };
            sim.submit(job, job_of(name, 12));
            sim.run(700);
            if job % 5 == 4 {
                sim.cancel(job - 1);
            }
        }
        sim.run(6_000);
        sim.end_faults();
        sim.run(DONE_MS);
        let quotas: Vec<&String> = sim.violations.iter().filter(|line| line.contains("QUOTA")).collect();
        prop_assert!(quotas.is_empty(), "{:?}", quotas);
        for job in 0..12 {
            let state = sim.state(job);
            prop_assert!(state.is_some_and(record::State::is_final), "job {} {:?}", job, state);
        }
    }
}
