//! The transactional table service.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    ops::Bound,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::{
    body::{self, Body},
    control, fault, platform, server,
};

pub use crate::platform::Options;

/// Rows of a scan when the caller sets no limit, and the most it may ask for.
const SCAN_LIMIT: usize = 1000;

/// Path of single rows, before the key.
const ROW: &str = "/v1/rows/";

/// Path under which a test makes a table in another process keep a backup.
pub const BACKUP: &str = "/fake/backup";

/// Path under which a test makes that table return to its backup.
pub const RESTORE: &str = "/fake/restore";

/// One row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// Set by the table: 1 on the first write, then one more each time. A
    /// deleted row that is written again continues the count.
    pub version: u64,
    /// The content.
    pub value: serde_json::Value,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Action {
    Put,
    Delete,
    Check,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Condition {
    Absent(bool),
    Version(u64),
}

#[derive(Clone, Debug, Deserialize)]
struct Op {
    op: Action,
    key: String,
    #[serde(default)]
    value: serde_json::Value,
    #[serde(default, rename = "if")]
    condition: Option<Condition>,
}

#[derive(Debug, Deserialize)]
struct Transaction {
    ops: Vec<Op>,
}

#[derive(Serialize)]
struct Committed {
    versions: Vec<u64>,
}

#[derive(Serialize)]
struct Conflict {
    failed: usize,
    row: Option<Row>,
}

#[derive(Serialize)]
struct Page {
    rows: Vec<Row>,
    more: bool,
}

/// The content of a table at one time.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    rows: BTreeMap<String, Row>,
    versions: BTreeMap<String, u64>,
}

impl Rows {
    fn holds(&self, op: &Op) -> bool {
        let row = self.rows.get(&op.key);
        match op.condition {
            None => true,
            Some(Condition::Absent(absent)) => row.is_none() == absent,
            Some(Condition::Version(version)) => row.is_some_and(|row| row.version == version),
        }
    }

    fn commit(&mut self, ops: &[Op]) -> Result<Committed, Conflict> {
        if let Some(failed) = ops.iter().position(|op| !self.holds(op)) {
            let row = self.rows.get(&ops[failed].key).cloned();
            return Err(Conflict { failed, row });
        }
        let versions = ops.iter().map(|op| self.apply(op)).collect();
        Ok(Committed { versions })
    }

    /// Carries out one operation; returns the row's version, or 0 without a row.
    fn apply(&mut self, op: &Op) -> u64 {
        match op.op {
            Action::Put => {
                let version = self.versions.entry(op.key.clone()).or_default();
                *version += 1;
                let row = Row {
                    key: op.key.clone(),
                    version: *version,
                    value: op.value.clone(),
                };
                self.rows.insert(op.key.clone(), row);
                *version
            }
            Action::Delete => {
                self.rows.remove(&op.key);
                0
            }
            Action::Check => self.rows.get(&op.key).map_or(0, |row| row.version),
        }
    }

    fn page(&self, prefix: &str, after: Option<String>, limit: usize) -> Page {
        let start = match after {
            Some(after) if after.as_str() >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix.to_owned()),
        };
        let mut rows: Vec<Row> = self
            .rows
            .range((start, Bound::Unbounded))
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(prefix))
            .take(limit + 1)
            .cloned()
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        Page { rows, more }
    }

    /// Returns a row.
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns all rows in order of key.
    pub fn iter(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }
}

#[derive(Debug)]
struct Shared {
    gate: platform::Gate,
    power: server::Power,
    rows: Mutex<Rows>,
    saved: Mutex<Rows>,
}

impl Shared {
    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read(&self, key: &str) -> Response<Body> {
        match self.rows().get(&control::decode(key)) {
            Some(row) => body::json(StatusCode::OK, row),
            None => body::error(StatusCode::NOT_FOUND, "no such row"),
        }
    }

    fn scan(&self, query: Option<&str>) -> Response<Body> {
        let prefix = control::query(query, "prefix").unwrap_or_default();
        let after = control::query(query, "after");
        let limit = control::query(query, "limit").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(SCAN_LIMIT).min(SCAN_LIMIT);
        body::json(StatusCode::OK, &self.rows().page(&prefix, after, limit))
    }

    fn transact(&self, transaction: &Transaction) -> Response<Body> {
        let keys: BTreeSet<&str> = transaction.ops.iter().map(|op| op.key.as_str()).collect();
        if keys.len() < transaction.ops.len() {
            return body::error(StatusCode::BAD_REQUEST, "a key occurs twice");
        }
        match self.rows().commit(&transaction.ops) {
            Ok(committed) => body::json(StatusCode::OK, &committed),
            Err(conflict) => body::json(StatusCode::CONFLICT, &conflict),
        }
    }

    async fn control(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        if path == BACKUP || path == RESTORE {
            let mut rows = self.rows();
            let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
            match path {
                BACKUP => *saved = rows.clone(),
                _ => *rows = saved.clone(),
            }
            return body::empty(StatusCode::NO_CONTENT);
        }
        let switch = |faults| self.gate.faults(|now| *now = faults);
        control::handle(request, &self.power, self.gate.counts(), switch).await
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        access: platform::Access,
    ) -> Result<Response<Body>, server::Dropped> {
        let uri = request.uri().clone();
        let transaction = match access {
            platform::Access::Read => None,
            platform::Access::Write => match control::read::<Transaction>(request).await {
                Ok(transaction) => Some(transaction),
                Err(reason) => return Ok(body::error(StatusCode::BAD_REQUEST, reason)),
            },
        };
        let pass = match self.gate.enter(access).await {
            Ok(pass) => pass,
            Err(stop) => return stop.reply(),
        };
        pass.reply(match (transaction, uri.path().strip_prefix(ROW)) {
            (Some(transaction), _) => self.transact(&transaction),
            (None, Some(key)) => self.read(key),
            (None, None) => self.scan(uri.query()),
        })
    }
}

impl server::Handler for Shared {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, server::Dropped> {
        if control::matches(&request) {
            return Ok(self.control(request).await);
        }
        let path = request.uri().path();
        match *request.method() {
            Method::GET if path == "/v1/rows" || path.starts_with(ROW) => {
                self.answer(request, platform::Access::Read).await
            }
            Method::POST if path == "/v1/transactions" => {
                self.answer(request, platform::Access::Write).await
            }
            _ => Ok(body::error(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}

/// A running table; it stops when this handle is dropped.
#[derive(Debug)]
pub struct Table {
    shared: Arc<Shared>,
    server: server::Server,
}

impl Table {
    /// Starts a table; port 0 selects a free port.
    pub fn start(listen: SocketAddr, options: &Options) -> io::Result<Self> {
        let port = server::Port::bind(listen)?;
        let shared = Arc::new(Shared {
            gate: options.gate(),
            power: port.power(),
            rows: Mutex::default(),
            saved: Mutex::default(),
        });
        let server = port.serve(shared.clone());
        Ok(Self { shared, server })
    }

    /// Returns the address on which the table accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Switches the server off and on.
    pub fn power(&self) -> &server::Power {
        self.server.power()
    }

    /// Changes the faults.
    pub fn faults(&self, change: impl FnOnce(&mut fault::Faults)) {
        self.shared.gate.faults(change);
    }

    /// Returns the counters.
    pub fn counts(&self) -> platform::Counts {
        self.shared.gate.counts()
    }

    /// Returns a copy of the content, as a backup or for checks.
    pub fn backup(&self) -> Rows {
        self.shared.rows().clone()
    }

    /// Replaces the content by a backup; row versions go back with it.
    pub fn restore(&self, rows: Rows) {
        *self.shared.rows() = rows;
    }
}
