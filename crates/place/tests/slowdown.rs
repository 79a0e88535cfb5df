//! Detection of targets that are slow but fail no request.

use base::{span::Span, time::Mono};
use place::slowdown::Slowdown;

const EXPECTED: Span = Span::from_millis(60);

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

/// Three requests that take four times as long mark a target as slow, and so does
/// one that takes eight times as long; a single one with four times does not.
#[test]
fn detection() {
    let mut slowdown = Slowdown::default();
    slowdown.record(at(100), Span::from_millis(240), EXPECTED);
    assert_eq!(slowdown.factor(at(100)), None);
    slowdown.record(at(200), Span::from_millis(240), EXPECTED);
    slowdown.record(at(300), Span::from_millis(240), EXPECTED);
    assert!(slowdown.factor(at(300)).is_some());
    let mut very = Slowdown::default();
    very.record(at(100), Span::from_millis(480), EXPECTED);
    assert!(very.factor(at(100)).is_some());
}

/// A slow target counts as normal again without requests, when its estimate has
/// decayed, and after requests that take the expected time.
#[test]
fn recovery() {
    let mut slowdown = Slowdown::default();
    for number in 1..10 {
        slowdown.record(at(number * 100), Span::from_millis(480), EXPECTED);
    }
    assert!(slowdown.factor(at(900)).is_some());
    assert_eq!(slowdown.factor(at(15_000)), None, "the estimate decays");
    let mut again = Slowdown::default();
    again.record(at(100), Span::from_millis(480), EXPECTED);
    again.record(at(200), Span::from_millis(480), EXPECTED);
    for number in 3..8 {
        again.record(at(number * 100), EXPECTED, EXPECTED);
    }
    assert_eq!(again.factor(at(800)), None);
}

/// The usual variation of times does not mark a target as slow, and neither do times
/// shorter than an engine step.
#[test]
fn usual_variation() {
    let mut slowdown = Slowdown::default();
    for number in 1..100_u64 {
        let took = Span::from_millis(30 + number * 37 % 80);
        slowdown.record(at(number * 20), took, EXPECTED);
        assert_eq!(slowdown.factor(at(number * 20)), None, "{took}");
    }
    let short = Span::from_millis(2);
    slowdown.record(at(3_000), Span::from_millis(15), short);
    slowdown.record(at(3_010), Span::from_millis(15), short);
    assert_eq!(slowdown.factor(at(3_010)), None);
}

/// The latest observation wins. An estimate that two routers send to each other
/// repeatedly decays as if it had been sent once.
#[test]
fn repeated_merge() {
    let mut first = Slowdown::default();
    let mut second = Slowdown::default();
    for number in 1..4 {
        first.record(at(number * 100), Span::from_millis(480), EXPECTED);
    }
    for round in 4..100 {
        let now = at(round * 100);
        if let Some((factor, age)) = first.estimate(now) {
            second.merge(now, factor, age);
        }
        if let Some((factor, age)) = second.estimate(now) {
            first.merge(now, factor, age);
        }
    }
    assert_eq!(first.factor(at(10_000)), None);
    assert_eq!(second.factor(at(10_000)), None);
    let mut later = first;
    for number in 1..3 {
        later.record(at(20_000 + number), Span::from_millis(480), EXPECTED);
    }
    let (factor, age) = later.estimate(at(20_010)).expect("it is slow");
    first.merge(at(20_011), factor, age);
    assert!(first.factor(at(20_011)).is_some());
    first.merge(at(20_012), 11.0, Span::from_secs(15));
    let kept = first
        .factor(at(20_012))
        .expect("an older observation is ignored");
    assert!(kept < 9.0, "{kept}");
}

/// Invalid factors and ages from other routers leave the factor within its bounds.
#[test]
fn invalid_estimates() {
    let mut slowdown = Slowdown::default();
    for factor in [f64::NAN, f64::INFINITY, -3.0, 0.0, 1e300] {
        slowdown.merge(at(100), factor, Span::from_secs(1 << 40));
        slowdown.merge(at(200), factor, Span::ZERO);
        let factor = slowdown.factor(at(200)).unwrap_or(1.0);
        assert!((1.0..=12.0).contains(&factor), "{factor}");
    }
}
