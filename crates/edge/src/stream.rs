//! Forwards an event stream to the caller, and resumes it at another target if it
//! breaks and the rule allows retries.

use std::sync::Arc;

use admit::crash_parts::SURVIVAL_TIME;
use base::{fault::Fault, time};
use bytes::Bytes;
use futures_util::stream;
use http::{Response, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::time as timer;

use crate::{
    attempt::TargetResponse,
    body::Body,
    events::{Completed, EventBuffer, EventError},
    handler::Attempts,
    request::CallerRequest,
    server::ActiveRequest,
    timing::{EventProgress, EventTimer},
};

/// An event stream that is being forwarded to a caller.
pub struct EventStream {
    request: Arc<CallerRequest>,
    response: TargetResponse,
    events: EventBuffer,
    /// What is wrong with the response after the events that were forwarded.
    error: Option<EventError>,
    timer: EventTimer,
    /// When the first event from the current target was received.
    begun: Option<time::Mono>,
    /// Whether the target has not crashed for some time since.
    survived: bool,
    attempts: Attempts,
    active: ActiveRequest,
}

/// The state of the response to the caller.
enum State {
    /// The stream is being forwarded.
    Open(Box<EventStream>),
    /// The last frame was returned. The request counts as active until the HTTP library
    /// drops the response.
    Ended { _active: ActiveRequest },
}

/// A frame for the caller, and the state after it; `None` at the end.
type Step = Option<(Result<Frame<Bytes>, Fault>, State)>;

/// Result of reading from the target.
enum Read {
    Events(Bytes),
    End,
    Broken(Fault),
    /// An event that was forwarded may not belong to the stream, which must not look
    /// complete for the caller.
    Contradicted(Fault),
    Timeout,
}

impl EventStream {
    /// Creates the response for the caller: the head from the first target, followed
    /// by the events as they are received.
    pub fn response(
        request: Arc<CallerRequest>,
        response: TargetResponse,
        attempts: Attempts,
        active: ActiveRequest,
    ) -> Response<Body> {
        let status = response.head.status;
        let mut headers = response.head.headers.clone();
        if request.rule.class.is_repeatable() {
            // What another target sends of the stream may be shorter or longer.
            headers.remove(header::CONTENT_LENGTH);
        }
        let stream = Self {
            events: EventBuffer::new(request.head.last_event),
            error: None,
            timer: EventTimer::default(),
            begun: None,
            survived: false,
            request,
            response,
            attempts,
            active,
        };
        let state = match stream.response.is_complete() {
            // The library does not read a body that is known to be empty.
            true => stream.finish(),
            false => State::Open(Box::new(stream)),
        };
        let frames = stream::unfold(state, |state| async move {
            match state {
                State::Open(stream) => stream.next().await,
                State::Ended { .. } => None,
            }
        });
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    async fn next(mut self: Box<Self>) -> Step {
        loop {
            match self.read().await {
                Read::Events(events) if events.is_empty() => {}
                Read::Events(events) => {
                    let state = match self.is_complete() {
                        true => self.finish(),
                        false => State::Open(self),
                    };
                    return Some((Ok(Frame::data(events)), state));
                }
                Read::End => {
                    self.finish();
                    return None;
                }
                Read::Broken(fault) => {
                    self.record_broken(&fault);
                    if !self.resume().await {
                        return self.abort("stream-broken", fault);
                    }
                }
                Read::Contradicted(fault) => {
                    self.record_broken(&fault);
                    return self.abort("stream-broken", fault);
                }
                Read::Timeout => {
                    let fault = Fault::new("read stream", "target", "deadline reached");
                    return self.abort("stream-timeout", fault);
                }
            }
        }
    }

    /// Returns whether all events were returned. The library does not ask for the end of a
    /// response whose length the caller knows.
    fn is_complete(&self) -> bool {
        self.error.is_none() && !self.events.has_partial() && self.response.is_complete()
    }

    async fn read(&mut self) -> Read {
        if let Some(error) = self.error.take() {
            let peer = &self.response.flight.target().row.id;
            let fault = Fault::new("read stream", peer, error);
            return match error.is_resumable() {
                true => Read::Broken(fault),
                false => Read::Contradicted(fault),
            };
        }
        let remaining = self.request.deadline.since(self.request.shared.clock.now());
        let frame = timer::timeout(remaining.duration(), self.response.frame()).await;
        let peer = &self.response.flight.target().row.id;
        match frame {
            Err(_) => Read::Timeout,
            Ok(None) if self.events.has_partial() => Read::Broken(Fault::new(
                "read stream",
                peer,
                "the last event is incomplete",
            )),
            Ok(None) => Read::End,
            Ok(Some(Err(error))) => {
                let shared = &self.request.shared;
                shared.report_silent(shared.clock.now(), self.response.flight.target());
                Read::Broken(Fault::new("read stream", peer, error))
            }
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                let Completed { events, error } = self.events.push(&data);
                // Reported after the events have been forwarded.
                self.error = error;
                if !events.is_empty() {
                    self.record_survival();
                }
                self.record_progress();
                Read::Events(events)
            }
        }
    }

    /// Records the first event, and some time later that the target has not crashed.
    fn record_survival(&mut self) {
        let now = self.request.shared.clock.now();
        let begun = *self.begun.get_or_insert(now);
        if !self.survived && now.since(begun) >= SURVIVAL_TIME {
            self.survived = true;
            self.request.record_answered(begun);
        }
    }

    /// Updates the latency models with the time of the events just received.
    fn record_progress(&mut self) {
        let shared = &self.request.shared;
        let now = shared.clock.now();
        let response = &mut self.response;
        match self.timer.record(now, self.events.count()) {
            EventProgress::Pending => {}
            EventProgress::First => {
                response.flight.answered();
                if let Some(task) = response.task.take() {
                    let took = now.since(response.sent);
                    let fraction = shared.hedging();
                    shared.update_latencies(&self.request.service, |latencies| {
                        latencies.record_ratio(task, took, fraction);
                        latencies.record_response(task, took)
                    });
                }
            }
            EventProgress::Interval(interval) => {
                let load = response.load;
                let expected = shared.update_latencies(&self.request.service, |latencies| {
                    latencies.record_events(load, interval)
                });
                if let Some(expected) = expected {
                    response
                        .flight
                        .target()
                        .record_duration(now, interval.took, expected);
                }
            }
        }
    }

    /// Closes the connection of a broken response, as its target may still work on the
    /// request, and records the fault.
    fn record_broken(&self, fault: &Fault) {
        let response = &self.response;
        response.lease.close();
        let target = response.flight.target();
        target.update_breaker(|breaker| breaker.record_error());
        let now = self.request.shared.clock.now();
        let answering = self.begun.map(|begun| now.since(begun));
        self.request
            .check_crash(target, response.sent, &response.levels, answering);
        let id = &self.request.head.attempt;
        let last = self.events.last_id();
        tracing::info!(event = "stream_broken", %id, target = %target.row.id, last, %fault);
    }

    async fn resume(&mut self) -> bool {
        self.events.discard_partial();
        if !self.request.rule.class.is_repeatable() {
            return false;
        }
        match self
            .request
            .resume(&mut self.attempts, self.events.last_id())
            .await
        {
            Some(response) => {
                self.response = response;
                self.timer = EventTimer::default();
                self.begun = None;
                self.survived = false;
                true
            }
            None => false,
        }
    }

    /// Records that the target has sent the whole stream.
    fn finish(self) -> State {
        if let Some(begun) = self.begun
            && !self.survived
        {
            self.request.record_answered(begun);
        }
        let TargetResponse {
            head,
            lease,
            flight,
            ..
        } = self.response;
        let target = flight.target();
        target.update_breaker(|breaker| breaker.record_success());
        if !head.closes {
            target
                .pool
                .release(lease, head.idle_timeout, self.request.max_idle());
        }
        self.request
            .finish("streamed", Some(head.status), &self.attempts);
        State::Ended {
            _active: self.active,
        }
    }

    fn abort(self, outcome: &'static str, fault: Fault) -> Step {
        self.request.finish(outcome, None, &self.attempts);
        let state = State::Ended {
            _active: self.active,
        };
        Some((Err(fault), state))
    }
}
