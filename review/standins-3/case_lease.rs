//! A runner starts again under its id while the store turns its leader away. A start whose lease is a time on the clock of the
//! life before lasts longer on the new one than the leader's successor waits.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::runner::Kind;
use crate::world::{Plan, World};

/// Time of each task, in milliseconds.
const WORK_MS: u64 = 9_000;
/// How long the store turns the leader away, in milliseconds.
const AWAY_MS: u64 = 7_000;
/// When the runner loses its path to the next leader, in milliseconds before the first steps of two jobs end.
const CUT_BEFORE_MS: u64 = 160;
/// How long that lasts, in milliseconds.
const CUT_MS: u64 = 5_000;
/// From the loss of the path until the runner crashes, in milliseconds.
const CRASH_AFTER_MS: u64 = 10;
/// How long the runner needs to start again, in milliseconds.
const RESTART_MS: u64 = 80;
/// When the store begins to turn the leader away, in milliseconds before the steps' ends, in the deployments that are tried one
/// after the other until one breaks the rule. When a leader without the store hands over differs between machines.
const AWAY_BEFORE_MS: [u64; 3] = [760, 840, 680];

/// Waits and notes the tasks that run on two runners at once.
fn watch(world: &World, twice: &mut Vec<String>, until_ms: u64) {
    while world.record.now_ms() < until_ms {
        for (number, runner) in world.runners.iter().enumerate() {
            for task in runner.tasks() {
                let others = &world.runners[number + 1..];
                let runs_elsewhere = others.iter().find(|other| other.tasks().contains(&task));
                if let Some(other) = runs_elsewhere.filter(|_| !twice.contains(&task)) {
                    world.record.line(&format!(
                        "TWICE: {task} runs on {} and on {}",
                        runner.machine, other.machine
                    ));
                    twice.push(task);
                }
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn run(root: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let (mut twice, mut starts, mut tried) = (0, 0, 0);
    for away_before_ms in AWAY_BEFORE_MS {
        if twice == 0 {
            tried += 1;
            let (found, all) = run_once(root, record, has_trouble, away_before_ms)?;
            twice += found;
            starts += all;
        }
    }
    Ok(Verdict {
        is_broken: twice > 0,
        text: format!(
            "TWICE: {twice} tasks ran on two runners at once; {starts} starts, deployments tried: {tried}"
        ),
    })
}

/// Runs one deployment. Returns how many tasks ran on two runners at once, and how many were started.
fn run_once(
    root: &Path,
    record: &Arc<Record>,
    has_trouble: bool,
    away_before_ms: u64,
) -> io::Result<(usize, usize)> {
    let kind = Kind {
        label: "a".into(),
        cpu: 8_000,
    };
    let plan = Plan {
        nodes: 4,
        runners: vec![kind.clone(); 5],
        enforces: true,
    };
    let world = World::start(root, Arc::clone(record), &plan)?;
    // Two jobs have a second step, whose tasks find room on an idle runner. The others leave that runner idle.
    let step = format!(r#""cpu":2000,"memMb":512,"estimateMs":{WORK_MS}"#);
    let spec = format!("work={WORK_MS} cpu=2000");
    let two_steps = format!(
        r#"{{"spec":"{spec}","steps":[{{"count":1,{step}}},{{"count":3,{step},"after":[0]}}]}}"#
    );
    let one_step = format!(r#"{{"spec":"{spec}","steps":[{{"count":7,{step}}}]}}"#);
    for number in 0..2 {
        world.submit(&format!("{:016x}", 0xc000 + number), &two_steps);
        world.submit(&format!("{:016x}", 0xa000 + number), &one_step);
    }
    thread::sleep(Duration::from_millis(2_000));
    let leader = world.leader()?;
    record.line(&format!("node {} leads", world.nodes[leader].name));
    let idle = world
        .runners
        .iter()
        .find(|runner| runner.tasks().is_empty())
        .ok_or_else(|| io::Error::other("no runner is idle"))?;
    let first = world.starts_of("000000000000c000").first().cloned();
    let first = first.ok_or_else(|| io::Error::other("a job hasn't begun"))?;
    let away_ms = first.at_ms + WORK_MS - away_before_ms;
    let mut twice = Vec::new();
    watch(&world, &mut twice, away_ms);
    if has_trouble {
        let door = &world.nodes[leader].door;
        door.set_shut(true);
        record.line("the store turns the leader away");
        let cut_ms = away_ms + away_before_ms - CUT_BEFORE_MS;
        watch(&world, &mut twice, cut_ms);
        idle.set_cut_from_next_leader(true);
        watch(&world, &mut twice, cut_ms + CRASH_AFTER_MS);
        let id = idle.id().unwrap_or_default();
        idle.crash_process();
        watch(&world, &mut twice, cut_ms + CRASH_AFTER_MS + RESTART_MS);
        idle.begin(&id, &kind)?;
        watch(&world, &mut twice, cut_ms + CUT_MS);
        idle.set_cut_from_next_leader(false);
        watch(&world, &mut twice, away_ms + AWAY_MS);
        door.set_shut(false);
        record.line("the store serves the leader again");
    }
    watch(&world, &mut twice, away_ms + AWAY_MS + 4_000);
    let starts = world.starts.lock().unwrap().len();
    Ok((twice.len(), starts))
}
