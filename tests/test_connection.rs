//! Tests of the connection pool of one endpoint.

use proptest::prelude::*;
use wasabiloft::clock;
use wasabiloft::connection;
use wasabiloft::connection::{Choice, RequestKind};

use crate::fixed_seed;

fn at(ms: u64) -> clock::Instant {
    clock::Instant::from_ms(ms)
}

fn open_idle(pool: &mut connection::Pool, ms: u64) -> connection::Key {
    let Choice::Open(key) = pool.choose(at(ms), RequestKind::NonIdempotent) else {
        panic!("expected a new connection");
    };
    pool.opened(at(ms), key);
    pool.release(at(ms), key, true);
    key
}

#[test]
fn old_connection_gets_no_non_idempotent_requests() {
    let mut pool = connection::Pool::new(4);
    let key = open_idle(&mut pool, 0);
    let late = at(connection::NON_IDEMPOTENT_IDLE_MAX_MS);
    assert!(matches!(
        pool.choose(late, RequestKind::NonIdempotent),
        Choice::Open(_)
    ));
    assert_eq!(pool.choose(late, RequestKind::Idempotent), Choice::Use(key));
}

#[test]
fn connection_with_recent_data_is_reused() {
    let mut pool = connection::Pool::new(4);
    let key = open_idle(&mut pool, 0);
    pool.record_received(at(800), key);
    assert_eq!(
        pool.choose(at(1_700), RequestKind::NonIdempotent),
        Choice::Use(key)
    );
}

#[test]
fn old_connection_is_replaced_at_the_limit() {
    let mut pool = connection::Pool::new(1);
    let key = open_idle(&mut pool, 0);
    assert_eq!(
        pool.choose(at(5_000), RequestKind::NonIdempotent),
        Choice::Wait
    );
    assert_eq!(pool.take_closing(), vec![key]);
    pool.closed(key);
    assert!(matches!(
        pool.choose(at(5_000), RequestKind::NonIdempotent),
        Choice::Open(_)
    ));
}

#[test]
fn timeouts_retire_all_connections_and_received_data_resets_the_count() {
    let mut pool = connection::Pool::new(8);
    let keys: Vec<_> = (0..4)
        .map(|_| match pool.choose(at(0), RequestKind::Idempotent) {
            Choice::Open(key) => key,
            other => panic!("{other:?}"),
        })
        .collect();
    for key in &keys {
        pool.opened(at(0), *key);
    }
    assert!(!pool.time_out(keys[0]));
    pool.record_received(at(10), keys[1]);
    assert!(!pool.time_out(keys[2]));
    pool.release(at(10), keys[1], true);
    assert!(!pool.time_out(keys[3]));
    let Choice::Use(key) = pool.choose(at(20), RequestKind::Idempotent) else {
        panic!("the connection that received data is missing");
    };
    assert!(pool.time_out(key));
    assert!(matches!(
        pool.choose(at(30), RequestKind::Idempotent),
        Choice::Open(_)
    ));
}

/// One action of a randomised run.
#[derive(Clone, Debug)]
enum Action {
    Choose(bool),
    Open(usize),
    Release(usize, bool),
    Fail(usize),
    TimeOut(usize),
    SetLimit(usize),
    Advance(u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => any::<bool>().prop_map(Action::Choose),
        4 => any::<usize>().prop_map(Action::Open),
        4 => any::<(usize, bool)>().prop_map(|(at, reusable)| Action::Release(at, reusable)),
        1 => any::<usize>().prop_map(Action::Fail),
        1 => any::<usize>().prop_map(Action::TimeOut),
        1 => (0_usize..9).prop_map(Action::SetLimit),
        2 => (0_u64..4_000).prop_map(Action::Advance),
    ]
}

proptest! {
    #![proptest_config(fixed_seed(200))]

    #[test]
    fn limit_holds_and_no_connection_leaks(actions in prop::collection::vec(action(), 1..200)) {
        let mut pool = connection::Pool::new(8);
        let mut limit = 8;
        let mut now = at(0);
        let mut opening: Vec<connection::Key> = Vec::new();
        let mut busy: Vec<connection::Key> = Vec::new();
        let take = |keys: &mut Vec<connection::Key>, at: usize| {
            (!keys.is_empty()).then(|| keys.swap_remove(at % keys.len()))
        };
        for action in actions {
            match action {
                Action::Choose(idempotent) => {
                    let request_kind = if idempotent { RequestKind::Idempotent } else { RequestKind::NonIdempotent };
                    let before = pool.len();
                    match pool.choose(now, request_kind) {
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
                Action::Open(at) => {
                    if let Some(key) = take(&mut opening, at) {
                        pool.opened(now, key);
                        busy.push(key);
                    }
                }
                Action::Release(at, reusable) => {
                    if let Some(key) = take(&mut busy, at) {
                        pool.release(now, key, reusable);
                    }
                }
                Action::Fail(at) => {
                    if let Some(key) = take(&mut busy, at) {
                        pool.fail(key);
                    }
                }
                Action::TimeOut(at) => {
                    if let Some(key) = take(&mut busy, at) {
                        pool.time_out(key);
                    }
                }
                Action::SetLimit(new_limit) => {
                    limit = new_limit;
                    pool.set_limit(new_limit);
                }
                Action::Advance(ms) => {
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
