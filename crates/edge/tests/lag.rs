//! When a router fetches a snapshot from a peer.

use base::{id::Version, time::Mono};
use edge::lag::{Lag, VersionState};

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

fn state(own: u64, told: u64, feed_works: bool) -> VersionState {
    VersionState {
        own: Version(own),
        peer: Version(told),
        no_targets: false,
        feed_works,
    }
}

/// A version of 1,900 rules was fetched by 28 routers from the first that had
/// it, over a link of 10 Mbit/s, while the table was sending it to all.
#[test]
fn table_first() {
    let mut lag = Lag::default();
    assert!(!lag.is_due(at(0), state(1, 2, true), 0.0));
    assert!(!lag.is_due(at(200), state(1, 2, true), 0.0));
    assert!(
        !lag.is_due(at(400), state(2, 2, true), 0.0),
        "the table delivered it"
    );
    assert!(
        !lag.is_due(at(5_000), state(2, 3, true), 0.0),
        "a later version"
    );
    assert!(lag.is_due(at(5_900), state(2, 3, true), 0.0));
    assert!(
        !lag.is_due(at(6_000), state(2, 3, true), 0.0),
        "one fetch at a time"
    );
    assert!(lag.is_due(at(6_500), state(2, 3, true), 0.0));
}

#[test]
fn table_away() {
    let mut lag = Lag::default();
    assert!(!lag.is_due(at(0), state(1, 2, false), 0.0));
    assert!(lag.is_due(at(200), state(1, 2, false), 0.0));
}

/// On perdana-tin trouble-3 two routers that had restarted in an outage heard
/// each other between the routers that were up to date, and each time took the
/// lag for over: a version came 2.4 s late.
#[test]
fn lagging_peers() {
    let mut lag = Lag::default();
    assert!(!lag.is_due(at(0), state(3, 9, false), 0.0));
    assert!(
        !lag.is_due(at(50), state(3, 3, false), 0.0),
        "it has nothing newer"
    );
    assert!(lag.is_due(at(150), state(3, 9, false), 0.0));
}

/// A router that knows no target gets them from any peer that knows a version.
#[test]
fn no_targets() {
    let mut lag = Lag::default();
    let state = |told| VersionState {
        no_targets: true,
        ..state(0, told, false)
    };
    assert!(!lag.is_due(at(0), state(0), 0.0));
    assert!(!lag.is_due(at(200), state(0), 0.0));
    assert!(lag.is_due(at(300), state(4), 0.0));
}

/// Many routers that are behind at once do not fetch at the same moment.
#[test]
fn spread_out() {
    let mut first = Lag::default();
    let mut last = Lag::default();
    assert!(!first.is_due(at(0), state(1, 2, false), 0.0));
    assert!(!last.is_due(at(0), state(1, 2, false), 1.0));
    assert!(first.is_due(at(200), state(1, 2, false), 1.0));
    assert!(!last.is_due(at(200), state(1, 2, false), 0.0));
    assert!(last.is_due(at(700), state(1, 2, false), 0.0));
}
