//! The circuit breaker: while the service fails, calls fail at once and only
//! probes are sent.

use base::{span, time};

use crate::backoff;

/// When the breaker opens and how often it probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Consecutive failures that open the breaker.
    pub failures: u32,
    /// Shortest time between opening and the first probe.
    pub min_interval: span::Span,
    /// Longest time between probes; the time doubles until then.
    pub max_interval: span::Span,
    /// Time after which an unanswered probe no longer blocks the next one.
    pub probe_timeout: span::Span,
}

/// What the breaker does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Calls are sent.
    Closed {
        /// Failures since the last success.
        failures: u32,
    },
    /// Calls fail until a point in time, from which one probe is sent.
    Open {
        /// When a probe may be sent.
        until: time::Mono,
    },
    /// A probe is on its way and other calls fail.
    Probing {
        /// When another probe may be sent.
        until: time::Mono,
    },
}

/// Decides whether a call is sent.
#[derive(Clone, Debug)]
pub struct Breaker {
    limits: Limits,
    state: State,
    failed_probes: u32,
}

/// How a success changed the breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was closed and stays closed.
    None,
    /// An outage has ended.
    Closed,
}

impl Breaker {
    /// Starts closed.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            state: State::Closed { failures: 0 },
            failed_probes: 0,
        }
    }

    /// Returns the present state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns when a refused caller should come back, or nothing when a call
    /// may be sent.
    ///
    /// A probe usually ends long before it is given up, so the advice while one
    /// is on its way is at most the shortest interval.
    pub fn retry_after(&self, now: time::Mono) -> Option<span::Span> {
        match self.state {
            State::Open { until } if now < until => Some(until.since(now)),
            State::Probing { until } if now < until => {
                Some(until.since(now).min(self.limits.min_interval))
            }
            _ => None,
        }
    }

    /// Lets a call pass, or returns when to come back.
    pub fn admit(&mut self, now: time::Mono) -> Result<(), span::Span> {
        if let Some(wait) = self.retry_after(now) {
            return Err(wait);
        }
        if !matches!(self.state, State::Closed { .. }) {
            let until = now + self.limits.probe_timeout;
            self.state = State::Probing { until };
        }
        Ok(())
    }

    /// Records that the service answered.
    pub fn record_success(&mut self) -> Change {
        let change = match self.state {
            State::Closed { .. } => Change::None,
            State::Open { .. } | State::Probing { .. } => Change::Closed,
        };
        self.state = State::Closed { failures: 0 };
        self.failed_probes = 0;
        change
    }

    /// Records that the service failed; `random` is from 0 to 1.
    pub fn record_failure(&mut self, now: time::Mono, random: f64) {
        match self.state {
            State::Closed { failures } if failures + 1 < self.limits.failures => {
                self.state = State::Closed {
                    failures: failures + 1,
                };
            }
            // A call from before the breaker opened says nothing new.
            State::Open { .. } => {}
            State::Closed { .. } | State::Probing { .. } => {
                let until = now + self.probe_interval(random);
                self.failed_probes += 1;
                self.state = State::Open { until };
            }
        }
    }

    /// Returns half to all of the present interval, so that the probes of many
    /// processes spread out.
    fn probe_interval(&self, random: f64) -> span::Span {
        let factor = 1_u64.checked_shl(self.failed_probes).unwrap_or(u64::MAX);
        let interval = self.limits.min_interval.as_micros().saturating_mul(factor);
        let interval = span::Span::from_micros(interval).min(self.limits.max_interval);
        backoff::scale(interval, 0.5 + random / 2.0)
    }
}
