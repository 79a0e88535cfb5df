//! The members of the fleet as one process knows them.
//!
//! Three sources change an entry, each in its own way: the member's reports
//! (relayed or direct), the instance list, and this process's own attempts to
//! reach the member. Reports merge as a maximum over (incarnation, sequence),
//! with `leaving` as a flag that is only ever set within an incarnation, so
//! that loss, delay, repetition and order of messages do not matter. Clocks of
//! different processes are never compared: a report carries its age, which is
//! the sum of the times that processes held it.
//!
//! See [the design page](../../../docs/design.md), section 2.7.

use std::{
    cmp,
    collections::{BTreeMap, BTreeSet},
    net,
};

use base::{hash, id, span, time};

use crate::{heartbeat, rules};

/// The two roles of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Accepts requests of callers.
    Router,
    /// Runs beside one target.
    Agent,
}

/// Whether a member takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// Known from the instance list alone.
    Listed,
    /// Joined recently, or flapping.
    Warming,
    /// Takes new work.
    Up,
    /// Takes no new work and finishes its current work.
    Leaving,
    /// Its target does not answer, or this process can't reach the member.
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
    /// Incarnation of the process; increases with each restart.
    pub incarnation: id::Incarnation,
    /// Sequence number of the report within its incarnation.
    pub sequence: id::Sequence,
    /// Router or agent.
    pub role: Role,
    /// Address at which other processes reach it.
    pub address: net::SocketAddr,
    /// Data centre.
    pub centre: id::DataCentre,
    /// Service of an agent's target; `None` for a router.
    pub service: Option<id::ServiceId>,
    /// Target of an agent; `None` for a router.
    pub target: Option<id::TargetId>,
    /// Capacity of the target relative to others, in hundredths.
    pub weight: u32,
    /// Whether it takes new work.
    pub standing: Standing,
    /// Configuration version in use.
    pub version: id::Version,
    /// Number of outstanding requests.
    pub load: u32,
    /// Number of outstanding requests that the bound allows.
    pub cap: u32,
    /// Age of the report when it arrived; zero if it came from the member
    /// itself.
    pub age: span::Span,
}

/// The part of a report that changes often, named by the key of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Key of the process, see [`process_key`].
    pub process: u64,
    /// Incarnation of the process; increases with each restart.
    pub incarnation: id::Incarnation,
    /// Sequence number of the report within its incarnation.
    pub sequence: id::Sequence,
    /// Whether it takes new work.
    pub standing: Standing,
    /// Configuration version in use.
    pub version: id::Version,
    /// Number of outstanding requests.
    pub load: u32,
    /// Number of outstanding requests that the bound allows.
    pub cap: u32,
    /// Age of the report when it arrived.
    pub age: span::Span,
}

/// State of a process that its replies carry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SenderStatus {
    /// The sender.
    pub process: id::ProcessId,
    /// Incarnation of the sender.
    pub incarnation: id::Incarnation,
    /// Whether it takes new work.
    pub standing: Standing,
    /// Configuration version in use.
    pub version: id::Version,
    /// Number of outstanding requests.
    pub load: u32,
    /// Number of outstanding requests that the bound allows.
    pub cap: u32,
    /// Position among the sender's reports; 0 if it has none, and then the load
    /// is used here but never relayed.
    pub sequence: id::Sequence,
    /// Number of requests in `load` that wait at the agent.
    pub waiting: u32,
}

/// One instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Process that runs beside or on the instance.
    pub process: id::ProcessId,
    /// Router or agent.
    pub role: Role,
    /// Address at which other processes reach it.
    pub address: net::SocketAddr,
    /// Data centre.
    pub centre: id::DataCentre,
    /// Service of an agent's target; `None` for a router.
    pub service: Option<id::ServiceId>,
    /// Whether the platform is about to remove the instance.
    pub leaving: bool,
}

/// One answer of the instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Instances {
    /// Revision of the list; higher in later answers.
    pub revision: u64,
    /// All instances at that revision.
    pub instances: Vec<Instance>,
}

/// Kind of failure to reach a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection was refused, or another process answered there.
    Refused,
    /// Any other failure, such as a timeout.
    Other,
}

/// Effect of a report.
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
    /// The report is not newer than the known one.
    Stale,
    /// The member or its incarnation is not known.
    Unknown,
    /// The report is about this process itself.
    Own,
}

/// Presence of a member in the snapshots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum State {
    /// Known from the instance list alone.
    Listed,
    /// The member sends reports.
    Reported,
    /// There was no sign of life for the removal timeout, or another member
    /// took over the address.
    Lost(time::Mono),
    /// The instance list no longer contains it.
    Removed(time::Mono),
}

/// State that one process holds about one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Entry {
    pub(crate) member: Member,
    /// Key of the process.
    pub(crate) key: u64,
    pub(crate) state: State,
    /// Set by a report or by the instance list; final for the incarnation.
    pub(crate) leaving: bool,
    /// When the last report arrived; its age at that time is `member.age`.
    pub(crate) received_at: time::Mono,
    /// Whether the instance list marks the member as leaving; `None` if the
    /// list does not contain it.
    listed_leaving: Option<bool>,
    /// Load and cap of the last sender status.
    last_status: Option<StatusLoad>,
    failures: u32,
    demoted_until: Option<time::Mono>,
    starts: Vec<time::Mono>,
    /// When this process learned of the last change of state.
    pub(crate) changed_at: time::Mono,
    /// Number of messages that will still carry the last change.
    pub(crate) change_sends: u32,
    /// Whether the last change was a start; the process itself then sends its
    /// whole record.
    pub(crate) send_record: bool,
    /// When this process learned of the latest broadcast.
    pub(crate) broadcast_at: time::Mono,
    /// Number of messages that will still carry the latest broadcast.
    pub(crate) broadcast_sends: u32,
    /// Newest heartbeat of this run.
    pub(crate) heartbeat: Option<heartbeat::Heartbeat>,
    /// When a newer heartbeat of this run last arrived.
    heartbeat_at: Option<time::Mono>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct StatusLoad {
    at: time::Mono,
    load: u32,
    cap: u32,
}

/// One member in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The last report, with the latest load that this process knows.
    pub member: Member,
    /// Standing as this process sees it.
    pub standing: Standing,
    /// Age of the load, without the time in transit.
    pub age: span::Span,
}

/// One peer of a service group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The peer.
    pub process: id::ProcessId,
    /// Standing as this process sees it.
    pub standing: Standing,
    /// Number of outstanding requests.
    pub load: u32,
    /// Number of outstanding requests that its bound allows.
    pub cap: u32,
    /// Age of the load, without the time in transit.
    pub age: span::Span,
}

/// Number of messages in which a process sends a change of state; about e^-8 of
/// the processes miss it and learn of it with the next broadcast. A record is
/// about seven times as large as a load report, so other processes relay only
/// the load, and a process that does not know the run requests the record.
const CHANGE_SENDS: u32 = 8;

/// Number of messages in which a process relays a broadcast.
const BROADCAST_SENDS: u32 = 4;

/// Number of reports per broadcast. Only the first report of a broadcast that a
/// process receives is relayed outside the service group; the source decides
/// when its next broadcast begins.
const REPORTS_PER_BROADCAST: u64 = 256;

/// Number of sequence numbers between two reports, for the loads that sender
/// statuses carry meanwhile. An agent's load changes up to a few hundred times
/// a second.
const SEQUENCES_PER_REPORT: u64 = 1024;

/// Maximum number of starts that are kept to detect flapping.
const MAX_STARTS: usize = 8;

/// Returns the key of a process in load records.
pub fn process_key(process: &id::ProcessId) -> u64 {
    hash::bytes(process.as_str().as_bytes())
}

/// Returns the key of one run of a process.
pub fn run_key(process: &id::ProcessId, incarnation: id::Incarnation) -> u64 {
    hash::mix(process_key(process), incarnation.0)
}

fn broadcast_number(sequence: id::Sequence) -> u64 {
    sequence.0 / (REPORTS_PER_BROADCAST * SEQUENCES_PER_REPORT)
}

impl Member {
    pub(crate) fn load(&self) -> Load {
        Load {
            process: process_key(&self.process),
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
            key: process_key(&member.process),
            member,
            state,
            received_at: now,
            listed_leaving: None,
            last_status: None,
            failures: 0,
            demoted_until: None,
            starts: Vec::new(),
            changed_at: now,
            change_sends: 0,
            send_record: false,
            broadcast_at: now,
            broadcast_sends: 0,
            heartbeat: None,
            heartbeat_at: None,
        }
    }

    /// Returns whether the member has a place in the snapshots.
    pub(crate) fn present(&self) -> bool {
        matches!(self.state, State::Listed | State::Reported)
    }

    /// Returns the key of the current run.
    pub(crate) fn run_key(&self) -> u64 {
        hash::mix(self.key, self.member.incarnation.0)
    }

    /// Returns the age of the last report.
    pub(crate) fn age(&self, now: time::Mono) -> span::Span {
        saturating_sum(now.since(self.received_at), self.member.age)
    }

    /// Returns the time since the last sign of life: a report, a sender status
    /// or a newer heartbeat.
    pub(crate) fn silence(&self, now: time::Mono) -> span::Span {
        let status = self.last_status.map(|status| status.at);
        let signs = status.into_iter().chain(self.heartbeat_at);
        let since = signs.map(|at| now.since(at));
        since.fold(self.age(now), span::Span::min)
    }

    /// Returns the last report for a process that does not know this run. Its
    /// age is that of the last sign of life if that is younger, because the
    /// receiver would otherwise consider the member silent.
    pub(crate) fn introduced(&self, now: time::Mono) -> Member {
        let mut member = self.relayed(now);
        member.age = self.silence(now);
        member
    }

    /// Applies a heartbeat of the current run if it is newer. The first one
    /// only sets the starting value, because it may have been delayed for long.
    fn advance_heartbeat(&mut self, now: time::Mono, heartbeat: heartbeat::Heartbeat) {
        match self.heartbeat {
            Some(known) if !heartbeat.follows(known) => return,
            Some(_) => self.heartbeat_at = Some(now),
            None => {}
        }
        self.heartbeat = Some(heartbeat);
    }

    /// Returns the last report with its current age, for relaying.
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
        if self.leaving || self.listed_leaving == Some(true) {
            return Standing::Leaving;
        }
        if self.demoted_until.is_some_and(|until| now < until) {
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
        recent >= rules.flap_starts && now.since(last) < rules.flap_recovery
    }

    fn record_start(&mut self, now: time::Mono) {
        if self.starts.len() == MAX_STARTS {
            self.starts.remove(0);
        }
        self.starts.push(now);
    }

    /// Records a change that other processes should learn of.
    fn mark_changed(&mut self, now: time::Mono, send_record: bool) {
        self.changed_at = now;
        self.change_sends = CHANGE_SENDS;
        self.send_record = send_record;
    }

    fn mark_broadcast(&mut self, now: time::Mono) {
        self.broadcast_at = now;
        self.broadcast_sends = BROADCAST_SENDS;
    }

    /// Applies a report of a newer incarnation.
    fn restart(&mut self, now: time::Mono, member: Member) {
        self.leaving = member.standing == Standing::Leaving;
        self.member = member;
        self.state = State::Reported;
        self.received_at = now;
        self.last_status = None;
        self.heartbeat = None;
        self.heartbeat_at = None;
        self.failures = 0;
        self.demoted_until = None;
        self.send_record = false;
        self.record_start(now);
        self.mark_changed(now, true);
        self.mark_broadcast(now);
    }

    /// Applies a newer report of the same incarnation.
    fn advance(&mut self, now: time::Mono, load: Load) -> Outcome {
        let before = self.member.standing;
        let returned = !self.present();
        if broadcast_number(load.sequence) > broadcast_number(self.member.sequence) {
            self.mark_broadcast(now);
        }
        self.member.sequence = load.sequence;
        self.member.standing = load.standing;
        self.member.version = self.member.version.max(load.version);
        self.member.load = load.load;
        self.member.cap = load.cap;
        self.member.age = load.age;
        self.received_at = now;
        self.state = State::Reported;
        if before == Standing::Down && load.standing != Standing::Down {
            self.record_start(now);
        }
        if returned {
            // The heartbeat counter may have wrapped around since.
            self.heartbeat = None;
            self.heartbeat_at = None;
            self.mark_changed(now, false);
            return Outcome::Added;
        }
        if before != load.standing && !self.leaving {
            self.mark_changed(now, false);
            return Outcome::Changed;
        }
        Outcome::Refreshed
    }

    /// Marks the incarnation as leaving; returns whether it was not marked
    /// before.
    fn mark_leaving(&mut self, now: time::Mono) -> bool {
        if self.leaving {
            return false;
        }
        self.leaving = true;
        self.mark_changed(now, false);
        true
    }

    /// Merges a report of the known incarnation.
    fn merge(&mut self, now: time::Mono, load: Load, rules: &rules::Rules) -> Outcome {
        let left = load.standing == Standing::Leaving && self.mark_leaving(now);
        self.member.version = self.member.version.max(load.version);
        if load.sequence <= self.member.sequence || load.age >= rules.removal_timeout {
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
    /// Runs that were replaced by later ones, whose records need not be
    /// requested, and when.
    replaced_runs: BTreeMap<u64, time::Mono>,
    /// Revision of the last accepted instance list, and when it arrived.
    last_list: Option<(u64, time::Mono)>,
}

impl Members {
    /// Creates a set with this process as the only member.
    pub fn new(now: time::Mono, own: Member, rules: rules::Rules) -> Self {
        let process = own.process.clone();
        let mut members = Self {
            own: process.clone(),
            rules,
            entries: BTreeMap::new(),
            keys: BTreeMap::new(),
            runs: BTreeMap::new(),
            replaced_runs: BTreeMap::new(),
            last_list: None,
        };
        let mut entry = Entry::new(now, own, State::Reported);
        entry.mark_changed(now, true);
        members.insert(process, entry);
        members
    }

    /// Returns this process's own report.
    pub fn own(&self) -> &Member {
        &self.own_entry().member
    }

    /// Returns the limits in use.
    pub fn rules(&self) -> &rules::Rules {
        &self.rules
    }

    /// Changes this process's own report and gives it the next sequence, or the
    /// first sequence of the next broadcast.
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
        broadcast: bool,
    ) {
        let leaving = self.own_entry().leaving;
        let own = self.own.clone();
        let Some(entry) = self.entries.get_mut(&own) else {
            return;
        };
        if standing == Standing::Leaving {
            entry.mark_leaving(now);
        }
        let standing = if leaving { Standing::Leaving } else { standing };
        let report = entry.member.sequence.0 / SEQUENCES_PER_REPORT;
        let next = match broadcast {
            true => (report / REPORTS_PER_BROADCAST + 1) * REPORTS_PER_BROADCAST,
            false => report + 1,
        };
        let sequence = id::Sequence(next * SEQUENCES_PER_REPORT);
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
    /// its sender status; the exchange does not send it sooner.
    pub fn update_load(&mut self, now: time::Mono, load: u32, cap: u32) {
        let own = self.own.clone();
        let Some(entry) = self.entries.get_mut(&own) else {
            return;
        };
        let next = entry.member.sequence.next();
        if entry.member.load == load || next.0.is_multiple_of(SEQUENCES_PER_REPORT) {
            return;
        }
        entry.member.sequence = next;
        entry.member.load = load;
        entry.member.cap = cap;
        entry.received_at = now;
    }

    /// Sets a newer incarnation of this process, for example after
    /// [`Outcome::Own`] showed that other processes know a higher one.
    pub fn set_incarnation(&mut self, now: time::Mono, incarnation: id::Incarnation) {
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

    /// Merges a report, either relayed or from the member itself.
    pub fn report(&mut self, now: time::Mono, member: Member) -> Outcome {
        if member.process == self.own {
            return Outcome::Own;
        }
        if member.incarnation.0 == 0 {
            return Outcome::Stale;
        }
        let process = member.process.clone();
        let outcome = match self.entries.get_mut(&process) {
            None if member.age >= self.rules.removal_timeout => Outcome::Stale,
            None => {
                let mut entry = Entry::new(now, member, State::Reported);
                entry.record_start(now);
                entry.mark_changed(now, true);
                entry.mark_broadcast(now);
                self.insert(process.clone(), entry);
                Outcome::Added
            }
            Some(entry) => match member.incarnation.cmp(&entry.member.incarnation) {
                cmp::Ordering::Less => Outcome::Stale,
                cmp::Ordering::Equal => entry.merge(now, member.load(), &self.rules),
                cmp::Ordering::Greater if member.age >= self.rules.removal_timeout => {
                    Outcome::Stale
                }
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
            self.resolve_address(now, &process);
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
            self.resolve_address(now, &process);
        }
        outcome
    }

    /// Applies the status of the sender of a reply.
    ///
    /// Replies on several streams may overtake one another, so a status without
    /// a sequence sets only what is harmless if it is late: leaving and the
    /// version, which never go back, and the load, which the next status or
    /// report replaces. A status with a sequence is also a report.
    pub fn apply_status(&mut self, now: time::Mono, status: &SenderStatus) -> Outcome {
        if status.process == self.own {
            return Outcome::Own;
        }
        let Some(entry) = self.entries.get_mut(&status.process) else {
            return Outcome::Unknown;
        };
        if status.incarnation < entry.member.incarnation {
            return Outcome::Stale;
        }
        if status.incarnation > entry.member.incarnation {
            return Outcome::Unknown;
        }
        entry.failures = 0;
        entry.demoted_until = None;
        entry.last_status = Some(StatusLoad {
            at: now,
            load: status.load,
            cap: status.cap,
        });
        entry.member.version = entry.member.version.max(status.version);
        if status.standing == Standing::Leaving && entry.mark_leaving(now) {
            return Outcome::Changed;
        }
        if status.sequence.0 > 0 && entry.state == State::Reported {
            let load = Load {
                sequence: status.sequence,
                standing: status.standing,
                version: status.version,
                load: status.load.saturating_sub(status.waiting),
                cap: status.cap,
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

    /// Applies a heartbeat of a reporting member; ignores heartbeats of other
    /// runs and of other members.
    pub(crate) fn apply_heartbeat(
        &mut self,
        now: time::Mono,
        process: &id::ProcessId,
        incarnation: id::Incarnation,
        heartbeat: heartbeat::Heartbeat,
    ) {
        if *process == self.own {
            return;
        }
        if let Some(entry) = self.entries.get_mut(process)
            && entry.state == State::Reported
            && entry.member.incarnation == incarnation
        {
            entry.advance_heartbeat(now, heartbeat);
        }
    }

    /// Applies an answer of the instance list; returns the members that were
    /// added, marked as leaving or removed.
    ///
    /// Answers may arrive late: one with an older revision is ignored, unless
    /// no other was accepted within the removal timeout, because the list may
    /// have been rebuilt. If more than half of the previously listed instances
    /// are missing, the list is assumed to be faulty: it adds and marks members
    /// but removes none, and members that are really gone are removed when they
    /// fall silent.
    pub fn apply_list(&mut self, now: time::Mono, list: &Instances) -> Vec<id::ProcessId> {
        if let Some((revision, at)) = self.last_list
            && list.revision < revision
            && now.since(at) < self.rules.removal_timeout
        {
            return Vec::new();
        }
        self.last_list = Some((list.revision, now));
        let mut changed = Vec::new();
        for instance in &list.instances {
            if self.apply_instance(now, instance) {
                changed.push(instance.process.clone());
            }
        }
        changed.extend(self.remove_unlisted(now, list));
        changed
    }

    fn apply_instance(&mut self, now: time::Mono, instance: &Instance) -> bool {
        if instance.process == self.own {
            return false;
        }
        let Some(entry) = self.entries.get_mut(&instance.process) else {
            let mut entry = Entry::new(now, listed_member(instance), State::Listed);
            entry.listed_leaving = Some(instance.leaving);
            self.insert(instance.process.clone(), entry);
            return true;
        };
        let before = entry.listed_leaving.replace(instance.leaving);
        let returned = !entry.present();
        if returned {
            entry.state = State::Listed;
        }
        if entry.member.incarnation.0 == 0 {
            entry.member = listed_member(instance);
        }
        let leaves = before == Some(false) && instance.leaving;
        if leaves && entry.state == State::Reported {
            entry.mark_leaving(now);
        }
        returned || (before != Some(true) && instance.leaving)
    }

    fn remove_unlisted(&mut self, now: time::Mono, list: &Instances) -> Vec<id::ProcessId> {
        let named: BTreeSet<&id::ProcessId> = list.instances.iter().map(|i| &i.process).collect();
        let had = self
            .entries
            .values()
            .filter(|e| e.listed_leaving.is_some())
            .count();
        let absent: Vec<id::ProcessId> = self
            .entries
            .iter()
            .filter(|(process, entry)| entry.listed_leaving.is_some() && !named.contains(process))
            .map(|(process, _)| process.clone())
            .collect();
        if absent.len() * 2 > had && absent.len() > 1 {
            return Vec::new();
        }
        for process in &absent {
            if let Some(entry) = self.entries.get_mut(process) {
                entry.listed_leaving = None;
                entry.state = State::Removed(now);
            }
        }
        absent
    }

    /// Records that this process failed to reach a member; returns whether the
    /// member is now demoted here.
    pub fn record_failure(
        &mut self,
        now: time::Mono,
        process: &id::ProcessId,
        failure: Failure,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(process) else {
            return false;
        };
        entry.failures = match failure {
            Failure::Refused => entry
                .failures
                .saturating_add(1)
                .max(self.rules.failure_threshold),
            Failure::Other => entry.failures.saturating_add(1),
        };
        let Some(beyond) = entry.failures.checked_sub(self.rules.failure_threshold) else {
            return false;
        };
        let micros = self.rules.backoff.as_micros() << beyond.min(16);
        let backoff = span::Span::from_micros(micros.min(self.rules.backoff_max.as_micros()));
        entry.demoted_until = Some(now + backoff);
        true
    }

    /// Records that this process reached a member, which ends its demotion.
    pub fn record_success(&mut self, process: &id::ProcessId) {
        if let Some(entry) = self.entries.get_mut(process) {
            entry.failures = 0;
            entry.demoted_until = None;
        }
    }

    /// Removes members that were silent for the removal timeout, and forgets
    /// those that were removed long ago; returns the removed ones.
    ///
    /// A silent member that the instance list still contains is kept as listed.
    pub fn expire(&mut self, now: time::Mono) -> Vec<id::ProcessId> {
        let mut silent = Vec::new();
        for (process, entry) in &mut self.entries {
            let silence = entry.silence(now);
            if entry.state != State::Reported
                || silence < self.rules.removal_timeout
                || *process == self.own
            {
                continue;
            }
            entry.state = match entry.listed_leaving {
                Some(_) => State::Listed,
                None => State::Lost(now),
            };
            silent.push(process.clone());
        }
        self.purge(now);
        silent
    }

    fn purge(&mut self, now: time::Mono) {
        let mut gone: Vec<(time::Mono, id::ProcessId)> = self
            .entries
            .iter()
            .filter_map(|(process, entry)| match entry.state {
                State::Lost(at) | State::Removed(at) => Some((at, process.clone())),
                State::Listed | State::Reported => None,
            })
            .collect();
        gone.sort();
        let excess = gone.len().saturating_sub(self.rules.max_retained);
        for (nth, (at, process)) in gone.into_iter().enumerate() {
            if nth < excess || now.since(at) >= self.rules.retention {
                if let Some(entry) = self.entries.remove(&process) {
                    self.runs
                        .remove(&run_key(&process, entry.member.incarnation));
                }
                self.keys.remove(&process_key(&process));
            }
        }
        let retention = self.rules.retention;
        self.replaced_runs
            .retain(|_, at| now.since(*at) < retention);
    }

    /// Returns one member if it has a place in the snapshots.
    pub fn get(&self, now: time::Mono, process: &id::ProcessId) -> Option<Row> {
        let entry = self.entries.get(process).filter(|e| e.present())?;
        Some(self.row(now, entry))
    }

    /// Returns the last report of a member with its current age, whether or not
    /// the member has a place in the snapshots.
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

    /// Returns all members that are not forgotten. A removed member is among
    /// them until its retention ends, because its last report is needed if it
    /// comes back.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Returns whether a member is not forgotten, see [`Members::known`].
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

    /// Returns the youngest reports of a service's agents, at most `count` and
    /// without that of `except`, to send with a `Run` to one of them.
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

    /// Returns the lowest configuration version among the reporting members.
    pub fn lowest_version(&self) -> id::Version {
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

    fn own_entry(&self) -> &Entry {
        &self.entries[&self.own]
    }

    /// Returns the member whose current run has this key.
    pub(crate) fn by_run(&self, run: u64) -> Option<&Entry> {
        self.runs.get(&run).and_then(|id| self.entries.get(id))
    }

    /// Returns whether a run was replaced by a later one.
    pub(crate) fn is_replaced(&self, run: u64) -> bool {
        self.replaced_runs.contains_key(&run)
    }

    /// Maps the key of a member's current run to the member and records the
    /// previous run as replaced.
    fn replace_run(&mut self, now: time::Mono, process: &id::ProcessId, before: id::Incarnation) {
        let Some(entry) = self.entries.get(process) else {
            return;
        };
        let present = run_key(process, entry.member.incarnation);
        self.runs.remove(&run_key(process, before));
        self.runs.insert(present, process.clone());
        if before.0 > 0 && self.replaced_runs.len() < self.rules.max_retained {
            self.replaced_runs.insert(run_key(process, before), now);
        }
    }

    fn insert(&mut self, process: id::ProcessId, entry: Entry) {
        self.keys.insert(process_key(&process), process.clone());
        if entry.member.incarnation.0 > 0 {
            let run = run_key(&process, entry.member.incarnation);
            self.runs.insert(run, process.clone());
        }
        self.entries.insert(process, entry);
    }

    /// Resolves an address that several members claim: the member with the
    /// youngest report keeps it, and the others are lost until a younger report
    /// of theirs arrives.
    fn resolve_address(&mut self, now: time::Mono, process: &id::ProcessId) {
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
        if let Some(status) = entry
            .last_status
            .filter(|status| now.since(status.at) < age)
        {
            member.load = status.load;
            member.cap = status.cap;
            age = now.since(status.at);
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

fn listed_member(instance: &Instance) -> Member {
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

fn saturating_sum(a: span::Span, b: span::Span) -> span::Span {
    span::Span::from_micros(a.as_micros().saturating_add(b.as_micros()))
}
