//! A budget that keeps retries from amplifying an outage.

/// Retries that may be saved up while all goes well.
const BURST: f64 = 5.0;

/// Allows retries as a share of first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}

impl RetryBudget {
    /// Makes a budget with a small allowance saved, so that the first failure can be retried.
    pub fn new() -> RetryBudget {
        RetryBudget { saved: BURST }
    }

    /// Counts a first attempt, which earns `percent` of a retry.
    pub fn first(&mut self, percent: u32) {
        self.saved = (self.saved + f64::from(percent) / 100.0).min(BURST);
    }

    /// Spends one retry where the budget has it.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
