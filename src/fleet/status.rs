//! What operators see of the fleet.

use serde::{Deserialize, Serialize};

use crate::fleet::{planner, snapshot};
use crate::id;
use crate::maintenance::reason;
use crate::pool::{row, strength};

/// The fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Epoch of the duty's holder that says so.
    pub epoch: u64,
    /// Platform's time of the newest list, in milliseconds.
    pub as_of_ms: u64,
    /// Spare VMs that are kept for the largest failure domain.
    pub spare_reserve: u32,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The VMs.
    pub vms: Vec<Vm>,
}

/// A pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub pool: id::Pool,
    /// Runners that the documents ask for.
    pub runners: u32,
    /// Runners that must be in service at any moment.
    pub min_runners: u32,
    /// VMs in service.
    pub in_service: u32,
    /// VMs that its row or the platform say are out.
    pub out: u32,
    /// The failure domain whose loss is covered.
    pub cover: strength::Cover,
    /// VMs still to be maintained in this period.
    pub due: u32,
    /// Start of the period, by the platform's time in milliseconds.
    pub period_start_ms: u64,
    /// Absence in this period, in whole runner-minutes.
    pub absent_min: u64,
    /// Absence that is borne in this period, in whole runner-minutes.
    pub absence_budget_min: u64,
    /// Why its wave is paused.
    pub paused: Option<reason::Reason>,
    /// VMs that it needs and that could not be found.
    pub unmet: u32,
}

/// A VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its row.
    #[serde(flatten)]
    pub row: row::Vm,
    /// Its rack.
    pub rack: Option<id::Rack>,
    /// Its data centre.
    pub data_centre: Option<id::DataCentre>,
    /// True if the platform says that it is live.
    pub live: bool,
    /// True if it is still to be maintained in its pool's period.
    pub due: bool,
    /// Entry VMs that have not acknowledged its drain.
    pub unacknowledged: Vec<id::Node>,
}

/// Milliseconds of a minute, for whole minutes.
const MINUTE_MS: u64 = crate::clock::MINUTE_MS;

impl planner::Planner {
    /// Describes the fleet by the stored rows, for a node that does not hold the duty.
    pub fn observe(&mut self) -> Fleet {
        self.know_pools();
        for pool in self.pools.values_mut() {
            pool.reason = pool.row.paused;
        }
        self.status()
    }

    /// Describes the fleet.
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
            let in_service = strength::Strength::of(wave.members).in_service;
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
                due: member.due(start_ms),
                unacknowledged: match leaving {
                    true => self.unacknowledged(&machine.row.vm),
                    false => Vec::new(),
                },
            }
        });
        vms.collect()
    }
}
