//! HTTP/1.1 requests to a service of the platform.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use base::span;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use crate::error::Error;

/// Largest reply body, in bytes.
const MAX_REPLY: usize = 64 * 1024 * 1024;

/// Time after which to retry when the reply has no `Retry-After`.
const DEFAULT_RETRY_AFTER: span::Span = span::Span::from_secs(1);

/// TCP keep-alive time and interval. A connection can fail without a reset while a
/// long poll waits for a change.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);

/// Unanswered TCP keep-alive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// A complete reply with a status that the protocol allows.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// Sends requests to one service.
#[derive(Clone, Debug)]
pub struct Client {
    peer: SocketAddr,
    timeout: span::Span,
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Makes a client that opens connections on demand, and reuses them if they are
    /// `pooled`.
    pub fn new(peer: SocketAddr, timeout: span::Span, pooled: bool) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_TIME));
        connector.set_keepalive_interval(Some(KEEPALIVE_TIME));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        // Shorter than the timeout of the request, so that a failure to connect is
        // reported as such and not as a lost reply.
        connector.set_connect_timeout(Some(timeout.duration() / 2));
        // The pool retries a request only when none of it was written, which is
        // safe for writes too.
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(if pooled { usize::MAX } else { 0 })
            .build(connector);
        Self {
            peer,
            timeout,
            inner,
        }
    }

    /// Returns the service's address.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends a request; statuses other than 2xx and those in `allowed` are errors.
    pub async fn send(
        &self,
        request: http::request::Builder,
        path: &str,
        body: Bytes,
        allowed: &[StatusCode],
    ) -> Result<Reply, Error> {
        let begun = AtomicBool::new(false);
        self.send_observed(request, path, body, allowed, &begun)
            .await
    }

    /// Does the same as [`Self::send`], and sets `begun` when the head of a reply has
    /// arrived; a large body may take seconds.
    pub async fn send_observed(
        &self,
        request: http::request::Builder,
        path: &str,
        body: Bytes,
        allowed: &[StatusCode],
        begun: &AtomicBool,
    ) -> Result<Reply, Error> {
        let uri: Uri = format!("http://{}{path}", self.peer)
            .parse()
            .map_err(|error| Error::Request(Box::new(error)))?;
        let request = request
            .uri(uri)
            .body(Full::new(body))
            .map_err(|error| Error::Request(Box::new(error)))?;
        match tokio::time::timeout(self.timeout.duration(), self.exchange(request, begun)).await {
            Ok(reply) => check(reply?, allowed),
            Err(_) => Err(Error::Timeout(self.timeout)),
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        begun: &AtomicBool,
    ) -> Result<Reply, Error> {
        let response = self.inner.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::Connect(error)
            } else {
                Error::Broken(Box::new(error))
            }
        })?;
        begun.store(true, Ordering::Relaxed);
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_REPLY).collect().await;
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body: body.map_err(Error::Broken)?.to_bytes(),
        })
    }
}

fn check(reply: Reply, allowed: &[StatusCode]) -> Result<Reply, Error> {
    let status = reply.status;
    if status.is_success() || allowed.contains(&status) {
        return Ok(reply);
    }
    let text = || String::from_utf8_lossy(&reply.body).into_owned();
    Err(match status {
        StatusCode::TOO_MANY_REQUESTS => Error::Limited(retry_after(&reply.headers)),
        StatusCode::SERVICE_UNAVAILABLE => Error::Unavailable(retry_after(&reply.headers)),
        status if status.is_client_error() => Error::Rejected(status, text()),
        status => Error::Failed(status, text()),
    })
}

fn retry_after(headers: &HeaderMap) -> span::Span {
    let seconds = headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    seconds.map_or(DEFAULT_RETRY_AFTER, span::Span::from_secs)
}

/// Percent-encodes a key for a path or a query.
pub fn escape(key: &str) -> String {
    percent_encoding::utf8_percent_encode(key, percent_encoding::NON_ALPHANUMERIC).to_string()
}
