//! Tests that content which crashes targets is refused by all routers.

use admit::poison::{CrashReport, PoisonTracker, RefusedContent};
use base::{id::Fingerprint, time::Mono};

/// A crash at a time that nothing is known of.
fn report(content: u64, target: u64) -> CrashReport {
    crash(content, target, 0, 0)
}

fn crash(content: u64, target: u64, sent: u64, noticed: u64) -> CrashReport {
    CrashReport {
        fingerprint: Fingerprint(content),
        target,
        sent: at(sent),
        at: at(noticed),
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

/// One target is left, which crashes, is back after seconds and crashes again. The
/// routers have not read its new row. Two requests at one crash count once.
#[test]
fn same_run() {
    let mut tracker = PoisonTracker::default();
    assert!(tracker.record_crash(at(1_000), crash(1, 10, 900, 1_000)));
    assert!(!tracker.record_crash(at(1_100), crash(1, 10, 950, 1_100)));
    assert!(!tracker.record_crash(at(1_900), crash(1, 10, 1_200, 1_900)));
    assert!(!tracker.is_refused(at(2_000), Fingerprint(1), false));
    assert!(tracker.record_crash(at(4_000), crash(1, 10, 3_900, 4_000)));
    assert!(tracker.is_refused(at(4_001), Fingerprint(1), false));
    assert!(tracker.record_crash(at(7_000), crash(1, 10, 6_900, 7_000)));
    assert!(tracker.is_refused(at(7_001), Fingerprint(1), true));
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

/// After its term a content is let through again. One more crash is enough then, and
/// the next term is twice as long.
#[test]
fn crash_after_term() {
    let mut tracker = PoisonTracker::default();
    tracker.record_crash(at(1_000), crash(1, 10, 900, 1_000));
    tracker.record_crash(at(2_000), crash(1, 11, 1_900, 2_000));
    assert!(tracker.is_refused(at(61_999), Fingerprint(1), false));
    assert!(!tracker.is_refused(at(62_001), Fingerprint(1), false));
    tracker.record_crash(at(63_000), crash(1, 12, 62_900, 63_000));
    assert!(tracker.is_refused(at(182_999), Fingerprint(1), false));
    assert!(!tracker.is_refused(at(183_001), Fingerprint(1), false));
    assert_eq!(
        tracker.take_unstored(Fingerprint(1)),
        Some(vec![10, 11, 12])
    );
    assert_eq!(tracker.take_unstored(Fingerprint(1)), None);
    tracker.recent_crashes(at(782_999));
    assert!(tracker.take_forgotten().is_empty());
    tracker.recent_crashes(at(783_000));
    assert_eq!(tracker.take_forgotten(), [Fingerprint(1)]);
}

/// A router that has just started learns of earlier crashes from another one, once,
/// and remembers them no longer than that one.
#[test]
fn started_router() {
    let mut tracker = PoisonTracker::default();
    for content in 1..30 {
        tracker.record_crash(at(1_000), crash(content, 10, 900, 1_000));
        tracker.record_crash(at(2_000), crash(content, 11, 1_900, 2_000));
    }
    let mut started = PoisonTracker::default();
    for _ in 0..15 {
        for refused in tracker.refused(at(40_000), 2) {
            started.adopt(at(40_000), refused);
        }
    }
    for content in 1..30 {
        assert!(started.is_refused(at(61_999), Fingerprint(content), false));
        assert!(!started.is_refused(at(62_001), Fingerprint(content), false));
    }
    assert!(tracker.refused(at(62_001), 2).is_empty());
    started.record_crash(at(63_000), crash(1, 12, 62_900, 63_000));
    assert!(started.is_refused(at(64_000), Fingerprint(1), false));
}

/// The refusal is lifted, and routers that have not learned of that still send the
/// crashes.
#[test]
fn lifted_refusal() {
    let mut tracker = PoisonTracker::default();
    tracker.record_crash(at(1_000), crash(1, 10, 900, 1_000));
    tracker.record_crash(at(2_000), crash(1, 11, 1_900, 2_000));
    let mut other = tracker.clone();
    tracker.lift(at(5_000), Fingerprint(1));
    for refused in other.refused(at(6_000), 2) {
        tracker.adopt(at(6_000), refused);
    }
    tracker.record_crash(at(6_000), crash(1, 11, 1_900, 2_000));
    assert!(!tracker.is_refused(at(6_001), Fingerprint(1), false));
    assert_eq!(tracker.take_unstored(Fingerprint(1)), None);
}

/// The refusal is lifted at a router that had not learned of it, or long ago, and
/// another one that cannot read the table still sends the crashes.
#[test]
fn lifted_elsewhere() {
    let refused = |crashed| RefusedContent {
        fingerprint: Fingerprint(1),
        targets: (0..8).collect(),
        crashed: at(crashed),
    };
    let mut tracker = PoisonTracker::default();
    tracker.lift(at(5_000), Fingerprint(1));
    tracker.adopt(at(6_000), refused(4_000));
    assert!(!tracker.is_refused(at(6_001), Fingerprint(1), false));
    tracker.adopt(at(3_000_000), refused(4_000));
    assert!(!tracker.is_refused(at(3_000_001), Fingerprint(1), false));
    tracker.adopt(at(3_000_000), refused(2_999_000));
    assert!(tracker.is_refused(at(3_000_001), Fingerprint(1), false));
}
