//! The decisions of a client, combined: breaker, rate share, slow start,
//! retry budget and back-off.

use base::{rate, span, time};

use crate::{
    backoff::{self, Backoff},
    breaker::{self, Breaker},
    bucket::TokenBucket,
    budget::RetryBudget,
    rates::Rates,
    slow_start::SlowStart,
};

/// How a client treats its service.
#[derive(Clone, Debug)]
pub struct Policy {
    /// This process's share of the rates.
    pub rates: Rates,
    /// Largest burst of calls.
    pub burst: u32,
    /// Longest wait for the rate or before a retry; a call that would have to
    /// wait longer fails at once.
    pub max_wait: span::Span,
    /// Most attempts of a call.
    pub max_attempts: u32,
    /// Waits between attempts.
    pub backoff: Backoff,
    /// When the circuit breaker opens.
    pub breaker: breaker::Limits,
    /// Time from nothing to the whole share after an outage.
    pub slow_start: span::Span,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            rates: Rates {
                reads: rate::Rate(2000.0),
                writes: rate::Rate(400.0),
            },
            burst: 4,
            max_wait: span::Span::from_secs(1),
            max_attempts: 3,
            backoff: Backoff {
                base: span::Span::from_millis(50),
                limit: span::Span::from_secs(5),
            },
            breaker: breaker::Limits {
                failures: 5,
                min_interval: span::Span::from_secs(1),
                // 1,110 processes that probe every 5 to 10 s send about 150
                // requests a second.
                max_interval: span::Span::from_secs(10),
                probe_timeout: span::Span::from_secs(3),
            },
            slow_start: span::Span::from_secs(10),
        }
    }
}

/// Whether a call reads or writes; each has its own rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// The call changes nothing.
    Read,
    /// The call may change something.
    Write,
}

/// Why a call is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The breaker is open; come back after this time.
    CircuitOpen(span::Span),
    /// The process has used its share; the next call is possible after this time.
    RateShare(span::Span),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The service answered.
    Served,
    /// The service answered that the rate is too high.
    Limited,
    /// The service did not answer, or answered that it is down.
    Failed,
}

/// The state of a client's decisions.
#[derive(Clone, Debug)]
pub struct Limiter {
    policy: Policy,
    breaker: Breaker,
    reads: TokenBucket,
    writes: TokenBucket,
    slow_start: SlowStart,
    budget: RetryBudget,
}

impl Limiter {
    /// Starts with a closed breaker and the whole share.
    pub fn new(policy: Policy) -> Self {
        Self {
            breaker: Breaker::new(policy.breaker),
            reads: TokenBucket::new(policy.rates.reads, policy.burst),
            writes: TokenBucket::new(policy.rates.writes, policy.burst),
            slow_start: SlowStart::new(policy.slow_start),
            budget: RetryBudget::default(),
            policy,
        }
    }

    /// Changes this process's share.
    pub fn set_rates(&mut self, now: time::Mono, rates: Rates) {
        self.policy.rates = rates;
        self.apply_rates(now);
    }

    /// Returns the state of the breaker.
    pub fn breaker(&self) -> breaker::State {
        self.breaker.state()
    }

    /// Records a new call, which earns a part of a retry.
    pub fn record_call(&mut self) {
        self.budget.record_call();
    }

    /// Admits an attempt; returns the time to wait before it is sent.
    pub fn admit(&mut self, now: time::Mono, access: Access) -> Result<span::Span, Refusal> {
        if let Some(wait) = self.breaker.retry_after(now) {
            return Err(Refusal::CircuitOpen(wait));
        }
        self.apply_rates(now);
        let bucket = match access {
            Access::Read => &mut self.reads,
            Access::Write => &mut self.writes,
        };
        let wait = bucket.reserve(now, self.policy.max_wait);
        wait.map_err(|wait| Refusal::RateShare(self.retry_after(now, wait)))
    }

    /// Bounds a wait at the present rate by the time to reach the whole share
    /// and then to earn as much.
    fn retry_after(&self, now: time::Mono, wait: span::Span) -> span::Span {
        let whole = backoff::scale(wait, self.slow_start.level(now));
        let whole = whole.as_micros() + self.policy.slow_start.as_micros();
        wait.min(span::Span::from_micros(whole))
    }

    /// Checks the breaker again when the wait is over and the attempt is sent;
    /// from then on an attempt on an open breaker counts as the probe.
    pub fn send(&mut self, now: time::Mono) -> Result<(), Refusal> {
        self.breaker.admit(now).map_err(Refusal::CircuitOpen)
    }

    /// Records how an attempt ended; `random` is from 0 to 1.
    pub fn record_result(&mut self, now: time::Mono, result: AttemptResult, random: f64) {
        match result {
            AttemptResult::Served => self.record_answer(now, random),
            AttemptResult::Limited => {
                self.record_answer(now, random);
                self.slow_start.halve(now);
            }
            AttemptResult::Failed => self.breaker.record_failure(now, random),
        }
    }

    /// Returns the wait before attempt `attempt` (the first retry is 1), or
    /// nothing when the call is to fail now. `advised` is when the service
    /// said to come back.
    pub fn retry(
        &mut self,
        attempt: u32,
        advised: Option<span::Span>,
        random: f64,
    ) -> Option<span::Span> {
        if attempt >= self.policy.max_attempts {
            return None;
        }
        let own = self.policy.backoff.delay(attempt - 1, random);
        let wait = own.max(advised.unwrap_or_default());
        (wait <= self.policy.max_wait && self.budget.take()).then_some(wait)
    }

    fn record_answer(&mut self, now: time::Mono, random: f64) {
        if self.breaker.record_success() == breaker::Change::Closed {
            self.slow_start.restart(now);
            self.reads.drain(now, random);
            self.writes.drain(now, random);
        }
    }

    fn apply_rates(&mut self, now: time::Mono) {
        let level = self.slow_start.level(now);
        let Rates { reads, writes } = self.policy.rates;
        self.reads.set_rate(now, rate::Rate(reads.0 * level));
        self.writes.set_rate(now, rate::Rate(writes.0 * level));
    }
}
