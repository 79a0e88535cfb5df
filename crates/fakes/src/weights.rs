//! The rate-limited weight store.

use std::{io, net::SocketAddr, sync::Arc};

use base::{rate, size};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::{
    body::{self, Body},
    client, control, fault, platform, server,
};

const PATH: &str = "/v1/weights/";

/// How a weight store is built.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Fetches that all engines together may make.
    pub rate: rate::Rate,
    /// Length of every model's weights.
    pub size: size::Size,
    /// Seed of the faults.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            rate: rate::Rate(2.0),
            size: size::Size(64 * 1024),
            seed: 0,
        }
    }
}

#[derive(Debug)]
struct Shared {
    options: Options,
    gate: platform::Gate,
    power: server::Power,
}

impl server::Handler for Shared {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, server::Dropped> {
        if control::matches(&request) {
            let switch = |faults| self.gate.faults(|now| *now = faults);
            return Ok(control::handle(request, &self.power, self.gate.counts(), switch).await);
        }
        if request.method() != Method::GET || !request.uri().path().starts_with(PATH) {
            return Ok(body::error(StatusCode::NOT_FOUND, "no such path"));
        }
        match self.gate.enter(platform::Access::Read).await {
            Ok(pass) => {
                let weights = vec![0; self.options.size.as_usize()];
                pass.reply(Response::new(body::full(weights)))
            }
            Err(stop) => stop.reply(),
        }
    }
}

/// A running weight store; it stops when this handle is dropped.
#[derive(Debug)]
pub struct Weights {
    shared: Arc<Shared>,
    server: server::Server,
}

impl Weights {
    /// Starts a weight store; port 0 selects a free port.
    pub fn start(listen: SocketAddr, options: Options) -> io::Result<Self> {
        let port = server::Port::bind(listen)?;
        let shared = Arc::new(Shared {
            gate: platform::Gate::new(Some(options.rate), None, options.seed),
            options,
            power: port.power(),
        });
        let server = port.serve(shared.clone());
        Ok(Self { shared, server })
    }

    /// Returns the address on which the store accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults.
    pub fn faults(&self, change: impl FnOnce(&mut fault::Faults)) {
        self.shared.gate.faults(change);
    }

    /// Returns the counters.
    pub fn counts(&self) -> platform::Counts {
        self.shared.gate.counts()
    }
}

/// Fetches the weights of a model, as an engine does.
pub async fn fetch(store: SocketAddr, model: &str) -> io::Result<()> {
    let request = Request::get(format!("{PATH}{model}"))
        .body(Bytes::new())
        .map_err(io::Error::other)?;
    let reply = client::send(store, request).await?;
    match reply.status {
        StatusCode::OK if reply.complete => Ok(()),
        status => Err(io::Error::other(format!("status {status}"))),
    }
}
