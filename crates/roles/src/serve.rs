//! Accepts connections, with limits and graceful shutdown.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{size, span};
use futures_util::{FutureExt, future::BoxFuture};
use http::{Request, Response};
use hyper::{body::Incoming, service};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;

use crate::body;

/// Answers one request.
pub type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Response<body::Body>> + Send + Sync>;

/// Which versions of HTTP a listener speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Versions {
    /// HTTP/1.1 and HTTP/2, for callers.
    Both,
    /// HTTP/2, for other processes.
    Http2,
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Open connections; further ones wait in the backlog of the kernel.
    pub connections: usize,
    /// Bytes of the headers of one request.
    pub headers: size::Size,
    /// Time for a caller to send the headers, and for a TLS handshake.
    pub header_time: span::Span,
    /// Concurrent streams of one HTTP/2 connection.
    pub streams: u32,
}

/// Largest number of headers in one request.
const MAX_HEADERS: usize = 100;

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER: usize = 8192;

/// Window of one HTTP/2 stream in bytes; bounds what waits for a slow reader.
pub const STREAM_WINDOW: u32 = 16 * 1024;

/// Window of an HTTP/2 connection in bytes; far above the windows of all its
/// streams, so that streams with slow readers do not block the others.
pub const CONNECTION_WINDOW: u32 = 1 << 30;

/// Window of one stream from router to agent in bytes; a request body is sent
/// at once, because it is one message.
const REQUEST_WINDOW: u32 = 1 << 20;

/// First bytes of an HTTP/2 connection, which no method of HTTP/1.1 begins with.
const HTTP2_START: &[u8; 3] = b"PRI";

/// Interval of HTTP/2 pings; with [`PING_TIMEOUT`] it bounds the time until a
/// cut link or a stopped process is noticed.
pub const PING_INTERVAL: Duration = Duration::from_secs(2);

/// Time without a reply to a ping after which the connection is closed.
pub const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A listening server.
pub struct Server {
    /// Name of the listener in log lines.
    pub name: &'static str,
    /// Accepts the connections.
    pub listener: TcpListener,
    /// Set when connections use TLS.
    pub tls: Option<TlsAcceptor>,
    /// Spoken versions.
    pub versions: Versions,
    /// Limits.
    pub limits: Limits,
    /// Answers the requests.
    pub handler: Handler,
}

impl Server {
    /// Serves until `stop` is cancelled, then lets every open request finish.
    pub async fn run(self, stop: CancellationToken) {
        let graceful = GracefulShutdown::new();
        let open = Arc::new(Semaphore::new(self.limits.connections));
        let builder = Arc::new(builder(self.versions, &self.limits));
        loop {
            let permit = tokio::select! {
                () = stop.cancelled() => break,
                permit = open.clone().acquire_owned() => permit.expect("the semaphore is never closed"),
            };
            let (stream, peer) = tokio::select! {
                () = stop.cancelled() => break,
                accepted = self.listener.accept() => match accepted {
                    Ok(accepted) => accepted,
                    Err(cause) => {
                        tracing::warn!(event = "accept_failed", listener = self.name, %cause);
                        time::sleep(ACCEPT_PAUSE).await;
                        continue;
                    }
                },
            };
            stream.set_nodelay(true).ok();
            let connection = Connection {
                name: self.name,
                peer,
                tls: self.tls.clone(),
                time: self.limits.header_time.duration(),
                versions: self.versions,
                builder: builder.clone(),
                handler: self.handler.clone(),
            };
            let connected = connection.run(stream, graceful.watcher(), stop.clone());
            tokio::spawn(async move {
                connected.await;
                drop(permit);
            });
        }
        drop(self.listener);
        graceful.shutdown().await;
    }
}

fn builder(versions: Versions, limits: &Limits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time.duration())
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.headers.as_usize().max(MIN_BUFFER));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(limits.streams)
        .max_header_list_size(u32::try_from(limits.headers.0).unwrap_or(u32::MAX))
        .max_send_buf_size(STREAM_WINDOW as usize)
        .initial_stream_window_size(REQUEST_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    match versions {
        Versions::Both => builder,
        Versions::Http2 => builder.http2_only(),
    }
}

struct Connection {
    name: &'static str,
    peer: SocketAddr,
    tls: Option<TlsAcceptor>,
    time: Duration,
    versions: Versions,
    builder: Arc<auto::Builder<TokioExecutor>>,
    handler: Handler,
}

type Watcher = hyper_util::server::graceful::Watcher;

impl Connection {
    /// Serves the connection. The futures are boxed: an open stream holds its
    /// connection's future, which otherwise has room for a TLS handshake and
    /// for a copy of the connection at each level of nesting (8.5 KB).
    fn run(
        self,
        stream: TcpStream,
        watcher: Watcher,
        stop: CancellationToken,
    ) -> BoxFuture<'static, ()> {
        match (self.tls.clone(), self.versions) {
            (Some(tls), _) => self.handshake(tls, stream, watcher).boxed(),
            (None, Versions::Both) => self.detect(stream, watcher, stop).boxed(),
            (None, Versions::Http2) => self.http(stream, watcher),
        }
    }

    /// Finds out whether the caller speaks HTTP/1.1 without taking bytes off the
    /// stream. hyper's own detection reads 24 bytes first, after which hyper
    /// makes the read buffer of the connection twice as large, 16 KiB.
    async fn detect(mut self, stream: TcpStream, watcher: Watcher, stop: CancellationToken) {
        let mut first = [0; HTTP2_START.len()];
        let peeked = tokio::select! {
            () = stop.cancelled() => return,
            peeked = time::timeout(self.time, stream.peek(&mut first)) => peeked,
        };
        let Ok(Ok(count)) = peeked else {
            return;
        };
        if !HTTP2_START.starts_with(&first[..count]) {
            self.builder = Arc::new((*self.builder).clone().http1_only());
        }
        self.http(stream, watcher).await;
    }

    async fn handshake(self, tls: TlsAcceptor, stream: TcpStream, watcher: Watcher) {
        let accepted = time::timeout(self.time, tls.accept(stream).boxed()).await;
        match accepted {
            Ok(Ok(stream)) => self.http(stream, watcher).await,
            Ok(Err(cause)) => {
                tracing::info!(event = "handshake_failed", listener = self.name, peer = %self.peer, %cause);
            }
            Err(_) => {
                tracing::info!(event = "handshake_timeout", listener = self.name, peer = %self.peer);
            }
        }
    }

    fn http<S>(&self, stream: S, watcher: Watcher) -> BoxFuture<'static, ()>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let handler = self.handler.clone();
        let service = service::service_fn(move |request| {
            let response = handler(request);
            async move { Ok::<_, std::convert::Infallible>(response.await) }
        });
        let connection = self.builder.serve_connection(TokioIo::new(stream), service);
        let (name, peer) = (self.name, self.peer);
        watcher
            .watch(connection.into_owned())
            .map(move |served| {
                if let Err(cause) = served {
                    tracing::debug!(event = "connection_closed", listener = name, %peer, %cause);
                }
            })
            .boxed()
    }
}
