//! The router's own answers.

use std::fmt;

use base::span;
use http::{HeaderValue, Response, StatusCode, header};
use rand::RngExt;

use crate::body::{self, Body};

/// Why a request is not answered by a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The request is malformed.
    Malformed,
    /// No rule matches.
    NoRule,
    /// The key is of no team.
    UnknownKey,
    /// The body is too long.
    BodyTooLarge,
    /// No configuration or no targets are known yet.
    NotReady,
    /// Its content was at crashes of several targets; it did not run.
    CrashesTargets,
    /// No target takes the request now; it did not run.
    Busy,
    /// The service has too much work; the request did not run.
    Overloaded,
    /// Its time is over and it did not run.
    Expired,
    /// Its time is over and it may have run.
    Timeout,
    /// It was sent, and its outcome is unknown.
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

    /// Returns the mean time after which a caller should come back.
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

/// Time to come back while the configuration is read, which takes some calls
/// to the table.
const NOT_READY_RETRY: span::Span = span::Span::from_millis(700);

/// Time to come back with content that crashes targets: no sooner than it may
/// run again.
const CRASHES_RETRY: span::Span = span::Span::from_secs(60);

/// Time to come back when targets have no room: a few requests end meanwhile.
const BUSY_RETRY: span::Span = span::Span::from_millis(500);

/// Makes the answer; a time to come back is spread by half of it.
pub fn response(reason: Reason) -> Response<Body> {
    let factor: f64 = rand::rng().random_range(0.5..1.5);
    let after = reason
        .retry_after()
        .map(|after| after.as_secs_f64() * factor);
    build(reason, after)
}

/// Makes the answer with a time to come back that was decided already.
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
