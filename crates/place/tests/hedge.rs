//! Replays of load in which a few responses take much longer than the others.

use base::span::Span;
use place::hedge::{self, Alternative, Fraction, ResponseRatios, Skip, Waiting};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Expected time of each request.
const EXPECTED: Span = Span::from_millis(100);

/// Time that callers wait.
const TIMEOUT: Span = Span::from_secs(5);

fn fraction() -> Fraction {
    "0.05".parse().expect("a fraction")
}

/// How the responses of a replay are made up.
struct Load {
    /// Whether the target of a request is ten times as slow.
    is_slow: fn(&mut SmallRng, usize) -> bool,
    utilization: f64,
}

struct Outcome {
    /// Times until the response, sorted.
    took: Vec<Span>,
    hedged: usize,
    skipped: Vec<Skip>,
}

impl Outcome {
    fn percentile(&self, percent: usize) -> Span {
        self.took[self.took.len() * percent / 100]
    }
}

fn response_time(load: &Load, rng: &mut SmallRng, number: usize) -> Span {
    let factor = if (load.is_slow)(rng, number) {
        10.0
    } else {
        1.0
    };
    let spread: f64 = rng.random_range(0.7..1.3);
    Span::from_micros((EXPECTED.as_micros() as f64 * factor * spread) as u64).min(TIMEOUT)
}

fn replay(load: &Load, requests: usize) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut ratios = ResponseRatios::default();
    let mut outcome = Outcome {
        took: Vec::new(),
        hedged: 0,
        skipped: Vec::new(),
    };
    for number in 0..requests {
        let first = response_time(load, &mut rng, number);
        let delay = ratios.delay(EXPECTED, fraction());
        let mut took = first;
        if let Some(delay) = delay.filter(|delay| first > *delay) {
            let request = Waiting {
                waited: delay,
                remaining: Span::from_micros(TIMEOUT.as_micros() - delay.as_micros()),
            };
            let alternative = Alternative {
                expected: EXPECTED,
                impaired: false,
                utilization: load.utilization,
                late: ratios.late(),
            };
            match hedge::decide(request, alternative, fraction()) {
                Ok(()) => {
                    outcome.hedged += 1;
                    let second = response_time(load, &mut rng, number).as_micros();
                    took = first.min(Span::from_micros(delay.as_micros() + second));
                }
                Err(skip) => outcome.skipped.push(skip),
            }
        }
        ratios.record(first, EXPECTED, fraction());
        outcome.took.push(took);
    }
    outcome.took.sort();
    outcome
}

/// One target of 42 takes ten times as long: its callers would wait for a second.
#[test]
fn one_slow() {
    let load = Load {
        is_slow: |rng, _| rng.random_range(0..42) == 0,
        utilization: 30.0,
    };
    let outcome = replay(&load, 4_000);
    assert!(outcome.percentile(99) < Span::from_millis(400));
    assert!(outcome.hedged <= 4_000 / 20, "{} hedged", outcome.hedged);
}

/// All targets slow down at the same time, so that no second target is faster.
#[test]
fn all_slow() {
    let load = Load {
        is_slow: |_, number| number >= 1_000,
        utilization: 30.0,
    };
    let outcome = replay(&load, 1_200);
    assert!(outcome.hedged <= 10, "{} hedged", outcome.hedged);
    assert!(outcome.skipped.contains(&Skip::SlowService));
}

/// A burst fills the targets: a second attempt would take the place of a request.
#[test]
fn burst() {
    let load = Load {
        is_slow: |rng, _| rng.random_range(0..42) == 0,
        utilization: 85.0,
    };
    let outcome = replay(&load, 1_000);
    assert_eq!(outcome.hedged, 0);
    assert!(outcome.skipped.contains(&Skip::Utilization));
}

/// A second attempt that cannot respond in time, or that takes longer than the first
/// has waited, would be work in vain.
#[test]
fn no_use() {
    let request = Waiting {
        waited: Span::from_millis(200),
        remaining: Span::from_millis(150),
    };
    let alternative = Alternative {
        expected: EXPECTED,
        impaired: false,
        utilization: 10.0,
        late: 0.0,
    };
    let decide = |request, alternative| hedge::decide(request, alternative, fraction());
    assert_eq!(decide(request, alternative), Err(Skip::Deadline));
    let request = Waiting {
        remaining: TIMEOUT,
        ..request
    };
    assert_eq!(decide(request, alternative), Ok(()));
    let long = Alternative {
        expected: Span::from_millis(300),
        ..alternative
    };
    assert_eq!(decide(request, long), Err(Skip::NoGain));
    let impaired = Alternative {
        impaired: true,
        ..alternative
    };
    assert_eq!(decide(request, impaired), Err(Skip::Impaired));
}

/// Without enough responses the delay is unknown, and without a setting nothing is
/// hedged.
#[test]
fn unknown_delay() {
    let mut ratios = ResponseRatios::default();
    for _ in 0..63 {
        ratios.record(EXPECTED, EXPECTED, fraction());
    }
    assert_eq!(ratios.delay(EXPECTED, fraction()), None);
    ratios.record(EXPECTED, EXPECTED, fraction());
    assert!(ratios.delay(EXPECTED, fraction()).is_some());
    assert_eq!(ratios.delay(EXPECTED, Fraction::default()), None);
}

#[test]
fn fractions() {
    assert!("0".parse::<Fraction>().expect("a fraction").is_zero());
    let error = "0.5".parse::<Fraction>().expect_err("too large");
    assert_eq!(
        error.to_string(),
        "expected a number from 0 to 0.1, found \"0.5\""
    );
    assert!("NaN".parse::<Fraction>().is_err());
}
