//! Model check of planned changes. It explores every reachable state of a small
//! fleet: two processes that advance a plan, the targets' agents, and targets that
//! check fencing tokens or ignore them.
//!
//! A process may be paused for any time between reading the rows and writing, and
//! an agent between reading and acting. Orders in transit to a target survive the
//! agent that sent them. The model needs no step for a lost reply from the table,
//! because a process that gets no reply reads the rows again, as after any write.

#[path = "../../conf/tests/explore/mod.rs"]
mod explore;

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::Hasher,
};

use base::id;
use conf::row::{Condition as RowCondition, Transaction};
use explore::{World, feed};
use plan::{
    order::{self, Decision, Order, Outcome},
    plan::{Action, Advance, Artifact, Condition, Kind, Observed, Operation, Plan, Request, Roll},
    row::{self, FenceRow, Read},
    weights::Slots,
};
use serde::de::DeserializeOwned;

/// A rule that the model deliberately violates, to show that the check detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// The agent executes an open step without recording that it has taken it.
    ActBeforeTaking,
    /// The plan assumes that targets check fencing tokens, but they ignore them.
    IgnoredFence,
    /// A load whose outcome is unknown is reported as failed.
    UnknownIsFailed,
    /// Loads start even if no slot is free.
    NoSlots,
    /// The retry of a load takes over the slot of the earlier order.
    SharedSlot,
    /// The end of a load also counts as the end of its earlier orders.
    EndsEarlier,
    /// The row of slots is written without a condition.
    NoSlotCondition,
    /// The row of a plan is written without a condition.
    NoPlanCondition,
    /// The row of fencing tokens is written without a condition.
    NoFenceCondition,
    /// An agent never reports.
    NoReport,
}

/// Maximum number of times that each kind of fault or operation may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    restarts: u8,
    unknown: u8,
    failures: u8,
    pauses: u8,
    aborts: u8,
}

const NO_FAULTS: Budget = Budget {
    restarts: 0,
    unknown: 0,
    failures: 0,
    pauses: 0,
    aborts: 0,
};

/// The rows, with their row versions.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Table {
    plans: Vec<Read<Option<Plan>>>,
    fence: Read<FenceRow>,
    slots: Read<Slots>,
}

impl Table {
    fn plan(&self, index: usize) -> &Plan {
        self.plans[index].value.as_ref().unwrap()
    }

    fn all(&self) -> impl Iterator<Item = &Plan> {
        self.plans.iter().filter_map(|read| read.value.as_ref())
    }

    fn index(&self, id: &str) -> usize {
        let found = self.all().position(|plan| plan.id.as_str() == id);
        found.expect("the plan exists")
    }

    /// Returns the index of the plan that contains the target.
    fn plan_index(&self, target: &id::TargetId) -> usize {
        let found = self
            .all()
            .position(|plan| plan.targets.contains_key(target));
        found.expect("each target belongs to a plan")
    }
}

/// The result of the order that an agent executes, as far as the agent knows.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Result {
    Done,
    Failed,
    Unknown,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Agent {
    incarnation: id::Incarnation,
    started: id::Fence,
    snapshot: Option<Table>,
    executing: Option<Order>,
    result: Option<Result>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Target {
    /// Whether the target rejects a stale fencing token.
    checks: bool,
    /// Orders in transit to the target, with the number of copies.
    in_flight: BTreeMap<Order, u8>,
    /// The newest fencing token executed.
    newest: id::Fence,
    /// The loads that are executing. The engine protocol neither prevents several
    /// concurrent loads nor defines their order of completion.
    loading: BTreeSet<id::Fence>,
}

impl Target {
    fn receive(&mut self, order: &Order) {
        match self.in_flight.get_mut(order) {
            Some(copies) if *copies > 1 => *copies -= 1,
            _ => {
                self.in_flight.remove(order);
            }
        }
    }
}

#[derive(Clone)]
struct Fleet {
    mutation: Mutation,
    /// Maximum number of concurrent weight loads.
    loads: u32,
    table: Table,
    /// The rows that one of the two advancing processes has read but not yet acted
    /// on, and the index of its plan. The other process always reads and writes
    /// without a pause: if both paused after reading the same plan, only the first
    /// write would succeed.
    paused: Option<(usize, Table)>,
    agents: BTreeMap<id::TargetId, Agent>,
    targets: BTreeMap<id::TargetId, Target>,
    budget: Budget,
    fault: Option<String>,
}

fn artifact(version: &str) -> Artifact {
    Artifact {
        model: "crew".parse().unwrap(),
        adapter: None,
        version: Some(version.parse().unwrap()),
    }
}

/// Returns a plan that rolls out a version to all targets in one wave.
fn roll(id: &str, names: &[id::TargetId], fencing: bool, unload: bool) -> Plan {
    let request = Request {
        id: id.parse().unwrap(),
        service: "crew".parse().unwrap(),
        kind: Kind::Roll(Roll {
            load: artifact("2"),
            unload: unload.then(|| artifact("1")),
        }),
        targets: names.to_vec(),
        wave: names.len() as u32,
        keep: 0,
    };
    let observed = Observed {
        targets: names
            .iter()
            .map(|name| (name.clone(), Condition::Up))
            .collect(),
        ..Observed::default()
    };
    request.plan(fencing, &observed, &[]).unwrap()
}

/// Whether a target checks fencing tokens.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Checks {
    No,
    Yes,
}

impl Fleet {
    /// Creates a fleet of `count` targets. If `unload` is set, each target also
    /// unloads the old version, so that its engine gets two orders.
    fn new(count: usize, checks: Checks, unload: bool, budget: Budget, mutation: Mutation) -> Self {
        let names = (0..count).map(|index| format!("t{index}").parse().unwrap());
        let names: Vec<id::TargetId> = names.collect();
        let checks = checks == Checks::Yes;
        let fencing = checks || mutation == Mutation::IgnoredFence;
        let agent = Agent {
            incarnation: id::Incarnation(1),
            started: id::Fence(0),
            snapshot: None,
            executing: None,
            result: None,
        };
        let target = Target {
            checks,
            in_flight: BTreeMap::new(),
            newest: id::Fence(0),
            loading: BTreeSet::new(),
        };
        let plan = roll("a", &names, fencing, unload);
        Self {
            mutation,
            loads: 1,
            table: Table {
                plans: vec![Read {
                    version: Some(1),
                    value: Some(plan),
                }],
                fence: Read::default(),
                slots: Read::default(),
            },
            paused: None,
            agents: names
                .iter()
                .map(|name| (name.clone(), agent.clone()))
                .collect(),
            targets: names
                .iter()
                .map(|name| (name.clone(), target.clone()))
                .collect(),
            budget,
            fault: None,
        }
    }

    /// Keeps only the weight loads, which suffice to check the slots.
    fn loads_only(mut self) -> Self {
        self.each_plan(|plan| {
            for progress in plan.targets.values_mut() {
                progress
                    .steps
                    .retain(|step| matches!(step, Action::Load(_)));
            }
        });
        self
    }

    /// Keeps only the unloads, which need no slot.
    fn unloads_only(mut self) -> Self {
        self.each_plan(|plan| {
            for progress in plan.targets.values_mut() {
                progress
                    .steps
                    .retain(|step| matches!(step, Action::Unload(_)));
            }
        });
        self
    }

    /// Keeps only the steps that are no engine orders, and requires one target to
    /// stay up.
    fn drains_only(mut self) -> Self {
        self.each_plan(|plan| {
            plan.keep = 1;
            for progress in plan.targets.values_mut() {
                progress.steps.retain(|step| !step.is_engine_order());
            }
        });
        self
    }

    /// Moves each target to a separate plan.
    fn separate_plans(mut self) -> Self {
        let original = self.table.plans.remove(0);
        for (target, id) in self.targets.keys().zip(["a", "b"]) {
            let mut read = original.clone();
            let plan = read.value.as_mut().unwrap();
            plan.id = id.parse().unwrap();
            plan.targets.retain(|name, _| name == target);
            self.table.plans.push(read);
        }
        self
    }

    fn each_plan(&mut self, edit: impl Fn(&mut Plan)) {
        let plans = self.table.plans.iter_mut();
        plans.filter_map(|read| read.value.as_mut()).for_each(edit);
    }

    fn advance(&self, index: usize, table: &Table) -> Option<Advance> {
        let plan = table.plan(index);
        let out = |target: &id::TargetId| table.all().any(|plan| plan.excludes(target));
        let condition = |target| match out(target) {
            true => Condition::Other,
            false => Condition::Up,
        };
        let observed = Observed {
            targets: self
                .targets
                .keys()
                .map(|target| (target.clone(), condition(target)))
                .collect(),
            excluded: self
                .targets
                .keys()
                .filter(|name| out(name))
                .cloned()
                .collect(),
            last_fence: table.fence.value.last,
            slots: table.slots.value.clone(),
            max_loads: match self.mutation {
                Mutation::NoSlots => 9,
                _ => self.loads,
            },
            rate_allows: true,
        };
        plan.advance(&observed)
    }

    /// Runs a transaction against the rows. Returns whether it was committed.
    fn execute(&mut self, mut transaction: Transaction) -> bool {
        for put in &mut transaction.puts {
            let unconditional = match put.key.as_str() {
                row::SLOTS_KEY => self.mutation == Mutation::NoSlotCondition,
                row::FENCE_KEY => self.mutation == Mutation::NoFenceCondition,
                _ => self.mutation == Mutation::NoPlanCondition,
            };
            if unconditional {
                put.condition = RowCondition::Any;
            }
        }
        let holds = transaction.puts.iter().all(|put| {
            let row = match put.key.as_str() {
                row::FENCE_KEY => self.table.fence.version,
                row::SLOTS_KEY => self.table.slots.version,
                key => self.table.plans[self.plan_of(key)].version,
            };
            put.condition == RowCondition::Any || put.condition == RowCondition::as_read(row)
        });
        if holds {
            for put in &transaction.puts {
                self.write(&put.key, &put.value);
            }
        }
        holds
    }

    fn plan_of(&self, key: &str) -> usize {
        let id = key.strip_prefix(row::PLANS).expect("the key of a plan");
        self.table.index(id)
    }

    fn write(&mut self, key: &str, value: &str) {
        let versions = |table: &Table| {
            let plans: Vec<u64> = table.all().map(|plan| plan.version).collect();
            (plans, table.fence.value.last)
        };
        let before = versions(&self.table);
        match key {
            row::FENCE_KEY => set(&mut self.table.fence, value),
            row::SLOTS_KEY => set(&mut self.table.slots, value),
            key => {
                let index = self.plan_of(key);
                set(&mut self.table.plans[index], value);
            }
        }
        let after = versions(&self.table);
        let pairs = before.0.iter().zip(&after.0);
        if after.1 < before.1 || pairs.into_iter().any(|(before, after)| after < before) {
            self.fault = Some("a row was replaced by an older one".to_owned());
        }
        let keep = self.table.all().map(|plan| plan.keep).max().unwrap_or(0);
        let out = |target: &&id::TargetId| self.table.all().any(|plan| plan.excludes(target));
        let up = self.targets.len() - self.targets.keys().filter(out).count();
        if up < keep as usize {
            self.fault = Some("too few targets are in service".to_owned());
        }
    }

    fn advance_steps(&self, out: &mut Vec<(String, Self)>) {
        for index in 0..self.table.plans.len() {
            if self.advance(index, &self.table).is_none() {
                continue;
            }
            out.push(self.write_advance(1, index, &self.table));
            if self.paused.is_none() {
                let mut next = self.clone();
                next.paused = Some((index, self.table.clone()));
                out.push((format!("process 0 reads the rows for plan {index}"), next));
            }
        }
        if let Some((index, snapshot)) = &self.paused {
            let (text, mut next) = self.write_advance(0, *index, snapshot);
            next.paused = None;
            out.push((text, next));
        }
    }

    fn write_advance(&self, process: usize, index: usize, snapshot: &Table) -> (String, Self) {
        let advance = self
            .advance(index, snapshot)
            .expect("the rows allow the plan to advance");
        let mut next = self.clone();
        let version = snapshot.plans[index].version.unwrap();
        let committed = next.execute(row::advance(
            version,
            &advance,
            &snapshot.fence,
            &snapshot.slots,
        ));
        let reason = &advance.plan.reason;
        (
            format!("process {process} writes ({committed}): {reason}"),
            next,
        )
    }

    fn agent_steps(&self, name: &id::TargetId, out: &mut Vec<(String, Self)>) {
        let agent = &self.agents[name];
        match &agent.snapshot {
            Some(snapshot) => out.push(self.act(name, agent, snapshot)),
            None if self.has_work(name, agent) => {
                let next = self.with_agent(name, |agent, fleet| {
                    agent.snapshot = Some(fleet.table.clone());
                });
                out.push((format!("agent {name} reads the rows"), next));
            }
            None => (),
        }
        if self.budget.unknown > 0 && agent.executing.is_some() && agent.result.is_none() {
            let mut next = self.with_agent(name, |agent, _| agent.result = Some(Result::Unknown));
            next.budget.unknown -= 1;
            out.push((format!("agent {name} loses the link to its target"), next));
        }
        if self.budget.restarts > 0 {
            let mut next = self.with_agent(name, |agent, _| {
                agent.incarnation = agent.incarnation.next();
                agent.started = id::Fence(0);
                agent.snapshot = None;
                agent.executing = None;
                agent.result = None;
            });
            next.budget.restarts -= 1;
            out.push((format!("agent {name} restarts"), next));
        }
    }

    /// Returns whether the agent would act on the current rows. Otherwise, reading
    /// them has no effect.
    fn has_work(&self, name: &id::TargetId, agent: &Agent) -> bool {
        match (&agent.executing, agent.result) {
            (Some(_), result) => result.is_some(),
            (None, _) => self.decide(&self.table, name, agent) != Decision::Nothing,
        }
    }

    fn with_agent(&self, name: &id::TargetId, run: impl FnOnce(&mut Agent, &mut Self)) -> Self {
        let mut next = self.clone();
        let mut agent = self.agents[name].clone();
        run(&mut agent, &mut next);
        next.agents.insert(name.clone(), agent);
        next
    }

    fn act(&self, name: &id::TargetId, agent: &Agent, snapshot: &Table) -> (String, Self) {
        let decision = match &agent.executing {
            Some(order) => self.report(snapshot, order, agent),
            None => self.decide(snapshot, name, agent),
        };
        let mut text = format!("agent {name} has nothing to do");
        let next = self.with_agent(name, |agent, fleet| {
            agent.snapshot = None;
            match decision {
                Decision::Nothing => {
                    agent.executing = None;
                    agent.result = None;
                }
                Decision::Write { mut plan, fence } => {
                    if fleet.mutation == Mutation::SharedSlot
                        || (fleet.mutation == Mutation::EndsEarlier
                            && agent.result == Some(Result::Done))
                    {
                        plan.targets.get_mut(name).unwrap().unknown.clear();
                    }
                    let version = snapshot.plans[snapshot.plan_index(name)].version.unwrap();
                    let write = row::update(version, &plan, fence, &snapshot.fence);
                    let committed = fleet.execute(write);
                    if committed {
                        agent.executing = None;
                        agent.result = None;
                    }
                    text = format!("agent {name} writes ({committed}): {}", plan.reason);
                }
                Decision::Execute(order) => {
                    let fence = order.fence;
                    text = format!("agent {name} executes token {fence}: {}", order.action);
                    fleet.execute_order(agent, order);
                }
            }
        });
        (text, next)
    }

    fn execute_order(&mut self, agent: &mut Agent, order: Order) {
        agent.started = order.fence;
        agent.result = match order.action.is_engine_order() {
            true => None,
            false => Some(Result::Done),
        };
        if order.action.is_engine_order() {
            let target = self.targets.get_mut(&order.target).unwrap();
            *target.in_flight.entry(order.clone()).or_default() += 1;
        }
        agent.executing = Some(order);
    }

    fn decide(&self, snapshot: &Table, name: &id::TargetId, agent: &Agent) -> Decision {
        let plan = snapshot.plan(snapshot.plan_index(name));
        if self.mutation == Mutation::ActBeforeTaking
            && let Some(order) = order::current(plan, name)
            && order.action.is_engine_order()
            && order.fence > agent.started
        {
            return Decision::Execute(order);
        }
        let last = snapshot.fence.value.last;
        order::decide(plan, name, agent.incarnation, agent.started, last)
    }

    fn report(&self, snapshot: &Table, order: &Order, agent: &Agent) -> Decision {
        let outcome = match agent.result {
            _ if self.mutation == Mutation::NoReport => return Decision::Nothing,
            Some(Result::Done) => Outcome::Done,
            Some(Result::Unknown) if self.mutation != Mutation::UnknownIsFailed => {
                Outcome::Unknown("link lost".to_owned())
            }
            _ => Outcome::Failed("refused".to_owned()),
        };
        let last = snapshot.fence.value.last;
        let plan = snapshot.plan(snapshot.plan_index(&order.target));
        if self.mutation == Mutation::ActBeforeTaking
            && let Decision::Write { plan, .. } =
                order::decide(plan, &order.target, agent.incarnation, last, last)
        {
            return order::report(&plan, order, agent.incarnation, &outcome, last);
        }
        order::report(plan, order, agent.incarnation, &outcome, last)
    }

    fn target_steps(&self, name: &id::TargetId, out: &mut Vec<(String, Self)>) {
        let target = &self.targets[name];
        for order in target.in_flight.keys() {
            let stale = target.checks && order.fence < target.newest;
            if stale || self.budget.failures > 0 {
                let mut next = self.clone();
                next.budget.failures -= u8::from(!stale);
                let target = next.targets.get_mut(name).unwrap();
                target.receive(order);
                next.reply(name, order.fence, Result::Failed);
                out.push((format!("target {name} rejects token {}", order.fence), next));
            }
            if !stale {
                let text = format!("target {name} executes token {}", order.fence);
                out.push((text, self.executed(name, order)));
            }
        }
        for fence in &target.loading {
            let mut next = self.clone();
            next.targets.get_mut(name).unwrap().loading.remove(fence);
            next.reply(name, *fence, Result::Done);
            out.push((
                format!("target {name} finishes the load with token {fence}"),
                next,
            ));
        }
    }

    fn executed(&self, name: &id::TargetId, order: &Order) -> Self {
        let mut next = self.clone();
        let target = next.targets.get_mut(name).unwrap();
        target.receive(order);
        if order.fence < target.newest {
            next.fault = Some("a target executes an older order after a newer one".to_owned());
        }
        target.newest = target.newest.max(order.fence);
        match order.action {
            Action::Load(_) => {
                target.loading.insert(order.fence);
            }
            _ => next.reply(name, order.fence, Result::Done),
        }
        let loading: usize = next.targets.values().map(|t| t.loading.len()).sum();
        if loading > next.loads as usize {
            next.fault = Some("too many loads run".to_owned());
        }
        next
    }

    /// Delivers a result to the agent if it still waits for this order.
    fn reply(&mut self, name: &id::TargetId, fence: id::Fence, result: Result) {
        let agent = self.agents.get_mut(name).unwrap();
        let executing = agent.executing.as_ref();
        if executing.is_some_and(|order| order.fence == fence) && agent.result.is_none() {
            agent.result = Some(result);
        }
    }

    fn operator_steps(&self, out: &mut Vec<(String, Self)>) {
        let mut operations = vec![Operation::Resume];
        if self.budget.pauses > 0 {
            operations.push(Operation::Pause);
        }
        if self.budget.aborts > 0 {
            operations.push(Operation::Abort);
        }
        operations.extend(self.targets.keys().cloned().map(Operation::Confirm));
        for index in 0..self.table.plans.len() {
            for operation in &operations {
                if let Some(next) = self.operate(index, operation) {
                    out.push((format!("an operator: {operation:?}"), next));
                }
            }
        }
    }

    /// Applies an operation if the plan accepts it. An operator restarts a target
    /// before confirming it, which ends its orders.
    fn operate(&self, index: usize, operation: &Operation) -> Option<Self> {
        let plan = self.table.plan(index).operate(operation).ok()?;
        let mut next = self.clone();
        match operation {
            Operation::Pause => next.budget.pauses -= 1,
            Operation::Abort => next.budget.aborts -= 1,
            Operation::Resume => (),
            Operation::Confirm(target) => {
                let target = next.targets.get_mut(target).unwrap();
                target.in_flight.clear();
                target.loading.clear();
            }
        }
        let version = self.table.plans[index].version.unwrap();
        let written = next.execute(row::update(version, &plan, None, &self.table.fence));
        written.then_some(next)
    }
}

fn set<T: DeserializeOwned>(read: &mut Read<T>, value: &str) {
    read.version = Some(read.version.unwrap_or(0) + 1);
    read.value = serde_json::from_str(value).unwrap();
}

impl World for Fleet {
    fn steps(&self) -> Vec<(String, Self)> {
        let mut out = Vec::new();
        self.advance_steps(&mut out);
        for name in self.agents.keys() {
            self.agent_steps(name, &mut out);
            self.target_steps(name, &mut out);
        }
        self.operator_steps(&mut out);
        out
    }

    fn feed(&self, hasher: &mut impl Hasher) {
        feed(hasher, (&self.table, &self.paused, &self.agents));
        feed(hasher, (&self.targets, self.budget, &self.fault));
    }

    fn fault(&self) -> Option<String> {
        let slots = &self.table.slots.value;
        let holds = |name: &id::TargetId, fence: &id::Fence| {
            let mut taken = slots.taken.iter();
            taken.any(|holder| holder.target == *name && holder.fence == *fence)
        };
        let without = self.targets.iter().any(|(name, target)| {
            let mut loading = target.loading.iter();
            loading.any(|fence| !holds(name, fence))
        });
        let without = without.then(|| "a load runs without a slot of its own".to_owned());
        self.fault.clone().or(without)
    }

    fn complete(&self) -> bool {
        let mut targets = self.targets.keys();
        self.table.all().all(Plan::has_ended)
            && self.table.slots.value.taken.is_empty()
            && targets.all(|target| !self.table.all().any(|plan| plan.excludes(target)))
    }
}

fn check(name: &str, fleet: Fleet) {
    let report = explore::explore(fleet);
    println!(
        "model plan {name} states={} steps={}",
        report.states, report.steps
    );
    if let Some(fault) = report.fault {
        panic!("{name}: {fault}");
    }
}

fn expect_fault(fleet: Fleet, expected: &str) {
    let mutation = fleet.mutation;
    let report = explore::explore(fleet);
    let fault = report
        .fault
        .unwrap_or_else(|| panic!("{mutation:?} was not found"));
    println!(
        "model plan seeded {mutation:?} states={}\n{fault}",
        report.states
    );
    assert!(
        fault.text.contains(expected),
        "{mutation:?} found as {fault}"
    );
}

/// An agent restarts or loses its connection while an order is in transit to a
/// target that checks fencing tokens.
#[test]
fn restart_with_fencing() {
    let budget = Budget {
        restarts: 2,
        unknown: 1,
        ..NO_FAULTS
    };
    let fleet = Fleet::new(1, Checks::Yes, true, budget, Mutation::None);
    check("restart_with_fencing", fleet);
}

/// An agent restarts or loses its connection while an order is in transit to a
/// target that ignores fencing tokens.
#[test]
fn restart_without_fencing() {
    let budget = Budget {
        restarts: 2,
        unknown: 1,
        ..NO_FAULTS
    };
    let fleet = Fleet::new(1, Checks::No, true, budget, Mutation::None);
    check("restart_without_fencing", fleet);
}

/// Operators pause, resume and abort a plan while orders execute and fail.
#[test]
fn operators_interfere() {
    let budget = Budget {
        failures: 1,
        pauses: 1,
        aborts: 1,
        restarts: 1,
        ..NO_FAULTS
    };
    let fleet = Fleet::new(1, Checks::No, false, budget, Mutation::None);
    check("operators_interfere", fleet);
}

/// Two targets in one wave share one slot for weight loads.
#[test]
fn shared_slot() {
    let budget = Budget {
        unknown: 1,
        restarts: 1,
        ..NO_FAULTS
    };
    let fleet = Fleet::new(2, Checks::Yes, false, budget, Mutation::None);
    check("shared_slot", fleet.loads_only());
    let fleet = Fleet::new(2, Checks::No, false, budget, Mutation::None);
    check("shared_slot_without", fleet.loads_only());
    let fleet = Fleet::new(2, Checks::Yes, false, budget, Mutation::None);
    check("shared_slot_plans", fleet.loads_only().separate_plans());
}

/// A load with an unknown outcome may execute concurrently with its retry. With
/// two slots, each of them must hold its own, and the plan must still be able to
/// end, also after an abort.
#[test]
fn repeated_load() {
    let budget = Budget {
        unknown: 1,
        restarts: 1,
        aborts: 1,
        ..NO_FAULTS
    };
    let mut fleet = Fleet::new(1, Checks::Yes, false, budget, Mutation::None);
    fleet.loads = 2;
    check("repeated_load", fleet.loads_only());
    let budget = Budget {
        restarts: 1,
        ..NO_FAULTS
    };
    let mut fleet = Fleet::new(2, Checks::Yes, false, budget, Mutation::None);
    fleet.loads = 2;
    check("repeated_load_two", fleet.loads_only());
}

/// Two plans drain one target each while one target must stay in service.
#[test]
fn kept_in_service() {
    let budget = Budget {
        restarts: 1,
        aborts: 1,
        ..NO_FAULTS
    };
    let fleet = Fleet::new(2, Checks::Yes, false, budget, Mutation::None);
    check("kept_in_service", fleet.drains_only().separate_plans());
}

#[test]
fn seeded_faults() {
    let restart = Budget {
        restarts: 1,
        ..NO_FAULTS
    };
    let pause = Budget {
        pauses: 1,
        restarts: 1,
        ..NO_FAULTS
    };
    let unknown = Budget {
        unknown: 1,
        ..NO_FAULTS
    };
    let operators = Budget {
        pauses: 1,
        aborts: 1,
        ..NO_FAULTS
    };
    let one = |checks, unload, budget, mutation| Fleet::new(1, checks, unload, budget, mutation);
    let two = |budget, mutation| Fleet::new(2, Checks::Yes, false, budget, mutation).loads_only();
    expect_fault(
        one(Checks::No, true, pause, Mutation::ActBeforeTaking).unloads_only(),
        "an older order after a newer one",
    );
    expect_fault(
        one(Checks::No, true, restart, Mutation::IgnoredFence).unloads_only(),
        "an older order after a newer one",
    );
    expect_fault(
        one(Checks::Yes, false, unknown, Mutation::UnknownIsFailed),
        "a load runs without a slot of its own",
    );
    expect_fault(two(NO_FAULTS, Mutation::NoSlots), "too many loads run");
    let mut fleet = one(Checks::Yes, false, restart, Mutation::SharedSlot);
    fleet.loads = 2;
    expect_fault(fleet, "a load runs without a slot of its own");
    let mut fleet = one(Checks::Yes, false, restart, Mutation::EndsEarlier);
    fleet.loads = 2;
    expect_fault(fleet, "a load runs without a slot of its own");
    let mut fleet = two(NO_FAULTS, Mutation::NoSlotCondition).separate_plans();
    fleet.loads = 2;
    expect_fault(fleet, "a load runs without a slot of its own");
    let drains = Fleet::new(2, Checks::Yes, false, NO_FAULTS, Mutation::NoFenceCondition);
    expect_fault(
        drains.drains_only().separate_plans(),
        "too few targets are in service",
    );
    expect_fault(
        one(Checks::Yes, false, operators, Mutation::NoPlanCondition),
        "a row was replaced by an older one",
    );
    expect_fault(
        one(Checks::Yes, false, NO_FAULTS, Mutation::NoReport),
        "the work can no longer be completed",
    );
}
