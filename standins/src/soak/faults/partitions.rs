//! Faults of the network that differ from node to node, and processes that get too little of a core.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio::time;

use crate::proxy::{Cut, Fault, Proxy};
use crate::soak::faults::kind::Kind;
use crate::soak::faults::{inject, sleep};
use crate::soak::world::{Path, World};

/// Duration of a fault, in milliseconds; up to twice the time for which leases of an unreachable worker last.
const DURATION_MS: Range<u64> = 500..9_000;
/// Time between the starts of two faults, in milliseconds.
const INTERVAL_MS: Range<u64> = 50..2_500;
/// Largest number of faults that begin together.
const TOGETHER_MAX: usize = 3;
/// Share of faults that end processes, or begin while a process ends.
const PROCESS_SHARE: f64 = 0.3;
/// Time for which a starved process runs and stands still by turns, in milliseconds.
const STARVED_MS: (u64, u64) = (20, 60);

/// A fault that affects nodes differently. The leader is the one at the fault's beginning.
#[derive(Clone, Debug)]
enum Partition {
    /// The leader doesn't reach the store.
    LeaderStore(Cut),
    /// The leader and some other nodes reach neither the store nor the other nodes, which don't reach them; each side
    /// reaches its own workers only.
    Sides {
        cut: Cut,
        with_leader: Vec<usize>,
        workers: Vec<usize>,
    },
    /// A node doesn't reach some workers.
    Workers {
        cut: Cut,
        node: usize,
        workers: Vec<usize>,
    },
    /// A node doesn't reach another one.
    Nodes { cut: Cut, from: usize, to: usize },
    /// A node's process gets too little of a core.
    Starved(usize),
    /// A fault of a process.
    Process(Kind),
}

fn draw_cut(rng: &mut SmallRng) -> Cut {
    match rng.random_range(0..4) {
        0 | 1 => Cut::BlackHole,
        2 => Cut::Refuses,
        _ => Cut::OneWay,
    }
}

/// Draws some of the numbers below `count`, at least one.
fn draw_some(rng: &mut SmallRng, count: usize) -> Vec<usize> {
    let mut numbers: Vec<usize> = (0..count).collect();
    numbers.shuffle(rng);
    numbers.truncate(rng.random_range(1..=count));
    numbers
}

fn draw(rng: &mut SmallRng, nodes: usize, workers: usize) -> Partition {
    let node = rng.random_range(0..nodes);
    if rng.random_bool(PROCESS_SHARE) {
        return match rng.random_range(0..5) {
            0 => Partition::Process(Kind::Kill(node)),
            1 => Partition::Process(Kind::Terminate(node)),
            2 => Partition::Process(Kind::Pause(node)),
            _ => Partition::Starved(node),
        };
    }
    let cut = draw_cut(rng);
    match rng.random_range(0..6) {
        0 => Partition::LeaderStore(cut),
        1 | 2 => Partition::Sides {
            cut,
            with_leader: draw_some(rng, nodes - 1),
            workers: draw_some(rng, workers),
        },
        3 | 4 => Partition::Workers {
            cut,
            node,
            workers: draw_some(rng, workers),
        },
        _ => Partition::Nodes {
            cut,
            from: node,
            to: rng.random_range(0..nodes),
        },
    }
}

/// Returns the paths that a fault cuts, and how.
fn paths(world: &World, partition: &Partition, leader: usize) -> Option<(Vec<Path>, Cut)> {
    let nodes = 0..world.nodes.len();
    match partition {
        Partition::LeaderStore(cut) => Some((vec![Path::Store(leader)], *cut)),
        Partition::Sides {
            cut,
            with_leader,
            workers,
        } => {
            let is_with_leader = |node: usize| node == leader || with_leader.contains(&node);
            let mut paths = Vec::new();
            for node in nodes.clone() {
                if is_with_leader(node) {
                    paths.push(Path::Store(node));
                }
                let others = nodes.clone();
                let others = others.filter(|other| is_with_leader(*other) != is_with_leader(node));
                paths.extend(others.map(|other| Path::Node(node, other)));
                let far = 0..world.workers.len();
                let far = far.filter(|worker| workers.contains(worker) != is_with_leader(node));
                paths.extend(far.map(|worker| Path::Worker(node, worker)));
            }
            Some((paths, *cut))
        }
        Partition::Workers { cut, node, workers } => {
            let paths = workers.iter().map(|worker| Path::Worker(*node, *worker));
            Some((paths.collect(), *cut))
        }
        Partition::Nodes { cut, from, to } => Some((vec![Path::Node(*from, *to)], *cut)),
        Partition::Starved(_) | Partition::Process(_) => None,
    }
}

async fn cut_paths(world: &World, paths: &[Path], cut: Cut, duration_ms: u64) {
    let proxies: Vec<&Proxy> = paths.iter().map(|path| world.path(*path)).collect();
    for proxy in &proxies {
        proxy.set(cut.fault());
    }
    sleep(duration_ms).await;
    for proxy in &proxies {
        proxy.set(Fault::default());
        // Bytes lost during the fault leave the open connections unusable.
        proxy.silence_open();
    }
}

/// Lets a node's process run for short times only, until the duration is over.
async fn starve(world: &World, node: usize, duration_ms: u64) {
    let (runs_ms, stands_ms) = STARVED_MS;
    let until = time::Instant::now() + Duration::from_millis(duration_ms);
    while time::Instant::now() < until {
        world.node(node).signal(Signal::STOP);
        sleep(stands_ms).await;
        world.node(node).signal(Signal::CONT);
        sleep(runs_ms).await;
    }
}

/// Injects faults for the duration of the run. Returns a description of each.
pub(super) async fn inject_all(
    world: &Arc<World>,
    rng: &mut SmallRng,
    started_at: time::Instant,
    run_ms: u64,
) -> Vec<String> {
    let mut injected = Vec::new();
    let mut active_faults = JoinSet::new();
    while started_at.elapsed() < Duration::from_millis(run_ms) {
        for _ in 0..rng.random_range(1..=TOGETHER_MAX) {
            let partition = draw(rng, world.nodes.len(), world.workers.len());
            let duration_ms = rng.random_range(DURATION_MS);
            let (leader, epoch) = world.leader().unwrap_or_default();
            let at_ms = started_at.elapsed().as_millis();
            injected.push(format!(
                "{at_ms} ms: {partition:?} for {duration_ms} ms, node {leader} leads, epoch {epoch}"
            ));
            let world = Arc::clone(world);
            active_faults.spawn(async move {
                match &partition {
                    Partition::Starved(node) => starve(&world, *node, duration_ms).await,
                    Partition::Process(kind) => {
                        inject(Arc::clone(&world), *kind, duration_ms).await
                    }
                    cut => {
                        if let Some((paths, cut)) = paths(&world, cut, leader) {
                            cut_paths(&world, &paths, cut, duration_ms).await;
                        }
                    }
                }
            });
        }
        sleep(rng.random_range(INTERVAL_MS)).await;
    }
    while active_faults.join_next().await.is_some() {}
    injected
}
