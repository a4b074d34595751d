//! Tests of at-most-once execution: seeded simulations with faults, each safety rule disabled, and single rules.

use proptest::prelude::*;
use wasabiloft::clock;
use wasabiloft::id;
use wasabiloft::idempotency;
use wasabiloft::idempotency::message;
use wasabiloft::idempotency::message::{Input, Message, Output};
use wasabiloft::idempotency::node;
use wasabiloft::idempotency::view;
use wasabiloft::platform;
use wasabiloft::roster;
use wasabiloft::verdict;

use crate::fixed_seed;
use crate::keys_world;

fn plan() -> keys_world::Plan {
    keys_world::Plan {
        nodes: 5,
        faulty_ms: 12_000,
        keys_per_s: 20,
        repeat: 0.5,
        loss: 0.05,
        duplicate: 0.05,
        reply_loss: 0.05,
        kill_every_ms: 4_000,
        pause_every_ms: 4_000,
        outages: vec![(4_000, 11_000)],
        cut_nodes: Vec::new(),
        isolated_nodes: Vec::new(),
        settings: idempotency::Settings::default(),
    }
}

/// Which nodes an outage affects, and what they can't reach.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// No node reaches the table.
    All,
    /// A majority of the nodes can't reach the table.
    FromTable,
    /// A minority of the nodes reaches neither the table nor the other nodes.
    FromAll,
}

/// Returns true if an invariant is violated under any seed below `seeds`.
fn has_violation(plan: &keys_world::Plan, seeds: u64) -> bool {
    (0..seeds).any(|seed| !keys_world::run(plan.clone(), seed).violations.is_empty())
}

proptest! {
    #![proptest_config(fixed_seed(24))]

    #[test]
    fn no_key_runs_twice_under_faults(
        seed in any::<u64>(),
        nodes in 1_usize..8,
        loss in 0.0..0.3,
        duplicate in 0.0..0.3,
        reply_loss in 0.0..0.3,
        cut in prop_oneof![Just(Cut::All), Just(Cut::FromTable), Just(Cut::FromAll)],
    ) {
        let mut plan = plan();
        plan.nodes = nodes;
        plan.loss = loss;
        plan.duplicate = duplicate;
        plan.reply_loss = reply_loss;
        match cut {
            Cut::All => {}
            Cut::FromTable => plan.cut_nodes = (0..nodes / 2 + 1).collect(),
            Cut::FromAll => plan.isolated_nodes = (nodes / 2 + 1..nodes).collect(),
        }
        let report = keys_world::run(plan, seed);
        prop_assert_eq!(report.violations, Vec::<String>::new());
    }
}

/// Guards against a key being freed twice: during an outage the key was freed and granted again while the write of its
/// first claim was in progress, and the end of the first attempt was reported again to the next owner.
#[test]
fn late_release_does_not_free_a_key_that_was_granted_again() {
    let mut plan = plan();
    plan.faulty_ms = 10_000;
    plan.keys_per_s = 30;
    plan.repeat = 0.3;
    plan.kill_every_ms = 2_500;
    plan.pause_every_ms = 2_500;
    plan.outages = vec![(3_333, 10_000)];
    let report = keys_world::run(plan, 21);
    assert_eq!(report.violations, Vec::<String>::new());
}

#[test]
fn first_attempts_run_through_an_outage() {
    let mut plan = plan();
    plan.repeat = 0.0;
    plan.loss = 0.0;
    plan.duplicate = 0.0;
    plan.reply_loss = 0.0;
    plan.kill_every_ms = 0;
    plan.pause_every_ms = 0;
    let report = keys_world::run(plan, 7);
    assert!(report.outage_first > 100, "{report:?}");
    assert_eq!(report.first_ran, report.first);
    assert_eq!(report.outage_first_ran, report.outage_first);
}

#[test]
fn without_suspect_shards_a_key_runs_twice() {
    let mut plan = plan();
    plan.kill_every_ms = 800;
    plan.settings.guards.suspect = false;
    assert!(has_violation(&plan, 40));
}

#[test]
fn without_loading_a_key_runs_twice() {
    let mut plan = plan();
    plan.faulty_ms = 30_000;
    plan.outages = (1..6).map(|n| (5_000 * n, 5_000 * n + 2_500)).collect();
    plan.kill_every_ms = 2_000;
    plan.settings.guards.load = false;
    assert!(has_violation(&plan, 40));
}

#[test]
fn without_a_majority_a_key_runs_twice() {
    let mut plan = plan();
    plan.isolated_nodes = vec![3, 4];
    plan.settings.guards.majority = false;
    assert!(has_violation(&plan, 40));
}

/// A single node with a table that answers immediately.
struct SingleNode {
    node: node::Node,
    now_ms: u64,
    versions: u64,
    view_replaced: bool,
}

impl SingleNode {
    fn new() -> Self {
        Self::with(idempotency::Settings::default())
    }

    fn with(settings: idempotency::Settings) -> Self {
        let me = roster::NodeId {
            node: "entry-1".into(),
            incarnation: roster::Incarnation(1),
        };
        let mut single = Self {
            node: node::Node::new(me.clone(), settings),
            now_ms: 0,
            versions: 0,
            view_replaced: false,
        };
        single.handle(Input::Roster(vec![me]));
        for _ in 0..100 {
            single.advance(20);
        }
        assert!(single.node.is_ready());
        single
    }

    fn advance(&mut self, ms: u64) -> Vec<message::Decision> {
        self.now_ms += ms;
        self.handle(Input::Tick)
    }

    fn request(&mut self, number: u64, key: &str, fingerprint: u64) -> Vec<message::Decision> {
        let key = message::Key {
            service: "billing".into(),
            text: key.into(),
        };
        let deadline = clock::Instant::from_ms(self.now_ms + 1_000);
        let mut decisions = self.handle(Input::Request {
            number,
            key,
            fingerprint,
            deadline,
        });
        decisions.extend(self.advance(200));
        decisions
    }

    fn end(&mut self, number: u64, end: message::End) {
        self.handle(Input::End { number, end });
        self.advance(1_000);
    }

    fn handle(&mut self, input: Input) -> Vec<message::Decision> {
        let mut decisions = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let now = clock::Instant::from_ms(self.now_ms);
            for output in self.node.handle(now, input) {
                match output {
                    Output::Decide { decision, .. } => decisions.push(decision),
                    Output::Transact { token, txn } => inputs.push(self.commit(token, &txn)),
                    Output::ReadRow { key } => inputs.push(Input::Row { key, row: None }),
                    Output::Scan {
                        view,
                        prefix,
                        after,
                        ..
                    } => inputs.push(Input::Rows {
                        view,
                        prefix,
                        after,
                        rows: Vec::new(),
                    }),
                    Output::Send { message, .. } => panic!("unexpected message: {message:?}"),
                }
            }
        }
        decisions
    }

    fn commit(&mut self, token: u64, txn: &platform::Txn) -> Input {
        let key = id::Key::from(view::ROW_KEY);
        if self.view_replaced && txn.checks.iter().any(|check| check.key == key) {
            let refused = platform::Refused { key, version: 99 };
            let outcome = platform::Outcome::Refused(refused);
            return Input::Outcome { token, outcome };
        }
        let mut versions = Vec::new();
        for write in &txn.writes {
            self.versions += 1;
            versions.push(write.value.as_ref().map_or(0, |_| self.versions));
        }
        let outcome = platform::Outcome::Committed(platform::Committed { versions });
        Input::Outcome { token, outcome }
    }
}

fn refusal(reason: verdict::Reason) -> message::Decision {
    message::Decision::Refuse(verdict::Verdict::MayHaveRun, reason)
}

#[test]
fn repeat_gets_the_first_answer() {
    let mut single = SingleNode::new();
    let answer = message::Answer {
        status: 201,
        content_type: None,
        body: "reserved".to_string(),
    };
    assert_eq!(single.request(1, "a", 9), vec![message::Decision::Run]);
    single.end(1, message::End::Ran(Some(answer.clone())));
    assert_eq!(
        single.request(2, "a", 9),
        vec![message::Decision::Replay(answer)]
    );
}

#[test]
fn repeat_during_the_first_attempt_is_refused() {
    let mut single = SingleNode::new();
    assert_eq!(single.request(1, "a", 9), vec![message::Decision::Run]);
    assert_eq!(
        single.request(2, "a", 9),
        vec![refusal(verdict::Reason::KeyInProgress)]
    );
}

#[test]
fn another_request_under_the_key_is_refused() {
    let mut single = SingleNode::new();
    assert_eq!(single.request(1, "a", 9), vec![message::Decision::Run]);
    assert_eq!(
        single.request(2, "a", 10),
        vec![refusal(verdict::Reason::KeyMismatch)]
    );
}

#[test]
fn key_that_did_not_run_is_free_again() {
    let mut single = SingleNode::new();
    assert_eq!(single.request(1, "a", 9), vec![message::Decision::Run]);
    single.end(1, message::End::NotRun);
    assert_eq!(single.request(2, "a", 9), vec![message::Decision::Run]);
}

#[test]
fn owner_of_an_old_view_grants_nothing() {
    let mut single = SingleNode::new();
    single.view_replaced = true;
    assert_eq!(single.request(1, "a", 9), Vec::new());
    assert_eq!(
        single.advance(1_000),
        vec![refusal(verdict::Reason::KeyUnclaimed)]
    );
}

#[test]
fn without_the_view_check_the_owner_of_an_old_view_grants() {
    let mut settings = idempotency::Settings::default();
    settings.guards.view_check = false;
    let mut single = SingleNode::with(settings);
    single.view_replaced = true;
    assert_eq!(single.request(1, "a", 9), vec![message::Decision::Run]);
}

#[test]
fn key_expires() {
    let mut single = SingleNode::new();
    assert_eq!(single.request(1, "a", 9), vec![message::Decision::Run]);
    single.end(1, message::End::MayHaveRun);
    assert_eq!(
        single.request(2, "a", 9),
        vec![refusal(verdict::Reason::KeyMayHaveRun)]
    );
    single.advance(2 * clock::HOUR_MS);
    single.advance(1_000);
    assert_eq!(single.node.sizes().owned, 0);
    assert_eq!(single.request(3, "a", 9), vec![message::Decision::Run]);
}

#[test]
fn memory_is_bounded() {
    let mut single = SingleNode::with(idempotency::Settings {
        entries_max: 3,
        ..idempotency::Settings::default()
    });
    for number in 0..3 {
        let key = format!("k{number}");
        assert_eq!(
            single.request(number, &key, 1),
            vec![message::Decision::Run]
        );
    }
    assert_eq!(
        single.request(3, "k3", 1),
        vec![refusal(verdict::Reason::KeyUnclaimed)]
    );
}

#[test]
fn sealed_view_accepts_no_replicas() {
    let member = |incarnation| roster::NodeId {
        node: "entry".into(),
        incarnation: roster::Incarnation(incarnation),
    };
    let mut node = node::Node::new(member(1), idempotency::Settings::default());
    let view = view::View {
        number: 4,
        members: vec![member(1), member(2)],
        suspect: Vec::new(),
        departed: Vec::new(),
    };
    let row = platform::Row {
        key: view::ROW_KEY.into(),
        version: 9,
        value: serde_json::to_string(&view).unwrap(),
    };
    let now = clock::Instant::ZERO;
    node.handle(
        now,
        Input::Row {
            key: view::ROW_KEY.into(),
            row: Some(row),
        },
    );
    let peer = |message| Input::Peer {
        from: member(2),
        message,
    };
    let claim = message::Claim {
        id: message::ClaimId {
            requester: member(2),
            number: 1,
        },
        key: message::Key {
            service: "billing".into(),
            text: "a".into(),
        },
        fingerprint: 9,
    };
    let replicate = Message::Replicate { view: 4, claim };
    let expected = Message::Sealed { view: 4 };
    let sealed = node.handle(now, peer(Message::Seal { view: 4 }));
    assert!(matches!(&sealed[..], [Output::Send { message, .. }] if *message == expected));
    assert!(node.handle(now, peer(replicate)).is_empty());
}

/// Restarts a process with the view of its previous incarnation; returns the number of suspect shards.
///
/// `graceful` is true if the previous incarnation recorded its departure in the view.
fn suspect_shards_after_restart(graceful: bool) -> usize {
    let mut first = SingleNode::new();
    if graceful {
        first.handle(Input::Leave);
        first.advance(20);
        assert!(first.node.has_left());
    }
    let mut view = first.node.view().unwrap().clone();
    view.departed
        .extend(graceful.then(|| view.members[0].clone()));
    let me = roster::NodeId {
        node: "entry-1".into(),
        incarnation: roster::Incarnation(2),
    };
    first.node = node::Node::new(me.clone(), idempotency::Settings::default());
    let row = platform::Row {
        key: view::ROW_KEY.into(),
        version: 99,
        value: serde_json::to_string(&view).unwrap(),
    };
    let now = clock::Instant::from_ms(first.now_ms);
    let key = view::ROW_KEY.into();
    first.node.handle(
        now,
        Input::Row {
            key,
            row: Some(row),
        },
    );
    first.node.handle(now, Input::Roster(vec![me]));
    for _ in 0..500 {
        first.now_ms += 20;
        let now = clock::Instant::from_ms(first.now_ms);
        for output in first.node.handle(now, Input::Tick) {
            if let Output::Transact { token, txn } = output {
                let input = first.commit(token, &txn);
                first.node.handle(now, input);
            }
        }
    }
    first.node.view().unwrap().suspect.len()
}

#[test]
fn graceful_shutdown_leaves_no_suspect_shards() {
    assert_eq!(suspect_shards_after_restart(true), 0);
    assert_eq!(
        suspect_shards_after_restart(false),
        usize::from(view::SHARDS)
    );
}
