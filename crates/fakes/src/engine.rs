//! The model engine: options, faults and the handle of a running one.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::span;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio_util::task::AbortOnDropHandle;

use crate::{clock, fault, orders, record, server, state};

/// How an engine is built.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Requests that run at the same time.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Time between two tokens of a request.
    pub pace: span::Span,
    /// Time to the first token when the whole prompt is cached.
    pub first: span::Span,
    /// Additional time to the first token for each prompt token that is not cached.
    pub prefill: span::Span,
    /// Tokens that the cache holds.
    pub cache_tokens: usize,
    /// Tokens in a block of the cache.
    pub block_tokens: usize,
    /// Time for which a finished response can be resumed.
    pub keep: span::Span,
    /// Age of the load that the engine reports.
    pub load_lag: span::Span,
    /// Age at which cache events are published.
    pub event_lag: span::Span,
    /// Models and their versions; when empty, requests for any model run.
    pub models: BTreeMap<String, String>,
    /// The initial role.
    pub role: String,
    /// Whether orders with a stale fencing token are rejected.
    pub checks_fence: bool,
    /// Time that an order to load takes.
    pub load_time: span::Span,
    /// Weight store from which an order to load fetches the model.
    pub weights: Option<SocketAddr>,
    /// Time to export or import one block of KV cache.
    pub block_time: span::Span,
    /// Engines with different values produce different output for a prompt.
    pub salt: u64,
    /// Seed of the faults.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 32,
            queue: 1024,
            // Design page 1.6: 39 ms between tokens at the 95th percentile.
            pace: span::Span::from_millis(39),
            first: span::Span::from_millis(20),
            // 10,000 prompt tokens a second.
            prefill: span::Span::from_micros(100),
            cache_tokens: 1 << 20,
            block_tokens: 64,
            keep: span::Span::from_secs(60),
            load_lag: span::Span::from_millis(500),
            event_lag: span::Span::from_millis(500),
            models: BTreeMap::new(),
            role: "mixed".to_owned(),
            checks_fence: true,
            load_time: span::Span::from_millis(500),
            weights: None,
            block_time: span::Span::from_micros(200),
            salt: 0,
            seed: 0,
        }
    }
}

impl Options {
    /// Returns options for tests: as the default, but faster.
    pub fn fast() -> Self {
        Self {
            pace: span::Span::from_millis(2),
            first: span::Span::from_millis(2),
            prefill: span::Span::from_micros(10),
            load_lag: span::Span::from_millis(50),
            event_lag: span::Span::from_millis(50),
            load_time: span::Span::from_millis(20),
            ..Self::default()
        }
    }

    /// Returns what the engine has loaded when it starts.
    pub fn loaded(&self) -> orders::Loaded {
        orders::Loaded {
            models: self.models.clone(),
            role: self.role.clone(),
            ..orders::Loaded::default()
        }
    }
}

/// Switchable faults of an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// A request whose text contains this crashes the engine when it begins to run.
    pub crash_marker: Option<String>,
    /// Time for which a crashed engine stays down; without it, until switched on.
    pub restart: Option<span::Span>,
    /// Responses replaced by another request's response, with its id.
    pub crossed: fault::Chance,
    /// Responses without `X-Request-Id`.
    pub unnamed: fault::Chance,
    /// Time by which response heads are late.
    pub late: span::Span,
    /// Responses that break off.
    pub cut: fault::Chance,
    /// Bytes of a response after which it breaks off.
    pub cut_after: usize,
    /// Requests rejected with 503 without running.
    pub reject: fault::Chance,
    /// Requests that run although their connection is closed without a response.
    pub lost_reply: fault::Chance,
    /// No request makes progress.
    pub stalled: bool,
    /// Age of the reported load, in place of the option.
    pub load_lag: Option<span::Span>,
    /// Cache events that are lost.
    pub event_loss: fault::Chance,
}

/// What the handle, the HTTP handler and the batch task share.
#[derive(Debug)]
pub struct Shared {
    /// How the engine is built.
    pub options: Options,
    /// Switches the server off and on.
    pub power: server::Power,
    state: Mutex<state::State>,
    wake: Notify,
}

impl Shared {
    /// Locks the state; never held across an await.
    pub fn state(&self) -> MutexGuard<'_, state::State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the batch task look at the state again.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Crashes the engine for a time, or until it is switched on.
    pub fn crash(&self, down: Option<span::Span>) {
        self.state().crash();
        self.power.down(down);
    }

    /// Produces due tokens; returns when the next one is due.
    fn step(&self) -> Option<base::time::Mono> {
        let mut state = self.state();
        if state.faults.stalled {
            return None;
        }
        let healthy = state.step();
        let (due, restart) = (state.due(), state.faults.restart);
        drop(state);
        if !healthy {
            self.crash(restart);
            return None;
        }
        due
    }

    async fn run(self: Arc<Self>) {
        loop {
            match self.step() {
                Some(due) => tokio::select! {
                    () = clock::sleep_until(due) => {}
                    () = self.wake.notified() => {}
                },
                None => self.wake.notified().await,
            }
        }
    }
}

/// A running engine; it stops when this handle is dropped.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    server: server::Server,
    _task: AbortOnDropHandle<()>,
}

impl Engine {
    /// Starts an engine; port 0 selects a free port.
    pub fn start(listen: SocketAddr, options: Options) -> io::Result<Self> {
        let port = server::Port::bind(listen)?;
        let shared = Arc::new(Shared {
            state: Mutex::new(state::State::new(options.clone())),
            options,
            power: port.power(),
            wake: Notify::new(),
        });
        Ok(Self {
            server: port.serve(shared.clone()),
            _task: AbortOnDropHandle::new(tokio::spawn(shared.clone().run())),
            shared,
        })
    }

    /// Returns the address on which the engine accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.state().faults);
        self.shared.wake();
    }

    /// Returns a copy of the record.
    pub fn record(&self) -> record::Record {
        self.shared.state().record.clone()
    }

    /// Reads the record without copying it.
    pub fn read<T>(&self, read: impl FnOnce(&record::Record) -> T) -> T {
        read(&self.shared.state().record)
    }

    /// Returns a handle that reads the record while the engine is in use
    /// elsewhere.
    pub fn reader(&self) -> Reader {
        Reader(self.shared.clone())
    }

    /// Returns the models, adapters and role.
    pub fn loaded(&self) -> orders::Loaded {
        self.shared.state().desk.loaded.clone()
    }

    /// Crashes the engine for a time, or until [`Engine::up`].
    pub fn crash(&self, down: Option<span::Span>) {
        self.shared.crash(down);
    }

    /// Lets a crashed engine accept connections again.
    pub fn up(&self) {
        self.shared.power.up();
    }
}

/// Reads the record of an engine.
#[derive(Clone, Debug)]
pub struct Reader(Arc<Shared>);

impl Reader {
    /// Reads the record without copying it.
    pub fn read<T>(&self, read: impl FnOnce(&record::Record) -> T) -> T {
        read(&self.0.state().record)
    }
}
