//! The budget of repeats that a service gets from all routers together.
//!
//! Load pattern: targets of a service fail or refuse much of their work, and
//! every router sends it once more. A router spends its share of the fleet's
//! allowance, so the sum stays within the bound without asking the others.

use std::collections::{BTreeMap, VecDeque};

use base::{id, span, time};

/// Part of the ratio that a router spends, because its window and that of the
/// bound are not aligned.
const RATIO_PART: f64 = 0.7;

/// Part of its share of the allowance that a router spends. A router that is
/// replaced within the window starts with a new share.
const ALLOWANCE_PART: f64 = 0.5;

/// Parts into which the window is divided.
const SLICES: u64 = 20;

/// The bound on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
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
    firsts: u32,
    repeats: u32,
}

/// First arrivals and repeats of the latest window, by service.
#[derive(Clone, Debug)]
pub struct Repeats {
    rule: Rule,
    services: BTreeMap<id::ServiceId, VecDeque<Slice>>,
}

impl Repeats {
    /// Starts with nothing sent.
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            services: BTreeMap::new(),
        }
    }

    /// Changes the bound; what was counted stays.
    pub fn set_rule(&mut self, rule: Rule) {
        self.rule = rule;
    }

    /// Notes the first arrival of a request.
    pub fn first(&mut self, now: time::Mono, service: &id::ServiceId) {
        self.slice(now, service).firsts += 1;
    }

    /// Takes one repeat from the budget of one among `routers` routers; returns
    /// whether there was one.
    pub fn repeat(&mut self, now: time::Mono, service: &id::ServiceId, routers: u32) -> bool {
        let share = f64::from(self.rule.allowance) / f64::from(routers.max(1));
        let ratio = self.rule.ratio;
        self.slice(now, service);
        let Some(slices) = self.services.get_mut(service) else {
            return false;
        };
        let (firsts, repeats) = slices.iter().fold((0, 0), |(firsts, repeats), slice| {
            (firsts + slice.firsts, repeats + slice.repeats)
        });
        let most = f64::from(firsts) * ratio * RATIO_PART + share * ALLOWANCE_PART;
        if f64::from(repeats) + 1.0 > most {
            return false;
        }
        if let Some(slice) = slices.back_mut() {
            slice.repeats += 1;
        }
        true
    }

    /// Returns the present slice, after those that left the window are gone.
    fn slice(&mut self, now: time::Mono, service: &id::ServiceId) -> &mut Slice {
        let width = (self.rule.window.as_micros() / SLICES).max(1);
        let number = now.0 / width;
        let slices = self.services.entry(service.clone()).or_default();
        while slices.front().is_some_and(|s| s.number + SLICES < number) {
            slices.pop_front();
        }
        if slices.back().is_none_or(|slice| slice.number != number) {
            slices.push_back(Slice {
                number,
                firsts: 0,
                repeats: 0,
            });
        }
        let last = slices.len() - 1;
        &mut slices[last]
    }
}
