//! One attempt: a request is sent to a target, and its response is judged.

use std::sync::Arc;

use admit::poison::Fall;
use base::{span, time};
use bytes::Bytes;
use http::{Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use inlet::ReadError;
use place::{pace::Task, trust::Trust};
use platform::{request, response::ResponseHead};
use tokio::time as timer;

use crate::{
    body::{self, Body},
    decide::Pick,
    fleet::{Flight, Target},
    job::Job,
    upstream::{Failure, Lease},
};

/// Longest response that is not a stream, in bytes.
const MAX_RESPONSE: usize = 8 * 1024 * 1024;

/// A response whose head has come.
#[derive(Debug)]
pub struct Reply {
    /// The head.
    pub answer: ResponseHead,
    /// The rest.
    pub body: Incoming,
    /// The connection.
    pub lease: Lease,
    /// The request at the target.
    pub flight: Flight,
    /// When the request was sent.
    pub sent: time::Mono,
    /// Requests believed to be at the target then.
    pub load: u32,
    /// What the target has to do for it, unless a part of that is unknown.
    pub task: Option<Task>,
}

/// Why an attempt gave no response for the caller.
#[derive(Debug)]
pub enum Miss {
    /// The target did not run the request.
    NotRun,
    /// It may have run.
    Lost,
    /// The time is over; it may have run.
    Timeout,
    /// The target ran it and failed.
    Failed(Box<Response<Body>>),
}

impl Reply {
    /// Returns whether events follow.
    pub fn is_stream(&self) -> bool {
        self.answer.event_stream && self.answer.status.is_success()
    }
}

impl Job {
    /// Sends the request to a target and waits for the head of the response;
    /// `seen` is the last event that was delivered.
    pub async fn attempt(&self, pick: &Pick, seen: Option<u64>) -> Result<Reply, Miss> {
        let target = &pick.target;
        let now = self.shared.clock.now();
        let left = self.deadline.since(now);
        let (flight, learned) = target.begin(now, &self.chain, pick.missing);
        self.shared.hold(target, learned.into_iter());
        let request = self.request(pick, left, seen);
        let sent = target.pool.send(request);
        let (response, lease) = match timer::timeout(left.duration(), sent).await {
            Ok(Ok(sent)) => sent,
            Ok(Err(failure)) => return Err(self.missed(target, failure)),
            Err(_) => {
                self.note(target, "timeout");
                return Err(Miss::Timeout);
            }
        };
        let (head, body) = response.into_parts();
        let answer = ResponseHead::decode(head);
        let reply = Reply {
            answer,
            body,
            lease,
            flight,
            sent: now,
            load: pick.load,
            // How long a transfer takes is not known.
            task: pick.source.is_none().then_some(pick.task),
        };
        self.shared.metrics.first.add(self.took());
        self.check(target, reply)
    }

    fn request(&self, pick: &Pick, left: span::Span, seen: Option<u64>) -> Request<Full<Bytes>> {
        let team = self.team.as_ref();
        let send = request::Dispatch {
            target: &pick.target.row.id,
            cache_source: pick.source,
            team: team.map(|team| &team.id),
            remaining: left,
            priority: self.rule.class.is_stream().then_some(self.rank()),
            last_event: seen,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = path(&self.uri);
        *request.headers_mut() = request::dispatch_headers(&self.headers, &send);
        request
    }

    fn missed(&self, target: &Arc<Target>, failure: Failure) -> Miss {
        let now = self.shared.clock.now();
        match &failure {
            // A closed connection shows that the target's host is there.
            Failure::Lost(_) => {
                target.outcome(Trust::failed);
                self.broken_off(target);
            }
            Failure::NotSent(_) | Failure::Silent(_) => {
                target.outcome(|trust| trust.unanswered(now));
            }
        }
        match failure {
            Failure::NotSent(fault) => {
                tracing::info!(event = "not_sent", id = %self.call.attempt, target = %target.row.id, %fault);
                Miss::NotRun
            }
            Failure::Lost(fault) | Failure::Silent(fault) => {
                tracing::info!(event = "lost", id = %self.call.attempt, target = %target.row.id, %fault);
                Miss::Lost
            }
        }
    }

    /// Looks whether a target that broke the request off has crashed; then the
    /// request's content may be the cause.
    pub fn broken_off(&self, target: &Arc<Target>) {
        let (shared, target) = (self.shared.clone(), target.clone());
        let attempt = self.call.attempt.clone();
        let fingerprint = self.fingerprint;
        tokio::spawn(async move {
            if target.pool.is_reachable().await {
                return;
            }
            let now = shared.clock.now();
            target.outcome(|trust| trust.unanswered(now));
            let fall = Fall {
                fingerprint,
                target: target.hash.0,
            };
            if shared.poison().fall(now, fall) {
                let target = &target.row.id;
                tracing::info!(event = "target_crashed", id = %attempt, %target, content = %fingerprint);
            }
        });
    }

    fn note(&self, target: &Target, outcome: &'static str) {
        tracing::info!(event = "missed", id = %self.call.attempt, target = %target.row.id, outcome);
    }

    /// Decides whether a response belongs to this request and can be used.
    fn check(&self, target: &Arc<Target>, reply: Reply) -> Result<Reply, Miss> {
        let now = self.shared.clock.now();
        let answer = &reply.answer;
        let own = answer
            .attempt
            .as_ref()
            .is_none_or(|id| *id == self.call.attempt);
        if !own {
            target.outcome(|trust| trust.failed());
            self.note(target, "foreign-response");
            return Err(Miss::Lost);
        }
        if let Some(load) = answer.load {
            target.report(now, load);
        }
        if answer.not_run {
            if answer.status == StatusCode::MISDIRECTED_REQUEST {
                target.outcome(|trust| trust.unanswered(now));
            } else {
                target.full(now);
            }
            self.note(target, "not-run");
            return Err(Miss::NotRun);
        }
        // Without the target's word these statuses would promise the caller
        // that the request did not run.
        let promises = matches!(answer.status.as_u16(), 408 | 429 | 503);
        if promises || (answer.status.is_success() && !(answer.signed && answer.attempt.is_some()))
        {
            target.outcome(|trust| trust.failed());
            self.note(target, "unusable-response");
            return Err(Miss::Lost);
        }
        Ok(reply)
    }

    /// Reads a response that is not a stream.
    pub async fn plain(&self, reply: Reply) -> Result<Response<Body>, Miss> {
        let Reply {
            answer,
            mut body,
            lease,
            flight,
            sent,
            task,
            ..
        } = reply;
        let target = flight.target().clone();
        let left = self.deadline.since(self.shared.clock.now());
        let whole = inlet::collect(&mut body, MAX_RESPONSE, &self.shared.room);
        let bytes = match timer::timeout(left.duration(), whole).await {
            Ok(Ok(whole)) => whole,
            Ok(Err(error)) => {
                let now = self.shared.clock.now();
                target.outcome(|trust| match &error {
                    // It may send bytes without end, whatever it is asked.
                    ReadError::TooLarge(_) => trust.unanswered(now),
                    _ => trust.failed(),
                });
                self.broken_off(&target);
                tracing::info!(event = "lost", id = %self.call.attempt, target = %target.row.id, %error);
                return Err(Miss::Lost);
            }
            Err(_) => {
                self.note(&target, "timeout");
                return Err(Miss::Timeout);
            }
        };
        if !answer.closes {
            target
                .pool
                .keep(lease, answer.idle_timeout, self.most_idle());
        }
        let now = self.shared.clock.now();
        if let Some(task) = task {
            let took = now.since(sent);
            let expected = self
                .shared
                .learn(&self.service, |paces| paces.whole(task, took));
            if let Some(expected) = expected {
                target.timed(now, took, expected);
            }
        }
        let failed = answer.status.is_server_error();
        target.outcome(|trust| {
            if failed {
                trust.failed()
            } else {
                trust.served()
            }
        });
        let mut response = Response::new(body::full(bytes));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        if failed && self.rule.class.is_repeatable() {
            return Err(Miss::Failed(Box::new(response)));
        }
        Ok(response)
    }
}

/// Returns the path and the query as the caller sent them.
fn path(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}
