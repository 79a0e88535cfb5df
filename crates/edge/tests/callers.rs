//! Callers that send a request slowly, or stay connected without sending one.

mod site;

use std::time::Duration;

use fakes::{
    rows::Rows,
    runner::{Behaviour, Runner},
    site::Options,
};
use site::Router;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{self, Instant},
};

/// Time beyond the limits in which a connection must be closed: it covers the
/// router's margin of three seconds and its check once per second.
const CLOSE_TIME: Duration = Duration::from_secs(6);

const OPTIONS: Options = Options {
    head: 200,
    idle: 300,
    body: fakes::site::MAX_BODY,
    engines: false,
    rule_regions: &[],
    team_regions: &[],
};

async fn start(table: &Rows, runner: &Runner) -> Router {
    fakes::site::configure_with(table, 1, &[site::KEY], OPTIONS);
    fakes::site::list_runner(table, runner, "ready");
    let router = site::router(site::settings(table.address(), &[])).await;
    router.ready().await;
    router
}

async fn closed(mut stream: TcpStream) -> bool {
    let mut bytes = Vec::new();
    let read = time::timeout(CLOSE_TIME, stream.read_to_end(&mut bytes)).await;
    read.is_ok()
}

/// A connection on which a request head never ends is closed like an idle one.
#[tokio::test]
async fn endless_head() {
    let table = Rows::start().expect("a table");
    let runner = Runner::start("i-1", Behaviour::Echo).expect("a target");
    let router = start(&table, &runner).await;
    let connect = TcpStream::connect(router.shared.settings.callers);
    let mut stream = connect.await.expect("connects");
    let part = b"POST /once/a HTTP/1.1\r\nHost: h.example\r\nX-Att";
    stream.write_all(part).await.expect("sends");
    assert!(closed(stream).await);
}

/// An idle connection is closed, but not before the idle timeout.
#[tokio::test]
async fn idle_connection() {
    let table = Rows::start().expect("a table");
    let runner = Runner::start("i-1", Behaviour::Echo).expect("a target");
    let router = start(&table, &runner).await;
    let connect = TcpStream::connect(router.shared.settings.callers);
    let mut stream = connect.await.expect("connects");
    let head = format!(
        "GET /again/a HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nApi-Key: {}\r\n\r\n",
        site::KEY
    );
    stream.write_all(head.as_bytes()).await.expect("sends");
    let mut answer = [0; 1_024];
    assert!(stream.read(&mut answer).await.expect("an answer") > 0);
    let answered = Instant::now();
    assert!(closed(stream).await);
    assert!(answered.elapsed() > Duration::from_millis(OPTIONS.idle));
}

/// The rest of a body that arrives after the response is not taken for the beginning
/// of a head: the connection stays usable for longer than a head may take.
#[tokio::test]
async fn late_body() {
    let table = Rows::start().expect("a table");
    let runner = Runner::start("i-1", Behaviour::Echo).expect("a target");
    let router = start(&table, &runner).await;
    let connect = TcpStream::connect(router.shared.settings.callers);
    let mut stream = connect.await.expect("connects");
    let body = [b'x'; 1_000];
    let head = format!(
        "POST /none/a HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    for _ in 0..2 {
        stream.write_all(head.as_bytes()).await.expect("sends");
        let mut answer = [0; 1_024];
        let read = stream.read(&mut answer).await.expect("an answer");
        assert!(answer[..read].starts_with(b"HTTP/1.1 404"));
        stream.write_all(&body).await.expect("sends");
        time::sleep(Duration::from_millis(OPTIONS.head + 2_200)).await;
    }
}
