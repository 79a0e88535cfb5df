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

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, since the start of the record.
    pub at: Duration,
    /// Its id.
    pub attempt: String,
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
        });
        let handler = shared.clone();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(address, move |request| Some(handler.handle(&request)))?;
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

    /// Ends it.
    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.server.close();
    }
}

impl Shared {
    fn report(&self, store: &Store, address: SocketAddr) -> Option<u64> {
        let Place { id, service, zone } = &self.place;
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

    fn handle(&self, request: &Message) -> Message {
        let id = self.place.id.as_str();
        let wrong = request.header("x-target-instance");
        if wrong.is_some_and(|expected| expected != id) {
            return http::response("421 Misdirected Request", &[("x-instance-id", id)], "");
        }
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        let leaving = self.leaving.load(Ordering::Relaxed);
        lock(&self.arrivals).push(Arrival {
            at: self.record.now(),
            attempt: attempt.to_owned(),
        });
        let mut headers = vec![("x-attempt-id", attempt), ("x-instance-id", id)];
        if leaving {
            headers.push(("server-leaving", "1"));
        }
        self.record.line(&format!(
            "{attempt} reaches {id}{}, which runs it",
            if leaving { " (draining)" } else { "" }
        ));
        thread::sleep(WORK);
        headers.push(("x-response-signature", "signed"));
        http::response("200 OK", &headers, format!("run by {id}\n"))
    }
}
