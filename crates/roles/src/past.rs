//! Earlier versions of the configuration, rebuilt from the change rows.
//!
//! The rows are append-only, so a version never changes once it is rebuilt.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use base::{fault::Fault, id};
use conf::{change::Rejection, state::Configuration};

use crate::platform::Platform;

/// Versions that are remembered, so that a later question does not read all
/// changes again. Versions share their unchanged entries.
const REMEMBERED: usize = 64;

/// Why an earlier version cannot be shown.
#[derive(Debug, thiserror::Error)]
pub enum PastError {
    /// The table does not answer.
    #[error(transparent)]
    Table(#[from] Fault),
    /// The table lacks a change.
    #[error("the table has no change {0}")]
    Missing(id::Version),
    /// This release cannot apply a change.
    #[error("change {0} cannot be applied: {1}")]
    Unusable(id::Version, Rejection),
}

/// Rebuilds earlier versions.
#[derive(Debug, Default)]
pub struct Past(Mutex<BTreeMap<id::Version, Arc<Configuration>>>);

impl Past {
    /// Returns the configuration at a version.
    ///
    /// # Errors
    ///
    /// When the table does not answer or lacks a change.
    pub async fn at(
        &self,
        platform: &Platform,
        version: id::Version,
    ) -> Result<Arc<Configuration>, PastError> {
        let mut built = self.nearest(version);
        while built.version() < version {
            built = step(platform, built, version).await?;
            self.remember(&built);
        }
        Ok(built)
    }

    fn nearest(&self, version: id::Version) -> Arc<Configuration> {
        let known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let nearest = known.range(..=version).next_back();
        nearest.map_or_else(Arc::default, |(_, built)| built.clone())
    }

    fn remember(&self, built: &Arc<Configuration>) {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        known.insert(built.version(), built.clone());
        while known.len() > REMEMBERED {
            known.pop_first();
        }
    }
}

/// Applies the next page of changes, up to a version.
async fn step(
    platform: &Platform,
    from: Arc<Configuration>,
    to: id::Version,
) -> Result<Arc<Configuration>, PastError> {
    let rows = platform.changes(from.version()).await?;
    let mut built = from.as_ref().clone();
    for row in rows.iter().filter(|row| row.version <= to) {
        let expected = built.version().next();
        if row.version != expected {
            return Err(PastError::Missing(expected));
        }
        built = built
            .apply(&row.command.change)
            .map_err(|cause| PastError::Unusable(row.version, cause))?;
    }
    match built.version() > from.version() {
        true => Ok(Arc::new(built)),
        false => Err(PastError::Missing(from.version().next())),
    }
}
