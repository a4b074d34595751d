//! Token-bucket retry budget of a service on one node: it limits retries and hedges to a tenth of the requests.

/// Credit that each request adds, in thousandths of a retry.
const CREDIT_MILLI: u64 = 100;
/// Cost of one retry or hedge, in thousandths of a retry.
const RETRY_COST_MILLI: u64 = 1_000;
/// Upper limit of the balance, in thousandths of a retry.
const BALANCE_MAX_MILLI: u64 = 10 * RETRY_COST_MILLI;

/// Holds the balance of one service; a new budget allows one retry.
#[derive(Clone, Debug)]
pub struct Budget {
    balance_milli: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            balance_milli: RETRY_COST_MILLI,
        }
    }
}

impl Budget {
    /// Adds the credit of one request, up to the limit.
    pub fn credit(&mut self) {
        self.balance_milli = (self.balance_milli + CREDIT_MILLI).min(BALANCE_MAX_MILLI);
    }

    /// Deducts the cost of one retry and returns true, or returns false if the balance is too low.
    pub fn spend(&mut self) -> bool {
        let Some(remaining_milli) = self.balance_milli.checked_sub(RETRY_COST_MILLI) else {
            return false;
        };
        self.balance_milli = remaining_milli;
        true
    }
}
