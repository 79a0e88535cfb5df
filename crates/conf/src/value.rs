//! Values of the configuration as newtypes that check themselves.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Reports a text or a number that is not a valid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ValueError {
    /// Not a bound factor.
    #[error("{0} is not a bound factor; write a number from 1.01 to 100, such as 1.25")]
    Factor(String),
    /// Not a weight.
    #[error("{0} is not a weight; write a whole number from 1 to 10000, where 100 is normal")]
    Weight(String),
    /// Not a priority.
    #[error("{0} is not a priority; write a whole number from 0 to 9, larger runs first")]
    Priority(String),
    /// Not a key hash.
    #[error("a key hash is 64 hexadecimal digits, the SHA-256 of the key")]
    KeyHash,
    /// Not a path prefix.
    #[error("{0:?} is not a path prefix; write a path that begins with /, without ? # or spaces")]
    Prefix(String),
    /// Not an HTTP method.
    #[error("{0:?} is not an HTTP method; write it in upper case, such as \"POST\"")]
    Method(String),
    /// Not the name of a model, an adapter or a version.
    #[error("{0:?} is not a model name; write 1 to 128 characters without spaces")]
    Model(String),
    /// Not a role of operators.
    #[error("{0:?} is not a role; write read, operate or administer")]
    Role(String),
}

/// The multiple of its service's mean load that a target may carry, in
/// hundredths; written as a number such as `1.25`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Factor(u32);

impl Factor {
    /// Makes a factor of hundredths.
    ///
    /// # Errors
    ///
    /// A factor of 1 or less would refuse work at an even load, and one above
    /// 100 bounds nothing.
    pub fn from_hundredths(count: u32) -> Result<Self, ValueError> {
        match count {
            101..=10_000 => Ok(Self(count)),
            _ => Err(ValueError::Factor((f64::from(count) / 100.0).to_string())),
        }
    }

    /// Returns the factor as a number.
    pub fn get(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl TryFrom<f64> for Factor {
    type Error = ValueError;

    fn try_from(number: f64) -> Result<Self, ValueError> {
        let hundredths = (number * 100.0).round();
        if !(101.0..=10_000.0).contains(&hundredths) {
            return Err(ValueError::Factor(number.to_string()));
        }
        Ok(Self(hundredths as u32))
    }
}

impl From<Factor> for f64 {
    fn from(factor: Factor) -> f64 {
        factor.get()
    }
}

impl FromStr for Factor {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let number: f64 = text
            .parse()
            .map_err(|_| ValueError::Factor(text.to_owned()))?;
        Self::try_from(number)
    }
}

impl fmt::Display for Factor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.get())
    }
}

macro_rules! number {
    ($($(#[$doc:meta])* $name:ident($int:ty, $least:literal..=$most:literal, $error:ident);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "u64", into = "u64")]
        pub struct $name($int);

        impl $name {
            /// Returns the number.
            pub fn get(self) -> $int {
                self.0
            }
        }

        impl TryFrom<u64> for $name {
            type Error = ValueError;

            fn try_from(number: u64) -> Result<Self, ValueError> {
                match number {
                    $least..=$most => Ok(Self(number as $int)),
                    _ => Err(ValueError::$error(number.to_string())),
                }
            }
        }

        impl From<$name> for u64 {
            fn from(value: $name) -> u64 {
                value.0.into()
            }
        }

        impl FromStr for $name {
            type Err = ValueError;

            fn from_str(text: &str) -> Result<Self, ValueError> {
                let number: u64 = text
                    .parse()
                    .map_err(|_| ValueError::$error(text.to_owned()))?;
                Self::try_from(number)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    )*};
}

number! {
    /// A share relative to others, in hundredths; 100 is normal.
    Weight(u32, 1..=10_000, Weight);
    /// The order among requests of one team's share; larger runs first.
    Priority(u8, 0..=9, Priority);
}

impl Default for Weight {
    fn default() -> Self {
        Self(100)
    }
}

impl Default for Priority {
    fn default() -> Self {
        Self(5)
    }
}

/// The SHA-256 of a key; keys themselves are stored nowhere.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key as callers and operators send it.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// Returns the first digits, which identify a key in lists and logs.
    pub fn short(&self) -> String {
        self.to_string()[..8].to_owned()
    }
}

impl FromStr for KeyHash {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let valid = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !valid {
            return Err(ValueError::KeyHash);
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ValueError::KeyHash)?;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({})", self.short())
    }
}

macro_rules! text {
    ($($(#[$doc:meta])* $name:ident, $error:ident, $valid:expr;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ValueError;

            fn from_str(text: &str) -> Result<Self, ValueError> {
                let valid: fn(&str) -> bool = $valid;
                match valid(text) {
                    true => Ok(Self(text.to_owned())),
                    false => Err(ValueError::$error(text.to_owned())),
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    )*};
}

text! {
    /// The beginning of the request paths that a rule routes.
    Prefix, Prefix, |text| {
        text.starts_with('/')
            && text.len() <= 512
            && !text.contains(|c: char| matches!(c, '?' | '#') || c.is_whitespace())
    };
    /// An HTTP method.
    Method, Method, |text| {
        (1..=16).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_uppercase())
    };
    /// The name of a model, an adapter, a version of one, or a role of an engine.
    Model, Model, |text| {
        (1..=128).contains(&text.len()) && !text.contains(char::is_whitespace)
    };
}

impl Prefix {
    /// Tells whether the path lies under this prefix: the two are equal, or the
    /// prefix ends at a `/` of the path. A query is not part of the path.
    pub fn covers(&self, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or(path);
        match path.strip_prefix(&self.0) {
            Some(rest) => rest.is_empty() || self.0.ends_with('/') || rest.starts_with('/'),
            None => false,
        }
    }
}

macro_rules! from_text {
    ($($name:ident)*) => {$(
        impl TryFrom<String> for $name {
            type Error = ValueError;

            fn try_from(text: String) -> Result<Self, ValueError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> String {
                value.to_string()
            }
        }
    )*};
}

from_text! { KeyHash Prefix Method Model }
