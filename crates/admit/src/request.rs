//! Requests as the gate sees them, and what becomes of them.

use std::fmt;

use base::{id, span, time};

/// A request that asks to be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The request.
    pub id: id::RequestId,
    /// The team whose share it uses.
    pub team: id::TeamId,
    /// Share of the team relative to other teams; at least 1.
    pub weight: u32,
    /// Larger runs first within the team.
    pub priority: u32,
    /// When its caller no longer needs the response.
    pub deadline: time::Mono,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The target is at its bound and the request waited in vain.
    Bound,
    /// The team's part of the queue is full.
    Share,
    /// The deadline has passed.
    Deadline,
    /// The target is leaving.
    Leaving,
    /// The target does not answer.
    Down,
    /// A request with this id is queued or running.
    Duplicate,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Bound => "bound",
            Self::Share => "share",
            Self::Deadline => "deadline",
            Self::Leaving => "leaving",
            Self::Down => "down",
            Self::Duplicate => "duplicate",
        })
    }
}

/// The immediate answer to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Dispatch it now.
    Run,
    /// An [`Event`] follows.
    Queued,
    /// It was not run here and will not be.
    Refused {
        /// Why.
        reason: Reason,
        /// When the caller may come back.
        retry_after: span::Span,
    },
}

/// A decision about a request that was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Dispatch it now.
    Run(id::RequestId),
    /// It was not run here and will not be.
    Refused {
        /// The request.
        id: id::RequestId,
        /// Why.
        reason: Reason,
        /// When the caller may come back.
        retry_after: span::Span,
    },
}

impl Event {
    /// Returns the request that the event concerns.
    pub fn id(&self) -> id::RequestId {
        match self {
            Self::Run(id) | Self::Refused { id, .. } => *id,
        }
    }
}

/// The answer to an offer, with decisions about other requests that it caused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OfferResult {
    /// What becomes of the offered request.
    pub verdict: Verdict,
    /// What becomes of others.
    pub events: Vec<Event>,
}

/// What a cancelled request was doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// It was queued, and will not run.
    Queued,
    /// It is running; it counts until it is finished.
    Running,
    /// It is not known.
    Unknown,
}
