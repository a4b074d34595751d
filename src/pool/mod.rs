//! Pools of VMs: who owns a VM, how strong a pool is, and which VMs change pools.
//!
//! A VM's row names its one pool; a move rewrites that row in one conditional transaction between
//! drain and join. Everything here is a pure decision on borrowed [`member::Member`]s.

pub mod demand;
pub mod loan;
pub mod member;
pub mod moves;
pub mod row;
pub mod spec;
pub mod strength;
