//! Refuses requests that crash the targets that run them, for fleets without an
//! agent per target.
//!
//! Load pattern: a request crashes each target that starts to run it, and its
//! caller sends the same content again, to any router. Routers exchange which
//! content was in flight at a target that crashed. Content that was in flight
//! at several crashes is refused by all routers for a limited time, also if a few
//! targets crash again and again and start under the same ids. Routers that start
//! later learn of it from the others or from the table. The more crashes there
//! were, the longer the content is refused; after the term one more crash suffices.
//! See [`crate::quarantine`] for the variant in which agents attribute crashes.

use std::{collections::BTreeMap, ops};

use base::{id, span, time};

/// Number of crashes from which content is refused if routers do not retry its
/// requests: a second crash means that the caller sent it again.
const UNRETRIED_LIMIT: usize = 2;

/// The same for content that routers retry: the router's own retry may have
/// taken it from one crashed target to the next.
const RETRIED_LIMIT: usize = 3;

/// Time for which content is refused after the crash that reaches its limit, and
/// for which a single crash is remembered. Each further crash doubles it.
const REFUSAL_TERM: span::Span = span::Span::from_secs(60);

/// Time for which several crashes are remembered after the longest term.
const CRASH_MEMORY: span::Span = span::Span::from_secs(600);

/// Time for which a lifted refusal is remembered: routers that cannot read the
/// table send it on until the longest term, after [`MAX_CRASHES`] crashes, is over.
const LIFT_MEMORY: span::Span = span::Span::from_secs(4_000);

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

/// A content that may be refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedContent {
    /// Its fingerprint.
    pub fingerprint: id::Fingerprint,
    /// For each crash, a hash that identifies the run of the target.
    pub targets: Vec<u64>,
    /// When the latest crash was noticed.
    pub crashed: time::Mono,
}

#[derive(Clone, Debug, Default)]
struct Record {
    crashes: Vec<CrashReport>,
    /// Crashes up to this time do not count, as the refusal was lifted.
    lifted: Option<time::Mono>,
    /// Number of crashes that a router has stored or is about to store.
    stored: usize,
}

impl Record {
    fn latest(&self) -> time::Mono {
        let times = self.crashes.iter().map(|crash| crash.at);
        times.max().or(self.lifted).unwrap_or_default()
    }

    /// Returns whether there was no crash since the refusal was lifted.
    fn is_lifted(&self) -> bool {
        self.lifted.is_some() && self.crashes.is_empty()
    }

    /// Returns until when the content is refused if `limit` crashes are needed, and
    /// the start of time if there are fewer.
    fn refused_until(&self, limit: usize) -> time::Mono {
        let Some(further) = self.crashes.len().checked_sub(limit) else {
            return time::Mono::default();
        };
        self.latest() + span::Span::from_micros(REFUSAL_TERM.as_micros() << further)
    }

    /// Returns until when the crashes are remembered.
    fn expiry(&self) -> time::Mono {
        let short = self.latest() + REFUSAL_TERM;
        if self.is_lifted() {
            return self.latest() + LIFT_MEMORY;
        }
        match self.crashes.len() < UNRETRIED_LIMIT {
            true => short,
            false => self.refused_until(UNRETRIED_LIMIT) + CRASH_MEMORY,
        }
    }
}

/// Tracks the contents that were in flight at crashes.
#[derive(Clone, Debug, Default)]
pub struct PoisonTracker {
    records: BTreeMap<id::Fingerprint, Record>,
    recent: Vec<(time::Mono, CrashReport)>,
    forgotten: Vec<id::Fingerprint>,
    /// The refused content that was sent last.
    sent: id::Fingerprint,
}

impl PoisonTracker {
    /// Records a crash; returns whether it was new.
    pub fn record_crash(&mut self, now: time::Mono, report: CrashReport) -> bool {
        let record = self.record(now, report.fingerprint);
        let is_lifted = record.lifted.is_some_and(|lifted| report.at <= lifted);
        let mut known = record.crashes.iter();
        if is_lifted || known.any(|known| known.may_be_same(&report)) {
            return false;
        }
        if record.crashes.len() >= MAX_CRASHES {
            record.crashes.remove(0);
        }
        record.crashes.push(report);
        self.recent.push((now + GOSSIP_TIME, report));
        true
    }

    /// Returns the record of a content, a new one if there is none.
    fn record(&mut self, now: time::Mono, fingerprint: id::Fingerprint) -> &mut Record {
        self.forget(now);
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&fingerprint) {
            let records = self.records.iter();
            let oldest = records.min_by_key(|(_, it)| (!it.is_lifted(), it.expiry()));
            if let Some(oldest) = oldest.map(|(oldest, _)| *oldest) {
                let record = self.records.remove(&oldest);
                let is_stored = record.is_some_and(|record| record.stored > 0);
                self.forgotten.extend(is_stored.then_some(oldest));
            }
        }
        self.records.entry(fingerprint).or_default()
    }

    fn forget(&mut self, now: time::Mono) {
        let is_expired = |_: &id::Fingerprint, record: &mut Record| record.expiry() <= now;
        let expired = self.records.extract_if(.., is_expired);
        let stored = expired.filter(|(_, record)| record.stored > 0);
        self.forgotten
            .extend(stored.map(|(fingerprint, _)| fingerprint));
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
        record.is_some_and(|record| record.refused_until(limit) > now)
    }

    /// Returns the targets of the crashes of a content, one for each crash, if they
    /// have to be stored for routers that start later.
    pub fn take_unstored(&mut self, fingerprint: id::Fingerprint) -> Option<Vec<u64>> {
        let record = self.records.get_mut(&fingerprint)?;
        if record.stored >= record.crashes.len() {
            return None;
        }
        record.stored = record.crashes.len();
        Some(record.crashes.iter().map(|crash| crash.target).collect())
    }

    /// Adopts the crashes of a content from another router or from the table, if there
    /// are more than this router knows of.
    pub fn adopt(&mut self, now: time::Mono, refused: RefusedContent) {
        let count = refused.targets.len().min(MAX_CRASHES);
        let record = self.record(now, refused.fingerprint);
        let is_lifted = record
            .lifted
            .is_some_and(|lifted| refused.crashed <= lifted);
        if is_lifted || record.crashes.len() >= count {
            return;
        }
        let crash = |target: &u64| CrashReport {
            fingerprint: refused.fingerprint,
            target: *target,
            sent: time::Mono::default(),
            at: refused.crashed,
        };
        record.crashes = refused.targets.iter().take(count).map(crash).collect();
    }

    /// Adopts the crashes that a router stored. They count from now on, as routers
    /// share no clock.
    pub fn adopt_stored(&mut self, now: time::Mono, fingerprint: id::Fingerprint, targets: &[u64]) {
        let record = self.record(now, fingerprint);
        record.stored = record.stored.max(targets.len().min(MAX_CRASHES));
        self.adopt(
            now,
            RefusedContent {
                fingerprint,
                targets: targets.to_vec(),
                crashed: now,
            },
        );
    }

    /// Stops refusing a content whose stored crashes were removed. Reports of these
    /// crashes may still arrive from other routers.
    pub fn lift(&mut self, now: time::Mono, fingerprint: id::Fingerprint) {
        *self.record(now, fingerprint) = Record {
            lifted: Some(now),
            ..Record::default()
        };
        self.recent
            .retain(|(_, crash)| crash.fingerprint != fingerprint);
    }

    /// Returns the number of known crashes of a content, without those before its
    /// refusal was lifted.
    pub fn crashes(&self, fingerprint: id::Fingerprint) -> usize {
        let record = self.records.get(&fingerprint);
        record.map_or(0, |record| record.crashes.len())
    }

    /// Returns the recent crashes, which other routers may not know yet.
    pub fn recent_crashes(&mut self, now: time::Mono) -> Vec<CrashReport> {
        self.forget(now);
        self.recent.retain(|(expiry, _)| *expiry > now);
        self.recent.iter().map(|(_, report)| *report).collect()
    }

    /// Returns contents that may be refused, at most `max`, another group at each
    /// call, for routers that have just started.
    pub fn refused(&mut self, now: time::Mono, max: usize) -> Vec<RefusedContent> {
        let after = (ops::Bound::Excluded(self.sent), ops::Bound::Unbounded);
        let records = self.records.range(after);
        let records = records.chain(self.records.range(..=self.sent));
        let refused: Vec<_> = records
            .filter(|(_, record)| record.refused_until(UNRETRIED_LIMIT) > now)
            .take(max)
            .map(|(fingerprint, record)| RefusedContent {
                fingerprint: *fingerprint,
                targets: record.crashes.iter().map(|crash| crash.target).collect(),
                crashed: record.latest(),
            })
            .collect();
        if let Some(last) = refused.last() {
            self.sent = last.fingerprint;
        }
        refused
    }

    /// Returns the stored contents that were forgotten since the last call.
    pub fn take_forgotten(&mut self) -> Vec<id::Fingerprint> {
        std::mem::take(&mut self.forgotten)
    }
}
