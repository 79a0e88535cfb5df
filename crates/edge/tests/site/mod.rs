//! Runs a router in the test process, for use with a fake table and fake targets.

// Each test file uses a part of this module.
#![allow(dead_code)]

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use edge::{control, ready, server::Server, shared::Shared};
use fakes::site::Ports;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use platform::settings::Settings;
use tokio::{net::TcpStream, sync::watch, time};

/// Timeout for conditions that should hold within two seconds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

/// API key of the only team.
pub const KEY: &str = "key-1";

/// A running router.
pub struct Router {
    /// State shared by the router's threads.
    pub shared: Arc<Shared>,
    server: Arc<Server>,
    close: watch::Sender<bool>,
}

/// A response as a caller receives it.
#[derive(Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, as far as it was received.
    pub body: Bytes,
    /// Whether the body was received completely.
    pub whole: bool,
}

/// Returns settings for a router on free ports.
pub fn settings(table: SocketAddr, seeds: &[SocketAddr]) -> Settings {
    let ports = Ports::free().expect("free ports");
    let text = ports.settings(&format!("router-{}", ports.peers), table);
    let mut settings = Settings::decode(&text).expect("valid settings");
    settings.seeds = seeds.to_vec();
    settings
}

/// Starts a router.
pub async fn router(settings: Settings) -> Router {
    let shared = Shared::new(settings);
    let (close, closing) = watch::channel(false);
    let server = Server::serve(shared.clone(), closing)
        .await
        .expect("callers' address");
    ready::serve(shared.clone())
        .await
        .expect("readiness address");
    tokio::spawn(control::run(shared.clone()));
    Router {
        shared,
        server,
        close,
    }
}

impl Router {
    /// Begins a graceful stop: closes the listener and idle connections.
    pub fn close(&self) {
        self.shared
            .stopping
            .store(true, std::sync::atomic::Ordering::Relaxed);
        self.close.send_replace(true);
    }

    /// Stops the router as after a SIGTERM.
    pub async fn stop(&self) {
        self.server.stop(&self.close).await;
    }

    /// Waits until the router is ready for callers.
    pub async fn ready(&self) {
        until("the router is ready", || self.shared.is_ready()).await;
    }

    /// Sends a request with the API key to a path, and reads the response.
    pub async fn call(&self, path: &str, attempt: &str) -> Response {
        self.send(request(path, attempt)).await
    }

    /// Sends a request and reads the response.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Response {
        self.try_send(request).await.expect("a response")
    }

    /// Does the same, and returns `None` if the connection ends without the head of a
    /// response.
    pub async fn try_send(&self, request: Request<Full<Bytes>>) -> Option<Response> {
        let stream = TcpStream::connect(self.shared.settings.callers)
            .await
            .expect("connects");
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .expect("speaks");
        let task = tokio::spawn(connection);
        let response = sender.send_request(request).await.ok()?;
        let (head, mut body) = response.into_parts();
        let mut read = Vec::new();
        let mut whole = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => read.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => {
                    whole = false;
                    break;
                }
            }
        }
        task.abort();
        Some(Response {
            status: head.status,
            headers: head.headers,
            body: read.into(),
            whole,
        })
    }
}

/// Creates a request with the API key and a deadline of two seconds.
pub fn request(path: &str, attempt: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", "h.example")
        .header("x-attempt-id", attempt)
        .header("x-deadline-ms", "2000")
        .header("api-key", KEY)
        .body(Full::new(Bytes::from_static(b"the body")))
        .expect("valid")
}

/// Waits until a condition holds; `what` describes it if it does not.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        time::sleep(Duration::from_millis(10)).await;
    }
}
