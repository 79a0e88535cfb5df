//! Rates of events and of bytes, written with a unit.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::size;

const SUFFIX: &str = "/s";

/// Events per second, written as `300/s` or `0.5/s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Rate(pub f64);

/// Bytes per second, written as `5KiB/s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ByteRate(pub u64);

/// The text is not a rate.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RateError {
    /// The text is not a number of events per second.
    #[error("{0:?} is not a rate; write a positive number with /s, such as \"300/s\"")]
    Events(String),
    /// The text is not a number of bytes per second.
    #[error("{0:?} is not a byte rate; write a size with /s, such as \"5KiB/s\"")]
    Bytes(String),
}

impl FromStr for Rate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        text.strip_suffix(SUFFIX)
            .and_then(|count| count.trim_end().parse::<f64>().ok())
            .filter(|count| count.is_finite() && *count > 0.0)
            .map(Self)
            .ok_or_else(|| RateError::Events(text.to_owned()))
    }
}

impl FromStr for ByteRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        text.strip_suffix(SUFFIX)
            .and_then(|count| count.parse::<size::Size>().ok())
            .map(|size| Self(size.0))
            .ok_or_else(|| RateError::Bytes(text.to_owned()))
    }
}

impl TryFrom<String> for Rate {
    type Error = RateError;

    fn try_from(text: String) -> Result<Self, RateError> {
        text.parse()
    }
}

impl TryFrom<String> for ByteRate {
    type Error = RateError;

    fn try_from(text: String) -> Result<Self, RateError> {
        text.parse()
    }
}

impl From<Rate> for String {
    fn from(rate: Rate) -> String {
        rate.to_string()
    }
}

impl From<ByteRate> for String {
    fn from(rate: ByteRate) -> String {
        rate.to_string()
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{SUFFIX}", self.0)
    }
}

impl fmt::Display for ByteRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{SUFFIX}", size::Size(self.0))
    }
}
