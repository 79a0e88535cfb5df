//! How an agent runs a request at its target and gives its response to reply
//! streams, again from an offset or from what is stored.

use std::sync::Arc;

use admit::quarantine;
use base::{id, span, time};
use conf::state;
use once::{action, claim, event};
use store::object;
use wire::{convert as fields, msg};

use crate::{
    agent_core::{Attached, Core, Event, Open},
    job::{Job, Report},
    outlet::{Finish, Outlet, Window},
};

/// Responses of other requests after which an engine's stream is not asked for
/// again.
const MOST_CROSSINGS: u32 = 3;

impl Core {
    /// Drops the bytes of a response that its reply stream has taken. What may
    /// still be lost in the link can be had again: an engine resumes the
    /// stream, and a repeatable request may run again. Other responses are kept
    /// until the ledger forgets the request.
    pub(crate) fn delivered(&mut self, now: time::Mono, id: id::RequestId) {
        let repeatable = |open: &Open| open.class == msg::Class::Repeatable;
        if self.open.get(&id).is_some_and(repeatable) {
            let actions = self.ledger.delivered(id);
            self.act(now, actions);
        }
    }

    /// Drops the bytes of a request. What is left serves to resume an engine's
    /// stream and goes when the ledger has forgotten the request.
    pub(crate) fn forget(&mut self, id: id::RequestId) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.outlet.stop();
        let (_, end) = open.outlet.held();
        open.outlet = Arc::new(Outlet::new(Window::RESUMABLE, end));
        open.run = None;
    }

    pub(crate) fn dispatch(&mut self, now: time::Mono, id: id::RequestId) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.dispatched = Some(now);
        let Some(run) = open.run.clone() else {
            return;
        };
        tracing::info!(event = "dispatch", request = %id, team = run.team, target = %self.agent.target,
            load = self.admission.load(), cap = self.admission.cap(now), queued = self.admission.queued(), attempt = run.attempt);
        self.parts.metrics.count("dispatch");
        let skip = run.delivered;
        if let Some(job) = self.job(id, skip) {
            self.parts.traffic.spawn(job.run(run));
        }
        if let Some(link) = self.ledger.link(id) {
            self.attach(id, link, id, skip);
        }
        self.attach_waiting(id);
    }

    pub(crate) fn attach_waiting(&mut self, of: id::RequestId) {
        for (id, link) in self.waiting.remove(&of).unwrap_or_default() {
            self.attach(id, link, of, 0);
        }
    }

    /// Makes the job that writes the response from an offset.
    pub(crate) fn job(&mut self, id: id::RequestId, offset: u64) -> Option<Job> {
        self.jobs += 1;
        let number = self.jobs;
        let deterministic = self.service().is_some_and(|service| service.deterministic);
        let open = self.open.get_mut(&id)?;
        open.job = number;
        let events = self.parts.events.clone();
        Some(Job {
            id,
            target: self.parts.target.clone(),
            links: self.parts.node.links.clone(),
            writer: open.outlet.writer(offset),
            outlet: open.outlet.clone(),
            report: Arc::new(move |report| {
                events.send(Event::Job(id, number, report)).ok();
            }),
            engine: self.agent.kind == state::Kind::Engine,
            deterministic,
        })
    }

    pub(crate) fn resume(&mut self, id: id::RequestId, offset: u64) {
        tracing::info!(event = "resume", request = %id, target = %self.agent.target, offset);
        self.parts.metrics.count("resume");
        if let Some(job) = self.job(id, offset) {
            self.parts.traffic.spawn(job.resume(offset));
        }
    }

    pub(crate) fn stop(&mut self, id: id::RequestId) {
        tracing::info!(event = "cancel", request = %id, target = %self.agent.target);
        if let Some(open) = self.open.remove(&id) {
            open.outlet.stop();
        }
        if self.agent.kind == state::Kind::Engine {
            let target = self.parts.target.clone();
            self.parts.traffic.spawn(async move {
                if let Err(fault) = target.cancel(id).await {
                    tracing::info!(event = "cancel_failed", request = %id, cause = %fault);
                }
            });
        }
    }

    pub(crate) fn attach(
        &mut self,
        id: id::RequestId,
        link: event::Link,
        of: id::RequestId,
        offset: u64,
    ) {
        let early = |open: &Open| open.dispatched.is_none();
        if of != id && self.open.get(&of).is_some_and(early) {
            self.waiting.entry(of).or_default().push((id, link));
            return;
        }
        let Some(reply) = self.links.remove(&link) else {
            return;
        };
        let attached = match self.open.get(&of) {
            None => Attached::Broken(broken("the response is no longer kept")),
            Some(open) => match open.outlet.attach(id, offset, offset > open.skip) {
                Ok(reader) => Attached::Outlet(open.outlet.clone(), reader),
                Err(gone) => Attached::Broken(broken(&gone.to_string())),
            },
        };
        reply.send(attached).ok();
    }

    pub(crate) fn replay(
        &mut self,
        id: id::RequestId,
        link: Option<event::Link>,
        response: claim::Response,
    ) {
        let outlet = Arc::new(Outlet::new(Window::KEPT, 0));
        let head = msg::Head {
            status: response.status.into(),
            headers: response
                .headers
                .iter()
                .map(|field| msg::Header {
                    name: field.name.clone(),
                    value: field.value.0.clone().into(),
                })
                .collect(),
            id: fields::request_id_bytes(id),
            replayed: true,
            resumable: false,
        };
        outlet.head(head);
        tracing::info!(event = "replay", request = %id, target = %self.agent.target, status = response.status);
        self.parts.metrics.count("replay");
        let now = self.now();
        if let Some(open) = self.open.get_mut(&id) {
            open.outlet = outlet.clone();
            open.dispatched = Some(now);
        }
        match response.body {
            claim::Body::Inline(body) => loaded(&outlet, Some(body.0.into())),
            claim::Body::Object { key, .. } => self.load(id, key, outlet),
            claim::Body::Unkept => loaded(&outlet, None),
        }
        if let Some(link) = link {
            self.attach(id, link, id, 0);
        }
        self.attach_waiting(id);
    }

    /// Reads a stored response from the object store. The task holds the
    /// outlet, because the ledger may forget a large response before it is read.
    fn load(&self, id: id::RequestId, key: String, outlet: Arc<Outlet>) {
        let objects = self.parts.objects.clone();
        tokio::spawn(async move {
            let body = match objects.get(&key).await {
                Ok(object) => object.map(|object| object.bytes),
                Err(fault) => {
                    tracing::warn!(event = "response_unread", request = %id, cause = %fault);
                    None
                }
            };
            loaded(&outlet, body);
        });
    }

    /// Writes a large response of a keyed request to the object store, then
    /// completes the request.
    pub(crate) fn store(
        &self,
        id: id::RequestId,
        total: u64,
        response: claim::Response,
        body: Vec<u8>,
    ) {
        let objects = self.parts.objects.clone();
        let events = self.parts.events.clone();
        let key = format!("response/{id}");
        tokio::spawn(async move {
            let any = object::Condition::Any;
            let written = match objects.put(&key, body.into(), &any).await {
                object::Outcome::Written(_) => claim::Body::Object { key, total },
                outcome => {
                    tracing::warn!(event = "response_unwritten", request = %id, outcome = ?outcome);
                    claim::Body::Unkept
                }
            };
            let response = claim::Response {
                body: written,
                ..response
            };
            events.send(Event::Stored(id, total, response)).ok();
        });
    }

    pub(crate) fn fail(&mut self, id: id::RequestId, link: event::Link, cause: action::Cause) {
        tracing::warn!(event = "outcome_unknown", request = %id, target = %self.agent.target, cause = ?cause);
        self.parts.metrics.count("outcome.unknown");
        let mut message = broken(&format!("{cause:?}"));
        if let Some(open) = self.open.get(&id) {
            message.suspects = self.related(self.now(), open.fingerprint);
        }
        // A second arrival of the id, or an offset that is gone, does not end
        // the response for others.
        let failed = self.ledger.state(id).is_some_and(|state| state.failed());
        if let Some(open) = self.open.get(&id).filter(|_| failed) {
            open.outlet.finish(Finish::Broken(message.clone()));
        }
        if let Some(reply) = self.links.remove(&link) {
            reply.send(Attached::Broken(message)).ok();
        }
    }

    pub(crate) fn report(&mut self, now: time::Mono, id: id::RequestId, job: u64, report: Report) {
        let Some(open) = self.open.get(&id).filter(|open| open.job == job) else {
            return;
        };
        let outlet = open.outlet.clone();
        let (start, end) = outlet.held();
        let fingerprint = open.fingerprint;
        let mut actions = self.ledger.progress(id, end, start);
        actions.extend(match report {
            Report::NotSent(fault) => {
                tracing::warn!(event = "target_refused", request = %id, target = %self.agent.target, cause = %fault);
                self.check_health();
                self.ledger.unsent(now, id)
            }
            Report::Head { resumable, cached } => {
                tracing::info!(event = "response", request = %id, target = %self.agent.target, cached);
                self.ledger.head(id, resumable)
            }
            Report::Complete(total) => return self.complete(now, id, total),
            Report::Broken(fault) => {
                tracing::warn!(event = "target_broke_off", request = %id, target = %self.agent.target, offset = end, cause = %fault);
                self.broken.push((now, fingerprint));
                self.check_health();
                self.ledger.broken(now, id)
            }
            Report::Crossed(other) => {
                tracing::warn!(event = "response_crossed", request = %id, other, target = %self.agent.target);
                self.parts.metrics.count("response.crossed");
                self.crossed(now, id)
            }
            Report::Unresumed(fault) => {
                tracing::warn!(event = "stream_not_resumed", request = %id, target = %self.agent.target, cause = %fault);
                self.check_health();
                self.ledger.unresumed(now, id)
            }
        });
        let ended = actions
            .iter()
            .any(|action| matches!(action, action::Action::Break { .. }));
        self.act(now, actions);
        if ended || self.ledger.state(id).is_some_and(|state| state.failed()) {
            let mut message = broken("the target broke off");
            message.suspects = self.related(now, fingerprint);
            outlet.finish(Finish::Broken(message));
        }
    }

    /// Drops another request's response; an engine has the right one still.
    pub(crate) fn crossed(&mut self, now: time::Mono, id: id::RequestId) -> Vec<action::Action> {
        let crossings = self.open.get_mut(&id).map(|open| {
            open.crossings += 1;
            open.crossings
        });
        let again = crossings.is_some_and(|count| count <= MOST_CROSSINGS);
        if self.agent.kind == state::Kind::Engine && again {
            let offset = self.open.get(&id).map_or(0, |open| open.outlet.held().1);
            self.ledger.head(id, true);
            return vec![action::Action::Resume { id, offset }];
        }
        self.ledger.broken(now, id)
    }

    pub(crate) fn complete(&mut self, now: time::Mono, id: id::RequestId, total: u64) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let outlet = open.outlet.clone();
        let keyed = open.class == msg::Class::Keyed;
        if keyed {
            outlet.finish(Finish::Whole);
        }
        let fingerprint = open.fingerprint;
        let took = open.dispatched.map(|at| now.since(at));
        tracing::info!(event = "complete", request = %id, target = %self.agent.target, bytes = total,
            took_ms = took.map(span::Span::as_millis));
        if self.quarantine.check(now, fingerprint) != quarantine::Verdict::Clear {
            self.quarantine.record_completion(fingerprint);
            self.spread(now, fingerprint);
        }
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let response = match keyed.then(|| stored(&open.outlet)).flatten() {
            Some((response, body)) if body.len() > claim::MAX_INLINE => {
                return self.store(id, total, response, body);
            }
            Some((response, body)) => Some(claim::Response {
                body: claim::Body::Inline(claim::Content(body)),
                ..response
            }),
            None => None,
        };
        let actions = self.ledger.complete(now, id, total, response);
        self.act(now, actions);
        if !keyed {
            // The stamp of the last frame no longer counts this request.
            self.publish();
            outlet.finish(Finish::Whole);
        }
    }
}

fn broken(cause: &str) -> msg::Interrupted {
    msg::Interrupted {
        cause: cause.to_owned(),
        dispatched: true,
        offset: 0,
        resumable: false,
        suspects: Vec::new(),
    }
}

/// Returns the response of a keyed request, and its body, which is not placed
/// yet.
fn stored(outlet: &Outlet) -> Option<(claim::Response, Vec<u8>)> {
    let (head, body) = outlet.whole()?;
    let headers = head
        .headers
        .iter()
        .map(|field| claim::Header {
            name: field.name.clone(),
            value: claim::Content(field.value.to_vec()),
        })
        .collect();
    let response = claim::Response {
        status: u16::try_from(head.status).unwrap_or_default(),
        headers,
        body: claim::Body::Unkept,
    };
    Some((response, body))
}

/// Writes a stored response to the outlet that replays it.
fn loaded(outlet: &Outlet, body: Option<bytes::Bytes>) {
    let writer = outlet.writer(0);
    match body {
        Some(body) => {
            outlet.push(writer, body);
            outlet.finish(Finish::Whole);
        }
        None => outlet.finish(Finish::Broken(broken("the stored response cannot be read"))),
    }
}
