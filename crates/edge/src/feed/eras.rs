//! Tracks the era of the table: how often it has come back from an older copy.
//!
//! Load pattern: the table is away for a moment and comes back from a copy that is some
//! seconds old. Its versions are then given out again, and replies that were made before
//! the return arrive after it. The first reply that names the new era, or another router
//! that has seen one, makes all calls of this router begin anew.
//!
//! See [the note](../../../../docs/design/table-returns.md).

use std::{
    collections::BTreeSet,
    fmt, future,
    sync::{Mutex, MutexGuard, PoisonError},
};

use http::HeaderMap;
use platform::rows::{self, Era};
use tokio::sync::watch;

/// The eras that this process has seen.
#[derive(Debug, Default)]
pub struct Eras {
    latest: watch::Sender<Era>,
    /// What was logged of replies in the latest era, once each.
    logged: Mutex<BTreeSet<Oddity>>,
}

/// Why the era of a reply cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Oddity {
    Missing,
    Malformed,
    Earlier,
}

/// A reply of an earlier era than the latest one: what it says is no longer so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the reply is of era {found} of the table, and era {latest} is known")]
pub struct EarlierEra {
    /// The era of the reply.
    pub found: Era,
    /// The latest era.
    pub latest: Era,
}

impl Eras {
    /// Returns the latest era.
    pub fn latest(&self) -> Era {
        *self.latest.borrow()
    }

    /// Records an era that a reply or another router names.
    pub fn learn(&self, era: Era, source: &'static str) {
        let mut previous = era;
        let is_new = self.latest.send_if_modified(|latest| {
            previous = *latest;
            *latest = era.max(previous);
            previous < era
        });
        if is_new {
            self.logged().clear();
            tracing::warn!(event = "table_returned", %era, %previous, source);
        }
    }

    /// Returns the era of a reply to a call that was made in the era `asked`, and records
    /// it. A reply that names none, or one that is not a number, is taken to be of the era
    /// in which the call was made.
    ///
    /// # Errors
    ///
    /// When a later era is known.
    pub fn accept(&self, headers: &HeaderMap, asked: Era) -> Result<Era, EarlierEra> {
        let found = match rows::era(headers) {
            Ok(Some(era)) => era,
            Ok(None) => {
                if asked > Era::default() {
                    self.log(Oddity::Missing, &"the reply names no era");
                }
                asked
            }
            Err(error) => {
                self.log(Oddity::Malformed, &error);
                asked
            }
        };
        self.learn(found, "table");
        let latest = self.latest();
        if found < latest {
            let error = EarlierEra { found, latest };
            self.log(Oddity::Earlier, &error);
            return Err(error);
        }
        Ok(found)
    }

    /// Waits until an era after this one is known.
    pub async fn after(&self, era: Era) {
        let mut latest = self.latest.subscribe();
        if latest.wait_for(|latest| *latest > era).await.is_err() {
            // Not reached: the state that is borrowed holds the sender.
            future::pending().await
        }
    }

    fn log(&self, oddity: Oddity, error: &dyn fmt::Display) {
        if self.logged().insert(oddity) {
            tracing::warn!(event = "era_unusable", %error);
        }
    }

    fn logged(&self) -> MutexGuard<'_, BTreeSet<Oddity>> {
        self.logged.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
