//! Guards control over HTTP, which tests of separate processes use.

use bytes::Bytes;
use expect_test::expect;
use fakes::{client, stand, table};
use http::{Request, StatusCode};

fn start(kind: &str, options: &str) -> stand::Stand {
    let listen = "127.0.0.1:0".parse().unwrap();
    stand::Stand::start(kind.parse().unwrap(), listen, options).unwrap()
}

async fn call(stand: &stand::Stand, request: Request<&'static str>) -> client::Reply {
    let request = request.map(Bytes::from);
    client::send(stand.address(), request).await.unwrap()
}

#[tokio::test]
async fn remote_faults() {
    let table = start("table", r#"{"reads":"10/s"}"#);
    let faults = Request::put("/fake/faults").body(r#"{"outage":"refuse"}"#);
    let switched = call(&table, faults.unwrap()).await;
    assert_eq!(switched.status, StatusCode::NO_CONTENT);
    let read = call(&table, Request::get("/v1/rows/k").body("").unwrap()).await;
    assert_eq!(read.status, StatusCode::SERVICE_UNAVAILABLE);
    let record = call(&table, Request::get("/fake/record").body("").unwrap()).await;
    expect![[r#"{"reads":1,"writes":0,"limited":0,"outage":1,"served":0}"#]]
        .assert_eq(&record.text());
}

#[tokio::test]
async fn remote_restore() {
    let table = start("table", "{}");
    let post = |path, body| Request::post(path).body(body).unwrap();
    let write = r#"{"ops":[{"op":"put","key":"k","value":1}]}"#;
    call(&table, post("/v1/transactions", write)).await;
    call(&table, post(table::BACKUP, "")).await;
    call(&table, post("/v1/transactions", write)).await;
    let restored = call(&table, post(table::RESTORE, "")).await;
    assert_eq!(restored.status, StatusCode::NO_CONTENT);
    let read = call(&table, Request::get("/v1/rows/k").body("").unwrap()).await;
    expect![[r#"{"key":"k","version":1,"value":1}"#]].assert_eq(&read.text());
}

#[tokio::test]
async fn every_kind() {
    for kind in ["engine", "service", "table", "objects", "list", "weights"] {
        let stand = start(kind, "{}");
        let record = call(&stand, Request::get("/fake/record").body("").unwrap()).await;
        assert_eq!(record.status, StatusCode::OK, "{kind}");
    }
    let wrong = "engines".parse::<stand::Kind>().unwrap_err();
    expect![[r#""engines" is no stand-in; use engine, service, table, objects, list or weights"#]]
        .assert_eq(&wrong.to_string());
}

#[tokio::test]
async fn unknown_option() {
    let listen = "127.0.0.1:0".parse().unwrap();
    let started = stand::Stand::start(stand::Kind::Engine, listen, r#"{"slot":1}"#);
    assert!(started.is_err(), "a misspelt option must not be ignored");
}
