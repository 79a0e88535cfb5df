//! Reads a caller's request and matches it with its routing rule.

use std::sync::{Arc, atomic::Ordering};

use base::{hash, id, span, time};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri, request::Parts};
use hyper::body::Incoming;
use inlet::{
    ReadError,
    memory::{Client, Reservation},
};
use platform::{
    config::{Rule, Service, Team},
    request::{self, RequestHead},
};

use crate::{
    clients::LimitReached,
    error_response::Reason,
    fleet::PrefixChain,
    routes::{self, RouteError, Routes},
    shared::Shared,
};

/// Time by which the response is due before the caller's own deadline, so that
/// it arrives before the caller gives up.
const RESPONSE_MARGIN: span::Span = span::Span::from_millis(30);

/// Maximum number of idle connections to one target.
const MAX_IDLE: usize = 16;

/// Divides the connections that a target accepts; the quotient may be idle.
const IDLE_DIVISOR: usize = 2;

/// Bytes of a header field that are neither its name nor its value.
const FIELD_FRAMING: usize = 4;

/// Memory of a decoded header field, in bytes: an entry of the map and of its index.
const FIELD_BYTES: usize = 112;

/// Memory of a decoded part of a prompt with its hash, in bytes.
const PART_BYTES: usize = 96;

/// Memory of a request in progress without its fields and its body, in bytes: the
/// buffer of its head, that of the connection to a target, and the state of the tasks.
const REQUEST_BYTES: usize = 24 * 1024;

/// Memory for the events of a stream that are on their way to the caller, in bytes.
const STREAM_BYTES: usize = 16 * 1024;

/// Memory of a usual request without its body, in bytes. One that needs more does
/// not wait for memory.
const SMALL_HEAD_BYTES: usize = 64 * 1024;

/// A caller's request, completely read, with what the configuration says about
/// it.
#[derive(Debug)]
pub struct CallerRequest {
    /// State shared by the whole process.
    pub shared: Arc<Shared>,
    /// The decoded head.
    pub head: RequestHead,
    /// The routing rule that matches it.
    pub rule: Rule,
    /// When the request's head was received.
    pub started: time::Mono,
    /// Time by which the response is due.
    pub deadline: time::Mono,
    /// The team that the caller's key belongs to; `None` if the rule
    /// requires no key.
    pub team: Option<Team>,
    /// The service that the rule sends the request to.
    pub service: id::ServiceId,
    /// Version of the configuration that the rule was read from.
    pub version: id::Version,
    /// Hash of the request's content: key, path and body.
    pub fingerprint: id::Fingerprint,
    /// The service's configuration, if it has one.
    pub service_config: Option<Service>,
    /// Hashes of the parts of its prompt.
    pub chain: PrefixChain,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers that are forwarded to every target.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The caller's connection, as the memory budget sees it.
    pub client: Option<Arc<Client>>,
    /// Memory of the head and of the state of the request.
    pub memory: Reservation,
}

/// Why a request was refused before it was sent to a target.
#[derive(Debug)]
pub struct Refusal {
    /// Attempt id, if the request's head could be decoded.
    pub attempt: Option<id::AttemptId>,
    /// Reason for the refusal.
    pub reason: Reason,
}

impl CallerRequest {
    /// Reads a request and matches it with its rule.
    ///
    /// # Errors
    ///
    /// When the request is malformed, no rule allows it, its body is too long or
    /// does not fit in memory, its deadline has passed or is after the process's exit,
    /// or its content has crashed targets.
    pub async fn read(
        shared: &Arc<Shared>,
        started: time::Mono,
        request: Request<Incoming>,
    ) -> Result<Self, Refusal> {
        let (mut parts, body) = request.into_parts();
        let client = parts.extensions.remove::<Arc<Client>>();
        let head = match RequestHead::decode(&parts) {
            Ok(head) => head,
            Err(error) => {
                tracing::info!(event = "malformed", %error);
                inlet::discard(&parts.headers, body, client);
                return Err(Refusal {
                    attempt: None,
                    reason: Reason::Malformed,
                });
            }
        };
        let refusal = |reason| Refusal {
            attempt: Some(head.attempt.clone()),
            reason,
        };
        let route = match RouteMatch::find(shared, &parts, &head) {
            Ok(route) => route,
            Err(reason) => {
                inlet::discard(&parts.headers, body, client);
                return Err(refusal(reason));
            }
        };
        let deadline = route.deadline(&head, started);
        let remaining = deadline.since(shared.clock.now()).duration();
        let limit = route.routes.config.limits.max_body;
        let prompt = head.prompt.len() * PART_BYTES;
        let stream = match route.rule.class.is_stream() {
            true => STREAM_BYTES,
            false => 0,
        };
        let bytes = REQUEST_BYTES + head_bytes(&parts) + prompt + stream;
        let memory = match reserve_head(shared, bytes, &client).await {
            Ok(memory) => memory,
            Err(reason) => {
                inlet::discard(&parts.headers, body, client);
                return Err(refusal(reason));
            }
        };
        let reservation = Reservation::for_request(&shared.room, client.clone());
        let body = inlet::read(&parts.headers, body, limit, remaining, reservation).await;
        let body = body.map_err(|error| refusal(body_refused(shared, error)))?;
        if shared.exits_before(deadline) {
            return Err(refusal(Reason::Stopping));
        }
        let fingerprint = fingerprint(&head, &parts.uri, &body);
        let repeatable = route.rule.class.is_repeatable();
        if shared.refuses_content(fingerprint, repeatable) {
            return Err(refusal(Reason::CrashesTargets));
        }
        Ok(Self {
            shared: shared.clone(),
            chain: PrefixChain::new(&head.prompt),
            headers: request::forwarded_headers(&parts.headers),
            method: parts.method,
            uri: parts.uri,
            service_config: route.service_config(),
            version: route.routes.config.version,
            head,
            rule: route.rule,
            started,
            deadline,
            team: route.team,
            service: route.service,
            fingerprint,
            body,
            client,
            memory,
        })
    }

    /// Returns the priority, 0 being the highest. The priority of the team takes
    /// precedence over that of the rule.
    pub fn priority(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.rule.priority)
    }

    /// Returns the maximum number of idle connections to each target of the
    /// service: a part of the connections that a target accepts, divided among the
    /// routers.
    pub fn max_idle(&self) -> usize {
        let accepted = self
            .service_config
            .map_or(0, |service| service.max_connections as usize);
        let routers = self.shared.routers.load(Ordering::Relaxed).max(1) as usize;
        (accepted / IDLE_DIVISOR / routers).clamp(1, MAX_IDLE)
    }

    /// Returns the time since the request was received.
    pub fn elapsed(&self) -> span::Span {
        self.shared.clock.now().since(self.started)
    }
}

/// The rule, team and service that a request matches.
struct RouteMatch {
    routes: Arc<Routes>,
    rule: Rule,
    team: Option<Team>,
    service: id::ServiceId,
}

impl RouteMatch {
    fn find(shared: &Shared, parts: &Parts, head: &RequestHead) -> Result<Self, Reason> {
        let routes = shared.routes.load_full().ok_or(Reason::NotReady)?;
        let found = routes.find(&head.host, parts.uri.path(), head.key.as_deref());
        let (rule, team) = found.map_err(|error| match error {
            RouteError::NoRule => Reason::NoRule,
            RouteError::UnknownKey => Reason::UnknownKey,
        })?;
        let service =
            routes::select_service(&rule.services, &head.attempt).ok_or(Reason::NoRule)?;
        Ok(Self {
            rule: rule.clone(),
            team: team.cloned(),
            service: service.clone(),
            routes,
        })
    }

    fn deadline(&self, head: &RequestHead, started: time::Mono) -> time::Mono {
        due(&self.rule, head.remaining, started)
    }

    fn service_config(&self) -> Option<Service> {
        self.routes.config.services.get(&self.service).copied()
    }
}

/// Returns the time by which the response to a request is due: the rule's timeout, or
/// the caller's deadline less a margin if that is earlier.
pub fn due(rule: &Rule, remaining: Option<span::Span>, started: time::Mono) -> time::Mono {
    let timeout = started + rule.timeout;
    match remaining {
        Some(remaining) => timeout.min(started + saturating_sub(remaining, RESPONSE_MARGIN)),
        None => timeout,
    }
}

/// Returns the memory of a request's head, in bytes: the buffer that it was read into
/// and two copies of the decoded headers.
fn head_bytes(parts: &Parts) -> usize {
    let lengths = parts.headers.iter();
    let lengths = lengths.map(|(name, value)| name.as_str().len() + value.len() + FIELD_FRAMING);
    let text = lengths.sum::<usize>() + parts.uri.path().len();
    2 * (text + parts.headers.capacity() * FIELD_BYTES)
}

/// Reserves the memory of a request without its body.
async fn reserve_head(
    shared: &Shared,
    bytes: usize,
    client: &Option<Arc<Client>>,
) -> Result<Reservation, Reason> {
    let mut memory = Reservation::for_request(&shared.room, client.clone());
    let reserved = match bytes {
        ..=SMALL_HEAD_BYTES => memory.grow_patiently(bytes).await,
        // The head already occupies this memory while it waits.
        _ => memory.grow(bytes),
    };
    match reserved {
        Ok(()) => Ok(memory),
        Err(error) => Err(body_refused(shared, error.into())),
    }
}

fn body_refused(shared: &Shared, error: ReadError) -> Reason {
    match error {
        ReadError::OutOfMemory(error) => {
            shared.limit_reached(LimitReached::NoRoom, &error);
            Reason::Busy
        }
        ReadError::Stalled => {
            shared.limit_reached(LimitReached::Stalled, &error);
            Reason::Busy
        }
        ReadError::TooLarge(_) => Reason::BodyTooLarge,
        ReadError::Timeout(_) => Reason::Expired,
        ReadError::Broken(error) => {
            tracing::debug!(event = "body_broken", error);
            Reason::Malformed
        }
    }
}

/// Hashes the content of a request: the caller's key, the path and the body.
fn fingerprint(head: &RequestHead, uri: &Uri, body: &[u8]) -> id::Fingerprint {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let key = head.key.as_deref().unwrap_or_default();
    id::Fingerprint(hash::parts([key.as_bytes(), path.as_bytes(), body]))
}

fn saturating_sub(span: span::Span, margin: span::Span) -> span::Span {
    span::Span::from_micros(span.as_micros().saturating_sub(margin.as_micros()))
}
