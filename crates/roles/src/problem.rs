//! Errors to callers as `application/problem+json`, each with a stable code.
//!
//! The codes are listed in [the callers' page](../../../docs/callers.md).

use base::{id, span};
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use wire::msg;

use crate::{body, target};

/// Header that tells the outcome of a request.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-ebonywall-outcome");

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The target ran it and the response is its own.
    Done,
    /// It was not run and never will be.
    NotRun,
    /// No live process can tell whether it ran.
    Unknown,
}

impl Outcome {
    /// Returns the value of the header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// A stable error code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Code {
    /// The key is missing or names no team.
    Unauthorized,
    /// No routing rule matches method and path.
    NoRoute,
    /// The request is not valid.
    BadRequest,
    /// The body is over the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// All targets are at their bound, or the team is over its share.
    Overloaded,
    /// The deadline passed before the request ran.
    DeadlineExceeded,
    /// No target of the service is up.
    NoTarget,
    /// The content crashed targets and is refused for a while.
    Quarantined,
    /// The table is down, so that the idempotency key cannot be claimed.
    StoreUnavailable,
    /// The idempotency key was used with another request.
    KeyMismatch,
    /// The idempotency key is not valid.
    KeyInvalid,
    /// The router has no configuration yet.
    NotReady,
    /// The router is shutting down.
    ShuttingDown,
    /// Nobody can tell whether the request ran.
    OutcomeUnknown,
    /// The stored response cannot be read now.
    ReplayUnavailable,
}

impl Code {
    /// Returns the code as it stands in the response.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::NoRoute => "no-route",
            Self::BadRequest => "bad-request",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyTimeout => "body-timeout",
            Self::Overloaded => "overloaded",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::NoTarget => "no-target",
            Self::Quarantined => "quarantined",
            Self::StoreUnavailable => "store-unavailable",
            Self::KeyMismatch => "key-mismatch",
            Self::KeyInvalid => "key-invalid",
            Self::NotReady => "not-ready",
            Self::ShuttingDown => "shutting-down",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::ReplayUnavailable => "replay-unavailable",
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadRequest | Self::KeyInvalid => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::Quarantined | Self::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded
            | Self::NoTarget
            | Self::StoreUnavailable
            | Self::NotReady
            | Self::ShuttingDown
            | Self::ReplayUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    const fn title(self) -> &'static str {
        match self {
            Self::Unauthorized => "The team key is missing or not known",
            Self::NoRoute => "No routing rule matches the method and path",
            Self::BadRequest => "The request is not valid",
            Self::BodyTooLarge => "The request body is too large",
            Self::BodyTimeout => "The request body did not arrive in time",
            Self::Overloaded => "The service is at its load bound",
            Self::DeadlineExceeded => "The deadline passed before the request ran",
            Self::NoTarget => "No target of the service is available",
            Self::Quarantined => "Requests with this content crashed targets",
            Self::StoreUnavailable => "The idempotency key cannot be claimed now",
            Self::KeyMismatch => "The idempotency key was used with another request",
            Self::KeyInvalid => "The idempotency key is not valid",
            Self::NotReady => "This router is not ready yet",
            Self::ShuttingDown => "This router is shutting down",
            Self::OutcomeUnknown => "It is not known whether the request ran",
            Self::ReplayUnavailable => "The stored response cannot be read now",
        }
    }

    /// Returns what the code says of the request's outcome.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::OutcomeUnknown => Outcome::Unknown,
            Self::ReplayUnavailable => Outcome::Done,
            _ => Outcome::NotRun,
        }
    }

    /// Returns the code for an agent's refusal.
    pub const fn of(reason: msg::Reason) -> Self {
        match reason {
            msg::Reason::Bound | msg::Reason::Share => Self::Overloaded,
            msg::Reason::Deadline => Self::DeadlineExceeded,
            msg::Reason::Quarantine => Self::Quarantined,
            msg::Reason::Table => Self::StoreUnavailable,
            msg::Reason::Mismatch => Self::KeyMismatch,
            msg::Reason::Invalid => Self::BadRequest,
            msg::Reason::None
            | msg::Reason::Leaving
            | msg::Reason::Down
            | msg::Reason::Claimed
            | msg::Reason::Incarnation
            | msg::Reason::Service
            | msg::Reason::Tombstone
            | msg::Reason::Cancelled => Self::NoTarget,
        }
    }
}

/// An error to a caller.
#[derive(Clone, Debug)]
pub struct Problem {
    /// Stable code.
    pub code: Code,
    /// What was wrong with this request.
    pub detail: String,
    /// When the caller may come back.
    pub after: Option<span::Span>,
}

#[derive(Serialize)]
struct Document<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    code: &'a str,
    detail: &'a str,
    outcome: &'a str,
    request_id: String,
}

impl Problem {
    /// Makes a problem without a time to come back.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
            after: None,
        }
    }

    /// Adds the time after which the caller may come back.
    pub fn after(mut self, after: span::Span) -> Self {
        self.after = Some(after);
        self
    }

    /// Makes the response.
    pub fn response(&self, id: id::RequestId) -> Response<body::Body> {
        let status = self.code.status();
        let outcome = self.code.outcome();
        let document = Document {
            r#type: format!("urn:ebonywall:problem:{}", self.code.as_str()),
            title: self.code.title(),
            status: status.as_u16(),
            code: self.code.as_str(),
            detail: &self.detail,
            outcome: outcome.as_str(),
            request_id: id.to_string(),
        };
        let json = serde_json::to_vec(&document).expect("a document of texts is valid JSON");
        let mut response = Response::new(body::full(json));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        headers.insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
        if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
            headers.insert(target::REQUEST_ID, value);
        }
        if let Some(after) = self.after {
            headers.insert(header::RETRY_AFTER, seconds(after).into());
        }
        if status == StatusCode::UNAUTHORIZED {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        response
    }
}

/// Rounds up to whole seconds, the unit of Retry-After.
fn seconds(after: span::Span) -> u64 {
    after.as_millis().div_ceil(1000).max(1)
}
