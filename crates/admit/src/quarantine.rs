//! Refuses requests that crash the targets that run them.
//!
//! Each crash of a target makes the fingerprints in flight there suspects. A
//! fingerprint that was present at crashes of two different targets is
//! refused, unless another suspect was present at the same crashes too: then
//! either may be the cause, and they are kept apart until one of them is
//! cleared by a completion or a further crash tells them apart.

use std::collections::{BTreeMap, BTreeSet};

use base::{id, span, time};

/// Crashes of different targets that lead to refusal.
const LIMIT: usize = 2;

/// Fingerprints that are remembered at most, about 1 MB.
const MOST_ENTRIES: usize = 4_096;

/// Numbers the crashes of one target; a larger number is a later crash.
///
/// 0 stands for a crash that was seen from outside, whose number is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashNumber(pub u64);

/// What is known of one fingerprint and one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The latest crash of the target with the fingerprint in flight.
    pub number: CrashNumber,
    /// The latest crash that a completion or an operator has excused.
    pub excused: Option<CrashNumber>,
}

impl Crash {
    fn is_live(&self) -> bool {
        self.excused.is_none_or(|excused| self.number > excused)
    }

    fn merge(&mut self, other: Self) -> bool {
        let before = *self;
        self.number = self.number.max(other.number);
        self.excused = self.excused.max(other.excused);
        *self != before
    }
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
    Apart,
    /// Refused.
    Refused {
        /// Time until it may be tried again.
        remaining: span::Span,
    },
}

/// One fingerprint, as it is exchanged and shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The fingerprint.
    pub fingerprint: id::Fingerprint,
    /// The targets that crashed with it in flight.
    pub crashes: BTreeMap<id::TargetId, Crash>,
    /// Time until the entry is forgotten.
    pub remaining: span::Span,
    /// What it is held to be by the sender.
    pub verdict: Verdict,
}

#[derive(Clone, Debug)]
struct Record {
    crashes: BTreeMap<id::TargetId, Crash>,
    until: time::Mono,
}

impl Record {
    /// Returns the crashes that count against the fingerprint.
    fn live(&self) -> impl Iterator<Item = (&id::TargetId, CrashNumber)> {
        self.crashes
            .iter()
            .filter(|(_, crash)| crash.is_live())
            .map(|(target, crash)| (target, crash.number))
    }

    fn is_clear(&self) -> bool {
        self.live().next().is_none()
    }

    /// Returns whether this one was present at all live crashes of the other.
    fn covers(&self, other: &Self) -> bool {
        other.live().all(|(target, number)| {
            self.crashes
                .get(target)
                .is_some_and(|own| own.is_live() && same(own.number, number))
        })
    }

    fn excuse(&mut self) {
        for crash in self.crashes.values_mut() {
            crash.excused = crash.excused.max(Some(crash.number));
        }
    }
}

/// Returns whether two numbers may mean the same crash.
fn same(a: CrashNumber, b: CrashNumber) -> bool {
    a == b || a.0 == 0 || b.0 == 0
}

/// The suspects and the refused fingerprints that a process knows.
#[derive(Clone, Debug)]
pub struct Quarantine {
    term: span::Span,
    records: BTreeMap<id::Fingerprint, Record>,
    /// The fingerprints whose records name a target. Suspects can only be
    /// mistaken for those that were present at the same crash.
    cohorts: BTreeMap<id::TargetId, BTreeSet<id::Fingerprint>>,
    next: u64,
}

/// Bits of a crash number below the incarnation.
const COUNT_BITS: u32 = 20;

impl Quarantine {
    /// Starts empty. `term` is the length of a quarantine; the incarnation
    /// makes the numbers of a restarted agent larger than its earlier ones.
    pub fn new(term: span::Span, incarnation: id::Incarnation) -> Self {
        Self {
            term,
            records: BTreeMap::new(),
            cohorts: BTreeMap::new(),
            next: (incarnation.0 << COUNT_BITS) + 1,
        }
    }

    /// Returns what a fingerprint is held to be.
    pub fn check(&self, now: time::Mono, fingerprint: id::Fingerprint) -> Verdict {
        match self.records.get(&fingerprint) {
            Some(record) if record.until > now => self.judge(now, fingerprint, record),
            _ => Verdict::Clear,
        }
    }

    fn judge(&self, now: time::Mono, fingerprint: id::Fingerprint, record: &Record) -> Verdict {
        let crashes = record.live().count();
        let Some(cohort) = record
            .live()
            .next()
            .and_then(|(target, _)| self.cohorts.get(target))
        else {
            return Verdict::Clear;
        };
        let mut rivals = false;
        for other in cohort.iter().filter(|other| **other != fingerprint) {
            let Some(rival) = self.records.get(other) else {
                continue;
            };
            if rival.until <= now || !rival.covers(record) {
                continue;
            }
            // A refused one explains the crashes at which both were present.
            if rival.live().count() > crashes.max(LIMIT - 1) {
                return Verdict::Clear;
            }
            rivals = true;
        }
        match (crashes >= LIMIT, rivals) {
            (false, _) => Verdict::Suspect,
            (true, true) => Verdict::Apart,
            (true, false) => Verdict::Refused {
                remaining: record.until.since(now),
            },
        }
    }

    /// Returns whether a request may start beside those in flight: two
    /// suspects that must be told apart may not run together.
    pub fn may_join<'a>(
        &self,
        now: time::Mono,
        fingerprint: id::Fingerprint,
        in_flight: impl IntoIterator<Item = &'a id::Fingerprint>,
    ) -> bool {
        match self.check(now, fingerprint) {
            Verdict::Clear | Verdict::Suspect => true,
            Verdict::Refused { .. } => false,
            Verdict::Apart => in_flight
                .into_iter()
                .all(|other| *other == fingerprint || self.check(now, *other) != Verdict::Apart),
        }
    }

    /// Notes that a target crashed with these fingerprints in flight. To be
    /// called by the target's own agent, once for each crash.
    pub fn crash(
        &mut self,
        now: time::Mono,
        target: &id::TargetId,
        in_flight: impl IntoIterator<Item = id::Fingerprint>,
    ) {
        let number = CrashNumber(self.next);
        self.next += 1;
        for fingerprint in in_flight {
            self.note(now, target, fingerprint, number);
        }
    }

    /// Notes that a router saw a request break off with a crash of its target.
    /// The agent's own report, when it comes, adds the crash's number.
    pub fn broken(&mut self, now: time::Mono, target: &id::TargetId, fingerprint: id::Fingerprint) {
        self.note(now, target, fingerprint, CrashNumber(0));
    }

    fn note(
        &mut self,
        now: time::Mono,
        target: &id::TargetId,
        fingerprint: id::Fingerprint,
        number: CrashNumber,
    ) {
        let crash = Crash {
            number,
            excused: None,
        };
        let crashes = BTreeMap::from([(target.clone(), crash)]);
        self.absorb(now, fingerprint, &crashes, self.term);
    }

    /// Notes that a request with this fingerprint ran to its end, which clears
    /// it: a request that crashes every target never does.
    pub fn completed(&mut self, fingerprint: id::Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.excuse();
        }
    }

    /// Takes in an entry of another process. Late, repeated and reordered
    /// entries do no harm: crashes and excuses only add up.
    pub fn merge(&mut self, now: time::Mono, entry: &Entry) {
        let remaining = entry.remaining.min(self.term);
        self.absorb(now, entry.fingerprint, &entry.crashes, remaining);
    }

    fn absorb(
        &mut self,
        now: time::Mono,
        fingerprint: id::Fingerprint,
        crashes: &BTreeMap<id::TargetId, Crash>,
        remaining: span::Span,
    ) {
        self.expire(now);
        let until = now + remaining;
        let is_new = !self.records.contains_key(&fingerprint);
        if is_new && self.records.len() >= MOST_ENTRIES {
            self.forget_oldest();
        }
        for target in crashes.keys() {
            let cohort = self.cohorts.entry(target.clone()).or_default();
            cohort.insert(fingerprint);
        }
        let record = self.records.entry(fingerprint).or_insert(Record {
            crashes: BTreeMap::new(),
            until,
        });
        let mut has_news = is_new;
        for (target, crash) in crashes {
            match record.crashes.get_mut(target) {
                Some(known) => has_news |= known.merge(*crash),
                None => {
                    record.crashes.insert(target.clone(), *crash);
                    has_news = true;
                }
            }
        }
        // Only news prolongs an entry. Otherwise two processes that exchange
        // it would prolong it for ever by the time on the way.
        record.until = if has_news {
            record.until.max(until)
        } else {
            record.until.min(until)
        };
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, record)| (record.live().count(), record.until))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.forget(fingerprint);
        }
    }

    fn expire(&mut self, now: time::Mono) {
        let over: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.until <= now)
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for fingerprint in over {
            self.forget(fingerprint);
        }
    }

    fn forget(&mut self, fingerprint: id::Fingerprint) {
        let Some(record) = self.records.remove(&fingerprint) else {
            return;
        };
        for target in record.crashes.keys() {
            if let Some(cohort) = self.cohorts.get_mut(target) {
                cohort.remove(&fingerprint);
                if cohort.is_empty() {
                    self.cohorts.remove(target);
                }
            }
        }
    }

    /// Lifts a quarantine by an operator's command; returns whether there was
    /// an entry. Later crashes count again.
    pub fn lift(&mut self, fingerprint: id::Fingerprint) -> bool {
        match self.records.get_mut(&fingerprint) {
            Some(record) => {
                record.excuse();
                true
            }
            None => false,
        }
    }

    /// Returns all entries, also cleared ones, whose excuses other processes
    /// must learn.
    pub fn entries(&self, now: time::Mono) -> Vec<Entry> {
        self.records
            .iter()
            .filter(|(_, record)| record.until > now)
            .map(|(fingerprint, record)| Entry {
                fingerprint: *fingerprint,
                crashes: record.crashes.clone(),
                remaining: record.until.since(now),
                verdict: if record.is_clear() {
                    Verdict::Clear
                } else {
                    self.judge(now, *fingerprint, record)
                },
            })
            .collect()
    }
}
