//! The control state of an agent: it decides about every request to its target.
//!
//! The decisions are those of [`admit::gate`], [`admit::quarantine`] and
//! [`once::ledger`]; this module carries them out.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use admit::{bound, gate, group, quarantine, ticket};
use arc_swap::ArcSwap;
use base::{id, span, time};
use conf::{settings, state};
use fleet::{convert, member};
use once::{action, claim, epoch::Epoch, event, ledger, refusal::Refusal};
use store::object;
use tokio::{
    runtime::Handle,
    sync::{mpsc, oneshot},
};
use wire::{convert as fields, msg};

use crate::{
    health,
    job::{Job, Report},
    metrics::Metrics,
    node::{Node, Signal},
    outlet::{Finish, Outlet, Reader, Window},
    refusal, suspects,
    target::Target,
};

/// Interval of health checks of the target.
const HEALTH_INTERVAL: span::Span = span::Span::from_millis(500);

/// Health checks in a row that get no answer before the target counts as down.
/// A refused connection counts at once.
const HEALTH_MISSES: u32 = 3;

/// Time for which a request whose response broke off still counts as in flight
/// when the target is found to have crashed.
const CRASH_WINDOW: span::Span = span::Span::from_secs(2);

/// Time for which a leaving agent tries to declare claims abandoned.
const ABANDON_WAIT: span::Span = span::Span::from_secs(10);

/// Margin of the bound: the mean falls when other engines finish requests, and
/// an engine at its cap must not be above the bound then.
const MARGIN: f64 = 1.75;

/// Less loaded agents that a refusal names.
const NAMED_PEERS: usize = 2;

/// What a reply stream is connected to.
#[derive(Debug)]
pub enum Attached {
    /// The response, from a reader's position.
    Outlet(Arc<Outlet>, Reader),
    /// A refusal.
    Refused(msg::Refused),
    /// An unknown outcome.
    Broken(msg::Broken),
}

/// What the traffic threads tell the control thread.
#[derive(Debug)]
pub enum Event {
    /// Concerns the common state.
    Node(Signal),
    /// A `Run` message arrived.
    Run(Box<msg::Run>, event::Link, oneshot::Sender<Attached>),
    /// A `Settle` message arrived.
    Settle(msg::Settle, event::Link, oneshot::Sender<Attached>),
    /// A `Cancel` message arrived.
    Cancel(id::RequestId),
    /// A reply stream ended before its reply did.
    LinkLost(id::RequestId, event::Link),
    /// A reply stream has taken a whole response.
    Delivered(id::RequestId),
    /// A job reports.
    Job(id::RequestId, u64, Report),
    /// The target was checked; none when it did not answer in time.
    Health(Option<bool>),
    /// The table answered for a claim.
    Claim(Box<claim::Ask>, claim::Answer),
    /// A response was stored for replay.
    Stored(id::RequestId, u64, claim::Response),
    /// A stored response was loaded for replay.
    Loaded(id::RequestId, Option<bytes::Bytes>),
    /// A plan keeps the target out of service, or no longer does; none changes
    /// nothing. The reply tells whether the target is out and has no work.
    Hold(Option<bool>, oneshot::Sender<bool>),
    /// The process is to stop.
    Stop,
}

struct Open {
    run: Arc<msg::Run>,
    fingerprint: id::Fingerprint,
    outlet: Arc<Outlet>,
    /// Number of the job that writes; reports of earlier ones are ignored.
    job: u64,
    dispatched: Option<time::Mono>,
    /// Responses of other requests that came in place of its own.
    crossings: u32,
}

/// Responses of other requests after which an engine's stream is not asked for
/// again.
const MOST_CROSSINGS: u32 = 3;

/// Carries out the operations on claim rows.
pub type Asks = Arc<dyn Fn(claim::Ask) + Send + Sync>;

/// What an agent's control state is made of.
pub struct Parts {
    /// Common state.
    pub node: Node,
    /// Incarnation of this run.
    pub incarnation: id::Incarnation,
    /// The target's interface.
    pub target: Target,
    /// Runs the jobs.
    pub traffic: Handle,
    /// Sends events to this state.
    pub events: mpsc::UnboundedSender<Event>,
    /// The stamp for replies.
    pub stamp: Arc<ArcSwap<msg::Stamp>>,
    /// Carries out claims.
    pub asks: Asks,
    /// Stored responses.
    pub objects: object::Objects,
    /// Whether an order to the target is under way; the process does not end
    /// before its outcome is recorded.
    pub ordering: Arc<AtomicBool>,
    /// Shown to the platform.
    pub health: Arc<health::Health>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

/// The control state; owned by the control thread.
pub struct Core {
    parts: Parts,
    agent: settings::Agent,
    gate: gate::Gate,
    quarantine: quarantine::Quarantine,
    ledger: ledger::Ledger,
    links: BTreeMap<event::Link, oneshot::Sender<Attached>>,
    open: BTreeMap<id::RequestId, Open>,
    /// Followers of a request that is not dispatched yet.
    waiting: BTreeMap<id::RequestId, Vec<(id::RequestId, event::Link)>>,
    /// Fingerprints whose responses broke off lately, and when.
    broken: Vec<(time::Mono, id::Fingerprint)>,
    jobs: u64,
    healthy: bool,
    misses: u32,
    health_due: time::Mono,
    /// When the process began to leave.
    left: Option<time::Mono>,
    joined: time::Mono,
    /// Whether a plan keeps the target out of service; set until the rows of
    /// plans were read.
    held: bool,
}

impl Core {
    /// Makes the state of a starting agent.
    pub fn new(parts: Parts, agent: settings::Agent) -> Self {
        let process = parts.node.settings.process.clone();
        let now = parts.node.clock.now();
        let me = claim::Owner {
            agent: process.clone(),
            incarnation: parts.incarnation,
        };
        let mut ledger = ledger::Ledger::new(me, ledger::Limits::default(), now);
        ledger.leave(now);
        Self {
            gate: gate::Gate::new(process, gate::Settings::default(), parts.incarnation.0),
            quarantine: quarantine::Quarantine::new(span::Span::from_secs(600), parts.incarnation),
            ledger,
            links: BTreeMap::new(),
            open: BTreeMap::new(),
            waiting: BTreeMap::new(),
            broken: Vec::new(),
            jobs: 0,
            healthy: false,
            misses: 0,
            health_due: now,
            left: None,
            joined: now,
            held: true,
            parts,
            agent,
        }
    }

    /// Runs until the process may exit.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        self.configure();
        loop {
            let now = self.now();
            let due = self.due().since(now);
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.event(event),
                    None => return,
                },
                () = tokio::time::sleep(due.duration()) => {}
            }
            while let Ok(event) = events.try_recv() {
                self.event(event);
            }
            self.tick();
            self.publish();
            if self.drained() {
                tracing::info!(event = "drained", target = %self.agent.target);
                return;
            }
        }
    }

    /// Tells whether the process may exit. Claims of requests that never ran
    /// are worth a short wait only: an undeclared one makes a later use of its
    /// key end as unknown, never run twice.
    fn drained(&self) -> bool {
        let Some(since) = self.left else {
            return false;
        };
        if self.parts.ordering.load(Ordering::Relaxed) {
            return false;
        }
        let finished = self.ledger.live() == 0 && self.ledger.unrecorded() == 0;
        self.ledger.drained() || (finished && self.now().since(since) > ABANDON_WAIT)
    }

    fn now(&self) -> time::Mono {
        self.parts.node.clock.now()
    }

    fn due(&mut self) -> time::Mono {
        let fixed = [
            self.parts.node.due(),
            self.health_due,
            self.ledger.next_expiry(),
        ];
        fixed
            .into_iter()
            .chain(self.gate.next_expiry())
            .min()
            .unwrap_or_default()
    }

    fn tick(&mut self) {
        let now = self.now();
        if self.parts.node.tick() {
            self.regroup(now);
        }
        if self.health_due <= now {
            self.health_due = now + HEALTH_INTERVAL;
            self.check_health();
        }
        let events = self.gate.expire(now);
        self.gated(now, events);
        let epoch = self.ledger.epoch();
        let actions = self.ledger.expire(now);
        self.act(now, actions);
        if self.ledger.epoch() != epoch {
            self.open.retain(|id, _| self.ledger.state(*id).is_some());
        }
        self.broken.retain(|(at, _)| now.since(*at) < CRASH_WINDOW);
    }

    fn service(&self) -> Option<Arc<state::Service>> {
        self.parts
            .node
            .conf()
            .services()
            .get(&self.agent.service)
            .cloned()
    }

    /// Applies the configuration in use to the gate and the quarantine.
    fn configure(&mut self) {
        let Some(service) = self.service() else {
            return;
        };
        let slots = self.agent.slots.unwrap_or(service.slots);
        let settings = gate::Settings {
            bound: bound::Rule {
                factor: service.factor.get(),
                floor: service.floor,
                slots,
                margin: MARGIN,
                ..bound::Rule::default()
            },
            queue: gate::Queue {
                length: service.queue,
                team: service.queue.div_ceil(2),
                ..gate::Queue::default()
            },
        };
        let now = self.now();
        let events = self.gate.configure(now, settings);
        self.gated(now, events);
    }

    /// Tells the gate the members of the group and their loads.
    fn regroup(&mut self, now: time::Mono) {
        let own = self.parts.node.settings.process.clone();
        let rows = self.parts.node.exchange.members.targets(now);
        let members = rows
            .into_iter()
            .filter(|row| row.member.service.as_ref() == Some(&self.agent.service))
            .filter(|row| row.member.process != own)
            .map(|row| group::Member {
                process: row.member.process.clone(),
                standing: standing(row.member.standing),
                report: (row.standing != member::Standing::Listed).then(|| group::Report {
                    process: row.member.process.clone(),
                    incarnation: row.member.incarnation,
                    sequence: row.member.sequence,
                    load: row.member.load,
                    age: row.age,
                }),
            })
            .collect();
        let events = self.gate.group(now, members);
        self.gated(now, events);
    }

    fn event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Node(signal) => {
                let changed = self.parts.node.signal(signal);
                if changed.members {
                    self.regroup(now);
                }
                if changed.configuration {
                    self.configure();
                }
                self.suspect(now, &changed.suspects);
                if let Some(known) = changed.renumber {
                    // The ledger belongs to one incarnation, so the process ends
                    // gracefully and the platform starts it again.
                    tracing::error!(event = "incarnation_behind", known = %known);
                    self.leave(now);
                }
                if changed.leaving {
                    self.leave(now);
                }
                self.parts
                    .node
                    .ready()
                    .then(|| self.parts.health.set(health::State::Ready));
            }
            Event::Run(run, link, reply) => self.offer(now, *run, link, reply),
            Event::Settle(settle, link, reply) => self.settle(now, &settle, link, reply),
            Event::Cancel(id) => {
                let actions = self.ledger.cancel(now, id);
                self.act(now, actions);
            }
            Event::LinkLost(id, link) => {
                self.links.remove(&link);
                let actions = self.ledger.link_lost(now, id, link);
                self.act(now, actions);
            }
            Event::Delivered(id) => self.delivered(now, id),
            Event::Job(id, job, report) => self.report(now, id, job, report),
            Event::Health(answer) => self.checked(now, answer),
            Event::Claim(ask, answer) => {
                let actions = self.ledger.answered(now, &ask.key, ask.nonce, answer);
                self.act(now, actions);
            }
            Event::Stored(id, total, response) => {
                let actions = self.ledger.complete(now, id, total, Some(response));
                self.act(now, actions);
            }
            Event::Loaded(id, body) => self.loaded(id, body),
            Event::Hold(held, reply) => {
                self.hold(now, held.unwrap_or(self.held));
                let busy = self.ledger.live() > 0 || self.ledger.unrecorded() > 0;
                reply.send(self.held && !busy).ok();
            }
            Event::Stop => self.leave(now),
        }
    }

    /// Drops the bytes of a response that its reply stream has taken. What may
    /// still be lost in the link can be had again: an engine resumes the
    /// stream, and a repeatable request may run again. Other responses are kept
    /// until the ledger forgets the request.
    fn delivered(&mut self, now: time::Mono, id: id::RequestId) {
        let repeatable = |open: &Open| open.run.class() == msg::Class::Repeatable;
        if self.open.get(&id).is_some_and(repeatable) {
            let actions = self.ledger.delivered(id);
            self.act(now, actions);
        }
    }

    fn leave(&mut self, now: time::Mono) {
        if self.left.is_some() {
            return;
        }
        self.left = Some(now);
        tracing::info!(event = "leaving", target = %self.agent.target, open = self.ledger.live());
        let actions = self.ledger.leave(now);
        self.act(now, actions);
        let events = self.gate.standing(now, group::Standing::Leaving);
        self.gated(now, events);
    }

    /// Takes no new work, or takes it again, as plans say. Requests in flight go
    /// on.
    fn hold(&mut self, now: time::Mono, held: bool) {
        if std::mem::replace(&mut self.held, held) == held {
            return;
        }
        tracing::info!(event = "target_held", target = %self.agent.target, held, open = self.ledger.live());
        if self.left.is_some() {
            return;
        }
        if held {
            let actions = self.ledger.leave(now);
            self.act(now, actions);
        } else {
            self.joined = now;
            self.ledger.stay();
        }
        self.set_gate(now);
    }

    /// Tells the gate whether the target takes new work.
    fn set_gate(&mut self, now: time::Mono) {
        let standing = match (self.held, self.healthy) {
            (true, _) => group::Standing::Leaving,
            (false, true) => group::Standing::Up,
            (false, false) => group::Standing::Down,
        };
        let events = self.gate.standing(now, standing);
        self.gated(now, events);
    }

    fn offer(
        &mut self,
        now: time::Mono,
        run: msg::Run,
        link: event::Link,
        reply: oneshot::Sender<Attached>,
    ) {
        self.learn(now, &run);
        let offer = match self.read(&run, link) {
            Ok(offer) => offer,
            Err(cause) => {
                tracing::warn!(event = "run_invalid", %cause);
                let refused = refusal::to_message(&Refusal::Invalid, None);
                reply.send(Attached::Refused(refused)).ok();
                return;
            }
        };
        if run.service != self.agent.service.as_str() {
            let refused = refusal::to_message(&Refusal::Down, None);
            reply.send(Attached::Refused(refused)).ok();
            return;
        }
        let id = offer.id;
        self.links.insert(link, reply);
        let known = self.open.contains_key(&id);
        let fingerprint = id::Fingerprint(run.fingerprint);
        if !known {
            let window = self.window(run.class());
            let open = Open {
                outlet: Arc::new(Outlet::new(window, run.skip)),
                run: Arc::new(run),
                fingerprint,
                job: 0,
                dispatched: None,
                crossings: 0,
            };
            self.open.insert(id, open);
        }
        let actions = self.ledger.offer(now, offer);
        self.act(now, actions);
    }

    fn window(&self, class: msg::Class) -> Window {
        match (class, self.agent.kind) {
            (msg::Class::Keyed, _) => Window::KEPT,
            (_, state::Kind::Engine) => Window::RESUMABLE,
            (_, state::Kind::Plain) => Window::PLAIN,
        }
    }

    /// Takes in quarantine entries of other processes.
    fn suspect(&mut self, now: time::Mono, suspects: &[msg::Suspect]) {
        for suspect in suspects {
            self.quarantine.merge(now, &suspects::from_message(suspect));
        }
    }

    /// Returns what is known of a content and of all that was in flight at the
    /// same crashes.
    fn related(&self, now: time::Mono, fingerprint: id::Fingerprint) -> Vec<msg::Suspect> {
        let related = self.quarantine.related(now, fingerprint);
        let service = self.agent.service.as_str();
        related
            .iter()
            .map(|entry| suspects::to_message(entry, service))
            .collect()
    }

    /// Tells other processes what is known of a content.
    fn spread(&mut self, now: time::Mono, fingerprint: id::Fingerprint) {
        for suspect in self.related(now, fingerprint) {
            self.parts.node.exchange.suspect(now, suspect);
        }
    }

    /// Takes in what a router tells about itself and other agents.
    fn learn(&mut self, now: time::Mono, run: &msg::Run) {
        self.suspect(now, &run.suspects);
        if let Some(stamp) = &run.stamp {
            self.parts.node.signal(Signal::Stamp(stamp.clone()));
        }
        let loads = run.loads.iter().filter_map(|load| convert::load(load).ok());
        for load in loads {
            self.parts.node.exchange.members.load(now, load);
        }
        if !run.loads.is_empty() {
            self.regroup(now);
        }
    }

    fn read(&self, run: &msg::Run, link: event::Link) -> Result<event::Offer, anyhow::Error> {
        let class = match run.class() {
            msg::Class::Repeatable => event::Class::Repeatable,
            msg::Class::Once => event::Class::Once,
            msg::Class::Keyed => event::Class::Keyed {
                key: claim::Key::new(
                    fields::text_id("service", &run.service)?,
                    fields::text_id("team", &run.team)?,
                    &run.key,
                )?,
                digest: claim::Digest(run.digest.as_ref().try_into()?),
                nonce: id::Nonce(base::id::random_bits()),
            },
        };
        Ok(event::Offer {
            id: fields::request_id(&run.id)?,
            link,
            incarnation: id::Incarnation(run.incarnation),
            epoch: Epoch(run.epoch),
            class,
            remaining: span::Span::from_millis(run.remaining.into()),
        })
    }

    fn settle(
        &mut self,
        now: time::Mono,
        settle: &msg::Settle,
        link: event::Link,
        reply: oneshot::Sender<Attached>,
    ) {
        let Ok(id) = fields::request_id(&settle.id) else {
            let refused = refusal::to_message(&Refusal::Invalid, None);
            reply.send(Attached::Refused(refused)).ok();
            return;
        };
        self.links.insert(link, reply);
        let actions = self.ledger.settle(
            now,
            event::Settle {
                id,
                link,
                incarnation: id::Incarnation(settle.incarnation),
                epoch: Epoch(settle.epoch),
                offset: settle.offset,
            },
        );
        self.act(now, actions);
    }

    fn act(&mut self, now: time::Mono, actions: Vec<action::Action>) {
        for action in actions {
            self.one(now, action);
        }
    }

    fn one(&mut self, now: time::Mono, action: action::Action) {
        match action {
            action::Action::Admit(id) => self.admit(now, id),
            action::Action::Withdraw(id) => {
                self.gate.cancel(id);
            }
            action::Action::Release(id) => {
                let events = self.gate.finish(now, id);
                self.gated(now, events);
            }
            action::Action::Ask(ask) => (self.parts.asks)(ask),
            action::Action::Dispatch(id) => self.dispatch(now, id),
            action::Action::Resume { id, offset } => self.resume(id, offset),
            action::Action::Stop(id) => self.stop(id),
            action::Action::Refuse {
                id,
                link,
                why,
                after,
            } => self.refuse(now, id, link, &why, after),
            action::Action::Attach {
                id,
                link,
                of,
                offset,
            } => self.attach(id, link, of, offset),
            action::Action::Replay { id, link, response } => self.replay(id, link, response),
            action::Action::Break { id, link, cause } => self.fail(id, link, cause),
            action::Action::Forget(id) => self.forget(id),
        }
    }

    /// Drops the bytes of a request. What is left serves to resume an engine's
    /// stream and goes when the ledger has forgotten the request.
    fn forget(&mut self, id: id::RequestId) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.outlet.stop();
        let (_, end) = open.outlet.held();
        open.outlet = Arc::new(Outlet::new(Window::RESUMABLE, end));
        open.run = Arc::new(msg::Run {
            skip: open.run.skip,
            class: open.run.class,
            ..msg::Run::default()
        });
    }

    fn admit(&mut self, now: time::Mono, id: id::RequestId) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let verdict = self.quarantine.check(now, open.fingerprint);
        if let quarantine::Verdict::Refused { remaining } = verdict {
            self.parts.metrics.count("quarantine.refused");
            let actions = self
                .ledger
                .refused(now, id, Refusal::Quarantine, Some(remaining));
            return self.act(now, actions);
        }
        let running = self.running();
        let in_flight = running.iter().map(|(_, fingerprint)| fingerprint);
        if !self.quarantine.may_join(now, open.fingerprint, in_flight) {
            let after = Some(span::Span::from_secs(1));
            let actions = self.ledger.refused(now, id, Refusal::Bound, after);
            return self.act(now, actions);
        }
        let Ok(team) = open.run.team.parse() else {
            let actions = self.ledger.refused(now, id, Refusal::Invalid, None);
            return self.act(now, actions);
        };
        let offered = self.gate.offer(
            now,
            ticket::Ticket {
                id,
                team,
                weight: open.run.weight.max(1),
                priority: open.run.priority,
                deadline: now + span::Span::from_millis(open.run.remaining.into()),
            },
        );
        match offered.verdict {
            ticket::Verdict::Run => self.admitted(now, id),
            ticket::Verdict::Queued => {}
            ticket::Verdict::Refused { reason, after } => self.refused(now, id, reason, after),
        }
        self.gated(now, offered.events);
    }

    fn gated(&mut self, now: time::Mono, events: Vec<ticket::Event>) {
        for event in events {
            match event {
                ticket::Event::Run(id) => self.admitted(now, id),
                ticket::Event::Refused { id, reason, after } => {
                    self.refused(now, id, reason, after);
                }
            }
        }
    }

    fn admitted(&mut self, now: time::Mono, id: id::RequestId) {
        let actions = self.ledger.admitted(now, id);
        self.act(now, actions);
    }

    fn refused(
        &mut self,
        now: time::Mono,
        id: id::RequestId,
        reason: ticket::Reason,
        after: span::Span,
    ) {
        let why = match reason {
            ticket::Reason::Bound => Refusal::Bound,
            ticket::Reason::Share => Refusal::Share,
            ticket::Reason::Deadline => Refusal::Deadline,
            ticket::Reason::Leaving => Refusal::Leaving,
            ticket::Reason::Down | ticket::Reason::Duplicate => Refusal::Down,
        };
        self.parts.metrics.count("admit.refused");
        let actions = self.ledger.refused(now, id, why, Some(after));
        self.act(now, actions);
    }

    fn dispatch(&mut self, now: time::Mono, id: id::RequestId) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.dispatched = Some(now);
        let run = open.run.clone();
        tracing::info!(event = "dispatch", request = %id, team = run.team, target = %self.agent.target,
            load = self.gate.load(), cap = self.gate.cap(now), queued = self.gate.queued(), attempt = run.attempt);
        self.parts.metrics.count("dispatch");
        let skip = run.skip;
        if let Some(job) = self.job(id, skip) {
            self.parts.traffic.spawn(job.run(run));
        }
        if let Some(link) = self.ledger.link(id) {
            self.attach(id, link, id, skip);
        }
        self.attach_waiting(id);
    }

    fn attach_waiting(&mut self, of: id::RequestId) {
        for (id, link) in self.waiting.remove(&of).unwrap_or_default() {
            self.attach(id, link, of, 0);
        }
    }

    /// Makes the job that writes the response from an offset.
    fn job(&mut self, id: id::RequestId, offset: u64) -> Option<Job> {
        self.jobs += 1;
        let number = self.jobs;
        let deterministic = self.service().is_some_and(|service| service.deterministic);
        let open = self.open.get_mut(&id)?;
        open.job = number;
        let events = self.parts.events.clone();
        Some(Job {
            id,
            target: self.parts.target.clone(),
            links: self.parts.node.links.clone(),
            writer: open.outlet.writer(offset),
            outlet: open.outlet.clone(),
            report: Arc::new(move |report| {
                events.send(Event::Job(id, number, report)).ok();
            }),
            engine: self.agent.kind == state::Kind::Engine,
            deterministic,
        })
    }

    fn resume(&mut self, id: id::RequestId, offset: u64) {
        tracing::info!(event = "resume", request = %id, target = %self.agent.target, offset);
        self.parts.metrics.count("resume");
        if let Some(job) = self.job(id, offset) {
            self.parts.traffic.spawn(job.resume(offset));
        }
    }

    fn stop(&mut self, id: id::RequestId) {
        tracing::info!(event = "cancel", request = %id, target = %self.agent.target);
        if let Some(open) = self.open.remove(&id) {
            open.outlet.stop();
        }
        if self.agent.kind == state::Kind::Engine {
            let target = self.parts.target.clone();
            self.parts.traffic.spawn(async move {
                if let Err(fault) = target.cancel(id).await {
                    tracing::info!(event = "cancel_failed", request = %id, cause = %fault);
                }
            });
        }
    }

    fn refuse(
        &mut self,
        now: time::Mono,
        id: id::RequestId,
        link: event::Link,
        why: &Refusal,
        after: Option<span::Span>,
    ) {
        tracing::info!(event = "refuse", request = %id, target = %self.agent.target, reason = %why,
            load = self.gate.load(), cap = self.gate.cap(now), queued = self.gate.queued());
        let mut refused = refusal::to_message(why, after);
        if matches!(
            why,
            Refusal::Bound | Refusal::Share | Refusal::Leaving | Refusal::Down
        ) {
            refused.peers = self.less_loaded(now);
        }
        match (self.links.remove(&link), self.open.get(&id)) {
            (Some(reply), _) => {
                reply.send(Attached::Refused(refused)).ok();
            }
            // Dispatched, but the target did not take it: the reply stream
            // reads the outlet already.
            (None, Some(open)) => open.outlet.finish(Finish::Refused(refused)),
            (None, None) => {}
        }
        if !self.ledger.state(id).is_some_and(|state| state.runs()) {
            self.open.remove(&id);
            self.waiting.remove(&id);
        }
    }

    /// Returns the agents of the service with the most room.
    fn less_loaded(&self, now: time::Mono) -> Vec<String> {
        let mut peers = self
            .parts
            .node
            .exchange
            .members
            .group(now, &self.agent.service);
        peers.retain(|peer| {
            matches!(
                peer.standing,
                member::Standing::Up | member::Standing::Warming
            ) && peer.load < peer.cap
        });
        peers.sort_by_key(|peer| u64::from(peer.load) * 1000 / u64::from(peer.cap.max(1)));
        peers
            .into_iter()
            .take(NAMED_PEERS)
            .map(|peer| peer.process.to_string())
            .collect()
    }

    fn attach(&mut self, id: id::RequestId, link: event::Link, of: id::RequestId, offset: u64) {
        let early = |open: &Open| open.dispatched.is_none();
        if of != id && self.open.get(&of).is_some_and(early) {
            self.waiting.entry(of).or_default().push((id, link));
            return;
        }
        let Some(reply) = self.links.remove(&link) else {
            return;
        };
        let attached = match self.open.get(&of) {
            None => Attached::Broken(broken("the response is no longer kept")),
            Some(open) => match open.outlet.attach(id, offset, offset > open.run.skip) {
                Ok(reader) => Attached::Outlet(open.outlet.clone(), reader),
                Err(gone) => Attached::Broken(broken(&gone.to_string())),
            },
        };
        reply.send(attached).ok();
    }

    fn replay(&mut self, id: id::RequestId, link: Option<event::Link>, response: claim::Response) {
        let outlet = Arc::new(Outlet::new(Window::KEPT, 0));
        let head = msg::Head {
            status: response.status.into(),
            headers: response
                .headers
                .iter()
                .map(|field| msg::Header {
                    name: field.name.clone(),
                    value: field.value.0.clone().into(),
                })
                .collect(),
            id: fields::request_bytes(id),
            replayed: true,
            resumable: false,
        };
        outlet.head(head);
        tracing::info!(event = "replay", request = %id, target = %self.agent.target, status = response.status);
        self.parts.metrics.count("replay");
        let now = self.now();
        if let Some(open) = self.open.get_mut(&id) {
            open.outlet = outlet;
            open.dispatched = Some(now);
        }
        match response.body {
            claim::Body::Inline(body) => self.loaded(id, Some(body.0.into())),
            claim::Body::Object { key, .. } => self.load(id, key),
            claim::Body::Unkept => self.loaded(id, None),
        }
        if let Some(link) = link {
            self.attach(id, link, id, 0);
        }
        self.attach_waiting(id);
    }

    /// Reads a stored response from the object store.
    fn load(&self, id: id::RequestId, key: String) {
        let objects = self.parts.objects.clone();
        let events = self.parts.events.clone();
        tokio::spawn(async move {
            let body = match objects.get(&key).await {
                Ok(object) => object.map(|object| object.bytes),
                Err(fault) => {
                    tracing::warn!(event = "response_unread", request = %id, cause = %fault);
                    None
                }
            };
            events.send(Event::Loaded(id, body)).ok();
        });
    }

    /// Writes a large response of a keyed request to the object store, then
    /// completes the request.
    fn store(&self, id: id::RequestId, total: u64, response: claim::Response, body: Vec<u8>) {
        let objects = self.parts.objects.clone();
        let events = self.parts.events.clone();
        let key = format!("response/{id}");
        tokio::spawn(async move {
            let any = object::Condition::Any;
            let written = match objects.put(&key, body.into(), &any).await {
                object::Outcome::Written(_) => claim::Body::Object { key, total },
                outcome => {
                    tracing::warn!(event = "response_unwritten", request = %id, outcome = ?outcome);
                    claim::Body::Unkept
                }
            };
            let response = claim::Response {
                body: written,
                ..response
            };
            events.send(Event::Stored(id, total, response)).ok();
        });
    }

    fn loaded(&mut self, id: id::RequestId, body: Option<bytes::Bytes>) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let writer = open.outlet.writer(0);
        match body {
            Some(body) => {
                open.outlet.push(writer, body);
                open.outlet.finish(Finish::Whole);
            }
            None => open
                .outlet
                .finish(Finish::Broken(broken("the stored response cannot be read"))),
        }
    }

    fn fail(&mut self, id: id::RequestId, link: event::Link, cause: action::Cause) {
        tracing::warn!(event = "outcome_unknown", request = %id, target = %self.agent.target, cause = ?cause);
        self.parts.metrics.count("outcome.unknown");
        let mut message = broken(&format!("{cause:?}"));
        if let Some(open) = self.open.get(&id) {
            message.suspects = self.related(self.now(), open.fingerprint);
        }
        // A second arrival of the id, or an offset that is gone, does not end
        // the response for others.
        let failed = self.ledger.state(id).is_some_and(|state| state.failed());
        if let Some(open) = self.open.get(&id).filter(|_| failed) {
            open.outlet.finish(Finish::Broken(message.clone()));
        }
        if let Some(reply) = self.links.remove(&link) {
            reply.send(Attached::Broken(message)).ok();
        }
    }

    fn report(&mut self, now: time::Mono, id: id::RequestId, job: u64, report: Report) {
        let Some(open) = self.open.get(&id).filter(|open| open.job == job) else {
            return;
        };
        let outlet = open.outlet.clone();
        let (start, end) = outlet.held();
        let fingerprint = open.fingerprint;
        let mut actions = self.ledger.progress(id, end, start);
        actions.extend(match report {
            Report::NotSent(fault) => {
                tracing::warn!(event = "target_refused", request = %id, target = %self.agent.target, cause = %fault);
                self.check_health();
                self.ledger.unsent(now, id)
            }
            Report::Head { resumable, cached } => {
                tracing::info!(event = "response", request = %id, target = %self.agent.target, cached);
                self.ledger.head(id, resumable)
            }
            Report::Complete(total) => return self.complete(now, id, total),
            Report::Broken(fault) => {
                tracing::warn!(event = "target_broke_off", request = %id, target = %self.agent.target, offset = end, cause = %fault);
                self.broken.push((now, fingerprint));
                self.check_health();
                self.ledger.broken(now, id)
            }
            Report::Crossed(other) => {
                tracing::warn!(event = "response_crossed", request = %id, other, target = %self.agent.target);
                self.parts.metrics.count("response.crossed");
                self.crossed(now, id)
            }
            Report::Unresumed(fault) => {
                tracing::warn!(event = "stream_not_resumed", request = %id, target = %self.agent.target, cause = %fault);
                self.check_health();
                self.ledger.unresumed(now, id)
            }
        });
        let ended = actions
            .iter()
            .any(|action| matches!(action, action::Action::Break { .. }));
        self.act(now, actions);
        if ended || self.ledger.state(id).is_some_and(|state| state.failed()) {
            let mut message = broken("the target broke off");
            message.suspects = self.related(now, fingerprint);
            outlet.finish(Finish::Broken(message));
        }
    }

    /// Drops another request's response; an engine has the right one still.
    fn crossed(&mut self, now: time::Mono, id: id::RequestId) -> Vec<action::Action> {
        let crossings = self.open.get_mut(&id).map(|open| {
            open.crossings += 1;
            open.crossings
        });
        let again = crossings.is_some_and(|count| count <= MOST_CROSSINGS);
        if self.agent.kind == state::Kind::Engine && again {
            let offset = self.open.get(&id).map_or(0, |open| open.outlet.held().1);
            self.ledger.head(id, true);
            return vec![action::Action::Resume { id, offset }];
        }
        self.ledger.broken(now, id)
    }

    fn complete(&mut self, now: time::Mono, id: id::RequestId, total: u64) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let outlet = open.outlet.clone();
        let keyed = open.run.class() == msg::Class::Keyed;
        if keyed {
            outlet.finish(Finish::Whole);
        }
        let fingerprint = open.fingerprint;
        let took = open.dispatched.map(|at| now.since(at));
        tracing::info!(event = "complete", request = %id, target = %self.agent.target, bytes = total,
            took_ms = took.map(span::Span::as_millis));
        if self.quarantine.check(now, fingerprint) != quarantine::Verdict::Clear {
            self.quarantine.completed(fingerprint);
            self.spread(now, fingerprint);
        }
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let response = match keyed.then(|| stored(&open.outlet)).flatten() {
            Some((response, body)) if body.len() > claim::MAX_INLINE => {
                return self.store(id, total, response, body);
            }
            Some((response, body)) => Some(claim::Response {
                body: claim::Body::Inline(claim::Content(body)),
                ..response
            }),
            None => None,
        };
        let actions = self.ledger.complete(now, id, total, response);
        self.act(now, actions);
        if !keyed {
            // The stamp of the last frame no longer counts this request.
            self.publish();
            outlet.finish(Finish::Whole);
        }
    }

    fn check_health(&self) {
        let target = self.parts.target.clone();
        let engine = self.agent.kind == state::Kind::Engine;
        let events = self.parts.events.clone();
        self.parts.traffic.spawn(async move {
            let answer = check(&target, engine).await;
            events.send(Event::Health(answer)).ok();
        });
    }

    fn checked(&mut self, now: time::Mono, answer: Option<bool>) {
        let healthy = match answer {
            Some(healthy) => healthy,
            None if self.misses < HEALTH_MISSES => {
                self.misses += 1;
                return;
            }
            None => false,
        };
        if healthy {
            self.misses = 0;
        }
        if healthy == self.healthy {
            return;
        }
        self.healthy = healthy;
        tracing::info!(event = "target_health", target = %self.agent.target, healthy);
        if !healthy {
            self.crashed(now);
        } else {
            self.joined = now;
        }
        if self.left.is_none() {
            self.set_gate(now);
        }
    }

    /// Returns the requests that the target runs.
    fn running(&self) -> Vec<(id::RequestId, id::Fingerprint)> {
        self.open
            .iter()
            .filter(|(id, _)| self.ledger.state(**id).is_some_and(|state| state.runs()))
            .map(|(id, open)| (*id, open.fingerprint))
            .collect()
    }

    /// Notes which requests were in flight when the target went down.
    fn crashed(&mut self, now: time::Mono) {
        let running = self
            .running()
            .into_iter()
            .map(|(_, fingerprint)| fingerprint);
        let lately = self.broken.iter().map(|(_, fingerprint)| *fingerprint);
        let suspects: std::collections::BTreeSet<_> = running.chain(lately).collect();
        tracing::warn!(event = "target_down", target = %self.agent.target, suspects = suspects.len());
        self.parts.metrics.count("target.down");
        self.quarantine
            .crash(now, &self.agent.target, suspects.iter().copied());
        for fingerprint in suspects {
            self.spread(now, fingerprint);
        }
        self.broken.clear();
    }

    fn standing(&self, now: time::Mono) -> member::Standing {
        let warm_up = self
            .service()
            .map_or(span::Span::ZERO, |service| service.warm_up);
        if self.left.is_some() {
            member::Standing::Leaving
        } else if !self.healthy || self.held {
            // A member that reported leaving never comes back in the same
            // incarnation; one that is held by a plan does.
            member::Standing::Down
        } else if now.since(self.joined) < warm_up {
            member::Standing::Warming
        } else {
            member::Standing::Up
        }
    }

    fn publish(&mut self) {
        let now = self.now();
        let standing = self.standing(now);
        let cap = self.gate.cap(now);
        self.parts.node.tell(standing, self.gate.load(), cap);
        let mut stamp = self.parts.node.stamp();
        stamp.waiting = self.gate.queued();
        stamp.load = self.gate.load() + stamp.waiting;
        stamp.cap = cap;
        stamp.epoch = self.ledger.epoch().0;
        if **self.parts.stamp.load() != stamp {
            self.parts.stamp.store(Arc::new(stamp));
        }
    }
}

fn standing(standing: member::Standing) -> group::Standing {
    match standing {
        member::Standing::Listed => group::Standing::Listed,
        member::Standing::Warming => group::Standing::Warming,
        member::Standing::Up => group::Standing::Up,
        member::Standing::Leaving => group::Standing::Leaving,
        member::Standing::Down => group::Standing::Down,
    }
}

fn broken(cause: &str) -> msg::Broken {
    msg::Broken {
        cause: cause.to_owned(),
        dispatched: true,
        offset: 0,
        resumable: false,
        suspects: Vec::new(),
    }
}

/// Returns the response of a keyed request, and its body, which is not placed
/// yet.
fn stored(outlet: &Outlet) -> Option<(claim::Response, Vec<u8>)> {
    let (head, body) = outlet.whole()?;
    let headers = head
        .headers
        .iter()
        .map(|field| claim::Header {
            name: field.name.clone(),
            value: claim::Content(field.value.to_vec()),
        })
        .collect();
    let response = claim::Response {
        status: u16::try_from(head.status).unwrap_or_default(),
        headers,
        body: claim::Body::Unkept,
    };
    Some((response, body))
}

/// Time for a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// Checks the target: false when it refuses connections or says that it is not
/// healthy, none when it does not answer in time. Only an engine has a health
/// page; of a plain service an open port is all that is known.
async fn check(target: &Target, engine: bool) -> Option<bool> {
    let connect = tokio::net::TcpStream::connect(target.address());
    match tokio::time::timeout(HEALTH_TIMEOUT, connect).await {
        Err(_) => return None,
        Ok(Err(_)) => return Some(false),
        Ok(Ok(_)) if !engine => return Some(true),
        Ok(Ok(_)) => {}
    }
    match tokio::time::timeout(HEALTH_TIMEOUT, target.health()).await {
        Err(_) => None,
        Ok(health) => Some(health.is_ok()),
    }
}
