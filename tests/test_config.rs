//! Accepted changes are in force on every serving node and are never reverted.

use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wasabiloft::clock;
use wasabiloft::config::edit;
use wasabiloft::control as decisions;
use wasabiloft::id;
use wasabiloft_standins::control;

const NODES: usize = 5;
const SERVICE: &str = "chains";

fn options(seed: u64) -> control::Options {
    control::Options {
        nodes: NODES,
        seed,
        duties: 4,
        spread: decisions::Spread::Push,
    }
}

/// Returns a simulation whose nodes have all joined the roster.
fn started(seed: u64) -> control::World {
    let mut world = control::World::new(options(seed));
    world.run_for(20_000).expect("no invariant is violated");
    world
}

fn service(number: usize) -> id::Service {
    id::Service::from(format!("{SERVICE}-{number}"))
}

/// Returns the version of a document on a node; 0 if it has none.
fn version(world: &control::World, node: control::NodeIndex, service: &id::Service) -> u64 {
    let documents = world.control(node).replica().documents();
    documents.get(service).map_or(0, |version| version.head)
}

/// Injects a random fault into a node, the network or the table, or makes concurrent edits.
fn inject_random_fault(world: &mut control::World, rng: &mut SmallRng) {
    let running = world.running();
    let node = running[rng.random_range(0..running.len())];
    match rng.random_range(0..8) {
        0 => world.cut(node, rng.random_range(0..3), rng.random()),
        1 => world.cut(node, 0, true),
        2 => world.pause(node, rng.random_range(100..15_000)),
        3 => world.faults.table_out = !world.faults.table_out,
        4 => {
            world.faults.messages_lost = rng.random_range(0..30);
            world.faults.messages_late = rng.random_range(0..10);
        }
        5 => {
            world.faults.replies_lost = rng.random_range(0..20);
            world.faults.requests_lost = rng.random_range(0..20);
            world.faults.requests_slow = rng.random_range(0..20);
        }
        6 => {
            let name = world.name(node);
            world.kill(node);
            world.start(name);
        }
        _ => {
            let other = running[rng.random_range(0..running.len())];
            for node in [node, other] {
                let service = service(rng.random_range(0..3));
                let if_match = version(world, node, &service);
                world.edit(node, &service, if_match, "text");
            }
        }
    }
}

fn clear_faults(world: &mut control::World) {
    world.faults = control::Faults::default();
    for node in world.running() {
        world.cut(node, 0, true);
    }
}

proptest! {
    #![proptest_config(crate::fixed_seed(24))]

    #[test]
    fn accepted_changes_are_in_force_through_faults(seed in any::<u64>()) {
        let mut world = started(seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..60 {
            inject_random_fault(&mut world, &mut rng);
            let ms = rng.random_range(100..4_000);
            prop_assert_eq!(world.run_for(ms), Ok(()));
        }
        clear_faults(&mut world);
        prop_assert_eq!(world.run_for(90_000), Ok(()));
        let head = world.table_head();
        for node in world.running() {
            prop_assert!(world.serves(node), "{}", world.name(node));
            prop_assert_eq!(world.control(node).replica().head(), head);
            let me = world.control(node).me().id.clone();
            prop_assert!(world.control(node).replica().roster().contains(&me));
        }
        let running = world.running();
        for record in world.edits().iter().filter(|record| running.contains(&record.node)) {
            let settled = matches!(record.status, edit::Status::Accepted(_) | edit::Status::Raced(_));
            prop_assert!(settled, "{:?}", record);
        }
    }

    #[test]
    fn one_of_concurrent_edits_is_accepted(seed in any::<u64>()) {
        let mut world = started(seed);
        let service = service(0);
        for node in world.running() {
            world.edit(node, &service, 0, "text");
        }
        prop_assert_eq!(world.run_for(5_000), Ok(()));
        let count = |want: fn(&edit::Status) -> bool| {
            world.edits().iter().filter(|record| want(&record.status)).count()
        };
        prop_assert_eq!(count(|status| matches!(status, edit::Status::Accepted(_))), 1);
        prop_assert_eq!(count(|status| matches!(status, edit::Status::Raced(_))), NODES - 1);
    }
}

#[test]
fn a_node_without_table_or_majority_stops_serving() {
    let mut world = started(1);
    let node = world.running()[0];
    world.cut(node, 1, false);
    world.run_for(5_000).expect("no invariant is violated");
    assert!(!world.serves(node));
    world.cut(node, 0, false);
    world.run_for(5_000).expect("no invariant is violated");
    assert!(world.serves(node));
}

#[test]
fn without_the_freshness_check_a_partitioned_node_serves_outdated_configuration() {
    let mut world = started(1);
    world.ignores_staleness = true;
    let nodes = world.running();
    world.cut(nodes[0], 1, false);
    world.edit(nodes[1], &service(0), 0, "text");
    let breach = world
        .run_for(20_000)
        .expect_err("the cut node lacks the change");
    assert!(matches!(breach, control::Violation::Outdated { .. }));
}

#[test]
fn a_minority_with_the_table_commits_but_accepts_nothing() {
    let mut world = started(2);
    let nodes = world.running();
    for node in &nodes[..2] {
        world.cut(*node, 1, true);
    }
    for node in &nodes[2..] {
        world.cut(*node, 0, false);
    }
    world.edit(nodes[0], &service(0), 0, "text");
    world.run_for(20_000).expect("no invariant is violated");
    assert!(matches!(
        world.edits()[0].status,
        edit::Status::Committed(_)
    ));
    // The nodes without the table receive heartbeats from a majority and continue to serve.
    assert!(nodes.iter().all(|node| world.serves(*node)));
    clear_faults(&mut world);
    world.run_for(20_000).expect("no invariant is violated");
    assert!(matches!(world.edits()[0].status, edit::Status::Accepted(_)));
}

#[test]
fn nodes_that_all_restart_at_once_form_a_roster_again() {
    let mut world = started(5);
    let nodes = world.running();
    world.edit(nodes[0], &service(0), 0, "text");
    world.run_for(5_000).expect("no invariant is violated");
    for node in nodes {
        world.kill(node);
        world.start(world.name(node));
    }
    world
        .run_for(clock::MINUTE_MS)
        .expect("no invariant is violated");
    for node in world.running() {
        let me = world.control(node).me().id.clone();
        assert!(world.control(node).replica().roster().contains(&me));
        assert!(version(&world, node, &service(0)) > 0);
    }
}

#[test]
fn an_edit_in_an_outage_is_not_run() {
    let mut world = started(3);
    world.faults.table_out = true;
    world.run_for(5_000).expect("no invariant is violated");
    let node = world.running()[0];
    world.edit(node, &service(0), 0, "text");
    world.run_for(60_000).expect("no invariant is violated");
    assert_eq!(world.edits()[0].status, edit::Status::Queued);
    assert!(world.running().iter().all(|node| world.serves(*node)));
}

#[test]
fn a_node_that_starts_in_an_outage_serves_its_peers_configuration() {
    let mut world = started(4);
    let first = world.running()[0];
    world.edit(first, &service(0), 0, "text");
    world.run_for(5_000).expect("no invariant is violated");
    world.faults.table_out = true;
    let node = world.start(NODES);
    world
        .control_mut(node)
        .set_seeds(&[id::Node::new("entry-0")]);
    world.run_for(10_000).expect("no invariant is violated");
    assert!(world.serves(node));
    assert!(version(&world, node, &service(0)) > 0);
    world.faults.table_out = false;
    world
        .run_for(clock::MINUTE_MS)
        .expect("no invariant is violated");
    assert_eq!(
        world.control(first).replica().roster().members.len(),
        NODES + 1
    );
}

#[test]
fn many_nodes_serve_on_when_the_table_goes_out() {
    let mut world = control::World::new(control::Options {
        nodes: 60,
        ..options(7)
    });
    world.run_for(15_000).expect("no invariant is violated");
    world.faults.table_out = true;
    for _ in 0..40 {
        world.run_for(250).expect("no invariant is violated");
        assert!(world.running().iter().all(|node| world.serves(*node)));
    }
}

#[test]
fn edits_while_nodes_start_are_accepted() {
    let mut world = control::World::new(options(6));
    world.run_for(200).expect("no invariant is violated");
    let node = world.running()[0];
    for number in 0..5 {
        world.edit(node, &service(number), 0, "text");
    }
    world.run_for(20_000).expect("no invariant is violated");
    for record in world.edits() {
        assert!(
            matches!(record.status, edit::Status::Accepted(_)),
            "{record:?}"
        );
    }
}
