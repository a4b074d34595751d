//! The simulated network, and the nodes' requests to the table.

use rand::Rng;

use wasabiloft::control;
use wasabiloft::journal;
use wasabiloft::peers;
use wasabiloft::platform;
use wasabiloft::roster;

use super::{Event, NodeIndex, World};

/// Bytes that each message costs beside its payload: the IP, UDP and QUIC headers and the acknowledgement.
pub const OVERHEAD_BYTES: u64 = 120;
/// Time after which a request to the table without a reply fails, in milliseconds.
const TIMEOUT_MS: u64 = 1_500;

/// Fault rates, in percent of messages or requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Messages between nodes that are lost, in percent.
    pub messages_lost: u32,
    /// Messages between nodes that are delayed by 1 to 20 seconds, in percent.
    pub messages_late: u32,
    /// Requests that are lost before they reach the table, in percent.
    pub requests_lost: u32,
    /// Replies of the table that are lost, in percent.
    pub replies_lost: u32,
    /// Requests that are delayed by 0.5 to 10 seconds, in percent.
    pub requests_slow: u32,
    /// True while the table replies to no node.
    pub table_out: bool,
}

/// A request to the table.
#[derive(Debug)]
pub(super) enum Request {
    Transact(journal::Attempt, platform::Txn),
    Read(control::ReadId, control::Read),
}

impl World {
    pub(super) fn handle_output(&mut self, index: NodeIndex, output: control::Output) {
        match output {
            control::Output::Send { to, message } => self.send(index, &to, message),
            control::Output::Transact { attempt, txn } => {
                self.nodes[index.0].traffic.writes += 1;
                self.request(index, Request::Transact(attempt, txn));
            }
            control::Output::Read { id, read } => {
                self.nodes[index.0].traffic.reads += 1;
                self.request(index, Request::Read(id, read));
            }
            control::Output::Settled(_) | control::Output::Applied(_) => {}
        }
    }

    fn send(&mut self, from: NodeIndex, to: &roster::NodeId, message: peers::Message) {
        let length = peers::codec::encode(&message).map_or(0, |bytes| bytes.len());
        let traffic = &mut self.nodes[from.0].traffic;
        traffic.messages += 1;
        traffic.bytes += u64::try_from(length).unwrap_or(u64::MAX) + OVERHEAD_BYTES;
        // The address belongs to the newest process of that node, whatever its incarnation.
        let receiver = self
            .nodes
            .iter()
            .rposition(|node| node.control.me().id.node == to.node);
        let Some(to) = receiver.map(NodeIndex) else {
            return;
        };
        if self.rng.random_ratio(self.faults.messages_lost, 100)
            || self.nodes[from.0].group != self.nodes[to.0].group
        {
            return;
        }
        let is_late = self.rng.random_ratio(self.faults.messages_late, 100);
        let delay_ms = self
            .rng
            .random_range(if is_late { 1_000..20_000 } else { 1..4 });
        self.schedule(
            self.now.after_ms(delay_ms),
            Event::Message { from, to, message },
        );
    }

    fn request(&mut self, index: NodeIndex, request: Request) {
        let failed = match &request {
            Request::Transact(attempt, _) => control::Input::Transacted {
                attempt: *attempt,
                outcome: platform::Outcome::Unknown,
            },
            Request::Read(id, _) => control::Input::Read {
                id: *id,
                rows: None,
            },
        };
        let timeout_at = self.now.after_ms(TIMEOUT_MS);
        self.schedule(timeout_at, Event::Input(index, Box::new(failed)));
        if self.rng.random_ratio(self.faults.requests_lost, 100) {
            return;
        }
        let is_slow = self.rng.random_ratio(self.faults.requests_slow, 100);
        let delay_ms = self
            .rng
            .random_range(if is_slow { 500..10_000 } else { 2..8 });
        self.schedule(self.now.after_ms(delay_ms), Event::Request(index, request));
    }

    pub(super) fn serve(&mut self, index: NodeIndex, request: Request) {
        let is_write = matches!(request, Request::Transact(..));
        self.requests_at.push((self.now, is_write));
        if self.faults.table_out || !self.nodes[index.0].reaches_table {
            return;
        }
        let reply = match request {
            Request::Transact(attempt, txn) => {
                let outcome = match self.table.transact(&txn) {
                    Ok(committed) => platform::Outcome::Committed(committed),
                    Err(refused) => platform::Outcome::Refused(refused),
                };
                control::Input::Transacted { attempt, outcome }
            }
            Request::Read(id, read) => {
                let rows = match read {
                    control::Read::Row(key) => self.table.row(&key).into_iter().collect(),
                    control::Read::Range(prefix) => self.table.range(&prefix, "", usize::MAX),
                };
                self.count_read(index, &rows);
                control::Input::Read {
                    id,
                    rows: Some(rows),
                }
            }
        };
        if !self.rng.random_ratio(self.faults.replies_lost, 100) {
            let delay_ms = self.rng.random_range(1..4);
            let reply = Event::Input(index, Box::new(reply));
            self.schedule(self.now.after_ms(delay_ms), reply);
        }
    }

    fn count_read(&mut self, index: NodeIndex, rows: &[platform::Row]) {
        let lengths = rows
            .iter()
            .map(|row| row.key.as_str().len() + row.value.len());
        let bytes = u64::try_from(lengths.sum::<usize>()).unwrap_or(u64::MAX);
        self.nodes[index.0].traffic.read_bytes += bytes;
    }

    /// Reads the current head from the table, without a request of a node.
    pub fn table_head(&self) -> u64 {
        let row = self
            .table
            .row(&wasabiloft::id::Key::new(wasabiloft::config::HEAD_KEY));
        let head =
            row.and_then(|row| serde_json::from_str::<wasabiloft::config::Head>(&row.value).ok());
        head.map_or(0, |head| head.head)
    }
}
