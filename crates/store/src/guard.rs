//! Runs calls under a [`crate::limiter::Limiter`], with a clock and random
//! numbers.

use std::{
    future::Future,
    sync::{Mutex, MutexGuard, PoisonError},
};

use base::{span, time};
use rand::RngExt;

use crate::{
    breaker,
    error::Error,
    limiter::{Access, AttemptResult, Limiter, Policy},
    rates::Rates,
};

/// Limits and retries the calls to one service.
#[derive(Debug)]
pub struct Guard {
    clock: time::Clock,
    limiter: Mutex<Limiter>,
}

impl Guard {
    /// Makes a guard with its own limiter.
    pub fn new(policy: Policy) -> Self {
        Self {
            clock: time::Clock::start(),
            limiter: Mutex::new(Limiter::new(policy)),
        }
    }

    fn limiter(&self) -> MutexGuard<'_, Limiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the rates that this process may use.
    pub fn set_rates(&self, rates: Rates) {
        let now = self.clock.now();
        self.limiter().set_rates(now, rates);
    }

    /// Returns the state of the circuit breaker.
    pub fn breaker(&self) -> breaker::State {
        self.limiter().breaker()
    }

    /// Runs a call and retries it when a repetition cannot take effect twice.
    pub async fn call<T, F>(
        &self,
        access: Access,
        mut attempt: impl FnMut() -> F,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>>,
    {
        self.limiter().record_call();
        let mut attempts = 0;
        loop {
            let error = match self.attempt(access, attempt()).await {
                Ok(value) => return Ok(value),
                Err(error) => error.jitter(random()),
            };
            attempts += 1;
            if !error.is_retryable(access) {
                return Err(error);
            }
            let retry = self
                .limiter()
                .retry(attempts, error.retry_after(), random());
            let Some(wait) = retry else {
                return Err(error);
            };
            tokio::time::sleep(wait.duration()).await;
        }
    }

    async fn attempt<T>(
        &self,
        access: Access,
        attempt: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let wait = self.limiter().admit(self.clock.now(), access)?;
        if wait > span::Span::ZERO {
            tokio::time::sleep(wait.duration()).await;
        }
        self.limiter().send(self.clock.now())?;
        let result = attempt.await;
        let outcome = match &result {
            Ok(_) => Some(AttemptResult::Served),
            Err(error) => error.attempt_result(),
        };
        if let Some(outcome) = outcome {
            let now = self.clock.now();
            self.limiter().record_result(now, outcome, random());
        }
        result
    }
}

/// Returns a random number from 0 to 1.
fn random() -> f64 {
    rand::rng().random()
}
