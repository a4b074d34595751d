//! Recovers the previous leaders' records of waves and of commands to machines.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time;
use wasabiloft::batch::{machine_commands, record, waves};
use wasabiloft::id;
use wasabiloft_platform::store;

use crate::batch::fleet::STORE_TIMEOUT_MS;
use crate::batch::{leadership, shared};
use crate::clock;
use crate::log;

/// Pause after a failed read, in milliseconds.
const RETRY_MS: u64 = 150;

/// State recovered from the previous leaders' records.
#[derive(Debug, Default)]
pub(super) struct RecoveredState {
    /// Progress of each wave.
    pub waves: BTreeMap<u64, waves::Record>,
    /// Machines with a recent command, and the time until which they get no new one.
    pub held_off: BTreeMap<id::Vm, wasabiloft::clock::Instant>,
}

/// Reads the records of previous leaders; retries until it succeeds or the leadership ends.
pub(super) async fn read(
    shared: &shared::Shared,
    leadership: &leadership::Leadership,
) -> RecoveredState {
    // What was read is kept: where most calls are refused, both reads rarely succeed one after the other.
    let (mut waves, mut held_off) = (None, None);
    loop {
        if waves.is_none() {
            let page = rows(shared, record::WAVE_TABLE).await;
            waves = page.map(|page| {
                let mut waves: BTreeMap<u64, waves::Record> = BTreeMap::new();
                for (key, record) in page.rows.iter().filter_map(read_wave) {
                    waves.entry(key.wave).or_default().merge(record);
                }
                waves
            });
        }
        if held_off.is_none() {
            let page = rows(shared, record::MACHINE_TABLE).await;
            held_off = page.map(|page| held_off_by(&page, shared.settings().duty_lease_ms));
        }
        if let (Some(waves), Some(held_off)) = (&mut waves, &mut held_off) {
            return RecoveredState {
                waves: std::mem::take(waves),
                held_off: std::mem::take(held_off),
            };
        }
        if leadership.ended.is_cancelled() {
            return RecoveredState::default();
        }
        time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

fn read_wave(row: &store::Row) -> Option<(waves::Key, waves::Record)> {
    let key = row.name.key.parse().ok();
    let record = row.value.as_deref().map(serde_json::from_slice);
    match (key, record) {
        (Some(key), Some(Ok(record))) => Some((key, record)),
        _ => {
            // The wave's maintenance commands are sent again; the platform treats repeats as the same command.
            log::warn(
                "fleet",
                &format!("cannot decode the wave's row key={}", row.name.key),
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
                &format!("cannot read rows table={table} reason={error}"),
            );
            None
        }
    }
}

/// Returns the machines with a recent command of a previous leader, and until when they get no new one.
///
/// Ages are measured at the time of the read's response.
fn held_off_by(page: &store::Page, lease_ms: u64) -> BTreeMap<id::Vm, wasabiloft::clock::Instant> {
    let now = clock::since_boot();
    let mut held_off = BTreeMap::new();
    for row in &page.rows {
        let vm = id::Vm::new(&row.name.key);
        let command = row.value.as_deref().map(serde_json::from_slice);
        let holdoff_ms = match command {
            Some(Ok(record::MachineRow { at_ms })) => {
                machine_commands::holdoff_ms(at_ms, page.now_ms, lease_ms)
            }
            _ => {
                log::warn("fleet", &format!("cannot decode the command's row vm={vm}"));
                machine_commands::holdoff_ms(page.now_ms, page.now_ms, lease_ms)
            }
        };
        if holdoff_ms > 0 {
            held_off.insert(vm, now.after_ms(holdoff_ms));
        }
    }
    log::info(
        "fleet",
        &format!(
            "machines held off count={} ordered={}",
            held_off.len(),
            page.rows.len()
        ),
    );
    held_off
}
