//! Fleet capacity and maintenance decisions, without I/O.
//!
//! Each module can be embedded by itself: a state machine that takes the time, its inputs and a random number
//! generator as arguments and returns the actions to perform. Sockets, timers and the platform's client are in
//! `wasabiloft-node`.

pub mod admission;
pub mod batch;
pub mod clock;
pub mod config;
pub mod connection;
pub mod control;
pub mod dispatch;
pub mod document;
pub mod drain;
pub mod estimate;
pub mod fleet;
pub mod id;
pub mod idempotency;
pub mod job;
pub mod journal;
pub mod lease;
pub mod maintenance;
pub mod peers;
pub mod placement;
pub mod platform;
pub mod pool;
pub mod quarantine;
pub mod quota;
pub mod retry;
pub mod roster;
pub mod routing;
pub mod slots;
pub mod verdict;
