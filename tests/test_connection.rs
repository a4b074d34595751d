//! Tests of connections to one endpoint.

use proptest::prelude::*;
use wasabiloft::clock;
use wasabiloft::connection;
use wasabiloft::connection::{Choice, Work};

use crate::fixed_seed;

fn at(ms: u64) -> clock::Instant {
    clock::Instant::from_ms(ms)
}

fn idle(pool: &mut connection::Pool, ms: u64) -> connection::Key {
    let Choice::Open(key) = pool.choose(at(ms), Work::NonIdempotent) else {
        panic!("no connection was to be made");
    };
    pool.opened(at(ms), key);
    pool.give_back(at(ms), key, true);
    key
}

#[test]
fn old_connection_gets_no_work_that_must_not_be_lost() {
    let mut pool = connection::Pool::new(4);
    let key = idle(&mut pool, 0);
    let late = at(connection::PROOF_MS);
    assert!(matches!(
        pool.choose(late, Work::NonIdempotent),
        Choice::Open(_)
    ));
    assert_eq!(pool.choose(late, Work::Idempotent), Choice::Use(key));
}

#[test]
fn proven_connection_is_used_again() {
    let mut pool = connection::Pool::new(4);
    let key = idle(&mut pool, 0);
    pool.proven(at(800), key);
    assert_eq!(
        pool.choose(at(1_700), Work::NonIdempotent),
        Choice::Use(key)
    );
}

#[test]
fn old_connection_makes_room_at_the_limit() {
    let mut pool = connection::Pool::new(1);
    let key = idle(&mut pool, 0);
    assert_eq!(pool.choose(at(5_000), Work::NonIdempotent), Choice::Wait);
    assert_eq!(pool.take_closing(), vec![key]);
    pool.closed(key);
    assert!(matches!(
        pool.choose(at(5_000), Work::NonIdempotent),
        Choice::Open(_)
    ));
}

#[test]
fn time_outs_retire_the_side_and_a_sign_of_life_forgives() {
    let mut pool = connection::Pool::new(8);
    let keys: Vec<_> = (0..4)
        .map(|_| match pool.choose(at(0), Work::Idempotent) {
            Choice::Open(key) => key,
            other => panic!("{other:?}"),
        })
        .collect();
    for key in &keys {
        pool.opened(at(0), *key);
    }
    assert!(!pool.time_out(keys[0]));
    pool.proven(at(10), keys[1]);
    assert!(!pool.time_out(keys[2]));
    pool.give_back(at(10), keys[1], true);
    assert!(!pool.time_out(keys[3]));
    let Choice::Use(key) = pool.choose(at(20), Work::Idempotent) else {
        panic!("the proven connection is gone");
    };
    assert!(pool.time_out(key));
    assert!(matches!(
        pool.choose(at(30), Work::Idempotent),
        Choice::Open(_)
    ));
}

/// A step of a random run.
#[derive(Clone, Debug)]
enum Step {
    Choose(bool),
    Open(usize),
    GiveBack(usize, bool),
    Fail(usize),
    TimeOut(usize),
    Limit(usize),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<bool>().prop_map(Step::Choose),
        4 => any::<usize>().prop_map(Step::Open),
        4 => any::<(usize, bool)>().prop_map(|(at, reusable)| Step::GiveBack(at, reusable)),
        1 => any::<usize>().prop_map(Step::Fail),
        1 => any::<usize>().prop_map(Step::TimeOut),
        1 => (0_usize..9).prop_map(Step::Limit),
        2 => (0_u64..4_000).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(fixed_seed(200))]

    #[test]
    fn limit_holds_and_nothing_leaks(steps in prop::collection::vec(step(), 1..200)) {
        let mut pool = connection::Pool::new(8);
        let mut limit = 8;
        let mut now = at(0);
        let mut opening: Vec<connection::Key> = Vec::new();
        let mut busy: Vec<connection::Key> = Vec::new();
        let take = |keys: &mut Vec<connection::Key>, at: usize| {
            (!keys.is_empty()).then(|| keys.swap_remove(at % keys.len()))
        };
        for step in steps {
            match step {
                Step::Choose(idempotent) => {
                    let work = if idempotent { Work::Idempotent } else { Work::NonIdempotent };
                    let before = pool.len();
                    match pool.choose(now, work) {
                        Choice::Use(key) => {
                            prop_assert!(!busy.contains(&key) && !opening.contains(&key));
                            busy.push(key);
                        }
                        Choice::Open(key) => {
                            prop_assert!(before < limit);
                            opening.push(key);
                        }
                        Choice::Wait => {}
                    }
                }
                Step::Open(at) => {
                    if let Some(key) = take(&mut opening, at) {
                        pool.opened(now, key);
                        busy.push(key);
                    }
                }
                Step::GiveBack(at, reusable) => {
                    if let Some(key) = take(&mut busy, at) {
                        pool.give_back(now, key, reusable);
                    }
                }
                Step::Fail(at) => {
                    if let Some(key) = take(&mut busy, at) {
                        pool.fail(key);
                    }
                }
                Step::TimeOut(at) => {
                    if let Some(key) = take(&mut busy, at) {
                        pool.time_out(key);
                    }
                }
                Step::Limit(new) => {
                    limit = new;
                    pool.set_limit(new);
                }
                Step::Pass(ms) => {
                    now = now.after_ms(ms);
                    pool.tick(now);
                }
            }
            for key in pool.take_closing() {
                prop_assert!(!busy.contains(&key));
                pool.closed(key);
            }
        }
        for key in busy.drain(..).chain(opening.drain(..)) {
            pool.fail(key);
        }
        pool.retire_all();
        for key in pool.take_closing() {
            pool.closed(key);
        }
        prop_assert!(pool.is_empty());
    }
}
