//! Workers that take no further connection, and commands that don't reach a worker while polls renew its lease.

use wasabiloft::batch::connections::{Connection, Connections, Exchange, SHARED_POLL_WAIT_MS};
use wasabiloft::batch::scheduler::{RecoveredState, Scheduler, StartOutcome};
use wasabiloft::batch::{JobId, TaskId};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::fake_pair::{self, TASK};
use crate::fake_workers::{accepted, config, listing, settings, step};

/// Time after which a poll tries whether a worker takes further connections, in milliseconds.
const TRIAL_MS: u64 = 2_000;

fn disconnected(connections: &mut Connections, at: Instant) {
    let changed = connections.record(Connection::Commands, Exchange::Disconnected, at);
    assert!(changed, "commands use the other connection from now on");
    assert_eq!(connections.for_commands(), Connection::Polls);
}

#[test]
fn commands_share_the_connection_of_polls_until_the_worker_takes_others() {
    let now = Instant::from_ms(1_000);
    let mut connections = Connections::default();
    assert_eq!(connections.for_commands(), Connection::Commands);
    assert!(!connections.is_trial_due(now.after_ms(TRIAL_MS)));

    disconnected(&mut connections, now);
    assert!(!connections.is_trial_due(now.after_ms(TRIAL_MS - 1)));
    let trial = now.after_ms(TRIAL_MS);
    assert!(connections.is_trial_due(trial));
    connections.record(Connection::Polls, Exchange::Answered, trial);
    assert_eq!(connections.for_commands(), Connection::Polls);

    for exchange in [Exchange::Disconnected, Exchange::Unanswered] {
        assert!(!connections.record(Connection::Commands, exchange, trial));
        assert!(!connections.is_trial_due(trial.after_ms(TRIAL_MS - 1)));
    }
    assert!(connections.is_trial_due(trial.after_ms(TRIAL_MS)));
    let changed = connections.record(Connection::Commands, Exchange::Answered, trial);
    assert!(changed);
    assert_eq!(connections.for_commands(), Connection::Commands);
}

/// Guards against a worker that leaves one command unanswered and gets short polls for it.
#[test]
fn a_command_without_an_answer_does_not_share_the_connection_of_polls() {
    let mut connections = Connections::default();
    assert!(!connections.record(Connection::Commands, Exchange::Unanswered, Instant::ZERO));
    assert_eq!(connections.for_commands(), Connection::Commands);
}

/// Guards against commands that wait for a long poll, and against a trial that renews a lease without an answer.
#[test]
fn polls_are_short_while_commands_share_their_connection() {
    let now = Instant::from_ms(1_000);
    let (mut scheduler, worker, _, run) = fake_pair::one_start(now);
    scheduler.start_answered(&worker, TASK, run, StartOutcome::Started, now);
    let poll = |scheduler: &mut Scheduler, at: Instant| {
        let poll = scheduler.next_poll(&worker, at);
        poll.expect("a poll")
    };
    let long = poll(&mut scheduler, now);
    assert!(long.wait_ms > SHARED_POLL_WAIT_MS, "{long:?}");
    assert_eq!(long.connection, Connection::Polls);

    let commands = Connection::Commands;
    scheduler.connection_used(&worker, commands, Exchange::Disconnected, now);
    assert_eq!(scheduler.command_connection(&worker), Connection::Polls);
    let short = poll(&mut scheduler, now);
    assert_eq!(short.wait_ms, SHARED_POLL_WAIT_MS);
    assert_eq!(short.connection, Connection::Polls);
    assert!(short.until_ms.is_some());

    let trial = poll(&mut scheduler, now.after_ms(TRIAL_MS));
    assert_eq!(trial.connection, Connection::Commands);
    assert_eq!((trial.wait_ms, trial.until_ms), (0, None));
    scheduler.connection_used(&worker, commands, Exchange::Answered, now);
    assert_eq!(scheduler.command_connection(&worker), commands);
}

/// Guards against a cancelled task that runs for ever: its worker gets no stop, and its polls renew the lease.
#[test]
fn the_lease_is_not_renewed_while_a_stop_is_not_delivered_for_long() {
    let now = Instant::from_ms(1_000);
    let (mut scheduler, worker, _, run) = fake_pair::one_start(now);
    scheduler.start_answered(&worker, TASK, run, StartOutcome::Started, now);
    let cancelled = now.after_ms(100);
    scheduler.job_cancelled(TASK.job, cancelled, 0);
    let renews = |scheduler: &mut Scheduler, after_ms: u64| {
        let at = cancelled.after_ms(after_ms);
        scheduler.poll_answered(&worker, &fake_pair::running(&[(TASK, run)]), at, at, 0);
        scheduler.tick(at, 0);
        let poll = scheduler.next_poll(&worker, at).expect("a poll");
        poll.until_ms.is_some()
    };
    for after_ms in (0..5_000).step_by(500) {
        assert!(renews(&mut scheduler, after_ms), "{after_ms} ms");
    }
    assert!(!renews(&mut scheduler, 5_000));
    // A stop that gets through keeps the lease of the other runs.
    scheduler.stop_answered(&worker, TASK, run, cancelled.after_ms(5_100));
    assert!(renews(&mut scheduler, 5_200));
}

/// Asserts that the lease of a worker ends if the stop of `task` is not delivered there, to a new leader that takes the task's
/// run over from an earlier one. Another run is sound.
fn assert_inherited_run_is_ended(recovered: RecoveredState, task: TaskId) {
    let now = Instant::from_ms(10_000);
    let worker = id::Worker::new("a");
    let mut scheduler = Scheduler::new(settings(), 2, config(), recovered, now);
    scheduler.worker_listed(listing("a"), now);
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
    scheduler.jobs_read(now.after_ms(1_000));
    let runs = [(fake_pair::TASK, 1), (task, 1)];
    let renews = |scheduler: &mut Scheduler, reported: &[(TaskId, u32)], after_ms: u64| {
        let at = now.after_ms(after_ms);
        scheduler.poll_answered(&worker, &fake_pair::running(reported), at, at, 0);
        scheduler.tick(at, 0);
        let poll = scheduler.next_poll(&worker, at).expect("a poll");
        poll.until_ms.is_some()
    };
    for after_ms in (0..5_000).step_by(500) {
        assert!(renews(&mut scheduler, &runs, after_ms), "{after_ms} ms");
    }
    // The second report shows that no stored job has the run.
    assert!(!renews(&mut scheduler, &runs, 5_500));
    // A stop that gets through keeps the lease of the other run, as does the end of the run.
    scheduler.stop_answered(&worker, task, 1, now.after_ms(5_600));
    assert!(renews(&mut scheduler, &runs, 5_700));
    assert!(renews(&mut scheduler, &runs[..1], 6_200));
}

/// Guards against a cancelled task that runs for ever after a takeover: its stop isn't delivered, and the lease is renewed for
/// other tasks of its worker.
#[test]
fn the_lease_is_not_renewed_for_a_cancelled_run_of_an_earlier_leader() {
    let cancelled = JobId(2);
    let jobs = [fake_pair::JOB, cancelled].map(|job| (job, accepted(vec![step(1, &[])], 3)));
    let recovered = RecoveredState {
        accepted: jobs.into(),
        cancelled: vec![cancelled],
        ..RecoveredState::default()
    };
    let task = TaskId {
        job: cancelled,
        ..fake_pair::TASK
    };
    assert_inherited_run_is_ended(recovered, task);
}

/// Guards against the same for a run of a job that is not stored.
#[test]
fn the_lease_is_not_renewed_for_a_run_that_no_job_knows() {
    let recovered = RecoveredState {
        accepted: vec![(fake_pair::JOB, accepted(vec![step(1, &[])], 3))],
        ..RecoveredState::default()
    };
    let task = TaskId {
        job: JobId(2),
        ..fake_pair::TASK
    };
    assert_inherited_run_is_ended(recovered, task);
}
