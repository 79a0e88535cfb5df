//! Keeps this router's row in the table, and reads the rows of the others.
//!
//! A row that was written before the table came back from a copy may be lost. A router
//! whose row is missing from a later read writes it again.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base::{fault::Fault, span};
use platform::rows::{self, Position, Row, Table};
use rand::RngExt;
use store::service::Service;
use tokio::time as timer;

use crate::{
    control,
    expiry::Members,
    feed::{Change, Follower},
    peers::Peers,
    shared::Shared,
};

/// Interval between two reads of the routers' rows. It can be long, because a
/// router that starts sends updates to the routers whose rows it reads.
const MEMBER_INTERVAL: Duration = Duration::from_secs(30);

/// Range of the random delay before the rows are read again after the table has come back
/// from a copy, so that hundreds of routers do not read them at once.
const REREAD_SPREAD: Duration = Duration::from_secs(1);

/// Pause after a failure to write this router's row or to read the others.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);

/// This router's row.
#[derive(Debug)]
struct Registration {
    shared: Arc<Shared>,
    service: Arc<Service>,
    /// Position of the row; `None` while it is being written.
    written: Mutex<Option<Position>>,
}

impl Registration {
    fn written(&self) -> MutexGuard<'_, Option<Position>> {
        self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the row.
    async fn write(self: Arc<Self>) {
        let settings = &self.shared.settings;
        let (key, address) = (settings.process.as_str(), settings.peers.to_string());
        loop {
            let written = match rows::write_body(Table::Members, key, address.as_bytes()) {
                Ok(body) => control::transact(&self.shared, &self.service, body).await,
                Err(error) => Err(Fault::new("encode row", key, error)),
            };
            match written {
                Ok(position) => {
                    tracing::info!(event = "registered", address);
                    *self.written() = Some(position.unwrap_or_default());
                    return;
                }
                Err(fault) => {
                    tracing::info!(event = "not_registered", %fault);
                    timer::sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Writes the row again if it is missing from a read that would contain it.
    fn check(self: &Arc<Self>, members: &Members, read: Position) {
        let key = self.shared.settings.process.as_str();
        let mut written = self.written();
        if members.contains(key) || written.is_none_or(|position| position > read) {
            return;
        }
        *written = None;
        drop(written);
        tracing::warn!(event = "row_removed", key);
        tokio::spawn(self.clone().write());
    }
}

/// Writes this router's row, reads the rows of the routers, and removes those of routers
/// that are down, until the runtime ends.
pub async fn follow(shared: Arc<Shared>, peers: Arc<Peers>, service: Arc<Service>) {
    let registration = Arc::new(Registration {
        shared: shared.clone(),
        service: service.clone(),
        written: Mutex::default(),
    });
    tokio::spawn(registration.clone().write());
    let mut follower = Follower::new(shared.clone(), service.clone(), Table::Members);
    let mut members = Members::default();
    loop {
        let Ok(change) = follower.next(span::Span::ZERO).await else {
            timer::sleep(FAILURE_PAUSE).await;
            continue;
        };
        apply(&peers, &mut members, &change);
        peers.set_listed();
        let read = follower.position.unwrap_or_default();
        registration.check(&members, read);
        remove_expired(&shared, &peers, &service, &mut members).await;
        let spread = REREAD_SPREAD.mul_f64(rand::rng().random());
        tokio::select! {
            () = timer::sleep(MEMBER_INTERVAL) => {}
            () = shared.eras.after(read.era) => timer::sleep(spread).await,
        }
    }
}

fn apply(peers: &Peers, members: &mut Members, change: &Change) {
    if let Change::All(rows) = change {
        let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        for address in members.retain(&keys) {
            peers.remove_listed(address);
        }
    }
    for row in change.rows() {
        apply_row(peers, members, row);
    }
}

fn apply_row(peers: &Peers, members: &mut Members, row: &Row) {
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
            Ok(body) => control::transact(shared, service, body).await,
            Err(error) => Err(Fault::new("encode row", &key, error)),
        };
        match removed {
            Ok(_) => tracing::info!(event = "router_gone", key),
            Err(fault) => tracing::info!(event = "row_not_removed", key, %fault),
        }
    }
}
