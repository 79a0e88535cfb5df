//! Reads the platform's table: the configuration and the targets.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use base::{
    fault::{At, Fault},
    id, span,
};
use bytes::Bytes;
use http::StatusCode;
use platform::{
    config::Config,
    rows::{self, Page, Position, Row, Table},
    target as row,
};
use store::{backoff::Backoff, breaker, control::Policy, service::Service, share::Rates};
use tokio::time as timer;

use crate::{
    fleet::{Fleet, Target},
    leaving::Listed,
    routes::Routes,
    shared::Shared,
};

/// Time for one call, the wait of a feed included. Above the longest wait of a
/// feed by the time that a slow table takes.
const CALL_TIMEOUT: span::Span = span::Span::from_millis(2_200);

/// Time that the feed of the configuration waits for a change. Short, because a
/// connection that has gone silent is noticed only by its end.
const CONFIG_WAIT: span::Span = span::Span::from_millis(1_200);

/// Pause between two reads of the targets' changes. They write several times a
/// second, so that a feed that waits for the first change returns at once.
const TARGET_PAUSE: Duration = Duration::from_millis(700);

/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);

/// Time from nothing to the whole rate after an outage. Short, because a router
/// makes two calls a second, and new work must stop reaching a target within
/// two seconds of its leave.
const RAMP_TIME: span::Span = span::Span::from_millis(200);

/// Routers among which the rates of the table are divided.
const RATE_SHARES: u32 = 40;

/// Follows the table until the runtime ends.
pub async fn run(shared: Arc<Shared>) {
    let service = Arc::new(client(&shared));
    let config = tokio::spawn(follow_config(shared.clone(), service.clone()));
    let targets = tokio::spawn(follow_targets(shared, service));
    for task in [config, targets] {
        if let Err(error) = task.await {
            tracing::error!(event = "control_failed", %error);
        }
    }
}

fn client(shared: &Shared) -> Service {
    let store = shared.settings.store;
    let rates = Rates {
        reads: store.reads,
        writes: store.writes,
    };
    let policy = Policy {
        rates: rates.equal(RATE_SHARES),
        attempts: 1,
        backoff: Backoff {
            base: span::Span::from_millis(50),
            limit: span::Span::from_millis(500),
        },
        breaker: breaker::Limits {
            failures: 6,
            first: span::Span::from_millis(300),
            longest: span::Span::from_millis(1_000),
            probe: CALL_TIMEOUT,
        },
        climb: RAMP_TIME,
        ..Policy::default()
    };
    Service::new(store.address, CALL_TIMEOUT, policy)
}

/// Where a follower stands in the history of a table.
struct Follower {
    service: Arc<Service>,
    table: Table,
    position: Option<Position>,
    lost: bool,
}

/// Rows that were read.
enum Change {
    /// All rows of the table.
    All(Vec<Row>),
    /// Rows that changed.
    Some(Vec<Row>),
}

impl Follower {
    fn new(service: Arc<Service>, table: Table) -> Self {
        Self {
            service,
            table,
            position: None,
            lost: false,
        }
    }

    /// Reads all rows at first, then the changes.
    async fn next(&mut self, wait: span::Span) -> Result<Change, Fault> {
        let change = match self.position {
            None => self.read().await.map(Change::All),
            Some(after) => self.feed(after, wait).await,
        };
        let (table, peer) = (self.table, self.service.peer());
        match &change {
            Ok(_) if self.lost => tracing::info!(event = "table_regained", ?table, %peer),
            Err(fault) if !self.lost => tracing::warn!(event = "table_lost", ?table, %peer, %fault),
            _ => {}
        }
        self.lost = change.is_err();
        change
    }

    async fn read(&mut self) -> Result<Vec<Row>, Fault> {
        let mut rows: Vec<Row> = Vec::new();
        let mut first = None;
        loop {
            let last = rows.last().map(|row| row.key.as_str());
            let path = rows::read(self.table, last);
            let reply = self
                .service
                .read(&path, &[])
                .await
                .at("read rows", self.service.peer())?;
            let page = self.decode(&reply.body)?;
            // Changes since the first page are read again by the feed.
            let position = *first.get_or_insert(page.position);
            let more = page.more && !page.rows.is_empty();
            rows.extend(page.rows);
            if !more {
                self.position = Some(position);
                return Ok(rows);
            }
        }
    }

    async fn feed(&mut self, after: Position, wait: span::Span) -> Result<Change, Fault> {
        let path = rows::feed(self.table, after, wait);
        let reply = self.service.read(&path, &[StatusCode::GONE]).await;
        let reply = reply.at("follow rows", self.service.peer())?;
        if reply.status == StatusCode::GONE {
            tracing::info!(event = "history_gone", table = ?self.table, after = after.0);
            self.position = None;
            return self.read().await.map(Change::All);
        }
        let page = self.decode(&reply.body)?;
        self.position = Some(page.position);
        Ok(Change::Some(page.rows))
    }

    fn decode(&self, body: &Bytes) -> Result<Page, Fault> {
        Page::decode(body).at("decode rows", self.service.peer())
    }
}

async fn follow_config(shared: Arc<Shared>, service: Arc<Service>) {
    let mut follower = Follower::new(service, Table::Operator);
    loop {
        match follower.next(CONFIG_WAIT).await {
            Ok(Change::All(rows) | Change::Some(rows)) => {
                let values = rows.into_iter().filter(|row| row.key == rows::CONFIG);
                for value in values.filter_map(|row| row.value) {
                    adopt(&shared, &value);
                }
            }
            Err(_) => timer::sleep(FAILURE_PAUSE).await,
        }
    }
}

/// Puts a configuration in force unless a newer one is.
fn adopt(shared: &Shared, value: &Bytes) {
    let config = match Config::decode(value) {
        Ok(config) => config,
        Err(error) => {
            tracing::error!(event = "config_unreadable", %error);
            return;
        }
    };
    let known = shared
        .routes
        .load()
        .as_ref()
        .map(|routes| routes.config.version);
    let version = config.version;
    if known.is_some_and(|known| known >= version) {
        return;
    }
    let rules = config.rules.len();
    shared.routes.store(Some(Arc::new(Routes::new(config))));
    tracing::info!(event = "config", %version, rules, previous = known.map_or(0, |known| known.0));
}

async fn follow_targets(shared: Arc<Shared>, service: Arc<Service>) {
    let mut follower = Follower::new(service, Table::Targets);
    let mut listed = Listed::default();
    loop {
        let change = follower.next(span::Span::ZERO).await;
        let now = shared.clock.now();
        if change.is_ok() {
            listed.answered(now);
        }
        match change {
            Ok(Change::All(rows)) => {
                let targets = rows.iter().filter_map(decode).collect();
                listed.replace(now, targets);
            }
            Ok(Change::Some(rows)) => {
                for row in &rows {
                    match decode(row) {
                        Some(target) => listed.put(target),
                        None => listed.remove(now, &row.key),
                    }
                }
            }
            Err(_) => listed.failed(),
        }
        if follower.position.is_some() {
            publish(&shared, listed.open(now));
        }
        timer::sleep(TARGET_PAUSE).await;
    }
}

fn decode(row: &Row) -> Option<row::Target> {
    let value = row.value.as_ref()?;
    match row::Target::decode(&row.key, value) {
        Ok(target) => Some(target),
        Err(error) => {
            tracing::info!(event = "row_unusable", key = row.key, position = row.position.0, %error);
            None
        }
    }
}

/// Replaces the fleet that traffic sees; what is known of a target that stays
/// is kept.
fn publish(shared: &Shared, open: Vec<&row::Target>) {
    let old = shared.fleet.load_full();
    let known: BTreeMap<&id::TargetId, &Arc<Target>> = old
        .iter()
        .flat_map(|fleet| fleet.values().flatten())
        .map(|target| (&target.row.id, target))
        .collect();
    let unchanged = known.len() == open.len()
        && open
            .iter()
            .all(|row| known.get(&row.id).is_some_and(|target| target.row == **row));
    if unchanged && old.is_some() {
        return;
    }
    let mut fleet = Fleet::new();
    for row in &open {
        let kept = known.get(&row.id).filter(|target| target.row == **row);
        let target = kept.map_or_else(
            || {
                tracing::info!(event = "target_open", target = %row.id, service = %row.service, address = %row.address);
                Arc::new(Target::new((*row).clone()))
            },
            |target| (*target).clone(),
        );
        fleet.entry(row.service.clone()).or_default().push(target);
    }
    for target in known
        .keys()
        .filter(|id| open.iter().all(|row| row.id != ***id))
    {
        tracing::info!(event = "target_closed", %target);
    }
    shared.fleet.store(Some(Arc::new(fleet)));
}
