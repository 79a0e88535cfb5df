//! One attempt: sends a request to a target and validates the response.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use admit::{
    crash_parts::{Crash, SURVIVAL_TIME},
    poison::CrashReport,
};
use base::{span, time};
use bytes::Bytes;
use http::{Request, Response, StatusCode, Uri};
use http_body::Frame;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use inlet::{ReadError, memory::Reservation};
use place::{breaker::Breaker, contention::Figure, latency::Task};
use platform::{load::Load, request, response::ResponseHead};
use tokio::time as timer;

use crate::{
    body::{self, Body},
    decide::Selection,
    fleet::{InFlight, SharedParts, Target},
    metered::Meter,
    metrics::Counter,
    request::CallerRequest,
    upstream::{Lease, Reachability, SendError},
};

/// Maximum length of a response that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A frame of a target's response, or `None` at its end.
pub type BodyFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// A target's response whose head has been received.
#[derive(Debug)]
pub struct TargetResponse {
    /// The decoded head.
    pub head: ResponseHead,
    /// The body, not yet read.
    pub body: Incoming,
    /// The first frame of the body, if it was received ahead of the others.
    pub first: Option<BodyFrame>,
    /// The connection that the body is read from.
    pub lease: Lease,
    /// Counts the request as in flight at the target until dropped.
    pub flight: InFlight,
    /// When the request was sent.
    pub sent: time::Mono,
    /// For each shared part of the prompt, the level that a crash at the target
    /// would have, see [`admit::crash_parts::Suspect::level`].
    pub levels: Vec<u32>,
    /// Estimated number of requests at the target at that time.
    pub load: u32,
    /// Work that the request causes at the target, or `None` if a part of it cannot
    /// be estimated.
    pub task: Option<Task>,
}

/// Why an attempt gave no response that the caller can receive.
#[derive(Debug)]
pub enum AttemptError {
    /// The target did not process the request.
    NotRun,
    /// The target may have processed the request.
    OutcomeUnknown,
    /// The deadline was reached; the target may have processed the request.
    Timeout,
    /// The target processed the request and returned this server error.
    Failed(Box<Response<Body>>),
}

impl TargetResponse {
    /// Returns whether the body is an event stream.
    pub fn is_stream(&self) -> bool {
        self.head.event_stream && self.head.status.is_success()
    }

    /// Returns whether the body was received completely. This is known before its end is
    /// read if the target told its length.
    pub fn is_complete(&self) -> bool {
        match &self.first {
            Some(frame) => frame.is_none(),
            None => self.body.is_end_stream(),
        }
    }

    /// Returns the next frame of the body.
    pub async fn frame(&mut self) -> BodyFrame {
        match self.first.take() {
            Some(frame) => frame,
            None => self.body.frame().await,
        }
    }

    /// Waits for the first frame of the body, which [`TargetResponse::frame`] then
    /// returns. Returns whether there is one.
    pub async fn receive_first(&mut self) -> bool {
        let frame = self.body.frame().await;
        let is_received = matches!(frame, Some(Ok(_)));
        self.first = Some(frame);
        is_received
    }
}

impl CallerRequest {
    /// Sends the request to a target and waits for the head of the response.
    /// `last_event` is the id of the last event that the caller received, if a
    /// stream is being resumed.
    ///
    /// # Errors
    ///
    /// When the target does not respond before the deadline or its response cannot
    /// be used.
    pub async fn attempt(
        &self,
        selection: &Selection,
        last_event: Option<u64>,
    ) -> Result<TargetResponse, AttemptError> {
        let target = &selection.target;
        let now = self.shared.clock.now();
        let remaining = self.deadline.since(now);
        let mut grant = match self.shared.cold_limit(&self.service) {
            Some(limit) => {
                let Some(grant) = limit.reserve(now, target) else {
                    self.log_missed(target, "cold");
                    return Err(AttemptError::NotRun);
                };
                Some(grant)
            }
            None => None,
        };
        let (flight, learned) = target.begin(now, &self.chain, selection.missing);
        self.shared.announce_parts(target, learned.into_iter());
        let levels = self.shared.crash_parts().levels(now, self.chain.shared());
        let request = self.build_request(selection, remaining, last_event);
        let mut meter = Meter::default();
        let sent = target.pool.send_metered(request, &mut meter, || {
            if let Some(grant) = &mut grant {
                grant.sent(self.shared.clock.now());
            }
        });
        let (response, lease) = match timer::timeout(remaining.duration(), sent).await {
            Ok(Ok(sent)) => sent,
            Ok(Err(error)) => return Err(self.send_failed(target, now, &levels, error)),
            Err(_) => {
                // A target that sends nothing may be busy, as the others are.
                let has_begun = meter.has_begun();
                if has_begun {
                    let now = self.shared.clock.now();
                    target.update_breaker(|breaker| breaker.record_no_response(now));
                }
                self.log_missed(target, if has_begun { "endless-head" } else { "timeout" });
                return Err(AttemptError::Timeout);
            }
        };
        let (head, body) = response.into_parts();
        let head = ResponseHead::decode(head);
        let response = TargetResponse {
            head,
            body,
            first: None,
            lease,
            flight,
            sent: now,
            levels,
            load: selection.load,
            // The time for a transfer of prompt parts cannot be estimated.
            task: selection.source.is_none().then_some(selection.task),
        };
        self.shared.metrics.head_latency.record(self.elapsed());
        self.validate(target, response)
    }

    fn build_request(
        &self,
        selection: &Selection,
        remaining: span::Span,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let team = self.team.as_ref();
        let send = request::Dispatch {
            target: &selection.target.row.id,
            cache_source: selection.source,
            team: team.map(|team| &team.id),
            remaining,
            priority: self.rule.class.is_stream().then_some(self.priority()),
            last_event,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = origin_form(&self.uri);
        *request.headers_mut() = request::dispatch_headers(&self.headers, &send);
        request
    }

    fn send_failed(
        &self,
        target: &Arc<Target>,
        sent: time::Mono,
        levels: &[u32],
        error: SendError,
    ) -> AttemptError {
        let now = self.shared.clock.now();
        if !matches!(error, SendError::Endless(_)) {
            self.shared.report_silent(now, target);
        }
        match &error {
            // A closed connection shows that the target's host is running.
            SendError::Closed(_) => {
                target.update_breaker(Breaker::record_error);
                self.check_crash(target, sent, levels, None);
            }
            // A target may answer any request with interim responses without end.
            SendError::NotSent(_) | SendError::Unresponsive(_) | SendError::Endless(_) => {
                target.update_breaker(|breaker| breaker.record_no_response(now));
            }
        }
        match error {
            SendError::NotSent(fault) => {
                tracing::info!(event = "not_sent", id = %self.head.attempt, target = %target.row.id, %fault);
                AttemptError::NotRun
            }
            SendError::Closed(fault)
            | SendError::Unresponsive(fault)
            | SendError::Endless(fault) => {
                tracing::info!(event = "lost", id = %self.head.attempt, target = %target.row.id, %fault);
                AttemptError::OutcomeUnknown
            }
        }
    }

    /// Checks whether a target that closed the connection during the request has
    /// crashed. If it cannot be reached, the crash is recorded against the
    /// request's content and the parts of its prompt, which may be the cause.
    /// `sent` and `levels` are those of the [`TargetResponse`], `answering` is the
    /// time since the first event of the response, if there was one.
    pub fn check_crash(
        &self,
        target: &Arc<Target>,
        sent: time::Mono,
        levels: &[u32],
        answering: Option<span::Span>,
    ) {
        let (shared, target) = (self.shared.clone(), target.clone());
        let mut crash = Crash {
            target: target.run(),
            service: self.service.clone(),
            at: shared.clock.now(),
            suspects: BTreeMap::new(),
            prompts: BTreeSet::new(),
        };
        if answering.is_none_or(|time| time < SURVIVAL_TIME) {
            crash.add_prompt(self.chain.shared(), levels);
        }
        let noticed = crash.at;
        let attempt = self.head.attempt.clone();
        let fingerprint = self.fingerprint;
        let parts = self.chain.clone();
        tokio::spawn(async move {
            let reachability = target.pool.probe().await;
            if reachability == Reachability::Open {
                return;
            }
            let is_refused = reachability == Reachability::Refused;
            let now = shared.clock.now();
            target.update_breaker(|breaker| breaker.record_no_response(now));
            if is_refused && !shared.is_leaving(&target) {
                shared.crash_parts().record_crash(now, sent, crash);
            }
            let report = CrashReport {
                fingerprint,
                target: target.run(),
                // A host that cannot be reached may be the reason for all failures.
                sent: if is_refused { sent } else { time::Mono(0) },
                at: noticed,
            };
            if shared.poison().record_crash(now, report) {
                let target = &target.row.id;
                tracing::info!(
                    event = "target_crashed",
                    id = %attempt,
                    %target,
                    content = %fingerprint,
                    parts = %SharedParts(&parts),
                    answering = answering.map(tracing::field::display),
                    refused = is_refused,
                );
            }
        });
    }

    /// Records that the request began to be answered at `answered`, and that its
    /// target has not crashed.
    pub fn record_answered(&self, answered: time::Mono) {
        let now = self.shared.clock.now();
        if self.chain.shared().next().is_some() {
            let parts = self.chain.shared();
            let mut crash_parts = self.shared.crash_parts();
            crash_parts.record_answered(now, &self.service, answered, parts);
        }
    }

    /// Records what the target says of its further use.
    fn record_notices(&self, target: &Target, now: time::Mono, head: &ResponseHead) {
        if head.leaving && target.report_leaving(now) {
            self.shared.metrics.count(Counter::LeavesSeen);
            tracing::info!(event = "target_leaving", id = %self.head.attempt, target = %target.row.id);
        }
        self.shared
            .update_cold(now, target, |cold| match head.cold {
                Some(left) => cold.apply_response(now, left),
                None => cold.record_response(now),
            });
        if let Some(pause) = head.pause {
            target.report_pause(now, pause);
            self.shared.metrics.count(Counter::Pauses);
            tracing::info!(event = "target_pause", id = %self.head.attempt, target = %target.row.id, %pause);
        }
    }

    /// Records how long work takes at the target now, if it says so.
    fn record_contention(&self, target: &Target, now: time::Mono, load: Load) {
        if let Some(percent) = load.pace {
            let figure = Figure { percent, at: now };
            let previous = target.report_contention(figure);
            self.shared.metrics.count(Counter::ContentionFigures);
            self.shared.update_latencies(&self.service, |latencies| {
                latencies.contention.record(previous, figure);
            });
        }
    }

    fn log_missed(&self, target: &Target, outcome: &'static str) {
        tracing::info!(event = "missed", id = %self.head.attempt, target = %target.row.id, outcome);
    }

    /// Checks that a response belongs to this request and can be forwarded.
    fn validate(
        &self,
        target: &Arc<Target>,
        response: TargetResponse,
    ) -> Result<TargetResponse, AttemptError> {
        let now = self.shared.clock.now();
        let head = &response.head;
        let is_own = match &head.attempt {
            Some(id) => *id == self.head.attempt,
            None => !response.lease.is_reused(),
        };
        if !is_own {
            target.update_breaker(|breaker| breaker.record_error());
            self.log_missed(target, "foreign-response");
            return Err(AttemptError::OutcomeUnknown);
        }
        if !inlet::is_final(head.status) {
            target.update_breaker(|breaker| breaker.record_error());
            self.log_missed(target, "undefined-status");
            return Err(AttemptError::OutcomeUnknown);
        }
        if let Some(load) = head.load {
            target.report(now, load);
            self.record_contention(target, now, load);
        }
        self.record_notices(target, now, head);
        if head.not_run {
            if head.status == StatusCode::MISDIRECTED_REQUEST {
                target.update_breaker(|breaker| breaker.record_no_response(now));
            } else {
                target.report_full(now);
            }
            self.log_missed(target, "not-run");
            return Err(AttemptError::NotRun);
        }
        // These statuses mean to the caller that no target ran the request, but the
        // target has not confirmed that.
        let claims_not_run = matches!(head.status.as_u16(), 408 | 429 | 503);
        if claims_not_run || (head.status.is_success() && !(head.signed && head.attempt.is_some()))
        {
            target.update_breaker(|breaker| breaker.record_error());
            self.log_missed(target, "unusable-response");
            return Err(AttemptError::OutcomeUnknown);
        }
        Ok(response)
    }

    /// Reads the body of a response that is not a stream.
    ///
    /// # Errors
    ///
    /// When the body cannot be read completely before the deadline, or when the
    /// target returned a server error and the request may be retried.
    pub async fn read_response(
        &self,
        response: TargetResponse,
    ) -> Result<Response<Body>, AttemptError> {
        let TargetResponse {
            head,
            mut body,
            lease,
            flight,
            sent,
            levels,
            task,
            ..
        } = response;
        let target = flight.target().clone();
        let remaining = self.deadline.since(self.shared.clock.now());
        let reservation = Reservation::for_response(&self.shared.room, self.client.clone());
        let whole = inlet::collect(&mut body, MAX_RESPONSE_BYTES, reservation);
        let bytes = match timer::timeout(remaining.duration(), whole).await {
            Ok(Ok(whole)) => whole,
            Ok(Err(error)) => {
                let now = self.shared.clock.now();
                target.update_breaker(|breaker| match &error {
                    // The target may send an endless body for any request.
                    ReadError::TooLarge(_) => breaker.record_no_response(now),
                    // The router's own memory is short.
                    ReadError::OutOfMemory(_) => {}
                    _ => breaker.record_error(),
                });
                if matches!(error, ReadError::Broken(_)) {
                    self.shared.report_silent(now, &target);
                }
                if !matches!(error, ReadError::OutOfMemory(_)) {
                    self.check_crash(&target, sent, &levels, None);
                }
                tracing::info!(event = "lost", id = %self.head.attempt, target = %target.row.id, %error);
                return Err(AttemptError::OutcomeUnknown);
            }
            Err(_) => {
                self.log_missed(&target, "timeout");
                return Err(AttemptError::Timeout);
            }
        };
        if !head.closes {
            target
                .pool
                .release(lease, head.idle_timeout, self.max_idle());
        }
        let now = self.shared.clock.now();
        if let Some(task) = task {
            let took = now.since(sent);
            let fraction = self.shared.hedging();
            let expected = self.shared.update_latencies(&self.service, |latencies| {
                latencies.record_ratio(task, took, fraction);
                latencies.record_response(task, took)
            });
            if let Some(expected) = expected {
                target.record_duration(now, took, expected);
            }
        }
        let failed = head.status.is_server_error();
        target.update_breaker(|breaker| {
            if failed {
                breaker.record_error()
            } else {
                breaker.record_success()
            }
        });
        if !failed {
            self.record_answered(sent);
        }
        let mut response = Response::new(body::full(bytes));
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        if failed && self.rule.class.is_repeatable() {
            return Err(AttemptError::Failed(Box::new(response)));
        }
        Ok(response)
    }
}

/// Returns the caller's path and query, without scheme and authority.
fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}
