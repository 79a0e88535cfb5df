//! The budget of repeats that a service gets from all routers together.
//!
//! Load pattern: targets of a service fail or refuse much of their work, and
//! every router sends it once more. A router spends its share of the fleet's
//! allowance, so the sum stays within the bound without asking the others.

use std::collections::{BTreeMap, VecDeque};

use base::{id, span, time};

/// Part of the ratio that a router spends, because its window and that of the
/// bound are not aligned.
const RATIO_FRACTION: f64 = 0.7;

/// Part of its share of the allowance that a router spends. A router that is
/// replaced within the window starts with a new share.
const ALLOWANCE_FRACTION: f64 = 0.5;

/// Parts into which the window is divided.
const SLICE_COUNT: u64 = 20;

/// The bound on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Repeats for each first arrival.
    pub ratio: f64,
    /// Repeats beyond the ratio, for all routers.
    pub allowance: u32,
    /// Time in which both are counted.
    pub window: span::Span,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    requests: u32,
    retries: u32,
}

/// First arrivals and repeats of the latest window, by service.
#[derive(Clone, Debug)]
pub struct FleetRetryBudget {
    limit: RetryLimit,
    services: BTreeMap<id::ServiceId, VecDeque<Slice>>,
}

impl FleetRetryBudget {
    /// Starts with nothing sent.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            services: BTreeMap::new(),
        }
    }

    /// Changes the bound; what was counted stays.
    pub fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    /// Notes the first arrival of a request.
    pub fn record_request(&mut self, now: time::Mono, service: &id::ServiceId) {
        self.current_slice(now, service).requests += 1;
    }

    /// Takes one repeat from the budget of one among `routers` routers; returns
    /// whether there was one.
    pub fn try_retry(&mut self, now: time::Mono, service: &id::ServiceId, routers: u32) -> bool {
        let share = f64::from(self.limit.allowance) / f64::from(routers.max(1));
        let ratio = self.limit.ratio;
        self.current_slice(now, service);
        let Some(slices) = self.services.get_mut(service) else {
            return false;
        };
        let (requests, retries) = slices.iter().fold((0, 0), |(requests, retries), slice| {
            (requests + slice.requests, retries + slice.retries)
        });
        let max_retries = f64::from(requests) * ratio * RATIO_FRACTION + share * ALLOWANCE_FRACTION;
        if f64::from(retries) + 1.0 > max_retries {
            return false;
        }
        if let Some(slice) = slices.back_mut() {
            slice.retries += 1;
        }
        true
    }

    /// Returns the present slice, after those that left the window are gone.
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
            });
        }
        let last = slices.len() - 1;
        &mut slices[last]
    }
}
