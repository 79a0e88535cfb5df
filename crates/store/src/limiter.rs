//! Decides when a client may send a call or a retry, by the circuit breaker, the
//! rate limit with slow start, the retry budget and the back-off.

use base::{rate, span, time};

use crate::{
    backoff::{self, Backoff},
    breaker::{self, Breaker},
    bucket::TokenBucket,
    budget::RetryBudget,
    rates::Rates,
    slow_start::SlowStart,
};

/// Rate, retry and circuit breaker settings of a client.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Rates that this process may use.
    pub rates: Rates,
    /// Largest burst of calls, for reads and writes each.
    pub burst: u32,
    /// Longest wait for the rate limit or before a retry; a call that would have
    /// to wait longer fails immediately.
    pub max_wait: span::Span,
    /// Largest number of attempts of a call.
    pub max_attempts: u32,
    /// Waits between attempts.
    pub backoff: Backoff,
    /// When the circuit breaker opens.
    pub breaker: breaker::Limits,
    /// Time in which slow start grows from zero to the full rate.
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
                // requests per second.
                max_interval: span::Span::from_secs(10),
                probe_timeout: span::Span::from_secs(3),
            },
            slow_start: span::Span::from_secs(10),
        }
    }
}

/// Whether a call reads or writes; each has its own rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// The call has no side effect.
    Read,
    /// The call may have a side effect.
    Write,
}

/// Why a call is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The circuit breaker is open; retry after this time.
    CircuitOpen(span::Span),
    /// This process has used its share of the rate; retry after this time.
    RateShare(span::Span),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The service responded.
    Served,
    /// The service responded that the request rate is too high.
    Limited,
    /// The service did not respond, or responded that it is unavailable.
    Failed,
}

/// Limits the calls of one client to one service.
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
    /// Makes a limiter with a closed breaker and the full rates.
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

    /// Sets the rates that this process may use.
    pub fn set_rates(&mut self, now: time::Mono, rates: Rates) {
        self.policy.rates = rates;
        self.apply_rates(now);
    }

    /// Returns the state of the circuit breaker.
    pub fn breaker(&self) -> breaker::State {
        self.breaker.state()
    }

    /// Records a new call, which adds to the retry budget.
    pub fn record_call(&mut self) {
        self.budget.record_call();
    }

    /// Admits an attempt and returns how long it must wait before it is sent.
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

    /// Returns `wait`, which is the wait at the current rate, but at most the
    /// duration of slow start plus the wait at the full rate.
    fn retry_after(&self, now: time::Mono, wait: span::Span) -> span::Span {
        let full_rate = backoff::scale(wait, self.slow_start.fraction(now));
        let longest = full_rate.as_micros() + self.policy.slow_start.as_micros();
        wait.min(span::Span::from_micros(longest))
    }

    /// Checks the breaker again after the wait, when the attempt is about to be
    /// sent. If the breaker is not closed, the attempt becomes its probe.
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

    /// Returns the wait before retry `attempt`, counted from 1, or `None` when the
    /// call must fail now. `advised` is the service's `Retry-After`; `random` is
    /// from 0 to 1.
    pub fn retry(
        &mut self,
        attempt: u32,
        advised: Option<span::Span>,
        random: f64,
    ) -> Option<span::Span> {
        if attempt >= self.policy.max_attempts {
            return None;
        }
        let delay = self.policy.backoff.delay(attempt - 1, random);
        let wait = delay.max(advised.unwrap_or_default());
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
        let fraction = self.slow_start.fraction(now);
        let Rates { reads, writes } = self.policy.rates;
        self.reads.set_rate(now, rate::Rate(reads.0 * fraction));
        self.writes.set_rate(now, rate::Rate(writes.0 * fraction));
    }
}
