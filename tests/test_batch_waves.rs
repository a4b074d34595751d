//! Maintenance waves: which machines may begin, the state that operators see, and the rows from which the next leader
//! continues.

use std::collections::BTreeMap;

use wasabiloft::batch::pools::{Machine, State};
use wasabiloft::batch::{pools, waves};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::test_batch_pools::machine;

fn request(vms: Vec<id::Vm>) -> waves::Request {
    waves::Request {
        number: 1,
        vms,
        deadline_ms: 20_000,
        at_once_max: 2,
    }
}

fn small() -> waves::Wave {
    let vms = ["a", "b", "c"].map(id::Vm::new).to_vec();
    waves::Wave::new(request(vms), waves::Record::default(), 0, Instant::ZERO)
}

/// Guards against a leader that was replaced and overwrites what its successor reported to operators.
#[test]
fn a_completed_wave_is_never_reported_as_running() {
    let mut replaced = small();
    assert_eq!(replaced.due_report(), Some((waves::Status::Running, 0)));
    // Its write fails, as the successor has written the row.
    replaced.on_status(waves::Status::Completed, 40);
    assert_eq!(replaced.due_report(), None);

    let mut successor = small();
    successor.on_status(waves::Status::Running, 17);
    assert_eq!(successor.due_report(), None);
    for vm in ["a", "b", "c"] {
        successor.on_begun(&id::Vm::new(vm), Instant::from_ms(10));
    }
    assert_eq!(successor.due_report(), Some((waves::Status::Completed, 17)));
    successor.on_status(waves::Status::None, 23);
    assert_eq!(successor.due_report(), Some((waves::Status::Completed, 23)));
    successor.on_status(waves::Status::Completed, 31);
    assert_eq!(successor.due_report(), None);
}

/// Guards against a row that grows with a wave until the store refuses it, and against machines that a new leader forgets.
#[test]
fn the_rows_of_a_large_wave_are_bounded_and_hold_all_machines() {
    let name = |number: usize| id::Vm::new(&format!("{number:0200}"));
    let request = request((0..450).map(name).collect());
    let record = waves::Record {
        asked_ms: Some(7),
        ..waves::Record::default()
    };
    let mut wave = waves::Wave::new(request, record, 0, Instant::ZERO);
    let mut rows: BTreeMap<String, waves::Record> = BTreeMap::new();
    for vm in (0..450).map(name) {
        wave.on_begun(&vm, Instant::ZERO);
        let (key, row) = wave.row(&vm);
        let bytes = serde_json::to_vec(&row).expect("a row").len();
        assert!(bytes < 48_000, "{bytes} bytes");
        rows.insert(key.to_string(), row);
    }
    assert_eq!(rows.keys().collect::<Vec<_>>(), ["1", "1.1", "1.2"]);
    let mut merged = waves::Record::default();
    for (key, row) in rows {
        let key: waves::Key = key.parse().expect("a key");
        assert_eq!(key.wave, 1);
        merged.merge(row);
    }
    assert_eq!(merged, wave.record);
}

/// Guards against a wave that is said to be completed without a machine that operators added to it.
#[test]
fn a_machine_that_is_added_to_a_wave_has_its_maintenance() {
    let vm = id::Vm::new;
    let changed = || request(["a", "b", "c", "d"].map(vm).to_vec());
    let mut wave = small();
    for name in ["a", "b"] {
        wave.on_begun(&vm(name), Instant::from_ms(10));
    }
    wave.change_request(changed());
    wave.on_begun(&vm("c"), Instant::from_ms(20));
    assert!(!wave.is_completed());
    assert_eq!(wave.remaining().collect::<Vec<_>>(), [&vm("d")]);

    // The same after the report of the smaller wave.
    let mut wave = small();
    for name in ["a", "b", "c"] {
        wave.on_begun(&vm(name), Instant::from_ms(10));
    }
    wave.on_status(waves::Status::Completed, 31);
    assert_eq!(wave.due_report(), None);
    wave.change_request(changed());
    assert_eq!(wave.due_report(), Some((waves::Status::Running, 31)));
    // A successor has reported the larger one.
    wave.on_status(waves::Status::Completed, 40);
    assert_eq!(wave.due_report(), None);
}

/// Applies a list that shows these machines and no others; returns those that were removed.
fn list(wave: &mut waves::Wave, shown: &[(&str, State)], requested_ms: u64) -> Vec<id::Vm> {
    let machines: Vec<Machine> = shown
        .iter()
        .map(|(name, state)| Machine {
            state: *state,
            ..machine(name, "counter")
        })
        .collect();
    let requested_at = Instant::from_ms(requested_ms);
    wave.machines_listed(
        &machines,
        &pools::Unreadable::default(),
        requested_at,
        2_000,
    )
}

fn wave(at_once_max: u32) -> waves::Wave {
    let request = waves::Request {
        number: 1,
        vms: ["a", "b", "c"].map(id::Vm::new).to_vec(),
        deadline_ms: 20_000,
        at_once_max,
    };
    waves::Wave::new(request, waves::Record::default(), 0, Instant::ZERO)
}

/// Guards against a late deadline: a leader whose node started after the request counted the wave's age from its own
/// start. Seen in an incident.
#[test]
fn a_new_leader_counts_a_wave_s_age_from_its_request() {
    let record = waves::Record {
        asked_ms: Some(40_000),
        ..waves::Record::default()
    };
    assert_eq!(record.age_ms(52_000), 12_000);
    assert_eq!(waves::Record::default().age_ms(52_000), 0);
    let now = Instant::from_ms(300);
    let new = waves::Wave::new(wave(2).request, waves::Record::default(), 0, now);
    assert!(!new.must_drain(now, 2_000));
    let old = waves::Wave::new(wave(2).request, record, 12_000, now);
    assert!(old.must_drain(now, 2_000), "8 s remain until the deadline");
}

#[test]
fn a_wave_never_exceeds_its_concurrency_limit() {
    let mut wave = wave(2);
    let (a, b) = (id::Vm::new("a"), id::Vm::new("b"));
    wave.on_command(&a, None, Instant::from_ms(10));
    wave.on_command(&b, None, Instant::from_ms(10));
    assert_eq!(wave.free_slots(), 0);
    wave.on_begun(&a, Instant::from_ms(30));
    let up = ["a", "b", "c"].map(|name| (name, State::Up));
    list(&mut wave, &up, 500);
    assert_eq!(
        wave.free_slots(),
        0,
        "it can still be up from before its maintenance"
    );
    list(&mut wave, &up, 2_500);
    assert_eq!(wave.free_slots(), 1);
    assert_eq!(
        wave.unanswered().count(),
        1,
        "the command without a response is repeated"
    );
}

#[test]
fn a_wave_is_completed_when_each_machine_has_begun() {
    let mut wave = wave(3);
    for name in ["a", "b"] {
        wave.on_command(&id::Vm::new(name), None, Instant::ZERO);
        wave.on_begun(&id::Vm::new(name), Instant::ZERO);
    }
    wave.on_command(&id::Vm::new("c"), None, Instant::ZERO);
    assert!(!wave.is_completed());
    wave.exclude(&id::Vm::new("c"));
    assert!(wave.is_completed());
}

/// Guards against exceeding the concurrency limit: a new leader did not count the machines that the previous leader had
/// sent to maintenance.
#[test]
fn a_new_leader_counts_machines_already_in_maintenance() {
    let mut wave = wave(2);
    let upkeep = |name| (name, State::Upkeep);
    let shown = [upkeep("a"), upkeep("b"), ("c", State::Up)];
    assert!(list(&mut wave, &shown, 100).is_empty());
    assert_eq!(wave.free_slots(), 0);
    assert_eq!(wave.remaining().count(), 1);
    let up = ["a", "b", "c"].map(|name| (name, State::Up));
    list(&mut wave, &up, 2_500);
    assert_eq!(wave.free_slots(), 2);
}

/// Guards against a wave that never goes on: machines that are lost in their maintenance keep their places in it.
#[test]
fn machines_that_are_lost_in_maintenance_hold_up_no_other() {
    let lists: [&[(&str, State)]; 3] = [
        &[("a", State::Down), ("b", State::Down), ("c", State::Up)],
        &[("a", State::Moving), ("b", State::Moving), ("c", State::Up)],
        &[("c", State::Up)],
    ];
    for shown in lists {
        let mut wave = wave(2);
        for name in ["a", "b"] {
            wave.on_command(&id::Vm::new(name), None, Instant::ZERO);
            wave.on_begun(&id::Vm::new(name), Instant::ZERO);
        }
        list(&mut wave, shown, 1_900);
        assert_eq!(wave.free_slots(), 0, "the maintenance can still last");
        list(&mut wave, shown, 2_000);
        assert_eq!(wave.free_slots(), 2, "{shown:?}");
    }
}
