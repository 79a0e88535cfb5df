//! Keeps the refused prompt parts in the table, for routers that start later or
//! receive no updates from the others.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use admit::{crash_parts::Change, part_set::PartSet};
use base::fault::Fault;
use platform::rows::{self, Row, Table};
use rand::RngExt;
use store::service::Service;
use tokio::time as timer;

use crate::{control, shared::Shared};

/// Range of the random delay before a row is written, in which the row of another
/// router that refuses the same part may arrive.
const WRITE_SPREAD: Duration = Duration::from_millis(500);

/// Pause after a row could not be written.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// The parts that have rows, and the changes that have to be written.
#[derive(Clone, Debug, Default)]
pub struct StoredParts(Arc<Mutex<BTreeSet<PartSet>>>);

impl StoredParts {
    fn parts(&self) -> MutexGuard<'_, BTreeSet<PartSet>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a change has to be written.
    fn needs(&self, change: &Change) -> bool {
        match change {
            Change::Refused { parts, .. } => !self.parts().contains(parts),
            Change::Admitted(parts) => self.parts().contains(parts),
        }
    }

    /// Applies rows of the table; `is_all` is whether they are all rows.
    pub fn apply(&self, shared: &Shared, rows: &[Row], is_all: bool) {
        if is_all {
            self.parts().clear();
        }
        for row in rows {
            let parts: PartSet = match row.key.parse() {
                Ok(parts) => parts,
                Err(error) => {
                    tracing::info!(event = "row_unusable", key = row.key, %error);
                    continue;
                }
            };
            let now = shared.clock.now();
            if row.value.is_some() {
                self.parts().insert(parts.clone());
                shared.crash_parts().adopt_stored(now, parts);
            } else {
                self.parts().remove(&parts);
                shared.crash_parts().lift(&parts);
            }
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
        change: &Change,
    ) -> Result<(), Fault> {
        let (parts, body) = match change {
            Change::Refused { parts, .. } => {
                let value = shared.settings.process.as_str().as_bytes();
                let body = rows::write_body(Table::Refusals, &parts.to_string(), value);
                (parts, body)
            }
            Change::Admitted(parts) => (
                parts,
                rows::remove_body(Table::Refusals, &parts.to_string()),
            ),
        };
        let body = body.map_err(|error| Fault::new("encode row", parts, error))?;
        control::transact(service, body).await?;
        match change {
            Change::Refused { .. } => self.parts().insert(parts.clone()),
            Change::Admitted(_) => self.parts().remove(parts),
        };
        tracing::info!(event = "refusal_stored", part = %parts, refused = self.parts().contains(parts));
        Ok(())
    }
}
