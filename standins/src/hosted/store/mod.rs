//! The row store: conditional transactions, range reads and a change feed. Injected faults make it unavailable or slow,
//! lose responses, apply writes late, or discard its change history.

mod server;
pub mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};
use tokio::sync::Notify;
use tokio::time;

use crate::hosted::{Listening, listen, lock};

/// A partition refuses transactions if more than this is waiting.
const WAITING_MAX: Duration = Duration::from_secs(1);

/// Maximum size of a row's value, in bytes.
const ROW_BYTES_MAX: usize = 65_536;
/// Maximum number of entries in a transaction.
const ENTRIES_MAX: usize = 100;
/// Maximum size of a transaction, in bytes.
const TRANSACTION_BYTES_MAX: usize = 1_000_000;

type Key = (String, String, String);

/// A row as sent on the wire.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Row {
    /// Name of the table.
    pub table: String,
    /// Partition of the table.
    pub part: String,
    /// Key within the partition.
    pub key: String,
    /// Value in base64; absent in a removed row.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// Store version of the last write to the row.
    pub record_version: u64,
    /// True if the row was removed.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub deleted: bool,
    /// JSON text that the store sends in place of the row, if set.
    #[serde(skip)]
    text: Option<String>,
}

impl Row {
    fn wire(self) -> Box<RawValue> {
        let text = match self.text {
            Some(text) => RawValue::from_string(text),
            None => to_raw_value(&self),
        };
        text.expect("a row is valid JSON")
    }

    fn name(&self) -> Key {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}

#[derive(Debug, Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, Row>,
}

/// State of the row store.
#[derive(Debug, Default)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Notify,
    /// If set, every request gets status 503.
    pub unavailable: AtomicBool,
    /// Partitions whose transactions and range reads get status 503.
    refused_parts: Mutex<BTreeSet<String>>,
    /// Random share of all requests that get status 503, in thousandths.
    pub refused_milli: AtomicU32,
    draws: Mutex<Draws>,
    /// Number of upcoming transactions that are applied without a response.
    pub lost_responses: AtomicU32,
    /// Number of upcoming transactions that are applied late and without a response.
    pub late_writes: AtomicU32,
    /// Number of upcoming transactions on a table that are applied late and without a response.
    late_writes_to: Mutex<BTreeMap<String, u32>>,
    /// Delay added to each response to a transaction or range read, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Time that a partition takes for a transaction, in milliseconds; a partition processes them one by one.
    pub transaction_ms: AtomicU64,
    /// Number of transactions received for each table.
    transactions: Mutex<BTreeMap<String, u64>>,
    /// When each partition will have processed its transactions.
    busy_until: Mutex<BTreeMap<String, time::Instant>>,
    /// The change feed no longer holds changes up to this version.
    compacted_version: AtomicU64,
    clock: Clock,
}

/// Decides which requests are refused at random.
#[derive(Debug)]
struct Draws(SmallRng);

impl Default for Draws {
    fn default() -> Self {
        Self(SmallRng::seed_from_u64(1))
    }
}

/// Time at which the store's clock started.
#[derive(Debug)]
struct Clock(time::Instant);

impl Default for Clock {
    fn default() -> Self {
        Self(time::Instant::now())
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Transaction {
    #[serde(default)]
    expect_rev: Vec<Row>,
    #[serde(default)]
    writes: Vec<Row>,
    #[serde(default)]
    remove: Vec<Row>,
}

impl Transaction {
    /// Returns whether the number of entries and the sizes are within the limits that the platform states.
    fn is_within_limits(&self) -> bool {
        let entries = self.expect_rev.len() + self.writes.len() + self.remove.len();
        let text_bytes = |row: &Row| row.value.as_ref().map_or(0, String::len);
        let bytes: usize = self.writes.iter().map(text_bytes).sum();
        let rows = self.writes.iter();
        let has_large_row = rows
            .map(text_bytes)
            .any(|text| text / 4 * 3 > ROW_BYTES_MAX);
        entries <= ENTRIES_MAX && bytes <= TRANSACTION_BYTES_MAX && !has_large_row
    }
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start() -> std::io::Result<Listening<Self>> {
        Self::listen(&Arc::default(), Arc::default()).await
    }

    /// Serves a store at another address, to a caller that sees other addresses in the rows.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn listen(
        store: &Arc<Self>,
        view: Arc<view::View>,
    ) -> std::io::Result<Listening<Self>> {
        let router = server::router(Arc::clone(store), view);
        listen(Arc::clone(store), router).await
    }

    /// Writes a row without conditions, as an operator or a worker does; `value` is in base64.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.put_in(table, "", key, value);
    }

    /// Does the same in a partition.
    pub fn put_in(&self, table: &str, part: &str, key: &str, value: &str) {
        self.put_row(Row {
            table: table.into(),
            part: part.into(),
            key: key.into(),
            value: Some(value.into()),
            ..Row::default()
        });
    }

    /// Makes the store send a JSON text in place of a row.
    ///
    /// # Panics
    ///
    /// A response with the row panics if the text isn't JSON.
    pub fn put_text(&self, table: &str, key: &str, text: &str) {
        self.put_row(Row {
            table: table.into(),
            key: key.into(),
            text: Some(text.into()),
            ..Row::default()
        });
    }

    fn put_row(&self, row: Row) {
        let mut rows = lock(&self.rows);
        rows.version += 1;
        let record_version = rows.version;
        rows.rows.insert(
            row.name(),
            Row {
                record_version,
                ..row
            },
        );
        drop(rows);
        self.changed.notify_waiters();
    }

    /// Removes a row without conditions, as the platform does.
    pub fn remove(&self, table: &str, key: &str) {
        let removed = Row {
            table: table.into(),
            key: key.into(),
            ..Row::default()
        };
        let transaction = Transaction {
            expect_rev: Vec::new(),
            writes: Vec::new(),
            remove: vec![removed],
        };
        // A transaction without conditions always succeeds.
        let _ = self.apply(transaction);
    }

    /// Refuses transactions and range reads of some partitions, and of no others. Changes of all are still fed.
    pub fn refuse_parts(&self, parts: BTreeSet<String>) {
        *lock(&self.refused_parts) = parts;
    }

    /// Returns whether a request is refused that covers a partition, if any.
    fn refuses(&self, part: Option<&str>) -> bool {
        let refused_milli = self.refused_milli.load(Ordering::Relaxed);
        self.unavailable.load(Ordering::Relaxed)
            || part.is_some_and(|part| lock(&self.refused_parts).contains(part))
            || refused_milli > 0 && lock(&self.draws).0.random_range(0..1_000) < refused_milli
    }

    /// Discards the change history up to the current version.
    pub fn compact(&self) {
        let version = lock(&self.rows).version;
        self.compacted_version.store(version, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.clock.0.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Applies the next transactions on a table late and without a response.
    pub fn write_late(&self, table: &str, transactions: u32) {
        lock(&self.late_writes_to).insert(table.into(), transactions);
    }

    fn writes_late(&self, transaction: &Transaction) -> bool {
        let mut late_writes_to = lock(&self.late_writes_to);
        let table = transaction.writes.first().map(|row| row.table.as_str());
        let remaining = table.and_then(|table| late_writes_to.get_mut(table));
        if let Some(remaining) = remaining.filter(|remaining| **remaining > 0) {
            *remaining -= 1;
            return true;
        }
        drop(late_writes_to);
        server::consume_fault(&self.late_writes)
    }

    /// Returns the number of transactions received that wrote to a table.
    pub fn transactions(&self, table: &str) -> u64 {
        lock(&self.transactions).get(table).copied().unwrap_or(0)
    }

    /// Waits until a partition has processed the transactions before this one and this one; returns false if too many
    /// are waiting.
    async fn wait_for_partition(&self, part: &str) -> bool {
        let duration = Duration::from_millis(self.transaction_ms.load(Ordering::Relaxed));
        if duration.is_zero() {
            return true;
        }
        let done_at = {
            let mut busy_until = lock(&self.busy_until);
            let now = time::Instant::now();
            let busy_until = busy_until.entry(part.to_owned()).or_insert(now);
            let start = now.max(*busy_until);
            if start.duration_since(now) > WAITING_MAX {
                return false;
            }
            *busy_until = start + duration;
            *busy_until
        };
        time::sleep_until(done_at).await;
        true
    }

    async fn delay_response(&self) {
        let delay_ms = self.delay_ms.load(Ordering::Relaxed);
        if delay_ms > 0 {
            time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Returns the value of a row in base64.
    pub fn get(&self, table: &str, part: &str, key: &str) -> Option<String> {
        let name = (table.into(), part.into(), key.into());
        lock(&self.rows).rows.get(&name)?.value.clone()
    }

    fn apply(&self, transaction: Transaction) -> Result<u64, Vec<Row>> {
        let mut rows = lock(&self.rows);
        let version_of = |rows: &Rows, row: &Row| {
            let found = rows.rows.get(&row.name()).filter(|found| !found.deleted);
            found.map_or(0, |found| found.record_version)
        };
        let conditions_hold = transaction
            .expect_rev
            .iter()
            .all(|row| version_of(&rows, row) == row.record_version);
        if !conditions_hold {
            let current = transaction
                .expect_rev
                .iter()
                .filter_map(|row| rows.rows.get(&row.name()))
                .filter(|row| !row.deleted)
                .cloned();
            return Err(current.collect());
        }
        rows.version += 1;
        let record_version = rows.version;
        for row in transaction.writes {
            rows.rows.insert(
                row.name(),
                Row {
                    record_version,
                    ..row
                },
            );
        }
        for row in transaction.remove {
            let removed = Row {
                record_version,
                deleted: true,
                value: None,
                ..row
            };
            rows.rows.insert(removed.name(), removed);
        }
        drop(rows);
        self.changed.notify_waiters();
        Ok(record_version)
    }

    /// Returns the rows of a table that changed after a version, in order, and the newest version.
    fn changes(&self, table: &str, after: u64) -> (Vec<Row>, u64) {
        let rows = lock(&self.rows);
        let mut changed: Vec<Row> = rows
            .rows
            .values()
            .filter(|row| row.table == table && row.record_version > after)
            .cloned()
            .collect();
        changed.sort_by_key(|row| row.record_version);
        (changed, rows.version)
    }
}
