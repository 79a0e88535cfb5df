//! Accepts callers.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use base::{
    fault::{At, Fault},
    span, time,
};
use futures_util::FutureExt;
use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use platform::config::Limits;
use tokio::{net::TcpListener, net::TcpStream, sync::watch, time as timer};

use crate::{answer, body::Body, listen::ACCEPT_PAUSE, shared::Shared, upstream};

/// Time between two looks at whether a connection is idle for too long.
const LOOK: Duration = Duration::from_secs(1);

/// Time that an idle connection is kept beyond the configured limit, so that
/// a caller who keeps to the limit never meets the close.
const IDLE_MARGIN: span::Span = span::Span::from_secs(3);

/// Longest request line, in bytes, beside the headers that the configuration
/// limits.
const REQUEST_LINE: usize = 8 * 1024;

/// Time after which unacknowledged bytes break a caller's connection.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// The connections of callers.
#[derive(Debug)]
pub struct Front {
    shared: Arc<Shared>,
    /// Turns true when idle connections are to be closed.
    closing: watch::Receiver<bool>,
    /// Requests that are being answered.
    pub active: AtomicU32,
    /// Open connections.
    pub connections: AtomicU32,
}

/// When a connection was last used, and by how many requests it is used now.
struct Usage {
    active: AtomicU32,
    last: AtomicU64,
}

impl Usage {
    /// Returns whether the connection is to be closed because it is idle.
    fn is_stale(&self, idle: span::Span, limits: Limits) -> bool {
        let limit = limits.idle_timeout.as_micros() + IDLE_MARGIN.as_micros();
        self.active.load(Ordering::Relaxed) == 0 && idle.as_micros() > limit
    }

    /// Returns whether not even a head has come in the time for one, after the
    /// connection was to be closed; a head that never ends would keep it open.
    fn is_unused(&self, idle: span::Span, limits: Limits) -> bool {
        let overdue = idle
            .as_micros()
            .saturating_sub(limits.head_timeout.as_micros());
        self.is_stale(span::Span::from_micros(overdue), limits)
    }
}

impl Front {
    /// Listens for callers until the runtime ends.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn serve(
        shared: Arc<Shared>,
        closing: watch::Receiver<bool>,
    ) -> Result<Arc<Self>, Fault> {
        let address = shared.settings.callers;
        let listener = TcpListener::bind(address).await.at("listen", address)?;
        let front = Arc::new(Self {
            shared,
            closing,
            active: AtomicU32::new(0),
            connections: AtomicU32::new(0),
        });
        tokio::spawn(front.clone().accept(listener));
        Ok(front)
    }

    /// Accepts callers until connections are to be closed: a request that came
    /// later might not end before the process must.
    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut closing = self.closing.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = closing.wait_for(|closing| *closing) => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().connection(stream));
                }
                Err(error) => {
                    tracing::warn!(event = "accept_failed", %error);
                    timer::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        // Closing the listener would reset callers that are connected already.
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            tokio::spawn(self.clone().connection(stream));
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream) {
        if let Err(error) = upstream::guard(&stream, SILENCE_TIMEOUT) {
            tracing::debug!(event = "caller_options", %error);
        }
        self.connections.fetch_add(1, Ordering::Relaxed);
        let usage = Arc::new(Usage {
            active: AtomicU32::new(0),
            last: AtomicU64::new(self.shared.clock.now().0),
        });
        let service = service_fn(|request| self.clone().request(request, usage.clone()));
        let mut builder = http1::Builder::new();
        builder.half_close(false);
        if let Some(limits) = self.limits() {
            builder.max_header_size(limits.max_head + REQUEST_LINE);
        }
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut closing = self.closing.clone();
        let mut told = false;
        loop {
            tokio::select! {
                result = connection.as_mut() => {
                    if let Err(error) = result {
                        tracing::debug!(event = "caller_connection", %error);
                    }
                    break;
                }
                _ = closing.wait_for(|closing| *closing), if !told => {
                    told = true;
                    connection.as_mut().graceful_shutdown();
                }
                () = timer::sleep(LOOK) => match self.limits() {
                    Some(limits) if usage.is_unused(self.idle(&usage), limits) => break,
                    Some(limits) if !told && usage.is_stale(self.idle(&usage), limits) => {
                        told = true;
                        connection.as_mut().graceful_shutdown();
                    }
                    _ => {}
                },
            }
        }
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    fn limits(&self) -> Option<Limits> {
        let routes = self.shared.routes.load();
        routes.as_ref().map(|routes| routes.config.limits)
    }

    /// Returns the time since the connection's latest request.
    fn idle(&self, usage: &Usage) -> span::Span {
        let last = time::Mono(usage.last.load(Ordering::Relaxed));
        self.shared.clock.now().since(last)
    }

    async fn request(
        self: Arc<Self>,
        request: Request<Incoming>,
        usage: Arc<Usage>,
    ) -> Result<Response<Body>, Infallible> {
        let active = Active::new(self.clone(), usage);
        let mut response = answer::respond(&self.shared, request, active).await;
        if self.shared.stopping.load(Ordering::Relaxed) {
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }
}

/// Counts a request until its response was sent or its caller is gone.
pub struct Active {
    front: Arc<Front>,
    usage: Arc<Usage>,
}

impl Active {
    fn new(front: Arc<Front>, usage: Arc<Usage>) -> Self {
        front.active.fetch_add(1, Ordering::Relaxed);
        usage.active.fetch_add(1, Ordering::Relaxed);
        Self { front, usage }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.front.active.fetch_sub(1, Ordering::Relaxed);
        self.usage.active.fetch_sub(1, Ordering::Relaxed);
        let now = self.front.shared.clock.now();
        self.usage.last.store(now.0, Ordering::Relaxed);
    }
}
