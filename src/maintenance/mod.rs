//! Maintenance waves: which VMs of a pool may leave service now, or why none may.
//!
//! Budgets count planned and unplanned absence together; a wave leaves room for the loss of the
//! pool's largest failure domain. A drain is proven before a VM reboots.

pub mod headroom;
pub mod proof;
pub mod reason;
pub mod wave;
