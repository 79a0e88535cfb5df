//! Connections to one target.

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

/// Longest time for a new connection. The path takes a few milliseconds; a
/// target that drops the first packet is better passed over.
const CONNECT_TIMEOUT: span::Span = span::Span::from_millis(400);

/// Time after which sent bytes that the target's host did not acknowledge break
/// the connection.
const ACK_TIMEOUT: span::Span = span::Span::from_millis(900);

/// Bytes that are read ahead from a connection at most, and so the longest head of
/// a response. A target may send a head without end.
const MAX_BUFFER: usize = 64 * 1024;

/// Longest time until a kept connection takes a request; a new connection takes
/// a few milliseconds.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Longest time that an idle connection is kept, where the target names none.
const IDLE_TIMEOUT: span::Span = span::Span::from_secs(4);

/// Time before the end that the target names at which an idle connection is
/// given up, because a request may cross its close.
const IDLE_MARGIN: span::Span = span::Span::from_millis(700);

/// Why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of it was sent.
    NotSent(Fault),
    /// It may have run; the connection was closed.
    Closed(Fault),
    /// It may have run; the target's host acknowledges nothing.
    Unresponsive(Fault),
}

/// Kept connections to one target.
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
    _task: ConnectionTask,
}

/// Closes the connection when it is dropped, which cancels the request on it.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection while a response is read from it.
#[derive(Debug)]
pub struct Lease(Connection);

impl Pool {
    /// Makes an empty pool.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// When there is no response; the failure says whether the request may have
    /// run.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
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
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, Lease(connection))),
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
        let timed_out = is_timeout(&error);
        let fault = Fault::new("read response", self.address, error);
        match timed_out {
            true => SendError::Unresponsive(fault),
            false => SendError::Closed(fault),
        }
    }

    /// Returns whether a new connection can be made.
    pub async fn is_reachable(&self) -> bool {
        match self.connect().await {
            Ok(connection) => {
                self.release(Lease(connection), None, 1);
                true
            }
            Err(fault) => {
                tracing::debug!(event = "target_unreachable", %fault);
                false
            }
        }
    }

    /// Keeps a connection whose response was read to its end.
    ///
    /// `max_idle` is the number of idle connections that may be kept.
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
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER)
            .handshake(TokioIo::new(stream))
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
            _task: ConnectionTask(task.abort_handle()),
        })
    }
}

/// Returns whether a kept connection takes a request; one whose target still
/// reads the body of the request before it does not.
async fn is_ready(connection: &mut Connection) -> bool {
    let ready = time::timeout(READY_TIMEOUT, connection.sender.ready());
    matches!(ready.await, Ok(Ok(())))
}

/// Returns whether an error comes from a time-out of the connection.
fn is_timeout(error: &hyper::Error) -> bool {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(io) = cause.downcast_ref::<io::Error>() {
            return io.kind() == io::ErrorKind::TimedOut;
        }
        source = cause.source();
    }
    false
}

/// Breaks a connection whose peer acknowledges nothing for a time.
///
/// # Errors
///
/// When the system refuses an option.
pub fn configure_socket(stream: &TcpStream, ack_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(ack_timeout))
}
