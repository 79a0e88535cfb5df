//! Tests of planned changes: which requests and operations are accepted, when each
//! step is opened, and which reasons operators see while a step waits.

use std::collections::{BTreeMap, BTreeSet};

use base::{id, rate::Rate, span::Span, time::Mono};
use conf::row::Row;
use expect_test::expect;
use plan::{
    order::{self, Decision, Outcome},
    plan::{
        Action, Artifact, Condition, Kind, Observed, Operation, Plan, Replace, Request, Roll,
        Stage, State,
    },
    rollback::RollbackDetector,
    row::{self, FenceRow, Read},
    weights::{Holder, Slots, StartLimiter},
};

const FIRST_RUN: id::Incarnation = id::Incarnation(1);

fn target(number: usize) -> id::TargetId {
    format!("runner-{number}").parse().unwrap()
}

fn artifact(version: &str) -> Artifact {
    Artifact {
        model: "crew".parse().unwrap(),
        adapter: None,
        version: Some(version.parse().unwrap()),
    }
}

fn roll() -> Kind {
    Kind::Roll(Roll {
        load: artifact("2"),
        unload: Some(artifact("1")),
    })
}

/// Returns a request for targets 1 to `count` in waves of two.
fn request(kind: Kind, count: usize) -> Request {
    Request {
        id: "spring".parse().unwrap(),
        service: "crew".parse().unwrap(),
        kind,
        targets: (1..=count).map(target).collect(),
        wave: 2,
        keep: 2,
    }
}

/// Returns an observation in which all four targets are up.
fn all_up() -> Observed {
    Observed {
        targets: (1..=4)
            .map(|number| (target(number), Condition::Up))
            .collect(),
        max_loads: 1,
        rate_allows: true,
        ..Observed::default()
    }
}

fn plan_of(kind: Kind, count: usize) -> Plan {
    request(kind, count).plan(true, &all_up(), &[]).unwrap()
}

/// Simulates a fleet whose agents report at once, and records the reason of each
/// change of the plan.
struct Simulation {
    plan: Plan,
    observed: Observed,
    lines: Vec<String>,
}

impl Simulation {
    fn new(plan: Plan) -> Self {
        Self {
            plan,
            observed: all_up(),
            lines: Vec::new(),
        }
    }

    /// Advances the plan until nothing can change.
    fn advance(&mut self) {
        while let Some(next) = self.plan.advance(&self.observed) {
            self.lines.push(next.plan.reason.clone());
            self.plan = next.plan;
            self.observed.last_fence = next.fence;
            self.observed.slots = next.slots;
        }
    }

    /// Makes the agents of all targets take the open steps and report `outcome`.
    fn run_agents(&mut self, outcome: &Outcome) {
        let targets: Vec<id::TargetId> = self.plan.targets.keys().cloned().collect();
        for target in targets {
            let last = self.observed.last_fence;
            let decision = order::decide(&self.plan, &target, FIRST_RUN, id::Fence(0), last);
            if let Decision::Write { plan, .. } = decision {
                self.plan = *plan;
                let order = order::current(&self.plan, &target).unwrap();
                let report = order::report(&self.plan, &order, FIRST_RUN, outcome, last);
                let Decision::Write { plan, .. } = report else {
                    panic!("the outcome of a taken step must be recorded");
                };
                self.lines.push(plan.reason.clone());
                self.plan = *plan;
            }
        }
        self.update_conditions();
    }

    /// Updates the targets' conditions to match the plan.
    fn update_conditions(&mut self) {
        for (target, condition) in &mut self.observed.targets {
            *condition = match self.plan.excludes(target) {
                true => Condition::Other,
                false => Condition::Up,
            };
        }
    }

    fn waits(&self) -> String {
        let waits = self.plan.wait_reasons(&self.observed);
        let lines = waits
            .iter()
            .map(|(target, wait)| format!("{target}: {wait}\n"));
        lines.collect()
    }
}

#[test]
fn roll_in_waves() {
    let mut simulation = Simulation::new(plan_of(roll(), 4));
    for _ in 0..40 {
        simulation.advance();
        simulation.run_agents(&Outcome::Done);
    }
    assert_eq!(simulation.plan.state, State::Done);
    assert!(simulation.observed.slots.taken.is_empty());
    expect![[r#"
        target runner-1: drain is open; target runner-2: drain is open
        target runner-1: drain is done
        target runner-2: drain is done
        target runner-1: load crew version 2 is open
        target runner-1: load crew version 2 is done
        target runner-1: unload crew version 1 is open; target runner-2: load crew version 2 is open
        target runner-1: unload crew version 1 is done
        target runner-2: load crew version 2 is done
        target runner-1: reopen is open; target runner-2: unload crew version 1 is open
        target runner-1: reopen is done
        target runner-2: unload crew version 1 is done
        target runner-1: target runner-1 is up; target runner-2: reopen is open
        target runner-2: reopen is done
        target runner-2: target runner-2 is up; target runner-3: drain is open; target runner-4: drain is open
        target runner-3: drain is done
        target runner-4: drain is done
        target runner-3: load crew version 2 is open
        target runner-3: load crew version 2 is done
        target runner-3: unload crew version 1 is open; target runner-4: load crew version 2 is open
        target runner-3: unload crew version 1 is done
        target runner-4: load crew version 2 is done
        target runner-3: reopen is open; target runner-4: unload crew version 1 is open
        target runner-3: reopen is done
        target runner-4: unload crew version 1 is done
        target runner-3: target runner-3 is up; target runner-4: reopen is open
        target runner-4: reopen is done
        target runner-4: target runner-4 is up; all targets are finished"#]].assert_eq(&simulation.lines.join("\n"));
}

#[test]
fn waiting_reasons() {
    let mut simulation = Simulation::new(plan_of(roll(), 4));
    simulation
        .observed
        .targets
        .insert(target(4), Condition::Other);
    simulation.advance();
    expect![[r#"
        runner-1: drain: waits for the agent
        runner-2: drain: other targets that are up: 1, needed: 2
    "#]]
    .assert_eq(&simulation.waits());
    simulation.run_agents(&Outcome::Done);
    let other = Holder {
        plan: "other".parse().unwrap(),
        target: "runner-9".parse().unwrap(),
        fence: id::Fence(1),
    };
    simulation.observed.slots.taken.insert(other.clone());
    simulation.advance();
    expect![[r#"
        runner-1: load crew version 2: 1 of 1 weight loads run: plan other target runner-9
        runner-2: drain: waits for the agent
    "#]]
    .assert_eq(&simulation.waits());
    simulation.observed.slots.release(&other);
    simulation.observed.rate_allows = false;
    expect![[r#"
        runner-1: load crew version 2: the rate limit of weight loads does not allow another load yet
        runner-2: drain: waits for the agent
    "#]]
    .assert_eq(&simulation.waits());
    simulation.observed.rate_allows = true;
    simulation.advance();
    expect![[r#"
        runner-1: load crew version 2: waits for the agent
        runner-2: drain: waits for the agent
    "#]]
    .assert_eq(&simulation.waits());
    simulation.plan = simulation.plan.operate(&Operation::Pause).unwrap();
    expect![[r#"
        runner-1: load crew version 2: the plan is paused
        runner-2: drain: the plan is paused
    "#]]
    .assert_eq(&simulation.waits());
}

#[test]
fn failure_pauses() {
    let mut simulation = Simulation::new(plan_of(Kind::Role("prefill".parse().unwrap()), 1));
    simulation.advance();
    simulation.run_agents(&Outcome::Done);
    simulation.advance();
    simulation.run_agents(&Outcome::Failed("not supported".to_owned()));
    assert_eq!(simulation.plan.state, State::Paused);
    expect!["target runner-1: take role prefill failed: not supported"]
        .assert_eq(&simulation.plan.reason);
    assert_eq!(simulation.plan.advance(&simulation.observed), None);

    let mut again = Simulation::new(simulation.plan.operate(&Operation::Resume).unwrap());
    again.observed = simulation.observed.clone();
    again.advance();
    assert!(matches!(
        again.plan.targets[&target(1)].stage,
        Stage::Open(_)
    ));

    let mut aborted = Simulation::new(simulation.plan.operate(&Operation::Abort).unwrap());
    aborted.observed = simulation.observed.clone();
    aborted.advance();
    aborted.run_agents(&Outcome::Done);
    aborted.advance();
    assert_eq!(aborted.plan.state, State::Aborted);
    assert!(!aborted.plan.excludes(&target(1)));
    expect![[r#"
        target runner-1: reopen is open
        target runner-1: reopen is done
        all targets are finished"#]]
    .assert_eq(&aborted.lines.join("\n"));
}

/// After an unknown outcome, a target that ignores fencing tokens must get no other
/// order until an operator confirms that none is executing.
#[test]
fn unsettled_order() {
    let plan = request(roll(), 1).plan(false, &all_up(), &[]).unwrap();
    let mut simulation = Simulation::new(plan);
    simulation.advance();
    simulation.run_agents(&Outcome::Done);
    simulation.advance();
    simulation.run_agents(&Outcome::Unknown("link lost".to_owned()));
    simulation.advance();
    expect![[r#"
        runner-1: load crew version 2: the outcome of token 2 is unknown and the target ignores tokens; restart the target, then confirm it
    "#]].assert_eq(&simulation.waits());
    assert_eq!(
        simulation.observed.slots.taken.len(),
        1,
        "the slot was released although the engine may be loading"
    );
    assert_eq!(order::current(&simulation.plan, &target(1)), None);
    let aborting = simulation.plan.operate(&Operation::Abort).unwrap();
    assert_eq!(aborting.advance(&simulation.observed), None);
    let confirm = Operation::Confirm(target(1));
    simulation.plan = simulation.plan.operate(&confirm).unwrap();
    simulation.advance();
    assert!(matches!(
        simulation.plan.targets[&target(1)].stage,
        Stage::Open(_)
    ));
    let rejection = simulation.plan.operate(&confirm).unwrap_err();
    expect!["target runner-1 has no unsettled order"].assert_eq(&rejection.to_string());
}

/// A load with an unknown outcome must keep its slot, and its retry needs another
/// one, because the engine may execute both concurrently.
#[test]
fn unknown_load() {
    let mut simulation = Simulation::new(plan_of(roll(), 1));
    simulation.advance();
    simulation.run_agents(&Outcome::Done);
    simulation.advance();
    simulation.run_agents(&Outcome::Unknown("link lost".to_owned()));
    simulation.advance();
    assert_eq!(order::current(&simulation.plan, &target(1)), None);
    expect![[r#"
        runner-1: load crew version 2: 1 of 1 weight loads run: plan spring target runner-1; the load with token 2 may still be under way and keeps its slot; restart the target, then confirm it
    "#]].assert_eq(&simulation.waits());
    let aborting = simulation.plan.operate(&Operation::Abort).unwrap();
    assert!(aborting.excludes(&target(1)));
    assert_eq!(aborting.advance(&simulation.observed), None);

    simulation.observed.max_loads = 2;
    simulation.advance();
    let taken = |simulation: &Simulation| -> Vec<u64> {
        let taken = simulation.observed.slots.taken.iter();
        taken.map(|holder| holder.fence.0).collect()
    };
    assert_eq!(taken(&simulation), [2, 3]);
    assert_eq!(simulation.observed.slots.starts, 2);
    let last = simulation.observed.last_fence;
    let Decision::Write { plan, .. } =
        order::decide(&simulation.plan, &target(1), FIRST_RUN, id::Fence(2), last)
    else {
        panic!("the agent must take the open step");
    };
    let confirm = Operation::Confirm(target(1));
    let rejection = plan.operate(&confirm).unwrap_err();
    expect!["target runner-1 has an order under way; confirm it after that order has ended"]
        .assert_eq(&rejection.to_string());
    for _ in 0..10 {
        simulation.run_agents(&Outcome::Done);
        simulation.advance();
    }
    assert_eq!(simulation.plan.state, State::Done);
    assert_eq!(
        taken(&simulation),
        [2],
        "a slot was released although no reply reported the end of its load"
    );
    expect![[r#"
        runner-1: the load with token 2 may still be under way and keeps its slot; restart the target, then confirm it
    "#]].assert_eq(&simulation.waits());
    simulation.plan = simulation.plan.operate(&confirm).unwrap();
    simulation.advance();
    assert_eq!(simulation.plan.state, State::Done);
    assert!(simulation.observed.slots.taken.is_empty());
    assert!(simulation.plan.operate(&confirm).is_err());
}

/// The removal of a target must release the slots of its loads, also after its plan
/// has ended.
#[test]
fn removed_target_slots() {
    let mut simulation = Simulation::new(plan_of(roll(), 1));
    simulation.observed.max_loads = 2;
    simulation.advance();
    simulation.run_agents(&Outcome::Done);
    simulation.advance();
    simulation.run_agents(&Outcome::Unknown("link lost".to_owned()));
    for _ in 0..10 {
        simulation.advance();
        simulation.run_agents(&Outcome::Done);
    }
    assert_eq!(simulation.plan.state, State::Done);
    assert_eq!(simulation.observed.slots.taken.len(), 1);
    simulation.observed.targets.remove(&target(1));
    simulation.advance();
    assert!(simulation.observed.slots.taken.is_empty());
}

/// If a target checks fencing tokens, an order that loads no weights is sent again
/// with a newer token, and a report for the older token is ignored.
#[test]
fn unknown_role_change() {
    let mut simulation = Simulation::new(plan_of(Kind::Role("prefill".parse().unwrap()), 1));
    simulation.advance();
    simulation.run_agents(&Outcome::Done);
    simulation.advance();
    let last = simulation.observed.last_fence;
    let Decision::Write { plan, .. } =
        order::decide(&simulation.plan, &target(1), FIRST_RUN, id::Fence(0), last)
    else {
        panic!("the agent must take the open step");
    };
    let order = order::current(&plan, &target(1)).unwrap();
    let outcome = Outcome::Unknown("link lost".to_owned());
    let Decision::Write { plan, fence } = order::report(&plan, &order, FIRST_RUN, &outcome, last)
    else {
        panic!("the outcome of a taken step must be recorded");
    };
    assert_eq!(fence, Some(last.next()));
    let again = order::decide(&plan, &target(1), FIRST_RUN, order.fence, last.next());
    assert!(matches!(again, Decision::Execute(again) if again.fence == last.next()));
    let late = order::report(&plan, &order, FIRST_RUN, &Outcome::Done, last.next());
    assert_eq!(
        late,
        Decision::Nothing,
        "a report for the older token was recorded"
    );
}

#[test]
fn replace_waits() {
    let mut kind = Replace {
        by: BTreeMap::new(),
    };
    kind.by.insert(target(1), target(5));
    let mut simulation = Simulation::new(plan_of(Kind::Replace(kind), 1));
    simulation.advance();
    expect![[r#"
        runner-1: wait for target runner-5: target runner-5 is not known
    "#]]
    .assert_eq(&simulation.waits());
    simulation.observed.targets.insert(target(5), Condition::Up);
    simulation.advance();
    simulation.run_agents(&Outcome::Done);
    simulation.advance();
    assert_eq!(simulation.plan.state, State::Done);
    assert!(simulation.plan.excludes(&target(1)));
    expect![[r#"
        target runner-1: target runner-5 is up; target runner-1: drain is open
        target runner-1: drain is done
        all targets are finished"#]]
    .assert_eq(&simulation.lines.join("\n"));
}

#[test]
fn target_removed() {
    let mut simulation = Simulation::new(plan_of(roll(), 1));
    simulation.advance();
    simulation.observed.targets.remove(&target(1));
    simulation.advance();
    assert_eq!(simulation.plan.state, State::Done);
    expect!["target runner-1 was removed from the fleet; all targets are finished"]
        .assert_eq(&simulation.plan.reason);
}

/// Targets that another plan has taken out of service must not count as up.
#[test]
fn other_plans_excluded() {
    let mut observed = all_up();
    observed.excluded = BTreeSet::from([target(3), target(4)]);
    let plan = plan_of(Kind::Drain, 1);
    assert_eq!(plan.advance(&observed), None);
    let waits: Vec<String> = plan.wait_reasons(&observed).into_values().collect();
    expect!["drain: other targets that are up: 1, needed: 2"].assert_eq(&waits.join("\n"));
}

#[test]
fn drain_reversed() {
    let mut simulation = Simulation::new(plan_of(Kind::Drain, 1));
    simulation.advance();
    simulation.run_agents(&Outcome::Done);
    simulation.advance();
    assert_eq!(simulation.plan.state, State::Done);
    assert!(
        simulation.plan.owns(&target(1)),
        "another plan could change the drained target"
    );
    let mut reversed = Simulation::new(simulation.plan.operate(&Operation::Abort).unwrap());
    reversed.advance();
    reversed.run_agents(&Outcome::Done);
    reversed.advance();
    assert_eq!(reversed.plan.state, State::Aborted);
    assert!(!reversed.plan.owns(&target(1)));
    let rejection = reversed.plan.operate(&Operation::Abort).unwrap_err();
    expect!["plan spring is aborted; abort is not possible"].assert_eq(&rejection.to_string());
}

#[test]
fn rejected_requests() {
    let mut lines = Vec::new();
    let mut try_plan = |request: Request, others: &[Plan]| {
        let rejection = request.plan(true, &all_up(), others).unwrap_err();
        lines.push(rejection.to_string());
    };
    try_plan(request(Kind::Drain, 0), &[]);
    try_plan(request(Kind::Drain, 5), &[]);
    let mut duplicate = request(Kind::Drain, 2);
    duplicate.targets.push(target(1));
    try_plan(duplicate, &[]);
    let mut empty = request(Kind::Drain, 2);
    empty.wave = 0;
    try_plan(empty, &[]);
    let mut keep = request(Kind::Drain, 2);
    keep.keep = 4;
    try_plan(keep, &[]);
    let replace = Replace {
        by: BTreeMap::new(),
    };
    try_plan(request(Kind::Replace(replace), 1), &[]);
    let mut other = plan_of(roll(), 1);
    other.id = "winter".parse().unwrap();
    try_plan(request(Kind::Drain, 1), &[other]);
    expect![[r#"
        the plan names no targets
        target runner-5 is not known in service crew
        target runner-1 is named twice
        a wave must have at least 1 target
        4 targets cannot stay up while one of 4 is out; allowed: at most 3
        no replacement is named for target runner-1
        target runner-1 belongs to plan winter, which has not ended or keeps it out of service"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn operations_checked() {
    let running = plan_of(roll(), 1);
    let resumed = running.operate(&Operation::Resume).unwrap_err();
    expect!["plan spring is running; resume is not possible"].assert_eq(&resumed.to_string());
    let paused = running.operate(&Operation::Pause).unwrap();
    assert!(paused.operate(&Operation::Pause).is_err());
    assert_eq!(paused.version, running.version + 1);
}

/// An older run of the agent must do nothing once a newer run has taken the step.
#[test]
fn older_agent_run() {
    let mut simulation = Simulation::new(plan_of(roll(), 1));
    simulation.advance();
    let last = simulation.observed.last_fence;
    let newer = id::Incarnation(2);
    let Decision::Write { plan, .. } =
        order::decide(&simulation.plan, &target(1), newer, id::Fence(0), last)
    else {
        panic!("the agent must take the open step");
    };
    let decision = order::decide(&plan, &target(1), FIRST_RUN, id::Fence(0), last);
    assert_eq!(decision, Decision::Nothing);
    let order = order::current(&plan, &target(1)).unwrap();
    assert_eq!(order.action, Action::Drain);
    let report = order::report(&plan, &order, FIRST_RUN, &Outcome::Done, last);
    assert_eq!(report, Decision::Nothing);
}

#[test]
fn load_rate() {
    let mut limiter = StartLimiter::default();
    let mut slots = Slots::default();
    let rate = Rate(0.5);
    let at = |seconds| Mono::default() + Span::from_secs(seconds);
    assert!(
        limiter.may_start(at(0), &slots, rate),
        "the first load was delayed"
    );
    let holder = Holder {
        plan: "spring".parse().unwrap(),
        target: target(1),
        fence: id::Fence(1),
    };
    assert!(slots.take(holder, 1));
    assert!(
        !limiter.may_start(at(10), &slots, rate),
        "the interval was not measured from the first read"
    );
    assert!(!limiter.may_start(at(11), &slots, rate));
    assert!(limiter.may_start(at(12), &slots, rate));
}

#[test]
fn row_keys() {
    let mut simulation = Simulation::new(plan_of(roll(), 1));
    simulation.advance();
    simulation.run_agents(&Outcome::Done);
    let next = simulation.plan.advance(&simulation.observed).unwrap();
    let fence = Read {
        version: Some(7),
        value: FenceRow {
            last: simulation.observed.last_fence,
        },
    };
    let slots = Read::<Slots>::default();
    let transaction = row::advance(5, &next, &fence, &slots);
    let puts: Vec<String> = transaction
        .puts
        .iter()
        .map(|put| format!("{} if {:?}", put.key, put.condition))
        .collect();
    expect![[r#"
        plan/spring if Version(5)
        fence/plan if Version(7)
        weights/slots if Absent"#]]
    .assert_eq(&puts.join("\n"));
    let stored = Row {
        version: 5,
        value: transaction.puts[0].value.clone(),
    };
    assert_eq!(stored.read::<Plan>("plan/spring").unwrap(), next.plan);
    let absent: Read<Slots> = row::read(row::SLOTS_KEY, None).unwrap();
    assert_eq!(absent, slots);
}

/// After the table is restored from a backup, rows that are older than before must
/// be detected and the newest ones written back.
#[test]
fn restored_rows() {
    let mut rollback = RollbackDetector::default();
    let older = plan_of(roll(), 1);
    let newer = older.advance(&all_up()).unwrap().plan;
    let read = |last| Read {
        version: Some(3),
        value: FenceRow {
            last: id::Fence(last),
        },
    };
    assert_eq!(rollback.check_fence(&read(4)), None);
    assert_eq!(rollback.check_plan(1, &older), None);
    assert_eq!(rollback.check_plan(2, &newer), None);
    let back = rollback.check_plan(1, &older).unwrap();
    assert_eq!(back.puts[0].key, "plan/spring");
    assert_eq!(back.puts[0].value, serde_json::to_string(&newer).unwrap());
    let raised = rollback.check_fence(&read(2)).unwrap();
    assert_eq!(raised.puts[0].value, r#"{"last":4}"#);
    assert_eq!(rollback.restore_missing(&[]).len(), 1);
    assert!(
        rollback
            .restore_missing(&["spring".parse().unwrap()])
            .is_empty()
    );
}
