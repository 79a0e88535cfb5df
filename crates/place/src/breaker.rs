//! A circuit breaker for one target, driven by the outcomes of its requests.
//!
//! Load pattern: a target fails some of its requests, hangs or is gone while
//! its table row and its health checks still look good. Such a target gets one
//! probe request at a time and is never excluded permanently.

use base::{span, time};

/// Consecutive requests without a response after which a target is blocked.
const FAILURE_LIMIT: u32 = 1;

/// Time until the first probe of a blocked target; doubles with each further
/// request without a response.
const FIRST_PAUSE: span::Span = span::Span::from_millis(500);

/// Longest time between two probes.
const MAX_PAUSE: span::Span = span::Span::from_secs(2);

/// Weight of one outcome in the moving average of the failure rate.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Assumed delay of a request by a failed attempt, in microseconds. The failure
/// rate times this delay is the penalty of a target.
const FAILURE_DELAY_MICROS: f64 = 400_000.0;

/// The state of a target's breaker.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    unanswered: u32,
    blocked_until: time::Mono,
    failure_rate: f64,
}

impl Breaker {
    /// Records a response that served the request.
    pub fn record_success(&mut self) {
        self.unanswered = 0;
        self.failure_rate -= self.failure_rate * SAMPLE_WEIGHT;
    }

    /// Records a response that reports a failure.
    pub fn record_error(&mut self) {
        self.unanswered = 0;
        self.failure_rate += (1.0 - self.failure_rate) * SAMPLE_WEIGHT;
    }

    /// Records that the connection failed or no response arrived.
    pub fn record_no_response(&mut self, now: time::Mono) {
        self.unanswered += 1;
        self.failure_rate += (1.0 - self.failure_rate) * SAMPLE_WEIGHT;
        if self.unanswered >= FAILURE_LIMIT {
            let doublings = (self.unanswered - FAILURE_LIMIT).min(8);
            let pause = span::Span::from_micros(FIRST_PAUSE.as_micros() << doublings);
            self.blocked_until = now + pause.min(MAX_PAUSE);
        }
    }

    /// Returns whether the target may get a request now.
    pub fn admits(&self, now: time::Mono) -> bool {
        self.blocked_until <= now
    }

    /// Records that a request is sent. While a blocked target is probed, this
    /// prevents a second request.
    pub fn record_sent(&mut self, now: time::Mono) {
        if self.unanswered >= FAILURE_LIMIT {
            self.blocked_until = now + FIRST_PAUSE;
        }
    }

    /// Returns how much longer the target gets no request, if it is blocked.
    pub fn blocked_for(&self, now: time::Mono) -> Option<span::Span> {
        (self.blocked_until > now).then(|| self.blocked_until.since(now))
    }

    /// Records that another router blocks the target for the given time. This
    /// router then delays its own probe, by `FIRST_PAUSE` at most.
    pub fn merge(&mut self, now: time::Mono, blocked_for: span::Span) {
        self.blocked_until = self.blocked_until.max(now + blocked_for.min(FIRST_PAUSE));
    }

    /// Returns the delay to expect from failures, in microseconds.
    pub fn penalty(&self) -> u64 {
        (self.failure_rate * FAILURE_DELAY_MICROS) as u64
    }
}
