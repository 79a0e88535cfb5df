//! A caller's request, read whole and matched with its rule.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use base::{hash, id, span, time};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri, request::Parts};
use hyper::body::Incoming;
use inlet::{ReadError, memory::MemoryBudget};
use platform::{
    config::{Rule, Service, Team},
    request::{self, RequestHead},
};

use crate::{
    fleet::Chain,
    refuse::Reason,
    routes::{self, Denied, Routes},
    shared::Shared,
};

/// Time before the caller's own limit at which it is answered, so that the
/// answer still arrives.
const ANSWER_MARGIN: span::Span = span::Span::from_millis(30);

/// Idle connections that are kept to one target at most.
const MOST_IDLE: usize = 16;

/// One in so many of a target's connections may be idle ones.
const IDLE_SHARE: usize = 2;

/// A caller's request, read whole.
#[derive(Debug)]
pub struct Job {
    /// What the process shares.
    pub shared: Arc<Shared>,
    /// The decoded head.
    pub call: RequestHead,
    /// The rule.
    pub rule: Rule,
    /// When the request came.
    pub started: time::Mono,
    /// When it is answered at the latest.
    pub deadline: time::Mono,
    /// The team whose key the caller sent.
    pub team: Option<Team>,
    /// The service that runs it.
    pub service: id::ServiceId,
    /// Version of the configuration that says so.
    pub version: id::Version,
    /// Identifies the content: team, path and body.
    pub fingerprint: id::Fingerprint,
    /// How the service's targets work.
    pub kind: Option<Service>,
    /// The parts of its prompt.
    pub chain: Chain,
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub uri: Uri,
    /// Headers that every target gets.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A request that is answered before anything was sent to a target.
#[derive(Debug)]
pub struct Refusal {
    /// The attempt, if the request names one.
    pub attempt: Option<id::AttemptId>,
    /// Why.
    pub reason: Reason,
}

impl Job {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// When it is malformed, no rule allows it, its time is over or its content
    /// crashes targets.
    pub async fn read(
        shared: &Arc<Shared>,
        started: time::Mono,
        request: Request<Incoming>,
    ) -> Result<Self, Refusal> {
        let (head, body) = request.into_parts();
        let call = match RequestHead::decode(&head) {
            Ok(call) => call,
            Err(error) => {
                tracing::info!(event = "malformed", %error);
                inlet::discard(&head.headers, body);
                return Err(Refusal {
                    attempt: None,
                    reason: Reason::Malformed,
                });
            }
        };
        let refusal = |reason| Refusal {
            attempt: Some(call.attempt.clone()),
            reason,
        };
        let order = match Order::find(shared, &head, &call) {
            Ok(order) => order,
            Err(reason) => {
                inlet::discard(&head.headers, body);
                return Err(refusal(reason));
            }
        };
        let deadline = order.deadline(&call, started);
        let left = deadline.since(shared.clock.now()).duration();
        let limit = order.routes.config.limits.max_body;
        let room = &shared.room;
        let body = read_body(&head.headers, body, limit, left, room).await;
        let body = body.map_err(refusal)?;
        let fingerprint = fingerprint(&call, &head.uri, &body);
        let repeatable = order.rule.class.is_repeatable();
        let now = shared.clock.now();
        if shared.poison().is_refused(now, fingerprint, repeatable) {
            return Err(refusal(Reason::Poison));
        }
        Ok(Self {
            shared: shared.clone(),
            chain: Chain::new(&call.prompt),
            headers: request::forwarded_headers(&head.headers),
            method: head.method,
            uri: head.uri,
            kind: order.kind(),
            version: order.routes.config.version,
            call,
            rule: order.rule,
            started,
            deadline,
            team: order.team,
            service: order.service,
            fingerprint,
            body,
        })
    }

    /// Returns the urgency, 0 first; that of a team goes before the rule's.
    pub fn rank(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.rule.priority)
    }

    /// Returns how many idle connections are kept to each target of the service:
    /// a part of what the target accepts, shared among the routers.
    pub fn most_idle(&self) -> usize {
        let accepted = self.kind.map_or(0, |kind| kind.max_connections as usize);
        let routers = self.shared.routers.load(Ordering::Relaxed).max(1) as usize;
        (accepted / IDLE_SHARE / routers).clamp(1, MOST_IDLE)
    }

    /// Returns the time since the request came.
    pub fn took(&self) -> span::Span {
        self.shared.clock.now().since(self.started)
    }
}

/// What the configuration says of a request.
struct Order {
    routes: Arc<Routes>,
    rule: Rule,
    team: Option<Team>,
    service: id::ServiceId,
}

impl Order {
    fn find(shared: &Shared, head: &Parts, call: &RequestHead) -> Result<Self, Reason> {
        let routes = shared.routes.load_full().ok_or(Reason::Unready)?;
        let found = routes.find(&call.host, head.uri.path(), call.key.as_deref());
        let (rule, team) = found.map_err(|denied| match denied {
            Denied::Rule => Reason::Rule,
            Denied::Key => Reason::Key,
        })?;
        let service = routes::service(&rule.services, &call.attempt).ok_or(Reason::Rule)?;
        Ok(Self {
            rule: rule.clone(),
            team: team.cloned(),
            service: service.clone(),
            routes,
        })
    }

    /// Returns when the request is answered at the latest.
    fn deadline(&self, call: &RequestHead, started: time::Mono) -> time::Mono {
        let timeout = started + self.rule.timeout;
        match call.remaining {
            Some(left) => timeout.min(started + less(left, ANSWER_MARGIN)),
            None => timeout,
        }
    }

    fn kind(&self) -> Option<Service> {
        self.routes.config.services.get(&self.service).copied()
    }
}

async fn read_body(
    headers: &HeaderMap,
    body: Incoming,
    limit: usize,
    within: Duration,
    room: &Arc<MemoryBudget>,
) -> Result<Bytes, Reason> {
    let read = inlet::read(headers, body, limit, within, room).await;
    read.map_err(|error| match error {
        ReadError::OutOfMemory(error) => {
            tracing::warn!(event = "no_room", of = "caller", %error);
            Reason::Busy
        }
        ReadError::TooLarge(_) => Reason::Large,
        ReadError::Timeout(_) => Reason::Expired,
        ReadError::Broken(error) => {
            tracing::debug!(event = "body_broken", error);
            Reason::Malformed
        }
    })
}

/// Identifies the content of a request: who sends it, where and what.
fn fingerprint(call: &RequestHead, uri: &Uri, body: &[u8]) -> id::Fingerprint {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let key = call.key.as_deref().unwrap_or_default();
    id::Fingerprint(hash::parts([key.as_bytes(), path.as_bytes(), body]))
}

fn less(span: span::Span, margin: span::Span) -> span::Span {
    span::Span::from_micros(span.as_micros().saturating_sub(margin.as_micros()))
}
