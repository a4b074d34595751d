//! Memory of open jobs: what the nodes admit, and what the scheduler holds.

use std::net::SocketAddr;

use wasabiloft::batch::JobId;
use wasabiloft::batch::job_memory::{self, Gate, Nodes, Room};
use wasabiloft::batch::record;
use wasabiloft::batch::scheduler::{Output, RecoveredState, Scheduler};
use wasabiloft::batch::worker_state;
use wasabiloft::clock::Instant;

use crate::fake_pair::{self, JOB, TASK};
use crate::fake_workers::{accepted, config, settings, step};

const MIB: u64 = 1_024 * 1_024;

/// Returns the room of a node that shares it with none.
fn alone(bytes: u64) -> Room {
    Room { bytes, nodes: 1 }
}

/// Guards against large jobs that leave no memory for small ones.
#[test]
fn small_jobs_are_admitted_when_large_ones_are_not() {
    let (large_bytes, small_bytes) = (MIB, MIB / 64);
    let mut gate = Gate::new(0);
    assert!(!gate.admit(small_bytes));
    gate.replied(alone(64 * MIB));
    let mut admitted = 0;
    while gate.admit(large_bytes) {
        gate.ended(large_bytes, true);
        admitted += 1;
        assert!(admitted < 64, "the room is limited");
    }
    assert!(admitted > 16);
    for _ in 0..64 {
        assert!(gate.admit(small_bytes));
    }
}

/// Guards against jobs that are admitted beyond the room while they are being stored, or whose outcome is unknown.
#[test]
fn jobs_without_an_outcome_count_as_stored() {
    let mut gate = Gate::new(0);
    gate.replied(alone(100 * MIB));
    let admitted = (0..1_000).filter(|_| gate.admit(MIB)).count();
    assert!((32..100).contains(&admitted), "{admitted}");
    // What certainly wasn't stored makes room, what may be stored doesn't.
    gate.ended(MIB, true);
    assert!(!gate.admit(MIB));
    gate.ended(MIB, false);
    assert!(gate.admit(MIB));
    // A reply counts what was stored, and not what is on its way.
    gate.replied(alone(100 * MIB));
    assert!(gate.admit(MIB));
    let more = (0..1_000).filter(|_| gate.admit(MIB)).count();
    assert_eq!(more, 0);
}

/// Guards against a leader with much memory whose successor, with less, can't hold the jobs that were accepted.
#[test]
fn the_smallest_node_bounds_the_memory_that_all_share() {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let (now, mut nodes) = (Instant::from_ms(1_000), Nodes::default());
    let limit_bytes = job_memory::limit_bytes(1_000);
    assert_eq!(nodes.room(1_000, 0), alone(limit_bytes));
    assert_eq!(nodes.room(1_000, limit_bytes - 1), alone(1));
    assert_eq!(nodes.room(1_000, limit_bytes + 1), alone(0));
    for (port, memory_mib) in [(1, 4_000), (2, 100), (1, 2_000)] {
        nodes.heard(address(port), memory_mib, now);
    }
    let shared = Room {
        bytes: job_memory::limit_bytes(100),
        nodes: 3,
    };
    assert_eq!(nodes.room(1_000, 0), shared);
    // A node that is gone for long doesn't bound it any more.
    nodes.heard(address(1), 2_000, now.after_ms(100_000));
    let room = nodes.room(1_000, 0);
    assert_eq!((room.bytes, room.nodes), (limit_bytes, 2));
}

/// Guards against large jobs that are refused because many nodes share the memory, and against nodes that together admit more
/// than is left.
#[test]
fn many_nodes_admit_large_jobs_and_no_more_than_is_left() {
    let room = Room {
        bytes: 32 * MIB,
        nodes: 150,
    };
    let job_bytes = 100 * 1_024;
    let mut admitted = 0;
    for _ in 0..room.nodes {
        let mut gate = Gate::new(0);
        gate.replied(room);
        let jobs = (0..1_000).take_while(|_| gate.admit(job_bytes)).count();
        assert!(jobs > 0);
        admitted += jobs as u64 * job_bytes;
    }
    assert!(admitted <= room.bytes, "{admitted}");
}

#[test]
fn the_size_of_a_job_grows_with_what_was_submitted() {
    let bytes = |steps| job_memory::job_bytes(&accepted(steps, 3));
    let one = bytes(vec![step(1, &[])]);
    assert!(bytes(vec![step(1, &[]), step(1, &[0; 100])]) > one + 400);
    assert!(bytes(vec![step(1, &[]); 100]) > one + 99 * 200);
    assert!(job_memory::limit_bytes(u64::MAX) > job_memory::limit_bytes(1_024));
}

/// Guards against the memory of ended jobs: nothing is held of what was submitted, and their state is still known.
#[test]
fn ended_jobs_hold_nothing_of_what_was_submitted() {
    let now = Instant::from_ms(1_000);
    let (mut scheduler, worker, _, run) = fake_pair::one_start(now);
    let one = job_memory::job_bytes(&accepted(vec![step(1, &[])], 3));
    assert_eq!(scheduler.open_job_bytes(), one);
    scheduler.job_cancelled(JOB, now, 1);
    assert_eq!(scheduler.open_job_bytes(), 0);
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
    let trimmed_at = now.after_ms(20_000);
    scheduler.tick(trimmed_at, 1);
    // A run under way keeps the job as it is.
    assert_eq!(scheduler.job_state(JOB), Some(record::State::Cancelled));
    scheduler.stop_answered(&worker, TASK, run, trimmed_at);
    let report = |runs| fake_pair::running(runs);
    for after_ms in [100, 200, 10_000] {
        let at = trimmed_at.after_ms(after_ms);
        scheduler.poll_answered(&worker, &report(&[]), at, at, 1);
        scheduler.tick(at, 1);
    }
    scheduler.take_outputs();
    // A run that shows up later is stopped.
    let later = trimmed_at.after_ms(20_000);
    scheduler.poll_answered(&worker, &report(&[(TASK, run)]), later, later, 1);
    let stops = scheduler.take_outputs();
    assert!(
        stops
            .iter()
            .any(|output| matches!(output, Output::Stop { task: TASK, .. })),
        "{stops:?}"
    );
    assert_eq!(scheduler.job_state(JOB), Some(record::State::Cancelled));
}

/// Guards against a completed job that is shown as queued while its end can't be committed.
#[test]
fn a_job_whose_end_is_not_committed_is_shown_as_running() {
    let now = Instant::from_ms(1_000);
    let (mut scheduler, worker, _, run) = fake_pair::one_start(now);
    let mut report = fake_pair::running(&[]);
    report.ended = vec![worker_state::EndedRun {
        number: 1,
        task: TASK,
        run,
        outcome: worker_state::Outcome::Done,
        checkpoint: None,
    }];
    scheduler.poll_answered(&worker, &report, now, now, 1);
    let batch = scheduler.take_batch();
    for after_ms in [0, 10_000, 20_000] {
        scheduler.tick(now.after_ms(after_ms), 1);
        assert_eq!(scheduler.job_state(JOB), Some(record::State::Running));
    }
    scheduler.batch_committed(&batch);
    scheduler.tick(now.after_ms(30_000), 1);
    assert_eq!(scheduler.job_state(JOB), Some(record::State::Completed));
}

/// Guards against a new leader that refuses jobs for those that have ended.
#[test]
fn a_new_leader_counts_open_jobs_only() {
    let now = Instant::from_ms(1_000);
    let jobs = [JobId(1), JobId(2)];
    let recovered = RecoveredState {
        accepted: jobs
            .map(|job| (job, accepted(vec![step(1, &[])], 3)))
            .into(),
        cancelled: vec![jobs[0]],
        ..RecoveredState::default()
    };
    let mut scheduler = Scheduler::new(settings(), 2, config(), recovered, now);
    let one = job_memory::job_bytes(&accepted(vec![step(1, &[])], 3));
    assert_eq!(scheduler.open_job_bytes(), one);
    scheduler.tick(now.after_ms(20_000), 1);
    assert_eq!(scheduler.open_job_bytes(), one);
}
