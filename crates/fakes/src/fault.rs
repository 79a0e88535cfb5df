//! Faults that all stand-ins share, and when they occur.

use base::{rate, span, time};
use rand::{RngExt, SeedableRng, rngs};
use serde::{Deserialize, Serialize};

/// Decides which requests a fault affects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Chance {
    /// No request.
    #[default]
    Never,
    /// The next requests, as many as the number says.
    Next(u32),
    /// A random share of the requests, from 0 to 1.
    Share(f64),
    /// Every request.
    Always,
}

impl Chance {
    /// Decides about one request and counts down [`Chance::Next`].
    pub fn draw(&mut self, random: &mut Random) -> bool {
        match self {
            Self::Never | Self::Next(0) => false,
            Self::Next(left) => {
                *left -= 1;
                true
            }
            Self::Share(share) => random.share() < *share,
            Self::Always => true,
        }
    }
}

/// A seeded source of randomness, so that a run can be repeated.
#[derive(Debug)]
pub struct Random(rngs::SmallRng);

impl Random {
    /// Starts the source from a seed.
    pub fn new(seed: u64) -> Self {
        Self(rngs::SmallRng::seed_from_u64(seed))
    }

    /// Returns a number from 0 up to, but not including, 1.
    pub fn share(&mut self) -> f64 {
        self.0.random()
    }
}

/// How a part of the platform is unavailable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It is available.
    #[default]
    None,
    /// It answers every request with 503.
    Refuse,
    /// It accepts requests and never answers.
    Hang,
}

/// Switchable faults of the table, object store, instance list and weight store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether and how the service is unavailable.
    pub outage: Outage,
    /// Time before each request takes effect.
    pub delay: span::Span,
    /// Requests that are lost before they take effect.
    pub lost_request: Chance,
    /// Requests whose reply is lost after they have taken effect.
    pub lost_reply: Chance,
}

/// A token bucket for the rate limits of the platform.
#[derive(Debug)]
pub struct Bucket {
    rate: rate::Rate,
    tokens: f64,
    at: time::Mono,
}

/// Requests that a rate limit lets through at once after a pause, in seconds
/// of its rate.
const BURST_SECONDS: f64 = 0.25;

impl Bucket {
    /// Starts a full bucket.
    pub fn new(rate: rate::Rate, now: time::Mono) -> Self {
        Self {
            rate,
            tokens: Self::burst(rate),
            at: now,
        }
    }

    fn burst(rate: rate::Rate) -> f64 {
        (rate.0 * BURST_SECONDS).max(1.0)
    }

    /// Takes one token, or returns false when the rate is exceeded.
    pub fn take(&mut self, now: time::Mono) -> bool {
        let gained = now.since(self.at).as_secs_f64() * self.rate.0;
        self.tokens = (self.tokens + gained).min(Self::burst(self.rate));
        self.at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
