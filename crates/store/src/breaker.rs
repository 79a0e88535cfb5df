//! The circuit breaker: while the service is failing, calls fail immediately and only
//! probes are sent.

use base::{span, time};

use crate::backoff;

/// When the circuit breaker opens and how often it probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Consecutive failures that open the breaker.
    pub failures: u32,
    /// Time between opening and the first probe, before jitter.
    pub min_interval: span::Span,
    /// Longest time between probes; the time doubles with each failed probe.
    pub max_interval: span::Span,
    /// Time after which an unanswered probe no longer prevents the next one.
    pub probe_timeout: span::Span,
}

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Calls are sent.
    Closed {
        /// Failures since the last success.
        failures: u32,
    },
    /// Calls fail until a time from which one probe may be sent.
    Open {
        /// When a probe may be sent.
        until: time::Mono,
    },
    /// A probe has been sent, and other calls fail.
    Probing {
        /// When another probe may be sent.
        until: time::Mono,
    },
}

/// A circuit breaker.
#[derive(Clone, Debug)]
pub struct Breaker {
    limits: Limits,
    state: State,
    failed_probes: u32,
}

/// How a success changed the circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The breaker was already closed.
    None,
    /// The breaker was open and is now closed.
    Closed,
}

impl Breaker {
    /// Makes a closed breaker.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            state: State::Closed { failures: 0 },
            failed_probes: 0,
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the time after which a refused call should be retried, or `None`
    /// when a call may be sent.
    ///
    /// A probe usually ends long before its timeout, so while one is outstanding
    /// the result is at most the shortest interval.
    pub fn retry_after(&self, now: time::Mono) -> Option<span::Span> {
        match self.state {
            State::Open { until } if now < until => Some(until.since(now)),
            State::Probing { until } if now < until => {
                Some(until.since(now).min(self.limits.min_interval))
            }
            _ => None,
        }
    }

    /// Admits a call; the error is the time after which to retry.
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

    /// Records that the service responded.
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
            // The call was sent before the breaker opened.
            State::Open { .. } => {}
            State::Closed { .. } | State::Probing { .. } => {
                let until = now + self.probe_interval(random);
                self.failed_probes += 1;
                self.state = State::Open { until };
            }
        }
    }

    /// Returns between half of the current interval and all of it, so that many
    /// processes do not probe at the same time.
    fn probe_interval(&self, random: f64) -> span::Span {
        let factor = 1_u64.checked_shl(self.failed_probes).unwrap_or(u64::MAX);
        let interval = self.limits.min_interval.as_micros().saturating_mul(factor);
        let interval = span::Span::from_micros(interval).min(self.limits.max_interval);
        backoff::scale(interval, 0.5 + random / 2.0)
    }
}
