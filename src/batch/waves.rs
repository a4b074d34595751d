//! Waves of upkeep: which machine goes next, within what operators and services tolerate.

use crate::id;

/// A wave that operators asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its number.
    pub number: u64,
    /// The machines that need their upkeep.
    pub vms: Vec<id::Vm>,
    /// Time for the whole wave, in milliseconds.
    pub deadline_ms: u64,
    /// Most machines that may be away for it at once.
    pub at_once_max: u32,
}
