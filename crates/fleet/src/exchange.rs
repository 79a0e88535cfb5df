//! Gossip of members and loads with a few neighbours.
//!
//! Once a second a process sends one message to one neighbour and receives an
//! answer. A message holds the most important records that fit in its share of
//! the byte budget, in this order: the records that the receiver requested,
//! changes of state, quarantine entries, heartbeats, which keep every member
//! known everywhere, the loads of the receiver's service group, and broadcasts,
//! which are load reports for all processes. A new version or a change of
//! standing starts short exchanges before the interval has passed.
//!
//! Lost records are recovered in three ways: a load of an unknown run makes the
//! receiver request the member record; a stale report is requested by its run;
//! and digests of the members show the parts in which two processes differ.
//!
//! See [the design page](../../../docs/design.md), section 2.7.

use std::{
    collections::{BTreeMap, VecDeque},
    net,
};

use base::{hash, id, span, time};
use prost::Message;
use wire::msg;

use crate::{budget, convert, crash, digest, heartbeat, member, neighbour, pack, rules, space};

/// Interval between two exchanges that a process starts.
pub const INTERVAL: span::Span = span::Span::from_secs(1);

/// Interval between two exchanges while urgent changes have not been sent often
/// enough.
pub const URGENT_INTERVAL: span::Span = span::Span::from_millis(100);

/// Number of exchanges that a process starts early for an urgent change.
/// Together with the exchanges that other processes start, 4 leave few
/// processes that learn of the change only at the regular interval.
const URGENT_FANOUT: u32 = 4;

/// Bytes that urgent messages leave in the budget for the regular exchange.
const URGENT_RESERVE: i64 = 2_000;

/// Maximum size of an urgent message, in bytes.
const MAX_URGENT_SIZE: i64 = 600;

/// Average number of messages of a process in one interval: one request and one
/// answer as the initiator, and the same as the responder.
const MESSAGES_PER_INTERVAL: i64 = 4;

/// Percentage of the rate that regular exchanges use. The rest keeps the bucket
/// filled for urgent changes and for new processes.
const REGULAR_PERCENT: i64 = 85;

/// Bytes of a full bucket that regular exchanges may use; the rest is reserved
/// for urgent changes and new processes. With a rate of 4,500 B/s a process
/// spends at most the required 5,000 B/s over 15 s.
const REGULAR_DEPTH: i64 = 7_500;

/// Minimum size limit, in bytes, below which no message is sent.
const MIN_MESSAGE_SIZE: i64 = 200;

/// Maximum size of a message, in bytes; it holds one part of the members for a
/// new process.
const MAX_MESSAGE_SIZE: i64 = 16_000;

/// Maximum number of keys in `wanted` and in `stale`, 8 bytes each.
const MAX_REQUESTED: usize = 16;

/// Maximum size of an answer with requested member records, in bytes.
const MAX_REQUESTED_SIZE: i64 = 2_500;

/// Time without a sign of life after which a process requests a fresher report
/// of the member from others.
const STALE_AGE: span::Span = span::Span::from_secs(35);

/// Time without a sign of life after which a process contacts the member
/// itself. The 20 s until its removal allow 10 attempts, one in every second
/// interval.
const CONTACT_SILENCE: span::Span = span::Span::from_secs(40);

/// Number of turns between two attempts to contact a silent member itself.
const CONTACT_EVERY: u64 = 2;

/// Number of turns between two attempts to contact a lost or merely listed
/// member or a seed, so that the two sides of a healed partition find each
/// other.
const PROBE_EVERY: u64 = 10;

/// Broadcast interval of a process per member of the fleet. A process receives
/// about 100 load records a second; with 30 ms it receives each broadcast three
/// times on average, and 1,110 members broadcast every 33 s.
const BROADCAST_PER_MEMBER: span::Span = span::Span::from_millis(30);

/// Number of steps into which the first broadcast interval is divided. Each
/// process waits for a different number of them, so that processes that start
/// together do not all broadcast together.
const PHASE_STEPS: u64 = 1000;

/// Minimum interval between two broadcasts of a process.
const MIN_BROADCAST_INTERVAL: span::Span = span::Span::from_secs(4);

/// Number of messages in which a process sends a new or changed quarantine
/// entry.
const SUSPECT_SENDS: u32 = 12;

/// Number of parts in which a new process learns the members, each from a
/// different peer. With 1,110 members a part is about 14 KB.
const JOIN_PARTS: u32 = 8;

/// Maximum number of differing parts whose loads one answer holds.
const MAX_REPAIRED: usize = 16;

/// Number of members that an answer names to a new process if the budget does
/// not allow a part, so that new processes do not keep asking the same seed.
const MAX_REFERRED: usize = 3;

/// Free space, in bytes, below which an answer names a few members instead of a
/// part.
const MIN_PART_SIZE: i64 = 500;

/// Interval between two exchanges of a process that is still learning the
/// members.
const JOIN_INTERVAL: span::Span = span::Span::from_millis(200);

/// A process requests all parts again if a partner knows more members by over
/// one in this many; smaller differences are found by digests.
const MISSING_SHARE: u32 = 8;

/// A member to exchange with, or a seed whose process is not known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Partner {
    /// Process expected at the address; `None` for a seed.
    pub process: Option<id::ProcessId>,
    /// Address to send to.
    pub address: net::SocketAddr,
}

/// Changes that result from a received message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// Members that were added or whose standing changed.
    pub changed: Vec<id::ProcessId>,
    /// New or changed quarantine entries.
    pub suspects: Vec<msg::Suspect>,
    /// The sender's configuration version, if it is higher than this process's.
    pub newer_version: Option<id::Version>,
    /// The incarnation that other processes know of this process, if it is
    /// higher than its own; this process must then take a higher one.
    pub higher_incarnation: Option<id::Incarnation>,
    /// Whether other processes consider this incarnation to be leaving although
    /// it is not.
    pub presumed_leaving: bool,
    /// Number of records that could not be decoded.
    pub invalid: usize,
}

#[derive(Clone, Debug)]
struct SuspectEntry {
    entry: msg::Suspect,
    until: time::Mono,
    sends_left: u32,
}

#[derive(Clone, Copy, Debug)]
struct OwnState {
    standing: member::Standing,
    version: id::Version,
    load: u32,
    cap: u32,
}

/// Decides when and with whom one process exchanges, composes its messages and
/// merges those of others.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Members that the exchange keeps up to date.
    pub members: member::Members,
    own: OwnState,
    reported_at: time::Mono,
    broadcast_at: time::Mono,
    broadcast_phase: u64,
    key: u64,
    seeds: Vec<net::SocketAddr>,
    turn: u64,
    /// When the last regular exchange was started.
    regular_started: time::Mono,
    /// When the last exchange of any kind was started.
    started: time::Mono,
    /// Whether the current exchange is sent early and holds only urgent
    /// changes.
    urgent_only: bool,
    /// Number of early exchanges still to be started for urgent changes.
    urgent_left: u32,
    urgent_partners: VecDeque<id::ProcessId>,
    /// Number of messages with heartbeats so far; selects the parts of the next
    /// one.
    heartbeat_messages: u64,
    unknown_runs: BTreeMap<u64, time::Mono>,
    suspects: BTreeMap<u64, SuspectEntry>,
    /// Parts of the members that have not arrived, and when each was last
    /// requested.
    parts: BTreeMap<u32, Option<time::Mono>>,
    /// Whether the digest in the last answer differed from the own one.
    digest_differs: bool,
}

impl Exchange {
    /// Creates an exchange that knows only this process. `seeds` are configured
    /// addresses of other processes; `seed` makes processes that start together
    /// choose different first peers.
    pub fn new(
        now: time::Mono,
        own: member::Member,
        rules: rules::Rules,
        seeds: Vec<net::SocketAddr>,
        seed: u64,
    ) -> Self {
        Self {
            own: OwnState {
                standing: own.standing,
                version: own.version,
                load: own.load,
                cap: own.cap,
            },
            reported_at: now,
            broadcast_at: now,
            broadcast_phase: hash::mix(seed, 1) % PHASE_STEPS,
            key: member::process_key(&own.process),
            members: member::Members::new(now, own, rules),
            regular_started: now,
            started: now,
            urgent_only: false,
            urgent_left: 0,
            seeds,
            turn: hash::mix(seed, 0) % (1 << 16) * PROBE_EVERY,
            urgent_partners: VecDeque::new(),
            heartbeat_messages: 0,
            unknown_runs: BTreeMap::new(),
            suspects: BTreeMap::new(),
            parts: all_parts(),
            digest_differs: false,
        }
    }

    /// Sets the state that this process reports about itself.
    pub fn update(
        &mut self,
        now: time::Mono,
        standing: member::Standing,
        version: id::Version,
        load: u32,
        cap: u32,
    ) {
        let urgent = standing != self.own.standing || version > self.own.version;
        self.own = OwnState {
            standing,
            version: version.max(self.own.version),
            load,
            cap,
        };
        if urgent {
            self.report(now);
            self.urgent_left = URGENT_FANOUT;
        } else {
            self.members.update_load(now, load, cap);
        }
    }

    /// Returns when the next exchange should start: after the regular interval,
    /// or earlier if there are urgent changes and the budget allows it.
    pub fn due(&self, now: time::Mono, budget: &mut budget::Budget) -> time::Mono {
        if self.joining(now, budget) {
            return (self.started + JOIN_INTERVAL).min(self.regular_started + INTERVAL);
        }
        let urgent = self.urgent_left > 0 || !self.urgent_partners.is_empty();
        if urgent && budget.available(now) > URGENT_RESERVE {
            return (self.started + URGENT_INTERVAL).min(self.regular_started + INTERVAL);
        }
        self.regular_started + INTERVAL
    }

    /// Applies the status of the sender of a reply. If the sender or its
    /// incarnation is not known, it becomes the next partner.
    pub fn apply_status(
        &mut self,
        now: time::Mono,
        status: &member::SenderStatus,
    ) -> member::Outcome {
        let outcome = self.members.apply_status(now, status);
        if outcome == member::Outcome::Unknown {
            let run = member::run_key(&status.process, status.incarnation);
            self.unknown_runs.insert(run, now);
            if !self.urgent_partners.contains(&status.process) {
                self.urgent_partners.push_back(status.process.clone());
            }
        }
        outcome
    }

    /// Returns whether parts are still missing and the join allowance is not
    /// used up.
    fn joining(&self, now: time::Mono, budget: &mut budget::Budget) -> bool {
        let burst = i64::try_from(budget::BURST).unwrap_or(i64::MAX);
        !self.parts.is_empty() && budget.available(now) > burst
    }

    /// Adds or changes a quarantine entry of this process. An entry that is known
    /// already is sent again, because all messages with it may have been lost.
    pub fn suspect(&mut self, now: time::Mono, entry: msg::Suspect) {
        let fingerprint = entry.fingerprint;
        self.merge_suspect(now, entry);
        if let Some(known) = self.suspects.get_mut(&fingerprint) {
            known.sends_left = SUSPECT_SENDS;
        }
    }

    /// Returns the quarantine entries that have not expired, by fingerprint.
    pub fn suspects(&self, now: time::Mono) -> Vec<msg::Suspect> {
        self.suspects
            .values()
            .filter(|suspect| now < suspect.until)
            .map(|suspect| {
                let mut entry = suspect.entry.clone();
                let remaining = suspect.until.since(now).as_millis();
                entry.remaining = u32::try_from(remaining).unwrap_or(u32::MAX);
                entry
            })
            .collect()
    }

    /// Starts an exchange and returns its partner, or `None` if no other
    /// process is known.
    pub fn next_partner(&mut self, now: time::Mono) -> Option<Partner> {
        self.urgent_only = now.since(self.regular_started) < INTERVAL;
        self.started = now;
        if !self.urgent_only {
            self.regular_started = now;
        }
        self.urgent_left = self.urgent_left.saturating_sub(1);
        while let Some(process) = self.urgent_partners.pop_front() {
            if let Some(entry) = self.members.entry(&process) {
                return Some(partner(entry));
            }
        }
        self.turn += 1;
        if !self.parts.is_empty() {
            return self.any_member().or_else(|| self.probe());
        }
        if self.turn.is_multiple_of(PROBE_EVERY)
            && let Some(probe) = self.probe()
        {
            return Some(probe);
        }
        if self.turn.is_multiple_of(CONTACT_EVERY)
            && let Some(member) = self.silent_member(now)
        {
            return Some(member);
        }
        self.neighbour(now, self.turn % neighbour::SLOTS)
            .or_else(|| self.probe())
    }

    /// Composes the message that starts an exchange and charges its bytes.
    /// Returns `None` if the budget does not allow a message.
    pub fn compose(
        &mut self,
        now: time::Mono,
        budget: &mut budget::Budget,
        to: &Partner,
    ) -> Option<msg::Exchange> {
        let limit = match self.urgent_only {
            true => self.share(now, budget).min(MAX_URGENT_SIZE),
            false => self.share(now, budget),
        };
        if limit < MIN_MESSAGE_SIZE {
            return None;
        }
        let mut message = self.start_message(now, to.process.as_ref());
        if self.urgent_only {
            message.urgent = true;
            message.wanted = self
                .unknown_runs
                .keys()
                .copied()
                .take(MAX_REQUESTED)
                .collect();
            self.request_part(now, &mut message);
            let mut space = space::Space::new(limit, &message);
            self.add_changes(now, &mut message, &mut space, to.process.as_ref());
            charge(now, budget, &message);
            return Some(message);
        }
        self.add_requests(now, &mut message);
        self.fill(now, &mut message, to.process.as_ref(), limit);
        charge(now, budget, &message);
        Some(message)
    }

    /// Merges the message that started an exchange and composes the answer.
    /// There is always an answer; while the budget is in debt it holds only the
    /// sender status and the own report.
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
            .and_then(|status| status.process.parse().ok());
        let mut answer = self.start_message(now, to.as_ref());
        answer.urgent = request.urgent;
        let mut space = space::Space::new(limit, &answer);
        self.add_correction(now, &mut answer, &mut space, request);
        self.add_requested(now, &mut answer, &mut space, request);
        self.add_part(now, &mut answer, &mut space, request);
        self.add_repairs(now, &mut answer, &mut space, request);
        match request.urgent {
            true => self.add_changes(now, &mut answer, &mut space, to.as_ref()),
            false => {
                let share = self.share(now, budget) / 2;
                let used = limit - space.remaining;
                self.fill(now, &mut answer, to.as_ref(), limit.max(used + share));
            }
        }
        charge(now, budget, &answer);
        (answer, applied)
    }

    /// Merges the answer to an exchange that this process started, and charges
    /// its bytes.
    pub fn apply(
        &mut self,
        now: time::Mono,
        budget: &mut budget::Budget,
        answer: &msg::Exchange,
    ) -> Applied {
        let applied = self.merge(now, budget, answer);
        self.digest_differs =
            answer.digest != digest::combined(&digest::part_digests(&self.members));
        if self.parts.is_empty() && !self.digest_differs {
            budget.end_join();
        }
        if answer.parts == JOIN_PARTS {
            self.parts.remove(&answer.part);
            self.suppress_relay(answer);
        }
        let known = u32::try_from(self.members.reporting()).unwrap_or(u32::MAX);
        if self.parts.is_empty() && answer.known > known + known / MISSING_SHARE {
            self.parts = all_parts();
        }
        applied
    }

    /// Stops the members of a received part from being relayed as changes: they
    /// were new only to this process.
    fn suppress_relay(&mut self, answer: &msg::Exchange) {
        for record in &answer.members {
            if let Ok(process) = record.process.parse()
                && let Some(entry) = self.members.entry_mut(&process)
            {
                entry.change_sends = 0;
                entry.broadcast_sends = 0;
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
        if let Some(heartbeats) = &message.heartbeats
            && !heartbeat::merge(now, &mut self.members, heartbeats)
        {
            applied.invalid += 1;
        }
        self.ask_sender(message);
        applied
    }

    /// Makes the sender the next partner if its loads named members that are
    /// not known here, because it has their records.
    fn ask_sender(&mut self, message: &msg::Exchange) {
        let runs = message.loads.iter().flat_map(|loads| &loads.runs);
        let named = runs
            .into_iter()
            .any(|run| self.unknown_runs.contains_key(run));
        let sender = message.sender.as_ref();
        let Some(process) = sender.and_then(|s| s.process.parse::<id::ProcessId>().ok()) else {
            return;
        };
        if named && self.parts.is_empty() && !self.urgent_partners.contains(&process) {
            self.urgent_partners.push_back(process);
        }
    }

    /// Records that the exchange with a partner failed.
    pub fn record_failure(&mut self, now: time::Mono, to: &Partner, failure: member::Failure) {
        if let Some(process) = &to.process {
            self.members.record_failure(now, process, failure);
        }
    }

    fn report(&mut self, now: time::Mono) {
        self.reported_at = now;
        let broadcast = now.since(self.broadcast_at) >= self.broadcast_interval();
        if broadcast {
            self.broadcast_at = now;
            self.broadcast_phase = PHASE_STEPS;
        }
        let own = self.own;
        self.members
            .update(now, own.standing, own.version, own.load, own.cap, broadcast);
    }

    /// Returns the interval between two broadcasts of this process. It grows
    /// with the fleet so that the broadcasts of all members fit in the budget.
    fn broadcast_interval(&self) -> span::Span {
        let members = self.members.reporting() as u64;
        let micros =
            (BROADCAST_PER_MEMBER.as_micros() * members).max(MIN_BROADCAST_INTERVAL.as_micros());
        span::Span::from_micros(micros / PHASE_STEPS * self.broadcast_phase)
    }

    /// Returns the size limit of one regular message, in bytes.
    fn share(&self, now: time::Mono, budget: &mut budget::Budget) -> i64 {
        let rate = i64::try_from(budget.rate().0).unwrap_or(i64::MAX);
        let micros = i64::try_from(INTERVAL.as_micros()).unwrap_or(i64::MAX);
        let full_share = rate * micros / 1_000_000 / MESSAGES_PER_INTERVAL * REGULAR_PERCENT / 100;
        let overhead = i64::try_from(budget::MESSAGE_OVERHEAD).unwrap_or(0);
        // A process that many others choose as their partner receives more than
        // its share and can't refuse it, so its own messages become shorter
        // instead.
        let available = budget.available(now);
        let burst = i64::try_from(budget.burst()).unwrap_or(i64::MAX);
        let depth = (available - burst + REGULAR_DEPTH).clamp(0, REGULAR_DEPTH / 2);
        let reduced = full_share * depth / (REGULAR_DEPTH / 2);
        reduced.min(available) - overhead
    }

    /// Returns one of all members, a different one in each turn, so that the
    /// parts for a new process are charged to the budgets of many members.
    fn any_member(&self) -> Option<Partner> {
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

    /// Returns the size limit of an answer, in bytes. Requested records may use
    /// all that the bucket holds above the urgent reserve.
    fn answer_limit(
        &self,
        now: time::Mono,
        budget: &mut budget::Budget,
        request: &msg::Exchange,
    ) -> i64 {
        let share = match request.urgent {
            true => self.share(now, budget).min(MAX_URGENT_SIZE),
            false => self.share(now, budget),
        };
        let spare = budget.available(now) - URGENT_RESERVE;
        if request.parts > 0 {
            return share.max(spare.min(MAX_MESSAGE_SIZE));
        }
        if !request.wanted.is_empty() {
            return share.max(spare.min(MAX_REQUESTED_SIZE));
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

    /// Returns one of the members without a recent sign of life, a different
    /// one in each turn, so that unreachable members do not keep the others
    /// from being contacted before they are removed.
    fn silent_member(&self, now: time::Mono) -> Option<Partner> {
        let own = &self.members.own().process;
        let candidates = self
            .members
            .entries()
            .filter(|entry| entry.state == member::State::Reported)
            .filter(|entry| entry.silence(now) >= CONTACT_SILENCE)
            .map(|entry| &entry.member.process)
            .filter(|process| *process != own);
        let process = neighbour::pick(hash::mix(self.key, self.turn), candidates)?;
        self.members.entry(process).map(partner)
    }

    /// Returns one of the members that send no reports or of the seeds, a
    /// different one in each turn.
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

    /// Creates a message with the sender status and the own report.
    fn start_message(&mut self, now: time::Mono, to: Option<&id::ProcessId>) -> msg::Exchange {
        if now.since(self.reported_at) >= INTERVAL {
            self.report(now);
        }
        let own = self.members.own().clone();
        let mut message = msg::Exchange {
            sender: Some(convert::sender_status_record(&own)),
            known: u32::try_from(self.members.reporting()).unwrap_or(u32::MAX),
            digest: digest::combined(&digest::part_digests(&self.members)),
            heartbeat: heartbeat::Heartbeat::at(now).number(),
            ..Default::default()
        };
        let entry = self.members.entry_mut(&own.process);
        let Some(entry) = entry else {
            return message;
        };
        let complete = entry.send_record && entry.change_sends > 0 || to.is_none();
        entry.change_sends = entry.change_sends.saturating_sub(1);
        if complete {
            message.members.push(convert::member_record(&own));
        } else {
            let run = member::run_key(&own.process, own.incarnation);
            let loads = message.loads.get_or_insert_default();
            pack::push(loads, run, &own.load(), own.version);
        }
        message
    }

    /// Requests a part that was not requested yet, or whose answer is overdue.
    fn request_part(&mut self, now: time::Mono, message: &mut msg::Exchange) {
        let overdue = |asked: Option<time::Mono>| asked.is_none_or(|a| now.since(a) >= INTERVAL);
        let next = self.parts.iter_mut().find(|(_, asked)| overdue(**asked));
        if let Some((part, asked)) = next {
            *asked = Some(now);
            message.part = *part;
            message.parts = JOIN_PARTS;
        }
    }

    /// Adds the requests of this process: a missing part, digests, unknown runs
    /// and stale reports.
    fn add_requests(&mut self, now: time::Mono, message: &mut msg::Exchange) {
        self.request_part(now, message);
        if self.digest_differs && message.parts == 0 {
            message.digests = digest::part_digests(&self.members);
        }
        let timeout = self.members.rules().removal_timeout;
        self.unknown_runs
            .retain(|_, since| now.since(*since) < timeout);
        message.wanted = self
            .unknown_runs
            .keys()
            .copied()
            .take(MAX_REQUESTED)
            .collect();
        let mut old: Vec<(span::Span, u64)> = self
            .members
            .entries()
            .filter(|entry| entry.state == member::State::Reported)
            .filter(|entry| entry.member.process != self.members.own().process)
            .map(|entry| (entry.silence(now), entry.run_key()))
            .filter(|(silence, _)| *silence >= STALE_AGE)
            .collect();
        old.sort_by(|a, b| b.cmp(a));
        message.stale = old
            .into_iter()
            .map(|(_, run)| run)
            .take(MAX_REQUESTED)
            .collect();
    }

    /// Adds the record or load that other processes know of the receiver, if it
    /// is of a newer incarnation or marks the receiver as leaving while its own
    /// status does not.
    fn add_correction(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        space: &mut space::Space,
        request: &msg::Exchange,
    ) {
        let Some(status) = request
            .sender
            .as_ref()
            .and_then(|s| convert::sender_status(s).ok())
        else {
            return;
        };
        let Some(entry) = self.members.entry(&status.process) else {
            return;
        };
        let newer_run = entry.member.incarnation > status.incarnation;
        let wrongly_leaving = entry.member.incarnation == status.incarnation
            && entry.leaving
            && status.standing != member::Standing::Leaving;
        if newer_run {
            // The receiver does not know the run, so it needs the whole record.
            space.add_member(message, &entry.relayed(now));
        } else if wrongly_leaving {
            space.add_load(message, &entry.relayed(now));
        }
    }

    /// Adds the records that the receiver requested.
    fn add_requested(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        space: &mut space::Space,
        request: &msg::Exchange,
    ) {
        for run in &request.wanted {
            let Some(entry) = self.members.by_run(*run).filter(|e| introducible(now, e)) else {
                continue;
            };
            space.add_member(message, &entry.introduced(now));
        }
        for run in &request.stale {
            let Some(entry) = self.members.by_run(*run) else {
                continue;
            };
            if entry.state == member::State::Reported && entry.age(now) < STALE_AGE {
                space.add_load(message, &entry.relayed(now));
            }
        }
    }

    /// Adds the part of the members that a new process requested.
    fn add_part(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        space: &mut space::Space,
        request: &msg::Exchange,
    ) {
        let reporting = u32::try_from(self.members.reporting()).unwrap_or(u32::MAX);
        if request.parts == 0 || reporting < request.known {
            return;
        }
        let parts = u64::from(request.parts);
        let to = request.sender.as_ref().map_or("", |status| &status.process);
        let own = &self.members.own().process;
        let mut all: Vec<&member::Entry> = self
            .members
            .entries()
            .filter(|entry| introducible(now, entry) && entry.member.process != *own)
            .filter(|entry| entry.member.process.as_str() != to)
            .collect();
        self.turn += 1;
        all.sort_by_key(|entry| hash::mix(self.turn, entry.key));
        // If the budget does not allow the part, the answer still names other
        // members to request it from.
        if space.remaining < MIN_PART_SIZE {
            for entry in all.iter().take(MAX_REFERRED) {
                let record = convert::member_record(&entry.introduced(now));
                message.members.push(record);
            }
            return;
        }
        let mut complete = true;
        for entry in all {
            if entry.key % parts == u64::from(request.part) {
                complete &= space.add_member(message, &entry.introduced(now));
            }
        }
        if complete {
            message.part = request.part;
            message.parts = request.parts;
        }
    }

    /// Adds the loads of the parts whose digests differ, so that the receiver
    /// learns of members that it does not know or holds in another state.
    fn add_repairs(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        space: &mut space::Space,
        request: &msg::Exchange,
    ) {
        let own = digest::part_digests(&self.members);
        if request.digests.len() != own.len() {
            return;
        }
        let mut different: Vec<u64> = (0..digest::PARTS)
            .zip(own.iter().zip(&request.digests))
            .filter(|(_, (own, other))| own != other)
            .map(|(part, _)| part)
            .collect();
        // The order differs in each message, so that a part that can't be
        // repaired does not block the others.
        different.sort_by_key(|part| hash::mix(self.turn, *part));
        different.truncate(MAX_REPAIRED);
        for entry in self.members.entries() {
            if different.contains(&digest::part(entry))
                && introducible(now, entry)
                && !space.add_load(message, &entry.introduced(now))
            {
                return;
            }
        }
    }

    /// Fills a message with records, the most important ones first.
    fn fill(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        to: Option<&id::ProcessId>,
        limit: i64,
    ) {
        let mut space = space::Space::new(limit, message);
        self.add_changes(now, message, &mut space, to);
        self.add_suspects(now, message, &mut space);
        self.add_heartbeats(now, message, &mut space);
        self.add_group(now, message, &mut space, to);
        self.add_broadcasts(now, message, &mut space, to);
    }

    /// Adds the latest changes of state that this process learned of. They are
    /// sent as load records: a receiver that does not know the run requests the
    /// member record from the sender, so whole records are sent only where they
    /// are needed.
    fn add_changes(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        space: &mut space::Space,
        to: Option<&id::ProcessId>,
    ) {
        let mut changes: Vec<(time::Mono, id::ProcessId)> = self
            .members
            .entries()
            .filter(|entry| entry.change_sends > 0 && relayable(now, entry))
            .filter(|entry| self.relevant(entry, to))
            .map(|entry| (entry.changed_at, entry.member.process.clone()))
            .collect();
        changes.sort_by(|a, b| b.cmp(a));
        // Half of the space is left for loads; otherwise many changes at once
        // would stop the broadcasts and members would be removed.
        let floor = space.remaining / 2;
        for (_, process) in changes {
            let Some(entry) = self.members.entry_mut(&process) else {
                continue;
            };
            if space.remaining <= floor || !space.add_load(message, &entry.relayed(now)) {
                return;
            }
            entry.change_sends -= 1;
            entry.broadcast_sends = entry.broadcast_sends.saturating_sub(1);
        }
    }

    fn add_suspects(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        space: &mut space::Space,
    ) {
        self.suspects.retain(|_, suspect| now < suspect.until);
        for suspect in self.suspects.values_mut() {
            if suspect.sends_left == 0 {
                continue;
            }
            let mut entry = suspect.entry.clone();
            let remaining = suspect.until.since(now).as_millis();
            entry.remaining = u32::try_from(remaining).unwrap_or(u32::MAX);
            if space.add_suspect(message, entry) {
                suspect.sends_left -= 1;
            }
        }
    }

    /// Adds heartbeats in at most half of the space, before any load that is
    /// relayed repeatedly: whether a member stays known must not depend on the
    /// space that the group and the broadcasts take.
    fn add_heartbeats(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        space: &mut space::Space,
    ) {
        let limit = usize::try_from(space.remaining / 2).unwrap_or(0);
        self.heartbeat_messages += 1;
        let turn = hash::mix(self.key, self.heartbeat_messages);
        let Some(heartbeats) = heartbeat::write(now, &self.members, turn, limit) else {
            return;
        };
        if space.reserve(heartbeats.encoded_len() + space::RECORD_OVERHEAD) {
            message.heartbeats = Some(heartbeats);
        }
    }

    /// Adds the loads of the receiver's service group, the youngest first, in
    /// at most half of the space.
    fn add_group(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        space: &mut space::Space,
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
            .filter(|entry| relayable(now, entry) && self.relevant(entry, to))
            .map(|entry| (entry.age(now), entry))
            .collect();
        group.sort_by_key(|(age, _)| *age);
        let floor = space.remaining / 2;
        for (_, entry) in group {
            if space.remaining <= floor || !space.add_load(message, &entry.relayed(now)) {
                return;
            }
        }
    }

    /// Adds the latest broadcasts that this process received.
    fn add_broadcasts(
        &mut self,
        now: time::Mono,
        message: &mut msg::Exchange,
        space: &mut space::Space,
        to: Option<&id::ProcessId>,
    ) {
        let mut broadcasts: Vec<(time::Mono, id::ProcessId)> = self
            .members
            .entries()
            .filter(|entry| entry.broadcast_sends > 0 && relayable(now, entry))
            .filter(|entry| self.relevant(entry, to))
            .map(|entry| (entry.broadcast_at, entry.member.process.clone()))
            .collect();
        broadcasts.sort_by(|a, b| b.cmp(a));
        for (_, process) in broadcasts {
            let Some(entry) = self.members.entry_mut(&process) else {
                continue;
            };
            if !space.add_load(message, &entry.relayed(now)) {
                return;
            }
            entry.broadcast_sends -= 1;
        }
    }

    /// Returns whether a record is of use to the receiver: the sender's own is
    /// in every message, and the receiver knows its own.
    fn relevant(&self, entry: &member::Entry, to: Option<&id::ProcessId>) -> bool {
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
                self.urgent_left = URGENT_FANOUT;
                applied.changed.push(process.clone());
            }
            member::Outcome::Added | member::Outcome::Restarted => {
                applied.changed.push(process.clone());
            }
            _ => {}
        }
        self.unknown_runs
            .remove(&member::run_key(&process, incarnation));
    }

    fn apply_loads(&mut self, now: time::Mono, message: &msg::Exchange, applied: &mut Applied) {
        let Some(loads) = &message.loads else {
            return;
        };
        let version = message.sender.as_ref().map_or(0, |status| status.version);
        let Some(reports) = pack::read(loads, id::Version(version)) else {
            applied.invalid += loads.runs.len();
            return;
        };
        for report in reports {
            match report {
                Ok(run_load) => self.apply_load(now, run_load, applied),
                Err(_) => applied.invalid += 1,
            }
        }
    }

    fn apply_load(&mut self, now: time::Mono, run_load: pack::RunLoad, applied: &mut Applied) {
        let run = run_load.run;
        let Some(entry) = self.members.by_run(run) else {
            if !self.members.is_replaced(run) && run_load.load.age < RELAY_MAX_AGE {
                self.unknown_runs.entry(run).or_insert(now);
            }
            return;
        };
        let process = entry.member.process.clone();
        let load = member::Load {
            process: member::process_key(&process),
            incarnation: entry.member.incarnation,
            ..run_load.load
        };
        match self.members.load(now, load) {
            member::Outcome::Own => self.apply_own(load.incarnation, load.standing, applied),
            outcome @ (member::Outcome::Added | member::Outcome::Changed) => {
                if outcome == member::Outcome::Changed {
                    self.urgent_left = URGENT_FANOUT;
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
            applied.higher_incarnation = applied.higher_incarnation.max(Some(incarnation));
        }
        let leaving = own.standing == member::Standing::Leaving;
        if incarnation == own.incarnation && standing == member::Standing::Leaving && !leaving {
            applied.presumed_leaving = true;
        }
    }

    fn apply_sender(&mut self, now: time::Mono, message: &msg::Exchange, applied: &mut Applied) {
        let Some(record) = &message.sender else {
            return;
        };
        let Ok(status) = convert::sender_status(record) else {
            applied.invalid += 1;
            return;
        };
        if status.version > self.own.version {
            applied.newer_version = Some(status.version);
        }
        let outcome = self.apply_status(now, &status);
        if let Some(heartbeat) = heartbeat::Heartbeat::read(message.heartbeat) {
            let (process, incarnation) = (&status.process, status.incarnation);
            self.members
                .apply_heartbeat(now, process, incarnation, heartbeat);
        }
        match outcome {
            member::Outcome::Changed => {
                self.urgent_left = URGENT_FANOUT;
                applied.changed.push(status.process);
            }
            member::Outcome::Own => self.apply_own(status.incarnation, status.standing, applied),
            _ => {}
        }
    }

    /// Merges a quarantine entry and returns the result if it changed. Crashes
    /// and excused crashes are only ever added, so the order of messages does
    /// not matter.
    fn merge_suspect(&mut self, now: time::Mono, entry: msg::Suspect) -> Option<msg::Suspect> {
        let until = convert::until(now, entry.remaining);
        let Some(known) = self.suspects.get_mut(&entry.fingerprint) else {
            let sends_left = SUSPECT_SENDS;
            let suspect = SuspectEntry {
                entry: entry.clone(),
                until,
                sends_left,
            };
            self.suspects.insert(entry.fingerprint, suspect);
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
        known.sends_left = SUSPECT_SENDS;
        let mut entry = known.entry.clone();
        let remaining = known.until.since(now).as_millis();
        entry.remaining = u32::try_from(remaining).unwrap_or(u32::MAX);
        Some(entry)
    }
}

/// Returns whether a report may be relayed; one that is nearly as old as the
/// removal timeout would only delay the removal.
fn relayable(now: time::Mono, entry: &member::Entry) -> bool {
    entry.state == member::State::Reported && entry.age(now) < RELAY_MAX_AGE
}

/// Returns whether a member may be sent to a process that does not know it.
fn introducible(now: time::Mono, entry: &member::Entry) -> bool {
    entry.state == member::State::Reported && entry.silence(now) < RELAY_MAX_AGE
}

/// Age or silence below which reports are relayed.
const RELAY_MAX_AGE: span::Span = span::Span::from_secs(50);

fn all_parts() -> BTreeMap<u32, Option<time::Mono>> {
    (0..JOIN_PARTS).map(|part| (part, None)).collect()
}

fn partner(entry: &member::Entry) -> Partner {
    Partner {
        process: Some(entry.member.process.clone()),
        address: entry.member.address,
    }
}

fn charge(now: time::Mono, budget: &mut budget::Budget, message: &msg::Exchange) {
    let bytes = u64::try_from(message.encoded_len()).unwrap_or(u64::MAX);
    budget.charge(now, bytes + budget::MESSAGE_OVERHEAD);
}
