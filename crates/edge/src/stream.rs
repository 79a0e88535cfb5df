//! Forwards an event stream, and resumes it at another target where the rule
//! allows it.

use std::sync::Arc;

use base::fault::Fault;
use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::time as timer;

use crate::{
    answer::Tried,
    attempt::Reply,
    body::Body,
    events::Aligner,
    front::Active,
    job::Job,
    timing::{Show, Timer},
};

/// A stream on its way to a caller.
pub struct Stream {
    job: Arc<Job>,
    reply: Reply,
    aligner: Aligner,
    timer: Timer,
    tried: Tried,
    ended: bool,
    _active: Active,
}

/// What was read from the target.
enum Read {
    Events(Bytes),
    End,
    Broken(Fault),
    Timeout,
}

impl Stream {
    /// Makes the response to the caller: the head of the first target and
    /// the events as they come.
    pub fn response(job: Arc<Job>, reply: Reply, tried: Tried, active: Active) -> Response<Body> {
        let status = reply.answer.status;
        let headers = reply.answer.headers.clone();
        let stream = Self {
            aligner: Aligner::new(job.call.last_event),
            timer: Timer::default(),
            job,
            reply,
            tried,
            ended: false,
            _active: active,
        };
        let frames = stream::unfold(stream, |stream| async move { stream.next().await });
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    async fn next(mut self) -> Option<(Result<Frame<Bytes>, Fault>, Self)> {
        if self.ended {
            return None;
        }
        loop {
            match self.read().await {
                Read::Events(events) if events.is_empty() => {}
                Read::Events(events) => return Some((Ok(Frame::data(events)), self)),
                Read::End => return self.finish(),
                Read::Broken(fault) => {
                    let target = self.reply.flight.target().clone();
                    target.outcome(|trust| trust.failed());
                    self.job.broken_off(&target);
                    let id = &self.job.call.attempt;
                    let last = self.aligner.last();
                    tracing::info!(event = "stream_broken", %id, target = %target.row.id, last, %fault);
                    if !self.resume().await {
                        return self.abort("stream-broken", fault);
                    }
                }
                Read::Timeout => {
                    let fault = Fault::new("read stream", "target", "time limit reached");
                    return self.abort("stream-timeout", fault);
                }
            }
        }
    }

    async fn read(&mut self) -> Read {
        let left = self.job.deadline.since(self.job.shared.clock.now());
        let frame = timer::timeout(left.duration(), self.reply.body.frame()).await;
        let peer = &self.reply.flight.target().row.id;
        match frame {
            Err(_) => Read::Timeout,
            Ok(None) if self.aligner.has_rest() => Read::Broken(Fault::new(
                "read stream",
                peer,
                "the last event is not whole",
            )),
            Ok(None) => Read::End,
            Ok(Some(Err(error))) => Read::Broken(Fault::new("read stream", peer, error)),
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                match self.aligner.push(&data) {
                    Ok(events) => {
                        self.answered();
                        Read::Events(events)
                    }
                    Err(error) => Read::Broken(Fault::new("read stream", peer, error)),
                }
            }
        }
    }

    /// Learns how fast the target works.
    fn answered(&mut self) {
        let shared = &self.job.shared;
        let now = shared.clock.now();
        let reply = &mut self.reply;
        match self.timer.note(now, self.aligner.count()) {
            Show::Nothing => {}
            Show::First => {
                reply.flight.answered();
                if let Some(task) = reply.task.take() {
                    let took = now.since(reply.sent);
                    shared.learn(&self.job.service, |paces| paces.whole(task, took));
                }
            }
            Show::Lap(lap) => {
                let load = reply.load;
                let expected = shared.learn(&self.job.service, |paces| paces.events(load, lap));
                if let Some(expected) = expected {
                    reply.flight.target().timed(now, lap.took, expected);
                }
            }
        }
    }

    async fn resume(&mut self) -> bool {
        self.aligner.reset();
        if !self.job.rule.class.is_repeatable() {
            return false;
        }
        match self.job.resume(&mut self.tried, self.aligner.last()).await {
            Some(reply) => {
                self.reply = reply;
                self.timer = Timer::default();
                true
            }
            None => false,
        }
    }

    fn finish(self) -> Option<(Result<Frame<Bytes>, Fault>, Self)> {
        let Reply {
            answer,
            lease,
            flight,
            ..
        } = self.reply;
        let target = flight.target();
        target.outcome(|trust| trust.served());
        if !answer.closes {
            target
                .pool
                .keep(lease, answer.idle_timeout, self.job.most_idle());
        }
        self.job.done("streamed", Some(answer.status), &self.tried);
        None
    }

    fn abort(
        mut self,
        outcome: &'static str,
        fault: Fault,
    ) -> Option<(Result<Frame<Bytes>, Fault>, Self)> {
        self.job.done(outcome, None, &self.tried);
        self.ended = true;
        Some((Err(fault), self))
    }
}
