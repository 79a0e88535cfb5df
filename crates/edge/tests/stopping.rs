//! Requests that arrive while the router is stopped, or last longer than that.

mod site;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::span::Span;
use fakes::{
    rows::Rows,
    runner::{Behaviour, Runner},
};
use site::Router;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time,
};

struct Site {
    router: Arc<Router>,
    target: Runner,
    _table: Rows,
}

impl Site {
    /// Starts a router that is killed `grace` milliseconds after its stop begins.
    async fn start(usual: Behaviour, grace: u64) -> Self {
        let table = Rows::start().expect("a table");
        let target = Runner::start("i-1", usual).expect("a target");
        fakes::site::configure(&table, 1, &[site::KEY]);
        fakes::site::list_runner(&table, &target, "ready");
        let mut settings = site::settings(table.address(), &[]);
        settings.bounds.grace = Span::from_millis(grace);
        let router = Arc::new(site::router(settings).await);
        router.ready().await;
        Self {
            router,
            target,
            _table: table,
        }
    }

    fn stop(&self) -> JoinHandle<()> {
        let router = self.router.clone();
        tokio::spawn(async move { router.stop().await })
    }

    async fn connect(&self) -> TcpStream {
        let address = self.router.shared.settings.callers;
        TcpStream::connect(address).await.expect("connects")
    }
}

fn head(path: &str, limit: u64) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: {}\r\n\
         x-deadline-ms: {limit}\r\napi-key: {}\r\ncontent-length: 4\r\n\r\n",
        path.replace('/', "-"),
        site::KEY
    )
}

async fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("writes");
}

/// Returns all that the router sends until it closes the connection.
async fn read(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let read = stream.read_to_string(&mut text);
    let read = time::timeout(Duration::from_secs(5), read).await;
    read.expect("the connection is closed").expect("reads");
    text
}

/// Requests of which a part was sent before the router closed are complete after
/// that, and may last longer than the process.
#[tokio::test]
async fn late_requests() {
    let site = Site::start(Behaviour::Hang, 4_200).await;
    let stopped = site.stop();
    time::sleep(Duration::from_millis(2_500)).await;
    let (mut begun, mut bodiless) = (site.connect().await, site.connect().await);
    let text = head("/once/begun", 2_000);
    let (first, rest) = text.split_at(40);
    write(&mut begun, first).await;
    write(&mut bodiless, &head("/once/bodiless", 2_000)).await;
    time::sleep(Duration::from_millis(500)).await;
    write(&mut begun, rest).await;
    for stream in [&mut begun, &mut bodiless] {
        write(stream, "body").await;
        let answer = read(stream).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
    }
    assert_eq!(site.target.runs().len(), 0);
    stopped.await.expect("stops");
}

/// A late request that will be answered before the exit is served.
#[tokio::test]
async fn short_request() {
    let site = Site::start(Behaviour::Echo, 6_000).await;
    let stopped = site.stop();
    time::sleep(Duration::from_millis(2_500)).await;
    let mut stream = site.connect().await;
    write(&mut stream, &head("/once/short", 1_500)).await;
    time::sleep(Duration::from_millis(500)).await;
    write(&mut stream, "body").await;
    let answer = read(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("body"), "{answer}");
    stopped.await.expect("stops");
}

/// A request that was accepted in rotation lasts until the process exits: its caller
/// gets an answer before that.
#[tokio::test]
async fn longest_request() {
    let site = Site::start(Behaviour::Hang, 3_600).await;
    let began = Instant::now();
    let stopped = site.stop();
    time::sleep(Duration::from_millis(2_500)).await;
    let mut stream = site.connect().await;
    write(&mut stream, &head("/once/long", 2_000)).await;
    write(&mut stream, "body").await;
    let answer = read(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    assert!(began.elapsed() < Duration::from_millis(3_600));
    assert_eq!(site.target.runs().len(), 1);
    stopped.await.expect("stops");
}
