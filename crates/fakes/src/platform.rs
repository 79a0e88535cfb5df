//! What the stand-ins of the platform's services share: outages, delays, lost
//! messages and rate limits.

use std::sync::{Mutex, MutexGuard, PoisonError};

use base::{rate, span};
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{body, clock, fault, server};

/// Advised pause after a refusal.
const RETRY_AFTER: span::Span = span::Span::from_secs(1);

/// How a service is built.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Reads that all callers together may make.
    pub reads: Option<rate::Rate>,
    /// Writes, or transactions, that all callers together may make.
    pub writes: Option<rate::Rate>,
    /// Seed of the faults.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            // Design page 1.3: several hundred writes and about two thousand
            // reads a second for all processes together.
            reads: Some(rate::Rate(2000.0)),
            writes: Some(rate::Rate(400.0)),
            seed: 0,
        }
    }
}

impl Options {
    /// Makes the gate of a service with these options.
    pub fn gate(&self) -> Gate {
        Gate::new(self.reads, self.writes, self.seed)
    }
}

/// Whether a request reads or writes; each has its own rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// The request changes nothing.
    Read,
    /// The request may change something.
    Write,
}

/// Requests that a service has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Reads that arrived, with those refused.
    pub reads: u64,
    /// Writes that arrived, with those refused.
    pub writes: u64,
    /// Requests answered with 429.
    pub limited: u64,
    /// Requests refused or left unanswered in an outage.
    pub outage: u64,
    /// Requests that were carried out.
    pub served: u64,
}

#[derive(Debug)]
struct State {
    faults: fault::Faults,
    random: fault::Random,
    counts: Counts,
    reads: Option<fault::Bucket>,
    writes: Option<fault::Bucket>,
}

/// The gate through which every request to a service passes.
#[derive(Debug)]
pub struct Gate(Mutex<State>);

/// What to do with a request that passed the gate.
#[derive(Clone, Copy, Debug)]
pub struct Pass {
    lost_reply: bool,
}

/// Why a request did not pass.
#[derive(Debug)]
pub enum Stop {
    /// Send this response.
    Response(Box<Response<body::Body>>),
    /// Close the connection without a response.
    Drop,
}

impl Gate {
    /// Makes a gate; without a rate there is no limit.
    pub fn new(reads: Option<rate::Rate>, writes: Option<rate::Rate>, seed: u64) -> Self {
        let bucket = |rate| fault::Bucket::new(rate, clock::now());
        Self(Mutex::new(State {
            faults: fault::Faults::default(),
            random: fault::Random::new(seed),
            counts: Counts::default(),
            reads: reads.map(bucket),
            writes: writes.map(bucket),
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the faults.
    pub fn faults(&self, change: impl FnOnce(&mut fault::Faults)) {
        change(&mut self.state().faults);
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.state().counts
    }

    /// Lets one request pass, or stops it before it takes effect.
    pub async fn enter(&self, access: Access) -> Result<Pass, Stop> {
        let (outage, delay) = self.arrive(access);
        match outage {
            fault::Outage::None => {}
            fault::Outage::Refuse => return Err(refuse("the service is down")),
            fault::Outage::Hang => return std::future::pending().await,
        }
        if !self.within_rate(access) {
            let response = body::retry(StatusCode::TOO_MANY_REQUESTS, RETRY_AFTER, "over the rate");
            return Err(Stop::Response(Box::new(response)));
        }
        tokio::time::sleep(delay.duration()).await;
        self.draw()
    }

    fn arrive(&self, access: Access) -> (fault::Outage, span::Span) {
        let mut state = self.state();
        match access {
            Access::Read => state.counts.reads += 1,
            Access::Write => state.counts.writes += 1,
        }
        if state.faults.outage != fault::Outage::None {
            state.counts.outage += 1;
        }
        (state.faults.outage, state.faults.delay)
    }

    fn within_rate(&self, access: Access) -> bool {
        let mut state = self.state();
        let bucket = match access {
            Access::Read => &mut state.reads,
            Access::Write => &mut state.writes,
        };
        let within = bucket
            .as_mut()
            .is_none_or(|bucket| bucket.take(clock::now()));
        if !within {
            state.counts.limited += 1;
        }
        within
    }

    fn draw(&self) -> Result<Pass, Stop> {
        let mut state = self.state();
        let state = &mut *state;
        if state.faults.lost_request.draw(&mut state.random) {
            return Err(Stop::Drop);
        }
        state.counts.served += 1;
        let lost_reply = state.faults.lost_reply.draw(&mut state.random);
        Ok(Pass { lost_reply })
    }
}

impl Pass {
    /// Sends the response unless it is lost.
    pub fn reply(
        self,
        response: Response<body::Body>,
    ) -> Result<Response<body::Body>, server::Dropped> {
        match self.lost_reply {
            true => Err(server::Dropped),
            false => Ok(response),
        }
    }
}

impl Stop {
    /// Turns the refusal into what the handler returns.
    pub fn reply(self) -> Result<Response<body::Body>, server::Dropped> {
        match self {
            Self::Response(response) => Ok(*response),
            Self::Drop => Err(server::Dropped),
        }
    }
}

fn refuse(reason: &str) -> Stop {
    let response = body::retry(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER, reason);
    Stop::Response(Box::new(response))
}
