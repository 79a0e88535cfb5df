//! Limits the retries of a router to a fraction of its requests.

use std::collections::BTreeMap;

use base::id;

/// Maximum number of attempts of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 3;

/// Tokens that one retry costs. Each request adds one token, so retries are at
/// most a tenth of the requests.
const RETRY_COST: u32 = 10;

/// Maximum number of retries that can be saved, so that a router with little
/// traffic can retry too.
const MAX_SAVED_RETRIES: u32 = 10;

/// A token bucket that prevents retries of refused requests from multiplying
/// the load.
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
    /// Creates a full budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the token of a new request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + 1).min(MAX_SAVED_RETRIES * RETRY_COST);
    }

    fn is_full(&self) -> bool {
        self.tokens == MAX_SAVED_RETRIES * RETRY_COST
    }

    /// Takes one retry from the budget; returns whether it was available.
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
    /// The budgets that are not full. A full one is not stored because it
    /// equals a new one.
    teams: BTreeMap<id::TeamId, RetryBudget>,
}

impl RetryBudgets {
    /// Creates full budgets for all teams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the token of a new request of a team.
    pub fn record_request(&mut self, team: &id::TeamId) {
        if let Some(budget) = self.teams.get_mut(team) {
            budget.record_request();
            if budget.is_full() {
                self.teams.remove(team);
            }
        }
    }

    /// Takes one retry from a team's budget; returns whether it was available.
    pub fn try_retry(&mut self, team: &id::TeamId) -> bool {
        self.teams.entry(team.clone()).or_default().try_retry()
    }
}
