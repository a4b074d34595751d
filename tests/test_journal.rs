//! Settled outcomes match the table despite lost, delayed and repeated requests and replies.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wasabiloft::clock;
use wasabiloft::id;
use wasabiloft::journal;
use wasabiloft::platform;
use wasabiloft::roster;

use crate::fake_table;

const NODES: usize = 3;
const STEP_MS: u64 = 10;

fn node(name: usize) -> roster::NodeId {
    let node = id::Node::from(format!("entry-{name}"));
    roster::NodeId {
        node,
        incarnation: roster::Incarnation(7),
    }
}

/// Returns a transaction that creates a row of its own and sometimes also writes a contested row.
fn transaction(link: &fake_table::Link, rng: &mut SmallRng, number: u64) -> platform::Txn {
    let own = id::Key::from(format!("own/{number}"));
    let mut txn = platform::Txn {
        checks: Vec::new(),
        writes: vec![platform::Write {
            key: own,
            value: Some(String::from("1")),
        }],
    };
    if rng.random_ratio(1, 3) {
        let key = id::Key::from(format!("shared/{}", rng.random_range(0..3)));
        let version = link.table.row(&key).map_or(0, |row| row.version);
        txn.checks.push(platform::Check {
            key: key.clone(),
            version,
        });
        // Deletes make a contested row absent again, so that a late copy of a transaction can pass its check.
        let value = rng.random_ratio(2, 3).then(|| number.to_string());
        txn.writes.push(platform::Write { key, value });
    }
    txn
}

/// Runs writers with faults and compares the outcomes that they settled with the table's commits.
fn run(
    seed: u64,
    faults: fake_table::Faults,
    unchecked: Option<&'static str>,
) -> Result<(), String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut link = fake_table::Link::default();
    link.faults = faults;
    link.table.unchecked_prefix = unchecked;
    let mut writers: Vec<journal::Writer> = (0..NODES)
        .map(|name| journal::Writer::new(&node(name), clock::Instant::ZERO))
        .collect();
    for writer in &mut writers {
        writer.set_roster_size(NODES);
    }
    let mut submitted: BTreeMap<(usize, journal::Token), u64> = BTreeMap::new();
    let mut outcomes: BTreeMap<u64, journal::Settled> = BTreeMap::new();
    let mut number = 0;
    let mut now = clock::Instant::ZERO;
    while now.as_ms() < 20_000 || outcomes.len() < submitted.len() {
        now = now.after_ms(STEP_MS);
        if now.as_ms() > 200_000 {
            return Err(format!("{} of {} settled", outcomes.len(), submitted.len()));
        }
        if now.as_ms() > 25_000 {
            link.faults = fake_table::Faults::default();
        }
        for (name, writer) in writers.iter_mut().enumerate() {
            if now.as_ms() < 15_000 && rng.random_ratio(1, 10) {
                number += 1;
                let token = writer
                    .submit(transaction(&link, &mut rng, number))
                    .map_err(|error| error.to_string())?;
                submitted.insert((name, token), number);
            }
            if let Some(request) = writer.poll(now) {
                link.send(now, &mut rng, name, request);
            }
        }
        for (name, attempt, reply) in link.deliver(now, &mut rng) {
            for settlement in writers[name].on_reply(now, &mut rng, attempt, reply) {
                let number = submitted[&(name, settlement.token)];
                if outcomes.insert(number, settlement.settled).is_some() {
                    return Err(format!("{number} settled twice"));
                }
            }
        }
    }
    check_outcomes(&link.table, &outcomes)
}

fn check_outcomes(
    table: &fake_table::Table,
    outcomes: &BTreeMap<u64, journal::Settled>,
) -> Result<(), String> {
    for (number, settled) in outcomes {
        let key = id::Key::from(format!("own/{number}"));
        let commits = table.commits.get(&key).copied().unwrap_or(0);
        let expected = u64::from(!matches!(settled, journal::Settled::Refused(_)));
        if commits != expected {
            return Err(format!(
                "{number} was settled as {settled:?} and committed {commits} times"
            ));
        }
    }
    Ok(())
}

const LOSSY: fake_table::Faults = fake_table::Faults {
    request_lost: 15,
    reply_lost: 15,
    repeated: 10,
    slow: 10,
    outage_ms: (5_000, 9_000),
};

proptest! {
    #![proptest_config(crate::fixed_seed(48))]

    #[test]
    fn every_settled_outcome_is_true(seed in any::<u64>(), lost in 0u32..30, slow in 0u32..30) {
        let faults = fake_table::Faults { request_lost: lost, reply_lost: lost, slow, ..LOSSY };
        prop_assert_eq!(run(seed, faults, None), Ok(()));
    }
}

#[test]
fn without_the_journal_check_a_lost_reply_repeats_a_transaction() {
    let failures = (0..20)
        .filter(|seed| run(*seed, LOSSY, Some("journal/")).is_err())
        .count();
    assert!(failures > 0);
}

#[test]
fn waiting_transactions_share_one_commit() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut link = fake_table::Link::default();
    let mut writer = journal::Writer::new(&node(0), clock::Instant::ZERO);
    for number in 0..250 {
        let key = id::Key::from(format!("own/{number}"));
        let write = platform::Write {
            key,
            value: Some(String::new()),
        };
        let txn = platform::Txn {
            checks: Vec::new(),
            writes: vec![write],
        };
        writer.submit(txn).expect("one row fits");
    }
    let mut now = clock::Instant::ZERO;
    while writer.pending() > 0 {
        now = now.after_ms(STEP_MS);
        if let Some(request) = writer.poll(now) {
            link.send(now, &mut rng, 0, request);
        }
        for (_, attempt, reply) in link.deliver(now, &mut rng) {
            writer.on_reply(now, &mut rng, attempt, reply);
        }
    }
    // One commit creates the journal row; three contain the transactions.
    assert_eq!(writer.counters().commits, 4);
    assert_eq!(writer.counters().requests, 4);
}

#[test]
fn a_withdrawn_transaction_is_never_sent() {
    let mut writer = journal::Writer::new(&node(0), clock::Instant::ZERO);
    let token = writer
        .submit(platform::Txn::default())
        .expect("no rows fit");
    assert!(writer.withdraw(token));
    assert!(!writer.withdraw(token));
    assert_eq!(writer.pending(), 0);
}

#[test]
fn a_transaction_with_too_many_rows_is_refused() {
    let mut writer = journal::Writer::new(&node(0), clock::Instant::ZERO);
    let write = |number| platform::Write {
        key: id::Key::from(format!("own/{number}")),
        value: None,
    };
    let writes = (0..journal::ROWS_MAX + 1).map(write).collect();
    let result = writer.submit(platform::Txn {
        checks: Vec::new(),
        writes,
    });
    assert!(matches!(
        result,
        Err(journal::Error::TooManyRows { rows: 100 })
    ));
}
