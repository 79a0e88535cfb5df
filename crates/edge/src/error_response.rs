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
    /// No routing rule matches the request's host and path.
    NoRule,
    /// The API key of the request belongs to no team.
    UnknownKey,
    /// The body exceeds the configured limit.
    BodyTooLarge,
    /// The configuration or the targets have not been loaded yet.
    NotReady,
    /// Earlier requests with the same content, or with the same part of a prompt,
    /// crashed several targets; the request was not sent to a target.
    CrashesTargets,
    /// The router is shutting down, and the request may take longer than that; it was
    /// not sent to a target.
    Stopping,
    /// The request may run in none of the data centres that have targets of its
    /// service: they are evacuated or outside the allowed regions. It was not sent to
    /// a target.
    NoPermittedTarget,
    /// No target accepts the request, or the router has too little memory left for
    /// its body; no target processed the request.
    Busy,
    /// The request was shed because the service is overloaded; it was not
    /// sent to a target.
    Overloaded,
    /// The deadline passed before the request was sent to a target.
    Expired,
    /// The deadline passed after the request was sent; a target may have processed
    /// it.
    Timeout,
    /// The request was sent and failed without a usable response; a target may have
    /// processed it.
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
            | Self::Stopping
            | Self::NoPermittedTarget
            | Self::Busy
            | Self::Overloaded
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the time after which the caller should retry, before the random
    /// factor of [`response`] is applied.
    pub fn retry_after(self) -> Option<span::Span> {
        match self {
            Self::NotReady => Some(NOT_READY_RETRY),
            Self::CrashesTargets => Some(CRASHES_RETRY),
            Self::Stopping => Some(STOPPING_RETRY),
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
            Self::Stopping => "stopping",
            Self::NoPermittedTarget => "no-permitted-target",
            Self::Busy => "busy",
            Self::Overloaded => "overloaded",
            Self::Expired => "expired-unsent",
            Self::Timeout => "timeout",
            Self::OutcomeUnknown => "outcome-unknown",
        })
    }
}

/// Mean delay before a retry while the router is not ready. Loading the
/// configuration takes several calls to the platform's tables.
const NOT_READY_RETRY: span::Span = span::Span::from_millis(700);

/// Mean delay before a retry of a request whose content crashes targets. Requests
/// with this content are refused until the router's record of the crashes expires,
/// so an earlier retry would fail again.
const CRASHES_RETRY: span::Span = span::Span::from_secs(60);

/// Mean delay before a retry while the router is shutting down: the next connection
/// goes to another router.
const STOPPING_RETRY: span::Span = span::Span::from_millis(100);

/// Mean delay before a retry when no target accepts the request. Within this time
/// a few requests usually finish, so that slots become free.
const BUSY_RETRY: span::Span = span::Span::from_millis(500);

/// Creates the response for a reason. The retry time is multiplied by a random
/// factor from 0.5 to 1.5, so that callers do not all retry at the same time.
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
