//! A stand-in of the platform's store: rows, feeds and transactions.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Head},
    json::Json,
};

/// Time of a call.
const CALL_TIME: Duration = Duration::from_millis(3);

/// Longest time that a feed waits.
const MAX_WAIT: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Row {
    /// The value in base64; `None` if the row was removed.
    value: Option<String>,
    version: u64,
}

/// Counts of a disturbance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Answers that the store made in it.
    pub made: u32,
    /// Those that were lost.
    pub lost: u32,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
    /// Connections that were opened before are silent.
    silent: Option<Instant>,
    /// While it is set, answers of feeds of this table that name a row are lost.
    losing: Option<String>,
    counts: Counts,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    start: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts a store.
    pub fn start() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            start: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row, or removes it if there is no value; the return is the
    /// acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> Instant {
        let value = value.map(|value| base64(value.as_bytes()));
        self.put_encoded(&mut self.state(), table, key, value);
        Instant::now()
    }

    fn put_encoded(&self, state: &mut State, table: &str, key: &str, value: Option<String>) {
        state.version += 1;
        state.counts.made += 1;
        let version = state.version;
        let key = (table.to_owned(), key.to_owned());
        state.rows.insert(key, Row { value, version });
        self.changed.notify_all();
    }

    /// Answers the heartbeat of a runner, which changes nothing but its sequence.
    pub fn beat(&self) {
        self.state().counts.made += 1;
    }

    /// Makes all connections that are open silent for good; new ones work.
    pub fn silence(&self) -> Instant {
        let now = Instant::now();
        self.state().silent = Some(now);
        self.changed.notify_all();
        now
    }

    /// Begins to lose answers of feeds of a table that name a row.
    pub fn lose(&self, table: &str) -> Instant {
        let mut state = self.state();
        state.losing = Some(table.to_owned());
        state.counts = Counts::default();
        Instant::now()
    }

    /// Ends the loss; returns when, and the counts.
    pub fn keep(&self) -> (Instant, Counts) {
        let mut state = self.state();
        state.losing = None;
        (Instant::now(), state.counts)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let opened = Instant::now();
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let head = http::read_head(&mut reader).ok()??;
            let body = http::read_body(&mut reader, &head).ok()?;
            if self.is_silent(opened) {
                park();
            }
            thread::sleep(CALL_TIME);
            let answer = self.answer(&head, &body, opened);
            let Some((status, body)) = answer else {
                // The answer is lost: the connection delivers nothing further.
                park();
                return None;
            };
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all((head + &body).as_bytes()).ok()?;
        }
    }

    fn is_silent(&self, opened: Instant) -> bool {
        self.state().silent.is_some_and(|at| opened < at)
    }

    /// Returns the status and the body of an answer, or `None` if it is lost.
    fn answer(&self, head: &Head, body: &[u8], opened: Instant) -> Option<(u16, String)> {
        let (path, query) = head.second().split_once('?').unwrap_or((head.second(), ""));
        let named = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(known, _)| *known == name);
            values.next().map_or("", |(_, value)| value)
        };
        let table = named("table_name");
        match path {
            "/rows-get" => {
                let mut state = self.state();
                state.counts.made += 1;
                Some((200, self.page(&state, table, None)))
            }
            "/rows-feed" => {
                let after = named("after").parse().unwrap_or(0);
                let wait = named("wait_ms").parse().unwrap_or(0);
                self.feed(table, after, Duration::from_millis(wait), opened)
            }
            "/rows-tx" => Some((200, self.transact(&String::from_utf8_lossy(body)))),
            _ => Some((404, String::new())),
        }
    }

    fn feed(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
        opened: Instant,
    ) -> Option<(u16, String)> {
        let end = Instant::now() + wait.min(MAX_WAIT);
        let mut state = self.state();
        loop {
            let mut rows = state.rows.iter();
            let named = rows.any(|((known, _), row)| known == table && row.version > after);
            let left = end.saturating_duration_since(Instant::now());
            let is_silent = state.silent.is_some_and(|at| opened < at);
            if named || left.is_zero() || is_silent {
                state.counts.made += 1;
                if is_silent {
                    return None;
                }
                if named && state.losing.as_deref() == Some(table) {
                    state.counts.lost += 1;
                    return None;
                }
                return Some((200, self.page(&state, table, Some(after))));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Returns the rows of a table: all that exist, or those that changed later.
    fn page(&self, state: &State, table: &str, after: Option<u64>) -> String {
        let rows = state.rows.iter().filter(|((known, _), row)| {
            known == table && after.map_or(row.value.is_some(), |after| row.version > after)
        });
        let rows = rows.map(|((_, key), row)| {
            let value = match &row.value {
                Some(value) => format!("\"value\":\"{value}\""),
                None => "\"deleted\":true".to_owned(),
            };
            let version = row.version;
            format!(
                "{{\"table_name\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\
                 \"row_version\":{version}}}"
            )
        });
        let rows: Vec<String> = rows.collect();
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"row_version\":{},\"now_ms\":{}}}",
            rows.join(","),
            state.version,
            self.start.elapsed().as_millis()
        )
    }

    fn transact(&self, body: &str) -> String {
        let body = Json::parse(body).unwrap_or(Json::List(Vec::new()));
        let mut state = self.state();
        for (name, keeps) in [("write", true), ("remove", false)] {
            for entry in body.get(name).map_or(&[][..], Json::list) {
                let text = |name| entry.get(name).and_then(Json::text).unwrap_or_default();
                let value = keeps.then(|| text("value").to_owned());
                self.put_encoded(&mut state, text("table_name"), text("key"), value);
            }
        }
        let now = self.start.elapsed().as_millis();
        format!("{{\"row_version\":{},\"now_ms\":{now}}}", state.version)
    }
}

/// Waits until the process ends.
fn park() {
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - group.len()));
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() {
                digit.into()
            } else {
                '='
            });
        }
    }
    text
}
