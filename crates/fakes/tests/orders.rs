//! Guards orders to engines and the weight store: planned changes rely on an
//! engine that rejects stale fencing tokens and on one that ignores them.

use std::net::SocketAddr;

use base::rate;
use bytes::Bytes;
use expect_test::expect;
use fakes::{client, engine, serve, weights};
use http::{Request, StatusCode};

fn start(options: engine::Options) -> engine::Engine {
    engine::Engine::start("127.0.0.1:0".parse().unwrap(), options).unwrap()
}

async fn order(peer: SocketAddr, fence: u64, body: &'static str) -> client::Reply {
    let request = Request::post("/orders")
        .header(serve::FENCE, fence)
        .body(Bytes::from(body))
        .unwrap();
    client::send(peer, request).await.unwrap()
}

const LOAD: &str = r#"{"order":"load","model":"m","version":"v2"}"#;
const ROLE: &str = r#"{"order":"role","role":"prefill"}"#;

#[tokio::test]
async fn stale_fence() {
    let engine = start(engine::Options::fast());
    let loaded = order(engine.address(), 7, LOAD).await;
    expect![[r#"{"models":{"m":"v2"},"adapters":[],"role":"mixed"}"#]].assert_eq(&loaded.text());
    let stale = order(engine.address(), 6, ROLE).await;
    assert_eq!(stale.status, StatusCode::CONFLICT);
    assert_eq!(
        order(engine.address(), 7, ROLE).await.status,
        StatusCode::OK
    );
    assert_eq!(engine.loaded().role, "prefill");
    let orders = engine.record().orders;
    let orders: Vec<_> = orders.iter().map(|order| order.text.as_str()).collect();
    assert_eq!(orders, ["load m v2", "role prefill"]);
}

#[tokio::test]
async fn ignored_fence() {
    let engine = start(engine::Options {
        checks_fence: false,
        ..engine::Options::fast()
    });
    order(engine.address(), 7, LOAD).await;
    assert_eq!(
        order(engine.address(), 6, ROLE).await.status,
        StatusCode::OK
    );
}

#[tokio::test]
async fn adapters() {
    let engine = start(engine::Options::fast());
    let load = r#"{"order":"load","model":"m","adapter":"legal"}"#;
    order(engine.address(), 1, load).await;
    assert!(engine.loaded().adapters.contains("m:legal"));
    let unload = r#"{"order":"unload","model":"m","adapter":"legal"}"#;
    order(engine.address(), 1, unload).await;
    assert!(engine.loaded().adapters.is_empty());
    let vague = order(engine.address(), 1, r#"{"order":"load"}"#).await;
    assert_eq!(vague.status, StatusCode::BAD_REQUEST);
}

#[tokio::test]
async fn weight_rate() {
    let options = weights::Options {
        rate: rate::Rate(0.01),
        ..weights::Options::default()
    };
    let store = weights::Weights::start("127.0.0.1:0".parse().unwrap(), options).unwrap();
    let options = engine::Options {
        weights: Some(store.address()),
        ..engine::Options::fast()
    };
    let (first, second) = (start(options.clone()), start(options));
    assert_eq!(order(first.address(), 1, LOAD).await.status, StatusCode::OK);
    let over = order(second.address(), 1, LOAD).await;
    assert_eq!(over.status, StatusCode::BAD_GATEWAY);
    assert!(second.loaded().models.is_empty());
    assert_eq!(store.counts().limited, 1);
}
