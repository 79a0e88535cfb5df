//! Messages of routers as the ledger takes them.

use base::{id, span::Span};

use crate::{claim, epoch::Epoch};

/// One reply stream to a router. The daemon gives each stream its own number,
/// so that the late loss of an old stream does not touch a reattached request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Link(pub u64);

/// How often a request may run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// May run again after a broken link.
    Repeatable,
    /// Runs at most once and has no idempotency key.
    Once,
    /// Runs at most once for its idempotency key.
    Keyed {
        /// The claim.
        key: claim::Key,
        /// Digest of the request.
        digest: claim::Digest,
        /// A value that no other attempt has.
        nonce: id::Nonce,
    },
}

/// A `Run` message as it arrived.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Offer {
    /// Request id.
    pub id: id::RequestId,
    /// Stream for the reply.
    pub link: Link,
    /// Incarnation of the agent that the router means.
    pub incarnation: id::Incarnation,
    /// Latest epoch of the agent that the router knows.
    pub epoch: Epoch,
    /// How often it may run.
    pub class: Class,
    /// Time until the deadline.
    pub remaining: Span,
}

/// A `Settle` message as it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Settle {
    /// Request id.
    pub id: id::RequestId,
    /// Stream for the reply.
    pub link: Link,
    /// Incarnation that the request was sent to.
    pub incarnation: id::Incarnation,
    /// Epoch that the `Run` message carried.
    pub epoch: Epoch,
    /// Bytes of the response body that the router has.
    pub offset: u64,
}
