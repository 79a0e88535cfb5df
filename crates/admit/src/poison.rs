//! Refuses requests that crash the targets that run them, without an agent
//! beside each target.
//!
//! Load pattern: a request crashes each target that begins to run it, and its
//! caller sends the same content again, to any router. Routers tell one another
//! which content was at a target that crashed; content that was at crashes of
//! several targets is refused everywhere for a time. Compare
//! [`crate::quarantine`], which has agents to attribute crashes.

use std::collections::{BTreeMap, BTreeSet};

use base::{id, span, time};

/// Crashes of different targets after which content is refused whose requests
/// are not repeated by a router: its caller sent it again.
const UNRETRIED_LIMIT: usize = 2;

/// The same for content that routers repeat: it may have gone from one crash to
/// another by itself.
const RETRIED_LIMIT: usize = 3;

/// Time for which content is refused, and crashes are remembered.
const REFUSAL_TERM: span::Span = span::Span::from_secs(60);

/// Time for which a crash is told to other routers.
const GOSSIP_TIME: span::Span = span::Span::from_secs(3);

/// Contents that are remembered at most.
const MAX_RECORDS: usize = 4_096;

/// Content that was at a target when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashReport {
    /// The content.
    pub fingerprint: id::Fingerprint,
    /// Hash of the target's id.
    pub target: u64,
}

#[derive(Clone, Debug)]
struct Record {
    targets: BTreeSet<u64>,
    expiry: time::Mono,
}

/// The contents that were at crashes.
#[derive(Clone, Debug, Default)]
pub struct PoisonTracker {
    records: BTreeMap<id::Fingerprint, Record>,
    recent: Vec<(time::Mono, CrashReport)>,
}

impl PoisonTracker {
    /// Takes in a crash; returns whether it was new.
    pub fn record_crash(&mut self, now: time::Mono, report: CrashReport) -> bool {
        self.records.retain(|_, record| record.expiry > now);
        if self.records.len() >= MAX_RECORDS {
            self.evict_oldest();
        }
        let record = self.records.entry(report.fingerprint).or_insert(Record {
            targets: BTreeSet::new(),
            expiry: now,
        });
        let is_new = record.targets.insert(report.target);
        if is_new {
            record.expiry = now + REFUSAL_TERM;
            self.recent.push((now + GOSSIP_TIME, report));
        }
        is_new
    }

    /// Returns whether a request with this content is refused.
    pub fn is_refused(
        &self,
        now: time::Mono,
        fingerprint: id::Fingerprint,
        may_retry: bool,
    ) -> bool {
        let limit = if may_retry {
            RETRIED_LIMIT
        } else {
            UNRETRIED_LIMIT
        };
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.expiry > now && record.targets.len() >= limit)
    }

    /// Returns the crashes that other routers may not know yet.
    pub fn recent_crashes(&mut self, now: time::Mono) -> Vec<CrashReport> {
        self.recent.retain(|(expiry, _)| *expiry > now);
        self.recent.iter().map(|(_, report)| *report).collect()
    }

    fn evict_oldest(&mut self) {
        let oldest = self.records.iter().min_by_key(|(_, record)| record.expiry);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }
}
