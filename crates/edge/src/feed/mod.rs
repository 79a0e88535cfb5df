//! Follows the changes of the platform's tables: reads all rows, then waits for changes
//! ([`Follower`]), and checks whether the call that waits has missed one.

mod checks;
pub mod eras;
pub mod known;

use std::sync::{Arc, atomic::AtomicBool};

use base::{
    fault::{At, Fault},
    span,
};
use bytes::Bytes;
use http::StatusCode;
use platform::rows::{self, Era, Page, Position, Row, Table};
use store::{error::Error, http::Reply, service::Service};

use crate::{metrics::Counter, peers::Peers, shared::Shared};

/// Reads a table and then follows its changes.
pub struct Follower {
    shared: Arc<Shared>,
    service: Arc<Service>,
    /// Used for calls that wait for a change.
    waiting: Option<Waiting>,
    table: Table,
    /// Position up to which the changes are known.
    pub position: Option<Position>,
    /// The era of the latest read of all rows.
    era: Option<Era>,
    unavailable: bool,
}

/// How calls that wait for a change are made, and how it is found out whether they
/// have missed one.
#[derive(Clone)]
pub struct Waiting {
    /// Used for the calls that wait.
    pub service: Arc<Service>,
    /// Used for checks. It keeps no connections: those that are open may be silent.
    pub checks: Arc<Service>,
    /// The other routers: those that read the table often report its changes.
    pub peers: Arc<Peers>,
}

/// The result of a read.
pub enum Change {
    /// All rows of the table.
    All(Vec<Row>),
    /// Only rows that changed.
    Some(Vec<Row>),
}

impl Change {
    /// Returns the rows.
    pub fn rows(&self) -> &[Row] {
        let (Self::All(rows) | Self::Some(rows)) = self;
        rows
    }
}

/// The response to a call for changes.
enum Answer {
    Page(Page),
    /// The table no longer has the changes.
    HistoryGone,
    /// The table has come back from a copy, so that its positions are others.
    Returned,
}

impl Follower {
    /// Creates a follower that has read nothing yet.
    pub fn new(shared: Arc<Shared>, service: Arc<Service>, table: Table) -> Self {
        Self {
            shared,
            waiting: None,
            service,
            table,
            position: None,
            era: None,
            unavailable: false,
        }
    }

    /// Sets how the next calls wait for a change.
    pub fn set_waiting(&mut self, waiting: Waiting) {
        self.waiting = Some(waiting);
    }

    /// Returns all rows at first, then the changes.
    ///
    /// # Errors
    ///
    /// When the table does not answer; the next call tries again.
    pub async fn next(&mut self, wait: span::Span) -> Result<Change, Fault> {
        let latest = self.shared.eras.latest();
        let change = match self.position.filter(|known| known.era == latest) {
            None => self.read().await.map(Change::All),
            Some(after) => self.changes(after, wait).await,
        };
        let (table, peer) = (self.table, self.service.peer());
        match &change {
            Ok(_) if self.unavailable => tracing::info!(event = "table_regained", ?table, %peer),
            Err(fault) if !self.unavailable => {
                tracing::warn!(event = "table_lost", ?table, %peer, %fault)
            }
            _ => {}
        }
        self.unavailable = change.is_err();
        change
    }

    async fn changes(&mut self, after: Position, wait: span::Span) -> Result<Change, Fault> {
        let answer = match self.waiting.clone() {
            // After a failure, a call that does not wait shows sooner whether the
            // table is back.
            Some(waiting) if !self.unavailable => {
                let begun = AtomicBool::new(false);
                tokio::select! {
                    answer = self.ask(&waiting.service, after, wait, &begun) => answer?,
                    answer = self.missed(&waiting, after, &begun) => answer,
                    () = self.shared.eras.after(after.era) => Answer::Returned,
                }
            }
            _ => {
                let begun = AtomicBool::new(false);
                self.ask(&self.service, after, span::Span::ZERO, &begun)
                    .await?
            }
        };
        match answer {
            Answer::Page(page) => {
                self.position = Some(page.position);
                Ok(Change::Some(page.rows))
            }
            Answer::HistoryGone => {
                tracing::info!(event = "history_gone", table = ?self.table, %after);
                self.position = None;
                self.read().await.map(Change::All)
            }
            Answer::Returned => {
                self.position = None;
                self.read().await.map(Change::All)
            }
        }
    }

    async fn ask(
        &self,
        service: &Service,
        after: Position,
        wait: span::Span,
        begun: &AtomicBool,
    ) -> Result<Answer, Fault> {
        let path = rows::watch_path(self.table, after, wait);
        let reply = self.call(service, &path, &[StatusCode::GONE], begun).await;
        let reply = reply.at("follow rows", service.peer())?;
        let eras = &self.shared.eras;
        match eras.accept(&reply.headers, after.era) {
            Ok(era) if era == after.era => {}
            Err(error) if eras.latest() == after.era => {
                return Err(error).at("follow rows", service.peer());
            }
            Ok(_) | Err(_) => return Ok(Answer::Returned),
        }
        match reply.status {
            StatusCode::GONE => Ok(Answer::HistoryGone),
            _ => self.decode(&reply.body, after.era).map(Answer::Page),
        }
    }

    async fn call(
        &self,
        service: &Service,
        path: &str,
        allowed: &[StatusCode],
        begun: &AtomicBool,
    ) -> Result<Reply, Error> {
        self.shared.metrics.count(Counter::TableCalls);
        let reply = service.read_observed(path, allowed, begun).await;
        if let Err(error) = &reply {
            self.shared.metrics.count(Counter::TableFailures);
            if error.may_have_run() {
                let now = self.shared.clock.now();
                let changes = &self.shared.known_changes;
                changes.send_modify(|changes| changes.record_unanswered(now));
            }
        }
        reply
    }

    async fn read(&mut self) -> Result<Vec<Row>, Fault> {
        let mut rows: Vec<Row> = Vec::new();
        let mut first: Option<Position> = None;
        let asked = self.shared.eras.latest();
        loop {
            let last = rows.last().map(|row| row.key.as_str());
            let path = rows::read_path(self.table, last);
            let begun = AtomicBool::new(false);
            let reply = self.call(&self.service, &path, &[], &begun).await;
            let reply = reply.at("read rows", self.service.peer())?;
            let era = self.shared.eras.accept(&reply.headers, asked);
            let era = era.at("read rows", self.service.peer())?;
            let page = self.decode(&reply.body, era)?;
            // The feed returns changes since the first page again.
            let position = *first.get_or_insert(page.position);
            if position.era != era {
                // The pages are of different states of the table.
                (rows, first) = (Vec::new(), None);
                continue;
            }
            let more = page.more && !page.rows.is_empty();
            rows.extend(page.rows);
            if !more {
                self.log_reread(era, rows.len());
                self.position = Some(position);
                return Ok(rows);
            }
        }
    }

    /// Logs that all rows were read again after the table came back from a copy.
    fn log_reread(&mut self, era: Era, rows: usize) {
        let previous = self.era.replace(era);
        if previous.is_some_and(|previous| previous < era) {
            tracing::info!(event = "table_reread", table = ?self.table, %era, rows);
        }
    }

    fn decode(&self, body: &Bytes, era: Era) -> Result<Page, Fault> {
        let page = Page::decode(body, era).at("decode rows", self.service.peer())?;
        let positions = page.rows.iter().map(|row| row.position);
        self.shared.known_changes.send_modify(|changes| {
            changes.record_rows(positions);
            if self.table == Table::Targets {
                changes.record_read(page.position);
            }
        });
        Ok(page)
    }
}

/// Reads all rows of a table, and returns the position of the read.
///
/// # Errors
///
/// When the table does not answer.
pub async fn read_all(
    shared: &Arc<Shared>,
    service: &Arc<Service>,
    table: Table,
) -> Result<(Vec<Row>, Position), Fault> {
    let mut follower = Follower::new(shared.clone(), service.clone(), table);
    let rows = follower.read().await?;
    Ok((rows, follower.position.unwrap_or_default()))
}
