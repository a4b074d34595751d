//! Tests of endpoint drains and of the graceful stop of a node.

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
fn leaving_vm_gets_no_new_requests_and_those_in_flight_are_counted() {
    let vm = id::Vm::from("vm-1");
    let mut tracker = drain::Tracker::default();
    assert!(tracker.start(&vm));
    assert_eq!(tracker.report(&ask()).in_flight, 1);
    assert!(!tracker.start(&vm));
    tracker.finish(&vm);
    assert_eq!(tracker.report(&ask()).in_flight, 0);
    tracker.end(&ask());
    assert!(tracker.start(&vm));
    tracker.set_leaving([vm.clone()]);
    assert!(!tracker.start(&vm));
}

#[test]
fn older_drain_does_not_end_a_newer_one() {
    let mut tracker = drain::Tracker::default();
    tracker.report(&ask());
    let newer = drain::Ask {
        operation: "drain-2".into(),
        ..ask()
    };
    tracker.report(&newer);
    tracker.end(&ask());
    assert!(tracker.is_leaving(&ask().vm));
}

proptest! {
    #![proptest_config(fixed_seed(200))]

    /// Nodes start and finish requests while reports are delayed, duplicated and reordered. Guards against a drain that
    /// counts as confirmed by all nodes while one of them still has a request in flight.
    #[test]
    fn confirmed_drain_has_nothing_in_flight(
        steps in prop::collection::vec((0_usize..4, 0_u8..4), 1..150)
    ) {
        let vm = id::Vm::from("vm-1");
        let mut trackers = vec![drain::Tracker::default(); 4];
        let mut drained = BTreeSet::new();
        let mut reports: Vec<(usize, drain::Report)> = Vec::new();
        for (node, action) in steps {
            match action {
                0 => {
                    trackers[node].start(&vm);
                }
                1 => {
                    trackers[node].finish(&vm);
                }
                2 => reports.push((node, trackers[node].report(&ask()))),
                _ => {
                    if let Some((from, report)) = reports.get(node * 7 % reports.len().max(1)) {
                        drained.extend(report.is_drained().then_some(*from));
                    }
                }
            }
            if drained.len() == trackers.len() {
                prop_assert!(trackers.iter().all(|tracker| tracker.in_flight(&vm) == 0));
            }
        }
    }
}

#[test]
fn stop_waits_for_the_load_balancer_and_for_requests_in_progress() {
    let mut stop = stop::Stop::default();
    let now = clock::Instant::from_ms(500);
    assert_eq!(stop.phase(now, 0, true), stop::Phase::Serving);
    stop.request(now);
    assert_eq!(stop.phase(now, 0, true), stop::Phase::Unready);
    let later = now.after_ms(stop::UNREADY_MS);
    stop.request(later);
    assert_eq!(stop.phase(later, 1, true), stop::Phase::Closing);
    assert_eq!(stop.phase(later, 0, false), stop::Phase::Closing);
    assert_eq!(stop.phase(later, 0, true), stop::Phase::Done);
}
