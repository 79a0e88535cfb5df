//! Bounds what clients outside our control occupy: connections, and the time for
//! which they may hold one without progress.
//!
//! The memory for heads and bodies is bounded by [`inlet::memory`].

use std::{
    collections::BTreeMap,
    fmt, io,
    net::IpAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use base::{span, time};
use inlet::memory::{Client, STALL_TIME};
use platform::settings::Settings;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    task,
};
use tokio_util::sync::CancellationToken;

/// Memory that a connection may use outside the budget for bodies: a read buffer
/// for the largest head, a write buffer and the state of its task.
const CONNECTION_BYTES: usize = 32 * 1024;

/// Callers' connections may take the process's memory divided by this number.
const CONNECTION_MEMORY_DIVISOR: usize = 4;

/// Fewest connections of callers, whatever the limits.
const MIN_CONNECTIONS: usize = 16;

/// Descriptors that callers and their requests leave free, for the other listeners,
/// idle connections to targets, the table and the log. Small limits leave half.
const RESERVED_FILES: usize = 512;

/// Most connections at the readiness address; the platform opens about one each
/// second.
pub const MAX_READY: usize = 32;

/// Most connections at the metrics address.
pub const MAX_METRICS: usize = 16;

/// Most connections of peers that fetch snapshots. Each ends after 1.5 s.
pub const MAX_PEERS: usize = 32;

/// Connections that a listener accepts before other tasks run, so that those which
/// gave way are closed meanwhile. One at a time made new callers wait for seconds
/// behind a crowd.
pub const ACCEPTED_AT_ONCE: usize = 8;

/// Time after which a client that takes no byte of a response is cut off, if the
/// listener has no other limit.
pub const UNREAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Returns how many connections of callers may be open at the same time. Each may
/// need a connection to a target.
pub fn max_callers(settings: &Settings) -> usize {
    let memory = settings.memory.as_usize() / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
    let files = settings.max_files.map_or(usize::MAX, |files| {
        let files = files as usize;
        (files - RESERVED_FILES.min(files / 2)) / 2
    });
    memory.min(files).max(MIN_CONNECTIONS)
}

/// The open connections of one listener.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    open: Mutex<BTreeMap<u64, Arc<Connection>>>,
    next: AtomicU64,
}

/// One open connection.
#[derive(Debug)]
pub struct Connection {
    /// The client, as the memory budget sees it.
    pub client: Arc<Client>,
    /// Number of requests in progress.
    active: AtomicU32,
    /// When the latest request ended, or else when the connection was opened, in
    /// microseconds of the process's clock.
    last: AtomicU64,
    /// When the first byte of a head arrived that is not complete, 0 if none has.
    head: AtomicU64,
    /// Whether bytes arrived since the latest request ended.
    received: AtomicBool,
    /// Whether the client sent the present request before the response to the one
    /// before it.
    ahead: AtomicBool,
    evicted: CancellationToken,
}

/// Counts a connection as open until dropped.
#[derive(Debug)]
pub struct Slot {
    connections: Arc<Connections>,
    number: u64,
    /// The connection.
    pub connection: Arc<Connection>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.connections.open().remove(&self.number);
    }
}

/// Result of the admission of a connection.
#[derive(Debug)]
pub struct Admission {
    /// The place of the new connection, unless it is refused.
    pub slot: Option<Slot>,
    /// Whether another connection gives way to it.
    pub evicts: bool,
}

impl Connections {
    /// Creates the state of a listener with at most `limit` connections.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            open: Mutex::default(),
            next: AtomicU64::new(0),
        })
    }

    fn open(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open().len()
    }

    /// Returns whether a further connection makes another one give way.
    pub fn is_full(&self) -> bool {
        self.count() >= self.limit
    }

    /// Admits a new connection. At the limit, another one gives way; if none may,
    /// the new one is refused.
    pub fn admit(self: &Arc<Self>, now: time::Mono, client: Arc<Client>) -> Admission {
        let mut open = self.open();
        let mut evicts = false;
        if open.len() >= self.limit {
            let numbers: Vec<_> = open.keys().copied().collect();
            let states: Vec<_> = numbers.iter().map(|number| open[number].state()).collect();
            let Some(evicted) = choose_evicted(&states) else {
                return Admission { slot: None, evicts };
            };
            if let Some(evicted) = open.remove(&numbers[evicted]) {
                evicted.evicted.cancel();
                evicts = true;
            }
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection {
            client,
            active: AtomicU32::new(0),
            last: AtomicU64::new(now.0),
            head: AtomicU64::new(0),
            received: AtomicBool::new(false),
            ahead: AtomicBool::new(false),
            evicted: CancellationToken::new(),
        });
        open.insert(number, connection.clone());
        drop(open);
        let slot = Slot {
            connections: self.clone(),
            number,
            connection,
        };
        Admission {
            slot: Some(slot),
            evicts,
        }
    }
}

/// One open connection, as an input of [`choose_evicted`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct State {
    /// Address of the client.
    pub address: IpAddr,
    /// Whether a request is in progress or a response is being written.
    pub is_busy: bool,
    /// When the latest request ended, or else when the connection was opened.
    pub last: time::Mono,
    /// How long the process has waited for the client without progress, if it does.
    pub stalled: Option<Duration>,
    /// Whether the client sends requests ahead.
    pub is_ahead: bool,
}

/// Chooses the connection that gives way to a new one.
///
/// Load pattern: clients open connections as fast as they can and send nothing, or
/// stop in the middle of a request, until no descriptor is free. Of the connections
/// without a request, one of the address with the most goes, the longest unused
/// first. Without such, the one goes whose client has made no progress for longest,
/// and last one whose client sends requests ahead and so is never without one.
pub fn choose_evicted(connections: &[State]) -> Option<usize> {
    let mut counts: BTreeMap<IpAddr, usize> = BTreeMap::new();
    for connection in connections {
        *counts.entry(connection.address).or_default() += 1;
    }
    let all = connections.iter().enumerate();
    let idle = all.clone().filter(|(_, connection)| !connection.is_busy);
    let unused = idle.max_by_key(|(_, connection)| {
        let count = counts.get(&connection.address).copied();
        (count, std::cmp::Reverse(connection.last))
    });
    let stalled = all.clone().filter(|(_, connection)| {
        let stalled = connection.stalled.unwrap_or_default();
        stalled >= STALL_TIME
    });
    let mut ahead = all.filter(|(_, connection)| connection.is_ahead);
    unused
        .or_else(|| stalled.max_by_key(|(_, connection)| connection.stalled))
        .or_else(|| ahead.next())
        .map(|(number, _)| number)
}

impl Connection {
    fn state(&self) -> State {
        State {
            address: self.client.address(),
            is_busy: self.is_busy(),
            // A head that is arriving is use as well.
            last: time::Mono(
                self.last
                    .load(Ordering::Relaxed)
                    .max(self.head.load(Ordering::Relaxed)),
            ),
            stalled: self.client.stalled(),
            is_ahead: self.ahead.load(Ordering::Relaxed),
        }
    }

    /// Returns whether a request is in progress or a response is being written.
    pub fn is_busy(&self) -> bool {
        self.active.load(Ordering::Relaxed) > 0 || self.client.is_writing()
    }

    /// Records the start of a request, whose head is complete.
    pub fn begin(&self) {
        self.active.fetch_add(1, Ordering::Relaxed);
        self.head.store(0, Ordering::Relaxed);
        let received = self.received.swap(false, Ordering::Relaxed);
        self.ahead.store(!received, Ordering::Relaxed);
    }

    /// Lets the other tasks run before a request that the client sent ahead. The HTTP
    /// library takes several such requests from its buffer without a pause, and a
    /// crowd of such clients would hold up all others.
    pub async fn take_turn(&self) {
        if self.ahead.load(Ordering::Relaxed) {
            task::yield_now().await;
        }
    }

    /// Records the end of a request.
    pub fn end(&self, now: time::Mono) {
        self.active.fetch_sub(1, Ordering::Relaxed);
        self.last.store(now.0, Ordering::Relaxed);
        self.received.store(false, Ordering::Relaxed);
    }

    /// Returns the time since the latest request ended.
    pub fn idle(&self, now: time::Mono) -> span::Span {
        now.since(time::Mono(self.last.load(Ordering::Relaxed)))
    }

    /// Returns the time since the first byte of an incomplete head.
    pub fn head_age(&self, now: time::Mono) -> span::Span {
        match self.head.load(Ordering::Relaxed) {
            0 => span::Span::ZERO,
            head if self.active.load(Ordering::Relaxed) == 0 => now.since(time::Mono(head)),
            _ => span::Span::ZERO,
        }
    }

    /// Returns whether the client has taken no byte of a response for `limit`.
    pub fn is_unread(&self, limit: Duration) -> bool {
        let stalled = self.client.stalled().unwrap_or_default();
        self.client.is_writing() && stalled >= limit
    }

    /// Waits until the connection gives way to another one.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }
}

/// The limits for clients whose use is counted and logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitReached {
    /// A connection gave way to a new one.
    Evicted,
    /// A new connection was refused.
    Refused,
    /// A request found no memory.
    NoRoom,
    /// A request's body made no progress while others needed its memory.
    Stalled,
    /// The head of a request was not complete in time.
    LateHead,
    /// A response was not read.
    Unread,
    /// A connection could not be accepted.
    Accept,
    /// A peer's connection got no snapshot.
    Snapshot,
}

/// How often each limit was reached.
#[derive(Debug, Default)]
pub struct LimitCounts([LimitCount; LimitReached::ALL.len()]);

#[derive(Debug, Default)]
struct LimitCount {
    total: AtomicU64,
    /// Total that the latest log line gave.
    logged: AtomicU64,
    /// Second of the latest log line, counted from 1.
    second: AtomicU64,
}

impl LimitReached {
    const ALL: [(Self, &'static str); 8] = [
        (Self::Evicted, "connections_evicted"),
        (Self::Refused, "connections_refused"),
        (Self::NoRoom, "bodies_without_memory"),
        (Self::Stalled, "bodies_stalled"),
        (Self::LateHead, "heads_late"),
        (Self::Unread, "responses_unread"),
        (Self::Accept, "accepts_failed"),
        (Self::Snapshot, "snapshots_unsent"),
    ];
}

impl LimitCounts {
    /// Returns the name and the count of each limit.
    pub fn totals(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let counts = LimitReached::ALL.iter().zip(&self.0);
        counts.map(|((_, name), count)| (*name, count.total.load(Ordering::Relaxed)))
    }

    /// Counts that a limit was reached. Logs it at most once a second, with the
    /// number of times since the line before.
    pub fn record(&self, now: time::Mono, limit: LimitReached, detail: &dyn fmt::Display) {
        let count = &self.0[limit as usize];
        let total = count.total.fetch_add(1, Ordering::Relaxed) + 1;
        let second = now.0 / 1_000_000 + 1;
        if count.second.swap(second, Ordering::Relaxed) != second {
            let times = total - count.logged.swap(total, Ordering::Relaxed);
            let (_, name) = LimitReached::ALL[limit as usize];
            tracing::warn!(event = "client_limit", limit = name, times, %detail);
        }
    }
}

/// The stream of a connection, which records what its client does.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    connection: Arc<Connection>,
    clock: time::Clock,
}

impl WatchedStream {
    /// Watches a stream.
    pub fn new(stream: TcpStream, connection: Arc<Connection>, clock: time::Clock) -> Self {
        Self {
            stream,
            connection,
            clock,
        }
    }

    /// Records a write that the client's side accepted or not.
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        let client = &self.connection.client;
        match written {
            Poll::Ready(Ok(bytes)) if client.is_writing() => client.record_moved(*bytes),
            Poll::Ready(_) => {}
            Poll::Pending => client.set_writing(true),
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
        let connection = &self.connection;
        let is_head =
            connection.active.load(Ordering::Relaxed) == 0 && !connection.client.is_discarding();
        if is_head && buffer.filled().len() > before {
            let now = self.clock.now().0.max(1);
            let head = &connection.head;
            let _ = head.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
            connection.received.store(true, Ordering::Relaxed);
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes once it has written everything.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.client.set_writing(false);
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
