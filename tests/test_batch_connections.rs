//! Workers that take no further connection, and commands that don't reach a worker while polls renew its lease.

use wasabiloft::batch::connections::{Connection, Connections, Exchange, SHARED_POLL_WAIT_MS};
use wasabiloft::batch::scheduler::{Scheduler, StartOutcome};
use wasabiloft::clock::Instant;

use crate::fake_pair::{self, TASK};

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
