//! Model check of membership that runs the production merge code.
//!
//! The world has three members. One of them, the subject, restarts, leaves and
//! sends reports, and the instance list shows it as live, leaving or absent;
//! the other two observe it. Each history of the subject is explored
//! separately. All its reports and all answers of the list can be delivered at
//! any time and any number of times, so that they are lost, late, repeated and
//! reordered in every way. The first observer receives all of them and fails to
//! reach the subject, the second receives the reports that the first relays and
//! relays them back, and both remove the subject when it is silent.

mod common;

use std::cell::RefCell;

use base::time;
use common::{agent, at, instance, later, list, process, standing};
use fleet::{
    member::{self, Standing},
    rules,
};
use pathfinding::directed::bfs;

const OBSERVERS: usize = 2;
const REPORTS: u64 = 2;

/// A fault injected around the merge code to show that the check detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The last report to arrive wins, whatever its incarnation.
    OlderWins,
    /// A newer report of the same incarnation ends leaving.
    LeavingEnds,
    /// A removed member is forgotten at once.
    Forgotten,
    /// The last report of an incarnation to arrive wins, whatever its sequence.
    SequenceIgnored,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    run: u64,
    sequence: u64,
    leaving: bool,
}

#[derive(Clone, Copy, Debug)]
enum ListState {
    Live,
    Leaving,
    Absent,
}

/// Events that the network may deliver.
#[derive(Clone, Debug)]
struct History {
    reports: Vec<Report>,
    lists: Vec<(u64, ListState)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    observers: Vec<member::Members>,
    failed: bool,
    /// Highest (run, sequence) that each observer ever held.
    highest: Vec<Option<(u64, u64)>>,
}

impl History {
    /// Returns all histories: each run leaves with its first or second report
    /// or never, and the list's second answer shows any state.
    fn all() -> Vec<History> {
        let leaves = [1, REPORTS, REPORTS + 1];
        let mut histories = Vec::new();
        for first in leaves {
            for second in leaves {
                for shown in [ListState::Live, ListState::Leaving, ListState::Absent] {
                    let mut reports = run(1, first);
                    reports.extend(run(2, second));
                    let lists = vec![(1, ListState::Live), (2, shown)];
                    histories.push(History { reports, lists });
                }
            }
        }
        histories
    }
}

/// Returns the reports of one run that leaves with the report `leaves`.
fn run(run: u64, leaves: u64) -> Vec<Report> {
    (1..=REPORTS)
        .map(|sequence| Report {
            run,
            sequence,
            leaving: sequence >= leaves,
        })
        .collect()
}

impl World {
    fn new() -> Self {
        let observer =
            |nth| member::Members::new(at(0), agent(nth, "crew"), rules::Rules::default());
        Self {
            observers: vec![observer(2), observer(3)],
            failed: false,
            highest: vec![None; OBSERVERS],
        }
    }

    /// Returns the worlds that follow from this one by one event.
    fn next(&self, history: &History, fault: Fault) -> Vec<World> {
        let mut worlds = Vec::new();
        for nth in 0..OBSERVERS {
            for report in history.reports.iter().filter(|_| nth == 0) {
                worlds.push(self.with(|world| world.deliver(nth, describe(*report), fault)));
            }
            if let Some(relayed) = self.observers[1 - nth].relayed(now(), &subject().process) {
                worlds.push(self.with(|world| world.deliver(nth, relayed, fault)));
            }
            worlds.push(self.with(|world| {
                world.observers[nth].expire(at(61));
                world.forget(nth, fault);
            }));
        }
        for (revision, shown) in &history.lists {
            worlds.push(self.with(|world| world.show(0, *revision, *shown, fault)));
        }
        // At most one failure, because the failure count is unbounded.
        if !self.failed {
            worlds.push(self.with(|world| {
                world.failed = true;
                let observer = &mut world.observers[0];
                observer.record_failure(now(), &subject().process, member::Failure::Refused);
            }));
        }
        worlds
    }

    fn deliver(&mut self, nth: usize, report: member::Member, fault: Fault) {
        let observer = &mut self.observers[nth];
        let known = observer.relayed(at(1), &subject().process);
        observer.report(at(1), report.clone());
        let Some(known) = known else {
            return;
        };
        let same = known.incarnation == report.incarnation;
        let faulty = match fault {
            Fault::OlderWins => report.incarnation < known.incarnation,
            Fault::SequenceIgnored => same && report.sequence < known.sequence,
            Fault::LeavingEnds => same && report.sequence > known.sequence,
            Fault::None | Fault::Forgotten => false,
        };
        if faulty {
            self.reset(nth);
            self.observers[nth].report(at(1), report);
        }
    }

    fn show(&mut self, nth: usize, revision: u64, shown: ListState, fault: Fault) {
        let instances = match shown {
            ListState::Live => vec![instance(&subject(), false)],
            ListState::Leaving => vec![instance(&subject(), true)],
            ListState::Absent => Vec::new(),
        };
        self.observers[nth].apply_list(at(1), &list(revision, instances));
        self.forget(nth, fault);
    }

    fn forget(&mut self, nth: usize, fault: Fault) {
        let present = standing(&self.observers[nth], at(1), &subject()).is_some();
        if fault == Fault::Forgotten && !present {
            self.reset(nth);
        }
    }

    fn reset(&mut self, nth: usize) {
        let own = self.observers[nth].own().clone();
        self.observers[nth] = member::Members::new(at(0), own, rules::Rules::default());
    }

    fn with(&self, event: impl FnOnce(&mut World)) -> World {
        let mut world = self.clone();
        event(&mut world);
        for (highest, observer) in world.highest.iter_mut().zip(&world.observers) {
            *highest = (*highest).max(latest(observer));
        }
        world
    }
}

fn subject() -> member::Member {
    agent(1, "crew")
}

fn describe(report: Report) -> member::Member {
    let standing = match report.leaving {
        true => Standing::Leaving,
        false => Standing::Up,
    };
    later(&subject(), report.run, report.sequence, standing)
}

fn latest(members: &member::Members) -> Option<(u64, u64)> {
    let member = members.relayed(now(), &process("agent-1"))?;
    Some((member.incarnation.0, member.sequence.0))
}

fn now() -> time::Mono {
    at(1)
}

/// Returns the rule that a step of one observer violates. `highest` is the
/// highest report that the observer held before the step.
fn violation(
    highest: Option<(u64, u64)>,
    before: &member::Members,
    after: &member::Members,
) -> Option<&'static str> {
    let run = |latest: Option<(u64, u64)>| latest.map(|(run, _)| run);
    let (old, new) = (latest(before), latest(after));
    let was = standing(before, now(), &subject());
    let is = standing(after, now(), &subject());
    let up = matches!(is, Some(Standing::Up | Standing::Warming));
    let older = new.is_some() && new < highest;
    if was.is_none() && (older || up && new == highest) {
        return Some("a removed member returned through an old report");
    }
    if new.is_some() && run(new) < run(highest) {
        return Some("a report of an older incarnation won");
    }
    if older {
        return Some("an older report won");
    }
    let left = before
        .relayed(now(), &subject().process)
        .is_some_and(|member| member.standing == Standing::Leaving);
    if left && run(old) == run(new) && is.is_some_and(|is| is != Standing::Leaving) {
        return Some("a leaving incarnation returned");
    }
    None
}

/// Explores all worlds; returns their number and the first violated rule.
fn explore(fault: Fault) -> (usize, Option<&'static str>) {
    let mut states = 0;
    for history in History::all() {
        let (more, rule) = explore_one(&history, fault);
        states += more;
        if rule.is_some() {
            return (states, rule);
        }
    }
    (states, None)
}

fn explore_one(history: &History, fault: Fault) -> (usize, Option<&'static str>) {
    let found = RefCell::new(None);
    let successors = |world: &World| {
        if found.borrow().is_some() {
            return Vec::new();
        }
        let worlds = world.next(history, fault);
        for next in &worlds {
            let rule = (0..OBSERVERS)
                .filter_map(|nth| {
                    let (before, after) = (&world.observers[nth], &next.observers[nth]);
                    violation(world.highest[nth], before, after)
                })
                .next();
            if rule.is_some() {
                *found.borrow_mut() = rule;
                return Vec::new();
            }
        }
        worlds
    };
    let states = bfs::bfs_reach(World::new(), successors).count();
    (states, found.into_inner())
}

#[test]
fn rules_hold() {
    // Guards against an order of events that violates a rule of membership.
    let (states, rule) = explore(Fault::None);
    println!("model membership states={states}");
    assert_eq!(rule, None);
}

#[test]
fn faults_found() {
    // Guards against a check that does not detect violations.
    let seeded = [
        (Fault::OlderWins, "a report of an older incarnation won"),
        (Fault::SequenceIgnored, "an older report won"),
        (Fault::LeavingEnds, "a leaving incarnation returned"),
        (
            Fault::Forgotten,
            "a removed member returned through an old report",
        ),
    ];
    for (fault, rule) in seeded {
        let (states, found) = explore(fault);
        println!("model membership fault={fault:?} states={states}");
        assert_eq!(found, Some(rule), "{fault:?}");
    }
}
