//! Limits the retries that all routers together send to a service.
//!
//! Load pattern: targets of a service fail or refuse many of their requests,
//! and every router retries them. Each router uses only its share of the
//! fleet's allowance, so the total stays within the limit without coordination.

use std::collections::{BTreeMap, VecDeque};

use base::{id, span, time};

/// Fraction of the ratio that a router uses: its window and that in which the
/// limit is checked are not aligned.
const RATIO_FRACTION: f64 = 0.7;

/// Fraction of its share of the allowance that a router uses: a router that is
/// replaced within the window starts with a new share.
const ALLOWANCE_FRACTION: f64 = 0.5;

/// Fraction of a router's retries that hedged requests may use. Retries after
/// failures need the rest.
const HEDGE_FRACTION: f64 = 0.5;

/// Number of slices into which the window is divided.
const SLICE_COUNT: u64 = 20;

/// The limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries for each first attempt.
    pub ratio: f64,
    /// Retries beyond the ratio, for all routers together.
    pub allowance: u32,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: span::Span,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    requests: u32,
    /// Retries after failures, and hedged requests.
    retries: u32,
    hedges: u32,
}

/// What a router sent to a service within the window.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    requests: u32,
    retries: u32,
    hedges: u32,
    /// Retries that the router may send.
    limit: f64,
}

/// A router's first attempts and retries within the window, by service.
#[derive(Clone, Debug)]
pub struct FleetRetryBudget {
    limit: RetryLimit,
    services: BTreeMap<id::ServiceId, VecDeque<Slice>>,
}

impl FleetRetryBudget {
    /// Creates a budget without any requests.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            services: BTreeMap::new(),
        }
    }

    /// Changes the limit; the counts are kept.
    pub fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: time::Mono, service: &id::ServiceId) {
        self.current_slice(now, service).requests += 1;
    }

    /// Takes one retry from the budget of this router, which is one of
    /// `routers`; returns whether it was available.
    pub fn try_retry(&mut self, now: time::Mono, service: &id::ServiceId, routers: u32) -> bool {
        let usage = self.usage(now, service, routers);
        let is_available = f64::from(usage.retries) + 1.0 <= usage.limit;
        if is_available {
            self.current_slice(now, service).retries += 1;
        }
        is_available
    }

    /// Takes one hedged request from the budget of this router, which is one of
    /// `routers`; returns whether it was available. Hedged requests may be at most
    /// `fraction` of the requests, and use a part of the retries only.
    pub fn try_hedge(
        &mut self,
        now: time::Mono,
        service: &id::ServiceId,
        routers: u32,
        fraction: f64,
    ) -> bool {
        let usage = self.usage(now, service, routers);
        let is_available = f64::from(usage.retries) + 1.0 <= usage.limit * HEDGE_FRACTION
            && f64::from(usage.hedges) + 1.0 <= f64::from(usage.requests) * fraction;
        if is_available {
            let slice = self.current_slice(now, service);
            slice.retries += 1;
            slice.hedges += 1;
        }
        is_available
    }

    fn usage(&mut self, now: time::Mono, service: &id::ServiceId, routers: u32) -> Usage {
        self.current_slice(now, service);
        let slices = self.services.get(service).into_iter().flatten();
        let mut usage = slices.fold(Usage::default(), |usage, slice| Usage {
            requests: usage.requests + slice.requests,
            retries: usage.retries + slice.retries,
            hedges: usage.hedges + slice.hedges,
            ..usage
        });
        let share = f64::from(self.limit.allowance) / f64::from(routers.max(1));
        usage.limit = f64::from(usage.requests) * self.limit.ratio * RATIO_FRACTION
            + share * ALLOWANCE_FRACTION;
        usage
    }

    /// Removes the slices before the window and returns the current one.
    fn current_slice(&mut self, now: time::Mono, service: &id::ServiceId) -> &mut Slice {
        let width = (self.limit.window.as_micros() / SLICE_COUNT).max(1);
        let number = now.0 / width;
        let slices = self.services.entry(service.clone()).or_default();
        while slices
            .front()
            .is_some_and(|s| s.number + SLICE_COUNT < number)
        {
            slices.pop_front();
        }
        if slices.back().is_none_or(|slice| slice.number != number) {
            slices.push_back(Slice {
                number,
                requests: 0,
                retries: 0,
                hedges: 0,
            });
        }
        let last = slices.len() - 1;
        &mut slices[last]
    }
}
