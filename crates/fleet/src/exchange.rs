//! The exchange of members and loads with a few neighbours.
//!
//! Once a second a process sends one message to one neighbour and gets one
//! back. A message holds the most valuable records that its share of the byte
//! budget allows: what the receiver asked for, changes of state, quarantine
//! entries, signs of life, by which every member remains known everywhere, the
//! loads of the receiver's service group, and last the pulses, which are load
//! reports for all. A new version or a change of
//! standing starts short exchanges before the interval is over.
//!
//! Three means find what was lost: a load of an unknown run makes the receiver
//! ask for the member record; a report that becomes old is asked for by name;
//! and digests of the members show parts that differ.
//!
//! See [the design page](../../../docs/design.md), section 2.7.

use std::{
    collections::{BTreeMap, VecDeque},
    net,
};

use base::{hash, id, span, time};
use prost::Message;
use wire::msg;

use crate::{beat, budget, convert, crash, digest, member, neighbour, pack, room, rules};

/// Time between two exchanges that a process starts.
pub const INTERVAL: span::Span = span::Span::from_secs(1);

/// Time between two exchanges while urgent news have not been passed on often
/// enough.
pub const URGENT: span::Span = span::Span::from_millis(100);

/// Exchanges that a process starts at once for urgent news. Together with the
/// exchanges that others start, 4 leave few processes to the usual interval.
const FAN: u32 = 4;

/// Bytes that urgent news leave in the budget for what the interval needs.
const RESERVE: i64 = 2_000;

/// Largest message that is sent for urgent news, in bytes.
const URGENT_SIZE: i64 = 600;

/// Messages of one interval: sent and received, as the one who starts and as
/// the one who answers.
const MESSAGES: i64 = 4;

/// Share of the rate that the usual exchange uses, in percent. The rest keeps
/// the bucket filled for urgent news and for new processes.
const STEADY: i64 = 85;

/// Bytes below a full bucket that the usual exchange uses; the rest is left for
/// urgent news and new processes. With the rate of 4,500 B/s a process spends at
/// most the required 5,000 B/s over 15 s.
const USUAL: i64 = 7_500;

/// Smallest message worth sending, in bytes.
const SMALLEST: i64 = 200;

/// Largest message that a process composes, in bytes; one part of the members
/// for a new process fits in it.
const LARGEST: i64 = 16_000;

/// Most keys in `wants` and in `stale`, 8 bytes each.
const ASKED: usize = 16;

/// Largest answer with member records that were asked for, in bytes.
const ASKED_SIZE: i64 = 2_500;

/// Time without a sign of life from which a process asks others for a fresher
/// report.
const OLD: span::Span = span::Span::from_secs(35);

/// Time without a sign of life from which a process asks the member itself. The
/// 20 s up to its removal leave 10 tries, at every second interval.
const DOUBTED: span::Span = span::Span::from_secs(40);

/// Every how many turns a member without signs of life is asked itself.
const DOUBT_EVERY: u64 = 2;

/// Every how many turns a lost or merely listed member or a seed is tried, so
/// that the two sides of a healed cut find each other.
const PROBE: u64 = 10;

/// Time between two pulses of a process, for each member. A process receives
/// about 100 load records a second; with 30 ms it receives each pulse three
/// times on average, and 1,110 members pulse every 33 s.
const PULSE_EACH: span::Span = span::Span::from_millis(30);

/// Fractions of the first time between two pulses; each process takes another,
/// so that processes that start together do not all pulse together.
const PHASES: u64 = 1000;

/// Shortest time between two pulses.
const PULSE_LEAST: span::Span = span::Span::from_secs(4);

/// Messages that carry a quarantine entry on from one process.
const SUSPECT_NEWS: u32 = 12;

/// Parts in which a new process learns the members, each from another peer.
/// With 1,110 members a part is about 14 KB.
const PARTS: u32 = 8;

/// Most parts that differ of which one answer holds the loads.
const REPAIRED: usize = 16;

/// Members that an answer names to a new process when the budget has no room
/// for a part, so that not all new processes ask the same seed for ever.
const REFERRED: usize = 3;

/// Room below which a part is replaced by a few members.
const REFERRED_SIZE: i64 = 500;

/// Time between two exchanges of a process that learns the members.
const JOIN: span::Span = span::Span::from_millis(200);

/// A process asks for all parts again when a partner knows more members by more
/// than one in this many; fewer are found by digests.
const MISSING: u32 = 8;

/// A member, or a seed whose process is not known, to exchange with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Partner {
    /// The process expected at the address.
    pub process: Option<id::ProcessId>,
    /// Where to send.
    pub address: net::SocketAddr,
}

/// What a received message changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// Members whose place or standing changed.
    pub changed: Vec<id::ProcessId>,
    /// Quarantine entries that were new or changed, for the quarantine.
    pub suspects: Vec<msg::Suspect>,
    /// The sender's configuration version, when it is above this process's.
    pub newer: Option<id::Version>,
    /// The incarnation that the fleet knows of this process, when it is above
    /// its own; the process must take a higher one.
    pub renumber: Option<id::Incarnation>,
    /// Whether the fleet holds this incarnation to be leaving while it is not.
    pub accused: bool,
    /// Records that could not be read.
    pub invalid: usize,
}

#[derive(Clone, Debug)]
struct Suspicion {
    entry: msg::Suspect,
    until: time::Mono,
    left: u32,
}

#[derive(Clone, Copy, Debug)]
struct Own {
    standing: member::Standing,
    version: id::Version,
    load: u32,
    cap: u32,
}

/// The exchange of one process.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The members that the exchange keeps up to date.
    pub members: member::Members,
    own: Own,
    reported: time::Mono,
    pulsed: time::Mono,
    phase: u64,
    key: u64,
    seeds: Vec<net::SocketAddr>,
    turn: u64,
    /// When the last exchange of the usual interval was started.
    regular: time::Mono,
    /// When the last exchange of any kind was started.
    started: time::Mono,
    /// Whether the present exchange is for urgent news alone.
    early: bool,
    /// Exchanges that are still to be started for urgent news.
    fan: u32,
    urgent: VecDeque<id::ProcessId>,
    /// Messages with signs of life so far; chooses the parts of the next one.
    beats: u64,
    wants: BTreeMap<u64, time::Mono>,
    suspects: BTreeMap<u64, Suspicion>,
    /// Parts of the members that have not arrived, and when each was last
    /// asked for.
    parts: BTreeMap<u32, Option<time::Mono>>,
    /// Whether the last answer had another digest.
    differs: bool,
}

impl Exchange {
    /// Starts with this process as the only member. `seeds` are addresses of
    /// other processes from the settings; `seed` makes processes that start
    /// together choose different first peers.
    pub fn new(
        now: time::Mono,
        own: member::Member,
        rules: rules::Rules,
        seeds: Vec<net::SocketAddr>,
        seed: u64,
    ) -> Self {
        Self {
            own: Own {
                standing: own.standing,
                version: own.version,
                load: own.load,
                cap: own.cap,
            },
            reported: now,
            pulsed: now,
            phase: hash::mix(seed, 1) % PHASES,
            key: member::key(&own.process),
            members: member::Members::new(now, own, rules),
            regular: now,
            started: now,
            early: false,
            fan: 0,
            seeds,
            turn: hash::mix(seed, 0) % (1 << 16) * PROBE,
            urgent: VecDeque::new(),
            beats: 0,
            wants: BTreeMap::new(),
            suspects: BTreeMap::new(),
            parts: all_parts(),
            differs: false,
        }
    }

    /// Sets what this process tells about itself from now on.
    pub fn update(
        &mut self,
        now: time::Mono,
        standing: member::Standing,
        version: id::Version,
        load: u32,
        cap: u32,
    ) {
        let urgent = standing != self.own.standing || version > self.own.version;
        self.own = Own {
            standing,
            version: version.max(self.own.version),
            load,
            cap,
        };
        if urgent {
            self.report(now);
            self.fan = FAN;
        } else {
            self.members.restate(now, load, cap);
        }
    }

    /// Returns when the next exchange should start: after the interval, or
    /// sooner while there are urgent news and bytes for them.
    pub fn due(&self, now: time::Mono, budget: &mut budget::Budget) -> time::Mono {
        if self.joining(now, budget) {
            return (self.started + JOIN).min(self.regular + INTERVAL);
        }
        let urgent = self.fan > 0 || !self.urgent.is_empty();
        if urgent && budget.available(now) > RESERVE {
            return (self.started + URGENT).min(self.regular + INTERVAL);
        }
        self.regular + INTERVAL
    }

    /// Takes over what a reply says about its sender. A sender or incarnation
    /// that is not known becomes the next partner.
    pub fn stamp(&mut self, now: time::Mono, stamp: &member::Stamp) -> member::Outcome {
        let outcome = self.members.stamp(now, stamp);
        if outcome == member::Outcome::Unknown {
            let run = member::run(&stamp.process, stamp.incarnation);
            self.wants.insert(run, now);
            if !self.urgent.contains(&stamp.process) {
                self.urgent.push_back(stamp.process.clone());
            }
        }
        outcome
    }

    /// Returns whether parts are still missing and the join allowance lasts.
    fn joining(&self, now: time::Mono, budget: &mut budget::Budget) -> bool {
        let burst = i64::try_from(budget::BURST).unwrap_or(i64::MAX);
        !self.parts.is_empty() && budget.available(now) > burst
    }

    /// Adds a quarantine entry of this process, or a change of one.
    pub fn suspect(&mut self, now: time::Mono, entry: msg::Suspect) {
        self.merge_suspect(now, entry);
    }

    /// Returns the quarantine entries that have not ended, by fingerprint.
    pub fn suspects(&self, now: time::Mono) -> Vec<msg::Suspect> {
        self.suspects
            .values()
            .filter(|suspicion| now < suspicion.until)
            .map(|suspicion| {
                let mut entry = suspicion.entry.clone();
                let remaining = suspicion.until.since(now).as_millis();
                entry.remaining = u32::try_from(remaining).unwrap_or(u32::MAX);
                entry
            })
            .collect()
    }

    /// Returns the partner of this interval, or none when no other process is
    /// known.
    pub fn partner(&mut self, now: time::Mono) -> Option<Partner> {
        self.early = now.since(self.regular) < INTERVAL;
        self.started = now;
        if !self.early {
            self.regular = now;
        }
        self.fan = self.fan.saturating_sub(1);
        while let Some(process) = self.urgent.pop_front() {
            if let Some(entry) = self.members.entry(&process) {
                return Some(partner(entry));
            }
        }
        self.turn += 1;
        if !self.parts.is_empty() {
            return self.anyone().or_else(|| self.probe());
        }
        if self.turn.is_multiple_of(PROBE)
            && let Some(probe) = self.probe()
        {
            return Some(probe);
        }
        if self.turn.is_multiple_of(DOUBT_EVERY)
            && let Some(doubted) = self.doubted(now)
        {
            return Some(doubted);
        }
        self.neighbour(now, self.turn % neighbour::SLOTS)
            .or_else(|| self.probe())
    }

    /// Composes the message that starts an exchange, or none while the budget
    /// is in debt. The bytes are charged.
    pub fn compose(
        &mut self,
        now: time::Mono,
        budget: &mut budget::Budget,
        to: &Partner,
    ) -> Option<msg::Exchange> {
        let limit = match self.early {
            true => self.share(now, budget).min(URGENT_SIZE),
            false => self.share(now, budget),
        };
        if limit < SMALLEST {
            return None;
        }
        let mut message = self.head(now, to.process.as_ref());
        if self.early {
            message.urgent = true;
            message.wanted = self.wants.keys().copied().take(ASKED).collect();
            self.ask_part(now, &mut message);
            let mut room = room::Room::new(limit, &message);
            self.add_news(now, &mut message, &mut room, to.process.as_ref());
            charge(now, budget, &message);
            return Some(message);
        }
        self.ask(now, &mut message);
        self.fill(now, &mut message, to.process.as_ref(), limit);
        charge(now, budget, &message);
        Some(message)
    }

    /// Merges the message that started an exchange and composes the answer.
    /// An answer is always given; in debt it holds only the stamp.
    pub fn answer(
        &mut self,
        now: time::Mono,
        budget: &mut budget::Budget,
        request: &msg::Exchange,
    ) -> (msg::Exchange, Applied) {
        let applied = self.merge(now, budget, request);
        let limit = self.answer_limit(now, budget, request);
        let to: Option<id::ProcessId> = request
            .sender
            .as_ref()
            .and_then(|stamp| stamp.process.parse().ok());
        let mut answer = self.head(now, to.as_ref());
        answer.urgent = request.urgent;
        let mut room = room::Room::new(limit, &answer);
        self.add_correction(now, &mut answer, &mut room, request);
        self.add_asked(now, &mut answer, &mut room, request);
        self.add_part(now, &mut answer, &mut room, request);
        self.add_repairs(now, &mut answer, &mut room, request);
        match request.urgent {
            true => self.add_news(now, &mut answer, &mut room, to.as_ref()),
            false => {
                let share = self.share(now, budget) / 2;
                let used = limit - room.left;
                self.fill(now, &mut answer, to.as_ref(), limit.max(used + share));
            }
        }
        charge(now, budget, &answer);
        (answer, applied)
    }

    /// Merges the answer to an exchange that this process started. The bytes
    /// are charged.
    pub fn apply(
        &mut self,
        now: time::Mono,
        budget: &mut budget::Budget,
        answer: &msg::Exchange,
    ) -> Applied {
        let applied = self.merge(now, budget, answer);
        self.differs = answer.digest != digest::whole(&digest::parts(&self.members));
        if self.parts.is_empty() && !self.differs {
            budget.settle();
        }
        if answer.parts == PARTS {
            self.parts.remove(&answer.part);
            self.keep_quiet(answer);
        }
        let known = u32::try_from(self.members.reporting()).unwrap_or(u32::MAX);
        if self.parts.is_empty() && answer.known > known + known / MISSING {
            self.parts = all_parts();
        }
        applied
    }

    /// Keeps members that came in a part from being passed on as news: only
    /// this process did not know them.
    fn keep_quiet(&mut self, answer: &msg::Exchange) {
        for record in &answer.members {
            if let Ok(process) = record.process.parse()
                && let Some(entry) = self.members.entry_mut(&process)
            {
                entry.news = 0;
                entry.pulses = 0;
            }
        }
    }

    fn merge(
        &mut self,
        now: time::Mono,
        budget: &mut budget::Budget,
        message: &msg::Exchange,
    ) -> Applied {
        charge(now, budget, message);
        let mut applied = Applied::default();
        for record in &message.members {
            match convert::member(record) {
                Ok(member) => self.apply_member(now, member, &mut applied),
                Err(_) => applied.invalid += 1,
            }
        }
        self.apply_loads(now, message, &mut applied);
        for entry in &message.suspects {
            if let Some(merged) = self.merge_suspect(now, entry.clone()) {
                applied.suspects.push(merged);
            }
        }
        self.apply_sender(now, message, &mut applied);
        if let Some(beats) = &message.heartbeats
            && !beat::merge(now, &mut self.members, beats)
        {
            applied.invalid += 1;
        }
        self.ask_back(message);
        applied
    }

    /// Makes the sender the next partner when its loads named members that are
    /// not known here: it has their records.
    fn ask_back(&mut self, message: &msg::Exchange) {
        let runs = message.loads.iter().flat_map(|loads| &loads.runs);
        let named = runs.into_iter().any(|run| self.wants.contains_key(run));
        let sender = message.sender.as_ref();
        let Some(process) = sender.and_then(|s| s.process.parse::<id::ProcessId>().ok()) else {
            return;
        };
        if named && self.parts.is_empty() && !self.urgent.contains(&process) {
            self.urgent.push_back(process);
        }
    }

    /// Notes that the exchange with a partner failed.
    pub fn failed(&mut self, now: time::Mono, to: &Partner, failure: member::Failure) {
        if let Some(process) = &to.process {
            self.members.failure(now, process, failure);
        }
    }

    fn report(&mut self, now: time::Mono) {
        self.reported = now;
        let pulse = now.since(self.pulsed) >= self.pulse();
        if pulse {
            self.pulsed = now;
            self.phase = PHASES;
        }
        let own = self.own;
        self.members
            .update(now, own.standing, own.version, own.load, own.cap, pulse);
    }

    /// Returns the time between two pulses of this process, which grows with
    /// the fleet so that the pulses of all members fit in the budget.
    fn pulse(&self) -> span::Span {
        let members = self.members.reporting() as u64;
        let micros = (PULSE_EACH.as_micros() * members).max(PULSE_LEAST.as_micros());
        span::Span::from_micros(micros / PHASES * self.phase)
    }

    /// Returns the bytes for one message of the usual exchange.
    fn share(&self, now: time::Mono, budget: &mut budget::Budget) -> i64 {
        let rate = i64::try_from(budget.rate().0).unwrap_or(i64::MAX);
        let micros = i64::try_from(INTERVAL.as_micros()).unwrap_or(i64::MAX);
        let even = rate * micros / 1_000_000 / MESSAGES * STEADY / 100;
        let overhead = i64::try_from(budget::OVERHEAD).unwrap_or(0);
        // A member that many others choose receives more than its share, and what
        // it receives can't be refused: its own messages become shorter instead.
        let available = budget.available(now);
        let burst = i64::try_from(budget.burst()).unwrap_or(i64::MAX);
        let usual = (available - burst + USUAL).clamp(0, USUAL / 2);
        let eased = even * usual / (USUAL / 2);
        eased.min(available) - overhead
    }

    /// Returns one of all members, another at each turn, so that the parts for a
    /// new process are taken from many budgets.
    fn anyone(&self) -> Option<Partner> {
        let own = &self.members.own().process;
        let candidates = self
            .members
            .entries()
            .filter(|entry| entry.present())
            .map(|entry| &entry.member.process)
            .filter(|process| *process != own);
        let process = neighbour::pick(hash::mix(self.key, self.turn), candidates)?;
        self.members.entry(process).map(partner)
    }

    /// Returns the bytes for an answer. Records that were asked for may take what
    /// the bucket holds above the reserve.
    fn answer_limit(
        &self,
        now: time::Mono,
        budget: &mut budget::Budget,
        request: &msg::Exchange,
    ) -> i64 {
        let share = match request.urgent {
            true => self.share(now, budget).min(URGENT_SIZE),
            false => self.share(now, budget),
        };
        let spare = budget.available(now) - RESERVE;
        if request.parts > 0 {
            return share.max(spare.min(LARGEST));
        }
        if !request.wanted.is_empty() {
            return share.max(spare.min(ASKED_SIZE));
        }
        share
    }

    fn neighbour(&self, now: time::Mono, slot: u64) -> Option<Partner> {
        let own = self.members.own();
        let grouped = slot.is_multiple_of(neighbour::GROUP_EVERY) && own.service.is_some();
        let salt = neighbour::salt(now, self.key, slot);
        let usable = |entry: &&member::Entry| {
            entry.state == member::State::Reported
                && entry.member.process != own.process
                && entry.standing(now, self.members.rules()) != member::Standing::Down
        };
        let among = |same: bool| {
            let candidates = self
                .members
                .entries()
                .filter(usable)
                .filter(|entry| !same || entry.member.service == own.service)
                .map(|entry| &entry.member.process);
            neighbour::pick(salt, candidates)
        };
        let process = grouped
            .then(|| among(true))
            .flatten()
            .or_else(|| among(false))?;
        self.members.entry(process).map(partner)
    }

    /// Returns one of the members without a sign of life for long, another at
    /// each turn, so that unreachable ones do not keep the others from being
    /// asked before they are removed.
    fn doubted(&self, now: time::Mono) -> Option<Partner> {
        let own = &self.members.own().process;
        let candidates = self
            .members
            .entries()
            .filter(|entry| entry.state == member::State::Reported)
            .filter(|entry| entry.quiet(now) >= DOUBTED)
            .map(|entry| &entry.member.process)
            .filter(|process| *process != own);
        let process = neighbour::pick(hash::mix(self.key, self.turn), candidates)?;
        self.members.entry(process).map(partner)
    }

    /// Returns a member that sends no reports, or a seed, in turn.
    fn probe(&self) -> Option<Partner> {
        let silent: Vec<Partner> = self
            .members
            .entries()
            .filter(|entry| matches!(entry.state, member::State::Lost(_) | member::State::Listed))
            .map(partner)
            .collect();
        let known = |address: &net::SocketAddr| {
            self.members
                .entries()
                .any(|entry| entry.present() && entry.member.address == *address)
        };
        let seeds = self
            .seeds
            .iter()
            .filter(|address| !known(address))
            .map(|address| Partner {
                process: None,
                address: *address,
            });
        let all: Vec<Partner> = silent.into_iter().chain(seeds).collect();
        let count = u64::try_from(all.len()).unwrap_or(u64::MAX);
        let nth = hash::mix(self.key, self.turn).checked_rem(count)?;
        all.into_iter().nth(usize::try_from(nth).unwrap_or(0))
    }

    /// Starts a message with the stamp and the own report.
    fn head(&mut self, now: time::Mono, to: Option<&id::ProcessId>) -> msg::Exchange {
        if now.since(self.reported) >= INTERVAL {
            self.report(now);
        }
        let own = self.members.own().clone();
        let mut message = msg::Exchange {
            sender: Some(convert::stamp_record(&own)),
            known: u32::try_from(self.members.reporting()).unwrap_or(u32::MAX),
            digest: digest::whole(&digest::parts(&self.members)),
            heartbeat: beat::Beat::at(now).number(),
            ..Default::default()
        };
        let entry = self.members.entry_mut(&own.process);
        let Some(entry) = entry else {
            return message;
        };
        let whole = entry.whole && entry.news > 0 || to.is_none();
        entry.news = entry.news.saturating_sub(1);
        if whole {
            message.members.push(convert::member_record(&own));
        } else {
            let run = member::run(&own.process, own.incarnation);
            let loads = message.loads.get_or_insert_default();
            pack::push(loads, run, &own.load(), own.version);
        }
        message
    }

    /// Asks for a part that was never asked for, or whose answer is overdue.
    fn ask_part(&mut self, now: time::Mono, message: &mut msg::Exchange) {
        let overdue = |asked: Option<time::Mono>| asked.is_none_or(|a| now.since(a) >= INTERVAL);
        let next = self.parts.iter_mut().find(|(_, asked)| overdue(**asked));
        if let Some((part, asked)) = next {
            *asked = Some(now);
            message.part = *part;
            message.parts = PARTS;
        }
    }

    /// Adds what this process wants to know.
    fn ask(&mut self, now: time::Mono, message: &mut msg::Exchange) {
        self.ask_part(now, message);
        if self.differs && message.parts == 0 {
            message.digests = digest::parts(&self.members);
        }
        let silence = self.members.rules().silence;
        self.wants.retain(|_, since| now.since(*since) < silence);
        message.wanted = self.wants.keys().copied().take(ASKED).collect();
        let mut old: Vec<(span::Span, u64)> = self
            .members
            .entries()
            .filter(|entry| entry.state == member::State::Reported)
            .filter(|entry| entry.member.process != self.members.own().process)
            .map(|entry| (entry.quiet(now), entry.run()))
            .filter(|(quiet, _)| *quiet >= OLD)
            .collect();
        old.sort_by(|a, b| b.cmp(a));
        message.stale = old.into_iter().map(|(_, run)| run).take(ASKED).collect();
    }

    /// Tells the receiver what the fleet knows of it, when that is a newer
    /// incarnation, or a leaving state that it does not state itself.
    fn add_correction(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        room: &mut room::Room,
        request: &msg::Exchange,
    ) {
        let Some(stamp) = request.sender.as_ref().and_then(|s| convert::stamp(s).ok()) else {
            return;
        };
        let Some(entry) = self.members.entry(&stamp.process) else {
            return;
        };
        let newer = entry.member.incarnation > stamp.incarnation;
        let accused = entry.member.incarnation == stamp.incarnation
            && entry.leaving
            && stamp.standing != member::Standing::Leaving;
        if newer {
            // The receiver does not know the run, so that it needs the record.
            room.member(message, &entry.relayed(now));
        } else if accused {
            room.load(message, &entry.relayed(now));
        }
    }

    /// Adds the records that the receiver asked for.
    fn add_asked(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        room: &mut room::Room,
        request: &msg::Exchange,
    ) {
        for run in &request.wanted {
            let Some(entry) = self.members.by_run(*run).filter(|e| alive(now, e)) else {
                continue;
            };
            room.member(message, &entry.introduced(now));
        }
        for run in &request.stale {
            let Some(entry) = self.members.by_run(*run) else {
                continue;
            };
            if entry.state == member::State::Reported && entry.age(now) < OLD {
                room.load(message, &entry.relayed(now));
            }
        }
    }

    /// Adds the part of all members that a new process asked for.
    fn add_part(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        room: &mut room::Room,
        request: &msg::Exchange,
    ) {
        let reporting = u32::try_from(self.members.reporting()).unwrap_or(u32::MAX);
        if request.parts == 0 || reporting < request.known {
            return;
        }
        let parts = u64::from(request.parts);
        let to = request.sender.as_ref().map_or("", |stamp| &stamp.process);
        let own = &self.members.own().process;
        let mut all: Vec<&member::Entry> = self
            .members
            .entries()
            .filter(|entry| alive(now, entry) && entry.member.process != *own)
            .filter(|entry| entry.member.process.as_str() != to)
            .collect();
        self.turn += 1;
        all.sort_by_key(|entry| hash::mix(self.turn, entry.key));
        // A process that can't afford the part still names others to ask.
        if room.left < REFERRED_SIZE {
            for entry in all.iter().take(REFERRED) {
                let record = convert::member_record(&entry.introduced(now));
                message.members.push(record);
            }
            return;
        }
        let mut whole = true;
        for entry in all {
            if entry.key % parts == u64::from(request.part) {
                whole &= room.member(message, &entry.introduced(now));
            }
        }
        if whole {
            message.part = request.part;
            message.parts = request.parts;
        }
    }

    /// Adds the loads of parts whose digests differ, so that the receiver finds
    /// the members that it does not know or holds in another state.
    fn add_repairs(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        room: &mut room::Room,
        request: &msg::Exchange,
    ) {
        let own = digest::parts(&self.members);
        if request.digests.len() != own.len() {
            return;
        }
        let mut different: Vec<u64> = (0..digest::PARTS)
            .zip(own.iter().zip(&request.digests))
            .filter(|(_, (own, other))| own != other)
            .map(|(part, _)| part)
            .collect();
        // Another order in each message, so that a part that can't be repaired
        // does not stop the others.
        different.sort_by_key(|part| hash::mix(self.turn, *part));
        different.truncate(REPAIRED);
        for entry in self.members.entries() {
            if different.contains(&digest::part(entry))
                && alive(now, entry)
                && !room.load(message, &entry.introduced(now))
            {
                return;
            }
        }
    }

    /// Fills a message with the most valuable records.
    fn fill(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        to: Option<&id::ProcessId>,
        limit: i64,
    ) {
        let mut room = room::Room::new(limit, message);
        self.add_news(now, message, &mut room, to);
        self.add_suspects(now, message, &mut room);
        self.add_beats(now, message, &mut room);
        self.add_group(now, message, &mut room, to);
        self.add_pulses(now, message, &mut room, to);
    }

    /// Adds the changes of state that this process learned last. They travel as
    /// load records: a receiver that does not know the run asks the sender for
    /// the member record, which therefore travels only where it is needed.
    fn add_news(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        room: &mut room::Room,
        to: Option<&id::ProcessId>,
    ) {
        let mut news: Vec<(time::Mono, id::ProcessId)> = self
            .members
            .entries()
            .filter(|entry| entry.news > 0 && fresh(now, entry))
            .filter(|entry| self.passes(entry, to))
            .map(|entry| (entry.changed, entry.member.process.clone()))
            .collect();
        news.sort_by(|a, b| b.cmp(a));
        // Half of the room is left for loads, or many changes at once would
        // stop the pulses and members would be removed.
        let floor = room.left / 2;
        for (_, process) in news {
            let Some(entry) = self.members.entry_mut(&process) else {
                continue;
            };
            if room.left <= floor || !room.load(message, &entry.relayed(now)) {
                return;
            }
            entry.news -= 1;
            entry.pulses = entry.pulses.saturating_sub(1);
        }
    }

    fn add_suspects(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        room: &mut room::Room,
    ) {
        self.suspects.retain(|_, suspicion| now < suspicion.until);
        for suspicion in self.suspects.values_mut() {
            if suspicion.left == 0 {
                continue;
            }
            let mut entry = suspicion.entry.clone();
            let remaining = suspicion.until.since(now).as_millis();
            entry.remaining = u32::try_from(remaining).unwrap_or(u32::MAX);
            if room.suspect(message, entry) {
                suspicion.left -= 1;
            }
        }
    }

    /// Adds signs of life in at most half of the room, before any load that is
    /// passed on repeatedly: the share of the group and of the pulses must not
    /// decide whether a member stays known.
    fn add_beats(&mut self, now: time::Mono, message: &mut msg::Exchange, room: &mut room::Room) {
        let limit = usize::try_from(room.left / 2).unwrap_or(0);
        self.beats += 1;
        let turn = hash::mix(self.key, self.beats);
        let Some(beats) = beat::write(now, &self.members, turn, limit) else {
            return;
        };
        if room.take(beats.encoded_len() + room::RECORD) {
            message.heartbeats = Some(beats);
        }
    }

    /// Adds the loads of the receiver's service group, the freshest first, in
    /// at most half of the room.
    fn add_group(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        room: &mut room::Room,
        to: Option<&id::ProcessId>,
    ) {
        let Some(service) = to
            .and_then(|to| self.members.entry(to))
            .and_then(|entry| entry.member.service.clone())
        else {
            return;
        };
        let mut group: Vec<(span::Span, &member::Entry)> = self
            .members
            .entries()
            .filter(|entry| entry.member.service.as_ref() == Some(&service))
            .filter(|entry| fresh(now, entry) && self.passes(entry, to))
            .map(|entry| (entry.age(now), entry))
            .collect();
        group.sort_by_key(|(age, _)| *age);
        let floor = room.left / 2;
        for (_, entry) in group {
            if room.left <= floor || !room.load(message, &entry.relayed(now)) {
                return;
            }
        }
    }

    /// Adds the pulses that this process learned last.
    fn add_pulses(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        room: &mut room::Room,
        to: Option<&id::ProcessId>,
    ) {
        let mut pulses: Vec<(time::Mono, id::ProcessId)> = self
            .members
            .entries()
            .filter(|entry| entry.pulses > 0 && fresh(now, entry))
            .filter(|entry| self.passes(entry, to))
            .map(|entry| (entry.pulsed, entry.member.process.clone()))
            .collect();
        pulses.sort_by(|a, b| b.cmp(a));
        for (_, process) in pulses {
            let Some(entry) = self.members.entry_mut(&process) else {
                continue;
            };
            if !room.load(message, &entry.relayed(now)) {
                return;
            }
            entry.pulses -= 1;
        }
    }

    /// Returns whether a record is worth sending: neither the sender's own,
    /// which every message has, nor the receiver's.
    fn passes(&self, entry: &member::Entry, to: Option<&id::ProcessId>) -> bool {
        let process = &entry.member.process;
        Some(process) != to && *process != self.members.own().process
    }

    fn apply_member(&mut self, now: time::Mono, member: member::Member, applied: &mut Applied) {
        let process = member.process.clone();
        let (incarnation, standing) = (member.incarnation, member.standing);
        let outcome = self.members.report(now, member);
        match outcome {
            member::Outcome::Own => self.apply_own(incarnation, standing, applied),
            member::Outcome::Changed => {
                self.fan = FAN;
                applied.changed.push(process.clone());
            }
            member::Outcome::Added | member::Outcome::Restarted => {
                applied.changed.push(process.clone());
            }
            _ => {}
        }
        self.wants.remove(&member::run(&process, incarnation));
    }

    fn apply_loads(&mut self, now: time::Mono, message: &msg::Exchange, applied: &mut Applied) {
        let Some(loads) = &message.loads else {
            return;
        };
        let version = message.sender.as_ref().map_or(0, |stamp| stamp.version);
        let Some(reports) = pack::read(loads, id::Version(version)) else {
            applied.invalid += loads.runs.len();
            return;
        };
        for report in reports {
            match report {
                Ok(packed) => self.apply_load(now, packed, applied),
                Err(_) => applied.invalid += 1,
            }
        }
    }

    fn apply_load(&mut self, now: time::Mono, packed: pack::Packed, applied: &mut Applied) {
        let run = packed.run;
        let Some(entry) = self.members.by_run(run) else {
            if !self.members.is_past(run) && packed.load.age < FRESH {
                self.wants.entry(run).or_insert(now);
            }
            return;
        };
        let process = entry.member.process.clone();
        let load = member::Load {
            process: member::key(&process),
            incarnation: entry.member.incarnation,
            ..packed.load
        };
        match self.members.load(now, load) {
            member::Outcome::Own => self.apply_own(load.incarnation, load.standing, applied),
            outcome @ (member::Outcome::Added | member::Outcome::Changed) => {
                if outcome == member::Outcome::Changed {
                    self.fan = FAN;
                }
                applied.changed.push(process);
            }
            _ => {}
        }
    }

    fn apply_own(
        &mut self,
        incarnation: id::Incarnation,
        standing: member::Standing,
        applied: &mut Applied,
    ) {
        let own = self.members.own();
        if incarnation > own.incarnation {
            applied.renumber = applied.renumber.max(Some(incarnation));
        }
        let leaving = own.standing == member::Standing::Leaving;
        if incarnation == own.incarnation && standing == member::Standing::Leaving && !leaving {
            applied.accused = true;
        }
    }

    fn apply_sender(&mut self, now: time::Mono, message: &msg::Exchange, applied: &mut Applied) {
        let Some(record) = &message.sender else {
            return;
        };
        let Ok(stamp) = convert::stamp(record) else {
            applied.invalid += 1;
            return;
        };
        if stamp.version > self.own.version {
            applied.newer = Some(stamp.version);
        }
        let outcome = self.stamp(now, &stamp);
        if let Some(beat) = beat::Beat::read(message.heartbeat) {
            let (process, incarnation) = (&stamp.process, stamp.incarnation);
            self.members.beat(now, process, incarnation, beat);
        }
        match outcome {
            member::Outcome::Changed => {
                self.fan = FAN;
                applied.changed.push(stamp.process);
            }
            member::Outcome::Own => self.apply_own(stamp.incarnation, stamp.standing, applied),
            _ => {}
        }
    }

    /// Merges a quarantine entry and returns it when that changed something.
    /// Crashes and excuses only add up, so the order does not matter.
    fn merge_suspect(&mut self, now: time::Mono, entry: msg::Suspect) -> Option<msg::Suspect> {
        let until = convert::until(now, entry.remaining);
        let Some(known) = self.suspects.get_mut(&entry.fingerprint) else {
            let left = SUSPECT_NEWS;
            let suspicion = Suspicion {
                entry: entry.clone(),
                until,
                left,
            };
            self.suspects.insert(entry.fingerprint, suspicion);
            return Some(entry);
        };
        let mut merged = known.entry.clone();
        if merged.service.is_empty() {
            merged.service = entry.service;
        }
        merged.excused = crash::latest(merged.excused.into_iter().chain(entry.excused));
        merged.crashes = crash::pending(
            merged.crashes.into_iter().chain(entry.crashes),
            &merged.excused,
        );
        known.until = known.until.max(until);
        if merged == known.entry {
            return None;
        }
        known.entry = merged;
        known.left = SUSPECT_NEWS;
        let mut entry = known.entry.clone();
        let remaining = known.until.since(now).as_millis();
        entry.remaining = u32::try_from(remaining).unwrap_or(u32::MAX);
        Some(entry)
    }
}

/// Returns whether a report may be passed on; one that is nearly as old as
/// the time of silence would only delay the removal.
fn fresh(now: time::Mono, entry: &member::Entry) -> bool {
    entry.state == member::State::Reported && entry.age(now) < FRESH
}

/// Returns whether a member may be introduced to a process that does not know
/// it.
fn alive(now: time::Mono, entry: &member::Entry) -> bool {
    entry.state == member::State::Reported && entry.quiet(now) < FRESH
}

/// Age up to which reports are passed on.
const FRESH: span::Span = span::Span::from_secs(50);

fn all_parts() -> BTreeMap<u32, Option<time::Mono>> {
    (0..PARTS).map(|part| (part, None)).collect()
}

fn partner(entry: &member::Entry) -> Partner {
    Partner {
        process: Some(entry.member.process.clone()),
        address: entry.member.address,
    }
}

fn charge(now: time::Mono, budget: &mut budget::Budget, message: &msg::Exchange) {
    let bytes = u64::try_from(message.encoded_len()).unwrap_or(u64::MAX);
    budget.charge(now, bytes + budget::OVERHEAD);
}
