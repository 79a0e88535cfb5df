//! The retry budget: retries are a small share of the calls, so that they
//! never multiply the load on a service in trouble.

/// Tokens that each call earns; a retry costs one token.
const EARNED: f64 = 0.1;

/// Most tokens that can be saved up.
const SAVED: f64 = 10.0;

/// Counts the retries that are allowed.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: SAVED }
    }
}

impl Budget {
    /// Records a call.
    pub fn call(&mut self) {
        self.tokens = (self.tokens + EARNED).min(SAVED);
    }

    /// Takes the token for a retry, if there is one.
    pub fn retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
