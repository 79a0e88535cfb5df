//! The wait before a retry.

use base::span;

/// Exponential back-off with full jitter, so that clients that fail at the same
/// time retry at different times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Longest wait before the first retry.
    pub base: span::Span,
    /// Longest wait before any retry.
    pub limit: span::Span,
}

impl Backoff {
    /// Returns the wait before retry `attempt`, counted from 0; `random` is
    /// from 0 to 1.
    pub fn delay(&self, attempt: u32, random: f64) -> span::Span {
        let factor = 1_u64.checked_shl(attempt).unwrap_or(u64::MAX);
        let longest = self.base.as_micros().saturating_mul(factor);
        scale(
            span::Span::from_micros(longest.min(self.limit.as_micros())),
            random,
        )
    }
}

/// Multiplies a span by a factor.
pub fn scale(span: span::Span, factor: f64) -> span::Span {
    span::Span::from_micros((span.as_micros() as f64 * factor) as u64)
}

/// Returns a span between one and two times the given one, so that clients with
/// the same `Retry-After` spread their retries over that span.
pub fn jitter(span: span::Span, random: f64) -> span::Span {
    scale(span, 1.0 + random)
}
