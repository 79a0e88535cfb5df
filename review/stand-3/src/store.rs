//! The platform's store: rows with versions, a feed of changes, and transactions.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message, Server, lock},
    json::{self, Value},
};

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

/// Time for which history is kept.
const RETENTION: Duration = Duration::from_secs(20);

type Place = (String, String);

#[derive(Clone, Debug)]
struct Change {
    at: Instant,
    place: Place,
    version: u64,
    /// Base64; `None` if the row was removed.
    value: Option<String>,
}

/// What the store holds.
#[derive(Clone, Debug, Default)]
pub struct Content {
    rows: BTreeMap<Place, (u64, String)>,
    history: VecDeque<Change>,
    version: u64,
    /// Changes up to this version are no longer known.
    forgotten: u64,
}

#[derive(Debug, Default)]
struct State {
    content: Content,
    era: u64,
    away: bool,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    server: Server,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = shared.clone();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(address, move |request| handler.handle(&request))?;
        Ok(Self { shared, server })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Writes a row as the operator or a runner, and returns the version that
    /// acknowledges it; `None` while the store is away.
    pub fn put(&self, table: &str, key: &str, value: &str) -> Option<u64> {
        self.change(table, key, Some(json::base64(value.as_bytes())))
    }

    /// Removes a row in the same way.
    pub fn remove(&self, table: &str, key: &str) -> Option<u64> {
        self.change(table, key, None)
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) -> Option<u64> {
        let mut state = lock(&self.shared.state);
        if state.away {
            return None;
        }
        state.content.change(table, key, value);
        self.shared.changed.notify_all();
        Some(state.content.version)
    }

    /// Returns the newest version.
    pub fn version(&self) -> u64 {
        lock(&self.shared.state).content.version
    }

    /// Makes a copy of all that the store holds.
    pub fn copy(&self) -> Content {
        lock(&self.shared.state).content.clone()
    }

    /// Goes away: connections are closed, and calls get no response.
    pub fn leave(&self) {
        lock(&self.shared.state).away = true;
        self.shared.changed.notify_all();
        self.server.cut();
    }

    /// Comes back, with the content of a copy.
    pub fn restore(&self, copy: Content) {
        let mut state = lock(&self.shared.state);
        state.content = copy;
        state.era += 1;
        state.away = false;
    }
}

impl Content {
    fn change(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let place = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => {
                self.rows
                    .insert(place.clone(), (self.version, value.clone()));
            }
            None => {
                self.rows.remove(&place);
            }
        }
        self.history.push_back(Change {
            at: Instant::now(),
            place,
            version: self.version,
            value,
        });
        while let Some(oldest) = self.history.front()
            && oldest.at.elapsed() > RETENTION
        {
            self.forgotten = oldest.version;
            self.history.pop_front();
        }
    }

    fn page(&self, rows: &[String]) -> String {
        let (rows, version) = (rows.join(","), self.version);
        format!("{{\"rows\":[{rows}],\"has_more\":false,\"row_version\":{version},\"now_ms\":0}}")
    }

    /// Returns the latest change of each row of a table after a version.
    fn since(&self, table: &str, after: u64) -> Vec<String> {
        let changes = self.history.iter();
        let changes = changes.filter(|it| it.place.0 == table && it.version > after);
        let latest: BTreeMap<_, _> = changes.map(|it| (&it.place.1, it)).collect();
        let mut latest: Vec<_> = latest.into_values().collect();
        latest.sort_by_key(|change| change.version);
        let rows = latest.into_iter();
        rows.map(|it| row(&it.place, it.version, it.value.as_deref()))
            .collect()
    }
}

fn row(place: &Place, version: u64, value: Option<&str>) -> String {
    let (table, key) = (json::text(&place.0), json::text(&place.1));
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table_name\":{table},\"part\":\"\",\"key\":{key},{value},\"row_version\":{version}}}"
    )
}

impl Shared {
    fn handle(&self, request: &Message) -> Option<Message> {
        thread::sleep(CALL_TIME);
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode(value)))
            .collect();
        let text = |name| query.get(name).cloned().unwrap_or_default();
        let (status, body) = match path {
            "/rows-get" => self.read(&text("table_name"), &text("source"), &text("to"))?,
            "/rows-feed" => {
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                self.feed(
                    &text("table_name"),
                    text("after").parse().unwrap_or(0),
                    wait,
                )?
            }
            "/rows-tx" => self.transact(&request.body)?,
            _ => ("404 Not Found", "{}".to_owned()),
        };
        let era = lock(&self.state).era.to_string();
        let headers = [
            ("content-type", "application/json"),
            ("store-era", era.as_str()),
        ];
        Some(http::response(status, &headers, body))
    }

    fn read(&self, table: &str, from: &str, to: &str) -> Option<(&'static str, String)> {
        let state = lock(&self.state);
        let rows = state.content.rows.iter();
        let rows = rows.filter(|((name, key), _)| {
            name == table && key.as_str() >= from && (to.is_empty() || key.as_str() < to)
        });
        let rows = rows.map(|(place, (version, value))| row(place, *version, Some(value)));
        let rows: Vec<_> = rows.collect();
        (!state.away).then(|| ("200 OK", state.content.page(&rows)))
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> Option<(&'static str, String)> {
        let end = Instant::now() + wait;
        let mut state = lock(&self.state);
        let era = state.era;
        loop {
            if state.away || state.era != era {
                return None;
            }
            let content = &state.content;
            if after > content.version || after < content.forgotten {
                return Some(("410 Gone", "{}".to_owned()));
            }
            let rows = content.since(table, after);
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return Some(("200 OK", content.page(&rows)));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }

    fn transact(&self, body: &[u8]) -> Option<(&'static str, String)> {
        let Some(call) = json::parse(&String::from_utf8_lossy(body)) else {
            return Some(("400 Bad Request", "{}".to_owned()));
        };
        let mut state = lock(&self.state);
        if state.away {
            return None;
        }
        let entries = |name: &str| call.field(name).map(Value::items).unwrap_or_default();
        let writes = entries("write").iter().map(|entry| (entry, true));
        let removals = entries("remove").iter().map(|entry| (entry, false));
        for (entry, is_write) in writes.chain(removals) {
            let text = |name: &str| entry.field(name).map(Value::text).unwrap_or_default();
            if matches!(text("table_name"), "op" | "servers") {
                return Some(("403 Forbidden", "{}".to_owned()));
            }
            let value = is_write.then(|| text("value").to_owned());
            state.content.change(text("table_name"), text("key"), value);
        }
        self.changed.notify_all();
        let version = state.content.version;
        Some((
            "200 OK",
            format!("{{\"row_version\":{version},\"now_ms\":0}}"),
        ))
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, left)) = rest.split_first() {
        let digits = left.get(..2).and_then(|it| std::str::from_utf8(it).ok());
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (first, byte) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &left[2..];
            }
            _ => {
                bytes.push(*first);
                rest = left;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
