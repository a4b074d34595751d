//! An in-memory table behind a link that loses, delays and repeats messages.

use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::SmallRng;
use wasabiloft::clock;
use wasabiloft::id;
use wasabiloft::journal;
use wasabiloft::platform;

/// The rows of a table, with the platform's transaction semantics.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<id::Key, (u64, Option<String>)>,
    /// Number of committed writes with a value, by key.
    pub commits: BTreeMap<id::Key, u64>,
    /// Disables the checks of rows whose key has this prefix.
    pub unchecked_prefix: Option<&'static str>,
}

impl Table {
    pub fn row(&self, key: &id::Key) -> Option<platform::Row> {
        let (version, value) = self.rows.get(key)?;
        let value = value.clone()?;
        Some(platform::Row {
            key: key.clone(),
            version: *version,
            value,
        })
    }

    pub fn range(&self, prefix: &str) -> Vec<platform::Row> {
        let keys = self
            .rows
            .keys()
            .filter(|key| key.as_str().starts_with(prefix));
        keys.filter_map(|key| self.row(key)).collect()
    }

    pub fn transact(&mut self, txn: &platform::Txn) -> platform::Outcome {
        assert!(txn.checks.len().max(txn.writes.len()) <= platform::TXN_ROWS_MAX);
        for check in &txn.checks {
            let version = self.row(&check.key).map_or(0, |row| row.version);
            let skipped = self
                .unchecked_prefix
                .is_some_and(|prefix| check.key.as_str().starts_with(prefix));
            if version != check.version && !skipped {
                let key = check.key.clone();
                return platform::Outcome::Refused(platform::Refused { key, version });
            }
        }
        let versions = txn.writes.iter().map(|write| self.write(write)).collect();
        platform::Outcome::Committed(platform::Committed { versions })
    }

    fn write(&mut self, write: &platform::Write) -> u64 {
        let last = self.rows.get(&write.key).map_or(0, |(version, _)| *version);
        let version = last + u64::from(write.value.is_some());
        self.rows
            .insert(write.key.clone(), (version, write.value.clone()));
        *self.commits.entry(write.key.clone()).or_default() += u64::from(write.value.is_some());
        version * u64::from(write.value.is_some())
    }
}

/// Probabilities of faults, in percent, and an outage.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub request_lost: u32,
    pub reply_lost: u32,
    pub repeated: u32,
    pub slow: u32,
    /// Start and end of the outage, in milliseconds; requests sent in it are lost.
    pub outage_ms: (u64, u64),
}

/// A message in transit to the table or back.
#[derive(Debug)]
enum Message {
    Request(usize, journal::Request, bool),
    Reply(usize, journal::Attempt, journal::Reply),
}

/// The link between the nodes and the table.
#[derive(Debug, Default)]
pub struct Link {
    pub table: Table,
    pub faults: Faults,
    in_transit: Vec<(clock::Instant, Message)>,
}

/// Time after which a request without a reply counts as failed, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;

impl Link {
    /// Sends a request of a node; [`Link::deliver`] returns its reply or timeout.
    pub fn send(
        &mut self,
        now: clock::Instant,
        rng: &mut SmallRng,
        node: usize,
        request: journal::Request,
    ) {
        let (attempt, lost) = match &request {
            journal::Request::Transact { attempt, .. } => (
                *attempt,
                journal::Reply::Outcome(platform::Outcome::Unknown),
            ),
            journal::Request::Read { attempt, .. } => (*attempt, journal::Reply::ReadFailed),
        };
        self.in_transit.push((
            now.after_ms(TIMEOUT_MS),
            Message::Reply(node, attempt, lost),
        ));
        let is_out = (self.faults.outage_ms.0..self.faults.outage_ms.1).contains(&now.as_ms());
        if is_out || rng.random_ratio(self.faults.request_lost, 100) {
            return;
        }
        if rng.random_ratio(self.faults.repeated, 100) {
            let at = now.after_ms(rng.random_range(5..5_000));
            self.in_transit
                .push((at, Message::Request(node, request.clone(), false)));
        }
        let slow = rng.random_ratio(self.faults.slow, 100);
        let at = now.after_ms(rng.random_range(2..if slow { 6_000 } else { 20 }));
        self.in_transit
            .push((at, Message::Request(node, request, true)));
    }

    /// Executes the requests that have arrived by `now` and returns the replies for the nodes.
    pub fn deliver(
        &mut self,
        now: clock::Instant,
        rng: &mut SmallRng,
    ) -> Vec<(usize, journal::Attempt, journal::Reply)> {
        let mut replies = Vec::new();
        self.in_transit.sort_by_key(|(at, _)| *at);
        let due = self.in_transit.partition_point(|(at, _)| *at <= now);
        let arrived: Vec<(clock::Instant, Message)> = self.in_transit.drain(..due).collect();
        for (at, message) in arrived {
            match message {
                Message::Reply(node, attempt, reply) => replies.push((node, attempt, reply)),
                Message::Request(node, request, answered) => {
                    let (attempt, reply) = self.run(&request);
                    if answered && !rng.random_ratio(self.faults.reply_lost, 100) {
                        let back = at.after_ms(rng.random_range(2..10));
                        self.in_transit
                            .push((back, Message::Reply(node, attempt, reply)));
                    }
                }
            }
        }
        replies
    }

    fn run(&mut self, request: &journal::Request) -> (journal::Attempt, journal::Reply) {
        match request {
            journal::Request::Transact { attempt, txn } => {
                (*attempt, journal::Reply::Outcome(self.table.transact(txn)))
            }
            journal::Request::Read { attempt, key } => {
                (*attempt, journal::Reply::Row(self.table.row(key)))
            }
        }
    }
}
