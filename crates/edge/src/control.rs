//! Reads configuration and targets from the platform's table, and starts the tasks
//! that read and write the other tables.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use base::{
    fault::{At, Fault},
    span, time,
};
use bytes::Bytes;
use http::{Method, Request, header};
use platform::rows::{self, Era, Position, Table};
use store::{
    backoff::Backoff,
    breaker,
    limiter::Policy,
    rates::Rates,
    service::{Options, Service},
};
use tokio::time as timer;

use crate::{
    cold::TableRead,
    feed::{Change, Follower, Waiting},
    membership,
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
    let service = Arc::new(client(&shared, CALL_TIMEOUT, true));
    let checks = Arc::new(client(&shared, CALL_TIMEOUT, false));
    let view = View::new(shared.clone());
    let peers = Peers::new(shared.clone(), view.clone());
    let waiting = [CONFIG_WAIT, RELAYED_WAIT].map(|wait| {
        let timeout = add(wait, CALL_TIMEOUT);
        let waiting = Waiting {
            service: Arc::new(client(&shared, timeout, true)),
            checks: checks.clone(),
            peers: peers.clone(),
        };
        (wait, waiting)
    });
    let stored = StoredRefusals::default();
    tokio::spawn(follow_refusals(
        shared.clone(),
        service.clone(),
        waiting[1].1.clone(),
        stored.clone(),
    ));
    tokio::spawn(stored.write(shared.clone(), service.clone()));
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
    tokio::spawn(membership::follow(shared, peers.clone(), service));
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

fn client(shared: &Shared, timeout: span::Span, pooled: bool) -> Service {
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
        pooled,
    })
}

async fn follow_config(
    peers: Arc<Peers>,
    shared: Arc<Shared>,
    view: Arc<View>,
    service: Arc<Service>,
    waiting: [(span::Span, Waiting); 2],
) {
    let mut follower = Follower::new(shared.clone(), service, Table::Operator);
    loop {
        let (wait, waiting) = &waiting[usize::from(peers.relayed_change().is_some())];
        follower.set_waiting(waiting.clone());
        let change = follower.next(*wait).await;
        shared.feed_works.store(change.is_ok(), Ordering::Relaxed);
        match change {
            Ok(change) => {
                let full = matches!(change, Change::All(_)).then_some(follower.position);
                let full = full.map(Option::unwrap_or_default);
                // Before the configuration, which makes the router ready.
                view.apply_evacuation_rows(change.rows(), full);
                let (Change::All(rows) | Change::Some(rows)) = change;
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
    waiting: Waiting,
    stored: StoredRefusals,
) {
    let mut follower = Follower::new(shared.clone(), service, Table::Refusals);
    follower.set_waiting(waiting);
    loop {
        match follower.next(RELAYED_WAIT).await {
            Ok(change) => {
                let position = follower.position.unwrap_or_default();
                match &change {
                    Change::All(rows) => stored.apply_all(&shared, rows, position),
                    Change::Some(rows) => stored.apply(&shared, rows),
                }
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
        let began = shared.clock.now();
        let era = shared.eras.latest();
        let change = follower.next(span::Span::ZERO).await;
        let is_read = change.is_ok();
        shared.reads_table.store(is_read, Ordering::Relaxed);
        apply_targets(
            &mut view.target_list(),
            shared.clock.now(),
            follower.position,
            change,
        );
        match follower.position {
            Some(position) if is_read => view.publish_read(TableRead { began, position }),
            Some(_) => view.publish("table"),
            None => {}
        }
        shared.expire_cold_suspicions(shared.clock.now());
        wait_for_next_read(&peers, &shared, &view, era).await;
    }
}

/// Waits until the changes of the targets have to be read again; `era` is the latest era
/// that was known before the latest read.
async fn wait_for_next_read(peers: &Peers, shared: &Shared, view: &View, era: Era) {
    let read = shared.clock.now();
    let mut skipped = false;
    loop {
        let drain = shared.bounds.load().drain;
        let interval = readers::interval(drain, peers.is_reader());
        tokio::select! {
            () = timer::sleep(interval.duration()) => {}
            () = shared.eras.after(era) => return,
        }
        let mut target_list = view.target_list();
        let since = shared.clock.now().since(read);
        let may_skip = readers::may_skip(target_list.last_change(), peers.relayed_change(), since);
        if may_skip && !shared.awaits_cold_rows() {
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
            target_list.record_read(position.unwrap_or_default());
        }
        Err(_) => target_list.failed(),
    }
}

/// Sends a transaction to the table. Returns the position of its changes, if the
/// reply tells it.
///
/// # Errors
///
/// When the table does not confirm it; it may have been performed. Also when the table has
/// come back from a copy since, which may lack it.
pub async fn transact(
    shared: &Shared,
    service: &Service,
    body: Bytes,
) -> Result<Option<Position>, Fault> {
    let asked = shared.eras.latest();
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
    let era = shared.eras.accept(&reply.headers, asked);
    let era = era.at("write row", service.peer())?;
    tracing::debug!(event = "row_written", status = reply.status.as_u16());
    Ok(rows::written(&reply.body, era))
}
