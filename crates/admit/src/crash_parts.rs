//! Refuses requests with a prompt part that crashes the targets that run it, for
//! fleets without an agent per target.
//!
//! Load pattern: each target that starts to respond to a prompt with the part
//! crashes, whatever else the request contains. No two of the requests are alike,
//! they arrive at any router, and sound requests share their caller and their
//! other parts. [`crate::poison`] refuses contents that come again.
//!
//! Routers exchange which parts were in use when a target crashed. A part is
//! refused if it was in use at several crashes, one after the other, and no
//! request with it has begun to be answered since, while other requests of the
//! service have. Of parts that were in the same prompts at all of these crashes,
//! any may be the cause: only prompts with all of them are refused, until a crash
//! or an answer tells them apart. See [the design page](../../../docs/design.md),
//! section 6.3.

use std::{
    cmp,
    collections::{BTreeMap, VecDeque},
    iter,
};

use base::{id, span, time};

pub use crate::crash::{Change, ClearedPart, Crash, RefusedParts, Report, Suspect};
use crate::{
    bursts::{self, Answers, Step},
    crash::MAX_REPORTED,
    lifted::Lifted,
    part_set::PartSet,
    survivors::Survivors,
};

/// Number of successive crashes from which a part is refused.
const CRASH_LIMIT: u32 = 3;

/// Time for which a crash has to be known at a router for another crash to follow
/// it. A router notices targets that crash together one after the other, and sends
/// to those that it has not noticed yet.
const SEPARATION: span::Span = span::Span::from_millis(100);

/// Time after the first event of a response from which the request is not the
/// cause of a crash, and shows that its parts are sound.
pub const SURVIVAL_TIME: span::Span = span::Span::from_millis(500);

/// Time between the crash that reaches the limit and the refusal, in which a
/// sound part that many requests have is seen to be answered again.
const SETTLE_TIME: span::Span = span::Span::from_secs(1);

/// Number of other requests of the service that have to be answered since the
/// first of the crashes. If none are, the targets are down for another reason.
const MIN_SURVIVALS: usize = 3;

/// Time for which a part is refused, before single requests try it again.
const REFUSAL_TERM: span::Span = span::Span::from_secs(60);

/// Time for which the outcome of a trial is awaited, before another one.
const TRIAL_TIME: span::Span = span::Span::from_secs(10);

/// Time after its term for which a refused part is remembered if no request
/// tries it.
const TRIAL_TERM: span::Span = span::Span::from_secs(600);

/// Time for which crashes are remembered.
const CRASH_MEMORY: span::Span = span::Span::from_secs(300);

/// Two reports of a crash of one run of a target within this time are of the same
/// crash; a busy router reads reports late.
const SAME_CRASH: span::Span = span::Span::from_secs(10);

/// Time for which a crash or a cleared part is sent to other routers.
const GOSSIP_TIME: span::Span = span::Span::from_secs(3);

/// Maximum number of remembered crashes.
const MAX_CRASHES: usize = 128;

/// Maximum number of parts that are remembered for one crash.
const MAX_SUSPECTS: usize = 64;

/// Maximum number of prompts that are remembered for one crash.
const MAX_PROMPTS: usize = 32;

/// Maximum number of parts that are refused together.
const MAX_TOGETHER: usize = 8;

/// Time after the latest crash in which parts may reach the limit, because
/// requests are answered again.
const EVALUATION_TIME: span::Span = span::Span::from_secs(30);

/// Time before a stored refusal is read for which answered requests contradict
/// it. The time of its crashes is not stored, as routers share no clock.
const STORED_AGE: span::Span = span::Span::from_secs(5);

/// Difference between the times of a crash at two routers that may come from the
/// time that a datagram takes. If routers took each difference for a later crash,
/// the time would advance with each datagram, past the time of a later lift.
const AGE_ERROR: span::Span = span::Span::from_secs(1);

/// Maximum number of cleared parts that are sent to other routers.
const MAX_CLEARED: usize = 64;

/// Maximum number of refused sets of parts.
const MAX_REFUSED: usize = 1_024;

/// Maximum number of services whose answered requests are counted.
const MAX_SERVICES: usize = 256;

/// A crash that a router knows of.
#[derive(Clone, Debug)]
struct KnownCrash {
    crash: Crash,
    /// When the router came to know of it.
    known: time::Mono,
}

/// A cleared part that is sent to other routers.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    level: u32,
    until: time::Mono,
    part: ClearedPart,
}

/// The crashes at which a part was in use and which it may have caused.
#[derive(Clone, Copy, Debug)]
struct Counted<'a> {
    crashes: u32,
    first: &'a KnownCrash,
    latest: &'a KnownCrash,
    /// When the crash became known that reached the limit.
    reached: Option<time::Mono>,
}

/// How often a part was in use at crashes. The part that compares as the largest is
/// the most likely cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Uses {
    /// Whether no request with the part is known to have been answered.
    unanswered: bool,
    crashes: u32,
    /// Number of parts that would be refused together with this one: the more, the
    /// fewer requests a mistake refuses.
    together: usize,
    /// Largest index of the part in a prompt.
    index: u32,
}

#[derive(Clone, Copy, Debug)]
struct Refusal {
    crashed: time::Mono,
    until: time::Mono,
    /// Until when the outcome of a trial is awaited.
    trial: Option<time::Mono>,
}

/// Tracks which parts were in use at crashes, and which are refused.
#[derive(Clone, Debug, Default)]
pub struct CrashParts {
    /// In the order of their times.
    crashes: VecDeque<KnownCrash>,
    /// Time until which a crash is sent to other routers, by the run of the target.
    announced: BTreeMap<u64, time::Mono>,
    refused: BTreeMap<PartSet, Refusal>,
    lifted: Lifted,
    /// In the order in which they are sent.
    cleared: Vec<Announcement>,
    survivors: Survivors,
    /// Times at which the latest answered requests of each service began to be
    /// answered.
    answered: BTreeMap<id::ServiceId, VecDeque<time::Mono>>,
    answers: BTreeMap<id::ServiceId, Answers>,
    changes: Vec<Change>,
}

impl CrashParts {
    /// Returns the time after which the caller of a request with these parts
    /// should retry, if the request is refused.
    ///
    /// When the term of a refusal is over, about one request of the whole fleet at a
    /// time is let through: `random`, between 0 and 1, decides whether it is this
    /// one, and `routers` is the number of routers.
    pub fn refuses(
        &mut self,
        now: time::Mono,
        parts: impl Iterator<Item = id::PartHash>,
        routers: u32,
        random: f64,
    ) -> Option<(PartSet, span::Span)> {
        if self.refused.is_empty() {
            return None;
        }
        let prompt: PartSet = parts.collect();
        let refused = self.refusal(now, &prompt, routers, random);
        if refused.is_none() {
            let trials = self.refused.iter_mut();
            for (_, refusal) in trials.filter(|(parts, _)| prompt.includes(parts)) {
                refusal.trial = Some(now + TRIAL_TIME);
            }
        }
        refused
    }

    /// Returns what [`Self::refuses`] would return, and begins no trial.
    pub fn would_refuse(
        &self,
        now: time::Mono,
        parts: impl Iterator<Item = id::PartHash>,
        routers: u32,
        random: f64,
    ) -> Option<(PartSet, span::Span)> {
        if self.refused.is_empty() {
            return None;
        }
        self.refusal(now, &parts.collect(), routers, random)
    }

    fn refusal(
        &self,
        now: time::Mono,
        prompt: &PartSet,
        routers: u32,
        random: f64,
    ) -> Option<(PartSet, span::Span)> {
        let is_trial = random * f64::from(routers.max(1)) < 1.0;
        let mut refused = self.refused.iter();
        refused.find_map(|(parts, refusal)| {
            if !prompt.includes(parts) {
                return None;
            }
            if refusal.until > now {
                return Some((parts.clone(), refusal.until.since(now)));
            }
            let is_tried = refusal.trial.is_some_and(|until| until > now);
            (is_tried || !is_trial).then(|| (parts.clone(), TRIAL_TIME))
        })
    }

    /// Records that a request with these parts began to be answered at `answered`
    /// and that its target has not crashed for [`SURVIVAL_TIME`] since, or has
    /// completed the response.
    pub fn record_answered(
        &mut self,
        now: time::Mono,
        service: &id::ServiceId,
        answered: time::Mono,
        parts: impl Iterator<Item = id::PartHash>,
    ) {
        if self.answered.len() >= MAX_SERVICES && !self.answered.contains_key(service) {
            self.answered.clear();
            self.answers.clear();
        }
        let answers = self.answers.entry(service.clone()).or_default();
        answers.record(answered);
        let latest = self.answered.entry(service.clone()).or_default();
        if latest.len() >= MIN_SURVIVALS {
            latest.pop_front();
        }
        latest.push_back(answered);
        for part in parts {
            self.clear(now, ClearedPart { part, answered });
        }
    }

    /// Records that requests with a part were answered, here or at another router.
    fn clear(&mut self, now: time::Mono, cleared: ClearedPart) {
        let before = self.survivors.latest(cleared.part).unwrap_or_default();
        if before >= cleared.answered {
            return;
        }
        let suspected = self.unexplained(cleared.part);
        let suspected = suspected.map(|crash| self.level(crash, cleared.part)).max();
        self.survivors.record(cleared.part, cleared.answered);
        if self.narrow(cleared) {
            self.announce(now, cleared, CRASH_LIMIT);
        } else if let Some(level) = suspected {
            self.announce(now, cleared, level);
        }
    }

    /// Takes an answered part out of the refused sets, another part of which has to
    /// be the cause. Returns whether it was in any.
    fn narrow(&mut self, cleared: ClearedPart) -> bool {
        let is_narrowed = |parts: &PartSet, refusal: &mut Refusal| {
            parts.contains(cleared.part) && refusal.crashed < cleared.answered
        };
        let narrowed: Vec<_> = self.refused.extract_if(.., is_narrowed).collect();
        for (mut parts, refusal) in narrowed.iter().cloned() {
            let before = parts.clone();
            parts.0.remove(&cleared.part);
            if !parts.is_empty() {
                self.insert(parts, refusal, 0);
            }
            self.changes.push(Change::Admitted(before));
        }
        !narrowed.is_empty()
    }

    /// Sends a cleared part to other routers for some time; those that were in use
    /// at most successive crashes go first.
    fn announce(&mut self, now: time::Mono, cleared: ClearedPart, level: u32) {
        self.cleared.retain(|known| known.part.part != cleared.part);
        self.cleared.push(Announcement {
            level,
            until: now + GOSSIP_TIME,
            part: cleared,
        });
        self.cleared
            .sort_by_key(|known| cmp::Reverse((known.level, known.until)));
        self.cleared.truncate(MAX_CLEARED);
    }

    /// Tells other routers which suspects of a crash were answered before it, as the
    /// others may have had no requests with them.
    fn announce_answered(&mut self, now: time::Mono, crash: &Crash) {
        for part in crash.suspects.keys() {
            let mut announced = self.cleared.iter();
            if let Some(answered) = self.survivors.latest(*part)
                && !announced.any(|known| known.part.part == *part)
            {
                let part = *part;
                self.announce(now, ClearedPart { part, answered }, 0);
            }
        }
    }

    /// Returns for each part the [`Suspect::level`] of a request with it that is
    /// sent now.
    pub fn levels(&self, now: time::Mono, parts: impl Iterator<Item = id::PartHash>) -> Vec<u32> {
        if self.crashes.is_empty() {
            return Vec::new();
        }
        let level = |part| {
            let known = |crash: &&KnownCrash| crash.known + SEPARATION <= now;
            let levels = self.unexplained(part).filter(known);
            levels.map(|crash| self.level(crash, part)).max()
        };
        parts.map(|part| level(part).unwrap_or(0) + 1).collect()
    }

    /// Records a crash that this router noticed by a request sent at `sent`. A
    /// request that was sent after another router had noticed the crash is not its
    /// cause.
    pub fn record_crash(&mut self, now: time::Mono, sent: time::Mono, crash: Crash) {
        let known = self.position(&crash);
        if known.is_none_or(|index| sent <= self.crashes[index].crash.at) {
            self.add_crash(now, crash);
        }
    }

    /// Returns the index of a crash, if it is known.
    fn position(&self, crash: &Crash) -> Option<usize> {
        self.crashes.iter().position(|known| {
            let known = &known.crash;
            let apart = known.at.since(crash.at).max(crash.at.since(known.at));
            known.target == crash.target && apart < SAME_CRASH
        })
    }

    fn add_crash(&mut self, now: time::Mono, crash: Crash) {
        self.forget(now);
        if now.since(crash.at) >= CRASH_MEMORY || crash.suspects.is_empty() {
            return;
        }
        self.renew(now, &crash);
        self.announce_answered(now, &crash);
        let target = crash.target;
        let added = match self.position(&crash) {
            Some(index) => self.merge_crash(index, crash),
            None => {
                self.insert_crash(KnownCrash { crash, known: now });
                true
            }
        };
        if added {
            self.announced.insert(target, now + GOSSIP_TIME);
        }
    }

    fn insert_crash(&mut self, known: KnownCrash) {
        let earlier = |other: &KnownCrash| other.crash.at <= known.crash.at;
        let place = self.crashes.partition_point(earlier);
        self.crashes.insert(place, known);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Adds a report to a known crash; returns whether it added a suspect.
    fn merge_crash(&mut self, index: usize, report: Crash) -> bool {
        let Some(mut known) = self.crashes.remove(index) else {
            return false;
        };
        let crash = &mut known.crash;
        let mut added = false;
        for prompt in report.prompts {
            added |= crash.prompts.len() < MAX_PROMPTS && crash.prompts.insert(prompt);
        }
        for (part, suspect) in report.suspects {
            let is_full = crash.suspects.len() >= MAX_SUSPECTS;
            match crash.suspects.get_mut(&part) {
                Some(suspected) => {
                    added |= suspect.level > suspected.level;
                    suspected.index = suspected.index.max(suspect.index);
                    suspected.level = suspected.level.max(suspect.level);
                }
                None if !is_full => {
                    crash.suspects.insert(part, suspect);
                    added = true;
                }
                None => {}
            }
        }
        crash.at = crash.at.min(report.at);
        self.insert_crash(known);
        added
    }

    /// Starts the term of refused parts again after a crash during a trial.
    fn renew(&mut self, now: time::Mono, crash: &Crash) {
        for (parts, refusal) in &mut self.refused {
            let is_trial = refusal.until <= now && crash.at > refusal.until;
            if is_trial && crash.prompts.iter().any(|prompt| prompt.includes(parts)) {
                refusal.crashed = crash.at;
                refusal.until = now + REFUSAL_TERM;
                refusal.trial = None;
            }
        }
    }

    fn forget(&mut self, now: time::Mono) {
        self.crashes
            .retain(|known| now.since(known.crash.at) < CRASH_MEMORY);
        self.announced.retain(|_, until| *until > now);
        self.cleared.retain(|cleared| cleared.until > now);
        let is_over = |_: &PartSet, refusal: &mut Refusal| refusal.until + TRIAL_TERM <= now;
        for (parts, _) in self.refused.extract_if(.., is_over) {
            self.changes.push(Change::Admitted(parts));
        }
    }

    /// Refuses the parts whose crashes are sufficient by now.
    pub fn evaluate(&mut self, now: time::Mono) {
        self.forget(now);
        let latest = self.crashes.back();
        if latest.is_none_or(|latest| now.since(latest.crash.at) > EVALUATION_TIME) {
            return;
        }
        // Not all routers may have reported later crashes yet.
        let reported = time::Mono(now.0.saturating_sub(SETTLE_TIME.as_micros()));
        let mut candidates: Vec<_> = self
            .uses(reported)
            .into_iter()
            .filter(|(part, uses)| {
                let is_refused = || self.refused.contains_key(&PartSet::from(*part));
                uses.crashes >= CRASH_LIMIT && !is_refused()
            })
            .map(|(part, uses)| (uses, part))
            .collect();
        let is_sufficient =
            |(_, part): &(Uses, id::PartHash)| self.sufficient(now, *part).is_some();
        if !candidates.iter().any(is_sufficient) {
            return;
        }
        for (uses, part) in &mut candidates {
            uses.together = self.together(*part, reported).len();
        }
        candidates.sort_unstable();
        // The part with the most crashes explains those of the parts beside it, which
        // may reach the limit sooner.
        let mut likelier = Vec::new();
        for (uses, part) in candidates.into_iter().rev() {
            let Some(crashed) = self.sufficient(now, part) else {
                likelier.push(part);
                continue;
            };
            if likelier.iter().any(|other| self.covers(*other, part)) || self.has_suspect(part) {
                continue;
            }
            let refusal = Refusal {
                crashed,
                until: now + REFUSAL_TERM,
                trial: None,
            };
            self.insert(self.together(part, reported), refusal, uses.crashes);
        }
    }

    /// Returns whether a part was in use at all crashes that another one may have
    /// caused, and may have caused them itself.
    fn covers(&self, part: id::PartHash, other: id::PartHash) -> bool {
        let mut own = self
            .unexplained(part)
            .map(|known| known.crash.at)
            .peekable();
        let mut crashes = self.unexplained(other).map(|known| known.crash.at);
        crashes.all(|at| {
            while own.next_if(|own| *own < at).is_some() {}
            own.next_if_eq(&at).is_some()
        })
    }

    /// Returns whether a part that was answered earlier was in use together with one
    /// that never was, at most of its crashes. The others may have another cause, or
    /// not all requests at them may be known.
    fn has_suspect(&self, part: id::PartHash) -> bool {
        if self.survivors.latest(part).is_none() {
            return false;
        }
        let mut crashes = 0;
        let mut unanswered: BTreeMap<id::PartHash, u32> = BTreeMap::new();
        for known in self.unexplained(part) {
            crashes += 1;
            for other in known.crash.suspects.keys() {
                *unanswered.entry(*other).or_default() += 1;
            }
        }
        unanswered
            .retain(|other, count| *count * 2 > crashes && self.survivors.latest(*other).is_none());
        !unanswered.is_empty()
    }

    /// Returns a part with those that were in the same prompts at all crashes known
    /// since `before`, as far as they have not been answered since: each of them may
    /// be the cause.
    ///
    /// If there are none, the first crash is left out: of the crashes that a
    /// part causes, the request that caused the first one is the likeliest to be
    /// unknown, as its router may not have noticed the crash. Then only parts count
    /// that were never answered; a further crash without them takes them out.
    fn together(&self, part: id::PartHash, before: time::Mono) -> PartSet {
        let always = self.always_with(part, before, 0);
        if always.len() > 1 {
            return always;
        }
        let mut later = self.always_with(part, before, 1);
        let is_unanswered = |other: &id::PartHash| self.survivors.latest(*other).is_none();
        later
            .0
            .retain(|other| *other == part || is_unanswered(other));
        later
    }

    /// The same, without the first `skipped` crashes.
    fn always_with(&self, part: id::PartHash, before: time::Mono, skipped: usize) -> PartSet {
        let mut crashes = self.unexplained(part).skip(skipped);
        let Some(first) = crashes.next() else {
            return part.into();
        };
        let with_part = |known: &KnownCrash| -> Vec<PartSet> {
            let prompts = known.crash.prompts.iter();
            prompts
                .filter(|prompt| prompt.contains(part))
                .cloned()
                .collect()
        };
        let mut sets = with_part(first);
        for known in crashes.filter(|known| known.known <= before) {
            let prompts = with_part(known);
            for set in &mut sets {
                let common = prompts.iter().map(|prompt| prompt.common(set));
                *set = common.max_by_key(PartSet::len).unwrap_or(part.into());
            }
        }
        let mut together = sets
            .into_iter()
            .max_by_key(PartSet::len)
            .unwrap_or_default();
        let is_answered = |other: &id::PartHash| {
            let answered = self.survivors.latest(*other);
            answered.is_some_and(|answered| answered > first.crash.at)
        };
        together.0.retain(|other| !is_answered(other));
        together.0.insert(part);
        while together.len() > MAX_TOGETHER {
            let other = together.parts().find(|other| *other != part);
            together.0.remove(&other.unwrap_or(part));
        }
        together
    }

    /// Returns for each part at how many crashes it was in use that have been known
    /// since `before`.
    fn uses(&self, before: time::Mono) -> BTreeMap<id::PartHash, Uses> {
        let mut uses: BTreeMap<id::PartHash, Uses> = BTreeMap::new();
        for known in self.crashes.iter().filter(|known| known.known <= before) {
            for (part, suspect) in &known.crash.suspects {
                let uses = uses.entry(*part).or_default();
                uses.crashes += 1;
                uses.unanswered = self.survivors.latest(*part).is_none();
                uses.index = uses.index.max(suspect.index);
            }
        }
        uses
    }

    /// Returns the time of the latest crash of a part, if its crashes suffice.
    fn sufficient(&self, now: time::Mono, part: id::PartHash) -> Option<time::Mono> {
        let counted = self.counted(part)?;
        let first = &counted.first.crash;
        let is_successive = || {
            let answered = self.answered.get(&first.service);
            let others = answered.map(|at| at.iter().filter(|at| **at >= first.at).count());
            let settled = counted.reached.is_some_and(|at| now >= at + SETTLE_TIME);
            let is_reached = settled && counted.crashes >= CRASH_LIMIT;
            is_reached && others >= Some(MIN_SURVIVALS) && !self.is_bystander(part, first)
        };
        let is_sufficient = is_successive() || self.is_burst(now, part, &counted);
        is_sufficient.then_some(counted.latest.crash.at)
    }

    /// Returns whether so many targets crashed at the same moments that fewer successive
    /// crashes suffice.
    fn is_burst(&self, now: time::Mono, part: id::PartHash, counted: &Counted<'_>) -> bool {
        let first = &counted.first.crash;
        let Some(answers) = self.answers.get(&first.service) else {
            return false;
        };
        let crashes = counted.crashes;
        let others = self.crashes_without(part, first).count();
        if !bursts::may_be_cause(crashes, others) {
            return false;
        }
        let steps = self.unexplained(part).map(|known| Step {
            at: known.crash.at,
            known: known.known,
            level: self.level(known, part),
        });
        let steps: Vec<_> = steps.collect();
        bursts::is_cause(now, &steps, answers)
    }

    /// Returns whether many targets crashed with the part's ones that it does not explain.
    fn is_bystander(&self, part: id::PartHash, first: &Crash) -> bool {
        let steps: Vec<_> = self.unexplained(part).map(|known| known.crash.at).collect();
        let others = self.crashes_without(part, first);
        bursts::is_bystander(&steps, others.map(|crash| crash.at))
    }

    /// Returns the crashes of the service since `first` at which a part was not in use.
    fn crashes_without<'a>(
        &'a self,
        part: id::PartHash,
        first: &'a Crash,
    ) -> impl Iterator<Item = &'a Crash> {
        let crashes = self.crashes.iter().map(|known| &known.crash);
        crashes.filter(move |crash| {
            let is_later = crash.at >= first.at && crash.service == first.service;
            is_later && !crash.suspects.contains_key(&part)
        })
    }

    /// Returns the crashes at which a part was in use since requests with it were
    /// last answered.
    fn counted(&self, part: id::PartHash) -> Option<Counted<'_>> {
        let mut crashes = self.unexplained(part);
        let first = crashes.next()?;
        let mut counted = Counted {
            crashes: 0,
            first,
            latest: first,
            reached: None,
        };
        for crash in iter::once(first).chain(crashes) {
            counted.crashes += 1;
            counted.latest = crash;
            if self.level(crash, part) >= CRASH_LIMIT && counted.reached.is_none() {
                counted.reached = Some(crash.known);
            }
        }
        Some(counted)
    }

    /// Returns the crashes at which a part was in use since requests with it were
    /// last answered, without those that refused parts explain which it is not
    /// among, and those before a refusal that they led to was lifted.
    fn unexplained(&self, part: id::PartHash) -> impl Iterator<Item = &KnownCrash> {
        let survived = self.survivors.latest(part).unwrap_or_default();
        self.crashes.iter().filter(move |known| {
            let Crash {
                suspects, prompts, ..
            } = &known.crash;
            let explains = |refused: &PartSet| {
                !refused.contains(part) && prompts.iter().any(|prompt| prompt.includes(refused))
            };
            known.crash.at > survived
                && suspects.contains_key(&part)
                && !self.refused.keys().any(explains)
                && !self.lifted.explains(&known.crash)
        })
    }

    /// Returns how many crashes of the part followed one another with this one,
    /// without those before requests with the part were last answered.
    fn level(&self, crash: &KnownCrash, part: id::PartHash) -> u32 {
        let level = |known: &KnownCrash| known.crash.suspects.get(&part).map(|it| it.level);
        let survived = self.survivors.latest(part).unwrap_or_default();
        let answered = |known: &&KnownCrash| known.crash.at <= survived;
        let before = self.crashes.iter().filter(answered).filter_map(level).max();
        let own = level(crash).unwrap_or_default();
        own.saturating_sub(before.unwrap_or_default())
    }

    /// Refuses parts, unless fewer of them are refused already.
    fn insert(&mut self, parts: PartSet, refusal: Refusal, crashes: u32) {
        if self.refused.len() >= MAX_REFUSED || self.refused.keys().any(|it| parts.includes(it)) {
            return;
        }
        let wider: Vec<_> = self
            .refused
            .extract_if(.., |known, _| known.includes(&parts))
            .collect();
        self.refused.insert(parts.clone(), refusal);
        self.changes.push(Change::Refused { parts, crashes });
        let admitted = wider.into_iter().map(|(known, _)| Change::Admitted(known));
        self.changes.extend(admitted);
    }

    /// Adopts a refusal by another router, without the parts that requests were
    /// answered with here since the crash. The other router may not have learned
    /// yet that the refusal was lifted.
    pub fn adopt(&mut self, now: time::Mono, mut refused: RefusedParts) {
        if self.lifted.revokes(&refused) {
            return;
        }
        for part in refused.parts.clone().parts() {
            let survived = self.survivors.latest(part).unwrap_or_default();
            if survived > refused.crashed {
                refused.parts.0.remove(&part);
                let cleared = ClearedPart {
                    part,
                    answered: survived,
                };
                self.announce(now, cleared, CRASH_LIMIT);
            }
        }
        let until = refused.until.min(now + REFUSAL_TERM);
        match self.refused.get_mut(&refused.parts) {
            Some(known) if refused.crashed > known.crashed + AGE_ERROR => {
                known.crashed = refused.crashed;
                known.until = known.until.max(until);
            }
            None if !refused.parts.is_empty() => {
                let refusal = Refusal {
                    crashed: refused.crashed,
                    until,
                    trial: None,
                };
                self.insert(refused.parts, refusal, 0);
            }
            _ => {}
        }
    }

    /// Adopts a refusal that a router stored.
    pub fn adopt_stored(&mut self, now: time::Mono, parts: PartSet) {
        let refused = RefusedParts {
            parts,
            crashed: time::Mono(now.0.saturating_sub(STORED_AGE.as_micros())),
            until: now + REFUSAL_TERM,
        };
        if !self.refused.contains_key(&refused.parts) {
            self.lifted.forget(&refused.parts);
            self.adopt(now, refused);
        }
    }

    /// Stops refusing parts whose stored refusal was removed. The crashes up to now
    /// no longer count, unless some of the parts are refused now in place of all.
    pub fn lift(&mut self, now: time::Mono, parts: &PartSet) {
        if self.refused.remove(parts).is_some() {
            self.changes.push(Change::Admitted(parts.clone()));
        }
        if !self.refused.keys().any(|narrower| parts.includes(narrower)) {
            self.lifted.record(now, parts);
        }
    }

    /// Returns whether exactly these parts are refused together.
    pub fn has_refused(&self, parts: &PartSet) -> bool {
        self.refused.contains_key(parts)
    }

    /// Merges what another router sent.
    pub fn merge(&mut self, now: time::Mono, report: Report) {
        for cleared in report.cleared {
            self.clear(now, cleared);
        }
        for crash in report.crashes {
            self.add_crash(now, crash);
        }
        for refused in report.refused {
            self.adopt(now, refused);
        }
    }

    /// Returns what the other routers may not know yet, newest first.
    pub fn report(&mut self, now: time::Mono) -> Report {
        self.forget(now);
        let uses = match self.announced.is_empty() {
            true => BTreeMap::new(),
            false => self.uses(now),
        };
        let crashes = self.crashes.iter().rev();
        let crashes = crashes
            .filter(|known| self.announced.contains_key(&known.crash.target))
            .map(|known| {
                let crash = &known.crash;
                crash.limited(MAX_REPORTED, |part| uses.get(&part).copied())
            });
        let refused = self.refused.iter().map(|(parts, refusal)| RefusedParts {
            parts: parts.clone(),
            crashed: refusal.crashed,
            until: refusal.until,
        });
        Report {
            crashes: crashes.collect(),
            refused: refused.collect(),
            cleared: self.cleared.iter().map(|known| known.part).collect(),
        }
    }

    /// Returns the refused parts.
    pub fn refused(&self) -> impl Iterator<Item = &PartSet> {
        self.refused.keys()
    }

    /// Returns the changes since the last call, in order.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }
}
