//! HTTP connections to one target, with a pool of idle ones.

use std::{
    error::Error,
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base::{
    fault::{At, Fault},
    span,
};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time};

use crate::metered::{HeadTooLong, Meter, Metered};

/// Timeout for opening a connection. A round trip takes a few milliseconds; if the
/// first packet is lost, another target is faster than waiting for its
/// retransmission.
const CONNECT_TIMEOUT: span::Span = span::Span::from_millis(400);

/// TCP user timeout: the connection is closed if the target's host does not
/// acknowledge sent bytes for this long.
const ACK_TIMEOUT: span::Span = span::Span::from_millis(900);

/// Maximum size of a connection's read buffer, in bytes. It also limits the head
/// of a response, which a faulty target may send without end; [`crate::metered`]
/// limits interim responses.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Time to wait until an idle connection accepts a request. Opening a new
/// connection takes only a few milliseconds.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Maximum time that an idle connection is kept, and the default if the target
/// announces none.
const IDLE_TIMEOUT: span::Span = span::Span::from_secs(4);

/// Time for which a new connection has to stay open to show that the target is
/// running.
const PROBE_TIME: Duration = Duration::from_millis(50);

/// Maximum number of connections opened to find out whether the target is running.
const MAX_PROBES: u32 = 2;

/// Time before the target's announced idle timeout at which a connection is no
/// longer used, because a request sent later could arrive after the target has
/// closed it.
const IDLE_MARGIN: span::Span = span::Span::from_millis(700);

/// Why a request received no response.
#[derive(Debug)]
pub enum SendError {
    /// The request was not sent.
    NotSent(Fault),
    /// The connection was closed; the target may have processed the request.
    Closed(Fault),
    /// The target's host acknowledged no bytes for the TCP user timeout; the request
    /// may have run.
    Unresponsive(Fault),
    /// The target sent more than any proper response has before its body; the request
    /// may have run.
    Endless(Fault),
}

/// Result of an attempt to connect to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The target accepts connections.
    Open,
    /// The target's host is running and refuses connections.
    Refused,
    /// There is no answer: the target's host or the network is down.
    Silent,
}

/// Pool of idle connections to one target.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    meter: Meter,
    /// Whether it was idle before, as a rule after an earlier response.
    reused: bool,
    task: ConnectionTask,
}

/// Task that drives a connection. Dropping it closes the connection, which cancels
/// the request on it.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection in use for a response that is being read.
#[derive(Debug)]
pub struct Lease(Connection);

impl Lease {
    /// Returns whether an earlier request was answered on the connection. Bytes
    /// that belong to that one may come before the response to the present one.
    pub fn is_reused(&self) -> bool {
        self.0.reused
    }

    /// Closes the connection, which makes the target stop its work on the request.
    pub fn close(&self) {
        self.0.task.0.abort();
    }
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request and waits for the head of its response. A request that an
    /// idle connection could not send is sent on another connection.
    ///
    /// # Errors
    ///
    /// When there is no response; the error shows whether the target may have
    /// processed the request.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        let mut meter = Meter::default();
        self.send_metered(request, &mut meter, || {}).await
    }

    /// Does the same as [`Self::send`], and calls `on_send` each time when the request
    /// is sent on a connection. `meter` becomes the meter of the connection, also if
    /// the caller stops waiting.
    ///
    /// # Errors
    ///
    /// See [`Self::send`].
    pub async fn send_metered(
        &self,
        mut request: Request<Full<Bytes>>,
        meter: &mut Meter,
        mut on_send: impl FnMut(),
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        loop {
            let idle = self.take_idle();
            let fresh = idle.is_none();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.connect().await.map_err(SendError::NotSent)?,
            };
            if !fresh && !is_ready(&mut connection).await {
                continue;
            }
            on_send();
            *meter = connection.meter.clone();
            meter.start();
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    meter.stop();
                    connection.reused = !fresh;
                    return Ok((response, Lease(connection)));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if !fresh => request = unsent,
                    Some(_) => {
                        let fault = Fault::new("send request", self.address, error.into_error());
                        return Err(SendError::NotSent(fault));
                    }
                    None => return Err(self.response_error(error.into_error())),
                },
            }
        }
    }

    fn response_error(&self, error: hyper::Error) -> SendError {
        let is = |test: fn(&io::Error) -> bool| io_error(&error).is_some_and(test);
        let timed_out = is(|error| error.kind() == io::ErrorKind::TimedOut);
        let is_endless = is(|error| error.get_ref().is_some_and(|it| it.is::<HeadTooLong>()));
        let fault = Fault::new("read response", self.address, error);
        match (timed_out, is_endless) {
            (true, _) => SendError::Unresponsive(fault),
            (_, true) => SendError::Endless(fault),
            _ => SendError::Closed(fault),
        }
    }

    /// Opens a new connection to the target, to find out whether it is running.
    ///
    /// While a process ends, its listener may accept connections for some
    /// milliseconds after the others were closed; these are closed with it.
    pub async fn probe(&self) -> Reachability {
        for _ in 0..MAX_PROBES {
            match self.connect().await {
                Ok(connection) => {
                    time::sleep(PROBE_TIME).await;
                    if !connection.sender.is_closed() {
                        self.release(Lease(connection), None, 1);
                        return Reachability::Open;
                    }
                }
                Err(fault) => {
                    tracing::debug!(event = "target_unreachable", %fault);
                    return reachability(&fault);
                }
            }
        }
        Reachability::Open
    }

    /// Returns a connection to the pool after its response has been read completely.
    ///
    /// `idle` is the idle timeout that the target announced. The connection is
    /// closed if the pool already holds `max_idle` connections.
    pub fn release(&self, lease: Lease, idle: Option<span::Span>, max_idle: usize) {
        let named = idle.map(|idle| idle.as_micros().saturating_sub(IDLE_MARGIN.as_micros()));
        let limit = IDLE_TIMEOUT.as_micros();
        let time = span::Span::from_micros(named.unwrap_or(limit).min(limit));
        let mut kept = self.idle();
        if time > span::Span::ZERO && kept.len() < max_idle {
            kept.push(Idle {
                connection: lease.0,
                until: Instant::now() + time.duration(),
            });
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle();
        idle.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        idle.pop().map(|idle| idle.connection)
    }

    async fn connect(&self) -> Result<Connection, Fault> {
        const STEP: &str = "connect";
        let connect = TcpStream::connect(self.address);
        let stream = time::timeout(CONNECT_TIMEOUT.duration(), connect).await;
        let stream = stream.at(STEP, self.address)?.at(STEP, self.address)?;
        configure_socket(&stream, ACK_TIMEOUT.duration()).at(STEP, self.address)?;
        let meter = Meter::default();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(Metered::new(stream, meter.clone())))
            .await
            .at(STEP, self.address)?;
        let address = self.address;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(event = "target_connection", %address, %error);
            }
        });
        Ok(Connection {
            sender,
            meter,
            reused: false,
            task: ConnectionTask(task.abort_handle()),
        })
    }
}

/// Returns whether an idle connection accepts a request. It does not while the
/// body of the preceding request is still being sent.
async fn is_ready(connection: &mut Connection) -> bool {
    let ready = time::timeout(READY_TIMEOUT, connection.sender.ready());
    matches!(ready.await, Ok(Ok(())))
}

/// Returns what a failed connection attempt says of the target.
fn reachability(fault: &Fault) -> Reachability {
    match fault.cause.downcast_ref::<io::Error>() {
        Some(error) if error.kind() == io::ErrorKind::ConnectionRefused => Reachability::Refused,
        _ => Reachability::Silent,
    }
}

/// Returns the error of the connection that caused an error, if there was one.
fn io_error(error: &hyper::Error) -> Option<&io::Error> {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(io) = cause.downcast_ref::<io::Error>() {
            return Some(io);
        }
        source = cause.source();
    }
    None
}

/// Disables Nagle's algorithm and sets the TCP user timeout, after which a
/// connection whose peer acknowledges no bytes is closed.
///
/// # Errors
///
/// When a socket option cannot be set.
pub fn configure_socket(stream: &TcpStream, ack_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(ack_timeout))
}
