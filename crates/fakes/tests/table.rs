//! Guards the table stand-in: claims and configuration changes rely on its
//! conditional writes, and failure tests on its faults.

use base::{rate, span};
use bytes::Bytes;
use expect_test::expect;
use fakes::{client, fault, table};
use http::{Request, StatusCode};
use serde_json::{Value, json};

fn start(options: &table::Options) -> table::Table {
    table::Table::start("127.0.0.1:0".parse().unwrap(), options).unwrap()
}

fn unlimited() -> table::Table {
    start(&table::Options {
        reads: None,
        writes: None,
        seed: 0,
    })
}

async fn get(table: &table::Table, path: &str) -> client::Reply {
    let request = Request::get(path).body(Bytes::new()).unwrap();
    client::send(table.address(), request).await.unwrap()
}

async fn transact(table: &table::Table, ops: Value) -> std::io::Result<client::Reply> {
    let body = json!({ "ops": ops }).to_string();
    let request = Request::post("/v1/transactions").body(body.into()).unwrap();
    client::send(table.address(), request).await
}

async fn put(table: &table::Table, key: &str, value: u64) {
    let ops = json!([{"op": "put", "key": key, "value": value}]);
    transact(table, ops).await.unwrap();
}

#[tokio::test]
async fn conditional_write() {
    let table = unlimited();
    let insert = json!([{"op": "put", "key": "a/b c", "value": 1, "if": {"absent": true}}]);
    let first = transact(&table, insert.clone()).await.unwrap();
    expect![[r#"{"versions":[1]}"#]].assert_eq(&first.text());
    let second = transact(&table, insert).await.unwrap();
    assert_eq!(second.status, StatusCode::CONFLICT);
    expect![[r#"{"failed":0,"row":{"key":"a/b c","version":1,"value":1}}"#]]
        .assert_eq(&second.text());
    let row = get(&table, "/v1/rows/a%2Fb%20c").await;
    expect![[r#"{"key":"a/b c","version":1,"value":1}"#]].assert_eq(&row.text());
}

#[tokio::test]
async fn all_or_nothing() {
    let table = unlimited();
    put(&table, "head", 1).await;
    let ops = json!([
        {"op": "put", "key": "other", "value": 2, "if": null},
        {"op": "check", "key": "head", "if": {"version": 9}},
    ]);
    let conflict = transact(&table, ops).await.unwrap();
    expect![[r#"{"failed":1,"row":{"key":"head","version":1,"value":1}}"#]]
        .assert_eq(&conflict.text());
    assert_eq!(
        get(&table, "/v1/rows/other").await.status,
        StatusCode::NOT_FOUND
    );
}

/// A holder of an old version must not match a row that was deleted and
/// written again.
#[tokio::test]
async fn rewritten_row() {
    let table = unlimited();
    put(&table, "k", 1).await;
    let delete = json!([{"op": "delete", "key": "k"}]);
    transact(&table, delete).await.unwrap();
    put(&table, "k", 2).await;
    let stale = json!([{"op": "put", "key": "k", "value": 3, "if": {"version": 1}}]);
    let stale = transact(&table, stale).await.unwrap();
    assert_eq!(stale.status, StatusCode::CONFLICT);
}

#[tokio::test]
async fn paged_scan() {
    let table = unlimited();
    for key in ["a/1", "a/2", "a/3", "b/1"] {
        put(&table, key, 0).await;
    }
    let first = get(&table, "/v1/rows?prefix=a%2F&limit=2").await;
    expect![[r#"{"rows":[{"key":"a/1","version":1,"value":0},{"key":"a/2","version":1,"value":0}],"more":true}"#]]
        .assert_eq(&first.text());
    let last = get(&table, "/v1/rows?prefix=a%2F&after=a%2F2&limit=2").await;
    expect![[r#"{"rows":[{"key":"a/3","version":1,"value":0}],"more":false}"#]]
        .assert_eq(&last.text());
}

#[tokio::test]
async fn lost_reply() {
    let table = unlimited();
    table.faults(|faults| faults.lost_reply = fault::Chance::Next(1));
    let lost = transact(&table, json!([{"op": "put", "key": "k", "value": 1}])).await;
    assert!(lost.is_err());
    assert_eq!(table.backup().get("k").unwrap().version, 1);
    table.faults(|faults| faults.lost_request = fault::Chance::Next(1));
    let lost = transact(&table, json!([{"op": "put", "key": "l", "value": 1}])).await;
    assert!(lost.is_err());
    assert!(table.backup().get("l").is_none());
}

#[tokio::test]
async fn outage_and_slowness() {
    let table = unlimited();
    table.faults(|faults| faults.outage = fault::Outage::Refuse);
    let down = get(&table, "/v1/rows/k").await;
    assert_eq!(down.status, StatusCode::SERVICE_UNAVAILABLE);
    table.faults(|faults| {
        faults.outage = fault::Outage::None;
        faults.delay = span::Span::from_millis(50);
    });
    let begin = std::time::Instant::now();
    get(&table, "/v1/rows/k").await;
    assert!(begin.elapsed().as_millis() >= 50);
    let counts = table.counts();
    assert_eq!((counts.reads, counts.outage, counts.served), (2, 1, 1));
}

#[tokio::test]
async fn restored_backup() {
    let table = unlimited();
    put(&table, "k", 1).await;
    let backup = table.backup();
    put(&table, "k", 2).await;
    table.restore(backup);
    let row = get(&table, "/v1/rows/k").await;
    expect![[r#"{"key":"k","version":1,"value":1}"#]].assert_eq(&row.text());
}

#[tokio::test]
async fn rate_limit() {
    let table = start(&table::Options {
        reads: Some(rate::Rate(0.01)),
        ..table::Options::default()
    });
    assert_eq!(
        get(&table, "/v1/rows/k").await.status,
        StatusCode::NOT_FOUND
    );
    let limited = get(&table, "/v1/rows/k").await;
    assert_eq!(limited.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(limited.header("retry-after"), Some("1"));
    assert_eq!(table.counts().limited, 1);
}
