//! Refuses requests that crash the targets that run them.
//!
//! Each crash of a target makes the fingerprints in flight there suspects. A
//! fingerprint that was present at crashes of two different targets is
//! refused, unless another suspect was present at the same crashes too: then
//! either may be the cause, and they are kept apart until one of them is
//! cleared by a completion or a further crash tells them apart.
//!
//! A target that crashes again with none of the same requests in flight may
//! crash by itself, so that such a crash counts half.

use std::collections::{BTreeMap, BTreeSet};

use base::{id, span, time};

/// Crashes of different targets that lead to refusal.
const MIN_TARGETS: usize = 2;

/// Weight of a crash of a target that does not seem to crash by itself.
const CRASH_WEIGHT: usize = 2;

/// Weight of a repeated crash, see [`Crash::repeated`].
const REPEATED_WEIGHT: usize = 1;

/// Sum of the weights that leads to refusal: two crashes in full.
const REFUSAL_WEIGHT: usize = MIN_TARGETS * CRASH_WEIGHT;

/// Fingerprints that are remembered at most, about 1 MB.
const MAX_RECORDS: usize = 4_096;

/// Crashes that are remembered for one fingerprint at most.
const MAX_CRASHES: usize = 16;

/// Bits of a crash number below the agent's incarnation.
const COUNT_BITS: u32 = 20;

/// Numbers the crashes of one target; a larger number is a later crash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashNumber(pub u64);

/// One crash of one target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Crash {
    /// The target.
    pub target: id::TargetId,
    /// Tells the crashes of the target apart.
    pub number: CrashNumber,
    /// Whether the target had crashed before within the term, with none of the
    /// same requests in flight.
    pub repeated: bool,
}

/// What a fingerprint is held to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not under suspicion.
    Clear,
    /// Present at a crash; may run.
    Suspect,
    /// Present at the same crashes as another suspect; may run where no such
    /// other one is in flight.
    Ambiguous,
    /// Refused.
    Refused {
        /// Time until it may be tried again.
        remaining: span::Span,
    },
}

/// What is known of one fingerprint, as it is exchanged and shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The fingerprint.
    pub fingerprint: id::Fingerprint,
    /// The crashes at which it was in flight and that are not excused.
    pub crashes: BTreeSet<Crash>,
    /// For each target, the latest crash that a completion or an operator has
    /// excused; earlier ones are excused too.
    pub cleared: BTreeMap<id::TargetId, CrashNumber>,
    /// Time until the entry ends.
    pub remaining: span::Span,
    /// What it is held to be by the sender.
    pub verdict: Verdict,
}

#[derive(Clone, Debug)]
struct Record {
    /// The crashes that count: those that are not excused.
    crashes: BTreeSet<Crash>,
    cleared: BTreeMap<id::TargetId, CrashNumber>,
    expiry: time::Mono,
}

impl Record {
    /// Returns the number of targets that crashed.
    fn targets(&self) -> usize {
        let mut previous = None;
        self.crashes
            .iter()
            .filter(|crash| previous.replace(&crash.target) != Some(&crash.target))
            .count()
    }

    /// Returns whether the crashes suffice to refuse the fingerprint.
    fn warrants_refusal(&self) -> bool {
        let weights = self.crashes.iter().map(|crash| match crash.repeated {
            true => REPEATED_WEIGHT,
            false => CRASH_WEIGHT,
        });
        self.targets() >= MIN_TARGETS && weights.sum::<usize>() >= REFUSAL_WEIGHT
    }

    /// Returns whether this one was present at all crashes of the other.
    fn includes_crashes_of(&self, other: &Self) -> bool {
        self.crashes.is_superset(&other.crashes)
    }

    fn is_cleared(&self, crash: &Crash) -> bool {
        let cleared = self.cleared.get(&crash.target);
        cleared.is_some_and(|cleared| crash.number <= *cleared)
    }

    fn clear(&mut self) {
        for crash in std::mem::take(&mut self.crashes) {
            let cleared = self.cleared.entry(crash.target).or_default();
            *cleared = crash.number.max(*cleared);
        }
    }

    /// Adds what another process knows; returns whether it was new.
    fn merge(&mut self, entry: &Entry) -> bool {
        let mut has_news = false;
        for (target, number) in &entry.cleared {
            let known = self.cleared.get(target);
            if known.is_none_or(|known| known < number) {
                self.cleared.insert(target.clone(), *number);
                has_news = true;
            }
        }
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.retain(|crash| !self.is_cleared(crash));
        for crash in &entry.crashes {
            if crashes.len() < MAX_CRASHES && !self.is_cleared(crash) {
                has_news |= crashes.insert(crash.clone());
            }
        }
        self.crashes = crashes;
        has_news
    }
}

/// The suspects and the refused fingerprints that a process knows.
#[derive(Clone, Debug)]
pub struct Quarantine {
    term: span::Span,
    records: BTreeMap<id::Fingerprint, Record>,
    /// The fingerprints that were in flight at each crash. Suspects can only be
    /// mistaken for those that were present at the same crash.
    crash_groups: BTreeMap<Crash, BTreeSet<id::Fingerprint>>,
    /// The latest crash of each target whose agent this is, with what was in
    /// flight.
    last_crashes: BTreeMap<id::TargetId, (time::Mono, BTreeSet<id::Fingerprint>)>,
    next_number: u64,
}

impl Quarantine {
    /// Starts empty. `term` is the length of a quarantine; the incarnation
    /// makes the numbers of a restarted agent larger than its earlier ones.
    pub fn new(term: span::Span, incarnation: id::Incarnation) -> Self {
        Self {
            term,
            records: BTreeMap::new(),
            crash_groups: BTreeMap::new(),
            last_crashes: BTreeMap::new(),
            next_number: (incarnation.0 << COUNT_BITS) + 1,
        }
    }

    /// Changes the length of a quarantine. Terms that run go on as they began.
    pub fn set_term(&mut self, term: span::Span) {
        self.term = term;
    }

    /// Returns what a fingerprint is held to be.
    pub fn check(&self, now: time::Mono, fingerprint: id::Fingerprint) -> Verdict {
        match self.records.get(&fingerprint) {
            Some(record) if record.expiry > now => self.evaluate(now, fingerprint, record),
            _ => Verdict::Clear,
        }
    }

    fn evaluate(&self, now: time::Mono, fingerprint: id::Fingerprint, record: &Record) -> Verdict {
        let mut has_co_suspect = false;
        for other in self.co_suspects(now, fingerprint, record) {
            // A refused one explains the crashes at which both were present.
            if other.warrants_refusal() && !record.includes_crashes_of(other) {
                return Verdict::Clear;
            }
            has_co_suspect = true;
        }
        if record.crashes.is_empty() {
            Verdict::Clear
        } else if !record.warrants_refusal() {
            Verdict::Suspect
        } else if has_co_suspect {
            Verdict::Ambiguous
        } else {
            Verdict::Refused {
                remaining: record.expiry.since(now),
            }
        }
    }

    /// Returns the other records that were present at all crashes of this one.
    fn co_suspects<'a>(
        &'a self,
        now: time::Mono,
        fingerprint: id::Fingerprint,
        record: &'a Record,
    ) -> impl Iterator<Item = &'a Record> {
        let group = record
            .crashes
            .first()
            .and_then(|crash| self.crash_groups.get(crash));
        group
            .into_iter()
            .flatten()
            .filter(move |other| **other != fingerprint)
            .filter_map(|other| self.records.get(other))
            .filter(move |other| other.expiry > now && other.includes_crashes_of(record))
    }

    /// Returns whether a request may start beside those in flight: two
    /// suspects that must be told apart may not run together.
    pub fn may_start<'a>(
        &self,
        now: time::Mono,
        fingerprint: id::Fingerprint,
        in_flight: impl IntoIterator<Item = &'a id::Fingerprint>,
    ) -> bool {
        match self.check(now, fingerprint) {
            Verdict::Clear | Verdict::Suspect => true,
            Verdict::Refused { .. } => false,
            Verdict::Ambiguous => in_flight.into_iter().all(|other| {
                *other == fingerprint || self.check(now, *other) != Verdict::Ambiguous
            }),
        }
    }

    /// Notes that a target crashed with these fingerprints in flight. To be
    /// called by the target's own agent, once for each crash.
    pub fn record_crash(
        &mut self,
        now: time::Mono,
        target: &id::TargetId,
        in_flight: impl IntoIterator<Item = id::Fingerprint>,
    ) {
        let number = CrashNumber(self.next_number);
        self.next_number += 1;
        let in_flight: BTreeSet<_> = in_flight.into_iter().collect();
        let before = self
            .last_crashes
            .insert(target.clone(), (now, in_flight.clone()));
        let repeated = before.is_some_and(|(at, others)| {
            now.since(at) < self.term && others.is_disjoint(&in_flight)
        });
        let crash = Crash {
            target: target.clone(),
            number,
            repeated,
        };
        for fingerprint in in_flight {
            self.merge(
                now,
                &Entry {
                    fingerprint,
                    crashes: BTreeSet::from([crash.clone()]),
                    cleared: BTreeMap::new(),
                    remaining: self.term,
                    verdict: Verdict::Suspect,
                },
            );
        }
    }

    /// Notes that a request with this fingerprint ran to its end, which clears
    /// it: a request that crashes every target never does.
    pub fn record_completion(&mut self, fingerprint: id::Fingerprint) {
        self.update(fingerprint, Record::clear);
    }

    /// Takes in an entry of another process. Late, repeated and reordered
    /// entries do no harm: crashes and excuses only add up.
    pub fn merge(&mut self, now: time::Mono, entry: &Entry) {
        let expiry = now + entry.remaining.min(self.term);
        self.evict(now, entry.fingerprint);
        self.records.entry(entry.fingerprint).or_insert(Record {
            crashes: BTreeSet::new(),
            cleared: BTreeMap::new(),
            expiry,
        });
        self.update(entry.fingerprint, |record| {
            if record.expiry <= now {
                // The term is over; only later crashes count.
                record.clear();
            }
            // Only news prolongs an entry. Otherwise two processes that
            // exchange it would prolong it for ever by the time on the way.
            record.expiry = if record.merge(entry) {
                record.expiry.max(expiry)
            } else {
                record.expiry.min(expiry)
            };
        });
    }

    /// Changes a record, if there is one, and keeps the cohorts up to date.
    fn update(&mut self, fingerprint: id::Fingerprint, apply: impl FnOnce(&mut Record)) {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        let before = record.crashes.clone();
        apply(record);
        let after = record.crashes.clone();
        for crash in before.difference(&after) {
            self.remove_from_crash(crash, fingerprint);
        }
        for crash in after.difference(&before) {
            let group = self.crash_groups.entry(crash.clone()).or_default();
            group.insert(fingerprint);
        }
    }

    fn remove_from_crash(&mut self, crash: &Crash, fingerprint: id::Fingerprint) {
        if let Some(group) = self.crash_groups.get_mut(crash) {
            group.remove(&fingerprint);
            if group.is_empty() {
                self.crash_groups.remove(crash);
            }
        }
    }

    /// Forgets records for a new one, if necessary.
    ///
    /// A record whose term is over is kept for as long again, so that a late
    /// copy of the entry does not bring it back.
    fn evict(&mut self, now: time::Mono, fingerprint: id::Fingerprint) {
        let is_full = self.records.len() >= MAX_RECORDS;
        if self.records.contains_key(&fingerprint) {
            return;
        }
        let term = self.term;
        let over: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.expiry + term <= now)
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for fingerprint in &over {
            self.remove(*fingerprint);
        }
        if is_full && over.is_empty() {
            let least = self
                .records
                .iter()
                .min_by_key(|(_, record)| (record.targets(), record.expiry))
                .map(|(fingerprint, _)| *fingerprint);
            least.into_iter().for_each(|least| self.remove(least));
        }
    }

    fn remove(&mut self, fingerprint: id::Fingerprint) {
        if let Some(record) = self.records.remove(&fingerprint) {
            for crash in &record.crashes {
                self.remove_from_crash(crash, fingerprint);
            }
        }
    }

    /// Lifts a quarantine by an operator's command; returns whether there was
    /// an entry. Later crashes count again.
    pub fn lift(&mut self, now: time::Mono, fingerprint: id::Fingerprint) -> bool {
        let is_known = self
            .records
            .get(&fingerprint)
            .is_some_and(|record| record.expiry > now);
        self.update(fingerprint, Record::clear);
        is_known
    }

    /// Returns all entries, also cleared ones, whose excuses other processes
    /// must learn.
    pub fn entries(&self, now: time::Mono) -> Vec<Entry> {
        self.records
            .iter()
            .filter(|(_, record)| record.expiry > now)
            .map(|(fingerprint, record)| self.entry(now, *fingerprint, record))
            .collect()
    }

    /// Returns the entries of a fingerprint and of all that were present at
    /// its crashes.
    ///
    /// They go with the report of the crash to the router, and with the resent
    /// request to the next agent, so that both can tell the cause from the
    /// others before the exchange reaches them.
    pub fn related(&self, now: time::Mono, fingerprint: id::Fingerprint) -> Vec<Entry> {
        let Some(record) = self.records.get(&fingerprint) else {
            return Vec::new();
        };
        let crash_groups = record
            .crashes
            .iter()
            .filter_map(|c| self.crash_groups.get(c));
        let mut related: BTreeSet<_> = crash_groups.flatten().copied().collect();
        related.insert(fingerprint);
        related
            .into_iter()
            .filter_map(|related| Some((related, self.records.get(&related)?)))
            .filter(|(_, record)| record.expiry > now)
            .map(|(related, record)| self.entry(now, related, record))
            .collect()
    }

    fn entry(&self, now: time::Mono, fingerprint: id::Fingerprint, record: &Record) -> Entry {
        Entry {
            fingerprint,
            crashes: record.crashes.clone(),
            cleared: record.cleared.clone(),
            remaining: record.expiry.since(now),
            verdict: self.evaluate(now, fingerprint, record),
        }
    }
}
