//! The retry budget: retries are a small share of the calls, so that they
//! never multiply the load on a service in trouble.

/// Tokens that each call earns; a retry costs one token.
const TOKENS_PER_CALL: f64 = 0.1;

/// Most tokens that can be saved up.
const MAX_TOKENS: f64 = 10.0;

/// Counts the retries that are allowed.
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
    /// Records a call.
    pub fn record_call(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_CALL).min(MAX_TOKENS);
    }

    /// Takes the token for a retry, if there is one.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
