//! Measures how the recent requests of a service are divided among teams.
//!
//! Load pattern: one team sends many times its usual traffic. Only admitted
//! requests count, so that refusing more requests of a team lowers its share
//! until the shares are even.

use std::collections::BTreeMap;

use base::{id, rate, span, time};

/// Time constant of the exponential decay (a request counts 1/e after it);
/// about as long as a request runs.
const DECAY_TIME: span::Span = span::Span::from_secs(2);

/// Decayed number of requests below which a team does not count as active.
const MIN_ACTIVE: f64 = 0.5;

/// Maximum number of stored pairs of service and team.
const MAX_SHARES: usize = 4_096;

/// A number of requests that decays exponentially since `at`.
#[derive(Clone, Copy, Debug)]
struct DecayedCount {
    requests: f64,
    at: time::Mono,
}

impl DecayedCount {
    fn requests(&self, now: time::Mono) -> f64 {
        let age = now.since(self.at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.requests * (-age).exp()
    }
}

/// Recently admitted requests by service and team.
#[derive(Clone, Debug, Default)]
pub struct TeamShares(BTreeMap<id::ServiceId, BTreeMap<id::TeamId, DecayedCount>>);

impl TeamShares {
    /// Records an admitted request.
    pub fn record(&mut self, now: time::Mono, service: &id::ServiceId, team: &id::TeamId) {
        if self.0.values().map(BTreeMap::len).sum::<usize>() >= MAX_SHARES {
            self.evict_inactive(now);
        }
        let shares = self.0.entry(service.clone()).or_default();
        let before = shares.get(team).map_or(0.0, |share| share.requests(now));
        let share = DecayedCount {
            requests: before + 1.0,
            at: now,
        };
        shares.insert(team.clone(), share);
    }

    /// Returns a team's share of the recent requests relative to an equal share
    /// among the active teams; 1 if it is the only one or nothing is known.
    pub fn relative_share(
        &self,
        now: time::Mono,
        service: &id::ServiceId,
        team: &id::TeamId,
    ) -> f64 {
        let Some(shares) = self.0.get(service) else {
            return 1.0;
        };
        let active = shares
            .iter()
            .map(|(id, share)| (id, share.requests(now)))
            .filter(|(id, requests)| *requests >= MIN_ACTIVE || *id == team);
        let (count, total) = active.fold((0.0, 0.0), |(count, total), (_, requests)| {
            (count + 1.0, total + requests)
        });
        let own = shares.get(team).map_or(0.0, |share| share.requests(now));
        match total > 0.0 && count > 1.0 {
            true => own * count / total,
            false => 1.0,
        }
    }

    /// Returns the recent rate of admitted requests of a service.
    pub fn rate(&self, now: time::Mono, service: &id::ServiceId) -> rate::Rate {
        let shares = self.0.get(service).into_iter().flat_map(BTreeMap::values);
        let requests: f64 = shares.map(|share| share.requests(now)).sum();
        rate::Rate(requests / DECAY_TIME.as_secs_f64())
    }

    fn evict_inactive(&mut self, now: time::Mono) {
        for shares in self.0.values_mut() {
            shares.retain(|_, share| share.requests(now) >= MIN_ACTIVE);
        }
        self.0.retain(|_, shares| !shares.is_empty());
    }
}
