//! Minimal HTTP servers that respond by the URI alone, for readiness and metrics.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use base::{
    fault::{At, Fault},
    span,
};
use http::{Request, Response, Uri};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use inlet::memory::Client;
use tokio::{
    net::{TcpListener, TcpStream},
    task, time,
};

use crate::{
    body::Body,
    clients::{Connections, LimitReached, Slot, UNREAD_TIMEOUT, WatchedStream},
    shared::Shared,
    upstream,
};

/// Delay before the next attempt after a connection could not be accepted, such as
/// when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Largest head of a request, in bytes; also the size of the read buffer. The longest
/// question of [`crate::explain`] fits.
const MAX_HEAD: usize = 20 * 1024;

/// Time after which a connection without a complete head is closed.
const HEAD_TIMEOUT: span::Span = span::Span::from_secs(5);

/// Time after which an idle connection is closed, longer than the usual interval
/// between two scrapes.
const IDLE_TIMEOUT: span::Span = span::Span::from_secs(90);

/// Interval at which a connection is checked for its timeouts.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// TCP user timeout: a connection is closed if sent bytes are not acknowledged for
/// this long.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Responds to every request on an address with the result of `respond`, until the
/// runtime ends. At most `limit` connections are open.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve(
    shared: &Arc<Shared>,
    address: SocketAddr,
    limit: usize,
    respond: impl Fn(&Uri) -> Response<Body> + Send + Sync + 'static,
) -> Result<(), Fault> {
    let listener = TcpListener::bind(address).await.at("listen", address)?;
    let respond = Arc::new(respond);
    let connections = Connections::new(limit);
    let shared = shared.clone();
    tokio::spawn(async move {
        loop {
            let accepted = listener.accept().await;
            let Some((stream, slot)) = admit(&shared, &connections, accepted).await else {
                continue;
            };
            let respond = respond.clone();
            tokio::spawn(connection(shared.clone(), stream, slot, respond));
        }
    });
    Ok(())
}

/// Admits an accepted connection. At the limit, other tasks run before the next one
/// is accepted, so that a connection which gave way is closed, and one whose request
/// has arrived is served before it may have to give way itself.
pub async fn admit(
    shared: &Shared,
    connections: &Arc<Connections>,
    accepted: io::Result<(TcpStream, SocketAddr)>,
) -> Option<(TcpStream, Slot)> {
    match accepted {
        Ok((stream, address)) => {
            let client = Arc::new(Client::new(address.ip()));
            let slot = place(shared, connections, client);
            if connections.is_full() {
                task::yield_now().await;
            }
            slot.map(|slot| (stream, slot))
        }
        Err(error) => {
            accept_failed(shared, &error).await;
            None
        }
    }
}

/// Returns the place of a new connection, unless it is refused.
pub fn place(shared: &Shared, connections: &Arc<Connections>, client: Arc<Client>) -> Option<Slot> {
    let address = client.address();
    let admission = connections.admit(shared.clock.now(), client);
    if admission.evicts {
        shared.limit_reached(LimitReached::Evicted, &address);
    }
    if admission.slot.is_none() {
        shared.limit_reached(LimitReached::Refused, &address);
    }
    admission.slot
}

/// Records that a connection could not be accepted, and waits until another attempt
/// is worthwhile.
pub async fn accept_failed(shared: &Shared, error: &io::Error) {
    shared.limit_reached(LimitReached::Accept, error);
    time::sleep(ACCEPT_RETRY_DELAY).await;
}

async fn connection(
    shared: Arc<Shared>,
    stream: TcpStream,
    slot: Slot,
    respond: Arc<impl Fn(&Uri) -> Response<Body>>,
) {
    if let Err(error) = upstream::configure_socket(&stream, ACK_TIMEOUT) {
        tracing::debug!(event = "client_options", %error);
    }
    let state = &slot.connection;
    let service = service_fn(|request: Request<Incoming>| {
        let (state, shared, respond) = (&state, &shared, &respond);
        async move {
            state.begin();
            state.take_turn().await;
            let response = respond(request.uri());
            state.end(shared.clock.now());
            Ok::<_, Infallible>(response)
        }
    });
    let stream = WatchedStream::new(stream, state.clone(), shared.clock);
    let mut builder = http1::Builder::new();
    builder.half_close(false).max_buf_size(MAX_HEAD);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        tokio::select! {
            // After a freeze of the process, bytes that have arrived are read before
            // timeouts are checked.
            biased;
            _ = connection.as_mut() => return,
            () = state.evicted() => return,
            () = time::sleep(CHECK_INTERVAL) => {}
        }
        let now = shared.clock.now();
        if state.is_unread(UNREAD_TIMEOUT) {
            return shared.limit_reached(LimitReached::Unread, &state.client.address());
        }
        if state.head_age(now) > HEAD_TIMEOUT {
            return shared.limit_reached(LimitReached::LateHead, &state.client.address());
        }
        if state.idle(now) > IDLE_TIMEOUT && !state.is_busy() {
            return;
        }
    }
}
