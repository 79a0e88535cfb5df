//! Targets and callers that send bytes without end.

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

/// Memory of the router in these tests: a quarter of it may hold bodies.
const MEMORY: Size = Size(64 << 20);

/// Bytes that buffers of both systems take before the sender must wait.
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

/// What a raw target sends after the request.
#[derive(Clone, Copy)]
struct Bytes {
    start: &'static str,
    piece: &'static str,
    pause: Duration,
}

/// A target that sends pieces until its connection is closed; returns its address
/// and the bytes that it sent.
async fn raw(bytes: Bytes) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let sent = Arc::new(AtomicUsize::new(0));
    let count = sent.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(pour(stream, bytes, count.clone()));
        }
    });
    (address, sent)
}

async fn pour(mut stream: TcpStream, bytes: Bytes, sent: Arc<AtomicUsize>) {
    let mut head = [0; 4_096];
    if stream.read(&mut head).await.unwrap_or(0) == 0 {
        return;
    }
    let mut next = bytes.start;
    while stream.write_all(next.as_bytes()).await.is_ok() {
        sent.fetch_add(next.len(), Ordering::Relaxed);
        next = bytes.piece;
        if bytes.pause > Duration::ZERO {
            time::sleep(bytes.pause).await;
        }
    }
}

/// Checks that a target can send no more, because its connection is closed;
/// returns the bytes that it sent.
async fn stopped(sent: &AtomicUsize) -> usize {
    time::sleep(Duration::from_millis(100)).await;
    let total = sent.load(Ordering::Relaxed);
    time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        sent.load(Ordering::Relaxed),
        total,
        "the connection is closed"
    );
    total
}

fn is_aside(router: &Router) -> bool {
    let id = "i-1".parse().expect("an id");
    let fleet = router.shared.fleet.load_full().expect("targets are known");
    let target = fleet.target(TargetHash::of(&id)).expect("the target");
    target.suspension(router.shared.clock.now()).is_some()
}

/// A head without an end: the caller is answered long before its time, after a
/// bounded number of bytes.
#[tokio::test]
async fn endless_head() {
    let bytes = Bytes {
        start: "HTTP/1.1 200 OK\r\n",
        piece: "x-filler: 0123456789012345678901234567890123456789\r\n",
        pause: Duration::ZERO,
    };
    let (address, sent) = raw(bytes).await;
    let site = start(address).await;
    let began = Instant::now();
    let response = site.router.call("/once/a", "a1").await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert!(began.elapsed() < Duration::from_millis(RULE_MILLIS / 2));
    let total = stopped(&sent).await;
    assert!(total < BUFFERS, "{total}");
}

/// A head and a body that trickle: the caller is answered at its time.
#[tokio::test]
async fn trickling_bytes() {
    let body = "HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-signature: s\r\n\
                transfer-encoding: chunked\r\n\r\n";
    for (first, piece) in [("HTTP/1.1 200 OK\r\nx-a: ", "b"), (body, "1\r\nb\r\n")] {
        let bytes = Bytes {
            start: first,
            piece,
            pause: Duration::from_millis(10),
        };
        let (address, _) = raw(bytes).await;
        let site = start(address).await;
        let began = Instant::now();
        let response = site.router.call("/once/a", "a1").await;
        assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
        let took = began.elapsed().as_millis() as u64;
        assert!((RULE_MILLIS..RULE_MILLIS + 400).contains(&took), "{took}");
    }
}

/// Bodies without an end, many at once: all of them together take no more than
/// the room, each caller gets a failure, and the target is set aside.
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

/// An event without an end breaks the stream off.
#[tokio::test]
async fn endless_event() {
    let head = "HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-signature: s\r\n\
                content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let bytes = Bytes {
        start: head,
        piece: "10\r\n0123456789abcdef\r\n",
        pause: Duration::ZERO,
    };
    let (address, sent) = raw(bytes).await;
    let site = start(address).await;
    let began = Instant::now();
    let response = site.router.call("/stream/a", "a1").await;
    assert!(!response.whole && response.body.is_empty());
    assert!(began.elapsed() < Duration::from_millis(RULE_MILLIS));
    stopped(&sent).await;
}

/// Bodies of callers that leave no room: the next is refused, not run, and asked
/// to come back.
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
