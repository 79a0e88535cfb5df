//! A plain runner: it reports itself to the store, runs requests, and records which
//! reached it.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message, Server, lock},
    record::Record,
    store::Store,
};

/// Interval of a runner's reports to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time that the work on a request takes.
const WORK: Duration = Duration::from_millis(60);

/// The part of a prompt that crashes each runner that begins to answer it.
pub const CRASHING_PART: &str = "badbad01";

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, since the start of the record.
    pub at: Duration,
    /// Its id.
    pub attempt: String,
    /// The runner that it reached.
    pub runner: String,
}

/// Tokens of a prompt that a model runner reads in a millisecond.
const TOKENS_PER_MS: f64 = 48.2;

/// Returns the time in which a runner reads the parts of a prompt that are new to it: the
/// last two of four, a document of the request's own and the rest.
fn reading_time(prompt: &str) -> Duration {
    let parts: Vec<_> = prompt.split(',').collect();
    let own = parts.get(2..).filter(|_| parts.len() == 4);
    let tokens = own.unwrap_or_default().iter();
    let tokens = tokens.filter_map(|part| part.split(':').nth(1)?.parse::<f64>().ok());
    Duration::from_secs_f64(tokens.sum::<f64>() / TOKENS_PER_MS / 1e3)
}

/// Where a runner belongs.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Whether its streams come in chunks; they come with their length otherwise.
    pub is_chunked: bool,
}

#[derive(Debug)]
struct Shared {
    place: Place,
    record: Record,
    born: u128,
    sequence: AtomicU64,
    arrivals: Mutex<Vec<Arrival>>,
    /// Whether it is draining.
    leaving: AtomicBool,
    stopped: AtomicBool,
    /// When it crashed, since the start of the record.
    crashed: Mutex<Option<Duration>>,
}

/// A running runner.
#[derive(Debug)]
pub struct Runner {
    shared: Arc<Shared>,
    server: Server,
    store: Arc<Store>,
}

impl Runner {
    /// Starts a runner that reports itself as ready.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn start(place: Place, store: &Arc<Store>, record: &Record) -> io::Result<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let shared = Arc::new(Shared {
            place,
            record: record.clone(),
            born: born.unwrap_or_default().as_millis(),
            sequence: AtomicU64::new(0),
            arrivals: Mutex::default(),
            leaving: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            crashed: Mutex::default(),
        });
        let handler = shared.clone();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(address, move |request| handler.handle(&request))?;
        let runner = Self {
            shared,
            server,
            store: store.clone(),
        };
        runner.report();
        let (shared, store, address) = (runner.shared.clone(), store.clone(), runner.address());
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if shared.stopped.load(Ordering::Relaxed) {
                    return;
                }
                shared.report(&store, address);
            }
        });
        Ok(runner)
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns its id.
    pub fn id(&self) -> &str {
        &self.shared.place.id
    }

    /// Returns its zone.
    pub fn zone(&self) -> &str {
        &self.shared.place.zone
    }

    /// Reports itself to the store, and returns the version that acknowledges it.
    pub fn report(&self) -> Option<u64> {
        self.shared.report(&self.store, self.address())
    }

    /// Begins to drain, and returns the version that acknowledges the report of it.
    pub fn drain(&self) -> Option<u64> {
        self.shared.leaving.store(true, Ordering::Relaxed);
        self.report()
    }

    /// Returns the requests that reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.shared.arrivals).clone()
    }

    /// Returns when it crashed, if it has.
    pub fn crashed(&self) -> Option<Duration> {
        *lock(&self.shared.crashed)
    }

    /// Closes its connections and its listener, and ends its reports, if it has not been
    /// closed.
    pub fn close(&self) {
        if !self.shared.stopped.swap(true, Ordering::Relaxed) {
            self.server.close();
        }
    }
}

impl Shared {
    fn report(&self, store: &Store, address: SocketAddr) -> Option<u64> {
        let Place {
            id, service, zone, ..
        } = &self.place;
        let state = match self.leaving.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let born = self.born;
        let row = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"batch_slots\":6,\"state\":\"{state}\",\
             \"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
        );
        store.put("servers", id, &row)
    }

    /// Crashes: the listener is closed before the connections are.
    fn crash(&self) {
        let now = self.record.now();
        let mut crashed = lock(&self.crashed);
        if crashed.is_none() {
            *crashed = Some(now);
            let id = &self.place.id;
            self.record.line(&format!("{id} crashes"));
        }
        drop(crashed);
        thread::sleep(Duration::from_millis(30));
    }

    fn handle(&self, request: &Message) -> Option<Message> {
        let id = self.place.id.as_str();
        if request.word(1) == "/kv-list" {
            let list = "{\"epoch\":1,\"next\":1,\"held\":[]}";
            return Some(http::response("200 OK", &[], list));
        }
        let wrong = request.header("x-target-instance");
        if wrong.is_some_and(|expected| expected != id) {
            let headers = [("x-instance-id", id)];
            return Some(http::response("421 Misdirected Request", &headers, ""));
        }
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        let leaving = self.leaving.load(Ordering::Relaxed);
        lock(&self.arrivals).push(Arrival {
            at: self.record.now(),
            attempt: attempt.to_owned(),
            runner: id.to_owned(),
        });
        let mut headers = vec![("x-attempt-id", attempt), ("x-instance-id", id)];
        if leaving {
            headers.push(("server-leaving", "1"));
        }
        self.record.line(&format!(
            "{attempt} reaches {id}{}, which runs it",
            if leaving { " (draining)" } else { "" }
        ));
        let prompt = request.header("x-prompt-prefix");
        thread::sleep(WORK + prompt.map_or(Duration::ZERO, reading_time));
        if prompt.is_some_and(|prompt| prompt.contains(CRASHING_PART)) {
            self.crash();
            return None;
        }
        headers.push(("x-response-signature", "signed"));
        let body = match prompt {
            Some(_) => {
                headers.push(("content-type", "text/event-stream"));
                if self.place.is_chunked {
                    headers.push(("transfer-encoding", "chunked"));
                }
                "id: 1\ndata: one\n\nid: 2\ndata: two\n\n".to_owned()
            }
            None => format!("run by {id}\n"),
        };
        Some(http::response("200 OK", &headers, body))
    }
}
