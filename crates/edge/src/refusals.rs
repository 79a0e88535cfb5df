//! Keeps refused prompt parts and contents in the table, for routers that start
//! later or receive no updates from the others.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    str::FromStr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use admit::{crash_parts::Change, part_set::PartSet};
use base::{
    fault::{At, Fault},
    id,
};
use platform::rows::{self, Era, Position, Row, Table};
use prost::Message;
use rand::RngExt;
use store::service::Service;
use tokio::time as timer;

use crate::{control, feed, shared::Shared};

/// Range of the random delay before a row is written, in which the row of another
/// router that refuses the same may arrive.
const WRITE_SPREAD: Duration = Duration::from_millis(500);

/// Pause after a row could not be written.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Maximum number of removed rows that are remembered, because a change of them may
/// be read late.
const MAX_REMOVED: usize = 256;

/// Start of the keys of contents; those of prompt parts are hashes only.
const CONTENT_PREFIX: &str = "content-";

/// What a row of the table refuses.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalKey {
    /// Prompts with all of these parts.
    Parts(PartSet),
    /// Requests with this content.
    Content(id::Fingerprint),
}

impl fmt::Display for RefusalKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Parts(parts) => parts.fmt(f),
            Self::Content(content) => write!(f, "{CONTENT_PREFIX}{content}"),
        }
    }
}

impl FromStr for RefusalKey {
    type Err = <PartSet as FromStr>::Err;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.strip_prefix(CONTENT_PREFIX) {
            Some(content) => content.parse().map(Self::Content),
            None => text.parse().map(Self::Parts),
        }
    }
}

/// The value of a content's row.
#[derive(Clone, PartialEq, Message)]
pub struct StoredContent {
    /// Name of the process that wrote the row.
    #[prost(string, tag = "1")]
    pub process: String,
    /// For each crash, a hash that identifies the run of the target.
    #[prost(fixed64, repeated, tag = "2")]
    pub targets: Vec<u64>,
}

/// A change of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// What the row refuses.
    pub key: RefusalKey,
    /// The targets of the crashes of a content, none for prompt parts; `None` if the
    /// row has to be removed.
    pub targets: Option<Vec<u64>>,
}

impl From<Change> for RowChange {
    fn from(change: Change) -> Self {
        let (parts, targets) = match change {
            Change::Refused { parts, .. } => (parts, Some(Vec::new())),
            Change::Admitted(parts) => (parts, None),
        };
        Self {
            key: RefusalKey::Parts(parts),
            targets,
        }
    }
}

/// What is known of a row.
#[derive(Clone, Debug)]
struct KnownRow {
    /// Position of its latest change.
    position: Position,
    /// The targets of the crashes that it names; `None` if it was removed.
    targets: Option<Vec<u64>>,
}

impl KnownRow {
    /// Returns the number of crashes that the row names; `None` if it was removed.
    fn crashes(&self) -> Option<usize> {
        self.targets.as_ref().map(Vec::len)
    }
}

/// The rows, as far as they are known.
#[derive(Debug, Default)]
struct Known {
    rows: BTreeMap<RefusalKey, KnownRow>,
    /// Position of the latest read of all rows. A row that is older and not known was
    /// removed before that.
    read: Position,
}

impl Known {
    /// Records a change of a row, unless a later one is known. Returns whether it is
    /// recorded.
    fn record(&mut self, key: &RefusalKey, row: KnownRow) -> bool {
        let known = self.rows.get(key);
        if known.is_some_and(|known| known.position >= row.position) {
            return false;
        }
        self.rows.insert(key.clone(), row);
        // Late reads concern recent changes, so the oldest removal is forgotten first.
        let removed = self.rows.iter().filter(|(_, row)| row.targets.is_none());
        if removed.clone().count() > MAX_REMOVED {
            let oldest = removed.min_by_key(|(_, row)| row.position);
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.rows.remove(&oldest);
            }
        }
        true
    }
}

/// The stored refusals.
#[derive(Clone, Debug, Default)]
pub struct StoredRefusals(Arc<Mutex<Known>>);

impl StoredRefusals {
    fn known(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a change has to be written: the row differs from it, and it
    /// still is what this router decides.
    ///
    /// Between the change and the write, the row may have been removed by an operator,
    /// which lifted the refusal here. Rows that this router adopted are written again only
    /// if the table has lost them.
    fn needs(&self, shared: &Shared, change: &RowChange) -> bool {
        let stored = self
            .known()
            .rows
            .get(&change.key)
            .and_then(KnownRow::crashes);
        match &change.targets {
            Some(targets) => {
                let is_stored = stored.is_some_and(|crashes| crashes >= targets.len());
                !is_stored && refuses(shared, &change.key, targets.len())
            }
            None => stored.is_some_and(|crashes| !refuses(shared, &change.key, crashes.max(1))),
        }
    }

    /// Applies changed rows of the table.
    pub fn apply(&self, shared: &Shared, rows: &[Row]) {
        for row in rows {
            if let Some((key, targets)) = decode(row) {
                self.apply_row(shared, key, row.position, targets);
            }
        }
    }

    /// Applies all rows of the table, read at a position. Rows that are missing were
    /// removed, unless they were written later.
    ///
    /// If the table has come back from a copy, a missing row may be lost and a row that
    /// was removed may be there again. What was known before still holds then, and this
    /// router writes or removes the row again, if that still is what it decides.
    pub fn apply_all(&self, shared: &Shared, rows: &[Row], position: Position) {
        let mut known = self.known();
        if known.read > position {
            return;
        }
        known.read = position;
        let stored = known.rows.iter();
        let stored = stored.filter(|(_, row)| row.targets.is_some() && row.position <= position);
        let mut missing: BTreeSet<RefusalKey> = stored.map(|(key, _)| key.clone()).collect();
        drop(known);
        let mut again = Vec::new();
        for row in rows {
            if let Some((key, targets)) = decode(row) {
                missing.remove(&key);
                if self.was_removed(&key, position.era) {
                    again.push(self.restore_row(key, row.position, targets));
                } else {
                    self.record_row(shared, key, row.position, targets);
                }
            }
        }
        for key in missing {
            match self.lose_row(&key, position.era) {
                Some(lost) => again.push(lost),
                None => self.record_row(shared, key, position, None),
            }
        }
        shared.queue_refusal_changes(again);
    }

    /// Returns whether a row is known as removed in an era before `era`.
    fn was_removed(&self, key: &RefusalKey, era: Era) -> bool {
        let known = self.known();
        let row = known.rows.get(key);
        row.is_some_and(|row| row.targets.is_none() && row.position.era < era)
    }

    /// Records a row that is there again, and returns the change that removes it.
    fn restore_row(
        &self,
        key: RefusalKey,
        position: Position,
        targets: Option<Vec<u64>>,
    ) -> RowChange {
        self.known().record(&key, KnownRow { position, targets });
        RowChange { key, targets: None }
    }

    /// Forgets a row that was stored in an era before `era`, and returns the change that
    /// writes it again; `None` if it was stored later.
    fn lose_row(&self, key: &RefusalKey, era: Era) -> Option<RowChange> {
        let mut known = self.known();
        if known.rows.get(key)?.position.era >= era {
            return None;
        }
        let lost = known.rows.remove(key)?;
        Some(RowChange {
            key: key.clone(),
            targets: lost.targets,
        })
    }

    fn apply_row(
        &self,
        shared: &Shared,
        key: RefusalKey,
        position: Position,
        targets: Option<Vec<u64>>,
    ) {
        let known = self.known();
        let is_removed = !known.rows.contains_key(&key) && position <= known.read;
        drop(known);
        if !is_removed {
            self.record_row(shared, key, position, targets);
        }
    }

    fn record_row(
        &self,
        shared: &Shared,
        key: RefusalKey,
        position: Position,
        targets: Option<Vec<u64>>,
    ) {
        let row = KnownRow {
            position,
            targets: targets.clone(),
        };
        let is_new = self.known().record(&key, row);
        match targets {
            Some(targets) if is_new => adopt(shared, key, &targets),
            None if is_new => lift(shared, &key),
            _ => {}
        }
    }

    /// Writes the changes of this router, until the runtime ends.
    pub async fn write(self, shared: Arc<Shared>, service: Arc<Service>) {
        loop {
            shared.refusals_changed.notified().await;
            let spread = WRITE_SPREAD.mul_f64(rand::rng().random());
            timer::sleep(spread).await;
            for change in shared.take_refusal_changes() {
                while self.needs(&shared, &change) {
                    match self.write_change(&shared, &service, &change).await {
                        Ok(()) => break,
                        Err(fault) => {
                            tracing::info!(event = "refusal_not_stored", %fault);
                            timer::sleep(FAILURE_PAUSE).await;
                        }
                    }
                }
            }
        }
    }

    async fn write_change(
        &self,
        shared: &Arc<Shared>,
        service: &Arc<Service>,
        change: &RowChange,
    ) -> Result<(), Fault> {
        // After an outage of the table, rows may have been removed that the feed has
        // not delivered yet.
        let (rows, position) = feed::read_all(shared, service, Table::Refusals).await?;
        self.apply_all(shared, &rows, position);
        if !self.needs(shared, change) {
            return Ok(());
        }
        let key = change.key.to_string();
        let process = shared.settings.process.as_str();
        let body = match (&change.key, &change.targets) {
            (_, None) => rows::remove_body(Table::Refusals, &key),
            (RefusalKey::Parts(_), _) => {
                rows::write_body(Table::Refusals, &key, process.as_bytes())
            }
            (RefusalKey::Content(_), Some(targets)) => {
                let value = StoredContent {
                    process: process.to_owned(),
                    targets: targets.clone(),
                };
                rows::write_body(Table::Refusals, &key, &value.encode_to_vec())
            }
        };
        let body = body.map_err(|error| Fault::new("encode row", &key, error))?;
        let position = control::transact(shared, service, body).await?;
        let mut known = self.known();
        let row = KnownRow {
            // Without a position, the row counts as new when the feed delivers it.
            position: position.unwrap_or(known.read),
            targets: change.targets.clone(),
        };
        known.record(&change.key, row);
        drop(known);
        let refused = change.targets.is_some();
        tracing::info!(event = "refusal_stored", part = key, refused);
        Ok(())
    }
}

/// Decodes a row: what it refuses, and the targets of its crashes, `None` if it was
/// removed. Returns `None`, with a log line, if it is malformed.
fn decode(row: &Row) -> Option<(RefusalKey, Option<Vec<u64>>)> {
    let read = row.key.parse().at("read refusal", &row.key);
    let read = read.and_then(|key: RefusalKey| {
        let targets = match (&key, &row.value) {
            (RefusalKey::Content(_), Some(value)) => {
                let value = StoredContent::decode(&value[..]);
                Some(value.at("read refusal", &key)?.targets)
            }
            (_, value) => value.as_ref().map(|_| Vec::new()),
        };
        Ok((key, targets))
    });
    read.inspect_err(|fault| tracing::info!(event = "row_unusable", key = row.key, %fault))
        .ok()
}

/// Refuses what a row names.
fn adopt(shared: &Shared, key: RefusalKey, targets: &[u64]) {
    let now = shared.clock.now();
    match key {
        RefusalKey::Parts(parts) => shared.crash_parts().adopt_stored(now, parts),
        RefusalKey::Content(content) => shared.poison().adopt_stored(now, content, targets),
    }
}

/// Returns whether this router refuses what a row names, because of at least as many
/// crashes as given.
fn refuses(shared: &Shared, key: &RefusalKey, crashes: usize) -> bool {
    match key {
        RefusalKey::Parts(parts) => shared.crash_parts().has_refused(parts),
        RefusalKey::Content(content) => shared.poison().crashes(*content) >= crashes,
    }
}

/// Stops refusing what a removed row named.
fn lift(shared: &Shared, key: &RefusalKey) {
    let now = shared.clock.now();
    match key {
        RefusalKey::Parts(parts) => shared.crash_parts().lift(now, parts),
        RefusalKey::Content(content) => shared.poison().lift(now, *content),
    }
}
