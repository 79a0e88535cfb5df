//! The members of the fleet as one process knows them.
//!
//! Three sources change an entry, each in its own way: the member's reports
//! (relayed or direct), the instance list, and this process's own experience
//! with the member. Reports merge as a maximum over (incarnation, sequence),
//! with `leaving` as a flag that is only ever set within an incarnation, so
//! that loss, delay, repetition and order of messages do not matter. Clocks of
//! other processes are never compared: a report carries its age, which is the
//! sum of the times that processes held it.
//!
//! See [the design page](../../../docs/design.md), section 2.7.

use std::{
    cmp,
    collections::{BTreeMap, BTreeSet},
    net,
};

use base::{hash, id, span, time};

use crate::{beat, rules};

/// The two roles of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Accepts callers.
    Router,
    /// Stands beside one target.
    Agent,
}

/// Whether a member takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// Known from the instance list alone.
    Listed,
    /// Joined lately, or flapping.
    Warming,
    /// Takes new work.
    Up,
    /// Takes no new work and finishes what it has.
    Leaving,
    /// Its target does not answer, or this process can't reach it.
    Down,
}

/// A member's report about itself.
///
/// Role, address, data centre, service, target and weight are the same in all
/// reports of one incarnation; a process that changes them must restart.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Process id; stays the same over restarts.
    pub process: id::ProcessId,
    /// Run of the process.
    pub incarnation: id::Incarnation,
    /// Orders the reports of a run.
    pub sequence: id::Sequence,
    /// Router or agent.
    pub role: Role,
    /// Address for other processes.
    pub address: net::SocketAddr,
    /// Data centre.
    pub centre: id::DataCentre,
    /// Service of an agent's target.
    pub service: Option<id::ServiceId>,
    /// An agent's target.
    pub target: Option<id::TargetId>,
    /// Capacity of the target relative to others, in hundredths.
    pub weight: u32,
    /// Whether it takes new work.
    pub standing: Standing,
    /// Configuration version in use.
    pub version: id::Version,
    /// Outstanding requests.
    pub load: u32,
    /// Outstanding requests that the bound allows.
    pub cap: u32,
    /// Age of the report when it arrived; zero when it came from its source.
    pub age: span::Span,
}

/// The part of a report that changes often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Key of the process, see [`key`].
    pub process: u64,
    /// Run of the process.
    pub incarnation: id::Incarnation,
    /// Orders the reports of a run.
    pub sequence: id::Sequence,
    /// Whether it takes new work.
    pub standing: Standing,
    /// Configuration version in use.
    pub version: id::Version,
    /// Outstanding requests.
    pub load: u32,
    /// Outstanding requests that the bound allows.
    pub cap: u32,
    /// Age of the report when it arrived.
    pub age: span::Span,
}

/// What a reply tells about its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// The sender.
    pub process: id::ProcessId,
    /// Run of the sender.
    pub incarnation: id::Incarnation,
    /// Whether it takes new work.
    pub standing: Standing,
    /// Configuration version in use.
    pub version: id::Version,
    /// Outstanding requests.
    pub load: u32,
    /// Outstanding requests that the bound allows.
    pub cap: u32,
    /// Orders this statement among the sender's reports; 0 when it has no
    /// place among them, and then it is used here and never passed on.
    pub sequence: id::Sequence,
    /// Requests in `load` that wait at the agent.
    pub waiting: u32,
}

/// One instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Process that runs beside or on the instance.
    pub process: id::ProcessId,
    /// Router or agent.
    pub role: Role,
    /// Address for other processes.
    pub address: net::SocketAddr,
    /// Data centre.
    pub centre: id::DataCentre,
    /// Service of an agent's target.
    pub service: Option<id::ServiceId>,
    /// Whether the platform is taking the instance away.
    pub leaving: bool,
}

/// One answer of the instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Instances {
    /// Orders the answers.
    pub revision: u64,
    /// All instances at that revision.
    pub instances: Vec<Instance>,
}

/// How this process failed to reach a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection was refused, or another process answered there.
    Refused,
    /// Any other failure, such as a timeout.
    Other,
}

/// What a report did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The member was not known, or had been removed.
    Added,
    /// A newer incarnation replaced an older one.
    Restarted,
    /// The member's standing changed.
    Changed,
    /// Only load, version or age changed.
    Refreshed,
    /// The report is not newer than what is known.
    Stale,
    /// The load concerns a member, or an incarnation, that is not known.
    Unknown,
    /// The report is about this process itself.
    Own,
}

/// Why a member has no place in the snapshots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum State {
    /// Known from the instance list alone.
    Listed,
    /// Reports arrive.
    Reported,
    /// No report arrived for the time of silence.
    Lost(time::Mono),
    /// The instance list no longer has it.
    Removed(time::Mono),
}

/// What one process knows about one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Entry {
    pub(crate) member: Member,
    /// Key of the process.
    pub(crate) key: u64,
    pub(crate) state: State,
    /// Set by a report or by the instance list; final for the incarnation.
    pub(crate) leaving: bool,
    /// When the last report arrived here; its age then is in `member.age`.
    pub(crate) heard: time::Mono,
    /// What the instance list says: whether it is leaving.
    listed: Option<bool>,
    /// Load and cap of the last stamp, which have no sequence.
    seen: Option<Seen>,
    failures: u32,
    demoted: Option<time::Mono>,
    starts: Vec<time::Mono>,
    /// When this process learned of the last change of state.
    pub(crate) changed: time::Mono,
    /// Messages that shall still carry the last change.
    pub(crate) news: u32,
    /// Whether the last change was a start; the process itself then sends its
    /// whole record.
    pub(crate) whole: bool,
    /// When this process learned of the present pulse.
    pub(crate) pulsed: time::Mono,
    /// Messages that shall still carry the present pulse.
    pub(crate) pulses: u32,
    /// The newest beat of this run.
    pub(crate) beat: Option<beat::Beat>,
    /// When a beat of this run advanced here.
    alive: Option<time::Mono>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Seen {
    at: time::Mono,
    load: u32,
    cap: u32,
}

/// One member in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The last report, with the newest load that this process knows.
    pub member: Member,
    /// Standing as this process sees it.
    pub standing: Standing,
    /// Time since the load was true at its source, without transit.
    pub age: span::Span,
}

/// One peer of a service group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The peer.
    pub process: id::ProcessId,
    /// Standing as this process sees it.
    pub standing: Standing,
    /// Outstanding requests.
    pub load: u32,
    /// Outstanding requests that its bound allows.
    pub cap: u32,
    /// Time since the load was true at its source, without transit.
    pub age: span::Span,
}

/// Messages that carry a change of state on from one process; about e^-8 of
/// the processes miss it and learn of it with the next pulse. A record has about
/// seven times the size of a load report, so that others pass on only the load,
/// and a process that does not know the run asks for the record.
const NEWS: u32 = 8;

/// Messages that carry a pulse on from one process.
const PULSES: u32 = 4;

/// Sequences of one pulse. Only the first report of a pulse that a process
/// learns is worth passing on outside the service group; when to begin the next
/// pulse is the choice of the source.
const PULSE: u64 = 256;

/// Sequences between two reports, for the loads that stamps tell meanwhile. An
/// agent's load changes up to a few hundred times a second.
const STEPS: u64 = 1024;

/// Most starts that are remembered for flapping.
const STARTS: usize = 8;

/// Returns the key of a process in load records.
pub fn key(process: &id::ProcessId) -> u64 {
    hash::bytes(process.as_str().as_bytes())
}

/// Returns the key of one run of a process.
pub fn run(process: &id::ProcessId, incarnation: id::Incarnation) -> u64 {
    hash::mix(key(process), incarnation.0)
}

fn pulse(sequence: id::Sequence) -> u64 {
    sequence.0 / (PULSE * STEPS)
}

impl Member {
    pub(crate) fn load(&self) -> Load {
        Load {
            process: key(&self.process),
            incarnation: self.incarnation,
            sequence: self.sequence,
            standing: self.standing,
            version: self.version,
            load: self.load,
            cap: self.cap,
            age: self.age,
        }
    }
}

impl Entry {
    fn new(now: time::Mono, member: Member, state: State) -> Self {
        Self {
            leaving: member.standing == Standing::Leaving,
            key: key(&member.process),
            member,
            state,
            heard: now,
            listed: None,
            seen: None,
            failures: 0,
            demoted: None,
            starts: Vec::new(),
            changed: now,
            news: 0,
            whole: false,
            pulsed: now,
            pulses: 0,
            beat: None,
            alive: None,
        }
    }

    /// Returns whether the member has a place in the snapshots.
    pub(crate) fn present(&self) -> bool {
        matches!(self.state, State::Listed | State::Reported)
    }

    /// Returns the key of the present run.
    pub(crate) fn run(&self) -> u64 {
        hash::mix(self.key, self.member.incarnation.0)
    }

    /// Returns the age of the last report.
    pub(crate) fn age(&self, now: time::Mono) -> span::Span {
        add(now.since(self.heard), self.member.age)
    }

    /// Returns the time since the last sign of life: a report, a stamp or an
    /// advanced beat.
    pub(crate) fn quiet(&self, now: time::Mono) -> span::Span {
        let seen = self.seen.map(|seen| seen.at);
        let signs = seen.into_iter().chain(self.alive);
        let since = signs.map(|at| now.since(at));
        since.fold(self.age(now), span::Span::min)
    }

    /// Returns the last report for a process that does not know this run. A load
    /// that is older than the last sign of life passes as young as that sign, or
    /// the receiver would take the member for silent.
    pub(crate) fn introduced(&self, now: time::Mono) -> Member {
        let mut member = self.relayed(now);
        member.age = self.quiet(now);
        member
    }

    /// Takes over a beat of the present run when it is newer. The first one only
    /// sets where to count from, because it may have been on its way for long.
    fn beat_on(&mut self, now: time::Mono, beat: beat::Beat) {
        match self.beat {
            Some(known) if !beat.follows(known) => return,
            Some(_) => self.alive = Some(now),
            None => {}
        }
        self.beat = Some(beat);
    }

    /// Returns the last report as it is passed on now.
    pub(crate) fn relayed(&self, now: time::Mono) -> Member {
        let mut member = self.member.clone();
        member.age = self.age(now);
        if self.leaving {
            member.standing = Standing::Leaving;
        }
        member
    }

    /// Returns the standing as this process sees it.
    pub(crate) fn standing(&self, now: time::Mono, rules: &rules::Rules) -> Standing {
        if self.leaving || self.listed == Some(true) {
            return Standing::Leaving;
        }
        if self.demoted.is_some_and(|until| now < until) {
            return Standing::Down;
        }
        if self.state == State::Listed {
            return Standing::Listed;
        }
        match self.member.standing {
            Standing::Up if self.flapping(now, rules) => Standing::Warming,
            standing => standing,
        }
    }

    fn flapping(&self, now: time::Mono, rules: &rules::Rules) -> bool {
        let recent = self
            .starts
            .iter()
            .filter(|start| now.since(**start) < rules.flap_window)
            .count();
        let last = self.starts.last().copied().unwrap_or_default();
        recent >= rules.flap_starts && now.since(last) < rules.settle
    }

    fn started(&mut self, now: time::Mono) {
        if self.starts.len() == STARTS {
            self.starts.remove(0);
        }
        self.starts.push(now);
    }

    /// Notes a change that other processes should learn.
    fn tell(&mut self, now: time::Mono, whole: bool) {
        self.changed = now;
        self.news = NEWS;
        self.whole = whole;
    }

    fn pulse(&mut self, now: time::Mono) {
        self.pulsed = now;
        self.pulses = PULSES;
    }

    /// Takes over a report of a newer incarnation.
    fn restart(&mut self, now: time::Mono, member: Member) {
        self.leaving = member.standing == Standing::Leaving;
        self.member = member;
        self.state = State::Reported;
        self.heard = now;
        self.seen = None;
        self.beat = None;
        self.alive = None;
        self.failures = 0;
        self.demoted = None;
        self.whole = false;
        self.started(now);
        self.tell(now, true);
        self.pulse(now);
    }

    /// Takes over a newer report of the same incarnation.
    fn advance(&mut self, now: time::Mono, load: Load) -> Outcome {
        let before = self.member.standing;
        let returned = !self.present();
        if pulse(load.sequence) > pulse(self.member.sequence) {
            self.pulse(now);
        }
        self.member.sequence = load.sequence;
        self.member.standing = load.standing;
        self.member.version = self.member.version.max(load.version);
        self.member.load = load.load;
        self.member.cap = load.cap;
        self.member.age = load.age;
        self.heard = now;
        self.state = State::Reported;
        if before == Standing::Down && load.standing != Standing::Down {
            self.started(now);
        }
        if returned {
            // The counter may have gone round since.
            self.beat = None;
            self.alive = None;
            self.tell(now, false);
            return Outcome::Added;
        }
        if before != load.standing && !self.leaving {
            self.tell(now, false);
            return Outcome::Changed;
        }
        Outcome::Refreshed
    }

    /// Marks the incarnation as leaving; returns whether that is new.
    fn leave(&mut self, now: time::Mono) -> bool {
        if self.leaving {
            return false;
        }
        self.leaving = true;
        self.tell(now, false);
        true
    }

    /// Merges a report of the incarnation that is known.
    fn merge(&mut self, now: time::Mono, load: Load, rules: &rules::Rules) -> Outcome {
        let left = load.standing == Standing::Leaving && self.leave(now);
        self.member.version = self.member.version.max(load.version);
        if load.sequence <= self.member.sequence || load.age >= rules.silence {
            return if left {
                Outcome::Changed
            } else {
                Outcome::Stale
            };
        }
        match self.advance(now, load) {
            Outcome::Refreshed if left => Outcome::Changed,
            outcome => outcome,
        }
    }
}

/// The members of the fleet as one process knows them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Members {
    own: id::ProcessId,
    rules: rules::Rules,
    entries: BTreeMap<id::ProcessId, Entry>,
    keys: BTreeMap<u64, id::ProcessId>,
    runs: BTreeMap<u64, id::ProcessId>,
    /// Runs that were replaced, which nobody needs to ask for.
    past: BTreeMap<u64, time::Mono>,
    /// Revision of the last instance list and when it arrived.
    listing: Option<(u64, time::Mono)>,
}

impl Members {
    /// Starts with this process as the only member.
    pub fn new(now: time::Mono, own: Member, rules: rules::Rules) -> Self {
        let process = own.process.clone();
        let mut members = Self {
            own: process.clone(),
            rules,
            entries: BTreeMap::new(),
            keys: BTreeMap::new(),
            runs: BTreeMap::new(),
            past: BTreeMap::new(),
            listing: None,
        };
        let mut entry = Entry::new(now, own, State::Reported);
        entry.tell(now, true);
        members.insert(process, entry);
        members
    }

    /// Returns this process's own report.
    pub fn own(&self) -> &Member {
        &self.entry_own().member
    }

    /// Returns the rules in force.
    pub fn rules(&self) -> &rules::Rules {
        &self.rules
    }

    /// Changes this process's own report and gives it the next sequence, or
    /// the first one of the next pulse.
    ///
    /// Leaving is final: a later standing is ignored until the process has a
    /// new incarnation. The version never decreases.
    pub fn update(
        &mut self,
        now: time::Mono,
        standing: Standing,
        version: id::Version,
        load: u32,
        cap: u32,
        pulse: bool,
    ) {
        let leaving = self.entry_own().leaving;
        let own = self.own.clone();
        let Some(entry) = self.entries.get_mut(&own) else {
            return;
        };
        if standing == Standing::Leaving {
            entry.leave(now);
        }
        let standing = if leaving { Standing::Leaving } else { standing };
        let report = entry.member.sequence.0 / STEPS;
        let next = match pulse {
            true => (report / PULSE + 1) * PULSE,
            false => report + 1,
        };
        let sequence = id::Sequence(next * STEPS);
        let load = Load {
            sequence,
            standing,
            version,
            load,
            cap,
            age: span::Span::ZERO,
            ..entry.member.load()
        };
        entry.advance(now, load);
    }

    /// Changes the load in this process's own report between two reports, for
    /// its stamps; the exchange does not pass it on sooner.
    pub fn restate(&mut self, now: time::Mono, load: u32, cap: u32) {
        let own = self.own.clone();
        let Some(entry) = self.entries.get_mut(&own) else {
            return;
        };
        let next = entry.member.sequence.next();
        if entry.member.load == load || next.0.is_multiple_of(STEPS) {
            return;
        }
        entry.member.sequence = next;
        entry.member.load = load;
        entry.member.cap = cap;
        entry.heard = now;
    }

    /// Moves this process to a newer incarnation, for example after
    /// [`Outcome::Own`] showed that the fleet remembers a higher one.
    pub fn renumber(&mut self, now: time::Mono, incarnation: id::Incarnation) {
        let own = self.own.clone();
        let Some(entry) = self.entries.get_mut(&own) else {
            return;
        };
        if incarnation > entry.member.incarnation {
            let mut member = entry.member.clone();
            member.incarnation = incarnation;
            member.sequence = id::Sequence(1);
            let before = entry.member.incarnation;
            entry.restart(now, member);
            self.replace_run(now, &own, before);
        }
    }

    /// Merges a report, relayed or from the member itself.
    pub fn report(&mut self, now: time::Mono, member: Member) -> Outcome {
        if member.process == self.own {
            return Outcome::Own;
        }
        if member.incarnation.0 == 0 {
            return Outcome::Stale;
        }
        let process = member.process.clone();
        let outcome = match self.entries.get_mut(&process) {
            None if member.age >= self.rules.silence => Outcome::Stale,
            None => {
                let mut entry = Entry::new(now, member, State::Reported);
                entry.started(now);
                entry.tell(now, true);
                entry.pulse(now);
                self.insert(process.clone(), entry);
                Outcome::Added
            }
            Some(entry) => match member.incarnation.cmp(&entry.member.incarnation) {
                cmp::Ordering::Less => Outcome::Stale,
                cmp::Ordering::Equal => entry.merge(now, member.load(), &self.rules),
                cmp::Ordering::Greater if member.age >= self.rules.silence => Outcome::Stale,
                cmp::Ordering::Greater => {
                    let known = entry.member.incarnation.0 > 0 && entry.present();
                    let before = entry.member.incarnation;
                    entry.restart(now, member);
                    self.replace_run(now, &process, before);
                    if known {
                        Outcome::Restarted
                    } else {
                        Outcome::Added
                    }
                }
            },
        };
        if matches!(outcome, Outcome::Added | Outcome::Restarted) {
            self.displace(now, &process);
        }
        outcome
    }

    /// Merges a load report.
    pub fn load(&mut self, now: time::Mono, load: Load) -> Outcome {
        let Some(process) = self.keys.get(&load.process).cloned() else {
            return Outcome::Unknown;
        };
        if process == self.own {
            return Outcome::Own;
        }
        let Some(entry) = self.entries.get_mut(&process) else {
            return Outcome::Unknown;
        };
        let outcome = match load.incarnation.cmp(&entry.member.incarnation) {
            cmp::Ordering::Less => Outcome::Stale,
            cmp::Ordering::Equal => entry.merge(now, load, &self.rules),
            cmp::Ordering::Greater => Outcome::Unknown,
        };
        if outcome == Outcome::Added {
            self.displace(now, &process);
        }
        outcome
    }

    /// Takes over what a reply says about its sender.
    ///
    /// Replies of several streams may overtake each other, so a stamp without a
    /// sequence sets only what can't do harm when it is late: leaving and the
    /// version, which never go back, and the load, which the next stamp or
    /// report replaces. One with a sequence is also a report.
    pub fn stamp(&mut self, now: time::Mono, stamp: &Stamp) -> Outcome {
        if stamp.process == self.own {
            return Outcome::Own;
        }
        let Some(entry) = self.entries.get_mut(&stamp.process) else {
            return Outcome::Unknown;
        };
        if stamp.incarnation < entry.member.incarnation {
            return Outcome::Stale;
        }
        if stamp.incarnation > entry.member.incarnation {
            return Outcome::Unknown;
        }
        entry.failures = 0;
        entry.demoted = None;
        entry.seen = Some(Seen {
            at: now,
            load: stamp.load,
            cap: stamp.cap,
        });
        entry.member.version = entry.member.version.max(stamp.version);
        if stamp.standing == Standing::Leaving && entry.leave(now) {
            return Outcome::Changed;
        }
        if stamp.sequence.0 > 0 && entry.state == State::Reported {
            let load = Load {
                sequence: stamp.sequence,
                standing: stamp.standing,
                version: stamp.version,
                load: stamp.load.saturating_sub(stamp.waiting),
                cap: stamp.cap,
                age: span::Span::ZERO,
                ..entry.member.load()
            };
            return match entry.merge(now, load, &self.rules) {
                Outcome::Changed => Outcome::Changed,
                _ => Outcome::Refreshed,
            };
        }
        Outcome::Refreshed
    }

    /// Takes over a beat of a run of a member that reports; other runs and other
    /// members are left as they are.
    pub(crate) fn beat(
        &mut self,
        now: time::Mono,
        process: &id::ProcessId,
        incarnation: id::Incarnation,
        beat: beat::Beat,
    ) {
        if *process == self.own {
            return;
        }
        if let Some(entry) = self.entries.get_mut(process)
            && entry.state == State::Reported
            && entry.member.incarnation == incarnation
        {
            entry.beat_on(now, beat);
        }
    }

    /// Takes over an answer of the instance list; returns the members that
    /// were added, marked as leaving or removed.
    ///
    /// Answers may arrive late: one with an older revision is ignored, unless
    /// no other was accepted for the time of silence, because the list may
    /// have been rebuilt. A list without more than half of the instances that
    /// it had is taken as a fault of the list: it adds and marks, but removes
    /// nothing, and members that are really gone fall silent.
    pub fn list(&mut self, now: time::Mono, list: &Instances) -> Vec<id::ProcessId> {
        if let Some((revision, at)) = self.listing
            && list.revision < revision
            && now.since(at) < self.rules.silence
        {
            return Vec::new();
        }
        self.listing = Some((list.revision, now));
        let mut changed = Vec::new();
        for instance in &list.instances {
            if self.list_one(now, instance) {
                changed.push(instance.process.clone());
            }
        }
        changed.extend(self.unlist(now, list));
        changed
    }

    fn list_one(&mut self, now: time::Mono, instance: &Instance) -> bool {
        if instance.process == self.own {
            return false;
        }
        let Some(entry) = self.entries.get_mut(&instance.process) else {
            let mut entry = Entry::new(now, listed(instance), State::Listed);
            entry.listed = Some(instance.leaving);
            self.insert(instance.process.clone(), entry);
            return true;
        };
        let before = entry.listed.replace(instance.leaving);
        let returned = !entry.present();
        if returned {
            entry.state = State::Listed;
        }
        if entry.member.incarnation.0 == 0 {
            entry.member = listed(instance);
        }
        let leaves = before == Some(false) && instance.leaving;
        if leaves && entry.state == State::Reported {
            entry.leave(now);
        }
        returned || (before != Some(true) && instance.leaving)
    }

    fn unlist(&mut self, now: time::Mono, list: &Instances) -> Vec<id::ProcessId> {
        let named: BTreeSet<&id::ProcessId> = list.instances.iter().map(|i| &i.process).collect();
        let had = self.entries.values().filter(|e| e.listed.is_some()).count();
        let absent: Vec<id::ProcessId> = self
            .entries
            .iter()
            .filter(|(process, entry)| entry.listed.is_some() && !named.contains(process))
            .map(|(process, _)| process.clone())
            .collect();
        if absent.len() * 2 > had && absent.len() > 1 {
            return Vec::new();
        }
        for process in &absent {
            if let Some(entry) = self.entries.get_mut(process) {
                entry.listed = None;
                entry.state = State::Removed(now);
            }
        }
        absent
    }

    /// Notes that this process failed to reach a member; returns whether the
    /// member is now demoted here.
    pub fn failure(&mut self, now: time::Mono, process: &id::ProcessId, failure: Failure) -> bool {
        let Some(entry) = self.entries.get_mut(process) else {
            return false;
        };
        entry.failures = match failure {
            Failure::Refused => entry.failures.saturating_add(1).max(self.rules.failures),
            Failure::Other => entry.failures.saturating_add(1),
        };
        let Some(beyond) = entry.failures.checked_sub(self.rules.failures) else {
            return false;
        };
        let micros = self.rules.backoff.as_micros() << beyond.min(16);
        let backoff = span::Span::from_micros(micros.min(self.rules.backoff_max.as_micros()));
        entry.demoted = Some(now + backoff);
        true
    }

    /// Notes that this process reached a member, which ends its demotion.
    pub fn success(&mut self, process: &id::ProcessId) {
        if let Some(entry) = self.entries.get_mut(process) {
            entry.failures = 0;
            entry.demoted = None;
        }
    }

    /// Removes members that were silent for too long, and forgets those that
    /// were removed long ago; returns the removed ones.
    ///
    /// A silent member that the instance list still has is kept as listed.
    pub fn expire(&mut self, now: time::Mono) -> Vec<id::ProcessId> {
        let mut silent = Vec::new();
        for (process, entry) in &mut self.entries {
            let quiet = entry.quiet(now);
            if entry.state != State::Reported || quiet < self.rules.silence || *process == self.own
            {
                continue;
            }
            entry.state = match entry.listed {
                Some(_) => State::Listed,
                None => State::Lost(now),
            };
            silent.push(process.clone());
        }
        self.forget(now);
        silent
    }

    fn forget(&mut self, now: time::Mono) {
        let mut gone: Vec<(time::Mono, id::ProcessId)> = self
            .entries
            .iter()
            .filter_map(|(process, entry)| match entry.state {
                State::Lost(at) | State::Removed(at) => Some((at, process.clone())),
                State::Listed | State::Reported => None,
            })
            .collect();
        gone.sort();
        let excess = gone.len().saturating_sub(self.rules.retained);
        for (nth, (at, process)) in gone.into_iter().enumerate() {
            if nth < excess || now.since(at) >= self.rules.retain {
                if let Some(entry) = self.entries.remove(&process) {
                    self.runs.remove(&run(&process, entry.member.incarnation));
                }
                self.keys.remove(&key(&process));
            }
        }
        let retain = self.rules.retain;
        self.past.retain(|_, at| now.since(*at) < retain);
    }

    /// Returns one member, if it has a place in the snapshots.
    pub fn get(&self, now: time::Mono, process: &id::ProcessId) -> Option<Row> {
        let entry = self.entries.get(process).filter(|e| e.present())?;
        Some(self.row(now, entry))
    }

    /// Returns the last report of a member as it is passed on now, whether or
    /// not the member has a place in the snapshots.
    pub fn relayed(&self, now: time::Mono, process: &id::ProcessId) -> Option<Member> {
        let entry = self.entries.get(process)?;
        Some(entry.relayed(now))
    }

    /// Returns all members, this process included.
    pub fn rows(&self, now: time::Mono) -> Vec<Row> {
        self.present().map(|entry| self.row(now, entry)).collect()
    }

    /// Returns the agents, for a router's view.
    pub fn targets(&self, now: time::Mono) -> Vec<Row> {
        self.present()
            .filter(|entry| entry.member.role == Role::Agent)
            .map(|entry| self.row(now, entry))
            .collect()
    }

    /// Returns the agents of one service, for its part of a router's view.
    pub fn of_service(&self, now: time::Mono, service: &id::ServiceId) -> Vec<Row> {
        self.present()
            .filter(|entry| entry.member.role == Role::Agent)
            .filter(|entry| entry.member.service.as_ref() == Some(service))
            .map(|entry| self.row(now, entry))
            .collect()
    }

    /// Returns the services that have agents.
    pub fn services(&self) -> BTreeSet<id::ServiceId> {
        self.present()
            .filter(|entry| entry.member.role == Role::Agent)
            .filter_map(|entry| entry.member.service.clone())
            .collect()
    }

    /// Returns all that are not forgotten. A removed member is among them for a
    /// while, because what is known of it counts when it comes back.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Tells whether a member is not forgotten, as [`Members::known`].
    pub fn knows(&self, process: &id::ProcessId) -> bool {
        self.entries.contains_key(process)
    }

    /// Returns the other agents of a service, for an agent's bound.
    pub fn group(&self, now: time::Mono, service: &id::ServiceId) -> Vec<Peer> {
        self.present()
            .filter(|entry| entry.member.service.as_ref() == Some(service))
            .filter(|entry| entry.member.process != self.own)
            .map(|entry| {
                let row = self.row(now, entry);
                Peer {
                    process: row.member.process,
                    standing: row.standing,
                    load: row.member.load,
                    cap: row.member.cap,
                    age: row.age,
                }
            })
            .collect()
    }

    /// Returns the freshest reports of a service's agents, at most `count`, to
    /// travel with a `Run` to one of them.
    pub fn freshest(
        &self,
        now: time::Mono,
        service: &id::ServiceId,
        except: &id::ProcessId,
        count: usize,
    ) -> Vec<Load> {
        let mut entries: Vec<&Entry> = self
            .present()
            .filter(|entry| entry.state == State::Reported)
            .filter(|entry| entry.member.service.as_ref() == Some(service))
            .filter(|entry| entry.member.process != *except)
            .collect();
        entries.sort_by_key(|entry| entry.age(now));
        entries.truncate(count);
        entries
            .into_iter()
            .map(|entry| entry.relayed(now).load())
            .collect()
    }

    /// Returns the lowest configuration version that a reporting member uses.
    pub fn lowest(&self) -> id::Version {
        self.present()
            .filter(|entry| entry.state == State::Reported)
            .map(|entry| entry.member.version)
            .min()
            .unwrap_or_default()
    }

    /// Returns the reporting members that use a lower version than `version`.
    pub fn lagging(&self, version: id::Version) -> Vec<(id::ProcessId, id::Version)> {
        self.present()
            .filter(|entry| entry.state == State::Reported && entry.member.version < version)
            .map(|entry| (entry.member.process.clone(), entry.member.version))
            .collect()
    }

    /// Returns the number of members that report, this process included.
    pub fn reporting(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.state == State::Reported)
            .count()
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub(crate) fn entry(&self, process: &id::ProcessId) -> Option<&Entry> {
        self.entries.get(process)
    }

    pub(crate) fn entry_mut(&mut self, process: &id::ProcessId) -> Option<&mut Entry> {
        self.entries.get_mut(process)
    }

    fn present(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| entry.present())
    }

    fn entry_own(&self) -> &Entry {
        &self.entries[&self.own]
    }

    /// Returns the member whose present run has this key.
    pub(crate) fn by_run(&self, run: u64) -> Option<&Entry> {
        self.runs.get(&run).and_then(|id| self.entries.get(id))
    }

    /// Returns whether a run was replaced by a later one.
    pub(crate) fn is_past(&self, run: u64) -> bool {
        self.past.contains_key(&run)
    }

    /// Makes the present run of a member the one that its key finds.
    fn replace_run(&mut self, now: time::Mono, process: &id::ProcessId, before: id::Incarnation) {
        let Some(entry) = self.entries.get(process) else {
            return;
        };
        let present = run(process, entry.member.incarnation);
        self.runs.remove(&run(process, before));
        self.runs.insert(present, process.clone());
        if before.0 > 0 && self.past.len() < self.rules.retained {
            self.past.insert(run(process, before), now);
        }
    }

    fn insert(&mut self, process: id::ProcessId, entry: Entry) {
        self.keys.insert(key(&process), process.clone());
        if entry.member.incarnation.0 > 0 {
            let run = run(&process, entry.member.incarnation);
            self.runs.insert(run, process.clone());
        }
        self.entries.insert(process, entry);
    }

    /// Lets the process with the youngest report keep an address that several
    /// members claim; the others are lost until a younger report of theirs
    /// arrives.
    fn displace(&mut self, now: time::Mono, process: &id::ProcessId) {
        let Some(entry) = self.entries.get(process).filter(|e| e.present()) else {
            return;
        };
        let (address, age) = (entry.member.address, entry.age(now));
        let mut younger = false;
        for (other, entry) in &mut self.entries {
            if other == process || entry.member.address != address || !entry.present() {
                continue;
            }
            if entry.state == State::Reported && entry.age(now) < age || *other == self.own {
                younger = true;
            } else {
                entry.state = State::Lost(now);
            }
        }
        if younger && let Some(entry) = self.entries.get_mut(process) {
            entry.state = State::Lost(now);
        }
    }

    fn row(&self, now: time::Mono, entry: &Entry) -> Row {
        let mut member = entry.member.clone();
        let mut age = entry.age(now);
        if let Some(seen) = entry.seen.filter(|seen| now.since(seen.at) < age) {
            member.load = seen.load;
            member.cap = seen.cap;
            age = now.since(seen.at);
        }
        if member.process == self.own {
            age = span::Span::ZERO;
        }
        Row {
            standing: entry.standing(now, &self.rules),
            member,
            age,
        }
    }
}

fn listed(instance: &Instance) -> Member {
    Member {
        process: instance.process.clone(),
        incarnation: id::Incarnation(0),
        sequence: id::Sequence(0),
        role: instance.role,
        address: instance.address,
        centre: instance.centre.clone(),
        service: instance.service.clone(),
        target: None,
        weight: 0,
        standing: Standing::Listed,
        version: id::Version(0),
        load: 0,
        cap: 0,
        age: span::Span::ZERO,
    }
}

fn add(a: span::Span, b: span::Span) -> span::Span {
    span::Span::from_micros(a.as_micros().saturating_add(b.as_micros()))
}
