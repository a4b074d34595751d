//! Tests of routing: outliers are ejected whatever their fault, up to a limit, and are readmitted by probes.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wasabiloft::routing::{EndpointSpec, Outcome, Probe, Router, State};
use wasabiloft::{clock, id};

const ENDPOINTS: usize = 8;

struct Cluster {
    now_ms: u64,
    router: Router,
    vms: Vec<id::Vm>,
    rng: SmallRng,
    requests: Vec<u64>,
}

impl Cluster {
    fn new() -> Self {
        let vms: Vec<_> = (0..ENDPOINTS)
            .map(|index| id::Vm::from(format!("vm-{index}")))
            .collect();
        let mut cluster = Self {
            now_ms: 0,
            router: Router::new(),
            vms,
            rng: SmallRng::seed_from_u64(7),
            requests: vec![0; ENDPOINTS],
        };
        cluster.set_endpoints(None);
        cluster
    }

    fn set_endpoints(&mut self, leaving: Option<usize>) {
        let specs: Vec<_> = self
            .vms
            .iter()
            .enumerate()
            .map(|(index, vm)| EndpointSpec {
                vm: vm.clone(),
                leaving: leaving == Some(index),
            })
            .collect();
        self.router.set_endpoints(&specs);
    }

    /// Sends requests sequentially, 10 ms apart; `outcome` returns the outcome at the endpoint of each index.
    fn send(&mut self, count: u32, outcome: impl Fn(usize) -> Outcome) {
        for _ in 0..count {
            self.now_ms += 10;
            let now = clock::Instant::from_ms(self.now_ms);
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
            self.requests[index] += 1;
            self.router.finish(now, key, outcome(index));
        }
    }
}

const SUCCESS: Outcome = Outcome::Answered { latency_ratio: 1.0 };

#[test]
fn an_endpoint_that_fails_fast_is_ejected_and_readmitted_once_healthy() {
    let mut cluster = Cluster::new();
    cluster.send(
        2_000,
        |index| if index == 3 { Outcome::Failed } else { SUCCESS },
    );
    assert!(cluster.requests[3] < 40, "{:?}", cluster.requests);
    assert_ne!(cluster.router.state(&cluster.vms[3]), Some(State::Healthy));
    cluster.send(4_000, |_| SUCCESS);
    assert_eq!(cluster.router.state(&cluster.vms[3]), Some(State::Healthy));
    assert_eq!(cluster.router.counters().readmitted, 1);
}

#[test]
fn a_slow_endpoint_is_ejected() {
    let mut cluster = Cluster::new();
    let slow_outcome = Outcome::Answered {
        latency_ratio: 10.0,
    };
    cluster.send(
        2_000,
        |index| if index == 5 { slow_outcome } else { SUCCESS },
    );
    assert!(cluster.requests[5] < 120, "{:?}", cluster.requests);
    assert!(cluster.router.counters().ejected > 0);
}

#[test]
fn a_fault_of_all_endpoints_ejects_only_a_part() {
    let mut cluster = Cluster::new();
    cluster.send(3_000, |_| Outcome::Failed);
    let healthy = cluster
        .vms
        .iter()
        .filter(|vm| cluster.router.is_healthy(vm))
        .count();
    assert!(healthy >= ENDPOINTS - 2, "{healthy}");
    assert!(cluster.router.counters().kept > 0);
}

#[test]
fn a_leaving_endpoint_gets_no_new_requests() {
    let mut cluster = Cluster::new();
    cluster.set_endpoints(Some(2));
    cluster.send(500, |_| SUCCESS);
    assert_eq!(cluster.requests[2], 0);
    assert!(
        cluster
            .requests
            .iter()
            .enumerate()
            .all(|(index, requests)| index == 2 || *requests > 0)
    );
}

#[test]
fn a_non_idempotent_request_is_not_a_probe() {
    let mut cluster = Cluster::new();
    cluster.send(
        1_000,
        |index| if index == 1 { Outcome::Failed } else { SUCCESS },
    );
    let candidates = [cluster.vms[1].clone()];
    let later = clock::Instant::from_ms(cluster.now_ms + clock::MINUTE_MS);
    assert_eq!(
        cluster
            .router
            .choose(later, &candidates, Probe::Forbidden, &mut cluster.rng),
        None
    );
    assert!(
        cluster
            .router
            .choose(later, &candidates, Probe::Allowed, &mut cluster.rng)
            .is_some()
    );
    assert_eq!(
        cluster
            .router
            .choose(later, &candidates, Probe::Allowed, &mut cluster.rng),
        None
    );
}
