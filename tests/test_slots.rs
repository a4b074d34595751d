//! Slots: a runner's limit holds through roster changes, pauses and a faulty network, and lost tokens return.

use proptest::prelude::*;
use wasabiloft::{id, roster, slots};

use crate::fake_slots::{Action, Protection, World};

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (0..8usize, 0..20u32).prop_map(|(node, demand)| Action::Demand(node, demand)),
        3 => (0..8usize, 20..2_000u64).prop_map(|(node, ms)| Action::Pause(node, ms)),
        1 => (0..8usize).prop_map(Action::Crash),
        1 => (0..8usize).prop_map(Action::Leave),
        2 => Just(Action::Join),
        1 => Just(Action::AddRunner),
        1 => (0..8usize).prop_map(Action::DropRunner),
        2 => (0..30u32, 0..30u32, 1..400u64).prop_map(|(lost, repeated, delay_ms)| {
            Action::Faults { lost, repeated, delay_ms }
        }),
        8 => (10..800u64).prop_map(Action::Wait),
    ]
}

/// Starts with some nodes joined, so that a crash never empties the roster at once.
fn disturb(seed: u64, actions: &[Action], protection: Protection) -> World {
    let mut world = World::new(seed, 4, protection);
    world.run(300);
    for action in actions {
        world.apply(action);
        world.run(10);
    }
    world
}

proptest! {
    #![proptest_config(crate::fixed_seed(60))]

    #[test]
    fn no_slot_is_used_twice_and_lost_tokens_return(
        seed in any::<u64>(),
        actions in prop::collection::vec(action(), 1..60),
    ) {
        let mut world = disturb(seed, &actions, Protection::AllOn);
        prop_assert_eq!(world.overruns, 0);
        world.apply(&Action::Join);
        world.heal();
        prop_assert_eq!(world.overruns, 0);
        prop_assert_eq!(world.doubled(), 0);
        prop_assert_eq!(world.held(), world.total());
    }

    #[test]
    fn a_lone_busy_node_reaches_most_slots(seed in any::<u64>()) {
        let mut world = World::new(seed, 8, Protection::AllOn);
        for node in 0..8 {
            world.apply(&Action::Demand(node, 0));
        }
        world.apply(&Action::Demand(3, 64));
        world.apply(&Action::AddRunner);
        world.run(3_000);
        prop_assert!(world.held_by(3) >= world.total() - 7 - 1);
        world.apply(&Action::Demand(5, 64));
        world.run(3_000);
        prop_assert!(world.held_by(5) >= 8);
    }
}

/// Runs disturbances until the assertion trips, and tells whether it did.
fn trips(protection: Protection) -> bool {
    let actions = [
        Action::Faults {
            lost: 5,
            repeated: 30,
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
    let worlds = (0..20).map(|seed| disturb(seed, &actions, protection));
    worlds
        .into_iter()
        .any(|world| world.overruns > 0 || world.doubled() > 0)
}

#[test]
fn the_assertion_sees_each_missing_protection() {
    assert!(!trips(Protection::AllOn));
    assert!(trips(Protection::NoIsolation));
    assert!(trips(Protection::NoRepeatCheck));
    assert!(trips(Protection::NoWaitForLapse));
}

#[test]
fn each_slot_is_dealt_to_one_member() {
    let members: Vec<_> = (0..5)
        .map(|incarnation| roster::NodeId {
            node: id::Node::new("entry"),
            incarnation: roster::Incarnation(incarnation),
        })
        .collect();
    let vm = id::Vm::new("vm-1");
    let masks = members
        .iter()
        .map(|member| slots::dealt_mask(&members, member, &vm, 8));
    let slots: Vec<u32> = masks.clone().map(u64::count_ones).collect();
    assert_eq!(masks.fold(0, |all, mask| all | mask), 0xff);
    assert_eq!(slots.iter().sum::<u32>(), 8);
    assert!(slots.iter().all(|count| (1..=2).contains(count)));
}
