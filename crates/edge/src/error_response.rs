//! Error responses that the router itself creates.

use std::fmt;

use base::span;
use http::{HeaderValue, Response, StatusCode, header};
use rand::RngExt;

use crate::body::{self, Body};

/// Why the router responds in place of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The request is malformed.
    Malformed,
    /// No rule matches the host and the path.
    NoRule,
    /// No team has the key.
    UnknownKey,
    /// The body exceeds the configured limit.
    BodyTooLarge,
    /// The configuration or the targets have not been loaded yet.
    NotReady,
    /// Requests with this content crashed several targets; the request did not run.
    CrashesTargets,
    /// No target accepts the request, or its body does not fit in memory; it did
    /// not run.
    Busy,
    /// The request was shed because the service is overloaded; it did not run.
    Overloaded,
    /// The deadline passed before the request ran.
    Expired,
    /// The deadline passed after the request was sent; it may have run.
    Timeout,
    /// The request was sent and failed without a usable response; it may have run.
    OutcomeUnknown,
}

impl Reason {
    fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoRule => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotReady
            | Self::CrashesTargets
            | Self::Busy
            | Self::Overloaded
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the mean time after which the caller should retry.
    fn retry_after(self) -> Option<span::Span> {
        match self {
            Self::NotReady => Some(NOT_READY_RETRY),
            Self::CrashesTargets => Some(CRASHES_RETRY),
            Self::Busy | Self::Expired => Some(BUSY_RETRY),
            _ => None,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Malformed => "malformed",
            Self::NoRule => "no-rule",
            Self::UnknownKey => "unknown-key",
            Self::BodyTooLarge => "body-too-large",
            Self::NotReady => "not-ready",
            Self::CrashesTargets => "crashes-targets",
            Self::Busy => "busy",
            Self::Overloaded => "overloaded",
            Self::Expired => "expired-unsent",
            Self::Timeout => "timeout",
            Self::OutcomeUnknown => "outcome-unknown",
        })
    }
}

/// Mean retry time while the router is not ready. Loading the configuration takes
/// several calls to the table.
const NOT_READY_RETRY: span::Span = span::Span::from_millis(700);

/// Mean retry time for content that crashes targets. It runs no more until its
/// record expires, so an earlier retry would fail again.
const CRASHES_RETRY: span::Span = span::Span::from_secs(60);

/// Mean retry time when no target accepts the request. In this time, a few
/// requests finish and free their slots.
const BUSY_RETRY: span::Span = span::Span::from_millis(500);

/// Creates the response for a reason. A random factor from 0.5 to 1.5 spreads
/// the retries of several callers.
pub fn response(reason: Reason) -> Response<Body> {
    let factor: f64 = rand::rng().random_range(0.5..1.5);
    let after = reason
        .retry_after()
        .map(|after| after.as_secs_f64() * factor);
    build(reason, after)
}

/// Creates the response for a reason, with a given retry time.
pub fn response_after(reason: Reason, after: span::Span) -> Response<Body> {
    build(reason, Some(after.as_secs_f64()))
}

fn build(reason: Reason, after: Option<f64>) -> Response<Body> {
    let mut response = Response::new(body::full(format!("{{\"code\":\"{reason}\"}}\n")));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if let Some(after) = after {
        let seconds = format!("{after:.2}");
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}
