//! Tests of the circuit breaker: it must stop calls to a failing service, detect
//! its recovery and never stay open for good.

use base::{span::Span, time::Mono};
use store::breaker::{Breaker, Change, Limits, State};

const LIMITS: Limits = Limits {
    failures: 3,
    min_interval: Span::from_secs(1),
    max_interval: Span::from_secs(4),
    probe_timeout: Span::from_secs(2),
};

fn at(seconds: u64) -> Mono {
    Mono(seconds * 1_000_000)
}

fn open() -> Breaker {
    let mut breaker = Breaker::new(LIMITS);
    for _ in 0..3 {
        breaker.record_failure(at(0), 1.0);
    }
    breaker
}

#[test]
fn consecutive_failures() {
    let mut breaker = Breaker::new(LIMITS);
    breaker.record_failure(at(0), 1.0);
    breaker.record_failure(at(0), 1.0);
    assert_eq!(breaker.record_success(), Change::None);
    breaker.record_failure(at(0), 1.0);
    breaker.record_failure(at(0), 1.0);
    assert_eq!(breaker.admit(at(0)), Ok(()), "a success restarts the count");
    breaker.record_failure(at(0), 1.0);
    assert_eq!(breaker.admit(at(0)), Err(Span::from_secs(1)));
}

#[test]
fn single_probe() {
    let mut breaker = open();
    assert_eq!(breaker.admit(at(1)), Ok(()));
    assert_eq!(
        breaker.admit(at(1)),
        Err(Span::from_secs(1)),
        "retry when the probe has probably ended"
    );
    assert!(
        breaker.admit(Mono(2_999_999)).is_err(),
        "one probe at a time"
    );
    assert_eq!(breaker.record_success(), Change::Closed);
    assert_eq!(breaker.admit(at(1)), Ok(()));
}

/// A probe whose caller was dropped must not prevent later probes.
#[test]
fn abandoned_probe() {
    let mut breaker = open();
    assert_eq!(breaker.admit(at(1)), Ok(()));
    assert_eq!(breaker.admit(at(3)), Ok(()));
}

#[test]
fn longer_intervals() {
    let mut breaker = open();
    let mut now = at(0);
    let mut intervals = Vec::new();
    for _ in 0..4 {
        let State::Open { until } = breaker.state() else {
            panic!("the breaker is open");
        };
        intervals.push(until.since(now).as_millis());
        now = until;
        assert_eq!(breaker.admit(now), Ok(()));
        breaker.record_failure(now, 1.0);
    }
    assert_eq!(intervals, [1000, 2000, 4000, 4000]);
}

/// Failures of calls that were sent before the breaker opened must not postpone the
/// probe.
#[test]
fn late_failures() {
    let mut breaker = open();
    breaker.record_failure(at(0), 1.0);
    breaker.record_failure(at(0), 1.0);
    assert_eq!(breaker.admit(at(1)), Ok(()));
}

#[test]
fn jittered_probes() {
    let mut breaker = Breaker::new(LIMITS);
    for _ in 0..3 {
        breaker.record_failure(at(0), 0.0);
    }
    assert_eq!(breaker.admit(at(0)), Err(Span::from_millis(500)));
}
