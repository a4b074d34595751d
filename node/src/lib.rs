//! The shell around the decision library: sockets, timers and the platform's client of an entry node.
//!
//! [`node::Node`] is a whole entry node in one value; `wasabiloftd` runs one, `wasabiloft dev` runs several.

pub mod admin;
pub mod batch;
pub mod clock;
pub mod control;
pub mod documents;
pub mod duties;
pub mod fleet;
pub mod front;
pub mod jobs;
pub mod keys;
pub mod log;
pub mod node;
pub mod peers;
pub mod platform;
pub mod server;
pub mod settings;
pub mod slot;
pub mod sockets;
pub mod upstream;
pub mod view;
