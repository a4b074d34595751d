//! Maintenance waves: the state that operators see, and the rows from which the next leader continues.

use std::collections::BTreeMap;

use wasabiloft::batch::waves;
use wasabiloft::clock::Instant;
use wasabiloft::id;

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
