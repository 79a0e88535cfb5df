//! The control state of an agent: it decides about every request to its target.
//!
//! The decisions are those of [`admit::controller`], [`admit::quarantine`] and
//! [`once::ledger`]; this module carries them out.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use admit::{bound, controller, external, group, quarantine};
use arc_swap::ArcSwap;
use base::{id, span, time};
use conf::{settings, state};
use fleet::member;
use once::{action, claim, event, ledger};
use store::object;
use tokio::{
    runtime::Handle,
    sync::{mpsc, oneshot},
};
use wire::msg;

use crate::{
    agent_loads, health,
    job::Report,
    metrics::Metrics,
    node::{Node, Signal},
    outlet::{Outlet, Reader},
    target::Target,
};

/// Interval of health checks of the target.
const HEALTH_INTERVAL: span::Span = span::Span::from_millis(500);

/// Time for which a request whose response broke off still counts as in flight
/// when the target is found to have crashed.
const CRASH_WINDOW: span::Span = span::Span::from_secs(2);

/// Time for which a leaving agent tries to declare claims abandoned.
const ABANDON_WAIT: span::Span = span::Span::from_secs(10);

/// Margin of the bound: the mean falls when other engines finish requests, and
/// an engine at its cap must not be above the bound then.
const MARGIN: f64 = 1.75;

/// Length of a quarantine until the agent knows its service.
const QUARANTINE: span::Span = span::Span::from_secs(600);

/// What a reply stream is connected to.
#[derive(Debug)]
pub enum Attached {
    /// The response, from a reader's position.
    Outlet(Arc<Outlet>, Reader),
    /// A refusal.
    Refused(msg::Refused),
    /// An unknown outcome.
    Broken(msg::Interrupted),
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
    /// The engine reported the requests that it has.
    EngineLoad(u32),
    /// The table answered for a claim.
    Claim(Box<claim::Ask>, claim::Answer),
    /// A response was stored for replay.
    Stored(id::RequestId, u64, claim::Response),
    /// A plan keeps the target out of service, or no longer does; none changes
    /// nothing. The reply tells whether the target is out and has no work.
    Hold(Option<bool>, oneshot::Sender<bool>),
    /// The process is to stop.
    Stop,
}

/// A request that the ledger knows, with its response.
pub(crate) struct Open {
    /// The request; none once its response was delivered.
    pub(crate) run: Option<Arc<msg::Run>>,
    pub(crate) class: msg::Class,
    /// Bytes of the response that the caller had before.
    pub(crate) skip: u64,
    pub(crate) fingerprint: id::Fingerprint,
    pub(crate) outlet: Arc<Outlet>,
    /// Number of the job that writes; reports of earlier ones are ignored.
    pub(crate) job: u64,
    pub(crate) dispatched: Option<time::Mono>,
    /// Responses of other requests that came in place of its own.
    pub(crate) crossings: u32,
}

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
    pub stamp: Arc<ArcSwap<msg::SenderStatus>>,
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
    pub(crate) parts: Parts,
    pub(crate) agent: settings::Agent,
    pub(crate) admission: controller::AdmissionController,
    pub(crate) quarantine: quarantine::Quarantine,
    /// The engine's reports against this agent's count.
    pub(crate) external: external::LoadMonitor,
    pub(crate) load_due: time::Mono,
    pub(crate) ledger: ledger::Ledger,
    pub(crate) links: BTreeMap<event::Link, oneshot::Sender<Attached>>,
    pub(crate) open: BTreeMap<id::RequestId, Open>,
    /// Followers of a request that is not dispatched yet.
    pub(crate) waiting: BTreeMap<id::RequestId, Vec<(id::RequestId, event::Link)>>,
    /// Fingerprints whose responses broke off lately, and when.
    pub(crate) broken: Vec<(time::Mono, id::Fingerprint)>,
    pub(crate) jobs: u64,
    pub(crate) healthy: bool,
    pub(crate) misses: u32,
    pub(crate) health_due: time::Mono,
    /// When the process began to leave.
    pub(crate) left: Option<time::Mono>,
    pub(crate) joined: time::Mono,
    /// Whether a plan keeps the target out of service; set until the rows of
    /// plans were read.
    pub(crate) held: bool,
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
            admission: controller::AdmissionController::new(
                process,
                controller::Settings::default(),
                parts.incarnation.0,
            ),
            quarantine: quarantine::Quarantine::new(QUARANTINE, parts.incarnation),
            external: external::LoadMonitor::default(),
            load_due: now,
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

    pub(crate) fn now(&self) -> time::Mono {
        self.parts.node.clock.now()
    }

    fn due(&mut self) -> time::Mono {
        let fixed = [
            self.parts.node.due(),
            self.health_due,
            self.load_due,
            self.ledger.next_expiry(),
        ];
        fixed
            .into_iter()
            .chain(self.admission.next_expiry())
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
        if self.load_due <= now {
            self.load_due = now + agent_loads::INTERVAL;
            self.check_load(now);
        }
        let events = self.admission.expire(now);
        self.gated(now, events);
        let epoch = self.ledger.epoch();
        let actions = self.ledger.expire(now);
        self.act(now, actions);
        if self.ledger.epoch() != epoch {
            self.open.retain(|id, _| self.ledger.state(*id).is_some());
        }
        self.broken.retain(|(at, _)| now.since(*at) < CRASH_WINDOW);
    }

    pub(crate) fn service(&self) -> Option<Arc<state::Service>> {
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
        let settings = controller::Settings {
            bound: bound::Params {
                factor: service.factor.get(),
                floor: service.floor,
                slots,
                margin: MARGIN,
                ..bound::Params::default()
            },
            queue: controller::QueueLimits {
                total: service.queue,
                per_team: service.queue.div_ceil(2),
                ..controller::QueueLimits::default()
            },
        };
        let now = self.now();
        self.quarantine.set_term(service.quarantine);
        let events = self.admission.configure(now, settings);
        self.gated(now, events);
    }

    /// Tells the gate the members of the group and their loads.
    pub(crate) fn regroup(&mut self, now: time::Mono) {
        let own = self.parts.node.settings.process.clone();
        let members = &self.parts.node.exchange.members;
        let rows = members.of_service(now, &self.agent.service);
        let members = rows
            .into_iter()
            .filter(|row| row.member.process != own)
            .map(|row| group::Member {
                process: row.member.process.clone(),
                standing: standing(row.member.standing),
                report: (row.standing != member::Standing::Listed).then(|| group::LoadReport {
                    process: row.member.process.clone(),
                    incarnation: row.member.incarnation,
                    sequence: row.member.sequence,
                    load: row.member.load,
                    age: row.age,
                }),
            })
            .collect();
        let events = self.admission.set_members(now, members);
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
            Event::EngineLoad(reported) => self.engine_load(now, reported),
            Event::Claim(ask, answer) => {
                let actions = self.ledger.answered(now, &ask.key, ask.nonce, answer);
                self.act(now, actions);
            }
            Event::Stored(id, total, response) => {
                let actions = self.ledger.complete(now, id, total, Some(response));
                self.act(now, actions);
            }
            Event::Hold(held, reply) => {
                self.hold(now, held.unwrap_or(self.held));
                let busy = self.ledger.live() > 0 || self.ledger.unrecorded() > 0;
                reply.send(self.held && !busy).ok();
            }
            Event::Stop => self.leave(now),
        }
    }

    pub(crate) fn leave(&mut self, now: time::Mono) {
        if self.left.is_some() {
            return;
        }
        self.left = Some(now);
        tracing::info!(event = "leaving", target = %self.agent.target, open = self.ledger.live());
        let actions = self.ledger.leave(now);
        self.act(now, actions);
        let events = self.admission.set_standing(now, group::Standing::Leaving);
        self.gated(now, events);
    }

    /// Takes no new work, or takes it again, as plans say. Requests in flight go
    /// on.
    pub(crate) fn hold(&mut self, now: time::Mono, held: bool) {
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
    pub(crate) fn set_gate(&mut self, now: time::Mono) {
        let standing = match (self.held, self.healthy) {
            (true, _) => group::Standing::Leaving,
            (false, true) => group::Standing::Up,
            (false, false) => group::Standing::Down,
        };
        let events = self.admission.set_standing(now, standing);
        self.gated(now, events);
    }

    pub(crate) fn act(&mut self, now: time::Mono, actions: Vec<action::Action>) {
        for action in actions {
            self.one(now, action);
        }
    }

    pub(crate) fn one(&mut self, now: time::Mono, action: action::Action) {
        match action {
            action::Action::Admit(id) => self.admit(now, id),
            action::Action::Withdraw(id) => {
                self.admission.cancel(id);
            }
            action::Action::Release(id) => {
                let events = self.admission.finish(now, id);
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

    pub(crate) fn publish(&mut self) {
        let now = self.now();
        let standing = self.standing(now);
        let cap = self.admission.cap(now);
        let load = self.admission.load();
        self.external.record_own(now, load);
        self.parts.node.tell(standing, load, cap);
        let mut stamp = self.parts.node.stamp();
        stamp.waiting = self.admission.queued();
        stamp.load = load + stamp.waiting;
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
