//! The retry budget of a service on one node: retries and hedges are at most a tenth of the work.

/// What each request adds, in thousandths of a retry.
const EARN_MILLI: u64 = 100;
/// What a retry costs, in thousandths of a retry.
const COST_MILLI: u64 = 1_000;
/// The most that can be saved up, in thousandths of a retry.
const SAVED_MAX_MILLI: u64 = 10 * COST_MILLI;

/// A budget of retries.
#[derive(Clone, Debug)]
pub struct Budget {
    saved_milli: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            saved_milli: COST_MILLI,
        }
    }
}

impl Budget {
    /// Adds what one request brings.
    pub fn earn(&mut self) {
        self.saved_milli = (self.saved_milli + EARN_MILLI).min(SAVED_MAX_MILLI);
    }

    /// Pays for one retry, if there is enough.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.saved_milli.checked_sub(COST_MILLI) else {
            return false;
        };
        self.saved_milli = left;
        true
    }
}
