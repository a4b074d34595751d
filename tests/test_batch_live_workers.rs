//! Workers that run on while some evidence says that they have ended.

use std::collections::BTreeSet;

use wasabiloft::batch::{machine_commands, pools, waves};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::fake_pair::{self, TASK, starts};

/// Guards against a second run beside the first: a list of machines from before the worker's last answer ended the
/// worker.
#[test]
fn a_list_older_than_a_worker_s_answer_does_not_end_the_worker() {
    let now = Instant::from_ms(1_000);
    let (mut scheduler, worker, _, run) = fake_pair::one_start(now);
    let (a, b) = (id::Worker::new("a"), id::Worker::new("b"));
    scheduler.machines_listed(&[&a, &b].into(), true, now, now);
    let (requested, answered, applied) = (now.after_ms(10), now.after_ms(20), now.after_ms(30));
    scheduler.poll_answered(
        &worker,
        &fake_pair::running(&[(TASK, run)]),
        now,
        answered,
        0,
    );
    scheduler.machines_listed(&BTreeSet::new(), true, requested, applied);
    scheduler.plan(applied, 0);
    assert_eq!(starts(&mut scheduler), []);
    assert!(scheduler.workers().contains_key(&worker));

    let (requested, applied) = (now.after_ms(40), now.after_ms(50));
    scheduler.machines_listed(&BTreeSet::new(), true, requested, applied);
    assert!(
        !scheduler.workers().contains_key(&worker),
        "silent since then"
    );
}

/// Guards against work that waits for a lease: the crash of a worker that a list had shown is noticed by the next list.
#[test]
fn a_silent_worker_that_a_list_no_longer_shows_has_ended() {
    let now = Instant::from_ms(1_000);
    let (mut scheduler, worker, other, _) = fake_pair::one_start(now);
    scheduler.machines_listed(&[&worker, &other].into(), true, now, now);
    let later = now.after_ms(150);
    scheduler.machines_listed(&[&other].into(), true, later, later);
    scheduler.plan(later, 0);
    let started: Vec<id::Worker> = starts(&mut scheduler)
        .into_iter()
        .map(|start| start.0)
        .collect();
    assert_eq!(started, [other]);
}

fn machine(state: pools::State, worker: Option<&str>) -> pools::Machine {
    pools::Machine {
        vm: id::Vm::new("m"),
        pool: id::Service::new("counter"),
        state,
        data_centre: id::DataCentre::new("suva"),
        rack: None,
        kind: "a".into(),
        size: wasabiloft::platform::Resources::default(),
        worker: worker.map(id::Worker::new),
    }
}

/// Guards against a command that ends work that began since: it was repeated to the machine's next worker.
#[test]
fn a_command_is_repeated_only_to_the_worker_that_it_was_meant_for() {
    let old = id::Worker::new("old");
    let may_repeat =
        |state, worker| machine_commands::may_repeat(Some(&old), &machine(state, worker));
    assert!(may_repeat(pools::State::Up, Some("old")));
    assert!(may_repeat(pools::State::Upkeep, None));
    assert!(!may_repeat(pools::State::Up, Some("new")));
    assert!(!may_repeat(pools::State::Up, None));
    assert!(!may_repeat(pools::State::Moving, None));
    assert!(!may_repeat(pools::State::Down, None));
}

/// Guards against a sound worker that nobody uses: a command that was done before drained it for good.
#[test]
fn a_worker_that_outlives_a_command_is_found_by_the_next_list() {
    let mut answered = machine_commands::Answered::default();
    let (vm, worker) = (id::Vm::new("m"), id::Worker::new("w"));
    let at = Instant::from_ms(1_000);
    let up = [machine(pools::State::Up, Some("w"))];
    answered.insert(vm.clone(), worker.clone(), at);
    assert!(
        answered
            .machines_listed(&up, Instant::from_ms(990))
            .is_empty(),
        "an older list"
    );
    assert_eq!(
        answered.machines_listed(&up, at.after_ms(20)),
        std::slice::from_ref(&vm)
    );
    assert!(
        answered.machines_listed(&up, at.after_ms(40)).is_empty(),
        "told once"
    );
    answered.insert(vm, worker, at);
    let down = [machine(pools::State::Upkeep, None)];
    assert!(answered.machines_listed(&down, at.after_ms(20)).is_empty());
    assert!(
        answered.machines_listed(&up, at.after_ms(40)).is_empty(),
        "its end was seen"
    );
}

/// Guards against a wave that never completes: a command whose outcome stays unknown is sent anew to an empty machine.
#[test]
fn a_machine_whose_command_has_an_unknown_outcome_remains_in_its_wave() {
    let request = waves::Request {
        number: 1,
        vms: vec![id::Vm::new("m")],
        deadline_ms: 20_000,
        at_once_max: 1,
    };
    let mut wave = waves::Wave::new(request, waves::Record::default(), 0, Instant::ZERO);
    let (vm, worker) = (id::Vm::new("m"), id::Worker::new("w"));
    wave.on_command(&vm, Some(&worker), Instant::ZERO);
    assert_eq!(
        wave.unanswered().collect::<Vec<_>>(),
        [(&vm, Some(&worker))]
    );
    assert_eq!((wave.remaining().count(), wave.free_slots()), (0, 0));
    wave.on_outcome_unknown(&vm);
    assert_eq!((wave.remaining().count(), wave.free_slots()), (1, 1));
}
