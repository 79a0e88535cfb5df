//! Breadth-first exploration of a small world that runs the real decision code.
//!
//! A world lists its possible steps, checks its own invariants and states when
//! its work is complete. The exploration visits every reachable state, reports
//! the shortest trace to a state that breaks an invariant, and then checks that
//! from every state a state with complete work can still be reached.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    hash::{Hash, Hasher},
};

/// A state of the modelled system.
pub trait World: Clone {
    /// Returns each possible step with the state after it.
    fn steps(&self) -> Vec<(String, Self)>;

    /// Feeds everything that distinguishes this state to the hasher.
    fn feed(&self, hasher: &mut impl Hasher);

    /// Returns the invariant that this state breaks, if it breaks one.
    fn fault(&self) -> Option<String>;

    /// Tells whether the work is complete.
    fn complete(&self) -> bool;
}

/// The result of an exploration.
pub struct Report {
    /// States visited.
    pub states: usize,
    /// Steps between them.
    pub steps: usize,
    /// The first fault found.
    pub fault: Option<Fault>,
}

/// A broken invariant with the shortest way to it.
pub struct Fault {
    /// What is broken.
    pub text: String,
    /// The steps from the start.
    pub trace: Vec<String>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.text)?;
        self.trace
            .iter()
            .try_for_each(|step| writeln!(f, "  {step}"))
    }
}

/// Most states of one exploration; more would exceed the time of a test run, so
/// the exploration fails rather than stop silently.
const MAX_STATES: usize = 2_000_000;

struct Visit {
    parent: usize,
    step: String,
}

/// Visits every state that can be reached from `start`.
pub fn explore<W: World>(start: W) -> Report {
    let mut known = BTreeMap::from([(key(&start), 0)]);
    let mut visits = vec![Visit {
        parent: 0,
        step: "start".to_owned(),
    }];
    let mut complete = Vec::new();
    let mut edges: Vec<(u32, u32)> = Vec::new();
    let mut queue = VecDeque::from([(0, start)]);
    while let Some((index, world)) = queue.pop_front() {
        if let Some(text) = world.fault() {
            return report(&visits, &edges, Some((index, text)));
        }
        if world.complete() {
            complete.push(index);
        }
        for (step, next) in world.steps() {
            let new = visits.len();
            let target = *known.entry(key(&next)).or_insert(new);
            edges.push((index as u32, target as u32));
            if target == new {
                visits.push(Visit {
                    parent: index,
                    step,
                });
                queue.push_back((new, next));
            }
        }
        assert!(visits.len() < MAX_STATES, "the world is too large");
    }
    let stuck = first_stuck(visits.len(), &edges, complete);
    let fault = stuck.map(|index| (index, "the work can no longer be completed".to_owned()));
    report(&visits, &edges, fault)
}

fn key(world: &impl World) -> u128 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    world.feed(&mut hasher);
    hasher.digest128()
}

/// Feeds one value; worlds call it for each part of their state.
pub fn feed(hasher: &mut impl Hasher, part: impl Hash) {
    part.hash(hasher);
}

/// Returns the first state from which no complete state can be reached.
fn first_stuck(count: usize, edges: &[(u32, u32)], complete: Vec<usize>) -> Option<usize> {
    let mut before: Vec<Vec<u32>> = vec![Vec::new(); count];
    for (from, to) in edges {
        before[*to as usize].push(*from);
    }
    let mut can = vec![false; count];
    let mut open = complete;
    while let Some(index) = open.pop() {
        if !can[index] {
            can[index] = true;
            open.extend(before[index].iter().map(|from| *from as usize));
        }
    }
    can.iter().position(|can| !can)
}

fn report(visits: &[Visit], edges: &[(u32, u32)], fault: Option<(usize, String)>) -> Report {
    Report {
        states: visits.len(),
        steps: edges.len(),
        fault: fault.map(|(index, text)| Fault {
            text,
            trace: trace(visits, index),
        }),
    }
}

fn trace(visits: &[Visit], mut index: usize) -> Vec<String> {
    let mut steps = Vec::new();
    while index != 0 {
        steps.push(visits[index].step.clone());
        index = visits[index].parent;
    }
    steps.reverse();
    steps
}
