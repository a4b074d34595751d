//! VMs change pools for persistent reasons only.

use slotmap::SlotMap;
use wasabiloft::clock;
use wasabiloft::id;
use wasabiloft::maintenance::wave;
use wasabiloft::pool::{demand, member, moves, spec};

use crate::test_maintenance::{AS_OF_MS, TestVm, headroom, members, spec, test_vm};

/// State of a pool in a test.
struct Pool {
    name: id::Pool,
    spec: spec::Spec,
    vms: Vec<TestVm>,
    loan: wave::Loan,
    surplus_ms: u64,
}

fn pool(name: &str, spec: spec::Spec, vms: std::ops::Range<usize>) -> Pool {
    Pool {
        name: id::Pool::from(name),
        spec,
        vms: vms.map(test_vm).collect(),
        loan: wave::Loan::default(),
        surplus_ms: 0,
    }
}

fn spare(vms: std::ops::Range<usize>) -> Pool {
    pool(
        "spare",
        spec::Spec::without_documents(spec::Role::Spare, 2, 1),
        vms,
    )
}

/// Plans with a reserve of 2 and returns causes, sources and destinations.
fn plan(pools: &[Pool]) -> Vec<(moves::Cause, String, String)> {
    let mut keys = SlotMap::with_key();
    let owned: Vec<Vec<member::Member<'_>>> = pools
        .iter()
        .map(|pool| members(&mut keys, &pool.vms))
        .collect();
    let views = pools
        .iter()
        .zip(&owned)
        .map(|(pool, members)| moves::PoolView {
            pool: &pool.name,
            spec: &pool.spec,
            headroom: headroom(&pool.spec, members),
            members,
            incoming: 0,
            loan: pool.loan,
            demand_extra: 0,
            surplus_ms: pool.surplus_ms,
            write_pending: false,
        });
    let (moves, _) = moves::plan(views.collect(), AS_OF_MS, 2);
    let planned_moves = moves.into_iter().map(|planned| {
        (
            planned.cause,
            planned.from.to_string(),
            planned.to.to_string(),
        )
    });
    planned_moves.collect()
}

fn planned_move(cause: moves::Cause, from: &str, to: &str) -> (moves::Cause, String, String) {
    (cause, from.to_owned(), to.to_owned())
}

#[test]
fn only_repairs_use_the_spare_reserve() {
    let mut short = pool("a", spec(4, 2, 1), 0..4);
    short.vms[0].live = false;
    let moves = plan(&[short, spare(10..12)]);
    assert_eq!(moves, [planned_move(moves::Cause::Repair, "spare", "a")]);

    let grown = pool("a", spec(5, 2, 1), 0..4);
    assert_eq!(plan(&[grown, spare(10..12)]), []);
    let grown = pool("a", spec(5, 2, 1), 0..4);
    let moves = plan(&[grown, spare(10..13)]);
    assert_eq!(moves, [planned_move(moves::Cause::Document, "spare", "a")]);
}

#[test]
fn loans_are_granted_in_full_or_not_at_all() {
    let borrower = |name, vms, needed| Pool {
        loan: wave::Loan {
            needed,
            desired: needed,
        },
        ..pool(name, spec(4, 3, 1), vms)
    };
    let moves = plan(&[
        borrower("a", 0..4, 2),
        borrower("b", 4..8, 2),
        spare(10..15),
    ]);
    let lent = planned_move(moves::Cause::Wave, "spare", "a");
    assert_eq!(moves, [lent.clone(), lent]);
    // Each pool holds one borrowed VM and needs two: the first takes over the VM of the second.
    let moves = plan(&[
        borrower("a", 0..5, 2),
        borrower("b", 5..10, 2),
        spare(10..12),
    ]);
    assert_eq!(moves, [planned_move(moves::Cause::Wave, "b", "a")]);
}

#[test]
fn a_surplus_goes_to_short_pools_and_back_only_when_it_persists() {
    let surplus_pool = || pool("rich", spec(3, 1, 1), 0..4);
    let short_pool = pool("poor", spec(4, 1, 1), 4..7);
    let moves = plan(&[short_pool, surplus_pool(), spare(10..14)]);
    assert_eq!(
        moves,
        [planned_move(moves::Cause::Document, "rich", "poor")]
    );
    assert_eq!(plan(&[surplus_pool(), spare(10..14)]), []);
    let persistent = || Pool {
        surplus_ms: moves::SURPLUS_MS,
        ..surplus_pool()
    };
    assert_eq!(
        plan(&[persistent(), spare(10..13)]),
        [],
        "the spare pool has enough"
    );
    let moves = plan(&[persistent(), spare(10..12)]);
    assert_eq!(
        moves,
        [planned_move(moves::Cause::GiveBack, "rich", "spare")]
    );
    let orphan = Pool {
        surplus_ms: moves::SURPLUS_MS,
        ..pool(
            "gone",
            spec::Spec::without_documents(spec::Role::Orphan, 0, 1),
            0..2,
        )
    };
    assert_eq!(
        plan(&[orphan, spare(10..14)]).len(),
        2,
        "no document names the pool"
    );
}

/// Simulates demand at `high` for 10 s of each minute and at `low` for the rest.
fn simulate_demand(demand: &mut demand::Demand, from_min: u64, to_min: u64, high: u64, low: u64) {
    for second in from_min * 60..to_min * 60 {
        let used_milli = if second % 60 < 10 { high } else { low };
        let now = clock::Instant::from_ms(second * clock::SECOND_MS);
        demand.observe(now, used_milli, 8);
    }
}

#[test]
fn only_sustained_demand_requires_more_vms() {
    let mut demand = demand::Demand::default();
    simulate_demand(&mut demand, 0, 240, 5 * 6_000, 6_000 / 20);
    assert_eq!(demand.extra(), 0);
    simulate_demand(&mut demand, 240, 265, 11_000, 11_000);
    assert_eq!(demand.extra(), 0, "the demand has not been sustained");
    simulate_demand(&mut demand, 265, 600, 11_000, 11_000);
    assert!(demand.extra() >= 4, "{}", demand.extra());
    simulate_demand(&mut demand, 600, 1_200, 5 * 4_000, 4_000 / 20);
    assert_eq!(demand.extra(), 0);
}
