//! Machines that are about to join a pool, as the lists of machines show them.

use std::collections::BTreeMap;

use wasabiloft::batch::pools::{
    Action, Arrivals, Candidate, Input, JOIN_TIMEOUT_MS, Machine, State, Target, Unreadable, assign,
};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::test_batch_pools;

const MOVE_MS: u64 = 1_500;
/// When the move is answered, and when the lists of these tests are requested, in milliseconds.
const ANSWERED_MS: u64 = 1_000;
const LISTED_MS: u64 = 1_200;

fn machine(name: &str, pool: &str, state: State) -> Machine {
    Machine {
        state,
        worker: (state == State::Up).then(|| id::Worker::new(name)),
        ..test_batch_pools::machine(name, pool)
    }
}

/// Arrivals after the platform answered the move of `m` to `busy`.
fn moved() -> Arrivals {
    let mut arrivals = Arrivals::new(MOVE_MS);
    let (vm, pool) = (id::Vm::new("m"), id::Service::new("busy"));
    arrivals.move_answered(vm, pool, Instant::from_ms(ANSWERED_MS));
    arrivals
}

/// Applies a list and returns the machines that were lost.
fn list(arrivals: &mut Arrivals, at_ms: u64, machines: &[Machine]) -> Vec<id::Vm> {
    let at = Instant::from_ms(at_ms);
    arrivals.machines_listed(machines, &Unreadable::default(), at, at, |_| false)
}

fn count(arrivals: &Arrivals, at_ms: u64, pool: &str) -> u32 {
    let count = arrivals.count(Instant::from_ms(at_ms));
    count.get(&id::Service::new(pool)).copied().unwrap_or(0)
}

/// Guards against machines that count as arriving for ever after they were lost on their way.
#[test]
fn a_machine_that_is_lost_while_it_moves_is_not_awaited() {
    for (state, pool) in [
        (State::Down, "busy"),
        (State::Upkeep, "busy"),
        (State::Up, "other"),
    ] {
        let mut arrivals = moved();
        assert_eq!(count(&arrivals, LISTED_MS, "busy"), 1);
        let lost = list(&mut arrivals, LISTED_MS, &[machine("m", pool, state)]);
        assert_eq!(lost, [id::Vm::new("m")], "{state:?}");
        assert_eq!(count(&arrivals, LISTED_MS, "busy"), 0, "{state:?}");
        assert!(!arrivals.is_moving(&id::Vm::new("m")), "{state:?}");
    }
}

/// Guards against machines that count as arriving for ever after they were removed.
#[test]
fn a_machine_that_is_removed_while_it_moves_is_not_awaited() {
    let mut arrivals = moved();
    assert_eq!(
        list(&mut arrivals, LISTED_MS, &[]),
        [id::Vm::new("m")],
        "lost"
    );
    assert_eq!(count(&arrivals, LISTED_MS, "busy"), 0);
}

/// A list of the time before the move proves nothing about it, nor does an entry that can't be read.
#[test]
fn a_machine_is_awaited_until_a_list_shows_what_became_of_it() {
    let mut arrivals = moved();
    let earlier = ANSWERED_MS - 100;
    assert!(list(&mut arrivals, earlier, &[]).is_empty());
    assert!(list(&mut arrivals, earlier, &[machine("m", "rest", State::Up)]).is_empty());
    assert_eq!(count(&arrivals, LISTED_MS, "busy"), 1);
    assert!(arrivals.is_moving(&id::Vm::new("m")));

    let unreadable = [machine("m", "rest", State::Unreadable)];
    assert!(list(&mut arrivals, LISTED_MS, &unreadable).is_empty());
    assert_eq!(count(&arrivals, LISTED_MS, "busy"), 1);
    let mut unnamed = Unreadable::default();
    unnamed.add(None);
    let at = Instant::from_ms(LISTED_MS);
    assert!(
        arrivals
            .machines_listed(&[], &unnamed, at, at, |_| false)
            .is_empty()
    );
    assert_eq!(count(&arrivals, LISTED_MS, "busy"), 1);

    let moving = [machine("m", "busy", State::Moving)];
    assert!(list(&mut arrivals, LISTED_MS, &moving).is_empty());
    assert_eq!(count(&arrivals, LISTED_MS, "busy"), 1);
}

#[test]
fn a_machine_counts_until_its_worker_has_joined() {
    let mut arrivals = moved();
    let up = [machine("m", "busy", State::Up)];
    assert!(list(&mut arrivals, LISTED_MS, &up).is_empty());
    assert_eq!(count(&arrivals, LISTED_MS, "busy"), 1);
    assert!(!arrivals.is_moving(&id::Vm::new("m")));
    let at = Instant::from_ms(LISTED_MS + 100);
    arrivals.machines_listed(&up, &Unreadable::default(), at, at, |_| true);
    assert_eq!(count(&arrivals, LISTED_MS + 100, "busy"), 0);
}

/// Guards against a pool that counts on machines whose workers it can't use.
#[test]
fn a_machine_whose_worker_never_joins_is_not_awaited_for_ever() {
    let mut arrivals = Arrivals::new(MOVE_MS);
    let up = [machine("m", "busy", State::Up)];
    for at_ms in [0, 1_000, JOIN_TIMEOUT_MS - 1] {
        list(&mut arrivals, at_ms, &up);
        assert_eq!(count(&arrivals, at_ms, "busy"), 1, "{at_ms} ms");
    }
    list(&mut arrivals, JOIN_TIMEOUT_MS, &up);
    assert_eq!(count(&arrivals, JOIN_TIMEOUT_MS, "busy"), 0);
    // The machine's next worker has the time again.
    let mut next = machine("m", "busy", State::Up);
    next.worker = Some(id::Worker::new("next"));
    list(&mut arrivals, JOIN_TIMEOUT_MS + 100, &[next]);
    assert_eq!(count(&arrivals, JOIN_TIMEOUT_MS + 100, "busy"), 1);
}

/// Guards against a machine that the list shows as moving for ever.
#[test]
fn a_move_that_does_not_end_is_not_awaited_for_ever() {
    let mut arrivals = moved();
    let moving = [machine("m", "busy", State::Moving)];
    for at_ms in (LISTED_MS..ANSWERED_MS + MOVE_MS).step_by(100) {
        list(&mut arrivals, at_ms, &moving);
        assert_eq!(count(&arrivals, at_ms, "busy"), 1, "{at_ms} ms");
    }
    list(&mut arrivals, 10_000, &moving);
    assert_eq!(count(&arrivals, 10_000, "busy"), 0);
    assert!(arrivals.is_moving(&id::Vm::new("m")), "it gets no command");
}

/// Guards against a new leader that moves further machines because it doesn't count those on their way.
#[test]
fn a_new_leader_counts_the_moves_of_its_predecessor() {
    let mut arrivals = Arrivals::new(MOVE_MS);
    list(
        &mut arrivals,
        LISTED_MS,
        &[machine("m", "busy", State::Moving)],
    );
    assert_eq!(count(&arrivals, LISTED_MS, "busy"), 1);
}

/// Guards against a pool that powers off its last machines because others are on their way, which may be lost.
#[test]
fn no_machine_is_powered_off_for_one_that_has_not_arrived() {
    let machines = [
        machine("a", "busy", State::Up),
        machine("b", "busy", State::Up),
    ];
    let candidates: Vec<Candidate<'_>> = machines
        .iter()
        .map(|machine| Candidate {
            machine,
            empty: true,
            used: 0,
            draining: false,
        })
        .collect();
    let target = Target {
        need: 2,
        min: 2,
        retain: 2,
        late: 0,
    };
    let (busy, spare) = (id::Service::new("busy"), id::Service::new("rest"));
    let input = Input {
        targets: &BTreeMap::from([(busy.clone(), target)]),
        incoming: &BTreeMap::from([(busy, 4)]),
        spare: Some(&spare),
    };
    assert_eq!(assign(&candidates, &input), Vec::<Action>::new());
}
