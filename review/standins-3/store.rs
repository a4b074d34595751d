//! The platform's store: conditional transactions, range reads and a feed. Writes on a table can be applied late and without
//! an answer.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Server};
use crate::json::{Json, to_base64};
use crate::record::Record;

/// Time of an answer without load, in milliseconds.
const ANSWER_MS: u64 = 4;
/// Time of a transaction, in milliseconds.
const TX_MS: u64 = 8;

/// What each write of the leader's row contains.
const DUTY: &str = "\"table\":\"duty\"";

type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    /// Base64; `None` for a row that was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, Row>,
}

/// Transactions that are applied late and not answered.
#[derive(Clone)]
pub struct Late {
    /// Table of their first write.
    pub table: String,
    /// Delay of each, in milliseconds, in the order of their arrival.
    pub delays_ms: Vec<u64>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    since: Instant,
    record: Arc<Record>,
    late: Mutex<Option<Late>>,
    /// Transactions that arrived, and those that were left without an answer.
    counts: Mutex<(u64, u64)>,
}

fn name(row: &Json) -> Key {
    (
        row.word("table").to_owned(),
        row.word("part").to_owned(),
        row.word("key").to_owned(),
    )
}

fn wire(key: &Key, row: &Row) -> Json {
    let mut fields = vec![
        ("table", Json::text(&key.0)),
        ("part", Json::text(&key.1)),
        ("key", Json::text(&key.2)),
        ("recordVersion", Json::number(row.version)),
    ];
    match &row.value {
        Some(value) => fields.push(("value", Json::text(value))),
        None => fields.push(("deleted", Json::Bool(true))),
    }
    Json::object(&fields)
}

/// A node's way to the store, at an address of its own. The store can turn that node away with 503.
pub struct Door {
    pub server: Server,
    is_shut: Arc<AtomicBool>,
    /// When the node wrote the duty last.
    duty_at: Arc<Mutex<Option<Instant>>>,
}

impl Door {
    pub fn duty_at(&self) -> Option<Instant> {
        *self.duty_at.lock().unwrap()
    }

    pub fn set_shut(&self, shut: bool) {
        self.is_shut.store(shut, Ordering::SeqCst);
    }
}

impl Store {
    pub fn new(record: &Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            since: Instant::now(),
            record: Arc::clone(record),
            late: Mutex::default(),
            counts: Mutex::default(),
        })
    }

    pub fn door(self: &Arc<Self>) -> io::Result<Door> {
        let (handler, is_shut) = (Arc::clone(self), Arc::<AtomicBool>::default());
        let shut = Arc::clone(&is_shut);
        let duty_at: Arc<Mutex<Option<Instant>>> = Arc::default();
        let duty = Arc::clone(&duty_at);
        let server = Server::start(0, move |request| {
            let is_away = || shut.load(Ordering::SeqCst);
            if is_away() {
                thread::sleep(Duration::from_millis(ANSWER_MS));
                return Reply::Answer(503, "{}".into());
            }
            if request.path == "/rows-tx" && request.body.contains(DUTY) {
                *duty.lock().unwrap() = Some(Instant::now());
            }
            handler.handle(request, &is_away)
        })?;
        Ok(Door {
            server,
            is_shut,
            duty_at,
        })
    }

    /// Writes a row as the operator or a runner does; `value` is JSON text.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = Some(to_base64(value.as_bytes()));
        rows.rows.insert(
            (table.into(), String::new(), key.into()),
            Row { value, version },
        );
        self.changed.notify_all();
    }

    pub fn set_late(&self, late: Option<Late>) {
        *self.late.lock().unwrap() = late;
    }

    /// Returns how many transactions arrived, and how many of them were not answered.
    pub fn counts(&self) -> (u64, u64) {
        *self.counts.lock().unwrap()
    }

    fn page(&self, rows: Vec<Json>, more: bool, version: u64) -> String {
        let now_ms = self.since.elapsed().as_millis() as u64;
        let page = Json::object(&[
            ("rows", Json::List(rows)),
            ("morePages", Json::Bool(more)),
            ("recordVersion", Json::number(version)),
            ("nowMs", Json::number(now_ms)),
        ]);
        page.to_string()
    }

    fn handle(self: &Arc<Self>, request: &Request, is_away: &dyn Fn() -> bool) -> Reply {
        thread::sleep(Duration::from_millis(ANSWER_MS));
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(&request.body),
            ("GET", "/rows-get") => {
                let (table, part, from) = (query("table"), query("part"), query("from"));
                let limit = query("limit").parse().unwrap_or(500_usize).min(500);
                let to = request.query.get("to");
                let rows = self.rows.lock().unwrap();
                let found = rows.rows.iter().filter(|(key, row)| {
                    let is_in = key.0 == table && key.1 == part && key.2 >= from;
                    is_in && to.is_none_or(|to| key.2 < *to) && row.value.is_some()
                });
                let found: Vec<Json> = found.map(|(key, row)| wire(key, row)).collect();
                let (version, more) = (rows.version, found.len() > limit);
                drop(rows);
                let found = found.into_iter().take(limit).collect();
                Reply::Answer(200, self.page(found, more, version))
            }
            ("GET", "/rows-feed") => {
                let wait_ms = query("waitMs").parse().unwrap_or(0).min(30_000);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                let (table, after) = (query("table"), query("after").parse().unwrap_or(0));
                let mut rows = self.rows.lock().unwrap();
                loop {
                    let is_new = |(key, row): &(&Key, &Row)| key.0 == table && row.version > after;
                    let mut found: Vec<(&Key, &Row)> = rows.rows.iter().filter(is_new).collect();
                    found.sort_by_key(|(_, row)| row.version);
                    let left = until.saturating_duration_since(Instant::now());
                    if is_away() {
                        return Reply::Answer(503, "{}".into());
                    }
                    if !found.is_empty() || left.is_zero() {
                        let found = found.into_iter().map(|(key, row)| wire(key, row)).collect();
                        let version = rows.version;
                        drop(rows);
                        return Reply::Answer(200, self.page(found, false, version));
                    }
                    let wait = left.min(Duration::from_millis(50));
                    rows = self.changed.wait_timeout(rows, wait).unwrap().0;
                }
            }
            _ => Reply::Answer(404, "{}".into()),
        }
    }

    fn transact(self: &Arc<Self>, body: &str) -> Reply {
        let Some(call) = Json::parse(body) else {
            return Reply::Answer(400, "{}".into());
        };
        let items = |field: &str| {
            call.get(field)
                .map(|list| list.items().to_vec())
                .unwrap_or_default()
        };
        let (checks, writes, removals) = (items("expectRev"), items("writes"), items("remove"));
        let is_foreign = |row: &Json| matches!(row.word("table"), "op" | "servers");
        if writes.iter().chain(&removals).any(is_foreign) {
            return Reply::Answer(403, "{}".into());
        }
        self.counts.lock().unwrap().0 += 1;
        let table = writes.first().map_or("", |row| row.word("table"));
        let delay_ms = {
            let mut late = self.late.lock().unwrap();
            late.as_mut().and_then(|late| {
                (late.table == table && !late.delays_ms.is_empty())
                    .then(|| late.delays_ms.remove(0))
            })
        };
        if let Some(delay_ms) = delay_ms {
            self.counts.lock().unwrap().1 += 1;
            let keys: Vec<&str> = writes.iter().map(|row| row.word("key")).collect();
            let keys = keys.join(",");
            self.record.line(&format!(
                "store: no answer to a write of {table} {keys}, applied in {delay_ms} ms"
            ));
            let store = Arc::clone(self);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(delay_ms));
                let outcome = store.apply(&checks, &writes, &removals);
                let outcome = if outcome.is_ok() {
                    "applied"
                } else {
                    "not applied, its condition fails"
                };
                store
                    .record
                    .line(&format!("store: late write of {keys}: {outcome}"));
            });
            return Reply::Silent;
        }
        thread::sleep(Duration::from_millis(TX_MS - ANSWER_MS));
        match self.apply(&checks, &writes, &removals) {
            Ok(version) => Reply::Answer(200, self.page(Vec::new(), false, version)),
            Err(rows) => Reply::Answer(412, self.page(rows, false, 0)),
        }
    }

    fn apply(&self, checks: &[Json], writes: &[Json], removals: &[Json]) -> Result<u64, Vec<Json>> {
        let mut rows = self.rows.lock().unwrap();
        let version_of = |rows: &Rows, row: &Json| {
            let found = rows
                .rows
                .get(&name(row))
                .filter(|found| found.value.is_some());
            found.map_or(0, |found| found.version)
        };
        if !checks
            .iter()
            .all(|row| version_of(&rows, row) == row.field("recordVersion"))
        {
            let current = checks.iter().filter_map(|row| {
                let key = name(row);
                let found = rows.rows.get(&key).filter(|found| found.value.is_some());
                found.map(|found| wire(&key, found))
            });
            return Err(current.collect());
        }
        rows.version += 1;
        let version = rows.version;
        for row in writes {
            let value = Some(row.word("value").to_owned());
            rows.rows.insert(name(row), Row { value, version });
        }
        for row in removals {
            rows.rows.insert(
                name(row),
                Row {
                    value: None,
                    version,
                },
            );
        }
        self.changed.notify_all();
        Ok(version)
    }
}
