//! What an engine did, for measurements and checks.

use std::collections::BTreeMap;

use base::time;
use serde::Serialize;

/// The work at an engine from one point in time on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Level {
    /// Requests that have a slot.
    pub running: u32,
    /// Requests that wait for one.
    pub waiting: u32,
}

impl Level {
    /// Returns the requests that run or wait.
    pub fn outstanding(self) -> u32 {
        self.running + self.waiting
    }
}

/// A change of the work at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// When it changed, on [`crate::clock`].
    pub at: time::Mono,
    /// The work from then on.
    pub level: Level,
}

/// Counters and the course of an engine's work.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Record {
    /// Every change of the work, in order of time.
    #[serde(skip)]
    pub changes: Vec<Change>,
    /// Largest number of outstanding requests.
    pub maximum: u32,
    /// Times each request id began to run.
    pub executions: BTreeMap<String, u32>,
    /// Requests whose prompt was cached at least in part.
    pub hits: u64,
    /// Requests whose prompt was not cached at all.
    pub misses: u64,
    /// Prompt tokens that were cached.
    pub cached_tokens: u64,
    /// Prompt tokens of all requests that ran.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Requests that were rejected without running.
    pub rejected: u64,
    /// Times the engine went down.
    pub crashes: u64,
    /// KV caches that were imported.
    pub imports: u64,
    /// Orders that were carried out, with their fencing tokens.
    pub orders: Vec<Order>,
    /// When each order to load that was carried out began and ended.
    #[serde(skip)]
    pub loads: Vec<(time::Mono, time::Mono)>,
}

/// An order that an engine carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Order {
    /// The fencing token that came with it.
    pub fence: Option<u64>,
    /// What was ordered, such as `load m v2`.
    pub text: String,
}

impl Record {
    /// Records the present level of work if it has changed.
    pub fn level(&mut self, at: time::Mono, level: Level) {
        if self.changes.last().map(|change| change.level) == Some(level) {
            return;
        }
        self.maximum = self.maximum.max(level.outstanding());
        self.changes.push(Change { at, level });
    }

    /// Returns the level of work at a point in time.
    pub fn at(&self, at: time::Mono) -> Level {
        let later = self.changes.partition_point(|change| change.at <= at);
        match later {
            0 => Level::default(),
            _ => self.changes[later - 1].level,
        }
    }
}
