//! Tests that a runner's limit holds through roster changes, pauses and network faults, and that lost tokens are
//! recovered.

use proptest::prelude::*;
use wasabiloft::{id, roster, slots};

use crate::fake_slots::{Action, Protection, Simulation};

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (0..8usize, 0..20u32).prop_map(|(node, demand)| Action::Demand(node, demand)),
        3 => (0..8usize, 20..2_000u64).prop_map(|(node, ms)| Action::Pause(node, ms)),
        1 => (0..8usize).prop_map(Action::Crash),
        1 => (0..8usize).prop_map(Action::Leave),
        2 => Just(Action::Join),
        1 => Just(Action::AddRunner),
        1 => (0..8usize).prop_map(Action::RemoveRunner),
        2 => (0..30u32, 0..30u32, 1..400u64).prop_map(|(loss_percent, duplicate_percent, delay_ms)| {
            Action::Faults { loss_percent, duplicate_percent, delay_ms }
        }),
        8 => (10..800u64).prop_map(Action::Wait),
    ]
}

/// Runs a simulation through the actions, starting with four nodes so that a single crash never empties the roster.
fn simulate(seed: u64, actions: &[Action], protection: Protection) -> Simulation {
    let mut simulation = Simulation::new(seed, 4, protection);
    simulation.run(300);
    for action in actions {
        simulation.apply(action);
        simulation.run(10);
    }
    simulation
}

proptest! {
    #![proptest_config(crate::fixed_seed(60))]

    #[test]
    fn no_slot_is_used_twice_and_lost_tokens_are_recovered(
        seed in any::<u64>(),
        actions in prop::collection::vec(action(), 1..60),
    ) {
        let mut simulation = simulate(seed, &actions, Protection::AllEnabled);
        prop_assert_eq!(simulation.double_uses, 0);
        simulation.apply(&Action::Join);
        simulation.recover();
        prop_assert_eq!(simulation.double_uses, 0);
        prop_assert_eq!(simulation.duplicate_tokens(), 0);
        prop_assert_eq!(simulation.held(), simulation.total());
    }

    #[test]
    fn single_busy_node_receives_most_slots(seed in any::<u64>()) {
        let mut simulation = Simulation::new(seed, 8, Protection::AllEnabled);
        for node in 0..8 {
            simulation.apply(&Action::Demand(node, 0));
        }
        simulation.apply(&Action::Demand(3, 64));
        simulation.apply(&Action::AddRunner);
        simulation.run(3_000);
        prop_assert!(simulation.held_by(3) >= simulation.total() - 7 - 1);
        simulation.apply(&Action::Demand(5, 64));
        simulation.run(3_000);
        prop_assert!(simulation.held_by(5) >= 8);
    }
}

/// Returns true if the simulation detects a violation under any of its seeds.
fn has_violation(protection: Protection) -> bool {
    let actions = [
        Action::Faults {
            loss_percent: 5,
            duplicate_percent: 30,
            delay_ms: 60,
        },
        Action::Demand(0, 16),
        Action::Wait(300),
        Action::Demand(0, 0),
        Action::Demand(1, 16),
        Action::Pause(0, 1_500),
        Action::Wait(2_500),
        Action::Demand(0, 16),
        Action::Wait(300),
        Action::Demand(2, 2),
        Action::Pause(2, 450),
        Action::Wait(600),
    ];
    let simulations = (0..20).map(|seed| simulate(seed, &actions, protection));
    simulations
        .into_iter()
        .any(|simulation| simulation.double_uses > 0 || simulation.duplicate_tokens() > 0)
}

#[test]
fn each_disabled_protection_is_detected() {
    assert!(!has_violation(Protection::AllEnabled));
    assert!(has_violation(Protection::NoIsolation));
    assert!(has_violation(Protection::NoDuplicateCheck));
    assert!(has_violation(Protection::NoWaitForLapse));
}

#[test]
fn each_slot_is_assigned_to_one_member() {
    let members: Vec<_> = (0..5)
        .map(|incarnation| roster::NodeId {
            node: id::Node::new("entry"),
            incarnation: roster::Incarnation(incarnation),
        })
        .collect();
    let vm = id::Vm::new("vm-1");
    let masks = members
        .iter()
        .map(|member| slots::assigned_mask(&members, member, &vm, 8));
    let slots: Vec<u32> = masks.clone().map(u64::count_ones).collect();
    assert_eq!(masks.fold(0, |all, mask| all | mask), 0xff);
    assert_eq!(slots.iter().sum::<u32>(), 8);
    assert!(slots.iter().all(|count| (1..=2).contains(count)));
}
