//! Time spans, written with a unit.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::unit;

const UNITS: [unit::Unit; 5] = [
    ("us", 1),
    ("ms", 1_000),
    ("min", 60_000_000),
    ("h", 3_600_000_000),
    ("s", 1_000_000),
];

/// A time span in whole microseconds, written as `250ms`, `3s` or `10min`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Span(u64);

/// The text is not a span.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{0:?} is not a time span; write a whole number with us, ms, s, min or h, such as \"250ms\""
)]
pub struct SpanError(String);

impl Span {
    /// A span of zero microseconds.
    pub const ZERO: Self = Self(0);

    /// Makes a span of whole microseconds.
    pub const fn from_micros(count: u64) -> Self {
        Self(count)
    }

    /// Makes a span of whole milliseconds.
    pub const fn from_millis(count: u64) -> Self {
        Self(count * 1_000)
    }

    /// Makes a span of whole seconds.
    pub const fn from_secs(count: u64) -> Self {
        Self(count * 1_000_000)
    }

    /// Returns the whole microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the seconds, including the fraction.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the span as the standard library's duration.
    pub const fn duration(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl FromStr for Span {
    type Err = SpanError;

    fn from_str(text: &str) -> Result<Self, SpanError> {
        unit::parse(text, &UNITS)
            .map(Self)
            .ok_or_else(|| SpanError(text.to_owned()))
    }
}

impl TryFrom<String> for Span {
    type Error = SpanError;

    fn try_from(text: String) -> Result<Self, SpanError> {
        text.parse()
    }
}

impl From<Span> for String {
    fn from(span: Span) -> String {
        span.to_string()
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&unit::format(self.0, &UNITS))
    }
}
