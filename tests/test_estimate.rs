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

fn record(
    estimates: &mut estimate::Estimates,
    class: estimate::ClassKey,
    declared: u64,
    used: u64,
) {
    let sample = estimate::Sample {
        declared: size(declared, declared),
        used: size(used, used),
    };
    estimates.record(class, &sample);
}

#[test]
fn a_class_is_learned_whatever_is_declared() {
    for (declared, used) in [(10_000, 1_000), (1_000, 10_000)] {
        let mut estimates = estimate::Estimates::default();
        let class = estimates.class(&id::Team::from("tabua"), "rebuild");
        assert!(!estimates.is_known(class));
        for _ in 0..10 {
            record(&mut estimates, class, declared, used);
        }
        assert!(estimates.is_known(class));
        let need = estimates.predict(class, size(declared, declared));
        let ratio = need.memory_mib.mean / used as f64;
        assert!((0.8..1.3).contains(&ratio), "{ratio}");
        assert!(need.memory_mib.upper() >= need.memory_mib.mean);
    }
}

#[test]
fn an_unknown_class_is_corrected_by_the_error_of_others() {
    let mut estimates = estimate::Estimates::default();
    let team = id::Team::from("tabua");
    let known = estimates.class(&team, "known");
    for _ in 0..20 {
        record(&mut estimates, known, 8_000, 1_000);
    }
    let unknown = estimates.class(&team, "unknown");
    let need = estimates.predict(unknown, size(8_000, 8_000));
    assert!(need.memory_mib.mean < 2_000.0, "{}", need.memory_mib.mean);
}

#[test]
fn uncertainty_shrinks_with_readings() {
    let mut estimates = estimate::Estimates::default();
    let class = estimates.class(&id::Team::from("tabua"), "rebuild");
    let declared = size(1_000, 1_000);
    let before = estimates.predict(class, declared).memory_mib;
    for used in [900, 1_000, 1_100, 950, 1_050] {
        record(&mut estimates, class, 1_000, used);
    }
    let after = estimates.predict(class, declared).memory_mib;
    assert!(after.common_sd < before.common_sd / 3.0);
    assert!(after.upper() < before.upper() / 2.0);
}

#[test]
fn a_snapshot_restores_all_estimates() {
    let mut estimates = estimate::Estimates::default();
    let team = id::Team::from("tabua");
    let class = estimates.class(&team, "rebuild");
    for used in [900, 1_000, 1_100] {
        record(&mut estimates, class, 9_000, used);
    }
    let text = serde_json::to_string(&estimates.snapshot()).expect("a snapshot can be written");
    let mut restored = estimate::Estimates::default();
    restored.restore(serde_json::from_str(&text).expect("a snapshot can be read"));
    let key = restored.class(&team, "rebuild");
    let declared = size(9_000, 9_000);
    let (old, new) = (
        estimates.predict(class, declared),
        restored.predict(key, declared),
    );
    assert!((old.memory_mib.mean - new.memory_mib.mean).abs() < 1.0);
}
