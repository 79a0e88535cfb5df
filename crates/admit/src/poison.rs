//! Refuses requests that crash the targets that run them, for fleets without an
//! agent per target.
//!
//! Load pattern: a request crashes each target that starts to run it, and its
//! caller sends the same content again, to any router. Routers exchange which
//! content was in flight at a target that crashed. Content that was in flight
//! at crashes of several targets is refused by all routers for a limited time.
//! See [`crate::quarantine`] for the variant in which agents attribute crashes.

use std::collections::{BTreeMap, BTreeSet};

use base::{id, span, time};

/// Number of crashed targets from which content is refused if routers do not
/// retry its requests: a second crash means that the caller sent it again.
const UNRETRIED_LIMIT: usize = 2;

/// The same for content that routers retry: the router's own retry may have
/// taken it from one crashed target to the next.
const RETRIED_LIMIT: usize = 3;

/// Time for which content is refused and crashes are remembered.
const REFUSAL_TERM: span::Span = span::Span::from_secs(60);

/// Time for which a crash is sent to other routers.
const GOSSIP_TIME: span::Span = span::Span::from_secs(3);

/// Maximum number of remembered contents.
const MAX_RECORDS: usize = 4_096;

/// Reports that content was in flight at a target when the target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashReport {
    /// Fingerprint of the content.
    pub fingerprint: id::Fingerprint,
    /// Hash of the target's id.
    pub target: u64,
}

#[derive(Clone, Debug)]
struct Record {
    targets: BTreeSet<u64>,
    expiry: time::Mono,
}

/// Tracks the contents that were in flight at crashes.
#[derive(Clone, Debug, Default)]
pub struct PoisonTracker {
    records: BTreeMap<id::Fingerprint, Record>,
    recent: Vec<(time::Mono, CrashReport)>,
}

impl PoisonTracker {
    /// Records a crash; returns whether it was new.
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

    /// Returns whether a request with this content is refused; `may_retry` is
    /// whether routers retry it.
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

    /// Returns the recent crashes, which other routers may not know yet.
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
