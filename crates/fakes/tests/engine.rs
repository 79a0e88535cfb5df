//! Guards the engine stand-in: tests of routers and agents rely on its
//! batching, cache, streams and faults being those of a real engine.

use std::{net::SocketAddr, time::Instant};

use base::span;
use bytes::Bytes;
use fakes::{client, engine, fault::Chance, serve};
use http::{Method, Request, StatusCode};

const LOOPBACK: &str = "127.0.0.1:0";

fn start(options: engine::Options) -> engine::Engine {
    engine::Engine::start(LOOPBACK.parse().unwrap(), options).unwrap()
}

fn chat(id: &str, prompt: &str, tokens: u64) -> Request<Bytes> {
    let body = serde_json::json!({
        "model": "m",
        "stream": true,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    });
    Request::post("/v1/chat/completions")
        .header(serve::REQUEST_ID, id)
        .header(serve::CHAT_HASH, "00000000000000aa")
        .body(body.to_string().into())
        .unwrap()
}

fn plain(method: Method, path: &str) -> Request<Bytes> {
    let request = Request::builder().method(method).uri(path);
    request.body(Bytes::new()).unwrap()
}

async fn get(peer: SocketAddr, path: &str) -> client::Reply {
    let sent = client::send(peer, plain(Method::GET, path)).await;
    sent.unwrap()
}

/// The content of the events, joined.
fn content(events: &str) -> String {
    let events = events.split("\n\n").filter_map(|event| {
        let event = event.strip_prefix("data: ")?;
        let event: serde_json::Value = serde_json::from_str(event).ok()?;
        Some(event["choices"][0]["delta"]["content"].as_str()?.to_owned())
    });
    events.collect()
}

#[tokio::test]
async fn same_output() {
    let (first, second) = (
        start(engine::Options::fast()),
        start(engine::Options::fast()),
    );
    let one = client::send(first.address(), chat("r1", "hello", 5)).await;
    let two = client::send(second.address(), chat("r1", "hello", 5)).await;
    let (one, two) = (one.unwrap(), two.unwrap());
    assert_eq!(one.body, two.body);
    assert_eq!(one.header(serve::REQUEST_ID), Some("r1"));
    assert_eq!(content(&one.text()).split_whitespace().count(), 5);
    assert!(one.text().contains("chatcmpl-r1"));
    assert!(one.text().ends_with("data: [DONE]\n\n"));
    let other = client::send(second.address(), chat("r1", "other", 5)).await;
    assert_ne!(two.body, other.unwrap().body);
}

#[tokio::test]
async fn token_pace() {
    let options = engine::Options {
        pace: span::Span::from_millis(20),
        ..engine::Options::fast()
    };
    let engine = start(options);
    let begin = Instant::now();
    client::send(engine.address(), chat("r", "p", 11))
        .await
        .unwrap();
    assert!(
        begin.elapsed().as_millis() >= 200,
        "ten intervals of 20 ms: {:?}",
        begin.elapsed()
    );
}

#[tokio::test]
async fn finite_slots() {
    let options = engine::Options {
        slots: 2,
        ..engine::Options::fast()
    };
    let engine = start(options);
    engine.faults(|faults| faults.stalled = true);
    let calls = (0..6).map(|index| {
        let request = chat(&format!("r{index}"), &format!("p{index}"), 10);
        tokio::spawn(client::send(engine.address(), request))
    });
    let calls: Vec<_> = calls.collect();
    wait(|| engine.read(|record| record.maximum == 6)).await;
    engine.faults(|faults| faults.stalled = false);
    for call in calls {
        assert!(call.await.unwrap().unwrap().complete);
    }
    let record = engine.record();
    assert_eq!(record.maximum, 6);
    let running = record.changes.iter().map(|change| change.level.running);
    assert_eq!(running.max(), Some(2));
    assert!(record.executions.values().all(|count| *count == 1));
}

#[tokio::test]
async fn urgent_first() {
    let options = engine::Options {
        slots: 1,
        ..engine::Options::fast()
    };
    let engine = start(options);
    let peer = engine.address();
    engine.faults(|faults| faults.stalled = true);
    let ordinary = tokio::spawn(finished(peer, chat("ordinary", "p", 1)));
    wait(|| engine.read(|record| record.maximum == 1)).await;
    let mut request = chat("urgent", "p", 20);
    request.headers_mut().insert(serve::PRIORITY, 5.into());
    let urgent = tokio::spawn(finished(peer, request));
    wait(|| engine.read(|record| record.maximum == 2)).await;
    engine.faults(|faults| faults.stalled = false);
    assert!(urgent.await.unwrap() < ordinary.await.unwrap());
}

/// When a request's response was complete.
async fn finished(peer: SocketAddr, request: Request<Bytes>) -> Instant {
    client::send(peer, request).await.unwrap();
    Instant::now()
}

async fn wait(mut condition: impl FnMut() -> bool) {
    for _ in 0..2000 {
        if condition() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    panic!("condition was not met within 2 s");
}

#[tokio::test]
async fn prefix_reuse() {
    let options = engine::Options {
        prefill: span::Span::from_micros(500),
        block_tokens: 16,
        ..engine::Options::fast()
    };
    let engine = start(options);
    let prompt = "word ".repeat(400);
    let begin = Instant::now();
    let cold = client::send(engine.address(), chat("r1", &prompt, 1)).await;
    let cold_time = begin.elapsed();
    let begin = Instant::now();
    let warm = client::send(engine.address(), chat("r2", &prompt, 1)).await;
    let warm_time = begin.elapsed();
    assert_eq!(cold.unwrap().header(serve::CACHED_TOKENS), Some("0"));
    assert_eq!(warm.unwrap().header(serve::CACHED_TOKENS), Some("496"));
    assert!(warm_time < cold_time / 2, "{warm_time:?} {cold_time:?}");
    let record = engine.record();
    assert_eq!((record.hits, record.misses), (1, 1));
}

#[tokio::test]
async fn next_turn_cached() {
    let options = engine::Options {
        block_tokens: 1,
        ..engine::Options::fast()
    };
    let engine = start(options);
    let first = client::send(engine.address(), chat("r1", "question", 20)).await;
    let answer = content(&first.unwrap().text());
    let body = serde_json::json!({
        "model": "m",
        "messages": [
            {"role": "user", "content": "question"},
            {"role": "assistant", "content": answer},
            {"role": "user", "content": "more"},
        ],
    });
    let request = Request::post("/v1/chat/completions").body(body.to_string().into());
    let second = client::send(engine.address(), request.unwrap()).await;
    let cached = second
        .unwrap()
        .header(serve::CACHED_TOKENS)
        .unwrap()
        .parse();
    assert!(
        cached.is_ok_and(|cached: u64| cached >= 26),
        "question and answer are cached"
    );
}

#[tokio::test]
async fn limited_memory() {
    let options = engine::Options {
        block_tokens: 16,
        cache_tokens: 512,
        ..engine::Options::fast()
    };
    let engine = start(options);
    let mut cached = Vec::new();
    for letter in ["a ", "a ", "b ", "a "] {
        let request = chat("r", &letter.repeat(800), 1);
        let reply = client::send(engine.address(), request).await.unwrap();
        cached.push(reply.header(serve::CACHED_TOKENS).unwrap().to_owned());
    }
    // 32 blocks fit and each prompt has 25; of the older prompt, the first 7
    // blocks stay.
    assert_eq!(cached, ["0", "400", "0", "112"]);
}

#[tokio::test]
async fn resume_offset() {
    let engine = start(engine::Options::fast());
    engine.faults(|faults| {
        faults.cut = Chance::Next(1);
        faults.cut_after = 200;
    });
    let cut = client::send(engine.address(), chat("r1", "p", 8)).await;
    let cut = cut.unwrap();
    assert!(!cut.complete);
    assert_eq!(cut.body.len(), 200);
    let rest = get(engine.address(), "/v1/streams/r1?offset=200").await;
    let whole = get(engine.address(), "/v1/streams/r1?offset=0").await;
    assert!(rest.complete && whole.complete);
    assert_eq!([cut.body, rest.body].concat(), whole.body);
    assert_eq!(engine.record().executions["r1"], 1);
}

/// A response in one piece must resume as what it was.
#[tokio::test]
async fn resume_whole() {
    let engine = start(engine::Options::fast());
    let body = r#"{"model":"m","messages":[{"role":"user","content":"p"}]}"#;
    let request = Request::post("/v1/chat/completions")
        .header(serve::REQUEST_ID, "r1")
        .body(Bytes::from(body));
    let first = client::send(engine.address(), request.unwrap()).await;
    let first = first.unwrap();
    let rest = get(engine.address(), "/v1/streams/r1?offset=10").await;
    assert_eq!(rest.header("content-type"), Some("application/json"));
    assert_eq!(rest.body, first.body[10..]);
}

#[tokio::test]
async fn cancel_running() {
    let engine = start(engine::Options::fast());
    let peer = engine.address();
    let call = tokio::spawn(client::send(peer, chat("r1", "p", 10_000)));
    wait(|| engine.read(|record| record.maximum == 1)).await;
    let request = plain(Method::DELETE, "/v1/streams/r1");
    let cancelled = client::send(peer, request).await.unwrap();
    assert_eq!(cancelled.status, StatusCode::NO_CONTENT);
    assert!(!call.await.unwrap().is_ok_and(|reply| reply.complete));
    let record = engine.record();
    assert_eq!(record.cancelled, 1);
    assert_eq!(record.changes.last().unwrap().level.outstanding(), 0);
    assert_eq!(
        get(peer, "/v1/streams/r1").await.status,
        StatusCode::NOT_FOUND
    );
}

#[tokio::test]
async fn crash_marker() {
    let engine = start(engine::Options::fast());
    let peer = engine.address();
    engine.faults(|faults| {
        faults.crash_marker = Some("boom".to_owned());
        faults.restart = None;
    });
    let innocent = tokio::spawn(client::send(peer, chat("r1", "p", 10_000)));
    wait(|| engine.read(|record| record.maximum == 1)).await;
    let poison = client::send(peer, chat("r2", "goes boom here", 5)).await;
    assert!(!poison.is_ok_and(|reply| reply.complete));
    assert!(!innocent.await.unwrap().is_ok_and(|reply| reply.complete));
    wait(|| std::net::TcpStream::connect(peer).is_err()).await;
    engine.up();
    wait(|| std::net::TcpStream::connect(peer).is_ok()).await;
    let after = client::send(peer, chat("r3", "p", 2)).await.unwrap();
    assert!(after.complete);
    assert_eq!(engine.record().crashes, 1);
    engine.crash(Some(span::Span::from_millis(50)));
    wait(|| engine.record().crashes == 2).await;
    wait(|| std::net::TcpStream::connect(peer).is_ok()).await;
}

#[tokio::test]
async fn crossed_response() {
    let engine = start(engine::Options::fast());
    let peer = engine.address();
    let first = client::send(peer, chat("r1", "one", 3)).await.unwrap();
    engine.faults(|faults| faults.crossed = Chance::Next(1));
    let crossed = client::send(peer, chat("r2", "two", 3)).await.unwrap();
    assert_eq!(crossed.header(serve::REQUEST_ID), Some("r1"));
    assert_eq!(crossed.body, first.body);
    let own = get(peer, "/v1/streams/r2").await;
    assert_eq!(own.header(serve::REQUEST_ID), Some("r2"));
    assert!(own.text().contains("chatcmpl-r2"));
    engine.faults(|faults| faults.unnamed = Chance::Next(1));
    let unnamed = client::send(peer, chat("r3", "three", 3)).await.unwrap();
    assert_eq!(unnamed.header(serve::REQUEST_ID), None);
}

#[tokio::test]
async fn late_load() {
    let engine = start(engine::Options::fast());
    let peer = engine.address();
    let lag = |span| engine.faults(|faults| faults.load_lag = Some(span));
    let call = tokio::spawn(client::send(peer, chat("r1", "p", 10_000)));
    wait(|| engine.read(|record| record.maximum == 1)).await;
    lag(span::Span::from_secs(3600));
    let early: serve::Load = get(peer, "/load").await.json().unwrap();
    assert_eq!(early.running, 0, "the report lags");
    lag(span::Span::ZERO);
    let late: serve::Load = get(peer, "/load").await.json().unwrap();
    assert_eq!(late.running, 1);
    call.abort();
}
