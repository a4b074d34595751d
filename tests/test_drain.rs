//! Tests of drains.

use std::collections::BTreeSet;

use proptest::prelude::*;
use wasabiloft::clock;
use wasabiloft::drain;
use wasabiloft::drain::stop;
use wasabiloft::id;

use crate::fixed_seed;

fn ask() -> drain::Ask {
    drain::Ask {
        vm: "vm-1".into(),
        operation: "drain-1".into(),
    }
}

#[test]
fn leaving_vm_gets_nothing_new_and_its_requests_are_counted_out() {
    let vm = id::Vm::from("vm-1");
    let mut ledger = drain::Ledger::default();
    assert!(ledger.start(&vm));
    assert_eq!(ledger.report(&ask()).in_flight, 1);
    assert!(!ledger.start(&vm));
    ledger.finish(&vm);
    assert_eq!(ledger.report(&ask()).in_flight, 0);
    ledger.over(&ask());
    assert!(ledger.start(&vm));
    ledger.list([vm.clone()]);
    assert!(!ledger.start(&vm));
}

#[test]
fn older_drain_does_not_end_a_newer_one() {
    let mut ledger = drain::Ledger::default();
    ledger.report(&ask());
    let newer = drain::Ask {
        operation: "drain-2".into(),
        ..ask()
    };
    ledger.report(&newer);
    ledger.over(&ask());
    assert!(ledger.is_leaving(&ask().vm));
}

proptest! {
    #![proptest_config(fixed_seed(200))]

    /// Nodes start and finish work while reports are late, doubled and reordered; the proof is never early.
    #[test]
    fn proof_means_that_nothing_is_in_flight(
        steps in prop::collection::vec((0_usize..4, 0_u8..4), 1..150)
    ) {
        let vm = id::Vm::from("vm-1");
        let mut ledgers = vec![drain::Ledger::default(); 4];
        let mut drained = BTreeSet::new();
        let mut reports: Vec<(usize, drain::Report)> = Vec::new();
        for (at, what) in steps {
            match what {
                0 => {
                    ledgers[at].start(&vm);
                }
                1 => {
                    ledgers[at].finish(&vm);
                }
                2 => reports.push((at, ledgers[at].report(&ask()))),
                _ => {
                    if let Some((from, report)) = reports.get(at * 7 % reports.len().max(1)) {
                        drained.extend(report.is_drained().then_some(*from));
                    }
                }
            }
            if drained.len() == ledgers.len() {
                prop_assert!(ledgers.iter().all(|ledger| ledger.in_flight(&vm) == 0));
            }
        }
    }
}

#[test]
fn stop_waits_for_the_balancer_and_for_what_is_in_progress() {
    let mut stop = stop::Stop::default();
    let now = clock::Instant::from_ms(500);
    assert_eq!(stop.phase(now, 0, true), stop::Phase::Serving);
    stop.ask(now);
    assert_eq!(stop.phase(now, 0, true), stop::Phase::Unready);
    let later = now.after_ms(stop::UNREADY_MS);
    stop.ask(later);
    assert_eq!(stop.phase(later, 1, true), stop::Phase::Closing);
    assert_eq!(stop.phase(later, 0, false), stop::Phase::Closing);
    assert_eq!(stop.phase(later, 0, true), stop::Phase::Done);
}
