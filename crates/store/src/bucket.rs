//! A token bucket whose rate can change and in which a caller can reserve a
//! later token, so that it is told at once how long it has to wait.
//!
//! A limiter without reservations, such as `governor`'s, would make callers
//! compete for each token and give up only after waiting.

use base::{rate, span, time};

/// Allows calls at a rate, with short bursts.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: rate::Rate,
    burst: f64,
    tokens: f64,
    refilled_at: time::Mono,
}

impl TokenBucket {
    /// Starts full; `burst` is the largest burst.
    pub fn new(rate: rate::Rate, burst: u32) -> Self {
        Self {
            rate,
            burst: f64::from(burst.max(1)),
            tokens: f64::from(burst.max(1)),
            refilled_at: time::Mono::default(),
        }
    }

    /// Changes the rate; tokens earned until now are kept.
    pub fn set_rate(&mut self, now: time::Mono, rate: rate::Rate) {
        self.refill(now);
        self.rate = rate;
    }

    /// Leaves at most the given part of one token, so that the next calls come
    /// at the rate and not in a burst.
    pub fn drain(&mut self, now: time::Mono, part: f64) {
        self.refill(now);
        self.tokens = self.tokens.min(part);
    }

    /// Takes a token, possibly one that is earned later; returns the time to
    /// wait for it. Takes none when the wait would exceed `max_wait`, and
    /// returns the wait as the error.
    pub fn reserve(
        &mut self,
        now: time::Mono,
        max_wait: span::Span,
    ) -> Result<span::Span, span::Span> {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        let micros = (missing / self.rate.0 * 1e6).ceil();
        let wait = span::Span::from_micros(micros as u64);
        if wait > max_wait {
            return Err(wait);
        }
        self.tokens -= 1.0;
        Ok(wait)
    }

    fn refill(&mut self, now: time::Mono) {
        let earned = now.since(self.refilled_at).as_secs_f64() * self.rate.0;
        self.tokens = (self.tokens + earned).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
