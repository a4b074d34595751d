//! Which pool each machine should be in.

use crate::id;
use crate::platform::Resources;

/// The state of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Up, or resting in the spare pool.
    Up,
    /// On its way to another pool.
    Moving,
    /// Away for its upkeep.
    Upkeep,
    /// Down.
    Down,
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// The machine.
    pub vm: id::Vm,
    /// Its pool.
    pub pool: id::Service,
    /// Its state.
    pub state: State,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Its rack.
    pub rack: Option<id::Rack>,
    /// Its kind.
    pub kind: String,
    /// Its size.
    pub size: Resources,
    /// The worker that it runs at the moment.
    pub worker: Option<id::Worker>,
}
