//! Keeps refused prompt parts and contents in the table, for routers that start
//! later or receive no updates from the others.

use std::{
    collections::BTreeMap,
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
use platform::rows::{self, Row, Table};
use prost::Message;
use rand::RngExt;
use store::service::Service;
use tokio::time as timer;

use crate::{control, shared::Shared};

/// Range of the random delay before a row is written, in which the row of another
/// router that refuses the same may arrive.
const WRITE_SPREAD: Duration = Duration::from_millis(500);

/// Pause after a row could not be written.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

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

/// The rows, with the number of crashes that each has.
#[derive(Clone, Debug, Default)]
pub struct StoredRefusals(Arc<Mutex<BTreeMap<RefusalKey, usize>>>);

impl StoredRefusals {
    fn rows(&self) -> MutexGuard<'_, BTreeMap<RefusalKey, usize>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a change has to be written.
    fn needs(&self, change: &RowChange) -> bool {
        let rows = self.rows();
        let known = rows.get(&change.key);
        match &change.targets {
            Some(targets) => known.is_none_or(|known| *known < targets.len()),
            None => known.is_some(),
        }
    }

    /// Applies rows of the table; `is_all` is whether they are all rows.
    pub fn apply(&self, shared: &Shared, rows: &[Row], is_all: bool) {
        let mut removed = match is_all {
            true => std::mem::take(&mut *self.rows()),
            false => BTreeMap::new(),
        };
        for row in rows {
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
            match read {
                Ok((key, Some(targets))) => {
                    removed.remove(&key);
                    self.rows().insert(key.clone(), targets.len());
                    adopt(shared, key, &targets);
                }
                Ok((key, None)) => {
                    self.rows().remove(&key);
                    lift(shared, &key);
                }
                Err(fault) => tracing::info!(event = "row_unusable", key = row.key, %fault),
            }
        }
        for key in removed.keys() {
            lift(shared, key);
        }
    }

    /// Writes the changes of this router, until the runtime ends.
    pub async fn write(self, shared: Arc<Shared>, service: Arc<Service>) {
        loop {
            shared.refusals_changed.notified().await;
            let spread = WRITE_SPREAD.mul_f64(rand::rng().random());
            timer::sleep(spread).await;
            for change in shared.take_refusal_changes() {
                while self.needs(&change) {
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
        shared: &Shared,
        service: &Service,
        change: &RowChange,
    ) -> Result<(), Fault> {
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
        control::transact(service, body).await?;
        match &change.targets {
            Some(targets) => self.rows().insert(change.key.clone(), targets.len()),
            None => self.rows().remove(&change.key),
        };
        let refused = change.targets.is_some();
        tracing::info!(event = "refusal_stored", part = key, refused);
        Ok(())
    }
}

/// Refuses what a row names.
fn adopt(shared: &Shared, key: RefusalKey, targets: &[u64]) {
    let now = shared.clock.now();
    match key {
        RefusalKey::Parts(parts) => shared.crash_parts().adopt_stored(now, parts),
        RefusalKey::Content(content) => shared.poison().adopt_stored(now, content, targets),
    }
}

/// Stops refusing what a removed row named.
fn lift(shared: &Shared, key: &RefusalKey) {
    match key {
        RefusalKey::Parts(parts) => shared.crash_parts().lift(parts),
        RefusalKey::Content(content) => shared.poison().lift(shared.clock.now(), *content),
    }
}
