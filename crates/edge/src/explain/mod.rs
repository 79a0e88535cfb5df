//! Explains where a request would go now, and why, without sending it.
//!
//! An operator asks on the metrics listener (`GET /explain?...`), and each question
//! takes these steps:
//!
//! 1. [`Explainer::respond`] limits the rate and the length of the questions.
//! 2. [`query`] decodes the question, with errors that say what was expected.
//! 3. [`answer`] runs the decision of [`crate::handler`] for the request on the
//!    router's present inputs: admission, choice of the target, hedging.
//! 4. [`targets`] describes how the choice regards each target.
//! 5. [`report`] is the answer, sent as JSON; [`table`] prints it for operators.
//!
//! [`client`] is the other side: the command `ebonywalld explain`. No state, counter
//! or random sequence of the decision changes: what the decision would update is
//! copied first, and its random numbers are derived from the seed of the question.
//! See [the design note](../../../../docs/design/explain.md).

pub mod answer;
pub mod client;
pub mod query;
pub mod report;
pub mod table;
pub mod targets;

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
};

use base::{span, time};
use http::{HeaderValue, Response, StatusCode, Uri, header};

use crate::{
    body::{self, Body},
    shared::Shared,
};
use query::{QueryError, Question};

/// Path on the metrics listener.
pub const PATH: &str = "/explain";

/// Questions that are answered in one second. A question takes 0.2 ms with
/// 180 targets, on the thread that carries the traffic.
pub const MAX_RATE: usize = 5;

const WINDOW: span::Span = span::Span::from_secs(1);

/// Limits the number of questions in any second.
#[derive(Clone, Debug, Default)]
pub struct RateLimit {
    answered: VecDeque<time::Mono>,
}

impl RateLimit {
    /// Returns whether a question may be answered now, and counts it if so.
    pub fn admit(&mut self, now: time::Mono) -> bool {
        while self
            .answered
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW)
        {
            self.answered.pop_front();
        }
        let admitted = self.answered.len() < MAX_RATE;
        if admitted {
            self.answered.push_back(now);
        }
        admitted
    }
}

/// Answers the questions of operators.
#[derive(Debug)]
pub struct Explainer {
    shared: Arc<Shared>,
    limit: Mutex<RateLimit>,
}

impl Explainer {
    /// Creates one for a router.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            limit: Mutex::default(),
        }
    }

    /// Answers a question: 200 with a [`report::Report`], 400 or 414 if it cannot be
    /// decoded, 429 if there were too many.
    pub fn respond(&self, uri: &Uri) -> Response<Body> {
        let now = self.shared.clock.now();
        let mut limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        if !limit.admit(now) {
            let mut response = text(
                StatusCode::TOO_MANY_REQUESTS,
                format!("expected at most {MAX_RATE} questions in a second, found more\n"),
            );
            let after = HeaderValue::from_static("1");
            response.headers_mut().insert(header::RETRY_AFTER, after);
            return response;
        }
        drop(limit);
        let question = match Question::decode(uri.query().unwrap_or_default()) {
            Ok(question) => question,
            Err(error) => {
                let status = match error {
                    QueryError::TooLong(_) => StatusCode::URI_TOO_LONG,
                    _ => StatusCode::BAD_REQUEST,
                };
                return text(status, format!("{error}\n"));
            }
        };
        match serde_json::to_vec(&answer::answer(&self.shared, now, &question)) {
            Ok(json) => typed(StatusCode::OK, "application/json", json),
            Err(error) => {
                tracing::error!(event = "explain_failed", %error);
                text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n"))
            }
        }
    }
}

fn text(status: StatusCode, text: String) -> Response<Body> {
    typed(status, "text/plain", text.into_bytes())
}

fn typed(status: StatusCode, kind: &'static str, bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
