//! Requests that crash their targets, seen by several routers.

use admit::poison::{Fall, Poison};
use base::{id::Fingerprint, time::Mono};

fn fall(content: u64, target: u64) -> Fall {
    Fall {
        fingerprint: Fingerprint(content),
        target,
    }
}

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

#[test]
fn two_targets() {
    let mut poison = Poison::default();
    assert!(poison.fall(at(0), fall(1, 10)));
    assert!(!poison.is_refused(at(1), Fingerprint(1), false));
    assert!(
        !poison.fall(at(2), fall(1, 10)),
        "the same crash, told again"
    );
    assert!(!poison.is_refused(at(3), Fingerprint(1), false));
    poison.fall(at(4), fall(1, 11));
    assert!(poison.is_refused(at(5), Fingerprint(1), false));
    assert!(!poison.is_refused(at(5), Fingerprint(2), false));
    assert!(
        !poison.is_refused(at(70_000), Fingerprint(1), false),
        "its term is over"
    );
}

/// A stream that went on at a second target when the first crashed is no cause
/// of the second crash yet.
#[test]
fn repeated_by_router() {
    let mut poison = Poison::default();
    poison.fall(at(0), fall(1, 10));
    poison.fall(at(1), fall(1, 11));
    assert!(!poison.is_refused(at(2), Fingerprint(1), true));
    poison.fall(at(3), fall(1, 12));
    assert!(poison.is_refused(at(4), Fingerprint(1), true));
}

/// Two routers that each saw one crash refuse after they told one another.
#[test]
fn two_routers() {
    let mut first = Poison::default();
    let mut second = Poison::default();
    first.fall(at(0), fall(1, 10));
    second.fall(at(0), fall(1, 11));
    for told in first.falls(at(200)) {
        second.fall(at(200), told);
    }
    for told in second.falls(at(250)) {
        first.fall(at(250), told);
    }
    assert!(first.is_refused(at(300), Fingerprint(1), false));
    assert!(second.is_refused(at(300), Fingerprint(1), false));
    assert!(first.falls(at(9_000)).is_empty());
}

#[test]
fn bounded() {
    let mut poison = Poison::default();
    for content in 0..10_000 {
        poison.fall(at(content), fall(content, 1));
        poison.fall(at(content), fall(content, 2));
    }
    assert!(poison.is_refused(at(10_000), Fingerprint(9_999), false));
    assert!(!poison.is_refused(at(10_000), Fingerprint(1), false));
}
