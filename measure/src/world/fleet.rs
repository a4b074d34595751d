//! Fleets and documents of the runs.

use std::net::SocketAddr;

use wasabiloft::{document, id, platform};

/// Entry VMs of a deployment.
pub const NODES: usize = 8;
/// The shared spare pool.
pub const SPARE: &str = "spare";
/// VMs of a rack.
pub const RACK_VMS: u32 = 4;
/// The longest deadline of a request, in milliseconds.
pub const DEADLINE_MS: u64 = 10_000;

/// How a fleet is laid out.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Runners of each service's pool.
    pub pools: Vec<u32>,
    /// VMs of the spare pool.
    pub spares: u32,
    /// Spare VMs that may be out for maintenance at once.
    pub spare_at_once: u32,
    /// Data centres.
    pub data_centres: u32,
    /// True if a pool's VMs lie in as few racks as possible, in place of one a rack.
    pub packed: bool,
    /// Runners below a pool's strength that `min_runners` lies.
    pub slack: u32,
    /// VMs that may be out at once.
    pub max_at_once: u32,
    /// Runner-minutes of absence that are borne a period.
    pub absence_budget_min: u64,
    /// What a drain lasts at most, and a reboot, in milliseconds.
    pub drain_ms: u64,
    /// What a reboot lasts, in milliseconds.
    pub reboot_ms: u64,
}

/// A fleet that has been laid out.
pub struct Built {
    /// The services' documents.
    pub documents: Vec<document::Document>,
    /// The platform's VMs.
    pub vms: Vec<platform::Vm>,
}

/// Lays a fleet out.
pub fn build(shape: &Shape) -> Built {
    let pools = shape.pools.iter().enumerate();
    let documents = pools.map(|(index, &runners)| document(shape, index, runners));
    let mut homes: Vec<id::Pool> = Vec::new();
    for (index, &runners) in shape.pools.iter().enumerate() {
        homes.extend((0..runners).map(|_| pool(index)));
    }
    homes.extend((0..shape.spares).map(|_| id::Pool::from(SPARE)));
    let racks = (homes.len() as u32).div_ceil(RACK_VMS);
    let vms = homes.iter().enumerate().map(|(index, home)| {
        let index = index as u32;
        let rack = match shape.packed {
            true => index / RACK_VMS,
            false => index % racks,
        };
        vm(index, rack, rack % shape.data_centres, home)
    });
    Built {
        documents: documents.collect(),
        vms: vms.collect(),
    }
}

/// The least time of a roll-out: `ceil(VMs / allowed at once) x (drain + reboot)`.
///
/// Allowed at once is the largest set of VMs whose absence leaves `min_runners` also after the loss of
/// any rack, or of any data centre where the pool bears that with one VM out. A pool that allows none
/// takes the spare VMs that it needs for one, each a domain of its own; those beyond the
/// largest rack are all that pools can share. The bound is the slowest pool's, the spare pool's
/// or that of the shared spares, whichever is longest.
pub fn bound_ms(shape: &Shape) -> u64 {
    let built = build(shape);
    let mut steps = u64::from(shape.spares.div_ceil(shape.spare_at_once));
    let mut lent_steps = 0;
    for document in &built.documents {
        let (pool_steps, lent) = pool_bound(shape, &built, document);
        steps = steps.max(pool_steps);
        lent_steps += lent * pool_steps;
    }
    let lendable = u64::from(shape.spares.saturating_sub(RACK_VMS)).max(1);
    steps = steps.max(lent_steps.div_ceil(lendable));
    steps * (shape.drain_ms + shape.reboot_ms)
}

/// Steps of a pool, and the spare VMs that it needs meanwhile.
fn pool_bound(shape: &Shape, built: &Built, document: &document::Document) -> (u64, u64) {
    let pool = &document.capacity.pool;
    let vms = built.vms.iter().filter(|vm| vm.home_pool == *pool);
    let vms: Vec<&platform::Vm> = vms.collect();
    let min_runners = document.availability.min_runners;
    let mut racks = spread(vms.iter().map(|vm| vm.rack.as_str()));
    let centres = spread(vms.iter().map(|vm| vm.data_centre.as_str()));
    let total = vms.len() as u32;
    if min_runners + centres[0] < total {
        let allowed = allowed(&centres, min_runners).clamp(1, shape.max_at_once);
        return (u64::from(total.div_ceil(allowed)), 0);
    }
    let mut lent = 0;
    while allowed(&racks, min_runners) == 0 {
        racks.push(1);
        lent += 1;
    }
    let allowed = allowed(&racks, min_runners).min(shape.max_at_once);
    (u64::from(total.div_ceil(allowed)), lent)
}

/// VMs a domain, the largest domain first.
fn spread<'a, I>(homes: I) -> Vec<u32>
where
    I: Iterator<Item = &'a str>,
{
    let mut counts = std::collections::BTreeMap::new();
    for home in homes {
        *counts.entry(home).or_insert(0) += 1;
    }
    let mut counts: Vec<u32> = counts.into_values().collect();
    counts.sort_unstable_by_key(|&count| std::cmp::Reverse(count));
    counts
}

/// VMs that may be out at once: always one more from the domain that is largest then.
fn allowed(domains: &[u32], min_runners: u32) -> u32 {
    let mut domains = domains.to_vec();
    let total: u32 = domains.iter().sum();
    let mut out = 0;
    while out < total {
        domains.sort_unstable_by_key(|&count| std::cmp::Reverse(count));
        domains[0] -= 1;
        let worst = domains.iter().copied().max().unwrap_or(0);
        if total - out - 1 < min_runners + worst {
            break;
        }
        out += 1;
    }
    out
}

/// The name of a service's pool.
pub fn pool(index: usize) -> id::Pool {
    id::Pool::from(format!("pool-{index}"))
}

fn vm(index: u32, rack: u32, data_centre: u32, home: &id::Pool) -> platform::Vm {
    platform::Vm {
        vm: id::Vm::from(format!("vm-{index:04}")),
        rack: id::Rack::from(format!("rack-{rack:03}")),
        data_centre: id::DataCentre::from(format!("dc-{data_centre}")),
        region: id::Region::from("region"),
        home_pool: home.clone(),
        state: platform::VmState::Live,
        boots: 1,
        size: platform::Resources::default(),
        endpoint: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 8080)),
    }
}

fn document(shape: &Shape, index: usize, runners: u32) -> document::Document {
    document::Document {
        service: id::Service::from(format!("service-{index}")),
        team: id::Team::from("team"),
        capacity: document::Capacity {
            pool: pool(index),
            runners,
            slots_per_runner: 8,
            connections_per_runner: 64,
        },
        availability: document::Availability {
            min_runners: runners.saturating_sub(shape.slack).max(1),
            absence_budget_min: shape.absence_budget_min,
        },
        maintenance: document::Maintenance {
            max_at_once: shape.max_at_once,
            ..document::Maintenance::default()
        },
        quota: document::Quota::default(),
        kinds: vec![document::Kind {
            name: id::Kind::from("reserve"),
            method: "POST".to_owned(),
            path: "/".to_owned(),
            urgency: document::Urgency::Normal,
            idempotent: false,
            deadline_ms: DEADLINE_MS,
            share: 1,
            body_max_kib: 256,
        }],
    }
}
