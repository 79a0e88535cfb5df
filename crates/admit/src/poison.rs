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
const ONCE_LIMIT: usize = 2;

/// The same for content that routers repeat: it may have gone from one crash to
/// another by itself.
const REPEATED_LIMIT: usize = 3;

/// Time for which content is refused, and crashes are remembered.
const TERM: span::Span = span::Span::from_secs(60);

/// Time for which a crash is told to other routers.
const TELL_TIME: span::Span = span::Span::from_secs(3);

/// Contents that are remembered at most.
const MOST_RECORDS: usize = 4_096;

/// Content that was at a target when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fall {
    /// The content.
    pub fingerprint: id::Fingerprint,
    /// Hash of the target's id.
    pub target: u64,
}

#[derive(Clone, Debug)]
struct Record {
    targets: BTreeSet<u64>,
    until: time::Mono,
}

/// The contents that were at crashes.
#[derive(Clone, Debug, Default)]
pub struct Poison {
    records: BTreeMap<id::Fingerprint, Record>,
    told: Vec<(time::Mono, Fall)>,
}

impl Poison {
    /// Takes in a crash; returns whether it was new.
    pub fn fall(&mut self, now: time::Mono, fall: Fall) -> bool {
        self.records.retain(|_, record| record.until > now);
        if self.records.len() >= MOST_RECORDS {
            self.forget_oldest();
        }
        let record = self.records.entry(fall.fingerprint).or_insert(Record {
            targets: BTreeSet::new(),
            until: now,
        });
        let is_new = record.targets.insert(fall.target);
        if is_new {
            record.until = now + TERM;
            self.told.push((now + TELL_TIME, fall));
        }
        is_new
    }

    /// Returns whether a request with this content is refused.
    pub fn is_refused(
        &self,
        now: time::Mono,
        fingerprint: id::Fingerprint,
        is_repeatable: bool,
    ) -> bool {
        let limit = if is_repeatable {
            REPEATED_LIMIT
        } else {
            ONCE_LIMIT
        };
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.until > now && record.targets.len() >= limit)
    }

    /// Returns the crashes that other routers may not know yet.
    pub fn falls(&mut self, now: time::Mono) -> Vec<Fall> {
        self.told.retain(|(until, _)| *until > now);
        self.told.iter().map(|(_, fall)| *fall).collect()
    }

    fn forget_oldest(&mut self) {
        let oldest = self.records.iter().min_by_key(|(_, record)| record.until);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }
}
