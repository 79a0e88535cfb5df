//! Spreads the times at which refused callers retry.

use base::{hash, span};

/// Generates a deterministic sequence of time spans from a seed.
#[derive(Clone, Debug)]
pub(crate) struct Jitter {
    seed: u64,
    count: u64,
}

impl Jitter {
    pub(crate) fn new(seed: u64) -> Self {
        Self { seed, count: 0 }
    }

    /// Returns a span between 0.5 and 1.5 times `mean`.
    pub(crate) fn around(&mut self, mean: span::Span) -> span::Span {
        self.count += 1;
        let micros = mean.as_micros();
        let offset = match micros {
            0 => 0,
            _ => hash::mix(self.seed, self.count) % micros,
        };
        span::Span::from_micros(micros / 2 + offset)
    }
}
