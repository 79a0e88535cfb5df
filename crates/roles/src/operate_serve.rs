//! Accepts the connections of operators at a router.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::StreamExt;
use lang::api::{self, Operator as _};
use tarpc::server::{BaseChannel, Channel, Config};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};
use tokio_rustls::TlsAcceptor;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::operate::Operators;

/// Connections of operators at once. Each may make the router reserve the
/// memory of a largest request before its key is known: 8 MiB together.
const CONNECTIONS: usize = 32;

/// Requests of one connection that run at once; more of them wait.
const REQUESTS: usize = 8;

/// Time for the TLS handshake and the first request, so that connections
/// without a purpose do not take the place of others.
const FIRST_TIME: Duration = Duration::from_secs(10);

/// Time between two requests after which a connection is closed.
const IDLE_TIME: Duration = Duration::from_secs(600);

/// Time for the last answers of a connection to be sent.
const LAST_TIME: Duration = Duration::from_millis(200);

/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Where operators connect.
pub struct Server {
    /// The listening socket.
    pub listener: TcpListener,
    /// Set when operators connect with TLS.
    pub tls: Option<TlsAcceptor>,
    /// The service.
    pub operators: Operators,
}

impl Server {
    /// Accepts operators until `stop` is cancelled, then finishes the requests
    /// in progress.
    pub async fn run(self, stop: CancellationToken) {
        let open = Arc::new(Semaphore::new(CONNECTIONS));
        let connections = TaskTracker::new();
        while let Some((stream, peer)) = self.accept(&stop).await {
            let Ok(permit) = open.clone().try_acquire_owned() else {
                tracing::warn!(event = "operator_refused", %peer, reason = "connections");
                continue;
            };
            stream.set_nodelay(true).ok();
            let connection = self.operators.clone();
            let (tls, stop) = (self.tls.clone(), stop.clone());
            connections.spawn(async move {
                connect(connection, tls, stream, peer, stop).await;
                drop(permit);
            });
        }
        connections.close();
        connections.wait().await;
    }

    async fn accept(&self, stop: &CancellationToken) -> Option<(TcpStream, SocketAddr)> {
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return None,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok(accepted) => return Some(accepted),
                Err(cause) => {
                    tracing::warn!(event = "accept_failed", listener = "operators", %cause);
                    time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

async fn connect(
    operators: Operators,
    tls: Option<TlsAcceptor>,
    stream: TcpStream,
    peer: SocketAddr,
    stop: CancellationToken,
) {
    let Some(tls) = tls else {
        return serve(operators, stream, peer, stop).await;
    };
    match time::timeout(FIRST_TIME, tls.accept(stream)).await {
        Ok(Ok(stream)) => serve(operators, stream, peer, stop).await,
        Ok(Err(cause)) => {
            tracing::info!(event = "handshake_failed", listener = "operators", %peer, %cause);
        }
        Err(_) => tracing::info!(event = "handshake_timeout", listener = "operators", %peer),
    }
}

async fn serve<S>(operators: Operators, stream: S, peer: SocketAddr, stop: CancellationToken)
where
    S: AsyncRead + AsyncWrite + Send + 'static,
{
    let config = Config {
        pending_response_buffer: REQUESTS,
    };
    let channel = BaseChannel::new(config, api::router_side(stream));
    let requests = channel
        .max_concurrent_requests(REQUESTS)
        .execute(operators.serve());
    let mut requests = Box::pin(requests);
    let running = TaskTracker::new();
    let mut patience = FIRST_TIME;
    loop {
        let next = tokio::select! {
            () = stop.cancelled() => break,
            next = time::timeout(patience, requests.next()) => next,
        };
        match next {
            Ok(Some(request)) => {
                running.spawn(request);
            }
            Ok(None) => break,
            // An order that takes long keeps its connection.
            Err(_) if !running.is_empty() => {}
            Err(_) => {
                tracing::info!(event = "operator_idle", %peer);
                break;
            }
        }
        patience = IDLE_TIME;
    }
    finish(&running, requests).await;
}

/// Waits for the requests in progress, while the channel sends their answers.
async fn finish<R>(
    running: &TaskTracker,
    mut requests: impl futures_util::Stream<Item = R> + Unpin,
) {
    running.close();
    let drain = async { while requests.next().await.is_some() {} };
    tokio::select! {
        () = running.wait() => {}
        () = drain => running.wait().await,
    }
    // Polling the channel sends the last answers.
    time::timeout(LAST_TIME, requests.next()).await.ok();
}
