//! What predecessors wrote down of waves and of orders for machines.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time;
use wasabiloft::batch::{machine_commands, record, waves};
use wasabiloft::id;
use wasabiloft_platform::store;

use crate::batch::fleet::STORE_TIMEOUT_MS;
use crate::batch::{holding, shared};
use crate::clock;
use crate::log;

/// Pause after a failed reading, in milliseconds.
const RETRY_MS: u64 = 150;

/// What predecessors did.
#[derive(Debug, Default)]
pub(super) struct Past {
    /// What was done of each wave.
    pub waves: BTreeMap<u64, waves::Record>,
    /// Machines that were ordered lately, and until when they are left alone.
    pub held: BTreeMap<id::Vm, wasabiloft::clock::Instant>,
}

/// Reads what predecessors wrote down.
pub(super) async fn read(shared: &shared::Shared, holding: &holding::Holding) -> Past {
    loop {
        let waves = rows(shared, record::WAVE_TABLE).await;
        let machines = rows(shared, record::MACHINE_TABLE).await;
        if let (Some(waves), Some(machines)) = (waves, machines) {
            return Past {
                waves: waves.rows.iter().filter_map(read_wave).collect(),
                held: held(&machines, shared.settings().duty_lease_ms),
            };
        }
        if holding.over.is_cancelled() {
            return Past::default();
        }
        time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

fn read_wave(row: &store::Row) -> Option<(u64, waves::Record)> {
    let number = row.name.key.parse().ok();
    let record = row.value.as_deref().map(serde_json::from_slice);
    match (number, record) {
        (Some(number), Some(Ok(record))) => Some((number, record)),
        _ => {
            // Its upkeeps are ordered again, which the platform takes as the same.
            log::warn(
                "fleet",
                &format!("wave's row can't be read key={}", row.name.key),
            );
            None
        }
    }
}

async fn rows(shared: &shared::Shared, table: &str) -> Option<store::Page> {
    let page = shared
        .store
        .rows(table, record::SCHEDULER_PARTITION, STORE_TIMEOUT_MS)
        .await;
    match page {
        Ok(page) => Some(page),
        Err(error) => {
            log::info(
                "fleet",
                &format!("rows unread table={table} reason={error}"),
            );
            None
        }
    }
}

/// Machines that a predecessor ordered lately; the moment is that of the reading's answer.
fn held(page: &store::Page, lease_ms: u64) -> BTreeMap<id::Vm, wasabiloft::clock::Instant> {
    let now = clock::since_boot();
    let mut held = BTreeMap::new();
    for row in &page.rows {
        let vm = id::Vm::new(&row.name.key);
        let ordered = row.value.as_deref().map(serde_json::from_slice);
        let left_ms = match ordered {
            Some(Ok(record::MachineRow { at_ms })) => {
                machine_commands::holdoff_ms(at_ms, page.now_ms, lease_ms)
            }
            _ => {
                log::warn("fleet", &format!("order's row can't be read vm={vm}"));
                machine_commands::holdoff_ms(page.now_ms, page.now_ms, lease_ms)
            }
        };
        if left_ms > 0 {
            held.insert(vm, now.after_ms(left_ms));
        }
    }
    log::info(
        "fleet",
        &format!(
            "machines left alone count={} ordered={}",
            held.len(),
            page.rows.len()
        ),
    );
    held
}
