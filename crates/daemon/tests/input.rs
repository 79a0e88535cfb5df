//! Guards the router against malformed, oversize, slow and half-closed input:
//! each gets a clear error, and the router serves the next caller.

use std::{net::SocketAddr, time::Duration};

use bench::{
    client::{self, Call, Caller},
    deploy::{Deployment, MARSHALS, Options, Running, key, ready},
};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

async fn start() -> (Running, SocketAddr) {
    let deployment = Deployment {
        engines: 1,
        instances: 1,
        routers: 1,
        ..MARSHALS
    };
    let running = Running::start(deployment, Options::default())
        .await
        .unwrap();
    let router = running.callers()[0];
    ready(router, &query()).await.unwrap();
    ready(router, &chat("ready?")).await.unwrap();
    (running, router)
}

fn query() -> Call {
    Call::post("/dispatch/rosters", &key("captains"), "{}")
}

fn chat(text: &str) -> Call {
    let body = client::chat("crew", &[("user", text)], 1);
    Call::post("/v1/chat/completions", &key("captains"), body)
}

/// Sends raw bytes and returns the first line of the answer, or an empty text
/// when the connection is closed without one.
async fn raw(router: SocketAddr, bytes: &[u8], close: bool) -> String {
    let mut stream = TcpStream::connect(router).await.unwrap();
    stream.write_all(bytes).await.ok();
    if close {
        stream.shutdown().await.ok();
    }
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    time::timeout(Duration::from_secs(20), read).await.ok();
    let text = String::from_utf8_lossy(&answer);
    text.lines().next().unwrap_or_default().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_http() {
    let (running, router) = start().await;
    let long = format!(
        "GET / HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n",
        "a".repeat(20_000)
    );
    let many = format!(
        "GET / HTTP/1.1\r\nhost: x\r\n{}\r\n",
        "a: b\r\n".repeat(200)
    );
    let cases: [(&str, &[u8], bool, &str); 9] = [
        ("no HTTP", b"\x00\x01\x02\r\n\r\n", false, "HTTP/1.1 400"),
        ("bad version", b"GET / HTTP/9.9\r\n\r\n", false, "HTTP/1.1 400"),
        ("bad header", b"GET / HTTP/1.1\r\nbad header\r\n\r\n", false, "HTTP/1.1 400"),
        ("bad length", b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: x\r\n\r\n", false, "HTTP/1.1 400"),
        ("two lengths", b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n", false, "HTTP/1.1 400"),
        ("long header", long.as_bytes(), false, "HTTP/1.1 431"),
        ("many headers", many.as_bytes(), false, "HTTP/1.1 431"),
        ("half a head", b"GET / HTTP/1.1\r\nho", true, ""),
        ("half a body", b"POST /dispatch HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-captains\r\ncontent-length: 9\r\n\r\n{", true, ""),
    ];
    for (name, bytes, close, expected) in cases {
        let line = raw(router, bytes, close).await;
        let right = match expected {
            "" => line.is_empty() || line.starts_with("HTTP/1.1 400"),
            expected => line.starts_with(expected),
        };
        assert!(right, "{name}: {line:?}, expected {expected:?}");
    }
    ready(router, &query()).await.unwrap();
    running.stop().await;
}

/// The version of HTTP must be found from the first bytes however they arrive.
#[tokio::test(flavor = "multi_thread")]
async fn first_bytes() {
    let (running, router) = start().await;
    let mut stream = TcpStream::connect(router).await.unwrap();
    for part in [
        "P",
        "OST /dispatch/rosters HTTP/1.1\r\nhost: x\r\nconnection: close\r\n",
        "authorization: Bearer key-captains\r\ncontent-length: 2\r\n\r\n{}",
    ] {
        stream.write_all(part.as_bytes()).await.unwrap();
        time::sleep(Duration::from_millis(50)).await;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let stream = TcpStream::connect(router).await.unwrap();
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    let request = Request::post(format!("http://{router}/dispatch/rosters"))
        .header("authorization", "Bearer key-captains")
        .body(Full::new(Bytes::from_static(b"{}")))
        .unwrap();
    let response = sender.send_request(request).await.unwrap();
    assert_eq!(response.status(), 200);
    running.stop().await;
}

/// A caller that connects and sends nothing must not hold up a shutdown.
#[tokio::test(flavor = "multi_thread")]
async fn silent_caller() {
    let (running, router) = start().await;
    let mut stream = TcpStream::connect(router).await.unwrap();
    time::timeout(Duration::from_secs(5), running.stop())
        .await
        .expect("the shutdown does not wait for a request");
    let mut answer = Vec::new();
    assert_eq!(stream.read_to_end(&mut answer).await.unwrap_or(0), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests() {
    let (running, router) = start().await;
    let post = |path: &str, body: String| Call::post(path, &key("captains"), body);
    let completions = "/v1/chat/completions";
    let cases: Vec<(&str, Call, u16, &str)> = vec![
        (
            "unknown key",
            Call::post("/dispatch", "nobody", "{}"),
            401,
            "unauthorized",
        ),
        ("no route", post("/elsewhere", "{}".into()), 404, "no-route"),
        ("no JSON", post(completions, "{".into()), 400, "bad-request"),
        (
            "no messages",
            post(completions, "{\"messages\":[]}".into()),
            400,
            "bad-request",
        ),
        (
            "large body",
            post("/dispatch", "x".repeat(2 << 20)),
            413,
            "body-too-large",
        ),
        (
            "long key",
            post("/dispatch", "{}".into()).with("idempotency-key", "k".repeat(300)),
            400,
            "key-invalid",
        ),
        (
            "empty key",
            post("/dispatch", "{}".into()).with("idempotency-key", ""),
            400,
            "key-invalid",
        ),
        (
            "two keys",
            post("/dispatch", "{}".into())
                .with("idempotency-key", "a")
                .with("idempotency-key", "b"),
            400,
            "key-invalid",
        ),
    ];
    let caller = Caller::default();
    for (name, call, status, code) in cases {
        let received = caller.send(router, call).await;
        assert_eq!(received.status.unwrap().as_u16(), status, "{name}");
        assert_eq!(
            received.header("content-type"),
            "application/problem+json",
            "{name}"
        );
        assert_eq!(received.outcome(), "not-run", "{name}");
        let problem: serde_json::Value = serde_json::from_slice(&received.body).unwrap();
        assert_eq!(problem["code"], code, "{name}");
    }
    assert!(running.instances[0].service.record().requests.len() <= 2);
    running.stop().await;
}

/// A caller that leaves must not keep its engine busy.
#[tokio::test(flavor = "multi_thread")]
async fn caller_leaves() {
    let (running, router) = start().await;
    let body = client::chat("crew", &[("user", "a long story")], 2000);
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-captains\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(router).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut first = [0; 512];
    assert!(stream.read(&mut first).await.unwrap() > 0);
    drop(stream);
    let engine = &running.engines[0].engine;
    for _ in 0..200 {
        if engine.record().cancelled > 0 {
            running.stop().await;
            return;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the engine's stream was not cancelled");
}

/// A request that is refused before its body was read: a close with unread
/// bytes would reset the connection, and the caller would miss the answer.
#[tokio::test(flavor = "multi_thread")]
async fn early_refusal() {
    const PIECE: usize = 64 * 1024;
    const LENGTH: usize = 32 * PIECE;
    let (running, router) = start().await;
    for (key, expected) in [
        ("key-captains", "HTTP/1.1 413 Payload Too Large"),
        ("nobody", "HTTP/1.1 401 Unauthorized"),
    ] {
        let mut stream = TcpStream::connect(router).await.unwrap();
        let head = format!(
            "POST /dispatch HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\ncontent-length: {LENGTH}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..LENGTH / PIECE {
            stream.write_all(&[b'x'; PIECE]).await.unwrap();
            time::sleep(Duration::from_millis(5)).await;
        }
        let mut answer = [0; 1024];
        let count = stream.read(&mut answer).await.unwrap();
        let text = String::from_utf8_lossy(&answer[..count]);
        assert_eq!(text.lines().next(), Some(expected));
    }
    running.stop().await;
}
