//! Histories that are drawn from a seed.

use rand::Rng;

use crate::search::history::{
    Cut, DURATIONS_MS, Fault, First, History, Kind, Message, RUN_MS, Setup,
};

/// Latest time of a drawn fault, in milliseconds.
const FAULT_LAST_MS: u64 = 9_000;
/// Times of drawn faults are multiples of this, in milliseconds.
const GRID_MS: u64 = 50;
/// Length of a history in which a node is silent for longer than leaders remember their followers, in milliseconds.
const LONG_RUN_MS: u64 = 82_000;
/// Delay of the faults after the first of such a history, in milliseconds.
const LONG_DELAY_MS: u64 = 65_000;
fn duration_ms<R>(rng: &mut R) -> u64
where
    R: Rng,
{
    DURATIONS_MS[rng.random_range(0..DURATIONS_MS.len())]
}

fn cut<R>(rng: &mut R) -> Cut
where
    R: Rng,
{
    [Cut::Silent, Cut::OneWay, Cut::Refused][rng.random_range(0..3)]
}

fn message<R>(rng: &mut R) -> Message
where
    R: Rng,
{
    const ALL: [Message; 9] = [
        Message::Start,
        Message::Stop,
        Message::Poll,
        Message::Answer,
        Message::List,
        Message::Command,
        Message::CommandAnswer,
        Message::Commit,
        Message::CommitAnswer,
    ];
    ALL[rng.random_range(0..ALL.len())]
}

impl Kind {
    /// Draws a fault that affects a VM, if it affects any.
    fn draw<R>(rng: &mut R, nodes: usize, vm: usize) -> Self
    where
        R: Rng,
    {
        if nodes > 1 && rng.random_bool(0.25) {
            return Self::draw_between_nodes(rng, nodes);
        }
        let node = rng.random_range(0..nodes);
        let for_ms = duration_ms(rng);
        match rng.random_range(0..15) {
            0 => Self::Freeze {
                node,
                for_ms,
                first: [First::Answers, First::Timers, First::Feeds][rng.random_range(0..3)],
            },
            1 if nodes > 1 => Self::Restart { node, for_ms },
            2 => Self::Cut {
                node: rng.random::<bool>().then_some(node),
                vm,
                how: cut(rng),
                for_ms,
            },
            3 | 4 => Self::Isolate {
                vm,
                how: cut(rng),
                for_ms,
            },
            5 => Self::StoreAway { node, for_ms },
            6 | 7 => Self::Crash {
                vm,
                silent: rng.random(),
                for_ms,
                same_id: rng.random(),
            },
            8 => Self::Drain {
                vm,
                extra_ms: for_ms,
            },
            9 => Self::Unlist { vm },
            10 => Self::CloudAway {
                executes: rng.random(),
                for_ms,
            },
            11 => Self::CloudSlow {
                delay_ms: rng.random_range(1..15) * 100,
                for_ms,
            },
            12 => Self::Wave { vm },
            13 => Self::Move { vm },
            _ if rng.random() => Self::HoldUp {
                message: message(rng),
                vm,
                for_ms,
            },
            _ => Self::Lose {
                message: message(rng),
                vm,
            },
        }
    }

    /// Draws a fault that affects how nodes follow each other.
    fn draw_between_nodes<R>(rng: &mut R, nodes: usize) -> Self
    where
        R: Rng,
    {
        let node = rng.random_range(0..nodes);
        let for_ms = duration_ms(rng);
        match rng.random_range(0..6) {
            0 => Self::Stop { node, for_ms },
            1 | 2 => Self::StepDown { node },
            3 => Self::Split {
                node,
                other: (node + rng.random_range(1..nodes)) % nodes,
                how: cut(rng),
                for_ms,
            },
            4 => Self::WritesRefused { node, for_ms },
            _ => Self::StoreSlow {
                node,
                delay_ms: [100, 300, 800, 1_100, 1_400][rng.random_range(0..5)],
                for_ms,
            },
        }
    }

    /// Draws a partition with the first node on the side without the store.
    fn draw_partition<R>(rng: &mut R, nodes: usize, vms: usize) -> Self
    where
        R: Rng,
    {
        let others = (1..nodes).filter(|_| rng.random_bool(0.4));
        let cut_off: Vec<usize> = std::iter::once(0).chain(others).collect();
        Self::Partition {
            nodes: cut_off,
            vms: (0..vms).filter(|_| rng.random()).collect(),
            writes_only: rng.random_bool(0.3),
            for_ms: [2_500, 5_500, 9_000, 15_000][rng.random_range(0..4)],
        }
    }

    /// Draws a fault of the first leader that lasts long enough for a successor.
    fn draw_of_leader<R>(rng: &mut R, nodes: usize, vms: usize) -> Self
    where
        R: Rng,
    {
        if rng.random_bool(0.5) {
            return Self::draw_partition(rng, nodes, vms);
        }
        let for_ms = [2_500, 3_500, 4_500, 5_500][rng.random_range(0..4)];
        if rng.random_bool(0.3) {
            return Self::StoreAway { node: 0, for_ms };
        }
        Self::Freeze {
            node: 0,
            for_ms,
            first: [First::Answers, First::Timers, First::Feeds][rng.random_range(0..3)],
        }
    }
}

impl History {
    /// Draws a history with one to six faults, none of them named in `without`.
    pub fn draw<R>(rng: &mut R, nodes: usize, without: &[String]) -> Self
    where
        R: Rng,
    {
        let mut at_ms = rng.random_range(2..60) * GRID_MS;
        // Many short tasks are started all the time; few long ones run long enough to be seen twice.
        let (jobs, every_ms, tasks, task_ms) = [
            (1, 0, 1, 9_000),
            (1, 0, 8, 9_000),
            (1, 0, 30, 700),
            (30, 300, 1, 700),
            (20, 400, 2, 1_500),
            (12, 500, 2, 5_000),
        ][rng.random_range(0..6)];
        let is_long = nodes > 1 && rng.random_bool(0.02);
        let mut setup = Setup {
            nodes,
            vms: rng.random_range(2..=3),
            latency_ms: [1, 20][rng.random_range(0..2)],
            cores: [2, 8][rng.random_range(0..2)],
            jobs,
            every_ms,
            tasks,
            task_ms,
            submit_ms: (at_ms + rng.random_range(0..60) * GRID_MS).saturating_sub(1_000),
            slow_clocks: rng.random(),
            unfenced: without.iter().any(|name| name == "fences"),
            joins_ms: 0,
            weak_nodes: 0,
            run_ms: RUN_MS,
        };
        if nodes > 1 {
            setup.joins_ms = [0, 0, at_ms, at_ms + 1_000, at_ms + 3_000][rng.random_range(0..5)];
            setup.weak_nodes = [0, 0, 1][rng.random_range(0..3)];
        }
        let mut vm = rng.random_range(0..setup.vms);
        let mut faults = Vec::new();
        if is_long {
            let silence = Kind::Split {
                node: nodes - 1,
                other: 0,
                how: Cut::Silent,
                for_ms: LONG_RUN_MS,
            };
            faults.push(Fault {
                at_ms,
                kind: silence,
            });
            setup.run_ms = LONG_RUN_MS;
            setup.submit_ms += LONG_DELAY_MS;
            at_ms += LONG_DELAY_MS;
        }
        let last_ms = FAULT_LAST_MS + if is_long { LONG_DELAY_MS } else { 0 };
        if nodes > 1 && rng.random_bool(0.7) {
            // Only a leader in trouble has a successor; others matter while both act.
            let kind = Kind::draw_of_leader(rng, nodes, setup.vms);
            if !without.iter().any(|name| name == kind.name()) {
                faults.push(Fault { at_ms, kind });
            }
            // A successor claims about a second after the leader's last commit.
            at_ms += rng.random_range(0..40) * GRID_MS;
        }
        for _ in 0..rng.random_range(1..=6) {
            // Faults of the same worker, shortly after each other, interact most.
            if rng.random_bool(0.3) {
                vm = rng.random_range(0..setup.vms);
            }
            let kind = Kind::draw(rng, nodes, vm);
            if !without.iter().any(|name| name == kind.name()) {
                faults.push(Fault { at_ms, kind });
            }
            let pause_ms = match rng.random_range(0..3) {
                0 => rng.random_range(0..10) * GRID_MS,
                1 => rng.random_range(0..40) * GRID_MS,
                _ => rng.random_range(0..100) * GRID_MS,
            };
            at_ms = (at_ms + pause_ms).min(last_ms);
        }
        Self { setup, faults }
    }
}
