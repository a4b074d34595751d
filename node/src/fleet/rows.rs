//! Reads the rows of VMs and pools on every node.

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

/// Interval between reads, in milliseconds.
const POLL_INTERVAL_MS: u64 = 2_000;

/// The fleet's rows from one read.
#[derive(Debug, Default)]
pub struct Rows {
    /// True once the rows have been read.
    pub loaded: bool,
    /// When the read began.
    pub read_at: clock::Instant,
    /// The pools' rows as stored.
    pub pools: Vec<messages::Row>,
    /// The VMs' rows as stored.
    pub vms: Vec<messages::Row>,
    /// The readable rows of VMs, parsed, by VM.
    pub by_vm: BTreeMap<id::Vm, row::Vm>,
}

/// Reads all rows, those of pools before those of VMs.
///
/// # Errors
///
/// Returns an error if the table does not answer.
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

/// Reads the rows periodically until the node stops.
pub async fn poll(shared: Arc<node::Shared>) {
    let mut timer = time::interval(Duration::from_millis(POLL_INTERVAL_MS));
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
            Err(error) => log::warn("fleet", &format!("cannot read rows: {error}")),
        }
    }
}
