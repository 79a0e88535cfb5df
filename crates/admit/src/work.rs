//! Learns how long a target of a plain service works on a request, from the
//! times of responses.
//!
//! A response takes longer the more requests wait before it, so each time is
//! divided by the number of turns that its request waited for.

use std::collections::BTreeMap;

use base::{id, span};

/// Weight of one response in the mean.
const WEIGHT: f64 = 0.05;

/// Responses from which a mean says something.
const LEAST_COUNT: u32 = 20;

/// Services that are remembered at most.
const MOST_SERVICES: usize = 1_024;

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    micros: f64,
    count: u32,
}

/// Mean times of work by service.
#[derive(Clone, Debug, Default)]
pub struct Work(BTreeMap<id::ServiceId, Mean>);

/// Returns how often all slots of a target are used before a request is done,
/// given the requests that were there before it.
pub fn turns(load: u32, slots: u32) -> f64 {
    (f64::from(load) + 1.0).max(f64::from(slots)) / f64::from(slots.max(1))
}

impl Work {
    /// Notes the time of a response to a request that found `load` others.
    pub fn note(&mut self, service: &id::ServiceId, took: span::Span, load: u32, slots: u32) {
        let micros = took.as_micros() as f64 / turns(load, slots);
        if let Some(mean) = self.0.get_mut(service) {
            mean.micros += (micros - mean.micros) * WEIGHT.max(1.0 / f64::from(mean.count + 1));
            mean.count = mean.count.saturating_add(1);
            return;
        }
        if self.0.len() >= MOST_SERVICES {
            self.0.clear();
        }
        self.0.insert(service.clone(), Mean { micros, count: 1 });
    }

    /// Returns the mean time of work, once enough responses came.
    pub fn mean(&self, service: &id::ServiceId) -> Option<span::Span> {
        let mean = self.0.get(service)?;
        (mean.count >= LEAST_COUNT).then(|| span::Span::from_micros(mean.micros as u64))
    }
}
