//! Injects faults into a `dev` run by a seeded schedule. Each step injects one fault and clears it at its end.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft::id;
use wasabiloft::platform as messages;
use wasabiloft_standins::endpoint;
use wasabiloft_standins::faults;
use wasabiloft_standins::platform;

/// Minimum duration of a step, in milliseconds.
const STEP_MIN_MS: u64 = 1_000;
/// Maximum duration of a step, in milliseconds.
const STEP_MAX_MS: u64 = 6_000;
/// Response delay of a slow store, in milliseconds.
const SLOW_STORE_MS: u64 = 300;
/// Fraction of the store's replies that are lost.
const LOST_REPLIES: f64 = 0.3;
/// Lag of the platform's list of VMs, in milliseconds.
const LIST_LAG_MS: u64 = 2_000;

/// Fault that a step injects; its `Debug` output is printed.
#[derive(Clone, Debug, PartialEq)]
enum Fault {
    None,
    Store(faults::Faults),
    Endpoint(id::Vm, endpoint::Mode),
    VmFails(id::Vm),
    BadWorker(id::Vm),
}

/// Injects one fault after another until stopped, and clears the last one. Returns the number of steps.
pub async fn run<S>(
    platform: &platform::Platform,
    seed: u64,
    stop: CancellationToken,
    print_progress: S,
) -> u64
where
    S: Fn(&str),
{
    let mut rng = SmallRng::seed_from_u64(seed);
    let vms: Vec<_> = platform.vms().into_iter().map(|vm| vm.vm).collect();
    let mut steps = 0;
    loop {
        let fault = choose_fault(&vms, &mut rng);
        print_progress(&format!("fault {fault:?}"));
        inject(platform, &fault);
        let step_ms = rng.random_range(STEP_MIN_MS..=STEP_MAX_MS);
        let stopped = tokio::select! {
            () = stop.cancelled() => true,
            () = time::sleep(Duration::from_millis(step_ms)) => false,
        };
        clear(platform, &fault);
        steps += 1;
        if stopped {
            return steps;
        }
    }
}

fn choose_fault(vms: &[id::Vm], rng: &mut SmallRng) -> Fault {
    let Some(vm) = vms.choose(rng).cloned() else {
        return Fault::None;
    };
    match rng.random_range(0..9) {
        0 => Fault::Store(faults::Faults {
            store_outage: true,
            ..Default::default()
        }),
        1 => Fault::Store(faults::Faults {
            store_hangs: true,
            ..Default::default()
        }),
        2 => Fault::Store(faults::Faults {
            store_delay_ms: SLOW_STORE_MS,
            vm_list_lag_ms: LIST_LAG_MS,
            ..Default::default()
        }),
        3 => Fault::Store(faults::Faults {
            store_lost_replies: LOST_REPLIES,
            ..Default::default()
        }),
        4 => Fault::Endpoint(vm, endpoint::Mode::Slow),
        5 => Fault::Endpoint(vm, endpoint::Mode::FailFast),
        6 => Fault::Endpoint(vm, endpoint::Mode::Silent),
        7 => Fault::VmFails(vm),
        _ => Fault::BadWorker(vm),
    }
}

fn inject(platform: &platform::Platform, fault: &Fault) {
    match fault {
        Fault::None => {}
        Fault::Store(faults) => platform.set_faults(faults.clone()),
        Fault::Endpoint(vm, mode) => platform.set_endpoint_mode(vm, *mode),
        Fault::VmFails(vm) => {
            platform.force_vm(vm, messages::VmState::Failed);
        }
        Fault::BadWorker(vm) => platform.set_worker_bad(vm, true),
    }
}

fn clear(platform: &platform::Platform, fault: &Fault) {
    match fault {
        Fault::None => {}
        Fault::Store(_) => platform.set_faults(faults::Faults::default()),
        Fault::Endpoint(vm, _) => platform.set_endpoint_mode(vm, endpoint::Mode::Normal),
        Fault::VmFails(vm) => {
            platform.force_vm(vm, messages::VmState::Live);
        }
        Fault::BadWorker(vm) => platform.set_worker_bad(vm, false),
    }
}
