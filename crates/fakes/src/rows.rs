//! The table of the users' platform: rows with versions, a feed of changes, and
//! transactions. It can come back from an older copy of itself.

use std::{
    collections::{BTreeMap, BTreeSet},
    future, io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{sync::Notify, time};

use crate::{
    body::{self, Body},
    server::{Dropped, Handler, Port, Power, Server},
};

/// Header that names the era.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");

/// A row as the protocol shows it; the value is base64.
#[derive(Clone, Debug, Serialize)]
struct Row {
    table_name: String,
    part: String,
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    row_version: u64,
    deleted: bool,
}

/// What the table holds at a moment.
#[derive(Clone, Debug, Default)]
pub struct Content {
    rows: BTreeMap<(String, String), Row>,
    changes: Vec<Row>,
    version: u64,
    /// Changes up to this version are forgotten.
    forgotten: u64,
}

/// The era that responses name.
#[derive(Clone, Debug, Default)]
pub enum EraHeader {
    /// The number of times that the table has come back from a copy.
    #[default]
    Actual,
    /// None.
    Missing,
    /// This text.
    Text(String),
}

#[derive(Debug, Default)]
struct State {
    content: Content,
    era: u64,
    header: EraHeader,
    down: bool,
    calls: u64,
    /// Time that every call takes in addition.
    delay: Duration,
    /// Tables whose responses are lost at present.
    losing: BTreeSet<String>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

/// A running table; it stops when this handle is dropped.
#[derive(Debug)]
pub struct Rows {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    write: Vec<Op>,
    #[serde(default)]
    remove: Vec<Op>,
}

#[derive(Deserialize)]
struct Op {
    table_name: String,
    key: String,
    value: Option<String>,
}

impl Rows {
    /// Starts an empty table on a free port.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn start() -> io::Result<Self> {
        let port = Port::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let shared = Arc::new(Shared::default());
        let server = port.serve(shared.clone());
        Ok(Self { shared, server })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the switch that drops all connections.
    pub fn power(&self) -> &Power {
        self.server.power()
    }

    /// Writes a row.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let value = STANDARD.encode(value);
        self.shared.state().content.change(table, key, Some(value));
        self.shared.changed.notify_waiters();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.shared.state().content.change(table, key, None);
        self.shared.changed.notify_waiters();
    }

    /// Answers 503 to every call, or serves again.
    pub fn down(&self, down: bool) {
        self.shared.state().down = down;
    }

    /// Delays every call.
    pub fn slow(&self, delay: Duration) {
        self.shared.state().delay = delay;
    }

    /// Loses the responses that are made from now on to reads of these tables, in place
    /// of those of the call before. Their connections deliver nothing further.
    pub fn lose(&self, tables: &[&str]) {
        self.shared.state().losing = tables.iter().map(ToString::to_string).collect();
    }

    /// Forgets the history, so that followers must read all rows again.
    pub fn forget(&self) {
        let content = &mut self.shared.state().content;
        content.forgotten = content.version;
        content.changes.clear();
    }

    /// Returns a copy of all that the table holds.
    pub fn copy(&self) -> Content {
        self.shared.state().content.clone()
    }

    /// Comes back from a copy: what was written since is gone, and its versions are given
    /// out again. Calls that wait go on with this content.
    pub fn restore(&self, copy: Content) {
        let mut state = self.shared.state();
        state.content = copy;
        state.era += 1;
    }

    /// Sets what the responses from now on name as the era.
    pub fn set_era_header(&self, header: EraHeader) {
        self.shared.state().header = header;
    }

    /// Returns the version of the latest change.
    pub fn version(&self) -> u64 {
        self.shared.state().content.version
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.shared.state().calls
    }

    /// Returns the keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.shared.state();
        let keys = state.content.rows.keys().filter(|(name, _)| name == table);
        keys.map(|(_, key)| key.clone()).collect()
    }

    /// Returns the value of a row, if there is one that can be decoded.
    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.shared.state();
        let row = state
            .content
            .rows
            .get(&(table.to_owned(), key.to_owned()))?;
        STANDARD.decode(row.value.as_ref()?).ok()
    }
}

impl State {
    fn era_header(&self) -> Option<HeaderValue> {
        match &self.header {
            EraHeader::Actual => Some(self.era.into()),
            EraHeader::Missing => None,
            EraHeader::Text(text) => HeaderValue::from_str(text).ok(),
        }
    }
}

impl Content {
    fn change(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let row = Row {
            table_name: table.to_owned(),
            part: String::new(),
            key: key.to_owned(),
            deleted: value.is_none(),
            value,
            row_version: self.version,
        };
        let place = (table.to_owned(), key.to_owned());
        if row.deleted {
            self.rows.remove(&place);
        } else {
            self.rows.insert(place, row.clone());
        }
        self.changes.push(row);
    }

    fn reply(&self, rows: Vec<Row>) -> Value {
        json!({"rows": rows, "has_more": false, "row_version": self.version, "now_ms": 0})
    }

    /// Returns the latest change of each row of a table after a version.
    fn since(&self, table: &str, after: u64) -> Vec<Row> {
        let changes = self.changes.iter();
        let changes = changes.filter(|row| row.table_name == table && row.row_version > after);
        let latest: BTreeMap<_, _> = changes.map(|row| (&row.key, row)).collect();
        let mut rows: Vec<_> = latest.into_values().cloned().collect();
        rows.sort_by_key(|row| row.row_version);
        rows
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for ever if the response to a read is lost.
    async fn lose(&self, query: &BTreeMap<String, String>) {
        let is_lost = self.state().losing.contains(text(query, "table_name"));
        if is_lost {
            future::pending().await
        }
    }

    fn read(&self, query: &BTreeMap<String, String>) -> Response<Body> {
        let table = text(query, "table_name");
        let source = text(query, "source");
        let content = &self.state().content;
        let rows = content.rows.values();
        let rows = rows.filter(|row| row.table_name == table && row.key.as_str() >= source);
        body::json(StatusCode::OK, &content.reply(rows.cloned().collect()))
    }

    async fn feed(&self, query: &BTreeMap<String, String>) -> Response<Body> {
        let table = text(query, "table_name").to_owned();
        let after: u64 = text(query, "after").parse().unwrap_or(0);
        let wait: u64 = text(query, "wait_ms").parse().unwrap_or(0);
        let end = time::Instant::now() + Duration::from_millis(wait);
        loop {
            let changed = self.changed.notified();
            {
                let content = &self.state().content;
                if after < content.forgotten || after > content.version {
                    return body::error(StatusCode::GONE, "the history is gone");
                }
                let rows = content.since(&table, after);
                if !rows.is_empty() || time::Instant::now() >= end {
                    return body::json(StatusCode::OK, &content.reply(rows));
                }
            }
            // A change between the look and the wait is seen at the next turn.
            let turn = time::Instant::now() + Duration::from_millis(20);
            tokio::select! {
                () = changed => {}
                () = time::sleep_until(turn.min(end)) => {}
            }
        }
    }

    async fn transact(&self, request: Request<Incoming>) -> Response<Body> {
        let Ok(body) = request.into_body().collect().await else {
            return body::error(StatusCode::BAD_REQUEST, "the body broke off");
        };
        let Ok(transaction) = serde_json::from_slice::<Transaction>(&body.to_bytes()) else {
            return body::error(StatusCode::BAD_REQUEST, "not a transaction");
        };
        let content = &mut self.state().content;
        for op in &transaction.write {
            content.change(
                &op.table_name,
                &op.key,
                Some(op.value.clone().unwrap_or_default()),
            );
        }
        for op in &transaction.remove {
            content.change(&op.table_name, &op.key, None);
        }
        let version = json!({"row_version": content.version, "now_ms": 0});
        self.changed.notify_waiters();
        body::json(StatusCode::OK, &version)
    }
}

impl Handler for Shared {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Dropped> {
        let delay = self.state().delay;
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
        {
            let mut state = self.state();
            state.calls += 1;
            if state.down {
                return Ok(body::error(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "down on demand",
                ));
            }
        }
        let query = parse(request.uri().query().unwrap_or_default());
        let mut response = match (request.method(), request.uri().path()) {
            (&Method::GET, "/rows-get") => self.read(&query),
            (&Method::GET, "/rows-feed") => self.feed(&query).await,
            (&Method::POST, "/rows-tx") => self.transact(request).await,
            _ => body::error(StatusCode::NOT_FOUND, "no such path"),
        };
        self.lose(&query).await;
        if let Some(era) = self.state().era_header() {
            response.headers_mut().insert(ERA_HEADER, era);
        }
        Ok(response)
    }
}

fn text<'a>(query: &'a BTreeMap<String, String>, name: &str) -> &'a str {
    query.get(name).map_or("", String::as_str)
}

fn parse(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let decode = |text: &str| {
        let decoded = percent_encoding::percent_decode_str(text);
        decoded.decode_utf8_lossy().into_owned()
    };
    pairs
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect()
}
