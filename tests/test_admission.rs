//! Admission: fair shares, refusals that never started, and the entry VM's own limits.

use std::collections::BTreeSet;

use proptest::prelude::*;
use wasabiloft::admission::intake;
use wasabiloft::admission::{self, share};
use wasabiloft::document::Urgency;
use wasabiloft::{clock, id, verdict};

const SLOTS: u32 = 12;

fn specs() -> Vec<admission::KindSpec> {
    vec![
        admission::KindSpec {
            urgency: Urgency::Urgent,
            share: 2,
        },
        admission::KindSpec {
            urgency: Urgency::Normal,
            share: 1,
        },
        admission::KindSpec {
            urgency: Urgency::Batch,
            share: 1,
        },
    ]
}

/// One node that owns all slots, with requests that take a fixed time.
struct Node {
    now: u64,
    controller: admission::Controller,
    free: u32,
    running: Vec<(u64, admission::KindIndex)>,
    next: u64,
    started: BTreeSet<u64>,
    refused: Vec<verdict::Reason>,
    refused_kinds: Vec<usize>,
    served: Vec<u64>,
}

impl Node {
    fn new() -> Self {
        let mut node = Self {
            now: 0,
            controller: admission::Controller::new(&specs(), admission::Headroom::default()),
            free: SLOTS,
            running: Vec::new(),
            next: 0,
            started: BTreeSet::new(),
            refused: Vec::new(),
            refused_kinds: Vec::new(),
            served: vec![0; 3],
        };
        node.tell_slots();
        node
    }

    fn input(&mut self, input: admission::Input) {
        let mut outputs = Vec::new();
        let now = clock::Instant::from_ms(self.now);
        self.controller.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                admission::Output::Start { request, kind } => {
                    assert!(self.free > 0, "a start needs a free slot");
                    assert!(self.started.insert(request.into()), "a request starts once");
                    self.free -= 1;
                    self.running.push((self.now + 50, kind));
                }
                admission::Output::Refuse {
                    request,
                    kind,
                    reason,
                } => {
                    assert!(
                        !self.started.contains(&request.into()),
                        "a refused request never started"
                    );
                    self.refused.push(reason);
                    self.refused_kinds.push(kind.into());
                }
            }
        }
    }

    fn tell_slots(&mut self) {
        let slots = admission::Slots {
            free: self.free,
            held: SLOTS,
            total: SLOTS,
            members: 1,
            rank: 0,
        };
        self.input(admission::Input::Slots(slots));
    }

    fn arrive(&mut self, kind: usize, deadline_ms: u64) {
        self.next += 1;
        self.input(admission::Input::Arrive(admission::Arrival {
            request: admission::RequestId::from(self.next),
            kind: admission::KindIndex::from(kind),
            deadline: clock::Instant::from_ms(self.now + deadline_ms),
            retry: false,
        }));
    }

    /// Moves on by five milliseconds, with so many arrivals of each kind.
    fn step(&mut self, arrivals: &[u32; 3]) {
        self.now += 5;
        let now = self.now;
        for (_, kind) in self
            .running
            .extract_if(.., |(end, _)| *end <= now)
            .collect::<Vec<_>>()
        {
            self.served[usize::from(kind)] += 1;
            self.free += 1;
            self.input(admission::Input::Finish {
                kind,
                busy_ms: 50,
                whole: true,
            });
            self.tell_slots();
        }
        let need = |count: &u32| count * 50 / 5 * 1_000;
        self.input(admission::Input::Load(admission::Load {
            need_milli: arrivals.iter().map(need).collect(),
            need_elsewhere_milli: vec![0; 3],
            used_elsewhere_milli: vec![0; 3],
        }));
        for (kind, count) in arrivals.iter().enumerate() {
            for _ in 0..*count {
                self.arrive(kind, 1_000);
            }
        }
    }
}

proptest! {
    #![proptest_config(crate::fixed_seed(200))]

    #[test]
    fn max_min_serves_small_needs_in_full(
        capacity in 0.0..100.0_f64,
        claims in prop::collection::vec((0.0..60.0_f64, 1..5_u32), 1..7),
    ) {
        let claims: Vec<_> = claims
            .into_iter()
            .map(|(need, weight)| share::Claim { need, weight })
            .collect();
        let given = share::max_min(capacity, &claims);
        let weights: f64 = claims.iter().map(|claim| f64::from(claim.weight)).sum();
        let needs: f64 = claims.iter().map(|claim| claim.need).sum();
        let sum: f64 = given.iter().sum();
        prop_assert!((sum - capacity.min(needs)).abs() < 1e-6);
        for (part, claim) in given.iter().zip(&claims) {
            let share = capacity * f64::from(claim.weight) / weights;
            prop_assert!(*part <= claim.need + 1e-9);
            prop_assert!(*part >= claim.need.min(share) - 1e-9);
        }
    }

    #[test]
    fn a_kind_within_its_share_is_never_refused(flooding in 0..3_usize, factor in 2..30_u32) {
        let mut node = Node::new();
        for step in 0..400 {
            let mut arrivals = [0; 3];
            arrivals[flooding] = factor;
            let other = (flooding + 1) % 3;
            arrivals[other] = u32::from(step % 10 == 0);
            node.step(&arrivals);
        }
        prop_assert!(node.served[(flooding + 1) % 3] >= 38);
        let refused: BTreeSet<_> = node.refused_kinds.iter().copied().collect();
        prop_assert!(refused.iter().all(|kind| *kind == flooding), "{:?}", refused);
        prop_assert!(node.served[flooding] >= 300);
    }

    #[test]
    fn the_intake_never_exceeds_its_limit(calls in prop::collection::vec((0..3_usize, 1..5_u64, any::<bool>()), 1..200)) {
        let limits = intake::Limits { requests: 20, memory_bytes: 1, connections: 1 };
        let services: Vec<_> = ["a", "b", "c"].map(id::Service::new).into();
        let mut book = intake::Intake::new(limits, &services);
        let resource = intake::Resource::Requests;
        for (at, (index, amount, take)) in calls.into_iter().enumerate() {
            let now = clock::Instant::from_ms(at as u64 * 100);
            let service = &services[index];
            if !take {
                book.release(now, service, resource, amount);
            } else if book.take(now, service, resource, amount).is_err() {
                let used: u64 = services.iter().map(|name| book.used(name, resource)).sum();
                prop_assert!(book.used(service, resource) + amount > 6 || used + amount > 20);
            }
            let used: u64 = services.iter().map(|name| book.used(name, resource)).sum();
            prop_assert!(used <= 20);
        }
    }
}

#[test]
fn two_floods_each_get_their_share_and_the_urgent_one_the_rest() {
    let mut node = Node::new();
    for _ in 0..800 {
        node.step(&[6, 0, 6]);
    }
    let urgent = node.served[0] as f64 / node.served[2] as f64;
    assert!(
        node.served[2] >= 800 * 5 / 50 * 2,
        "batch work keeps its share: {:?}",
        node.served
    );
    assert!(urgent > 1.5, "urgent work gets the rest: {:?}", node.served);
}

#[test]
fn work_that_cannot_finish_in_time_is_refused_at_once() {
    let mut node = Node::new();
    for _ in 0..40 {
        node.step(&[1, 0, 0]);
    }
    node.refused.clear();
    node.arrive(0, 10);
    assert_eq!(node.refused, [verdict::Reason::DeadlineTooShort]);
}

#[test]
fn a_queued_request_that_grows_too_old_is_refused() {
    let mut node = Node::new();
    node.free = 0;
    node.tell_slots();
    node.arrive(1, 200);
    node.now += 199;
    node.input(admission::Input::Tick);
    assert!(node.refused.is_empty());
    node.now += 1;
    node.input(admission::Input::Tick);
    assert_eq!(node.refused, [verdict::Reason::QueueTimeout]);
}
