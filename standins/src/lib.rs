//! Stand-ins for the systems that surround an entry VM: the platform with its VMs and workers, the runners' endpoints, a
//! fault-injecting proxy and a load generator.
//!
//! They speak the HTTP protocols of the real systems. Every fault can be switched on and off.

pub mod client;
pub mod control;
pub mod deployment;
pub mod endpoint;
pub mod faults;
pub mod hosted;
pub mod jobs;
pub mod load;
pub mod platform;
pub mod ports;
pub mod proxy;
pub mod server;
pub mod soak;
pub mod table;
pub mod tally;
pub mod udp_proxy;
pub mod vms;
pub mod worker;
