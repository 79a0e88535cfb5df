//! Tests that content which crashes targets is refused by all routers.

use admit::poison::{CrashReport, PoisonTracker};
use base::{id::Fingerprint, time::Mono};

fn report(content: u64, target: u64) -> CrashReport {
    CrashReport {
        fingerprint: Fingerprint(content),
        target,
    }
}

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

#[test]
fn two_targets() {
    let mut tracker = PoisonTracker::default();
    assert!(tracker.record_crash(at(0), report(1, 10)));
    assert!(!tracker.is_refused(at(1), Fingerprint(1), false));
    assert!(
        !tracker.record_crash(at(2), report(1, 10)),
        "the same crash, reported again"
    );
    assert!(!tracker.is_refused(at(3), Fingerprint(1), false));
    tracker.record_crash(at(4), report(1, 11));
    assert!(tracker.is_refused(at(5), Fingerprint(1), false));
    assert!(!tracker.is_refused(at(5), Fingerprint(2), false));
    assert!(
        !tracker.is_refused(at(70_000), Fingerprint(1), false),
        "its refusal term is over"
    );
}

/// A stream that a router resumed at a second target after the first crashed is
/// not yet refused when the second crashes too.
#[test]
fn retried_by_router() {
    let mut tracker = PoisonTracker::default();
    tracker.record_crash(at(0), report(1, 10));
    tracker.record_crash(at(1), report(1, 11));
    assert!(!tracker.is_refused(at(2), Fingerprint(1), true));
    tracker.record_crash(at(3), report(1, 12));
    assert!(tracker.is_refused(at(4), Fingerprint(1), true));
}

/// Two routers that each recorded one crash refuse the content after they have
/// exchanged their reports.
#[test]
fn two_routers() {
    let mut first = PoisonTracker::default();
    let mut second = PoisonTracker::default();
    first.record_crash(at(0), report(1, 10));
    second.record_crash(at(0), report(1, 11));
    for report in first.recent_crashes(at(200)) {
        second.record_crash(at(200), report);
    }
    for report in second.recent_crashes(at(250)) {
        first.record_crash(at(250), report);
    }
    assert!(first.is_refused(at(300), Fingerprint(1), false));
    assert!(second.is_refused(at(300), Fingerprint(1), false));
    assert!(first.recent_crashes(at(9_000)).is_empty());
}

#[test]
fn bounded_records() {
    let mut tracker = PoisonTracker::default();
    for content in 0..10_000 {
        tracker.record_crash(at(content), report(content, 1));
        tracker.record_crash(at(content), report(content, 2));
    }
    assert!(tracker.is_refused(at(10_000), Fingerprint(9_999), false));
    assert!(!tracker.is_refused(at(10_000), Fingerprint(1), false));
}
