//! Streams into which a faulty target writes bytes of another response, in one
//! piece with sound events.

mod site;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use fakes::{
    rows::Rows,
    runner::{Behaviour, EVENTS, Runner, whole_stream},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
};

/// Time within which a target has to learn that its work is no longer wanted.
const CANCEL_TIME: Duration = Duration::from_millis(400);

/// Number of calls within which the faulty target gets a first attempt.
const CALLS: usize = 20;

/// How the body of the spoiled stream ends.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Chunks,
    Close,
    /// A length that covers all of it.
    Length,
    /// A length that ends with the stray bytes.
    Short,
}

/// Bytes that do not belong to the stream.
#[derive(Clone, Copy, Debug)]
enum Stray {
    /// An event of another stream with an id that the caller already has.
    Earlier,
    /// An event of another stream that is ahead of this one.
    Later,
    /// A second response that is a stream of its own.
    Response,
    /// A second response whose events have no ids.
    Unnumbered,
    /// A second response that is not a stream.
    Plain,
}

/// A spoiled stream: the events up to `after`, the stray bytes and the other events.
#[derive(Clone, Copy, Debug)]
struct Spoiled {
    framing: Framing,
    stray: Stray,
    after: u64,
    /// Whether the events before the last one are written separately.
    apart: bool,
    /// Whether the events after the stray bytes are written separately.
    late: bool,
}

const FRAMINGS: [Framing; 4] = [
    Framing::Chunks,
    Framing::Close,
    Framing::Length,
    Framing::Short,
];

const STRAYS: [Stray; 5] = [
    Stray::Earlier,
    Stray::Later,
    Stray::Response,
    Stray::Unnumbered,
    Stray::Plain,
];

fn events(first: u64, last: u64) -> String {
    (first..=last)
        .map(|id| format!("id: {id}\ndata: event {id}\n\n"))
        .collect()
}

fn foreign(id: u64) -> String {
    format!("id: {id}\ndata: event of another request\n\n")
}

impl Spoiled {
    /// Returns whether the bytes after the stray ones show that they are stray.
    fn is_plain(self) -> bool {
        match self.stray {
            Stray::Earlier => self.after > 0,
            Stray::Later => self.after + 1 < EVENTS && !matches!(self.framing, Framing::Short),
            Stray::Response | Stray::Unnumbered | Stray::Plain => true,
        }
    }

    fn stray(self, head: &str) -> String {
        match self.stray {
            Stray::Earlier => foreign(1),
            Stray::Later => foreign(EVENTS),
            Stray::Response => (1..=EVENTS).fold(head.to_owned(), |all, id| all + &foreign(id)),
            Stray::Unnumbered => format!("{head}data: of another request\n\n"),
            Stray::Plain => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".to_owned(),
        }
    }

    async fn write(self, stream: &mut TcpStream, attempt: &str) -> std::io::Result<()> {
        let start = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: s\r\n\
             Content-Type: text/event-stream\r\n"
        );
        let before = if self.apart {
            self.after.saturating_sub(1)
        } else {
            0
        };
        let stray = self.stray(&format!("{start}Connection: close\r\n\r\n"));
        let first = events(1, before);
        let rest = match self.framing {
            Framing::Short => String::new(),
            Framing::Chunks | Framing::Close | Framing::Length => events(self.after + 1, EVENTS),
        };
        let mut second = events(before + 1, self.after) + &stray;
        let mut third = String::new();
        match self.late {
            true => third = rest,
            false => second += &rest,
        }
        let head = match self.framing {
            Framing::Chunks => format!("{start}Transfer-Encoding: chunked\r\n\r\n"),
            Framing::Close => format!("{start}Connection: close\r\n\r\n"),
            Framing::Length | Framing::Short => {
                let length = first.len() + second.len() + third.len();
                format!("{start}Content-Length: {length}\r\n\r\n")
            }
        };
        let frame = |text: &str| match self.framing {
            Framing::Chunks if !text.is_empty() => format!("{:x}\r\n{text}\r\n", text.len()),
            _ => text.to_owned(),
        };
        stream.write_all((head + &frame(&first)).as_bytes()).await?;
        if self.apart {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let end = match self.framing {
            Framing::Chunks => "0\r\n\r\n",
            Framing::Close | Framing::Length | Framing::Short => "",
        };
        stream.write_all(frame(&second).as_bytes()).await?;
        if self.late {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        stream.write_all((frame(&third) + end).as_bytes()).await?;
        stream.shutdown().await
    }
}

/// Starts a target that spoils the stream of each request, and counts the requests.
async fn faulty_target(spoiled: Spoiled) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let count = Arc::new(AtomicUsize::new(0));
    let seen = count.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let seen = seen.clone();
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                let read = stream.read(&mut buffer).await.unwrap_or(0);
                let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
                let mut lines = text.lines();
                let Some(attempt) = lines.find_map(|line| line.strip_prefix("x-attempt-id: "))
                else {
                    return;
                };
                seen.fetch_add(1, Ordering::Relaxed);
                let _ = spoiled.write(&mut stream, attempt).await;
            });
        }
    });
    (address, count)
}

/// Calls a path until the faulty target has got a request, and checks each response.
async fn check(spoiled: Spoiled, path: &str, is_right: impl Fn(Option<&site::Response>) -> bool) {
    let table = Rows::start().expect("a table");
    let (address, count) = faulty_target(spoiled).await;
    let sound = Runner::start("i-2", Behaviour::Stream).expect("a target");
    fakes::site::configure(&table, 1, &[site::KEY]);
    fakes::site::list(&table, "i-1", address, "ready", 1);
    fakes::site::list_runner(&table, &sound, "ready");
    let router = site::router(site::settings(table.address(), &[])).await;
    router.ready().await;
    for number in 0..CALLS {
        let request = site::request(path, &format!("a{number}"));
        let response = router.try_send(request).await;
        assert!(is_right(response.as_ref()), "{spoiled:?}: {response:?}");
        if count.load(Ordering::Relaxed) > 0 {
            return;
        }
    }
    panic!("no request reached the faulty target");
}

fn all_spoiled() -> impl Iterator<Item = Spoiled> {
    let framings = FRAMINGS.into_iter();
    let spoiled = framings.flat_map(|framing| {
        STRAYS.into_iter().flat_map(move |stray| {
            (0..=EVENTS).flat_map(move |after| {
                [false, true].into_iter().map(move |apart| Spoiled {
                    framing,
                    stray,
                    after,
                    apart,
                    late: false,
                })
            })
        })
    });
    spoiled.filter(|spoiled| spoiled.is_plain())
}

/// Events that were read together with stray bytes must not be lost when the stream is
/// resumed: a response that looks complete has each event of the run, and no other.
#[tokio::test]
async fn stray_resumed() {
    for spoiled in all_spoiled() {
        check(spoiled, "/resume/a", |response| {
            response.is_some_and(|it| it.whole && it.body == whole_stream())
        })
        .await;
    }
}

/// A stream that cannot be resumed is broken off at the stray bytes; the caller gets
/// sound events only, each once.
#[tokio::test]
async fn stray_aborted() {
    for spoiled in all_spoiled() {
        check(spoiled, "/stream/a", |response| {
            // The connection may end before the first event, without a head.
            response.is_none_or(|it| {
                let is_sound = whole_stream().as_bytes().starts_with(&it.body);
                is_sound && (!it.whole || it.body == whole_stream())
            })
        })
        .await;
    }
}

/// A stray event comes alone and is forwarded before the next event of the stream shows
/// it. What the caller gets then must not look complete.
#[tokio::test]
async fn stray_alone() {
    for framing in [Framing::Chunks, Framing::Close] {
        for after in 1..EVENTS - 1 {
            let spoiled = Spoiled {
                framing,
                stray: Stray::Later,
                after,
                apart: false,
                late: true,
            };
            check(spoiled, "/resume/a", |response| {
                response.is_none_or(|it| !it.whole || it.body == whole_stream())
            })
            .await;
        }
    }
}

/// Answers the first request with stray bytes once `write` says so, and works on. Returns
/// how long after that its connection was closed.
async fn serve_stray(listener: TcpListener, write: Arc<Notify>) -> Duration {
    let (mut stream, _) = listener.accept().await.expect("accepts");
    let mut buffer = [0; 4_096];
    let read = stream.read(&mut buffer).await.expect("reads");
    let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
    let mut lines = text.lines();
    let attempt = lines.find_map(|line| line.strip_prefix("x-attempt-id: "));
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Response-Signature: s\r\n\
         Content-Type: text/event-stream\r\n\r\n",
        attempt.unwrap_or_default()
    );
    write.notified().await;
    let response = head + &events(1, 2) + &foreign(1);
    let written = stream.write_all(response.as_bytes()).await;
    written.expect("writes");
    let began = Instant::now();
    let closed = stream.read(&mut buffer).await;
    assert!(closed.is_err() || closed.is_ok_and(|read| read == 0));
    began.elapsed()
}

/// A target that wrote stray bytes works on, and the next target takes long to respond.
/// Both must not work on the request: the first connection is closed at once.
#[tokio::test]
async fn stray_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let write = Arc::new(Notify::new());
    let faulty = tokio::spawn(serve_stray(listener, write.clone()));
    let table = Rows::start().expect("a table");
    fakes::site::configure(&table, 1, &[site::KEY]);
    fakes::site::list(&table, "i-1", address, "ready", 1);
    let router = site::router(site::settings(table.address(), &[])).await;
    router.ready().await;
    let slow = Runner::start("i-2", Behaviour::Hang).expect("a target");
    let listed = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        fakes::site::list_runner(&table, &slow, "ready");
        let targets = || {
            let fleet = router.shared.fleet.load();
            fleet
                .iter()
                .map(|fleet| fleet.targets().count())
                .sum::<usize>()
        };
        site::until("both targets are known", || targets() == 2).await;
        write.notify_one();
    };
    let request = site::request("/resume/a", "a1");
    let (_, ()) = tokio::join!(router.try_send(request), listed);
    let took = faulty.await.expect("the connection is closed");
    assert!(took < CANCEL_TIME, "closed after {took:?}");
    assert_eq!(slow.runs().len(), 1, "the stream is resumed");
}
