//! Handover of the duty from a slow leader, with node processes. A process is slowed by stopping and continuing it in short
//! turns.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use wasabiloft_platform::call;

use crate::hosted::{Cluster, until};

/// Time that a slowed process runs, and that it is stopped, in milliseconds: a seventh of the usual speed.
const TURN_MS: (u64, u64) = (10, 60);
/// Time after which a leader may hand over, and which its detector needs, in milliseconds.
const SETTLE_MS: u64 = 4_500;

/// Slows a process until it is dropped.
struct Slowdown {
    ended: Arc<AtomicBool>,
    turns: Option<thread::JoinHandle<()>>,
}

impl Slowdown {
    fn start(cluster: &Cluster, node: usize) -> Self {
        let id = i32::try_from(cluster.nodes[node].process.id()).expect("an id");
        let pid = Pid::from_raw(id).expect("an id");
        let ended = Arc::new(AtomicBool::new(false));
        let turns = thread::spawn({
            let ended = Arc::clone(&ended);
            move || {
                while !ended.load(Ordering::Relaxed) {
                    kill_process(pid, Signal::STOP).expect("a process");
                    thread::sleep(Duration::from_millis(TURN_MS.1));
                    kill_process(pid, Signal::CONT).expect("a process");
                    thread::sleep(Duration::from_millis(TURN_MS.0));
                }
            }
        });
        Self {
            ended,
            turns: Some(turns),
        }
    }
}

impl Drop for Slowdown {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(turns) = self.turns.take() {
            turns.join().expect("the turns end");
        }
    }
}

fn id(number: usize) -> String {
    format!("{:016x}", 0xc00 + number)
}

/// Submits jobs until `done` holds, and returns their number.
async fn submit_until(cluster: &Cluster, node: usize, mut done: impl FnMut() -> bool) -> usize {
    let mut submitted = 0;
    until("the duty is handed over", async || {
        if cluster.submit(node, &id(submitted), 2).await == 200 {
            submitted += 1;
        }
        done()
    })
    .await;
    submitted
}

fn assert_each_task_ran_once(cluster: &Cluster) {
    for worker in &cluster.workers {
        let starts = worker.state.start_counts();
        assert!(starts.values().all(|count| *count == 1), "{starts:?}");
        assert_eq!(worker.state.lapsed_count(), 0, "a lease lapsed");
    }
}

/// Guards against a slow leader that keeps the duty, and against a third node that claims it during the handover.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_leader_hands_over_to_a_standby_in_one_step() {
    let cluster = Cluster::start(4, 3, 200).await;
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let first = cluster.leader();
    let epoch = cluster.epoch(first);
    let other = (first + 1) % 4;
    let slowdown = Slowdown::start(&cluster, first);
    let jobs = submit_until(&cluster, other, || cluster.leader() != first).await;
    let second = cluster.leader();
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    drop(slowdown);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(cluster.leader(), second, "the duty moved again");
    assert_eq!(cluster.epoch(second), epoch + 1);
    assert!(
        cluster.log(first).contains("hands over epoch"),
        "{}",
        cluster.log(first)
    );
    assert!(
        cluster.log(second).contains("standby prepared"),
        "{}",
        cluster.log(second)
    );
    for node in (0..4).filter(|node| *node != second && *node != first) {
        let log = cluster.log(node);
        assert!(
            !log.contains("taken over epoch"),
            "a third node claimed: {log}"
        );
    }
    for number in 0..jobs {
        cluster.until_state(other, &id(number), "completed").await;
    }
    assert_each_task_ran_once(&cluster);
}

/// Guards against a duty that stays vacant, or that is claimed twice, if the standby dies after it was told to prepare.
#[tokio::test(flavor = "multi_thread")]
async fn the_duty_survives_the_death_of_the_standby() {
    let mut cluster = Cluster::start(4, 3, 200).await;
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let first = cluster.leader();
    let epoch = cluster.epoch(first);
    let slowdown = Slowdown::start(&cluster, first);
    let followers: Vec<usize> = (0..4).filter(|node| *node != first).collect();
    let mut standby = None;
    until("a standby prepares", async || {
        standby = followers
            .iter()
            .copied()
            .find(|node| cluster.log(*node).contains("standby prepares"));
        standby.is_some()
    })
    .await;
    let standby = standby.expect("a standby");
    cluster.nodes[standby].signal(Signal::KILL);
    let other = followers
        .iter()
        .copied()
        .find(|node| *node != standby)
        .expect("a follower");
    let jobs = submit_until(&cluster, other, || cluster.leader() != first).await;
    drop(slowdown);
    let second = cluster.leader();
    assert_ne!(second, standby);
    assert!(jobs > 0);
    for number in 0..jobs {
        cluster.until_state(other, &id(number), "completed").await;
    }
    assert_eq!(
        cluster.epoch(cluster.leader()),
        epoch + 1,
        "claimed more than once"
    );
    assert_each_task_ran_once(&cluster);
}

/// Guards against responses that count as missing because this process itself didn't run: reports then waited unread at a
/// slow leader, the workers' leases weren't renewed, and their runs were lost.
#[tokio::test]
async fn time_in_which_the_process_does_not_run_is_no_timeout() {
    let (reply, response) = tokio::sync::oneshot::channel();
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(760));
        reply.send(())
    });
    tokio::spawn(async { thread::sleep(Duration::from_millis(700)) });
    let outcome = call::timeout_while_running(500, response).await;
    assert!(outcome.is_some(), "the process ran 200 ms late");
    let never = call::timeout_while_running(50, std::future::pending::<()>()).await;
    assert!(never.is_none());
}
