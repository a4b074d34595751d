//! Tombstones in the rows of jobs that were cancelled before they were stored.

use wasabiloft::batch::record::{JobKey, Tombstone, job_partition};
use wasabiloft::batch::submissions::{
    Action, Answer, Batch, Found, Outcome, Queues, Reason, Ticket, View,
};
use wasabiloft::batch::tombstones::{Budget, KEEP_MS, Tombstones};
use wasabiloft::batch::{JobId, tombstones};
use wasabiloft::clock::Instant;

const NOW: Instant = Instant::from_ms(1_000);
const DEADLINE_MS: u64 = 2_900;

/// Two jobs of one partition.
fn jobs() -> [JobId; 2] {
    let first = JobId(1);
    let is_near = |job: &JobId| job_partition(*job) == job_partition(first);
    let second = (2..400).map(JobId).find(is_near);
    [first, second.expect("a job of the same partition")]
}

/// Queues with the submissions of two jobs in one transaction.
fn in_flight() -> (Queues, [Ticket; 2], Batch) {
    let mut queues = Queues::default();
    let deadline = NOW.after_ms(DEADLINE_MS);
    let tickets = jobs().map(|job| queues.add(NOW, JobKey::Accepted(job), 100, deadline));
    let batch = sent(&poll(&mut queues)).expect("a transaction");
    assert_eq!(batch.tickets, tickets);
    (queues, tickets, batch)
}

fn poll(queues: &mut Queues) -> Vec<Action> {
    let view = View {
        can_forward: false,
        store_away: false,
    };
    queues.poll(NOW, view)
}

fn sent(actions: &[Action]) -> Option<Batch> {
    actions.iter().find_map(|action| match action {
        Action::Send(batch) => Some(batch.clone()),
        _ => None,
    })
}

fn answers(actions: &[Action]) -> Vec<(Ticket, Answer)> {
    let answers = actions.iter().filter_map(|action| match action {
        Action::Answer(ticket, answer) => Some((*ticket, *answer)),
        _ => None,
    });
    answers.collect()
}

const CANCELLED: Answer = Answer::NotRun(Reason::Cancelled);

/// Guards against a tombstone that is taken for an accepted job, and against a transaction that fails for the others in it.
#[test]
fn a_submission_whose_row_holds_a_tombstone_is_refused_alone() {
    let (mut queues, [first, second], batch) = in_flight();
    let outcome = Outcome::CheckFailed {
        existing: Vec::new(),
        cancelled: vec![JobKey::Accepted(jobs()[0])],
    };
    queues.transaction_ended(NOW, batch.id, outcome, 0);
    let actions = poll(&mut queues);
    assert_eq!(answers(&actions), [(first, CANCELLED)]);
    let batch = sent(&actions).expect("a transaction");
    assert_eq!(batch.tickets, [second]);
    queues.transaction_ended(NOW, batch.id, Outcome::Committed(7), 0);
    let actions = poll(&mut queues);
    assert_eq!(answers(&actions), [(second, Answer::Committed(7))]);
}

/// Guards against the same after a transaction without a response, and against an attempt that waits at the node.
#[test]
fn an_unknown_outcome_is_settled_by_a_tombstone() {
    let (mut queues, [first, second], batch) = in_flight();
    let deadline = NOW.after_ms(DEADLINE_MS);
    let again = queues.add(NOW, JobKey::Accepted(jobs()[0]), 100, deadline);
    queues.transaction_ended(NOW, batch.id, Outcome::NoResponse, 0);
    poll(&mut queues);
    queues.read_ended(NOW, first, Some(Found::Tombstone));
    queues.read_ended(NOW, second, Some(Found::Entry));
    let actions = poll(&mut queues);
    assert_eq!(
        answers(&actions),
        [
            (first, CANCELLED),
            (again, CANCELLED),
            (second, Answer::Exists)
        ]
    );
}

/// Guards against callers who fill the store by cancelling ids that nobody submitted.
#[test]
fn a_node_writes_a_bounded_number_of_tombstones() {
    let mut budget = Budget::default();
    let taken =
        |budget: &mut Budget, at: Instant| (0..10_000).filter(|_| budget.try_take(at)).count();
    let first = taken(&mut budget, NOW);
    assert!((1..=1_000).contains(&first), "{first}");
    assert_eq!(taken(&mut budget, NOW.after_ms(KEEP_MS - 1)), 0);
    assert_eq!(taken(&mut budget, NOW.after_ms(KEEP_MS)), first);
}

/// Guards against tombstones that stay, and against one that is removed while a submission may still be written.
#[test]
fn tombstones_are_removed_once_no_submission_can_be_written() {
    let mut tombstones = Tombstones::default();
    let [first, second] = jobs();
    tombstones.read(first, 3, NOW);
    tombstones.read(second, 4, NOW.after_ms(10));
    // The row was written again, after its removal.
    tombstones.read(first, 5, NOW.after_ms(20));
    tombstones.read(first, 3, NOW.after_ms(30));
    let end = NOW.after_ms(tombstones::KEEP_MS);
    assert_eq!(tombstones.take_expired(8, end.after_ms(9)), []);
    assert_eq!(tombstones.take_expired(8, end.after_ms(10)), [(second, 4)]);
    tombstones.put_back(second, 4, 100, end.after_ms(10));
    assert_eq!(tombstones.take_expired(8, end.after_ms(20)), [(first, 5)]);
    assert_eq!(tombstones.take_expired(8, end.after_ms(110)), [(second, 4)]);
    assert_eq!(tombstones.take_expired(8, end.after_ms(10_000)), []);
}

/// Guards against a row of a job that is taken for a tombstone.
#[test]
fn only_a_tombstone_is_read_as_one() {
    let tombstone = Tombstone {
        cancelled_unix_ms: 5,
    };
    let text = serde_json::to_vec(&tombstone).expect("JSON");
    assert!(Tombstone::is_in(&text));
    for text in ["{}", r#"{"cancelled_unix_ms":5,"spec":{}}"#, "", "null"] {
        assert!(!Tombstone::is_in(text.as_bytes()), "{text}");
    }
}
