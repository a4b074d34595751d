//! Pools of VMs: which pool owns a VM, how many VMs it has in service, and which VMs change pools.
//!
//! A VM's row names the one pool that owns it; a move rewrites that row in one conditional
//! transaction between drain and resumption. All functions here are pure decisions on borrowed
//! [`member::Member`]s.

pub mod demand;
pub mod domain;
pub mod loan;
pub mod member;
pub mod moves;
pub mod row;
pub mod spec;
