//! Requests to the admission controller, and its decisions about them.

use std::fmt;

use base::{id, span, time};

/// A request for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request.
    pub id: id::RequestId,
    /// The team to which it is charged.
    pub team: id::TeamId,
    /// Weight of the team relative to other teams; at least 1.
    pub weight: u32,
    /// Within a team, requests with a higher priority run first.
    pub priority: u32,
    /// Time after which its caller no longer needs the response.
    pub deadline: time::Mono,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The target is at its bound and no slot became free in time.
    Bound,
    /// The team has reached its limit of queued requests.
    Share,
    /// The deadline has passed.
    Deadline,
    /// The target is leaving.
    Leaving,
    /// The target does not respond.
    Down,
    /// A request with the same id is queued or running.
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

/// The immediate decision about an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The caller must dispatch the request now.
    Run,
    /// The request waits; an [`Event`] follows.
    Queued,
    /// The request was not run here and will not be.
    Refused {
        /// The reason.
        reason: Reason,
        /// Time after which the caller may retry.
        retry_after: span::Span,
    },
}

/// A decision about a request that was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The caller must dispatch the request now.
    Run(id::RequestId),
    /// The request was not run here and will not be.
    Refused {
        /// The request.
        id: id::RequestId,
        /// The reason.
        reason: Reason,
        /// Time after which the caller may retry.
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

/// The decision about an offered request, and those about other requests that
/// follow from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OfferResult {
    /// The decision about the offered request.
    pub verdict: Verdict,
    /// The decisions about other requests.
    pub events: Vec<Event>,
}

/// The state of a request when it was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// It was queued and will not run.
    Queued,
    /// It is running, and counts as load until it is finished.
    Running,
    /// No request with this id is queued or running.
    Unknown,
}
