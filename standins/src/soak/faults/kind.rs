//! The faults of a soak, and how they are drawn.

use std::ops::Range;

use axum::http::StatusCode;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::hosted::machines;
use crate::proxy::Cut;
use crate::soak::world::HEARTBEAT_MS;

/// Delay added to the responses of a slow store, in milliseconds.
const STORE_DELAY_MS: Range<u64> = 50..600;
/// Delay of a slow machine API, in milliseconds.
const MACHINES_DELAY_MS: Range<u64> = 100..2_500;
/// Delay of commands that a worker executes late, in milliseconds.
const LATE_MS: Range<u64> = 300..5_000;
/// Time from a worker's announcement of its stop to the failure of its network, in milliseconds.
const DRAIN_TO_CUT_MS: Range<u64> = 0..2_500;
/// Time from the removal of an entry to the end of its worker's process, in milliseconds.
const REMOVAL_TO_EXIT_MS: Range<u64> = 0..400;

/// A fault, with the index of the affected node or worker where it has one.
#[derive(Clone, Copy, Debug)]
pub(super) enum Kind {
    Kill(usize),
    KillAll,
    Pause(usize),
    Terminate(usize),
    Reload(usize),
    StoreAway,
    StoreSlow(u64),
    StoreLosesAnswers(u32),
    StoreWritesLate(u32),
    StoreForgets,
    WayCut(usize),
    WayOneWay(usize),
    WaySilent(usize),
    WorkerCut(usize),
    WorkerOneWay(usize),
    WorkerDelayed(usize, u64),
    WorkerCrash(usize),
    WorkerMute(usize),
    Configure,
    /// A worker runs on, but the nodes don't reach it.
    WorkerSevered(usize, Cut),
    /// The same, and the worker doesn't reach the store either, so that its entry expires; it last wrote its entry so many
    /// milliseconds ago.
    WorkerExpires(usize, Cut, u64),
    /// A worker drains and leaves; another worker starts on its machine.
    WorkerLeaves(Leave),
    /// A worker's process starts again under its id.
    WorkerRestarts(usize),
    /// A worker executes this many commands late, by this time in milliseconds.
    WorkerLate(usize, u32, u64),
    /// The machine API fails while a maintenance wave, of every third machine from this one on, is under way.
    Machines(machines::Fault, usize),
    /// Connections to the machine API are reset and refused.
    MachinesRefused,
    /// Operators request another maintenance wave, of every third machine from this one on.
    Wave(usize),
    /// The leader is paused while nodes don't reach some workers.
    LeaderPaused(PausedLeader),
}

/// The planned stop of a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leave {
    pub(super) worker: usize,
    /// Network failure while it drains, and its time after the announcement, in milliseconds.
    pub(super) cut: Option<(Cut, u64)>,
    /// Time since it last wrote its entry when its network fails, in milliseconds.
    pub(super) silent_ms: u64,
    /// Time from the removal of its entry to the end of its process, in milliseconds.
    pub(super) gap_ms: u64,
}

/// A pause of the leader together with a network failure of workers.
#[derive(Clone, Copy, Debug)]
pub(super) struct PausedLeader {
    pub(super) workers: [usize; 2],
    pub(super) cut: Cut,
    /// Whether the network is back before the leader runs again.
    pub(super) cut_ends_first: bool,
}

/// Draws one of the faults of a soak with single faults.
pub(super) fn draw(rng: &mut SmallRng, nodes: usize, workers: usize) -> Kind {
    let node = rng.random_range(0..nodes);
    let worker = rng.random_range(0..workers);
    match rng.random_range(0..20) {
        0 | 1 => Kind::Kill(node),
        2 => Kind::KillAll,
        3 => Kind::Pause(node),
        4 | 5 => Kind::Terminate(node),
        6 => Kind::Reload(node),
        7 => Kind::StoreAway,
        8 => Kind::StoreSlow(rng.random_range(STORE_DELAY_MS)),
        9 => Kind::StoreLosesAnswers(rng.random_range(1..5)),
        10 => Kind::StoreWritesLate(rng.random_range(1..4)),
        11 => Kind::StoreForgets,
        12 => Kind::WayCut(node),
        13 => Kind::WayOneWay(node),
        14 => Kind::WaySilent(node),
        15 => Kind::WorkerCut(worker),
        16 => Kind::WorkerOneWay(worker),
        17 => Kind::WorkerDelayed(worker, rng.random_range(20..400)),
        18 if rng.random_bool(0.5) => Kind::WorkerCrash(worker),
        18 => Kind::WorkerMute(worker),
        _ => Kind::Configure,
    }
}

/// How densely a soak with series of faults injects them, and of which kinds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mix {
    /// Share of faults of nodes and the store. With a high share, few leaders live long enough to see a worker that they
    /// lost again.
    single_share: f64,
    /// Largest number of faults that begin together.
    together_max: usize,
    /// Share of faults that follow in quick succession.
    pub(super) quick_share: f64,
}

/// Mixes, one of which a seed draws. Dense faults of the same worker end each other.
const MIXES: [Mix; 4] = [
    Mix {
        single_share: 0.0,
        together_max: 1,
        quick_share: 0.0,
    },
    Mix {
        single_share: 0.1,
        together_max: 2,
        quick_share: 0.1,
    },
    Mix {
        single_share: 0.1,
        together_max: 4,
        quick_share: 0.35,
    },
    Mix {
        single_share: 0.4,
        together_max: 4,
        quick_share: 0.35,
    },
];

/// Draws the mix of a soak.
pub(super) fn draw_mix(rng: &mut SmallRng) -> Mix {
    MIXES[rng.random_range(0..MIXES.len())]
}

/// Draws the faults that begin at the same time in a soak with series of faults.
pub(super) fn draw_together(
    rng: &mut SmallRng,
    mix: Mix,
    nodes: usize,
    workers: usize,
) -> Vec<Kind> {
    let count = rng.random_range(1..=mix.together_max);
    let kinds = (0..count).map(|_| {
        if rng.random_bool(mix.single_share) {
            draw(rng, nodes, workers)
        } else {
            draw_unreachable(rng, workers)
        }
    });
    kinds.collect()
}

fn draw_cut(rng: &mut SmallRng) -> Cut {
    match rng.random_range(0..4) {
        0 | 1 => Cut::Refuses,
        2 => Cut::BlackHole,
        _ => Cut::OneWay,
    }
}

/// Draws a fault of a worker that runs on while it is unreachable, or of the machine API.
fn draw_unreachable(rng: &mut SmallRng, workers: usize) -> Kind {
    let worker = rng.random_range(0..workers);
    match rng.random_range(0..16) {
        0 | 1 => Kind::WorkerSevered(worker, draw_cut(rng)),
        2 | 3 => {
            let cut = draw_cut(rng);
            Kind::WorkerExpires(worker, cut, rng.random_range(0..HEARTBEAT_MS))
        }
        number @ 4..8 => Kind::WorkerLeaves(Leave {
            worker,
            cut: (number > 4).then(|| (draw_cut(rng), rng.random_range(DRAIN_TO_CUT_MS))),
            silent_ms: rng.random_range(0..HEARTBEAT_MS),
            gap_ms: rng.random_range(REMOVAL_TO_EXIT_MS),
        }),
        8 => Kind::WorkerRestarts(worker),
        9 => {
            let count = rng.random_range(1..6);
            Kind::WorkerLate(worker, count, rng.random_range(LATE_MS))
        }
        10 | 11 => Kind::Machines(draw_machines(rng), worker % 3),
        12 => Kind::MachinesRefused,
        13 => Kind::Wave(worker % 3),
        _ => Kind::LeaderPaused(PausedLeader {
            workers: [worker, rng.random_range(0..workers)],
            cut: draw_cut(rng),
            cut_ends_first: rng.random_bool(0.5),
        }),
    }
}

fn draw_machines(rng: &mut SmallRng) -> machines::Fault {
    match rng.random_range(0..6) {
        0 => machines::Fault::Silent,
        1 => machines::Fault::SilentFromCommand,
        2 => machines::Fault::Busy(StatusCode::TOO_MANY_REQUESTS),
        3 => machines::Fault::Busy(StatusCode::SERVICE_UNAVAILABLE),
        4 => machines::Fault::Slow(rng.random_range(MACHINES_DELAY_MS)),
        _ => machines::Fault::LateList(rng.random_range(MACHINES_DELAY_MS)),
    }
}
