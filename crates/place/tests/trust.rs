//! Outcomes of a target.

use base::{span::Span, time::Mono};
use place::trust::Trust;

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

/// A target that went silent is passed over, gets one trial at a time, and is
/// back with the first response.
#[test]
fn silent_target() {
    let mut trust = Trust::default();
    assert!(trust.is_open(at(0)));
    trust.unanswered(at(0));
    assert!(!trust.is_open(at(100)));
    assert!(trust.is_open(at(600)));
    trust.sent(at(600));
    assert!(!trust.is_open(at(700)));
    trust.unanswered(at(900));
    assert!(!trust.is_open(at(1_800)));
    assert!(trust.is_open(at(2_000)));
    trust.served();
    trust.sent(at(2_100));
    assert!(trust.is_open(at(2_100)));
}

#[test]
fn failure_penalty() {
    let mut trust = Trust::default();
    for _ in 0..10 {
        trust.failed();
    }
    let failing = trust.penalty();
    assert!(trust.is_open(at(0)));
    for _ in 0..30 {
        trust.served();
    }
    assert!(trust.penalty() * 10 < failing);
}

#[test]
fn told_by_peer() {
    let mut trust = Trust::default();
    trust.told(at(0), Span::from_secs(60));
    assert!(!trust.is_open(at(400)));
    assert!(trust.is_open(at(600)));
}
