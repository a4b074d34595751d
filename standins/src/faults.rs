//! Faults of the stand-in platform, switched by `PUT /faults`.

use serde::{Deserialize, Serialize};

/// What the platform does wrong at the moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The table and the object store answer 503 and do nothing.
    pub store_outage: bool,
    /// Calls to the table and the object store hang and do nothing.
    pub store_hangs: bool,
    /// Added to each call of the table and the object store, in milliseconds.
    pub store_delay_ms: u64,
    /// Share of transactions whose reply is lost after they took effect, 0 to 1.
    pub store_lost_replies: f64,
    /// How far the list of VMs lags, in milliseconds.
    pub vm_list_lag_ms: u64,
    /// How far the usage of workers lags, in milliseconds.
    pub usage_lag_ms: u64,
}
