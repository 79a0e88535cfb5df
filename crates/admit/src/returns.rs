//! Decides when refused callers return, so that they find capacity and do not all
//! return at the same moment.
//!
//! Load pattern: for a second or two, a service receives several times what it
//! processes, and its routers refuse the excess. Its targets then work off their
//! backlog. Callers who return before that are refused again, and callers who all
//! return at its end cause the next overload. Callers follow a time only up to a
//! third of the time that they have left. Each router knows its own completions,
//! the number of routers and the callers that it has told to return.
//! See [the design note](../../../docs/design/returns.md).

use std::collections::{BTreeMap, VecDeque};

use base::{id, span, time};

/// Time constant of the decay of completions; one completion counts 1/e after it.
const DECAY_TIME: span::Span = span::Span::from_secs(2);

/// Decayed number of completions from which the rate is known well enough.
const MIN_COMPLETIONS: f64 = 8.0;

/// Length of the slots of time that callers are assigned to.
const SLOT: span::Span = span::Span::from_millis(50);

/// Fraction of the completions whose capacity returning callers may take. The rest
/// is left for new requests. With 0.5 or 1, more responses were late and more callers
/// were refused again in the replay of `edge/tests/returns.rs`.
const RETURN_FRACTION: f64 = 0.15;

/// Time until a backlog is worked off, as a multiple of the time in which the targets
/// would complete it if no new requests arrived.
const DRAIN_FACTOR: f64 = 4.0;

/// Fraction of the time that a caller has left up to which it follows a time.
const FOLLOWED_FRACTION: f64 = 0.33;

/// Callers who cannot wait until there is capacity return in the last part of the
/// time that they follow, from this fraction of it on.
const SPREAD_FRACTION: f64 = 0.6;

/// Longest remaining time of a caller that is used. It limits the ledger of a service
/// to 1,200 slots, 4.8 KB.
const MAX_RETURN: span::Span = span::Span::from_secs(180);

/// Maximum number of services that are remembered.
const MAX_SERVICES: usize = 1_024;

/// The backlog of a service's targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backlog {
    /// Requests at the targets above the load from which requests are refused.
    pub requests: f64,
    /// Number of routers that send to the targets.
    pub routers: u32,
}

/// Completions of services, and the callers that were told to return.
#[derive(Clone, Debug, Default)]
pub struct Returns(BTreeMap<id::ServiceId, Service>);

#[derive(Clone, Debug, Default)]
struct Service {
    completions: f64,
    completed_at: time::Mono,
    /// Callers assigned to each slot, the first of which has the number `first`.
    slots: VecDeque<u32>,
    first: u64,
}

impl Returns {
    /// Records that a response of a service was completed.
    pub fn record_completion(&mut self, now: time::Mono, service: &id::ServiceId) {
        if self.0.len() >= MAX_SERVICES && !self.0.contains_key(service) {
            self.0.clear();
        }
        let known = self.0.entry(service.clone()).or_default();
        known.completions = known.completions(now) + 1.0;
        known.completed_at = now;
    }

    /// Returns the time after which a refused caller should return, and assigns it to
    /// that time. `remaining` is the time that the caller has left; `random`, from 0
    /// to 1, spreads callers within a slot. `None` if too few completions are known.
    pub fn assign(
        &mut self,
        now: time::Mono,
        service: &id::ServiceId,
        backlog: Backlog,
        remaining: span::Span,
        random: f64,
    ) -> Option<span::Span> {
        let known = self.0.get_mut(service)?;
        let completions = known.completions(now);
        if completions < MIN_COMPLETIONS {
            return None;
        }
        let rate = completions / DECAY_TIME.as_secs_f64();
        let total = rate * f64::from(backlog.routers.max(1));
        let drained = backlog.requests / total * DRAIN_FACTOR;
        let latest = remaining.min(MAX_RETURN).as_secs_f64() * FOLLOWED_FRACTION;
        let earliest = drained.clamp(0.0, latest * SPREAD_FRACTION);
        let slot = |seconds: f64| (now.0 + (seconds * 1e6) as u64) / SLOT.as_micros();
        let range = (slot(earliest), slot(latest));
        let quota = rate * RETURN_FRACTION * SLOT.as_secs_f64();
        let assigned = known.take(now, range, quota);
        let at = (assigned as f64 + random) * SLOT.as_secs_f64() - now.0 as f64 / 1e6;
        Some(span::Span::from_micros(
            (at.clamp(earliest, latest) * 1e6) as u64,
        ))
    }
}

impl Service {
    fn completions(&self, now: time::Mono) -> f64 {
        let age = now.since(self.completed_at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.completions * (-age).exp()
    }

    /// Assigns a caller to the first slot of a range that has less than `quota`
    /// callers, or else to the one with the fewest. Returns the number of the slot.
    fn take(&mut self, now: time::Mono, range: (u64, u64), quota: f64) -> u64 {
        let current = now.0 / SLOT.as_micros();
        while self.first < current && self.slots.pop_front().is_some() {
            self.first += 1;
        }
        if self.slots.is_empty() {
            self.first = current;
        }
        let from = range.0.saturating_sub(self.first);
        let to = range.1.saturating_sub(self.first).max(from);
        if self.slots.len() <= to as usize {
            self.slots.resize(to as usize + 1, 0);
        }
        // With a quota under 1, several slots together hold one caller.
        let width = (1.0 / quota).ceil().clamp(1.0, 100.0) as usize;
        let quota = (quota * width as f64).floor() as u32;
        let callers = |slot: usize| -> u32 {
            let first = (slot + 1).saturating_sub(width);
            self.slots.range(first..=slot).sum()
        };
        let slots = from as usize..=to as usize;
        let free = slots.clone().find(|slot| callers(*slot) < quota);
        let fewest = slots.min_by_key(|slot| self.slots[*slot]);
        let slot = free.or(fewest).unwrap_or(from as usize);
        self.slots[slot] += 1;
        self.first + slot as u64
    }
}
