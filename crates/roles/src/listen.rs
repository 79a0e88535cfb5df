//! What both roles need in order to start: listeners and certificates.

use std::net::SocketAddr;

use base::{
    fault::{At, Fault},
    size, span,
};
use conf::settings;
use tokio::{net::TcpListener, sync::mpsc};
use tokio_rustls::TlsConnector;

use crate::{node, operate, operate_serve, serve, tls};

/// Connections from other processes at once: every process of a fleet may have
/// one, and several during reconnection.
const PEER_CONNECTIONS: usize = 16 * 1024;

/// Concurrent requests of one other process.
const PEER_STREAMS: u32 = 16 * 1024;

/// Concurrent requests of one caller's HTTP/2 connection.
const CALLER_STREAMS: u32 = 256;

/// Connections to the health pages.
const HEALTH_CONNECTIONS: usize = 64;

/// Headers of calls between processes, in bytes.
const PEER_HEADERS: size::Size = size::Size(16 * 1024);

fn files(certificate: &settings::Certificate) -> tls::Files {
    tls::Files {
        cert: certificate.certificate.clone(),
        key: certificate.key.clone(),
    }
}

fn peer_files(certificate: &settings::PeerCertificate) -> tls::Files {
    tls::Files {
        cert: certificate.certificate.clone(),
        key: certificate.key.clone(),
    }
}

/// Makes the connector to other processes, when they use TLS.
pub fn connector(settings: &settings::Settings) -> Result<Option<TlsConnector>, Fault> {
    let Some(peers) = &settings.tls.peers else {
        return Ok(None);
    };
    tls::peer_connector(&peer_files(peers), &peers.authority).map(Some)
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Fault> {
    TcpListener::bind(address).await.at("listen", address)
}

/// Makes the listener for other processes.
pub async fn peers(
    settings: &settings::Settings,
    handler: serve::Handler,
) -> Result<serve::Server, Fault> {
    let tls = match &settings.tls.peers {
        Some(peers) => Some(tls::peer_acceptor(&peer_files(peers), &peers.authority)?),
        None => None,
    };
    Ok(serve::Server {
        name: "peers",
        listener: bind(settings.listen.peers).await?,
        tls,
        versions: serve::Versions::Http2,
        limits: serve::Limits {
            connections: PEER_CONNECTIONS,
            headers: PEER_HEADERS,
            header_time: span::Span::from_secs(5),
            streams: PEER_STREAMS,
        },
        handler,
    })
}

/// Makes the listener for callers.
pub async fn callers(
    settings: &settings::Settings,
    address: SocketAddr,
    handler: serve::Handler,
) -> Result<serve::Server, Fault> {
    let tls = match &settings.tls.callers {
        Some(certificate) => Some(tls::caller_acceptor(&files(certificate))?),
        None => None,
    };
    Ok(serve::Server {
        name: "callers",
        listener: bind(address).await?,
        tls,
        versions: serve::Versions::Both,
        limits: serve::Limits {
            connections: settings.limits.connections as usize,
            headers: settings.limits.header,
            header_time: settings.limits.header_time,
            streams: CALLER_STREAMS,
        },
        handler,
    })
}

/// Makes the listener for operators, who connect with the same certificate as
/// callers.
pub async fn operators(
    settings: &settings::Settings,
    operators: operate::Operators,
) -> Result<Option<operate_serve::Server>, Fault> {
    let Some(address) = settings.listen.operators else {
        return Ok(None);
    };
    let tls = match &settings.tls.callers {
        Some(certificate) => Some(tls::caller_acceptor(&files(certificate))?),
        None => None,
    };
    Ok(Some(operate_serve::Server {
        listener: bind(address).await?,
        tls,
        operators,
    }))
}

/// Makes the listener for health checks.
pub async fn health(
    settings: &settings::Settings,
    handler: serve::Handler,
) -> Result<serve::Server, Fault> {
    Ok(serve::Server {
        name: "health",
        listener: bind(settings.listen.health).await?,
        tls: None,
        versions: serve::Versions::Both,
        limits: serve::Limits {
            connections: HEALTH_CONNECTIONS,
            headers: PEER_HEADERS,
            header_time: span::Span::from_secs(5),
            streams: CALLER_STREAMS,
        },
        handler,
    })
}

/// Passes the signals of the common state on as events of a role.
pub fn forward<E: Send + 'static>(
    events: mpsc::UnboundedSender<E>,
    wrap: fn(node::Signal) -> E,
) -> mpsc::UnboundedSender<node::Signal> {
    let (sender, mut signals) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Some(signal) = signals.recv().await {
            events.send(wrap(signal)).ok();
        }
    });
    sender
}
