//! Why a call to the platform failed, and whether it may have taken effect.

use std::error;

use base::{fault, span};
use http::StatusCode;

use crate::{backoff, control};

/// The cause within a [`fault::Fault`] of this crate.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// This process has used its share of the rate.
    #[error("over this process's share of the rate; retry after {0}")]
    Share(span::Span),
    /// The circuit breaker is open.
    #[error("the service is failing; retry after {0}")]
    Open(span::Span),
    /// The service answered that the rate is too high.
    #[error("over the service's rate; retry after {0}")]
    Limited(span::Span),
    /// The service answered that it is down.
    #[error("the service is down; retry after {0}")]
    Down(span::Span),
    /// No connection could be made.
    #[error("cannot connect: {0}")]
    Connect(#[source] hyper_util::client::legacy::Error),
    /// The request is not valid.
    #[error("request is not valid: {0}")]
    Request(#[source] Box<dyn error::Error + Send + Sync>),
    /// The service rejected the request.
    #[error("rejected with status {0}: {1}")]
    Rejected(StatusCode, String),
    /// The service failed while it handled the request.
    #[error("failed with status {0}: {1}")]
    Failed(StatusCode, String),
    /// No reply came in time.
    #[error("no reply within {0}")]
    Timeout(span::Span),
    /// The connection broke before the reply was complete.
    #[error("connection broke before the reply was complete: {0}")]
    Broken(#[source] Box<dyn error::Error + Send + Sync>),
    /// The reply cannot be read.
    #[error("reply is not valid: {0}")]
    Reply(#[source] Box<dyn error::Error + Send + Sync>),
}

impl Error {
    /// Returns whether the request may have taken effect.
    pub fn may_have_run(&self) -> bool {
        matches!(
            self,
            Self::Failed(..) | Self::Timeout(_) | Self::Broken(_) | Self::Reply(_)
        )
    }

    /// Returns when the caller should come back, if that is known.
    pub fn after(&self) -> Option<span::Span> {
        match self {
            Self::Share(after) | Self::Open(after) | Self::Limited(after) | Self::Down(after) => {
                Some(*after)
            }
            _ => None,
        }
    }

    /// Returns what the failure says about the service, if anything.
    pub(crate) fn report(&self) -> Option<control::Report> {
        match self {
            Self::Limited(_) => Some(control::Report::Limited),
            Self::Rejected(..) => Some(control::Report::Served),
            Self::Request(_) | Self::Share(_) | Self::Open(_) => None,
            _ => Some(control::Report::Failed),
        }
    }

    /// Spreads the service's advice when to come back, which is the same for
    /// all of its clients.
    pub(crate) fn spread(self, random: f64) -> Self {
        match self {
            Self::Limited(after) => Self::Limited(backoff::spread(after, random)),
            Self::Down(after) => Self::Down(backoff::spread(after, random)),
            error => error,
        }
    }

    /// Returns whether another attempt may succeed and is free of risk.
    pub(crate) fn repeatable(&self, access: control::Access) -> bool {
        match self {
            Self::Limited(_) | Self::Down(_) | Self::Connect(_) => true,
            Self::Failed(..) | Self::Timeout(_) | Self::Broken(_) => {
                access == control::Access::Read
            }
            _ => false,
        }
    }
}

impl From<control::Refusal> for Error {
    fn from(refusal: control::Refusal) -> Self {
        match refusal {
            control::Refusal::Open(after) => Self::Open(after),
            control::Refusal::Share(after) => Self::Share(after),
        }
    }
}

/// Returns when to come back after a fault of this crate, if that is known.
pub fn after(fault: &fault::Fault) -> Option<span::Span> {
    fault.cause.downcast_ref::<Error>()?.after()
}
