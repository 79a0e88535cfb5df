//! Follows the changes of the platform's tables.

pub mod known;

use std::{
    future,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use base::{
    fault::{At, Fault},
    span, time,
};
use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use http::StatusCode;
use platform::rows::{self, Page, Position, Row, Table};
use store::{error::Error, http::Reply, service::Service};
use tokio::time as timer;

use crate::{metrics::Counter, peers::Peers, shared::Shared};

use known::{Doubt, KnownChanges, Watched};

/// Time before a check, in which a response arrives that is on its way while another
/// call shows the change that it brings.
const ANSWER_TIME: Duration = Duration::from_millis(250);

/// Interval of checks that have no answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of checks that have no answer yet. Their responses may be lost, too,
/// and the first one after the disturbance should not wait for their timeouts.
const MAX_CHECKS: usize = 3;

/// Reads a table and then follows its changes.
pub struct Follower {
    shared: Arc<Shared>,
    service: Arc<Service>,
    /// Used for calls that wait for a change.
    waiting: Option<Waiting>,
    table: Table,
    /// Position up to which the changes are known.
    pub position: Option<Position>,
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

    /// Returns whether a row was removed.
    pub fn removes(&self, key: &str) -> bool {
        let mut rows = self.rows().iter();
        rows.any(|row| row.key == key && row.value.is_none())
    }
}

/// The response to a call for changes.
enum Answer {
    Page(Page),
    /// The table no longer has the changes.
    HistoryGone,
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
        let change = match self.position {
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
                tracing::info!(event = "history_gone", table = ?self.table, after = after.0);
                self.position = None;
                self.read().await.map(Change::All)
            }
        }
    }

    /// Asks again for changes, on new connections, while the call that waits for them may
    /// have missed one and its response has not begun. Returns when it has missed one.
    async fn missed(&self, waiting: &Waiting, after: Position, begun: &AtomicBool) -> Answer {
        let clock = &self.shared.clock;
        let began = clock.now();
        let mut watched = Watched {
            known: after,
            asked: began,
            version: None,
        };
        let mut checks = FuturesUnordered::new();
        let mut earliest = timer::Instant::now();
        loop {
            tokio::select! {
                doubt = self.doubt(waiting, watched, earliest), if checks.len() < MAX_CHECKS => {
                    if begun.load(Ordering::Relaxed) {
                        return future::pending().await;
                    }
                    tracing::debug!(event = "feed_check", table = ?self.table, after = watched.known.0, ?doubt);
                    self.shared.metrics.count(Counter::FeedChecks);
                    earliest = timer::Instant::now() + CHECK_INTERVAL;
                    checks.push(self.check(waiting, watched.known, doubt));
                }
                Some((asked, doubt, answer)) = checks.next() => match answer {
                    Ok(Answer::Page(page)) if page.rows.is_empty() => {
                        watched.known = watched.known.max(page.position);
                        watched.asked = watched.asked.max(asked);
                    }
                    Ok(answer) => {
                        let (table, waited) = (self.table, clock.now().since(began));
                        tracing::warn!(event = "change_missed", ?table, after = after.0, ?doubt, %waited);
                        self.shared.metrics.count(Counter::MissedChanges);
                        return answer;
                    }
                    // The doubt remains, so that the next check follows.
                    Err(_) => {}
                }
            }
        }
    }

    /// Waits until the call that waits may have missed a change, and for the time in which
    /// its response would arrive; not before `earliest`.
    async fn doubt(&self, waiting: &Waiting, watched: Watched, earliest: timer::Instant) -> Doubt {
        let mut changes = self.shared.known_changes.subscribe();
        let mut found = None;
        let due = changes.wait_for(|changes| {
            let version = (self.table == Table::Operator).then(|| self.shared.version());
            found = due(waiting, changes, Watched { version, ..watched });
            found.is_some()
        });
        let is_open = due.await.is_ok();
        let (true, Some(doubt)) = (is_open, found) else {
            // Not reached: the state that holds the changes holds the sender.
            return future::pending().await;
        };
        timer::sleep_until((timer::Instant::now() + ANSWER_TIME).max(earliest)).await;
        doubt
    }

    /// Asks for changes on a new connection; returns when, and why, with the answer.
    async fn check(
        &self,
        waiting: &Waiting,
        after: Position,
        doubt: Doubt,
    ) -> (time::Mono, Doubt, Result<Answer, Fault>) {
        let asked = self.shared.clock.now();
        let begun = AtomicBool::new(false);
        let answer = self.ask(&waiting.checks, after, span::Span::ZERO, &begun);
        (asked, doubt, answer.await)
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
        match reply.status {
            StatusCode::GONE => Ok(Answer::HistoryGone),
            _ => self.decode(&reply.body).map(Answer::Page),
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
        let mut first = None;
        loop {
            let last = rows.last().map(|row| row.key.as_str());
            let path = rows::read_path(self.table, last);
            let begun = AtomicBool::new(false);
            let reply = self.call(&self.service, &path, &[], &begun).await;
            let reply = reply.at("read rows", self.service.peer())?;
            let page = self.decode(&reply.body)?;
            // The feed returns changes since the first page again.
            let position = *first.get_or_insert(page.position);
            let more = page.more && !page.rows.is_empty();
            rows.extend(page.rows);
            if !more {
                self.position = Some(position);
                return Ok(rows);
            }
        }
    }

    fn decode(&self, body: &Bytes) -> Result<Page, Fault> {
        let page = Page::decode(body).at("decode rows", self.service.peer())?;
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

/// Returns why a check is due, if it is. Of positions that are not known, only routers
/// that read the table often make sure, as heartbeats between two reads leave such
/// positions as well; the others learn from them that there is a new version.
fn due(waiting: &Waiting, changes: &KnownChanges, watched: Watched) -> Option<Doubt> {
    let is_checked = |doubt: &Doubt| match doubt {
        Doubt::Unknown(_) => waiting.peers.is_reader(),
        Doubt::Unanswered | Doubt::Reported(_) => true,
    };
    changes.doubt(watched).filter(is_checked)
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
