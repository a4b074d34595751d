//! Status of the fleet, as reported to operators.

use serde::{Deserialize, Serialize};

use crate::fleet::{planner, snapshot};
use crate::id;
use crate::maintenance::reason;
use crate::pool::{domain, row};

/// Status of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Epoch of the duty's leader that reports.
    pub epoch: u64,
    /// Platform time of the newest list, in milliseconds.
    pub as_of_ms: u64,
    /// Spare VMs kept for the loss of the largest failure domain.
    pub spare_reserve: u32,
    /// All pools, by name.
    pub pools: Vec<Pool>,
    /// All VMs, by name.
    pub vms: Vec<Vm>,
}

/// Status of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the pool.
    pub pool: id::Pool,
    /// Runners that the documents require.
    pub runners: u32,
    /// Runners that must be in service at any time.
    pub min_runners: u32,
    /// VMs in service.
    pub in_service: u32,
    /// VMs that are out of service by their row or by the platform's list.
    pub out: u32,
    /// Failure domain whose loss is covered.
    pub cover: domain::Cover,
    /// VMs still to be maintained in this period.
    pub due: u32,
    /// Start of the period, in platform time in milliseconds.
    pub period_start_ms: u64,
    /// Absence in this period, in whole runner-minutes.
    pub absent_min: u64,
    /// Absence allowed in this period, in whole runner-minutes.
    pub absence_budget_min: u64,
    /// Why the pool's wave is paused; `None` if it is not.
    pub paused: Option<reason::Reason>,
    /// VMs that the pool needs and that no pool could provide.
    pub unmet: u32,
}

/// Status of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Row of the VM.
    #[serde(flatten)]
    pub row: row::Vm,
    /// Rack of the VM; absent if the platform does not list it.
    pub rack: Option<id::Rack>,
    /// Data centre of the VM; absent if the platform does not list it.
    pub data_centre: Option<id::DataCentre>,
    /// True if the platform lists the VM as live.
    pub live: bool,
    /// True if the VM is still to be maintained in its pool's period.
    pub due: bool,
    /// Entry VMs that have not acknowledged the VM's drain.
    pub unacknowledged: Vec<id::Node>,
}

/// Milliseconds in a minute.
const MINUTE_MS: u64 = crate::clock::MINUTE_MS;

impl planner::Planner {
    /// Returns the status by the stored rows, for a node that does not lead the duty.
    pub fn stored_status(&mut self) -> Fleet {
        self.refresh_pools();
        for pool in self.pools.values_mut() {
            pool.reason = pool.row.paused;
        }
        self.status()
    }

    /// Returns the status of the fleet.
    pub fn status(&self) -> Fleet {
        let snapshot = snapshot::Snapshot::new(self);
        Fleet {
            epoch: self.epoch,
            as_of_ms: self.as_of_ms,
            spare_reserve: snapshot.reserve(&self.settings.spare_pool),
            pools: self.pool_status(&snapshot),
            vms: self.vm_status(),
        }
    }

    fn pool_status(&self, snapshot: &snapshot::Snapshot<'_>) -> Vec<Pool> {
        let pools = self.pools.iter().map(|(name, state)| {
            let wave = snapshot.wave(name, state);
            let in_service = domain::Counts::of(wave.members).in_service;
            Pool {
                pool: name.clone(),
                runners: state.spec.runners,
                min_runners: state.spec.min_runners,
                in_service,
                out: wave.members.len() as u32 - in_service,
                cover: wave.headroom.cover,
                due: wave.due().count() as u32,
                period_start_ms: state.row.account.period_start_ms,
                absent_min: state.row.account.absent_ms / MINUTE_MS,
                absence_budget_min: state.spec.absence_budget_ms / MINUTE_MS,
                paused: state.reason,
                unmet: self.unmet.get(name).copied().unwrap_or(0),
            }
        });
        pools.collect()
    }

    fn vm_status(&self) -> Vec<Vm> {
        let vms = self.keys.values().map(|&key| {
            let machine = &self.machines[key];
            let pool = self.pools.get(&machine.row.pool);
            let start_ms = pool.map_or(0, |pool| pool.row.account.period_start_ms);
            let member = machine.member(key, self.as_of_ms);
            let leaving = matches!(machine.row.stage, row::Stage::Leaving { .. });
            Vm {
                row: machine.row.clone(),
                rack: member.rack.cloned(),
                data_centre: member.data_centre.cloned(),
                live: member.live,
                due: member.is_due(start_ms),
                unacknowledged: match leaving {
                    true => self.unacknowledged(&machine.row.vm),
                    false => Vec::new(),
                },
            }
        });
        vms.collect()
    }
}
