//! Routing: outliers of every sort leave, never too many, and come back by probes.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wasabiloft::routing::{EndpointSpec, Outcome, Probe, Router, State};
use wasabiloft::{clock, id};

const ENDPOINTS: usize = 8;

struct Pool {
    now: u64,
    router: Router,
    vms: Vec<id::Vm>,
    rng: SmallRng,
    hits: Vec<u64>,
}

impl Pool {
    fn new() -> Self {
        let vms: Vec<_> = (0..ENDPOINTS)
            .map(|index| id::Vm::from(format!("vm-{index}")))
            .collect();
        let mut pool = Self {
            now: 0,
            router: Router::new(),
            vms,
            rng: SmallRng::seed_from_u64(7),
            hits: vec![0; ENDPOINTS],
        };
        pool.list(None);
        pool
    }

    fn list(&mut self, leaving: Option<usize>) {
        let specs: Vec<_> = self
            .vms
            .iter()
            .enumerate()
            .map(|(index, vm)| EndpointSpec {
                vm: vm.clone(),
                leaving: leaving == Some(index),
            })
            .collect();
        self.router.list(&specs);
    }

    /// Sends requests one after the other, 10 ms apart, and lets each endpoint end them in its own way.
    fn send(&mut self, count: u32, ending: impl Fn(usize) -> Outcome) {
        for _ in 0..count {
            self.now += 10;
            let now = clock::Instant::from_ms(self.now);
            let key = self
                .router
                .choose(now, &self.vms, Probe::Allowed, &mut self.rng);
            let key = key.expect("some endpoint is always usable");
            let vm = self
                .router
                .vm(key)
                .expect("a chosen endpoint is known")
                .clone();
            let index = self
                .vms
                .iter()
                .position(|entry| *entry == vm)
                .expect("the VM is listed");
            self.hits[index] += 1;
            self.router.finish(now, key, ending(index));
        }
    }
}

const GOOD: Outcome = Outcome::Answered { slowness: 1.0 };

#[test]
fn an_endpoint_that_fails_fast_gets_little_and_returns_once_it_is_well() {
    let mut pool = Pool::new();
    pool.send(
        2_000,
        |index| if index == 3 { Outcome::Failed } else { GOOD },
    );
    assert!(pool.hits[3] < 40, "{:?}", pool.hits);
    assert_ne!(pool.router.state(&pool.vms[3]), Some(State::Healthy));
    pool.send(4_000, |_| GOOD);
    assert_eq!(pool.router.state(&pool.vms[3]), Some(State::Healthy));
    assert_eq!(pool.router.counters().readmitted, 1);
}

#[test]
fn a_slow_endpoint_is_ejected() {
    let mut pool = Pool::new();
    let slow = Outcome::Answered { slowness: 10.0 };
    pool.send(2_000, |index| if index == 5 { slow } else { GOOD });
    assert!(pool.hits[5] < 120, "{:?}", pool.hits);
    assert!(pool.router.counters().ejected > 0);
}

#[test]
fn a_fault_of_all_ejects_a_part_only() {
    let mut pool = Pool::new();
    pool.send(3_000, |_| Outcome::Failed);
    let healthy = pool
        .vms
        .iter()
        .filter(|vm| pool.router.is_healthy(vm))
        .count();
    assert!(healthy >= ENDPOINTS - 2, "{healthy}");
    assert!(pool.router.counters().kept > 0);
}

#[test]
fn a_leaving_endpoint_gets_nothing_new() {
    let mut pool = Pool::new();
    pool.list(Some(2));
    pool.send(500, |_| GOOD);
    assert_eq!(pool.hits[2], 0);
    assert!(
        pool.hits
            .iter()
            .enumerate()
            .all(|(index, hits)| index == 2 || *hits > 0)
    );
}

#[test]
fn work_that_may_not_run_twice_is_no_probe() {
    let mut pool = Pool::new();
    pool.send(
        1_000,
        |index| if index == 1 { Outcome::Failed } else { GOOD },
    );
    let only = [pool.vms[1].clone()];
    let later = clock::Instant::from_ms(pool.now + clock::MINUTE_MS);
    assert_eq!(
        pool.router
            .choose(later, &only, Probe::Forbidden, &mut pool.rng),
        None
    );
    assert!(
        pool.router
            .choose(later, &only, Probe::Allowed, &mut pool.rng)
            .is_some()
    );
    assert_eq!(
        pool.router
            .choose(later, &only, Probe::Allowed, &mut pool.rng),
        None
    );
}
