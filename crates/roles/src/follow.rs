//! Follows the configuration and the instance list: what is read when, from the
//! table, the object store and peers.

use std::net::SocketAddr;

use base::{hash, id, span, time};
use conf::{history, row, settings};
use fleet::member;
use store::instances;
use wire::msg;

use crate::{
    commit::{self, Commit},
    node::Signal,
};

/// Mean time between two reads of the head: 1,110 processes read it 37 times a
/// second.
const HEAD_INTERVAL: span::Span = span::Span::from_secs(30);

/// Time between two reads of the head before it was read once.
const HEAD_RETRY: span::Span = span::Span::from_secs(1);

/// Mean time between a router's reads of the instance list.
const LIST_INTERVAL: span::Span = span::Span::from_secs(5);

/// Mean time between an agent's reads of the instance list: with the jitter it
/// is below the 3 s after which a leaving target must get no new work.
const AGENT_LIST_INTERVAL: span::Span = span::Span::from_secs(2);

/// Least time between two reads of the instance list for agents that requests
/// look for.
const SEEK_INTERVAL: span::Span = span::Span::from_secs(1);

/// Time between two reads of the snapshot while the table is down.
const SNAPSHOT_RETRY: span::Span = span::Span::from_secs(3);

/// Time between two log lines that say why a process is not ready.
const EXPLAIN_INTERVAL: span::Span = span::Span::from_secs(5);

/// When the platform is read next.
#[derive(Debug)]
pub struct Polls {
    seed: u64,
    interval: span::Span,
    head: time::Mono,
    list: time::Mono,
    /// When the instance list was last due.
    listed: time::Mono,
    snapshot: time::Mono,
    explained: Option<time::Mono>,
    /// Whether changes are being fetched.
    pub fetching: bool,
}

impl Polls {
    /// Everything is due at once.
    pub fn new(now: time::Mono, seed: u64, role: settings::Role) -> Self {
        Self {
            seed,
            interval: match role {
                settings::Role::Router => LIST_INTERVAL,
                settings::Role::Agent => AGENT_LIST_INTERVAL,
            },
            head: now,
            list: now,
            listed: now,
            snapshot: now,
            explained: None,
            fetching: false,
        }
    }

    /// Returns the interval with a jitter of a quarter either way.
    fn jitter(&mut self, interval: span::Span) -> span::Span {
        self.seed = hash::mix(self.seed, interval.as_micros());
        let quarter = interval.as_micros() / 4;
        let share = self.seed % (2 * quarter).max(1);
        span::Span::from_micros(interval.as_micros() - quarter + share)
    }

    /// Tells whether the head is due; `read` tells whether it was read before.
    pub fn head(&mut self, now: time::Mono, read: bool) -> bool {
        if now < self.head {
            return false;
        }
        let interval = if read { HEAD_INTERVAL } else { HEAD_RETRY };
        self.head = now + self.jitter(interval);
        true
    }

    /// Tells whether the instance list is due.
    pub fn list(&mut self, now: time::Mono) -> bool {
        if now < self.list {
            return false;
        }
        self.list = now + self.jitter(self.interval);
        self.listed = now;
        true
    }

    /// Makes the instance list due when its last reading is a second old;
    /// returns whether it is due now.
    pub fn seek(&mut self, now: time::Mono) -> bool {
        self.list = self.list.min(self.listed + SEEK_INTERVAL);
        self.list <= now
    }

    /// Tells whether the snapshot is due.
    pub fn snapshot(&mut self, now: time::Mono) -> bool {
        if now < self.snapshot {
            return false;
        }
        self.snapshot = now + self.jitter(SNAPSHOT_RETRY);
        true
    }

    /// Logs now and then why the process is not ready.
    pub fn explain(&mut self, now: time::Mono, readiness: &history::Readiness) {
        let due = self
            .explained
            .is_none_or(|last| now.since(last) >= EXPLAIN_INTERVAL);
        if due && *readiness != history::Readiness::Ready {
            self.explained = Some(now);
            tracing::warn!(event = "not_ready", reason = %readiness);
        }
    }
}

/// Returns what a peer is told that asks for the changes after a version.
pub fn told(history: &history::History, after: id::Version) -> Vec<msg::Change> {
    if after >= history.version() {
        return Vec::new();
    }
    let json = |value: serde_json::Result<Vec<u8>>| value.unwrap_or_default().into();
    match history.since(after) {
        Some(rows) => rows
            .iter()
            .map(|row| msg::Change {
                version: row.version.0,
                row: json(serde_json::to_vec(row.as_ref())),
                snapshot: false,
            })
            .collect(),
        None => vec![msg::Change {
            version: history.version().0,
            row: json(serde_json::to_vec(&history.snapshot())),
            snapshot: true,
        }],
    }
}

/// Fetches the changes after a version, from a peer when one is named and
/// answers, else from the table.
pub async fn fetch(commit: &Commit, peer: Option<SocketAddr>, after: id::Version) {
    if let Some(peer) = peer
        && let Some(changes) = commit::fetch(&commit.links, peer, after).await
        && !changes.is_empty()
    {
        if let Some(snapshot) = commit::snapshot(&changes) {
            commit
                .signals
                .send(Signal::Snapshot(Box::new(snapshot)))
                .ok();
        }
        let rows = commit::rows(&changes);
        commit.signals.send(Signal::Offer(rows, None, None)).ok();
        return;
    }
    let mut last = after;
    loop {
        match commit.platform.changes(last).await {
            Ok(rows) => {
                let Some(row) = rows.last() else {
                    return;
                };
                last = row.version;
                commit.signals.send(Signal::Offer(rows, None, None)).ok();
            }
            Err(fault) => {
                tracing::info!(event = "changes_unread", cause = %fault);
                return;
            }
        }
    }
}

/// Reads the head of the table.
pub async fn read_head(commit: &Commit) {
    match commit.platform.head().await {
        Ok(head) => {
            let offer = Signal::Offer(Vec::new(), Some(head), None);
            commit.signals.send(offer).ok();
        }
        Err(fault) => tracing::info!(event = "head_unread", cause = %fault),
    }
}

/// Reads the snapshot of the configuration, for a start while the table is
/// down.
pub async fn read_snapshot(commit: &Commit) {
    match commit.platform.objects.get(row::SNAPSHOT).await {
        Ok(Some(object)) => match serde_json::from_slice(&object.bytes) {
            Ok(snapshot) => {
                commit
                    .signals
                    .send(Signal::Snapshot(Box::new(snapshot)))
                    .ok();
            }
            Err(cause) => tracing::warn!(event = "snapshot_invalid", %cause),
        },
        Ok(None) => {}
        Err(fault) => tracing::info!(event = "snapshot_unread", cause = %fault),
    }
}

/// Writes the snapshot of the configuration for later starts.
pub async fn write_snapshot(commit: &Commit, snapshot: row::Snapshot) {
    let Ok(json) = serde_json::to_vec(&snapshot) else {
        return;
    };
    let any = store::object::Condition::Any;
    let outcome = commit
        .platform
        .objects
        .put(row::SNAPSHOT, json.into(), &any)
        .await;
    tracing::info!(event = "snapshot_written", version = %snapshot.point().version,
        written = matches!(outcome, store::object::Outcome::Written(_)));
}

/// Reads the instance list.
pub async fn read_list(commit: &Commit) {
    match commit.platform.instances.read().await {
        Ok(page) => {
            let list = member::Instances {
                revision: page.revision,
                instances: page.instances.into_iter().map(instance).collect(),
            };
            commit.signals.send(Signal::Instances(list)).ok();
        }
        Err(fault) => tracing::info!(event = "instances_unread", cause = %fault),
    }
}

fn instance(instance: instances::Instance) -> member::Instance {
    member::Instance {
        process: instance.id,
        role: match instance.service {
            Some(_) => member::Role::Agent,
            None => member::Role::Router,
        },
        address: instance.address,
        centre: instance.data_centre,
        service: instance.service,
        leaving: instance.state == instances::State::Leaving,
    }
}
