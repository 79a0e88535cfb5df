//! A plain service, some of whose calls must not be repeated.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::{hash, span};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header, request};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::{
    body::{self, Body},
    control,
    fault::{self, Chance},
    serve::REQUEST_ID,
    server,
};

/// Carries the key under which a call must run once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// How a plain service is built.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Time that each call takes.
    pub delay: span::Span,
    /// Bytes by which the response is longer than its facts.
    pub padding: usize,
    /// Seed of the faults.
    pub seed: u64,
}

/// Switchable faults of a plain service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Additional time that each call takes.
    pub delay: span::Span,
    /// Time by which responses are late after the call has run.
    pub late: span::Span,
    /// Calls answered with 503 without running.
    pub reject: Chance,
    /// Calls answered with 500 after running.
    pub error: Chance,
    /// Calls that run although their connection is closed without a response.
    pub lost_reply: Chance,
    /// Responses that break off.
    pub cut: Chance,
    /// Bytes of a response after which it breaks off.
    pub cut_after: usize,
    /// Responses replaced by another request's response, with its id.
    pub crossed: Chance,
    /// Responses without `X-Request-Id`.
    pub unnamed: Chance,
    /// A request whose body contains this crashes the service.
    pub crash_marker: Option<String>,
    /// Time for which a crashed service stays down; without it, until switched on.
    pub restart: Option<span::Span>,
}

/// What a service did.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Record {
    /// Calls that ran, by request id.
    pub requests: BTreeMap<String, u32>,
    /// Calls that ran, by `Idempotency-Key`.
    pub keys: BTreeMap<String, u32>,
    /// All calls that ran.
    pub executions: u64,
    /// Calls that are running.
    pub running: u32,
    /// Largest number of calls that ran at the same time.
    pub maximum: u32,
    /// Times the service went down.
    pub crashes: u64,
}

/// The body of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// Id of the request.
    pub request: Option<String>,
    /// How many calls had run before this one.
    pub execution: u64,
    /// Hash of the request's body.
    pub digest: String,
    /// Filler.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub padding: String,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    random: fault::Random,
    record: Record,
    previous: Option<(String, Bytes)>,
}

#[derive(Debug)]
struct Shared {
    options: Options,
    power: server::Power,
    state: Mutex<State>,
}

/// The faults that affect one call.
struct Drawn {
    reject: bool,
    error: bool,
    lost: bool,
    cut: Option<usize>,
    crossed: bool,
    unnamed: bool,
    delay: span::Span,
    late: span::Span,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn draw(&self) -> Drawn {
        let mut state = self.state();
        let state = &mut *state;
        let (faults, random) = (&mut state.faults, &mut state.random);
        Drawn {
            reject: faults.reject.draw(random),
            error: faults.error.draw(random),
            lost: faults.lost_reply.draw(random),
            cut: faults.cut.draw(random).then_some(faults.cut_after),
            crossed: faults.crossed.draw(random),
            unnamed: faults.unnamed.draw(random),
            delay: faults.delay,
            late: faults.late,
        }
    }

    async fn call(&self, request: Request<Incoming>) -> Result<Response<Body>, server::Dropped> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body::read(body).await else {
            return Err(server::Dropped);
        };
        let faults = self.draw();
        if faults.reject {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(body::retry(
                status,
                span::Span::from_secs(1),
                "rejected on demand",
            ));
        }
        let id = text(&parts, REQUEST_ID).unwrap_or_default();
        let reply = self.run(&parts, &body, &faults).await?;
        if faults.lost {
            return Err(server::Dropped);
        }
        tokio::time::sleep(faults.late.duration()).await;
        Ok(self.respond(id, reply, &faults))
    }

    /// Runs the call and counts it; a call that crashes the service counts too.
    async fn run(
        &self,
        parts: &request::Parts,
        body: &Bytes,
        faults: &Drawn,
    ) -> Result<Bytes, server::Dropped> {
        let execution = self.begin(parts);
        if self.crashes(body) {
            return Err(server::Dropped);
        }
        tokio::time::sleep(self.options.delay.duration() + faults.delay.duration()).await;
        self.finish();
        let path = parts.uri.path_and_query();
        let reply = Reply {
            method: parts.method.to_string(),
            path: path.map(ToString::to_string).unwrap_or_default(),
            request: text(parts, REQUEST_ID),
            execution,
            digest: format!("{:016x}", hash::bytes(body)),
            padding: "x".repeat(self.options.padding),
        };
        Ok(serde_json::to_vec(&reply).unwrap_or_default().into())
    }

    fn begin(&self, parts: &request::Parts) -> u64 {
        let mut state = self.state();
        let record = &mut state.record;
        record.executions += 1;
        record.running += 1;
        record.maximum = record.maximum.max(record.running);
        if let Some(id) = text(parts, REQUEST_ID) {
            *record.requests.entry(id).or_default() += 1;
        }
        if let Some(key) = text(parts, IDEMPOTENCY_KEY) {
            *record.keys.entry(key).or_default() += 1;
        }
        record.executions
    }

    /// Counts a call that ended; a crash may have counted it already.
    fn finish(&self) {
        let mut state = self.state();
        state.record.running = state.record.running.saturating_sub(1);
    }

    fn crashes(&self, body: &Bytes) -> bool {
        let state = self.state();
        let marker = state.faults.crash_marker.as_deref().unwrap_or_default();
        let found = !marker.is_empty()
            && body
                .windows(marker.len())
                .any(|part| part == marker.as_bytes());
        let restart = state.faults.restart;
        drop(state);
        if found {
            self.crash(restart);
        }
        found
    }

    fn crash(&self, down: Option<span::Span>) {
        let mut state = self.state();
        state.record.crashes += 1;
        state.record.running = 0;
        state.previous = None;
        drop(state);
        self.power.down(down);
    }

    fn respond(&self, id: String, reply: Bytes, faults: &Drawn) -> Response<Body> {
        let previous = self.state().previous.replace((id.clone(), reply.clone()));
        let (id, reply) = match faults.crossed {
            true => previous.unwrap_or_else(|| ("another-request".to_owned(), Bytes::new())),
            false => (id, reply),
        };
        let body = match faults.cut {
            Some(length) => body::cut(reply.slice(..length.min(reply.len()))),
            None => body::full(reply),
        };
        let mut response = Response::new(body);
        if faults.error {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        let id = HeaderValue::from_str(&id).ok().filter(|id| !id.is_empty());
        if let (false, Some(id)) = (faults.unnamed, id) {
            headers.insert(REQUEST_ID, id);
        }
        response
    }
}

fn text(parts: &request::Parts, name: &str) -> Option<String> {
    let value = parts.headers.get(name)?;
    Some(value.to_str().ok()?.to_owned())
}

impl server::Handler for Shared {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, server::Dropped> {
        if control::matches(&request) {
            let record = self.state().record.clone();
            let switch = |faults| self.state().faults = faults;
            return Ok(control::handle(request, &self.power, record, switch).await);
        }
        self.call(request).await
    }
}

/// A running plain service; it stops when this handle is dropped.
#[derive(Debug)]
pub struct Service {
    shared: Arc<Shared>,
    server: server::Server,
}

impl Service {
    /// Starts a plain service; port 0 selects a free port.
    pub fn start(listen: SocketAddr, options: Options) -> io::Result<Self> {
        let port = server::Port::bind(listen)?;
        let state = State {
            faults: Faults::default(),
            random: fault::Random::new(options.seed),
            record: Record::default(),
            previous: None,
        };
        let shared = Arc::new(Shared {
            options,
            power: port.power(),
            state: Mutex::new(state),
        });
        let server = port.serve(shared.clone());
        Ok(Self { shared, server })
    }

    /// Returns the address on which the service accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.state().faults);
    }

    /// Returns a copy of the record.
    pub fn record(&self) -> Record {
        self.shared.state().record.clone()
    }

    /// Crashes the service for a time, or until [`Service::up`].
    pub fn crash(&self, down: Option<span::Span>) {
        self.shared.crash(down);
    }

    /// Lets a crashed service accept connections again.
    pub fn up(&self) {
        self.shared.power.up();
    }
}
