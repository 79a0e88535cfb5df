//! A token bucket with a variable rate, in which a call can reserve a future token
//! and so learns immediately how long it has to wait.
//!
//! With a limiter without reservations, such as `governor`'s, calls would compete
//! for each token and give up only after waiting.

use base::{rate, span, time};

/// Limits calls to a rate with short bursts.
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

    /// Changes the rate and keeps the tokens accumulated so far.
    pub fn set_rate(&mut self, now: time::Mono, rate: rate::Rate) {
        self.refill(now);
        self.rate = rate;
    }

    /// Reduces the tokens to at most `part`, from 0 to 1, so that the next calls
    /// follow the rate and do not form a burst.
    pub fn drain(&mut self, now: time::Mono, part: f64) {
        self.refill(now);
        self.tokens = self.tokens.min(part);
    }

    /// Reserves a token, possibly a future one, and returns the wait for it.
    ///
    /// # Errors
    ///
    /// When the wait would exceed `max_wait`; the error is that wait, and no token
    /// is reserved.
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
        let added = now.since(self.refilled_at).as_secs_f64() * self.rate.0;
        self.tokens = (self.tokens + added).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
