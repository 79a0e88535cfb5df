//! A target of the users' platform: it answers plain requests and streams,
//! records what it ran, and fails on demand.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::span;
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time;

use crate::{
    body::{self, Body},
    server::{Dropped, Handler, Port, Power, Server},
};

/// What the target does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers with the request's body.
    Echo,
    /// Runs the request and closes the connection without an answer.
    Lose,
    /// States that it did not run the request.
    Shed,
    /// Answers 503 without stating that it did not run the request.
    Busy,
    /// Runs the request and answers 500.
    Fail,
    /// Answers with the id of another attempt.
    Cross,
    /// Answers without a signature.
    Unsigned,
    /// Announces more bytes than it sends.
    Cut,
    /// Never answers.
    Hang,
    /// Runs the request and goes down for some seconds.
    Crash,
    /// Streams where the path begins with `/stream/` or `/resume/`, and echoes
    /// elsewhere.
    ByPath,
    /// Streams all events.
    Stream,
    /// Breaks off within the event after so many whole ones.
    Break(u64),
    /// Streams slowly and without an end.
    Endless,
    /// Sends a body without an end, as fast as it can.
    Flood,
}

/// Events of a whole stream.
pub const EVENTS: u64 = 5;

/// Returns the body of a whole stream.
pub fn whole_stream() -> String {
    (1..=EVENTS).map(event).collect()
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: event {id}\n\n")
}

/// Time for which a crashed target is down.
const CRASH_TIME: span::Span = span::Span::from_secs(2);

/// Pause between two events of an endless stream.
const PAUSE: Duration = Duration::from_millis(20);

/// Bytes of one piece of a body without an end.
const FLOOD_BYTES: usize = 16 * 1024;

/// A request that reached the target and was run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The headers.
    pub headers: HeaderMap,
    /// The path and the query.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

#[derive(Debug)]
struct Shared {
    id: String,
    behaviours: Mutex<VecDeque<Behaviour>>,
    usual: Mutex<Behaviour>,
    runs: Mutex<Vec<Run>>,
    kept: Mutex<Vec<(String, u32)>>,
    /// Prompt part whose requests crash the target.
    deadly: Mutex<Option<String>>,
    leaving: AtomicBool,
    /// Whether whole streams come with their length.
    lengths: AtomicBool,
    /// `Retry-After` of refusals.
    pause: Mutex<Option<String>>,
    lists: AtomicUsize,
    refusals: AtomicUsize,
    streams: Arc<AtomicUsize>,
    power: Power,
}

/// A running target; it stops when this handle is dropped.
#[derive(Debug)]
pub struct Runner {
    shared: Arc<Shared>,
    server: Server,
}

impl Runner {
    /// Starts a target with an id on a free port.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn start(id: &str, usual: Behaviour) -> io::Result<Self> {
        let port = Port::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            behaviours: Mutex::default(),
            usual: Mutex::new(usual),
            runs: Mutex::default(),
            kept: Mutex::default(),
            deadly: Mutex::default(),
            leaving: AtomicBool::new(false),
            lengths: AtomicBool::new(false),
            pause: Mutex::default(),
            lists: AtomicUsize::new(0),
            refusals: AtomicUsize::new(0),
            streams: Arc::default(),
            power: port.power(),
        });
        let server = port.serve(shared.clone());
        Ok(Self { shared, server })
    }

    /// Returns the id.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the switch that drops all connections.
    pub fn power(&self) -> &Power {
        self.server.power()
    }

    /// Changes what the target does with every request.
    pub fn set(&self, usual: Behaviour) {
        *lock(&self.shared.usual) = usual;
    }

    /// Changes what the target does with the next request only.
    pub fn next(&self, behaviour: Behaviour) {
        lock(&self.shared.behaviours).push_back(behaviour);
    }

    /// Returns the requests that were run.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// Makes the target keep a part of a prompt.
    pub fn keep(&self, part: &str, tokens: u32) {
        lock(&self.shared.kept).push((part.to_owned(), tokens));
    }

    /// Makes requests with a prompt part crash the target, or no requests any
    /// more.
    pub fn crash_on(&self, part: Option<&str>) {
        *lock(&self.shared.deadly) = part.map(str::to_owned);
    }

    /// Makes the target say in all responses that it is leaving.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// Sets the `Retry-After` of refusals.
    pub fn pause(&self, value: &str) {
        *lock(&self.shared.pause) = Some(value.to_owned());
    }

    /// Returns how often the target was asked what it keeps.
    pub fn lists(&self) -> usize {
        self.shared.lists.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that were opened to the target.
    pub fn connections(&self) -> usize {
        self.server.accepted()
    }

    /// Sends whole streams with their length, or in chunks.
    pub fn set_lengths(&self, lengths: bool) {
        self.shared.lengths.store(lengths, Ordering::Relaxed);
    }

    /// Returns how many requests the target refused.
    pub fn refusals(&self) -> usize {
        self.shared.refusals.load(Ordering::Relaxed)
    }

    /// Returns the number of streams that are being sent.
    pub fn streams(&self) -> usize {
        self.shared.streams.load(Ordering::Relaxed)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a stream until its body is dropped.
struct Open(Arc<AtomicUsize>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Run {
    /// Returns whether the request's prompt has a part.
    pub fn has_part(&self, part: &str) -> bool {
        let prefix = self.headers.get("x-prompt-prefix");
        let prefix = prefix.and_then(|prefix| prefix.to_str().ok());
        let mut parts = prefix.unwrap_or_default().split(',');
        parts.any(|entry| entry.split(':').next() == Some(part))
    }
}

impl Shared {
    fn respond(&self, behaviour: Behaviour, run: &Run) -> Result<Response<Body>, Dropped> {
        let text = |name| run.headers.get(name).and_then(|value| value.to_str().ok());
        let attempt = text("x-attempt-id").unwrap_or_default();
        let seen = text("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        let mut response = Response::new(match behaviour {
            Behaviour::Lose => return Err(Dropped),
            Behaviour::Cut => body::cut(run.body.clone()),
            Behaviour::Stream if self.lengths.load(Ordering::Relaxed) => {
                body::full((seen + 1..=EVENTS).map(event).collect::<String>())
            }
            Behaviour::Stream => self.stream(seen, EVENTS, false),
            Behaviour::Break(events) => self.stream(seen, events, true),
            Behaviour::Endless => self.stream(seen, u64::MAX, false),
            Behaviour::Flood => self.flood(),
            _ => body::full(run.body.clone()),
        });
        *response.status_mut() = match behaviour {
            Behaviour::Busy => StatusCode::SERVICE_UNAVAILABLE,
            Behaviour::Fail => StatusCode::INTERNAL_SERVER_ERROR,
            _ => StatusCode::OK,
        };
        let attempt = match behaviour {
            Behaviour::Cross => "another-attempt",
            _ => attempt,
        };
        let mut set = |name: &'static str, value: &str| {
            if let Ok(value) = value.parse() {
                response.headers_mut().insert(name, value);
            }
        };
        set("x-attempt-id", attempt);
        if self.leaving.load(Ordering::Relaxed) {
            set("server-leaving", "1");
        }
        if behaviour != Behaviour::Unsigned {
            set("x-response-signature", &format!("signed-by-{}", self.id));
        }
        if matches!(
            behaviour,
            Behaviour::Stream | Behaviour::Break(_) | Behaviour::Endless
        ) {
            set("content-type", "text/event-stream");
        }
        Ok(response)
    }

    /// Lists what the target keeps of prompts.
    fn list(&self) -> Response<Body> {
        self.lists.fetch_add(1, Ordering::Relaxed);
        let held: Vec<_> = lock(&self.kept)
            .iter()
            .map(|(part, tokens)| ("", part.clone(), *tokens, "m"))
            .collect();
        let list = serde_json::json!({"epoch": 1, "next": 1, "held": held});
        body::json(StatusCode::OK, &list)
    }

    /// Sends bytes that are no event until the caller closes.
    fn flood(&self) -> Body {
        self.streams.fetch_add(1, Ordering::Relaxed);
        let open = Open(self.streams.clone());
        let piece = Bytes::from(vec![b'x'; FLOOD_BYTES]);
        body::chunks(stream::unfold((piece, open), |(piece, open)| async move {
            Some((Ok(piece.clone()), (piece, open)))
        }))
    }

    /// Streams the events after `seen` up to `last`; a broken stream ends with
    /// part of the next one.
    fn stream(&self, seen: u64, last: u64, broken: bool) -> Body {
        self.streams.fetch_add(1, Ordering::Relaxed);
        let open = Open(self.streams.clone());
        body::chunks(stream::unfold(
            (seen, open),
            move |(sent, open)| async move {
                if sent == u64::MAX {
                    return Some((body::broken("stream cut on demand").await, (sent, open)));
                }
                let next = sent + 1;
                if next > last {
                    let part = Bytes::from(format!("id: {next}\nda"));
                    return broken.then_some((Ok(part), (u64::MAX, open)));
                }
                if last == u64::MAX {
                    time::sleep(PAUSE).await;
                }
                Some((Ok(Bytes::from(event(next))), (next, open)))
            },
        ))
    }
}

impl Handler for Shared {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Dropped> {
        if request.uri().path() == "/kv-list" {
            return Ok(self.list());
        }
        let (head, incoming) = request.into_parts();
        let expected = head.headers.get("x-target-instance");
        if expected.is_some_and(|expected| expected.as_bytes() != self.id.as_bytes()) {
            return Ok(body::error(
                StatusCode::MISDIRECTED_REQUEST,
                "another target",
            ));
        }
        let body = incoming.collect().await.map_err(|_| Dropped)?.to_bytes();
        let usual = *lock(&self.usual);
        let behaviour = lock(&self.behaviours).pop_front().unwrap_or(usual);
        let streams = ["/stream/", "/resume/"]
            .iter()
            .any(|prefix| head.uri.path().starts_with(prefix));
        let behaviour = match behaviour {
            Behaviour::ByPath if streams => Behaviour::Stream,
            behaviour => behaviour,
        };
        if behaviour == Behaviour::Shed {
            let mut response = body::error(StatusCode::SERVICE_UNAVAILABLE, "no room");
            if let Ok(value) = "1".parse() {
                response.headers_mut().insert("x-not-executed", value);
            }
            let pause = lock(&self.pause).clone();
            if let Some(Ok(value)) = pause.map(|pause| pause.parse()) {
                response.headers_mut().insert("retry-after", value);
            }
            self.refusals.fetch_add(1, Ordering::Relaxed);
            return Ok(response);
        }
        let path = head.uri.path_and_query().map(ToString::to_string);
        let run = Run {
            headers: head.headers,
            path: path.unwrap_or_default(),
            body,
        };
        lock(&self.runs).push(run.clone());
        let deadly = lock(&self.deadly).clone();
        if behaviour == Behaviour::Crash || deadly.is_some_and(|part| run.has_part(&part)) {
            self.power.down(Some(CRASH_TIME));
            return Err(Dropped);
        }
        if behaviour == Behaviour::Hang {
            std::future::pending::<()>().await;
        }
        self.respond(behaviour, &run)
    }
}
