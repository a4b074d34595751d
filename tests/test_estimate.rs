//! Learned sizes.

use wasabiloft::estimate;
use wasabiloft::id;
use wasabiloft::platform;

fn size(cpu_milli: u64, memory_mib: u64) -> platform::Resources {
    platform::Resources {
        cpu_milli,
        memory_mib,
        accelerators: 0,
    }
}

fn learn(book: &mut estimate::Book, class: estimate::ClassKey, declared: u64, used: u64) {
    let sample = estimate::Sample {
        declared: size(declared, declared),
        used: size(used, used),
    };
    book.record(class, &sample);
}

#[test]
fn a_class_is_learned_whatever_is_declared() {
    for (declared, used) in [(10_000, 1_000), (1_000, 10_000)] {
        let mut book = estimate::Book::default();
        let class = book.class(&id::Team::from("tabua"), "rebuild");
        assert!(!book.is_known(class));
        for _ in 0..10 {
            learn(&mut book, class, declared, used);
        }
        assert!(book.is_known(class));
        let need = book.predict(class, size(declared, declared));
        let ratio = need.memory_mib.mean / used as f64;
        assert!((0.8..1.3).contains(&ratio), "{ratio}");
        assert!(need.memory_mib.upper() >= need.memory_mib.mean);
    }
}

#[test]
fn an_unknown_class_is_corrected_by_the_error_of_others() {
    let mut book = estimate::Book::default();
    let team = id::Team::from("tabua");
    let known = book.class(&team, "known");
    for _ in 0..20 {
        learn(&mut book, known, 8_000, 1_000);
    }
    let unknown = book.class(&team, "unknown");
    let need = book.predict(unknown, size(8_000, 8_000));
    assert!(need.memory_mib.mean < 2_000.0, "{}", need.memory_mib.mean);
}

#[test]
fn doubt_shrinks_with_readings() {
    let mut book = estimate::Book::default();
    let class = book.class(&id::Team::from("tabua"), "rebuild");
    let declared = size(1_000, 1_000);
    let before = book.predict(class, declared).memory_mib;
    for used in [900, 1_000, 1_100, 950, 1_050] {
        learn(&mut book, class, 1_000, used);
    }
    let after = book.predict(class, declared).memory_mib;
    assert!(after.common_sd < before.common_sd / 3.0);
    assert!(after.upper() < before.upper() / 2.0);
}

#[test]
fn a_snapshot_carries_all_that_was_learned() {
    let mut book = estimate::Book::default();
    let team = id::Team::from("tabua");
    let class = book.class(&team, "rebuild");
    for used in [900, 1_000, 1_100] {
        learn(&mut book, class, 9_000, used);
    }
    let text = serde_json::to_string(&book.snapshot()).expect("a snapshot can be written");
    let mut successor = estimate::Book::default();
    successor.restore(serde_json::from_str(&text).expect("a snapshot can be read"));
    let key = successor.class(&team, "rebuild");
    let declared = size(9_000, 9_000);
    let (old, new) = (
        book.predict(class, declared),
        successor.predict(key, declared),
    );
    assert!((old.memory_mib.mean - new.memory_mib.mean).abs() < 1.0);
}
