//! VMs change pools for lasting reasons only.

use slotmap::SlotMap;
use wasabiloft::clock;
use wasabiloft::id;
use wasabiloft::maintenance::wave;
use wasabiloft::pool::{demand, member, moves, spec};

use crate::test_maintenance::{AS_OF_MS, Drawn, drawn, headroom, members, spec};

/// A pool of a test.
struct Pool {
    name: id::Pool,
    spec: spec::Spec,
    vms: Vec<Drawn>,
    loan: wave::Loan,
    surplus_ms: u64,
}

fn pool(name: &str, spec: spec::Spec, vms: std::ops::Range<usize>) -> Pool {
    Pool {
        name: id::Pool::from(name),
        spec,
        vms: vms.map(drawn).collect(),
        loan: wave::Loan::default(),
        surplus_ms: 0,
    }
}

fn spare(vms: std::ops::Range<usize>) -> Pool {
    pool("spare", spec::Spec::unnamed(spec::Role::Spare, 2, 1), vms)
}

/// Plans with a reserve of 2 and tells causes, sources and destinations.
fn plan(pools: &[Pool]) -> Vec<(moves::Cause, String, String)> {
    let mut keys = SlotMap::with_key();
    let owned: Vec<Vec<member::Member<'_>>> = pools
        .iter()
        .map(|pool| members(&mut keys, &pool.vms))
        .collect();
    let situations = pools
        .iter()
        .zip(&owned)
        .map(|(pool, members)| moves::Situation {
            pool: &pool.name,
            spec: &pool.spec,
            headroom: headroom(&pool.spec, members),
            members,
            incoming: 0,
            loan: pool.loan,
            demand_extra: 0,
            surplus_ms: pool.surplus_ms,
            busy: false,
        });
    let (moves, _) = moves::plan(situations.collect(), AS_OF_MS, 2);
    let told = moves.into_iter().map(|planned| {
        (
            planned.cause,
            planned.from.to_string(),
            planned.to.to_string(),
        )
    });
    told.collect()
}

fn told(cause: moves::Cause, from: &str, to: &str) -> (moves::Cause, String, String) {
    (cause, from.to_owned(), to.to_owned())
}

#[test]
fn a_repair_may_spend_the_spare_reserve_and_a_wish_may_not() {
    let mut short = pool("a", spec(4, 2, 1), 0..4);
    short.vms[0].live = false;
    let moves = plan(&[short, spare(10..12)]);
    assert_eq!(moves, [told(moves::Cause::Repair, "spare", "a")]);

    let grown = pool("a", spec(5, 2, 1), 0..4);
    assert_eq!(plan(&[grown, spare(10..12)]), []);
    let grown = pool("a", spec(5, 2, 1), 0..4);
    let moves = plan(&[grown, spare(10..13)]);
    assert_eq!(moves, [told(moves::Cause::Document, "spare", "a")]);
}

#[test]
fn loans_are_given_whole_or_not_at_all() {
    let borrower = |name, vms, needed| Pool {
        loan: wave::Loan {
            needed,
            wished: needed,
        },
        ..pool(name, spec(4, 3, 1), vms)
    };
    let moves = plan(&[
        borrower("a", 0..4, 2),
        borrower("b", 4..8, 2),
        spare(10..15),
    ]);
    let lent = told(moves::Cause::Wave, "spare", "a");
    assert_eq!(moves, [lent.clone(), lent]);
    // Two pools that hold one VM each and need two: the first takes over what the second holds.
    let moves = plan(&[
        borrower("a", 0..5, 2),
        borrower("b", 5..10, 2),
        spare(10..12),
    ]);
    assert_eq!(moves, [told(moves::Cause::Wave, "b", "a")]);
}

#[test]
fn a_surplus_goes_where_it_is_needed_and_back_only_when_it_lasts() {
    let rich = || pool("rich", spec(3, 1, 1), 0..4);
    let poor = pool("poor", spec(4, 1, 1), 4..7);
    let moves = plan(&[poor, rich(), spare(10..14)]);
    assert_eq!(moves, [told(moves::Cause::Document, "rich", "poor")]);
    assert_eq!(plan(&[rich(), spare(10..14)]), []);
    let lasting = || Pool {
        surplus_ms: moves::SURPLUS_MS,
        ..rich()
    };
    assert_eq!(
        plan(&[lasting(), spare(10..13)]),
        [],
        "the spare pool has enough"
    );
    let moves = plan(&[lasting(), spare(10..12)]);
    assert_eq!(moves, [told(moves::Cause::GiveBack, "rich", "spare")]);
    let orphan = Pool {
        surplus_ms: moves::SURPLUS_MS,
        ..pool("gone", spec::Spec::unnamed(spec::Role::Orphan, 0, 1), 0..2)
    };
    assert_eq!(
        plan(&[orphan, spare(10..14)]).len(),
        2,
        "no document names the pool"
    );
}

/// Feeds a demand that is at `high` for 10 s of each minute and at `low` for the rest.
fn swing(demand: &mut demand::Demand, from_min: u64, to_min: u64, high: u64, low: u64) {
    for second in from_min * 60..to_min * 60 {
        let used_milli = if second % 60 < 10 { high } else { low };
        let now = clock::Instant::from_ms(second * clock::SECOND_MS);
        demand.observe(now, used_milli, 8);
    }
}

#[test]
fn swings_of_seconds_move_nothing_and_lasting_demand_does() {
    let mut demand = demand::Demand::default();
    swing(&mut demand, 0, 240, 5 * 6_000, 6_000 / 20);
    assert_eq!(demand.extra(), 0);
    swing(&mut demand, 240, 265, 11_000, 11_000);
    assert_eq!(demand.extra(), 0, "it has not lasted");
    swing(&mut demand, 265, 600, 11_000, 11_000);
    assert!(demand.extra() >= 4, "{}", demand.extra());
    swing(&mut demand, 600, 1_200, 5 * 4_000, 4_000 / 20);
    assert_eq!(demand.extra(), 0);
}
