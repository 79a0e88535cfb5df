//! A small world around the decision code: two routers, two agents with their
//! targets, one claim row, and a network that loses, duplicates and reorders.
//!
//! A message in flight may be delivered at any later step or never, so loss,
//! delay, reordering and a paused process need no steps of their own: a router
//! may take its link for lost, or an agent for unreachable, at any moment.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use base::{id, span::Span, time::Mono};
use once::{
    action::Action,
    claim::{self, Answer, Ask, Condition, Op, Row},
    entry,
    epoch::Epoch,
    event::{self, Link},
    ledger::{self, Ledger},
    refusal::Refusal,
    settle::{self, Request, Sent, Step},
};

const AGENTS: [&str; 2] = ["agent-a", "agent-b"];

/// Length of each response body in bytes.
const TOTAL: u64 = 2;

/// Longer than any wait of the ledger, so that it does all that time can do.
const EPOCH: Span = Span::from_secs(60);

/// Longer than any session; [`Event::Late`] is the deadline passing.
const REMAINING: Span = Span::from_secs(3_600);

/// A duplicate of a `Run` has a stream of its own, which no router reads.
const DUPLICATE: u64 = 1_000;

/// A fault of the decision code, made by a wrapper around it. Each one breaks
/// one rule, and the checker must find the consequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seeded {
    /// A settlement of an unseen id leaves no tombstone.
    NoTombstone,
    /// The epoch of a `Run` is not compared.
    RunEpoch,
    /// The epoch of a `Settle` is not compared.
    SettleEpoch,
    /// The incarnation of a `Run` is not compared.
    RunIncarnation,
    /// The incarnation of a `Settle` is not compared.
    SettleIncarnation,
    /// A second arrival of an id is dispatched.
    Duplicate,
    /// A settlement of a queued request is answered and does not withdraw it.
    SettleQueued,
    /// A broken response is taken for an unsent request.
    BrokenUnsent,
    /// The claim of a running owner is taken over, as if it had expired.
    Expiry,
    /// The claim of an older incarnation is run again.
    OldClaim,
    /// The nonce of a row that was read back is not compared.
    NoNonce,
    /// An answer to a replaced attempt is given to the attempt that replaced it.
    OldAnswer,
    /// A write without reply is taken for written.
    LostWritten,
    /// An unavailable table is passed over.
    NoTable,
    /// A claim whose outcome was lost is recorded as abandoned.
    LostAbandoned,
    /// A stored response is not replayed; the key is run again.
    NoReplay,
    /// A conditional insert overwrites a row.
    Insert,
    /// A compare-and-set ignores the version.
    CompareSet,
    /// A claim is abandoned by the same agent after dispatch.
    Dispatched,
    /// The digest of the request is not compared.
    Digest,
    /// The router takes an unreachable agent for a proof.
    Unreachable,
    /// The router takes a broken response for a proof.
    Broken,
    /// The router forgets that an earlier agent may have run the request.
    Doubt,
    /// The router does not compare the id in the head.
    Crossed,
    /// The router ignores offsets.
    Offset,
}

/// A fault of the environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A `Run` is delivered and stays in flight.
    Duplicate,
    /// A router takes its link for lost.
    Cut,
    /// A router takes the agent for unreachable.
    Unreachable,
    /// A response breaks off in the middle.
    Part,
    /// An agent crashes and starts as a new incarnation.
    Crash,
    /// A router crashes.
    Router,
    /// A reply of the table is lost after the effect.
    Reply,
    /// A write of the table takes effect after its caller stopped waiting.
    LateWrite,
    /// The table is down for one operation.
    Table,
    /// An agent is told that its target leaves.
    Leave,
    /// The target is not reached.
    Unsent,
    /// The target runs the request and breaks off.
    Broken,
    /// The deadline passes at a router, or at an agent before dispatch.
    Deadline,
    /// The gate refuses.
    Refuse,
    /// An agent sends the response of another request.
    Crossed,
    /// A response starts from its first byte, whatever offset was asked for.
    Restart,
    /// A part of a response is missing.
    Gap,
}

/// The faults that may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Faults {
    /// How many of all kinds together.
    pub total: u8,
    /// Which kinds.
    pub kinds: &'static [Fault],
    /// How many epochs may end at agents, which is not counted as a fault.
    pub epochs: u8,
}

/// The kind of requests in a world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Repeatable,
    Once,
    Keyed,
}

/// What is explored.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub kind: Kind,
    /// Requests, each at its own router; with `Keyed` all have the same key.
    pub requests: usize,
    /// Whether the second request has another body.
    pub mismatch: bool,
    /// Whether the second request starts at any time, instead of after the
    /// caller was told the outcome of the first.
    pub concurrent: bool,
    /// Whether an answer of the table may wait while other events happen.
    pub split: bool,
    /// Whether a request may wait at the gate while other events happen.
    pub gate: bool,
    pub faults: Faults,
    pub seeded: Option<Seeded>,
}

impl Scenario {
    fn is(&self, seeded: Seeded) -> bool {
        self.seeded == Some(seeded)
    }
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Told {
    Done,
    NotRun,
    Unknown,
    /// The response broke off after its head, or the router crashed.
    Cut,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Part {
    Refused {
        why: Refusal,
        incarnation: id::Incarnation,
        epoch: Epoch,
    },
    /// The body from the offset to its end.
    Response {
        of: id::RequestId,
        offset: u64,
    },
    Broken,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Run {
        agent: usize,
        skip: u64,
        offer: event::Offer,
    },
    Settle {
        agent: usize,
        settle: event::Settle,
    },
    Cancel {
        agent: usize,
        request: id::RequestId,
    },
    Reply {
        router: usize,
        link: Link,
        part: Part,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct TableCall {
    agent: usize,
    incarnation: id::Incarnation,
    ask: Ask,
    answer: Option<Answer>,
    /// No one waits for the answer.
    late: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Router {
    request: Request,
    link: Link,
    step: Option<Step>,
    /// Bytes that the caller has: whose response, and which offset.
    got: Vec<(id::RequestId, u64)>,
    told: Option<Told>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Agent {
    me: claim::Owner,
    ledger: Ledger,
    now: Mono,
    gate: BTreeSet<id::RequestId>,
    streams: BTreeMap<Link, (id::RequestId, id::RequestId, u64)>,
    /// Whose response is kept under each id.
    kept: BTreeMap<id::RequestId, id::RequestId>,
}

/// A call of a target that has not reached it yet.
type Call = (usize, id::Incarnation, id::RequestId);

/// One state of the world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    left: Faults,
    routers: Vec<Rc<Router>>,
    agents: Vec<Rc<Agent>>,
    row: Option<Row>,
    net: BTreeSet<Message>,
    table: BTreeSet<TableCall>,
    calls: BTreeSet<Call>,
    dispatched: BTreeMap<Call, u8>,
    runs: BTreeMap<id::RequestId, u8>,
}

/// One step of the world, as it appears in a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Choose {
        request: usize,
        agent: usize,
        stale: bool,
    },
    None {
        request: usize,
    },
    Run {
        request: u128,
        agent: usize,
    },
    RunAgain {
        request: u128,
        agent: usize,
    },
    Settle {
        request: u128,
        agent: usize,
    },
    Cancel {
        request: u128,
        agent: usize,
    },
    Reply {
        request: usize,
    },
    Part {
        request: usize,
    },
    Shifted {
        request: usize,
        from: u64,
    },
    Cut {
        request: usize,
    },
    Unreachable {
        request: usize,
    },
    Deadline {
        request: usize,
    },
    RouterCrash {
        request: usize,
    },
    Admit {
        request: u128,
        agent: usize,
    },
    Late {
        request: u128,
        agent: usize,
    },
    GateRefuse {
        request: u128,
        agent: usize,
    },
    Execute {
        request: u128,
        agent: usize,
    },
    Unsent {
        request: u128,
        agent: usize,
    },
    Broken {
        request: u128,
        agent: usize,
    },
    Crossed {
        request: u128,
        agent: usize,
    },
    Serve {
        agent: usize,
    },
    ServeLate,
    ReplyLost {
        agent: usize,
    },
    WriteLate {
        agent: usize,
    },
    TableDown {
        agent: usize,
    },
    Answer {
        agent: usize,
    },
    Crash {
        agent: usize,
    },
    Epoch {
        agent: usize,
    },
    Leave {
        agent: usize,
    },
}

impl World {
    /// Makes the world before its first request.
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            left: scenario.faults,
            routers: (0..scenario.requests)
                .map(|index| Rc::new(Router::new(scenario, index)))
                .collect(),
            agents: (0..AGENTS.len())
                .map(|index| Rc::new(Agent::new(index, 1)))
                .collect(),
            row: None,
            net: BTreeSet::new(),
            table: BTreeSet::new(),
            calls: BTreeSet::new(),
            dispatched: BTreeMap::new(),
            runs: BTreeMap::new(),
        }
    }

    fn may(&self, fault: Fault) -> bool {
        self.left.total > 0 && self.left.kinds.contains(&fault)
    }

    /// Returns what each caller was told.
    pub fn told(&self) -> impl Iterator<Item = Option<Told>> {
        self.routers.iter().map(|router| router.told)
    }

    /// Returns the invariant that this state violates, if any.
    pub fn violation(&self, scenario: &Scenario) -> Option<&'static str> {
        if self.dispatched.values().any(|count| *count > 1) {
            return Some("an id was dispatched twice in one incarnation");
        }
        let total: u8 = self.runs.values().sum();
        let most = self.runs.values().copied().max().unwrap_or(0);
        match scenario.kind {
            Kind::Keyed if total > 1 => return Some("a key was run twice"),
            Kind::Once if most > 1 => return Some("a request was run twice"),
            _ => {}
        }
        self.routers
            .iter()
            .find_map(|router| self.broken_promise(scenario, router))
    }

    fn broken_promise(&self, scenario: &Scenario, router: &Router) -> Option<&'static str> {
        let id = router.request.id();
        match router.told? {
            Told::NotRun if self.runs.contains_key(&id) => {
                Some("a request was run whose caller was told not-run")
            }
            Told::Done => {
                let of = router.got.first().map_or(id, |(of, _)| *of);
                let whole = (0..TOTAL)
                    .map(|offset| (of, offset))
                    .eq(router.got.iter().copied());
                let own = of == id || scenario.kind == Kind::Keyed && !scenario.mismatch;
                (!whole || !own || !self.runs.contains_key(&of))
                    .then_some("a caller was given another response than its own")
            }
            _ => None,
        }
    }

    /// Returns every next state, with the event that leads to it.
    pub fn next(&self, scenario: &Scenario) -> Vec<(Event, World)> {
        let mut next = Vec::new();
        self.choices(scenario, &mut next);
        self.deliveries(scenario, &mut next);
        self.router_faults(scenario, &mut next);
        self.agent_steps(scenario, &mut next);
        self.target_steps(scenario, &mut next);
        self.table_steps(scenario, &mut next);
        next
    }

    fn choices(&self, scenario: &Scenario, next: &mut Vec<(Event, World)>) {
        for (request, router) in self.routers.iter().enumerate() {
            let Some(step) = &router.step else { continue };
            let waits = request > 0 && !scenario.concurrent && self.routers[0].told.is_none();
            if waits {
                continue;
            }
            // The agents are alike until the first request goes to one.
            let first = request == 0 && router.request.attempts() == 0 && !scenario.concurrent;
            let mut open = 0;
            for (agent, name) in AGENTS.iter().enumerate() {
                let wanted = match step {
                    Step::Redirect(owner) => owner.as_str() == *name,
                    _ => !router.request.tried().contains(*name),
                };
                if !wanted || first && agent > 0 {
                    continue;
                }
                open += 1;
                let present = self.agents[agent].present();
                let first = (id::Incarnation(1), Epoch::FIRST);
                for (stale, known) in [(false, present), (true, first)] {
                    if stale && present == first {
                        continue;
                    }
                    let mut world = self.clone();
                    world.send_run(scenario, request, agent, known);
                    let event = Event::Choose {
                        request,
                        agent,
                        stale,
                    };
                    next.push((event, world));
                }
            }
            if open == 0 {
                let mut world = self.clone();
                let step = Rc::make_mut(&mut world.routers[request])
                    .request
                    .none(Refusal::Bound, None);
                world.follow(request, step);
                next.push((Event::None { request }, world));
            }
        }
    }

    fn deliveries(&self, scenario: &Scenario, next: &mut Vec<(Event, World)>) {
        for message in &self.net {
            let mut world = self.clone();
            world.net.remove(message);
            match message.clone() {
                Message::Run { agent, skip, offer } => {
                    let request = offer.id.0;
                    if world.may(Fault::Duplicate) {
                        let mut world = world.clone();
                        world.left.total -= 1;
                        let mut copy = offer.clone();
                        copy.link.0 += DUPLICATE;
                        let message = Message::Run {
                            agent,
                            skip,
                            offer: copy,
                        };
                        world.net.insert(message);
                        world.run(scenario, agent, skip, offer.clone());
                        next.push((Event::RunAgain { request, agent }, world));
                    }
                    world.run(scenario, agent, skip, offer);
                    next.push((Event::Run { request, agent }, world));
                }
                Message::Settle { agent, settle } => {
                    let request = settle.id.0;
                    world.settle(scenario, agent, settle);
                    next.push((Event::Settle { request, agent }, world));
                }
                Message::Cancel { agent, request } => {
                    let now = world.agents[agent].now;
                    let actions = Rc::make_mut(&mut world.agents[agent])
                        .ledger
                        .cancel(now, request);
                    world.act(scenario, agent, actions);
                    next.push((
                        Event::Cancel {
                            request: request.0,
                            agent,
                        },
                        world,
                    ));
                }
                Message::Reply { router, link, part } => {
                    world.reply(scenario, router, link, part, next);
                }
            }
        }
    }

    fn router_faults(&self, scenario: &Scenario, next: &mut Vec<(Event, World)>) {
        for (request, router) in self.routers.iter().enumerate() {
            if router.request.ended() || router.told.is_some() {
                continue;
            }
            let open = router.request.open().is_some();
            if self.may(Fault::Cut) && open {
                let mut world = self.clone();
                world.left.total -= 1;
                let step = Rc::make_mut(&mut world.routers[request])
                    .request
                    .link_lost();
                world.follow(request, step);
                next.push((Event::Cut { request }, world));
            }
            if self.may(Fault::Unreachable) && open {
                let mut world = self.clone();
                world.left.total -= 1;
                let step = world.unreachable(scenario, request);
                world.follow(request, step);
                next.push((Event::Unreachable { request }, world));
            }
            if self.may(Fault::Deadline) && open {
                let mut world = self.clone();
                world.left.total -= 1;
                let step = Rc::make_mut(&mut world.routers[request]).request.expired();
                world.follow(request, step);
                next.push((Event::Deadline { request }, world));
            }
            if self.may(Fault::Router) && open {
                let mut world = self.clone();
                world.left.total -= 1;
                Rc::make_mut(&mut world.routers[request]).told = Some(Told::Cut);
                Rc::make_mut(&mut world.routers[request]).step = None;
                next.push((Event::RouterCrash { request }, world));
            }
        }
    }

    fn unreachable(&mut self, scenario: &Scenario, request: usize) -> Step {
        let decision = &mut Rc::make_mut(&mut self.routers[request]).request;
        if scenario.is(Seeded::Unreachable) {
            return decision.broken(false);
        }
        if scenario.is(Seeded::Doubt) {
            return decision.refused(Refusal::Down, None, None);
        }
        decision.unreachable()
    }

    fn agent_steps(&self, scenario: &Scenario, next: &mut Vec<(Event, World)>) {
        for (agent, state) in self.agents.iter().enumerate() {
            let now = state.now;
            for id in &state.gate {
                let request = id.0;
                let mut world = self.clone();
                Rc::make_mut(&mut world.agents[agent]).gate.remove(id);
                if world.may(Fault::Refuse) {
                    let mut world = world.clone();
                    world.left.total -= 1;
                    let ledger = &mut Rc::make_mut(&mut world.agents[agent]).ledger;
                    let actions = ledger.refused(now, *id, Refusal::Bound, None);
                    world.act(scenario, agent, actions);
                    next.push((Event::GateRefuse { request, agent }, world));
                }
                if world.may(Fault::Deadline) {
                    let mut world = world.clone();
                    world.left.total -= 1;
                    let ledger = &mut Rc::make_mut(&mut world.agents[agent]).ledger;
                    let actions = ledger.admitted(now + REMAINING, *id);
                    world.act(scenario, agent, actions);
                    next.push((Event::Late { request, agent }, world));
                }
                let actions = Rc::make_mut(&mut world.agents[agent])
                    .ledger
                    .admitted(now, *id);
                world.act(scenario, agent, actions);
                next.push((Event::Admit { request, agent }, world));
            }
            if self.may(Fault::Crash) {
                let mut world = self.clone();
                world.left.total -= 1;
                world.crash(agent);
                next.push((Event::Crash { agent }, world));
            }
            if self.left.epochs > 0 {
                let mut world = self.clone();
                world.left.epochs -= 1;
                let now = now + EPOCH;
                Rc::make_mut(&mut world.agents[agent]).now = now;
                let actions = Rc::make_mut(&mut world.agents[agent]).ledger.expire(now);
                world.act(scenario, agent, actions);
                next.push((Event::Epoch { agent }, world));
            }
            if self.may(Fault::Leave) {
                let mut world = self.clone();
                world.left.total -= 1;
                let actions = Rc::make_mut(&mut world.agents[agent]).ledger.leave(now);
                world.act(scenario, agent, actions);
                next.push((Event::Leave { agent }, world));
            }
        }
    }

    fn target_steps(&self, scenario: &Scenario, next: &mut Vec<(Event, World)>) {
        for call in &self.calls {
            let (agent, incarnation, id) = *call;
            let request = id.0;
            let mut world = self.clone();
            world.calls.remove(call);
            let orphan = world.agents[agent].me.incarnation != incarnation;
            let now = world.agents[agent].now;
            if self.may(Fault::Unsent) && !orphan {
                let mut world = world.clone();
                world.left.total -= 1;
                let actions = Rc::make_mut(&mut world.agents[agent])
                    .ledger
                    .unsent(now, id);
                world.act(scenario, agent, actions);
                next.push((Event::Unsent { request, agent }, world));
            }
            *world.runs.entry(id).or_insert(0) += 1;
            if orphan {
                next.push((Event::Execute { request, agent }, world));
                continue;
            }
            if self.may(Fault::Broken) {
                let mut world = world.clone();
                world.left.total -= 1;
                let ledger = &mut Rc::make_mut(&mut world.agents[agent]).ledger;
                let actions = match scenario.is(Seeded::BrokenUnsent) {
                    true => ledger.unsent(now, id),
                    false => ledger.broken(now, id),
                };
                world.act(scenario, agent, actions);
                next.push((Event::Broken { request, agent }, world));
            }
            let other = id::RequestId(3 - id.0);
            if self.may(Fault::Crossed) && world.runs.contains_key(&other) {
                let mut world = world.clone();
                world.left.total -= 1;
                world.complete(scenario, agent, id, other);
                next.push((Event::Crossed { request, agent }, world));
            }
            world.complete(scenario, agent, id, id);
            next.push((Event::Execute { request, agent }, world));
        }
    }

    fn complete(
        &mut self,
        scenario: &Scenario,
        agent: usize,
        id: id::RequestId,
        content: id::RequestId,
    ) {
        let state = Rc::make_mut(&mut self.agents[agent]);
        let now = state.now;
        state.ledger.head(id, scenario.kind == Kind::Repeatable);
        let response = (scenario.kind == Kind::Keyed).then(|| stored(content));
        let actions = state.ledger.complete(now, id, TOTAL, response);
        state.kept.insert(id, content);
        self.act(scenario, agent, actions);
    }

    fn table_steps(&self, scenario: &Scenario, next: &mut Vec<(Event, World)>) {
        for call in &self.table {
            let agent = call.agent;
            let mut world = self.clone();
            world.table.remove(call);
            if call.late {
                world.apply(scenario, &call.ask);
                next.push((Event::ServeLate, world));
                continue;
            }
            if call.answer.is_some() {
                world.answer(scenario, call.clone());
                next.push((Event::Answer { agent }, world));
                continue;
            }
            let lost = match call.ask.op {
                Op::Read => Answer::Unavailable,
                Op::Write { .. } => Answer::Unanswered,
            };
            if self.may(Fault::Reply) {
                let mut world = world.clone();
                world.left.total -= 1;
                world.apply(scenario, &call.ask);
                world.wait_for(call, lost.clone());
                next.push((Event::ReplyLost { agent }, world));
            }
            if self.may(Fault::LateWrite) && lost == Answer::Unanswered {
                let mut world = world.clone();
                world.left.total -= 1;
                world.wait_for(call, lost);
                world.table.insert(TableCall {
                    late: true,
                    ..call.clone()
                });
                next.push((Event::WriteLate { agent }, world));
            }
            if self.may(Fault::Table) {
                let mut world = world.clone();
                world.left.total -= 1;
                world.wait_for(call, Answer::Unavailable);
                next.push((Event::TableDown { agent }, world));
            }
            let answer = world.apply(scenario, &call.ask);
            if scenario.split {
                world.wait_for(call, answer);
            } else {
                world.answer(
                    scenario,
                    TableCall {
                        answer: Some(answer),
                        ..call.clone()
                    },
                );
            }
            next.push((Event::Serve { agent }, world));
        }
    }

    fn wait_for(&mut self, call: &TableCall, answer: Answer) {
        self.table.insert(TableCall {
            answer: Some(answer),
            ..call.clone()
        });
    }

    /// The table's own rules.
    fn apply(&mut self, scenario: &Scenario, ask: &Ask) -> Answer {
        let Op::Write { claim, condition } = &ask.op else {
            return Answer::Read(self.row.clone());
        };
        let holds = match condition {
            Condition::Absent => self.row.is_none() || scenario.is(Seeded::Insert),
            Condition::Version(version) => {
                self.row.as_ref().is_some_and(|row| row.version == *version)
                    || scenario.is(Seeded::CompareSet)
            }
        };
        if !holds {
            return Answer::Conflict(self.row.clone());
        }
        let version = self.row.as_ref().map_or(1, |row| row.version + 1);
        let claim = claim.clone();
        self.row = Some(Row { version, claim });
        Answer::Written(version)
    }

    fn answer(&mut self, scenario: &Scenario, call: TableCall) {
        let agent = call.agent;
        let state = Rc::make_mut(&mut self.agents[agent]);
        if state.me.incarnation != call.incarnation {
            return;
        }
        let Some(mut answer) = call.answer else {
            return;
        };
        distort(scenario, &state.me, call.ask.nonce, &mut answer);
        let now = state.now;
        let newer = self
            .table
            .iter()
            .filter(|other| other.agent == agent && !other.late && scenario.is(Seeded::OldAnswer))
            .map(|other| other.ask.nonce)
            .next();
        let nonce = newer.unwrap_or(call.ask.nonce);
        let actions = state.ledger.answered(now, &call.ask.key, nonce, answer);
        self.act(scenario, agent, actions);
    }

    fn crash(&mut self, agent: usize) {
        let old = self.agents[agent].me.incarnation;
        self.agents[agent] = Rc::new(Agent::new(agent, old.next().0));
        let (lost, rest): (BTreeSet<_>, BTreeSet<_>) = std::mem::take(&mut self.table)
            .into_iter()
            .partition(|call| call.agent == agent && !call.late);
        self.table = rest;
        let writes = lost
            .into_iter()
            .filter(|call| call.answer.is_none() && call.ask.op != Op::Read)
            .map(|call| TableCall { late: true, ..call });
        self.table.extend(writes);
    }

    fn send_run(
        &mut self,
        scenario: &Scenario,
        request: usize,
        agent: usize,
        known: (id::Incarnation, Epoch),
    ) {
        let router = Rc::make_mut(&mut self.routers[request]);
        router.step = None;
        router.link.0 += 1;
        let skip = router.request.offset();
        let to = Sent {
            agent: AGENTS[agent].parse().unwrap(),
            incarnation: known.0,
            epoch: known.1,
        };
        router.request.sent(to);
        let offer = event::Offer {
            id: router.request.id(),
            link: router.link,
            incarnation: known.0,
            epoch: known.1,
            class: class(scenario, request, router.link),
            remaining: REMAINING,
        };
        self.net.insert(Message::Run { agent, skip, offer });
    }

    /// Carries out a step of a router.
    fn follow(&mut self, request: usize, step: Step) {
        let router = Rc::make_mut(&mut self.routers[request]);
        match step {
            Step::Choose { .. } | Step::Redirect(_) => router.step = Some(step),
            Step::Resend(to) => {
                // The world sends to any untried agent; the resend is chosen
                // like a redirect to the same agent.
                router.step = Some(Step::Redirect(to.agent));
            }
            Step::Settle { to, offset, .. } => {
                router.link.0 += 1;
                let agent = index(&to.agent);
                let settle = event::Settle {
                    id: router.request.id(),
                    link: router.link,
                    incarnation: to.incarnation,
                    epoch: to.epoch,
                    offset,
                };
                self.net.insert(Message::Settle { agent, settle });
            }
            Step::Read | Step::Head | Step::Pass(_) => {}
            Step::Finish => router.told = Some(Told::Done),
            Step::NotRun { .. } => router.told = Some(Told::NotRun),
            Step::Unknown(_) => router.told = Some(Told::Unknown),
            Step::Abort(_) => router.told = Some(Told::Cut),
        }
        let router = Rc::make_mut(&mut self.routers[request]);
        if router.told.is_none() {
            return;
        }
        // No reply is read any more; one link for all keeps the states few.
        router.link = Link(request as u64 * 100);
        self.net.retain(
            |message| !matches!(message, Message::Reply { router, .. } if *router == request),
        );
        if let Some(to) = self.routers[request].request.live() {
            let agent = index(&to.agent);
            let request = self.routers[request].request.id();
            self.net.insert(Message::Cancel { agent, request });
        }
    }

    fn reply(
        mut self,
        scenario: &Scenario,
        request: usize,
        link: Link,
        part: Part,
        next: &mut Vec<(Event, World)>,
    ) {
        let router = Rc::make_mut(&mut self.routers[request]);
        if router.link != link || router.told.is_some() {
            next.push((Event::Reply { request }, self));
            return;
        }
        let step = match part {
            Part::Refused {
                why,
                incarnation,
                epoch,
            } => router
                .request
                .refused(why, None, Some((incarnation, epoch))),
            Part::Broken => router.request.broken(!scenario.is(Seeded::Broken)),
            Part::Response { of, offset } => {
                if self.may(Fault::Part) {
                    let mut world = self.clone();
                    world.left.total -= 1;
                    let step = Rc::make_mut(&mut world.routers[request])
                        .read(scenario, of, offset, TOTAL - 1)
                        .unwrap_or_else(|| {
                            Rc::make_mut(&mut world.routers[request])
                                .request
                                .link_lost()
                        });
                    world.follow(request, step);
                    next.push((Event::Part { request }, world));
                }
                for (fault, from) in [(Fault::Restart, 0), (Fault::Gap, offset + 1)] {
                    if self.may(fault) && from != offset {
                        let mut world = self.clone();
                        world.left.total -= 1;
                        let step =
                            Rc::make_mut(&mut world.routers[request]).read_all(scenario, of, from);
                        world.follow(request, step);
                        next.push((Event::Shifted { request, from }, world));
                    }
                }
                Rc::make_mut(&mut self.routers[request]).read_all(scenario, of, offset)
            }
        };
        self.follow(request, step);
        next.push((Event::Reply { request }, self));
    }

    fn run(&mut self, scenario: &Scenario, agent: usize, skip: u64, mut offer: event::Offer) {
        let state = Rc::make_mut(&mut self.agents[agent]);
        if scenario.is(Seeded::RunEpoch) {
            offer.epoch = state.ledger.epoch();
        }
        if scenario.is(Seeded::RunIncarnation) {
            offer.incarnation = state.me.incarnation;
        }
        if scenario.is(Seeded::Dispatched) {
            // A ledger that does not know its dispatched claims takes its own
            // running row for one that was never dispatched.
            let running = matches!(
                state.ledger.state(id::RequestId(1)),
                Some(entry::State::Dispatched)
            );
            if running && offer.id == id::RequestId(2) {
                state.ledger = Ledger::new(state.me.clone(), limits(), state.now);
            }
        }
        if scenario.is(Seeded::Duplicate) && state.ledger.state(offer.id).is_some() {
            self.act(scenario, agent, vec![Action::Dispatch(offer.id)]);
            return;
        }
        let state = Rc::make_mut(&mut self.agents[agent]);
        state.streams.insert(offer.link, (offer.id, offer.id, skip));
        let now = state.now;
        let actions = state.ledger.offer(now, offer);
        self.act(scenario, agent, actions);
    }

    fn settle(&mut self, scenario: &Scenario, agent: usize, mut settle: event::Settle) {
        let state = Rc::make_mut(&mut self.agents[agent]);
        if scenario.is(Seeded::SettleEpoch) {
            settle.epoch = state.ledger.epoch();
        }
        if scenario.is(Seeded::SettleIncarnation) {
            settle.incarnation = state.me.incarnation;
        }
        let seen = state.ledger.state(settle.id);
        let skip = scenario.is(Seeded::NoTombstone) && seen.is_none()
            || scenario.is(Seeded::SettleQueued) && seen == Some(entry::State::Queued);
        let mut ledger = state.ledger.clone();
        let actions = ledger.settle(state.now, settle);
        if skip {
            let refusal = actions
                .into_iter()
                .filter(|action| matches!(action, Action::Refuse { .. }))
                .map(|action| match action {
                    Action::Refuse { id, why, after, .. } => Action::Refuse {
                        id,
                        link: settle.link,
                        why,
                        after,
                    },
                    other => other,
                })
                .collect();
            self.act(scenario, agent, refusal);
            return;
        }
        state.ledger = ledger;
        self.act(scenario, agent, actions);
    }

    /// Carries out the actions of an agent's ledger.
    fn act(&mut self, scenario: &Scenario, agent: usize, actions: Vec<Action>) {
        for action in actions {
            self.act_once(scenario, agent, action);
        }
        self.flush(agent);
    }

    fn act_once(&mut self, scenario: &Scenario, agent: usize, action: Action) {
        let state = Rc::make_mut(&mut self.agents[agent]);
        let incarnation = state.me.incarnation;
        match action {
            Action::Admit(id) if !scenario.gate => {
                let now = state.now;
                let actions = state.ledger.admitted(now, id);
                self.act(scenario, agent, actions);
            }
            Action::Admit(id) => {
                state.gate.insert(id);
            }
            Action::Withdraw(id) => {
                state.gate.remove(&id);
            }
            Action::Ask(mut ask) => {
                if scenario.is(Seeded::LostAbandoned) {
                    abandon(&mut ask);
                }
                self.table.insert(TableCall {
                    agent,
                    incarnation,
                    ask,
                    answer: None,
                    late: false,
                });
            }
            Action::Dispatch(id) => {
                let call = (agent, incarnation, id);
                *self.dispatched.entry(call).or_insert(0) += 1;
                self.calls.insert(call);
            }
            Action::Refuse { link, why, .. } => {
                state.streams.remove(&link);
                let part = Part::Refused {
                    why,
                    incarnation,
                    epoch: state.ledger.epoch(),
                };
                self.send(link, part);
            }
            Action::Break { link, .. } => {
                state.streams.remove(&link);
                self.send(link, Part::Broken);
            }
            Action::Attach {
                id,
                link,
                of,
                offset,
            } => {
                // A new stream takes the place of the request's old one.
                state.streams.retain(|_, (other, _, _)| *other != id);
                state.streams.insert(link, (id, of, offset));
            }
            Action::Replay { id, response, .. } => {
                state.kept.insert(id, content(&response));
            }
            Action::Forget(id) => {
                state.kept.remove(&id);
            }
            Action::Resume { .. } | Action::Stop(_) | Action::Release(_) => {}
        }
    }

    /// Sends each complete response on the streams that wait for it.
    fn flush(&mut self, agent: usize) {
        let state = Rc::make_mut(&mut self.agents[agent]);
        let ready: Vec<(Link, id::RequestId, u64)> = state
            .streams
            .iter()
            .filter_map(|(link, (_, of, offset))| {
                let content = state.kept.get(of)?;
                Some((*link, *content, *offset))
            })
            .collect();
        for (link, of, offset) in ready {
            Rc::make_mut(&mut self.agents[agent]).streams.remove(&link);
            self.send(link, Part::Response { of, offset });
        }
    }

    /// Sends a reply; those on the stream of a duplicate have no reader.
    fn send(&mut self, link: Link, part: Part) {
        if link.0 >= DUPLICATE {
            return;
        }
        let router = (link.0 / 100) as usize;
        if self.routers[router].link != link || self.routers[router].told.is_some() {
            return;
        }
        self.net.insert(Message::Reply { router, link, part });
    }
}

impl Router {
    fn new(scenario: &Scenario, index: usize) -> Self {
        let class = match scenario.kind {
            Kind::Repeatable => settle::Class::Repeatable,
            Kind::Once => settle::Class::Once,
            Kind::Keyed => settle::Class::Keyed,
        };
        let limits = settle::Limits {
            attempts: 2,
            continuations: 1,
            settles: 2,
        };
        Self {
            request: Request::new(id::RequestId(index as u128 + 1), class, limits),
            link: Link(index as u64 * 100),
            step: Some(Step::Choose { skip: 0 }),
            got: Vec::new(),
            told: None,
        }
    }

    fn read_all(&mut self, scenario: &Scenario, of: id::RequestId, offset: u64) -> Step {
        match self.read(scenario, of, offset, TOTAL) {
            Some(step) => step,
            None if scenario.is(Seeded::Offset) => self.request.end(self.request.offset()),
            None => self.request.end(TOTAL),
        }
    }

    /// Reads head and body up to an offset; returns a step that ends the
    /// reading.
    fn read(
        &mut self,
        scenario: &Scenario,
        of: id::RequestId,
        offset: u64,
        upto: u64,
    ) -> Option<Step> {
        let id = match scenario.is(Seeded::Crossed) {
            true => self.request.id(),
            false => of,
        };
        let head = settle::Head {
            id,
            status: 200,
            replayed: scenario.kind == Kind::Keyed,
            resumable: scenario.kind == Kind::Repeatable,
        };
        match self.request.head(head) {
            Step::Head | Step::Read => {}
            step => return Some(step),
        }
        for byte in offset..upto {
            let offset = match scenario.is(Seeded::Offset) {
                true => self.request.offset(),
                false => byte,
            };
            match self.request.data(offset, 1) {
                Step::Pass(0) => self.got.push((of, byte)),
                Step::Read => {}
                step => return Some(step),
            }
        }
        None
    }
}

impl Agent {
    fn new(index: usize, incarnation: u64) -> Self {
        let me = claim::Owner {
            agent: AGENTS[index].parse().unwrap(),
            incarnation: id::Incarnation(incarnation),
        };
        Self {
            ledger: Ledger::new(me.clone(), limits(), Mono(0)),
            me,
            now: Mono(0),
            gate: BTreeSet::new(),
            streams: BTreeMap::new(),
            kept: BTreeMap::new(),
        }
    }

    fn present(&self) -> (id::Incarnation, Epoch) {
        (self.me.incarnation, self.ledger.epoch())
    }
}

fn limits() -> ledger::Limits {
    ledger::Limits {
        epoch: EPOCH,
        ..ledger::Limits::default()
    }
}

fn index(agent: &id::ProcessId) -> usize {
    usize::from(agent.as_str() != AGENTS[0])
}

fn class(scenario: &Scenario, request: usize, link: Link) -> event::Class {
    match scenario.kind {
        Kind::Repeatable => event::Class::Repeatable,
        Kind::Once => event::Class::Once,
        Kind::Keyed => {
            let differs = scenario.mismatch && !scenario.is(Seeded::Digest);
            let body = if differs { request as u8 } else { 0 };
            event::Class::Keyed {
                key: claim::Key::new("orders".parse().unwrap(), "gifts".parse().unwrap(), "die-7")
                    .unwrap(),
                digest: claim::Digest([body; 32]),
                nonce: id::Nonce(link.0.into()),
            }
        }
    }
}

fn stored(content: id::RequestId) -> claim::Response {
    claim::Response {
        status: 200,
        headers: Vec::new(),
        body: claim::Body::Inline(claim::Content(vec![content.0 as u8; TOTAL as usize])),
    }
}

fn content(response: &claim::Response) -> id::RequestId {
    match &response.body {
        claim::Body::Inline(claim::Content(bytes)) => id::RequestId(bytes[0].into()),
        _ => id::RequestId(0),
    }
}

/// Seeds the faults that concern how an answer of the table is judged.
fn distort(scenario: &Scenario, me: &claim::Owner, nonce: id::Nonce, answer: &mut Answer) {
    if scenario.is(Seeded::LostWritten) && *answer == Answer::Unanswered
        || scenario.is(Seeded::NoTable) && *answer == Answer::Unavailable
    {
        *answer = Answer::Written(1);
    }
    let (Answer::Conflict(Some(row)) | Answer::Read(Some(row))) = answer else {
        return;
    };
    let running = row.claim.state == claim::State::Running;
    let other = row.claim.owner.agent != me.agent;
    if scenario.is(Seeded::Expiry) && running && other {
        row.claim.state = claim::State::Abandoned;
    }
    if scenario.is(Seeded::OldClaim) && running && !other {
        row.claim.owner.incarnation = me.incarnation;
    }
    if scenario.is(Seeded::NoNonce) && running {
        row.claim.nonce = nonce;
    }
    if scenario.is(Seeded::NoReplay) && matches!(row.claim.state, claim::State::Done(_)) {
        row.claim.state = claim::State::Abandoned;
    }
}

fn abandon(ask: &mut Ask) {
    if let Op::Write { claim, .. } = &mut ask.op
        && claim.state == claim::State::Lost
    {
        claim.state = claim::State::Abandoned;
    }
}
