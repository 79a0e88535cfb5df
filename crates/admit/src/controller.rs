//! The admission controller of one target, which every request to it passes.

use base::{id, span, time};

use crate::{
    bound,
    fair_queue::FairQueue,
    group::{LoadReport, Member, PeerGroup, Standing},
    jitter::Jitter,
    request::{Cancelled, Event, OfferResult, Reason, Request, Verdict},
};

/// Limits of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of queued requests.
    pub total: u32,
    /// Maximum number of queued requests of one team.
    pub per_team: u32,
    /// Usual time limit for the wait. It is short, so that a refused request
    /// can still run at another target.
    pub max_wait: span::Span,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            total: 16,
            per_team: 4,
            max_wait: span::Span::from_millis(500),
        }
    }
}

/// Parameters of an admission controller.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Settings {
    /// The bound on the load.
    pub bound: bound::Params,
    /// The limits of the queue.
    pub queue: QueueLimits,
}

/// Shortest time after which a refused caller should retry.
const MIN_RETRY_AFTER: span::Span = span::Span::from_millis(100);

/// Longest time after which a refused caller should retry, and longest
/// interval between completions that enters the mean.
const MAX_RETRY_AFTER: span::Span = span::Span::from_secs(30);

/// Assumed time between two completions before any was observed.
const INITIAL_INTERVAL: span::Span = span::Span::from_millis(500);

/// Weight of the latest interval in the mean time between completions, as
/// `1 / INTERVAL_SMOOTHING`.
const INTERVAL_SMOOTHING: u64 = 8;

/// Mean intervals between completions for which a request waits if its team is
/// not above its share.
const WAIT_COMPLETIONS: u64 = 4;

/// The wait of any request is at most this multiple of
/// [`QueueLimits::max_wait`].
const MAX_WAIT_FACTOR: u64 = 8;

/// A request waits for at most its remaining time divided by this, unless
/// [`QueueLimits::max_wait`] is longer.
const REMAINING_DIVISOR: u64 = 16;

/// Admits, queues and refuses the requests to one target.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    settings: Settings,
    standing: Standing,
    group: PeerGroup,
    queue: FairQueue,
    jitter: Jitter,
    /// Mean time between two completions while the target is busy.
    completion_interval: span::Span,
    last_completion: Option<time::Mono>,
}

impl AdmissionController {
    /// Creates an idle controller of a target that is up and has no peers.
    pub fn new(own: id::ProcessId, settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            standing: Standing::Up,
            group: PeerGroup::new(own),
            queue: FairQueue::default(),
            jitter: Jitter::new(seed),
            completion_interval: INITIAL_INTERVAL,
            last_completion: None,
        }
    }

    /// Decides about a new request.
    ///
    /// If the queue is full, the last request of the team with the longest queue
    /// by weight is refused, which need not be the new one.
    pub fn offer(&mut self, now: time::Mono, request: Request) -> OfferResult {
        let id = request.id;
        if let Some(reason) = self.refusal_reason(now, &request) {
            let retry_after = self.retry_after(&request.team, reason);
            return OfferResult {
                verdict: Verdict::Refused {
                    reason,
                    retry_after,
                },
                events: Vec::new(),
            };
        }
        let team = request.team.clone();
        let until = request.deadline.min(now + self.max_wait(now, &request));
        self.queue.push(now, request, until);
        let mut events = self.dispatch_queued(now);
        if self.is_queued(id) {
            self.queue.note_backlog(now, &team);
            self.enforce_limits(&team, &mut events);
        }
        let verdict = match events.iter().position(|event| event.id() == id) {
            None => Verdict::Queued,
            Some(at) => match events.remove(at) {
                Event::Run(_) => Verdict::Run,
                Event::Refused {
                    reason,
                    retry_after,
                    ..
                } => Verdict::Refused {
                    reason,
                    retry_after,
                },
            },
        };
        OfferResult { verdict, events }
    }

    /// Returns how long a request may wait.
    ///
    /// A team that is not above its share gets one of the next slots that become
    /// free, so its requests may wait for several completions, but only for a
    /// small fraction of the time until their deadline.
    fn max_wait(&self, now: time::Mono, request: &Request) -> span::Span {
        let shortest = self.settings.queue.max_wait;
        if self.queue.is_above_share(now, &request.team, self.cap(now)) {
            return shortest;
        }
        let completions =
            span::Span::from_micros(WAIT_COMPLETIONS * self.completion_interval.as_micros());
        let remaining = request.deadline.since(now).as_micros();
        let part = span::Span::from_micros(remaining / REMAINING_DIVISOR);
        let longest = span::Span::from_micros(MAX_WAIT_FACTOR * shortest.as_micros());
        completions.min(part).clamp(shortest, longest)
    }

    fn refusal_reason(&self, now: time::Mono, request: &Request) -> Option<Reason> {
        if self.queue.contains(request.id) {
            return Some(Reason::Duplicate);
        }
        if request.deadline <= now {
            return Some(Reason::Deadline);
        }
        match self.standing {
            Standing::Leaving => Some(Reason::Leaving),
            Standing::Listed | Standing::Down => Some(Reason::Down),
            Standing::Warming | Standing::Up => None,
        }
    }

    fn is_queued(&self, id: id::RequestId) -> bool {
        self.queue.contains(id) && !self.queue.is_running(id)
    }

    /// Refuses a request if the queue exceeds one of its limits after an arrival.
    fn enforce_limits(&mut self, team: &id::TeamId, events: &mut Vec<Event>) {
        let queue = self.settings.queue;
        if self.queue.queued_of(team) > queue.per_team {
            let last = self.queue.last_of(team);
            events.extend(last.and_then(|id| self.refuse(id, Reason::Share)));
        } else if self.queue.queued() > queue.total {
            let last = self.queue.last_of_longest();
            events.extend(last.and_then(|id| self.refuse(id, Reason::Bound)));
        }
    }

    /// Removes a queued request and refuses it.
    fn refuse(&mut self, id: id::RequestId, reason: Reason) -> Option<Event> {
        let request = self.queue.remove(id)?;
        self.queue.note_refusal(&request.team);
        let retry_after = self.retry_after(&request.team, reason);
        Some(Event::Refused {
            id,
            reason,
            retry_after,
        })
    }

    /// Returns the time after which a refused caller may retry: until then the
    /// target has probably served the requests of its team that are queued or
    /// were refused before it.
    fn retry_after(&mut self, team: &id::TeamId, reason: Reason) -> span::Span {
        let ahead = match reason {
            Reason::Leaving | Reason::Down | Reason::Duplicate => 0,
            Reason::Bound | Reason::Share | Reason::Deadline => {
                1 + u64::from(self.queue.queued_of(team)) + u64::from(self.queue.refusals_of(team))
            }
        };
        let wait = self
            .completion_interval
            .as_micros()
            .saturating_mul(ahead)
            .saturating_mul(self.queue.contention(team));
        let mean = span::Span::from_micros(wait).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        self.jitter.around(mean)
    }

    /// Dispatches queued requests while the load is below the cap.
    fn dispatch_queued(&mut self, now: time::Mono) -> Vec<Event> {
        let mut events = Vec::new();
        if !self.standing.accepts_work() {
            return events;
        }
        while let Some(id) = self.queue.dispatch(now, self.cap(now)) {
            events.push(Event::Run(id));
        }
        events
    }

    /// Records that a dispatched request is no longer outstanding at the target.
    pub fn finish(&mut self, now: time::Mono, id: id::RequestId) -> Vec<Event> {
        if !self.queue.finish(now, id) {
            return Vec::new();
        }
        if let Some(before) = self.last_completion.filter(|_| self.queue.running() > 0) {
            let interval = now.since(before).min(MAX_RETRY_AFTER).as_micros();
            let mean = self.completion_interval.as_micros();
            self.completion_interval = span::Span::from_micros(
                mean - mean / INTERVAL_SMOOTHING + interval / INTERVAL_SMOOTHING,
            );
        }
        self.last_completion = Some(now);
        self.dispatch_queued(now)
    }

    /// Removes a queued request whose caller is gone. A running one counts as
    /// load until it is finished, because the engine still processes it.
    pub fn cancel(&mut self, id: id::RequestId) -> Cancelled {
        if self.queue.remove(id).is_some() {
            Cancelled::Queued
        } else if self.queue.is_running(id) {
            Cancelled::Running
        } else {
            Cancelled::Unknown
        }
    }

    /// Refuses the queued requests whose wait has expired.
    pub fn expire(&mut self, now: time::Mono) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(expired) = self.queue.expired(now) {
            let reason = if expired.deadline <= now {
                Reason::Deadline
            } else {
                Reason::Bound
            };
            events.extend(self.refuse(expired.id, reason));
        }
        events.extend(self.dispatch_queued(now));
        events
    }

    /// Returns when to call [`AdmissionController::expire`], if no other event
    /// comes first.
    pub fn next_expiry(&self) -> Option<time::Mono> {
        self.queue.next_expiry()
    }

    /// Replaces the member list of the group.
    pub fn set_members(&mut self, now: time::Mono, members: Vec<Member>) -> Vec<Event> {
        self.group.set_members(now, members);
        self.dispatch_queued(now)
    }

    /// Applies a load report of a peer.
    pub fn apply_report(&mut self, now: time::Mono, report: &LoadReport) -> Vec<Event> {
        self.group.apply_report(now, report);
        self.dispatch_queued(now)
    }

    /// Changes the standing. If it no longer allows new requests, all queued
    /// requests are refused.
    pub fn set_standing(&mut self, now: time::Mono, standing: Standing) -> Vec<Event> {
        self.standing = standing;
        let reason = match standing {
            Standing::Leaving => Reason::Leaving,
            Standing::Listed | Standing::Down => Reason::Down,
            Standing::Warming | Standing::Up => return self.dispatch_queued(now),
        };
        let mut events = Vec::new();
        while let Some(id) = self.queue.first_queued() {
            events.extend(self.refuse(id, reason));
        }
        events
    }

    /// Changes the parameters. Running requests above a lower cap continue.
    pub fn configure(&mut self, now: time::Mono, settings: Settings) -> Vec<Event> {
        self.settings = settings;
        self.dispatch_queued(now)
    }

    /// Returns the number of requests outstanding at the target, without queued
    /// ones.
    pub fn load(&self) -> u32 {
        self.queue.running()
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> u32 {
        self.queue.queued()
    }

    /// Returns how many requests the target may have outstanding now.
    pub fn cap(&self, now: time::Mono) -> u32 {
        self.group.cap(now, &self.settings.bound, self.load())
    }
}
