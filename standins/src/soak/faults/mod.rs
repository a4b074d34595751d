//! Fault injection of a soak: faults are drawn from the seed and can overlap.

mod kind;
mod partitions;
mod workers;

use std::ops::Range;
use std::slice;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::index;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio::time;

use self::kind::Kind;
use crate::proxy::{self, Cut, Fault};
use crate::soak::world::World;
use crate::soak::{self, Options};

/// Time before the first fault, in milliseconds.
const CALM_MS: u64 = 1_500;
/// Time between the starts of two faults, in milliseconds. It is shorter than most faults last, so faults overlap.
const INTERVAL_MS: Range<u64> = 100..1_800;
/// Duration of a fault, in milliseconds.
const DURATION_MS: Range<u64> = 200..4_000;
/// Time within which a process must exit after SIGTERM, in milliseconds; the platform's grace period.
const STOP_TIMEOUT_MS: u64 = 6_000;
/// Time between the exit of a terminated process and its restart, in milliseconds.
const RESTART_DELAY_MS: u64 = 300;
/// How long a leader is frozen, in milliseconds; longer than its followers wait.
const FROZEN_MS: u64 = 3_500;
/// Time from the freeze until workers are cut off, in milliseconds.
const FROZEN_TO_CUT_MS: u64 = 1_050;
/// Time from the end of the freeze until the cut ends, in milliseconds.
const WAKE_TO_HEAL_MS: u64 = 3_000;
/// Delay of messages to and from a node that wakes, in milliseconds.
const WAKE_DELAY_MS: Range<u64> = 0..200;
/// For how long these are delayed, in milliseconds.
const SLOW_AFTER_WAKE_MS: u64 = 500;
/// One in so many workers is cut off.
const FROZEN_CUT_SHARE: usize = 3;
/// Time between faults in quick succession, in milliseconds.
const QUICK_INTERVAL_MS: Range<u64> = 10..200;

/// Injects faults for the duration of the run. Returns a description of each.
pub async fn inject_all(world: &Arc<World>, options: &Options) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(options.seed ^ 0xfa17);
    let started_at = time::Instant::now();
    time::sleep(Duration::from_millis(CALM_MS)).await;
    let mix = match options.faults {
        soak::Faults::Single => None,
        soak::Faults::Series => Some(kind::draw_mix(&mut rng)),
        soak::Faults::FrozenLeaders => {
            return freeze_leaders(world, &mut rng, started_at, options.run_ms).await;
        }
        soak::Faults::Partitions => {
            return partitions::inject_all(world, &mut rng, started_at, options.run_ms).await;
        }
    };
    let mut injected = Vec::new();
    let mut active_faults = JoinSet::new();
    while started_at.elapsed() < Duration::from_millis(options.run_ms) {
        let (nodes, workers) = (world.nodes.len(), world.workers.len());
        let kinds = match mix {
            None => vec![kind::draw(&mut rng, nodes, workers)],
            Some(mix) => kind::draw_together(&mut rng, mix, nodes, workers),
        };
        for kind in kinds {
            let duration_ms = rng.random_range(DURATION_MS);
            let at_ms = started_at.elapsed().as_millis();
            injected.push(format!("{at_ms} ms: {kind:?} for {duration_ms} ms"));
            active_faults.spawn(inject(Arc::clone(world), kind, duration_ms));
        }
        let is_quick = mix.is_some_and(|mix| rng.random_bool(mix.quick_share));
        let pause_ms = if is_quick {
            rng.random_range(QUICK_INTERVAL_MS)
        } else {
            rng.random_range(INTERVAL_MS)
        };
        time::sleep(Duration::from_millis(pause_ms)).await;
    }
    while active_faults.join_next().await.is_some() {}
    injected
}

async fn sleep(duration_ms: u64) {
    time::sleep(Duration::from_millis(duration_ms)).await;
}

/// Injects one fault and ends it after its duration.
async fn inject(world: Arc<World>, kind: Kind, duration_ms: u64) {
    let store = &world.store.state;
    match kind {
        Kind::Kill(node) => {
            world.node(node).signal(Signal::KILL);
            sleep(duration_ms / 2).await;
            restart(&world, node);
        }
        Kind::KillAll => {
            for node in 0..world.nodes.len() {
                world.node(node).signal(Signal::KILL);
            }
            sleep(duration_ms / 2).await;
            for node in 0..world.nodes.len() {
                restart(&world, node);
            }
        }
        Kind::Pause(node) => {
            world.node(node).signal(Signal::STOP);
            sleep(duration_ms).await;
            world.node(node).signal(Signal::CONT);
        }
        Kind::Terminate(node) => terminate(&world, node).await,
        Kind::Reload(node) => world.node(node).signal(Signal::HUP),
        Kind::StoreAway => {
            store.unavailable.store(true, Ordering::Relaxed);
            sleep(duration_ms).await;
            store.unavailable.store(false, Ordering::Relaxed);
        }
        Kind::StoreSlow(delay_ms) => {
            store.delay_ms.store(delay_ms, Ordering::Relaxed);
            sleep(duration_ms).await;
            store.delay_ms.store(0, Ordering::Relaxed);
        }
        Kind::StoreLosesAnswers(count) => store.lost_responses.store(count, Ordering::Relaxed),
        Kind::StoreWritesLate(count) => store.late_writes.store(count, Ordering::Relaxed),
        Kind::StoreForgets => store.compact(),
        Kind::WayCut(node) => {
            let cut = Fault {
                cut: true,
                ..Fault::default()
            };
            inject_at(
                slice::from_ref(&world.store_proxies[node]),
                cut,
                duration_ms,
            )
            .await;
        }
        Kind::WayOneWay(node) => {
            let one_way = Fault {
                one_way: true,
                ..Fault::default()
            };
            inject_at(
                slice::from_ref(&world.store_proxies[node]),
                one_way,
                duration_ms,
            )
            .await;
        }
        Kind::WaySilent(node) => world.store_proxies[node].silence_open(),
        Kind::WorkerCut(worker) => {
            let black_hole = Fault {
                black_hole: true,
                ..Fault::default()
            };
            inject_at(world.workers[worker].proxy.all(), black_hole, duration_ms).await;
        }
        Kind::WorkerOneWay(worker) => {
            let one_way = Fault {
                one_way: true,
                ..Fault::default()
            };
            inject_at(world.workers[worker].proxy.all(), one_way, duration_ms).await;
        }
        Kind::WorkerDelayed(worker, delay_ms) => {
            let delayed = Fault {
                delay_ms,
                ..Fault::default()
            };
            inject_at(world.workers[worker].proxy.all(), delayed, duration_ms).await;
        }
        Kind::WorkerCrash(worker) => {
            let worker = &world.workers[worker].worker.state;
            // The worker keeps its id and gets a new incarnation.
            if let (Some(id), _) = worker.incarnation() {
                worker.start_incarnation(Some(id));
            }
        }
        Kind::WorkerMute(worker) => {
            let worker = &world.workers[worker].worker.state;
            worker.unresponsive.store(true, Ordering::Relaxed);
            sleep(duration_ms).await;
            worker.unresponsive.store(false, Ordering::Relaxed);
        }
        Kind::Configure => {
            world.configure(&["/further/"]);
            sleep(duration_ms).await;
            world.configure(&[]);
        }
        Kind::WorkerSevered(worker, cut) => {
            inject_at(world.workers[worker].proxy.all(), cut.fault(), duration_ms).await;
        }
        Kind::WorkerExpires(worker, cut, silent_ms) => {
            workers::expire(&world, worker, cut, silent_ms, duration_ms).await;
        }
        Kind::WorkerLeaves(leave) => workers::leave(&world, leave, duration_ms).await,
        Kind::WorkerRestarts(worker) => workers::restart(&world, worker, duration_ms).await,
        Kind::WorkerLate(worker, count, late_ms) => {
            let worker = &world.workers[worker].worker.state;
            worker.late_ms.store(late_ms, Ordering::Relaxed);
            worker.late_commands.store(count, Ordering::Relaxed);
        }
        Kind::Machines(fault, first) => {
            world.request_next_wave(first);
            world.machines.state.set_fault(Some(fault));
            sleep(duration_ms).await;
            world.machines.state.set_fault(None);
        }
        Kind::MachinesRefused => {
            let refuse = Cut::Refuses.fault();
            inject_at(slice::from_ref(&world.machines_proxy), refuse, duration_ms).await;
        }
        Kind::Wave(first) => world.request_next_wave(first),
        Kind::LeaderPaused(paused) => pause_leader(&world, paused, duration_ms).await,
    }
}

/// Freezes one leader after the other, each while some workers are cut off. Returns a description of each freeze.
async fn freeze_leaders(
    world: &World,
    rng: &mut SmallRng,
    started_at: time::Instant,
    run_ms: u64,
) -> Vec<String> {
    let mut injected = Vec::new();
    while started_at.elapsed() < Duration::from_millis(run_ms) {
        let Some((leader, epoch)) = world.leader() else {
            sleep(100).await;
            continue;
        };
        let count = world.workers.len();
        let cut = index::sample(rng, count, (count / FROZEN_CUT_SHARE).max(1)).into_vec();
        let at_ms = started_at.elapsed().as_millis();
        injected.push(format!(
            "{at_ms} ms: node {leader} frozen, epoch {epoch}, workers {cut:?} cut off"
        ));
        let delay_ms = rng.random_range(WAKE_DELAY_MS);
        freeze_leader(world, leader, &cut, delay_ms).await;
    }
    injected
}

/// Freezes a node; then cuts workers off, wakes the node and ends the cut. Bytes that were held up arrive then.
///
/// When the node wakes, its ways to the store and to the other workers are slow for a while, so that it doesn't learn at
/// once that it was replaced.
pub(in crate::soak) async fn freeze_leader(
    world: &World,
    leader: usize,
    cut: &[usize],
    delay_ms: u64,
) {
    let delayed = Fault {
        delay_ms,
        ..Fault::default()
    };
    let reached = world.workers.iter().enumerate();
    let reached = reached.filter(|(number, _)| !cut.contains(number));
    let mut slow: Vec<&proxy::Proxy> = reached.map(|(_, worker)| worker.proxy.of(leader)).collect();
    slow.push(&world.store_proxies[leader]);
    world.node(leader).signal(Signal::STOP);
    sleep(FROZEN_TO_CUT_MS).await;
    let partition = Fault {
        partition: true,
        ..Fault::default()
    };
    for worker in cut {
        world.workers[*worker].proxy.set(partition);
    }
    sleep(FROZEN_MS - FROZEN_TO_CUT_MS).await;
    for proxy in &slow {
        proxy.set(delayed);
    }
    world.node(leader).signal(Signal::CONT);
    sleep(SLOW_AFTER_WAKE_MS).await;
    for proxy in &slow {
        proxy.set(Fault::default());
    }
    sleep(WAKE_TO_HEAL_MS - SLOW_AFTER_WAKE_MS).await;
    for worker in cut {
        world.workers[*worker].proxy.set(Fault::default());
    }
}

/// Pauses the leader for the duration, and cuts off workers for half of it or for longer.
async fn pause_leader(world: &World, paused: kind::PausedLeader, duration_ms: u64) {
    let Some((leader, _)) = world.leader() else {
        return;
    };
    world.node(leader).signal(Signal::STOP);
    let cut_ms = if paused.cut_ends_first {
        duration_ms / 2
    } else {
        duration_ms * 3 / 2
    };
    let [first, second] = paused
        .workers
        .map(|worker| world.workers[worker].proxy.all());
    let fault = paused.cut.fault();
    tokio::join!(
        inject_at(first, fault, cut_ms),
        inject_at(second, fault, cut_ms),
        async {
            sleep(duration_ms).await;
            world.node(leader).signal(Signal::CONT);
        },
    );
}

async fn inject_at(proxies: &[proxy::Proxy], fault: Fault, duration_ms: u64) {
    for proxy in proxies {
        proxy.set(fault);
    }
    sleep(duration_ms).await;
    for proxy in proxies {
        proxy.set(Fault::default());
        // Bytes lost during the fault leave the open connections unusable.
        proxy.silence_open();
    }
}

fn restart(world: &World, number: usize) {
    let mut node = world.node(number);
    if node.has_exited()
        && let Err(error) = node.restart()
    {
        let text = format!("failed to restart node {number}: {error}");
        world.checker.add_violation(text);
    }
}

/// Stops a node with SIGTERM and starts it again.
async fn terminate(world: &World, number: usize) {
    world.node(number).signal(Signal::TERM);
    let started_at = time::Instant::now();
    while !world.node(number).has_exited() {
        if started_at.elapsed() > Duration::from_millis(STOP_TIMEOUT_MS) {
            // Another fault can have paused the process, which keeps it from handling SIGTERM.
            world.node(number).signal(Signal::KILL);
        }
        sleep(20).await;
    }
    sleep(RESTART_DELAY_MS).await;
    restart(world, number);
}
