//! Targets that answer before they have read the request's body, and reset the
//! connection.

mod site;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use fakes::{rows::Rows, site::Options};
use http_body_util::Full;
use site::Router;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};

/// Lengths of the request's body. The kernel's buffers hold less than the second, so
/// that it is still being written when the answer arrives.
const BODY_BYTES: [usize; 2] = [200_000, 4_000_000];

/// What a target does with a request.
#[derive(Clone, Copy, Debug)]
struct Answer {
    /// Length of the request's body.
    upload: usize,
    /// Bytes that it reads before it answers.
    read: usize,
    /// Length of the part of the response body that it sends.
    part: usize,
    /// Time from the answer to the reset.
    pause: Duration,
    /// Whether it resets the connection itself; otherwise its kernel does, because it
    /// closes with unread bytes.
    abort: bool,
    /// Whether the body is a stream of events.
    events: bool,
}

impl Answer {
    fn kind(self) -> &'static str {
        match self.events {
            true => "text/event-stream",
            false => "text/plain",
        }
    }

    /// Returns the part of the body that is sent, which ends with a whole event if it is
    /// a stream.
    fn body(self) -> String {
        match self.events {
            true => format!("id: 1\ndata: {}\n\n", "x".repeat(self.part)),
            false => "x".repeat(self.part),
        }
    }
}

async fn respond(mut stream: TcpStream, answer: Answer) -> std::io::Result<()> {
    let mut read = Vec::new();
    let mut buffer = vec![0; 16 * 1024];
    while read.len() < answer.read.max(1) {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        read.extend_from_slice(&buffer[..count]);
    }
    let text = String::from_utf8_lossy(&read);
    let mut lines = text.lines();
    let attempt = lines.find_map(|line| line.strip_prefix("x-attempt-id: "));
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Response-Signature: s\r\nContent-Type: {}\r\n\r\n",
        attempt.unwrap_or_default(),
        answer.kind()
    );
    stream.write_all((head + &answer.body()).as_bytes()).await?;
    time::sleep(answer.pause).await;
    if answer.abort {
        stream.set_zero_linger()?;
    }
    Ok(())
}

async fn start() -> (Rows, Router, watch::Sender<Option<Answer>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address: SocketAddr = listener.local_addr().expect("bound");
    let (sender, answers) = watch::channel(None::<Answer>);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = *answers.borrow();
            if let Some(answer) = answer {
                tokio::spawn(respond(stream, answer));
            }
        }
    });
    let table = Rows::start().expect("a table");
    let options = Options {
        body: BODY_BYTES[1],
        ..Options::default()
    };
    fakes::site::configure_with(&table, 1, &[site::KEY], options);
    fakes::site::list(&table, "i-1", address, "ready", 1);
    let router = site::router(site::settings(table.address(), &[])).await;
    router.ready().await;
    (table, router, sender)
}

/// A response without a length ends with its connection. If the connection is reset
/// while the request is still being written, the caller must not get the part that
/// arrived as a complete response.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn reset_upload() {
    let mut whole = Vec::new();
    for answer in answers() {
        // Errors of a target keep it from getting requests for some time.
        let (_table, router, sender) = start().await;
        sender.send_replace(Some(answer));
        let path = match answer.events {
            true => "/stream/upload",
            false => "/once/upload",
        };
        let mut request = site::request(path, "a1");
        *request.body_mut() = Full::new(Bytes::from(vec![b'u'; answer.upload]));
        if let Some(response) = router.try_send(request).await
            && response.whole
            && response.status.is_success()
        {
            whole.push((answer, response.body.len()));
        }
    }
    assert!(whole.is_empty(), "{} as complete: {whole:?}", whole.len());
}

fn answers() -> Vec<Answer> {
    let mut answers = Vec::new();
    for (upload, read) in BODY_BYTES
        .into_iter()
        .flat_map(|it| [(it, 1), (it, it / 3)])
    {
        for part in [1, 100, 100_000] {
            for pause in [0, 1, 20] {
                for (abort, events) in [(false, false), (false, true), (true, false), (true, true)]
                {
                    answers.push(Answer {
                        upload,
                        read,
                        part,
                        pause: Duration::from_millis(pause),
                        abort,
                        events,
                    });
                }
            }
        }
    }
    answers
}
