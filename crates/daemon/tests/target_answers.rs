//! What an agent takes for a response of its target.

use std::net::SocketAddr;

use base::id;
use bytes::Bytes;
use http_body_util::BodyExt;
use roles::{failure::Failure, target::Target};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use wire::msg;

/// Length of an upload that the kernel's buffers do not hold.
const UPLOAD_BYTES: usize = 4_000_000;

/// Starts a target that reads the start of each request, writes a response and resets
/// the connection.
async fn raw_target(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            if stream.read(&mut buffer).await.is_ok() {
                let _ = stream.write_all(response.as_bytes()).await;
                let _ = stream.set_zero_linger();
            }
        }
    });
    address
}

fn run(length: usize) -> msg::Run {
    msg::Run {
        method: "POST".to_owned(),
        path: "/upload".to_owned(),
        body: Bytes::from(vec![b'u'; length]),
        ..msg::Run::default()
    }
}

/// A response with a status that HTTP does not define must not reach the caller.
#[tokio::test]
async fn odd_statuses() {
    for status in ["000", "099", "101", "199", "600", "999", "1000", "20"] {
        let head = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 4\r\n\r\nbody");
        let target = Target::new(raw_target(head).await);
        let sent = target.send(id::RequestId(1), &run(10)).await;
        let is_broken = matches!(sent, Err(Failure::Broken(_)));
        assert!(is_broken, "status {status}");
    }
}

/// The part of a response without a length that arrives before a reset must not count
/// as complete, while the request is still being written.
#[tokio::test]
async fn reset_upload() {
    for _ in 0..20 {
        let head = "HTTP/1.1 200 OK\r\n\r\npart".to_owned();
        let target = Target::new(raw_target(head).await);
        if let Ok(response) = target.send(id::RequestId(1), &run(UPLOAD_BYTES)).await {
            assert!(response.into_body().collect().await.is_err());
        }
    }
}
