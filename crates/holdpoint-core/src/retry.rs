//! A retry budget, which keeps retries from amplifying an outage.

/// Upper bound of the retries saved up.
const MAX_TOKENS: f64 = 5.0;

/// Allows retries as a share of first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}

impl RetryBudget {
    /// Creates a full budget, so that the first failures can be retried.
    pub fn new() -> RetryBudget {
        RetryBudget { tokens: MAX_TOKENS }
    }

    /// Records a first attempt, which adds `percent` of a retry to the budget.
    pub fn first(&mut self, percent: u32) {
        self.tokens = (self.tokens + f64::from(percent) / 100.0).min(MAX_TOKENS);
    }

    /// Spends one retry; `false` if the budget is exhausted.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
