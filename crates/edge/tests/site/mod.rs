//! A router with a stand-in table and stand-in targets, in this process.

// Each test file uses a part of this module.
#![allow(dead_code)]

use std::{
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::Arc,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use edge::{control, front::Front, ready, shared::Shared};
use fakes::{rows::Rows, runner::Runner};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use platform::settings::Settings;
use serde_json::{Value, json};
use tokio::{net::TcpStream, sync::watch, time};

/// Longest wait for something that should happen within two seconds.
const PATIENCE: Duration = Duration::from_secs(5);

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

/// Returns a port that is free for TCP and UDP.
fn port() -> u16 {
    loop {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let port = listener.local_addr().expect("bound").port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Returns the settings of a router at free ports.
pub fn settings(table: SocketAddr, seeds: &[SocketAddr]) -> Settings {
    let [callers, ready, peers, metrics] = [port(), port(), port(), port()];
    let text = format!(
        r#"
        node_name = "router-{peers}"
        ip = "127.0.0.1"
        zone = "north"
        port_range = [{peers}, {metrics}]
        [listen]
        frontend = "127.0.0.1:{callers}"
        ready = "127.0.0.1:{ready}"
        [bounds]
        drain_ms = 2000
        grace_s = 8
        retry_budget_ratio = 0.2
        retry_window_s = 10
        retry_allowance = 58
        cap_factor = 2
        [platform]
        address = "{table}"
        writes_per_s = 400
        reads_per_s = 2000
        "#
    );
    let mut settings = Settings::decode(&text).expect("valid settings");
    settings.seeds = seeds.to_vec();
    settings
}

/// Starts a router.
pub async fn router(settings: Settings) -> Router {
    let shared = Shared::new(settings);
    let (close, closing) = watch::channel(false);
    Front::serve(shared.clone(), closing)
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
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "not in time: {what}");
        time::sleep(Duration::from_millis(10)).await;
    }
}

/// Writes a configuration with one rule of each class; `service` runs them.
pub fn configure(table: &Rows, version: u64, keys: &[&str]) {
    let rule = |name: &str, kind: &str, resumable: bool| {
        json!({"name": name, "hostname": "h.example", "prefix": format!("/{name}/"), "type": kind,
               "timeout_ms": 1500, "service": "service", "max_attempts": 2, "resumable": resumable})
    };
    let config = json!({
        "version": version,
        "routes": [
            rule("once", "non_idempotent", false),
            rule("again", "idempotent", false),
            rule("stream", "streaming", false),
            rule("resume", "streaming", true),
        ],
        "services": [{"name": "service", "max_connections": 100}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "team", "api_keys": keys}],
    });
    put(table, "op", "config", &config);
}

/// Writes the row of a target.
pub fn list(table: &Rows, runner: &Runner, state: &str) {
    list_at(table, runner.id(), runner.address(), state);
}

/// Writes the row of a target at an address.
pub fn list_at(table: &Rows, id: &str, address: SocketAddr, state: &str) {
    let row = json!({"service": "service", "address": address.to_string(), "zone": "north",
                     "batch_slots": 8, "state": state, "born": 1});
    put(table, "servers", id, &row);
}

fn put(table: &Rows, name: &str, key: &str, value: &Value) {
    table.put(name, key, STANDARD.encode(value.to_string()));
}
