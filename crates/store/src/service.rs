//! The connections to one service of the platform and the limits on its calls.

use std::{future::Future, net::SocketAddr, sync::atomic::AtomicBool};

use base::span;
use bytes::Bytes;
use http::{Request, StatusCode};

use crate::{
    breaker,
    error::Error,
    guard::Guard,
    http::{Client, Reply},
    limiter::{Access, Policy},
    rates::Rates,
};

/// Time after which to retry a write that was not sent, when the error has none.
pub(crate) const DEFAULT_RETRY_AFTER: span::Span = span::Span::from_secs(1);

/// Settings of a client of one service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address of the service.
    pub peer: SocketAddr,
    /// Timeout of one attempt of a call.
    pub timeout: span::Span,
    /// Rates, retries and circuit breaker.
    pub policy: Policy,
    /// Whether connections are kept for further calls.
    pub pooled: bool,
}

impl Options {
    /// Returns options with the default policy.
    pub fn new(peer: SocketAddr, timeout: span::Span) -> Self {
        Self {
            peer,
            timeout,
            policy: Policy::default(),
            pooled: true,
        }
    }
}

/// The connections to a service and the limits on its calls.
#[derive(Debug)]
pub struct Service {
    client: Client,
    guard: Guard,
}

impl Service {
    /// Makes a client; the first call opens the first connection.
    pub fn new(options: Options) -> Self {
        Self {
            client: Client::new(options.peer, options.timeout, options.pooled),
            guard: Guard::new(options.policy),
        }
    }

    /// Returns the service's address.
    pub fn peer(&self) -> SocketAddr {
        self.client.peer()
    }

    /// Returns the HTTP client.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Sets the rates that this process may use.
    pub fn set_rates(&self, rates: Rates) {
        self.guard.set_rates(rates);
    }

    /// Returns the state of the circuit breaker.
    pub fn breaker(&self) -> breaker::State {
        self.guard.breaker()
    }

    /// Sends a GET request; statuses other than 2xx and those in `allowed` are
    /// errors.
    ///
    /// # Errors
    ///
    /// When the service sent no allowed reply, or the call was not sent.
    pub async fn read(&self, path: &str, allowed: &[StatusCode]) -> Result<Reply, Error> {
        self.read_observed(path, allowed, &AtomicBool::new(false))
            .await
    }

    /// Does the same as [`Self::read`], and sets `begun` when the head of a reply has
    /// arrived.
    ///
    /// # Errors
    ///
    /// See [`Self::read`].
    pub async fn read_observed(
        &self,
        path: &str,
        allowed: &[StatusCode],
        begun: &AtomicBool,
    ) -> Result<Reply, Error> {
        let attempt = || {
            self.client
                .send_observed(Request::builder(), path, Bytes::new(), allowed, begun)
        };
        self.guard.call(Access::Read, attempt).await
    }

    /// Runs a write; `attempt` sends one attempt with [`Service::client`].
    ///
    /// # Errors
    ///
    /// When the service sent no allowed reply, or the call was not sent.
    pub async fn write<F>(&self, attempt: impl FnMut() -> F) -> Result<Reply, Error>
    where
        F: Future<Output = Result<Reply, Error>>,
    {
        self.guard.call(Access::Write, attempt).await
    }
}
