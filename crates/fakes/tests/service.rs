//! Guards the plain service's counters: checks of "at most once" rely on them.

use base::span;
use bytes::Bytes;
use fakes::{client, fault::Chance, serve, service};
use http::{Request, StatusCode};

fn start() -> service::Service {
    let listen = "127.0.0.1:0".parse().unwrap();
    service::Service::start(listen, service::Options::default()).unwrap()
}

fn call(id: &str, key: &str) -> Request<Bytes> {
    Request::post("/orders?die=7")
        .header(serve::REQUEST_ID, id)
        .header(service::IDEMPOTENCY_KEY, key)
        .body("one die".into())
        .unwrap()
}

#[tokio::test]
async fn counted_calls() {
    let service = start();
    let peer = service.address();
    let reply = client::send(peer, call("r1", "k1")).await.unwrap();
    client::send(peer, call("r1", "k1")).await.unwrap();
    client::send(peer, call("r2", "k1")).await.unwrap();
    assert_eq!(reply.header(serve::REQUEST_ID), Some("r1"));
    let body: service::Reply = reply.json().unwrap();
    assert_eq!((body.path.as_str(), body.execution), ("/orders?die=7", 1));
    let record = service.record();
    assert_eq!((record.requests["r1"], record.requests["r2"]), (2, 1));
    assert_eq!((record.keys["k1"], record.executions), (3, 3));
}

#[tokio::test]
async fn switched_faults() {
    let service = start();
    let peer = service.address();
    service.faults(|faults| faults.reject = Chance::Next(1));
    let rejected = client::send(peer, call("r1", "k1")).await.unwrap();
    assert_eq!(rejected.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(service.record().executions, 0);
    service.faults(|faults| faults.error = Chance::Next(1));
    let failed = client::send(peer, call("r2", "k2")).await.unwrap();
    assert_eq!(failed.status, StatusCode::INTERNAL_SERVER_ERROR);
    service.faults(|faults| faults.lost_reply = Chance::Next(1));
    assert!(client::send(peer, call("r3", "k3")).await.is_err());
    service.faults(|faults| {
        faults.cut = Chance::Next(1);
        faults.cut_after = 10;
    });
    let cut = client::send(peer, call("r4", "k4")).await.unwrap();
    assert_eq!((cut.complete, cut.body.len()), (false, 10));
    service.faults(|faults| faults.crossed = Chance::Next(1));
    let crossed = client::send(peer, call("r5", "k5")).await.unwrap();
    assert_eq!(crossed.header(serve::REQUEST_ID), Some("r4"));
    assert_eq!(service.record().executions, 4);
}

/// A caller that gives up does not stop a call that has begun.
#[tokio::test]
async fn abandoned_call() {
    let service = start();
    service.faults(|faults| faults.delay = span::Span::from_millis(50));
    let call = tokio::spawn(client::send(service.address(), call("r1", "k1")));
    wait(|| service.record().running == 1).await;
    call.abort();
    wait(|| service.record().running == 0).await;
    assert_eq!(service.record().requests["r1"], 1);
}

/// A call that a crash interrupts must not be counted as running afterwards.
#[tokio::test]
async fn interrupted_call() {
    let service = start();
    let peer = service.address();
    service.faults(|faults| faults.delay = span::Span::from_millis(20));
    let interrupted = tokio::spawn(client::send(peer, call("r1", "k1")));
    wait(|| service.record().running == 1).await;
    service.crash(None);
    assert!(interrupted.await.unwrap().is_err());
    service.up();
    wait(|| std::net::TcpStream::connect(peer).is_ok()).await;
    client::send(peer, call("r2", "k2")).await.unwrap();
    let record = service.record();
    assert_eq!((record.running, record.maximum, record.crashes), (0, 1, 1));
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
