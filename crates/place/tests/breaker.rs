//! The circuit breaker of a target.

use base::{span::Span, time::Mono};
use place::breaker::Breaker;

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

/// A target that does not respond is blocked, gets one probe at a time, and is
/// unblocked by the first response.
#[test]
fn blocks_and_probes() {
    let mut breaker = Breaker::default();
    assert!(breaker.admits(at(0)));
    breaker.record_no_response(at(0));
    assert!(!breaker.admits(at(100)));
    assert!(breaker.admits(at(600)));
    breaker.record_sent(at(600));
    assert!(!breaker.admits(at(700)));
    breaker.record_no_response(at(900));
    assert!(!breaker.admits(at(1_800)));
    assert!(breaker.admits(at(2_000)));
    breaker.record_success();
    breaker.record_sent(at(2_100));
    assert!(breaker.admits(at(2_100)));
}

#[test]
fn failure_penalty() {
    let mut breaker = Breaker::default();
    for _ in 0..10 {
        breaker.record_error();
    }
    let failing = breaker.penalty();
    assert!(breaker.admits(at(0)));
    for _ in 0..30 {
        breaker.record_success();
    }
    assert!(breaker.penalty() * 10 < failing);
}

#[test]
fn peer_block() {
    let mut breaker = Breaker::default();
    breaker.merge(at(0), Span::from_secs(60));
    assert!(!breaker.admits(at(400)));
    assert!(breaker.admits(at(600)));
}
