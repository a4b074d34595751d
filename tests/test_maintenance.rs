//! Waves keep `min_runners` and the reserve; drains are proven complete.

use std::collections::BTreeSet;

use proptest::prelude::*;
use slotmap::SlotMap;
use wasabiloft::clock;
use wasabiloft::id;
use wasabiloft::maintenance::{headroom, proof, reason, wave};
use wasabiloft::pool::{domain, member, row, spec};
use wasabiloft::roster;

/// A VM and its place, from which a test makes a member.
#[derive(Clone, Debug)]
pub struct TestVm {
    pub row: row::Vm,
    pub rack: id::Rack,
    pub data_centre: id::DataCentre,
    pub live: bool,
}

/// Returns a VM in service, never maintained, alone in its rack.
pub fn test_vm(index: usize) -> TestVm {
    TestVm {
        row: row::Vm {
            vm: id::Vm::from(format!("vm-{index:02}")),
            pool: id::Pool::from("pool"),
            generation: 1,
            stage: row::Stage::InService,
            maintained_ms: 0,
            mark: None,
        },
        rack: id::Rack::from(format!("rack-{index:02}")),
        data_centre: id::DataCentre::from(format!("dc-{}", index % 3)),
        live: true,
    }
}

pub fn members<'a>(
    keys: &mut SlotMap<member::Key, ()>,
    vms: &'a [TestVm],
) -> Vec<member::Member<'a>> {
    let members = vms.iter().map(|vm| member::Member {
        key: keys.insert(()),
        row: &vm.row,
        rack: Some(&vm.rack),
        data_centre: Some(&vm.data_centre),
        live: vm.live,
        down_ms: if vm.live { 0 } else { 2 * clock::HOUR_MS },
        write_pending: false,
    });
    members.collect()
}

pub fn spec(runners: u32, min_runners: u32, max_at_once: u32) -> spec::Spec {
    spec::Spec {
        role: spec::Role::Service,
        service: Some(id::Service::from("service")),
        runners,
        min_runners,
        max_at_once,
        period_ms: 28 * clock::DAY_MS,
        absence_budget_ms: clock::DAY_MS,
        drain_limit_ms: clock::HOUR_MS,
        paused: false,
    }
}

pub fn headroom<'a>(
    spec: &'a spec::Spec,
    members: &[member::Member<'_>],
) -> headroom::Headroom<'a> {
    let nominal = domain::Counts::nominal(members, AS_OF_MS, clock::MINUTE_MS);
    let cover = domain::cover(spec, &nominal);
    headroom::Headroom {
        spec,
        cover,
        nominal_largest: nominal.largest_domain(cover),
    }
}

pub const AS_OF_MS: u64 = 30 * clock::DAY_MS;

fn next_step(
    spec: &spec::Spec,
    account: &row::Account,
    vms: &[TestVm],
) -> (wave::Step, Vec<usize>) {
    let mut keys = SlotMap::with_key();
    let members = members(&mut keys, vms);
    let view = wave::PoolView {
        headroom: headroom(spec, &members),
        account,
        members: &members,
        as_of_ms: AS_OF_MS,
        step_ms: wave::STEP_DEFAULT_MS,
    };
    let step = view.next_step();
    let chosen = match &step {
        wave::Step::Begin(keys) => {
            let at = |key: &member::Key| members.iter().position(|member| member.key == *key);
            keys.iter().filter_map(at).collect()
        }
        _ => Vec::new(),
    };
    (step, chosen)
}

fn stage() -> impl Strategy<Value = row::Stage> {
    let operation = id::Operation::from("operation");
    let rebooting = row::Stage::Rebooting {
        operation,
        boots: 1,
        began_ms: AS_OF_MS,
        since_ms: AS_OF_MS,
    };
    prop_oneof![8 => Just(row::Stage::InService), 1 => Just(rebooting), 1 => Just(row::Stage::Out)]
}

fn fleet() -> impl Strategy<Value = Vec<TestVm>> {
    let vm = (0..4_usize, 0..2_usize, any::<bool>(), stage(), 0..10_u32);
    prop::collection::vec(vm, 1..16).prop_map(|vms| {
        let vms = vms.into_iter().enumerate();
        vms.map(|(index, (rack, centre, maintained, stage, failed))| {
            let mut vm = test_vm(index);
            vm.rack = id::Rack::from(format!("rack-{centre}-{rack}"));
            vm.data_centre = id::DataCentre::from(format!("dc-{centre}"));
            vm.row.maintained_ms = u64::from(maintained) * AS_OF_MS;
            vm.row.stage = stage;
            vm.live = failed != 0;
            vm
        })
        .collect()
    })
}

proptest! {
    #![proptest_config(crate::fixed_seed(2_000))]

    /// Recounts independently: a step leaves enough VMs, also after the loss of any rack, or no
    /// runner is absent.
    #[test]
    fn a_step_keeps_the_budget(
        vms in fleet(),
        runners in 1..14_u32,
        slack in 0..5_u32,
        max_at_once in 0..4_u32,
    ) {
        let spec = spec(runners, runners.saturating_sub(slack), max_at_once);
        let (step, chosen) = next_step(&spec, &row::Account::default(), &vms);
        if chosen.is_empty() {
            prop_assert!(!matches!(step, wave::Step::Begin(_)));
            return Ok(());
        }
        let out = vms.iter().filter(|vm| matches!(vm.row.stage, row::Stage::Rebooting { .. }));
        prop_assert!((out.count() + chosen.len()) as u32 <= max_at_once);
        let serves = |index: usize| {
            vms[index].live && vms[index].row.stage == row::Stage::InService
        };
        prop_assert!(chosen.iter().all(|&index| serves(index)));
        prop_assert!(chosen.iter().all(|&index| vms[index].row.maintained_ms == 0));
        let left: Vec<usize> = (0..vms.len())
            .filter(|&index| serves(index) && !chosen.contains(&index))
            .collect();
        prop_assert!(left.len() as u32 >= spec.min_runners);
        let racks: BTreeSet<&id::Rack> = left.iter().map(|&index| &vms[index].rack).collect();
        for rack in racks {
            let rest = left.iter().filter(|&&index| vms[index].rack != *rack).count() as u32;
            prop_assert!(rest >= spec.min_runners || left.len() as u32 >= runners);
        }
    }
}

#[test]
fn pauses_report_their_reason() {
    let complete: Vec<TestVm> = (0..8).map(test_vm).collect();
    let mut two_failed = complete.clone();
    two_failed[0].live = false;
    two_failed[1].live = false;
    let mut held = complete.clone();
    for vm in &mut held {
        vm.row.mark = Some(row::Mark::Hold);
    }
    let fresh = row::Account::default();
    let spent = row::Account {
        absent_ms: clock::DAY_MS,
        ..fresh
    };
    let mut stopped = spec(8, 6, 1);
    stopped.paused = true;
    let cases = [
        (stopped, fresh, &complete, reason::Reason::PausedByDocument),
        (
            spec(8, 6, 0),
            fresh,
            &complete,
            reason::Reason::PausedByDocument,
        ),
        (spec(8, 8, 1), fresh, &complete, reason::Reason::MinRunners),
        (
            spec(8, 7, 1),
            fresh,
            &complete,
            reason::Reason::DomainReserve,
        ),
        (
            spec(8, 5, 1),
            fresh,
            &two_failed,
            reason::Reason::DomainReserve,
        ),
        (
            spec(8, 6, 1),
            spent,
            &complete,
            reason::Reason::AbsenceBudget,
        ),
        (spec(8, 6, 1), fresh, &held, reason::Reason::VmsNotReady),
    ];
    for (spec, account, vms, expected) in cases {
        let (step, _) = next_step(&spec, &account, vms);
        assert_eq!(step, wave::Step::Paused(expected), "{spec:?}");
    }
    assert!(matches!(
        next_step(&spec(8, 6, 1), &fresh, &complete).0,
        wave::Step::Begin(_)
    ));
}

#[test]
fn a_new_period_starts_a_new_account() {
    let mut account = row::Account::default();
    account.advance(1, 10_500, 1_000);
    assert_eq!((account.period_start_ms, account.absent_ms), (10_000, 0));
    account.advance(2, 10_700, 1_000);
    account.advance(5, 10_600, 1_000);
    assert_eq!(account.absent_ms, 400);
    account.advance(1, 12_100, 1_000);
    assert_eq!((account.period_start_ms, account.absent_ms), (12_000, 100));
}

fn node(name: &str, incarnation: u64) -> roster::NodeId {
    roster::NodeId {
        node: id::Node::from(name),
        incarnation: roster::Incarnation(incarnation),
    }
}

#[test]
fn a_drain_is_proven_once_no_member_can_send() {
    let at = clock::Instant::from_ms;
    let lapse_ms = 100;
    let (a, b, b2) = (node("a", 1), node("b", 1), node("b", 2));
    let mut senders = proof::Senders::default();
    let mut acks = BTreeSet::from([a.clone(), b.clone()]);
    assert!(
        !senders.are_silent(at(1_000), &acks, lapse_ms),
        "no roster is known"
    );
    senders.update(at(1_000), &[a.clone(), b.clone()]);
    assert!(
        !senders.are_silent(at(1_050), &acks, lapse_ms),
        "members may have left before the first roster"
    );
    assert!(senders.are_silent(at(1_100), &acks, lapse_ms));
    acks.remove(&b);
    assert!(!senders.are_silent(at(2_000), &acks, lapse_ms));
    senders.update(at(2_000), &[a.clone(), b2.clone()]);
    acks.insert(b2.clone());
    assert!(
        !senders.are_silent(at(2_099), &acks, lapse_ms),
        "the member that left can still send"
    );
    assert!(senders.are_silent(at(2_100), &acks, lapse_ms));
    acks.remove(&b2);
    assert!(
        !senders.are_silent(at(9_000), &acks, lapse_ms),
        "its next incarnation has not acknowledged"
    );
    assert_eq!(senders.missing(&acks).collect::<Vec<_>>(), [&b2]);
}
