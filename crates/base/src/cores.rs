//! CPU time in cores, written with a unit.

use std::{fmt, str::FromStr};

const SUFFIX: &str = " cores";

/// Thousandths of a processor core, written as `0.190 cores`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cores(pub u32);

/// The text is not a number of cores.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a number of cores; write a number with its unit, such as \"0.19 cores\"")]
pub struct CoresError(String);

impl Cores {
    /// Makes a value from a number of cores, which is rounded down to thousandths;
    /// a negative number counts as zero.
    pub fn from_cores(cores: f64) -> Self {
        Self((cores * 1e3) as u32)
    }
}

impl FromStr for Cores {
    type Err = CoresError;

    fn from_str(text: &str) -> Result<Self, CoresError> {
        text.strip_suffix(SUFFIX)
            .and_then(|cores| cores.parse::<f64>().ok())
            .filter(|cores| cores.is_finite() && *cores >= 0.0)
            .map(|cores| Self((cores * 1e3).round() as u32))
            .ok_or_else(|| CoresError(text.to_owned()))
    }
}

impl fmt::Display for Cores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}{SUFFIX}", self.0 / 1_000, self.0 % 1_000)
    }
}
