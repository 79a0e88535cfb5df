//! A client of the transactional table.

use std::{net::SocketAddr, sync::Arc};

use base::{
    fault::{At, Fault},
    span,
};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    breaker,
    error::Error,
    http as exchange,
    rates::Rates,
    service::{self, Options, Service},
};

/// Rows per request of a scan.
const PAGE_ROWS: usize = 500;

/// Timeout of one attempt of a call.
const TIMEOUT: span::Span = span::Span::from_secs(2);

/// Returns the default options of a client of the table.
pub fn options(peer: SocketAddr) -> Options {
    Options::new(peer, TIMEOUT)
}

/// Version of a row, assigned by the table.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

/// A row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version, for conditional writes.
    pub version: RowVersion,
    /// Content of the row.
    pub value: serde_json::Value,
}

impl Row {
    /// Deserializes the content.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, Fault> {
        T::deserialize(&self.value).at("decode row", &self.key)
    }
}

/// A condition on a row. When it does not hold, no operation of the transaction is
/// carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The row must not exist (true) or must exist (false).
    Absent(bool),
    /// The row must have this version.
    Version(RowVersion),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum OpKind {
    Put,
    Delete,
    Check,
}

/// One operation of a transaction. Each key may occur in one operation only.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Op {
    op: OpKind,
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<serde_json::Value>,
    #[serde(rename = "if", skip_serializing_if = "Option::is_none")]
    condition: Option<Condition>,
}

impl Op {
    fn write<T: Serialize>(
        key: impl Into<String>,
        value: &T,
        condition: Option<Condition>,
    ) -> Result<Self, Fault> {
        let key = key.into();
        Ok(Self {
            op: OpKind::Put,
            value: Some(serde_json::to_value(value).at("encode row", &key)?),
            key,
            condition,
        })
    }

    /// Writes a row that must not exist yet.
    pub fn insert<T: Serialize>(key: impl Into<String>, value: &T) -> Result<Self, Fault> {
        Self::write(key, value, Some(Condition::Absent(true)))
    }

    /// Writes a row that must have the given version.
    pub fn replace<T: Serialize>(
        key: impl Into<String>,
        version: RowVersion,
        value: &T,
    ) -> Result<Self, Fault> {
        Self::write(key, value, Some(Condition::Version(version)))
    }

    /// Writes a row unconditionally.
    pub fn put<T: Serialize>(key: impl Into<String>, value: &T) -> Result<Self, Fault> {
        Self::write(key, value, None)
    }

    /// Deletes a row that must have the given version.
    pub fn delete(key: impl Into<String>, version: RowVersion) -> Self {
        Self {
            op: OpKind::Delete,
            key: key.into(),
            value: None,
            condition: Some(Condition::Version(version)),
        }
    }

    /// Checks a condition without changing the row.
    pub fn check(key: impl Into<String>, condition: Condition) -> Self {
        Self {
            op: OpKind::Check,
            key: key.into(),
            value: None,
            condition: Some(condition),
        }
    }

    /// Returns the key of the row.
    pub fn key(&self) -> &str {
        &self.key
    }
}

/// A condition that did not hold.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Conflict {
    /// Index of the operation whose condition did not hold.
    pub failed: usize,
    /// The current row, if there is one.
    pub row: Option<Row>,
}

/// Outcome of a transaction.
#[derive(Debug)]
pub enum Outcome {
    /// The transaction was carried out. The versions are in the order of the
    /// operations, and 0 where there is no row.
    Committed(Vec<RowVersion>),
    /// A condition did not hold, and nothing was changed.
    Conflict(Conflict),
    /// The transaction was not carried out, because it was not sent or the table
    /// refused it.
    NotSent {
        /// Why it was not carried out.
        fault: Fault,
        /// Time after which to retry.
        retry_after: span::Span,
    },
    /// The reply was lost, and the transaction may have been carried out or may
    /// still take effect. A later read that shows the write proves that it was
    /// carried out. A read that does not show it proves nothing until another
    /// conditional write has excluded it.
    Unknown(Fault),
}

/// A page of a scan.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Page {
    /// Rows in key order.
    pub rows: Vec<Row>,
    /// Whether more rows follow.
    pub more: bool,
}

#[derive(Serialize)]
struct Transaction<'a> {
    ops: &'a [Op],
}

#[derive(Deserialize)]
struct Committed {
    versions: Vec<RowVersion>,
}

/// A client of the table; clones share connections and limits.
#[derive(Clone, Debug)]
pub struct Table(Arc<Service>);

impl Table {
    /// Makes a client; the first call opens a connection.
    pub fn new(options: Options) -> Self {
        Self(Arc::new(Service::new(options)))
    }

    /// Sets the rates that this process may use.
    pub fn set_rates(&self, rates: Rates) {
        self.0.set_rates(rates);
    }

    /// Returns the state of the circuit breaker.
    pub fn breaker(&self) -> breaker::State {
        self.0.breaker()
    }

    /// Reads a row; the cause of a fault is an [`Error`].
    pub async fn read(&self, key: &str) -> Result<Option<Row>, Fault> {
        let path = format!("/v1/rows/{}", exchange::escape(key));
        let reply = self.0.read(&path, &[StatusCode::NOT_FOUND]).await;
        let row = reply.and_then(|reply| match reply.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => decode(&reply.body).map(Some),
        });
        row.at("read row", self.0.peer())
    }

    /// Reads up to `limit` rows whose keys begin with `prefix` and come after the
    /// key `after`.
    pub async fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Page, Fault> {
        let prefix = exchange::escape(prefix);
        let mut path = format!("/v1/rows?prefix={prefix}&limit={limit}");
        if let Some(after) = after {
            path = format!("{path}&after={}", exchange::escape(after));
        }
        let reply = self.0.read(&path, &[]).await;
        let page = reply.and_then(|reply| decode(&reply.body));
        page.at("scan rows", self.0.peer())
    }

    /// Reads all rows whose keys begin with a prefix, in several requests. A row
    /// that changes in the meantime may be read before or after its change.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Row>, Fault> {
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let after = rows.last().map(|row| row.key.clone());
            let page = self.page(prefix, after.as_deref(), PAGE_ROWS).await?;
            let empty = page.rows.is_empty();
            rows.extend(page.rows);
            if !page.more || empty {
                return Ok(rows);
            }
        }
    }

    /// Carries out all operations or none.
    ///
    /// A failed transaction is retried only when it cannot have taken effect. When
    /// the future is dropped, the outcome is unknown.
    pub async fn transact(&self, ops: &[Op]) -> Outcome {
        let peer = self.0.peer();
        let result = match serde_json::to_vec(&Transaction { ops }) {
            Ok(body) => self.post(body.into()).await,
            Err(error) => Err(Error::Request(Box::new(error))),
        };
        match result {
            Ok(outcome) => outcome,
            Err(error) if error.may_have_run() => {
                Outcome::Unknown(Fault::new("transact", peer, error))
            }
            Err(error) => Outcome::NotSent {
                retry_after: error.retry_after().unwrap_or(service::DEFAULT_RETRY_AFTER),
                fault: Fault::new("transact", peer, error),
            },
        }
    }

    async fn post(&self, body: Bytes) -> Result<Outcome, Error> {
        const JSON: &str = "application/json";
        let client = self.0.client();
        let attempt = || {
            let request = Request::builder()
                .method(Method::POST)
                .header(http::header::CONTENT_TYPE, JSON);
            let allowed = &[StatusCode::CONFLICT];
            client.send(request, "/v1/transactions", body.clone(), allowed)
        };
        let reply = self.0.write(attempt).await?;
        match reply.status {
            StatusCode::CONFLICT => decode(&reply.body).map(Outcome::Conflict),
            _ => decode::<Committed>(&reply.body)
                .map(|committed| Outcome::Committed(committed.versions)),
        }
    }
}

fn decode<T: DeserializeOwned>(body: &Bytes) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Reply(Box::new(error)))
}
