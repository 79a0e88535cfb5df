//! Limits of a team at one router: requests a second and requests in progress.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::{id, span, time};
use conf::state;

/// Requests that a team may send at once when it was quiet before, in seconds
/// of its rate.
const BURST: f64 = 1.0;

/// Time after which a caller may come back when too many requests of its team
/// are in progress.
const OPEN_AFTER: span::Span = span::Span::from_secs(1);

/// Reports a request over a limit of its team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Over {
    /// Too many requests a second.
    #[error("the team is over its rate")]
    Rate(span::Span),
    /// Too many requests in progress.
    #[error("the team has too many requests in progress")]
    Open,
}

impl Over {
    /// Returns when the caller may come back.
    pub fn after(self) -> span::Span {
        match self {
            Self::Rate(after) => after,
            Self::Open => OPEN_AFTER,
        }
    }
}

#[derive(Debug)]
struct Use {
    tokens: f64,
    at: time::Mono,
    open: u32,
}

/// What the teams with limits use now.
#[derive(Clone, Debug, Default)]
pub struct Limits(Arc<Mutex<BTreeMap<id::TeamId, Use>>>);

/// A request in progress; dropping it makes room for another.
#[derive(Debug)]
pub struct Open {
    team: id::TeamId,
    limits: Limits,
}

impl Limits {
    /// Takes a place for a request of a team; none when the team has no limits.
    ///
    /// # Errors
    ///
    /// When the request is over a limit.
    pub fn take(&self, now: time::Mono, team: &state::Team) -> Result<Option<Open>, Over> {
        if team.rate.is_none() && team.open.is_none() {
            return Ok(None);
        }
        let burst = team.rate.map_or(0.0, |rate| (rate.0 * BURST).max(1.0));
        let mut teams = self.lock();
        let entry = teams.entry(team.id.clone()).or_insert(Use {
            tokens: burst,
            at: now,
            open: 0,
        });
        if team.open.is_some_and(|most| entry.open >= most) {
            return Err(Over::Open);
        }
        if let Some(rate) = team.rate {
            let gained = now.since(entry.at).as_secs_f64() * rate.0;
            entry.tokens = (entry.tokens + gained).min(burst);
            entry.at = now;
            if entry.tokens < 1.0 {
                let wait = (1.0 - entry.tokens) / rate.0;
                return Err(Over::Rate(span::Span::from_micros((wait * 1e6) as u64)));
            }
            entry.tokens -= 1.0;
        }
        entry.open += 1;
        Ok(Some(Open {
            team: team.id.clone(),
            limits: self.clone(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<id::TeamId, Use>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        if let Some(entry) = self.limits.lock().get_mut(&self.team) {
            entry.open = entry.open.saturating_sub(1);
        }
    }
}
