//! Reasons for which a request was not run.

use std::fmt;

use base::id;

/// Why a request was not run at one agent; each is a proof for that agent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// The target is at its bound and the queue is full.
    Bound,
    /// The team's share of the queue is full.
    Share,
    /// The deadline passed before dispatch.
    Deadline,
    /// The target is leaving.
    Leaving,
    /// The target does not answer; nothing was sent to it.
    Down,
    /// The content crashed targets.
    Quarantine,
    /// The table did not answer, so the key could not be claimed.
    Table,
    /// Another agent holds the claim of the key.
    Claimed(id::ProcessId),
    /// The key was used with another request.
    Mismatch,
    /// The message names another incarnation or an old epoch of the agent.
    Stale,
    /// The router settled the request before it arrived or before dispatch.
    Tombstone,
    /// The caller left.
    Cancelled,
    /// The message was not valid.
    Invalid,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Bound => "bound",
            Self::Share => "share",
            Self::Deadline => "deadline",
            Self::Leaving => "leaving",
            Self::Down => "down",
            Self::Quarantine => "quarantine",
            Self::Table => "table",
            Self::Claimed(owner) => return write!(f, "claimed by {owner}"),
            Self::Mismatch => "mismatch",
            Self::Stale => "stale",
            Self::Tombstone => "tombstone",
            Self::Cancelled => "cancelled",
            Self::Invalid => "invalid",
        };
        f.pad(text)
    }
}
