//! The retry budget limits retries to a small share of the calls, so that they
//! do not multiply the load on a failing service.

/// Tokens that each call adds; a retry takes one token.
const TOKENS_PER_CALL: f64 = 0.1;

/// Largest number of tokens in the budget.
const MAX_TOKENS: f64 = 10.0;

/// The tokens for retries of one client.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Adds the tokens of a call.
    pub fn record_call(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_CALL).min(MAX_TOKENS);
    }

    /// Takes the token for a retry; returns false when there is none.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
