//! Forwarding of requests from callers to targets, some of which fail.

mod site;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use fakes::{
    rows::Rows,
    runner::{Behaviour, EVENTS, Runner},
};
use http::{Request, StatusCode};
use http_body_util::Full;
use site::Router;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

struct Site {
    router: Router,
    first: Runner,
    second: Runner,
    table: Rows,
}

async fn start(usual: Behaviour) -> Site {
    let table = Rows::start().expect("a table");
    let first = Runner::start("i-1", usual).expect("a target");
    let second = Runner::start("i-2", usual).expect("a target");
    fakes::site::configure(&table, 1, &[site::KEY]);
    fakes::site::list_runner(&table, &first, "ready");
    fakes::site::list_runner(&table, &second, "ready");
    let router = site::router(site::settings(table.address(), &[])).await;
    router.ready().await;
    Site {
        router,
        first,
        second,
        table,
    }
}

impl Site {
    fn runs(&self) -> usize {
        self.first.runs().len() + self.second.runs().len()
    }

    fn next(&self, behaviour: Behaviour) {
        self.first.next(behaviour);
        self.second.next(behaviour);
    }
}

#[tokio::test]
async fn forwarded() {
    let site = start(Behaviour::Echo).await;
    let response = site.router.call("/once/a?x=%2F", "a1").await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.body, "the body");
    assert!(response.headers.contains_key("x-response-signature"));
    let runs = [site.first.runs(), site.second.runs()].concat();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].path, "/once/a?x=%2F");
    assert_eq!(runs[0].headers["x-tenant"], "team");
    assert!(!runs[0].headers.contains_key("api-key"));
    let left = runs[0].headers["x-deadline-ms"].to_str().expect("text");
    let left: u64 = left.parse().expect("a number");
    assert!((1_000..=1_500).contains(&left), "{left}");
}

/// A request that a target may have processed is not sent again if its rule does
/// not allow retries, and the response does not claim that no target processed it.
#[tokio::test]
async fn lost_not_repeated() {
    let site = start(Behaviour::Lose).await;
    let response = site.router.call("/once/a", "a1").await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(site.runs(), 1);
}

/// A request whose rule allows retries is sent to a second target, but not to a
/// third.
#[tokio::test]
async fn lost_repeated() {
    let site = start(Behaviour::Echo).await;
    site.next(Behaviour::Lose);
    let response = site.router.call("/again/a", "a1").await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(site.runs(), 2, "sent to at most two targets");
    let response = site.router.call("/again/a", "a2").await;
    assert_eq!(response.status, StatusCode::OK);
}

#[tokio::test]
async fn shed_by_one() {
    let site = start(Behaviour::Echo).await;
    site.first.set(Behaviour::Shed);
    for number in 0..4 {
        let response = site.router.call("/once/a", &format!("a{number}")).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    assert_eq!(site.runs(), 4);
}

#[tokio::test]
async fn shed_by_all() {
    let site = start(Behaviour::Shed).await;
    let response = site.router.call("/once/a", "a1").await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(site.runs(), 0);
}

/// An unsigned 503 of a target does not show whether the request ran. The caller
/// must not receive a 503, which means that no target processed the request.
#[tokio::test]
async fn unsigned_busy() {
    let site = start(Behaviour::Busy).await;
    let response = site.router.call("/once/a", "a1").await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert!(!response.headers.contains_key("x-response-signature"));
    assert_eq!(site.runs(), 1);
}

#[tokio::test]
async fn unusable_responses() {
    for behaviour in [Behaviour::Cross, Behaviour::Unsigned, Behaviour::Cut] {
        let site = start(behaviour).await;
        let response = site.router.call("/once/a", "a1").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{behaviour:?}");
        assert_eq!(site.runs(), 1);
    }
}

#[tokio::test]
async fn failure_forwarded() {
    let site = start(Behaviour::Fail).await;
    let response = site.router.call("/once/a", "a1").await;
    assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(response.headers.contains_key("x-response-signature"));
    assert_eq!(site.runs(), 1);
    let response = site.router.call("/again/a", "a2").await;
    assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(site.runs(), 3);
}

/// When the rule's timeout is reached, the caller receives a 504.
#[tokio::test]
async fn rule_timeout() {
    let site = start(Behaviour::Hang).await;
    let before = time::Instant::now();
    let response = site.router.call("/once/a", "a1").await;
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    let took = before.elapsed();
    let bound = Duration::from_millis(1_500)..Duration::from_millis(2_000);
    assert!(bound.contains(&took), "{took:?}");
}

#[tokio::test]
async fn refused_requests() {
    let site = start(Behaviour::Echo).await;
    let unknown = site.router.call("/nowhere/a", "a1").await;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    let mut other = site::request("/once/a", "a2");
    other
        .headers_mut()
        .insert("api-key", "other".parse().expect("valid"));
    let refused = site.router.send(other).await;
    assert_eq!(refused.status, StatusCode::UNAUTHORIZED);
    let large = Request::post("/once/a")
        .header("host", "h.example")
        .header("x-attempt-id", "a3")
        .header("api-key", site::KEY)
        .body(Full::new(Bytes::from(vec![b'x'; 2_000])))
        .expect("valid");
    let large = site.router.send(large).await;
    assert_eq!(large.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(site.runs(), 0);
}

fn events(from: u64, to: u64) -> String {
    (from..=to)
        .map(|id| format!("id: {id}\ndata: event {id}\n\n"))
        .collect()
}

#[tokio::test]
async fn streamed() {
    let site = start(Behaviour::Stream).await;
    let response = site.router.call("/stream/a", "a1").await;
    assert!(response.whole);
    assert_eq!(response.body, events(1, EVENTS));
}

/// A stream that breaks within an event is resumed at another target after the
/// last complete event. The caller receives the head from the first target only.
#[tokio::test]
async fn stream_resumed() {
    let site = start(Behaviour::Stream).await;
    site.first.set(Behaviour::Break(2));
    for number in 0..4 {
        let response = site.router.call("/resume/a", &format!("a{number}")).await;
        assert!(response.whole);
        assert_eq!(response.body, events(1, EVENTS));
        let first = response.headers["x-response-signature"]
            .to_str()
            .expect("text");
        assert!(first.starts_with("signed-by-i-"));
    }
    let resumed: Vec<_> = site.second.runs().into_iter().collect();
    let resumed = resumed
        .iter()
        .filter(|run| run.headers.contains_key("last-event-id"));
    assert!(
        resumed
            .clone()
            .all(|run| run.headers["last-event-id"] == "2")
    );
    assert!(resumed.count() > 0);
}

/// A stream that cannot be resumed is aborted, so that it does not look complete.
#[tokio::test]
async fn stream_aborted() {
    let site = start(Behaviour::Break(2)).await;
    let response = site.router.call("/stream/a", "a1").await;
    assert!(!response.whole);
    assert_eq!(response.body, events(1, 2));
    assert_eq!(site.runs(), 1);
}

/// Starts a router before a single target whose bytes the test writes.
async fn listening_target() -> (Rows, TcpListener, Router) {
    let table = Rows::start().expect("a table");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    fakes::site::configure(&table, 1, &[site::KEY]);
    let address = listener.local_addr().expect("bound");
    fakes::site::list(&table, "i-1", address, "ready", 1);
    let router = site::router(site::settings(table.address(), &[])).await;
    router.ready().await;
    (table, listener, router)
}

/// A target that closes the connection before the last chunk has not completed
/// the stream, so the caller's response is aborted.
#[tokio::test]
async fn stream_truncated() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n\
        Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let (_table, listener, router) = listening_target().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        let mut request = vec![0; 4_096];
        let read = stream.read(&mut request).await.expect("reads");
        assert!(read > 0);
        let event = events(1, 1);
        let chunk = format!("{HEAD}{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await.expect("writes");
        stream.shutdown().await.expect("closes");
    });
    let response = router.call("/stream/a", "a1").await;
    assert_eq!(response.body, events(1, 1));
    assert!(!response.whole);
}

/// A target writes an earlier refusal once more on a kept connection, in place of
/// the response to the next request, which it runs. The refusal does not belong to
/// that request, whether or not it names an attempt.
#[tokio::test]
async fn repeated_refusal() {
    const BUSY: &str =
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n";
    const DONE: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n\r\n";
    for named in ["X-Attempt-Id: a0\r\n", ""] {
        let (_table, listener, router) = listening_target().await;
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accepts");
            let mut request = vec![0; 4_096];
            for response in [DONE, &format!("{BUSY}{named}\r\n")] {
                let read = stream.read(&mut request).await.expect("reads");
                assert!(read > 0);
                stream.write_all(response.as_bytes()).await.expect("writes");
            }
            // The request runs until the connection is closed.
            let closed = stream.read(&mut request).await;
            assert!(closed.is_err() || closed.is_ok_and(|read| read == 0));
        });
        let first = router.call("/once/a", "a1").await;
        assert_eq!(first.status, StatusCode::OK);
        let response = router.call("/once/a", "a2").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "named {named:?}");
    }
}

/// A stream breaks off, and the next target responds with an error. The caller
/// must see neither the error's text nor a complete stream.
#[tokio::test]
async fn error_while_resuming() {
    for behaviour in [Behaviour::Fail, Behaviour::Echo, Behaviour::Busy] {
        let site = start(behaviour).await;
        site.first.set(Behaviour::Break(2));
        let mut broken = 0;
        for number in 0..6 {
            let response = site.router.call("/resume/a", &format!("a{number}")).await;
            if response.headers.contains_key("content-type")
                && response.headers["content-type"] == "text/event-stream"
            {
                broken += 1;
                assert_eq!(response.body, events(1, 2), "{behaviour:?}");
                assert!(!response.whole, "{behaviour:?}");
            }
        }
        assert!(broken > 0, "no stream began before the error");
    }
}

/// When a caller disconnects, the request at the target is cancelled soon after.
#[tokio::test]
async fn caller_disconnected() {
    let site = start(Behaviour::Endless).await;
    let mut caller = TcpStream::connect(site.router.shared.settings.callers)
        .await
        .expect("connects");
    let head = format!(
        "POST /stream/a HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nApi-Key: {}\r\nContent-Length: 0\r\n\r\n",
        site::KEY
    );
    caller.write_all(head.as_bytes()).await.expect("sends");
    let streams = || site.first.streams() + site.second.streams();
    site::until("the stream begins", || streams() == 1).await;
    drop(caller);
    let left = time::Instant::now();
    site::until("the stream ends", || streams() == 0).await;
    assert!(left.elapsed() < Duration::from_millis(500));
}

/// A request in progress is completed while the router stops, and no further
/// caller is accepted.
#[tokio::test]
async fn graceful_stop() {
    let site = start(Behaviour::Echo).await;
    site.first.set(Behaviour::Hang);
    site.second.set(Behaviour::Hang);
    let waiting = site.router.call("/once/a", "a1");
    let close = async {
        site::until("the request runs", || site.runs() == 1).await;
        site.router.close();
    };
    let (response, ()) = tokio::join!(waiting, close);
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(response.headers["connection"], "close");
    let refused = TcpStream::connect(site.router.shared.settings.callers).await;
    assert!(refused.is_err());
}

/// A request whose content crashed two targets is refused, also as another
/// attempt. Requests with other content still run.
#[tokio::test]
async fn crashing_request() {
    let site = start(Behaviour::Crash).await;
    for number in 0..2 {
        let response = site.router.call("/once/a", &format!("a{number}")).await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(site.runs(), 2);
    time::sleep(Duration::from_millis(2_500)).await;
    for number in 2..6 {
        let response = site.router.call("/once/a", &format!("a{number}")).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(site.runs(), 2);
    site.first.set(Behaviour::Echo);
    site.second.set(Behaviour::Echo);
    let other = site.router.call("/once/b", "b1").await;
    assert_eq!(other.status, StatusCode::OK);
}

/// The targets that are left keep their ids. They crash under a request that may be
/// repeated, start again and crash again; their rows show the new start or not yet.
#[tokio::test]
async fn crashes_under_ids() {
    for is_listed in [true, false] {
        let site = start(Behaviour::Crash).await;
        for number in 0..5 {
            site.router.call("/again/a", &format!("a{number}")).await;
            time::sleep(Duration::from_millis(2_100)).await;
            for target in [&site.first, &site.second] {
                if is_listed {
                    let (id, address) = (target.id(), target.address());
                    fakes::site::list(&site.table, id, address, "ready", 2 + number);
                }
            }
            time::sleep(Duration::from_millis(300)).await;
        }
        let crashes = site.runs();
        assert!((3..=4).contains(&crashes), "{crashes}, listed {is_listed}");
        let response = site.router.call("/again/a", "last").await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(site.runs(), crashes);
    }
}

/// Sends a request head and a long body in pieces, as over a slow link, and
/// returns the status line of the response.
async fn long_body(router: SocketAddr, path: &str, key: &str, length: usize) -> String {
    const PIECE: usize = 64 * 1024;
    let mut stream = TcpStream::connect(router).await.expect("connects");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: long\r\napi-key: {key}\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("a head");
    for _ in 0..length / PIECE {
        stream.write_all(&[b'x'; PIECE]).await.expect("a piece");
        time::sleep(Duration::from_millis(5)).await;
    }
    let mut answer = [0; 1_024];
    let count = stream.read(&mut answer).await.expect("an answer");
    let text = String::from_utf8_lossy(&answer[..count]);
    text.lines().next().unwrap_or_default().to_owned()
}

/// A request is refused before its body is read. Closing the connection with
/// unread bytes would reset it, and the caller would not receive the response.
#[tokio::test]
async fn early_refusal() {
    const LENGTH: usize = 2 * 1024 * 1024;
    let site = start(Behaviour::Echo).await;
    let router = site.router.shared.settings.callers;
    let large = long_body(router, "/once/a", site::KEY, LENGTH).await;
    assert_eq!(large, "HTTP/1.1 413 Payload Too Large");
    let unknown = long_body(router, "/once/a", "nobody", LENGTH).await;
    assert_eq!(unknown, "HTTP/1.1 401 Unauthorized");
    let elsewhere = long_body(router, "/elsewhere/", site::KEY, LENGTH).await;
    assert_eq!(elsewhere, "HTTP/1.1 404 Not Found");
    assert_eq!(site.runs(), 0);
}
