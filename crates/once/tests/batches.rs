//! Model checks of claims that travel in batches: two agents claim the same two
//! keys, every transaction may lose its reply or take effect late, and every
//! reachable state is visited breadth-first. Guards the rule that a key runs
//! once whatever becomes of a transaction that holds its claim.

mod common;

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    hash::{Hash, Hasher},
};

use base::{id, span::Span, time::Mono};
use common::{keyed, owner, response, transact};
use expect_test::expect;
use once::{
    action::Action,
    batch::{Batch, Limits, Outcome},
    claim::{Answer, Ask, Op, Row},
    event::{Link, Offer},
    ledger::{self, Ledger},
};
use pathfinding::prelude::bfs;

const KEYS: [&str; 2] = ["a", "b"];

/// What may go wrong; each costs one of the scenario's faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    LostReply,
    LateWrite,
    Unavailable,
    Unsent,
    Crash,
    /// The table is restored from a backup that was taken before any claim.
    Restore,
}

/// Rules that a model breaks to show that the checker notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seeded {
    /// After a conflict the other writes count as written.
    RestWritten,
    /// A transaction without a reply counts as written.
    LostWritten,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Agent {
    ledger: Ledger,
    batch: Batch,
    /// The transaction at the table.
    sent: Option<Vec<Ask>>,
    /// Requests that the target has, by number.
    running: BTreeSet<u128>,
    incarnation: u64,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    faults: u8,
    agents: [Agent; 2],
    rows: BTreeMap<String, Row>,
    /// Transactions that no one waits for and that may still take effect.
    late: Vec<Vec<Ask>>,
    /// Runs of each key.
    runs: [u8; 2],
}

struct Scenario {
    faults: u8,
    kinds: &'static [Fault],
    seeded: Option<Seeded>,
}

impl Agent {
    /// Makes an agent that is sent one request for each key.
    fn new(index: u128, incarnation: u64) -> Self {
        let name = ["agent-a", "agent-b"][index as usize];
        let me = owner(name, incarnation);
        let ledger = Ledger::new(me, ledger::Limits::default(), Mono(0));
        let mut agent = Self {
            ledger,
            batch: Batch::new(Limits::default()),
            sent: None,
            running: BTreeSet::new(),
            incarnation,
        };
        for (number, key) in KEYS.iter().enumerate() {
            // Its last digit tells the key of a request.
            let request = u128::from(incarnation) * 100 + index * 10 + number as u128;
            let offer = Offer {
                id: id::RequestId(request),
                link: Link(request as u64),
                incarnation: id::Incarnation(incarnation),
                epoch: agent.ledger.epoch(),
                class: keyed(key, request),
                remaining: Span::from_secs(30),
            };
            agent.ledger.offer(Mono(0), offer);
            let actions = agent.ledger.admitted(Mono(0), id::RequestId(request));
            assert!(agent.act(&BTreeMap::new(), actions).is_empty());
        }
        agent
    }

    /// Carries out actions and returns the requests that go to the target.
    fn act(&mut self, rows: &BTreeMap<String, Row>, actions: Vec<Action>) -> Vec<u128> {
        let mut dispatched = Vec::new();
        for action in actions {
            match action {
                Action::Ask(ask) if ask.op == Op::Read => {
                    let row = rows.get(&ask.key.row()).cloned();
                    let answer = Answer::Read(row);
                    let actions = self.ledger.answered(Mono(0), &ask.key, ask.nonce, answer);
                    dispatched.extend(self.act(rows, actions));
                }
                Action::Ask(ask) => self.batch.push(Mono(0), ask),
                Action::Dispatch(id) => dispatched.push(id.0),
                _ => {}
            }
        }
        dispatched
    }
}

impl World {
    fn new(scenario: &Scenario) -> Self {
        Self {
            faults: scenario.faults,
            agents: [Agent::new(0, 1), Agent::new(1, 1)],
            rows: BTreeMap::new(),
            late: Vec::new(),
            runs: [0; 2],
        }
    }

    fn next(&self, scenario: &Scenario) -> Vec<(String, World)> {
        let mut next = Vec::new();
        for index in 0..2 {
            self.table(scenario, index, &mut next);
            self.target(scenario, index, &mut next);
        }
        for number in 0..self.late.len() {
            let mut world = self.clone();
            let taken = world.late.remove(number);
            transact(&mut world.rows, &taken);
            next.push(("a late transaction takes effect".to_owned(), world));
        }
        if let Some(mut world) = self.fault(scenario, Fault::Restore) {
            world.rows.clear();
            next.push(("the table is restored without claims".to_owned(), world));
        }
        next
    }

    fn fault(&self, scenario: &Scenario, fault: Fault) -> Option<World> {
        let may = self.faults > 0 && scenario.kinds.contains(&fault);
        may.then(|| World {
            faults: self.faults - 1,
            ..self.clone()
        })
    }

    fn table(&self, scenario: &Scenario, index: usize, next: &mut Vec<(String, World)>) {
        let Some(taken) = &self.agents[index].sent else {
            let mut world = self.clone();
            let agent = &mut world.agents[index];
            // All that waits goes into one transaction.
            agent.sent = agent.batch.take(Mono(5_000));
            if agent.sent.is_some() {
                next.push((format!("agent {index} sends its batch"), world));
            }
            return;
        };
        let mut world = self.clone();
        let outcome = transact(&mut world.rows, taken);
        let text = match &outcome {
            Outcome::Conflict(..) => "conflicts",
            _ => "takes effect",
        };
        world.finish(scenario, index, outcome);
        next.push((format!("the batch of agent {index} {text}"), world));
        if let Some(mut world) = self.fault(scenario, Fault::LostReply) {
            transact(&mut world.rows, taken);
            world.finish(scenario, index, Outcome::Unanswered);
            next.push((format!("the reply to agent {index} is lost"), world));
        }
        if let Some(mut world) = self.fault(scenario, Fault::LateWrite) {
            world.late.push(taken.clone());
            world.finish(scenario, index, Outcome::Unanswered);
            next.push((format!("agent {index} stops waiting"), world));
        }
        if let Some(mut world) = self.fault(scenario, Fault::Unavailable) {
            world.finish(scenario, index, Outcome::Unavailable);
            next.push((format!("agent {index} finds no table"), world));
        }
    }

    /// Gives each write of the transaction its answer.
    fn finish(&mut self, scenario: &Scenario, index: usize, outcome: Outcome) {
        let agent = &mut self.agents[index];
        let taken = agent.sent.take().unwrap_or_default();
        let wrong = match (scenario.seeded, &outcome) {
            (Some(Seeded::RestWritten), Outcome::Conflict(..)) => taken.clone(),
            (Some(Seeded::LostWritten), Outcome::Unanswered) => taken.clone(),
            _ => Vec::new(),
        };
        let mut answers = agent.batch.finish(taken, outcome);
        answers.retain(|(_, answer)| wrong.is_empty() || *answer != Answer::Unanswered);
        let decided: BTreeSet<_> = answers.iter().map(|(ask, _)| ask.nonce).collect();
        let rest = wrong
            .into_iter()
            .filter(|ask| !decided.contains(&ask.nonce));
        answers.extend(rest.map(|ask| (ask, Answer::Written(1))));
        for (ask, answer) in answers {
            let actions = agent.ledger.answered(Mono(0), &ask.key, ask.nonce, answer);
            for request in agent.act(&self.rows, actions) {
                agent.running.insert(request);
                self.runs[(request % 10) as usize] += 1;
            }
        }
    }

    fn target(&self, scenario: &Scenario, index: usize, next: &mut Vec<(String, World)>) {
        for request in &self.agents[index].running {
            let name = KEYS[(request % 10) as usize];
            let id = id::RequestId(*request);
            let mut world = self.clone();
            let agent = &mut world.agents[index];
            agent.running.remove(request);
            let done = Some(response("x"));
            let actions = agent.ledger.complete(Mono(0), id, 1, done);
            agent.act(&self.rows, actions);
            next.push((format!("agent {index} completes {name}"), world));
            if let Some(mut world) = self.fault(scenario, Fault::Unsent) {
                world.runs[(request % 10) as usize] -= 1;
                let agent = &mut world.agents[index];
                agent.running.remove(request);
                let actions = agent.ledger.unsent(Mono(0), id);
                agent.act(&self.rows, actions);
                next.push((format!("agent {index} does not reach its target"), world));
            }
        }
        if let Some(mut world) = self.fault(scenario, Fault::Crash) {
            let agent = &mut world.agents[index];
            let incarnation = agent.incarnation + 1;
            let crashed = std::mem::replace(agent, Agent::new(index as u128, incarnation));
            world.late.extend(crashed.sent);
            next.push((format!("agent {index} crashes and is asked again"), world));
        }
    }
}

#[derive(Clone)]
struct Node(String, World);

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.1.hash(state);
    }
}

/// Returns the number of states, and the events that run a key twice, if any do.
fn explore(name: &str, scenario: &Scenario) -> (usize, Option<String>) {
    let states = Cell::new(0);
    let start = Node(String::new(), World::new(scenario));
    let path = bfs(
        &start,
        |Node(_, world)| {
            states.set(states.get() + 1);
            let next = world.next(scenario);
            next.into_iter().map(|(event, world)| Node(event, world))
        },
        |Node(_, world)| world.runs.iter().any(|runs| *runs > 1),
    );
    println!("\nmodel {name}: {} states", states.get());
    let text = |path: Vec<Node>| {
        let lines = path.into_iter().skip(1).map(|Node(event, _)| event + "\n");
        lines.collect()
    };
    (states.get(), path.map(text))
}

const FAULTS: &[Fault] = &[
    Fault::LostReply,
    Fault::LateWrite,
    Fault::Unavailable,
    Fault::Unsent,
    Fault::Crash,
];

#[test]
fn batched_claims() {
    let scenario = Scenario {
        faults: 2,
        kinds: FAULTS,
        seeded: None,
    };
    let (states, found) = explore("batches", &scenario);
    assert_eq!(found, None);
    assert!(states > 1_000, "only {states} states");
}

#[test]
fn seeded_batches() {
    for seeded in [Seeded::RestWritten, Seeded::LostWritten] {
        let scenario = Scenario {
            faults: 1,
            kinds: FAULTS,
            seeded: Some(seeded),
        };
        let (_, found) = explore(&format!("batches seeded {seeded:?}"), &scenario);
        assert!(found.is_some(), "{seeded:?} was not found");
    }
}

/// A limit of the platform, not of the rules: a table that loses the row of a
/// claim has forgotten the claim, and the key runs again.
#[test]
fn restored_table() {
    let scenario = Scenario {
        faults: 1,
        kinds: &[Fault::Restore],
        seeded: None,
    };
    let (_, found) = explore("batches restored", &scenario);
    expect![[r#"
        agent 0 sends its batch
        the batch of agent 0 takes effect
        agent 1 sends its batch
        the table is restored without claims
        the batch of agent 1 takes effect
    "#]]
    .assert_eq(&found.unwrap());
}
