//! When a router fetches a snapshot from a peer.

use base::{id::Version, time::Mono};
use edge::lag::{Lag, VersionState};

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

fn state(own: u64, peer: u64, feed_works: bool) -> VersionState {
    VersionState {
        own: Version(own),
        peer: Version(peer),
        no_targets: false,
        feed_works,
    }
}

/// The table gets time to deliver a new version first. Otherwise all routers
/// fetch a large configuration from the first one that has it, and overload its
/// link (28 routers, 1,900 rules, 10 Mbit/s) while the table is sending it to
/// all.
#[test]
fn table_first() {
    let mut lag = Lag::default();
    assert!(!lag.is_due(at(0), state(1, 2, true), 0.0));
    assert!(!lag.is_due(at(200), state(1, 2, true), 0.0));
    assert!(
        !lag.is_due(at(400), state(2, 2, true), 0.0),
        "the table delivered the version"
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
fn table_unavailable() {
    let mut lag = Lag::default();
    assert!(!lag.is_due(at(0), state(1, 2, false), 0.0));
    assert!(lag.is_due(at(200), state(1, 2, false), 0.0));
}

/// An update from a peer that is behind too does not end the lag. It did for two
/// routers that had restarted in an outage and received each other's updates
/// between those of up-to-date routers: a version arrived with a delay of 2.4 s.
#[test]
fn lagging_peers() {
    let mut lag = Lag::default();
    assert!(!lag.is_due(at(0), state(3, 9, false), 0.0));
    assert!(
        !lag.is_due(at(50), state(3, 3, false), 0.0),
        "the peer has nothing newer"
    );
    assert!(lag.is_due(at(150), state(3, 9, false), 0.0));
}

/// A router that knows no targets gets them from any peer that has a
/// configuration.
#[test]
fn no_targets() {
    let mut lag = Lag::default();
    let state = |peer| VersionState {
        no_targets: true,
        ..state(0, peer, false)
    };
    assert!(!lag.is_due(at(0), state(0), 0.0));
    assert!(!lag.is_due(at(200), state(0), 0.0));
    assert!(lag.is_due(at(300), state(4), 0.0));
}

/// Routers that are behind at the same time do not all fetch at the same moment.
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
