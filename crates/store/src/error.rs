//! Why a call to the platform failed, and whether it may have taken effect.

use std::error;

use base::{fault, span};
use http::StatusCode;

use crate::{backoff, limiter};

/// The cause within a [`fault::Fault`] of this crate.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// This process has used its share of the rate; not sent.
    #[error("over this process's share of the rate; retry after {0}")]
    RateShare(span::Span),
    /// The circuit breaker is open; not sent.
    #[error("the service is failing; retry after {0}")]
    CircuitOpen(span::Span),
    /// The service responded that the request rate is too high (429).
    #[error("over the service's rate; retry after {0}")]
    Limited(span::Span),
    /// The service responded that it is unavailable (503).
    #[error("the service is down; retry after {0}")]
    Unavailable(span::Span),
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(#[source] hyper_util::client::legacy::Error),
    /// The request is not valid.
    #[error("request is not valid: {0}")]
    Request(#[source] Box<dyn error::Error + Send + Sync>),
    /// The service rejected the request (other 4xx).
    #[error("rejected with status {0}: {1}")]
    Rejected(StatusCode, String),
    /// The service failed while it handled the request.
    #[error("failed with status {0}: {1}")]
    Failed(StatusCode, String),
    /// No reply arrived within the timeout.
    #[error("no reply within {0}")]
    Timeout(span::Span),
    /// The connection failed before the reply was complete.
    #[error("connection broke before the reply was complete: {0}")]
    Broken(#[source] Box<dyn error::Error + Send + Sync>),
    /// The reply is malformed.
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

    /// Returns the time after which the caller should retry, if it is known.
    pub fn retry_after(&self) -> Option<span::Span> {
        match self {
            Self::RateShare(after)
            | Self::CircuitOpen(after)
            | Self::Limited(after)
            | Self::Unavailable(after) => Some(*after),
            _ => None,
        }
    }

    /// Returns the result that the limiter records, or `None` when the error says
    /// nothing about the service.
    pub(crate) fn attempt_result(&self) -> Option<limiter::AttemptResult> {
        match self {
            Self::Limited(_) => Some(limiter::AttemptResult::Limited),
            Self::Rejected(..) => Some(limiter::AttemptResult::Served),
            Self::Request(_) | Self::RateShare(_) | Self::CircuitOpen(_) => None,
            _ => Some(limiter::AttemptResult::Failed),
        }
    }

    /// Adds jitter to the service's `Retry-After`, which is the same for all of its
    /// clients.
    pub(crate) fn jitter(self, random: f64) -> Self {
        match self {
            Self::Limited(after) => Self::Limited(backoff::jitter(after, random)),
            Self::Unavailable(after) => Self::Unavailable(backoff::jitter(after, random)),
            error => error,
        }
    }

    /// Returns whether another attempt may succeed and cannot repeat a side effect.
    pub(crate) fn is_retryable(&self, access: limiter::Access) -> bool {
        match self {
            Self::Limited(_) | Self::Unavailable(_) | Self::Connect(_) => true,
            Self::Failed(..) | Self::Timeout(_) | Self::Broken(_) => {
                access == limiter::Access::Read
            }
            _ => false,
        }
    }
}

impl From<limiter::Refusal> for Error {
    fn from(refusal: limiter::Refusal) -> Self {
        match refusal {
            limiter::Refusal::CircuitOpen(after) => Self::CircuitOpen(after),
            limiter::Refusal::RateShare(after) => Self::RateShare(after),
        }
    }
}

/// Returns the time after which to retry after a fault of this crate, if it is
/// known.
pub fn retry_after(fault: &fault::Fault) -> Option<span::Span> {
    fault.cause.downcast_ref::<Error>()?.retry_after()
}
