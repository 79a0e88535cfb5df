//! The HTTP server for callers.

use std::{
    convert::Infallible,
    net::IpAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
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
use inlet::memory::{Registration, STALL_TIME};
use platform::config::Limits;
use tokio::{net::TcpListener, net::TcpStream, sync::watch, task, time as timer};

use crate::{
    body::Body,
    clients::{ACCEPTED_AT_ONCE, Connection, LimitReached, Slot, WatchedStream},
    error_response::{self, Reason},
    handler, listen,
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

/// Time beyond the limit after which a head that has begun and is not complete ends
/// its connection. The first bytes may have waited for the process.
const HEAD_MARGIN: span::Span = span::Span::from_secs(1);

/// Length of the shortest header field with its line break, in bytes.
const MIN_FIELD_BYTES: usize = 4;

/// Maximum number of header fields; the library's map holds no more than this.
const MAX_FIELDS: usize = 16 * 1024;

/// Limits until a configuration is known.
const DEFAULT_LIMITS: Limits = Limits {
    max_head: 16 * 1024,
    max_body: 4 * 1024 * 1024,
    head_timeout: span::Span::from_secs(3),
    idle_timeout: span::Span::from_secs(15),
};

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

/// Returns whether the idle timeout of a connection has passed.
fn is_expired(connection: &Connection, idle: span::Span, limits: Limits) -> bool {
    let limit = limits.idle_timeout.as_micros() + IDLE_MARGIN.as_micros();
    !connection.is_busy() && idle.as_micros() > limit
}

/// Returns whether the idle timeout and then the time allowed for a request head
/// have passed without a complete head. A graceful shutdown waits for a head
/// that has begun, so one that never ends would keep the connection open.
fn is_head_overdue(connection: &Connection, idle: span::Span, limits: Limits) -> bool {
    let overdue = idle
        .as_micros()
        .saturating_sub(limits.head_timeout.as_micros());
    is_expired(connection, span::Span::from_micros(overdue), limits)
}

/// What the timeouts of a connection demand.
enum Check {
    Keep,
    ShutDown,
    Close,
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
        let mut count: usize = 0;
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = closing.wait_for(|closing| *closing) => break,
            };
            match accepted {
                Ok((stream, address)) => {
                    self.admit(stream, address.ip());
                    count += 1;
                    if count.is_multiple_of(ACCEPTED_AT_ONCE) {
                        task::yield_now().await;
                    }
                }
                Err(error) => listen::accept_failed(&self.shared, &error).await,
            }
        }
        // Closing the listener resets connections that are not accepted yet, so they
        // are accepted first.
        while let Some(Ok((stream, address))) = listener.accept().now_or_never() {
            self.admit(stream, address.ip());
        }
    }

    /// Serves a connection in the background, unless there are too many.
    fn admit(self: &Arc<Self>, stream: TcpStream, address: IpAddr) {
        let registration = self.shared.room.register(address);
        let client = registration.client().clone();
        if let Some(slot) = listen::place(&self.shared, &self.shared.connections, client) {
            tokio::spawn(self.clone().connection(stream, slot, registration));
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, slot: Slot, _client: Registration) {
        if let Err(error) = upstream::configure_socket(&stream, ACK_TIMEOUT) {
            tracing::debug!(event = "caller_options", %error);
        }
        self.connections.fetch_add(1, Ordering::Relaxed);
        let state = slot.connection.clone();
        let service = service_fn(|request| self.clone().request(request, state.clone()));
        let stream = WatchedStream::new(stream, state.clone(), self.shared.clock);
        let builder = self.builder();
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let mut closing = self.closing.clone();
        let mut shutting_down = false;
        let mut released = false;
        loop {
            tokio::select! {
                // After a freeze of the process, bytes that have arrived are read
                // before timeouts are checked.
                biased;
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
                () = state.evicted() => break,
                () = state.client.released(), if !released => {
                    released = true;
                    if state.client.is_writing() {
                        break;
                    }
                    // The body's reader responds.
                    shutting_down = true;
                    connection.as_mut().graceful_shutdown();
                }
                () = timer::sleep(IDLE_CHECK_INTERVAL) => match self.check(&state, shutting_down) {
                    Check::Keep => {}
                    Check::ShutDown => {
                        shutting_down = true;
                        connection.as_mut().graceful_shutdown();
                    }
                    Check::Close => break,
                },
            }
        }
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the settings of a connection's HTTP library. Its read buffer holds the
    /// largest head and no more; fields have four bytes at least.
    fn builder(&self) -> http1::Builder {
        let max_head = self.limits().max_head + MAX_REQUEST_LINE;
        let mut builder = http1::Builder::new();
        builder
            .half_close(false)
            .max_header_size(max_head)
            .max_buf_size(max_head + 1)
            .max_headers((max_head / MIN_FIELD_BYTES).min(MAX_FIELDS));
        builder
    }

    /// Checks the timeouts of a connection.
    fn check(&self, state: &Connection, shutting_down: bool) -> Check {
        let limits = self.limits();
        let now = self.shared.clock.now();
        let address = state.client.address();
        let idle = state.idle(now);
        // A client whose memory was taken back must not occupy it again.
        let unread = match state.client.is_released() {
            true => STALL_TIME,
            false => limits.idle_timeout.max(IDLE_MARGIN).duration(),
        };
        if state.is_unread(unread) {
            self.shared.limit_reached(LimitReached::Unread, &address);
            return Check::Close;
        }
        let head = limits.head_timeout.as_micros() + HEAD_MARGIN.as_micros();
        if state.head_age(now).as_micros() > head {
            self.shared.limit_reached(LimitReached::LateHead, &address);
            return Check::Close;
        }
        if is_head_overdue(state, idle, limits) {
            return Check::Close;
        }
        match is_expired(state, idle, limits) && !shutting_down {
            true => Check::ShutDown,
            false => Check::Keep,
        }
    }

    /// Returns the limits in force; until a configuration is known, the usual ones.
    fn limits(&self) -> Limits {
        let routes = self.shared.routes.load();
        routes
            .as_ref()
            .map_or(DEFAULT_LIMITS, |routes| routes.config.limits)
    }

    async fn request(
        self: Arc<Self>,
        mut request: Request<Incoming>,
        connection: Arc<Connection>,
    ) -> Result<Response<Body>, Infallible> {
        request.extensions_mut().insert(connection.client.clone());
        let active = ActiveRequest::new(self.clone(), connection.clone());
        connection.take_turn().await;
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
    connection: Arc<Connection>,
}

impl ActiveRequest {
    fn new(server: Arc<Server>, connection: Arc<Connection>) -> Self {
        server.active.fetch_add(1, Ordering::Relaxed);
        connection.begin();
        Self { server, connection }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.server.active.fetch_sub(1, Ordering::Relaxed);
        self.connection.end(self.server.shared.clock.now());
    }
}
