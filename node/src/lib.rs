//! The entry node: drives the `wasabiloft` library with sockets, timers and the platform's client.
//!
//! [`node::Node`] is a complete entry node; `wasabiloftd` runs one, `wasabiloft dev` runs several.

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
