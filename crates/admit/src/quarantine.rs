//! Refuses requests that crash the targets that run them.
//!
//! When a target crashes, the fingerprints in flight there become suspects. A
//! fingerprint that was in flight at crashes of two different targets is
//! refused, unless another suspect was in flight at the same crashes: then
//! either may be the cause, and they may not run at the same target until a
//! completion clears one of them or a further crash involves only one.
//!
//! A target that crashes again with none of the same requests in flight may
//! be faulty itself, so such a crash has half the weight.

use std::collections::{BTreeMap, BTreeSet};

use base::{id, span, time};

/// Number of different targets whose crashes lead to refusal.
const MIN_TARGETS: usize = 2;

/// Weight of a crash that is not repeated.
const CRASH_WEIGHT: usize = 2;

/// Weight of a repeated crash, see [`Crash::repeated`].
const REPEATED_WEIGHT: usize = 1;

/// Sum of the weights that leads to refusal: that of two crashes which are not
/// repeated.
const REFUSAL_WEIGHT: usize = MIN_TARGETS * CRASH_WEIGHT;

/// Maximum number of remembered fingerprints; they take about 1 MB.
const MAX_RECORDS: usize = 4_096;

/// Maximum number of remembered crashes of one fingerprint.
const MAX_CRASHES: usize = 16;

/// Number of low bits of a crash number that count crashes; the higher bits
/// hold the agent's incarnation.
const COUNT_BITS: u32 = 20;

/// Numbers the crashes of one target; a larger number is a later crash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashNumber(pub u64);

/// One crash of one target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Crash {
    /// The target.
    pub target: id::TargetId,
    /// Distinguishes the crashes of the target.
    pub number: CrashNumber,
    /// Whether the target's previous crash was within the term and had none of
    /// the same requests in flight.
    pub repeated: bool,
}

/// The assessment of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not suspected.
    Clear,
    /// In flight at a crash, but may run.
    Suspect,
    /// In flight at the same crashes as another suspect. May run at targets
    /// where no other ambiguous fingerprint is in flight.
    Ambiguous,
    /// Refused.
    Refused {
        /// Time until it may run again.
        remaining: span::Span,
    },
}

/// The state of one fingerprint, as exchanged between processes and shown to
/// operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The fingerprint.
    pub fingerprint: id::Fingerprint,
    /// The crashes at which it was in flight and of which it is not cleared.
    pub crashes: BTreeSet<Crash>,
    /// For each target, the latest crash of which a completion or an operator has
    /// cleared it; it is cleared of earlier ones too.
    pub cleared: BTreeMap<id::TargetId, CrashNumber>,
    /// Time until the entry expires.
    pub remaining: span::Span,
    /// The sender's assessment.
    pub verdict: Verdict,
}

#[derive(Clone, Debug)]
struct Record {
    /// The crashes of which the fingerprint is not cleared.
    crashes: BTreeSet<Crash>,
    cleared: BTreeMap<id::TargetId, CrashNumber>,
    expiry: time::Mono,
}

impl Record {
    /// Returns the number of different targets that crashed.
    fn targets(&self) -> usize {
        let mut previous = None;
        self.crashes
            .iter()
            .filter(|crash| previous.replace(&crash.target) != Some(&crash.target))
            .count()
    }

    /// Returns whether the crashes are sufficient to refuse the fingerprint.
    fn warrants_refusal(&self) -> bool {
        let weights = self.crashes.iter().map(|crash| match crash.repeated {
            true => REPEATED_WEIGHT,
            false => CRASH_WEIGHT,
        });
        self.targets() >= MIN_TARGETS && weights.sum::<usize>() >= REFUSAL_WEIGHT
    }

    /// Returns whether this fingerprint was in flight at all crashes of the other.
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

    /// Merges an entry of another process; returns whether it added anything.
    fn merge(&mut self, entry: &Entry) -> bool {
        let mut has_changed = false;
        for (target, number) in &entry.cleared {
            let known = self.cleared.get(target);
            if known.is_none_or(|known| known < number) {
                self.cleared.insert(target.clone(), *number);
                has_changed = true;
            }
        }
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.retain(|crash| !self.is_cleared(crash));
        for crash in &entry.crashes {
            if crashes.len() < MAX_CRASHES && !self.is_cleared(crash) {
                has_changed |= crashes.insert(crash.clone());
            }
        }
        self.crashes = crashes;
        has_changed
    }
}

/// The suspected and the refused fingerprints that a process knows.
#[derive(Clone, Debug)]
pub struct Quarantine {
    term: span::Span,
    records: BTreeMap<id::Fingerprint, Record>,
    /// The fingerprints that were in flight at each crash. Only suspects of the
    /// same crash can be mistaken for one another.
    crash_groups: BTreeMap<Crash, BTreeSet<id::Fingerprint>>,
    /// The latest crash of each target whose agent this is, with the fingerprints
    /// in flight at it.
    last_crashes: BTreeMap<id::TargetId, (time::Mono, BTreeSet<id::Fingerprint>)>,
    next_number: u64,
}

impl Quarantine {
    /// Creates an empty quarantine. `term` is the time for which a fingerprint is
    /// refused; the incarnation makes the crash numbers of a restarted agent
    /// higher than its earlier ones.
    pub fn new(term: span::Span, incarnation: id::Incarnation) -> Self {
        Self {
            term,
            records: BTreeMap::new(),
            crash_groups: BTreeMap::new(),
            last_crashes: BTreeMap::new(),
            next_number: (incarnation.0 << COUNT_BITS) + 1,
        }
    }

    /// Changes the time for which fingerprints are refused. Running terms keep
    /// their length.
    pub fn set_term(&mut self, term: span::Span) {
        self.term = term;
    }

    /// Returns the assessment of a fingerprint.
    pub fn check(&self, now: time::Mono, fingerprint: id::Fingerprint) -> Verdict {
        match self.records.get(&fingerprint) {
            Some(record) if record.expiry > now => self.evaluate(now, fingerprint, record),
            _ => Verdict::Clear,
        }
    }

    fn evaluate(&self, now: time::Mono, fingerprint: id::Fingerprint, record: &Record) -> Verdict {
        let mut has_co_suspect = false;
        for other in self.co_suspects(now, fingerprint, record) {
            // A refused fingerprint is treated as the cause of the crashes that it
            // shares with this one.
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

    /// Returns the records of the other fingerprints that were in flight at all
    /// crashes of this one.
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

    /// Returns whether a request may start at a target with these requests in
    /// flight: two ambiguous fingerprints may not run together, so that a further
    /// crash shows which one is the cause.
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

    /// Records that a target crashed with these fingerprints in flight. The
    /// target's own agent must call it once for each crash.
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

    /// Records that a request with this fingerprint completed, which clears the
    /// fingerprint: a request that crashes every target never completes.
    pub fn record_completion(&mut self, fingerprint: id::Fingerprint) {
        self.update(fingerprint, Record::clear);
    }

    /// Merges an entry of another process. Delayed, repeated and reordered entries
    /// are harmless, because crashes and clearances are only ever added.
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
                // The term is over, so only later crashes count.
                record.clear();
            }
            // Only new information extends the term. Otherwise two processes
            // that exchange an entry would keep extending it by the transit
            // time of their messages.
            record.expiry = if record.merge(entry) {
                record.expiry.max(expiry)
            } else {
                record.expiry.min(expiry)
            };
        });
    }

    /// Changes a record, if it exists, and updates `crash_groups`.
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

    /// Removes expired records, or one other, to make room for a new record.
    ///
    /// A record is kept for another term after its own, so that a delayed copy of
    /// its entry does not restore it.
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

    /// Lifts a quarantine by an operator's command; returns whether an entry
    /// existed. Later crashes count again.
    pub fn lift(&mut self, now: time::Mono, fingerprint: id::Fingerprint) -> bool {
        let is_known = self
            .records
            .get(&fingerprint)
            .is_some_and(|record| record.expiry > now);
        self.update(fingerprint, Record::clear);
        is_known
    }

    /// Returns all entries, including cleared ones, because other processes must
    /// learn of the clearance.
    pub fn entries(&self, now: time::Mono) -> Vec<Entry> {
        self.records
            .iter()
            .filter(|(_, record)| record.expiry > now)
            .map(|(fingerprint, record)| self.entry(now, *fingerprint, record))
            .collect()
    }

    /// Returns the entries of a fingerprint and of all others that were in flight
    /// at its crashes.
    ///
    /// The agent sends them to the router with the report of the crash, and the
    /// router sends them to the next agent with the retried request, so that both
    /// can distinguish the cause from the other suspects before the regular
    /// exchange reaches them.
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
