//! Gives the decisions of [`crate::control`] a clock and randomness, and runs
//! calls under them.

use std::{
    future::Future,
    sync::{Mutex, MutexGuard, PoisonError},
};

use base::{span, time};
use rand::RngExt;

use crate::{
    breaker,
    control::{Access, Control, Policy, Report},
    error::Error,
    share::Rates,
};

/// Wraps every call to one service.
#[derive(Debug)]
pub struct Guard {
    clock: time::Clock,
    control: Mutex<Control>,
}

impl Guard {
    /// Makes a guard.
    pub fn new(policy: Policy) -> Self {
        Self {
            clock: time::Clock::start(),
            control: Mutex::new(Control::new(policy)),
        }
    }

    fn control(&self) -> MutexGuard<'_, Control> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes this process's share of the rates.
    pub fn rates(&self, rates: Rates) {
        let now = self.clock.now();
        self.control().rates(now, rates);
    }

    /// Returns the state of the circuit breaker.
    pub fn breaker(&self) -> breaker::State {
        self.control().breaker()
    }

    /// Runs a call and repeats it where that is free of risk.
    pub async fn call<T, F>(
        &self,
        access: Access,
        mut attempt: impl FnMut() -> F,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>>,
    {
        self.control().call();
        let mut attempts = 0;
        loop {
            let error = match self.attempt(access, attempt()).await {
                Ok(value) => return Ok(value),
                Err(error) => error.spread(random()),
            };
            attempts += 1;
            if !error.repeatable(access) {
                return Err(error);
            }
            let retry = self.control().retry(attempts, error.after(), random());
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
        let wait = self.control().admit(self.clock.now(), access)?;
        if wait > span::Span::ZERO {
            tokio::time::sleep(wait.duration()).await;
        }
        self.control().send(self.clock.now())?;
        let result = attempt.await;
        let report = match &result {
            Ok(_) => Some(Report::Served),
            Err(error) => error.report(),
        };
        if let Some(report) = report {
            let now = self.clock.now();
            self.control().report(now, report, random());
        }
        result
    }
}

/// Returns a random number from 0 to 1.
fn random() -> f64 {
    rand::rng().random()
}
