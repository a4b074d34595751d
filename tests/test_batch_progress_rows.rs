//! Progress rows of large jobs: their sizes, what a new leader reads from them, and rows that the store refuses.

use proptest::{prop_assert, prop_assert_eq, proptest};
use wasabiloft::batch::progress_rows::{self, Key, Layout};
use wasabiloft::batch::scheduler::{RecoveredState, Scheduler};
use wasabiloft::batch::{JobId, TaskId, record, worker_state};
use wasabiloft::clock::Instant;
use wasabiloft::id;

use crate::fake_workers::{ROW_BYTES, accepted, config, listing, settings, step};

const JOB: JobId = JobId(9);
const TASKS: u32 = 1_000;

fn task(index: u32) -> TaskId {
    TaskId {
        job: JOB,
        occurrence: 0,
        step: 0,
        index,
    }
}

fn run(index: u32) -> worker_state::Run {
    worker_state::Run {
        task: task(index),
        run: 1,
        checkpoint: Some(format!("checkpoint-{index:05}")),
        percent: 30,
        usage: 0,
    }
}

fn done(number: u64, index: u32) -> worker_state::EndedRun {
    worker_state::EndedRun {
        number,
        task: task(index),
        run: 1,
        outcome: worker_state::Outcome::Done,
        checkpoint: None,
    }
}

fn report(
    running: Vec<worker_state::Run>,
    ended: Vec<worker_state::EndedRun>,
) -> worker_state::Report {
    worker_state::Report {
        clock_ms: 5,
        started_unix_ms: Some(1),
        running,
        ended,
        unreadable_runs: 0,
        unreadable_ends: 0,
    }
}

fn rows_of(batch: &record::WriteBatch) -> Vec<(Key, record::Progress)> {
    for (key, progress) in &batch.progress {
        let bytes = serde_json::to_vec(progress).expect("a row").len() as u64;
        assert!(bytes <= ROW_BYTES, "{key}: {bytes} bytes");
    }
    batch.progress.clone()
}

/// Returns a scheduler with a job of many tasks, all of which run on worker `a` and have a checkpoint.
fn large(progress: Vec<(Key, record::Progress)>, now: Instant) -> Scheduler {
    let recovered = RecoveredState {
        accepted: vec![(JOB, accepted(vec![step(TASKS, &[])], 3))],
        progress,
        ..RecoveredState::default()
    };
    let mut scheduler = Scheduler::new(settings(), 2, config(), recovered, now);
    scheduler.worker_listed(listing("a"), now);
    scheduler
}

fn commit(scheduler: &mut Scheduler) -> record::WriteBatch {
    let batch = scheduler.take_batch();
    scheduler.batch_committed(&batch);
    batch
}

/// Guards against a row of the whole job, which the store refuses: one end writes a row of bounded size.
#[test]
fn the_end_of_a_task_of_a_large_job_writes_rows_within_the_limit() {
    let now = Instant::from_ms(1_000);
    let a = id::Worker::new("a");
    let mut scheduler = large(Vec::new(), now);
    let running = (1..TASKS).map(run).collect();
    scheduler.poll_answered(&a, &report(running, vec![done(1, 0)]), now, now, 0);
    let rows = rows_of(&commit(&mut scheduler));
    assert_eq!(rows.len(), 1, "{rows:?}");
    assert_eq!(rows[0].0, JOB.into());

    let running = (1..TASKS - 1).map(run).collect();
    scheduler.poll_answered(&a, &report(running, vec![done(2, TASKS - 1)]), now, now, 0);
    let batch = commit(&mut scheduler);
    let rows = rows_of(&batch);
    assert!(rows.len() == 1 && rows[0].0.part > 0, "{rows:?}");
    assert_eq!(batch.acknowledge[&a].number, 2);
}

/// Guards against progress that is lost, or written by one layout and read by another.
#[test]
fn a_new_leader_reads_all_rows_of_a_large_job() {
    let now = Instant::from_ms(1_000);
    let a = id::Worker::new("a");
    let mut first = large(Vec::new(), now);
    let ends: Vec<_> = (0..TASKS).step_by(2).collect();
    let ended = (1..).zip(&ends).map(|(number, index)| done(number, *index));
    let ended: Vec<_> = ended.collect();
    for ended in ended.chunks(400) {
        first.poll_answered(&a, &report(vec![], ended.to_vec()), now, now, 0);
    }
    let mut stored = rows_of(&commit(&mut first));
    assert!(stored.len() > 1);

    // Rows of an earlier job with the same id are ignored.
    let mut stale = stored.last().expect("a row").clone();
    stale.0.part += 1;
    stale.1.submitted_unix_ms += 1;
    stale.1.done[0].indexes = vec![TASKS - 1];
    stored.push(stale);
    let mut second = large(stored, now);
    let rest: Vec<_> = (1..TASKS).step_by(2).collect();
    let ended = (1..).zip(&rest).map(|(number, index)| done(number, *index));
    let ended: Vec<_> = ended.collect();
    let (last, ended) = ended.split_last().expect("ends");
    for ended in ended.chunks(400) {
        second.poll_answered(&a, &report(vec![], ended.to_vec()), now, now, 0);
    }
    commit(&mut second);
    assert_eq!(second.job_state(JOB), Some(record::State::Running));
    second.poll_answered(&a, &report(vec![], vec![last.clone()]), now, now, 0);
    commit(&mut second);
    assert_eq!(second.job_state(JOB), Some(record::State::Completed));
    let batch = commit(&mut second);
    assert!(batch.progress_deleted.iter().all(|key| key.part > 0));
    assert!(!batch.progress_deleted.is_empty());
}

/// Guards against the loss of progress of an earlier version, which wrote all of a job in its first row.
#[test]
fn a_single_row_of_an_earlier_version_is_divided_before_it_is_overwritten() {
    let now = Instant::from_ms(1_000);
    let everything = record::Progress {
        state: record::State::Running,
        done: vec![record::Done {
            occurrence: 0,
            step: 0,
            indexes: (0..TASKS - 1).collect(),
        }],
        ..record::Progress::default()
    };
    let mut scheduler = large(vec![(JOB.into(), everything)], now);
    let a = id::Worker::new("a");
    let batch = scheduler.take_batch();
    let rows = rows_of(&batch);
    assert!(rows.iter().all(|(key, _)| key.part > 0));
    let moved: usize = rows
        .iter()
        .flat_map(|(_, row)| &row.done)
        .map(|done| done.indexes.len())
        .sum();
    scheduler.batch_committed(&batch);
    scheduler.poll_answered(&a, &report(vec![], vec![done(1, TASKS - 1)]), now, now, 0);
    assert!(moved > 0);
    let batch = commit(&mut scheduler);
    let (key, first) = &batch.progress[0];
    assert_eq!((*key, first.state), (JOB.into(), record::State::Completed));
}

/// Guards against one row that the store refuses keeping all others from being written.
#[test]
fn a_refused_row_holds_back_acknowledgements_and_nothing_else() {
    let now = Instant::from_ms(1_000);
    let a = id::Worker::new("a");
    let mut scheduler = large(Vec::new(), now);
    scheduler.job_accepted(JobId(8), accepted(vec![step(1, &[])], 3), now);
    let other = TaskId {
        job: JobId(8),
        ..task(0)
    };
    let other_done = worker_state::EndedRun {
        task: other,
        ..done(2, 0)
    };
    let ended = vec![done(1, 0), other_done];
    scheduler.poll_answered(&a, &report(vec![], ended), now, now, 0);
    let mut batch = scheduler.take_batch();
    scheduler.rows_refused(&mut batch, |table, key| {
        table == record::PROGRESS_TABLE && key == JOB.to_string()
    });
    scheduler.batch_committed(&batch);
    assert_eq!(
        scheduler.job_state(JobId(8)),
        Some(record::State::Completed)
    );
    assert!(batch.acknowledge.is_empty());
    let later = worker_state::EndedRun {
        number: 3,
        ..done(3, 1)
    };
    scheduler.poll_answered(&a, &report(vec![], vec![later]), now, now, 0);
    scheduler.tick(now.after_ms(6_000), 0);
    let batch = commit(&mut scheduler);
    assert!(batch.progress.iter().any(|(key, _)| *key == JOB.into()));
    assert_eq!(batch.acknowledge[&a].number, 3);
}

/// Guards against long checkpoints, without which a row must be written.
#[test]
fn checkpoints_that_do_not_fit_in_a_row_are_left_out() {
    let record = |index| record::TaskRecord {
        occurrence: 0,
        step: 0,
        index,
        failed_runs: vec![3],
        checkpoint: Some("c".repeat(20_000)),
        crashes: Vec::new(),
    };
    let mut progress = record::Progress {
        tasks: (0..4).map(record).collect(),
        ..record::Progress::default()
    };
    progress_rows::shrink(&mut progress, ROW_BYTES);
    assert!(progress.tasks.iter().all(|task| task.checkpoint.is_none()));
    assert!(progress.tasks.iter().all(|task| task.failed_runs == [3]));
}

proptest! {
    #![proptest_config(crate::fixed_seed(300))]

    /// Guards against tasks that no row holds, or two.
    #[test]
    fn each_task_is_in_the_row_that_its_layout_names(
        steps in proptest::collection::vec(0_u32..300, 1..6),
        attempts_max in 0_u32..2_000,
        part in 0_u32..20,
    ) {
        let layout = Layout::new(steps.iter().copied(), attempts_max, ROW_BYTES);
        let key = Key { job: JOB, part };
        let tasks: Vec<TaskId> = layout.tasks(key).collect();
        prop_assert!(!tasks.is_empty());
        for task in &tasks {
            prop_assert_eq!(layout.part(task), part);
        }
        prop_assert_eq!(key.to_string().parse::<Key>(), Ok(key));
    }
}
