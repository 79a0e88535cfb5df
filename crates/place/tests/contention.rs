//! The weight of figures of contention by their age.

use base::{span::Span, time::Mono};
use place::{
    contention::{ContentionModel, Figure},
    cost::{self, Candidate, PeerTraffic, Prompt, SpillFactor, Timings},
};

fn figure(millis: u64, percent: u32) -> Figure {
    Figure {
        percent,
        at: Mono(millis * 1_000),
    }
}

/// Returns a model of a target that reports each `interval` ms and alternates between
/// two values each `change` ms.
fn learned(interval: u64, change: u64) -> ContentionModel {
    let mut model = ContentionModel::default();
    for offset in [0, 1, 2, 4, 8, 16, 32, 64] {
        let mut previous = None;
        for step in 0..400 {
            let millis = step * (interval + offset);
            // Hashes of the intervals give values without a period.
            let is_slow = base::hash::mix(millis / change, 7).is_multiple_of(2);
            let next = figure(millis, if is_slow { 300 } else { 100 });
            model.record(previous, next);
            previous = Some(next);
        }
    }
    model
}

/// Figures that change each 200 ms say much for 20 ms and nothing after 2 s. A weight
/// that never fell would send requests by figures that are unrelated to the present.
#[test]
fn weight_falls() {
    let quick = learned(15, 200);
    let weight = |age| quick.weight(Span::from_millis(age));
    assert!(weight(20) > 0.6, "{}", weight(20));
    assert!(weight(20) >= weight(60) && weight(60) >= weight(150));
    assert_eq!(weight(5_000), 0.0);
    assert!(learned(900, 200).weight(Span::from_millis(900)) < 0.2);
    // Where figures change once a minute, one second old ones still count.
    assert!(learned(900, 60_000).weight(Span::from_millis(900)) > 0.6);
}

/// A figure has no effect before the model knows what it is worth, and none if all
/// targets report the same.
#[test]
fn unknown_weight() {
    let mut model = ContentionModel::default();
    let now = Mono(1_000_000);
    assert_eq!(model.excess(now, Some(figure(1_000, 300))), 0);
    for step in 0..1_000 {
        model.record(Some(figure(step, 100)), figure(step + 10, 100));
    }
    assert_eq!(model.excess(now, Some(figure(1_000, 100))), 0);
    assert_eq!(model.excess(now, None), 0);
}

fn targets() -> Vec<Candidate> {
    let target = |hash| Candidate {
        hash,
        slots: 64,
        load: 4,
        missing: 100,
        local: true,
        accepting: true,
        unblocked: true,
        ..Candidate::default()
    };
    (1..=42).map(target).collect()
}

fn choose(targets: &[Candidate], seed: u64) -> usize {
    let peers = PeerTraffic { unseen: 500.0 };
    let timings = Timings::default();
    let spill = SpillFactor::below(2.0);
    let choice = cost::choose(targets, Prompt::default(), spill, peers, timings, seed);
    choice.expect("a target").index
}

/// A target that is less contended is chosen while its load is near the mean, and
/// left to the random sample when its own report says that it is loaded. Otherwise
/// all routers that read the figure would send to it.
#[test]
fn less_contended_target() {
    let mut targets = targets();
    targets[9].contention = -40;
    assert!((0..50).all(|seed| choose(&targets, seed) == 9));
    targets[9].reported = 6;
    let chosen = (0..50).filter(|seed| choose(&targets, *seed) == 9).count();
    assert!(chosen < 15, "{chosen}");
}

/// The choice of a contended target is less likely than that of any other.
#[test]
fn contended_target() {
    let mut targets = targets();
    targets[9].contention = 150;
    assert!((0..500).all(|seed| choose(&targets, seed) != 9));
}
