//! Model checks of the decision code: every reachable state of a small world
//! is visited breadth-first, and the invariants hold in each. See
//! docs/PROOF.md for the bounds and what they leave out.

mod world;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    hash::{Hash, Hasher},
};

use pathfinding::prelude::bfs;
use world::{Event, Fault, Faults, Kind, Scenario, Seeded, Told, World};

/// A state and the event that led to it, which does not distinguish states.
#[derive(Clone)]
struct Node {
    event: Option<Event>,
    depth: usize,
    world: World,
}

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.world == other.world
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.world.hash(state);
    }
}

struct Report {
    states: usize,
    depth: usize,
    told: BTreeSet<Told>,
    violation: Option<(&'static str, Vec<Event>)>,
}

/// Visits the states of a scenario until one violates an invariant.
fn explore(scenario: &Scenario) -> Report {
    let states = Cell::new(0);
    let depth = Cell::new(0);
    let told = RefCell::new(BTreeSet::new());
    let start = Node {
        event: None,
        depth: 0,
        world: World::new(scenario),
    };
    let path = bfs(
        &start,
        |node| {
            states.set(states.get() + 1);
            depth.set(depth.get().max(node.depth));
            told.borrow_mut().extend(node.world.told().flatten());
            let depth = node.depth + 1;
            node.world
                .next(scenario)
                .into_iter()
                .map(move |(event, world)| Node {
                    event: Some(event),
                    depth,
                    world,
                })
        },
        |node| node.world.violation(scenario).is_some(),
    );
    let violation = path.map(|path| {
        let last = path.last().and_then(|node| node.world.violation(scenario));
        let events = path.iter().filter_map(|node| node.event).collect();
        (last.unwrap_or("none"), events)
    });
    Report {
        states: states.get(),
        depth: depth.get(),
        told: told.into_inner(),
        violation,
    }
}

/// Expects that no state violates an invariant and that each outcome occurs,
/// so that the invariants are not satisfied by doing nothing.
fn holds(name: &str, scenario: &Scenario, outcomes: &[Told]) {
    let report = explore(scenario);
    println!(
        "\nmodel {name}: {} states, depth {}",
        report.states, report.depth
    );
    if let Some((rule, events)) = report.violation {
        panic!("{rule}:\n{events:#?}");
    }
    for outcome in outcomes {
        assert!(report.told.contains(outcome), "{outcome:?} never occurs");
    }
}

const ALL: [Told; 4] = [Told::Done, Told::NotRun, Told::Unknown, Told::Cut];

const LINKS: &[Fault] = &[
    Fault::Duplicate,
    Fault::Cut,
    Fault::Unreachable,
    Fault::Part,
    Fault::Crash,
    Fault::Router,
    Fault::Leave,
    Fault::Unsent,
    Fault::Broken,
    Fault::Deadline,
    Fault::Refuse,
    Fault::Restart,
    Fault::Gap,
];

const CLAIMS: &[Fault] = &[
    Fault::Cut,
    Fault::Unreachable,
    Fault::Crash,
    Fault::Router,
    Fault::Reply,
    Fault::LateWrite,
    Fault::Table,
    Fault::Leave,
    Fault::Unsent,
    Fault::Broken,
    Fault::Deadline,
];

/// One request of the kind that may wait at the gate, on links that fail.
fn links(kind: Kind, total: u8, epochs: u8) -> Scenario {
    Scenario {
        kind,
        requests: 1,
        mismatch: false,
        concurrent: false,
        split: false,
        gate: true,
        faults: Faults {
            total,
            kinds: LINKS,
            epochs,
        },
        seeded: None,
    }
}

/// A keyed request, and its repetition through the other router.
fn claims(total: u8) -> Scenario {
    Scenario {
        requests: 2,
        gate: false,
        faults: Faults {
            total,
            kinds: CLAIMS,
            epochs: 0,
        },
        ..links(Kind::Keyed, total, 0)
    }
}

fn concurrent(total: u8) -> Scenario {
    Scenario {
        concurrent: true,
        ..claims(total)
    }
}

/// Two requests without a key, and agents that may exchange their responses.
fn crossed(total: u8) -> Scenario {
    Scenario {
        requests: 2,
        concurrent: true,
        gate: false,
        faults: Faults {
            total,
            kinds: &[Fault::Crossed, Fault::Part, Fault::Gap, Fault::Restart],
            epochs: 0,
        },
        ..links(Kind::Once, total, 0)
    }
}

#[test]
fn once_links() {
    holds("once", &links(Kind::Once, 2, 2), &ALL);
}

#[test]
fn once_faults() {
    holds("once-faults", &links(Kind::Once, 4, 0), &ALL);
}

#[test]
fn repeatable_links() {
    holds("repeatable", &links(Kind::Repeatable, 2, 2), &ALL);
}

#[test]
fn keyed_repeated() {
    holds("keyed", &claims(2), &ALL);
}

/// Three faults of the table and of processes in one session.
#[test]
fn keyed_faults() {
    let mut scenario = claims(3);
    scenario.faults.kinds = &[
        Fault::Unreachable,
        Fault::Crash,
        Fault::Reply,
        Fault::LateWrite,
        Fault::Table,
    ];
    holds(
        "keyed-faults",
        &scenario,
        &[Told::Done, Told::NotRun, Told::Unknown],
    );
}

#[test]
fn keyed_split() {
    let scenario = Scenario {
        split: true,
        gate: true,
        ..claims(1)
    };
    holds("keyed-split", &scenario, &ALL);
}

#[test]
fn keyed_concurrent() {
    holds("keyed-concurrent", &concurrent(1), &ALL);
}

#[test]
fn keyed_mismatch() {
    let scenario = Scenario {
        mismatch: true,
        ..concurrent(1)
    };
    holds("keyed-mismatch", &scenario, &ALL);
}

#[test]
fn keyed_epochs() {
    let mut scenario = claims(1);
    scenario.faults.epochs = 2;
    holds("keyed-epochs", &scenario, &ALL);
}

#[test]
fn crossed_responses() {
    holds("crossed", &crossed(2), &[Told::Done, Told::Unknown]);
}

/// Expects that the checker finds the consequence of a seeded fault.
fn finds(seeded: Seeded, scenario: Scenario, rule: &str) {
    let scenario = Scenario {
        seeded: Some(seeded),
        ..scenario
    };
    let report = explore(&scenario);
    let Some((found, events)) = report.violation else {
        panic!("{seeded:?} was not found in {} states", report.states);
    };
    println!(
        "\nmodel seeded {seeded:?}: found after {} states in {} steps: {found}",
        report.states,
        events.len()
    );
    assert_eq!(found, rule);
}

const NOT_RUN: &str = "a request was run whose caller was told not-run";
const RUN_TWICE: &str = "a request was run twice";
const KEY_TWICE: &str = "a key was run twice";
const SAME_ID: &str = "an id was dispatched twice in one incarnation";
const OTHER: &str = "a caller was given another response than its own";

#[test]
fn no_tombstone() {
    finds(Seeded::NoTombstone, links(Kind::Once, 2, 0), NOT_RUN);
}

#[test]
fn run_epoch() {
    finds(Seeded::RunEpoch, links(Kind::Once, 2, 2), SAME_ID);
}

#[test]
fn settle_epoch() {
    finds(Seeded::SettleEpoch, links(Kind::Once, 2, 2), RUN_TWICE);
}

#[test]
fn run_incarnation() {
    finds(Seeded::RunIncarnation, links(Kind::Once, 3, 0), NOT_RUN);
}

#[test]
fn settle_incarnation() {
    finds(
        Seeded::SettleIncarnation,
        links(Kind::Once, 3, 0),
        RUN_TWICE,
    );
}

#[test]
fn duplicate_run() {
    finds(Seeded::Duplicate, links(Kind::Once, 2, 0), SAME_ID);
}

#[test]
fn settle_queued() {
    finds(Seeded::SettleQueued, links(Kind::Once, 2, 0), RUN_TWICE);
}

#[test]
fn broken_unsent() {
    finds(Seeded::BrokenUnsent, links(Kind::Once, 2, 0), RUN_TWICE);
}

#[test]
fn claim_expiry() {
    finds(Seeded::Expiry, claims(2), KEY_TWICE);
}

#[test]
fn old_claim() {
    finds(Seeded::OldClaim, claims(2), KEY_TWICE);
}

#[test]
fn no_nonce() {
    finds(Seeded::NoNonce, claims(2), KEY_TWICE);
}

#[test]
fn lost_written() {
    finds(Seeded::LostWritten, claims(2), KEY_TWICE);
}

#[test]
fn no_table() {
    finds(Seeded::NoTable, claims(2), KEY_TWICE);
}

#[test]
fn lost_abandoned() {
    finds(Seeded::LostAbandoned, claims(2), KEY_TWICE);
}

#[test]
fn no_replay() {
    finds(Seeded::NoReplay, claims(2), KEY_TWICE);
}

#[test]
fn unconditional_insert() {
    finds(Seeded::Insert, claims(2), KEY_TWICE);
}

#[test]
fn unconditional_write() {
    let mut scenario = concurrent(1);
    scenario.faults.kinds = &[Fault::Unsent];
    finds(Seeded::CompareSet, scenario, KEY_TWICE);
}

#[test]
fn dispatched_claim() {
    finds(Seeded::Dispatched, claims(2), KEY_TWICE);
}

#[test]
fn no_digest() {
    finds(
        Seeded::Digest,
        Scenario {
            mismatch: true,
            ..claims(2)
        },
        OTHER,
    );
}

#[test]
fn old_answer() {
    let mut scenario = concurrent(1);
    scenario.faults.kinds = &[Fault::Unsent];
    finds(Seeded::OldAnswer, scenario, KEY_TWICE);
}

#[test]
fn unreachable_proof() {
    finds(Seeded::Unreachable, links(Kind::Once, 2, 0), NOT_RUN);
}

#[test]
fn broken_proof() {
    finds(Seeded::Broken, links(Kind::Once, 2, 0), RUN_TWICE);
}

#[test]
fn no_doubt() {
    finds(Seeded::Doubt, links(Kind::Repeatable, 2, 0), NOT_RUN);
}

#[test]
fn crossed_head() {
    finds(Seeded::Crossed, crossed(2), OTHER);
}

#[test]
fn no_offset() {
    finds(Seeded::Offset, links(Kind::Repeatable, 2, 0), OTHER);
}
