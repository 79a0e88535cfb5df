//! The pool of connections to a target.

use std::time::Duration;

use bytes::Bytes;
use edge::upstream::{Pool, Reachability};
use http::Request;
use http_body_util::{BodyExt, Full};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time,
};

fn request(length: usize) -> Request<Full<Bytes>> {
    Request::post("/a")
        .header("host", "h.example")
        .body(Full::new(Bytes::from(vec![b'x'; length])))
        .expect("valid")
}

/// A target responds before it has read a long body, and stops reading. The next
/// request does not wait for that connection.
#[tokio::test]
async fn unread_body() {
    const LONG: usize = 16 * 1024 * 1024;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let pool = Pool::new(listener.local_addr().expect("bound"));
    tokio::spawn(async move {
        let mut streams = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.expect("accepts");
            let mut head = [0; 1_024];
            assert!(stream.read(&mut head).await.expect("reads") > 0);
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(answer).await.expect("writes");
            streams.push(stream);
        }
    });
    let (response, lease) = pool.send(request(LONG)).await.expect("a response");
    let body = response.into_body().collect().await.expect("a whole body");
    assert_eq!(body.to_bytes(), "ok");
    pool.release(lease, None, 1);
    let next = time::timeout(Duration::from_millis(500), pool.send(request(10)));
    let (response, _lease) = next.await.expect("in time").expect("a response");
    assert_eq!(response.status(), 200);
}

/// A process that crashes has closed the connection of the request and still accepts
/// new ones for some milliseconds: it does not count as running.
#[tokio::test]
async fn closing_listener() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let pool = Pool::new(listener.local_addr().expect("bound"));
    let ended = tokio::spawn(async move {
        time::sleep(Duration::from_millis(10)).await;
        drop(listener);
    });
    assert_eq!(pool.probe().await, Reachability::Refused);
    ended.await.expect("ends");
}

/// A target that runs is reachable, and a connection is opened once.
#[tokio::test]
async fn running_target() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let pool = Pool::new(listener.local_addr().expect("bound"));
    assert_eq!(pool.probe().await, Reachability::Open);
    listener.accept().await.expect("accepts");
    let second = time::timeout(Duration::from_millis(50), listener.accept());
    assert!(second.await.is_err());
}
