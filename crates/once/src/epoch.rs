//! Epochs of a ledger, which make it safe to forget a request id.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A period of one ledger's memory.
///
/// An agent's stamps carry the present epoch, a router sends the latest epoch
/// it knows with each `Run`, and the agent refuses a `Run` from an epoch older
/// than the previous one. A late original therefore never runs after its
/// ledger entry was dropped, whatever the clocks and delays are. Remaining
/// time alone could not ensure this: it starts to count on arrival, so a
/// message that waited in a socket buffer looks fresh.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The first epoch of an incarnation; 0 stands for "not known".
    pub const FIRST: Self = Self(1);

    /// Returns the following epoch.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Tells whether a message from this epoch is accepted in epoch `present`.
    ///
    /// One previous epoch is accepted, so that routers have the length of an
    /// epoch to learn the present one.
    pub fn accepted(self, present: Self) -> bool {
        self.0 + 1 >= present.0 && self != Self(0)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}
