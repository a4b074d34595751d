//! All histories of a small deployment with a bounded number of faults at fixed times. A state that was reached before,
//! at the same time and with as many faults left, isn't continued again.

use std::collections::HashSet;
use std::fmt::{self, Write};
use std::hash::{DefaultHasher, Hasher};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use crate::search::history::{Cut, Fault, First, History, Kind, Message, RUN_MS, Setup};
use crate::search::world::World;

/// When the job is submitted, in milliseconds: a moment before a time of faults.
const SUBMIT_MS: u64 = 1_990;
/// First and last time of a fault, in milliseconds.
const FAULTS_MS: (u64, u64) = (1_000, 6_000);
/// Interval between two times of faults, in milliseconds.
const INTERVAL_MS: u64 = 500;
/// When the last of three or more nodes starts, in milliseconds.
const JOINS_MS: u64 = 3_000;

/// What was searched and found.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Histories that were run to their end or to a state that was known.
    pub runs: u64,
    /// Different states at the times of faults.
    pub states: u64,
    /// Histories that break a rule, with the rule.
    pub broken: Vec<(&'static str, History)>,
}

/// Feeds text into a hash.
struct HashWriter(DefaultHasher);

impl Write for HashWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// Returns the faults that can happen at each time.
fn kinds(nodes: usize) -> Vec<Kind> {
    let vm = 0;
    let crash = |vm, silent, for_ms, same_id| Kind::Crash {
        vm,
        silent,
        for_ms,
        same_id,
    };
    let mut kinds = vec![
        Kind::Drain {
            vm,
            extra_ms: 3_500,
        },
        Kind::Unlist { vm },
        Kind::CloudAway {
            executes: true,
            for_ms: 2_500,
        },
        Kind::CloudSlow {
            delay_ms: 700,
            for_ms: 1_500,
        },
        Kind::Wave { vm },
        Kind::Move { vm },
        crash(0, true, 150, true),
        crash(0, false, 400, true),
        crash(0, true, 800, false),
        crash(1, true, 400, true),
        Kind::Lose {
            message: Message::Start,
            vm,
        },
        Kind::Lose {
            message: Message::Answer,
            vm,
        },
    ];
    for message in [Message::Start, Message::Poll, Message::Answer] {
        let for_ms = 2_500;
        kinds.push(Kind::HoldUp {
            message,
            vm,
            for_ms,
        });
    }
    for how in [Cut::Silent, Cut::OneWay, Cut::Refused] {
        let for_ms = 5_500;
        kinds.push(Kind::Isolate { vm, how, for_ms });
    }
    for node in 0..nodes {
        for first in [First::Answers, First::Timers, First::Feeds] {
            let for_ms = 3_500;
            kinds.push(Kind::Freeze {
                node,
                for_ms,
                first,
            });
        }
        if nodes > 1 {
            kinds.push(Kind::StoreAway {
                node,
                for_ms: 4_500,
            });
            kinds.push(Kind::Cut {
                node: Some(node),
                vm,
                how: Cut::Silent,
                for_ms: 5_500,
            });
        }
    }
    if nodes > 2 {
        kinds.extend(kinds_of_several(nodes));
    }
    kinds
}

/// Returns the faults by which nodes replace each other that matter with three nodes or more.
fn kinds_of_several(nodes: usize) -> Vec<Kind> {
    let mut kinds = Vec::new();
    for node in 1..nodes {
        kinds.push(Kind::StepDown { node });
        kinds.push(Kind::Stop {
            node,
            for_ms: 9_000,
        });
    }
    for cut_off in [vec![0], vec![0, 1]] {
        for vm in 0..2 {
            for writes_only in [false, true] {
                kinds.push(Kind::Partition {
                    nodes: cut_off.clone(),
                    vms: vec![vm],
                    writes_only,
                    for_ms: 9_000,
                });
            }
        }
    }
    kinds
}

struct Search {
    kinds: Vec<Kind>,
    seen: Mutex<HashSet<(u64, u32, u64)>>,
    outcome: Mutex<Outcome>,
}

/// Runs all histories with at most `depth` faults.
pub fn run(nodes: usize, depth: u32, threads: u64) -> Outcome {
    let setup = Setup {
        nodes,
        vms: 2,
        latency_ms: 1,
        cores: 8,
        jobs: if nodes > 2 { 8 } else { 1 },
        every_ms: if nodes > 2 { 400 } else { 0 },
        tasks: 1,
        task_ms: 9_000,
        submit_ms: SUBMIT_MS,
        slow_clocks: false,
        unfenced: false,
        joins_ms: if nodes > 2 { JOINS_MS } else { 0 },
        weak_nodes: 0,
        run_ms: RUN_MS,
    };
    let search = Search {
        kinds: kinds(nodes),
        seen: Mutex::default(),
        outcome: Mutex::default(),
    };
    let mut firsts = Vec::new();
    let mut at_ms = FAULTS_MS.0;
    while at_ms <= FAULTS_MS.1 {
        for kind in &search.kinds {
            firsts.push((at_ms, kind.clone()));
        }
        at_ms += INTERVAL_MS;
    }
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((at_ms, kind)) = firsts.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let fault = Fault {
                        at_ms: *at_ms,
                        kind: kind.clone(),
                    };
                    let history = History {
                        setup: setup.clone(),
                        faults: vec![fault],
                    };
                    search.continue_from(history, *at_ms, depth.saturating_sub(1));
                }
            });
        }
    });
    let mut outcome = search
        .outcome
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner);
    let seen = search.seen.into_inner();
    outcome.states = seen.unwrap_or_else(PoisonError::into_inner).len() as u64;
    outcome
}

impl Search {
    /// Runs a history whose last fault is at `at_ms`, and those with up to `depth` further ones.
    fn continue_from(&self, history: History, at_ms: u64, depth: u32) {
        let mut world = World::new(history.clone(), false);
        let mut at_ms = at_ms;
        // The first times of faults lie before the last fault of the history.
        while at_ms < FAULTS_MS.1 && world.is_sound() {
            at_ms += INTERVAL_MS;
            while world.is_sound() && world.step_until(at_ms) {}
            let state = world.state_hash();
            if world.is_sound() && !self.is_new(at_ms, depth, state) {
                self.count(None);
                return;
            }
            if depth == 0 || !world.is_sound() {
                continue;
            }
            for kind in &self.kinds {
                let mut longer = history.clone();
                longer.faults.push(Fault {
                    at_ms,
                    kind: kind.clone(),
                });
                self.continue_from(longer, at_ms, depth - 1);
            }
        }
        while world.is_sound() && world.step_until(RUN_MS) {}
        let violation = world.checks.violations.first();
        self.count(violation.map(|violation| (violation.rule, history)));
    }

    fn is_new(&self, at_ms: u64, depth: u32, state: u64) -> bool {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.insert((at_ms, depth, state))
    }

    fn count(&self, broken: Option<(&'static str, History)>) {
        let mut outcome = self.outcome.lock().unwrap_or_else(PoisonError::into_inner);
        outcome.runs += 1;
        outcome.broken.extend(broken);
    }
}

impl World {
    fn is_sound(&self) -> bool {
        self.checks.violations.is_empty()
    }

    /// Returns a hash of the state without the history that led to it.
    fn state_hash(&self) -> u64 {
        let mut writer = HashWriter(DefaultHasher::new());
        // Writing to a hash can't fail.
        let _ = self.write_state(&mut writer);
        writer.0.finish()
    }
}
