//! Targets in trouble whose responses have a status that HTTP does not define.

mod site;

use std::net::SocketAddr;

use fakes::rows::Rows;
use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Statuses that are not those of a final response.
const STATUSES: [&str; 14] = [
    "000", "001", "099", "101", "199", "600", "700", "999", "1000", "20", "2", "-20", "2x0", "",
];

/// Ways in which the body is framed.
const FRAMINGS: [&str; 2] = ["Content-Length: 4\r\n", ""];

/// Starts a target that gives each response a status, and closes the connection.
async fn target(status: &'static str, framing: &'static str, kind: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                let read = stream.read(&mut buffer).await?;
                let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
                let mut lines = text.lines();
                let attempt = lines.find_map(|line| line.strip_prefix("x-attempt-id: "));
                let response = format!(
                    "HTTP/1.1 {status} Odd\r\nX-Attempt-Id: {}\r\nX-Response-Signature: s\r\n\
                     Content-Type: {kind}\r\n{framing}\r\nbody",
                    attempt.unwrap_or_default()
                );
                stream.write_all(response.as_bytes()).await?;
                stream.shutdown().await
            });
        }
    });
    address
}

/// Bytes that are no response in the protocol must not be passed on as one: a response
/// with an undefined status is answered with 502, as the request may have run.
#[tokio::test]
async fn odd_statuses() {
    let mut passed = Vec::new();
    for status in STATUSES {
        for framing in FRAMINGS {
            for (path, kind) in [
                ("/once/a", "text/plain"),
                ("/again/a", "text/plain"),
                ("/stream/a", "text/event-stream"),
                ("/resume/a", "text/event-stream"),
            ] {
                let table = Rows::start().expect("a table");
                fakes::site::configure(&table, 1, &[site::KEY]);
                let address = target(status, framing, kind).await;
                fakes::site::list(&table, "i-1", address, "ready", 1);
                let router = site::router(site::settings(table.address(), &[])).await;
                router.ready().await;
                let response = router.try_send(site::request(path, "a1")).await;
                let got = response.map(|response| response.status);
                if got != Some(StatusCode::BAD_GATEWAY) {
                    passed.push((status, framing, path, got));
                }
            }
        }
    }
    assert!(passed.is_empty(), "{passed:#?}");
}
