//! Connections to other processes: one multiplexed HTTP/2 connection to each.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use base::fault::{At, Fault};
use bytes::Bytes;
use futures_util::{
    FutureExt,
    future::{BoxFuture, Shared},
};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http2::{self, SendRequest},
};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use prost::Message;
use rustls_pki_types::ServerName;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    time,
};
use tokio_rustls::TlsConnector;
use wire::frame;

use crate::{failure::Failure, serve};

/// Time to connect and complete the handshakes.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

type Sender = SendRequest<Full<Bytes>>;
type Connecting = Shared<BoxFuture<'static, Result<Sender, Arc<Fault>>>>;

/// The connections of this process to others.
pub struct Links {
    tls: Option<TlsConnector>,
    open: Mutex<BTreeMap<SocketAddr, Connecting>>,
}

/// A shared error of a connection that several requests waited for.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
struct SharedFault(Arc<Fault>);

/// A reply with a status other than 200.
#[derive(Debug, thiserror::Error)]
#[error("peer replied with status {0}")]
struct Status(StatusCode);

/// A body that held no message.
#[derive(Debug, thiserror::Error)]
#[error("peer replied without a message")]
struct Empty;

impl Links {
    /// Makes an empty set; `tls` is set when processes use mutual TLS.
    pub fn new(tls: Option<TlsConnector>) -> Self {
        Self {
            tls,
            open: Mutex::new(BTreeMap::new()),
        }
    }

    /// Sends a call and returns the response once its head has arrived.
    ///
    /// # Errors
    ///
    /// When the connection cannot be made, which proves that nothing arrived;
    /// when it breaks; and when the peer replies with another status than 200.
    pub async fn call(
        &self,
        peer: SocketAddr,
        path: &'static str,
        message: &impl Message,
    ) -> Result<Response<Incoming>, Failure> {
        let mut sender = self.sender(peer).await.map_err(Failure::NotSent)?;
        let request = Request::post(path)
            .body(Full::new(frame::encode(message)))
            .at("build call", peer)
            .map_err(Failure::NotSent)?;
        let sent = sender.send_request(request).await.at(path, peer);
        let response = sent.map_err(Failure::Broken)?;
        match response.status() {
            StatusCode::OK => Ok(response),
            status => Err(Failure::Broken(Fault::new(path, peer, Status(status)))),
        }
    }

    /// Reads the messages of a whole response.
    ///
    /// # Errors
    ///
    /// When the body is cut or not valid.
    pub async fn read_all<M: Message + Default>(
        peer: SocketAddr,
        path: &'static str,
        response: Response<Incoming>,
    ) -> Result<Vec<M>, Fault> {
        let mut body = response.into_body();
        let mut reader = frame::Reader::new(frame::MAX_RUN);
        let mut messages = Vec::new();
        while let Some(piece) = body.frame().await {
            if let Ok(data) = piece.at(path, peer)?.into_data() {
                reader.push(&data);
            }
            while let Some(message) = reader.next_message().at(path, peer)? {
                messages.push(message);
            }
        }
        reader.finish().at(path, peer)?;
        Ok(messages)
    }

    /// Reads the one message of a response.
    ///
    /// # Errors
    ///
    /// As [`Links::read_all`], and when there is no message.
    pub async fn read<M: Message + Default>(
        peer: SocketAddr,
        path: &'static str,
        response: Response<Incoming>,
    ) -> Result<M, Fault> {
        let mut messages = Self::read_all(peer, path, response).await?;
        messages.pop().ok_or(Empty).at(path, peer)
    }

    /// Forgets the connections to all peers but those that are kept. A
    /// connection in use closes after its last request.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.lock().retain(|peer, _| keep(peer));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Connecting>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn sender(&self, peer: SocketAddr) -> Result<Sender, Fault> {
        let connecting = self.connecting(peer);
        connecting.await.map_err(SharedFault).at("connect", peer)
    }

    /// Returns the present connection or starts a new one; concurrent requests
    /// share one attempt.
    fn connecting(&self, peer: SocketAddr) -> Connecting {
        let mut open = self.lock();
        if let Some(connecting) = open.get(&peer) {
            match connecting.peek() {
                Some(Ok(sender)) if sender.is_closed() => {}
                Some(Err(_)) => {}
                _ => return connecting.clone(),
            }
        }
        let tls = self.tls.clone();
        let connecting = async move {
            time::timeout(CONNECT_TIMEOUT, connect(peer, tls))
                .await
                .unwrap_or_else(|cause| Err(Fault::new("connect", peer, cause)))
                .map_err(Arc::new)
        }
        .boxed()
        .shared();
        open.insert(peer, connecting.clone());
        connecting
    }
}

async fn connect(peer: SocketAddr, tls: Option<TlsConnector>) -> Result<Sender, Fault> {
    let stream = TcpStream::connect(peer).await.at("connect", peer)?;
    stream.set_nodelay(true).ok();
    let Some(tls) = tls else {
        return handshake(peer, stream).await;
    };
    let name = ServerName::IpAddress(peer.ip().into());
    let stream = tls.connect(name, stream).await.at("TLS handshake", peer)?;
    handshake(peer, stream).await
}

async fn handshake<S>(peer: SocketAddr, stream: S) -> Result<Sender, Fault>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let (sender, connection) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(serve::STREAM_WINDOW)
        .initial_connection_window_size(serve::CONNECTION_WINDOW)
        .max_send_buf_size(serve::STREAM_WINDOW as usize)
        .keep_alive_interval(serve::PING_INTERVAL)
        .keep_alive_timeout(serve::PING_TIMEOUT)
        .handshake(TokioIo::new(stream))
        .await
        .at("HTTP/2 handshake", peer)?;
    tokio::spawn(async move {
        if let Err(cause) = connection.await {
            tracing::debug!(event = "link_closed", %peer, %cause);
        }
    });
    Ok(sender)
}
