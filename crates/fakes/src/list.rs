//! The platform's list of instances, which lags.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::{span, time};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::{
    body::{self, Body},
    clock, control, fault, platform, server,
};

/// Path under which a test replaces the instances of a list in another process.
pub const CONTROL: &str = "/fake/instances";

/// How an instance list is built.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Age of the list that is returned.
    pub lag: span::Span,
    /// Instances at the start; they are visible at once.
    pub instances: Vec<Instance>,
    /// Seed of the faults.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lag: span::Span::from_secs(2),
            instances: Vec::new(),
            seed: 0,
        }
    }
}

/// Whether an instance is to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It stays.
    Live,
    /// It will be removed and must get no new work.
    Leaving,
}

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its id.
    pub id: String,
    /// The address of the process in its slot.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// The service that its target belongs to; a router has none.
    pub service: Option<String>,
    /// Whether it is to stay.
    pub state: State,
}

/// The response to `GET /v1/instances`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// All instances in order of id.
    pub instances: Vec<Instance>,
    /// Increases with each change.
    pub revision: u64,
}

#[derive(Debug, Default)]
struct History {
    now: BTreeMap<String, Instance>,
    pages: VecDeque<(time::Mono, Page)>,
}

impl History {
    fn publish(&mut self, lag: span::Span) {
        let now = clock::now();
        let revision = self.pages.back().map_or(0, |(_, page)| page.revision);
        let page = Page {
            instances: self.now.values().cloned().collect(),
            revision: revision + 1,
        };
        self.pages.push_back((now, page));
        let visible = |at: time::Mono| now.since(at) >= lag;
        while self.pages.get(1).is_some_and(|(at, _)| visible(*at)) {
            self.pages.pop_front();
        }
    }

    /// Returns the newest page that is old enough, or the oldest one.
    fn visible(&self, lag: span::Span) -> Page {
        let now = clock::now();
        let mut pages = self.pages.iter().rev();
        let page = pages.find(|(at, _)| now.since(*at) >= lag);
        let page = page.or(self.pages.front());
        page.map(|(_, page)| page.clone()).unwrap_or_default()
    }
}

#[derive(Debug)]
struct Shared {
    lag: Mutex<span::Span>,
    gate: platform::Gate,
    power: server::Power,
    history: Mutex<History>,
}

impl Shared {
    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lag(&self) -> MutexGuard<'_, span::Span> {
        self.lag.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut BTreeMap<String, Instance>)) {
        let lag = *self.lag();
        let mut history = self.history();
        change(&mut history.now);
        history.publish(lag);
    }

    fn replace(&self, instances: Vec<Instance>) {
        let instances = instances.into_iter();
        let instances = instances.map(|instance| (instance.id.clone(), instance));
        self.change(|now| *now = instances.collect());
    }

    async fn control(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == CONTROL {
            return match control::read(request).await {
                Ok(instances) => {
                    self.replace(instances);
                    body::empty(StatusCode::NO_CONTENT)
                }
                Err(reason) => body::error(StatusCode::BAD_REQUEST, reason),
            };
        }
        let switch = |faults| self.gate.faults(|now| *now = faults);
        control::handle(request, &self.power, self.gate.counts(), switch).await
    }
}

impl server::Handler for Shared {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, server::Dropped> {
        if control::matches(&request) {
            return Ok(self.control(request).await);
        }
        if request.method() != Method::GET || request.uri().path() != "/v1/instances" {
            return Ok(body::error(StatusCode::NOT_FOUND, "no such path"));
        }
        match self.gate.enter(platform::Access::Read).await {
            Ok(pass) => {
                let page = self.history().visible(*self.lag());
                pass.reply(body::json(StatusCode::OK, &page))
            }
            Err(stop) => stop.reply(),
        }
    }
}

/// A running instance list; it stops when this handle is dropped.
#[derive(Debug)]
pub struct List {
    shared: Arc<Shared>,
    server: server::Server,
}

impl List {
    /// Starts a list; port 0 selects a free port.
    pub fn start(listen: SocketAddr, options: Options) -> io::Result<Self> {
        let port = server::Port::bind(listen)?;
        let shared = Arc::new(Shared {
            lag: Mutex::new(options.lag),
            gate: platform::Gate::new(None, None, options.seed),
            power: port.power(),
            history: Mutex::default(),
        });
        shared.replace(options.instances);
        let server = port.serve(shared.clone());
        Ok(Self { shared, server })
    }

    /// Returns the address on which the list accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Switches the server off and on.
    pub fn power(&self) -> &server::Power {
        self.server.power()
    }

    /// Changes the faults.
    pub fn faults(&self, change: impl FnOnce(&mut fault::Faults)) {
        self.shared.gate.faults(change);
    }

    /// Returns the counters.
    pub fn counts(&self) -> platform::Counts {
        self.shared.gate.counts()
    }

    /// Sets the age of the list that is returned.
    pub fn lag(&self, lag: span::Span) {
        *self.shared.lag() = lag;
    }

    /// Adds an instance or replaces the one with its id.
    pub fn add(&self, instance: Instance) {
        self.shared.change(|now| {
            now.insert(instance.id.clone(), instance);
        });
    }

    /// Marks an instance as leaving.
    pub fn leave(&self, id: &str) {
        self.shared.change(|now| {
            if let Some(instance) = now.get_mut(id) {
                instance.state = State::Leaving;
            }
        });
    }

    /// Removes an instance.
    pub fn remove(&self, id: &str) {
        self.shared.change(|now| {
            now.remove(id);
        });
    }
}
