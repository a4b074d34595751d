//! Rows of VMs and pools as a node reads them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time;
use wasabiloft::clock;
use wasabiloft::id;
use wasabiloft::platform as messages;
use wasabiloft::pool::row;

use crate::log;
use crate::node;
use crate::platform;

/// Time between two reads, in milliseconds.
const POLL_MS: u64 = 2_000;

/// All rows of the fleet.
#[derive(Debug, Default)]
pub struct Rows {
    /// True once they have been read.
    pub loaded: bool,
    /// When the read began.
    pub read_at: clock::Instant,
    /// Rows of pools.
    pub pools: Vec<messages::Row>,
    /// Rows of VMs.
    pub vms: Vec<messages::Row>,
    /// The VMs' rows by VM.
    pub by_vm: BTreeMap<id::Vm, row::Vm>,
}

/// Reads the rows, the pools' before the VMs'.
///
/// # Errors
///
/// If the table gives no answer.
pub async fn read(
    platform: &platform::Client,
    read_at: clock::Instant,
) -> Result<Rows, platform::Error> {
    let pools = platform.range(row::POOL_PREFIX).await?;
    let vms = platform.range(row::VM_PREFIX).await?;
    let readable = vms.iter().filter_map(|stored| row::read_vm(stored).ok());
    let by_vm = readable.map(|row| (row.vm.clone(), row)).collect();
    Ok(Rows {
        loaded: true,
        read_at,
        pools,
        vms,
        by_vm,
    })
}

/// Reads the rows now and again until the node stops.
pub async fn poll(shared: Arc<node::Shared>) {
    let mut timer = time::interval(Duration::from_millis(POLL_MS));
    timer.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            _ = timer.tick() => {}
        }
        match read(&shared.platform, shared.clock.now()).await {
            Ok(rows) => {
                shared.fleet.rows.send_replace(Arc::new(rows));
            }
            Err(error) => log::warn("fleet", &format!("could not read rows: {error}")),
        }
    }
}
