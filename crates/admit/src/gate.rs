//! The gate before one target: every request passes it.

use base::{id, span, time};

use crate::{
    bound,
    fair::Fair,
    group::{Group, Member, Report, Standing},
    jitter::Jitter,
    ticket::{Cancelled, Event, Offered, Reason, Ticket, Verdict},
};

/// Limits of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Queue {
    /// Requests that wait at most.
    pub length: u32,
    /// Requests of one team that wait at most.
    pub team: u32,
    /// Longest wait. It is short, so that a refused request can still run
    /// elsewhere.
    pub patience: span::Span,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            length: 16,
            team: 4,
            patience: span::Span::from_millis(500),
        }
    }
}

/// Parameters of a gate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Settings {
    /// The bound on the load.
    pub bound: bound::Rule,
    /// The limits of the queue.
    pub queue: Queue,
}

/// Shortest time after which a refused caller may come back.
const SHORTEST: span::Span = span::Span::from_millis(100);

/// Longest time after which a refused caller may come back.
const LONGEST: span::Span = span::Span::from_secs(30);

/// Assumed time between two completions before any was seen.
const FIRST_PACE: span::Span = span::Span::from_millis(500);

/// Weight of the latest interval in the mean time between completions, as
/// `1 / PACE_WEIGHT`.
const PACE_WEIGHT: u64 = 8;

/// Completions for which a request of a team that does not surge waits.
const COMPLETIONS: u64 = 4;

/// It waits for at most so many times the usual patience.
const PATIENCE_FACTOR: u64 = 8;

/// A request waits for no more than one part in so many of its remaining time,
/// if that is more than the usual patience.
const REMAINING_PART: u64 = 16;

/// Admits, queues and refuses the requests to one target.
#[derive(Clone, Debug)]
pub struct Gate {
    settings: Settings,
    standing: Standing,
    group: Group,
    fair: Fair,
    jitter: Jitter,
    /// Mean time between two completions while the target is busy.
    pace: span::Span,
    finished: Option<time::Mono>,
}

impl Gate {
    /// Starts idle, up and alone in its group.
    pub fn new(own: id::ProcessId, settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            standing: Standing::Up,
            group: Group::new(own),
            fair: Fair::default(),
            jitter: Jitter::new(seed),
            pace: FIRST_PACE,
            finished: None,
        }
    }

    /// Decides about a new request.
    ///
    /// A request of a team with a short queue may displace the last one of the
    /// longest queue.
    pub fn offer(&mut self, now: time::Mono, ticket: Ticket) -> Offered {
        let id = ticket.id;
        if let Some(reason) = self.refusal(now, &ticket) {
            let after = self.after(&ticket.team, reason);
            return Offered {
                verdict: Verdict::Refused { reason, after },
                events: Vec::new(),
            };
        }
        let team = ticket.team.clone();
        let until = ticket.deadline.min(now + self.patience(now, &ticket));
        self.fair.push(now, ticket, until);
        let mut events = self.pump(now);
        if self.is_queued(id) {
            self.fair.press(now, &team);
            self.trim(&team, &mut events);
        }
        let verdict = match events.iter().position(|event| event.id() == id) {
            None => Verdict::Queued,
            Some(at) => match events.remove(at) {
                Event::Run(_) => Verdict::Run,
                Event::Refused { reason, after, .. } => Verdict::Refused { reason, after },
            },
        };
        Offered { verdict, events }
    }

    /// Returns how long a request may wait.
    ///
    /// A team that does not surge gets one of the next places that become
    /// free, so its requests may wait for some completions, but for no more
    /// than a small part of the time that their callers allow.
    fn patience(&self, now: time::Mono, ticket: &Ticket) -> span::Span {
        let shortest = self.settings.queue.patience;
        if self.fair.is_pressing(now, &ticket.team, self.cap(now)) {
            return shortest;
        }
        let completions = span::Span::from_micros(COMPLETIONS * self.pace.as_micros());
        let remaining = ticket.deadline.since(now).as_micros();
        let part = span::Span::from_micros(remaining / REMAINING_PART);
        let longest = span::Span::from_micros(PATIENCE_FACTOR * shortest.as_micros());
        completions.min(part).clamp(shortest, longest)
    }

    fn refusal(&self, now: time::Mono, ticket: &Ticket) -> Option<Reason> {
        if self.fair.knows(ticket.id) {
            return Some(Reason::Duplicate);
        }
        if ticket.deadline <= now {
            return Some(Reason::Deadline);
        }
        match self.standing {
            Standing::Leaving => Some(Reason::Leaving),
            Standing::Listed | Standing::Down => Some(Reason::Down),
            Standing::Warming | Standing::Up => None,
        }
    }

    fn is_queued(&self, id: id::RequestId) -> bool {
        self.fair.knows(id) && !self.fair.is_running(id)
    }

    /// Refuses what exceeds the limits of the queue after an arrival.
    fn trim(&mut self, team: &id::TeamId, events: &mut Vec<Event>) {
        let queue = self.settings.queue;
        if self.fair.queued_of(team) > queue.team {
            let last = self.fair.last_of(team);
            events.extend(last.and_then(|id| self.refuse(id, Reason::Share)));
        } else if self.fair.queued() > queue.length {
            let last = self.fair.longest();
            events.extend(last.and_then(|id| self.refuse(id, Reason::Bound)));
        }
    }

    /// Ends the wait of a queued request.
    fn refuse(&mut self, id: id::RequestId, reason: Reason) -> Option<Event> {
        let ticket = self.fair.remove(id)?;
        self.fair.refuse(&ticket.team);
        let after = self.after(&ticket.team, reason);
        Some(Event::Refused { id, reason, after })
    }

    /// Returns when a refused caller may come back: when the target is likely
    /// to have served those of its team that wait or were refused before it.
    fn after(&mut self, team: &id::TeamId, reason: Reason) -> span::Span {
        let ahead = match reason {
            Reason::Leaving | Reason::Down | Reason::Duplicate => 0,
            Reason::Bound | Reason::Share | Reason::Deadline => {
                1 + u64::from(self.fair.queued_of(team)) + u64::from(self.fair.refused_of(team))
            }
        };
        let wait = self
            .pace
            .as_micros()
            .saturating_mul(ahead)
            .saturating_mul(self.fair.contention(team));
        let mean = span::Span::from_micros(wait).clamp(SHORTEST, LONGEST);
        self.jitter.around(mean)
    }

    /// Dispatches queued requests while there is room.
    fn pump(&mut self, now: time::Mono) -> Vec<Event> {
        let mut events = Vec::new();
        if !self.standing.takes_work() {
            return events;
        }
        while let Some(id) = self.fair.dispatch(now, self.cap(now)) {
            events.push(Event::Run(id));
        }
        events
    }

    /// Notes that a dispatched request is no longer outstanding at the target.
    pub fn finish(&mut self, now: time::Mono, id: id::RequestId) -> Vec<Event> {
        if !self.fair.finish(now, id) {
            return Vec::new();
        }
        if let Some(before) = self.finished.filter(|_| self.fair.running() > 0) {
            let interval = now.since(before).min(LONGEST).as_micros();
            let pace = self.pace.as_micros();
            self.pace = span::Span::from_micros(pace - pace / PACE_WEIGHT + interval / PACE_WEIGHT);
        }
        self.finished = Some(now);
        self.pump(now)
    }

    /// Removes a queued request whose caller is gone. A running one counts
    /// until it is finished, because the engine still works on it.
    pub fn cancel(&mut self, id: id::RequestId) -> Cancelled {
        if self.fair.remove(id).is_some() {
            Cancelled::Queued
        } else if self.fair.is_running(id) {
            Cancelled::Running
        } else {
            Cancelled::Unknown
        }
    }

    /// Refuses the queued requests whose time is over, at once and finally.
    pub fn expire(&mut self, now: time::Mono) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(expired) = self.fair.expired(now) {
            let reason = if expired.deadline <= now {
                Reason::Deadline
            } else {
                Reason::Bound
            };
            events.extend(self.refuse(expired.id, reason));
        }
        events.extend(self.pump(now));
        events
    }

    /// Returns when [`Gate::expire`] has something to do, if no other event
    /// comes first.
    pub fn next_expiry(&self) -> Option<time::Mono> {
        self.fair.next_expiry()
    }

    /// Takes over the member list of the group.
    pub fn group(&mut self, now: time::Mono, members: Vec<Member>) -> Vec<Event> {
        self.group.members(now, members);
        self.pump(now)
    }

    /// Takes in one load report of a peer.
    pub fn report(&mut self, now: time::Mono, report: &Report) -> Vec<Event> {
        self.group.report(now, report);
        self.pump(now)
    }

    /// Changes whether new work is taken. Queued requests are refused at once
    /// when it no longer is.
    pub fn standing(&mut self, now: time::Mono, standing: Standing) -> Vec<Event> {
        self.standing = standing;
        let reason = match standing {
            Standing::Leaving => Reason::Leaving,
            Standing::Listed | Standing::Down => Reason::Down,
            Standing::Warming | Standing::Up => return self.pump(now),
        };
        let mut events = Vec::new();
        while let Some(id) = self.fair.first_queued() {
            events.extend(self.refuse(id, reason));
        }
        events
    }

    /// Changes the parameters; running requests above a lower cap go on.
    pub fn configure(&mut self, now: time::Mono, settings: Settings) -> Vec<Event> {
        self.settings = settings;
        self.pump(now)
    }

    /// Returns the requests outstanding at the target, queued ones excluded.
    pub fn load(&self) -> u32 {
        self.fair.running()
    }

    /// Returns the requests that wait.
    pub fn queued(&self) -> u32 {
        self.fair.queued()
    }

    /// Returns how many requests the target may have outstanding now.
    pub fn cap(&self, now: time::Mono) -> u32 {
        self.group.cap(now, &self.settings.bound, self.load())
    }
}
