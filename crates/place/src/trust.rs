//! How far a target is trusted, by the outcomes of its requests.
//!
//! Load pattern: a target fails part of its requests, hangs or is gone while
//! its row and its health answers still look good. A failing target gets one
//! trial at a time and never loses its place for good.

use base::{span, time};

/// Failures in a row, without any response, after which a target is set aside.
const HARD_LIMIT: u32 = 1;

/// Time until the first trial of a target that was set aside; it doubles.
const FIRST_PAUSE: span::Span = span::Span::from_millis(500);

/// Longest time between two trials.
const LONGEST_PAUSE: span::Span = span::Span::from_secs(2);

/// Weight of one outcome in the rate of failures.
const WEIGHT: f64 = 0.15;

/// Delay that a request is taken to suffer from a failed attempt, in
/// microseconds; the rate of failures is multiplied by it.
const FAILURE_MICROS: f64 = 400_000.0;

/// The outcomes of a target.
#[derive(Clone, Debug, Default)]
pub struct Trust {
    unanswered: u32,
    until: time::Mono,
    rate: f64,
}

impl Trust {
    /// Notes a response that served the request.
    pub fn served(&mut self) {
        self.unanswered = 0;
        self.rate -= self.rate * WEIGHT;
    }

    /// Notes a response that reports a failure.
    pub fn failed(&mut self) {
        self.unanswered = 0;
        self.rate += (1.0 - self.rate) * WEIGHT;
    }

    /// Notes that no response came, or no connection.
    pub fn unanswered(&mut self, now: time::Mono) {
        self.unanswered += 1;
        self.rate += (1.0 - self.rate) * WEIGHT;
        if self.unanswered >= HARD_LIMIT {
            let doublings = (self.unanswered - HARD_LIMIT).min(8);
            let pause = span::Span::from_micros(FIRST_PAUSE.as_micros() << doublings);
            self.until = now + pause.min(LONGEST_PAUSE);
        }
    }

    /// Returns whether the target may get a request now.
    pub fn is_open(&self, now: time::Mono) -> bool {
        self.until <= now
    }

    /// Notes that a request is sent: while a target that was set aside is on
    /// trial, no second request follows at once.
    pub fn sent(&mut self, now: time::Mono) {
        if self.unanswered >= HARD_LIMIT {
            self.until = now + FIRST_PAUSE;
        }
    }

    /// Returns for how long the target gets no request.
    pub fn aside(&self, now: time::Mono) -> Option<span::Span> {
        (self.until > now).then(|| self.until.since(now))
    }

    /// Notes that another router set the target aside: this one does not send
    /// a trial of its own at once.
    pub fn told(&mut self, now: time::Mono, aside: span::Span) {
        self.until = self.until.max(now + aside.min(FIRST_PAUSE));
    }

    /// Returns the delay to expect from failures, in microseconds.
    pub fn penalty(&self) -> u64 {
        (self.rate * FAILURE_MICROS) as u64
    }
}
