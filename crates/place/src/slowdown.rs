//! How slowly a target works, by the times of its requests.
//!
//! Load pattern: a target takes several times as long as the others and fails
//! nothing, so that neither its row nor its outcomes show it. It must lose most of
//! its work within a few requests of the whole fleet, and get it back when it
//! recovers. The latest evidence counts, whichever router has it, and fades: a
//! target that is passed over gets a trial again after some seconds.

use base::{span, time};

/// Weight of one request. Three that take four times as long are enough, or one
/// that takes eight times as long.
const SAMPLE_WEIGHT: f64 = 0.4;

/// Largest factor that one request shows; a longer time has other causes too.
const MAX_FACTOR: f64 = 12.0;

/// Time in which the evidence fades to a third.
const DECAY_TIME: span::Span = span::Span::from_secs(3);

/// Factor from which a target counts as slow. Below, prompts of other requests
/// explain the times.
const SLOW_FACTOR: f64 = 3.0;

/// Time under which a request says nothing: a step of an engine and the path take
/// some of it.
const MIN_TIME: span::Span = span::Span::from_millis(20);

/// The evidence of how slow a target is.
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

    /// Notes a request that took some time where another was expected.
    pub fn record(&mut self, now: time::Mono, took: span::Span, expected: span::Span) {
        let observed = observed_factor(took, expected);
        let before = self.decayed(now);
        self.factor = before + (observed - before) * SAMPLE_WEIGHT;
        self.observed_at = now;
    }

    /// Notes what another router knows; the later evidence counts.
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

    /// Returns what is told to other routers: the factor when the latest evidence
    /// came, and the age of that.
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
