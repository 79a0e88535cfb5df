//! Identifiers as newtypes, so that a team is never passed where a target is
//! expected.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Longest text id, in bytes; every control message contains ids.
pub const MAX_TEXT_ID: usize = 64;

/// Why a text is not a valid id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text is empty.
    #[error("an id must not be empty")]
    Empty,
    /// The text is longer than [`MAX_TEXT_ID`].
    #[error("an id has at most {MAX_TEXT_ID} bytes, this one has {0}")]
    TooLong(usize),
    /// The text has a character outside `a-z A-Z 0-9 . _ -`.
    #[error("character {0:?} is not allowed in an id; use letters, digits, '.', '_' and '-'")]
    InvalidCharacter(char),
    /// The text is not the expected number of hexadecimal digits.
    #[error("expected {0} hexadecimal digits")]
    Hex(usize),
    /// The text is not a decimal number.
    #[error("expected a decimal number")]
    Number,
}

fn check_text(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_TEXT_ID {
        return Err(IdError::TooLong(text.len()));
    }
    match text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !matches!(c, '.' | '_' | '-'))
    {
        Some(c) => Err(IdError::InvalidCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_text(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($name), self.0)
            }
        }
    )*};
}

text_id! {
    /// A team: the customer on whose behalf a request is made.
    TeamId;
    /// A service: a group of targets that give the same responses.
    ServiceId;
    /// A target: one engine or plain-service instance that runs requests.
    TargetId;
    /// A process of the system, a router or an agent; the id survives restarts.
    ProcessId;
    /// A data centre.
    DataCentre;
    /// A region: a group of data centres.
    Region;
    /// An operator.
    OperatorId;
    /// A planned change.
    PlanId;
    /// A routing rule.
    RuleId;
    /// One attempt of a caller; the caller chooses the id. At-most-once execution
    /// applies per attempt.
    AttemptId;
}

macro_rules! number_id {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse().map(Self).map_err(|_| IdError::Number)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    )*};
}

number_id! {
    /// A version of the configuration; version 0 is the empty configuration.
    Version;
    /// A fencing token; a larger one invalidates all smaller ones.
    Fence;
    /// Distinguishes the runs of one process; a restart increases it.
    Incarnation;
    /// Orders the reports of one incarnation.
    Sequence;
}

macro_rules! hex_id {
    ($($(#[$doc:meta])* $name:ident($int:ty, $digits:literal);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub $int);

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                let valid = text.len() == $digits && text.bytes().all(|b| b.is_ascii_hexdigit());
                if !valid {
                    return Err(IdError::Hex($digits));
                }
                <$int>::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| IdError::Hex($digits))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:0width$x}", self.0, width = $digits)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({self})", stringify!($name))
            }
        }
    )*};
}

hex_id! {
    /// Id that a router gives to an accepted request; the target returns it.
    RequestId(u128, 32);
    /// One command of an operator; a repetition with the same id has no effect.
    CommandId(u128, 32);
    /// One attempt to claim an idempotency key.
    Nonce(u128, 32);
    /// Identifies a chat for placement.
    ChatHash(u64, 16);
    /// Identifies requests with the same content, for quarantine.
    Fingerprint(u64, 16);
    /// Hash of the id of a prompt part. An engine can use a cached part only if it
    /// has also cached all parts before it.
    PartHash(u64, 16);
}

/// Returns 128 random bits, which are unique in practice.
pub fn random_bits() -> u128 {
    rand::random()
}
