//! Clients outside our control, at the shipped program: bodies, heads and
//! connections that never end, and responses that nobody reads. They must not end
//! the process, exceed its memory or its descriptors, or lock out other callers.

use std::{
    fmt::{self, Write as _},
    fs, io,
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use fakes::{
    rows::Rows,
    runner::{Behaviour, Runner},
    site::Ports,
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{Mutex, MutexGuard},
    task::JoinSet,
    time::{self, Instant},
};

/// One process at a time, so that crowds do not slow each other down.
static PROCESS: Mutex<()> = Mutex::const_new(());

/// Memory of the instance.
const MEMORY_MB: usize = 64;

/// Descriptors of the instance.
const MAX_FILES: usize = 300;

/// Largest body that the configuration allows.
const MAX_BODY: usize = 4 << 20;

/// Key of the only team.
const KEY: &str = "key-1";

/// Time limit of every route. A body that stops may be held for this long.
const ROUTE_MILLIS: u64 = 8_000;

/// Time without progress after which a client is taken to have sent what it can.
const STUCK: Duration = Duration::from_secs(2);

/// Time for which a crowd stays connected after it has sent everything.
const HOLD: Duration = Duration::from_millis(300);

/// Time for an ordinary request to be answered; only a hanging process takes it.
const ANSWER_TIME: Duration = Duration::from_secs(40);

/// Where the clients connect, and what their heads say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Plain,
    Stream,
    NoRoute,
    UnknownKey,
    Ready,
    Metrics,
    Peers,
}

const PLACES: [Place; 7] = [
    Place::Plain,
    Place::Stream,
    Place::NoRoute,
    Place::UnknownKey,
    Place::Ready,
    Place::Metrics,
    Place::Peers,
];

impl Place {
    fn address(self, ports: &Ports) -> SocketAddr {
        let port = match self {
            Self::Ready => ports.ready,
            Self::Metrics => ports.metrics,
            Self::Peers => ports.peers,
            _ => ports.callers,
        };
        SocketAddr::from((ports.host, port))
    }

    /// Returns the head of a request without its last line break.
    fn head(self, method: &str, attempt: usize) -> String {
        let (path, key) = match self {
            Self::Stream => ("/stream/a", KEY),
            Self::NoRoute => ("/none/a", KEY),
            Self::UnknownKey => ("/again/a", "unknown"),
            _ => ("/again/a", KEY),
        };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: c{attempt}\r\n\
             X-Deadline-Ms: {ROUTE_MILLIS}\r\nApi-Key: {key}\r\n"
        )
    }
}

/// What one client sends before it stops: the first bytes, then a piece some times.
#[derive(Clone)]
struct Script {
    first: Vec<u8>,
    piece: Arc<[u8]>,
    repeats: usize,
    /// Pause before each piece.
    pause: Duration,
}

impl Script {
    fn new(first: String, piece: &[u8], repeats: usize) -> Self {
        Self {
            first: first.into_bytes(),
            piece: piece.into(),
            repeats,
            pause: Duration::ZERO,
        }
    }

    /// Puts a length before the bytes, as peers do, when the place is theirs.
    fn at(mut self, place: Place) -> Self {
        if place == Place::Peers {
            let length = (self.piece.len() * self.repeats + 1).min(15 << 20);
            self.first = (length as u32).to_be_bytes().to_vec();
        }
        self
    }
}

/// Connections that were opened and stay open until this is dropped.
struct Crowd {
    _clients: JoinSet<()>,
}

/// A router's process with its table and targets.
struct Site {
    ports: Ports,
    child: Child,
    /// Most descriptors seen.
    files: Arc<AtomicUsize>,
    sampled: Arc<AtomicBool>,
    plain: Runner,
    _streaming: Runner,
    _table: Rows,
    _guard: MutexGuard<'static, ()>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.sampled.store(false, Ordering::Relaxed);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn row(service: &str, address: SocketAddr) -> Value {
    json!({"service": service, "address": address.to_string(), "zone": "north",
           "batch_slots": 64, "state": "ready", "born": 1})
}

fn config() -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"name": name, "hostname": "h.example", "prefix": format!("/{name}/"), "type": kind,
               "timeout_ms": ROUTE_MILLIS, "service": service, "max_attempts": 2})
    };
    json!({
        "version": 1,
        "routes": [
            route("again", "idempotent", "plain"),
            route("stream", "streaming", "models"),
        ],
        "services": [
            {"name": "plain", "max_connections": 100},
            {"name": "models", "max_connections": 100, "backend_engine": {"bandwidth_mbps": 1000.0}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": MAX_BODY,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "team", "api_keys": [KEY]}],
    })
}

impl Site {
    async fn start(name: &str) -> Self {
        let guard = PROCESS.lock().await;
        let table = Rows::start().expect("a table");
        let plain = Runner::start("p-1", Behaviour::Echo).expect("a target");
        let streaming = Runner::start("m-1", Behaviour::Stream).expect("a target");
        let put = |name: &str, key: &str, value: Value| {
            table.put(name, key, value.to_string().as_bytes());
        };
        put("op", "config", config());
        put("servers", "p-1", row("plain", plain.address()));
        put("servers", "m-1", row("models", streaming.address()));
        let ports = Ports::free().expect("free ports");
        let settings = ports.settings("router-1", table.address());
        let limits = format!("[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FILES}\n");
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("clients-{name}.toml"));
        fs::write(&path, settings + &limits).expect("writes the settings");
        let child = Command::new(env!("CARGO_BIN_EXE_ebonywalld"))
            .args(["edge", "--log", "warn"])
            .env("EBONYWALL_NODE_FILE", &path)
            .stdout(Stdio::null())
            .spawn()
            .expect("starts");
        let mut site = Self {
            ports,
            child,
            files: Arc::default(),
            sampled: Arc::new(AtomicBool::new(true)),
            plain,
            _streaming: streaming,
            _table: table,
            _guard: guard,
        };
        site.sample_files();
        site.check("start").await;
        site
    }

    /// Counts the descriptors of the process many times a second.
    fn sample_files(&self) {
        let folder = format!("/proc/{}/fd", self.child.id());
        let (files, sampled) = (self.files.clone(), self.sampled.clone());
        std::thread::spawn(move || {
            while sampled.load(Ordering::Relaxed) {
                let count = fs::read_dir(&folder).map_or(0, Iterator::count);
                files.fetch_max(count, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(20));
            }
        });
    }

    /// Returns the largest resident memory so far, in bytes.
    fn peak_memory(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process lives");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kilobytes
            .and_then(|value| value.trim().parse::<usize>().ok())
            .expect("VmHWM")
            * 1_024
    }

    /// Starts clients and waits until each has sent everything or can send no more.
    async fn crowd(&self, place: Place, count: usize, script: impl Fn(usize) -> Script) -> Crowd {
        let address = place.address(&self.ports);
        let mut clients = JoinSet::new();
        let sent = Arc::new(AtomicUsize::new(0));
        for number in 0..count {
            let script = script(number).at(place);
            let sent = sent.clone();
            clients.spawn(async move {
                let stream = send(address, &script).await;
                sent.fetch_add(1, Ordering::Relaxed);
                if let Ok(_open) = stream {
                    std::future::pending::<()>().await;
                }
            });
        }
        while sent.load(Ordering::Relaxed) < count {
            time::sleep(Duration::from_millis(10)).await;
        }
        time::sleep(HOLD).await;
        Crowd { _clients: clients }
    }

    /// Checks that the process lives, is inside its limits, and answers an ordinary
    /// request and the readiness check.
    async fn check(&mut self, label: impl fmt::Display) {
        let end = Instant::now() + ANSWER_TIME;
        for (what, address, request) in self.ordinary() {
            loop {
                let status = self.child.try_wait().expect("a child");
                assert!(status.is_none(), "{label}: the process ended: {status:?}");
                let answer = time::timeout(STUCK, exchange(address, &request)).await;
                if matches!(&answer, Ok(Ok(text)) if text.starts_with("HTTP/1.1 200 OK")) {
                    break;
                }
                assert!(Instant::now() < end, "{label}: {what}: {answer:?}");
                time::sleep(Duration::from_millis(50)).await;
            }
        }
        let (memory, files) = (self.peak_memory(), self.files.load(Ordering::Relaxed));
        println!(
            "{label}: {} KB at the peak, {files} descriptors",
            memory >> 10
        );
        assert!(
            memory < MEMORY_MB << 20,
            "{label}: {memory} bytes of memory"
        );
        assert!(files <= MAX_FILES, "{label}: {files} descriptors");
    }

    /// Returns an ordinary request and the readiness check.
    fn ordinary(&self) -> [(&'static str, SocketAddr, String); 2] {
        let head = Place::Plain.head("POST", 0);
        let request = format!("{head}Content-Length: 8\r\nConnection: close\r\n\r\nthe body");
        let ready = "GET / HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n".to_owned();
        [
            ("request", self.ports.callers(), request),
            ("readiness", self.ports.ready(), ready),
        ]
    }

    /// Plays clients at every place and checks after each that the crowd harmed
    /// nobody, first while it stays connected.
    async fn play(&mut self, count: usize, script: impl Fn(Place, usize) -> Script) {
        for place in PLACES {
            let crowd = self
                .crowd(place, count, |number| script(place, number))
                .await;
            self.check(format_args!("{place:?}, connected")).await;
            drop(crowd);
            self.check(format_args!("{place:?}, gone")).await;
        }
    }
}

/// Connects, sends a script and returns the open connection.
async fn send(address: SocketAddr, script: &Script) -> io::Result<TcpStream> {
    let mut stream = time::timeout(STUCK, TcpStream::connect(address)).await??;
    let pieces = (0..script.repeats).map(|_| &script.piece[..]);
    for (number, piece) in std::iter::once(&script.first[..]).chain(pieces).enumerate() {
        if number > 0 && script.pause > Duration::ZERO {
            time::sleep(script.pause).await;
        }
        match time::timeout(STUCK, stream.write_all(piece)).await {
            Ok(Ok(())) => {}
            // The router reads no further; the connection stays open.
            Err(_) => break,
            Ok(Err(error)) => return Err(error),
        }
    }
    Ok(stream)
}

/// Sends a request and returns the response until the connection closes.
async fn exchange(address: SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Returns short header fields.
fn fields(count: usize) -> String {
    let mut text = String::new();
    for number in 0..count {
        let _ = write!(text, "a{number}:b\r\n");
    }
    text
}

/// Bodies of legal size that stop one byte before their end. All of them together
/// must fit into the memory for bodies, and an ordinary body must still fit.
#[tokio::test(flavor = "multi_thread")]
async fn cut_bodies() {
    let mut site = Site::start("cut_bodies").await;
    let body = vec![b'x'; MAX_BODY - 1];
    site.play(100, |place, number| {
        let head = place.head("POST", number);
        let first = format!("{head}Content-Length: {MAX_BODY}\r\n\r\n");
        Script::new(first, &body, 1)
    })
    .await;
}

/// Bodies in chunks of one byte that never end. Buffers for bytes that are not
/// parsed yet must not grow with them.
#[tokio::test(flavor = "multi_thread")]
async fn cut_chunks() {
    let mut site = Site::start("cut_chunks").await;
    let chunks = b"1\r\nx\r\n".repeat(40_000);
    site.play(100, |place, number| {
        let head = place.head("POST", number);
        Script::new(
            format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
            &chunks,
            1,
        )
    })
    .await;
}

/// Bodies far over the limit, with their length and in chunks.
#[tokio::test(flavor = "multi_thread")]
async fn long_bodies() {
    let mut site = Site::start("long_bodies").await;
    let body = vec![b'x'; 64 << 10];
    let chunk = [&b"10000\r\n"[..], &body, b"\r\n"].concat();
    site.play(60, |place, number| {
        let head = place.head("POST", number);
        match number % 2 {
            0 => Script::new(
                format!("{head}Content-Length: 99000000\r\n\r\n"),
                &body,
                200,
            ),
            _ => Script::new(
                format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
                &chunk,
                200,
            ),
        }
    })
    .await;
}

/// Heads inside the limit with as many fields as fit, and bodies that stop. The
/// fields take many times their bytes once they are parsed.
#[tokio::test(flavor = "multi_thread")]
async fn many_fields() {
    let mut site = Site::start("many_fields").await;
    site.play(100, |place, number| {
        let head = place.head("POST", number);
        let first = format!("{head}{}Content-Length: 10\r\n\r\nx", fields(1_750));
        Script::new(first, b"", 0)
    })
    .await;
}

/// Heads inside the limit whose prompt has as many parts as fit, and bodies that
/// stop. The parts take many times their bytes once they are decoded.
#[tokio::test(flavor = "multi_thread")]
async fn many_parts() {
    let mut site = Site::start("many_parts").await;
    let parts = "p:1,".repeat(3_900);
    site.play(200, |place, number| {
        let head = place.head("POST", number);
        let first = format!("{head}X-Prompt-Prefix: {parts}q:1\r\nContent-Length: 10\r\n\r\nx");
        Script::new(first, b"", 0)
    })
    .await;
}

/// Heads far over the limit that never end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_fields() {
    let mut site = Site::start("endless_fields").await;
    let piece = fields(4_000).into_bytes();
    site.play(170, |place, number| {
        Script::new(place.head("POST", number), &piece, 10)
    })
    .await;
}

/// Heads that come slowly and stop.
#[tokio::test(flavor = "multi_thread")]
async fn slow_heads() {
    let mut site = Site::start("slow_heads").await;
    site.play(150, |place, number| {
        let mut script = Script::new(place.head("POST", number), b"A: b\r\n", 10);
        script.pause = Duration::from_millis(50);
        script
    })
    .await;
}

/// Many requests ahead on each connection, whose responses nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn requests_ahead() {
    let mut site = Site::start("requests_ahead").await;
    site.play(140, |place, number| {
        let head = place.head("GET", number);
        let requests = format!("{head}\r\n").repeat(200);
        Script::new(String::new(), requests.as_bytes(), 20)
    })
    .await;
}

/// Responses of several megabytes that nobody reads, with further requests behind.
#[tokio::test(flavor = "multi_thread")]
async fn unread_responses() {
    let mut site = Site::start("unread_responses").await;
    let body = vec![b'x'; MAX_BODY - 1_000];
    site.play(40, |place, number| {
        let head = place.head("POST", number);
        let length = body.len();
        let request = format!("{head}Content-Length: {length}\r\n\r\n");
        let request = [request.as_bytes(), &body].concat();
        Script::new(String::new(), &request, 3)
    })
    .await;
    assert!(!site.plain.runs().is_empty(), "a large body is served");
}

/// More connections than the process may have descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections() {
    let mut site = Site::start("idle_connections").await;
    site.play(2 * MAX_FILES, |_, _| Script::new(String::new(), b"", 0))
        .await;
}

/// A proper request with many short fields is inside the limits and served.
#[tokio::test(flavor = "multi_thread")]
async fn short_fields() {
    let site = Site::start("short_fields").await;
    for count in [240, 1_700] {
        let head = Place::Plain.head("GET", count);
        let request = format!("{head}{}Connection: close\r\n\r\n", fields(count));
        let answer = exchange(site.ports.callers(), &request).await;
        let answer = answer.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200 OK"), "{count}: {answer}");
    }
}

/// A proper request with the largest head and body is served.
#[tokio::test(flavor = "multi_thread")]
async fn largest_request() {
    let site = Site::start("largest_request").await;
    let head = Place::Plain.head("POST", 0);
    let head = format!("{head}Content-Length: {MAX_BODY}\r\nConnection: close\r\nA: ");
    let filler = 16_384 - head.len() - 4;
    let request = format!(
        "{head}{}\r\n\r\n{}",
        "b".repeat(filler),
        "x".repeat(MAX_BODY)
    );
    let answer = exchange(site.ports.callers(), &request).await;
    let answer = answer.expect("an answer");
    let end = &answer[answer.len().saturating_sub(100)..];
    assert!(answer.starts_with("HTTP/1.1 200 OK"), "{end}");
}
