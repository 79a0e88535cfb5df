//! A minimal HTTP/1.1 client for tests: one connection for each request.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

/// Longest wait for a response; a test fails rather than hangs.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A whole response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body, as far as it was received.
    pub body: Bytes,
    /// Whether the body was received in full.
    pub complete: bool,
}

impl Reply {
    /// Returns a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> io::Result<T> {
        serde_json::from_slice(&self.body).map_err(io::Error::other)
    }
}

/// Sends a request and returns the response's head; its body follows.
pub async fn open(peer: SocketAddr, request: Request<Bytes>) -> io::Result<Response<Incoming>> {
    let stream = TcpStream::connect(peer).await?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(io::Error::other)?;
    tokio::spawn(connection);
    let (mut parts, body) = request.into_parts();
    let host = peer.to_string().parse().map_err(io::Error::other)?;
    parts.headers.insert(header::HOST, host);
    let request = Request::from_parts(parts, Full::new(body));
    let response = sender.send_request(request).await;
    response.map_err(io::Error::other)
}

/// Sends a request and reads the response as far as it goes.
pub async fn send(peer: SocketAddr, request: Request<Bytes>) -> io::Result<Reply> {
    let reply = async {
        let response = open(peer, request).await?;
        Ok(read(response).await)
    };
    match tokio::time::timeout(TIMEOUT, reply).await {
        Ok(reply) => reply,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Reads a response as far as it goes.
pub async fn read(response: Response<Incoming>) -> Reply {
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let complete = loop {
        match body.frame().await {
            Some(Ok(frame)) => bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    Reply {
        status: parts.status,
        headers: parts.headers,
        body: bytes.into(),
        complete,
    }
}
