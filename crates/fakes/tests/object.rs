//! Guards the object store's conditions: a snapshot must not overwrite a newer
//! one.

use bytes::Bytes;
use fakes::{client, fault, object};
use http::{Method, Request, StatusCode};

fn start() -> object::Objects {
    let options = object::Options::default();
    object::Objects::start("127.0.0.1:0".parse().unwrap(), &options).unwrap()
}

async fn call(
    objects: &object::Objects,
    method: Method,
    condition: Option<(&str, &str)>,
    content: &'static str,
) -> client::Reply {
    let mut request = Request::builder().method(method).uri("/v1/objects/a%2Fb");
    if let Some((name, value)) = condition {
        request = request.header(name, value);
    }
    let request = request.body(Bytes::from(content)).unwrap();
    client::send(objects.address(), request).await.unwrap()
}

#[tokio::test]
async fn tagged_writes() {
    let objects = start();
    let absent = Some(("if-none-match", "*"));
    let first = call(&objects, Method::PUT, absent, "one").await;
    let tag = first.header("etag").unwrap().to_owned();
    let again = call(&objects, Method::PUT, absent, "two").await;
    assert_eq!(again.status, StatusCode::PRECONDITION_FAILED);
    let present = Some(("if-match", tag.as_str()));
    let second = call(&objects, Method::PUT, present, "two").await;
    assert_eq!(second.status, StatusCode::OK);
    let stale = call(&objects, Method::PUT, present, "three").await;
    assert_eq!(stale.status, StatusCode::PRECONDITION_FAILED);
    let read = call(&objects, Method::GET, None, "").await;
    assert_eq!(
        (read.text().as_str(), read.header("etag")),
        ("two", second.header("etag"))
    );
    assert_eq!(objects.content("a/b").unwrap(), "two");
}

#[tokio::test]
async fn deleted_object() {
    let objects = start();
    call(&objects, Method::PUT, None, "one").await;
    let stale = Some(("if-match", "\"other\""));
    let refused = call(&objects, Method::DELETE, stale, "").await;
    assert_eq!(refused.status, StatusCode::PRECONDITION_FAILED);
    let deleted = call(&objects, Method::DELETE, None, "").await;
    assert_eq!(deleted.status, StatusCode::NO_CONTENT);
    let read = call(&objects, Method::GET, None, "").await;
    assert_eq!(read.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn outage() {
    let objects = start();
    objects.faults(|faults| faults.outage = fault::Outage::Refuse);
    let refused = call(&objects, Method::GET, None, "").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(objects.counts().outage, 1);
}
