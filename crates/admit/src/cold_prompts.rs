//! Limits the prompt tokens that routers send to engines in the first seconds after
//! a loss of all routers.
//!
//! Load pattern: all routers were lost, and all callers return within a second. The
//! routers do not know which engines have cached the long parts of the prompts, nor
//! what the others send, so that engines read again what other engines have cached.
//! They then work on a backlog of prompts for several seconds, while the routers have
//! learned from the engines within less than a second what is cached. Until then each
//! router sends its part of what the engines can read, and tells the other callers
//! when to return. See [the design note](../../../docs/design/returns.md).

use std::collections::BTreeMap;

use base::{id, span, time};

/// Time after the start for which tokens are limited.
const LIMIT_TIME: span::Span = span::Span::from_secs(2);

/// Time after the start in which a router learns what engines have cached: it listens
/// for other routers, queries its share of the engines and hears the shares of the
/// others.
const LEARN_TIME: span::Span = span::Span::from_millis(600);

/// Callers return within this time after that.
const SPREAD_TIME: span::Span = span::Span::from_millis(400);

/// Fraction of the tokens that engines can read which the routers send. A smaller one
/// refuses callers needlessly after a loss with few long prompts.
const RATE_FRACTION: f64 = 0.5;

/// Tokens that may be sent at the start, as the time in which they are allowed.
const BURST_TIME: span::Span = span::Span::from_millis(100);

/// Prompts with fewer tokens to read are not limited.
const MIN_TOKENS: u32 = 1_000;

/// Fraction of the time that a caller has left up to which it follows a time.
const FOLLOWED_FRACTION: f64 = 0.33;

/// Maximum number of services that are remembered. They are those of a configuration.
const MAX_SERVICES: usize = 1_024;

/// The engines of a service, as one router sees them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engines {
    /// Number of engines.
    pub count: usize,
    /// Time to read one prompt token, in microseconds.
    pub prefill: f64,
    /// Number of routers that send to them.
    pub routers: u32,
}

/// Prompt tokens that a router has sent since its start.
#[derive(Clone, Debug, Default)]
pub struct ColdPrompts {
    started: Option<time::Mono>,
    sent: BTreeMap<id::ServiceId, f64>,
}

impl ColdPrompts {
    /// Records that this router has started and does not know what engines have
    /// cached. Later calls have no effect.
    pub fn start(&mut self, now: time::Mono) {
        self.started.get_or_insert(now);
    }

    /// Records that a peer has told what engines have cached, so that no limit is
    /// needed.
    pub fn finish(&mut self) {
        self.started = Some(time::Mono(0));
        self.sent.clear();
    }

    /// Records that a prompt is to be sent of which the engine has to read `tokens`.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should return, if the prompt exceeds
    /// the limit. `remaining` is the time that the caller has left; `random`, from 0
    /// to 1, spreads callers.
    pub fn send(
        &mut self,
        now: time::Mono,
        service: &id::ServiceId,
        tokens: u32,
        engines: Engines,
        remaining: span::Span,
        random: f64,
    ) -> Result<(), span::Span> {
        let Some(started) = self.started else {
            return Ok(());
        };
        let age = now.since(started);
        if age >= LIMIT_TIME || tokens < MIN_TOKENS {
            return Ok(());
        }
        if self.sent.len() >= MAX_SERVICES && !self.sent.contains_key(service) {
            return Ok(());
        }
        let read = engines.count as f64 * 1e6 / engines.prefill.max(f64::EPSILON);
        let rate = read * RATE_FRACTION / f64::from(engines.routers.max(1));
        let allowed = rate * (age.as_secs_f64() + BURST_TIME.as_secs_f64());
        let sent = self.sent.entry(service.clone()).or_default();
        // A prompt may exceed the limit if those before it did not, so that one that is
        // longer than the limit of a small deployment is sent at once.
        if *sent <= allowed {
            *sent += f64::from(tokens);
            return Ok(());
        }
        let learned = LEARN_TIME.as_secs_f64() - age.as_secs_f64();
        let after = learned.max(0.0) + SPREAD_TIME.as_secs_f64() * random;
        let followed = remaining.as_secs_f64() * FOLLOWED_FRACTION;
        Err(span::Span::from_micros((after.min(followed) * 1e6) as u64))
    }
}
