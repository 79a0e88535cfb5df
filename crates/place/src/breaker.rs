//! How far a target is trusted, by the outcomes of its requests.
//!
//! Load pattern: a target fails part of its requests, hangs or is gone while
//! its row and its health answers still look good. A failing target gets one
//! trial at a time and never loses its place for good.

use base::{span, time};

/// Failures in a row, without any response, after which a target is set aside.
const FAILURE_LIMIT: u32 = 1;

/// Time until the first trial of a target that was set aside; it doubles.
const FIRST_PAUSE: span::Span = span::Span::from_millis(500);

/// Longest time between two trials.
const MAX_PAUSE: span::Span = span::Span::from_secs(2);

/// Weight of one outcome in the rate of failures.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Delay that a request is taken to suffer from a failed attempt, in
/// microseconds; the rate of failures is multiplied by it.
const FAILURE_DELAY_MICROS: f64 = 400_000.0;

/// The outcomes of a target.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    unanswered: u32,
    blocked_until: time::Mono,
    failure_rate: f64,
}

impl Breaker {
    /// Notes a response that served the request.
    pub fn record_success(&mut self) {
        self.unanswered = 0;
        self.failure_rate -= self.failure_rate * SAMPLE_WEIGHT;
    }

    /// Notes a response that reports a failure.
    pub fn record_error(&mut self) {
        self.unanswered = 0;
        self.failure_rate += (1.0 - self.failure_rate) * SAMPLE_WEIGHT;
    }

    /// Notes that no response came, or no connection.
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

    /// Notes that a request is sent: while a target that was set aside is on
    /// trial, no second request follows at once.
    pub fn record_sent(&mut self, now: time::Mono) {
        if self.unanswered >= FAILURE_LIMIT {
            self.blocked_until = now + FIRST_PAUSE;
        }
    }

    /// Returns for how long the target gets no request.
    pub fn blocked_for(&self, now: time::Mono) -> Option<span::Span> {
        (self.blocked_until > now).then(|| self.blocked_until.since(now))
    }

    /// Notes that another router set the target aside: this one does not send
    /// a trial of its own at once.
    pub fn merge(&mut self, now: time::Mono, blocked_for: span::Span) {
        self.blocked_until = self.blocked_until.max(now + blocked_for.min(FIRST_PAUSE));
    }

    /// Returns the delay to expect from failures, in microseconds.
    pub fn penalty(&self) -> u64 {
        (self.failure_rate * FAILURE_DELAY_MICROS) as u64
    }
}
