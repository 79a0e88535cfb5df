//! A router with a stand-in table and stand-in targets, in this process.

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

/// Longest wait for something that should happen within two seconds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Key of the only team.
pub const KEY: &str = "key-1";

/// A router of a site.
pub struct Router {
    /// What its threads share.
    pub shared: Arc<Shared>,
    close: watch::Sender<bool>,
}

/// A response to a caller.
#[derive(Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, as far as it came.
    pub body: Bytes,
    /// Whether the body came whole.
    pub whole: bool,
}

/// Returns the settings of a router at free ports.
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
    Server::serve(shared.clone(), closing)
        .await
        .expect("callers' address");
    ready::serve(shared.clone())
        .await
        .expect("readiness address");
    tokio::spawn(control::run(shared.clone()));
    Router { shared, close }
}

impl Router {
    /// Closes idle connections and the listener.
    pub fn close(&self) {
        self.shared
            .stopping
            .store(true, std::sync::atomic::Ordering::Relaxed);
        self.close.send_replace(true);
    }

    /// Waits until callers may come.
    pub async fn ready(&self) {
        until("ready", || self.shared.is_ready()).await;
    }

    /// Sends a request to a path with the key, and reads the response.
    pub async fn call(&self, path: &str, attempt: &str) -> Response {
        self.send(request(path, attempt)).await
    }

    /// Sends a request and reads the response.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Response {
        let stream = TcpStream::connect(self.shared.settings.callers)
            .await
            .expect("connects");
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .expect("speaks");
        let task = tokio::spawn(connection);
        let response = sender.send_request(request).await.expect("a response");
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
        Response {
            status: head.status,
            headers: head.headers,
            body: read.into(),
            whole,
        }
    }
}

/// Makes a request with the key and a deadline of two seconds.
pub fn request(path: &str, attempt: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", "h.example")
        .header("x-attempt-id", attempt)
        .header("x-deadline-ms", "2000")
        .header("api-key", KEY)
        .body(Full::new(Bytes::from_static(b"the body")))
        .expect("valid")
}

/// Waits until something holds.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "not in time: {what}");
        time::sleep(Duration::from_millis(10)).await;
    }
}
