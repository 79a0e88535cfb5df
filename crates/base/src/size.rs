//! Sizes in bytes, written with a unit.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::unit;

const KIB: u64 = 1024;
const UNITS: [unit::Unit; 4] = [
    ("GiB", KIB * KIB * KIB),
    ("MiB", KIB * KIB),
    ("KiB", KIB),
    ("B", 1),
];

/// A size in bytes, written as `16KiB`, `4MiB` or `512B`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Size(pub u64);

/// The text is not a size.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a size; write a whole number with B, KiB, MiB or GiB, such as \"16KiB\"")]
pub struct SizeError(String);

impl Size {
    /// Returns the size in bytes, or `usize::MAX` when it does not fit.
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl FromStr for Size {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        unit::parse(text, &UNITS)
            .map(Self)
            .ok_or_else(|| SizeError(text.to_owned()))
    }
}

impl TryFrom<String> for Size {
    type Error = SizeError;

    fn try_from(text: String) -> Result<Self, SizeError> {
        text.parse()
    }
}

impl From<Size> for String {
    fn from(size: Size) -> String {
        size.to_string()
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&unit::format(self.0, &UNITS))
    }
}
