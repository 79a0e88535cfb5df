//! Targets and callers that send data without end.

mod site;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use base::size::Size;
use edge::fleet::TargetHash;
use fakes::{
    rows::Rows,
    runner::{Behaviour, Runner},
    site::RULE_MILLIS,
};
use http::StatusCode;
use site::Router;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

/// Memory of the router in these tests, a quarter of which may be used for bodies.
const MEMORY: Size = Size(64 << 20);

/// Upper bound for the bytes that the socket buffers of both sides hold before the
/// sender blocks.
const BUFFERS: usize = 16 << 20;

struct Site {
    router: Router,
    _table: Rows,
}

async fn start(target: SocketAddr) -> Site {
    let table = Rows::start().expect("a table");
    fakes::site::configure(&table, 1, &[site::KEY]);
    fakes::site::list(&table, "i-1", target, "ready", 1);
    let mut settings = site::settings(table.address(), &[]);
    settings.memory = MEMORY;
    let router = site::router(settings).await;
    router.ready().await;
    Site {
        router,
        _table: table,
    }
}

/// The data that a raw target sends after it received a request.
#[derive(Clone, Copy)]
struct Reply {
    start: &'static str,
    piece: &'static str,
    pause: Duration,
}

/// Starts a target that sends pieces until its connection is closed. Returns its
/// address and a counter of the bytes that it sent.
async fn raw_target(reply: Reply) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let sent = Arc::new(AtomicUsize::new(0));
    let count = sent.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send_pieces(stream, reply, count.clone()));
        }
    });
    (address, sent)
}

async fn send_pieces(mut stream: TcpStream, reply: Reply, sent: Arc<AtomicUsize>) {
    let mut head = [0; 4_096];
    if stream.read(&mut head).await.unwrap_or(0) == 0 {
        return;
    }
    let mut next = reply.start;
    while stream.write_all(next.as_bytes()).await.is_ok() {
        sent.fetch_add(next.len(), Ordering::Relaxed);
        next = reply.piece;
        if reply.pause > Duration::ZERO {
            time::sleep(reply.pause).await;
        }
    }
}

/// Checks that the target sends no more data because its connection is closed.
/// Returns the number of bytes that it sent.
async fn stopped(sent: &AtomicUsize) -> usize {
    time::sleep(Duration::from_millis(100)).await;
    let total = sent.load(Ordering::Relaxed);
    time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        sent.load(Ordering::Relaxed),
        total,
        "the target still sends"
    );
    total
}

fn is_aside(router: &Router) -> bool {
    let id = "i-1".parse().expect("an id");
    let fleet = router.shared.fleet.load_full().expect("targets are known");
    let target = fleet.target(TargetHash::of(&id)).expect("the target");
    target.blocked_for(router.shared.clock.now()).is_some()
}

/// When a response head never ends, the router reads a bounded number of bytes and
/// responds to the caller long before the deadline.
#[tokio::test]
async fn endless_head() {
    let reply = Reply {
        start: "HTTP/1.1 200 OK\r\n",
        piece: "x-filler: 0123456789012345678901234567890123456789\r\n",
        pause: Duration::ZERO,
    };
    let (address, sent) = raw_target(reply).await;
    let site = start(address).await;
    let began = Instant::now();
    let response = site.router.call("/once/a", "a1").await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert!(began.elapsed() < Duration::from_millis(RULE_MILLIS / 2));
    let total = stopped(&sent).await;
    assert!(total < BUFFERS, "{total}");
}

/// When a head or a body is sent very slowly, the caller receives a 504 at the
/// deadline.
#[tokio::test]
async fn slow_bytes() {
    let body = "HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-signature: s\r\n\
                transfer-encoding: chunked\r\n\r\n";
    for (first, piece) in [("HTTP/1.1 200 OK\r\nx-a: ", "b"), (body, "1\r\nb\r\n")] {
        let reply = Reply {
            start: first,
            piece,
            pause: Duration::from_millis(10),
        };
        let (address, _) = raw_target(reply).await;
        let site = start(address).await;
        let began = Instant::now();
        let response = site.router.call("/once/a", "a1").await;
        assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
        let took = began.elapsed().as_millis() as u64;
        assert!((RULE_MILLIS..RULE_MILLIS + 400).contains(&took), "{took}");
    }
}

/// Many concurrent endless bodies: together they stay within the memory for bodies,
/// every caller receives an error, and the target gets no further requests for
/// some time.
#[tokio::test]
async fn endless_bodies() {
    const CALLERS: usize = 12;
    let runner = Runner::start("i-1", Behaviour::Flood).expect("a target");
    let site = start(runner.address()).await;
    let room = site.router.shared.room.clone();
    let watch = tokio::spawn(async move {
        let mut most = 0;
        loop {
            most = room.used().max(most);
            time::sleep(Duration::from_millis(1)).await;
            if most > 0 && room.used() == 0 {
                return most;
            }
        }
    });
    let attempts: Vec<String> = (0..CALLERS).map(|number| format!("a{number}")).collect();
    let calls = attempts.iter().map(|id| site.router.call("/once/a", id));
    let responses = futures_util::future::join_all(calls).await;
    for response in responses {
        let failed = [StatusCode::BAD_GATEWAY, StatusCode::SERVICE_UNAVAILABLE];
        assert!(failed.contains(&response.status), "{}", response.status);
    }
    assert!(is_aside(&site.router));
    let most = time::timeout(Duration::from_secs(5), watch).await;
    let most = most.expect("the room is free again").expect("no panic");
    assert!(most <= MEMORY.as_usize() / 4, "{most}");
    site::until("no stream is open", || runner.streams() == 0).await;
}

/// Parts of a response that the HTTP library consumes without passing them on never
/// end, slowly enough for the router to do other work: its memory stays bounded, and
/// the caller gets a final answer.
#[tokio::test]
async fn endless_framing() {
    let chunked = "HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-signature: s\r\n\
                   transfer-encoding: chunked\r\n\r\n";
    let trailers = "HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-signature: s\r\n\
                    transfer-encoding: chunked\r\n\r\n0\r\n";
    let extension = "HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-signature: s\r\n\
                     transfer-encoding: chunked\r\n\r\n1;a=";
    let filler = "0123456789abcdef0123456789abcdef";
    for (first, piece) in [
        ("", filler),
        ("HTTP/1.1 200 OK\r\nx-a: ", filler),
        ("HTTP/1.1 200 ", filler),
        (trailers, "x-a: 0123456789\r\n"),
        (extension, filler),
        (chunked, "00000000"),
        ("HTTP/1.1 100 Continue\r\n", "x-a: 0123456789\r\n"),
    ] {
        let (address, sent) = raw_target(Reply {
            start: first,
            piece,
            pause: Duration::ZERO,
        })
        .await;
        let site = start(address).await;
        let response = site.router.call("/once/a", "a1").await;
        let label = format!("{first:?}, {piece:?}");
        assert!(response.status.is_server_error(), "{label}");
        assert!(stopped(&sent).await < BUFFERS, "{label}");
        assert_eq!(site.router.shared.room.used(), 0, "{label}");
    }
}

/// A stream whose event never ends is aborted.
#[tokio::test]
async fn endless_event() {
    let head = "HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-signature: s\r\n\
                content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let reply = Reply {
        start: head,
        piece: "10\r\n0123456789abcdef\r\n",
        pause: Duration::ZERO,
    };
    let (address, sent) = raw_target(reply).await;
    let site = start(address).await;
    let began = Instant::now();
    let response = site.router.call("/stream/a", "a1").await;
    assert!(!response.whole && response.body.is_empty());
    assert!(began.elapsed() < Duration::from_millis(RULE_MILLIS));
    stopped(&sent).await;
}

/// A request whose body does not fit in the memory for bodies is refused with a
/// `Retry-After` header, and no target processes it.
#[tokio::test]
async fn no_room() {
    let runner = Runner::start("i-1", Behaviour::Echo).expect("a target");
    let table = Rows::start().expect("a table");
    fakes::site::configure(&table, 1, &[site::KEY]);
    fakes::site::list_runner(&table, &runner, "ready");
    let mut settings = site::settings(table.address(), &[]);
    settings.memory = Size(8);
    let router = site::router(settings).await;
    router.ready().await;
    let response = router.call("/once/a", "a1").await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    assert!(runner.runs().is_empty());
}

/// Interim responses never end. The router reads a bounded number of bytes, other
/// callers and the timers on the same thread are served in time, and the target gets
/// no further requests for some time.
#[tokio::test]
async fn endless_interim() {
    let reply = Reply {
        start: "HTTP/1.1 100\r\n\r\n",
        piece: INTERIM,
        pause: Duration::ZERO,
    };
    let (address, sent) = raw_target(reply).await;
    let site = start(address).await;
    let began = Instant::now();
    let calls = (0..8).map(|number| {
        let router = &site.router;
        async move { router.call("/once/a", &format!("a{number}")).await.status }
    });
    let statuses = futures_util::future::join_all(calls).await;
    assert!(began.elapsed() < Duration::from_millis(RULE_MILLIS / 2));
    for status in statuses {
        assert!(status.is_server_error(), "{status}");
    }
    assert!(is_aside(&site.router));
    let total = stopped(&sent).await;
    assert!(total < BUFFERS, "{total}");
}

/// Sixteen interim responses.
const INTERIM: &str = "HTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\n\
    HTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\n\
    HTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\n\
    HTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 100\r\n\r\n\
    HTTP/1.1 100\r\n\r\n";

/// Interim responses come so slowly that the time limit ends the request: the
/// target never completed its head, and gets no further requests after some.
#[tokio::test]
async fn slow_interim() {
    let reply = Reply {
        start: "HTTP/1.1 100\r\n\r\n",
        piece: "HTTP/1.1 102\r\n\r\n",
        pause: Duration::from_millis(20),
    };
    let (address, _) = raw_target(reply).await;
    let site = start(address).await;
    for number in 0..10 {
        let response = site.router.call("/once/a", &format!("a{number}")).await;
        if response.status == StatusCode::SERVICE_UNAVAILABLE {
            break;
        }
        assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
        if is_aside(&site.router) {
            break;
        }
    }
    assert!(is_aside(&site.router));
}

/// A target that sends some interim responses before its answer is served as usual.
#[tokio::test]
async fn some_interim() {
    let reply = Reply {
        start: INTERIM,
        piece: "HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-signature: s\r\n\
                content-length: 2\r\n\r\nok",
        pause: Duration::from_millis(20),
    };
    let (address, _) = raw_target(reply).await;
    let site = start(address).await;
    let response = site.router.call("/once/a", "a1").await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(&response.body[..], b"ok");
    assert!(!is_aside(&site.router));
}
