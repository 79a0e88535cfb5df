//! The HTTP server for callers.

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

use crate::{
    body::Body,
    error_response::{self, Reason},
    handler,
    listen::ACCEPT_RETRY_DELAY,
    shared::Shared,
    upstream,
};

/// Time after the start of a shutdown in which the platform may still send new
/// callers: it takes the router out of rotation after two failed readiness checks,
/// one per second, and requests already on their way need some time to arrive.
const ROTATION_DELAY: Duration = Duration::from_millis(2_600);

/// Time before the end of the grace period at which the process exits by itself.
const GRACE_MARGIN: span::Span = span::Span::from_millis(200);

/// Time before the exit at which requests in progress get their final response.
const RESPONSE_MARGIN: span::Span = span::Span::from_millis(200);

/// Interval at which the server is checked for open connections during a shutdown.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a connection is checked for its idle timeout.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time that an idle connection is kept beyond the configured limit, so that a
/// caller that respects the limit never sends a request while the connection is
/// being closed.
const IDLE_MARGIN: span::Span = span::Span::from_secs(3);

/// Maximum length of the request line, in bytes, in addition to the headers, whose
/// size the configuration limits.
const MAX_REQUEST_LINE: usize = 8 * 1024;

/// TCP user timeout: a caller's connection is closed if sent bytes are not
/// acknowledged for this long.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts connections of callers and serves their requests.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    /// Becomes true when the server must accept no more callers and close idle
    /// connections.
    closing: watch::Receiver<bool>,
    /// Becomes true when the process is about to exit.
    ending: watch::Sender<bool>,
    /// Number of requests in progress.
    pub active: AtomicU32,
    /// Number of open connections.
    pub connections: AtomicU32,
}

/// Use of one connection: the requests in progress and the time of the last one.
struct Usage {
    active: AtomicU32,
    /// When the latest request ended, or else when the connection was opened, in
    /// microseconds of the process's clock.
    last: AtomicU64,
}

impl Usage {
    /// Returns whether the idle timeout has passed.
    fn is_expired(&self, idle: span::Span, limits: Limits) -> bool {
        let limit = limits.idle_timeout.as_micros() + IDLE_MARGIN.as_micros();
        self.active.load(Ordering::Relaxed) == 0 && idle.as_micros() > limit
    }

    /// Returns whether the idle timeout and then the time allowed for a request head
    /// have passed without a complete head. A graceful shutdown waits for a head
    /// that has begun, so one that never ends would keep the connection open.
    fn is_head_overdue(&self, idle: span::Span, limits: Limits) -> bool {
        let overdue = idle
            .as_micros()
            .saturating_sub(limits.head_timeout.as_micros());
        self.is_expired(span::Span::from_micros(overdue), limits)
    }
}

impl Server {
    /// Starts to accept callers in the background, until the runtime ends.
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
        let server = Arc::new(Self {
            shared,
            closing,
            ending: watch::Sender::new(false),
            active: AtomicU32::new(0),
            connections: AtomicU32::new(0),
        });
        tokio::spawn(server.clone().accept(listener));
        Ok(server)
    }

    /// Ends the server within the platform's grace period: stays in rotation for some
    /// time, then accepts no more callers and waits for requests in progress. Those
    /// that last longer get a final response before the process exits.
    pub async fn stop(&self, close: &watch::Sender<bool>) {
        let shared = &self.shared;
        let stopped = shared.clock.now();
        let margin = GRACE_MARGIN.as_micros() + RESPONSE_MARGIN.as_micros();
        let grace = shared.bounds.load().grace.as_micros();
        let exit = stopped + span::Span::from_micros(grace.saturating_sub(margin));
        shared.stopping.store(true, Ordering::Relaxed);
        timer::sleep(ROTATION_DELAY).await;
        // Has to be known before callers are told to close: a request that arrives
        // then may not be finished before the exit.
        let _ = shared.exit.set(exit);
        close.send_replace(true);
        self.wait_closed(exit).await;
        self.ending.send_replace(true);
        self.wait_closed(exit + RESPONSE_MARGIN).await;
    }

    /// Waits until no connection is open, until `end` at most.
    async fn wait_closed(&self, end: time::Mono) {
        while self.connections.load(Ordering::Relaxed) > 0 && self.shared.clock.now() < end {
            timer::sleep(POLL_INTERVAL).await;
        }
    }

    /// Accepts callers until the server is closing. A request that arrived later
    /// might not finish before the process has to exit.
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
                    timer::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // Closing the listener resets connections that are not accepted yet, so they
        // are accepted first.
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            tokio::spawn(self.clone().connection(stream));
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream) {
        if let Err(error) = upstream::configure_socket(&stream, ACK_TIMEOUT) {
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
            builder.max_header_size(limits.max_head + MAX_REQUEST_LINE);
        }
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut closing = self.closing.clone();
        let mut shutting_down = false;
        loop {
            tokio::select! {
                result = connection.as_mut() => {
                    if let Err(error) = result {
                        tracing::debug!(event = "caller_connection", %error);
                    }
                    break;
                }
                _ = closing.wait_for(|closing| *closing), if !shutting_down => {
                    shutting_down = true;
                    connection.as_mut().graceful_shutdown();
                }
                () = timer::sleep(IDLE_CHECK_INTERVAL) => match self.limits() {
                    Some(limits) if usage.is_head_overdue(self.idle(&usage), limits) => break,
                    Some(limits) if !shutting_down && usage.is_expired(self.idle(&usage), limits) => {
                        shutting_down = true;
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

    /// Returns the time since the connection's latest request ended.
    fn idle(&self, usage: &Usage) -> span::Span {
        let last = time::Mono(usage.last.load(Ordering::Relaxed));
        self.shared.clock.now().since(last)
    }

    async fn request(
        self: Arc<Self>,
        request: Request<Incoming>,
        usage: Arc<Usage>,
    ) -> Result<Response<Body>, Infallible> {
        let active = ActiveRequest::new(self.clone(), usage);
        let mut ending = self.ending.subscribe();
        let mut response = tokio::select! {
            response = handler::handle(&self.shared, request, active) => response,
            _ = ending.wait_for(|ending| *ending) => {
                tracing::info!(event = "cut_at_exit");
                error_response::response(Reason::Timeout)
            }
        };
        if self.shared.stopping.load(Ordering::Relaxed) {
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }
}

/// Counts a request as in progress until its response has been sent or its caller
/// has disconnected.
pub struct ActiveRequest {
    server: Arc<Server>,
    usage: Arc<Usage>,
}

impl ActiveRequest {
    fn new(server: Arc<Server>, usage: Arc<Usage>) -> Self {
        server.active.fetch_add(1, Ordering::Relaxed);
        usage.active.fetch_add(1, Ordering::Relaxed);
        Self { server, usage }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.server.active.fetch_sub(1, Ordering::Relaxed);
        self.usage.active.fetch_sub(1, Ordering::Relaxed);
        let now = self.server.shared.clock.now();
        self.usage.last.store(now.0, Ordering::Relaxed);
    }
}
