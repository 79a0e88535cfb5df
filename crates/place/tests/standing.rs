//! When a target that joined, restarted or flapped counts as up.

mod common;

use base::{id, span::Span, time::Mono};
use common::target_id;
use place::{
    standing::{Report, Tracker, Tuning},
    view::Standing,
};

const TUNING: Tuning = Tuning {
    warmup: Span::from_secs(100),
    flap_window: Span::from_secs(600),
    stable_time: Span::from_secs(60),
    max_stable_time: Span::from_secs(200),
};

/// A tracker of one target.
struct Single(Tracker);

impl Single {
    fn new() -> Self {
        Self(Tracker::new(TUNING))
    }

    fn observe(&mut self, secs: u64, incarnation: u64, report: Report) -> Standing {
        let incarnation = id::Incarnation(incarnation);
        self.0.observe(at(secs), &target_id(1), incarnation, report)
    }

    fn standing(&self, secs: u64) -> Standing {
        self.0.standing(at(secs), &target_id(1)).unwrap()
    }
}

fn at(secs: u64) -> Mono {
    Mono(0) + Span::from_secs(secs)
}

fn warming(secs: u64) -> Standing {
    Standing::Warming {
        age: Span::from_secs(secs),
    }
}

fn flapping(secs: u64) -> Standing {
    Standing::Flapping {
        age: Span::from_secs(secs),
    }
}

#[test]
fn first_seen_up() {
    // A router that has just started must not treat the whole fleet as new.
    let mut target = Single::new();
    assert_eq!(target.observe(0, 5, Report::Up), Standing::Up);
}

#[test]
fn joins_warm_up() {
    let mut target = Single::new();
    assert_eq!(target.observe(0, 1, Report::Listed), Standing::Listed);
    assert_eq!(target.observe(10, 1, Report::Warming), warming(0));
    assert_eq!(target.observe(40, 1, Report::Warming), warming(30));
    assert_eq!(target.standing(109), warming(99));
    assert_eq!(target.standing(110), Standing::Up);
    // The target's agent may end the warm-up earlier.
    assert_eq!(target.observe(50, 1, Report::Up), Standing::Up);
}

#[test]
fn single_disconnect() {
    let mut target = Single::new();
    target.observe(0, 1, Report::Up);
    assert_eq!(target.observe(10, 1, Report::Down), Standing::Down);
    // A target that was unreachable once still has its cache.
    assert_eq!(target.observe(12, 1, Report::Up), Standing::Up);
}

#[test]
fn restart_warms_up() {
    let mut target = Single::new();
    target.observe(0, 1, Report::Up);
    assert_eq!(target.observe(10, 2, Report::Up), warming(0));
    assert_eq!(target.standing(109), warming(99));
    assert_eq!(target.standing(110), Standing::Up);
}

#[test]
fn flaps_must_stay_up() {
    let mut target = Single::new();
    target.observe(0, 1, Report::Up);
    let mut now = 0;
    let mut waits = Vec::new();
    for _ in 0..5 {
        target.observe(now + 10, 1, Report::Down);
        now += 20;
        let returned = target.observe(now, 1, Report::Up);
        let wait = (0..).find(|wait| target.standing(now + wait) == Standing::Up);
        assert_eq!(returned == flapping(0), wait != Some(0));
        waits.push(wait.unwrap());
    }
    assert_eq!(waits, [0, 60, 120, 200, 200]);
    // After the flap window, the next return begins a new series.
    target.observe(now + 700, 1, Report::Down);
    assert_eq!(target.observe(now + 701, 1, Report::Up), Standing::Up);
}

#[test]
fn old_incarnation_ignored() {
    let mut target = Single::new();
    target.observe(0, 2, Report::Up);
    assert_eq!(target.observe(1, 1, Report::Up), Standing::Up);
    assert_eq!(target.observe(2, 2, Report::Up), Standing::Up);
}

#[test]
fn retain_removes() {
    let mut target = Single::new();
    target.observe(0, 1, Report::Up);
    target.0.retain(|target| *target != target_id(1));
    assert_eq!(target.0.standing(at(1), &target_id(1)), None);
}
