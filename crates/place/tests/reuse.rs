//! Reuse of cached prompts when targets join, leave, are replaced, crash or flap:
//! the full policy must reach the share of reuse stated on the design page, and
//! with hints or import at least that of each baseline.

mod common;

use std::collections::BTreeMap;

use base::{hash, id, time::Mono};
use common::{COUNT, query, target, target_id};
use place::{
    choose::{Choice, choose},
    policy::{self, Policy},
    standing::{Report, Tracker, Tuning},
    view::{Target, View},
};

/// Number of chats in a run, and the length of a run in seconds.
const CHATS: u64 = 1_500;
const LENGTH: f64 = 3_600.0;

/// Mean lengths of short and long pauses between two turns in seconds, and the
/// share of long pauses.
const PAUSE: f64 = 60.0;
const LONG_PAUSE: f64 = 900.0;
const LONG_SHARE: f64 = 0.05;

/// Probability that a chat ends after a turn.
const LAST_SHARE: f64 = 0.1;

/// Number of seeds that each comparison is averaged over.
const SEEDS: u64 = 3;

/// Seconds between two views.
const VIEW_INTERVAL: f64 = 5.0;

/// One turn of a chat.
#[derive(Clone, Copy)]
struct Turn {
    at: f64,
    chat: u64,
    number: u32,
}

/// A generator of uniform numbers in (0, 1) from a seed.
struct Random {
    seed: u64,
    count: u64,
}

impl Random {
    fn next(&mut self) -> f64 {
        self.count += 1;
        ((hash::mix(self.seed, self.count) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }
}

/// Returns the turns of all chats by time, with exponential pauses.
fn turns(seed: u64) -> Vec<Turn> {
    let mut random = Random { seed, count: 0 };
    let mut all = Vec::new();
    for chat in 0..CHATS {
        let mut at = random.next() * LENGTH;
        for number in 0.. {
            all.push(Turn { at, chat, number });
            let is_long = random.next() < LONG_SHARE;
            at -= random.next().ln() * if is_long { LONG_PAUSE } else { PAUSE };
            if random.next() < LAST_SHARE || at > LENGTH {
                break;
            }
        }
    }
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all
}

/// A change of one target.
#[derive(Clone, Copy)]
struct Change {
    at: f64,
    target: u32,
    /// The new report, or `None` when the target is removed.
    report: Option<Report>,
    /// Incarnation of the target; a new one has an empty cache.
    incarnation: u64,
}

fn change(at: f64, target: u32, report: Report, incarnation: u64) -> Change {
    Change {
        at,
        target,
        report: Some(report),
        incarnation,
    }
}

/// The targets with their caches, and the state of the router.
struct Fleet {
    tracker: Tracker,
    reports: BTreeMap<u32, (Report, u64)>,
    /// Number of cached turns by target and chat.
    caches: BTreeMap<id::TargetId, BTreeMap<u64, u32>>,
    /// The target and the incarnation that served a chat last.
    served: BTreeMap<u64, (id::TargetId, u64)>,
}

impl Fleet {
    fn apply(&mut self, change: Change) {
        let name = target_id(change.target);
        let Some(report) = change.report else {
            self.reports.remove(&change.target);
            self.caches.remove(&name);
            self.tracker.retain(|target| *target != name);
            return;
        };
        let state = (report, change.incarnation);
        let before = self.reports.insert(change.target, state);
        if before.is_some_and(|(_, incarnation)| incarnation != change.incarnation) {
            self.caches.remove(&name);
        }
        self.observe(change.at);
    }

    fn observe(&mut self, at: f64) -> Vec<Target> {
        let now = Mono((at * 1e6) as u64);
        let observed = self.reports.iter().map(|(index, (report, incarnation))| {
            let incarnation = id::Incarnation(*incarnation);
            let name = target_id(*index);
            let standing = self.tracker.observe(now, &name, incarnation, *report);
            Target {
                standing,
                ..target(*index)
            }
        });
        observed.collect()
    }

    fn incarnation(&self, target: &id::TargetId) -> Option<u64> {
        let mut known = self.reports.iter();
        known.find_map(|(index, (_, run))| (target_id(*index) == *target).then_some(*run))
    }

    /// Returns the target that served a chat last, unless it has lost its cache.
    fn hint(&self, chat: u64) -> Option<id::TargetId> {
        let (target, incarnation) = self.served.get(&chat)?;
        (self.incarnation(target) == Some(*incarnation)).then(|| target.clone())
    }

    /// Serves a turn and returns how many earlier turns were in the cache.
    fn serve(&mut self, turn: Turn, choice: &Choice) -> u32 {
        let target = &choice.target.as_ref().unwrap().id;
        let previous = choice.previous.as_ref().filter(|target| target.is_alive());
        let imported = previous.and_then(|previous| self.cached(&previous.id, turn.chat));
        let cache = self.caches.entry(target.clone()).or_default();
        let own = cache.insert(turn.chat, turn.number + 1);
        let run = self.incarnation(target).unwrap_or(0);
        self.served.insert(turn.chat, (target.clone(), run));
        own.max(imported).unwrap_or(0)
    }

    fn cached(&self, target: &id::TargetId, chat: u64) -> Option<u32> {
        self.caches.get(target)?.get(&chat).copied()
    }
}

/// What the full policy uses in addition to the ranking.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Feature {
    Nothing,
    Hints,
    Import,
}

/// Returns the share of earlier turns that were in the cache of the chosen target.
fn reuse(seed: u64, changes: &[Change], policy: Policy, feature: Feature) -> f64 {
    let tuning = policy::Tuning {
        policy,
        import_tokens: (feature == Feature::Import).then_some(1),
        ..policy::Tuning::default()
    };
    let mut fleet = Fleet {
        tracker: Tracker::new(Tuning::default()),
        reports: (0..COUNT).map(|index| (index, (Report::Up, 1))).collect(),
        caches: BTreeMap::new(),
        served: BTreeMap::new(),
    };
    let mut changes = changes.iter().peekable();
    let (mut reused, mut total) = (0u64, 0u64);
    let mut view = View::new(fleet.observe(0.0), tuning);
    let mut built = 0.0;
    for turn in turns(seed) {
        let mut is_old = turn.at > built + VIEW_INTERVAL;
        while let Some(change) = changes.next_if(|change| change.at <= turn.at) {
            fleet.apply(*change);
            is_old = true;
        }
        if is_old {
            view = View::new(fleet.observe(turn.at), tuning);
            built = turn.at;
        }
        let mut query = query(turn.chat, turn.number);
        if feature == Feature::Hints {
            query.hint = fleet.hint(turn.chat);
        }
        let choice = choose(&view, &query, turn.chat ^ u64::from(turn.number));
        reused += u64::from(fleet.serve(turn, &choice).min(turn.number));
        total += u64::from(turn.number);
    }
    reused as f64 / total as f64
}

/// Compares the mean reuse of the full policy over several seeds with the stated
/// minimum and with the baselines.
fn check(name: &str, changes: &[Change], least: f64) {
    let mean = |policy, feature| {
        let runs = (1..=SEEDS).map(|seed| reuse(seed, changes, policy, feature));
        runs.sum::<f64>() / SEEDS as f64
    };
    let baselines = Policy::ALL.map(|policy| match policy {
        Policy::Full => 0.0,
        _ => mean(policy, Feature::Nothing),
    });
    for feature in [Feature::Nothing, Feature::Hints, Feature::Import] {
        let full = mean(Policy::Full, feature);
        assert!(full >= least, "{name} {feature:?}: reuse {full}");
        // Without hints and import, every chat that moves loses its cache once, as
        // with the baselines.
        if feature != Feature::Nothing {
            let best = baselines.into_iter().fold(0.0, f64::max);
            assert!(
                full >= best,
                "{name} {feature:?}: {full}, baselines {baselines:?}"
            );
        }
    }
}

#[test]
fn steady() {
    check("steady", &[], 0.95);
}

#[test]
fn joins() {
    let join = |number: u32| {
        let at = 300.0 + 300.0 * f64::from(number);
        let target = COUNT + number;
        [
            change(at, target, Report::Warming, 1),
            change(at + 900.0, target, Report::Up, 1),
        ]
    };
    let mut changes: Vec<_> = (0..6).flat_map(join).collect();
    changes.sort_by(|a, b| a.at.total_cmp(&b.at));
    check("joins", &changes, 0.9);
}

#[test]
fn replacements() {
    // A target leaves, and another with a new id replaces it.
    let replace = |number: u32| {
        let at = 300.0 + 300.0 * f64::from(number);
        let target = COUNT + number;
        let removed = Change {
            at: at + 60.0 + 900.0,
            target: number,
            report: None,
            incarnation: 1,
        };
        [
            change(at, number, Report::Leaving, 1),
            change(at, target, Report::Warming, 1),
            // The router keeps the target in its view until the replacement has
            // warmed up.
            change(at + 60.0, number, Report::Down, 1),
            removed,
            change(at + 900.0, target, Report::Up, 1),
        ]
    };
    let mut changes: Vec<_> = (0..6).flat_map(replace).collect();
    changes.sort_by(|a, b| a.at.total_cmp(&b.at));
    check("replacements", &changes, 0.9);
}

#[test]
fn crashes() {
    let crash = |number: u64| {
        let at = 600.0 + 120.0 * number as f64;
        [
            change(at, 3, Report::Down, number + 1),
            change(at + 20.0, 3, Report::Up, number + 2),
        ]
    };
    let changes: Vec<_> = (0..10).flat_map(crash).collect();
    check("crashes", &changes, 0.9);
}

#[test]
fn flaps() {
    let flap = |number: u32| {
        let at = 600.0 + 60.0 * f64::from(number);
        [
            change(at, 3, Report::Down, 1),
            change(at + 20.0, 3, Report::Up, 1),
        ]
    };
    let changes: Vec<_> = (0..20).flat_map(flap).collect();
    check("flaps", &changes, 0.9);
}
