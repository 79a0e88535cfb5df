//! The list of targets after the table has come back from an older copy.

use std::collections::{BTreeMap, BTreeSet};

use base::{
    id::TargetId,
    span::Span,
    time::{Clock, Mono},
};
use edge::{
    target_list::{Departure, Source, TargetList},
    update::{DepartureEntry, MAX_DEPARTURES, MAX_JOINED, TargetRow},
};
use platform::{
    rows::{Era, Position},
    target::Target,
};
use proptest::prelude::*;

/// Number of targets and of routers in the property.
const TARGETS: usize = 3;
const ROUTERS: usize = 3;

/// Time between two steps of the property, short against the time in which lost rows are
/// written again.
const STEP: Span = Span::from_millis(20);

/// Time after which a row that stays away counts as removed.
const SETTLED: Span = Span::from_secs(3);

/// Cases of the property; `PROPTEST_CASES` overrides the number.
const CASES: u32 = 2_000;

fn target(id: &str, started_at: i64, leaving: bool) -> Target {
    Target {
        id: id.parse().expect("an id"),
        address: ([127, 0, 0, 1], 80).into(),
        service: "s".parse().expect("an id"),
        centre: "c".parse().expect("an id"),
        slots: 1,
        cold: Span::ZERO,
        leaving,
        started_at,
    }
}

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

fn in_era(era: u64, version: u64) -> Position {
    Position {
        era: Era(era),
        version,
    }
}

/// Returns the runs of targets that get requests.
fn open(list: &mut TargetList, now: Mono) -> Vec<(String, i64)> {
    let targets = list.targets(now).into_iter();
    let open = targets.filter(|target| !target.leaving);
    open.map(|target| (target.id.to_string(), target.started_at))
        .collect()
}

fn run(id: &str, started_at: i64) -> (String, i64) {
    (id.to_owned(), started_at)
}

/// A row of the copy says less than what an era before showed; a row that was written
/// since the return says more.
#[test]
fn copied_row() {
    let mut list = TargetList::default();
    list.replace(at(0), 10.into(), vec![(8.into(), target("a", 1, false))]);
    list.put(at(0), 40.into(), target("a", 1, true));
    list.replace(
        at(1),
        in_era(1, 20),
        vec![(in_era(1, 8), target("a", 1, false))],
    );
    assert!(open(&mut list, at(1)).is_empty());
    list.put(at(2), in_era(1, 21), target("a", 2, false));
    assert_eq!(open(&mut list, at(2)), [run("a", 2)]);
}

/// The copy shows an earlier run of a target than the known one.
#[test]
fn earlier_run() {
    let mut list = TargetList::default();
    list.replace(at(0), 10.into(), vec![(8.into(), target("a", 1, false))]);
    list.put(at(0), 40.into(), target("a", 2, false));
    list.replace(
        at(1),
        in_era(1, 20),
        vec![(in_era(1, 8), target("a", 1, true))],
    );
    assert_eq!(open(&mut list, at(1)), [run("a", 2)]);
}

/// A target reports that it is leaving between the return and the first read.
#[test]
fn leaves_at_return() {
    let mut list = TargetList::default();
    list.replace(at(0), 10.into(), vec![(8.into(), target("a", 1, false))]);
    list.put(at(0), 40.into(), target("a", 1, false));
    list.replace(
        at(1),
        in_era(1, 20),
        vec![(in_era(1, 20), target("a", 1, true))],
    );
    assert!(open(&mut list, at(1)).is_empty());
}

/// A router that has started after the return knows only the copy, in which a target is
/// ready that has left since. The others tell it, and not of a later run.
#[test]
fn told_by_peer() {
    for removed in [false, true] {
        let mut known = TargetList::default();
        known.replace(at(0), 10.into(), vec![(8.into(), target("a", 1, false))]);
        match removed {
            false => {
                known.put(at(0), 40.into(), target("a", 1, true));
            }
            true => known.remove(at(0), 40.into(), "a"),
        }
        known.targets(at(1));
        let copy = vec![(in_era(1, 8), target("a", 1, false))];
        known.replace(at(9_000), in_era(1, 20), copy.clone());
        let departures = known.departures(at(9_100), 10);
        assert_eq!(departures.len(), 1, "announced again");
        let mut fresh = TargetList::default();
        fresh.replace(at(9_000), in_era(1, 20), copy);
        let mut later = fresh.clone();
        later.put(at(9_000), in_era(1, 21), target("a", 2, false));
        for list in [&mut fresh, &mut later] {
            list.apply_departure(at(9_200), &departures[0]);
        }
        assert!(open(&mut fresh, at(9_200)).is_empty());
        assert_eq!(open(&mut later, at(9_200)), [run("a", 2)]);
    }
}

/// A row that is missing after the return counts as removed only if it stays away, also
/// if the table comes back once more in between.
#[test]
fn lost_row() {
    let mut list = TargetList::default();
    list.replace(at(0), 10.into(), Vec::new());
    list.put(at(0), 40.into(), target("a", 1, false));
    list.put(at(0), 41.into(), target("b", 1, false));
    list.replace(at(1_000), in_era(1, 20), Vec::new());
    assert_eq!(open(&mut list, at(2_500)).len(), 2);
    list.put(at(2_600), in_era(1, 22), target("a", 1, false));
    assert_eq!(open(&mut list, at(4_000)), [run("a", 1)]);
}

/// The copy shows that an earlier run of a target was leaving. A router that knows only
/// the copy announces it, which is no news of the later run.
#[test]
fn earlier_leave() {
    let mut list = TargetList::default();
    list.replace(at(0), 10.into(), vec![(8.into(), target("a", 2, false))]);
    let mut fresh = TargetList::default();
    fresh.replace(
        at(1),
        in_era(1, 7),
        vec![(in_era(1, 6), target("a", 1, true))],
    );
    for departure in fresh.departures(at(2), MAX_DEPARTURES) {
        assert!(!list.apply_departure(at(2), &departure));
    }
    assert_eq!(open(&mut list, at(2)), [run("a", 2)]);
}

/// A router that knows an earlier run hears that a later one leaves. What it announces
/// of the target then is of the later run.
#[test]
fn later_leave() {
    let mut list = TargetList::default();
    list.replace(at(0), 10.into(), vec![(8.into(), target("a", 1, false))]);
    let mut other = TargetList::default();
    other.replace(at(0), 12.into(), vec![(11.into(), target("a", 2, false))]);
    let departure = Departure {
        target: "a".parse().expect("an id"),
        position: 13.into(),
        removed: false,
        started_at: Some(2),
    };
    assert!(list.apply_departure(at(1), &departure));
    for (source, target) in list.joined(at(1), MAX_JOINED) {
        other.put_announced(at(1), source, target);
    }
    other.replace(
        at(2),
        in_era(1, 12),
        vec![(in_era(1, 11), target("a", 2, false))],
    );
    assert!(open(&mut other, at(2)).is_empty());
}

/// The row of a target that runs lapses, and the table comes back with the row from
/// before. The target only renews it, which gives it no later version.
#[test]
fn renewed_row() {
    let mut list = TargetList::default();
    let row = target("a", 1, false);
    list.replace(at(0), 10.into(), vec![(8.into(), row.clone())]);
    list.remove(at(0), 40.into(), "a");
    list.targets(at(1));
    list.replace(at(1_000), in_era(1, 20), vec![(in_era(1, 8), row.clone())]);
    assert!(open(&mut list, at(5_000)).is_empty());
    assert_eq!(open(&mut list, at(11_000)), [run("a", 1)]);
    list.replace(at(20_000), in_era(2, 20), vec![(in_era(2, 8), row)]);
    assert_eq!(open(&mut list, at(20_000)), [run("a", 1)]);
}

/// A row that another router announces is older than a read that no longer showed it.
#[test]
fn read_before() {
    let mut list = TargetList::default();
    list.replace(at(0), 10.into(), Vec::new());
    let row = Source::from(Position::from(8));
    assert!(!list.put_announced(at(1), row, target("a", 1, false)));
    assert!(list.targets(at(1)).is_empty());
    assert!(list.put_announced(at(1), Position::from(11).into(), target("b", 1, false)));
    list.record_read(20.into());
    assert!(!list.put_announced(at(1), Position::from(15).into(), target("c", 1, false)));
    assert_eq!(open(&mut list, at(1)), [run("b", 1)]);
}

/// A row is removed while rows may come back. What the router announced of it before must
/// not undo the removal when another router announces it again.
#[test]
fn echoed_row() {
    let mut list = TargetList::default();
    list.replace(
        at(0),
        in_era(1, 10),
        vec![(in_era(1, 8), target("a", 1, false))],
    );
    let sent = list.joined(at(1), MAX_JOINED);
    list.remove(at(2), in_era(1, 11), "a");
    assert!(list.joined(at(2), MAX_JOINED).is_empty());
    for (source, target) in sent {
        list.put_announced(at(3), source, target);
    }
    assert!(open(&mut list, at(5_000)).is_empty());
}

/// A write of the property's targets, or a move of the table or of routers.
#[derive(Clone, Debug)]
enum Step {
    Heartbeat(usize),
    Drain(usize),
    Exit(usize),
    Restart(usize),
    Copy,
    Return,
    Read(usize),
    Reread(usize),
    Tell(usize, usize),
    Snapshot(usize, usize),
    Start(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let (target, router) = (0..TARGETS, 0..ROUTERS);
    prop_oneof![
        4 => target.clone().prop_map(Step::Heartbeat),
        2 => target.clone().prop_map(Step::Drain),
        2 => target.clone().prop_map(Step::Exit),
        2 => target.prop_map(Step::Restart),
        2 => Just(Step::Copy),
        2 => Just(Step::Return),
        5 => router.clone().prop_map(Step::Read),
        1 => router.clone().prop_map(Step::Reread),
        3 => (router.clone(), router.clone()).prop_map(|(from, to)| Step::Tell(from, to)),
        1 => (router.clone(), router.clone()).prop_map(|(from, to)| Step::Snapshot(from, to)),
        1 => router.prop_map(Step::Start),
    ]
}

/// What the table holds.
#[derive(Clone, Debug, Default)]
struct Table {
    rows: BTreeMap<TargetId, (u64, Target)>,
    /// Changes in their order; `None` for a removal.
    changes: Vec<(u64, TargetId, Option<Target>)>,
    version: u64,
}

impl Table {
    fn write(&mut self, target: &Target) {
        self.version += 1;
        let row = (self.version, target.clone());
        self.rows.insert(target.id.clone(), row);
        let change = (self.version, target.id.clone(), Some(target.clone()));
        self.changes.push(change);
    }

    fn remove(&mut self, id: &TargetId) {
        if self.rows.remove(id).is_some() {
            self.version += 1;
            self.changes.push((self.version, id.clone(), None));
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Router {
    list: TargetList,
    read: Option<Position>,
    /// Runs that left or ended, as this router has seen.
    left: BTreeSet<(String, i64)>,
    seen: BTreeSet<(String, i64)>,
}

#[derive(Debug)]
struct World {
    now: Mono,
    table: Table,
    copy: Table,
    era: u64,
    /// The targets, and whether each runs.
    targets: Vec<(Target, bool)>,
    routers: Vec<Router>,
}

impl World {
    fn new() -> Self {
        let target = |index| (target(&format!("i-{index}"), 1, false), true);
        let mut world = Self {
            now: Clock::start().now(),
            table: Table::default(),
            copy: Table::default(),
            era: 0,
            targets: (0..TARGETS).map(target).collect(),
            routers: vec![Router::default(); ROUTERS],
        };
        for index in 0..TARGETS {
            world.heartbeat(index);
        }
        world.copy = world.table.clone();
        world
    }

    fn heartbeat(&mut self, index: usize) {
        if let (target, true) = &self.targets[index] {
            self.table.write(target);
        }
    }

    fn read(&mut self, router: usize, full: bool) {
        let position = in_era(self.era, self.table.version);
        let router = &mut self.routers[router];
        let after = router.read.filter(|read| read.era.0 == self.era && !full);
        let Some(after) = after else {
            let rows = self.table.rows.values();
            let rows = rows.map(|(version, target)| (in_era(self.era, *version), target.clone()));
            router.list.replace(self.now, position, rows.collect());
            router.read = Some(position);
            return;
        };
        for (version, id, target) in &self.table.changes {
            let at = in_era(self.era, *version);
            match target {
                _ if *version <= after.version => {}
                Some(target) => {
                    router.list.put(self.now, at, target.clone());
                }
                None => router.list.remove(self.now, at, id.as_str()),
            }
        }
        router.list.record_read(position);
        router.read = Some(position);
    }

    /// Sends what datagrams carry, encoded and decoded.
    fn tell(&mut self, from: usize, to: usize) {
        let now = self.now;
        let list = &mut self.routers[from].list;
        let departures = list.departures(now, MAX_DEPARTURES);
        let joined = list.joined(now, MAX_JOINED);
        for departure in departures {
            let departure = Departure::try_from(&DepartureEntry::from(&departure));
            let list = &mut self.routers[to].list;
            list.apply_departure(now, &departure.expect("valid"));
        }
        self.put(to, joined);
    }

    fn put(&mut self, to: usize, rows: Vec<(Source, Target)>) {
        for (source, target) in rows {
            let row = TargetRow::new(source, &target);
            let (source, target) = row.target().expect("valid");
            self.routers[to]
                .list
                .put_announced(self.now, source, target);
        }
    }

    fn step(&mut self, step: &Step) {
        self.now = self.now + STEP;
        match *step {
            Step::Heartbeat(index) => self.heartbeat(index),
            Step::Drain(index) => {
                self.targets[index].0.leaving = true;
                self.heartbeat(index);
            }
            Step::Exit(index) => {
                self.targets[index].1 = false;
                let id = self.targets[index].0.id.clone();
                self.table.remove(&id);
            }
            Step::Restart(index) => {
                let (target, runs) = &mut self.targets[index];
                target.started_at += 1;
                (target.leaving, *runs) = (false, true);
                self.heartbeat(index);
            }
            Step::Copy => self.copy = self.table.clone(),
            Step::Return => {
                self.table = self.copy.clone();
                self.era += 1;
            }
            Step::Read(router) => self.read(router, false),
            Step::Reread(router) => self.read(router, true),
            Step::Tell(from, to) => self.tell(from, to),
            Step::Snapshot(from, to) => {
                let rows = self.routers[from].list.rows(self.now).collect();
                self.put(to, rows);
            }
            Step::Start(router) => {
                self.routers[router] = Router::default();
                self.read(router, true);
            }
        }
    }

    /// Checks that no run gets requests again that a router has seen leave or end.
    fn check(&mut self) -> Result<(), TestCaseError> {
        for (index, router) in self.routers.iter_mut().enumerate() {
            let open: BTreeSet<_> = open(&mut router.list, self.now).into_iter().collect();
            let again: Vec<_> = router.left.intersection(&open).collect();
            prop_assert!(again.is_empty(), "router {index}: {again:?}");
            let listed = router.list.targets(self.now).into_iter();
            let listed: BTreeSet<_> = listed
                .map(|target| run(target.id.as_str(), target.started_at))
                .collect();
            let running = self
                .targets
                .iter()
                .filter(|(target, runs)| *runs && !target.leaving);
            let running: BTreeSet<_> = running
                .map(|(target, _)| run(target.id.as_str(), target.started_at))
                .collect();
            router.seen.extend(listed);
            let left = router.seen.difference(&open).cloned();
            let left: Vec<_> = left.filter(|run| !running.contains(run)).collect();
            router.left.extend(left);
        }
        Ok(())
    }

    /// Lets targets whose rows were lost write them, the table drop those of ended ones,
    /// and all routers read, and checks that each router has just the targets that run.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..5 {
            self.now = self.now + SETTLED;
            let targets = self.targets.clone();
            for (target, runs) in &targets {
                let row = self.table.rows.get(&target.id).map(|(_, row)| row);
                match runs {
                    true if row != Some(target) => self.table.write(target),
                    true => {}
                    false => self.table.remove(&target.id),
                }
            }
            for router in 0..ROUTERS {
                self.read(router, false);
            }
            self.check()?;
        }
        let ready = self
            .targets
            .iter()
            .filter(|(target, runs)| *runs && !target.leaving);
        let ready: Vec<_> = ready
            .map(|(target, _)| run(target.id.as_str(), target.started_at))
            .collect();
        for router in &mut self.routers {
            prop_assert_eq!(open(&mut router.list, self.now), ready.clone());
        }
        Ok(())
    }
}

fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok();
    ProptestConfig {
        cases: cases.and_then(|text| text.parse().ok()).unwrap_or(CASES),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Targets write, leave, end and start again, the table comes back from copies, and
    /// routers read and tell one another, in any order. No run gets requests again that a
    /// router has seen leave or end, and in the end each router has just those that run.
    #[test]
    fn any_return(steps in prop::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
            world.check()?;
        }
        world.settle()?;
    }
}
