//! Guards export and import of KV cache and the late, lossy cache events.

use std::net::SocketAddr;

use base::span;
use bytes::Bytes;
use fakes::{client, engine, events, fault::Chance, serve};
use http::{Method, Request, StatusCode};

const CHAT: &str = "00000000000000aa";

fn start(event_lag: span::Span) -> engine::Engine {
    let options = engine::Options {
        event_lag,
        block_tokens: 16,
        ..engine::Options::fast()
    };
    engine::Engine::start("127.0.0.1:0".parse().unwrap(), options).unwrap()
}

async fn call(peer: SocketAddr, method: Method, path: &str, body: Bytes) -> client::Reply {
    let request = Request::builder().method(method).uri(path).body(body);
    client::send(peer, request.unwrap()).await.unwrap()
}

async fn chat(peer: SocketAddr, prompt: &str) -> client::Reply {
    let body = serde_json::json!({
        "model": "m",
        "max_tokens": 1,
        "messages": [{"role": "user", "content": prompt}],
    });
    let request = Request::post("/v1/chat/completions")
        .header(serve::CHAT_HASH, CHAT)
        .body(Bytes::from(body.to_string()));
    client::send(peer, request.unwrap()).await.unwrap()
}

async fn page(peer: SocketAddr) -> events::Page {
    let reply = call(peer, Method::GET, "/kv/events?after=0", Bytes::new()).await;
    reply.json().unwrap()
}

#[tokio::test]
async fn moved_cache() {
    let (old, new) = (start(span::Span::ZERO), start(span::Span::ZERO));
    let prompt = "word ".repeat(100);
    let path = format!("/kv/{CHAT}");
    let missing = call(old.address(), Method::GET, &path, Bytes::new()).await;
    assert_eq!(missing.status, StatusCode::NOT_FOUND);
    chat(old.address(), &prompt).await;
    let exported = call(old.address(), Method::GET, &path, Bytes::new()).await;
    let imported = call(new.address(), Method::PUT, &path, exported.body).await;
    assert_eq!(imported.status, StatusCode::NO_CONTENT);
    let warm = chat(new.address(), &prompt).await;
    assert_eq!(warm.header(serve::CACHED_TOKENS), Some("112"));
    assert_eq!(new.record().imports, 1);
}

#[tokio::test]
async fn late_events() {
    let engine = start(span::Span::from_secs(3600));
    chat(engine.address(), &"word ".repeat(100)).await;
    assert_eq!(page(engine.address()).await, events::Page::default());
}

#[tokio::test]
async fn lost_events() {
    let engine = start(span::Span::ZERO);
    engine.faults(|faults| faults.event_loss = Chance::Next(1));
    chat(engine.address(), &"one ".repeat(100)).await;
    chat(engine.address(), &"two ".repeat(100)).await;
    let page = page(engine.address()).await;
    let sequences: Vec<u64> = page.events.iter().map(|event| event.sequence).collect();
    assert_eq!(sequences, [2], "event 1 is a gap");
    assert_eq!(page.events[0].kind, events::Kind::Stored);
    assert_eq!(page.next, 2);
}
