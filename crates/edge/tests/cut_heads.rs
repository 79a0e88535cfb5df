//! Targets that stop in the middle of the head of a response and close.

mod site;

use std::net::SocketAddr;

use fakes::rows::Rows;
use http::StatusCode;
use site::Router;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::watch,
};

/// Ways in which the body that never comes is framed.
const FRAMINGS: [&str; 3] = [
    "content-length: 4\r\n",
    "transfer-encoding: chunked\r\n",
    "",
];

/// What a raw target does with the second request on each connection: it sends this
/// many bytes of the head and closes.
#[derive(Clone, Copy, Debug, Default)]
struct Cut {
    framing: &'static str,
    length: usize,
}

fn head(attempt: &str, framing: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-response-signature: s\r\n\
         content-type: text/plain\r\n{framing}\r\n"
    )
}

/// Starts a target that answers requests to `/once/whole` and cuts the others.
async fn raw_target(cut: watch::Receiver<Cut>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let cut = cut.clone();
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                loop {
                    let count = stream.read(&mut buffer).await.unwrap_or(0);
                    let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
                    let lines = text.lines();
                    let mut ids = lines.filter_map(|line| line.strip_prefix("x-attempt-id: "));
                    let Some(attempt) = ids.next() else {
                        return;
                    };
                    if text.contains("/once/whole") {
                        let answer = head(attempt, FRAMINGS[0]) + "body";
                        let _ = stream.write_all(answer.as_bytes()).await;
                        continue;
                    }
                    let cut = *cut.borrow();
                    let head = head(attempt, cut.framing);
                    let _ = stream.write_all(&head.as_bytes()[..cut.length]).await;
                    return;
                }
            });
        }
    });
    address
}

async fn router(target: SocketAddr, table: &Rows) -> Router {
    fakes::site::configure(table, 1, &[site::KEY]);
    fakes::site::list(table, "i-1", target, "ready", 1);
    let router = site::router(site::settings(table.address(), &[])).await;
    router.ready().await;
    router
}

/// No part of a head is taken for a whole response with an empty or short body,
/// however the body would have been framed, on new connections and on kept ones.
#[tokio::test]
async fn cut_heads() {
    let (cut, cuts) = watch::channel(Cut::default());
    let target = raw_target(cuts).await;
    for framing in FRAMINGS {
        for length in 0..head("a000", framing).len() {
            cut.send_replace(Cut { framing, length });
            // Errors of a target keep it from getting requests for some time.
            let table = Rows::start().expect("a table");
            let router = router(target, &table).await;
            if length % 2 == 0 {
                let whole = router.call("/once/whole", "a000").await;
                assert_eq!(whole.status, StatusCode::OK);
            }
            let path = ["/once/cut", "/stream/cut"][length / 2 % 2];
            let response = router.call(path, "a000").await;
            let label = format!("{framing:?}, {length} bytes, {path}");
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{label}");
        }
    }
}
