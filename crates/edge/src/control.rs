//! Reads configuration, targets and the other routers' rows from the platform's
//! table, and registers this router there.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use base::{
    fault::{At, Fault},
    span, time,
};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use platform::rows::{self, Page, Position, Row, Table};
use store::{
    backoff::Backoff,
    breaker,
    limiter::Policy,
    rates::Rates,
    service::{Options, Service},
};
use tokio::time as timer;

use crate::{
    expiry::Members,
    metrics::Counter,
    peers::Peers,
    readers,
    refusals::StoredRefusals,
    shared::Shared,
    target_list::TargetList,
    view::{self, View},
};

/// Timeout of a call that does not wait for a change; a slow table takes half a
/// second.
const CALL_TIMEOUT: span::Span = span::Span::from_millis(1_500);

/// Time for which a call to the feed of the configuration waits for a change.
/// Peers report new versions as well, in case the connection hangs.
const CONFIG_WAIT: span::Span = span::Span::from_millis(4_000);

/// The same for a router whose relays read the table: they report a new version
/// within a second.
const RELAYED_WAIT: span::Span = span::Span::from_millis(12_000);

/// Interval between two reads of the routers' rows. It can be long, because a
/// router that starts sends updates to the routers whose rows it reads.
const MEMBER_INTERVAL: Duration = Duration::from_secs(30);

/// Pause after a failure to write this router's row or to read the others.
const REGISTER_PAUSE: Duration = Duration::from_millis(700);

/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);

/// Time in which the call rate rises from zero to its limit after an outage. It
/// is short because a router makes two calls a second, and new work must stop
/// reaching a target within two seconds after it starts leaving.
const RAMP_TIME: span::Span = span::Span::from_millis(200);

/// Number of routers that the rate limits of the table are divided among.
const RATE_SHARES: u32 = 40;

/// Follows the table and exchanges updates with the other routers until the
/// runtime ends.
pub async fn run(shared: Arc<Shared>) {
    let service = Arc::new(client(&shared, CALL_TIMEOUT));
    let waiting = [CONFIG_WAIT, RELAYED_WAIT]
        .map(|wait| (wait, Arc::new(client(&shared, add(wait, CALL_TIMEOUT)))));
    let stored = StoredRefusals::default();
    tokio::spawn(follow_refusals(
        shared.clone(),
        service.clone(),
        waiting[1].1.clone(),
        stored.clone(),
    ));
    tokio::spawn(stored.write(shared.clone(), service.clone()));
    let view = View::new(shared.clone());
    let peers = Peers::new(shared.clone(), view.clone());
    tokio::spawn(follow_config(
        peers.clone(),
        shared.clone(),
        view.clone(),
        service.clone(),
        waiting,
    ));
    tokio::spawn(follow_targets(
        peers.clone(),
        shared.clone(),
        view.clone(),
        service.clone(),
    ));
    tokio::spawn(register(shared.clone(), service.clone()));
    tokio::spawn(follow_members(shared, peers.clone(), service));
    tokio::spawn(forward_changes(view, peers.clone()));
    if let Err(fault) = peers.serve().await {
        tracing::error!(event = "peers_failed", %fault);
    }
    // The other tasks continue without the connection to the other routers.
    std::future::pending().await
}

/// Starts a round of updates as soon as something changed.
async fn forward_changes(view: Arc<View>, peers: Arc<Peers>) {
    loop {
        view.changed.notified().await;
        peers.wake.notify_one();
    }
}

fn add(a: span::Span, b: span::Span) -> span::Span {
    span::Span::from_micros(a.as_micros() + b.as_micros())
}

fn client(shared: &Shared, timeout: span::Span) -> Service {
    let store = shared.settings.table;
    let rates = Rates {
        reads: store.reads,
        writes: store.writes,
    };
    let policy = Policy {
        rates: rates.equal_share(RATE_SHARES),
        max_attempts: 1,
        backoff: Backoff {
            base: span::Span::from_millis(50),
            limit: span::Span::from_millis(500),
        },
        breaker: breaker::Limits {
            failures: 6,
            min_interval: span::Span::from_millis(300),
            max_interval: span::Span::from_millis(1_000),
            probe_timeout: CALL_TIMEOUT,
        },
        slow_start: RAMP_TIME,
        ..Policy::default()
    };
    Service::new(Options {
        peer: store.address,
        timeout,
        policy,
    })
}

/// Reads a table and then follows its changes.
struct Follower {
    shared: Arc<Shared>,
    service: Arc<Service>,
    /// Used for calls that wait for a change.
    waiting: Arc<Service>,
    table: Table,
    position: Option<Position>,
    unavailable: bool,
}

/// The result of a read.
enum Change {
    /// All rows of the table.
    All(Vec<Row>),
    /// Only rows that changed.
    Some(Vec<Row>),
}

impl Change {
    fn rows(&self) -> &[Row] {
        let (Self::All(rows) | Self::Some(rows)) = self;
        rows
    }

    fn removes(&self, key: &str) -> bool {
        let mut rows = self.rows().iter();
        rows.any(|row| row.key == key && row.value.is_none())
    }
}

impl Follower {
    fn new(shared: Arc<Shared>, service: Arc<Service>, table: Table) -> Self {
        Self {
            shared,
            waiting: service.clone(),
            service,
            table,
            position: None,
            unavailable: false,
        }
    }

    /// Returns all rows at first, then the changes.
    async fn next(&mut self, wait: span::Span) -> Result<Change, Fault> {
        self.shared.metrics.count(Counter::TableCalls);
        let change = match self.position {
            None => self.read().await.map(Change::All),
            // After a failure, a call that does not wait shows sooner whether
            // the table is back.
            Some(after) if self.unavailable => self.feed(after, span::Span::ZERO).await,
            Some(after) => self.feed(after, wait).await,
        };
        let (table, peer) = (self.table, self.service.peer());
        match &change {
            Ok(_) if self.unavailable => tracing::info!(event = "table_regained", ?table, %peer),
            Err(fault) if !self.unavailable => {
                tracing::warn!(event = "table_lost", ?table, %peer, %fault)
            }
            _ => {}
        }
        if change.is_err() {
            self.shared.metrics.count(Counter::TableFailures);
        }
        self.unavailable = change.is_err();
        change
    }

    async fn read(&mut self) -> Result<Vec<Row>, Fault> {
        let mut rows: Vec<Row> = Vec::new();
        let mut first = None;
        loop {
            let last = rows.last().map(|row| row.key.as_str());
            let path = rows::read_path(self.table, last);
            let reply = self
                .service
                .read(&path, &[])
                .await
                .at("read rows", self.service.peer())?;
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

    async fn feed(&mut self, after: Position, wait: span::Span) -> Result<Change, Fault> {
        let path = rows::watch_path(self.table, after, wait);
        let service = match wait {
            span::Span::ZERO => &self.service,
            _ => &self.waiting,
        };
        let reply = service.read(&path, &[StatusCode::GONE]).await;
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

async fn follow_config(
    peers: Arc<Peers>,
    shared: Arc<Shared>,
    view: Arc<View>,
    service: Arc<Service>,
    waiting: [(span::Span, Arc<Service>); 2],
) {
    let mut follower = Follower::new(shared.clone(), service, Table::Operator);
    loop {
        let (wait, service) = &waiting[usize::from(peers.relayed_change().is_some())];
        follower.waiting = service.clone();
        let change = follower.next(*wait).await;
        shared.feed_works.store(change.is_ok(), Ordering::Relaxed);
        match change {
            Ok(Change::All(rows) | Change::Some(rows)) => {
                let values = rows.into_iter().filter(|row| row.key == rows::CONFIG_KEY);
                for value in values.filter_map(|row| row.value) {
                    view.adopt(&value, "table");
                }
            }
            Err(_) => timer::sleep(FAILURE_PAUSE).await,
        }
    }
}

/// Follows the rows of what routers refuse because it crashes targets.
async fn follow_refusals(
    shared: Arc<Shared>,
    service: Arc<Service>,
    waiting: Arc<Service>,
    stored: StoredRefusals,
) {
    let mut follower = Follower::new(shared.clone(), service, Table::Refusals);
    follower.waiting = waiting;
    loop {
        match follower.next(RELAYED_WAIT).await {
            Ok(change) => {
                let is_all = matches!(change, Change::All(_));
                stored.apply(&shared, change.rows(), follower.position, is_all);
            }
            Err(_) => timer::sleep(FAILURE_PAUSE).await,
        }
    }
}

async fn follow_targets(
    peers: Arc<Peers>,
    shared: Arc<Shared>,
    view: Arc<View>,
    service: Arc<Service>,
) {
    let mut follower = Follower::new(shared.clone(), service, Table::Targets);
    loop {
        let change = follower.next(span::Span::ZERO).await;
        shared.reads_table.store(change.is_ok(), Ordering::Relaxed);
        apply_targets(
            &mut view.target_list(),
            shared.clock.now(),
            follower.position,
            change,
        );
        if follower.position.is_some() {
            view.publish("table");
        }
        wait_for_next_read(&peers, &shared, &view).await;
    }
}

/// Waits until the changes of the targets have to be read again.
async fn wait_for_next_read(peers: &Peers, shared: &Shared, view: &View) {
    let read = shared.clock.now();
    let mut skipped = false;
    loop {
        let drain = shared.bounds.load().drain;
        timer::sleep(readers::interval(drain, peers.is_reader()).duration()).await;
        let mut target_list = view.target_list();
        let since = shared.clock.now().since(read);
        if readers::may_skip(target_list.last_change(), peers.relayed_change(), since) {
            skipped = true;
            drop(target_list);
            // Rows that were removed may count as removed by now.
            view.publish("table");
            continue;
        }
        if skipped {
            // The table may have been unavailable in the meantime, and rows may
            // have lapsed.
            target_list.failed();
        }
        return;
    }
}

fn apply_targets(
    target_list: &mut TargetList,
    now: time::Mono,
    position: Option<Position>,
    change: Result<Change, Fault>,
) {
    match change {
        Ok(Change::All(rows)) => {
            target_list.answered(now);
            let targets = rows
                .iter()
                .filter_map(|row| Some((row.position, view::target(row)?)));
            target_list.replace(now, position.unwrap_or_default(), targets.collect());
        }
        Ok(Change::Some(rows)) => {
            target_list.answered(now);
            for row in &rows {
                match view::target(row) {
                    Some(target) => {
                        target_list.put(now, row.position, target);
                    }
                    None => target_list.remove(now, row.position, &row.key),
                }
            }
        }
        Err(_) => target_list.failed(),
    }
}

/// Writes this router's row, so that the other routers find it.
async fn register(shared: Arc<Shared>, service: Arc<Service>) {
    let key = shared.settings.process.as_str();
    let address = shared.settings.peers.to_string();
    loop {
        let written = match rows::write_body(Table::Members, key, address.as_bytes()) {
            Ok(body) => transact(&service, body).await,
            Err(error) => Err(Fault::new("encode row", key, error)),
        };
        match written {
            Ok(_) => {
                tracing::info!(event = "registered", address);
                return;
            }
            Err(fault) => {
                tracing::info!(event = "not_registered", %fault);
                timer::sleep(REGISTER_PAUSE).await;
            }
        }
    }
}

/// Sends a transaction to the table. Returns the position of its changes, if the
/// reply tells it.
///
/// # Errors
///
/// When the table does not confirm it; it may have been performed.
pub async fn transact(service: &Service, body: Bytes) -> Result<Option<Position>, Fault> {
    let client = service.client();
    let attempt = || {
        let request = Request::builder()
            .method(Method::POST)
            .header(header::CONTENT_TYPE, "application/json");
        client.send(request, rows::TRANSACTION_PATH, body.clone(), &[])
    };
    let reply = service
        .write(attempt)
        .await
        .at("write row", service.peer())?;
    tracing::debug!(event = "row_written", status = reply.status.as_u16());
    Ok(rows::written(&reply.body))
}

/// Reads the rows of the routers, writes this router's row again if it was
/// removed, and removes the rows of routers that are down.
async fn follow_members(shared: Arc<Shared>, peers: Arc<Peers>, service: Arc<Service>) {
    let mut follower = Follower::new(shared.clone(), service.clone(), Table::Members);
    let mut members = Members::default();
    let own = shared.settings.process.as_str();
    loop {
        let had_row = members.contains(own);
        match follower.next(span::Span::ZERO).await {
            Ok(change) => {
                apply_members(&peers, &mut members, &change);
                if !members.contains(own) && (had_row || change.removes(own)) {
                    tracing::warn!(event = "row_removed", key = own);
                    tokio::spawn(register(shared.clone(), service.clone()));
                }
            }
            Err(_) => {
                timer::sleep(REGISTER_PAUSE).await;
                continue;
            }
        }
        remove_expired(&shared, &peers, &service, &mut members).await;
        timer::sleep(MEMBER_INTERVAL).await;
    }
}

fn apply_members(peers: &Peers, members: &mut Members, change: &Change) {
    if let Change::All(rows) = change {
        let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        for address in members.retain(&keys) {
            peers.remove_listed(address);
        }
    }
    for row in change.rows() {
        apply_member_row(peers, members, row);
    }
}

/// Removes the rows of routers that are down. Only the routers that read the
/// table often do this; it does no harm if two of them do it concurrently.
async fn remove_expired(shared: &Shared, peers: &Peers, service: &Service, members: &mut Members) {
    let own = shared.settings.peers;
    let expired = members.expired(shared.clock.now(), own, |address| peers.is_live(address));
    if !peers.is_reader() {
        return;
    }
    for key in expired {
        let removed = match rows::remove_body(Table::Members, &key) {
            Ok(body) => transact(service, body).await,
            Err(error) => Err(Fault::new("encode row", &key, error)),
        };
        match removed {
            Ok(_) => tracing::info!(event = "router_gone", key),
            Err(fault) => tracing::info!(event = "row_not_removed", key, %fault),
        }
    }
}

fn apply_member_row(peers: &Peers, members: &mut Members, row: &Row) {
    let Some(value) = &row.value else {
        if let Some(address) = members.remove(&row.key) {
            peers.remove_listed(address);
        }
        return;
    };
    let text = String::from_utf8_lossy(value);
    match text.parse() {
        Ok(address) => {
            members.put(&row.key, address);
            peers.add_listed(address);
        }
        Err(error) => tracing::info!(event = "row_unusable", key = row.key, %error),
    }
}
