//! Connection pool of one node for one endpoint: selects the connection of each request, and connections to close.
//!
//! A connection can stop delivering data for good while new ones work, so a connection counts as alive only for a while
//! after the last data received on it. A request that is not idempotent is sent only on a connection that received data
//! within [`NON_IDEMPOTENT_IDLE_MAX_MS`], or on a new one. A connection whose request times out is closed. When several
//! connections time out and none receives data in between, the endpoint is suspect and all its connections are retired.

use slotmap::SlotMap;

use crate::clock;

/// Maximum time since the last data received for a connection to get a request that is not idempotent, in milliseconds.
pub const NON_IDEMPOTENT_IDLE_MAX_MS: u64 = 1_000;
/// Maximum time since the last data received for a connection to get an idempotent request, in milliseconds.
pub const IDLE_MAX_MS: u64 = 10_000;
/// Number of timeouts, with no data received in between, that make the endpoint suspect.
const TIMEOUTS_MAX: u32 = 2;

slotmap::new_key_type! {
    /// Identifies a connection in its [`Pool`].
    pub struct Key;
}

/// Kind of request, which decides how recently its connection must have received data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The request can be sent again.
    Idempotent,
    /// The request cannot be sent again, so it must not be sent on a dead connection.
    NonIdempotent,
}

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Being opened for a request.
    Opening,
    /// Carries a request.
    Busy,
    /// Open, without a request.
    Idle,
    /// Being closed.
    Closing,
}

#[derive(Clone, Debug)]
struct Connection {
    state: State,
    received_at: clock::Instant,
    /// True if the connection is closed once its request ends.
    retired: bool,
}

/// Connection selected for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Use this open connection.
    Use(Key),
    /// Open this connection and use it.
    Open(Key),
    /// No connection is usable and the limit is reached: wait until one is released or closed.
    Wait,
}

/// Holds the connections to one endpoint.
#[derive(Clone, Debug)]
pub struct Pool {
    connections: SlotMap<Key, Connection>,
    limit: usize,
    timeouts: u32,
    closing: Vec<Key>,
}

impl Pool {
    /// Creates an empty pool of at most `limit` connections, including those being opened or closed.
    pub fn new(limit: usize) -> Self {
        Self {
            connections: SlotMap::with_key(),
            limit,
            timeouts: 0,
            closing: Vec::new(),
        }
    }

    /// Changes the limit; surplus idle connections are closed now, busy ones when they are released.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
        let surplus = self.len().saturating_sub(limit);
        let idle: Vec<Key> = self.keys_in(State::Idle).take(surplus).collect();
        for key in idle {
            self.close(key);
        }
    }

    /// Returns the number of connections, including those being opened or closed.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns true if the pool has no connections, not even ones being opened or closed.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Selects a connection for a request: the idle one that received data last, if recently enough, or else a new one.
    pub fn choose(&mut self, now: clock::Instant, request_kind: RequestKind) -> Choice {
        let most_recent = self
            .keys_in(State::Idle)
            .max_by_key(|key| self.connections[*key].received_at);
        if let Some(key) = most_recent
            && self.is_recent(key, now, request_kind)
        {
            self.connections[key].state = State::Busy;
            return Choice::Use(key);
        }
        if self.len() >= self.limit {
            // Closes an idle connection that is too old for this request, so that a new one can replace it.
            if let Some(key) = most_recent {
                self.close(key);
            }
            return Choice::Wait;
        }
        Choice::Open(self.connections.insert(Connection {
            state: State::Opening,
            received_at: now,
            retired: false,
        }))
    }

    /// Records that a connection is open and carries its request.
    pub fn opened(&mut self, now: clock::Instant, key: Key) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.state = State::Busy;
        }
        self.record_received(now, key);
    }

    /// Records that data was received on a connection.
    pub fn record_received(&mut self, now: clock::Instant, key: Key) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.received_at = now;
            self.timeouts = 0;
        }
    }

    /// Releases a connection whose request got its complete response; it becomes idle if it can be reused.
    pub fn release(&mut self, now: clock::Instant, key: Key, reusable: bool) {
        self.record_received(now, key);
        let is_over_limit = self.len() > self.limit;
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.retired || is_over_limit || !reusable {
            self.close(key);
        } else {
            connection.state = State::Idle;
        }
    }

    /// Closes a connection whose request failed or was abandoned by its caller.
    pub fn fail(&mut self, key: Key) {
        self.close(key);
    }

    /// Closes a connection whose request got no response in time.
    ///
    /// Returns true if the endpoint has become suspect, so that all its connections were retired.
    pub fn time_out(&mut self, key: Key) -> bool {
        self.close(key);
        self.timeouts += 1;
        let is_suspect = self.timeouts >= TIMEOUTS_MAX;
        if is_suspect {
            self.timeouts = 0;
            self.retire_all();
        }
        is_suspect
    }

    /// Closes idle connections now, and each busy connection once its request has ended.
    pub fn retire_all(&mut self) {
        let idle: Vec<Key> = self.keys_in(State::Idle).collect();
        for key in idle {
            self.close(key);
        }
        for connection in self.connections.values_mut() {
            connection.retired = true;
        }
    }

    /// Closes idle connections that are too old even for idempotent requests.
    pub fn tick(&mut self, now: clock::Instant) {
        let expired: Vec<Key> = self
            .keys_in(State::Idle)
            .filter(|key| !self.is_recent(*key, now, RequestKind::Idempotent))
            .collect();
        for key in expired {
            self.close(key);
        }
    }

    /// Takes the connections to close, each once; the caller reports each by [`Pool::closed`].
    pub fn take_closing(&mut self) -> Vec<Key> {
        std::mem::take(&mut self.closing)
    }

    /// Removes a connection that is closed or could not be opened.
    pub fn closed(&mut self, key: Key) {
        self.connections.remove(key);
    }

    fn is_recent(&self, key: Key, now: clock::Instant, request_kind: RequestKind) -> bool {
        let age_ms = now.since_ms(self.connections[key].received_at);
        match request_kind {
            RequestKind::Idempotent => age_ms < IDLE_MAX_MS,
            RequestKind::NonIdempotent => age_ms < NON_IDEMPOTENT_IDLE_MAX_MS,
        }
    }

    fn keys_in(&self, state: State) -> impl Iterator<Item = Key> {
        self.connections
            .iter()
            .filter(move |(_, connection)| connection.state == state)
            .map(|(key, _)| key)
    }

    fn close(&mut self, key: Key) {
        if let Some(connection) = self.connections.get_mut(key)
            && connection.state != State::Closing
        {
            connection.state = State::Closing;
            self.closing.push(key);
        }
    }
}
