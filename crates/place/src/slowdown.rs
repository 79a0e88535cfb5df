//! Detects slow targets by the response times of their requests.
//!
//! Load pattern: a target takes several times as long as the others but fails no
//! request, so that neither its table row nor its outcomes show the fault. It must
//! lose most of its traffic within a few requests of the whole fleet, and regain it
//! when it recovers. The latest observation of any router wins and decays over time,
//! so that an avoided target is tried again after some seconds.

use base::{span, time};

/// Weight of one request in the moving average. Three requests that take four times
/// as long mark a target as slow, or one that takes eight times as long.
const SAMPLE_WEIGHT: f64 = 0.4;

/// Largest factor taken from one request. Longer times also have other causes.
const MAX_FACTOR: f64 = 12.0;

/// Time constant of the decay: the excess over 1 drops to about a third.
const DECAY_TIME: span::Span = span::Span::from_secs(3);

/// Factor from which a target counts as slow. Smaller factors also occur when
/// prompts of other requests are prefilled meanwhile.
const SLOW_FACTOR: f64 = 3.0;

/// Response time below which a request shows no slowdown, because an engine step
/// and the network take part of it.
const MIN_TIME: span::Span = span::Span::from_millis(20);

/// An estimate of how much slower a target is than others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowdown {
    factor: f64,
    observed_at: time::Mono,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self {
            factor: 1.0,
            observed_at: time::Mono(0),
        }
    }
}

impl Slowdown {
    fn decayed(&self, now: time::Mono) -> f64 {
        let age = now.since(self.observed_at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        1.0 + (self.factor - 1.0) * (-age).exp()
    }

    /// Records how long a request took and how long it was expected to take.
    pub fn record(&mut self, now: time::Mono, took: span::Span, expected: span::Span) {
        let observed = observed_factor(took, expected);
        let before = self.decayed(now);
        self.factor = before + (observed - before) * SAMPLE_WEIGHT;
        self.observed_at = now;
    }

    /// Merges the estimate of another router; the later observation wins.
    pub fn merge(&mut self, now: time::Mono, factor: f64, age: span::Span) {
        let observed_at = time::Mono(now.0.saturating_sub(age.as_micros()));
        if observed_at > self.observed_at && factor.is_finite() {
            self.factor = factor.clamp(1.0, MAX_FACTOR);
            self.observed_at = observed_at;
        }
    }

    /// Returns the factor by which the target is slower than others, if it counts
    /// as slow.
    pub fn factor(&self, now: time::Mono) -> Option<f64> {
        let factor = self.decayed(now);
        (factor >= SLOW_FACTOR).then_some(factor)
    }

    /// Returns what is sent to other routers if the target counts as slow: the
    /// factor at the latest observation, and the age of that observation.
    pub fn estimate(&self, now: time::Mono) -> Option<(f64, span::Span)> {
        self.factor(now)?;
        Some((self.factor, now.since(self.observed_at)))
    }
}

fn observed_factor(took: span::Span, expected: span::Span) -> f64 {
    if took < MIN_TIME {
        return 1.0;
    }
    let expected = expected.max(MIN_TIME).as_secs_f64();
    (took.as_secs_f64() / expected).clamp(1.0, MAX_FACTOR)
}
