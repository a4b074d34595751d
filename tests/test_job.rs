//! Tests of job rows and of the group commit of submissions on entry nodes.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use wasabiloft::clock;
use wasabiloft::document;
use wasabiloft::id;
use wasabiloft::job::submission::{self, Answer, Batcher, Caller, Output, Refusal};
use wasabiloft::job::{Reason, Row, Spec, State, inbox, row, spec};
use wasabiloft::platform;

fn job_spec(key: &str, urgency: document::Urgency) -> Spec {
    Spec {
        team: id::Team::from("tabua"),
        key: key.to_owned(),
        class: "rebuild".to_owned(),
        urgency,
        idempotent: true,
        checkpointable: true,
        declared: platform::Resources {
            cpu_milli: 1_000,
            memory_mib: 1_000,
            accelerators: 0,
        },
        declared_run_ms: 1_000,
        command: "rebuild".to_owned(),
    }
}

fn batcher() -> Batcher {
    Batcher::new(id::Node::from("entry-0"), "1".to_owned())
}

fn commits(outputs: &[Output]) -> Vec<(submission::Token, platform::Txn)> {
    let commit = |output: &Output| match output {
        Output::Commit { token, txn } => Some((*token, txn.clone())),
        _ => None,
    };
    outputs.iter().filter_map(commit).collect()
}

fn answers(outputs: &[Output]) -> Vec<(Caller, Answer)> {
    let answer = |output: &Output| match output {
        Output::Answer { caller, answer } => Some((*caller, *answer)),
        _ => None,
    };
    outputs.iter().filter_map(answer).collect()
}

fn committed(txn: &platform::Txn) -> platform::Outcome {
    platform::Outcome::Committed(platform::Committed {
        versions: vec![1; txn.writes.len()],
    })
}

#[test]
fn a_disallowed_transition_fails_and_leaves_the_row_unchanged() {
    let mut row = Row::new(job_spec("a", document::Urgency::Batch), 1);
    let ended = State::Ended(row::End::Finished);
    row.change(2, ended, Reason::Finished)
        .expect("a queued job can end");
    let before = row.clone();
    for state in [State::Queued, State::Parked { fits: None }] {
        assert!(row.change(3, state, Reason::Placed).is_err());
    }
    assert_eq!(row, before);
    assert_eq!(row.reason(), Reason::Finished);
}

#[test]
fn a_long_history_keeps_its_first_entry_and_counts_dropped_entries() {
    let mut row = Row::new(job_spec("a", document::Urgency::Batch), 1);
    for at in 0..100 {
        let parked = State::Parked { fits: None };
        row.change(at, parked, Reason::NoQuota)
            .expect("a queued job can be parked");
        row.change(at, State::Queued, Reason::MayRunNow)
            .expect("a parked job can be queued");
    }
    assert_eq!(row.history[0].reason, Reason::Submitted);
    assert_eq!(row.history.len() as u32 + row.history_dropped, 201);
}

#[test]
fn a_submission_is_answered_only_when_committed() {
    let mut batcher = batcher();
    let now = clock::Instant::ZERO;
    let outputs = batcher.submit(now, 0, Caller(1), job_spec("a", document::Urgency::Normal));
    assert!(answers(&outputs).is_empty());
    let (token, txn) = commits(&outputs).remove(0);
    assert_eq!(txn.checks[0].version, 0);
    let outputs = batcher.settled(now, token, &committed(&txn));
    assert_eq!(answers(&outputs), [(Caller(1), Answer::Accepted)]);
    assert!(outputs.contains(&Output::NotifyLeader));
}

#[test]
fn a_repeated_submission_is_answered_exists_and_the_others_are_resent() {
    let mut batcher = batcher();
    let now = clock::Instant::ZERO;
    let first = batcher.submit(
        now,
        0,
        Caller(0),
        job_spec("first", document::Urgency::Normal),
    );
    let (token, _) = commits(&first).remove(0);
    for (caller, key) in [(1, "new"), (2, "repeat")] {
        batcher.submit(
            now,
            0,
            Caller(caller),
            job_spec(key, document::Urgency::Normal),
        );
    }
    let outputs = batcher.settled(now, token, &platform::Outcome::Unknown);
    assert_eq!(answers(&outputs), [(Caller(0), Answer::Unknown)]);
    let later = now.after_ms(60);
    let (token, _) = commits(&batcher.tick(later)).remove(0);
    let refused = platform::Outcome::Refused(platform::Refused {
        key: id::Key::from("job/tabua:repeat"),
        version: 7,
    });
    let outputs = batcher.settled(later, token, &refused);
    assert_eq!(answers(&outputs), [(Caller(2), Answer::Exists)]);
    let (token, txn) = commits(&outputs).remove(0);
    let outputs = batcher.settled(later, token, &committed(&txn));
    assert_eq!(answers(&outputs), [(Caller(1), Answer::Accepted)]);
}

#[test]
fn a_queue_full_of_batch_work_still_accepts_urgent_work_and_commits_it_first() {
    let mut batcher = batcher();
    let now = clock::Instant::ZERO;
    let mut refused = 0;
    let mut first = None;
    for number in 0..5_000 {
        let spec = job_spec(&format!("batch-{number}"), document::Urgency::Batch);
        let outputs = batcher.submit(now, 0, Caller(number), spec);
        first = first.or(commits(&outputs).pop());
        let full = Answer::Refused(Refusal::QueueFull);
        refused += answers(&outputs)
            .iter()
            .filter(|(_, answer)| *answer == full)
            .count();
    }
    assert!(refused > 2_000);
    let outputs = batcher.submit(
        now,
        0,
        Caller(9_999),
        job_spec("urgent", document::Urgency::Urgent),
    );
    assert!(answers(&outputs).is_empty());
    let (token, txn) = first.expect("the first submission is sent at once");
    batcher.settled(now, token, &committed(&txn));
    let (_, txn) = commits(&batcher.tick(now.after_ms(60))).remove(0);
    assert_eq!(txn.writes[0].key.as_str(), "job/tabua:urgent");
    assert!(txn.writes.len() <= platform::TXN_ROWS_MAX);
}

#[test]
fn only_the_owner_cancels_and_only_ended_jobs_are_removed() {
    let mut row = Row::new(job_spec("a", document::Urgency::Batch), 1);
    let owner = id::Team::from("tabua");
    let other = id::Team::from("cadenas");
    assert_eq!(
        submission::owner_request(&row, &other),
        Err(Refusal::NotOwner)
    );
    let job = row.spec.job();
    let cancel = inbox::Entry::Cancel(job.clone());
    assert_eq!(submission::owner_request(&row, &owner), Ok(cancel));
    let ended = State::Ended(row::End::Cancelled);
    row.change(2, ended, Reason::Cancelled)
        .expect("a queued job can end");
    assert_eq!(
        submission::owner_request(&row, &owner),
        Ok(inbox::Entry::Remove(job))
    );
}

#[test]
fn malformed_submissions_are_refused_and_name_the_field() {
    let mut bad = job_spec("a/b", document::Urgency::Batch);
    let error = bad.validate().expect_err("a slash is not allowed");
    assert!(error.to_string().starts_with("key "));
    bad.key = "a".to_owned();
    bad.declared.memory_mib = 0;
    assert_eq!(bad.validate(), Err(spec::Error::Declared));
}

proptest! {
    #![proptest_config(crate::fixed_seed(96))]

    /// Each caller gets exactly one answer, and every job answered as accepted or existing is in the table.
    #[test]
    fn answers_match_the_committed_rows(steps in prop::collection::vec((0u8..4, 0u16..40), 1..200)) {
        let mut batcher = batcher();
        let mut now = clock::Instant::ZERO;
        let mut table: BTreeSet<String> = BTreeSet::new();
        let mut keys: BTreeMap<Caller, String> = BTreeMap::new();
        let mut answered: BTreeMap<Caller, Answer> = BTreeMap::new();
        let mut pending: Vec<(submission::Token, platform::Txn)> = Vec::new();
        for (step, number) in steps {
            let mut outputs = match step {
                0 | 1 => {
                    let caller = Caller(keys.len() as u64);
                    let spec = job_spec(&format!("job-{number}"), document::Urgency::Normal);
                    keys.insert(caller, spec::row_key(&spec.job()).to_string());
                    batcher.submit(now, 0, caller, spec)
                }
                2 => {
                    now = now.after_ms(u64::from(number) * 50);
                    batcher.tick(now)
                }
                _ => Vec::new(),
            };
            if step == 3 && let Some((token, txn)) = pending.pop() {
                let existing = txn.checks.iter().find(|check| table.contains(check.key.as_str()));
                let outcome = match existing {
                    Some(check) => platform::Outcome::Refused(platform::Refused {
                        key: check.key.clone(),
                        version: 1,
                    }),
                    None => {
                        table.extend(txn.checks.iter().map(|check| check.key.to_string()));
                        committed(&txn)
                    }
                };
                outputs.extend(batcher.settled(now, token, &outcome));
            }
            pending.extend(commits(&outputs));
            for (caller, answer) in answers(&outputs) {
                prop_assert!(answered.insert(caller, answer).is_none());
                let stored = table.contains(&keys[&caller]);
                match answer {
                    Answer::Accepted | Answer::Exists => prop_assert!(stored),
                    Answer::Refused(_) | Answer::Unknown => {}
                }
            }
        }
        prop_assert_eq!(keys.len(), answered.len() + batcher.len());
    }
}
