//! Refuses requests that crash the targets that run them, for fleets without an
//! agent per target.
//!
//! Load pattern: a request crashes each target that starts to run it, and its
//! caller sends the same content again, to any router. Routers exchange which
//! content was in flight at a target that crashed. Content that was in flight
//! at several crashes is refused by all routers for a limited time, also if a few
//! targets crash again and again and start under the same ids.
//! See [`crate::quarantine`] for the variant in which agents attribute crashes.

use std::collections::BTreeMap;

use base::{id, span, time};

/// Number of crashes from which content is refused if routers do not retry its
/// requests: a second crash means that the caller sent it again.
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

/// Maximum number of remembered crashes of one content.
const MAX_CRASHES: usize = 8;

/// Time after a crash in which a request sent to the same run of the target may
/// still have been at it: routers notice a crash and read reports of it late.
const SAME_CRASH: span::Span = span::Span::from_secs(1);

/// Reports that content was in flight at a target when the target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Fingerprint of the content.
    pub fingerprint: id::Fingerprint,
    /// Hash that identifies the run of the target, as far as the router knew.
    pub target: u64,
    /// When the request was sent; 0 if that is unknown.
    pub sent: time::Mono,
    /// When the crash was noticed.
    pub at: time::Mono,
}

impl CrashReport {
    /// Returns whether the reports may be of the same crash. A target that starts
    /// again under its id can crash again before routers learn of the new run.
    fn may_be_same(&self, other: &Self) -> bool {
        let overlaps = self.sent < other.at + SAME_CRASH && other.sent < self.at + SAME_CRASH;
        self.target == other.target && overlaps
    }
}

#[derive(Clone, Debug)]
struct Record {
    crashes: Vec<CrashReport>,
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
            crashes: Vec::new(),
            expiry: now,
        });
        let is_new = !record
            .crashes
            .iter()
            .any(|known| known.may_be_same(&report));
        if is_new {
            if record.crashes.len() >= MAX_CRASHES {
                record.crashes.remove(0);
            }
            record.crashes.push(report);
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
        record.is_some_and(|record| record.expiry > now && record.crashes.len() >= limit)
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
