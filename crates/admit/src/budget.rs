//! The retry budget of a router.

use std::collections::BTreeMap;

use base::id;

/// Attempts that one request may have, the first included.
pub const MAX_ATTEMPTS: u32 = 3;

/// Tokens that one retry costs; a request earns one, so that retries are at
/// most a tenth of the requests.
const RETRY_COST: u32 = 10;

/// Retries that may be saved up, for a router with little traffic.
const MAX_SAVED_RETRIES: u32 = 10;

/// A token bucket that keeps refusals from multiplying the load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: MAX_SAVED_RETRIES * RETRY_COST,
        }
    }
}

impl RetryBudget {
    /// Starts with all saved retries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a new request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + 1).min(MAX_SAVED_RETRIES * RETRY_COST);
    }

    fn is_full(&self) -> bool {
        self.tokens == MAX_SAVED_RETRIES * RETRY_COST
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn try_retry(&mut self) -> bool {
        let left = self.tokens.checked_sub(RETRY_COST);
        self.tokens = left.unwrap_or(self.tokens);
        left.is_some()
    }
}

/// One retry budget for each team, so that the refusals of a surging team do
/// not use up the retries of the others.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    /// The teams whose budget is not full; a full one is like a new one.
    teams: BTreeMap<id::TeamId, RetryBudget>,
}

impl RetryBudgets {
    /// Starts with all saved retries for every team.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a new request of a team.
    pub fn record_request(&mut self, team: &id::TeamId) {
        if let Some(budget) = self.teams.get_mut(team) {
            budget.record_request();
            if budget.is_full() {
                self.teams.remove(team);
            }
        }
    }

    /// Takes one retry from a team's budget; returns whether there was one.
    pub fn try_retry(&mut self, team: &id::TeamId) -> bool {
        self.teams.entry(team.clone()).or_default().try_retry()
    }
}
