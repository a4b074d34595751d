//! Maintenance waves: which VMs of a pool can leave service now, or why none can.
//!
//! Budgets count planned and unplanned absence together; a wave keeps a reserve for the loss of the
//! pool's largest failure domain. A drain is proven complete before a VM reboots.

pub mod headroom;
pub mod proof;
pub mod reason;
pub mod wave;
