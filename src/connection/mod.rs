//! Connections from one node to one endpoint: which may carry a request, and which are to be closed.
//!
//! A connection can go silent for good while new ones work. Every sign from the other side proves it for a while.
//! Work that is not idempotent goes only onto a connection proven within [`PROOF_MS`], or onto a new one. A time-out
//! condemns its connection; when several connections time out and none is proven between, the whole side is
//! suspect and all its connections are retired.

use slotmap::SlotMap;

use crate::clock;

/// How long a sign of life proves a connection for work that is not idempotent, in milliseconds.
pub const PROOF_MS: u64 = 1_000;
/// How long a sign of life proves a connection for idempotent work, in milliseconds.
pub const IDLE_MAX_MS: u64 = 10_000;
/// Connections that time out without a sign of life between before the whole side is suspect.
const TIMEOUTS_MAX: u32 = 2;

slotmap::new_key_type! {
    /// A connection.
    pub struct Key;
}

/// What a request needs of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// It may be sent again.
    Idempotent,
    /// It must not be lost.
    NonIdempotent,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It is being made for a request.
    Opening,
    /// It carries a request.
    Busy,
    /// It can carry a request.
    Idle,
    /// It is being closed.
    Closing,
}

#[derive(Clone, Debug)]
struct Connection {
    state: State,
    proven_at: clock::Instant,
    /// It carries its request to the end, and is closed then.
    retired: bool,
}

/// What to do for a request that wants a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Use this connection.
    Use(Key),
    /// Make this connection and use it.
    Open(Key),
    /// None is free and no more may be made: wait until one is given back or closed.
    Wait,
}

/// The connections to one endpoint.
#[derive(Clone, Debug)]
pub struct Pool {
    connections: SlotMap<Key, Connection>,
    limit: usize,
    timeouts: u32,
    closing: Vec<Key>,
}

impl Pool {
    /// No connections yet, and at most `limit` of them, those being made or closed included.
    pub fn new(limit: usize) -> Self {
        Self {
            connections: SlotMap::with_key(),
            limit,
            timeouts: 0,
            closing: Vec::new(),
        }
    }

    /// Changes the limit; idle connections beyond it are closed, busy ones when they are given back.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
        let surplus = self.len().saturating_sub(limit);
        let idle: Vec<Key> = self.keys_in(State::Idle).take(surplus).collect();
        for key in idle {
            self.close(key);
        }
    }

    /// Connections that exist, those being made or closed included.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Picks a connection for a request.
    pub fn choose(&mut self, now: clock::Instant, work: Work) -> Choice {
        let newest = self
            .keys_in(State::Idle)
            .max_by_key(|key| self.connections[*key].proven_at);
        if let Some(key) = newest
            && self.is_proven(key, now, work)
        {
            self.connections[key].state = State::Busy;
            return Choice::Use(key);
        }
        if self.len() >= self.limit {
            // An idle one that is too old for this request makes room for a new one.
            if let Some(key) = newest {
                self.close(key);
            }
            return Choice::Wait;
        }
        Choice::Open(self.connections.insert(Connection {
            state: State::Opening,
            proven_at: now,
            retired: false,
        }))
    }

    /// A connection has been made, and carries its request now.
    pub fn opened(&mut self, now: clock::Instant, key: Key) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.state = State::Busy;
        }
        self.proven(now, key);
    }

    /// Something came from the other side of a connection.
    pub fn proven(&mut self, now: clock::Instant, key: Key) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.proven_at = now;
            self.timeouts = 0;
        }
    }

    /// A request has ended with its whole answer; the connection is free if it can be used again.
    pub fn give_back(&mut self, now: clock::Instant, key: Key, reusable: bool) {
        self.proven(now, key);
        let over = self.len() > self.limit;
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.retired || over || !reusable {
            self.close(key);
        } else {
            connection.state = State::Idle;
        }
    }

    /// A request on a connection failed, or was given up by its caller.
    pub fn fail(&mut self, key: Key) {
        self.close(key);
    }

    /// A request on a connection got no answer in time: the connection is condemned.
    ///
    /// Returns true if the whole side has become suspect, so that all its connections were retired.
    pub fn time_out(&mut self, key: Key) -> bool {
        self.close(key);
        self.timeouts += 1;
        let suspect = self.timeouts >= TIMEOUTS_MAX;
        if suspect {
            self.timeouts = 0;
            self.retire_all();
        }
        suspect
    }

    /// Closes what is idle, and each busy connection when its request has ended.
    pub fn retire_all(&mut self) {
        let idle: Vec<Key> = self.keys_in(State::Idle).collect();
        for key in idle {
            self.close(key);
        }
        for connection in self.connections.values_mut() {
            connection.retired = true;
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn tick(&mut self, now: clock::Instant) {
        let old: Vec<Key> = self
            .keys_in(State::Idle)
            .filter(|key| !self.is_proven(*key, now, Work::Idempotent))
            .collect();
        for key in old {
            self.close(key);
        }
    }

    /// The connections that are to be closed, each once; report each by [`Pool::closed`].
    pub fn take_closing(&mut self) -> Vec<Key> {
        std::mem::take(&mut self.closing)
    }

    /// A connection is closed or could not be made.
    pub fn closed(&mut self, key: Key) {
        self.connections.remove(key);
    }

    fn is_proven(&self, key: Key, now: clock::Instant, work: Work) -> bool {
        let age_ms = now.since_ms(self.connections[key].proven_at);
        match work {
            Work::Idempotent => age_ms < IDLE_MAX_MS,
            Work::NonIdempotent => age_ms < PROOF_MS,
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
